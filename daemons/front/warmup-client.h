/*
 * warmup-client.h: a front's send leases for cold workers, requested from the ledger's leader.
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
/* @observer: (transfer none): looks up services; must outlive the last send */
void quince_warmup_client_set_observer (QuinceWarmupClient *client, QuinceObserver *observer);
/* Returns: (transfer none): the limiter, for quince_backends_set_warmup() */
QuinceWarmupSends *quince_warmup_client_get_sends (QuinceWarmupClient *client);
/* The link to the ledger's leader opened, or closed: leases that were requested on it will not come. */
void quince_warmup_client_linked (QuinceWarmupClient *client, QuinceLink *leader);
void quince_warmup_client_unlinked (QuinceWarmupClient *client);
/* Returns: whether @message is a grant, and was taken */
gboolean quince_warmup_client_handle_message (QuinceWarmupClient *client, const QuinceMessage *message);

G_END_DECLS
