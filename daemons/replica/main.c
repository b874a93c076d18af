/*
 * main.c: the daemon quinceroute-replica.
 *
 * A replica keeps a copy of the batch ledger on its disk.  The leader of the replicas answers calls about
 * batches, runs their samples on workers and orders new weights.
 */
#include <malloc.h>

#include "runtime/program.h"

#include "replica-settings.h"
#include "replica.h"

/* More are left out and counted. */
#define LOG_LINES_PER_SECOND 200

/* Large buffers go back to the kernel when they are freed, whatever sizes came before. */
#define LARGE_BUFFER_BYTES (64 * 1024)

int
main (int argc, char **argv)
{
  mallopt (M_MMAP_THRESHOLD, LARGE_BUFFER_BYTES);
  mallopt (M_TRIM_THRESHOLD, LARGE_BUFFER_BYTES);
  const QuinceProgram program = {
    .name = "quinceroute-replica",
    .doc = "Keeps the batch ledger; its leader runs samples and orders weights.",
    .specs = quince_replica_setting_specs,
    .n_specs = quince_replica_n_setting_specs,
    .name_section = "node",
    .log_lines_per_second = LOG_LINES_PER_SECOND,
    .start = quince_replica_start,
    .ready_line = quince_replica_ready_line,
    .stop = quince_replica_stop,
    .free = quince_replica_free,
  };
  return quince_program_run (&program, argc, argv);
}
