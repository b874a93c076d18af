/*
 * observer-feed.c: applies pages that another process read to the mirrors, and makes pages for other
 * processes.
 *
 * Detects the loss of the feeder and handles it.  The intervals and timeouts of the mirrors are set in
 * observer.c.
 */
#include "core/decisions/store-reads.h"
#include "core/routing/feed-tree.h"
#include "runtime/log.h"
#include "runtime/clock.h"
#include "runtime/timer.h"

#include "observer-private.h"

/* Minimum time between two empty reports that the leader applies, us; several reserve readers report at about
 * the same time.  Half the watch timeout, so that the followers' feeds do not time out. */
#define REPORT_INTERVAL_MIN_US (QUINCE_STORE_WATCH_TIMEOUT_MS / 2 * 1000)

/* Maximum time for which sends are held after a suspension, ms.  Sends wait for a read of the operator's
 * keys, which name the evacuated zones.  The store answers within a few ms; a machine that cannot reach it
 * must continue to serve. */
#define RESUME_HOLD_MAX_MS 500
/* A page that arrives within this time after a suspension, us, may have been queued in a socket since before
 * the suspension. */
#define QUEUED_PAGES_WINDOW_US (100 * 1000)

void
quince_observer_list_mirrors (QuinceObserver *observer, QuinceNamedMirror mirrors[QUINCE_OBSERVER_N_PREFIXES])
{
  mirrors[0] = (QuinceNamedMirror){ observer->codec->operator_prefix, observer->operator_mirror };
  mirrors[1] = (QuinceNamedMirror){ observer->codec->workers_prefix, observer->workers_mirror };
  mirrors[2] = (QuinceNamedMirror){ QUINCE_OWN_PREFIX, observer->own_mirror };
}

/* Releases held sends after a page of the operator's keys, which name the evacuated zones, unless the page
 * may predate a suspension. */
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
  gboolean accepted = FALSE;
  for (guint i = 0; i < QUINCE_OBSERVER_N_PREFIXES; i++)
    if (g_str_equal (mirrors[i].prefix, prefix))
      accepted = quince_meta_mirror_feed (mirrors[i].mirror, page, whole);
  if (accepted && g_str_equal (prefix, observer->codec->operator_prefix)
      && quince_meta_mirror_is_synced (observer->operator_mirror))
    handle_operator_page (observer);
  return accepted;
}

/* Returns whether the leader applies the report @page: its own reads are late, or reports already replace
 * them and this one has items or is not too soon after the last. */
static gboolean
should_apply_report (const QuinceMetaMirror *mirror, const QuinceMetaPage *page, gint64 now_us)
{
  gint64 contact_age_us = now_us - quince_meta_mirror_get_last_contact_us (mirror);
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
quince_observer_leases_may_have_lapsed (const QuinceObserver *observer, gint64 now_us)
{
  return quince_meta_mirror_page_may_have_lapsed (observer->operator_mirror)
         || quince_meta_mirror_page_may_have_lapsed (observer->workers_mirror)
         || quince_meta_mirror_page_may_have_lapsed (observer->own_mirror)
         || quince_meta_store_leases_may_have_lapsed (observer->store, now_us);
}

/* Returns whether another process feeds all mirrors. */
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

/* While a feeder is alive, it and the reserve readers detect the end of an outage; the other processes probe
 * the store rarely. */
void
quince_observer_update_probe_interval (QuinceObserver *observer)
{
  gboolean slow_probes
      = observer->feeder_timer != NULL && !observer->is_reserve_reader && are_all_mirrors_fed (observer);
  quince_meta_store_set_slow_probes (observer->store, slow_probes);
}

void
quince_observer_handle_feed_end (QuinceObserver *observer)
{
  quince_timer_clear (&observer->feeder_timer);
  quince_observer_update_probe_interval (observer);
  QuinceNamedMirror mirrors[QUINCE_OBSERVER_N_PREFIXES];
  quince_observer_list_mirrors (observer, mirrors);
  for (guint i = 0; i < QUINCE_OBSERVER_N_PREFIXES; i++)
    quince_meta_mirror_handle_feed_end (mirrors[i].mirror, quince_backends_holds_sends (observer->backends));
}

void
quince_observer_handle_feeder_loss (QuinceObserver *observer)
{
  if (quince_backends_holds_sends (observer->backends))
    {
      /* The last pages of the feeder may predate a suspension. */
      quince_observer_handle_feed_end (observer);
      return;
    }
  quince_timer_clear (&observer->feeder_timer);
  quince_observer_update_probe_interval (observer);
  quince_meta_mirror_handle_feed_end (observer->own_mirror, FALSE);
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
    quince_meta_mirror_handle_resume (mirrors[i].mirror);
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
  observer->feeder_timer = quince_timer_add (QUINCE_FEED_TREE_FEEDER_TIMEOUT_MS, feeder_timed_out, observer);
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
