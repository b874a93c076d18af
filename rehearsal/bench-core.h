/*
 * bench-core.h: how many decisions a second the pure core takes.
 */
#pragma once

#include <glib.h>

/**
 * quince_bench_core_run:
 * @decisions: number of requests to decide
 * @policy_text: program in force; %NULL or "" for the built-in decisions
 *
 * Decides requests of four members over twelve engines in this thread, with
 * simulated time, and prints one key=value line.
 *
 * Returns: 0, or 1 when the policy cannot be compiled or a decision is missing
 */
int quince_bench_core_run (guint64 decisions, const char *policy_text);
