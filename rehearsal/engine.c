/*
 * engine.c: stand-in of a model engine (docs/API.md, Engine): its flags,
 * faults and requests by path.
 */
#include "engine.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <quince/http.h>
#include <quince/task.h>

#include "standins.h"

static const char *const refusals[] = { "overloaded", "leaving", "wrong_version", NULL };
static const char *const swap_failures[] = { "keep", "other", NULL };

#define FAULT(name, type, choices)                                                                           \
  {                                                                                                          \
#name, type, G_STRUCT_OFFSET(EngineFaults, name), choices                                                \
  }
static const QuinceFaultSpec engine_faults[] = {
  FAULT (refuse, QUINCE_FAULT_CHOICE, refusals),
  FAULT (swap_fail, QUINCE_FAULT_CHOICE, swap_failures),
  FAULT (swap_other_version, QUINCE_FAULT_NUMBER, NULL),
  FAULT (swap_fail_times, QUINCE_FAULT_NUMBER, NULL),
  FAULT (crash_ms, QUINCE_FAULT_NUMBER, NULL),
  FAULT (crash_exit, QUINCE_FAULT_FLAG, NULL),
  FAULT (slow_factor, QUINCE_FAULT_FACTOR, NULL),
  FAULT (hang, QUINCE_FAULT_FLAG, NULL),
  FAULT (cut_after_tokens, QUINCE_FAULT_NUMBER, NULL),
  FAULT (cut_times, QUINCE_FAULT_NUMBER, NULL),
  FAULT (leaving, QUINCE_FAULT_FLAG, NULL),
  FAULT (stale_load, QUINCE_FAULT_FLAG, NULL),
  FAULT (chunk_delay_ms, QUINCE_FAULT_NUMBER, NULL),
  FAULT (accept_delay_ms, QUINCE_FAULT_NUMBER, NULL),
  FAULT (stage_delay_ms, QUINCE_FAULT_NUMBER, NULL),
  FAULT (stage_fail, QUINCE_FAULT_FLAG, NULL),
  { 0 },
};

gboolean
engine_is_leaving (const Engine *engine)
{
  return engine->leaving || engine->faults.leaving;
}

void
engine_mark_leaving (const Engine *engine, SoupServerMessage *message)
{
  if (engine_is_leaving (engine))
    soup_message_headers_replace (soup_server_message_get_response_headers (message), "X-Engine-Leaving",
                                  "true");
}

/* ---- Orders ---- */

JsonNode *
engine_read_order (Engine *engine, SoupServerMessage *message)
{
  g_autoptr (JsonNode) order = quince_http_read_object (message);
  if (order == NULL)
    return NULL;
  g_autoptr (GError) error = NULL;
  guint64 fence = 0;
  if (!quince_json_get_u64 (json_node_get_object (order), "fence", G_MAXINT64, &fence, &error))
    {
      quince_http_reply_error (message, 400, "bad_request", error->message, -1, -1);
      return NULL;
    }
  if (fence < engine->greatest_fence)
    {
      engine->stale_fences++;
      quince_http_reply_error (message, 409, "stale_fence", "an order with a greater fence was seen", -1, -1);
      return NULL;
    }
  engine->greatest_fence = fence;
  return g_steal_pointer (&order);
}

static void
handle_leave (Engine *engine, SoupServerMessage *message)
{
  g_autoptr (JsonNode) order = engine_read_order (engine, message);
  if (order == NULL)
    return;
  engine->leaving = TRUE;
  engine_mark_leaving (engine, message);
  quince_standin_reply_text (message, 200, g_strdup ("{\"state\":\"leaving\"}"));
  engine_batch_refuse_waiting (engine, "leaving");
}

