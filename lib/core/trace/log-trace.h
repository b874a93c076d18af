/*
 * log-trace.h: reads the lines that processes log, and tells the trace of one request, sample or batch.
 *
 * Pure: lines come as text, in any order and from any number of processes.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

#define QUINCE_LOG_TRACE_ERROR (quince_log_trace_error_quark ())
GQuark quince_log_trace_error_quark (void);

typedef enum
{
  QUINCE_LOG_TRACE_ERROR_MALFORMED, /* no key=value line with time, level, program, name, event */
  QUINCE_LOG_TRACE_ERROR_UNKNOWN,   /* an event outside the vocabulary                          */
} QuinceLogTraceError;

/* Whether @line is well formed and its event is one that the daemons log; docs/OPERATIONS.md lists them. */
gboolean quince_log_line_check (const char *line, GError **error);

typedef struct _QuinceLogTrace QuinceLogTrace;

QuinceLogTrace *quince_log_trace_new (void);
void quince_log_trace_free (QuinceLogTrace *trace);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceLogTrace, quince_log_trace_free)

/* Takes one line; what stands before its time= is left out, and what is no log line is ignored. */
void quince_log_trace_add (QuinceLogTrace *trace, const char *line);

/**
 * quince_log_trace_format:
 * @id: of a request, a sample or a batch
 *
 * In the order of their times: the lines that name @id, and among them what the processes concerned believed
 * of the workers concerned, of the ledger, the store, the configuration and the policy.
 *
 * Returns: (transfer full) (nullable): one line of text each, %NULL when no line names @id
 */
char *quince_log_trace_format (const QuinceLogTrace *trace, const char *id);

G_END_DECLS
