/*
 * segments.c: an answer as it grows.
 */
#include "segments.h"

static void
clear_run (gpointer data)
{
  g_free (((QuinceTokenRun *)data)->engine);
}

QuinceAnswer *
quince_answer_new (void)
{
  QuinceAnswer *answer = g_new0 (QuinceAnswer, 1);
  answer->text = g_string_new (NULL);
  answer->runs = g_array_new (FALSE, FALSE, sizeof (QuinceTokenRun));
  g_array_set_clear_func (answer->runs, clear_run);
  return answer;
}

void
quince_answer_free (QuinceAnswer *answer)
{
  g_string_free (answer->text, TRUE);
  g_array_unref (answer->runs);
  g_free (answer);
}

void
quince_answer_clear (QuinceAnswer *answer)
{
  g_string_truncate (answer->text, 0);
  g_array_set_size (answer->runs, 0);
  answer->token_count = 0;
}

static QuinceTokenRun *
last_run (const QuinceAnswer *answer)
{
  return answer->runs->len > 0 ? &g_array_index (answer->runs, QuinceTokenRun, answer->runs->len - 1) : NULL;
}

gboolean
quince_answer_append (QuinceAnswer *answer, const char *engine, const QuinceEngineChunk *chunk)
{
  QuinceTokenRun *last = last_run (answer);
  gboolean same
      = last != NULL && last->weight_version == chunk->weight_version && g_str_equal (last->engine, engine);
  if (!same && answer->runs->len >= QUINCE_MAX_SEGMENTS)
    return FALSE;
  if (answer->text->len + strlen (chunk->text) > QUINCE_MAX_TEXT)
    return FALSE;
  if (same)
    last->token_count += chunk->token_count;
  else
    {
      QuinceTokenRun run = {
        .engine = g_strdup (engine),
        .weight_version = chunk->weight_version,
        .first_token = chunk->token_start,
        .token_count = chunk->token_count,
      };
      g_array_append_val (answer->runs, run);
    }
  g_string_append (answer->text, chunk->text);
  answer->token_count += chunk->token_count;
  return TRUE;
}

guint64
quince_answer_get_last_version (const QuinceAnswer *answer)
{
  const QuinceTokenRun *last = last_run (answer);
  return last != NULL ? last->weight_version : 0;
}

gboolean
quince_answer_is_below (const QuinceAnswer *answer, guint64 least)
{
  for (guint i = 0; i < answer->runs->len; i++)
    if (g_array_index (answer->runs, QuinceTokenRun, i).weight_version < least)
      return TRUE;
  return FALSE;
}