static void
handle_role (Engine *engine, SoupServerMessage *message)
{
  g_autoptr (JsonNode) order = engine_read_order (engine, message);
  if (order == NULL)
    return;
  g_autoptr (GError) error = NULL;
  const char *role = NULL;
  if (!quince_json_get_text (json_node_get_object (order), "role", ENGINE_ID_LENGTH, &role, &error))
    {
      quince_http_reply_error (message, 400, "bad_request", error->message, -1, -1);
      return;
    }
  g_free (engine->role);
  engine->role = g_strdup (role);
  quince_standin_reply_text (message, 200, g_strdup ("{}"));
}

/* ---- Load report and cache events ---- */

static JsonNode *
describe_load (Engine *engine)
{
  JsonObject *object = json_object_new ();
  json_object_set_string_member (object, "name", engine->settings.common.name);
  json_object_set_string_member (object, "service", engine->settings.common.service);
  json_object_set_string_member (object, "zone", engine->settings.common.zone);
  json_object_set_string_member (object, "role", engine->role);
  json_object_set_string_member (object, "state", engine_is_leaving (engine) ? "leaving" : "serving");
  json_object_set_int_member (object, "running", engine->running->len);
  json_object_set_int_member (object, "waiting", g_sequence_get_length (engine->waiting));
  json_object_set_int_member (object, "capacity", (gint64)engine->settings.capacity);
  json_object_set_int_member (object, "weight_version", (gint64)engine_weights_get_active (engine->weights));
  json_object_set_int_member (object, "target_version", (gint64)engine_weights_get_target (engine->weights));
  json_object_set_int_member (object, "staged_version", (gint64)engine_weights_get_staged (engine->weights));
  json_object_set_int_member (object, "kv_used", (gint64)engine_cache_get_used (engine->cache));
  json_object_set_int_member (object, "kv_capacity", (gint64)engine->settings.cache_blocks);
  JsonNode *node = json_node_new (JSON_NODE_OBJECT);
  json_node_take_object (node, object);
  return node;
}

static void
handle_load (Engine *engine, SoupServerMessage *message)
{
  gint64 now_us = quince_now_us ();
  gint64 age_us = now_us - engine->load_report_us;
  gboolean due = age_us >= (gint64)engine->settings.load_lag_ms * 1000;
  if (engine->load_report == NULL || (due && !engine->faults.stale_load))
    {
      g_clear_pointer (&engine->load_report, json_node_unref);
      engine->load_report = describe_load (engine);
      engine->load_report_us = now_us;
      age_us = 0;
    }
  json_object_set_int_member (json_node_get_object (engine->load_report), "report_age_ms", age_us / 1000);
  quince_http_reply_json (message, 200, engine->load_report);
}

static void
handle_cache_events (Engine *engine, SoupServerMessage *message, GHashTable *query)
{
  const char *after = query != NULL ? g_hash_table_lookup (query, "after") : NULL;
  guint64 sequence = after != NULL ? g_ascii_strtoull (after, NULL, 10) : 0;
  g_autoptr (JsonNode) events = engine_cache_describe_events (engine->cache, sequence, quince_now_us ());
  quince_http_reply_json (message, 200, events);
}

/* ---- KV cache of one sequence ---- */

static void
handle_kv_export (Engine *engine, SoupServerMessage *message)
{
  g_autoptr (JsonNode) body = quince_http_read_object (message);
  if (body == NULL)
    return;
  const char *id = NULL;
  g_autoptr (GError) error = NULL;
  if (!quince_json_get_text (json_node_get_object (body), "request_id", ENGINE_ID_LENGTH, &id, &error))
    {
      quince_http_reply_error (message, 400, "bad_request", error->message, -1, -1);
      return;
    }
  for (guint i = 0; i < engine->running->len; i++)
    {
      const Sequence *sequence = g_ptr_array_index (engine->running, i);
      if (!g_str_equal (sequence->id, id))
        continue;
      g_autofree char *blob
          = g_base64_encode ((const guchar *)sequence->blocks, sequence->n_blocks * sizeof (guint64));
      quince_standin_reply_text (
          message, 200, g_strdup_printf ("{\"blob\":\"%s\",\"tokens\":%u}", blob, sequence->sent_tokens));
      return;
    }
  quince_http_reply_error (message, 404, "no_such_sequence", "the sequence does not run here", -1, -1);
}

