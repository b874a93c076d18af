/*
 * machines.c: stand-in of the list of live and leaving machines, which lags
 * behind what it is told.
 *
 * POST /machines {"machines":[MACHINE,...],"remove":["NAME",...]} merges by name.
 */
#include <quince/http.h>
#include <quince/task.h>

#include "standin.h"
#include "standins.h"

#define MAX_MACHINES 100000
#define MAX_NAME 128

typedef struct
{
  QuinceNetworkFaults network;
  guint64 missing;    /* so many of the first entries are left out    */
  guint64 duplicated; /* so many of the first entries are given twice */
  gboolean frozen;    /* updates are not shown while this is set      */
} MachinesFaults;

static const QuinceFaultSpec machines_faults[] = {
  QUINCE_NETWORK_FAULT_ROWS (MachinesFaults, network),
  { "missing", QUINCE_FAULT_NUMBER, G_STRUCT_OFFSET (MachinesFaults, missing), NULL },
  { "duplicated", QUINCE_FAULT_NUMBER, G_STRUCT_OFFSET (MachinesFaults, duplicated), NULL },
  { "frozen", QUINCE_FAULT_FLAG, G_STRUCT_OFFSET (MachinesFaults, frozen), NULL },
  { 0 },
};

typedef struct
{
  QuinceStandinFlags common;
  guint64 lag_ms;
} MachinesSettings;

/* An update that is not shown yet. */
typedef struct
{
  JsonNode *body; /* owned */
  gint64 due_us;
} Update;

typedef struct
{
  MachinesSettings settings;
  MachinesFaults faults;
  GHashTable *machines; /* name -> JsonObject; owned      */
  GPtrArray *order;     /* names in order of coming; owned */
  GQueue *updates;      /* Update, by due time; owned     */
  guint64 n_updates;
  guint64 n_reads;
} MachineList;

static void
update_free (gpointer data)
{
  Update *update = data;
  json_node_unref (update->body);
  g_free (update);
}

static void
set_machine (MachineList *list, JsonObject *machine)
{
  const char *name = json_object_get_string_member (machine, "name");
  if (!g_hash_table_contains (list->machines, name))
    {
      if (list->order->len >= MAX_MACHINES)
        return;
      g_ptr_array_add (list->order, g_strdup (name));
    }
  g_hash_table_replace (list->machines, g_strdup (name), json_object_ref (machine));
}

static void
remove_machine (MachineList *list, const char *name)
{
  g_hash_table_remove (list->machines, name);
  for (guint i = 0; i < list->order->len; i++)
    if (g_str_equal (g_ptr_array_index (list->order, i), name))
      {
        g_ptr_array_remove_index (list->order, i);
        return;
      }
}

static void
apply_update (MachineList *list, JsonNode *body)
{
  JsonObject *object = json_node_get_object (body);
  JsonArray *machines = json_object_has_member (object, "machines")
                            ? json_object_get_array_member (object, "machines")
                            : NULL;
  JsonArray *removed
      = json_object_has_member (object, "remove") ? json_object_get_array_member (object, "remove") : NULL;
  for (guint i = 0; machines != NULL && i < json_array_get_length (machines); i++)
    set_machine (list, json_array_get_object_element (machines, i));
  for (guint i = 0; removed != NULL && i < json_array_get_length (removed); i++)
    remove_machine (list, json_array_get_string_element (removed, i));
}

static void
apply_due_updates (MachineList *list)
{
  gint64 now_us = quince_now_us ();
  while (!list->faults.frozen && !g_queue_is_empty (list->updates))
    {
      Update *update = g_queue_peek_head (list->updates);
      if (update->due_us > now_us)
        return;
      g_queue_pop_head (list->updates);
      apply_update (list, update->body);
      update_free (update);
    }
}

/* ---- Requests ---- */

static gboolean
is_array_of (JsonObject *object, const char *name, gboolean of_texts)
{
  JsonNode *node = json_object_get_member (object, name);
  if (node == NULL)
    return TRUE;
  if (!JSON_NODE_HOLDS_ARRAY (node))
    return FALSE;
  JsonArray *array = json_node_get_array (node);
  for (guint i = 0; i < json_array_get_length (array); i++)
    {
      JsonNode *element = json_array_get_element (array, i);
      const char *machine_name = NULL;
      if (of_texts ? !JSON_NODE_HOLDS_VALUE (element) || json_node_get_value_type (element) != G_TYPE_STRING
                   : !JSON_NODE_HOLDS_OBJECT (element)
                         || !quince_json_get_text (json_node_get_object (element), "name", MAX_NAME,
                                                   &machine_name, NULL))
        return FALSE;
    }
  return TRUE;
}

