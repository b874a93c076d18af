/*
 * process.c: starts, suspends, resumes, stops and kills child processes.
 */
#include "process.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "runtime/log.h"

/* A daemon prints its ready line within 1 s, even on a busy machine. */
#define READY_TIMEOUT_US (30 * G_USEC_PER_SEC)
/* Shorter than the start of a program, which takes about 10 ms. */
#define POLL_INTERVAL_US 2000
/* Maximum wait for a process to exit after SIGKILL. */
#define KILL_TIMEOUT_MS 10000

G_DEFINE_QUARK (quince - process - error - quark, quince_process_error)

struct _QuinceProcess
{
  /* All fields belong to the creating thread. */
  char *name;
  char *output_path;
  GPid pid;
  gint64 started_us; /* monotonic */
  gboolean is_ready; /* the ready line was read */
  gboolean ended;
  gboolean killed;          /* by quince_process_kill() */
  gboolean is_status_read;  /* a caller of quince_process_wait() received the status */
  int status;               /* exit status, or 128 + signal number */
  GHashTable *ready_values; /* key -> value of the ready line, owned */
};

/* Shared by all threads; see quince_process_get_and_reset_failures(). */
static gint failures;

/* Runs in the child between fork and exec; may use only async-signal-safe calls.  A child of the main thread
 * is killed when that thread ends, so that a failed test leaves no process behind.  Other threads may end
 * before the program does, so their children do not get the signal.
 * @data: whether the main thread starts the child */
static void
prepare_child (gpointer data)
{
  if (GPOINTER_TO_INT (data))
    prctl (PR_SET_PDEATHSIG, SIGKILL);
  signal (SIGPIPE, SIG_DFL);
}

static gboolean
open_output_files (const char *folder,
                   const char *name,
                   char **output_path,
                   FILE **output,
                   FILE **log,
                   GError **error)
{
  g_autofree char *log_name = g_strconcat (name, ".log", NULL);
  g_autofree char *output_name = g_strconcat (name, ".out", NULL);
  g_autofree char *log_path = g_build_filename (folder, log_name, NULL);
  *output_path = g_build_filename (folder, output_name, NULL);
  *output = fopen (*output_path, "we");
  *log = fopen (log_path, "ae");
  if (*output != NULL && *log != NULL)
    return TRUE;
  g_set_error (error, QUINCE_PROCESS_ERROR, QUINCE_PROCESS_ERROR_START, "cannot open output files in %s",
               folder);
  return FALSE;
}

static void
close_file (FILE *file)
{
  if (file != NULL)
    fclose (file);
}

QuinceProcess *
quince_process_spawn (const char *folder, const char *name, const char *const *arguments, GError **error)
{
  FILE *output = NULL, *log = NULL;
  g_autofree char *output_path = NULL;
  GPid pid = 0;
  g_autoptr (GError) cause = NULL;
  gboolean is_started = open_output_files (folder, name, &output_path, &output, &log, error);
  if (is_started)
    {
      is_started = g_spawn_async_with_fds (NULL, (char **)arguments, NULL, G_SPAWN_DO_NOT_REAP_CHILD,
                                           prepare_child, GINT_TO_POINTER (getpid () == gettid ()), &pid, -1,
                                           fileno (output), fileno (log), &cause);
      if (!is_started)
        g_set_error (error, QUINCE_PROCESS_ERROR, QUINCE_PROCESS_ERROR_START, "cannot start %s: %s",
                     arguments[0], cause->message);
    }
  close_file (output);
  close_file (log);
  if (!is_started)
    return NULL;
  QuinceProcess *process = g_new0 (QuinceProcess, 1);
  process->name = g_strdup (name);
  process->output_path = g_steal_pointer (&output_path);
  process->pid = pid;
  process->started_us = g_get_monotonic_time ();
  process->ready_values = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return process;
}

static void
reap_child (QuinceProcess *process)
{
  int status;
  if (process->ended || waitpid (process->pid, &status, WNOHANG) != process->pid)
    return;
  process->ended = TRUE;
  process->status = WIFEXITED (status) ? WEXITSTATUS (status) : 128 + WTERMSIG (status);
}

GPid
quince_process_get_pid (const QuinceProcess *process)
{
  return process->pid;
}

gboolean
quince_process_is_running (QuinceProcess *process)
{
  reap_child (process);
  return !process->ended;
}

