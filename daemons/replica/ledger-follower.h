/*
 * ledger-follower.h: a backup's link to the leader, and the records received on it.
 *
 * The ledger group decides which leader to follow and whether its records may be accepted.  A record is
 * acknowledged once the record and the promise to its leader are on disk.  All functions must be called in
 * the main context.
 */
#pragma once

#include "runtime/link.h"

#include "ledger-storage.h"

typedef struct _QuinceLedgerFollower QuinceLedgerFollower;

/**
 * QuinceLedgerFollowerCallbacks:
 * @leader_connected: the link to the leader is up
 * @other_message: a message from the leader other than LEDGER_APPEND; valid until the callback returns
 * @leader_disconnected: the link broke or could not be established; not called by
 *   quince_ledger_follower_stop()
 */
typedef struct
{
  void (*leader_connected) (QuinceLink *link, gpointer user_data);
  void (*other_message) (QuinceLink *link, const QuinceMessage *message, gpointer user_data);
  void (*leader_disconnected) (gpointer user_data);
} QuinceLedgerFollowerCallbacks;

/**
 * quince_ledger_follower_new:
 * @self: this replica
 * @zone: zone of this machine
 *
 * All arguments are borrowed and must outlive the follower.
 */
QuinceLedgerFollower *quince_ledger_follower_new (const QuinceLedgerMember *self,
                                                  const char *zone,
                                                  QuinceLedgerStorage *storage,
                                                  QuinceLedgerGroup *group,
                                                  const QuinceLedgerFollowerCallbacks *callbacks,
                                                  gpointer user_data);
void quince_ledger_follower_free (QuinceLedgerFollower *follower);

/* Connects to the leader of the view if this replica is a backup, and closes the link otherwise.  Must be
 * called several times a second, and when the role or the view changes. */
void quince_ledger_follower_update_link (QuinceLedgerFollower *follower);
/* Closes the link to the leader, if there is one. */
void quince_ledger_follower_stop (QuinceLedgerFollower *follower);
/* Returns %TRUE if bytes from the leader wait to be read: the leader is alive, even if its last processed
 * message is older than the leader timeout. */
gboolean quince_ledger_follower_has_input (const QuinceLedgerFollower *follower);
/* Returns: (transfer none) (nullable): the link to the leader, or %NULL if it is not up */
QuinceLink *quince_ledger_follower_get_leader_link (const QuinceLedgerFollower *follower);
