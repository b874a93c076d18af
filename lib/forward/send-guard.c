/*
 * send-guard.c: whether a request may be sent to a worker.
 */
#include <quince/send-guard.h>

#include <quince/log.h>
#include <quince/metrics.h>
#include <quince/task.h>

#include "worker-check.h"

/* Another request has the permit: ask again after a usual run of a lookup, about 25 ms on the users' sheets.
 */
#define BUSY_PAUSE_US (20 * 1000)
/* An answer that is lost with its link is asked for again.  Chosen: far above a round trip to the leader (6
 * ms). */
#define ANSWER_PATIENCE_US (500 * 1000)
/* A permit whose asker has gone meanwhile may serve another one of the same request so long: less than
 * whoever gave it keeps it (3 s). */
#define GIVEN_KEEP_US (1 * G_USEC_PER_SEC)
/* A worker that was found to have ended is not checked again for each further connection that broke.  Chosen
 * above the 3.6 s (three heartbeats of 1.2 s) after which its entry lapses. */
#define ENDED_KEEP_US (5 * G_USEC_PER_SEC)
/* A look at all suspects, up to some thousands, is not made for each request. */
#define EXPIRE_EVERY_US (1 * G_USEC_PER_SEC)

typedef enum
{
  ASK_SENT,
  ASK_GIVEN,
  ASK_BUSY,
} AskState;

/* A permit that is asked for. */
typedef struct
{
  QuinceRequestDigest digest;
  AskState state;
  gint64 at_us; /* of the state */
  gboolean alone;
} Ask;

/* A request that lost its connection to the worker that is checked. */
typedef struct
{
  QuinceRequestDigest digest;
  gboolean permit;
  gboolean alone;
} LostRun;

/* A worker whose connections broke. */
typedef struct
{
  QuinceSendGuard *guard;
  char *worker_id;
  char *service;
  char *software;
  GArray *runs;             /* LostRun */
  QuinceWorkerCheck *check; /* NULL: it has ended */
  gint64 ended_us;
} Loss;

struct _QuinceSendGuard
{
  /* All fields belong to the context that created it. */
  QuinceQuarantine *quarantine;
  gint64 expire_us; /* when old suspects are looked for the next time */
  GHashTable *asks; /* Ask by its own digest, owned */
  GHashTable *held; /* QuinceRequestDigest, owned, to gboolean: permits in use here; whether they are alone */
  GHashTable *losses; /* Loss by its own worker id, owned */
  guint checks;       /* losses that are not decided */
  const QuinceSendGuardCallbacks *callbacks;
  gpointer user_data;
};

static void
loss_free (gpointer data)
{
  Loss *loss = data;
  if (loss->check != NULL)
    quince_worker_check_cancel (loss->check);
  g_array_unref (loss->runs);
  g_free (loss->worker_id);
  g_free (loss->service);
  g_free (loss->software);
  g_free (loss);
}

void
quince_quarantine_read_limits (const QuinceSettings *settings, QuinceQuarantineLimits *limits)
{
  limits->entries_most = (guint)quince_settings_get_integer (settings, "quarantine", "entries");
  limits->bytes_most = (gsize)quince_settings_get_integer (settings, "quarantine", "kilobytes") * 1024;
  limits->doubt_keep_us = quince_settings_get_duration_us (settings, "quarantine", "doubt_keep");
  limits->hold_keep_us = quince_settings_get_duration_us (settings, "quarantine", "hold_keep");
}

QuinceSendGuard *
quince_send_guard_new (const QuinceQuarantineLimits *limits,
                       const QuinceSendGuardCallbacks *callbacks,
                       gpointer user_data)
{
  QuinceSendGuard *guard = g_new0 (QuinceSendGuard, 1);
  guard->quarantine = quince_quarantine_new (limits);
  guard->asks = g_hash_table_new_full (quince_request_digest_hash, quince_request_digest_equal, NULL, g_free);
  guard->held = g_hash_table_new_full (quince_request_digest_hash, quince_request_digest_equal, g_free, NULL);
  guard->losses = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, loss_free);
  guard->callbacks = callbacks;
  guard->user_data = user_data;
  return guard;
}

