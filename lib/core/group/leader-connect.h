/*
 * leader-connect.h: when a backup connects to the leader.
 *
 * Pure functions, used by daemons/replica/ledger-follower.c, which is called several times a second and for
 * each change of the view.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/* The last attempt to connect to the leader at one address.  @started_us: monotonic, us; 0: none yet.
 * @epoch: epoch of the view at that time.  @refusals: successive refused links in that epoch */
typedef struct
{
  gint64 started_us;
  guint64 epoch;
  guint refusals;
} QuinceLeaderAttempt;

/* Returns whether a backup without a link to the leader of @epoch connects now: at once if the epoch changed
 * since its last attempt, since a replica that has just been elected may have refused that one.  In the same
 * epoch 0.1 s after the last attempt, and from the fifth successive refusal on after 0.2 s to 0.5 s. */
gboolean quince_leader_connect_is_due (const QuinceLeaderAttempt *last_attempt, gint64 now_us, guint64 epoch);

/* Records that an attempt starts.  Refusals of an earlier epoch no longer count. */
void quince_leader_connect_record_start (QuinceLeaderAttempt *attempt, gint64 now_us, guint64 epoch);

/* Records that the link of the last attempt ended.  @was_refused: whether the other end accepted the link and
 * closed it without having led; %FALSE also if it could not be reached: it may be restarting, and a restarted
 * leader needs the address in the hello message of this backup */
void quince_leader_connect_record_end (QuinceLeaderAttempt *attempt, gboolean was_refused);

G_END_DECLS
