/*
 * evacuation.c: what follows from zones that the operator has evacuated, or has taken back.
 *
 * Runs end where they are: to move them costs their prompts and texts a second time when capacity has just
 * gone, and a request that may not be repeated would be lost.  What has not arrived yet is given up, since it
 * would arrive late.
 */
#include "core/decisions/worker-choice.h"
#include "runtime/log.h"
#include "runtime/clock.h"
#include "runtime/timer.h"

#include "backends-private.h"

/* Time after its zone was evacuated from which a request that the worker's machine has not acknowledged is
 * stuck on a cut or slow link, ms.  Not measured: a round trip takes some ms. */
#define ACKNOWLEDGE_TIMEOUT_MS 500
/* Time after an evacuation in which such requests are checked for, us: three checks. */
#define STUCK_CHECK_PERIOD_US (3 * ACKNOWLEDGE_TIMEOUT_MS * 1000)
/* ---- Requests that have not arrived ------------------------------------- */

/* (transfer container): ids, owned: of workers in evacuated zones with kept connections.  Callbacks of what
 * is given up may change the tables. */
static GPtrArray *
list_evacuated (const QuinceBackends *backends, gint64 before_us)
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
withdraw_requests (QuinceBackends *backends, gint64 before_us, QuinceHttpProgress progress)
{
  g_autoptr (GPtrArray) ids = list_evacuated (backends, before_us);
  guint count = 0;
  for (guint i = 0; i < ids->len; i++)
    {
      QuinceHttpPool *pool = quince_worker_pools_find (backends->pools, ids->pdata[i]);
      if (pool != NULL)
        count += quince_http_pool_withdraw (pool, progress);
    }
  if (count > 0)
    quince_log_info ("sends_withdrawn", "count=%u cause=%s", count,
                     progress == QUINCE_HTTP_UNCONNECTED ? "not_connected" : "not_acknowledged");
}

static gboolean
withdraw_stuck_requests (gpointer data)
{
  QuinceBackends *backends = data;
  gint64 now = quince_now_us ();
  withdraw_requests (backends, now - ACKNOWLEDGE_TIMEOUT_MS * 1000, QUINCE_HTTP_UNACKNOWLEDGED);
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
  withdraw_requests (backends, now_us, QUINCE_HTTP_UNCONNECTED);
  if (backends->withdrawal_timer == NULL)
    backends->withdrawal_timer = quince_timer_add (ACKNOWLEDGE_TIMEOUT_MS, withdraw_stuck_requests, backends);
  return TRUE;
}

const QuinceZoneTable *
quince_backends_get_zones (const QuinceBackends *backends)
{
  return backends->zones;
}

gboolean
quince_backends_may_send (const QuinceBackends *backends, const QuinceWorker *worker)
{
  return !backends->holds_sends && !quince_backends_is_evacuated (backends, worker);
}

gboolean
quince_backends_is_evacuated (const QuinceBackends *backends, const QuinceWorker *worker)
{
  return worker != NULL && quince_zone_table_get_n_evacuated (backends->zones) > 0
         && quince_zone_table_is_evacuated (backends->zones, worker->zone);
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
    return; /* to wait for others is worse */
  g_ptr_array_set_size (found, 0);
  g_ptr_array_extend_and_steal (found, g_steal_pointer (&candidates));
}

/* ---- While the evacuated zones are not known ------------------------------- */

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
    return; /* already, without a bound */
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
