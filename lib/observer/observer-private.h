/*
 * observer-private.h: state of the observer, shared by observer.c and observer-feed.c.
 */
#pragma once

#include "observer/observer.h"
#include "runtime/timer.h"

#include "operator-state.h"

G_BEGIN_DECLS

struct _QuinceObserver
{
  /* All fields belong to the context that created the observer. */
  QuinceMetaStore *store;
  QuinceBackends *backends;
  const QuinceObserverCodec *codec;
  const QuinceObserverCallbacks *callbacks;
  gpointer user_data;
  QuinceMetaMirror *operator_mirror;
  QuinceMetaMirror *workers_mirror;
  QuinceMetaMirror *own_mirror;
  QuinceMetaMirrorCallbacks worker_callbacks; /* of workers_mirror; .same is from the platform adapter */
  QuinceOperatorState *operator_state;        /* owned */
  gint64 last_resume_us;                      /* monotonic time of the end of the last suspension; 0: never */
  guint workers_read_interval_min_ms;         /* minimum time between two reads of the workers' entries */
  guint bound_margin_ms;                      /* change bound minus QUINCE_OBSERVER_CHANGE_BOUND_MIN_MS */
  QuinceTimer *feeder_timer;                  /* until the feeder times out; NULL: no live feeder */
  gboolean is_reserve_reader;
};

typedef struct
{
  const char *prefix;
  QuinceMetaMirror *mirror;
} QuinceNamedMirror;

/* Lists the mirrors in the order of quince_observer_get_revisions(). */
void quince_observer_list_mirrors (QuinceObserver *observer,
                                   QuinceNamedMirror mirrors[QUINCE_OBSERVER_N_PREFIXES]);
/* Sets how often this process probes a store that does not answer: rarely if another process feeds all its
 * mirrors and it is not a reserve reader. */
void quince_observer_update_probe_interval (QuinceObserver *observer);

G_END_DECLS
