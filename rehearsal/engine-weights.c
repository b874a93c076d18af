/*
 * engine-weights.c: fenced orders of the engine stand-in that stage and
 * activate weight versions.
 */
#include "engine.h"

#include <stdlib.h>

#include <quince/http.h>
#include <quince/log.h>
#include <quince/task.h>

#define STAGE_ATTEMPTS 60
#define STAGE_RETRY_MS 200

/* How running sequences are met by a swap. */
typedef enum
{
  SWAP_WAIT,    /* they end first                       */
  SWAP_RESUME,  /* they go on under the new version     */
  SWAP_RESTART, /* they end with finish_reason "swap"   */
} SwapMode;

/* An order to activate that is under way. */
typedef struct
{
  SoupServerMessage *message; /* referenced, paused */
  guint64 version;
  SwapMode mode;
  guint source; /* ends the swap; 0 while it waits for sequences to end */
} Swap;

/* An order to stage that is under way. */
typedef struct
{
  EngineWeights *weights;
  SoupServerMessage *message; /* referenced, paused */
  guint64 version;
  guint attempts;
  guint source; /* next attempt; 0 while fetching */
} Stage;

struct _EngineWeights
{
  Engine *engine;       /* owner */
  SoupSession *session; /* to the weight store */
  guint64 active;
  guint64 target; /* of the last order to activate */
  guint64 staged;
  Swap *swap;   /* owned; NULL: none */
  Stage *stage; /* owned by its callbacks; NULL: none */
  guint64 fetched_bytes;
};

EngineWeights *
engine_weights_new (Engine *engine)
{
  EngineWeights *weights = g_new0 (EngineWeights, 1);
  weights->engine = engine;
  weights->session = soup_session_new ();
  weights->active = weights->target = weights->staged = engine->settings.version;
  return weights;
}

static void
swap_free (Swap *swap)
{
  if (swap->source != 0)
    g_source_remove (swap->source);
  g_object_unref (swap->message);
  g_free (swap);
}

void
engine_weights_free (EngineWeights *weights)
{
  g_clear_pointer (&weights->swap, swap_free);
  g_object_unref (weights->session);
  g_free (weights);
}

static void
reply_paused_error (SoupServerMessage *message, guint status, const char *type, const char *text)
{
  quince_http_reply_error (message, status, type, text, -1, -1);
  soup_server_message_unpause (message);
}

/* ---- Staging ---- */

static void
stage_free (Stage *stage)
{
  g_object_unref (stage->message);
  g_free (stage);
}

/* Ends the order; @error_type NULL: it succeeded. */
static void
end_stage (Stage *stage, guint status, const char *error_type)
{
  EngineWeights *weights = stage->weights;
  if (error_type != NULL)
    reply_paused_error (stage->message, status, error_type, "the version was not staged");
  else
    {
      weights->staged = stage->version;
      char *answer = g_strdup_printf ("{\"staged_version\":%" G_GUINT64_FORMAT "}", stage->version);
      quince_standin_reply_text (stage->message, 200, answer);
      soup_server_message_unpause (stage->message);
    }
  if (weights->stage == stage)
    weights->stage = NULL;
  stage_free (stage);
}

static gboolean fetch_version (gpointer user_data);

static void
retry_stage (Stage *stage, guint delay_ms)
{
  if (++stage->attempts >= STAGE_ATTEMPTS)
    end_stage (stage, 504, "stage_timeout");
  else
    stage->source = g_timeout_add (delay_ms, fetch_version, stage);
}

static guint
retry_after_ms (SoupMessage *message)
{
  const char *seconds
      = soup_message_headers_get_one (soup_message_get_response_headers (message), "Retry-After");
  if (seconds == NULL)
    return STAGE_RETRY_MS;
  return (guint)CLAMP (g_ascii_strtoull (seconds, NULL, 10) * 1000, STAGE_RETRY_MS, 10000);
}

static void
on_version_fetched (GObject *source, GAsyncResult *result, gpointer user_data)
{
  Stage *stage = user_data;
  g_autoptr (GError) error = NULL;
  g_autoptr (GBytes) bytes = soup_session_send_and_read_finish (SOUP_SESSION (source), result, &error);
  SoupMessage *message = soup_session_get_async_result_message (SOUP_SESSION (source), result);
  guint status = bytes != NULL ? soup_message_get_status (message) : 0;
  if (stage->weights->stage != stage)
    end_stage (stage, 409, "superseded");
  else if (status == 200)
    {
      stage->weights->fetched_bytes += g_bytes_get_size (bytes);
      end_stage (stage, 200, NULL);
    }
  else if (status == 404)
    end_stage (stage, 404, "no_such_version");
  else
    retry_stage (stage, status != 0 ? retry_after_ms (message) : STAGE_RETRY_MS);
}

