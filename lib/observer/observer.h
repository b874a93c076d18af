/*
 * observer.h: what a process knows of the deployment, from the metadata store or from a process that feeds
 * it.
 *
 * Owns a mirror of each of three prefixes (the operator's keys, the workers' entries, the product's own
 * keys), the configuration in force and the newest named versions.  Relies on a QuinceMetaStore for calls, on
 * a dialect to decode values, and on the backends, which get workers, zones, policy and events.
 * Configurations and named versions only rise: an older one is never reported.
 */
#pragma once

#include "forward/backends.h"
#include "runtime/settings.h"
#include "protocol/codec.h"
#include "meta/meta-mirror.h"
#include "core/routing/route-table.h"
#include "observer/observer-dialect.h"

G_BEGIN_DECLS

/* The product's own keys. */
#define QUINCE_OWN_PREFIX "quinceroute/"
#define QUINCE_LEDGER_KEY QUINCE_OWN_PREFIX "ledger"
#define QUINCE_FRONTS_PREFIX QUINCE_OWN_PREFIX "fronts/"
#define QUINCE_POLICY_KEY QUINCE_OWN_PREFIX "policy"
#define QUINCE_QUARANTINE_PREFIX QUINCE_OWN_PREFIX "quarantine/"
/* Suspects that a front found while it had no leader, by the front's name. */
#define QUINCE_SUSPECTS_PREFIX QUINCE_OWN_PREFIX "suspects/"
/* The zone of each machine with a replica, by the machine's name; written where there are several regions. */
#define QUINCE_MACHINE_ZONES_PREFIX QUINCE_OWN_PREFIX "places/"
#define QUINCE_EVENTS_PREFIX QUINCE_OWN_PREFIX "events/"

typedef struct _QuinceObserver QuinceObserver;

/**
 * QuinceObserverCallbacks: each is nullable
 * @configuration: a newer configuration is in force; not before the accepted policy is known
 * @version: a newer version of a model was named
 * @draining_nodes: the machines that the operator wants emptied, %NULL-terminated
 * @zones: the set of evacuated zones changed; see quince_backends_get_zones()
 * @own_key: one of the product's own keys changed; @value is %NULL where it was removed
 * @own_synced: all own keys were reported
 * @workers_synced: all workers' entries were reported
 * @read: this process read the store itself: changes for other processes, perhaps none
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

/* Bound that every deployment may rely on, ms: so long after the store took it an operator's change is in
 * force everywhere, and a draining worker gets no new work.  The observer cannot keep a smaller one. */
#define QUINCE_OBSERVER_CHANGE_BOUND_MIN_MS 2000

/**
 * QuinceObserverOptions:
 * @workers_read_interval_min_ms: least time between two reads of the workers' entries
 * @change_bound_ms: this deployment's bound on the same time; a larger one lets a process wait longer for its
 *   feeder before it reads the store.  At least QUINCE_OBSERVER_CHANGE_BOUND_MIN_MS is used
 * @first_read_wait_ms: how long the process waits to be fed before it lists the store; 0: not at all
 */
typedef struct
{
  guint workers_read_interval_min_ms;
  guint change_bound_ms;
  guint first_read_wait_ms;
} QuinceObserverOptions;

/* From the settings of a process: section "store", keys "workers_pace", "change_bound", "drain_bound" and
 * "evacuation_bound". */
void quince_observer_read_options (const QuinceSettings *settings, QuinceObserverOptions *options);
/**
 * quince_observer_new:
 * @store: must outlive the observer
 * @backends: must outlive the observer; the listed workers go there
 * @dialect: decodes the operator's keys and the workers' entries; must outlive the observer
 */
QuinceObserver *quince_observer_new (QuinceMetaStore *store,
                                     QuinceBackends *backends,
                                     const QuinceObserverDialect *dialect,
                                     const QuinceObserverOptions *options,
                                     const QuinceObserverCallbacks *callbacks,
                                     gpointer user_data);
void quince_observer_free (QuinceObserver *observer);
/* Takes a page of @prefix that another process read.  Arguments and result are those of
 * quince_meta_mirror_feed(). */
