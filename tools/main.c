/*
 * main.c: entry point of the operators' program: finds the command, parses its flags and runs it.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "runtime/log.h"

#include "commands.h"

enum
{
  OPTION_STORE = 'S',
  OPTION_CONFIG = 'c',
  OPTION_JSON = 'j',
  OPTION_COMMENT = 'm',
  OPTION_EXPECT = 'e',
  OPTION_AUTHOR = 'a',
  OPTION_START = 's',
  OPTION_DURATION = 'd',
  OPTION_SERVICE = 0x100, /* options without a short form start here */
  OPTION_EXPECTED,
};

#define EXPECT_FLAG                                                                                          \
  {                                                                                                          \
    "expect", OPTION_EXPECT, "REVISION", 0, "Revision to replace, 0 for none (default: the current one)", 0  \
  }
#define COMMENT_FLAG                                                                                         \
  {                                                                                                          \
    "comment", OPTION_COMMENT, "TEXT", 0, "Reason for the change", 0                                         \
  }
#define AUTHOR_FLAG                                                                                          \
  {                                                                                                          \
    "author", OPTION_AUTHOR, "NAME", 0, "Author of the change (default: the login name)", 0                  \
  }

static const struct argp_option no_flags[] = { { 0 } };
static const struct argp_option accept_flags[] = { EXPECT_FLAG, COMMENT_FLAG, AUTHOR_FLAG, { 0 } };
static const struct argp_option event_flags[] = {
  { "start", OPTION_START, "TIME", 0, "RFC 3339 time with a UTC offset, or +SECONDS from now", 0 },
  { "duration", OPTION_DURATION, "SECONDS", 0, "Duration of the event", 0 },
  { "service", OPTION_SERVICE, "NAME", 0, "Model service that the event affects (default: all)", 0 },
  { "expected", OPTION_EXPECTED, "NUMBER", 0, "Requests expected at the start; shown by --json, not stored",
    0 },
  { 0 },
};

typedef struct
{
  const char *group;    /* first word of the command */
  const char *name;     /* second word; NULL: the command has one word */
  const char *operands; /* names of the operands, for the help */
  guint n_operands;     /* required number, the minimum if @accepts_more_operands */
  const struct argp_option *flags;
  const char *help;
  QuinceToolStatus (*run) (QuinceTool *tool);
  gboolean accepts_more_operands;
} ToolCommand;

static const ToolCommand commands[] = {
  { "policy", "check", "FILE", 1, no_flags, "Compile a policy program and run it on example cases",
    quince_command_policy_check },
  { "policy", "diff", "FILE", 1, no_flags, "Compare a policy program with the one in force",
    quince_command_policy_diff },
  { "policy", "accept", "FILE", 1, accept_flags, "Check a policy program and put it in force",
    quince_command_policy_accept },
  { "policy", "show", "", 0, no_flags, "Print the policy program in force", quince_command_policy_show },
  { "event", "create", "NAME", 1, event_flags, "Create an event with a fixed start",
    quince_command_event_create },
  { "event", "list", "", 0, no_flags, "List events", quince_command_event_list },
  { "event", "delete", "NAME", 1, no_flags, "Delete an event", quince_command_event_delete },
  { "quarantine", "list", "", 0, no_flags, "List held requests and prompts", quince_command_quarantine_list },
  { "quarantine", "release", "REQUEST", 1, no_flags, "Send a held request or prompt once more, alone",
    quince_command_quarantine_release },
  { "zones", NULL, "", 0, no_flags, "List zones that have workers or are evacuated", quince_command_zones },
  { "cold", NULL, "", 0, no_flags,
    "List workers that are cold or of unknown state, with their request rate limits", quince_command_cold },
  { "explain", NULL, "ID FILE...", 2, no_flags, "Print log lines of a request, sample or batch by time",
    quince_command_explain, TRUE },
  { "log", "check", "FILE...", 1, no_flags, "Report malformed log lines and unknown events",
    quince_command_log_check, TRUE },
};

static const struct argp_option global_flags[] = {
  { "store", OPTION_STORE, "ADDRESS", 0, "Metadata store of the users' platform, ip:port", 1 },
  { "config", OPTION_CONFIG, "FILE", 0, "Settings file with a section [operator]: store, zones", 1 },
  { "json", OPTION_JSON, NULL, 0, "Print JSON", 1 },
  { 0 },
};

/* ---- Flags ----------------------------------------------------------------------- */

