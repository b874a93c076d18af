/*
 * status-commands.c: quinceroute status and ledger status.
 */
#include <stdio.h>

#include "commands.h"
#include "node-status.h"
#include "table.h"

/* ---- Tables of what the nodes say --------------------------------------------------- */

static void
print_nodes (const GPtrArray *answers)
{
  static const char *const headings[]
      = { "NODE", "ZONE", "ADDRESS", "READY", "POLICY", "LEDGER", "EPOCH", "LEADER", "NEWEST VERSION", NULL };
  g_autoptr (QuinceTable) table = quince_table_new (headings);
  for (guint i = 0; i < answers->len; i++)
    {
      const QuinceNodeAnswer *answer = answers->pdata[i];
      const char *ready = quince_node_answer_get_flag (answer, "ready") ? "yes" : "no";
      quince_table_add (table, quince_node_answer_get_text (answer, "name"));
      quince_table_add (table, quince_node_answer_get_text (answer, "zone"));
      quince_table_add (table, answer->address);
      quince_table_add (table, answer->answer != NULL ? ready : "unreachable");
      quince_table_add_format (table, "%" G_GUINT64_FORMAT,
                               quince_node_answer_get_number (answer, "policy.revision"));
      quince_table_add (table, quince_node_answer_get_text (answer, "ledger.role"));
      quince_table_add_format (table, "%" G_GUINT64_FORMAT,
                               quince_node_answer_get_number (answer, "ledger.epoch"));
      quince_table_add (table, quince_node_answer_get_text (answer, "ledger.leader"));
      quince_table_add_format (table, "%" G_GUINT64_FORMAT,
                               quince_node_answer_get_number (answer, "weights.newest"));
    }
  quince_table_print (table);
}

static void
add_member (QuinceTable *table, const QuinceNodeAnswer *answer, JsonObject *member)
{
  quince_table_add (table, quince_status_get_text (member, "name"));
  quince_table_add (table, quince_status_get_text (member, "zone"));
  quince_table_add (table, quince_status_get_text (member, "address"));
  quince_table_add (table, quince_status_get_text (member, "state"));
  quince_table_add (table, quince_status_get_flag (member, "ledger") ? "yes" : "no");
  quince_table_add (table, quince_node_answer_get_text (answer, "name"));
}

/* (transfer full) */
static char *
describe_leaving (JsonObject *engine)
{
  JsonNode *node = engine != NULL ? json_object_get_member (engine, "leaving") : NULL;
  JsonArray *signs = node != NULL && JSON_NODE_HOLDS_ARRAY (node) ? json_node_get_array (node) : NULL;
  GString *text = g_string_new (NULL);
  for (guint i = 0; signs != NULL && i < json_array_get_length (signs); i++)
    {
      JsonNode *sign = json_array_get_element (signs, i);
      const char *name = JSON_NODE_HOLDS_VALUE (sign) ? json_node_get_string (sign) : NULL;
      if (name != NULL)
        g_string_append_printf (text, "%s%s", text->len > 0 ? "," : "leaving: ", name);
    }
  if (text->len == 0)
    g_string_append (text, quince_status_get_flag (engine, "usable") ? "usable" : "unusable");
  return g_string_free (text, FALSE);
}

static void
add_engine (QuinceTable *table, const QuinceNodeAnswer *answer, JsonObject *engine)
{
  static const char *const numbers[]
      = { "weight_version", "target_version", "running", "waiting", "capacity" };
  g_autofree char *state = describe_leaving (engine);
  quince_table_add (table, quince_status_get_text (engine, "name"));
  quince_table_add (table, quince_status_get_text (engine, "service"));
  quince_table_add (table, quince_status_get_text (engine, "address"));
  for (guint i = 0; i < G_N_ELEMENTS (numbers); i++)
    quince_table_add_format (table, "%" G_GUINT64_FORMAT, quince_status_get_number (engine, numbers[i]));
  quince_table_add (table, state);
  quince_table_add (table, quince_node_answer_get_text (answer, "name"));
}

