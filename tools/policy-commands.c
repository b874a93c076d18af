/*
 * policy-commands.c: quinceroute policy check, diff, accept, show, status.
 */
#include <stdio.h>
#include <string.h>

#include "protocol/request-id.h"

#include "commands.h"
#include "line-diff.h"
#include "node-status.h"
#include "policy-program.h"
#include "store-commands.h"
#include "table.h"

/* ---- check ------------------------------------------------------------------- */

QuinceToolStatus
quince_command_policy_check (QuinceTool *tool)
{
  const char *path = tool->arguments.words[0];
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
  quince_tool_add_flag (builder, "ok", TRUE);
  quince_tool_add_number (builder, "bytes", (gint64)strlen (text));
  quince_tool_add_text (builder, "hash", hash);
  json_builder_end_object (builder);
  quince_tool_print_json (builder);
  return QUINCE_TOOL_OK;
}

/* ---- Reading the head ---------------------------------------------------------- */

typedef struct
{
  QuinceTool *tool;
  guint64 revision; /* 0: none was ever accepted */
  char *text;       /* owned */
  char *hash;       /* owned */
  char *author;     /* owned */
  char *comment;    /* owned */
} HeadView;

static void
head_view_clear (HeadView *head)
{
  g_free (head->text);
  g_free (head->hash);
  g_free (head->author);
  g_free (head->comment);
}
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (HeadView, head_view_clear)

static void
on_head (const QuincePolicyHead *head, const GError *error, gpointer user_data)
{
  HeadView *view = user_data;
  if (error != NULL)
    {
      quince_tool_finish (view->tool, quince_tool_fail_error (error));
      return;
    }
  view->revision = head != NULL ? head->body->revision : 0;
  view->text = g_strdup (head != NULL ? head->body->text : "");
  view->hash = g_strdup (head != NULL ? head->body->hash : "");
  view->author = g_strdup (head != NULL ? head->author : "");
  view->comment = g_strdup (head != NULL ? head->comment : "");
  quince_tool_finish (view->tool, QUINCE_TOOL_OK);
}

static QuinceToolStatus
read_head (QuinceTool *tool, HeadView *view)
{
  view->tool = tool;
  if (!quince_tool_need_store (tool))
    return QUINCE_TOOL_USAGE;
  quince_operator_store_read_policy (tool->store, on_head, view);
  quince_tool_wait (tool);
  return tool->status;
}

/* ---- diff ------------------------------------------------------------------------ */

QuinceToolStatus
quince_command_policy_diff (QuinceTool *tool)
{
  const char *path = tool->arguments.words[0];
  g_auto (HeadView) head = { 0 };
  g_autofree char *text = quince_policy_program_read (path);
  if (text == NULL)
    return QUINCE_TOOL_FAILED;
  QuinceToolStatus status = read_head (tool, &head);
  if (status != QUINCE_TOOL_OK)
    return status;
  g_autofree char *name = g_strdup_printf ("revision %" G_GUINT64_FORMAT, head.revision);
  g_autofree char *diff = quince_line_diff (head.text, text, name, path);
  if (!tool->arguments.json)
    {
      fputs (diff != NULL ? diff : "", stdout);
      return QUINCE_TOOL_OK;
    }
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  json_builder_begin_object (builder);
  quince_tool_add_number (builder, "revision", (gint64)head.revision);
  quince_tool_add_flag (builder, "same", diff == NULL);
  quince_tool_add_text (builder, "diff", diff != NULL ? diff : "");
  json_builder_end_object (builder);
  quince_tool_print_json (builder);
  return QUINCE_TOOL_OK;
}

/* ---- accept ----------------------------------------------------------------------- */

typedef struct
{
  QuinceTool *tool;
  guint64 expected;
} Acceptance;

static void
print_conflict (const Acceptance *acceptance, const QuincePolicyHead *other, gboolean may_have_stood)
{
  g_autofree char *comment = other != NULL ? g_strescape (other->comment, NULL) : NULL;
  if (other == NULL)
    quince_tool_fail ("conflict",
                      "revision %" G_GUINT64_FORMAT " was expected, what stands there does not parse",
                      acceptance->expected);
  else
    quince_tool_fail ("conflict",
                      "revision %" G_GUINT64_FORMAT " by %s (\"%s\") stands, not %" G_GUINT64_FORMAT
                      "; compare with: quinceroute policy diff FILE",
                      (guint64)other->body->revision, other->author, comment, acceptance->expected);
  if (may_have_stood)
    quince_tool_fail ("conflict", "an answer was lost: this program may have been in force before that one");
}

