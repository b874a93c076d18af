/*
 * kv-watch.c: watch streams of the key-value service stand-in: one JSON
 * object a line, as the gateway sends them.
 */
#include "kv.h"

#include <string.h>

#include "runtime/http.h"
#include "runtime/clock.h"

#define MAX_WATCHES 10000

typedef struct
{
  KvWatches *watches;
  SoupServerMessage *message; /* referenced                         */
  GBytes *key;                /* owned                              */
  GBytes *end;                /* owned; NULL: one key               */
  GString *unsent;            /* events not delivered yet; owned    */
  guint64 next_revision;      /* events below it were not asked for */
  guint delivery;             /* source that sends @unsent          */
} Watch;

struct _KvWatches
{
  KvService *service; /* owner                   */
  GPtrArray *streams; /* Watch; owned, open ones */
};

static void
watch_free (gpointer data)
{
  Watch *watch = data;
  if (watch->delivery != 0)
    g_source_remove (watch->delivery);
  g_object_unref (watch->message);
  g_bytes_unref (watch->key);
  g_clear_pointer (&watch->end, g_bytes_unref);
  g_string_free (watch->unsent, TRUE);
  g_free (watch);
}

KvWatches *
kv_watches_new (KvService *service)
{
  KvWatches *watches = g_new0 (KvWatches, 1);
  watches->service = service;
  watches->streams = g_ptr_array_new_with_free_func (watch_free);
  return watches;
}

guint
kv_watches_get_count (KvWatches *watches)
{
  return watches->streams->len;
}

static void
send_text (Watch *watch, const char *text, gsize length)
{
  SoupMessageBody *body = soup_server_message_get_response_body (watch->message);
  soup_message_body_append (body, SOUP_MEMORY_COPY, text, length);
  soup_server_message_unpause (watch->message);
}

static gboolean
deliver (gpointer user_data)
{
  Watch *watch = user_data;
  watch->delivery = 0;
  if (watch->unsent->len == 0 || watch->watches->service->faults.stall_watches)
    return G_SOURCE_REMOVE;
  send_text (watch, watch->unsent->str, watch->unsent->len);
  g_string_truncate (watch->unsent, 0);
  return G_SOURCE_REMOVE;
}

static void
deliver_in_time (Watch *watch)
{
  guint64 delay_ms = watch->watches->service->faults.late_watches_ms;
  if (watch->delivery != 0)
    return;
  if (delay_ms == 0)
    deliver (watch);
  else
    watch->delivery = g_timeout_add ((guint)delay_ms, deliver, watch);
}

static void
append_event (GString *text, const KvEvent *event)
{
  g_string_append (text, event->deleted ? "{\"type\":\"DELETE\",\"kv\":" : "{\"kv\":");
  kv_json_append_entry (text, event->entry);
  g_string_append_c (text, '}');
}

static gboolean
is_watched (const Watch *watch, const KvEvent *event)
{
  return event->entry->mod_revision >= watch->next_revision
         && kv_key_in_range (event->entry->key, watch->key, watch->end);
}

static void
append_events (Watch *watch, const GArray *events)
{
  gsize begin = watch->unsent->len;
  guint shown = 0;
  for (guint i = 0; i < events->len; i++)
    {
      const KvEvent *event = &g_array_index (events, KvEvent, i);
      if (!is_watched (watch, event))
        continue;
      if (shown++ == 0)
        {
          g_string_append (watch->unsent, "{\"result\":{");
          kv_json_append_header (watch->unsent, event->entry->mod_revision);
          g_string_append (watch->unsent, ",\"events\":[");
        }
      else
        g_string_append_c (watch->unsent, ',');
      append_event (watch->unsent, event);
    }
  if (shown > 0)
    g_string_append (watch->unsent, "]}}\n");
  g_assert (shown > 0 || watch->unsent->len == begin);
}

void
kv_watches_publish (KvWatches *watches, const GArray *events)
{
  for (guint i = 0; i < watches->streams->len; i++)
    {
      Watch *watch = g_ptr_array_index (watches->streams, i);
      append_events (watch, events);
      deliver_in_time (watch);
    }
}

void
kv_watches_resume (KvWatches *watches)
{
  for (guint i = 0; i < watches->streams->len; i++)
    deliver_in_time (g_ptr_array_index (watches->streams, i));
}

