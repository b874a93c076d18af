/*
 * observer-feed.c: feeds the mirrors with pages that another process read, and gives out pages for others.
 *
 * Decides how long a feeder counts as alive and what its loss means; the times of the mirrors are set in
 * observer.c.
 */
#include "core/decisions/store-reads.h"
#include "runtime/log.h"
#include "runtime/clock.h"
#include "runtime/timer.h"

#include "observer-private.h"

/* Several reserve readers report pages without items at once; the leader takes one of them in this time, us.
 * Half the time between two reads, so that none of its followers loses patience. */
#define REPORT_INTERVAL_MIN_US (QUINCE_STORE_WATCH_TIMEOUT_MS / 2 * 1000)

/* After a suspension no request is sent to a worker until the operator's keys were read, which names the
 * evacuated zones, or at most for this long, ms: the store takes a few ms to answer, and a machine that it
 * does not answer must serve on. */
#define RESUME_HOLD_MAX_MS 500
/* A page that arrives this soon after a suspension, us, may have waited in a socket since before it.  Not
 * measured. */
#define QUEUED_PAGES_WINDOW_US (100 * 1000)
/* Without a message for this long, ms, the feeding leader counts as gone.  It sends a heartbeat every 250 ms;
 * three may be lost or late. */
#define FEEDER_TIMEOUT_MS 900

void
quince_observer_list_mirrors (QuinceObserver *observer, QuinceNamedMirror mirrors[QUINCE_OBSERVER_N_PREFIXES])
{
  mirrors[0] = (QuinceNamedMirror){ observer->dialect->operator_prefix, observer->operator_mirror };
  mirrors[1] = (QuinceNamedMirror){ observer->dialect->workers_prefix, observer->workers_mirror };
  mirrors[2] = (QuinceNamedMirror){ QUINCE_OWN_PREFIX, observer->own_mirror };
}

/* A page of the operator's keys was taken: the evacuated zones are known. */
static void
handle_operator_page (QuinceObserver *observer)
{
  if (quince_now_us () - observer->last_resume_us > QUEUED_PAGES_WINDOW_US)
    quince_backends_release_sends (observer->backends);
}

gboolean
quince_observer_feed (QuinceObserver *observer,
                      const char *prefix,
                      const QuinceMetaPage *page,
                      gboolean whole)
{
  QuinceNamedMirror mirrors[QUINCE_OBSERVER_N_PREFIXES];
  quince_observer_list_mirrors (observer, mirrors);
  observer->page_may_have_lapsed = page->may_have_lapsed;
  gboolean accepted = FALSE;
  for (guint i = 0; i < QUINCE_OBSERVER_N_PREFIXES; i++)
    if (g_str_equal (mirrors[i].prefix, prefix))
      accepted = quince_meta_mirror_feed (mirrors[i].mirror, page, whole);
  observer->page_may_have_lapsed = FALSE;
  if (accepted && g_str_equal (prefix, observer->dialect->operator_prefix))
    handle_operator_page (observer);
  return accepted;
}

/* The leader's own reads are late, so that a report helps. */
static gboolean
should_apply_report (const QuinceMetaMirror *mirror, const QuinceMetaPage *page, gint64 now_us)
{
  gint64 contact_age_us = now_us - quince_meta_mirror_get_contact_us (mirror);
  if (!quince_meta_mirror_is_fed (mirror))
    return contact_age_us > QUINCE_STORE_WATCH_TIMEOUT_MS * 1000;
  return page->items->len > 0 || contact_age_us > REPORT_INTERVAL_MIN_US;
}

gboolean
quince_observer_apply_report (QuinceObserver *observer, const char *prefix, const QuinceMetaPage *page)
{
  gint64 now = quince_now_us ();
  QuinceNamedMirror mirrors[QUINCE_OBSERVER_N_PREFIXES];
  quince_observer_list_mirrors (observer, mirrors);
  for (guint i = 0; i < QUINCE_OBSERVER_N_PREFIXES; i++)
    if (g_str_equal (mirrors[i].prefix, prefix) && should_apply_report (mirrors[i].mirror, page, now))
      return quince_observer_feed (observer, prefix, page, FALSE);
  return FALSE;
}

gboolean
quince_observer_may_have_lapsed (const QuinceObserver *observer, gint64 now_us)
{
  return observer->page_may_have_lapsed || quince_meta_store_may_have_lapsed (observer->store, now_us);
}

