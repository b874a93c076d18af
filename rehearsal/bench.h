/*
 * bench.h: what the service adds, against the same engine stand-in without it.
 */
#pragma once

/* Subcommand "bench": prints key=value lines; exit status 0 when all ran. */
int quince_bench_run (int argc, char **argv);
