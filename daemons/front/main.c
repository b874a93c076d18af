/*
 * main.c: the daemon quinceroute-front.
 *
 * A front takes callers' requests, decides by the policy program which worker runs each, and brings calls
 * about batches to the ledger's primary.
 */
#include <quince/program.h>

#include "front-settings.h"
#include "front.h"

int
main (int argc, char **argv)
{
  const QuinceProgram program = {
    .name = "quinceroute-front",
    .doc = "Takes callers' requests and brings them to workers.",
    .specs = quince_front_setting_specs,
    .n_specs = quince_front_n_setting_specs,
    .name_section = "node",
    .start = quince_front_start,
    .ready_line = quince_front_ready_line,
    .stop = quince_front_stop,
    .free = quince_front_free,
  };
  return quince_program_run (&program, argc, argv);
}
