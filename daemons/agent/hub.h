/*
 * hub.h: what the workers share: node links, ledger calls, retry budget and ids.
 *
 * Runs on the main context and talks with the workers by messages only.
 */
#pragma once

#include <quince/task.h>

#include "agent.h"
#include "hub-message.h"

QuinceHub *quince_hub_new (QuinceAgent *agent);
/* The workers must have ended. */
void quince_hub_free (QuinceHub *hub);
/* Where workers post QuinceHubMessage. */
QuinceMailbox *quince_hub_get_mailbox (const QuinceHub *hub);
/* Workers are numbered in the order of these calls, from 0. */
void quince_hub_add_worker (QuinceHub *hub, QuinceMailbox *worker);
guint quince_hub_get_worker_count (const QuinceHub *hub);
/* Whether no request of a caller is in progress. */
gboolean quince_hub_is_idle (const QuinceHub *hub);
/* @message: (transfer full) */
void quince_hub_post (QuinceHub *hub, guint worker, QuinceWorkerMessage *message);
