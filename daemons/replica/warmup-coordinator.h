/*
 * warmup-coordinator.h: the ledger's leader gives sends to cold workers, to itself and to the fronts.
 */
#pragma once

#include "runtime/link.h"
#include "observer/observer.h"
#include "forward/warmup-sends.h"

G_BEGIN_DECLS

typedef struct _QuinceWarmupCoordinator QuinceWarmupCoordinator;

/* @may_give: whether this process leads, looked at anew: a quorum has followed it lately */
QuinceWarmupCoordinator *quince_warmup_coordinator_new (const QuinceWarmupBounds *bounds,
                                                        QuinceWorkerTable *workers,
                                                        gboolean (*may_give) (gpointer user_data),
                                                        gpointer user_data);
void quince_warmup_coordinator_free (QuinceWarmupCoordinator *coordinator);
/* @observer: knows the services; must outlive the coordinator's sends */
void quince_warmup_coordinator_set_observer (QuinceWarmupCoordinator *coordinator, QuinceObserver *observer);
/* (transfer none) */
QuinceWarmupSends *quince_warmup_coordinator_get_sends (QuinceWarmupCoordinator *coordinator);
/* This process leads from now on. */
void quince_warmup_coordinator_lead (QuinceWarmupCoordinator *coordinator);
/* Returns: whether @message was for it */
gboolean quince_warmup_coordinator_take (QuinceWarmupCoordinator *coordinator,
                                         QuinceLink *link,
                                         const QuinceMessage *message);
/* Called several times a second. */
void quince_warmup_coordinator_step (QuinceWarmupCoordinator *coordinator);

G_END_DECLS
