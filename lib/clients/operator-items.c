/*
 * operator-items.c: JSON forms of the operators' keys; see operator-keys.h.
 */
#include "operator-items.h"

#include <json-glib/json-glib.h>
#include <stdlib.h>
#include <string.h>

#include "runtime/http.h"
#include "protocol/request-id.h"

#define MAX_HASH_CHARACTERS 64
#define MAX_DURATION_MS (G_GINT64_CONSTANT (366) * 24 * 3600 * 1000)
#define MAX_START_MS G_GINT64_CONSTANT (253402300799999) /* the year 9999 */

/* ---- Validation ------------------------------------------------------------ */

static gboolean
refuse (GError **error, const char *format, const char *argument)
{
  g_autofree char *text = g_strdup_printf ("%s: %s", format, argument);
  g_set_error_literal (error, QUINCE_OPERATOR_ERROR, QUINCE_OPERATOR_ERROR_INVALID, text);
  return FALSE;
}

gboolean
quince_operator_name_is_valid (const char *name)
{
  gsize length = name != NULL ? strlen (name) : 0;
  if (length == 0 || length > QUINCE_OPERATOR_MAX_NAME)
    return FALSE;
  for (gsize i = 0; i < length; i++)
    if (!g_ascii_isalnum (name[i]) && strchr ("-_.", name[i]) == NULL)
      return FALSE;
  return TRUE;
}

gboolean
quince_operator_name_validate (const char *name, GError **error)
{
  if (quince_operator_name_is_valid (name))
    return TRUE;
  g_autofree char *shown = g_strescape (name != NULL ? name : "", NULL);
  return refuse (error, "not a name of 1 to 64 letters, digits, '-', '_', '.'", shown);
}

gboolean
quince_policy_proposal_validate (const QuincePolicyProposal *proposal, GError **error)
{
  if (strlen (proposal->text) > QUINCE_MAX_POLICY)
    return refuse (error, "policy program is too large", "at most 65536 bytes");
  if (!g_utf8_validate (proposal->text, -1, NULL))
    return refuse (error, "policy program", "not UTF-8 text");
  if (strlen (proposal->comment) > QUINCE_OPERATOR_MAX_COMMENT
      || !g_utf8_validate (proposal->comment, -1, NULL))
    return refuse (error, "comment", "not UTF-8 text of at most 1024 bytes");
  return quince_operator_name_validate (proposal->author, error);
}

gboolean
quince_operator_event_validate (const QuinceOperatorEvent *event, GError **error)
{
  if (!quince_operator_name_validate (event->name, error))
    return FALSE;
  if (event->service[0] != '\0' && !quince_operator_name_validate (event->service, error))
    return FALSE;
  if (event->start_ms <= 0 || event->start_ms > MAX_START_MS)
    return refuse (error, "event start", "out of range");
  if (event->duration_ms <= 0 || event->duration_ms > MAX_DURATION_MS)
    return refuse (error, "event duration", "not between 1 ms and 366 days");
  if (event->expected > G_MAXINT64)
    return refuse (error, "event's expected requests", "out of range");
  return TRUE;
}

/* ---- Reading JSON ------------------------------------------------------------ */

static JsonNode *
parse_value (const QuinceKvItem *item, GError **error)
{
  g_autoptr (JsonParser) parser = json_parser_new_immutable ();
  JsonNode *root = NULL;
  if (item->length > 0 && quince_json_check (item->value, item->length)
      && json_parser_load_from_data (parser, item->value, item->length, NULL))
    root = json_parser_steal_root (parser);
  if (root != NULL && JSON_NODE_HOLDS_OBJECT (root))
    return root;
  g_clear_pointer (&root, json_node_unref);
  refuse (error, "not a JSON object", item->key);
  return NULL;
}

/* (nullable): %NULL when absent, of another type or too long */
static const char *
get_text (JsonObject *object, const char *name, gsize longest)
{
  JsonNode *node = json_object_get_member (object, name);
  const char *text = node != NULL && JSON_NODE_HOLDS_VALUE (node) ? json_node_get_string (node) : NULL;
  return text != NULL && strlen (text) <= longest ? text : NULL;
}

/* @fallback when absent; %FALSE when of another type or out of range */
static gboolean
get_integer (JsonObject *object, const char *name, gint64 fallback, gint64 greatest, gint64 *value)
{
  *value = fallback;
  JsonNode *node = json_object_get_member (object, name);
  if (node == NULL)
    return fallback >= 0;
  if (!JSON_NODE_HOLDS_VALUE (node) || json_node_get_value_type (node) != G_TYPE_INT64)
    return FALSE;
  *value = json_node_get_int (node);
  return *value >= 0 && *value <= greatest;
}