static gboolean
parse_ready_line (QuinceProcess *process)
{
  g_autofree char *text = quince_process_read_output (process);
  char *start = text != NULL && g_str_has_prefix (text, "ready ") ? text : NULL;
  if (start == NULL && text != NULL && (start = strstr (text, "\nready ")) != NULL)
    start++;
  char *end = start != NULL ? strchr (start, '\n') : NULL;
  if (end == NULL)
    return FALSE;
  *end = '\0';
  g_auto (GStrv) pairs = g_strsplit (start, " ", -1);
  for (char **pair = pairs; *pair != NULL; pair++)
    {
      char *equals = strchr (*pair, '=');
      if (equals != NULL)
        g_hash_table_insert (process->ready_values, g_strndup (*pair, (gsize)(equals - *pair)),
                             g_strdup (equals + 1));
    }
  return TRUE;
}

gboolean
quince_process_check_ready (QuinceProcess *process, gboolean *is_ready, GError **error)
{
  process->is_ready = process->is_ready || parse_ready_line (process);
  *is_ready = process->is_ready;
  if (*is_ready)
    return TRUE;
  if (!quince_process_is_running (process))
    {
      g_set_error (error, QUINCE_PROCESS_ERROR, QUINCE_PROCESS_ERROR_EXITED,
                   "%s ended with status %d before it was ready", process->name, process->status);
      return FALSE;
    }
  if (g_get_monotonic_time () - process->started_us > READY_TIMEOUT_US)
    {
      g_set_error (error, QUINCE_PROCESS_ERROR, QUINCE_PROCESS_ERROR_TIMEOUT, "%s is not ready after 30 s",
                   process->name);
      return FALSE;
    }
  return TRUE;
}

gboolean
quince_process_await_ready (QuinceProcess *process, GError **error)
{
  gboolean is_ready = FALSE;
  while (quince_process_check_ready (process, &is_ready, error))
    {
      if (is_ready)
        return TRUE;
      g_usleep (POLL_INTERVAL_US);
    }
  return FALSE;
}

const char *
quince_process_get_name (const QuinceProcess *process)
{
  return process->name;
}

const char *
quince_process_get_ready_value (const QuinceProcess *process, const char *key)
{
  const char *value = g_hash_table_lookup (process->ready_values, key);
  return value != NULL ? value : "";
}

char *
quince_process_read_output (const QuinceProcess *process)
{
  char *text = NULL;
  g_file_get_contents (process->output_path, &text, NULL, NULL);
  return text;
}

guint64
quince_process_get_memory (QuinceProcess *process)
{
  g_autofree char *path = g_strdup_printf ("/proc/%d/statm", process->pid);
  g_autofree char *text = NULL;
  guint64 total = 0, resident = 0;
  if (!quince_process_is_running (process) || !g_file_get_contents (path, &text, NULL, NULL)
      || sscanf (text, "%" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT, &total, &resident) != 2)
    return 0;
  return resident * (guint64)sysconf (_SC_PAGESIZE);
}

static void
send_signal (QuinceProcess *process, int signal_number)
{
  if (quince_process_is_running (process))
    kill (process->pid, signal_number);
}

void
quince_process_kill (QuinceProcess *process)
{
  process->killed |= quince_process_is_running (process);
  send_signal (process, SIGKILL);
  quince_process_wait (process, KILL_TIMEOUT_MS, NULL);
}

void
quince_process_suspend (QuinceProcess *process)
{
  send_signal (process, SIGSTOP);
}

void
quince_process_resume (QuinceProcess *process)
{
  send_signal (process, SIGCONT);
}

void
quince_process_stop (QuinceProcess *process)
{
  send_signal (process, SIGTERM);
}

gboolean
quince_process_wait (QuinceProcess *process, guint timeout_ms, int *status)
{
  gint64 deadline_us = g_get_monotonic_time () + (gint64)timeout_ms * 1000;
  while (quince_process_is_running (process))
    {
      if (g_get_monotonic_time () > deadline_us)
        return FALSE;
      g_usleep (POLL_INTERVAL_US);
    }
  if (status == NULL)
    return TRUE;
  process->is_status_read = TRUE;
  *status = process->status;
  return TRUE;
}

/* The exit status also reveals a crash, an abort or a sanitizer report. */
static void
report_failure (const QuinceProcess *process)
{
  gboolean is_expected_kill = process->killed && process->status == 128 + SIGKILL;
  if (!process->ended || process->status == 0 || process->is_status_read || is_expected_kill)
    return;
  g_atomic_int_inc (&failures);
  g_autofree char *name = quince_log_quote (process->name);
  quince_log_failure ("process_failed", "name=%s status=%d", name, process->status);
}

guint
quince_process_get_and_reset_failures (void)
{
  return (guint)g_atomic_int_exchange (&failures, 0);
}

void
quince_process_free (QuinceProcess *process)
{
  send_signal (process, SIGCONT);
  quince_process_kill (process);
  report_failure (process);
  g_hash_table_unref (process->ready_values);
  g_free (process->output_path);
  g_free (process->name);
  g_free (process);
}
