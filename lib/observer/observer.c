/*
 * observer.c: creates the mirrors of the metadata store, sets their read intervals and timeouts, and
 * dispatches the items that they report.
 *
 * The operator's keys go to operator-state.c, workers, the policy and events to the backends, and the other
 * own keys to the callbacks.
 */
#include "core/decisions/store-reads.h"
#include "forward/residency-lookup.h"
#include "runtime/log.h"
#include "runtime/metrics.h"
#include "forward/policy-entry.h"
#include "runtime/clock.h"
#include "runtime/timer.h"

#include "observer-private.h"
#include "refused-item.h"

/* Minimum time between two reads of the own keys, ms.  Limits the reads when many processes start and write
 * their keys at the same time. */
#define OWN_READ_INTERVAL_MIN_MS 100
/* Maximum to which that time grows in a burst of changes, ms, in a process that is not a reserve reader. Half
 * of OWN_READ_INTERVAL_MAX_MS. */
#define OWN_READ_INTERVAL_BURST_MAX_MS 500
/* Time allowed for the first read of the store after a feed timeout, ms.  A read usually takes a few ms. */
#define FIRST_READ_BUDGET_MS 500
G_STATIC_ASSERT (QUINCE_STORE_WATCH_TIMEOUT_MS + QUINCE_STORE_SLACK_MS + FIRST_READ_BUDGET_MS
                 <= QUINCE_OBSERVER_CHANGE_BOUND_MIN_MS);
G_STATIC_ASSERT (QUINCE_STORE_READER_SLACK_MS + FIRST_READ_BUDGET_MS <= QUINCE_STORE_SLACK_MS);
/* Maximum random delay before a process reads the store after an outage, ms.  Reserve readers read it without
 * delay, so that most other processes are fed before their delay ends.  Probes are 0.8 s apart, so at the
 * minimum change bound every process has all changes within 2 s of the end of the outage. */
#define OUTAGE_READ_JITTER_MAX_MS 1000
/* Time from the end of an outage of the store until workers' entries that expired in it are listed again, us:
 * about 2 s until the workers have written them, and the time to read the change. */
#define LAPSED_RECOVERY_US (2400 * 1000)
/* Minimum time for which a worker is retained after its entry expired, us.  Shorter than the time for which a
 * worker that left continues to serve. */
#define LAPSED_RETENTION_MIN_US (1000 * 1000)
/* Maximum time between two reads of the own keys, ms; independent of the change bound. */
#define OWN_READ_INTERVAL_MAX_MS 1000
/* Maximum time from the write of a policy until it is active in every process, ms, even if no process feeds
 * the others. */
#define POLICY_IN_FORCE_MAX_MS 3000
G_STATIC_ASSERT (OWN_READ_INTERVAL_MAX_MS + QUINCE_STORE_SLACK_MS + FIRST_READ_BUDGET_MS
                 <= POLICY_IN_FORCE_MAX_MS);

/* ---- Workers ---------------------------------------------------------- */

/* Returns the monotonic time until which a worker is retained although its entry expired. */
static gint64
get_lapsed_expiry_us (const QuinceObserver *observer, gint64 now_us)
{
  gint64 recovered_us = quince_meta_store_get_contact (observer->store)->recovered_us;
  return MAX (now_us + LAPSED_RETENTION_MIN_US, recovered_us + LAPSED_RECOVERY_US);
}

static void
handle_worker_item (const QuinceMetaItem *item, gpointer data)
{
  QuinceObserver *observer = data;
  const char *id = observer->codec->read_worker_id (item->key);
  if (item->value == NULL)
    {
      gint64 now = quince_now_us ();
      if (quince_observer_leases_may_have_lapsed (observer, now))
        quince_backends_mark_listing_stale (observer->backends, now, get_lapsed_expiry_us (observer, now),
                                            id);
      else
        quince_backends_remove (observer->backends, id);
      return;
    }
  g_autoptr (GError) error = NULL;
  QuinceWorker *worker = observer->codec->read_worker (item->key, item->value, &error);
  if (worker != NULL)
    quince_backends_update (observer->backends, worker);
  else
    quince_log_refused_item (item->key, error);
}

