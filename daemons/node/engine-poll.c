/*
 * engine-poll.c: see engine-poll.h.
 */
#include "engine-poll.h"

#include <quince/http.h>
#include <quince/log.h>
#include <quince/task.h>

#include "gossip.h"
#include "grants.h"

#define MILLISECOND (G_USEC_PER_SEC / 1000)

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
  QuinceDuty duty;           /* of this node, as of the last step     */
  gint64 heard_us;           /* when the report was read by anyone    */
  gint64 polled_us;          /* when this node read one itself        */
  gint64 next_load_us;       /* no poll before                        */
  gint64 next_cache_us;      /* no poll before                        */
  guint failures;            /* failed polls in a row                 */
  guint64 cache_sequence;    /* of the last cache event taken         */
  gboolean load_pending;     /* a call is on its way                  */
  gboolean cache_pending;
  GCancellable *cancellable; /* owned: ends calls on their way        */
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

/* An engine that this zone does not use is not known to the scheduler. */
static void
tell_report (QuinceEnginePoll *poll)
{
  if (poll->duty != QUINCE_DUTY_NONE)
    quince_grants_engine_report (poll->node->grants, &poll->report);
}

/* The weights' coordinator takes only what its own node read. */
static void
take_load (QuinceEnginePoll *poll, const QuinceEngineLoad *load)
{
  gint64 now_us = quince_now_us ();
  QuinceEngineReport *report = &poll->report;
  report->running = load->running;
  report->waiting = load->waiting;
  report->capacity = load->capacity;
  report->weight_version = load->weight_version;
  report->target_version = load->target_version;
  poll->info.weight_version = load->weight_version;
  poll->info.target_version = load->target_version;
  poll->info.staged_version = load->staged_version;
  poll->info.reported_us = now_us - (gint64)load->report_age_ms * MILLISECOND;
  poll->heard_us = poll->polled_us = now_us;
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
  tell_report (poll);
}

/* A report was taken over from the engine or from its owner. */
static void
finish_report (QuinceEnginePoll *poll, gboolean leaving)
{
  gboolean begins = leaving && !poll->own_leaving;
  poll->failures = 0;
  if (leaving != poll->own_leaving)
    quince_log_info ("engine_leaving", "engine=%s leaving=%s source=engine", poll->name,
                     leaving ? "true" : "false");
  poll->own_leaving = leaving;
  poll->report.leaving = leaving;
  poll->report.available = TRUE;
  set_available (poll, TRUE);
  tell_report (poll);
  tell_leaving (poll);
  if (begins)
    quince_gossiper_digest_changed (poll->node->gossiper);
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
  take_load (poll, load);
  finish_report (poll, load->leaving);
}

/* Keeps the rate, though steps come late, and does not catch up after a pause. */
static gint64
next_due (gint64 due_us, gint64 now_us, guint interval_ms)
{
  gint64 interval_us = (gint64)interval_ms * MILLISECOND;
  return due_us + interval_us > now_us ? due_us + interval_us : now_us + interval_us;
}

static void
begin_load (QuinceEnginePoll *poll, gint64 now_us, gboolean coordinates)
{
  poll->load_pending = TRUE;
  poll->next_load_us = next_due (poll->next_load_us, now_us, poll->times.load_interval_ms);
  poll->counters->polls++;
  if (poll->duty == QUINCE_DUTY_FOLLOW && !coordinates)
    poll->counters->follow_polls++;
  quince_engine_admin_get_load (poll->node->http_client, poll->address, poll->times.timeout_ms,
                                poll->cancellable, load_answered, poll);
}

static gboolean
is_load_due (const QuinceEnginePoll *poll, gint64 now_us, const QuinceEngineRole *role)
{
  if (poll->load_pending || now_us < poll->next_load_us)
    return FALSE;
  if (role->coordinates || role->duty == QUINCE_DUTY_OWN || role->duty == QUINCE_DUTY_SPARE)
    return TRUE;
  return role->duty == QUINCE_DUTY_FOLLOW && now_us - poll->heard_us > role->follow_bound_us;
}

/* ---- What its owner tells ---------------------------------------------- */

void
quince_engine_poll_take_figures (QuinceEnginePoll *poll, const QuinceEngineFigures *figures, gint64 read_us)
{
  if (poll->duty == QUINCE_DUTY_NONE || read_us <= poll->heard_us)
    return;
  poll->counters->readings_taken++;
  poll->heard_us = read_us;
  poll->report.running = figures->running;
  poll->report.waiting = figures->waiting;
  poll->report.capacity = figures->capacity;
  poll->report.weight_version = figures->weight_version;
  poll->report.target_version = figures->target_version;
  finish_report (poll, figures->leaving);
}

gboolean
quince_engine_poll_get_figures (const QuinceEnginePoll *poll, gint64 now_us, QuinceEngineFigures *out)
{
  const QuinceEngineReport *report = &poll->report;
  if (!report->available || poll->polled_us == 0 || poll->failures > 0 || poll->heard_us != poll->polled_us)
    return FALSE;
  out->running = report->running;
  out->waiting = report->waiting;
  out->capacity = report->capacity;
  out->weight_version = report->weight_version;
  out->target_version = report->target_version;
  out->leaving = poll->own_leaving;
  out->age_us = now_us - poll->polled_us;
  return TRUE;
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

static void
begin_cache (QuinceEnginePoll *poll, gint64 now_us)
{
  poll->cache_pending = TRUE;
  poll->next_cache_us = next_due (poll->next_cache_us, now_us, poll->times.cache_interval_ms);
  quince_engine_admin_get_cache_events (poll->node->http_client, poll->address, poll->cache_sequence,
                                        poll->times.timeout_ms, poll->cancellable, cache_events_answered,
                                        poll);
}

/* Only the owner knows the engine's cache: the events are too many to be spread. */
static gboolean
is_cache_due (const QuinceEnginePoll *poll, gint64 now_us)
{
  return poll->duty == QUINCE_DUTY_OWN && !poll->cache_pending && poll->info.available
         && now_us >= poll->next_cache_us;
}

/* ---- Duty -------------------------------------------------------------- */

static void
take_duty (QuinceEnginePoll *poll, const QuinceEngineRole *role)
{
  QuinceDuty before = poll->duty;
  poll->duty = role->duty;
  if (before == QUINCE_DUTY_OWN && role->duty != QUINCE_DUTY_OWN)
    forget_cache (poll);
  if (role->duty == QUINCE_DUTY_NONE && before != QUINCE_DUTY_NONE)
    quince_scheduler_engine_remove (quince_grants_get_scheduler (poll->node->grants), poll->name);
  /* What this node read itself long ago is of no use to the weights. */
  if (!role->coordinates && poll->heard_us != poll->polled_us)
    poll->info.reported_us = 0;
}

void
quince_engine_poll_step (QuinceEnginePoll *poll, gint64 now_us, const QuinceEngineRole *role)
{
  take_duty (poll, role);
  if (is_load_due (poll, now_us, role))
    begin_load (poll, now_us, role->coordinates);
  if (is_cache_due (poll, now_us))
    begin_cache (poll, now_us);
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
  quince_log_info ("engine_added", "engine=%s address=%s service=%s zone=%s", poll->name, poll->address,
                   poll->service, poll->zone);
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

gint64
quince_engine_poll_get_heard_us (const QuinceEnginePoll *poll)
{
  return poll->heard_us;
}

QuinceDuty
quince_engine_poll_get_duty (const QuinceEnginePoll *poll)
{
  return poll->duty;
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