/* Another process feeds all prefixes. */
static gboolean
are_all_mirrors_fed (QuinceObserver *observer)
{
  QuinceNamedMirror mirrors[QUINCE_OBSERVER_N_PREFIXES];
  quince_observer_list_mirrors (observer, mirrors);
  for (guint i = 0; i < QUINCE_OBSERVER_N_PREFIXES; i++)
    if (!quince_meta_mirror_is_fed (mirrors[i].mirror))
      return FALSE;
  return TRUE;
}

/* While a feeder lives, the feeder and the reserve readers notice when the store is back; the others probe it
 * seldom. */
void
quince_observer_update_probe_interval (QuinceObserver *observer)
{
  gboolean relaxed
      = observer->feeder_timer != NULL && !observer->is_reserve_reader && are_all_mirrors_fed (observer);
  quince_meta_store_set_relaxed (observer->store, relaxed);
}

void
quince_observer_handle_feed_end (QuinceObserver *observer)
{
  quince_timer_clear (&observer->feeder_timer);
  quince_observer_update_probe_interval (observer);
  QuinceNamedMirror mirrors[QUINCE_OBSERVER_N_PREFIXES];
  quince_observer_list_mirrors (observer, mirrors);
  for (guint i = 0; i < QUINCE_OBSERVER_N_PREFIXES; i++)
    quince_meta_mirror_feed_ended (mirrors[i].mirror, quince_backends_holds_sends (observer->backends));
}

void
quince_observer_handle_feeder_loss (QuinceObserver *observer)
{
  if (quince_backends_holds_sends (observer->backends))
    {
      /* Its last pages may be from before a suspension. */
      quince_observer_handle_feed_end (observer);
      return;
    }
  quince_timer_clear (&observer->feeder_timer);
  quince_observer_update_probe_interval (observer);
  quince_meta_mirror_feed_ended (observer->own_mirror, FALSE);
}

void
quince_observer_handle_resume (QuinceObserver *observer)
{
  observer->last_resume_us = quince_now_us ();
  quince_backends_hold_sends (observer->backends, RESUME_HOLD_MAX_MS);
  quince_timer_clear (&observer->feeder_timer);
  quince_observer_update_probe_interval (observer);
  QuinceNamedMirror mirrors[QUINCE_OBSERVER_N_PREFIXES];
  quince_observer_list_mirrors (observer, mirrors);
  for (guint i = 0; i < QUINCE_OBSERVER_N_PREFIXES; i++)
    quince_meta_mirror_resumed (mirrors[i].mirror);
}

static gboolean
feeder_timed_out (gpointer data)
{
  quince_observer_handle_feeder_loss (data);
  return G_SOURCE_REMOVE;
}

void
quince_observer_record_feeder_contact (QuinceObserver *observer)
{
  quince_timer_clear (&observer->feeder_timer);
  observer->feeder_timer = quince_timer_add (FEEDER_TIMEOUT_MS, feeder_timed_out, observer);
  quince_observer_update_probe_interval (observer);
}

void
quince_observer_get_revisions (QuinceObserver *observer, guint64 revisions[QUINCE_OBSERVER_N_PREFIXES])
{
  QuinceNamedMirror mirrors[QUINCE_OBSERVER_N_PREFIXES];
  quince_observer_list_mirrors (observer, mirrors);
  for (guint i = 0; i < QUINCE_OBSERVER_N_PREFIXES; i++)
    revisions[i] = quince_meta_mirror_get_revision (mirrors[i].mirror);
}

void
quince_observer_send_changes (QuinceObserver *observer,
                              const guint64 revisions[QUINCE_OBSERVER_N_PREFIXES],
                              QuinceObserverSendFunc send,
                              gpointer user_data)
{
  QuinceNamedMirror mirrors[QUINCE_OBSERVER_N_PREFIXES];
  quince_observer_list_mirrors (observer, mirrors);
  gint64 now = quince_now_us ();
  for (guint i = 0; i < QUINCE_OBSERVER_N_PREFIXES; i++)
    {
      /* Receivers trust a page as fresh, so a stale mirror sends none. */
      if (!quince_meta_mirror_is_synced (mirrors[i].mirror)
          || !quince_meta_mirror_is_fresh (mirrors[i].mirror, now))
        continue;
      gboolean whole = FALSE;
      g_autoptr (QuinceMetaPage) page = quince_meta_mirror_since (mirrors[i].mirror, revisions[i], &whole);
      send (mirrors[i].prefix, page, whole, user_data);
    }
}
