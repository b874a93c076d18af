/*
 * engine-admin.c: the admin calls of a model engine, over HTTP and JSON.
 */
#include <quince/engine-admin.h>

#include <quince/http.h>

#define LONGEST_NAME 128
#define MOST_COUNT 1000000
#define MOST_EVENTS 16384
#define MOST_BLOCKS 4096

G_DEFINE_QUARK (quince - engine - error - quark, quince_engine_error)

/* A call on its way.  Owned by the HTTP call until its callback has run. */
typedef struct
{
  GCancellable *cancellable;
  QuinceEngineLoadCallback load;
  QuinceCacheEventsCallback cache_events;
  QuinceEngineOrderCallback order;
  gpointer user_data;
} EngineCall;

static EngineCall *
engine_call_new (GCancellable *cancellable, gpointer user_data)
{
  EngineCall *call = g_new0 (EngineCall, 1);
  g_set_object (&call->cancellable, cancellable);
  call->user_data = user_data;
  return call;
}

static void
engine_call_free (EngineCall *call)
{
  g_clear_object (&call->cancellable);
  g_free (call);
}

G_DEFINE_AUTOPTR_CLEANUP_FUNC (EngineCall, engine_call_free)

static gboolean
engine_call_is_cancelled (const EngineCall *call)
{
  return call->cancellable != NULL && g_cancellable_is_cancelled (call->cancellable);
}

static gboolean
is_stale_fence (JsonNode *answer)
{
  if (answer == NULL || !JSON_NODE_HOLDS_OBJECT (answer))
    return FALSE;
  JsonNode *error = json_object_get_member (json_node_get_object (answer), "error");
  if (error == NULL || !JSON_NODE_HOLDS_OBJECT (error))
    return FALSE;
  const char *type = NULL;
  return quince_json_get_text (json_node_get_object (error), "type", LONGEST_NAME, &type, NULL)
         && g_str_equal (type, "stale_fence");
}

/* Returns: the answer's object; %NULL with @error for a call that failed. */
static JsonObject *
check_answer (guint status, JsonNode *answer, const GError *cause, GError **error)
{
  if (status == 0)
    {
      g_set_error (error, QUINCE_ENGINE_ERROR, QUINCE_ENGINE_ERROR_UNREACHABLE, "no answer: %s",
                   cause != NULL ? cause->message : "connection lost");
      return NULL;
    }
  if (status == SOUP_STATUS_CONFLICT && is_stale_fence (answer))
    {
      g_set_error (error, QUINCE_ENGINE_ERROR, QUINCE_ENGINE_ERROR_STALE_FENCE,
                   "a greater fencing token has been seen");
      return NULL;
    }
  if (status != SOUP_STATUS_OK)
    {
      g_set_error (error, QUINCE_ENGINE_ERROR, QUINCE_ENGINE_ERROR_REFUSED, "status %u", status);
      return NULL;
    }
  if (answer == NULL || !JSON_NODE_HOLDS_OBJECT (answer))
    {
      g_set_error (error, QUINCE_ENGINE_ERROR, QUINCE_ENGINE_ERROR_PROTOCOL, "answer is not a JSON object");
      return NULL;
    }
  return json_node_get_object (answer);
}

static void
set_protocol_error (GError **error, const GError *cause)
{
  g_set_error (error, QUINCE_ENGINE_ERROR, QUINCE_ENGINE_ERROR_PROTOCOL, "%s", cause->message);
}

/* ---- Load ------------------------------------------------------------ */

static gboolean
get_count (JsonObject *object, const char *name, guint *value, GError **error)
{
  guint64 wide = 0;
  if (!quince_json_get_u64 (object, name, MOST_COUNT, &wide, error))
    return FALSE;
  *value = (guint)wide;
  return TRUE;
}

static gboolean
parse_load (JsonObject *object, QuinceEngineLoad *load, GError **error)
{
  const char *state = "serving";
  guint64 report_age_ms = 0;
  load->service = "";
  load->zone = "";
  if (!quince_json_get_text (object, "name", LONGEST_NAME, &load->name, error)
      || !quince_json_opt_text (object, "service", LONGEST_NAME, &load->service, error)
      || !quince_json_opt_text (object, "zone", LONGEST_NAME, &load->zone, error)
      || !quince_json_get_text (object, "state", LONGEST_NAME, &state, error)
      || !get_count (object, "running", &load->running, error)
      || !get_count (object, "waiting", &load->waiting, error)
      || !get_count (object, "capacity", &load->capacity, error)
      || !quince_json_get_u64 (object, "weight_version", G_MAXINT64, &load->weight_version, error)
      || !quince_json_opt_u64 (object, "target_version", G_MAXINT64, &load->target_version, error)
      || !quince_json_opt_u64 (object, "staged_version", G_MAXINT64, &load->staged_version, error)
      || !quince_json_opt_u64 (object, "report_age_ms", G_MAXUINT, &report_age_ms, error))
    return FALSE;
  load->leaving = g_str_equal (state, "leaving");
  load->report_age_ms = (guint)report_age_ms;
  return TRUE;
}

