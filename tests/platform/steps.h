/*
 * steps.h: a trainer that submits steps and reads their results through the fronts during faults.
 *
 * Checks that each sample is returned exactly once, with the weight versions that generated it according to
 * the workers' records, and that no version is too old.
 */
#pragma once

#include <json-glib/json-glib.h>

#include "relayed-world.h"

#define STEP_ITEMS 12
#define STEP_EVENTS 6
/* Versions by which a step's samples may be older than the newest version at its submit. */
#define STEP_MAX_STALENESS 1

typedef struct
{
  char *name;
  guint64 min_version; /* oldest weights that may generate a part of it */
  char *results;       /* first complete results; NULL: not read yet */
} Step;

typedef struct
{
  RelayedWorld *world;
  GPtrArray *steps;                        /* Step, owned; in order of submission */
  guint64 version;                         /* last published */
  guint front;                             /* number of calls; selects the next front */
  guint repeats;                           /* calls that got no answer and were retried */
  StandinRelay *front_relays[PATH_FRONTS]; /* between the trainer and the fronts; NULL: none */
} Trainer;

static inline void
step_free (gpointer data)
{
  Step *step = data;
  g_free (step->name);
  g_free (step->results);
  g_free (step);
}

static inline void
trainer_init (Trainer *trainer, RelayedWorld *world)
{
  *trainer = (Trainer){ .world = world, .version = 1 };
  trainer->steps = g_ptr_array_new_with_free_func (step_free);
}

static inline void
trainer_open_relays (Trainer *trainer)
{
  for (guint i = 0; i < PATH_FRONTS; i++)
    trainer->front_relays[i] = standin_relay_new (path_front (trainer->world->path, i));
}

static inline void
trainer_close_relays (Trainer *trainer)
{
  for (guint i = 0; i < PATH_FRONTS; i++)
    g_clear_pointer (&trainer->front_relays[i], standin_relay_free);
}

static inline void
trainer_clear (Trainer *trainer)
{
  trainer_close_relays (trainer);
  g_ptr_array_unref (trainer->steps);
}

/* ---- Calls -------------------------------------------------------------- */

/* Calls the fronts in turn.  Returns the status, or 0 if the call got no complete answer. */
static inline guint
trainer_call (Trainer *trainer,
              const char *method,
              const char *target,
              const char *id,
              const char *text,
              PathAnswer *answer)
{
  guint front = trainer->front++ % PATH_FRONTS;
  StandinRelay *gate = trainer->front_relays[front];
  const char *address
      = gate != NULL ? standin_relay_get_address (gate) : path_front (trainer->world->path, front);
  guint status = path_call (address, method, target, id, text, answer);
  trainer->repeats += answer->outcome != QUINCE_HTTP_ANSWERED;
  return answer->outcome == QUINCE_HTTP_ANSWERED ? status : 0;
}

static inline gboolean
trainer_try_submit (Trainer *trainer, const Step *step, const char *text)
{
  PathAnswer answer;
  guint status = trainer_call (trainer, "POST", "/r/batch", step->name, text, &answer);
  path_answer_clear (&answer);
  return status == 202;
}

/* Submits the next step.  Its minimum version is STEP_MAX_STALENESS below the last published version. */
static inline void
trainer_submit (Trainer *trainer)
{
  Step *step = g_new0 (Step, 1);
  step->name = g_strdup_printf ("step%u", trainer->steps->len);
  step->min_version = MAX (trainer->version, 1 + STEP_MAX_STALENESS) - STEP_MAX_STALENESS;
  g_ptr_array_add (trainer->steps, step);
  g_autofree char *text = path_make_batch (step->name, STEP_ITEMS);
  g_autofree char *min_version_field = g_strdup_printf ("\"minVersion\":%u", (guint)step->min_version);
  g_auto (GStrv) parts = g_strsplit (text, "\"minVersion\":1", 2);
  g_autofree char *request_body = g_strjoinv (min_version_field, parts);
  AWAIT (trainer_try_submit (trainer, step, request_body));
}

static inline void
trainer_publish_version (Trainer *trainer, guint64 version)
{
  g_autofree char *text
      = g_strdup_printf ("{\"model\":\"model-a\",\"version\":%" G_GUINT64_FORMAT "}", version);
  trainer->version = version;
  standin_store_put (trainer->world->path->store, "op/version/model-a", text);
}

/* Returns: (transfer full) (nullable): the available results of @step, or NULL if the call fails. */
static inline char *
trainer_fetch_results (Trainer *trainer, const Step *step)
{
  g_autofree char *target = g_strdup_printf ("/quinceroute/lots/%s?afterRev=0", step->name);
  PathAnswer answer;
  guint status = trainer_call (trainer, "GET", target, "q", NULL, &answer);
  char *text = status == 200 ? g_strdup (answer.body) : NULL;
  path_answer_clear (&answer);
  return text;
}