static void
print_accepted (const Acceptance *acceptance, guint64 revision)
{
  if (!acceptance->tool->arguments.json)
    {
      printf ("accepted revision %" G_GUINT64_FORMAT ", replaces %" G_GUINT64_FORMAT "\n", revision,
              acceptance->expected);
      return;
    }
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  json_builder_begin_object (builder);
  quince_tool_add_number (builder, "revision", (gint64)revision);
  quince_tool_add_number (builder, "replaces", (gint64)acceptance->expected);
  json_builder_end_object (builder);
  quince_tool_print_json (builder);
}

static void
on_accepted (guint64 revision,
             const QuincePolicyHead *other,
             gboolean may_have_stood,
             const GError *error,
             gpointer user_data)
{
  Acceptance *acceptance = user_data;
  QuinceToolStatus status = QUINCE_TOOL_OK;
  if (error == NULL)
    print_accepted (acceptance, revision);
  else if (g_error_matches (error, QUINCE_OPERATOR_ERROR, QUINCE_OPERATOR_ERROR_CONFLICT))
    {
      print_conflict (acceptance, other, may_have_stood);
      status = QUINCE_TOOL_CONFLICT;
    }
  else
    status = quince_tool_fail_error (error);
  if (status == QUINCE_TOOL_UNKNOWN)
    quince_tool_fail ("unknown", "learn the outcome with: quinceroute policy show");
  quince_tool_finish (acceptance->tool, status);
}

/* From --expect, or the revision that stands now. */
static QuinceToolStatus
find_expected (QuinceTool *tool, guint64 *expected)
{
  const char *text = tool->arguments.expect;
  if (text != NULL)
    {
      if (g_ascii_string_to_unsigned (text, 10, 0, G_MAXINT64, expected, NULL))
        return QUINCE_TOOL_OK;
      return quince_tool_usage ("--expect takes a revision number, not '%s'", text);
    }
  g_auto (HeadView) head = { 0 };
  QuinceToolStatus status = read_head (tool, &head);
  *expected = head.revision;
  if (status == QUINCE_TOOL_OK)
    fprintf (stderr, "quinceroute: no --expect given: replacing revision %" G_GUINT64_FORMAT ", just read\n",
             head.revision);
  return status;
}

QuinceToolStatus
quince_command_policy_accept (QuinceTool *tool)
{
  const char *path = tool->arguments.words[0];
  if (tool->meta == NULL && !quince_tool_need_store (tool))
    return QUINCE_TOOL_USAGE;
  if (tool->arguments.comment == NULL)
    return quince_tool_usage ("policy accept needs --comment TEXT");
  g_autofree char *text = quince_policy_program_read (path);
  if (text == NULL || !quince_policy_program_check (path, text))
    return QUINCE_TOOL_FAILED;
  if (tool->meta != NULL)
    return quince_store_policy_accept (tool, text);
  Acceptance acceptance = { .tool = tool };
  QuinceToolStatus status = find_expected (tool, &acceptance.expected);
  if (status != QUINCE_TOOL_OK)
    return status;
  g_autofree char *author = quince_tool_get_author (tool);
  QuincePolicyProposal proposal = {
    .text = text,
    .author = author,
    .comment = tool->arguments.comment,
    .expected = acceptance.expected,
  };
  quince_operator_store_accept_policy (tool->store, &proposal, on_accepted, &acceptance);
  quince_tool_wait (tool);
  return tool->status;
}

/* ---- show --------------------------------------------------------------------------- */

QuinceToolStatus
quince_command_policy_show (QuinceTool *tool)
{
  if (tool->meta != NULL)
    return quince_store_policy_show (tool);
  g_auto (HeadView) head = { 0 };
  QuinceToolStatus status = read_head (tool, &head);
  if (status != QUINCE_TOOL_OK)
    return status;
  if (tool->arguments.json)
    {
      g_autoptr (JsonBuilder) builder = json_builder_new ();
      json_builder_begin_object (builder);
      quince_tool_add_number (builder, "revision", (gint64)head.revision);
      quince_tool_add_text (builder, "hash", head.hash);
      quince_tool_add_text (builder, "author", head.author);
      quince_tool_add_text (builder, "comment", head.comment);
      quince_tool_add_text (builder, "text", head.text);
      json_builder_end_object (builder);
      quince_tool_print_json (builder);
      return QUINCE_TOOL_OK;
    }
  if (head.revision == 0)
    {
      printf ("-- no policy was accepted yet: the built-in decision is in force\n");
      return QUINCE_TOOL_OK;
    }
  /* Heading lines are Lua comments, so that the output is itself the program. */
  g_autofree char *author = g_strescape (head.author, NULL);
  g_autofree char *comment = g_strescape (head.comment, NULL);
  printf ("-- revision %" G_GUINT64_FORMAT ", hash %s\n-- by %s: %s\n", head.revision, head.hash, author,
          comment);
  fputs (head.text, stdout);
  return QUINCE_TOOL_OK;
}

