/*
 * demo.h: the "demo" subcommand, which runs a deployment of real fronts and replicas with simulated workers
 * and a simulated store.
 */
#pragma once

/* Returns: the exit status: 0 if every guarantee held, 1 if one was violated or the run failed, 2 for invalid
 * flags or an invalid deployment.  Invalid flags end the program. */
int quince_demo_run (int argc, char **argv);
