/*
 * observer-private.h: state shared by the files of lib/observer.
 */
#pragma once

#include "observer/observer.h"

#include "operator-state.h"

G_BEGIN_DECLS

/* Each read without news is a call that is paid for; more time between two leaves less of the bound. */
#define QUINCE_OBSERVER_READ_EVERY_MS 500

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
  QuinceMetaMirrorCallbacks worker_callbacks;
  QuinceOperatorState *operator_state; /* owned */
  gint64 resumed_us;                   /* the machine was suspended until then; 0: never */
  guint workers_pace_ms;
  guint slack_ms;        /* more than the time between two reads that what was told is trusted */
  GSource *feeder_timer; /* restarted by each message of the feeder; at its end the feeder counts as gone */
  gboolean reserve;      /* reads for others where their leader cannot */
  gboolean page_may_have_lapsed; /* while a page is taken in: QuinceMetaPage.may_have_lapsed */
};

typedef struct
{
  const char *prefix;
  QuinceMetaMirror *mirror;
} QuinceNamedMirror;

/* In the order of quince_observer_get_revisions(). */
void quince_observer_list_mirrors (QuinceObserver *observer,
                                   QuinceNamedMirror mirrors[QUINCE_OBSERVER_PREFIXES]);
/* How often the store is looked for while it does not answer depends on who else looks. */
void quince_observer_set_relaxed (QuinceObserver *observer);

G_END_DECLS
