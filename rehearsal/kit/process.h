/*
 * process.h: child processes of the demo and of tests.
 *
 * A QuinceProcess owns one child, which is killed with it.  Standard output goes to FOLDER/NAME.out and
 * standard error to FOLDER/NAME.log, so that nothing blocks on a pipe and all can be read after.  Belongs to
 * the main thread: the kernel ends the children with it, also when a test fails.
 */
#pragma once

#include <gio/gio.h>

G_BEGIN_DECLS

#define QUINCE_PROCESS_ERROR (quince_process_error_quark ())
GQuark quince_process_error_quark (void);

typedef enum
{
  QUINCE_PROCESS_ERROR_START,   /* cannot be started                        */
  QUINCE_PROCESS_ERROR_EXITED,  /* ended before it was ready                */
  QUINCE_PROCESS_ERROR_TIMEOUT, /* not ready, or not ended, in time         */
} QuinceProcessError;

typedef struct _QuinceProcess QuinceProcess;

/**
 * quince_process_spawn:
 * @folder: where output goes
 * @name: unique among the running processes of @folder
 * @arguments: (array zero-terminated=1): program path and its arguments
 *
 * Does not wait until it is ready: see quince_process_await_ready().
 */
QuinceProcess *
quince_process_spawn (const char *folder, const char *name, const char *const *arguments, GError **error);
/* Waits for the line "ready key=value ..." on standard output. */
gboolean quince_process_await_ready (QuinceProcess *process, GError **error);

const char *quince_process_get_name (const QuinceProcess *process);
/* Value of @key in the ready line, "" when absent. */
const char *quince_process_get_ready_value (const QuinceProcess *process, const char *key);
gboolean quince_process_is_running (QuinceProcess *process);
/* Resident memory in bytes; 0 when it has ended. */
guint64 quince_process_get_memory (QuinceProcess *process);

void quince_process_kill (QuinceProcess *process);    /* SIGKILL, waits      */
void quince_process_suspend (QuinceProcess *process); /* SIGSTOP             */
void quince_process_resume (QuinceProcess *process);  /* SIGCONT             */
void quince_process_stop (QuinceProcess *process);    /* SIGTERM, no wait    */
/* Returns: FALSE when it still runs after @timeout_ms; else @status (out) (optional) is
 * the exit status, or 128 + signal. */
gboolean quince_process_wait (QuinceProcess *process, guint timeout_ms, int *status);
/* Everything written to standard output so far. (transfer full) */
char *quince_process_read_output (const QuinceProcess *process);
/* Kills it when it still runs; an exit status other than 0 that no caller took is logged and counted. */
void quince_process_free (QuinceProcess *process);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceProcess, quince_process_free)

/**
 * quince_process_get_and_reset_failures:
 *
 * Returns: how many processes of this program, freed since the last call, had ended otherwise
 * than with status 0 or by quince_process_kill(), with no caller that took their status.
 */
guint quince_process_get_and_reset_failures (void);

G_END_DECLS