void
quince_send_guard_free (QuinceSendGuard *guard)
{
  if (guard == NULL)
    return;
  g_hash_table_unref (guard->losses);
  g_hash_table_unref (guard->held);
  g_hash_table_unref (guard->asks);
  quince_quarantine_free (guard->quarantine);
  g_free (guard);
}

QuinceQuarantine *
quince_send_guard_get_quarantine (QuinceSendGuard *guard)
{
  return guard->quarantine;
}

gboolean
quince_send_guard_is_idle (const QuinceSendGuard *guard)
{
  return guard->checks == 0 && quince_quarantine_get_size (guard->quarantine) == 0;
}

/* ---- Permits ----------------------------------------------------------- */

/* A loss of @digest is not decided yet: it may turn out to be an end. */
static gboolean
is_checked (const QuinceSendGuard *guard, const QuinceRequestDigest *digest)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, guard->losses);
  while (guard->checks > 0 && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Loss *loss = value;
      for (guint i = 0; loss->check != NULL && i < loss->runs->len; i++)
        if (quince_request_digest_equal (&g_array_index (loss->runs, LostRun, i).digest, digest))
          return TRUE;
    }
  return FALSE;
}

/* Returns: %FALSE when @ask has to be made again. */
static gboolean
is_current (const Ask *ask, gint64 now_us, gboolean alone)
{
  static const gint64 keep_us[]
      = { [ASK_SENT] = ANSWER_PATIENCE_US, [ASK_GIVEN] = GIVEN_KEEP_US, [ASK_BUSY] = BUSY_PAUSE_US };
  return now_us - ask->at_us < keep_us[ask->state] && (ask->alone || !alone);
}

/* Returns: (nullable): %NULL when there is nobody to ask. */
static const Ask *
ask_again (QuinceSendGuard *guard,
           gint64 now_us,
           const QuinceRequestDigest *digest,
           const char *service,
           gboolean alone)
{
  Ask *ask = g_new0 (Ask, 1);
  ask->digest = *digest;
  ask->at_us = now_us;
  ask->alone = alone;
  g_hash_table_replace (guard->asks, &ask->digest, ask);
  if (guard->callbacks->ask (digest, service, alone, guard->user_data))
    return g_hash_table_lookup (guard->asks, digest);
  g_hash_table_remove (guard->asks, digest);
  return NULL;
}

void
quince_send_guard_answer (QuinceSendGuard *guard, const QuinceRequestDigest *digest, gboolean given)
{
  Ask *ask = g_hash_table_lookup (guard->asks, digest);
  if (ask == NULL || ask->state != ASK_SENT)
    {
      if (given)
        guard->callbacks->give_back (digest, guard->user_data);
      return;
    }
  ask->state = given ? ASK_GIVEN : ASK_BUSY;
  ask->at_us = quince_now_us ();
}

void
quince_send_guard_forget_asked (QuinceSendGuard *guard)
{
  g_hash_table_remove_all (guard->asks);
}

static QuinceLeave
ask_permit (QuinceSendGuard *guard,
            gint64 now_us,
            const QuinceRequestDigest *digest,
            const char *service,
            gboolean alone)
{
  const Ask *ask = g_hash_table_lookup (guard->asks, digest);
  if (ask == NULL || !is_current (ask, now_us, alone))
    ask = ask_again (guard, now_us, digest, service, alone);
  if (ask == NULL && alone)
    return QUINCE_LEAVE_UNSURE;
  if (ask == NULL)
    return QUINCE_LEAVE_CAREFUL;
  if (ask->state != ASK_GIVEN)
    return QUINCE_LEAVE_WAIT;
  g_hash_table_replace (guard->held, g_memdup2 (digest, sizeof *digest), GINT_TO_POINTER (ask->alone));
  g_hash_table_remove (guard->asks, digest);
  return QUINCE_LEAVE_PERMIT;
}