static void
load_answered (guint status, JsonNode *answer, const GError *cause, gpointer user_data)
{
  g_autoptr (EngineCall) call = user_data;
  if (engine_call_is_cancelled (call))
    return;
  g_autoptr (GError) error = NULL;
  g_autoptr (GError) bad_field = NULL;
  QuinceEngineLoad load = { 0 };
  JsonObject *object = check_answer (status, answer, cause, &error);
  if (object != NULL && !parse_load (object, &load, &bad_field))
    set_protocol_error (&error, bad_field);
  call->load (error == NULL ? &load : NULL, error, call->user_data);
}

void
quince_engine_admin_get_load (SoupSession *session,
                              const char *address,
                              guint timeout_ms,
                              GCancellable *cancellable,
                              QuinceEngineLoadCallback callback,
                              gpointer user_data)
{
  g_autofree char *url = g_strdup_printf ("http://%s/admin/load", address);
  EngineCall *call = engine_call_new (cancellable, user_data);
  call->load = callback;
  quince_http_call (session, url, NULL, timeout_ms, cancellable, load_answered, call);
}

/* ---- Cache events ---------------------------------------------------- */

/* Appends the hashes of @node, a JSON list of hexadecimal texts, to @blocks. */
static gboolean
parse_blocks (JsonNode *node, GArray *blocks, GError **error)
{
  if (node == NULL || !JSON_NODE_HOLDS_ARRAY (node)
      || json_array_get_length (json_node_get_array (node)) > MOST_BLOCKS)
    {
      g_set_error (error, QUINCE_ENGINE_ERROR, QUINCE_ENGINE_ERROR_PROTOCOL,
                   "blocks: not a list of at most %d", MOST_BLOCKS);
      return FALSE;
    }
  JsonArray *list = json_node_get_array (node);
  for (guint i = 0; i < json_array_get_length (list); i++)
    {
      JsonNode *item = json_array_get_element (list, i);
      const char *text = JSON_NODE_HOLDS_VALUE (item) ? json_node_get_string (item) : NULL;
      guint64 hash = 0;
      if (text == NULL || !g_ascii_string_to_unsigned (text, 16, 0, G_MAXUINT64, &hash, NULL))
        {
          g_set_error (error, QUINCE_ENGINE_ERROR, QUINCE_ENGINE_ERROR_PROTOCOL, "blocks: not hexadecimal");
          return FALSE;
        }
      g_array_append_val (blocks, hash);
    }
  return TRUE;
}

static gboolean
parse_cache_event (JsonNode *node, QuinceCacheEvent *event, GArray *blocks, GError **error)
{
  if (!JSON_NODE_HOLDS_OBJECT (node))
    {
      g_set_error (error, QUINCE_ENGINE_ERROR, QUINCE_ENGINE_ERROR_PROTOCOL, "event: not an object");
      return FALSE;
    }
  JsonObject *object = json_node_get_object (node);
  const char *type = NULL;
  if (!quince_json_get_u64 (object, "seq", G_MAXINT64, &event->sequence, error)
      || !quince_json_get_text (object, "type", LONGEST_NAME, &type, error)
      || !parse_blocks (json_object_get_member (object, "blocks"), blocks, error))
    return FALSE;
  event->stored = g_str_equal (type, "stored");
  return TRUE;
}

