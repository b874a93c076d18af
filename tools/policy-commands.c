/*
 * policy-commands.c: quinceroute policy check, diff, accept, show.
 *
 * The accepted policy is one key of the metadata store; the revision of the key is the revision of the
 * policy.  An accept is a compare-and-swap of the key on the expected revision.  The entry contains a random
 * proposal id: if the answer is lost, reading the key shows whether the write was applied.  The write may be
 * repeated while the key has the expected revision, since only one of the attempts can be applied.
 */
#include <stdio.h>
#include <string.h>

#include "forward/policy-entry.h"
#include "observer/observer.h"
#include "protocol/hash.h"

#include "commands.h"
#include "line-diff.h"
#include "policy-program.h"
#include "store-calls.h"

/* ---- check ------------------------------------------------------------------- */

QuinceToolStatus
quince_command_policy_check (QuinceTool *tool)
{
  const char *path = tool->arguments.operands[0];
  g_autofree char *text = quince_policy_program_read (path);
  if (text == NULL || !quince_policy_program_check (path, text))
    return QUINCE_TOOL_FAILED;
  g_autofree char *hash = quince_hash_text (text, strlen (text));
  if (!tool->arguments.json)
    {
      printf ("%s: ok, %zu bytes, hash %s\n", path, strlen (text), hash);
      return QUINCE_TOOL_OK;
    }
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  json_builder_begin_object (builder);
  quince_tool_add_boolean (builder, "ok", TRUE);
  quince_tool_add_int (builder, "bytes", (gint64)strlen (text));
  quince_tool_add_string (builder, "hash", hash);
  json_builder_end_object (builder);
  quince_tool_print_json (builder);
  return QUINCE_TOOL_OK;
}

/* ---- Accepted policy ---------------------------------------------------------- */

/* Content of the policy key. */
typedef struct
{
  guint64 revision;         /* 0: no policy was accepted yet */
  QuincePolicyEntry *entry; /* owned; NULL if the key does not exist */
  char *hash;               /* owned; hash of the program; "": no program */
} AcceptedPolicy;

static void
accepted_policy_clear (AcceptedPolicy *policy)
{
  g_clear_pointer (&policy->entry, quince_policy_entry_free);
  g_free (policy->hash);
}
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (AcceptedPolicy, accepted_policy_clear)

/* Prints an error if the policy cannot be read. */
static QuinceToolStatus
read_accepted_policy (QuinceTool *tool, AcceptedPolicy *policy)
{
  g_auto (QuinceStoreAnswer) answer = { 0 };
  g_autoptr (GError) error = NULL;
  quince_store_read_key (tool, QUINCE_POLICY_KEY, &answer);
  if (!answer.succeeded)
    return quince_store_report_error (answer.error);
  policy->revision = answer.revision;
  if (answer.value != NULL)
    policy->entry = quince_policy_entry_parse (answer.value, &error);
  if (error != NULL)
    return quince_tool_fail ("invalid", "%s", error->message);
  const char *program = policy->entry != NULL ? policy->entry->program : "";
  policy->hash = *program != '\0' ? quince_hash_text (program, strlen (program)) : g_strdup ("");
  return QUINCE_TOOL_OK;
}

/* ---- diff ------------------------------------------------------------------------ */

static void
print_diff (const QuinceTool *tool, guint64 revision, const char *diff)
{
  if (!tool->arguments.json)
    {
      fputs (diff != NULL ? diff : "", stdout);
      return;
    }
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  json_builder_begin_object (builder);
  quince_tool_add_int (builder, "revision", (gint64)revision);
  quince_tool_add_boolean (builder, "same", diff == NULL);
  quince_tool_add_string (builder, "diff", diff != NULL ? diff : "");
  json_builder_end_object (builder);
  quince_tool_print_json (builder);
}

