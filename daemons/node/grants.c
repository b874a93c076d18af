/*
 * grants.c: the scheduler of this node and its clock.
 */
#include "grants.h"

#include <quince/request-id.h>
#include <quince/task.h>

#include "sessions.h"
#include "wakeup.h"

#define MILLISECOND (G_USEC_PER_SEC / 1000)

/* Owned by the node, on its main context. */
struct _QuinceGrants
{
  QuinceNode *node;           /* not owned                                  */
  QuinceScheduler *scheduler; /* owned                                      */
  QuinceWakeup *wakeup;       /* owned; set after each call that decides    */
  GPtrArray *decisions;       /* owned; empty between calls                 */
};

/* Sends what was decided and asks for the next tick. */
static void
finish_call (QuinceGrants *grants)
{
  g_autoptr (GPtrArray) decisions = grants->decisions;
  grants->decisions = quince_decisions_new ();
  for (guint i = 0; i < decisions->len; i++)
    {
      const QuinceDecision *decision = g_ptr_array_index (decisions, i);
      quince_sessions_send_grant_reply (grants->node->sessions, decision->client, &decision->reply);
    }
  quince_wakeup_set (grants->wakeup, quince_scheduler_next_wakeup (grants->scheduler, quince_now_us ()));
}

static void
tick (gpointer user_data)
{
  QuinceGrants *grants = user_data;
  quince_scheduler_tick (grants->scheduler, quince_now_us (), grants->decisions);
  finish_call (grants);
}

static guint
duration_ms (const QuinceSettings *settings, const char *key)
{
  return (guint)(quince_settings_get_duration_us (settings, "scheduler", key) / MILLISECOND);
}

static QuinceSchedulerLimits
read_limits (const QuinceSettings *settings)
{
  QuinceSchedulerLimits limits = quince_scheduler_default_limits;
  limits.queue_most = (guint)quince_settings_get_integer (settings, "scheduler", "queue_most");
  limits.grant_ms = duration_ms (settings, "grant");
  limits.abandon_ms = duration_ms (settings, "abandon");
  limits.report_stale_ms = duration_ms (settings, "report_stale");
  limits.candidates = (guint)quince_settings_get_integer (settings, "scheduler", "candidates");
  limits.retry_ratio = quince_settings_get_number (settings, "scheduler", "retry_ratio");
  limits.overcommit = quince_settings_get_number (settings, "scheduler", "overcommit");
  limits.engine_wait_ms = duration_ms (settings, "engine_wait");
  return limits;
}

QuinceGrants *
quince_grants_new (QuinceNode *node)
{
  QuinceGrants *grants = g_new0 (QuinceGrants, 1);
  QuinceSchedulerLimits limits = read_limits (node->settings);
  grants->node = node;
  grants->scheduler = quince_scheduler_new (&limits, node->incarnation, node->zone, quince_random_u64 ());
  grants->wakeup = quince_wakeup_new (tick, grants);
  grants->decisions = quince_decisions_new ();
  return grants;
}

void
quince_grants_free (QuinceGrants *grants)
{
  if (grants == NULL)
    return;
  quince_wakeup_free (grants->wakeup);
  g_ptr_array_unref (grants->decisions);
  quince_scheduler_free (grants->scheduler);
  g_free (grants);
}

void
quince_grants_request (QuinceGrants *grants, guint64 client, const QuinceGrantRequest *request)
{
  quince_scheduler_request (grants->scheduler, quince_now_us (), client, request, grants->decisions);
  finish_call (grants);
}

void
quince_grants_cancel (QuinceGrants *grants, const QuinceGrantCancel *cancel)
{
  quince_scheduler_cancel (grants->scheduler, quince_now_us (), cancel, grants->decisions);
  finish_call (grants);
}

void
quince_grants_end (QuinceGrants *grants, const QuinceGrantEnd *end)
{
  quince_scheduler_end (grants->scheduler, quince_now_us (), end, grants->decisions);
  finish_call (grants);
}

void
quince_grants_client_gone (QuinceGrants *grants, guint64 client)
{
  quince_scheduler_client_gone (grants->scheduler, quince_now_us (), client);
  finish_call (grants);
}

void
quince_grants_engine_report (QuinceGrants *grants, const QuinceEngineReport *report)
{
  quince_scheduler_engine_report (grants->scheduler, quince_now_us (), report, grants->decisions);
  finish_call (grants);
}

void
quince_grants_engine_leaving (QuinceGrants *grants,
                              const char *engine,
                              QuinceLeavingSource source,
                              gboolean leaving)
{
  quince_scheduler_engine_leaving (grants->scheduler, quince_now_us (), engine, source, leaving);
  finish_call (grants);
}

void
quince_grants_set_ready (QuinceGrants *grants, gboolean ready)
{
  quince_scheduler_set_ready (grants->scheduler, ready);
  finish_call (grants);
}

void
quince_grants_stop (QuinceGrants *grants)
{
  quince_scheduler_stop (grants->scheduler, quince_now_us (), grants->decisions);
  finish_call (grants);
}

QuinceScheduler *
quince_grants_get_scheduler (QuinceGrants *grants)
{
  return grants->scheduler;
}
