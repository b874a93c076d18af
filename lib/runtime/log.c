/*
 * log.c: log writer for key=value lines; see log.h.
 */
#include "runtime/log.h"

#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

/* Set by quince_log_init() before other threads start, constant afterwards. */
static char *log_program;
static char *log_name;
static GLogLevelFlags log_level = G_LOG_LEVEL_INFO;

/* The variables below are guarded by log_lock. */
static int log_descriptor = STDERR_FILENO;
static guint log_lines_per_second; /* 0: no limit */
static GMutex log_lock;
static gint64 log_second; /* current second, since the Unix epoch */
static guint log_lines_this_second;
static guint64 log_dropped_lines;
static char log_second_timestamp[32];

static const char *
get_level_name (GLogLevelFlags level)
{
  switch (level & G_LOG_LEVEL_MASK)
    {
    case G_LOG_LEVEL_ERROR:
    case G_LOG_LEVEL_CRITICAL:
      return "error";
    case G_LOG_LEVEL_WARNING:
      return "warning";
    case G_LOG_LEVEL_MESSAGE:
    case G_LOG_LEVEL_INFO:
      return "info";
    default:
      return "debug";
    }
}

gboolean
quince_log_parse_level (const char *text, GLogLevelFlags *level)
{
  static const struct
  {
    const char *name;
    GLogLevelFlags level;
  } levels[] = { { "debug", G_LOG_LEVEL_DEBUG },
                 { "info", G_LOG_LEVEL_INFO },
                 { "warning", G_LOG_LEVEL_WARNING },
                 { "error", G_LOG_LEVEL_CRITICAL } };
  for (guint i = 0; i < G_N_ELEMENTS (levels); i++)
    if (g_str_equal (text, levels[i].name))
      {
        *level = levels[i].level;
        return TRUE;
      }
  return FALSE;
}

char *
quince_log_quote (const char *text)
{
  if (text == NULL || *text == '\0')
    return g_strdup ("\"\"");
  gboolean is_plain = TRUE;
  for (const char *at = text; *at != '\0'; at++)
    if ((guchar)*at <= ' ' || *at == '"' || *at == '=' || *at == '\\' || (guchar)*at == 0x7f)
      is_plain = FALSE;
  if (is_plain)
    return g_strdup (text);
  g_autofree char *escaped = g_strescape (text, NULL);
  return g_strdup_printf ("\"%s\"", escaped);
}

