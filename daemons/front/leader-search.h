/*
 * leader-search.h: finds the ledger's leader where the metadata store does not name it.
 *
 * While the known leader is silent, the members of the last known view are asked in turn who leads.  Owns a
 * timer and one link at a time.  Relies on its owner to say when the leader gave a sign of life.
 */
#pragma once

#include "protocol/codec.h"

typedef struct _QuinceLeaderSearch QuinceLeaderSearch;

/* A member named a leader of a newer epoch; @view is valid until the return. */
typedef void (*QuinceLeaderFound) (const QuinceLedgerView *view, gpointer user_data);

QuinceLeaderSearch *quince_leader_search_new (QuinceLeaderFound found, gpointer user_data);
void quince_leader_search_free (QuinceLeaderSearch *search);
/* The members to ask and the last known leader; @view is copied. */
void quince_leader_search_set_view (QuinceLeaderSearch *search, const QuinceLedgerView *view);
/* A message of the leader arrived: no member is asked while it is younger than 1 s.  An accepted connection
 * is no sign of life: the kernel accepts for a frozen process. */
void quince_leader_search_record_contact (QuinceLeaderSearch *search);
/* The leader answered a call, or did not in time.  @leads: %FALSE: with "unavailable", or not at all: it may
 * be cut off from the other members, so they are asked although it is not silent. */
void quince_leader_search_set_leader_available (QuinceLeaderSearch *search, gboolean available);
