/*
 * trainer-request.c: trainers' bodies read into ledger commands.
 *
 * A command is built in place and given up as a whole when a field is wrong:
 * every string in it is set before anything can fail.
 */
#include "trainer-request.h"

#include <quince/http.h>

#define WAIT_MOST_MS (60 * 1000)
#define MOST_TOKENS 1000000
#define MOST_STALENESS 1000000

static gboolean
bad_field (GError **error, const char *name, const char *wanted)
{
  g_set_error (error, QUINCE_HTTP_ERROR, QUINCE_HTTP_ERROR_BAD_FIELD, "field '%s': %s", name, wanted);
  return FALSE;
}

/* A name that must not be empty; replaces the string at @target. */
static gboolean
read_name (JsonObject *body, const char *name, char **target, GError **error)
{
  const char *text = NULL;
  if (!quince_json_get_text (body, name, QUINCE_MAX_NAME, &text, error))
    return FALSE;
  if (*text == '\0')
    return bad_field (error, name, "must not be empty");
  g_free (*target);
  *target = g_strdup (text);
  return TRUE;
}

static gboolean
read_sample (JsonObject *body, QuinceSampleSpec *sample, GError **error)
{
  const char *prompt = NULL;
  guint64 max_tokens = 0;
  guint64 expected_tokens = 0;
  if (!read_name (body, "sample_id", &sample->sample_id, error)
      || !quince_json_get_text (body, "prompt", QUINCE_MAX_TEXT, &prompt, error)
      || !quince_json_get_u64 (body, "max_tokens", MOST_TOKENS, &max_tokens, error)
      || !quince_json_opt_u64 (body, "expected_tokens", MOST_TOKENS, &expected_tokens, error))
    return FALSE;
  if (max_tokens == 0)
    return bad_field (error, "max_tokens", "must be at least 1");
  g_free (sample->prompt);
  sample->prompt = g_strdup (prompt);
  sample->max_tokens = (u_int)max_tokens;
  sample->expected_tokens = (u_int)expected_tokens;
  return TRUE;
}

static gboolean
read_samples (JsonObject *body, QuinceSubmitRollout *submit, GError **error)
{
  JsonNode *node = json_object_get_member (body, "samples");
  if (node == NULL || !JSON_NODE_HOLDS_ARRAY (node))
    return bad_field (error, "samples", "a list is wanted");
  JsonArray *list = json_node_get_array (node);
  guint count = json_array_get_length (list);
  if (count == 0 || count > QUINCE_MAX_SAMPLES)
    return bad_field (error, "samples", "1 to 16384 samples are wanted");
  submit->samples.samples_val = g_new0 (QuinceSampleSpec, count);
  submit->samples.samples_len = count;
  for (guint i = 0; i < count; i++)
    {
      submit->samples.samples_val[i].sample_id = quince_string ("");
      submit->samples.samples_val[i].prompt = quince_string ("");
    }
  g_autoptr (GHashTable) seen = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < count; i++)
    {
      JsonNode *item = json_array_get_element (list, i);
      QuinceSampleSpec *sample = &submit->samples.samples_val[i];
      if (!JSON_NODE_HOLDS_OBJECT (item))
        return bad_field (error, "samples", "a list of objects is wanted");
      if (!read_sample (json_node_get_object (item), sample, error))
        return FALSE;
      if (!g_hash_table_add (seen, sample->sample_id))
        return bad_field (error, "sample_id", "must be unique");
    }
  return TRUE;
}

static gboolean
read_submit (JsonObject *body, QuinceSubmitRollout *submit, GError **error)
{
  guint64 step = 0;
  guint64 staleness = 0;
  submit->trainer = quince_string ("");
  submit->rollout_id = quince_string ("");
  submit->service = quince_string ("");
  submit->member = quince_string ("");
  if (!read_name (body, "trainer", &submit->trainer, error)
      || !read_name (body, "rollout_id", &submit->rollout_id, error)
      || !read_name (body, "service", &submit->service, error)
      || !read_name (body, "member", &submit->member, error)
      || !quince_json_get_u64 (body, "step", G_MAXINT64, &step, error)
      || !quince_json_get_u64 (body, "staleness_bound", MOST_STALENESS, &staleness, error))
    return FALSE;
  submit->step = step;
  submit->staleness_bound = (u_int)staleness;
  return read_samples (body, submit, error);
}

static gboolean
read_pull (JsonObject *body, const char *trainer, QuincePullStep *pull, guint64 *wait_ms, GError **error)
{
  guint64 step = 0;
  guint64 version = 0;
  pull->trainer = quince_string (trainer);
  if (!quince_json_get_u64 (body, "step", G_MAXINT64, &step, error)
      || !quince_json_get_u64 (body, "version", G_MAXINT64, &version, error)
      || !quince_json_opt_u64 (body, "wait_ms", WAIT_MOST_MS, wait_ms, error))
    return FALSE;
  pull->step = step;
  pull->trainer_version = version;
  return TRUE;
}

static gboolean
read_release (JsonObject *body, const char *trainer, QuinceReleaseStep *release, GError **error)
{
  guint64 step = 0;
  release->trainer = quince_string (trainer);
  if (!quince_json_get_u64 (body, "step", G_MAXINT64, &step, error))
    return FALSE;
  release->step = step;
  return TRUE;
}

QuinceCommand *
quince_trainer_request_read (QuinceCommandKind kind,
                             JsonObject *body,
                             const char *trainer,
                             guint64 *wait_ms,
                             GError **error)
{
  g_autoptr (QuinceCommand) command = g_new0 (QuinceCommand, 1);
  gboolean valid = FALSE;
  command->kind = kind;
  if (kind == QUINCE_COMMAND_SUBMIT)
    valid = read_submit (body, &command->QuinceCommand_u.submit, error);
  else if (kind == QUINCE_COMMAND_PULL)
    valid = read_pull (body, trainer, &command->QuinceCommand_u.pull, wait_ms, error);
  else
    valid = read_release (body, trainer, &command->QuinceCommand_u.release, error);
  return valid ? g_steal_pointer (&command) : NULL;
}
