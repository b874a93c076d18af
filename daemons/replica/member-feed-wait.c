/*
 * member-feed-wait.c: waits for the leader to feed the workers to a member of the ledger.
 */
#include "member-feed-wait.h"

#include "core/decisions/store-reads.h"
#include "runtime/clock.h"

struct _QuinceMemberFeedWait
{
  /* All fields belong to the main context. */
  QuinceObserver *observer; /* not owned */
  char *node;               /* name of this machine */
  gint64 member_since_us;   /* monotonic: when a view first named this replica as a member; 0: none does */
};

QuinceMemberFeedWait *
quince_member_feed_wait_new (QuinceObserver *observer, const char *node)
{
  QuinceMemberFeedWait *wait = g_new0 (QuinceMemberFeedWait, 1);
  wait->observer = observer;
  wait->node = g_strdup (node);
  return wait;
}

void
quince_member_feed_wait_free (QuinceMemberFeedWait *wait)
{
  if (wait == NULL)
    return;
  g_free (wait->node);
  g_free (wait);
}

void
quince_member_feed_wait_check (QuinceMemberFeedWait *wait, QuinceLedgerNode *ledger)
{
  const QuinceLedgerView *view = quince_ledger_node_get_view (ledger);
  if (!quince_ledger_view_has_node (view, wait->node))
    {
      wait->member_since_us = 0;
      return;
    }
  gint64 now_us = quince_now_us ();
  if (wait->member_since_us == 0)
    wait->member_since_us = now_us;
  gboolean is_primary = view->primary == quince_ledger_node_get_replica_id (ledger);
  gboolean is_connected = quince_ledger_node_get_leader_link (ledger) != NULL;
  gint64 wait_us = (gint64)quince_store_reads_get_member_wait_ms (is_primary, is_connected) * 1000;
  if (now_us - wait->member_since_us >= wait_us)
    quince_observer_list_workers (wait->observer);
}
