/*
 * ledger-membership.h: the view of the ledger in the metadata store: read, and changed under a condition.
 *
 * Owns the calls for the view that are on their way.  Relies on the group for the change to propose, on the
 * storage to have notes and promises on the disk before a change is sent.  All calls belong to the main
 * context.
 */
#pragma once

#include "meta/meta-store.h"

#include "ledger-storage.h"

typedef struct _QuinceLedgerMembership QuinceLedgerMembership;

/**
 * QuinceLedgerMembershipCallbacks:
 * @changed: a view was read, or a change of it ended: the role may have changed; @is_newer: its revision is a
 *   newer one than was read before
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

/* As quince_ledger_node_set_view(). */
void quince_ledger_membership_set_view (QuinceLedgerMembership *membership, GBytes *value, guint64 revision);
/* Reads the view, unless it is being read. */
void quince_ledger_membership_read_view (QuinceLedgerMembership *membership);
/* Reads the view until the store has answered once, also that there is none; to be called several times a
 * second. */
void quince_ledger_membership_read_initial_view (QuinceLedgerMembership *membership, gint64 now_us);
/* Reads the view where it was not read lately. */
void quince_ledger_membership_refresh_view (QuinceLedgerMembership *membership, gint64 now_us);
/* Proposes a change of the view where there is one to propose and the store is not known to be away. */
void quince_ledger_membership_propose (QuinceLedgerMembership *membership);
