/*
 * observer-private.h: the observer's state, for observer.c and observer-feed.c.
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
  const QuinceObserverDialect *dialect;
  const QuinceObserverCallbacks *callbacks;
  gpointer user_data;
  QuinceMetaMirror *operator_mirror;
  QuinceMetaMirror *workers_mirror;
  QuinceMetaMirror *own_mirror;
  QuinceMetaMirrorCallbacks worker_callbacks; /* of workers_mirror; one of them is the dialect's */
  QuinceOperatorState *operator_state;        /* owned */
  gint64 last_resume_us;                      /* monotonic: end of the last suspension; 0: never */
  guint workers_read_interval_min_ms;         /* least time between two reads of the workers */
  guint bound_margin_ms;                      /* what the bound on changes allows beyond the least one */
  QuinceTimer *feeder_timer;  /* restarted by each message of the feeder, which counts as gone when it ends */
  gboolean is_reserve_reader; /* this process is a reserve reader */
  gboolean page_may_have_lapsed; /* QuinceMetaPage.may_have_lapsed of the page that is being taken */
};

typedef struct
{
  const char *prefix;
  QuinceMetaMirror *mirror;
} QuinceNamedMirror;

/* In the order of quince_observer_get_revisions(). */
void quince_observer_list_mirrors (QuinceObserver *observer,
                                   QuinceNamedMirror mirrors[QUINCE_OBSERVER_N_PREFIXES]);
/* Sets how often this process probes a store that does not answer: seldom while another one feeds it. */
void quince_observer_update_probe_interval (QuinceObserver *observer);

G_END_DECLS