/* ---- Policy head ------------------------------------------------------------- */

void
quince_policy_head_free (QuincePolicyHead *head)
{
  if (head == NULL)
    return;
  g_clear_pointer (&head->body, quince_policy_body_free);
  g_free (head->proposal);
  g_free (head->author);
  g_free (head->comment);
  g_free (head);
}

QuincePolicyHead *
quince_policy_head_parse (const QuinceKvItem *item, GError **error)
{
  g_autoptr (JsonNode) root = parse_value (item, error);
  if (root == NULL)
    return NULL;
  JsonObject *object = json_node_get_object (root);
  const char *text = get_text (object, "text", QUINCE_MAX_POLICY);
  const char *hash = get_text (object, "hash", MAX_HASH_CHARACTERS);
  const char *proposal = get_text (object, "proposal", QUINCE_MAX_NAME);
  const char *author = get_text (object, "author", QUINCE_MAX_NAME);
  const char *comment = get_text (object, "comment", QUINCE_OPERATOR_MAX_COMMENT);
  if (text == NULL || hash == NULL || proposal == NULL || item->mod_revision == 0)
    {
      refuse (error, "not a policy head", item->key);
      return NULL;
    }
  g_autofree char *real_hash = quince_hash_text (text, strlen (text));
  if (strcmp (hash, real_hash) != 0)
    {
      refuse (error, "the policy's hash does not match its text", item->key);
      return NULL;
    }
  QuincePolicyHead *head = g_new0 (QuincePolicyHead, 1);
  head->body = g_new0 (QuincePolicyBody, 1);
  head->body->revision = item->mod_revision;
  head->body->hash = quince_string (hash);
  head->body->text = quince_string (text);
  head->proposal = g_strdup (proposal);
  head->author = quince_string (author);
  head->comment = quince_string (comment);
  return head;
}

static void
add_text (JsonBuilder *builder, const char *name, const char *value)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_string_value (builder, value);
}

static void
add_integer (JsonBuilder *builder, const char *name, gint64 value)
{
  json_builder_set_member_name (builder, name);
  json_builder_add_int_value (builder, value);
}

static char *
finish_object (JsonBuilder *builder)
{
  json_builder_end_object (builder);
  g_autoptr (JsonNode) root = json_builder_get_root (builder);
  return json_to_string (root, FALSE);
}

char *
quince_policy_head_format (const QuincePolicyProposal *proposal, const char *proposal_id)
{
  g_autofree char *hash = quince_hash_text (proposal->text, strlen (proposal->text));
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  json_builder_begin_object (builder);
  add_text (builder, "proposal", proposal_id);
  add_text (builder, "hash", hash);
  add_text (builder, "text", proposal->text);
  add_text (builder, "author", proposal->author);
  add_text (builder, "comment", proposal->comment);
  return finish_object (builder);
}

/* ---- Events ------------------------------------------------------------------ */

void
quince_operator_event_free (QuinceOperatorEvent *event)
{
  if (event == NULL)
    return;
  g_free (event->name);
  g_free (event->service);
  g_free (event);
}

QuinceOperatorEvent *
quince_operator_event_parse (const QuinceKvItem *item, GError **error)
{
  g_autoptr (JsonNode) root = parse_value (item, error);
  if (root == NULL)
    return NULL;
  JsonObject *object = json_node_get_object (root);
  gint64 start_ms, duration_ms, expected;
  const char *name = get_text (object, "name", QUINCE_OPERATOR_MAX_NAME);
  if (name == NULL || !get_integer (object, "start_ms", -1, MAX_START_MS, &start_ms)
      || !get_integer (object, "duration_ms", -1, MAX_DURATION_MS, &duration_ms)
      || !get_integer (object, "expected", 0, G_MAXINT64, &expected))
    {
      refuse (error, "not an event", item->key);
      return NULL;
    }
  g_autoptr (QuinceOperatorEvent) event = g_new0 (QuinceOperatorEvent, 1);
  event->name = g_strdup (name);
  event->service = quince_string (get_text (object, "service", QUINCE_OPERATOR_MAX_NAME));
  event->start_ms = start_ms;
  event->duration_ms = duration_ms;
  event->expected = expected;
  event->revision = item->mod_revision;
  return quince_operator_event_validate (event, error) ? g_steal_pointer (&event) : NULL;
}

char *
quince_operator_event_format (const QuinceOperatorEvent *event)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  json_builder_begin_object (builder);
  add_text (builder, "name", event->name);
  add_integer (builder, "start_ms", event->start_ms);
  add_integer (builder, "duration_ms", event->duration_ms);
  add_text (builder, "service", event->service);
  add_integer (builder, "expected", event->expected);
  return finish_object (builder);
}

