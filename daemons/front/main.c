/*
 * main.c: the daemon quinceroute-front.
 *
 * A front accepts callers' requests, forwards each to a worker that the policy program chooses, and forwards
 * calls about batches to the ledger's leader.
 */
#include <malloc.h>

#include "runtime/program.h"

#include "../daemon-settings.h"

#include "front-settings.h"
#include "front.h"

/* Freed buffers of at least this size are returned to the kernel.  A fixed threshold prevents glibc from
 * raising it to the size of each freed buffer; answers that are collected side by side then fragment the
 * heap, which holds more than twice what they do. */
#define LARGE_BUFFER_MIN_BYTES (128 * 1024)

int
main (int argc, char **argv)
{
  mallopt (M_MMAP_THRESHOLD, LARGE_BUFFER_MIN_BYTES);
  mallopt (M_TRIM_THRESHOLD, LARGE_BUFFER_MIN_BYTES);
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
