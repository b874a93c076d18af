/*
 * send-guard-log.c: log lines and metrics of the send guard.
 */
#include "runtime/log.h"
#include "runtime/metrics.h"

#include "send-guard-private.h"

/* Returns the suspect of the request or of its prompt, or NULL if neither is a suspect.  If both are, a held
 * one is preferred, then the one with more ends. */
static const QuinceSuspect *
find_worst_suspect (const QuinceSendGuard *guard, const QuinceRequestIdentity *identity)
{
  const QuinceSuspect *request = quince_quarantine_find (guard->quarantine, &identity->request);
  const QuinceSuspect *prompt
      = identity->has_prompt ? quince_quarantine_find (guard->quarantine, &identity->prompt) : NULL;
  if (request == NULL || prompt == NULL)
    return request != NULL ? request : prompt;
  if (request->held != prompt->held)
    return request->held ? request : prompt;
  return prompt->n_workers > request->n_workers ? prompt : request;
}

static const char *
get_reporter (const QuinceSuspect *suspect)
{
  return suspect->reported_by != NULL ? suspect->reported_by : "self";
}

void
quince_send_guard_log_sent (const QuinceSendGuard *guard,
                            gint64 now_us,
                            const QuinceRequestIdentity *identity,
                            const QuinceSendPermit *permit,
                            const char *request_id,
                            const char *worker_id)
{
  const QuinceSuspect *suspect = find_worst_suspect (guard, identity);
  if (suspect == NULL)
    return;
  g_autofree char *digest = quince_request_digest_format (&suspect->digest);
  quince_log_info ("suspect_sent",
                   "request=%s worker=%s digest=%s scope=%s ends=%u alone=%u permit=%s told_by=%s"
                   " known_ms=%" G_GINT64_FORMAT,
                   request_id, worker_id, digest, quince_suspect_scope_name (suspect->scope),
                   suspect->n_workers, suspect->alone,
                   !permit->taken  ? "none"
                   : permit->alone ? "alone"
                                   : "one",
                   get_reporter (suspect), (now_us - suspect->ended_us) / 1000);
}

void
quince_send_guard_log_held (const QuinceSendGuard *guard,
                            gint64 now_us,
                            const QuinceRequestIdentity *identity,
                            const char *request_id)
{
  const QuinceSuspect *suspect = find_worst_suspect (guard, identity);
  if (suspect == NULL)
    return;
  g_autofree char *digest = quince_request_digest_format (&suspect->digest);
  quince_log_warning ("suspect_held",
                      "request=%s digest=%s scope=%s ends=%u alone=%u service=%s software=%s told_by=%s"
                      " known_ms=%" G_GINT64_FORMAT,
                      request_id, digest, quince_suspect_scope_name (suspect->scope), suspect->n_workers,
                      suspect->alone, suspect->service, suspect->software, get_reporter (suspect),
                      (now_us - suspect->ended_us) / 1000);
}

void
quince_send_guard_log_postponed (const QuinceSendGuard *guard,
                                 gint64 now_us,
                                 const QuinceRequestIdentity *identity,
                                 const char *request_id)
{
  const QuinceSuspect *suspect = find_worst_suspect (guard, identity);
  if (suspect == NULL)
    return;
  g_autofree char *digest = quince_request_digest_format (&suspect->digest);
  quince_log_info ("suspect_postponed",
                   "request=%s digest=%s scope=%s ends=%u alone=%u service=%s told_by=%s"
                   " known_ms=%" G_GINT64_FORMAT " wait_ms=%" G_GINT64_FORMAT,
                   request_id, digest, quince_suspect_scope_name (suspect->scope), suspect->n_workers,
                   suspect->alone, suspect->service, get_reporter (suspect),
                   (now_us - suspect->ended_us) / 1000,
                   quince_quarantine_get_owed_wait_us (guard->quarantine, now_us, identity) / 1000);
}

/* Returns (transfer full): the ids of the listed workers of @service that are recorded as ended, separated by
 * commas */
static char *
format_ended_workers (const QuinceSendGuard *guard, const char *service)
{
  g_autoptr (GPtrArray) names = g_ptr_array_new ();
  if (guard->workers != NULL)
    {
      g_autoptr (GPtrArray) workers = quince_worker_table_list (guard->workers, service);
      for (guint i = 0; i < workers->len; i++)
        {
          const QuinceWorker *worker = workers->pdata[i];
          if (quince_quarantine_has_worker_ended (guard->quarantine, worker->incarnation))
            g_ptr_array_add (names, worker->id);
        }
    }
  g_ptr_array_add (names, NULL);
  return g_strjoinv (",", (char **)names->pdata);
}

void
quince_send_guard_log_protected (const QuinceSendGuard *guard,
                                 gint64 now_us,
                                 const QuinceRequestIdentity *identity,
                                 const char *request_id,
                                 const char *service)
{
  const QuinceSuspect *suspect = find_worst_suspect (guard, identity);
  if (suspect == NULL)
    return;
  QuinceServiceCapacity capacity;
  quince_service_capacities_get (guard->capacities, now_us, service, &capacity);
  g_autofree char *digest = quince_request_digest_format (&suspect->digest);
  quince_metric_add ("quince_quarantine_spared_total", "", 1);
  g_autofree char *ended = format_ended_workers (guard, service);
  quince_log_info ("suspect_spared",
                   "request=%s digest=%s scope=%s ends=%u service=%s ready=%u of=%u ended=%s", request_id,
                   digest, quince_suspect_scope_name (suspect->scope), suspect->n_workers, service,
                   capacity.ready, capacity.listed_max, ended);
}

void
quince_send_guard_set_metrics (const QuinceSendGuard *guard)
{
  g_autoptr (GPtrArray) suspects = quince_quarantine_list (guard->quarantine);
  guint held = 0;
  guint prompts = 0;
  for (guint i = 0; i < suspects->len; i++)
    {
      const QuinceSuspect *suspect = suspects->pdata[i];
      held += suspect->held;
      prompts += suspect->scope == QUINCE_SUSPECT_PROMPT;
    }
  quince_metric_set ("quince_quarantine_suspects", "", suspects->len);
  quince_metric_set ("quince_quarantine_held", "", held);
  quince_metric_set ("quince_quarantine_prompts", "", prompts);
  quince_metric_set ("quince_quarantine_ended_workers", "",
                     quince_quarantine_get_n_ended_workers (guard->quarantine));
  quince_metric_set ("quince_quarantine_bytes", "", (double)quince_quarantine_get_bytes (guard->quarantine));
}