/* Checks that a write does not block.  Without a rate limit, writes may block. */
static gboolean
is_output_writable (void)
{
  struct pollfd output = { .fd = log_descriptor, .events = POLLOUT };
  return log_lines_per_second == 0 || (poll (&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0);
}

static void
start_second (gint64 now_us)
{
  time_t seconds = (time_t)(now_us / G_USEC_PER_SEC);
  struct tm utc;
  log_second = seconds;
  log_lines_this_second = 0;
  gmtime_r (&seconds, &utc);
  strftime (log_second_timestamp, sizeof log_second_timestamp, "%Y-%m-%dT%H:%M:%S", &utc);
}

/* Counts a line as written or dropped.  The limit is twice as high for notices, warnings and failures.
 * Returns: %TRUE if the line is to be written */
static gboolean
consume_line_budget (GLogLevelFlags level)
{
  guint max_lines
      = (level & G_LOG_LEVEL_MASK) <= G_LOG_LEVEL_MESSAGE ? 2 * log_lines_per_second : log_lines_per_second;
  if (log_lines_per_second == 0)
    return TRUE;
  if (log_lines_this_second >= max_lines || !is_output_writable ())
    {
      log_dropped_lines++;
      return FALSE;
    }
  log_lines_this_second++;
  return TRUE;
}

static void write_line (GLogLevelFlags level, gint64 now_us, const char *body);

static void
write_limited_line (GLogLevelFlags level, const char *body)
{
  gint64 now_us = g_get_real_time ();
  g_mutex_lock (&log_lock);
  if (now_us / G_USEC_PER_SEC != log_second)
    start_second (now_us);
  if (log_dropped_lines > 0 && log_lines_this_second == 0 && is_output_writable ())
    {
      g_autofree char *summary
          = g_strdup_printf ("event=log_lines_left_out count=%" G_GUINT64_FORMAT, log_dropped_lines);
      log_dropped_lines = 0;
      log_lines_this_second++;
      write_line (G_LOG_LEVEL_WARNING, now_us, summary);
    }
  if (consume_line_budget (level))
    write_line (level, now_us, body);
  g_mutex_unlock (&log_lock);
}

static void
write_line (GLogLevelFlags level, gint64 now_us, const char *body)
{
  g_autoptr (GString) line = g_string_sized_new (256);
  g_string_printf (line, "time=%s.%03dZ level=%s program=%s", log_second_timestamp,
                   (int)(now_us % G_USEC_PER_SEC / 1000), get_level_name (level),
                   log_program != NULL ? log_program : "unknown");
  if (log_name != NULL && *log_name != '\0')
    g_string_append_printf (line, " name=%s", log_name);
  g_string_append_printf (line, " %s\n", body);
  /* A single write() keeps the line whole.  Write errors are ignored. */
  if (write (log_descriptor, line->str, line->len) < 0)
    return;
}

/* Writes messages of GLib and other libraries as event=library_message. */
static GLogWriterOutput
log_writer (GLogLevelFlags level, const GLogField *fields, gsize n_fields, gpointer user_data)
{
  const char *message = NULL;
  gboolean is_own_event = FALSE;
  for (gsize i = 0; i < n_fields; i++)
    {
      if (g_str_equal (fields[i].key, "MESSAGE"))
        message = fields[i].value;
      if (g_str_equal (fields[i].key, "QUINCE_EVENT"))
        is_own_event = TRUE;
    }
  if (message == NULL || (level & G_LOG_LEVEL_MASK) > log_level)
    return G_LOG_WRITER_HANDLED;
  if (is_own_event)
    {
      write_limited_line (level, message);
      return G_LOG_WRITER_HANDLED;
    }
  g_autofree char *quoted = quince_log_quote (message);
  g_autofree char *body = g_strdup_printf ("event=library_message message=%s", quoted);
  write_limited_line (level, body);
  return G_LOG_WRITER_HANDLED;
}

void
quince_log_init (const char *program, const char *name, GLogLevelFlags level)
{
  static gboolean writer_installed;
  g_free (log_program);
  g_free (log_name);
  log_program = g_strdup (program);
  log_name = quince_log_quote (name);
  if (name == NULL || *name == '\0')
    g_clear_pointer (&log_name, g_free);
  log_level = level;
  if (!writer_installed)
    g_log_set_writer_func (log_writer, NULL, NULL);
  writer_installed = TRUE;
}

void
quince_log_set_output (int descriptor, guint lines_per_second)
{
  g_mutex_lock (&log_lock);
  log_descriptor = descriptor;
  log_lines_per_second = lines_per_second;
  log_second = 0;
  log_dropped_lines = 0;
  g_mutex_unlock (&log_lock);
}

void
quince_log_event (GLogLevelFlags level, const char *event, const char *format, ...)
{
  if ((level & G_LOG_LEVEL_MASK) > log_level)
    return;
  va_list arguments;
  va_start (arguments, format);
  g_autofree char *pairs = g_strdup_vprintf (format, arguments);
  va_end (arguments);
  g_autofree char *body = g_strdup_printf ("event=%s%s%s", event, *pairs != '\0' ? " " : "", pairs);
  const GLogField fields[]
      = { { "MESSAGE", body, -1 }, { "QUINCE_EVENT", event, -1 }, { "GLIB_DOMAIN", G_LOG_DOMAIN, -1 } };
  g_log_structured_array (level, fields, G_N_ELEMENTS (fields));
}
