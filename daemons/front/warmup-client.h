/*
 * warmup-client.h: leases of sends to cold workers, from the ledger's leader.
 */
#pragma once

#include "runtime/link.h"
#include "observer/observer.h"
#include "forward/warmup-sends.h"

G_BEGIN_DECLS

typedef struct _QuinceWarmupClient QuinceWarmupClient;

QuinceWarmupClient *quince_warmup_client_new (const QuinceWarmupBounds *bounds);
void quince_warmup_client_free (QuinceWarmupClient *client);
/* @observer: knows the services; must outlive the client's sends */
void quince_warmup_client_set_observer (QuinceWarmupClient *client, QuinceObserver *observer);
/* (transfer none) */
QuinceWarmupSends *quince_warmup_client_get_sends (QuinceWarmupClient *client);
/* The link to the ledger's leader opened, or is gone. */
void quince_warmup_client_linked (QuinceWarmupClient *client, QuinceLink *leader);
void quince_warmup_client_unlinked (QuinceWarmupClient *client);
/* Returns: whether @message was for it */
gboolean quince_warmup_client_take (QuinceWarmupClient *client, const QuinceMessage *message);

G_END_DECLS
