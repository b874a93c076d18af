/*
 * evacuation.c: evacuated zones: stops sends to them, and limits the share of returning zones.
 *
 * Running requests complete in an evacuated zone: repeating them elsewhere would cost capacity while it is
 * scarce, and some must not be repeated.  Requests that have not reached their worker are withdrawn.
 */
#include "core/decisions/worker-choice.h"
#include "runtime/log.h"
#include "runtime/clock.h"
#include "runtime/timer.h"

#include "backends-private.h"

/* A request that its worker has not acknowledged this long after the evacuation is stuck on a broken or slow
 * link; a round trip takes some ms. */
#define ACKNOWLEDGE_TIMEOUT_MS 500
/* How long after an evacuation stuck requests are checked for: three checks. */
#define STUCK_CHECK_PERIOD_US (3 * ACKNOWLEDGE_TIMEOUT_MS * 1000)

/* ---- Requests that have not arrived ------------------------------------- */

/* Returns: (transfer full): copies of the ids of the workers that have a connection pool and whose zone was
 * evacuated at @before_us or earlier.  Copies, since the callbacks of withdrawn requests may change the
 * tables. */
static GPtrArray *
list_evacuated_worker_ids (const QuinceBackends *backends, gint64 before_us)
{
  GPtrArray *ids = quince_worker_pools_list (backends->pools);
  for (guint i = ids->len; i > 0; i--)
    {
      const QuinceWorker *worker = quince_worker_table_find (backends->workers, ids->pdata[i - 1]);
      gint64 since_us
          = worker != NULL ? quince_zone_table_get_evacuated_us (backends->zones, worker->zone) : 0;
      if (since_us == 0 || since_us > before_us)
        g_ptr_array_remove_index (ids, i - 1);
    }
  return ids;
}

static void
withdraw_requests (QuinceBackends *backends, gint64 before_us, QuinceHttpWithdrawScope scope)
{
  g_autoptr (GPtrArray) ids = list_evacuated_worker_ids (backends, before_us);
  guint count = 0;
  for (guint i = 0; i < ids->len; i++)
    {
      QuinceHttpPool *pool = quince_worker_pools_find (backends->pools, ids->pdata[i]);
      if (pool != NULL)
        count += quince_http_pool_withdraw (pool, scope);
    }
  if (count > 0)
    quince_log_info ("sends_withdrawn", "count=%u cause=%s", count,
                     scope == QUINCE_HTTP_WITHDRAW_UNCONNECTED ? "not_connected" : "not_acknowledged");
}

static gboolean
withdraw_stuck_requests (gpointer data)
{
  QuinceBackends *backends = data;
  gint64 now = quince_now_us ();
  withdraw_requests (backends, now - ACKNOWLEDGE_TIMEOUT_MS * 1000, QUINCE_HTTP_WITHDRAW_UNACKNOWLEDGED);
  g_autoptr (GPtrArray) zones = quince_zone_table_list_evacuated (backends->zones);
  for (guint i = 0; i < zones->len; i++)
    if (now - quince_zone_table_get_evacuated_us (backends->zones, zones->pdata[i]) < STUCK_CHECK_PERIOD_US)
      return G_SOURCE_CONTINUE;
  quince_timer_clear (&backends->withdrawal_timer);
  return G_SOURCE_REMOVE;
}

/* ---- Zones -------------------------------------------------------------- */

gboolean
quince_backends_set_zone_evacuated (QuinceBackends *backends,
                                    gint64 now_us,
                                    const char *zone,
                                    guint64 revision,
                                    gboolean evacuated)
{
  if (!quince_zone_table_set_evacuated (backends->zones, now_us, zone, revision, evacuated))
    return FALSE;
  if (!evacuated)
    {
      quince_backends_assume_zone_cold (backends, now_us, zone);
      return TRUE;
    }
  withdraw_requests (backends, now_us, QUINCE_HTTP_WITHDRAW_UNCONNECTED);
  if (backends->withdrawal_timer == NULL)
    backends->withdrawal_timer = quince_timer_add (ACKNOWLEDGE_TIMEOUT_MS, withdraw_stuck_requests, backends);
  return TRUE;
}

const QuinceZoneTable *
quince_backends_get_zones (const QuinceBackends *backends)
{
  return backends->zones;
}

/* @worker: (nullable) */
static gboolean
is_evacuated (const QuinceBackends *backends, const QuinceWorker *worker)
{
  return worker != NULL && quince_zone_table_get_n_evacuated (backends->zones) > 0
         && quince_zone_table_is_evacuated (backends->zones, worker->zone);
}

gboolean
quince_backends_may_send (const QuinceBackends *backends, const QuinceWorker *worker)
{
  return !backends->holds_sends && !is_evacuated (backends, worker);
}

const QuinceWorker *
quince_backends_find_lost_worker (const QuinceBackends *backends, const QuinceWorkerRef *ref)
{
  const QuinceWorker *worker = quince_worker_table_find (backends->workers, ref->id);
  return is_evacuated (backends, worker) ? NULL : worker;
}

void
quince_backends_limit_returning_zones (const QuinceBackends *backends,
                                       gint64 now_us,
                                       guint running_max,
                                       GPtrArray *found)
{
  if (!quince_zone_table_has_returning_zone (backends->zones, now_us))
    return;
  g_autoptr (GPtrArray) candidates = g_ptr_array_new ();
  for (guint i = 0; i < found->len; i++)
    {
      const QuinceWorker *worker = found->pdata[i];
      double share = quince_zone_table_get_share (backends->zones, now_us, worker->zone);
      if (quince_choice_is_returning_candidate (share, worker->running, running_max, backends->rotation + i))
        g_ptr_array_add (candidates, found->pdata[i]);
    }
  if (candidates->len == 0)
    return; /* better than no worker at all */
  g_ptr_array_set_size (found, 0);
  g_ptr_array_extend_and_steal (found, g_steal_pointer (&candidates));
}

/* ---- Hold of all sends ------------------------------------------------------ */

static gboolean
release_expired_hold (gpointer data)
{
  quince_backends_release_sends (data);
  return G_SOURCE_REMOVE;
}

void
quince_backends_hold_sends (QuinceBackends *backends, guint max_ms)
{
  if (backends->holds_sends && backends->hold_timer == NULL)
    return; /* already held without a time limit */
  quince_timer_clear (&backends->hold_timer);
  backends->holds_sends = TRUE;
  if (max_ms > 0)
    backends->hold_timer = quince_timer_add (max_ms, release_expired_hold, backends);
}

void
quince_backends_release_sends (QuinceBackends *backends)
{
  quince_timer_clear (&backends->hold_timer);
  backends->holds_sends = FALSE;
}

gboolean
quince_backends_holds_sends (const QuinceBackends *backends)
{
  return backends->holds_sends;
}

void
quince_backends_clear_evacuation (QuinceBackends *backends)
{
  quince_timer_clear (&backends->withdrawal_timer);
  quince_timer_clear (&backends->hold_timer);
  quince_zone_table_free (backends->zones);
}