static void
handle_workers_synced (gpointer data)
{
  QuinceObserver *observer = data;
  quince_backends_finish_first_listing (observer->backends);
  if (observer->callbacks->workers_synced != NULL)
    observer->callbacks->workers_synced (observer->user_data);
}

/* ---- Own keys --------------------------------------------------------- */

static void
handle_own_item (const QuinceMetaItem *item, gpointer data)
{
  QuinceObserver *observer = data;
  if (g_str_equal (item->key, QUINCE_POLICY_KEY))
    quince_backends_apply_policy_entry (observer->backends, item->value, item->revision);
  else if (g_str_has_prefix (item->key, QUINCE_EVENTS_PREFIX))
    quince_backends_apply_event_entry (observer->backends, item->key + strlen (QUINCE_EVENTS_PREFIX),
                                       item->value);
  else if (observer->callbacks->own_key != NULL)
    observer->callbacks->own_key (item->key, item->value, item->revision, observer->user_data);
}

GBytes *
quince_observer_get_policy_entry (QuinceObserver *observer, guint64 *revision)
{
  return quince_backends_get_policy_entry (observer->backends, revision);
}

gboolean
quince_observer_apply_policy_entry (QuinceObserver *observer, GBytes *value, guint64 revision)
{
  guint64 old_revision;
  guint64 new_revision;
  quince_backends_get_policy_entry (observer->backends, &old_revision);
  quince_backends_apply_policy_entry (observer->backends, value, revision);
  quince_backends_get_policy_entry (observer->backends, &new_revision);
  return new_revision > old_revision;
}

static void
handle_own_synced (gpointer data)
{
  QuinceObserver *observer = data;
  quince_operator_state_set_policy_known (observer->operator_state);
  if (observer->callbacks->own_synced != NULL)
    observer->callbacks->own_synced (observer->user_data);
}

/* ---- Reads of the store ------------------------------------------------ */

static void
report_store_read (QuinceObserver *observer, const char *prefix, const QuinceMetaPage *page)
{
  if (observer->callbacks->read != NULL)
    observer->callbacks->read (prefix, page, observer->user_data);
}

static void
handle_operator_item (const QuinceMetaItem *item, gpointer data)
{
  QuinceObserver *observer = data;
  gboolean fed = quince_meta_mirror_is_fed (observer->operator_mirror);
  quince_operator_state_apply (observer->operator_state, item, fed);
}

/* Releases held sends: the operator's keys are complete, so the evacuated zones are known. */
static void
handle_operator_synced (gpointer data)
{
  QuinceObserver *observer = data;
  quince_backends_release_sends (observer->backends);
}

static void
handle_operator_read (const QuinceMetaPage *page, gpointer data)
{
  QuinceObserver *observer = data;
  if (quince_meta_mirror_is_synced (observer->operator_mirror))
    quince_backends_release_sends (observer->backends);
  report_store_read (observer, observer->codec->operator_prefix, page);
}

static void
handle_workers_read (const QuinceMetaPage *page, gpointer data)
{
  QuinceObserver *observer = data;
  report_store_read (observer, observer->codec->workers_prefix, page);
}

static void
handle_own_read (const QuinceMetaPage *page, gpointer data)
{
  report_store_read (data, QUINCE_OWN_PREFIX, page);
}

static const QuinceMetaMirrorCallbacks operator_callbacks
    = { .item = handle_operator_item, .synced = handle_operator_synced, .read = handle_operator_read };
static const QuinceMetaMirrorCallbacks own_callbacks
    = { .item = handle_own_item, .synced = handle_own_synced, .read = handle_own_read };

