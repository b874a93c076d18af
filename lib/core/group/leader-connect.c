/*
 * leader-connect.c: when a backup connects to the leader.
 */
#include "core/group/leader-connect.h"

/* Minimum interval between two attempts in one epoch, us.  Shorter than the tick of the ledger node (150 ms),
 * so that a tick which comes a little early is not skipped, and much shorter than the 1 s after which a
 * backup campaigns. */
#define RECONNECT_INTERVAL_US (100 * 1000)
/* Maximum interval after refused links, us.  With the tick that follows it, 0.65 s at most: shorter than the
 * 1 s after which a backup campaigns. */
#define RECONNECT_INTERVAL_MAX_US (500 * 1000)
/* Number of successive refusals from which on the interval doubles.  With one attempt each tick, the first
 * 0.6 s of an epoch keep the short interval: a winner whose write to the store is not answered leads after
 * 0.3 s. */
#define BACKOFF_REFUSALS 5
/* Doublings after which the interval is at its maximum. */
#define DOUBLINGS_MAX 3

static gint64
get_interval_us (guint refusals)
{
  if (refusals < BACKOFF_REFUSALS)
    return RECONNECT_INTERVAL_US;
  guint doublings = MIN (refusals - BACKOFF_REFUSALS + 1, DOUBLINGS_MAX);
  return MIN (RECONNECT_INTERVAL_US << doublings, RECONNECT_INTERVAL_MAX_US);
}

gboolean
quince_leader_connect_is_due (const QuinceLeaderAttempt *last_attempt, gint64 now_us, guint64 epoch)
{
  return last_attempt->started_us == 0 || last_attempt->epoch != epoch
         || now_us - last_attempt->started_us >= get_interval_us (last_attempt->refusals);
}

void
quince_leader_connect_record_start (QuinceLeaderAttempt *attempt, gint64 now_us, guint64 epoch)
{
  if (attempt->epoch != epoch)
    attempt->refusals = 0;
  attempt->started_us = now_us;
  attempt->epoch = epoch;
}

void
quince_leader_connect_record_end (QuinceLeaderAttempt *attempt, gboolean was_refused)
{
  attempt->refusals = was_refused ? attempt->refusals + 1 : 0;
}
