/*
 * front.h: a front: takes callers' requests and brings them to workers, or to the ledger's primary.
 */
#pragma once

#include "forward/backends.h"
#include "http1/http1.h"
#include "meta/meta-presence.h"
#include "runtime/link.h"
#include "core/routing/machine-zones.h"
#include "observer/observer.h"
#include "runtime/settings.h"
#include "runtime/suspension.h"
#include "http1/text-server.h"

#include "directory.h"
#include "ledger-caller.h"
#include "quarantine-client.h"
#include "warmup-client.h"
#include "usage-reporter.h"

typedef struct _QuinceFront QuinceFront;

struct _QuinceFront
{
  /* All fields belong to the main context. */
  char *name;
  char *zone;
  QuinceMetaStore *store;
  QuinceBackends *backends;
  QuinceObserver *observer;
  QuinceMetaPresence *presence;
  QuinceDirectory *directory;
  QuinceMachineZones *zones; /* of replicas */
  QuinceLedgerCaller *ledger;
  QuinceUsageReporter *usage;
  QuinceQuarantineClient *quarantine;
  QuinceWarmupClient *warmup;
  QuinceLink *unasked; /* to the leader, not asked for news yet; NULL: none */
  GSource *ask_timer;
  QuinceHttpAcceptor *callers_acceptor;
  QuinceHttpAcceptor *ready_acceptor;
  QuinceHttpAcceptor *directory_acceptor;
  QuinceTextServer *metrics; /* NULL: none */
  GHashTable *connections;   /* QuinceCallerConnection, owned by themselves */
  GHashTable *split_turns;   /* route name to double: place in the turns of its parts */
  guint in_progress;         /* requests that callers wait for */
  gint64 grace_us;
  gint64 stop_us;       /* when the planned stop began; 0: running */
  gboolean ignores_new; /* a stopping front, at its end: no connection is begun */
  GSource *stop_timer;
  QuinceSuspensionWatch *suspension;
  guint directory_keep_s;
};

gpointer quince_front_start (const QuinceSettings *settings, GError **error);
char *quince_front_ready_line (gpointer self);
void quince_front_reload (gpointer self, const QuinceSettings *settings);
void quince_front_stop (gpointer self);
void quince_front_free (gpointer self);

/* The service for the next request on @route; the parts of a split take turns by their weights. */
const char *quince_front_next_service (QuinceFront *front, const QuinceRoute *route);
gboolean quince_front_is_stopping (const QuinceFront *front);
/* One request less is in progress. */
void quince_front_request_ended (QuinceFront *front);
