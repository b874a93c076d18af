/*
 * ledger-membership.h: reads and conditional writes of the ledger's view in the metadata store.
 *
 * The ledger group decides which view to write.  The storage has promises and acknowledgements on disk before
 * a view is written.  All functions must be called in the main context.
 */
#pragma once

#include "meta/meta-store.h"

#include "ledger-storage.h"

typedef struct _QuinceLedgerMembership QuinceLedgerMembership;

/**
 * QuinceLedgerMembershipCallbacks:
 * @changed: a view was read, or the write of a view ended; the role may have changed.  @is_newer: whether a
 *   newer revision of the view was read
 */
typedef struct
{
  void (*changed) (gboolean is_newer, gpointer user_data);
} QuinceLedgerMembershipCallbacks;

/* All objects are borrowed and must outlive the membership. */
QuinceLedgerMembership *quince_ledger_membership_new (QuinceLedgerGroup *group,
                                                      QuinceLedgerStorage *storage,
                                                      QuinceMetaStore *store,
                                                      const QuinceLedgerMembershipCallbacks *callbacks,
                                                      gpointer user_data);
void quince_ledger_membership_free (QuinceLedgerMembership *membership);

/* See quince_ledger_node_set_view(). */
void quince_ledger_membership_set_view (QuinceLedgerMembership *membership, GBytes *value, guint64 revision);
/* Reads the view, unless a read is in flight. */
void quince_ledger_membership_read_view (QuinceLedgerMembership *membership);
/* Reads the view, at most every 300 ms, until the store has answered once, even if it holds no view.  Must be
 * called several times a second. */
void quince_ledger_membership_read_initial_view (QuinceLedgerMembership *membership, gint64 now_us);
/* Reads the view if the last read started more than 300 ms ago. */
void quince_ledger_membership_refresh_view (QuinceLedgerMembership *membership, gint64 now_us);
/* Reads the view if the candidate of this process needs that before it may propose itself as leader.  Must be
 * called several times a second. */
void quince_ledger_membership_read_for_candidate (QuinceLedgerMembership *membership, gint64 now_us);
/* Writes the view that the ledger group proposes, if there is one and the store is not known to be
 * unreachable. */
void quince_ledger_membership_propose (QuinceLedgerMembership *membership);
