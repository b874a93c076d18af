/*
 * engine-poll.c: one engine, polled for its load and its cache events.
 */
#include "engine-poll.h"

#include <quince/http.h>
#include <quince/log.h>
#include <quince/task.h>

#include "grants.h"

/* Polls that fail in a row before an engine counts as unreachable. */
#define FAILURES_MOST 2

/* Owned by the engines, on the main context. */
struct _QuinceEnginePoll
{
  QuinceNode *node;                /* not owned                             */
  QuinceEnginesCounters *counters; /* not owned                             */
  QuinceEnginePollTimes times;
  char *name;                /* owned                                 */
  char *address;             /* owned                                 */
  char *service;             /* owned                                 */
  char *zone;                /* owned                                 */
  QuinceEngineInfo info;     /* texts are those above                 */
  QuinceEngineReport report; /* as last told to the scheduler         */
  gboolean own_leaving;      /* the engine's own word                 */
  gboolean listed_leaving;   /* the machine list's word               */
  guint failures;            /* failed polls in a row                 */
  guint64 cache_sequence;    /* of the last cache event taken         */
  gboolean load_pending;     /* a call is on its way                  */
  gboolean cache_pending;
  GCancellable *cancellable; /* owned: ends calls on their way        */
  GSource *load_timer;       /* owned                                 */
  GSource *cache_timer;      /* owned                                 */
};

/* ---- Load ------------------------------------------------------------ */

static void
tell_leaving (QuinceEnginePoll *poll)
{
  QuinceGrants *grants = poll->node->grants;
  quince_grants_engine_leaving (grants, poll->name, QUINCE_LEAVING_ENGINE, poll->own_leaving);
  quince_grants_engine_leaving (grants, poll->name, QUINCE_LEAVING_MACHINE_LIST, poll->listed_leaving);
  poll->info.leaving = poll->own_leaving || poll->listed_leaving;
}

static void
take_load (QuinceEnginePoll *poll, const QuinceEngineLoad *load)
{
  QuinceEngineReport *report = &poll->report;
  report->running = load->running;
  report->waiting = load->waiting;
  report->capacity = load->capacity;
  report->weight_version = load->weight_version;
  report->target_version = load->target_version;
  report->leaving = load->leaving;
  report->available = TRUE;
  poll->info.weight_version = load->weight_version;
  poll->info.target_version = load->target_version;
  poll->info.staged_version = load->staged_version;
  poll->info.reported_us = quince_now_us () - (gint64)load->report_age_ms * (G_USEC_PER_SEC / 1000);
}

/* It may have begun anew, with an empty cache and another count of events. */
static void
forget_cache (QuinceEnginePoll *poll)
{
  poll->cache_sequence = 0;
  quince_scheduler_cache_event (quince_grants_get_scheduler (poll->node->grants), poll->name, TRUE, NULL, 0,
                                TRUE);
}

static void
set_available (QuinceEnginePoll *poll, gboolean available)
{
  if (poll->info.available == available)
    return;
  quince_log_info ("engine_available", "engine=%s available=%s", poll->name, available ? "true" : "false");
  poll->info.available = available;
  if (available)
    forget_cache (poll);
}

static void
note_poll_failure (QuinceEnginePoll *poll, const GError *error)
{
  poll->counters->poll_failures++;
  poll->failures++;
  g_autofree char *reason = quince_log_quote (error->message);
  quince_log_debug ("engine_poll_failed", "engine=%s failures=%u reason=%s", poll->name, poll->failures,
                    reason);
  if (poll->failures < FAILURES_MOST)
    return;
  set_available (poll, FALSE);
  poll->report.available = FALSE;
  quince_grants_engine_report (poll->node->grants, &poll->report);
}

static void
load_answered (const QuinceEngineLoad *load, const GError *error, gpointer user_data)
{
  QuinceEnginePoll *poll = user_data;
  poll->load_pending = FALSE;
  if (load == NULL)
    {
      note_poll_failure (poll, error);
      return;
    }
  if (!g_str_equal (load->name, poll->name))
    {
      /* The address has gone to another machine. */
      g_autoptr (GError) stranger = g_error_new (QUINCE_HTTP_ERROR, QUINCE_HTTP_ERROR_BAD_BODY,
                                                 "the report is of engine '%s'", load->name);
      note_poll_failure (poll, stranger);
      return;
    }
  poll->failures = 0;
  if (load->leaving != poll->own_leaving)
    {
      quince_log_info ("engine_leaving", "engine=%s leaving=%s source=engine", poll->name,
                       load->leaving ? "true" : "false");
      poll->own_leaving = load->leaving;
    }
  take_load (poll, load);
  set_available (poll, TRUE);
  quince_grants_engine_report (poll->node->grants, &poll->report);
  tell_leaving (poll);
}

