/*
 * observer.h: what a process believes of the deployment, as the metadata store tells it.
 *
 * Configurations and named versions only rise: an older one is never told.  Workers go into the backends.
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
/* What a front met of requests that end workers while it reached no leader, by its name. */
#define QUINCE_SUSPECTS_PREFIX QUINCE_OWN_PREFIX "suspects/"
/* The zone of each machine with a replica, by its name, where there are several regions. */
#define QUINCE_MACHINE_ZONES_PREFIX QUINCE_OWN_PREFIX "places/"
#define QUINCE_EVENTS_PREFIX QUINCE_OWN_PREFIX "events/"

typedef struct _QuinceObserver QuinceObserver;

/* Each is nullable. */
typedef struct
{
  void (*configuration) (QuinceRouteTable *table, gpointer user_data);
  void (*version) (const char *model, guint64 version, gpointer user_data);
  /* Nodes to be emptied, %NULL-terminated. */
  void (*leaving) (const char *const *nodes, gpointer user_data);
  /* Which zones are evacuated has changed; see quince_backends_get_zones(). */
  void (*zones) (gpointer user_data);
  /* @value is %NULL where the key is gone. */
  void (*own_key) (const char *key, GBytes *value, guint64 revision, gpointer user_data);
  /* All own keys have been told. */
  void (*own_synced) (gpointer user_data);
  void (*workers_synced) (gpointer user_data);
  /* News from the store itself, to be passed on with the prefix of its keys. */
  void (*read) (const char *prefix, const QuinceMetaPage *page, gpointer user_data);
} QuinceObserverCallbacks;

/* An operator's change is in force, and a leaving worker is left alone, this long after the store took it,
 * ms: the least bound that the observer can keep. */
#define QUINCE_OBSERVER_CHANGE_BOUND_MIN_MS 2000

/**
 * QuinceObserverOptions:
 * @workers_pace_ms: least time between two looks at the workers
 * @change_bound_ms: the bound of this deployment on the time above; the more it allows, the longer a process
 *   waits for its feeder before it reads the store by itself.  Less than
 *   QUINCE_OBSERVER_CHANGE_BOUND_MIN_MS counts as that
 */
typedef struct
{
  guint workers_pace_ms;
  guint change_bound_ms;
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
/* Takes what another process read of @prefix; see quince_meta_mirror_feed(), also for what is returned. */
gboolean quince_observer_feed (QuinceObserver *observer,
                               const char *prefix,
                               const QuinceMetaPage *page,
                               gboolean whole);
/* The same at the ledger's leader, for a page that a replica read: it is taken where the leader's own reads
 * lag.  Returns: whether it was taken, and so is to be told to all others */
gboolean quince_observer_lead_feed (QuinceObserver *observer, const char *prefix, const QuinceMetaPage *page);
/* This process feeds others from now on: it reads all prefixes by itself, at once. */
void quince_observer_feed_ended (QuinceObserver *observer);
/* Whoever fed this process is gone: the own keys, which name the next one, are read at once.  What was told
 * of the other prefixes counts for as long as the bound on changes allows, since the next one feeds soon. */
void quince_observer_feeder_lost (QuinceObserver *observer);
/* The machine was suspended: all prefixes are read from the store at once. */
void quince_observer_resumed (QuinceObserver *observer);
/* Call for each message from the process that feeds this one.  It proves that the feeder runs, not that its
 * pages are fresh.  After 0.9 s without a message the feeder counts as gone: quince_observer_feeder_lost().
 */
void quince_observer_feeder_alive (QuinceObserver *observer);
/* @reserve: TRUE makes this process read the store 0.5 s sooner than others when its feed stops, so that it
 * can report to the leader.  Only a few processes may be reserve readers: otherwise all read the store at
 * once when the leader cannot. */
void quince_observer_set_reserve_reader (QuinceObserver *observer, gboolean reserve);
/* Keys that go may have lapsed though their owners live: the store is, or was lately, not to be reached, for
 * this process or for whoever tells it what it is just taking in. */
gboolean quince_observer_may_have_lapsed (const QuinceObserver *observer, gint64 now_us);
/* Prefixes that an observer follows. */
#define QUINCE_OBSERVER_PREFIXES 3
/* What it has of each prefix, in its own order; 0: not all of any moment. */
void quince_observer_get_revisions (QuinceObserver *observer, guint64 revisions[QUINCE_OBSERVER_PREFIXES]);
/* Sets the metric quince_belief_age_seconds of each prefix: since when the store was not heard about it. */
void quince_observer_set_metrics (QuinceObserver *observer);
/* All prefixes are known. */
gboolean quince_observer_is_synced (QuinceObserver *observer);
/* @whole: @page is all there is under @prefix */
typedef void (*QuinceObserverTell) (const char *prefix,
                                    const QuinceMetaPage *page,
                                    gboolean whole,
                                    gpointer user_data);
/* Tells what one lacks that has @revisions; nothing of a prefix that is not known here, or about which the
 * store was not heard lately. */
void quince_observer_tell_since (QuinceObserver *observer,
                                 const guint64 revisions[QUINCE_OBSERVER_PREFIXES],
                                 QuinceObserverTell tell,
                                 gpointer user_data);
/* NULL: no configuration is known yet, or not yet which policy was accepted. */
QuinceRouteTable *quince_observer_get_routes (QuinceObserver *observer);
/* Returns: (nullable) (transfer none): NULL: no such service, or no policy is known */
const QuinceService *quince_observer_find_service (QuinceObserver *observer, const char *name);
/* The newest version of @model that was named; 0: none. */
guint64 quince_observer_get_version (QuinceObserver *observer, const char *model);

G_END_DECLS