void
kv_watches_drop_all (KvWatches *watches)
{
  for (guint i = watches->streams->len; i > 0; i--)
    {
      Watch *watch = g_ptr_array_index (watches->streams, i - 1);
      SoupMessageBody *body = soup_server_message_get_response_body (watch->message);
      quince_standin_cut (watch->message);
      soup_message_body_complete (body);
      soup_server_message_unpause (watch->message);
    }
}

/* ---- Opening ---- */

static void
on_stream_finished (SoupServerMessage *message, gpointer user_data)
{
  Watch *watch = user_data;
  g_signal_handlers_disconnect_by_func (message, on_stream_finished, watch);
  g_ptr_array_remove_fast (watch->watches->streams, watch);
}

static void
replay_event (const KvEvent *event, gpointer user_data)
{
  GArray *one = g_array_new (FALSE, FALSE, sizeof (KvEvent));
  g_array_append_val (one, *event);
  append_events (user_data, one);
  g_array_unref (one);
}

static void
send_created (Watch *watch, guint64 revision)
{
  g_autoptr (GString) text = g_string_new ("{\"result\":{");
  kv_json_append_header (text, revision);
  g_string_append (text, ",\"created\":true}}\n");
  send_text (watch, text->str, text->len);
}

/* Ends the stream: the events asked for are forgotten. */
static void
send_compacted (Watch *watch, guint64 revision, guint64 compact_revision)
{
  g_autoptr (GString) text = g_string_new ("{\"result\":{");
  kv_json_append_header (text, revision);
  g_string_append_printf (
      text,
      ",\"canceled\":true,\"compact_revision\":\"%" G_GUINT64_FORMAT
      "\",\"cancel_reason\":\"etcdserver: mvcc: required revision has been compacted\"}}\n",
      compact_revision + 1);
  send_text (watch, text->str, text->len);
  soup_message_body_complete (soup_server_message_get_response_body (watch->message));
}

static void
begin_stream (Watch *watch)
{
  SoupMessageHeaders *headers = soup_server_message_get_response_headers (watch->message);
  soup_server_message_set_status (watch->message, 200, NULL);
  soup_message_headers_set_content_type (headers, "application/json", NULL);
  soup_message_headers_set_encoding (headers, SOUP_ENCODING_CHUNKED);
  soup_message_body_set_accumulate (soup_server_message_get_response_body (watch->message), FALSE);
  g_signal_connect (watch->message, "finished", G_CALLBACK (on_stream_finished), watch);
}

static void
open_stream (KvWatches *watches, Watch *watch)
{
  KvStore *store = watches->service->store;
  guint64 revision = kv_store_get_revision (store);
  guint64 compact_revision = kv_store_get_compact_revision (store);
  gboolean compacted = watch->next_revision != 0 && watch->next_revision <= compact_revision;
  g_ptr_array_add (watches->streams, watch);
  begin_stream (watch);
  send_created (watch, revision);
  if (compacted)
    {
      send_compacted (watch, revision, compact_revision);
      return;
    }
  if (watch->next_revision == 0)
    watch->next_revision = revision + 1;
  kv_store_replay (store, watch->next_revision, replay_event, watch);
  deliver_in_time (watch);
}

void
kv_watches_handle (KvWatches *watches, SoupServerMessage *message)
{
  g_autoptr (JsonNode) body = quince_http_read_object (message);
  if (body == NULL)
    return;
  JsonNode *request = kv_json_get_member (json_node_get_object (body), "create_request");
  if (request == NULL || !JSON_NODE_HOLDS_OBJECT (request) || watches->streams->len >= MAX_WATCHES)
    {
      kv_reply_error (message, KV_CODE_INVALID_ARGUMENT, "create_request is missing, or too many watches");
      return;
    }
  JsonObject *create = json_node_get_object (request);
  g_autoptr (GError) error = NULL;
  g_autoptr (GBytes) key = NULL;
  g_autoptr (GBytes) end = NULL;
  gint64 start = 0;
  if (!kv_json_get_bytes (create, "key", &key, &error)
      || !kv_json_get_bytes (create, "range_end", &end, &error)
      || !kv_json_get_int64 (create, "start_revision", &start, &error) || key == NULL || start < 0)
    {
      kv_reply_error (message, KV_CODE_INVALID_ARGUMENT,
                      error != NULL ? error->message : "bad key or revision");
      return;
    }
  Watch *watch = g_new0 (Watch, 1);
  watch->watches = watches;
  watch->message = g_object_ref (message);
  watch->key = g_steal_pointer (&key);
  watch->end = g_steal_pointer (&end);
  watch->next_revision = (guint64)start;
  watch->unsent = g_string_new (NULL);
  open_stream (watches, watch);
}
