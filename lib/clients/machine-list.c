/*
 * machine-list.c: the platform's list of live and leaving machines.
 */
#include <quince/machine-list.h>

#include <quince/http.h>
#include <quince/link.h>

#define LONGEST_NAME 128
#define MOST_MACHINES 4096

G_DEFINE_QUARK (quince - machine - list - error - quark, quince_machine_list_error)

/* A call on its way.  Owned by the HTTP call until its callback has run. */
typedef struct
{
  GCancellable *cancellable;
  QuinceMachineListCallback callback;
  gpointer user_data;
} ListCall;

/* Returns: %TRUE and @is_engine; other kinds of machines are passed over. */
static gboolean
parse_machine (JsonNode *node, QuinceMachine *machine, gboolean *is_engine, GError **error)
{
  if (!JSON_NODE_HOLDS_OBJECT (node))
    {
      g_set_error (error, QUINCE_MACHINE_LIST_ERROR, QUINCE_MACHINE_LIST_ERROR_PROTOCOL,
                   "machine: not an object");
      return FALSE;
    }
  JsonObject *object = json_node_get_object (node);
  const char *kind = NULL;
  const char *state = NULL;
  if (!quince_json_get_text (object, "kind", LONGEST_NAME, &kind, error))
    return FALSE;
  *is_engine = g_str_equal (kind, "engine");
  if (!*is_engine)
    return TRUE;
  if (!quince_json_get_text (object, "name", LONGEST_NAME, &machine->name, error)
      || !quince_json_get_text (object, "service", LONGEST_NAME, &machine->service, error)
      || !quince_json_get_text (object, "zone", LONGEST_NAME, &machine->zone, error)
      || !quince_json_get_text (object, "address", LONGEST_NAME, &machine->address, error)
      || !quince_json_get_text (object, "state", LONGEST_NAME, &state, error))
    return FALSE;
  machine->leaving = !g_str_equal (state, "live");
  g_autoptr (GSocketAddress) parsed = quince_address_parse (machine->address, error);
  return parsed != NULL;
}

static gboolean
parse_list (JsonNode *answer, GArray *machines, GError **error)
{
  JsonNode *node = answer != NULL && JSON_NODE_HOLDS_OBJECT (answer)
                       ? json_object_get_member (json_node_get_object (answer), "machines")
                       : NULL;
  if (node == NULL || !JSON_NODE_HOLDS_ARRAY (node)
      || json_array_get_length (json_node_get_array (node)) > MOST_MACHINES)
    {
      g_set_error (error, QUINCE_MACHINE_LIST_ERROR, QUINCE_MACHINE_LIST_ERROR_PROTOCOL,
                   "machines: not a list of at most %d", MOST_MACHINES);
      return FALSE;
    }
  JsonArray *list = json_node_get_array (node);
  for (guint i = 0; i < json_array_get_length (list); i++)
    {
      QuinceMachine machine = { 0 };
      gboolean is_engine = FALSE;
      if (!parse_machine (json_array_get_element (list, i), &machine, &is_engine, error))
        return FALSE;
      if (is_engine)
        g_array_append_val (machines, machine);
    }
  return TRUE;
}

static void
list_answered (guint status, JsonNode *answer, const GError *cause, gpointer user_data)
{
  g_autofree ListCall *call = user_data;
  g_autoptr (GCancellable) cancellable = g_steal_pointer (&call->cancellable);
  if (cancellable != NULL && g_cancellable_is_cancelled (cancellable))
    return;
  g_autoptr (GError) error = NULL;
  g_autoptr (GError) bad_field = NULL;
  g_autoptr (GArray) machines = g_array_new (FALSE, FALSE, sizeof (QuinceMachine));
  if (status != SOUP_STATUS_OK)
    g_set_error (&error, QUINCE_MACHINE_LIST_ERROR, QUINCE_MACHINE_LIST_ERROR_UNREACHABLE, "status %u: %s",
                 status, cause != NULL ? cause->message : "");
  else if (!parse_list (answer, machines, &bad_field))
    g_set_error (&error, QUINCE_MACHINE_LIST_ERROR, QUINCE_MACHINE_LIST_ERROR_PROTOCOL, "%s",
                 bad_field->message);
  call->callback (error == NULL ? machines : NULL, error, call->user_data);
}

void
quince_machine_list_get (SoupSession *session,
                         const char *address,
                         guint timeout_ms,
                         GCancellable *cancellable,
                         QuinceMachineListCallback callback,
                         gpointer user_data)
{
  g_autofree char *url = g_strdup_printf ("http://%s/machines", address);
  ListCall *call = g_new0 (ListCall, 1);
  g_set_object (&call->cancellable, cancellable);
  call->callback = callback;
  call->user_data = user_data;
  quince_http_call (session, url, NULL, timeout_ms, cancellable, list_answered, call);
}
