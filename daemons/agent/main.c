/*
 * main.c: the daemon quinceroute-agent.
 *
 * An agent stands beside one caller: it takes the caller's requests over
 * HTTP, asks a node for a grant, runs the attempt on the granted engine and
 * hands the answer back.  It also takes trainers' rollouts and, when set to,
 * runs samples.
 */
#include <quince/program.h>

#include "agent-settings.h"
#include "agent.h"

int
main (int argc, char **argv)
{
  const QuinceProgram program = {
    .name = "quinceroute-agent",
    .doc = "Takes callers' and trainers' requests and runs them on granted engines.",
    .specs = quince_agent_setting_specs,
    .n_specs = quince_agent_n_setting_specs,
    .name_section = "agent",
    .start = quince_agent_start,
    .ready_line = quince_agent_ready_line,
    .stop = quince_agent_stop,
    .free = quince_agent_free,
  };
  return quince_program_run (&program, argc, argv);
}