static gboolean
load_due (gpointer user_data)
{
  QuinceEnginePoll *poll = user_data;
  if (poll->load_pending)
    return G_SOURCE_CONTINUE;
  poll->load_pending = TRUE;
  poll->counters->polls++;
  quince_engine_admin_get_load (poll->node->http_client, poll->address, poll->times.timeout_ms,
                                poll->cancellable, load_answered, poll);
  return G_SOURCE_CONTINUE;
}

/* ---- Cache events ---------------------------------------------------- */

static void
take_cache_event (QuinceEnginePoll *poll, const QuinceCacheEvent *event)
{
  if (event->sequence <= poll->cache_sequence)
    return;
  gboolean gap = poll->cache_sequence != 0 && event->sequence != poll->cache_sequence + 1;
  if (gap)
    poll->counters->cache_gaps++;
  quince_scheduler_cache_event (quince_grants_get_scheduler (poll->node->grants), poll->name, event->stored,
                                event->blocks, event->n_blocks, gap);
  poll->cache_sequence = event->sequence;
}

static void
cache_events_answered (const GArray *events, guint64 last_sequence, const GError *error, gpointer user_data)
{
  QuinceEnginePoll *poll = user_data;
  poll->cache_pending = FALSE;
  if (events == NULL)
    return;
  if (last_sequence < poll->cache_sequence)
    {
      poll->counters->cache_gaps++;
      forget_cache (poll);
      return;
    }
  for (guint i = 0; i < events->len; i++)
    take_cache_event (poll, &g_array_index (events, QuinceCacheEvent, i));
}

static gboolean
cache_due (gpointer user_data)
{
  QuinceEnginePoll *poll = user_data;
  if (poll->cache_pending || !poll->info.available)
    return G_SOURCE_CONTINUE;
  poll->cache_pending = TRUE;
  quince_engine_admin_get_cache_events (poll->node->http_client, poll->address, poll->cache_sequence,
                                        poll->times.timeout_ms, poll->cancellable, cache_events_answered,
                                        poll);
  return G_SOURCE_CONTINUE;
}

/* ---- Lifetime -------------------------------------------------------- */

static void
copy_texts (QuinceEnginePoll *poll, const QuinceEngineInfo *info)
{
  poll->name = g_strdup (info->name);
  poll->address = g_strdup (info->address);
  poll->service = g_strdup (info->service);
  poll->zone = g_strdup (info->zone);
  poll->info.name = poll->report.name = poll->name;
  poll->info.address = poll->report.address = poll->address;
  poll->info.service = poll->report.service = poll->service;
  poll->info.zone = poll->report.zone = poll->zone;
}

QuinceEnginePoll *
quince_engine_poll_new (QuinceNode *node,
                        const QuinceEngineInfo *info,
                        const QuinceEnginePollTimes *times,
                        QuinceEnginesCounters *counters)
{
  QuinceEnginePoll *poll = g_new0 (QuinceEnginePoll, 1);
  poll->node = node;
  poll->counters = counters;
  poll->times = *times;
  copy_texts (poll, info);
  poll->cancellable = g_cancellable_new ();
  poll->load_timer = quince_timer_add (times->load_interval_ms, load_due, poll);
  poll->cache_timer = quince_timer_add (times->cache_interval_ms, cache_due, poll);
  quince_log_info ("engine_added", "engine=%s address=%s service=%s zone=%s", poll->name, poll->address,
                   poll->service, poll->zone);
  load_due (poll);
  return poll;
}

void
quince_engine_poll_free (QuinceEnginePoll *poll)
{
  if (poll == NULL)
    return;
  quince_log_info ("engine_removed", "engine=%s address=%s", poll->name, poll->address);
  g_cancellable_cancel (poll->cancellable);
  g_object_unref (poll->cancellable);
  quince_source_clear (&poll->load_timer);
  quince_source_clear (&poll->cache_timer);
  quince_scheduler_engine_remove (quince_grants_get_scheduler (poll->node->grants), poll->name);
  g_free (poll->name);
  g_free (poll->address);
  g_free (poll->service);
  g_free (poll->zone);
  g_free (poll);
}

const QuinceEngineInfo *
quince_engine_poll_get_info (const QuinceEnginePoll *poll)
{
  return &poll->info;
}

void
quince_engine_poll_set_listed_leaving (QuinceEnginePoll *poll, gboolean leaving)
{
  if (leaving != poll->listed_leaving)
    quince_log_info ("engine_leaving", "engine=%s leaving=%s source=machine_list", poll->name,
                     leaving ? "true" : "false");
  poll->listed_leaving = leaving;
  tell_leaving (poll);
}
