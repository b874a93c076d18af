/*
 * observer.h: the state of the deployment as this process knows it, read from the metadata store or fed by
 * another process.
 *
 * The observer owns a mirror of each of three prefixes (the operator's keys, the workers' entries and
 * quinceroute's own keys), the current configuration and the newest announced weight versions.  It reads
 * through a QuinceMetaStore, decodes values with a QuinceObserverCodec and updates the workers, zones,
 * policy and events of the backends.  It ignores a configuration or weight version that is older than the
 * current one.
 */
#pragma once

#include "forward/backends.h"
#include "runtime/settings.h"
#include "protocol/codec.h"
#include "meta/meta-mirror.h"
#include "core/routing/route-table.h"
#include "observer/observer-codec.h"

G_BEGIN_DECLS

/* Keys that quinceroute itself writes. */
#define QUINCE_OWN_PREFIX "quinceroute/"
#define QUINCE_LEDGER_KEY QUINCE_OWN_PREFIX "ledger"
#define QUINCE_FRONTS_PREFIX QUINCE_OWN_PREFIX "fronts/"
#define QUINCE_POLICY_KEY QUINCE_OWN_PREFIX "policy"
#define QUINCE_QUARANTINE_PREFIX QUINCE_OWN_PREFIX "quarantine/"
/* Suspects that a front recorded while it had no leader, by the front's name. */
#define QUINCE_SUSPECTS_PREFIX QUINCE_OWN_PREFIX "suspects/"
/* The zone of each machine that runs a replica, by the machine's name.  Written only in deployments with
 * several regions. */
#define QUINCE_MACHINE_ZONES_PREFIX QUINCE_OWN_PREFIX "places/"
#define QUINCE_EVENTS_PREFIX QUINCE_OWN_PREFIX "events/"

typedef struct _QuinceObserver QuinceObserver;

/**
 * QuinceObserverCallbacks: all are nullable
 * @configuration: the configuration was replaced by a newer one.  It is not called before
 *   the policy in the store is known
 * @version: a newer version of @model was announced
 * @draining_nodes: the set of draining machines changed; @nodes are their names, %NULL-terminated
 * @zones: the set of evacuated zones changed; see quince_backends_get_zones()
 * @own_key: one of quinceroute's own keys changed; @value is %NULL if it was removed.  Not called for the
 *   policy and events, which go to the backends
 * @own_synced: all own keys have been reported; called after each listing or whole page of a feed
 * @workers_synced: all workers' entries have been reported; called after each listing or whole page of a feed
 * @read: this process itself read @prefix from the store.  @page holds the changes to feed to
 *   other processes; it may be empty
 */
typedef struct
{
  void (*configuration) (QuinceRouteTable *table, gpointer user_data);
  void (*version) (const char *model, guint64 version, gpointer user_data);
  void (*draining_nodes) (const char *const *nodes, gpointer user_data);
  void (*zones) (gpointer user_data);
  void (*own_key) (const char *key, GBytes *value, guint64 revision, gpointer user_data);
  void (*own_synced) (gpointer user_data);
  void (*workers_synced) (gpointer user_data);
  void (*read) (const char *prefix, const QuinceMetaPage *page, gpointer user_data);
} QuinceObserverCallbacks;

/* Minimum change bound, ms.  The change bound is the maximum time from the write of a change to the store
 * until the change is active in every process and a draining worker gets no new work.  The observer cannot
 * meet a smaller bound. */
#define QUINCE_OBSERVER_CHANGE_BOUND_MIN_MS 2000

/**
 * QuinceObserverOptions:
 * @workers_read_interval_min_ms: minimum time between two reads of the workers' entries, ms
 * @change_bound_ms: change bound of this deployment, ms; raised to the minimum change bound if smaller.
 *   A larger bound lets a process wait longer for its feeder before it reads the store
 * @waits_to_be_fed: a starting process lists nothing before quince_observer_list_small_prefixes()
 * @workers_wait_to_be_fed: it does not list the workers before quince_observer_list_workers()
 */
typedef struct
{
  guint workers_read_interval_min_ms;
  guint change_bound_ms;
  gboolean waits_to_be_fed;
  gboolean workers_wait_to_be_fed;
} QuinceObserverOptions;

/* Sets @options from section "store" of @settings.  @change_bound_ms is the minimum of the keys
 * "change_bound", "drain_bound" and "evacuation_bound", @workers_read_interval_min_ms is "workers_pace", and
 * nothing waits to be fed. */
void quince_observer_read_options (const QuinceSettings *settings, QuinceObserverOptions *options);
/**
 * quince_observer_new:
 * @store: must outlive the observer
 * @backends: receives workers, zones, policy and events; must outlive the observer
 * @codec: decodes the operator's keys and the workers' entries; must outlive the observer
 * @options: copied
 * @callbacks: called with @user_data; must outlive the observer
 *
 * Starts to follow the store, and holds all sends of @backends until the operator's keys are known.
 *
 * Returns: (transfer full): the observer
 */
QuinceObserver *quince_observer_new (QuinceMetaStore *store,
                                     QuinceBackends *backends,
                                     const QuinceObserverCodec *codec,
                                     const QuinceObserverOptions *options,
                                     const QuinceObserverCallbacks *callbacks,
                                     gpointer user_data);
