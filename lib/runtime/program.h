/*
 * program.h: common part of the daemons: flags, settings, main loop and signals.
 *
 * Flags (argp): --config FILE, --set SECTION.KEY=VALUE (repeatable), --check (validate the settings and
 * exit), --help-settings, --log-level.  There is one main loop in a process; all functions must be called
 * from the main thread.
 */
#pragma once

#include <gio/gio.h>

#include "runtime/settings.h"

G_BEGIN_DECLS

#define QUINCE_EXIT_OK 0      /* exit status: success */
#define QUINCE_EXIT_FAILURE 1 /* exit status: start failed or error at run time */
#define QUINCE_EXIT_USAGE 2   /* exit status: invalid flags or settings */

/**
 * QuinceProgram:
 * @name: program name, for example "quinceroute-front"
 * @doc: description that --help prints
 * @specs: settings of the program; must contain log.level, which overrides the flag --log-level if
 *   it is set, and the key "name" of @name_section
 * @n_specs: number of elements of @specs
 * @name_section: section whose key "name" holds the name of this process in logs
 * @log_lines_per_second: maximum number of log lines written to standard output in a second, see
 *   quince_log_set_output(); 0: no limit, and logs go to standard error
 * @start: starts the service and returns its state, which the other functions get as @self, or returns %NULL
 *   and sets @error, after which the program exits with %QUINCE_EXIT_FAILURE
 * @ready_line: returns (transfer full) the text that is printed after "ready " once @start has succeeded
 * @reload: (nullable): called on SIGHUP with the new settings, after they have been validated
 * @stop: called once, on the first SIGTERM or SIGINT; starts to drain, and calls quince_program_quit() at the
 *   end
 * @free: releases the state that @start returned
 */
typedef struct
{
  const char *name;
  const char *doc;
  const QuinceSettingSpec *specs;
  gsize n_specs;
  const char *name_section;
  guint log_lines_per_second;
  gpointer (*start) (const QuinceSettings *settings, GError **error);
  char *(*ready_line) (gpointer self);
  void (*reload) (gpointer self, const QuinceSettings *settings);
  void (*stop) (gpointer self);
  void (*free) (gpointer self);
} QuinceProgram;

/* Parses the flags, validates the settings and runs the main loop.  Returns the exit status. */
int quince_program_run (const QuinceProgram *program, int argc, char **argv);
/* Ends the main loop; @status becomes the exit status of the program. */
void quince_program_quit (int status);

G_END_DECLS
