/*
 * ledger-follower.h: a backup's link to the leader, and the records that arrive on it.
 *
 * Owns the link.  Relies on the group for who leads and whether its records may be taken, on the storage for
 * the disk: a record is acknowledged once the disk has it, and the promise that goes with it.  All calls
 * belong to the main context.
 */
#pragma once

#include "runtime/link.h"

#include "ledger-storage.h"

typedef struct _QuinceLedgerFollower QuinceLedgerFollower;

/**
 * QuinceLedgerFollowerCallbacks:
 * @leader_connected: the link to the leader is up
 * @other_message: a message of the leader that is not the ledger's; it lives until the return
 * @leader_disconnected: the link broke; not called after quince_ledger_follower_stop()
 */
typedef struct
{
  void (*leader_connected) (QuinceLink *link, gpointer user_data);
  void (*other_message) (QuinceLink *link, const QuinceMessage *message, gpointer user_data);
  void (*leader_disconnected) (gpointer user_data);
} QuinceLedgerFollowerCallbacks;

/**
 * quince_ledger_follower_new:
 * @self: this replica; borrowed, like all others
 * @zone: of this machine
 */
QuinceLedgerFollower *quince_ledger_follower_new (const QuinceLedgerMember *self,
                                                  const char *zone,
                                                  QuinceLedgerStorage *storage,
                                                  QuinceLedgerGroup *group,
                                                  const QuinceLedgerFollowerCallbacks *callbacks,
                                                  gpointer user_data);
void quince_ledger_follower_free (QuinceLedgerFollower *follower);

/* Links to the leader of the view where this replica is a backup, else closes the link; to be called several
 * times a second, and when the role or the view changes. */
void quince_ledger_follower_update_link (QuinceLedgerFollower *follower);
/* Closes the link. */
void quince_ledger_follower_stop (QuinceLedgerFollower *follower);
/* The leader has sent what was not read yet: it is not silent, however long ago its last message was read. */
gboolean quince_ledger_follower_has_input (const QuinceLedgerFollower *follower);
/* The link to the leader, while it is up. (transfer none) (nullable) */
QuinceLink *quince_ledger_follower_get_leader_link (const QuinceLedgerFollower *follower);
