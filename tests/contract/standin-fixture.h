/*
 * standin-fixture.h: starts subcommands of quinceroute-rehearsal and calls
 * them; for the contract tests of the stand-ins.
 */
#pragma once

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <signal.h>
#include <string.h>
#include <sys/prctl.h>

#include <cmocka.h>
#include <gio/gio.h>
#include <libsoup/soup.h>

#define WAIT_SECONDS 30
/* For calls that are expected to get no answer. */
#define SILENCE_SECONDS 1

typedef struct
{
  GSubprocess *process;     /* owned */
  GDataInputStream *output; /* owned */
  char *ready;              /* owned; ready line       */
  char *http;               /* owned; of the interface */
  char *control;            /* owned; of the controls  */
} Standin;

/* One whole answer; status 0: none came. */
typedef struct
{
  guint status;
  char *text; /* owned; never NULL */
  gboolean not_run;
  gboolean leaving;
} Answer;

static inline void
answer_clear (Answer *answer)
{
  g_free (answer->text);
}
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (Answer, answer_clear)

/* (transfer full): value of "key=" in @line */
static inline char *
find_value (const char *line, const char *key)
{
  const char *start = strstr (line, key);
  if (start == NULL)
    fail_msg ("no %s in: %s", key, line);
  start += strlen (key);
  return g_strndup (start, strcspn (start, " \n"));
}

/* A stand-in must not outlive a test that was stopped. */
static inline void
end_with_parent (gpointer user_data)
{
  prctl (PR_SET_PDEATHSIG, SIGKILL);
}

/* @arguments: NULL terminated; the subcommand and its flags */
static inline Standin *
standin_start (const char *const *arguments)
{
  const char *build = g_getenv ("QUINCE_BUILD_DIR");
  if (build == NULL)
    fail_msg ("QUINCE_BUILD_DIR is not set: run through meson test");
  g_autofree char *program = g_build_filename (build, "rehearsal", "quinceroute-rehearsal", NULL);
  g_autoptr (GPtrArray) argv = g_ptr_array_new ();
  g_ptr_array_add (argv, program);
  for (guint i = 0; arguments[i] != NULL; i++)
    g_ptr_array_add (argv, (gpointer)arguments[i]);
  g_ptr_array_add (argv, NULL);
  g_autoptr (GError) error = NULL;
  Standin *standin = g_new0 (Standin, 1);
  g_autoptr (GSubprocessLauncher) launcher = g_subprocess_launcher_new (G_SUBPROCESS_FLAGS_STDOUT_PIPE);
  g_subprocess_launcher_set_child_setup (launcher, end_with_parent, NULL, NULL);
  standin->process = g_subprocess_launcher_spawnv (launcher, (const char *const *)argv->pdata, &error);
  if (standin->process == NULL)
    fail_msg ("%s: %s", program, error->message);
  standin->output = g_data_input_stream_new (g_subprocess_get_stdout_pipe (standin->process));
  standin->ready = g_data_input_stream_read_line (standin->output, NULL, NULL, NULL);
  if (standin->ready == NULL)
    fail_msg ("%s printed no ready line", arguments[0]);
  standin->http = find_value (standin->ready, " http=");
  standin->control = find_value (standin->ready, " control=");
  return standin;
}
#define STANDIN_START(...) standin_start ((const char *const[]){ __VA_ARGS__, NULL })

/* Waits for the process and frees; returns its exit status. */
static inline int
standin_wait (Standin *standin)
{
  assert_true (g_subprocess_wait (standin->process, NULL, NULL));
  int status
      = g_subprocess_get_if_exited (standin->process) ? g_subprocess_get_exit_status (standin->process) : -1;
  g_object_unref (standin->process);
  g_object_unref (standin->output);
  g_free (standin->ready);
  g_free (standin->http);
  g_free (standin->control);
  g_free (standin);
  return status;
}

/* A planned stop must end it with 0. */
static inline void
standin_stop (Standin *standin)
{
  g_subprocess_send_signal (standin->process, SIGTERM);
  assert_int_equal (standin_wait (standin), 0);
}

/* ---- Calls ---- */

static inline SoupMessage *
new_message (const char *address, const char *path, const char *body)
{
  g_autofree char *url = g_strdup_printf ("http://%s%s", address, path);
  SoupMessage *message = soup_message_new (body != NULL ? "POST" : "GET", url);
  assert_non_null (message);
  if (body != NULL)
    {
      g_autoptr (GBytes) bytes = g_bytes_new (body, strlen (body));
      soup_message_set_request_body_from_bytes (message, "application/json", bytes);
    }
  return message;
}

