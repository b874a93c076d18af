/*
 * warmup-coordinator.h: grants send leases for cold workers to the leader itself and to the fronts.
 *
 * Only the leader grants leases, so that the warmup limit holds across all processes.  The coordinator owns
 * the limiter of sends to cold workers (forward/warmup-sends.h).
 */
#pragma once

#include "runtime/link.h"
#include "observer/observer.h"
#include "forward/warmup-sends.h"

G_BEGIN_DECLS

typedef struct _QuinceWarmupCoordinator QuinceWarmupCoordinator;

/* @workers: (transfer none): must outlive the coordinator
 * @may_grant: returns whether this process may grant leases now, i.e. it leads and a quorum followed it
 * recently; called for each grant */
QuinceWarmupCoordinator *quince_warmup_coordinator_new (const QuinceWarmupBounds *bounds,
                                                        QuinceWorkerTable *workers,
                                                        gboolean (*may_grant) (gpointer user_data),
                                                        gpointer user_data);
void quince_warmup_coordinator_free (QuinceWarmupCoordinator *coordinator);
/* @observer: (transfer none): used to look up services; must outlive the last send */
void quince_warmup_coordinator_set_observer (QuinceWarmupCoordinator *coordinator, QuinceObserver *observer);
/* Returns (transfer none): the limiter, for quince_backends_set_warmup() */
QuinceWarmupSends *quince_warmup_coordinator_get_sends (QuinceWarmupCoordinator *coordinator);
/* Starts a term of this process as leader.  Leases of the former leader must expire before it grants any. */
void quince_warmup_coordinator_start_leading (QuinceWarmupCoordinator *coordinator);
/* Returns whether @message is a lease request; the request is answered on @link. */
gboolean quince_warmup_coordinator_handle_message (QuinceWarmupCoordinator *coordinator,
                                                   QuinceLink *link,
                                                   const QuinceMessage *message);
/* Removes expired leases; to be called several times a second. */
void quince_warmup_coordinator_step (QuinceWarmupCoordinator *coordinator);

G_END_DECLS