static void
handle_kv_import (Engine *engine, SoupServerMessage *message)
{
  g_autoptr (JsonNode) body = quince_http_read_object (message);
  if (body == NULL)
    return;
  const char *blob = NULL;
  g_autoptr (GError) error = NULL;
  gsize length = 0;
  if (!quince_json_get_text (json_node_get_object (body), "blob", ENGINE_MAX_BLOCKS * 16, &blob, &error))
    {
      quince_http_reply_error (message, 400, "bad_request", error->message, -1, -1);
      return;
    }
  g_autofree guchar *bytes = g_base64_decode (blob, &length);
  guint64 blocks[ENGINE_MAX_BLOCKS] = { 0 };
  guint32 n_blocks = (guint32)MIN (length / sizeof (guint64), ENGINE_MAX_BLOCKS);
  memcpy (blocks, bytes, n_blocks * sizeof (guint64));
  engine_cache_use (engine->cache, blocks, n_blocks, quince_now_us ());
  quince_standin_reply_text (message, 200, g_strdup_printf ("{\"blocks\":%u}", n_blocks));
}

/* ---- Requests by path ---- */

static void
handle_post (Engine *engine, SoupServerMessage *message, const char *path)
{
  if (g_str_equal (path, "/v1/completions"))
    engine_handle_completion (engine, message);
  else if (g_str_equal (path, "/v1/cancel"))
    engine_handle_cancel (engine, message);
  else if (g_str_equal (path, "/admin/weights/stage"))
    engine_weights_handle_stage (engine->weights, message);
  else if (g_str_equal (path, "/admin/weights/activate"))
    engine_weights_handle_activate (engine->weights, message);
  else if (g_str_equal (path, "/admin/leave"))
    handle_leave (engine, message);
  else if (g_str_equal (path, "/admin/role"))
    handle_role (engine, message);
  else if (g_str_equal (path, "/admin/kv/export"))
    handle_kv_export (engine, message);
  else if (g_str_equal (path, "/admin/kv/import"))
    handle_kv_import (engine, message);
  else
    quince_http_reply_error (message, 404, "not_found", "no such call", -1, -1);
}

static void
handle_request (gpointer self, SoupServerMessage *message, const char *path, GHashTable *query)
{
  Engine *engine = self;
  if (engine->faults.hang)
    {
      quince_standin_hold (engine->standin, message, path, query);
      return;
    }
  engine_mark_leaving (engine, message);
  if (soup_server_message_get_method (message) == SOUP_METHOD_POST)
    handle_post (engine, message, path);
  else if (g_str_equal (path, "/admin/load"))
    handle_load (engine, message);
  else if (g_str_equal (path, "/admin/cache_events"))
    handle_cache_events (engine, message, query);
  else
    quince_http_reply_error (message, 404, "not_found", "no such call", -1, -1);
}

/* ---- Faults and records ---- */

static char *
describe_records (gpointer self)
{
  Engine *engine = self;
  return engine_records_describe (engine->records, engine->refused, engine->stale_fences);
}

static void
lose_state (Engine *engine)
{
  engine_batch_crash (engine);
  engine_drop_delayed (engine);
  engine_cache_clear (engine->cache);
  engine_weights_reset (engine->weights);
  g_clear_pointer (&engine->load_report, json_node_unref);
  engine->leaving = FALSE;
  engine->greatest_fence = 0;
}

static gboolean
come_back (gpointer user_data)
{
  Engine *engine = user_data;
  engine->dead_source = 0;
  quince_standin_set_listening (engine->standin, TRUE);
  return G_SOURCE_REMOVE;
}

