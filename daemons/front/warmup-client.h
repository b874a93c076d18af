/*
 * warmup-client.h: requests leases for sends to cold workers from the ledger's leader.
 *
 * Owns the limiter of sends to cold workers (forward/warmup-sends.h), a reference to the link and a timer.
 */
#pragma once

#include "runtime/link.h"
#include "observer/observer.h"
#include "forward/warmup-sends.h"

G_BEGIN_DECLS

typedef struct _QuinceWarmupClient QuinceWarmupClient;

QuinceWarmupClient *quince_warmup_client_new (const QuinceWarmupBounds *bounds);
void quince_warmup_client_free (QuinceWarmupClient *client);
/* Sets the observer that looks up services.  @observer: (transfer none): must outlive the last send */
void quince_warmup_client_set_observer (QuinceWarmupClient *client, QuinceObserver *observer);
/* Returns: (transfer none): the limiter, for quince_backends_set_warmup() */
QuinceWarmupSends *quince_warmup_client_get_sends (QuinceWarmupClient *client);
/* Handles a new link to the leader: drops the lease requests that are in flight on the former one. */
void quince_warmup_client_linked (QuinceWarmupClient *client, QuinceLink *leader);
/* Handles the loss of the link: drops the lease requests that are in flight on it. */
void quince_warmup_client_unlinked (QuinceWarmupClient *client);
/* Returns: %TRUE if @message is a grant and was handled */
gboolean quince_warmup_client_handle_message (QuinceWarmupClient *client, const QuinceMessage *message);

G_END_DECLS
