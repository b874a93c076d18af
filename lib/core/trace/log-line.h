/*
 * log-line.h: a parsed log line of key=value pairs.
 *
 * Plain data, owned by the one who parsed it.  Pure.
 */
#pragma once

#include "core/trace/log-trace.h"

G_BEGIN_DECLS

typedef struct
{
  char *key;
  char *value; /* without its quotes */
} QuinceLogPair;

typedef struct
{
  gint64 time_us; /* of the writer's clock, Unix time */
  guint sequence; /* lines added before it: keeps the order of one process within a millisecond */
  GArray *pairs;  /* QuinceLogPair, owned; in the line's order */
} QuinceLogLine;

/* (transfer full) (nullable): %NULL with a QUINCE_LOG_TRACE_ERROR */
QuinceLogLine *quince_log_line_parse (const char *text, GError **error);
void quince_log_line_free (gpointer line);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceLogLine, quince_log_line_free)
/* (nullable) (transfer none): the first value of @key; %NULL: none */
const char *quince_log_line_get (const QuinceLogLine *line, const char *key);

G_END_DECLS
