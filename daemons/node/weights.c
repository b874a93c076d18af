/*
 * weights.c: brings the newest weight version to the engines.
 */
#include "weights.h"

#include <quince/engine-admin.h>
#include <quince/log.h>
#include <quince/task.h>
#include <quince/weight-store.h>

#include "engines.h"
#include "events.h"
#include "ledger-host.h"

#define MILLISECOND (G_USEC_PER_SEC / 1000)
#define STEP_INTERVAL_MS 100
#define STORE_TIMEOUT_MS 2000

/* Owned by the node, on its main context. */
struct _QuinceWeights
{
  QuinceNode *node; /* not owned                                   */
  QuinceWeightPlanLimits limits;
  guint64 fence;             /* epoch of the leadership that runs; 0: none  */
  QuinceWeightPlan *plan;    /* owned; of this leadership; %NULL: none      */
  GCancellable *cancellable; /* owned; of this leadership: ends its calls   */
  gint64 next_read_us;       /* of the store                                */
  gboolean read_pending;     /* a read of the store is on its way           */
  GSource *timer;            /* owned                                       */
  GHashTable *calls;         /* owned set: OrderCall, of this leadership    */
  GHashTable *addresses;     /* owned: engine -> address, of the last step  */
  guint64 fenced_off;        /* orders refused for a stale fence            */
};

/* An order on its way.  Owned by calls. */
typedef struct
{
  QuinceWeights *weights;
  QuinceWeightOrderKind kind;
  guint64 version;
  char *engine; /* owned */
} OrderCall;

/* ---- Leadership ------------------------------------------------------ */

static void
end_leadership (QuinceWeights *weights)
{
  if (weights->plan == NULL)
    return;
  quince_log_info ("weights_leadership", "leads=false fence=%" G_GUINT64_FORMAT, weights->fence);
  g_cancellable_cancel (weights->cancellable);
  g_clear_object (&weights->cancellable);
  g_hash_table_remove_all (weights->calls);
  g_hash_table_remove_all (weights->addresses);
  g_clear_pointer (&weights->plan, quince_weight_plan_free);
  weights->fence = 0;
  weights->read_pending = FALSE;
}

static void
begin_leadership (QuinceWeights *weights, guint64 fence)
{
  quince_log_info ("weights_leadership", "leads=true fence=%" G_GUINT64_FORMAT, fence);
  weights->fence = fence;
  weights->plan = quince_weight_plan_new (&weights->limits);
  weights->cancellable = g_cancellable_new ();
  weights->next_read_us = 0;
}

/* Each leadership has a plan of its own: what an earlier one ordered is known
 * only from the engines' reports. */
static void
follow_leadership (QuinceWeights *weights)
{
  guint64 fence = weights->node->stopping ? 0 : quince_ledger_host_get_fence (weights->node->ledger_host);
  if (fence == weights->fence)
    return;
  end_leadership (weights);
  if (fence != 0)
    begin_leadership (weights, fence);
}

/* ---- Weight store ---------------------------------------------------- */

static void
store_answered (guint64 latest, const GError *error, gpointer user_data)
{
  QuinceWeights *weights = user_data;
  weights->read_pending = FALSE;
  if (error != NULL)
    {
      g_autofree char *reason = quince_log_quote (error->message);
      quince_log_debug ("weight_store_failed", "reason=%s", reason);
      return;
    }
  if (latest > quince_weight_plan_get_newest (weights->plan))
    quince_log_info ("weight_version", "newest=%" G_GUINT64_FORMAT, latest);
  quince_weight_plan_set_newest (weights->plan, latest);
}

static void
read_store (QuinceWeights *weights, gint64 now_us)
{
  if (weights->read_pending || now_us < weights->next_read_us)
    return;
  const QuinceSettings *settings = weights->node->settings;
  weights->read_pending = TRUE;
  weights->next_read_us = now_us + quince_settings_get_duration_us (settings, "weights", "poll_interval");
  quince_weight_store_get_latest (weights->node->http_client,
                                  quince_settings_get_text (settings, "platform", "weights"),
                                  STORE_TIMEOUT_MS, weights->cancellable, store_answered, weights);
}

/* ---- Orders ---------------------------------------------------------- */

static void
order_call_free (gpointer data)
{
  OrderCall *call = data;
  g_free (call->engine);
  g_free (call);
}

static const char *
kind_name (QuinceWeightOrderKind kind)
{
  return kind == QUINCE_WEIGHT_ORDER_STAGE ? "stage" : "activate";
}

static void
order_answered (const GError *error, gpointer user_data)
{
  OrderCall *call = user_data;
  QuinceWeights *weights = call->weights;
  if (g_error_matches (error, QUINCE_ENGINE_ERROR, QUINCE_ENGINE_ERROR_STALE_FENCE))
    weights->fenced_off++;
  g_autofree char *reason = quince_log_quote (error != NULL ? error->message : "");
  quince_log_info ("weight_order_answered",
                   "engine=%s order=%s version=%" G_GUINT64_FORMAT " done=%s reason=%s", call->engine,
                   kind_name (call->kind), call->version, error == NULL ? "true" : "false", reason);
  quince_weight_plan_answered (weights->plan, quince_now_us (), call->engine, call->kind, call->version,
                               error == NULL);
  g_hash_table_remove (weights->calls, call);
}

