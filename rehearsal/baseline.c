/*
 * baseline.c: a plain router with the agent's HTTP interface.
 */
#include "baseline.h"

#include <argp.h>
#include <glib-unix.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include <quince/http.h>
#include <quince/log.h>

#include "standin.h"

#define MOST_AT_ONCE 100000
#define TRAINERS_PATH "/v1/trainers/"

typedef struct
{
  const char *listen;
  const char *engines;
  const char *weights;
  const char *mode;
  guint64 samples_at_once;
} BaselineFlags;

static void
handle_request (SoupServer *server,
                SoupServerMessage *message,
                const char *path,
                GHashTable *query,
                gpointer user_data)
{
  Baseline *baseline = user_data;
  if (g_str_equal (path, "/healthz") || g_str_equal (path, "/readyz"))
    quince_http_reply_text (message, 200, "text/plain", "ok\n");
  else if (soup_server_message_get_method (message) != SOUP_METHOD_POST)
    quince_http_reply_error (message, 404, "not_found", "no such call", -1, -1);
  else if (g_str_equal (path, "/v1/completions"))
    baseline_handle_completion (baseline, message);
  else if (g_str_equal (path, "/v1/rollouts"))
    baseline_handle_rollout (baseline->rollouts, message);
  else if (g_str_has_prefix (path, TRAINERS_PATH))
    baseline_handle_trainer (baseline->rollouts, message, path + strlen (TRAINERS_PATH));
  else
    quince_http_reply_error (message, 404, "not_found", "no such call", -1, -1);
}

static gboolean
on_signal (gpointer loop)
{
  g_main_loop_quit (loop);
  return G_SOURCE_CONTINUE;
}

static int
serve (Baseline *baseline, const BaselineFlags *flags)
{
  g_autoptr (GError) error = NULL;
  g_autofree char *address = NULL;
  g_autoptr (SoupServer) server = quince_http_server_new (NULL);
  soup_server_add_handler (server, NULL, handle_request, baseline, NULL);
  if (!quince_http_listen (server, flags->listen, &address, &error))
    return quince_standin_report_failure ("baseline", error);
  g_autoptr (GMainLoop) loop = g_main_loop_new (NULL, FALSE);
  guint signals[]
      = { g_unix_signal_add (SIGTERM, on_signal, loop), g_unix_signal_add (SIGINT, on_signal, loop) };
  baseline->session = quince_engine_session_new ();
  for (guint i = 0; i < BASELINE_SESSIONS; i++)
    baseline->run_sessions[i] = quince_engine_session_new ();
  baseline->rollouts = baseline_rollouts_new (baseline, (guint)flags->samples_at_once);
  if (*flags->weights != '\0')
    baseline->weights = baseline_weights_new (baseline, flags->weights);
  printf ("ready role=baseline name=%s http=%s\n", flags->mode, address);
  fflush (stdout);
  g_main_loop_run (loop);
  for (guint i = 0; i < G_N_ELEMENTS (signals); i++)
    g_source_remove (signals[i]);
  /* What still runs ends with the process: nothing of it is kept. */
  return QUINCE_STANDIN_EXIT_OK;
}

/* ---- Flags ---- */

enum
{
  KEY_MODE = 0x2000,
  KEY_ENGINES,
  KEY_LISTEN,
  KEY_WEIGHTS,
  KEY_AT_ONCE,
};

static const struct argp_option options[] = {
  { "mode", KEY_MODE, "MODE", 0, "round_robin, least_outstanding or prefix_hash", 0 },
  { "engines", KEY_ENGINES, "NAME=IP:PORT,SERVICE;...", 0, "Engines", 0 },
  { "listen", KEY_LISTEN, "IP:PORT", 0, "HTTP interface (127.0.0.1:0)", 0 },
  { "weights", KEY_WEIGHTS, "IP:PORT", 0, "Weight store; without it this router swaps no weights", 0 },
  { "samples-at-once", KEY_AT_ONCE, "N", 0, "Samples of trainers that run together (128)", 0 },
  { 0 },
};

static error_t
parse_flag (int key, char *argument, struct argp_state *state)
{
  BaselineFlags *flags = state->input;
  switch (key)
    {
    case KEY_MODE:
      flags->mode = argument;
      return 0;
    case KEY_ENGINES:
      flags->engines = argument;
      return 0;
    case KEY_LISTEN:
      flags->listen = argument;
      return 0;
    case KEY_WEIGHTS:
      flags->weights = argument;
      return 0;
    case KEY_AT_ONCE:
      flags->samples_at_once = quince_standin_flag_number (argument, MOST_AT_ONCE, state);
      return 0;
    case ARGP_KEY_END:
      if (flags->mode == NULL || flags->engines == NULL)
        argp_error (state, "--mode and --engines are needed");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static gboolean
parse_mode (const char *text, BaselineMode *mode)
{
  static const char *const names[] = { "round_robin", "least_outstanding", "prefix_hash" };
  for (guint i = 0; i < G_N_ELEMENTS (names); i++)
    if (g_str_equal (text, names[i]))
      {
        *mode = (BaselineMode)i;
        return TRUE;
      }
  return FALSE;
}

int
quince_baseline_run (int argc, char **argv)
{
  BaselineFlags flags = { .listen = "127.0.0.1:0", .weights = "", .samples_at_once = 128 };
  const struct argp parser
      = { options, parse_flag, NULL, "A plain router, to compare the service with.", NULL, NULL, NULL };
  argp_err_exit_status = QUINCE_STANDIN_EXIT_USAGE;
  argp_parse (&parser, argc, argv, 0, NULL, &flags);
  quince_log_init ("quinceroute-rehearsal", "baseline", G_LOG_LEVEL_WARNING);
  Baseline baseline = { .engines = g_ptr_array_new_with_free_func (baseline_engine_free) };
  if (!parse_mode (flags.mode, &baseline.mode) || !baseline_add_engines (&baseline, flags.engines))
    {
      fprintf (stderr, "baseline: '%s' is no mode, or --engines is malformed\n", flags.mode);
      return QUINCE_STANDIN_EXIT_USAGE;
    }
  return serve (&baseline, &flags);
}
