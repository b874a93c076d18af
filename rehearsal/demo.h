/*
 * demo.h: the main job of the product, run once on one deployment of real processes and stand-ins.
 */
#pragma once

/* Subcommand "demo"; exit status 0 only when no promise was broken. */
int quince_demo_run (int argc, char **argv);