static void
expire_seldom (QuinceSendGuard *guard, gint64 now_us)
{
  if (now_us < guard->expire_us)
    return;
  guard->expire_us = now_us + EXPIRE_EVERY_US;
  quince_quarantine_expire (guard->quarantine, now_us);
}

QuinceLeave
quince_send_guard_ask (QuinceSendGuard *guard,
                       gint64 now_us,
                       const QuinceRequestDigest *digest,
                       const char *service)
{
  expire_seldom (guard, now_us);
  QuinceSendRule rule = quince_quarantine_judge (guard->quarantine, digest);
  if (rule == QUINCE_SEND_HELD)
    return QUINCE_LEAVE_HELD;
  if (is_checked (guard, digest) || g_hash_table_contains (guard->held, digest))
    return QUINCE_LEAVE_WAIT;
  if (rule == QUINCE_SEND_FREE)
    return QUINCE_LEAVE_GIVEN;
  return ask_permit (guard, now_us, digest, service, rule == QUINCE_SEND_ALONE);
}

static void
give_back (QuinceSendGuard *guard, const QuinceRequestDigest *digest)
{
  if (g_hash_table_remove (guard->held, digest))
    guard->callbacks->give_back (digest, guard->user_data);
}

/* ---- Ends of workers ---------------------------------------------------- */

static void
note_end (QuinceSendGuard *guard, const Loss *loss, const LostRun *run)
{
  const QuinceSuspect seen = { .digest = run->digest,
                               .workers = { quince_quarantine_hash_worker (loss->worker_id) },
                               .n_workers = 1,
                               .alone = run->alone,
                               .service = loss->service,
                               .software = loss->software };
  const QuinceSuspect *known = quince_quarantine_note_end (guard->quarantine, quince_now_us (), &seen);
  g_autofree char *digest = quince_request_digest_format (&run->digest);
  quince_log_warning ("worker_ended", "worker=%s digest=%s ends=%u alone=%u held=%s", loss->worker_id, digest,
                      known->n_workers, known->alone, known->held ? "true" : "false");
  guard->callbacks->ended (known, guard->user_data);
  if (run->permit)
    give_back (guard, &run->digest);
}

static gboolean
is_old (gpointer key, gpointer value, gpointer data)
{
  const Loss *loss = value;
  const gint64 *now_us = data;
  return loss->check == NULL && *now_us - loss->ended_us > ENDED_KEEP_US;
}

static void
check_done (QuinceWorkerSign sign, gpointer data)
{
  Loss *loss = data;
  QuinceSendGuard *guard = loss->guard;
  loss->check = NULL;
  loss->ended_us = quince_now_us ();
  guard->checks--;
  for (guint i = 0; i < loss->runs->len; i++)
    {
      const LostRun *run = &g_array_index (loss->runs, LostRun, i);
      if (sign == QUINCE_WORKER_ENDED)
        note_end (guard, loss, run);
      else if (run->permit)
        give_back (guard, &run->digest);
    }
  if (sign != QUINCE_WORKER_ENDED)
    g_hash_table_remove (guard->losses, loss->worker_id);
}

static Loss *
find_or_check (QuinceSendGuard *guard, const QuinceWorker *worker)
{
  gint64 now = quince_now_us ();
  g_hash_table_foreach_remove (guard->losses, is_old, &now);
  Loss *loss = g_hash_table_lookup (guard->losses, worker->id);
  if (loss != NULL)
    return loss;
  loss = g_new0 (Loss, 1);
  loss->guard = guard;
  loss->worker_id = g_strdup (worker->id);
  loss->service = g_strdup (worker->service);
  loss->software = g_strdup (worker->software);
  loss->runs = g_array_new (FALSE, FALSE, sizeof (LostRun));
  loss->check = quince_worker_check_start (worker->address, check_done, loss);
  g_hash_table_insert (guard->losses, loss->worker_id, loss);
  guard->checks++;
  return loss;
}