static error_t
parse_global (int key, char *value, struct argp_state *state)
{
  QuinceToolArguments *arguments = state->input;
  switch (key)
    {
    case OPTION_STORE:
      arguments->store = value;
      return 0;
    case OPTION_CONFIG:
      arguments->config = value;
      return 0;
    case OPTION_JSON:
      arguments->json = TRUE;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static error_t
parse_command (int key, char *value, struct argp_state *state)
{
  QuinceToolArguments *arguments = state->input;
  switch (key)
    {
    case ARGP_KEY_INIT:
      state->child_inputs[0] = arguments;
      return 0;
    case OPTION_EXPECT:
      arguments->expected_revision = value;
      return 0;
    case OPTION_COMMENT:
      arguments->comment = value;
      return 0;
    case OPTION_AUTHOR:
      arguments->author = value;
      return 0;
    case OPTION_START:
      arguments->start = value;
      return 0;
    case OPTION_DURATION:
      arguments->duration = value;
      return 0;
    case OPTION_SERVICE:
      arguments->service = value;
      return 0;
    case OPTION_EXPECTED:
      arguments->expected_requests = value;
      return 0;
    case ARGP_KEY_ARG:
      if (arguments->n_operands >= G_N_ELEMENTS (arguments->operands))
        argp_error (state, "too many arguments");
      else
        arguments->operands[arguments->n_operands++] = value;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp global_argp = { global_flags, parse_global, NULL, NULL, NULL, NULL, NULL };
static const struct argp_child global_children[] = { { &global_argp, 0, "Global flags:", 1 }, { 0 } };

/* ---- Commands ------------------------------------------------------------------------- */

static char *
describe_commands (void)
{
  GString *text = g_string_new ("Operates a quinceroute deployment.\vCommands:\n");
  for (gsize i = 0; i < G_N_ELEMENTS (commands); i++)
    {
      const ToolCommand *command = &commands[i];
      g_autofree char *usage
          = g_strjoin (" ", command->group, command->name != NULL ? command->name : command->operands,
                       command->name != NULL ? command->operands : NULL, NULL);
      g_string_append_printf (text, "  %-22s %s\n", usage, command->help);
    }
  g_string_append (text, "\nquinceroute COMMAND --help lists a command's flags.\n"
                         "Exit statuses: 0 done, 1 failed, 2 bad usage, 3 conflict with another operator,\n"
                         "4 outcome unknown: the write may or may not take effect.\n");
  return g_string_free (text, FALSE);
}

/* Parses global flags up to the first word of the command, whose index it returns in n_operands. */
static error_t
parse_until_command (int key, char *value, struct argp_state *state)
{
  QuinceToolArguments *arguments = state->input;
  switch (key)
    {
    case ARGP_KEY_INIT:
      state->child_inputs[0] = arguments;
      return 0;
    case ARGP_KEY_ARG:
      arguments->n_operands = (guint)state->next - 1;
      state->next = state->argc;
      return 0;
    case ARGP_KEY_NO_ARGS:
      argp_error (state, "no command given");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

/* Parses the global flags before the command.  Returns the index of the first word of the command. */
static int
find_command_index (int argc, char **argv, QuinceToolArguments *arguments)
{
  g_autofree char *doc = describe_commands ();
  struct argp argp = { NULL, parse_until_command, "COMMAND [ARGUMENT...]", doc, global_children, NULL, NULL };
  argp_parse (&argp, argc, argv, ARGP_IN_ORDER, NULL, arguments);
  int index = (int)arguments->n_operands;
  arguments->n_operands = 0;
  return index;
}

static const ToolCommand *
find_command (int argc, char **argv, int *index)
{
  const char *group = argv[*index];
  const char *name = *index + 1 < argc ? argv[*index + 1] : NULL;
  for (gsize i = 0; i < G_N_ELEMENTS (commands); i++)
    {
      const ToolCommand *command = &commands[i];
      if (strcmp (command->group, group) != 0
          || (command->name != NULL && g_strcmp0 (command->name, name) != 0))
        continue;
      *index += command->name != NULL ? 1 : 0;
      return command;
    }
  quince_tool_fail_usage ("no such command: %s%s%s; see quinceroute --help", group, name != NULL ? " " : "",
                          name != NULL ? name : "");
  return NULL;
}

static gboolean
parse_operands (const ToolCommand *command, int argc, char **argv, QuinceToolArguments *arguments)
{
  g_autofree char *name = g_strjoin (" ", "quinceroute", command->group, command->name, NULL);
  struct argp argp
      = { command->flags, parse_command, command->operands, command->help, global_children, NULL, NULL };
  argv[0] = name;
  argp_parse (&argp, argc, argv, 0, NULL, arguments);
  if (arguments->n_operands == command->n_operands
      || (command->accepts_more_operands && arguments->n_operands > command->n_operands))
    return TRUE;
  quince_tool_fail_usage ("%s takes %u argument(s): %s", name + strlen ("quinceroute "), command->n_operands,
                          command->operands);
  return FALSE;
}

int
main (int argc, char **argv)
{
  QuinceTool tool = { 0 };
  argp_err_exit_status = QUINCE_TOOL_USAGE;
  signal (SIGPIPE, SIG_IGN);
  quince_log_init ("quinceroute", "", G_LOG_LEVEL_WARNING);
  int index = find_command_index (argc, argv, &tool.arguments);
  const ToolCommand *command = find_command (argc, argv, &index);
  if (command == NULL || !parse_operands (command, argc - index, argv + index, &tool.arguments))
    return QUINCE_TOOL_USAGE;
  QuinceToolStatus status = QUINCE_TOOL_USAGE;
  if (quince_tool_open (&tool))
    status = command->run (&tool);
  quince_tool_close (&tool);
  if (fflush (stdout) != 0 && status == QUINCE_TOOL_OK)
    status = QUINCE_TOOL_FAILED;
  return status;
}
