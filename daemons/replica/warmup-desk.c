/*
 * warmup-desk.c: one process gives all sends to cold workers: the ledger's leader.
 */
#include "warmup-desk.h"

#include "runtime/log.h"
#include "runtime/clock.h"

/* Chosen: how often what is over is freed, so that workers that are gone keep no memory. */
#define EXPIRE_US (5 * G_USEC_PER_SEC)
/* Fronts ask again no sooner than this, however soon there is room: the answer to one ask comes first. */
#define AGAIN_MIN_MS 20

struct _QuinceWarmupDesk
{
  /* All fields belong to the main context. */
  QuinceWarmupSends *sends;
  QuinceWorkerTable *workers;
  QuinceObserver *observer; /* NULL: not known yet */
  gboolean (*may_give) (gpointer);
  gpointer user_data;
  gint64 expired_us;
};

static const QuinceService *
find_service (const char *name, gpointer data)
{
  const QuinceWarmupDesk *desk = data;
  return desk->observer != NULL ? quince_observer_find_service (desk->observer, name) : NULL;
}

static gboolean
may_give (gpointer data)
{
  const QuinceWarmupDesk *desk = data;
  return desk->may_give (desk->user_data);
}

static const QuinceWarmupSendsCallbacks sends_callbacks
    = { .find_service = find_service, .may_give = may_give };

QuinceWarmupDesk *
quince_warmup_desk_new (const QuinceWarmupBounds *bounds,
                        QuinceWorkerTable *workers,
                        gboolean (*may_give_now) (gpointer user_data),
                        gpointer user_data)
{
  QuinceWarmupDesk *desk = g_new0 (QuinceWarmupDesk, 1);
  desk->sends = quince_warmup_sends_new (bounds, &sends_callbacks, desk);
  desk->workers = workers;
  desk->may_give = may_give_now;
  desk->user_data = user_data;
  return desk;
}

void
quince_warmup_desk_free (QuinceWarmupDesk *desk)
{
  if (desk == NULL)
    return;
  quince_warmup_sends_free (desk->sends);
  g_free (desk);
}

void
quince_warmup_desk_set_observer (QuinceWarmupDesk *desk, QuinceObserver *observer)
{
  desk->observer = observer;
}

QuinceWarmupSends *
quince_warmup_desk_get_sends (QuinceWarmupDesk *desk)
{
  return desk->sends;
}

void
quince_warmup_desk_lead (QuinceWarmupDesk *desk)
{
  quince_warmup_sends_take_over (desk->sends);
}

gboolean
quince_warmup_desk_take (QuinceWarmupDesk *desk, QuinceLink *link, const QuinceMessage *message)
{
  if (message->kind != QUINCE_MESSAGE_WARMUP_ASK)
    return FALSE;
  const QuinceWarmupAsk *ask = &message->QuinceMessage_u.warmup_ask;
  const QuinceWorker *worker = quince_worker_table_find (desk->workers, ask->worker);
  gint64 again_us = AGAIN_MIN_MS * 1000;
  QuinceMessage answer = { .kind = QUINCE_MESSAGE_WARMUP_GRANT };
  QuinceWarmupGrant *grant = &answer.QuinceMessage_u.warmup_grant;
  grant->ask = ask->ask;
  grant->worker = ask->worker;
  /* A worker that is not known here, of whichever service, gets nothing. */
  if (worker != NULL)
    grant->sends = quince_warmup_sends_give (desk->sends, worker->id, worker->service, ask->sends, &again_us);
  grant->valid_ms = QUINCE_WARMUP_VALID_US / 1000;
  grant->again_ms = (guint)MAX (again_us / 1000, AGAIN_MIN_MS);
  quince_link_send (link, &answer);
  return TRUE;
}

void
quince_warmup_desk_step (QuinceWarmupDesk *desk)
{
  gint64 now = quince_now_us ();
  if (now - desk->expired_us < EXPIRE_US)
    return;
  desk->expired_us = now;
  quince_warmup_sends_expire (desk->sends, now);
}
