/*
 * warmup-desk.h: the ledger's leader gives sends to cold workers, to itself and to the fronts.
 */
#pragma once

#include "runtime/link.h"
#include "observer/observer.h"
#include "forward/warmup-sends.h"

G_BEGIN_DECLS

typedef struct _QuinceWarmupDesk QuinceWarmupDesk;

/* @may_give: whether this process leads, looked at anew: a quorum has followed it lately */
QuinceWarmupDesk *quince_warmup_desk_new (const QuinceWarmupBounds *bounds,
                                          QuinceWorkerTable *workers,
                                          gboolean (*may_give) (gpointer user_data),
                                          gpointer user_data);
void quince_warmup_desk_free (QuinceWarmupDesk *desk);
/* @observer: knows the services; must outlive the desk's sends */
void quince_warmup_desk_set_observer (QuinceWarmupDesk *desk, QuinceObserver *observer);
/* (transfer none) */
QuinceWarmupSends *quince_warmup_desk_get_sends (QuinceWarmupDesk *desk);
/* This process leads from now on. */
void quince_warmup_desk_lead (QuinceWarmupDesk *desk);
/* Returns: whether @message was for it */
gboolean quince_warmup_desk_take (QuinceWarmupDesk *desk, QuinceLink *link, const QuinceMessage *message);
/* Called several times a second. */
void quince_warmup_desk_step (QuinceWarmupDesk *desk);

G_END_DECLS
