/*
 * program.h: what every daemon's main has in common: flags, settings, the main loop, signals.
 *
 * Flags (argp): --config FILE, --set SECTION.KEY=VALUE (repeatable), --check (validate the settings and
 * exit),
 * --help-settings, --log-level.  Owns the one main loop of the process and its settings; main thread only.
 * Relies on settings.h and log.h.
 */
#pragma once

#include <gio/gio.h>

#include "runtime/settings.h"

G_BEGIN_DECLS

#define QUINCE_EXIT_OK 0      /* exit status: done */
#define QUINCE_EXIT_FAILURE 1 /* exit status: failed while running */
#define QUINCE_EXIT_USAGE 2   /* exit status: bad flags or settings */

/**
 * QuinceProgram:
 * @name: for example "quinceroute-front"
 * @doc: what --help says of it
 * @name_section: section whose "name" key names this process, for logs
 * @specs: with the name of this process and log.level, which goes before the flag --log-level
 * @reload: (nullable): SIGHUP: @settings were read anew and are valid
 * @start: begins to serve; prints nothing. On %FALSE the program exits with 1
 * @ready_line: (transfer full): what to print after "ready " once started
 * @stop: planned stop (SIGTERM, SIGINT): begin to drain, call
 *   quince_program_quit() when done
 * @free: releases what start made
 */
typedef struct
{
  const char *name;
  const char *doc;
  const QuinceSettingSpec *specs;
  gsize n_specs;
  const char *name_section;
  guint log_lines_per_second; /* 0: no bound, and to standard error; else to standard output */
  gpointer (*start) (const QuinceSettings *settings, GError **error);
  char *(*ready_line) (gpointer self);
  void (*reload) (gpointer self, const QuinceSettings *settings);
  void (*stop) (gpointer self);
  void (*free) (gpointer self);
} QuinceProgram;

/* Parses flags, checks settings, runs the main loop. Returns the exit status. */
int quince_program_run (const QuinceProgram *program, int argc, char **argv);
/* Ends the main loop; main thread only. */
void quince_program_quit (int status);

G_END_DECLS