typedef void (*ElementPrinter) (QuinceTable *table, const QuinceNodeAnswer *answer, JsonObject *element);

/* One row an element of the list @name; names already told by another node are left out. */
static void
print_list (const GPtrArray *answers, const char *name, const char *const *headings, ElementPrinter add)
{
  g_autoptr (GHashTable) told = g_hash_table_new (g_str_hash, g_str_equal);
  g_autoptr (QuinceTable) table = quince_table_new (headings);
  for (guint i = 0; i < answers->len; i++)
    {
      const QuinceNodeAnswer *answer = answers->pdata[i];
      JsonArray *list = quince_node_answer_get_list (answer, name);
      for (guint j = 0; list != NULL && j < json_array_get_length (list); j++)
        {
          JsonObject *element = quince_status_element (list, j);
          if (g_hash_table_add (told, (gpointer)quince_status_get_text (element, "name")))
            add (table, answer, element);
        }
    }
  printf ("\n");
  quince_table_print (table);
}

/* ---- JSON: the nodes' answers as they are ------------------------------------------- */

static void
add_answers_json (JsonBuilder *builder, const GPtrArray *answers)
{
  json_builder_set_member_name (builder, "nodes");
  json_builder_begin_array (builder);
  for (guint i = 0; i < answers->len; i++)
    {
      const QuinceNodeAnswer *answer = answers->pdata[i];
      json_builder_begin_object (builder);
      quince_tool_add_text (builder, "address", answer->address);
      quince_tool_add_text (builder, "error", answer->error != NULL ? answer->error : "");
      json_builder_set_member_name (builder, "status");
      if (answer->answer != NULL)
        json_builder_add_value (builder, json_node_copy (answer->answer));
      else
        json_builder_add_null_value (builder);
      json_builder_end_object (builder);
    }
  json_builder_end_array (builder);
}

/* ---- status --------------------------------------------------------------------------- */

static void
print_status (const GPtrArray *answers)
{
  static const char *const members[] = { "MEMBER", "ZONE", "ADDRESS", "STATE", "LEDGER", "SEEN BY", NULL };
  static const char *const engines[] = { "ENGINE",  "SERVICE",  "ADDRESS", "VERSION", "TARGET", "RUNNING",
                                         "WAITING", "CAPACITY", "STATE",   "SEEN BY", NULL };
  print_nodes (answers);
  print_list (answers, "members", members, add_member);
  print_list (answers, "engines", engines, add_engine);
}

QuinceToolStatus
quince_command_status (QuinceTool *tool)
{
  if (!quince_tool_need_nodes (tool))
    return QUINCE_TOOL_USAGE;
  g_autoptr (GPtrArray) answers = quince_node_answers_fetch (tool);
  if (tool->arguments.json)
    {
      g_autoptr (JsonBuilder) builder = json_builder_new ();
      json_builder_begin_object (builder);
      add_answers_json (builder, answers);
      json_builder_end_object (builder);
      quince_tool_print_json (builder);
    }
  else
    print_status (answers);
  return quince_node_answers_report (answers) == answers->len ? QUINCE_TOOL_OK : QUINCE_TOOL_FAILED;
}

/* ---- ledger status ----------------------------------------------------------------------- */

typedef struct
{
  QuinceTool *tool;
  QuinceReplicaSet *voters; /* owned; NULL: not written yet */
} LedgerView;

static void
on_voters (const QuinceReplicaSet *voters, const GError *error, gpointer user_data)
{
  LedgerView *view = user_data;
  if (error == NULL && voters != NULL)
    view->voters = quince_replica_set_copy (voters);
  quince_tool_finish (view->tool, error != NULL ? quince_tool_fail_error (error) : QUINCE_TOOL_OK);
}

