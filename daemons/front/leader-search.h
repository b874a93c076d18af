/*
 * leader-search.h: finds the ledger's leader without the metadata store.
 *
 * While the known leader does not respond, the search queries the members of the last known view in turn for
 * the current leader.  It owns a timer and at most one link.  Its owner reports contact with the leader and
 * the results of calls to it.
 */
#pragma once

#include "protocol/codec.h"

typedef struct _QuinceLeaderSearch QuinceLeaderSearch;

/* Called when a member reports a leader with a newer epoch.  @view: valid until the callback returns */
typedef void (*QuinceLeaderFound) (const QuinceLedgerView *view, gpointer user_data);

QuinceLeaderSearch *quince_leader_search_new (QuinceLeaderFound leader_found, gpointer user_data);
void quince_leader_search_free (QuinceLeaderSearch *search);
/* Sets the members to query and the epoch of the known leader (both copied from @view), and records contact
 * with it. */
void quince_leader_search_set_view (QuinceLeaderSearch *search, const QuinceLedgerView *view);
/* Records that a message from the leader arrived.  No member is queried for 1 s after it, unless the leader
 * is marked as unavailable.  Do not call it for a connection that opened: the kernel also accepts connections
 * for a stopped process. */
void quince_leader_search_record_contact (QuinceLeaderSearch *search);
/* Records the result of a call to the leader.  @available: %FALSE if it replied with status 503 or did not
 * reply in time.  Such a leader may be partitioned from the other members, so they are queried even while its
 * messages arrive. */
void quince_leader_search_set_leader_available (QuinceLeaderSearch *search, gboolean available);