static void
crash_for (Engine *engine, guint64 milliseconds)
{
  engine->faults.crash_ms = 0;
  lose_state (engine);
  quince_standin_set_listening (engine->standin, FALSE);
  if (engine->dead_source != 0)
    g_source_remove (engine->dead_source);
  engine->dead_source = g_timeout_add ((guint)milliseconds, come_back, engine);
}

static void
crash_and_exit (Engine *engine)
{
  lose_state (engine);
  g_autofree char *records = describe_records (engine);
  if (engine->settings.records_file != NULL)
    g_file_set_contents (engine->settings.records_file, records, -1, NULL);
  _Exit (QUINCE_STANDIN_EXIT_CRASH);
}

static void
on_faults_changed (gpointer self)
{
  Engine *engine = self;
  if (engine->faults.crash_exit)
    crash_and_exit (engine);
  if (engine->faults.crash_ms > 0)
    crash_for (engine, engine->faults.crash_ms);
  if (engine->faults.leaving)
    engine_batch_refuse_waiting (engine, "leaving");
  if (!engine->faults.hang)
    {
      quince_standin_release_held (engine->standin);
      engine_batch_admit (engine);
    }
}

static void
reset_engine (gpointer self)
{
  Engine *engine = self;
  lose_state (engine);
  if (engine->dead_source != 0)
    g_source_remove (engine->dead_source);
  come_back (engine);
  engine_records_clear (engine->records);
  engine->refused = 0;
  engine->stale_fences = 0;
}

static const QuinceStandinClass engine_class = {
  .role = "engine",
  .faults = engine_faults,
  .handle = handle_request,
  .faults_changed = on_faults_changed,
  .records = describe_records,
  .reset = reset_engine,
};

/* ---- Flags ---- */

enum
{
  KEY_CAPACITY = 0x2000,
  KEY_QUEUE,
  KEY_TOKEN_US,
  KEY_BATCH_SLOWDOWN,
  KEY_PREFILL_US,
  KEY_TICK_MS,
  KEY_CACHE_BLOCKS,
  KEY_EVENT_LAG,
  KEY_EVENT_GAP,
  KEY_LOAD_LAG,
  KEY_VERSION,
  KEY_SWAP_MS,
  KEY_WEIGHTS,
  KEY_RECORDS_FILE,
};

static const struct argp_option engine_options[] = {
  { "capacity", KEY_CAPACITY, "N", 0, "Sequences that run at once (64)", 0 },
  { "queue", KEY_QUEUE, "N", 0, "Sequences that may wait (256)", 0 },
  { "token-us", KEY_TOKEN_US, "US", 0, "Time of one token in a batch of one (2000); 0: at once", 0 },
  { "batch-slowdown", KEY_BATCH_SLOWDOWN, "PERCENT", 0,
    "By how much a full batch is slower per sequence (100)", 0 },
  { "prefill-us-per-token", KEY_PREFILL_US, "US", 0, "Time of one prompt token (50)", 0 },
  { "tick-ms", KEY_TICK_MS, "MS", 0, "Step of the simulation (5)", 0 },
  { "cache-blocks", KEY_CACHE_BLOCKS, "N", 0, "Prefix blocks kept (4096)", 0 },
  { "event-lag-ms", KEY_EVENT_LAG, "MS", 0, "Cache events are published so late (200)", 0 },
  { "event-gap", KEY_EVENT_GAP, "N", 0, "One cache event of N is lost (50); 0: none", 0 },
  { "load-lag-ms", KEY_LOAD_LAG, "MS", 0, "Load report is renewed so often (200)", 0 },
  { "version", KEY_VERSION, "V", 0, "Weight version at start (1)", 0 },
  { "swap-ms", KEY_SWAP_MS, "MS", 0, "Time of a weight swap (50)", 0 },
  { "weights", KEY_WEIGHTS, "IP:PORT", 0, "Weight store; none: versions are staged at once", 0 },
  { "records-file", KEY_RECORDS_FILE, "FILE", 0, "Where the records go at a crash", 0 },
  { 0 },
};

