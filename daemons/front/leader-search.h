/*
 * leader-search.h: finds the ledger's leader where the metadata store does not name it.
 */
#pragma once

#include "protocol/codec.h"

typedef struct _QuinceLeaderSearch QuinceLeaderSearch;

/* A member tells who leads; @view lives until the return. */
typedef void (*QuinceLeaderFound) (const QuinceLedgerView *view, gpointer user_data);

QuinceLeaderSearch *quince_leader_search_new (QuinceLeaderFound found, gpointer user_data);
void quince_leader_search_free (QuinceLeaderSearch *search);
/* The members that are asked, and the last leader that is known. */
void quince_leader_search_set_view (QuinceLeaderSearch *search, const QuinceLedgerView *view);
/* The leader was heard: nobody is asked for a while.  That a connection to it is taken says nothing. */
void quince_leader_search_note_contact (QuinceLeaderSearch *search);
/* The leader answered a call; unless @leads it said that it can't now: it may be cut off from the members. */
void quince_leader_search_answered (QuinceLeaderSearch *search, gboolean leads);