/* Stores the results of @step once they are complete.  Returns: whether they are. */
static inline gboolean
trainer_try_read_all (Trainer *trainer, Step *step)
{
  g_autofree char *text = trainer_fetch_results (trainer, step);
  if (text == NULL || path_count_occurrences (text, "\"state\":") < STEP_ITEMS)
    return FALSE;
  step->results = g_steal_pointer (&text);
  return TRUE;
}

/* Returns the number of available results of @step, or 0 if the call fails. */
static inline guint
trainer_count_results (Trainer *trainer, const Step *step)
{
  g_autofree char *text = trainer_fetch_results (trainer, step);
  return text != NULL ? path_count_occurrences (text, "\"state\":") : 0;
}

/* ---- Checks ------------------------------------------------------------- */

/* Returns whether the records of some worker show that @version generated event @number of @sample_id.
 * @number: 0 for any event */
static inline gboolean
trainer_was_event_generated (const PathWorld *path, const char *sample_id, guint number, guint64 version)
{
  for (guint i = 0; i < PATH_MODEL; i++)
    {
      const GPtrArray *runs = standin_worker_get_runs (path->model[i]);
      for (guint j = 0; j < runs->len; j++)
        {
          const StandinRun *run = runs->pdata[j];
          if (g_strcmp0 (run->id, sample_id) != 0)
            continue;
          for (guint k = 0; k < run->events->len; k++)
            {
              const StandinEvent *generated_event = &g_array_index (run->events, StandinEvent, k);
              if (generated_event->version == version && (number == 0 || generated_event->number == number))
                return TRUE;
            }
        }
    }
  return FALSE;
}

/* @versions are exactly the versions that generated @sample_id, and none is below the step's minimum. */
static inline void
trainer_assert_versions (const Trainer *trainer, const Step *step, const char *sample_id, JsonArray *versions)
{
  const PathWorld *path = trainer->world->path;
  guint count = json_array_get_length (versions);
  assert_true (count > 0);
  for (guint i = 0; i < count; i++)
    {
      guint64 version = (guint64)json_array_get_int_element (versions, i);
      if (version < step->min_version)
        fail_msg ("%s names version %u, which is below the minimum %u", sample_id, (guint)version,
                  (guint)step->min_version);
      if (!trainer_was_event_generated (path, sample_id, 0, version))
        fail_msg ("%s names version %u, which generated none of its events", sample_id, (guint)version);
    }
  for (guint number = 1; number <= STEP_EVENTS; number++)
    {
      gboolean is_covered = FALSE;
      for (guint i = 0; i < count; i++)
        is_covered |= trainer_was_event_generated (path, sample_id, number,
                                                   (guint64)json_array_get_int_element (versions, i));
      if (!is_covered)
        fail_msg ("event %u of %s was generated by none of the versions that the sample names", number,
                  sample_id);
    }
}

static inline void
trainer_assert_sample (const Trainer *trainer, const Step *step, JsonObject *sample)
{
  const char *sample_id = json_object_get_string_member (sample, "id");
  assert_string_equal (json_object_get_string_member (sample, "state"), "completed");
  assert_string_equal (json_object_get_string_member (sample, "message"), "e1\ne2\ne3\ne4\ne5\ne6");
  assert_true (g_str_has_prefix (json_object_get_string_member (sample, "score"), "stamp-p"));
  trainer_assert_versions (trainer, step, sample_id, json_object_get_array_member (sample, "versions"));
}

/* The results contain each sample of @step exactly once, complete, with its versions. */
static inline void
trainer_assert_step (const Trainer *trainer, const Step *step)
{
  g_autoptr (JsonParser) parser = json_parser_new ();
  assert_true (json_parser_load_from_data (parser, step->results, -1, NULL));
  JsonObject *object = json_node_get_object (json_parser_get_root (parser));
  JsonArray *results = json_object_get_array_member (object, "results");
  g_autoptr (GHashTable) ids = g_hash_table_new (g_str_hash, g_str_equal);
  assert_int_equal (json_object_get_int_member (object, "total"), STEP_ITEMS);
  assert_int_equal (json_array_get_length (results), STEP_ITEMS);
  for (guint i = 0; i < STEP_ITEMS; i++)
    {
      JsonObject *sample = json_array_get_object_element (results, i);
      trainer_assert_sample (trainer, step, sample);
      g_hash_table_add (ids, (gpointer)json_object_get_string_member (sample, "id"));
    }
  for (guint i = 0; i < STEP_ITEMS; i++)
    {
      g_autofree char *id = g_strdup_printf ("%s-i%u", step->name, i);
      assert_true (g_hash_table_contains (ids, id));
    }
}

/* All steps have correct results, and each front still returns the same results as at the first read. */
static inline void
trainer_assert_all_steps (Trainer *trainer)
{
  for (guint i = 0; i < trainer->steps->len; i++)
    {
      const Step *step = trainer->steps->pdata[i];
      trainer_assert_step (trainer, step);
      for (guint j = 0; j < PATH_FRONTS; j++)
        {
          char *current_results = NULL;
          AWAIT ((current_results = path_fetch_results (trainer->world->path, j, step->name)) != NULL);
          assert_string_equal (current_results, step->results);
          g_free (current_results);
        }
    }
}
