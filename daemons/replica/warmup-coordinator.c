/*
 * warmup-coordinator.c: grants send leases for cold workers to the leader itself and to the fronts.
 */
#include "warmup-coordinator.h"

#include "runtime/clock.h"

/* Interval between removals of expired leases, us.  They free the memory of workers that no longer exist. */
#define LEASE_EXPIRE_INTERVAL_US (5 * G_USEC_PER_SEC)
/* Minimum interval between lease requests of a front for a worker, ms: a few round trips, so that the answer
 * to one request arrives before the next is sent. */
#define LEASE_REQUEST_INTERVAL_MIN_MS 20

struct _QuinceWarmupCoordinator
{
  /* All fields belong to the main context. */
  QuinceWarmupSends *sends;
  QuinceWorkerTable *workers;
  QuinceObserver *observer; /* not owned; NULL: not set yet */
  gboolean (*may_grant) (gpointer);
  gpointer user_data;
  gint64 last_expire_us;
};

static const QuinceService *
find_service (const char *name, gpointer data)
{
  const QuinceWarmupCoordinator *coordinator = data;
  return coordinator->observer != NULL ? quince_observer_find_service (coordinator->observer, name) : NULL;
}

static gboolean
may_grant (gpointer data)
{
  const QuinceWarmupCoordinator *coordinator = data;
  return coordinator->may_grant (coordinator->user_data);
}

static const QuinceWarmupSendsCallbacks sends_callbacks
    = { .find_service = find_service, .may_grant = may_grant };

QuinceWarmupCoordinator *
quince_warmup_coordinator_new (const QuinceWarmupBounds *bounds,
                               QuinceWorkerTable *workers,
                               gboolean (*may_grant_now) (gpointer user_data),
                               gpointer user_data)
{
  QuinceWarmupCoordinator *coordinator = g_new0 (QuinceWarmupCoordinator, 1);
  coordinator->sends = quince_warmup_sends_new (bounds, &sends_callbacks, coordinator);
  coordinator->workers = workers;
  coordinator->may_grant = may_grant_now;
  coordinator->user_data = user_data;
  return coordinator;
}

void
quince_warmup_coordinator_free (QuinceWarmupCoordinator *coordinator)
{
  if (coordinator == NULL)
    return;
  quince_warmup_sends_free (coordinator->sends);
  g_free (coordinator);
}

void
quince_warmup_coordinator_set_observer (QuinceWarmupCoordinator *coordinator, QuinceObserver *observer)
{
  coordinator->observer = observer;
}

QuinceWarmupSends *
quince_warmup_coordinator_get_sends (QuinceWarmupCoordinator *coordinator)
{
  return coordinator->sends;
}

void
quince_warmup_coordinator_start_leading (QuinceWarmupCoordinator *coordinator)
{
  quince_warmup_sends_take_over (coordinator->sends);
}

gboolean
quince_warmup_coordinator_handle_message (QuinceWarmupCoordinator *coordinator,
                                          QuinceLink *link,
                                          const QuinceMessage *message)
{
  if (message->kind != QUINCE_MESSAGE_WARMUP_ASK)
    return FALSE;
  const QuinceWarmupAsk *request = &message->QuinceMessage_u.warmup_ask;
  const QuinceWorker *worker = quince_worker_table_find (coordinator->workers, request->worker);
  gint64 retry_after_us = LEASE_REQUEST_INTERVAL_MIN_MS * 1000;
  QuinceMessage answer = { .kind = QUINCE_MESSAGE_WARMUP_GRANT };
  QuinceWarmupGrant *grant = &answer.QuinceMessage_u.warmup_grant;
  grant->ask = request->ask;
  grant->worker = request->worker;
  /* Grants nothing for a worker that this process doesn't know, since its limit is unknown too. */
  if (worker != NULL)
    grant->sends = quince_warmup_sends_grant (coordinator->sends, worker->id, worker->service, request->sends,
                                              &retry_after_us);
  grant->valid_ms = QUINCE_WARMUP_LEASE_VALID_US / 1000;
  grant->again_ms = (guint)MAX (retry_after_us / 1000, LEASE_REQUEST_INTERVAL_MIN_MS);
  quince_link_send (link, &answer);
  return TRUE;
}

void
quince_warmup_coordinator_step (QuinceWarmupCoordinator *coordinator)
{
  gint64 now = quince_now_us ();
  if (now - coordinator->last_expire_us < LEASE_EXPIRE_INTERVAL_US)
    return;
  coordinator->last_expire_us = now;
  quince_warmup_sends_expire (coordinator->sends, now);
}