void quince_observer_free (QuinceObserver *observer);
/* Applies a page of @prefix that another process read; see quince_meta_mirror_feed().
 * @whole: the page holds all keys under @prefix
 * Returns: whether the page was accepted; %FALSE if the observer does not follow @prefix */
gboolean quince_observer_feed (QuinceObserver *observer,
                               const char *prefix,
                               const QuinceMetaPage *page,
                               gboolean whole);
/* At the leader: applies a page that a reserve reader reported.  The page is ignored while the leader's own
 * reads are on time.  Once reports replace those reads, empty pages that arrive shortly after the last one
 * are ignored too.
 * Returns: whether the page was applied; the caller then forwards it to the other processes */
gboolean
quince_observer_apply_report (QuinceObserver *observer, const char *prefix, const QuinceMetaPage *page);
/* Ends the feed because this process became the leader and feeds the others: each fed mirror reads the store
 * immediately. */
void quince_observer_handle_feed_end (QuinceObserver *observer);
/* Handles the loss of the process that feeds this one.  The own keys, which name the next leader, are read
 * immediately.  The other mirrors wait for their feed timeout, since the next leader usually feeds them
 * before it expires.  While sends are held, all fed mirrors read the store immediately, because the last
 * pages may predate a suspension. */
void quince_observer_handle_feeder_loss (QuinceObserver *observer);
/* Handles the end of a suspension of the machine: holds sends, and reads all prefixes from the store
 * immediately. */
void quince_observer_handle_resume (QuinceObserver *observer);
/* Must be called for each message from the process that feeds this one.  A message shows that the feeder is
 * alive, not that its pages are fresh.  After 0.9 s without a message the observer calls
 * quince_observer_handle_feeder_loss(). */
void quince_observer_record_feeder_contact (QuinceObserver *observer);
/* Sets the read intervals and timeouts of this process.  @reserve: %TRUE: when its feed stops, the process
 * reads the store at least 0.5 s sooner than the others, and can report changes to the leader.  Only the
 * leader and a few other processes may be reserve readers; otherwise all processes would read the store at
 * the same time when the leader cannot reach it. */
void quince_observer_set_reserve_reader (QuinceObserver *observer, gboolean reserve);
/* Returns whether the lease of a key that is removed now may have expired although its owner is alive.  This
 * is the case during an outage of the store and shortly after it, as seen by this process or by the process
 * whose page is being applied. */
gboolean quince_observer_leases_may_have_lapsed (const QuinceObserver *observer, gint64 now_us);
/* Number of prefixes that an observer follows: the operator's keys, the workers' entries and the own keys. */
#define QUINCE_OBSERVER_N_PREFIXES 3
/* Sets @revisions to the store revision up to which each mirror is complete; 0: the mirror is not synced.
 * The order is: operator's keys, workers' entries, own keys. */
void quince_observer_get_revisions (QuinceObserver *observer, guint64 revisions[QUINCE_OBSERVER_N_PREFIXES]);
/* Sets the metrics quince_belief_age_seconds (time since the last answer or page for each prefix; unset
 * before the first one) and quince_zones_evacuated. */
void quince_observer_set_metrics (QuinceObserver *observer);
/* Ends the wait before the first listing of the operator's keys and the own keys, which are few: if they have
 * not been fed, they are listed now.  Of the workers, the first page is listed: in a large deployment it lets
 * a front serve with some of them, in a small one it holds all. */
void quince_observer_list_small_prefixes (QuinceObserver *observer);
/* Ends the wait before the first listing of the workers: if they have not been fed, they are listed now. */
void quince_observer_list_workers (QuinceObserver *observer);
/* Returns whether a listing of the store is in progress. */
gboolean quince_observer_is_listing (QuinceObserver *observer);
/* Returns whether all mirrors are synced and recent enough to feed other processes. */
gboolean quince_observer_is_fresh (QuinceObserver *observer);
/* Returns whether all mirrors are synced. */
gboolean quince_observer_is_synced (QuinceObserver *observer);
/* Returns: (transfer none) (nullable): the entry of the active policy, or %NULL if the policy is not from the
 * store.  @revision: (out): its revision; 0 without an entry */
GBytes *quince_observer_get_policy_entry (QuinceObserver *observer, guint64 *revision);
/* Activates the policy entry @value if @revision is higher than that of the active policy and the entry is
 * valid.
 * Returns: whether the active policy changed */
gboolean quince_observer_apply_policy_entry (QuinceObserver *observer, GBytes *value, guint64 revision);
/* Returns: (nullable) (transfer none): the current configuration; %NULL until a configuration and the policy
 * in the store are known */
QuinceRouteTable *quince_observer_get_routes (QuinceObserver *observer);
/* Returns: (nullable) (transfer none): the service @name; %NULL if there is none or no configuration yet */
const QuinceService *quince_observer_find_service (QuinceObserver *observer, const char *name);
/* Returns the newest announced version of @model, or 0 if there is none. */
guint64 quince_observer_get_version (QuinceObserver *observer, const char *model);

G_END_DECLS