QuinceToolStatus
quince_command_policy_diff (QuinceTool *tool)
{
  const char *path = tool->arguments.operands[0];
  if (!quince_tool_require_store (tool))
    return QUINCE_TOOL_USAGE;
  g_autofree char *text = quince_policy_program_read (path);
  if (text == NULL)
    return QUINCE_TOOL_FAILED;
  g_auto (AcceptedPolicy) policy = { 0 };
  QuinceToolStatus status = read_accepted_policy (tool, &policy);
  if (status != QUINCE_TOOL_OK)
    return status;
  g_autofree char *name = g_strdup_printf ("revision %" G_GUINT64_FORMAT, policy.revision);
  const char *program = policy.entry != NULL ? policy.entry->program : "";
  g_autofree char *diff = quince_line_diff (program, text, name, path);
  print_diff (tool, policy.revision, diff);
  return QUINCE_TOOL_OK;
}

/* ---- accept ----------------------------------------------------------------------- */

typedef struct
{
  const char *id;            /* random UUID */
  GBytes *value;             /* encoded entry */
  guint64 expected_revision; /* revision to replace; 0: the key must not exist */
} Proposal;

static QuinceToolStatus
fail_conflict (const Proposal *proposal, guint64 revision, const QuincePolicyEntry *entry)
{
  g_autofree char *comment = entry != NULL ? g_strescape (entry->comment, NULL) : NULL;
  g_autofree char *author
      = entry != NULL ? g_strdup_printf (" by %s (\"%s\")", entry->author, comment) : g_strdup ("");
  quince_tool_fail ("conflict",
                    "revision %" G_GUINT64_FORMAT "%s was accepted meanwhile, revision %" G_GUINT64_FORMAT
                    " was expected",
                    revision, author, proposal->expected_revision);
  return QUINCE_TOOL_CONFLICT;
}

/* Reports a conflict after an attempt whose outcome is unknown. */
static QuinceToolStatus
fail_possibly_replaced (const Proposal *proposal, guint64 revision, const QuincePolicyEntry *entry)
{
  QuinceToolStatus status = fail_conflict (proposal, revision, entry);
  quince_tool_fail ("conflict",
                    "an answer was lost: this program may have been in force before that revision");
  return status;
}

/* Writes @proposal, and reads the key after each failed attempt to see whether it was applied.  Tries again
 * if the key still has the expected revision or cannot be read.  Prints an error if the proposal is not
 * accepted.
 * @revision: (out): the accepted revision, if the status is QUINCE_TOOL_OK */
static QuinceToolStatus
write_proposal (QuinceTool *tool, const Proposal *proposal, guint64 *revision)
{
  g_auto (QuinceStoreAnswer) answer = { 0 };
  gboolean outcome_unknown = FALSE;
  for (guint i = 0; i < QUINCE_STORE_WRITE_ATTEMPTS_MAX; i++)
    {
      quince_store_write_key (tool, QUINCE_POLICY_KEY, proposal->value, (gint64)proposal->expected_revision,
                              &answer);
      *revision = answer.revision;
      if (answer.succeeded)
        return QUINCE_TOOL_OK;
      outcome_unknown = outcome_unknown || answer.error == QUINCE_META_ERROR_UNKNOWN;
      quince_store_read_key (tool, QUINCE_POLICY_KEY, &answer);
      if (!answer.succeeded)
        continue;
      *revision = answer.revision;
      g_autoptr (QuincePolicyEntry) entry
          = answer.value != NULL ? quince_policy_entry_parse (answer.value, NULL) : NULL;
      if (entry != NULL && g_str_equal (entry->proposal, proposal->id))
        return QUINCE_TOOL_OK;
      if (answer.revision != proposal->expected_revision)
        return (outcome_unknown ? fail_possibly_replaced : fail_conflict) (proposal, answer.revision, entry);
    }
  return quince_store_report_error (outcome_unknown ? QUINCE_META_ERROR_UNKNOWN
                                                    : QUINCE_META_ERROR_UNAVAILABLE);
}

