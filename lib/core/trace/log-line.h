/*
 * log-line.h: parser of log lines, which consist of key=value pairs.
 */
#pragma once

#include "core/trace/log-trace.h"

G_BEGIN_DECLS

typedef struct
{
  char *key;
  char *value; /* without quotes and escapes */
} QuinceLogPair;

typedef struct
{
  gint64 time_us; /* Unix time, by the clock of the process that wrote the line */
  guint sequence; /* position among the lines of a trace; orders lines with equal times */
  GArray *pairs;  /* QuinceLogPair, owned; in the order of the line */
} QuinceLogLine;

/* Parses a log line; stops at the end of the line.  Returns %NULL and sets QUINCE_LOG_TRACE_ERROR_MALFORMED
 * if the line is malformed. (transfer full) */
QuinceLogLine *quince_log_line_parse (const char *text, GError **error);
void quince_log_line_free (gpointer line);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceLogLine, quince_log_line_free)
/* Returns the first value of @key, or %NULL if the line has no such key. (transfer none) */
const char *quince_log_line_get (const QuinceLogLine *line, const char *key);

G_END_DECLS