static gboolean
fetch_version (gpointer user_data)
{
  Stage *stage = user_data;
  EngineWeights *weights = stage->weights;
  stage->source = 0;
  if (weights->stage != stage)
    {
      end_stage (stage, 409, "superseded");
      return G_SOURCE_REMOVE;
    }
  if (weights->engine->faults.stage_fail)
    {
      end_stage (stage, 500, "stage_failed");
      return G_SOURCE_REMOVE;
    }
  if (weights->engine->settings.weights == NULL)
    {
      end_stage (stage, 200, NULL);
      return G_SOURCE_REMOVE;
    }
  g_autofree char *url = g_strdup_printf ("http://%s/versions/%" G_GUINT64_FORMAT,
                                          weights->engine->settings.weights, stage->version);
  g_autoptr (SoupMessage) message = soup_message_new ("GET", url);
  soup_session_send_and_read_async (weights->session, message, G_PRIORITY_DEFAULT, NULL, on_version_fetched,
                                    stage);
  return G_SOURCE_REMOVE;
}

static gboolean
read_version (JsonNode *order, SoupServerMessage *message, guint64 *version)
{
  g_autoptr (GError) error = NULL;
  if (quince_json_get_u64 (json_node_get_object (order), "version", G_MAXINT64, version, &error))
    return TRUE;
  quince_http_reply_error (message, 400, "bad_request", error->message, -1, -1);
  return FALSE;
}

void
engine_weights_handle_stage (EngineWeights *weights, SoupServerMessage *message)
{
  guint64 version = 0;
  g_autoptr (JsonNode) order = engine_read_order (weights->engine, message);
  if (order == NULL || !read_version (order, message, &version))
    return;
  Stage *stage = g_new0 (Stage, 1);
  stage->weights = weights;
  stage->message = g_object_ref (message);
  stage->version = version;
  weights->stage = stage;
  soup_server_message_pause (message);
  stage->source = g_timeout_add ((guint)weights->engine->faults.stage_delay_ms, fetch_version, stage);
}

/* ---- Activating ---- */

/* The version that the swap truly ends on; @failed: the order was not carried out. */
static guint64
find_swap_result (EngineWeights *weights, guint64 wanted, gboolean *failed)
{
  EngineFaults *faults = &weights->engine->faults;
  *failed = FALSE;
  if (faults->swap_fail == NULL)
    return wanted;
  gboolean keep = g_str_equal (faults->swap_fail, "keep");
  if (faults->swap_fail_times > 0 && --faults->swap_fail_times == 0)
    faults->swap_fail = NULL;
  *failed = keep;
  return keep ? weights->active : faults->swap_other_version;
}

/* Ends running sequences whose bound the present version does not meet, or all. */
static void
stop_running_for_swap (Engine *engine, gboolean all)
{
  guint64 active = engine_weights_get_active (engine->weights);
  for (guint i = engine->running->len; i > 0; i--)
    {
      Sequence *sequence = g_ptr_array_index (engine->running, i - 1);
      if (!all && sequence->min_version <= active)
        continue;
      sequence_ref (sequence);
      engine_send_tokens (engine, sequence, sequence->sent_tokens, "swap");
      engine_batch_end (engine, sequence, OUTCOME_SWAP);
      sequence_unref (sequence);
    }
}

static gboolean
complete_swap (gpointer user_data)
{
  EngineWeights *weights = user_data;
  Engine *engine = weights->engine;
  Swap *swap = g_steal_pointer (&weights->swap);
  swap->source = 0;
  gboolean failed = FALSE;
  weights->active = find_swap_result (weights, swap->version, &failed);
  quince_log_info ("weights_swapped", "version=%" G_GUINT64_FORMAT " wanted=%" G_GUINT64_FORMAT,
                   weights->active, swap->version);
  if (failed)
    reply_paused_error (swap->message, 500, "swap_failed", "the old version stays");
  else
    {
      char *answer = g_strdup_printf ("{\"weight_version\":%" G_GUINT64_FORMAT "}", weights->active);
      quince_standin_reply_text (swap->message, 200, answer);
      soup_server_message_unpause (swap->message);
    }
  swap_free (swap);
  engine->admission_closed = FALSE;
  stop_running_for_swap (engine, FALSE);
  engine_batch_set_paused (engine, FALSE);
  return G_SOURCE_REMOVE;
}