/* A worker that is to leave, or is not listed, ends without any request's doing. */
static gboolean
is_expected_to_end (const QuinceWorker *worker)
{
  return worker == NULL || worker->draining || worker->gone_after_us != 0;
}

void
quince_send_guard_lost (QuinceSendGuard *guard,
                        const QuinceRequestDigest *digest,
                        gboolean permit,
                        const QuinceWorker *worker)
{
  if (is_expected_to_end (worker))
    {
      quince_send_guard_over (guard, digest, permit);
      return;
    }
  gboolean alone = permit && GPOINTER_TO_INT (g_hash_table_lookup (guard->held, digest));
  const LostRun run = { .digest = *digest, .permit = permit, .alone = alone };
  Loss *loss = find_or_check (guard, worker);
  if (loss->check != NULL)
    g_array_append_val (loss->runs, run);
  else
    note_end (guard, loss, &run);
}

void
quince_send_guard_answered (QuinceSendGuard *guard, const QuinceRequestDigest *digest, gboolean permit)
{
  if (quince_quarantine_clear (guard->quarantine, digest))
    {
      g_autofree char *text = quince_request_digest_format (digest);
      quince_log_info ("suspect_cleared", "digest=%s", text);
      guard->callbacks->cleared (digest, guard->user_data);
    }
  quince_send_guard_over (guard, digest, permit);
}

void
quince_send_guard_over (QuinceSendGuard *guard, const QuinceRequestDigest *digest, gboolean permit)
{
  if (permit)
    give_back (guard, digest);
}

/* ---- Sight -------------------------------------------------------------- */

void
quince_send_guard_log_sent (const QuinceSendGuard *guard,
                            gint64 now_us,
                            const QuinceRequestDigest *digest,
                            const char *request_id,
                            const char *worker_id)
{
  const QuinceSuspect *suspect = quince_quarantine_find (guard->quarantine, digest);
  if (suspect == NULL)
    return;
  gpointer alone = NULL;
  gboolean permit = g_hash_table_lookup_extended (guard->held, digest, NULL, &alone);
  g_autofree char *text = quince_request_digest_format (digest);
  quince_log_info ("suspect_sent",
                   "request=%s worker=%s digest=%s ends=%u alone=%u permit=%s told_by=%s"
                   " known_ms=%" G_GINT64_FORMAT,
                   request_id, worker_id, text, suspect->n_workers, suspect->alone,
                   !permit         ? "none"
                   : alone != NULL ? "alone"
                                   : "one",
                   suspect->told_by != NULL ? suspect->told_by : "self", (now_us - suspect->ended_us) / 1000);
}

void
quince_send_guard_log_held (const QuinceSendGuard *guard,
                            gint64 now_us,
                            const QuinceRequestDigest *digest,
                            const char *request_id)
{
  const QuinceSuspect *suspect = quince_quarantine_find (guard->quarantine, digest);
  if (suspect == NULL)
    return;
  g_autofree char *text = quince_request_digest_format (digest);
  quince_log_warning ("suspect_held",
                      "request=%s digest=%s ends=%u alone=%u service=%s software=%s told_by=%s"
                      " known_ms=%" G_GINT64_FORMAT,
                      request_id, text, suspect->n_workers, suspect->alone, suspect->service,
                      suspect->software, suspect->told_by != NULL ? suspect->told_by : "self",
                      (now_us - suspect->ended_us) / 1000);
}

void
quince_send_guard_set_metrics (const QuinceSendGuard *guard)
{
  g_autoptr (GPtrArray) all = quince_quarantine_list (guard->quarantine);
  guint held = 0;
  for (guint i = 0; i < all->len; i++)
    held += ((const QuinceSuspect *)all->pdata[i])->held;
  quince_metric_set ("quince_quarantine_suspects", "", all->len);
  quince_metric_set ("quince_quarantine_held", "", held);
  quince_metric_set ("quince_quarantine_bytes", "", (double)quince_quarantine_get_bytes (guard->quarantine));
}
