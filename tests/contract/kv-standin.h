/*
 * kv-standin.h: starts the key-value service's stand-in, sets its faults and
 * waits on conditions; for the contract tests.
 */
#pragma once

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <signal.h>
#include <string.h>

#include <cmocka.h>
#include <gio/gio.h>
#include <libsoup/soup.h>

#define WAIT_SECONDS 30

static inline gboolean
on_wait_over (gpointer user_data)
{
  fail_msg ("condition not met within %d s", WAIT_SECONDS);
  return G_SOURCE_REMOVE;
}

/* Runs the loop until @condition holds. */
#define WAIT_FOR(condition)                                                                                  \
  G_STMT_START                                                                                               \
  {                                                                                                          \
    guint wait_source = g_timeout_add_seconds (WAIT_SECONDS, on_wait_over, NULL);                            \
    while (!(condition))                                                                                     \
      g_main_context_iteration (NULL, TRUE);                                                                 \
    g_source_remove (wait_source);                                                                           \
  }                                                                                                          \
  G_STMT_END

typedef struct
{
  GSubprocess *process; /* owned */
  char *address;        /* owned; of the service */
  char *control;        /* owned; of its controls */
  SoupSession *session; /* owned */
} KvStandin;

/* (transfer full): path of a program in the build directory */
static inline char *
find_program (const char *folder, const char *name)
{
  const char *build = g_getenv ("QUINCE_BUILD_DIR");
  if (build == NULL)
    fail_msg ("QUINCE_BUILD_DIR is not set: run through meson test");
  return g_build_filename (build, folder, name, NULL);
}

/* The value of "key=" in a ready line. (transfer full) */
static inline char *
find_value (const char *line, const char *key)
{
  const char *start = strstr (line, key);
  assert_non_null (start);
  start += strlen (key);
  return g_strndup (start, strcspn (start, " \n"));
}

/* @rate: requests a second, 0: no limit */
static inline KvStandin *
kv_standin_start (guint rate)
{
  KvStandin *standin = g_new0 (KvStandin, 1);
  g_autofree char *program = find_program ("rehearsal", "quinceroute-rehearsal");
  g_autofree char *rate_text = g_strdup_printf ("%u", rate);
  g_autoptr (GError) error = NULL;
  standin->process = g_subprocess_new (G_SUBPROCESS_FLAGS_STDOUT_PIPE, &error, program, "kv", "--listen",
                                       "127.0.0.1:0", "--rate", rate_text, NULL);
  if (standin->process == NULL)
    fail_msg ("%s: %s", program, error->message);
  g_autoptr (GDataInputStream) lines
      = g_data_input_stream_new (g_subprocess_get_stdout_pipe (standin->process));
  g_autofree char *line = g_data_input_stream_read_line (lines, NULL, NULL, NULL);
  if (line == NULL)
    fail_msg ("the stand-in printed no ready line");
  standin->address = find_value (line, " http=");
  standin->control = find_value (line, " control=");
  standin->session = soup_session_new ();
  return standin;
}

static inline void
kv_standin_stop (KvStandin *standin)
{
  g_subprocess_force_exit (standin->process);
  g_subprocess_wait (standin->process, NULL, NULL);
  /* Forced to end, not by a crash before. */
  assert_false (g_subprocess_get_if_exited (standin->process));
  assert_int_equal (g_subprocess_get_term_sig (standin->process), SIGKILL);
  g_clear_object (&standin->process);
  g_clear_object (&standin->session);
  g_free (standin->address);
  g_free (standin->control);
  g_free (standin);
}

/* One call to the stand-in's controls; @body NULL: GET. (transfer full): the answer */
static inline char *
kv_standin_control (KvStandin *standin, const char *path, const char *body)
{
  g_autofree char *url = g_strdup_printf ("http://%s%s", standin->control, path);
  g_autoptr (SoupMessage) message = soup_message_new (body != NULL ? "POST" : "GET", url);
  if (body != NULL)
    {
      g_autoptr (GBytes) bytes = g_bytes_new (body, strlen (body));
      soup_message_set_request_body_from_bytes (message, "application/json", bytes);
    }
  g_autoptr (GError) error = NULL;
  g_autoptr (GBytes) answer = soup_session_send_and_read (standin->session, message, NULL, &error);
  if (answer == NULL || soup_message_get_status (message) != 200)
    fail_msg ("%s %s: %s", path, body, error != NULL ? error->message : "refused");
  return g_strndup (g_bytes_get_data (answer, NULL), g_bytes_get_size (answer));
}

static inline gboolean
kv_standin_is_listening (KvStandin *standin)
{
  g_autoptr (GSocketClient) client = g_socket_client_new ();
  g_socket_client_set_enable_proxy (client, FALSE);
  g_autoptr (GSocketConnection) connection
      = g_socket_client_connect_to_host (client, standin->address, 0, NULL, NULL);
  return connection != NULL;
}

/* An outage closes the listener a moment after the control's answer: waits until it has. */
static inline void
kv_standin_set_faults (KvStandin *standin, const char *faults)
{
  g_free (kv_standin_control (standin, "/_faults", faults));
  if (strstr (faults, "\"outage\"") == NULL)
    return;
  gboolean outage = strstr (faults, "\"outage\":true") != NULL;
  for (guint tries = 0; kv_standin_is_listening (standin) == outage; tries++)
    {
      assert_true (tries < 10 * WAIT_SECONDS);
      g_usleep (G_USEC_PER_SEC / 10);
    }
}

/* Forgets data, records and faults. */
static inline void
kv_standin_reset (KvStandin *standin)
{
  g_free (kv_standin_control (standin, "/_reset", ""));
}