/* @blocks receives the hashes of all events, which point into it. */
static gboolean
parse_cache_events (JsonObject *object,
                    GArray *events,
                    GArray *blocks,
                    guint64 *last_sequence,
                    GError **error)
{
  JsonNode *node = json_object_get_member (object, "events");
  if (node == NULL || !JSON_NODE_HOLDS_ARRAY (node)
      || json_array_get_length (json_node_get_array (node)) > MOST_EVENTS)
    {
      g_set_error (error, QUINCE_ENGINE_ERROR, QUINCE_ENGINE_ERROR_PROTOCOL,
                   "events: not a list of at most %d", MOST_EVENTS);
      return FALSE;
    }
  if (!quince_json_get_u64 (object, "last_seq", G_MAXINT64, last_sequence, error))
    return FALSE;
  JsonArray *list = json_node_get_array (node);
  for (guint i = 0; i < json_array_get_length (list); i++)
    {
      QuinceCacheEvent event = { 0 };
      guint before = blocks->len;
      if (!parse_cache_event (json_array_get_element (list, i), &event, blocks, error))
        return FALSE;
      event.n_blocks = blocks->len - before;
      g_array_append_val (events, event);
    }
  guint first = 0;
  for (guint i = 0; i < events->len; i++)
    {
      QuinceCacheEvent *event = &g_array_index (events, QuinceCacheEvent, i);
      event->blocks = (const guint64 *)(gpointer)blocks->data + first;
      first += event->n_blocks;
    }
  return TRUE;
}

static void
cache_events_answered (guint status, JsonNode *answer, const GError *cause, gpointer user_data)
{
  g_autoptr (EngineCall) call = user_data;
  if (engine_call_is_cancelled (call))
    return;
  g_autoptr (GError) error = NULL;
  g_autoptr (GError) bad_field = NULL;
  g_autoptr (GArray) events = g_array_new (FALSE, FALSE, sizeof (QuinceCacheEvent));
  g_autoptr (GArray) blocks = g_array_new (FALSE, FALSE, sizeof (guint64));
  guint64 last_sequence = 0;
  JsonObject *object = check_answer (status, answer, cause, &error);
  if (object != NULL && !parse_cache_events (object, events, blocks, &last_sequence, &bad_field))
    set_protocol_error (&error, bad_field);
  call->cache_events (error == NULL ? events : NULL, last_sequence, error, call->user_data);
}

void
quince_engine_admin_get_cache_events (SoupSession *session,
                                      const char *address,
                                      guint64 after,
                                      guint timeout_ms,
                                      GCancellable *cancellable,
                                      QuinceCacheEventsCallback callback,
                                      gpointer user_data)
{
  g_autofree char *url
      = g_strdup_printf ("http://%s/admin/cache_events?after=%" G_GUINT64_FORMAT, address, after);
  EngineCall *call = engine_call_new (cancellable, user_data);
  call->cache_events = callback;
  quince_http_call (session, url, NULL, timeout_ms, cancellable, cache_events_answered, call);
}

/* ---- Fenced orders --------------------------------------------------- */

static void
order_answered (guint status, JsonNode *answer, const GError *cause, gpointer user_data)
{
  g_autoptr (EngineCall) call = user_data;
  if (engine_call_is_cancelled (call))
    return;
  g_autoptr (GError) error = NULL;
  check_answer (status, answer, cause, &error);
  call->order (error, call->user_data);
}

void
quince_engine_admin_stage (SoupSession *session,
                           const char *address,
                           guint64 version,
                           guint64 fence,
                           guint timeout_ms,
                           GCancellable *cancellable,
                           QuinceEngineOrderCallback callback,
                           gpointer user_data)
{
  g_autofree char *url = g_strdup_printf ("http://%s/admin/weights/stage", address);
  g_autofree char *body = g_strdup_printf (
      "{\"version\":%" G_GUINT64_FORMAT ",\"fence\":%" G_GUINT64_FORMAT "}", version, fence);
  EngineCall *call = engine_call_new (cancellable, user_data);
  call->order = callback;
  quince_http_call (session, url, body, timeout_ms, cancellable, order_answered, call);
}

void
quince_engine_admin_activate (SoupSession *session,
                              const char *address,
                              guint64 version,
                              guint64 fence,
                              const char *running,
                              guint timeout_ms,
                              GCancellable *cancellable,
                              QuinceEngineOrderCallback callback,
                              gpointer user_data)
{
  g_autofree char *url = g_strdup_printf ("http://%s/admin/weights/activate", address);
  g_autofree char *body = g_strdup_printf ("{\"version\":%" G_GUINT64_FORMAT ",\"fence\":%" G_GUINT64_FORMAT
                                           ",\"running\":\"%s\"}",
                                           version, fence, running);
  EngineCall *call = engine_call_new (cancellable, user_data);
  call->order = callback;
  quince_http_call (session, url, body, timeout_ms, cancellable, order_answered, call);
}