gboolean quince_observer_feed (QuinceObserver *observer,
                               const char *prefix,
                               const QuinceMetaPage *page,
                               gboolean whole);
/* At the leader, for a reserve reader's report: taken if the leader's own reads are late.
 * Returns: whether it was taken, and so is to be sent to all other processes */
gboolean
quince_observer_apply_report (QuinceObserver *observer, const char *prefix, const QuinceMetaPage *page);
/* This process feeds others from now on: it reads all prefixes from the store, at once. */
void quince_observer_handle_feed_end (QuinceObserver *observer);
/* The feeding process is gone: the own keys, which name the next leader, are read at once.  The other mirrors
 * keep their patience, since the next leader feeds soon. */
void quince_observer_handle_feeder_loss (QuinceObserver *observer);
/* The machine was suspended: all prefixes are read from the store at once. */
void quince_observer_handle_resume (QuinceObserver *observer);
/* Call for each message from the process that feeds this one.  It proves that the feeder runs, not that its
 * pages are fresh.  After 0.9 s without a message the feeder counts as gone:
 * quince_observer_handle_feeder_loss().
 */
void quince_observer_record_feeder_contact (QuinceObserver *observer);
/* @reserve: TRUE makes this process read the store 0.5 s sooner than others when its feed stops, so that it
 * can report to the leader.  Only a few processes may be reserve readers: otherwise all read the store at
 * once when the leader cannot. */
void quince_observer_set_reserve_reader (QuinceObserver *observer, gboolean reserve);
/* A key that is removed now may have lapsed while its owner lives: the store is not reachable, or was not
 * lately, for this process or for the one whose page is being taken. */
gboolean quince_observer_may_have_lapsed (const QuinceObserver *observer, gint64 now_us);
/* Prefixes that an observer follows: those of the operator, the workers and the product. */
#define QUINCE_OBSERVER_N_PREFIXES 3
/* Revision up to which each mirror is complete, in a fixed order; 0: not synced. */
void quince_observer_get_revisions (QuinceObserver *observer, guint64 revisions[QUINCE_OBSERVER_N_PREFIXES]);
/* Sets the metrics quince_belief_age_seconds, the time since the last answer or page of each prefix, and
 * quince_zones_evacuated. */
void quince_observer_set_metrics (QuinceObserver *observer);
/* Lists now what has not been listed yet and is not fed. */
void quince_observer_list_now (QuinceObserver *observer);
/* A list of the store is in progress: what it brings need not be fed. */
gboolean quince_observer_is_listing (QuinceObserver *observer);
/* All mirrors are synced. */
gboolean quince_observer_is_synced (QuinceObserver *observer);
/* Sends a page to another process.  @whole: @page is all there is under @prefix */
typedef void (*QuinceObserverSendFunc) (const char *prefix,
                                        const QuinceMetaPage *page,
                                        gboolean whole,
                                        gpointer user_data);
/* The accepted policy in force; see quince_backends_get_policy_entry(). */
GBytes *quince_observer_get_policy_entry (QuinceObserver *observer, guint64 *revision);
/* Another process has the policy @value in force.  Returns: whether it was newer, and is in force here now */
gboolean quince_observer_apply_policy_entry (QuinceObserver *observer, GBytes *value, guint64 revision);
/* Calls @send with the changes after @revisions; not for a prefix whose mirror is not synced or is stale. */
void quince_observer_send_changes (QuinceObserver *observer,
                                   const guint64 revisions[QUINCE_OBSERVER_N_PREFIXES],
                                   QuinceObserverSendFunc send,
                                   gpointer user_data);
/* (nullable) (transfer none): %NULL until both a configuration and the accepted policy are known. */
QuinceRouteTable *quince_observer_get_routes (QuinceObserver *observer);
/* (nullable) (transfer none): %NULL: no such service, or no configuration yet */
const QuinceService *quince_observer_find_service (QuinceObserver *observer, const char *name);
/* The newest version of @model that was named; 0: none. */
guint64 quince_observer_get_version (QuinceObserver *observer, const char *model);

G_END_DECLS