void
quince_observer_set_reserve_reader (QuinceObserver *observer, gboolean reserve)
{
  observer->is_reserve_reader = reserve;
  quince_observer_update_probe_interval (observer);
  const QuinceStoreReadTimes times = quince_store_reads_get_times (reserve, observer->bound_margin_ms);
  guint outage_read_jitter_max_ms = reserve ? 0 : OUTAGE_READ_JITTER_MAX_MS;
  const QuinceMetaMirrorTimes operator_times = { .read_interval_max_ms = times.watch_timeout_ms,
                                                 .feed_timeout_ms = times.feed_timeout_ms,
                                                 .outage_read_jitter_max_ms = outage_read_jitter_max_ms,
                                                 .reader = reserve };
  const QuinceMetaMirrorTimes workers_times
      = { .read_interval_min_ms = observer->workers_read_interval_min_ms,
          .read_interval_max_ms = times.watch_timeout_ms,
          .feed_timeout_ms = times.feed_timeout_ms,
          .outage_read_jitter_max_ms = outage_read_jitter_max_ms,
          .reader = reserve };
  guint own_slack_ms = MIN (times.feed_timeout_ms - QUINCE_STORE_WATCH_TIMEOUT_MS, QUINCE_STORE_SLACK_MS);
  const QuinceMetaMirrorTimes own_times
      = { .read_interval_min_ms = OWN_READ_INTERVAL_MIN_MS,
          .read_interval_burst_max_ms = reserve ? OWN_READ_INTERVAL_MIN_MS : OWN_READ_INTERVAL_BURST_MAX_MS,
          .read_interval_max_ms = OWN_READ_INTERVAL_MAX_MS,
          .feed_timeout_ms = OWN_READ_INTERVAL_MAX_MS + own_slack_ms,
          .outage_read_jitter_max_ms = outage_read_jitter_max_ms,
          .reader = reserve };
  quince_meta_store_set_probe_interval_max (observer->store, times.probe_interval_max_ms);
  quince_meta_mirror_set_times (observer->operator_mirror, &operator_times);
  quince_meta_mirror_set_times (observer->workers_mirror, &workers_times);
  quince_meta_mirror_set_times (observer->own_mirror, &own_times);
}

void
quince_observer_set_metrics (QuinceObserver *observer)
{
  gint64 now = quince_now_us ();
  QuinceNamedMirror mirrors[QUINCE_OBSERVER_N_PREFIXES];
  quince_observer_list_mirrors (observer, mirrors);
  for (guint i = 0; i < QUINCE_OBSERVER_N_PREFIXES; i++)
    {
      gint64 contact_us = quince_meta_mirror_get_last_contact_us (mirrors[i].mirror);
      if (contact_us == 0)
        continue;
      g_autofree char *labels = g_strdup_printf ("prefix=\"%s\"", mirrors[i].prefix);
      quince_metric_set ("quince_belief_age_seconds", labels, (double)(now - contact_us) / G_USEC_PER_SEC);
    }
  quince_metric_set ("quince_zones_evacuated", "",
                     quince_zone_table_get_n_evacuated (quince_backends_get_zones (observer->backends)));
}

void
quince_observer_list_small_prefixes (QuinceObserver *observer)
{
  quince_meta_mirror_list_now (observer->operator_mirror);
  quince_meta_mirror_list_now (observer->own_mirror);
  quince_meta_mirror_list_first_page (observer->workers_mirror);
}

void
quince_observer_list_workers (QuinceObserver *observer)
{
  quince_meta_mirror_list_now (observer->workers_mirror);
}

gboolean
quince_observer_is_listing (QuinceObserver *observer)
{
  QuinceNamedMirror mirrors[QUINCE_OBSERVER_N_PREFIXES];
  quince_observer_list_mirrors (observer, mirrors);
  for (guint i = 0; i < QUINCE_OBSERVER_N_PREFIXES; i++)
    if (quince_meta_mirror_is_listing (mirrors[i].mirror))
      return TRUE;
  return FALSE;
}

gboolean
quince_observer_is_fresh (QuinceObserver *observer)
{
  gint64 now = quince_now_us ();
  QuinceNamedMirror mirrors[QUINCE_OBSERVER_N_PREFIXES];
  quince_observer_list_mirrors (observer, mirrors);
  for (guint i = 0; i < QUINCE_OBSERVER_N_PREFIXES; i++)
    if (!quince_meta_mirror_is_synced (mirrors[i].mirror)
        || !quince_meta_mirror_is_fresh (mirrors[i].mirror, now))
      return FALSE;
  return TRUE;
}