/* @expected_revision: (out): --expect, or the current revision of the key if the flag is not given */
static QuinceToolStatus
get_expected_revision (QuinceTool *tool, guint64 *expected_revision)
{
  const char *text = tool->arguments.expected_revision;
  if (text != NULL && !g_ascii_string_to_unsigned (text, 10, 0, G_MAXINT64, expected_revision, NULL))
    return quince_tool_fail_usage ("--expect takes a revision number, not '%s'", text);
  if (text != NULL)
    return QUINCE_TOOL_OK;
  g_auto (QuinceStoreAnswer) answer = { 0 };
  quince_store_read_key (tool, QUINCE_POLICY_KEY, &answer);
  *expected_revision = answer.revision;
  return answer.succeeded ? QUINCE_TOOL_OK : quince_store_report_error (answer.error);
}

static void
print_accepted (const QuinceTool *tool, guint64 revision, guint64 expected_revision)
{
  if (!tool->arguments.json)
    {
      printf ("accepted revision %" G_GUINT64_FORMAT ", replaces %" G_GUINT64_FORMAT "\n", revision,
              expected_revision);
      return;
    }
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  json_builder_begin_object (builder);
  quince_tool_add_int (builder, "revision", (gint64)revision);
  quince_tool_add_int (builder, "replaces", (gint64)expected_revision);
  json_builder_end_object (builder);
  quince_tool_print_json (builder);
}

/* @program: a program that quince_policy_program_check() has accepted */
static QuinceToolStatus
accept_program (QuinceTool *tool, char *program)
{
  guint64 expected_revision = 0;
  guint64 revision = 0;
  QuinceToolStatus status = get_expected_revision (tool, &expected_revision);
  if (status != QUINCE_TOOL_OK)
    return status;
  g_autofree char *author = quince_tool_get_author (tool);
  g_autofree char *proposal_id = g_uuid_string_random ();
  const QuincePolicyEntry entry = { proposal_id, author, (char *)tool->arguments.comment, program };
  g_autoptr (GBytes) value = quince_policy_entry_format (&entry);
  const Proposal proposal = { proposal_id, value, expected_revision };
  status = write_proposal (tool, &proposal, &revision);
  if (status == QUINCE_TOOL_OK)
    print_accepted (tool, revision, expected_revision);
  return status;
}

QuinceToolStatus
quince_command_policy_accept (QuinceTool *tool)
{
  const char *path = tool->arguments.operands[0];
  if (!quince_tool_require_store (tool))
    return QUINCE_TOOL_USAGE;
  if (tool->arguments.comment == NULL)
    return quince_tool_fail_usage ("policy accept needs --comment TEXT");
  g_autofree char *text = quince_policy_program_read (path);
  if (text == NULL || !quince_policy_program_check (path, text))
    return QUINCE_TOOL_FAILED;
  return accept_program (tool, text);
}

/* ---- show --------------------------------------------------------------------------- */

static void
print_policy_json (const AcceptedPolicy *policy)
{
  const QuincePolicyEntry *entry = policy->entry;
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  json_builder_begin_object (builder);
  quince_tool_add_int (builder, "revision", (gint64)policy->revision);
  quince_tool_add_string (builder, "hash", policy->hash);
  quince_tool_add_string (builder, "author", entry != NULL ? entry->author : "");
  quince_tool_add_string (builder, "comment", entry != NULL ? entry->comment : "");
  quince_tool_add_string (builder, "text", entry != NULL ? entry->program : "");
  json_builder_end_object (builder);
  quince_tool_print_json (builder);
}

QuinceToolStatus
quince_command_policy_show (QuinceTool *tool)
{
  if (!quince_tool_require_store (tool))
    return QUINCE_TOOL_USAGE;
  g_auto (AcceptedPolicy) policy = { 0 };
  QuinceToolStatus status = read_accepted_policy (tool, &policy);
  if (status != QUINCE_TOOL_OK)
    return status;
  /* The header lines are Lua comments, so that the output is a valid program. */
  if (tool->arguments.json)
    print_policy_json (&policy);
  else if (policy.entry == NULL)
    printf ("-- no policy was accepted yet: the policy of the settings is in force\n");
  else
    printf ("-- revision %" G_GUINT64_FORMAT "\n-- by %s: %s\n%s", policy.revision, policy.entry->author,
            policy.entry->comment, policy.entry->program);
  return QUINCE_TOOL_OK;
}