/* ---- Drains ------------------------------------------------------------------ */

void
quince_operator_drain_free (QuinceOperatorDrain *drain)
{
  if (drain == NULL)
    return;
  g_free (drain->engine);
  g_free (drain->by);
  g_free (drain);
}

/* The key alone drains the engine: a value that is not of the form does not undo it. */
QuinceOperatorDrain *
quince_operator_drain_parse (const QuinceKvItem *item, GError **error)
{
  const char *engine = item->key + strlen (QUINCE_KEY_DRAIN);
  if (!g_str_has_prefix (item->key, QUINCE_KEY_DRAIN) || !quince_operator_name_is_valid (engine))
    {
      refuse (error, "not the key of a drain", item->key);
      return NULL;
    }
  QuinceOperatorDrain *drain = g_new0 (QuinceOperatorDrain, 1);
  drain->engine = g_strdup (engine);
  drain->revision = item->mod_revision;
  g_autoptr (JsonNode) root = parse_value (item, NULL);
  const char *by
      = root != NULL ? get_text (json_node_get_object (root), "by", QUINCE_OPERATOR_MAX_NAME) : NULL;
  drain->by = quince_string (by);
  return drain;
}

char *
quince_operator_drain_format (const char *engine, const char *by)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  json_builder_begin_object (builder);
  add_text (builder, "engine", engine);
  add_text (builder, "by", by);
  return finish_object (builder);
}

/* ---- Ledger voters -------------------------------------------------------------- */

static gboolean
parse_voter (JsonNode *node, QuinceReplica *replica)
{
  if (!JSON_NODE_HOLDS_OBJECT (node))
    return FALSE;
  JsonObject *object = json_node_get_object (node);
  const char *id = get_text (object, "replica_id", QUINCE_MAX_NAME);
  const char *node_name = get_text (object, "node", QUINCE_MAX_NAME);
  const char *zone = get_text (object, "zone", QUINCE_MAX_NAME);
  const char *address = get_text (object, "address", QUINCE_MAX_NAME);
  guint64 replica_id;
  if (id == NULL || !g_ascii_string_to_unsigned (id, 10, 1, G_MAXUINT64, &replica_id, NULL))
    return FALSE;
  if (node_name == NULL || zone == NULL || address == NULL)
    return FALSE;
  replica->replica_id = replica_id;
  replica->node = quince_string (node_name);
  replica->zone = quince_string (zone);
  replica->address = quince_string (address);
  return TRUE;
}

static JsonArray *
get_voters (JsonObject *object)
{
  JsonNode *node = json_object_get_member (object, "voters");
  JsonArray *list = node != NULL && JSON_NODE_HOLDS_ARRAY (node) ? json_node_get_array (node) : NULL;
  guint length = list != NULL ? json_array_get_length (list) : 0;
  return length > 0 && length <= QUINCE_OPERATOR_MAX_VOTERS ? list : NULL;
}

QuinceReplicaSet *
quince_operator_voters_parse (const QuinceKvItem *item, GError **error)
{
  g_autoptr (JsonNode) root = parse_value (item, error);
  if (root == NULL)
    return NULL;
  JsonArray *list = get_voters (json_node_get_object (root));
  guint length = list != NULL ? json_array_get_length (list) : 0;
  QuinceReplica *voters = g_new0 (QuinceReplica, length + 1);
  gboolean ok = list != NULL;
  for (guint i = 0; ok && i < length; i++)
    ok = parse_voter (json_array_get_element (list, i), &voters[i]);
  if (!ok)
    {
      for (guint i = 0; i < length; i++)
        xdr_free ((xdrproc_t)xdr_QuinceReplica, (char *)&voters[i]);
      g_free (voters);
      refuse (error, "not a list of ledger voters", item->key);
      return NULL;
    }
  QuinceReplicaSet *set = g_new0 (QuinceReplicaSet, 1);
  set->voters.voters_len = length;
  set->voters.voters_val = voters;
  return set;
}

char *
quince_operator_voters_format (const QuinceReplicaSet *voters)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "voters");
  json_builder_begin_array (builder);
  for (guint i = 0; i < voters->voters.voters_len; i++)
    {
      const QuinceReplica *replica = &voters->voters.voters_val[i];
      g_autofree char *id = g_strdup_printf ("%" G_GUINT64_FORMAT, (guint64)replica->replica_id);
      json_builder_begin_object (builder);
      add_text (builder, "replica_id", id);
      add_text (builder, "node", replica->node);
      add_text (builder, "zone", replica->zone);
      add_text (builder, "address", replica->address);
      json_builder_end_object (builder);
    }
  json_builder_end_array (builder);
  return finish_object (builder);
}
