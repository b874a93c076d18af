/*
 * engine-cache.c: prefix cache of the engine stand-in: bounded, least
 * recently used block first out; its events come late and with gaps.
 */
#include "engine.h"

#include <string.h>

#include <quince/request-id.h>

#define MAX_EVENTS 4096

typedef struct
{
  guint64 sequence_number;
  gint64 visible_us; /* published from then on */
  gboolean stored;   /* else evicted           */
  guint64 block;
} CacheEvent;

struct _EngineCache
{
  guint64 capacity;
  guint64 event_lag_ms;
  guint64 event_gap;
  GHashTable *places;    /* block -> its GList link in order; keys live in the links */
  GQueue *order;         /* guint64 *, least recently used first; owned              */
  GQueue *events;        /* CacheEvent, oldest first, at most MAX_EVENTS; owned      */
  guint64 last_sequence; /* events ever made, published or not                       */
};

EngineCache *
engine_cache_new (guint64 capacity, guint64 event_lag_ms, guint64 event_gap)
{
  EngineCache *cache = g_new0 (EngineCache, 1);
  cache->capacity = capacity;
  cache->event_lag_ms = event_lag_ms;
  cache->event_gap = event_gap;
  cache->places = g_hash_table_new (g_int64_hash, g_int64_equal);
  cache->order = g_queue_new ();
  cache->events = g_queue_new ();
  return cache;
}

void
engine_cache_free (EngineCache *cache)
{
  g_hash_table_unref (cache->places);
  g_queue_free_full (cache->order, g_free);
  g_queue_free_full (cache->events, g_free);
  g_free (cache);
}

static void
add_event (EngineCache *cache, gboolean stored, guint64 block, gint64 now_us)
{
  cache->last_sequence++;
  if (cache->event_gap > 0 && cache->last_sequence % cache->event_gap == 0)
    return;
  CacheEvent *event = g_new (CacheEvent, 1);
  event->sequence_number = cache->last_sequence;
  event->visible_us = now_us + (gint64)cache->event_lag_ms * 1000;
  event->stored = stored;
  event->block = block;
  g_queue_push_tail (cache->events, event);
  if (cache->events->length > MAX_EVENTS)
    g_free (g_queue_pop_head (cache->events));
}

static void
evict_oldest (EngineCache *cache, gint64 now_us)
{
  guint64 *block = g_queue_pop_head (cache->order);
  g_hash_table_remove (cache->places, block);
  add_event (cache, FALSE, *block, now_us);
  g_free (block);
}

static void
store_block (EngineCache *cache, guint64 block, gint64 now_us)
{
  while (cache->order->length >= cache->capacity)
    evict_oldest (cache, now_us);
  guint64 *stored = g_new (guint64, 1);
  *stored = block;
  g_queue_push_tail (cache->order, stored);
  g_hash_table_insert (cache->places, stored, cache->order->tail);
  add_event (cache, TRUE, block, now_us);
}

guint32
engine_cache_use (EngineCache *cache, const guint64 *blocks, guint32 n_blocks, gint64 now_us)
{
  guint32 hits = 0;
  if (cache->capacity == 0)
    return 0;
  for (guint32 i = 0; i < n_blocks; i++)
    {
      GList *place = g_hash_table_lookup (cache->places, &blocks[i]);
      if (place == NULL)
        {
          store_block (cache, blocks[i], now_us);
          continue;
        }
      g_queue_unlink (cache->order, place);
      g_queue_push_tail_link (cache->order, place);
      if (hits == i)
        hits++;
    }
  return hits;
}

void
engine_cache_clear (EngineCache *cache)
{
  g_hash_table_remove_all (cache->places);
  g_queue_clear_full (cache->order, g_free);
  g_queue_clear_full (cache->events, g_free);
}

guint64
engine_cache_get_used (EngineCache *cache)
{
  return cache->order->length;
}

static void
add_event_object (JsonArray *array, const CacheEvent *event)
{
  char hex[17];
  g_snprintf (hex, sizeof hex, "%016" G_GINT64_MODIFIER "x", event->block);
  JsonArray *blocks = json_array_new ();
  json_array_add_string_element (blocks, hex);
  JsonObject *object = json_object_new ();
  json_object_set_int_member (object, "seq", (gint64)event->sequence_number);
  json_object_set_string_member (object, "type", event->stored ? "stored" : "evicted");
  json_object_set_array_member (object, "blocks", blocks);
  json_array_add_object_element (array, object);
}

JsonNode *
engine_cache_describe_events (EngineCache *cache, guint64 after, gint64 now_us)
{
  JsonArray *events = json_array_new ();
  guint64 last = after;
  for (GList *item = cache->events->head; item != NULL; item = item->next)
    {
      const CacheEvent *event = item->data;
      if (event->visible_us > now_us)
        break;
      if (event->sequence_number <= after)
        continue;
      add_event_object (events, event);
      last = event->sequence_number;
    }
  JsonObject *object = json_object_new ();
  json_object_set_array_member (object, "events", events);
  json_object_set_int_member (object, "last_seq", (gint64)last);
  JsonNode *node = json_node_new (JSON_NODE_OBJECT);
  json_node_take_object (node, object);
  return node;
}

guint32
engine_cache_hash_prompt (const char *prompt, guint64 blocks[ENGINE_MAX_BLOCKS])
{
  gsize n_blocks = MIN (strlen (prompt) / ENGINE_BLOCK_BYTES, ENGINE_MAX_BLOCKS);
  guint64 previous = 0;
  for (gsize i = 0; i < n_blocks; i++)
    {
      previous = quince_hash64 (prompt + i * ENGINE_BLOCK_BYTES, ENGINE_BLOCK_BYTES, previous);
      blocks[i] = previous;
    }
  return (guint32)n_blocks;
}