static error_t
parse_flag (int key, char *argument, struct argp_state *state)
{
  EngineSettings *settings = state->input;
  const struct
  {
    int key;
    guint64 *value;
    guint64 greatest;
  } numbers[] = {
    { KEY_CAPACITY, &settings->capacity, 100000 },
    { KEY_QUEUE, &settings->queue, 1000000 },
    { KEY_TOKEN_US, &settings->token_us, 10000000 },
    { KEY_BATCH_SLOWDOWN, &settings->batch_slowdown_percent, 100000 },
    { KEY_PREFILL_US, &settings->prefill_us, 1000000 },
    { KEY_TICK_MS, &settings->tick_ms, 1000 },
    { KEY_CACHE_BLOCKS, &settings->cache_blocks, 10000000 },
    { KEY_EVENT_LAG, &settings->event_lag_ms, 600000 },
    { KEY_EVENT_GAP, &settings->event_gap, 1000000 },
    { KEY_LOAD_LAG, &settings->load_lag_ms, 600000 },
    { KEY_VERSION, &settings->version, G_MAXINT64 },
    { KEY_SWAP_MS, &settings->swap_ms, 600000 },
  };
  for (guint i = 0; i < G_N_ELEMENTS (numbers); i++)
    if (numbers[i].key == key)
      {
        *numbers[i].value = quince_standin_flag_number (argument, numbers[i].greatest, state);
        return 0;
      }
  switch (key)
    {
    case ARGP_KEY_INIT:
      state->child_inputs[0] = &settings->common;
      return 0;
    case KEY_WEIGHTS:
      settings->weights = argument;
      return 0;
    case KEY_RECORDS_FILE:
      settings->records_file = argument;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp_child engine_children[] = { { &quince_standin_argp, 0, NULL, 0 }, { 0 } };
static const struct argp engine_argp
    = { engine_options, parse_flag, NULL, "Stand-in of a model engine.", engine_children, NULL, NULL };

static Engine *
engine_new (const EngineSettings *settings)
{
  Engine *engine = g_new0 (Engine, 1);
  engine->settings = *settings;
  engine->settings.tick_ms = MAX (settings->tick_ms, 1);
  engine->cache = engine_cache_new (settings->cache_blocks, settings->event_lag_ms, settings->event_gap);
  engine->records = engine_records_new ();
  engine->weights = engine_weights_new (engine);
  engine->waiting = g_sequence_new ((GDestroyNotify)sequence_unref);
  engine->running = g_ptr_array_new_with_free_func ((GDestroyNotify)sequence_unref);
  engine->by_key = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  engine->delayed = g_queue_new ();
  engine->role = g_strdup ("serve");
  return engine;
}

int
quince_engine_standin_run (int argc, char **argv)
{
  EngineSettings settings = {
    .capacity = 64,
    .queue = 256,
    .token_us = 2000,
    .batch_slowdown_percent = 100,
    .prefill_us = 50,
    .tick_ms = 5,
    .cache_blocks = 4096,
    .event_lag_ms = 200,
    .event_gap = 50,
    .load_lag_ms = 200,
    .version = 1,
    .swap_ms = 50,
  };
  quince_standin_flags_init (&settings.common, "e1");
  if (argp_parse (&engine_argp, argc, argv, 0, NULL, &settings) != 0)
    return QUINCE_STANDIN_EXIT_USAGE;
  /* Lives until the process ends: timers and connections refer to it. */
  Engine *engine = engine_new (&settings);
  g_autoptr (GError) error = NULL;
  engine->standin = quince_standin_new (&engine_class, &settings.common, engine, &engine->faults, &error);
  if (engine->standin == NULL)
    return quince_standin_report_failure ("engine", error);
  return quince_standin_run (engine->standin, NULL);
}
