/*
 * leader-connect.c: when a backup connects to the leader.
 */
#include "core/group/leader-connect.h"

/* Minimum interval between two attempts in one epoch, us.  Shorter than the tick of the ledger node (150 ms),
 * so that a tick which comes a little early is not skipped, and much shorter than the 1 s after which a
 * backup campaigns. */
#define RECONNECT_INTERVAL_US (100 * 1000)

gboolean
quince_leader_connect_is_due (const QuinceLeaderAttempt *last_attempt, gint64 now_us, guint64 epoch)
{
  return last_attempt->started_us == 0 || last_attempt->epoch != epoch
         || now_us - last_attempt->started_us >= RECONNECT_INTERVAL_US;
}
