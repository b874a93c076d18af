/*
 * main.c: the daemon quinceroute-node.
 *
 * A node grants requests to engines, keeps the queues, takes part in gossip,
 * spreads policies and, with a data folder, keeps a replica of the ledger.
 */
#include <quince/program.h>

#include "node.h"
#include "node-settings.h"

int
main (int argc, char **argv)
{
  const QuinceProgram program = {
    .name = "quinceroute-node",
    .doc = "Grants requests to engines, spreads policies and keeps the sample ledger.",
    .specs = quince_node_setting_specs,
    .n_specs = quince_node_n_setting_specs,
    .name_section = "node",
    .start = quince_node_start,
    .ready_line = quince_node_ready_line,
    .stop = quince_node_stop,
    .free = quince_node_free,
  };
  return quince_program_run (&program, argc, argv);
}
