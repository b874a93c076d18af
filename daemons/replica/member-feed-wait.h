/*
 * member-feed-wait.h: waits for the leader to feed the workers to a member of the ledger.
 *
 * Any member may lead next, and a leader needs the workers.  A member that is not fed in time lists them
 * itself; other replicas never do.  Ends without effect once the workers were fed or listed.
 */
#pragma once

#include "observer/observer.h"

#include "ledger-node.h"

G_BEGIN_DECLS

typedef struct _QuinceMemberFeedWait QuinceMemberFeedWait;

/**
 * quince_member_feed_wait_new:
 * @observer: lists the workers; must outlive the wait
 * @node: name of this machine
 *
 * Returns: (transfer full): the wait
 */
QuinceMemberFeedWait *quince_member_feed_wait_new (QuinceObserver *observer, const char *node);
void quince_member_feed_wait_free (QuinceMemberFeedWait *wait); /* (nullable) */
/* Lists the workers if this replica is a member and its wait is over.  Has to be called after each change of
 * the view and periodically. */
void quince_member_feed_wait_check (QuinceMemberFeedWait *wait, QuinceLedgerNode *ledger);

G_END_DECLS