static inline Answer
read_answer (SoupMessage *message, GBytes *bytes)
{
  SoupMessageHeaders *headers = soup_message_get_response_headers (message);
  Answer answer = { .text = g_strdup ("") };
  if (bytes == NULL)
    return answer;
  g_free (answer.text);
  answer.status = soup_message_get_status (message);
  answer.text = g_strndup (g_bytes_get_data (bytes, NULL), g_bytes_get_size (bytes));
  /* A stream is whole only with its end: libsoup takes a cut one for ended. */
  if (g_strcmp0 (soup_message_headers_get_content_type (headers, NULL), "text/event-stream") == 0
      && !g_str_has_suffix (answer.text, "data: [DONE]\n\n"))
    answer.status = 0;
  answer.not_run = soup_message_headers_get_one (headers, "X-Engine-Not-Run") != NULL;
  answer.leaving = soup_message_headers_get_one (headers, "X-Engine-Leaving") != NULL;
  return answer;
}

/* @body NULL: GET.  A session of its own, so that no connection is reused. */
static inline Answer
call_for (const char *address, const char *path, const char *body, guint seconds)
{
  g_autoptr (SoupSession) session = soup_session_new_with_options ("timeout", seconds, NULL);
  g_autoptr (SoupMessage) message = new_message (address, path, body);
  g_autoptr (GBytes) bytes = soup_session_send_and_read (session, message, NULL, NULL);
  return read_answer (message, bytes);
}

static inline Answer
call (const char *address, const char *path, const char *body)
{
  return call_for (address, path, body, WAIT_SECONDS);
}

static inline void
set_faults (Standin *standin, const char *faults)
{
  g_auto (Answer) answer = call (standin->control, "/_faults", faults);
  if (answer.status != 200)
    fail_msg ("faults %s: %u %s", faults, answer.status, answer.text);
}

static inline void
reset (Standin *standin)
{
  g_auto (Answer) answer = call (standin->control, "/_reset", "{}");
  assert_int_equal (answer.status, 200);
}

/* (transfer full) */
static inline char *
get_records (Standin *standin)
{
  Answer answer = call (standin->control, "/_records", NULL);
  assert_int_equal (answer.status, 200);
  return answer.text;
}

static inline gboolean
records_contain (Standin *standin, const char *text)
{
  g_autofree char *records = get_records (standin);
  return strstr (records, text) != NULL;
}

static inline void
assert_contains (const char *text, const char *part, const char *where)
{
  if (strstr (text, part) == NULL)
    fail_msg ("%s: no \"%s\" in: %s", where, part, text);
}

/* Looks at the condition again and again; fails after a bounded time. */
#define WAIT_UNTIL(condition)                                                                                \
  G_STMT_START                                                                                               \
  {                                                                                                          \
    for (guint tries = 0; !(condition); tries++)                                                             \
      {                                                                                                      \
        if (tries >= 100 * WAIT_SECONDS)                                                                     \
          fail_msg ("not reached: %s", #condition);                                                          \
        while (g_main_context_iteration (NULL, FALSE))                                                       \
          ;                                                                                                  \
        g_usleep (G_USEC_PER_SEC / 100);                                                                     \
      }                                                                                                      \
  }                                                                                                          \
  G_STMT_END

/* ---- Calls that go on in the background ---- */

typedef struct
{
  SoupSession *session; /* owned */
  SoupMessage *message; /* owned */
  gboolean done;
  Answer answer;
} Pending;

static inline void
on_pending_done (GObject *source, GAsyncResult *result, gpointer user_data)
{
  Pending *pending = user_data;
  g_autoptr (GBytes) bytes = soup_session_send_and_read_finish (SOUP_SESSION (source), result, NULL);
  pending->answer = read_answer (pending->message, bytes);
  pending->done = TRUE;
}

static inline Pending *
call_start (const char *address, const char *path, const char *body)
{
  Pending *pending = g_new0 (Pending, 1);
  pending->session = soup_session_new_with_options ("timeout", WAIT_SECONDS, NULL);
  pending->message = new_message (address, path, body);
  soup_session_send_and_read_async (pending->session, pending->message, G_PRIORITY_DEFAULT, NULL,
                                    on_pending_done, pending);
  return pending;
}

static inline Answer
call_finish (Pending *pending)
{
  WAIT_UNTIL (pending->done);
  Answer answer = pending->answer;
  g_object_unref (pending->session);
  g_object_unref (pending->message);
  g_free (pending);
  return answer;
}
