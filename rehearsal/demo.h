/*
 * demo.h: the main job of the product, once, on one deployment.
 */
#pragma once

/* Subcommand "demo"; exit status 0 only when no promise was broken. */
int quince_demo_run (int argc, char **argv);
