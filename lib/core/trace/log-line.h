/*
 * log-line.h: one line of key=value pairs.
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
  guint number;   /* lines read before it: keeps the order of one process within a millisecond */
  GArray *pairs;  /* QuinceLogPair, owned; as they stand */
} QuinceLogLine;

/* (transfer full) (nullable) */
QuinceLogLine *quince_log_line_parse (const char *text, GError **error);
void quince_log_line_free (gpointer line);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceLogLine, quince_log_line_free)
/* (nullable) */
const char *quince_log_line_get (const QuinceLogLine *line, const char *key);

G_END_DECLS
