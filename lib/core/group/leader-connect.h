/*
 * leader-connect.h: when a backup connects to the leader.
 *
 * A pure function, used by daemons/replica/ledger-follower.c, which is called several times a second and for
 * each change of the view.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/* The last attempt to connect to the leader at one address.  @started_us: monotonic, us; 0: none yet.
 * @epoch: epoch of the view at that time */
typedef struct
{
  gint64 started_us;
  guint64 epoch;
} QuinceLeaderAttempt;

/* Returns whether a backup without a link to the leader of @epoch connects now: 0.1 s after its last attempt,
 * or at once if the epoch changed since.  A replica that has just been elected may have refused the last
 * attempt, since it did not lead then. */
gboolean quince_leader_connect_is_due (const QuinceLeaderAttempt *last_attempt, gint64 now_us, guint64 epoch);

G_END_DECLS
