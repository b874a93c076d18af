/*
 * slopes.h: how processor time, memory and bytes grow with size, for the
 * capacity page.
 */
#pragma once

/* Subcommand "slopes": one key=value line a measured line, with fit and residual. */
int quince_slopes_run (int argc, char **argv);