/* ---- status --------------------------------------------------------------------------- */

static const char *
judge_revision (const QuinceNodeAnswer *answer, guint64 wanted)
{
  guint64 revision = quince_node_answer_get_number (answer, "policy.revision");
  if (answer->answer == NULL)
    return "unreachable";
  if (revision < wanted)
    return "behind";
  return quince_node_answer_get_flag (answer, "policy.current") ? "in force" : "not current";
}

/* The revision that every node should have: the greatest of the head's and those seen on the nodes. */
static guint64
find_wanted (QuinceTool *tool, const GPtrArray *answers)
{
  g_auto (HeadView) head = { 0 };
  guint64 greatest = 0;
  if (tool->store != NULL && read_head (tool, &head) == QUINCE_TOOL_OK)
    greatest = head.revision;
  for (guint i = 0; i < answers->len; i++)
    greatest = MAX (greatest, quince_node_answer_get_number (answers->pdata[i], "policy.revision"));
  return greatest;
}

static void
print_revision_table (const GPtrArray *answers, guint64 wanted)
{
  static const char *const headings[] = { "NODE", "ZONE", "ADDRESS", "REVISION", "HASH", "STATE", NULL };
  g_autoptr (QuinceTable) table = quince_table_new (headings);
  for (guint i = 0; i < answers->len; i++)
    {
      const QuinceNodeAnswer *answer = answers->pdata[i];
      quince_table_add (table, quince_node_answer_get_text (answer, "name"));
      quince_table_add (table, quince_node_answer_get_text (answer, "zone"));
      quince_table_add (table, answer->address);
      quince_table_add_format (table, "%" G_GUINT64_FORMAT,
                               quince_node_answer_get_number (answer, "policy.revision"));
      quince_table_add_format (table, "%.12s", quince_node_answer_get_text (answer, "policy.hash"));
      quince_table_add (table, judge_revision (answer, wanted));
    }
  printf ("newest revision %" G_GUINT64_FORMAT "\n", wanted);
  quince_table_print (table);
}

static void
print_revision_json (const GPtrArray *answers, guint64 wanted)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  json_builder_begin_object (builder);
  quince_tool_add_number (builder, "revision", (gint64)wanted);
  json_builder_set_member_name (builder, "nodes");
  json_builder_begin_array (builder);
  for (guint i = 0; i < answers->len; i++)
    {
      const QuinceNodeAnswer *answer = answers->pdata[i];
      json_builder_begin_object (builder);
      quince_tool_add_text (builder, "name", quince_node_answer_get_text (answer, "name"));
      quince_tool_add_text (builder, "address", answer->address);
      quince_tool_add_number (builder, "revision",
                              (gint64)quince_node_answer_get_number (answer, "policy.revision"));
      quince_tool_add_text (builder, "hash", quince_node_answer_get_text (answer, "policy.hash"));
      quince_tool_add_text (builder, "state", judge_revision (answer, wanted));
      json_builder_end_object (builder);
    }
  json_builder_end_array (builder);
  json_builder_end_object (builder);
  quince_tool_print_json (builder);
}

QuinceToolStatus
quince_command_policy_status (QuinceTool *tool)
{
  if (!quince_tool_need_nodes (tool))
    return QUINCE_TOOL_USAGE;
  g_autoptr (GPtrArray) answers = quince_node_answers_fetch (tool);
  guint64 wanted = find_wanted (tool, answers);
  if (tool->arguments.json)
    print_revision_json (answers, wanted);
  else
    print_revision_table (answers, wanted);
  quince_node_answers_report (answers);
  for (guint i = 0; i < answers->len; i++)
    if (strcmp (judge_revision (answers->pdata[i], wanted), "in force") != 0)
      return QUINCE_TOOL_FAILED;
  return QUINCE_TOOL_OK;
}
