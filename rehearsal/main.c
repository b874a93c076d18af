/*
 * main.c: entry point of quinceroute-rehearsal, which runs the demo.
 */
#include <argp.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "demo.h"

#define EXIT_USAGE 2 /* exit status for a missing or unknown subcommand */

const char *argp_program_version = "quinceroute-rehearsal " QUINCE_VERSION;

static void
print_usage (FILE *stream)
{
  fprintf (stream, "Usage: quinceroute-rehearsal demo [FLAG...]\n\n"
                   "Runs one deployment and prints a summary; demo --help lists the flags.\n");
}

int
main (int argc, char **argv)
{
  if (argc >= 2 && (strcmp (argv[1], "--help") == 0 || strcmp (argv[1], "help") == 0))
    {
      print_usage (stdout);
      return 0;
    }
  if (argc >= 2 && strcmp (argv[1], "demo") == 0)
    return quince_demo_run (argc - 1, argv + 1);
  print_usage (stderr);
  return EXIT_USAGE;
}
