/*
 * log-trace.h: collects log lines of several processes and formats the trace of a request, sample or batch.
 *
 * Lines may be added in any order.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

#define QUINCE_LOG_TRACE_ERROR (quince_log_trace_error_quark ())
GQuark quince_log_trace_error_quark (void);

typedef enum
{
  /* The line has an invalid time, or is not a list of pairs that starts with the keys time, level, program,
   * name and event. */
  QUINCE_LOG_TRACE_ERROR_MALFORMED,
  /* The daemons log no event of this name. */
  QUINCE_LOG_TRACE_ERROR_UNKNOWN_EVENT,
} QuinceLogTraceError;

/* Returns whether @line is well formed and has an event that the daemons log; docs/OPERATIONS.md lists these.
 * Otherwise sets @error to a QuinceLogTraceError. */
gboolean quince_log_line_check (const char *line, GError **error);

typedef struct _QuinceLogTrace QuinceLogTrace;

QuinceLogTrace *quince_log_trace_new (void);
void quince_log_trace_free (QuinceLogTrace *trace);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceLogTrace, quince_log_trace_free)

/* Adds a copy of one line.  Ignores text before "time=", such as the prefix of a log collector, and lines
 * that are malformed. */
void quince_log_trace_add (QuinceLogTrace *trace, const char *line);

/**
 * quince_log_trace_format:
 * @id: id of a request, sample or batch
 *
 * Formats the lines that contain @id, ordered by time, and between them context lines, marked "(belief)".
 * Context lines come from the same processes, up to the last line that contains @id; they show the state of
 * the workers involved, the ledger, the metadata store, the configuration and the policy.
 *
 * Returns: (transfer full) (nullable): the trace, one log line per line; %NULL if no line contains @id
 */
char *quince_log_trace_format (const QuinceLogTrace *trace, const char *id);

G_END_DECLS