static void
print_voters (const QuinceReplicaSet *voters)
{
  static const char *const headings[] = { "FIRST VOTER", "NODE", "ZONE", "ADDRESS", NULL };
  g_autoptr (QuinceTable) table = quince_table_new (headings);
  for (guint i = 0; voters != NULL && i < voters->voters.voters_len; i++)
    {
      const QuinceReplica *replica = &voters->voters.voters_val[i];
      quince_table_add_format (table, "%" G_GUINT64_FORMAT, (guint64)replica->replica_id);
      quince_table_add (table, replica->node);
      quince_table_add (table, replica->zone);
      quince_table_add (table, replica->address);
    }
  quince_table_print (table);
}

static void
print_replicas (const GPtrArray *answers)
{
  static const char *const headings[] = { "NODE",         "ROLE", "REPLICA",  "EPOCH",     "LEADER", "VOTERS",
                                          "COMMIT INDEX", "OPEN", "COMPLETE", "DELIVERED", NULL };
  static const char *const numbers[] = { "ledger.voters", "ledger.commit_index", "ledger.samples_open",
                                         "ledger.samples_complete", "ledger.delivered" };
  g_autoptr (QuinceTable) table = quince_table_new (headings);
  for (guint i = 0; i < answers->len; i++)
    {
      const QuinceNodeAnswer *answer = answers->pdata[i];
      const char *role = quince_node_answer_get_text (answer, "ledger.role");
      quince_table_add (table, quince_node_answer_get_text (answer, "name"));
      quince_table_add (table, answer->answer != NULL ? role : "unreachable");
      quince_table_add (table, quince_node_answer_get_text (answer, "ledger.replica_id"));
      quince_table_add_format (table, "%" G_GUINT64_FORMAT,
                               quince_node_answer_get_number (answer, "ledger.epoch"));
      quince_table_add (table, quince_node_answer_get_text (answer, "ledger.leader"));
      for (guint j = 0; j < G_N_ELEMENTS (numbers); j++)
        quince_table_add_format (table, "%" G_GUINT64_FORMAT,
                                 quince_node_answer_get_number (answer, numbers[j]));
    }
  quince_table_print (table);
}

static void
print_ledger_json (const QuinceReplicaSet *voters, const GPtrArray *answers)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "voters");
  json_builder_begin_array (builder);
  for (guint i = 0; voters != NULL && i < voters->voters.voters_len; i++)
    {
      const QuinceReplica *replica = &voters->voters.voters_val[i];
      g_autofree char *id = g_strdup_printf ("%" G_GUINT64_FORMAT, (guint64)replica->replica_id);
      json_builder_begin_object (builder);
      quince_tool_add_text (builder, "replica_id", id);
      quince_tool_add_text (builder, "node", replica->node);
      quince_tool_add_text (builder, "zone", replica->zone);
      quince_tool_add_text (builder, "address", replica->address);
      json_builder_end_object (builder);
    }
  json_builder_end_array (builder);
  add_answers_json (builder, answers);
  json_builder_end_object (builder);
  quince_tool_print_json (builder);
}

static void
print_ledger (const QuinceReplicaSet *voters, const GPtrArray *answers)
{
  if (voters == NULL)
    printf ("the first voters are not known to the key-value service\n");
  else
    print_voters (voters);
  if (answers->len == 0)
    return;
  printf ("\n");
  print_replicas (answers);
}

QuinceToolStatus
quince_command_ledger_status (QuinceTool *tool)
{
  LedgerView view = { .tool = tool };
  QuinceToolStatus status = QUINCE_TOOL_OK;
  if (tool->store == NULL && !quince_tool_need_nodes (tool))
    return QUINCE_TOOL_USAGE;
  if (tool->store != NULL)
    {
      quince_operator_store_read_voters (tool->store, on_voters, &view);
      quince_tool_wait (tool);
      status = tool->status;
    }
  g_autoptr (GPtrArray) answers = quince_node_answers_fetch (tool);
  if (tool->arguments.json)
    print_ledger_json (view.voters, answers);
  else
    print_ledger (view.voters, answers);
  if (quince_node_answers_report (answers) < answers->len)
    status = QUINCE_TOOL_FAILED;
  g_clear_pointer (&view.voters, quince_replica_set_free);
  return status;
}
