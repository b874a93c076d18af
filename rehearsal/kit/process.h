/*
 * process.h: child processes of the demo and of tests.
 *
 * A QuinceProcess owns one child process and kills it when it is freed.  Standard output goes to
 * FOLDER/NAME.out and standard error to FOLDER/NAME.log, so that a child never blocks on a pipe.  Use a
 * QuinceProcess only on the thread that created it.  The kernel kills a child when the main thread that
 * started it ends, even if a test fails; children of other threads may outlive the program.
 */
#pragma once

#include <gio/gio.h>

G_BEGIN_DECLS

#define QUINCE_PROCESS_ERROR (quince_process_error_quark ())
GQuark quince_process_error_quark (void);

typedef enum
{
  QUINCE_PROCESS_ERROR_START,   /* the program cannot be started or its output files cannot be opened */
  QUINCE_PROCESS_ERROR_EXITED,  /* the process ended before it was ready */
  QUINCE_PROCESS_ERROR_TIMEOUT, /* a condition was not met in time, such as readiness */
} QuinceProcessError;

typedef struct _QuinceProcess QuinceProcess;

/**
 * quince_process_spawn:
 * @folder: existing folder for the output files
 * @name: name of the process, unique among the running processes of @folder
 * @arguments: (array zero-terminated=1): path of the program and its arguments
 *
 * Starts a process without waiting until it is ready; see quince_process_check_ready() and
 * quince_process_await_ready().  Truncates the file for standard output and appends to the one for standard
 * error.
 *
 * Returns: (transfer full) (nullable): the process, or %NULL with %QUINCE_PROCESS_ERROR_START
 */
QuinceProcess *
quince_process_spawn (const char *folder, const char *name, const char *const *arguments, GError **error);
/**
 * quince_process_check_ready:
 * @is_ready: (out): the process has printed a line "ready key=value ..." on standard output
 *
 * Does not block, so that the main loop of the caller can run until the process is ready.
 *
 * Returns: %FALSE with %QUINCE_PROCESS_ERROR_EXITED if the process ended before it was ready, or with
 *   %QUINCE_PROCESS_ERROR_TIMEOUT if it is not ready 30 s after its start
 */
gboolean quince_process_check_ready (QuinceProcess *process, gboolean *is_ready, GError **error);
/* Blocks until the process is ready.  Returns: as quince_process_check_ready() does */
gboolean quince_process_await_ready (QuinceProcess *process, GError **error);

const char *quince_process_get_name (const QuinceProcess *process);
/* Returns: (transfer none): the value of @key in the ready line, or "" if there is none */
const char *quince_process_get_ready_value (const QuinceProcess *process, const char *key);
GPid quince_process_get_pid (const QuinceProcess *process);
gboolean quince_process_is_running (QuinceProcess *process);
/* Returns: resident memory in bytes, or 0 if the process has ended or its memory cannot be read */
guint64 quince_process_get_memory (QuinceProcess *process);

void quince_process_kill (QuinceProcess *process);    /* sends SIGKILL and waits up to 10 s for the end */
void quince_process_suspend (QuinceProcess *process); /* sends SIGSTOP */
void quince_process_resume (QuinceProcess *process);  /* sends SIGCONT */
void quince_process_stop (QuinceProcess *process);    /* sends SIGTERM without waiting for the end */
/* Blocks until the process ends.
 * @status: (out) (optional): exit status, or 128 + signal number; set if the process has ended
 *
 * Returns: %FALSE if the process still runs after @timeout_ms */
gboolean quince_process_wait (QuinceProcess *process, guint timeout_ms, int *status);
/* Returns: (transfer full) (nullable): the standard output so far, or %NULL if its file cannot be read */
char *quince_process_read_output (const QuinceProcess *process);
/* Kills the process if it still runs.  Logs and counts a failure, as
 * quince_process_get_and_reset_failures() defines it. */
void quince_process_free (QuinceProcess *process);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceProcess, quince_process_free)

/**
 * quince_process_get_and_reset_failures:
 *
 * Counts the failed processes that this program has freed since the last call.  A process has failed if its
 * status is not 0, quince_process_kill() did not kill it and no caller of quince_process_wait() read the
 * status.
 *
 * Returns: the number of failures, of processes of all threads
 */
guint quince_process_get_and_reset_failures (void);

G_END_DECLS
