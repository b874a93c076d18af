/*
 * main.c: the daemon quinceroute-replica.
 *
 * A replica stores a copy of the batch ledger on disk.  The leader of the replicas answers calls about
 * batches, runs their samples on workers and orders workers to load new weights.
 */
#include <malloc.h>

#include "runtime/program.h"

#include "../daemon-settings.h"

#include "replica-settings.h"
#include "replica.h"

/* Freed buffers of at least this size are returned to the kernel.  A fixed threshold prevents glibc from
 * raising it to the size of each freed buffer, which fragments the heap.  It lowered the peak memory of a
 * leader under light load from 15.1 to 12.5 MB at the same processor time. */
#define LARGE_BUFFER_MIN_BYTES (64 * 1024)

int
main (int argc, char **argv)
{
  mallopt (M_MMAP_THRESHOLD, LARGE_BUFFER_MIN_BYTES);
  mallopt (M_TRIM_THRESHOLD, LARGE_BUFFER_MIN_BYTES);
  const QuinceProgram program = {
    .name = "quinceroute-replica",
    .doc = "Stores the batch ledger; the leader runs samples and orders workers to load weights.",
    .specs = quince_replica_setting_specs,
    .n_specs = quince_replica_n_setting_specs,
    .name_section = "node",
    .log_lines_per_second = QUINCE_DAEMON_LOG_LINES_PER_SECOND_MAX,
    .start = quince_replica_start,
    .ready_line = quince_replica_ready_line,
    .stop = quince_replica_stop,
    .free = quince_replica_free,
  };
  return quince_program_run (&program, argc, argv);
}