static void
send_order (QuinceWeights *weights, const QuinceWeightOrder *order, const char *address)
{
  const QuinceSettings *settings = weights->node->settings;
  guint timeout_ms
      = (guint)(quince_settings_get_duration_us (settings, "weights", "order_timeout") / MILLISECOND);
  OrderCall *call = g_new0 (OrderCall, 1);
  call->weights = weights;
  call->kind = order->kind;
  call->version = order->version;
  call->engine = g_strdup (order->engine);
  g_hash_table_add (weights->calls, call);
  quince_log_info ("weight_order",
                   "engine=%s order=%s version=%" G_GUINT64_FORMAT " fence=%" G_GUINT64_FORMAT " repair=%s",
                   order->engine, kind_name (order->kind), order->version, weights->fence,
                   order->repair ? "true" : "false");
  if (order->kind == QUINCE_WEIGHT_ORDER_STAGE)
    quince_engine_admin_stage (weights->node->http_client, address, order->version, weights->fence,
                               timeout_ms, weights->cancellable, order_answered, call);
  else
    quince_engine_admin_activate (weights->node->http_client, address, order->version, weights->fence,
                                  quince_settings_get_text (settings, "weights", "running"), timeout_ms,
                                  weights->cancellable, order_answered, call);
}

/* ---- Steps ----------------------------------------------------------- */

static void
report_engine (const QuinceEngineInfo *info, gpointer user_data)
{
  QuinceWeights *weights = user_data;
  QuinceWeightReport report = { 0 };
  if (info->reported_us == 0)
    return;
  report.engine = info->name;
  report.service = info->service;
  report.usable = info->available && !info->leaving;
  report.weight_version = info->weight_version;
  report.staged_version = info->staged_version;
  report.reported_us = info->reported_us;
  quince_weight_plan_report (weights->plan, quince_now_us (), &report);
  g_hash_table_replace (weights->addresses, g_strdup (info->name), g_strdup (info->address));
}

/* Brings the plan up to date with the engines that there are. */
static void
report_engines (QuinceWeights *weights)
{
  g_autoptr (GHashTable) before = weights->addresses;
  weights->addresses = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  quince_engines_foreach (weights->node->engines, report_engine, weights);
  GHashTableIter iter;
  gpointer name;
  g_hash_table_iter_init (&iter, before);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    if (!g_hash_table_contains (weights->addresses, name))
      quince_weight_plan_remove (weights->plan, name);
}

static gboolean
step_due (gpointer user_data)
{
  QuinceWeights *weights = user_data;
  follow_leadership (weights);
  if (weights->plan == NULL)
    return G_SOURCE_CONTINUE;
  gint64 now_us = quince_now_us ();
  gint64 start_us = 0;
  gint64 end_us = 0;
  read_store (weights, now_us);
  quince_events_get_window (weights->node->events, &start_us, &end_us);
  quince_weight_plan_set_event (weights->plan, start_us, end_us);
  report_engines (weights);
  g_autoptr (GPtrArray) orders = quince_weight_orders_new ();
  quince_weight_plan_step (weights->plan, now_us, orders);
  for (guint i = 0; i < orders->len; i++)
    {
      const QuinceWeightOrder *order = g_ptr_array_index (orders, i);
      send_order (weights, order, g_hash_table_lookup (weights->addresses, order->engine));
    }
  return G_SOURCE_CONTINUE;
}

/* ---- Lifetime -------------------------------------------------------- */

static QuinceWeightPlanLimits
read_limits (const QuinceSettings *settings)
{
  QuinceWeightPlanLimits limits = quince_weight_plan_default_limits;
  limits.stage_parallel = (guint)quince_settings_get_integer (settings, "weights", "stage_parallel");
  limits.activate_parallel = (guint)quince_settings_get_integer (settings, "weights", "activate_parallel");
  limits.activate_share = quince_settings_get_number (settings, "weights", "activate_share");
  limits.settle_us = quince_settings_get_duration_us (settings, "weights", "settle");
  limits.hold_before_us = quince_settings_get_duration_us (settings, "weights", "hold_before");
  limits.hold_after_us = quince_settings_get_duration_us (settings, "weights", "hold_after");
  return limits;
}

QuinceWeights *
quince_weights_new (QuinceNode *node)
{
  QuinceWeights *weights = g_new0 (QuinceWeights, 1);
  weights->node = node;
  weights->limits = read_limits (node->settings);
  weights->calls = g_hash_table_new_full (NULL, NULL, order_call_free, NULL);
  weights->addresses = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  if (*quince_settings_get_text (node->settings, "platform", "weights") != '\0')
    weights->timer = quince_timer_add (STEP_INTERVAL_MS, step_due, weights);
  return weights;
}

void
quince_weights_free (QuinceWeights *weights)
{
  if (weights == NULL)
    return;
  quince_source_clear (&weights->timer);
  end_leadership (weights);
  g_hash_table_unref (weights->calls);
  g_hash_table_unref (weights->addresses);
  g_free (weights);
}

guint64
quince_weights_get_newest (const QuinceWeights *weights)
{
  return weights->plan != NULL ? quince_weight_plan_get_newest (weights->plan) : 0;
}

void
quince_weights_get_counters (const QuinceWeights *weights, QuinceWeightPlanCounters *out)
{
  memset (out, 0, sizeof *out);
  if (weights->plan != NULL)
    quince_weight_plan_get_counters (weights->plan, out);
}

guint64
quince_weights_get_fenced_off (const QuinceWeights *weights)
{
  return weights->fenced_off;
}
