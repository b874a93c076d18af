/*
 * scale.h: the scale run, membership and policy spread over many hollow nodes.
 */
#pragma once

/* Subcommand "scale"; see --help. Prints key=value lines. Returns the exit status. */
int quince_scale_run (int argc, char **argv);