static void
take_update (MachineList *list, SoupServerMessage *message)
{
  g_autoptr (JsonNode) body = quince_http_read_object (message);
  if (body == NULL)
    return;
  JsonObject *object = json_node_get_object (body);
  if (!is_array_of (object, "machines", FALSE) || !is_array_of (object, "remove", TRUE))
    {
      quince_http_reply_error (message, 400, "bad_request", "machines with names, and names to remove", -1,
                               -1);
      return;
    }
  Update *update = g_new0 (Update, 1);
  update->body = g_steal_pointer (&body);
  update->due_us = quince_now_us () + (gint64)list->settings.lag_ms * 1000;
  g_queue_push_tail (list->updates, update);
  list->n_updates++;
  quince_standin_reply_text (message, 200, g_strdup ("{}"));
}

static void
reply_machines (MachineList *list, SoupServerMessage *message)
{
  list->n_reads++;
  apply_due_updates (list);
  JsonArray *array = json_array_new ();
  for (guint i = 0; i < list->order->len; i++)
    {
      JsonObject *machine = g_hash_table_lookup (list->machines, g_ptr_array_index (list->order, i));
      guint copies = i < list->faults.missing ? 0 : i < list->faults.duplicated ? 2 : 1;
      for (guint copy = 0; copy < copies; copy++)
        json_array_add_object_element (array, json_object_ref (machine));
    }
  g_autoptr (JsonObject) object = json_object_new ();
  json_object_set_array_member (object, "machines", array);
  g_autoptr (JsonNode) node = json_node_new (JSON_NODE_OBJECT);
  json_node_set_object (node, object);
  quince_http_reply_json (message, 200, node);
}

static void
handle_request (gpointer self, SoupServerMessage *message, const char *path, GHashTable *query)
{
  if (!g_str_equal (path, "/machines"))
    quince_http_reply_error (message, 404, "not_found", "no such call", -1, -1);
  else if (soup_server_message_get_method (message) == SOUP_METHOD_POST)
    take_update (self, message);
  else
    reply_machines (self, message);
}

/* Updates get through while the list itself is down. */
static gboolean
handle_control (gpointer self, SoupServerMessage *message, const char *path)
{
  if (!g_str_equal (path, "/_machines") || soup_server_message_get_method (message) != SOUP_METHOD_POST)
    return FALSE;
  take_update (self, message);
  return TRUE;
}

static char *
describe_records (gpointer self)
{
  MachineList *list = self;
  return g_strdup_printf ("{\"updates\":%" G_GUINT64_FORMAT ",\"reads\":%" G_GUINT64_FORMAT
                          ",\"machines\":%u}",
                          list->n_updates, list->n_reads, list->order->len);
}

static void
reset_list (gpointer self)
{
  MachineList *list = self;
  g_hash_table_remove_all (list->machines);
  g_ptr_array_set_size (list->order, 0);
  g_queue_clear_full (list->updates, update_free);
  list->n_updates = list->n_reads = 0;
}

static const QuinceStandinClass machines_class = {
  .role = "machines",
  .faults = machines_faults,
  .handle = handle_request,
  .handle_control = handle_control,
  .records = describe_records,
  .reset = reset_list,
};

#define KEY_LAG 0x2000
static const struct argp_option machines_options[] = {
  { "lag-ms", KEY_LAG, "MS", 0, "Updates are shown so much later (0)", 0 },
  { 0 },
};

static error_t
parse_flag (int key, char *argument, struct argp_state *state)
{
  MachinesSettings *settings = state->input;
  switch (key)
    {
    case ARGP_KEY_INIT:
      state->child_inputs[0] = &settings->common;
      return 0;
    case KEY_LAG:
      settings->lag_ms = quince_standin_flag_number (argument, 600000, state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp_child machines_children[] = { { &quince_standin_argp, 0, NULL, 0 }, { 0 } };
static const struct argp machines_argp
    = { machines_options, parse_flag, NULL, "Stand-in of the machine list.", machines_children, NULL, NULL };

int
quince_machines_standin_run (int argc, char **argv)
{
  MachineList list = { 0 };
  quince_standin_flags_init (&list.settings.common, "machines");
  if (argp_parse (&machines_argp, argc, argv, 0, NULL, &list.settings) != 0)
    return QUINCE_STANDIN_EXIT_USAGE;
  list.machines = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify)json_object_unref);
  list.order = g_ptr_array_new_with_free_func (g_free);
  list.updates = g_queue_new ();
  g_autoptr (GError) error = NULL;
  QuinceStandin *standin
      = quince_standin_new (&machines_class, &list.settings.common, &list, &list.faults, &error);
  if (standin == NULL)
    return quince_standin_report_failure ("machines", error);
  quince_standin_set_network_faults (standin, &list.faults.network);
  return quince_standin_run (standin, NULL);
}
