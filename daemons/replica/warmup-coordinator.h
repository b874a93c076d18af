/*
 * warmup-coordinator.h: the leader's grants of send leases for cold workers, to itself and to the fronts.
 *
 * One process grants them all, so that the warmup limit holds for all processes together.  Owns the limiter
 * of sends to cold workers (forward/warmup-sends.h).
 */
#pragma once

#include "runtime/link.h"
#include "observer/observer.h"
#include "forward/warmup-sends.h"

G_BEGIN_DECLS

typedef struct _QuinceWarmupCoordinator QuinceWarmupCoordinator;

/* @workers: (transfer none): must outlive the coordinator
 * @may_grant: whether this process may grant now: it leads and a quorum has followed it lately; called for
 * each grant */
QuinceWarmupCoordinator *quince_warmup_coordinator_new (const QuinceWarmupBounds *bounds,
                                                        QuinceWorkerTable *workers,
                                                        gboolean (*may_grant) (gpointer user_data),
                                                        gpointer user_data);
void quince_warmup_coordinator_free (QuinceWarmupCoordinator *coordinator);
/* @observer: (transfer none): looks up services; must outlive the last send */
void quince_warmup_coordinator_set_observer (QuinceWarmupCoordinator *coordinator, QuinceObserver *observer);
/* Returns: (transfer none): the limiter, for quince_backends_set_warmup() */
QuinceWarmupSends *quince_warmup_coordinator_get_sends (QuinceWarmupCoordinator *coordinator);
/* This process leads from now on, and grants nothing until the leases of the former leader have run out. */
void quince_warmup_coordinator_start_leading (QuinceWarmupCoordinator *coordinator);
/* Returns: whether @message asks for sends, and was answered on @link */
gboolean quince_warmup_coordinator_handle_message (QuinceWarmupCoordinator *coordinator,
                                                   QuinceLink *link,
                                                   const QuinceMessage *message);
/* Removes expired leases; to be called several times a second. */
void quince_warmup_coordinator_step (QuinceWarmupCoordinator *coordinator);

G_END_DECLS
