/*
 * observer-private.h: state shared by the files of lib/observer.
 */
#pragma once

#include "observer/observer.h"

G_BEGIN_DECLS

/* Each read without news is a call that is paid for; more time between two leaves less of the bound. */
#define QUINCE_OBSERVER_READ_EVERY_MS 500

struct _QuinceObserver
{
  /* All fields belong to the context that created the observer. */
  QuinceMetaStore *store;
  QuinceBackends *backends;
  const QuinceObserverCallbacks *callbacks;
  gpointer user_data;
  QuinceMetaMirror *operator_mirror;
  QuinceMetaMirror *workers_mirror;
  QuinceMetaMirror *own_mirror;
  QuinceRouteTable *routes;
  GHashTable *versions;  /* model to guint64 */
  GPtrArray *leaving;    /* node names, owned */
  gboolean knows_policy; /* the own keys were read once: an accepted policy, if there is one, is in force */
  gint64 resumed_us;     /* the machine was suspended until then; 0: never */
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
/* An item of the store cannot be read. */
void quince_observer_log_bad_item (const char *key, const GError *error);
/* How often the store is looked for while it does not answer depends on who else looks. */
void quince_observer_set_relaxed (QuinceObserver *observer);

/* ---- observer-operator.c ------------------------------------------------ */

/* Tells the owner of the configuration.  Not before the own keys were read: nothing is decided by the policy
 * of the settings after another one was accepted. */
void quince_observer_tell_configuration (QuinceObserver *observer);
/* Takes one of the operator's keys; @data: the observer. */
void quince_observer_take_operator_item (const QuinceMetaItem *item, gpointer data);

G_END_DECLS
