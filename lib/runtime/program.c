/*
 * program.c: flags, settings, main loop and signals of a daemon; see program.h.
 */
#include "runtime/program.h"

#include <argp.h>
#include <glib-unix.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "runtime/log.h"

enum
{
  OPTION_SET = 's',
  OPTION_CONFIG = 'c',
  OPTION_LOG_LEVEL = 'l',
  OPTION_CHECK = 0x100,
  OPTION_HELP_SETTINGS,
};

typedef struct
{
  const char *config;
  GPtrArray *overrides; /* values of --set, terminated by NULL after parsing */
  gboolean check;
  gboolean help_settings;
  GLogLevelFlags level;
} Flags;

/* Main loop of the process; used by the main thread only. */
static GMainLoop *main_loop;
static int exit_status;

typedef struct
{
  const QuinceProgram *program;
  const Flags *flags;
  gpointer self;
  gboolean stopping;
} RunningProgram;

static const struct argp_option options[] = {
  { "config", OPTION_CONFIG, "FILE", 0, "Read settings from FILE", 0 },
  { "set", OPTION_SET, "SECTION.KEY=VALUE", 0, "Override one setting of the file (repeatable)", 0 },
  { "check", OPTION_CHECK, NULL, 0, "Check the settings and exit", 0 },
  { "help-settings", OPTION_HELP_SETTINGS, NULL, 0, "Print every setting with its default and exit", 0 },
  { "log-level", OPTION_LOG_LEVEL, "LEVEL", 0, "debug, info, warning or error (default info)", 0 },
  { 0 },
};

static error_t
parse_flag (int key, char *argument, struct argp_state *state)
{
  Flags *flags = state->input;
  switch (key)
    {
    case OPTION_CONFIG:
      flags->config = argument;
      return 0;
    case OPTION_SET:
      g_ptr_array_add (flags->overrides, argument);
      return 0;
    case OPTION_CHECK:
      flags->check = TRUE;
      return 0;
    case OPTION_HELP_SETTINGS:
      flags->help_settings = TRUE;
      return 0;
    case OPTION_LOG_LEVEL:
      if (!quince_log_parse_level (argument, &flags->level))
        argp_error (state, "'%s' is not a log level; allowed: debug, info, warning, error", argument);
      return 0;
    case ARGP_KEY_ARG:
      argp_error (state, "unexpected argument '%s'", argument);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static gboolean
handle_stop_signal (gpointer data)
{
  RunningProgram *running = data;
  if (running->stopping)
    return G_SOURCE_CONTINUE;
  running->stopping = TRUE;
  quince_log_info ("stopping", "%s", "");
  running->program->stop (running->self);
  return G_SOURCE_CONTINUE;
}

static QuinceSettings *
read_settings (const QuinceProgram *program, const Flags *flags, GError **error)
{
  return quince_settings_load (flags->config, program->specs, program->n_specs,
                               (const char *const *)flags->overrides->pdata, error);
}

/* Reads the settings again on SIGHUP.  Invalid settings are logged and ignored. */
static gboolean
handle_reload_signal (gpointer data)
{
  RunningProgram *running = data;
  g_autoptr (GError) error = NULL;
  g_autoptr (QuinceSettings) settings = read_settings (running->program, running->flags, &error);
  if (settings == NULL)
    {
      g_autofree char *reason = quince_log_quote (error->message);
      quince_log_warning ("reload_refused", "reason=%s", reason);
      return G_SOURCE_CONTINUE;
    }
  quince_log_info ("reloaded", "%s", "");
  if (running->program->reload != NULL)
    running->program->reload (running->self, settings);
  return G_SOURCE_CONTINUE;
}

void
quince_program_quit (int status)
{
  exit_status = status;
  g_main_loop_quit (main_loop);
}

static void
print_ready (const QuinceProgram *program, gpointer self)
{
  g_autofree char *line = program->ready_line (self);
  printf ("ready %s\n", line);
  fflush (stdout);
}

/* The setting log.level, if set, overrides the flag --log-level. */
static void
init_log (const QuinceProgram *program, const Flags *flags, const QuinceSettings *settings)
{
  const char *name = quince_settings_get_text (settings, program->name_section, "name");
  GLogLevelFlags level = flags->level;
  quince_log_parse_level (quince_settings_get_text (settings, "log", "level"), &level);
  quince_log_init (program->name, name, level);
  if (program->log_lines_per_second > 0)
    quince_log_set_output (STDOUT_FILENO, program->log_lines_per_second);
}

static int
run_with_settings (const QuinceProgram *program, const Flags *flags, const QuinceSettings *settings)
{
  init_log (program, flags, settings);
  main_loop = g_main_loop_new (NULL, FALSE);
  g_autoptr (GError) error = NULL;
  gpointer self = program->start (settings, &error);
  if (self == NULL)
    {
      g_autofree char *reason = quince_log_quote (error->message);
      quince_log_failure ("start_failed", "error=%s code=%d reason=%s", g_quark_to_string (error->domain),
                          error->code, reason);
      return QUINCE_EXIT_FAILURE;
    }
  RunningProgram running = { .program = program, .flags = flags, .self = self };
  signal (SIGPIPE, SIG_IGN);
  /* These handlers stay installed, so that a signal during shutdown does not kill the process. */
  g_unix_signal_add (SIGTERM, handle_stop_signal, &running);
  g_unix_signal_add (SIGINT, handle_stop_signal, &running);
  g_unix_signal_add (SIGHUP, handle_reload_signal, &running);
  print_ready (program, self);
  g_main_loop_run (main_loop);
  running.stopping = TRUE;
  program->free (self);
  g_clear_pointer (&main_loop, g_main_loop_unref);
  quince_log_info ("stopped", "status=%d", exit_status);
  return exit_status;
}

static int
run_with_flags (const QuinceProgram *program, const Flags *flags)
{
  if (flags->help_settings)
    {
      g_autofree char *text = quince_settings_describe (program->specs, program->n_specs);
      fputs (text, stdout);
      return QUINCE_EXIT_OK;
    }
  g_autoptr (GError) error = NULL;
  g_autoptr (QuinceSettings) settings = read_settings (program, flags, &error);
  if (settings == NULL)
    {
      fprintf (stderr, "%s\n", error->message);
      return QUINCE_EXIT_USAGE;
    }
  if (flags->check)
    {
      printf ("settings are valid\n");
      return QUINCE_EXIT_OK;
    }
  return run_with_settings (program, flags, settings);
}

int
quince_program_run (const QuinceProgram *program, int argc, char **argv)
{
  Flags flags = { .overrides = g_ptr_array_new (), .level = G_LOG_LEVEL_INFO };
  const struct argp parser = { options, parse_flag, NULL, program->doc, NULL, NULL, NULL };
  argp_err_exit_status = QUINCE_EXIT_USAGE;
  argp_program_version = program->name;
  argp_parse (&parser, argc, argv, 0, NULL, &flags);
  g_ptr_array_add (flags.overrides, NULL);
  int status = run_with_flags (program, &flags);
  g_ptr_array_unref (flags.overrides);
  return status;
}