/* The sequences that had to end have ended: load the new version. */
static void
start_loading (EngineWeights *weights)
{
  engine_batch_flush (weights->engine);
  engine_batch_set_paused (weights->engine, TRUE);
  weights->swap->source = g_timeout_add ((guint)weights->engine->settings.swap_ms, complete_swap, weights);
}

void
engine_weights_on_sequence_end (EngineWeights *weights)
{
  Swap *swap = weights->swap;
  if (swap != NULL && swap->mode == SWAP_WAIT && swap->source == 0 && weights->engine->running->len == 0)
    start_loading (weights);
}

static void
start_swap (EngineWeights *weights, SoupServerMessage *message, guint64 version, SwapMode mode)
{
  Engine *engine = weights->engine;
  weights->swap = g_new0 (Swap, 1);
  weights->swap->message = g_object_ref (message);
  weights->swap->version = version;
  weights->swap->mode = mode;
  weights->target = version;
  soup_server_message_pause (message);
  engine->admission_closed = TRUE;
  if (mode == SWAP_RESTART)
    {
      engine_batch_flush (engine);
      stop_running_for_swap (engine, TRUE);
    }
  if (mode != SWAP_WAIT || engine->running->len == 0)
    start_loading (weights);
}

static gboolean
read_swap_mode (JsonNode *order, SoupServerMessage *message, SwapMode *mode)
{
  static const char *const names[] = { "wait", "resume", "restart", NULL };
  g_autoptr (GError) error = NULL;
  const char *text = "wait";
  if (quince_json_opt_text (json_node_get_object (order), "running", 16, &text, &error))
    for (guint i = 0; names[i] != NULL; i++)
      if (g_str_equal (names[i], text))
        {
          *mode = (SwapMode)i;
          return TRUE;
        }
  quince_http_reply_error (message, 400, "bad_request", "\"running\" is wait, resume or restart", -1, -1);
  return FALSE;
}

/* A newer order replaces the one under way, unless that is loading already. */
static gboolean
replace_swap_under_way (EngineWeights *weights, SoupServerMessage *message)
{
  if (weights->swap == NULL)
    return TRUE;
  if (weights->swap->source != 0)
    {
      quince_http_reply_error (message, 409, "swap_under_way", "another version is being loaded", -1, 100);
      return FALSE;
    }
  reply_paused_error (weights->swap->message, 409, "superseded", "a newer order took its place");
  g_clear_pointer (&weights->swap, swap_free);
  return TRUE;
}

void
engine_weights_handle_activate (EngineWeights *weights, SoupServerMessage *message)
{
  guint64 version = 0;
  SwapMode mode = SWAP_WAIT;
  g_autoptr (JsonNode) order = engine_read_order (weights->engine, message);
  if (order == NULL || !read_version (order, message, &version) || !read_swap_mode (order, message, &mode)
      || !replace_swap_under_way (weights, message))
    return;
  if (version != weights->staged && version != weights->active)
    {
      weights->engine->admission_closed = FALSE;
      quince_http_reply_error (message, 409, "not_staged", "stage the version first", -1, -1);
    }
  else
    start_swap (weights, message, version, mode);
}

/* ---- State ---- */

void
engine_weights_reset (EngineWeights *weights)
{
  if (weights->swap != NULL)
    {
      quince_standin_cut (weights->swap->message);
      soup_server_message_unpause (weights->swap->message);
      g_clear_pointer (&weights->swap, swap_free);
    }
  weights->stage = NULL; /* its callback finds that it was superseded */
  weights->engine->paused = FALSE;
  weights->engine->admission_closed = FALSE;
  weights->active = weights->target = weights->staged = weights->engine->settings.version;
}

guint64
engine_weights_get_active (EngineWeights *weights)
{
  return weights->active;
}

guint64
engine_weights_get_target (EngineWeights *weights)
{
  return weights->target;
}

guint64
engine_weights_get_staged (EngineWeights *weights)
{
  return weights->staged;
}
