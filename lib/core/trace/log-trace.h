/*
 * log-trace.h: the log lines of all processes about one request, sample or batch, in order.
 *
 * Owns the lines that were added.  Pure: lines are text, in any order and from any number of processes.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

#define QUINCE_LOG_TRACE_ERROR (quince_log_trace_error_quark ())
GQuark quince_log_trace_error_quark (void);

typedef enum
{
  QUINCE_LOG_TRACE_ERROR_MALFORMED, /* no key=value line that begins with time, level, program, name, event */
  QUINCE_LOG_TRACE_ERROR_UNKNOWN_EVENT, /* an event that the daemons do not log */
} QuinceLogTraceError;

/* Whether @line is well formed and its event is one that the daemons log; docs/OPERATIONS.md lists them. */
gboolean quince_log_line_check (const char *line, GError **error);

typedef struct _QuinceLogTrace QuinceLogTrace;

QuinceLogTrace *quince_log_trace_new (void);
void quince_log_trace_free (QuinceLogTrace *trace);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceLogTrace, quince_log_trace_free)

/* Adds one line.  Text before its time= is dropped, and a text that is no log line is ignored. */
void quince_log_trace_add (QuinceLogTrace *trace, const char *line);

/**
 * quince_log_trace_format:
 * @id: of a request, a sample or a batch
 *
 * In the order of their times: the lines that name @id, and, as context, the state of the processes in them:
 * workers in those lines, ledger, metadata store, configuration and policy.
 *
 * Returns: (transfer full) (nullable): one line of text for each; %NULL when no line names @id
 */
char *quince_log_trace_format (const QuinceLogTrace *trace, const char *id);

G_END_DECLS