gboolean
quince_observer_is_synced (QuinceObserver *observer)
{
  guint64 revisions[QUINCE_OBSERVER_N_PREFIXES];
  quince_observer_get_revisions (observer, revisions);
  for (guint i = 0; i < QUINCE_OBSERVER_N_PREFIXES; i++)
    if (revisions[i] == 0)
      return FALSE;
  return TRUE;
}

/* ---- Public ----------------------------------------------------------- */

static guint
get_duration_ms (const QuinceSettings *settings, const char *key)
{
  return (guint)(quince_settings_get_duration_us (settings, "store", key) / 1000);
}

void
quince_observer_read_options (const QuinceSettings *settings, QuinceObserverOptions *options)
{
  options->workers_read_interval_min_ms = get_duration_ms (settings, "workers_pace");
  guint bound_ms
      = MIN (get_duration_ms (settings, "change_bound"), get_duration_ms (settings, "drain_bound"));
  options->change_bound_ms = MIN (bound_ms, get_duration_ms (settings, "evacuation_bound"));
  options->waits_to_be_fed = FALSE;
  options->workers_wait_to_be_fed = FALSE;
}

QuinceObserver *
quince_observer_new (QuinceMetaStore *store,
                     QuinceBackends *backends,
                     const QuinceObserverCodec *codec,
                     const QuinceObserverOptions *options,
                     const QuinceObserverCallbacks *callbacks,
                     gpointer user_data)
{
  QuinceObserver *observer = g_new0 (QuinceObserver, 1);
  observer->store = store;
  observer->backends = backends;
  observer->callbacks = callbacks;
  observer->user_data = user_data;
  observer->codec = codec;
  observer->operator_state = quince_operator_state_new (backends, codec, callbacks, user_data);
  observer->worker_callbacks = (QuinceMetaMirrorCallbacks){ .item = handle_worker_item,
                                                            .synced = handle_workers_synced,
                                                            .read = handle_workers_read,
                                                            .is_equivalent = codec->same_worker };
  observer->workers_read_interval_min_ms = options->workers_read_interval_min_ms;
  guint bound_ms = MAX (options->change_bound_ms, QUINCE_OBSERVER_CHANGE_BOUND_MIN_MS);
  observer->bound_margin_ms = bound_ms - QUINCE_OBSERVER_CHANGE_BOUND_MIN_MS;
  gboolean wait = options->waits_to_be_fed;
  observer->operator_mirror
      = quince_meta_mirror_new (store, codec->operator_prefix, wait, &operator_callbacks, observer);
  observer->workers_mirror
      = quince_meta_mirror_new (store, codec->workers_prefix, wait || options->workers_wait_to_be_fed,
                                &observer->worker_callbacks, observer);
  observer->own_mirror = quince_meta_mirror_new (store, QUINCE_OWN_PREFIX, wait, &own_callbacks, observer);
  quince_observer_set_reserve_reader (observer, FALSE);
  /* Without a hold, requests could go to workers in evacuated zones until the operator's keys are known. */
  quince_backends_hold_sends (backends, 0);
  return observer;
}

void
quince_observer_free (QuinceObserver *observer)
{
  if (observer == NULL)
    return;
  quince_timer_clear (&observer->feeder_timer);
  quince_meta_mirror_free (observer->operator_mirror);
  quince_meta_mirror_free (observer->workers_mirror);
  quince_meta_mirror_free (observer->own_mirror);
  quince_operator_state_free (observer->operator_state);
  g_free (observer);
}

QuinceRouteTable *
quince_observer_get_routes (QuinceObserver *observer)
{
  return quince_operator_state_get_routes (observer->operator_state);
}

const QuinceService *
quince_observer_find_service (QuinceObserver *observer, const char *name)
{
  QuinceRouteTable *routes = quince_observer_get_routes (observer);
  return routes != NULL ? quince_route_table_find_service (routes, name) : NULL;
}

guint64
quince_observer_get_version (QuinceObserver *observer, const char *model)
{
  return quince_operator_state_get_version (observer->operator_state, model);
}
