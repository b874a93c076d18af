/*
 * log-line.c: parses a log line of key=value pairs.  Values that contain spaces are quoted.
 */
#include "log-line.h"

#include <string.h>

G_DEFINE_QUARK (quince - log - trace - error - quark, quince_log_trace_error)

/* Keys with which each log line starts, in this order. */
static const char *const required_keys[] = { "time", "level", "program", "name", "event" };

static void
clear_pair (gpointer data)
{
  QuinceLogPair *pair = data;
  g_free (pair->key);
  g_free (pair->value);
}

void
quince_log_line_free (gpointer data)
{
  QuinceLogLine *line = data;
  if (line == NULL)
    return;
  g_array_unref (line->pairs);
  g_free (line);
}

const char *
quince_log_line_get (const QuinceLogLine *line, const char *key)
{
  for (guint i = 0; i < line->pairs->len; i++)
    {
      const QuinceLogPair *pair = &g_array_index (line->pairs, QuinceLogPair, i);
      if (g_str_equal (pair->key, key))
        return pair->value;
    }
  return NULL;
}

/* Parses a quoted value whose opening quote was consumed and moves @cursor behind its closing quote.  Returns
 * %NULL if there is no closing quote. (transfer full) */
static char *
parse_quoted_value (const char **cursor)
{
  g_autoptr (GString) value = g_string_new (NULL);
  const char *next = *cursor;
  for (; *next != '\0' && *next != '"'; next++)
    {
      if (*next == '\\' && next[1] != '\0')
        next++;
      g_string_append_c (value, *next);
    }
  if (*next != '"')
    return NULL;
  *cursor = next + 1;
  return g_string_free (g_steal_pointer (&value), FALSE);
}

static char *
parse_value (const char **cursor)
{
  if (**cursor == '"')
    {
      (*cursor)++;
      return parse_quoted_value (cursor);
    }
  gsize length = strcspn (*cursor, " ");
  char *value = g_strndup (*cursor, length);
  *cursor += length;
  return value;
}

static gboolean
parse_pair (const char **cursor, QuinceLogPair *pair)
{
  gsize length = strcspn (*cursor, "= ");
  if (length == 0 || (*cursor)[length] != '=')
    return FALSE;
  const char *value_cursor = *cursor + length + 1;
  char *value = parse_value (&value_cursor);
  if (value == NULL)
    return FALSE;
  *pair = (QuinceLogPair){ .key = g_strndup (*cursor, length), .value = value };
  *cursor = value_cursor + strspn (value_cursor, " ");
  return TRUE;
}

static gboolean
starts_with_required_keys (const QuinceLogLine *line)
{
  if (line->pairs->len < G_N_ELEMENTS (required_keys))
    return FALSE;
  for (guint i = 0; i < G_N_ELEMENTS (required_keys); i++)
    if (!g_str_equal (g_array_index (line->pairs, QuinceLogPair, i).key, required_keys[i]))
      return FALSE;
  return TRUE;
}

QuinceLogLine *
quince_log_line_parse (const char *text, GError **error)
{
  g_autoptr (QuinceLogLine) line = g_new0 (QuinceLogLine, 1);
  line->pairs = g_array_new (FALSE, TRUE, sizeof (QuinceLogPair));
  g_array_set_clear_func (line->pairs, clear_pair);
  gboolean valid = TRUE;
  while (valid && *text != '\0' && *text != '\n')
    {
      QuinceLogPair pair;
      valid = parse_pair (&text, &pair);
      if (valid)
        g_array_append_val (line->pairs, pair);
    }
  g_autoptr (GDateTime) time = NULL;
  if (valid && starts_with_required_keys (line))
    time = g_date_time_new_from_iso8601 (quince_log_line_get (line, "time"), NULL);
  if (time == NULL)
    {
      g_set_error (
          error, QUINCE_LOG_TRACE_ERROR, QUINCE_LOG_TRACE_ERROR_MALFORMED,
          "malformed log line: expected key=value pairs that start with time, level, program, name, event");
      return NULL;
    }
  line->time_us = g_date_time_to_unix (time) * G_USEC_PER_SEC + g_date_time_get_microsecond (time);
  return g_steal_pointer (&line);
}
