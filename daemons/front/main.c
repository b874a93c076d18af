/*
 * main.c: the daemon quinceroute-front.
 *
 * A front accepts callers' requests, forwards each to a worker that the policy program chooses, and forwards
 * calls about batches to the ledger's leader.
 */
#include "runtime/program.h"

#include "../daemon-settings.h"

#include "front-settings.h"
#include "front.h"

int
main (int argc, char **argv)
{
  const QuinceProgram program = {
    .name = "quinceroute-front",
    .doc = "Accepts callers' requests and forwards them to workers.",
    .specs = quince_front_setting_specs,
    .n_specs = quince_front_n_setting_specs,
    .name_section = "node",
    .log_lines_per_second = QUINCE_DAEMON_LOG_LINES_PER_SECOND_MAX,
    .start = quince_front_start,
    .ready_line = quince_front_ready_line,
    .reload = quince_front_reload,
    .stop = quince_front_stop,
    .free = quince_front_free,
  };
  return quince_program_run (&program, argc, argv);
}
