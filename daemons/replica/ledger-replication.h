/*
 * ledger-replication.h: replication of the leader's log to the connected backups.
 *
 * Holds the connected backups and the machines that may store records.  The ledger group chooses which
 * backups receive records.  Does nothing while this replica does not lead.  All functions must be called in
 * the main context.
 */
#pragma once

#include "batchlog/batch-log.h"
#include "core/batches/progress-selection.h"
#include "core/group/ledger-group.h"
#include "runtime/link.h"

#include "ledger-backup.h"

typedef struct _QuinceLedgerReplication QuinceLedgerReplication;

/**
 * quince_ledger_replication_new:
 * @log: borrowed, must outlive the replication
 * @group: borrowed, must outlive the replication
 * @several_regions: see QuinceLedgerNodeOptions
 * @quorum: see QuinceLedgerLimits
 */
QuinceLedgerReplication *quince_ledger_replication_new (QuinceBatchLog *log,
                                                        QuinceLedgerGroup *group,
                                                        gboolean several_regions,
                                                        guint quorum);
/* Closes the links of all backups. */
void quince_ledger_replication_free (QuinceLedgerReplication *replication);

/* Starts to lead @epoch, with no backup connected yet. */
void quince_ledger_replication_start_leading (QuinceLedgerReplication *replication, guint64 epoch);
/* Records that the leader has read its log.  With several regions, the leader determines which machines may
 * store records only after this call and quince_ledger_replication_set_allowed_nodes(). */
void quince_ledger_replication_set_recovered (QuinceLedgerReplication *replication);
/* Stops leading and closes the links of all backups.  @forget_allowed_nodes: whether the allowed nodes must
 * be set again in the next term */
void quince_ledger_replication_stop_leading (QuinceLedgerReplication *replication,
                                             gboolean forget_allowed_nodes);
/* See quince_ledger_node_set_allowed_nodes(). */
void quince_ledger_replication_set_allowed_nodes (QuinceLedgerReplication *replication,
                                                  const char *const *nodes);

/* Adds the backup that sent @hello on @link. */
void quince_ledger_replication_add_backup (QuinceLedgerReplication *replication,
                                           QuinceLink *link,
                                           const QuinceLedgerHello *hello);
/* Handles an acknowledgement received on @link.  Returns: whether the commit index may have grown */
gboolean quince_ledger_replication_handle_ack (QuinceLedgerReplication *replication,
                                               QuinceLink *link,
                                               const QuinceLedgerAck *ack);
/* Removes the backup of @link, which closed, if there is one. */
void quince_ledger_replication_remove_backup (QuinceLedgerReplication *replication, QuinceLink *link);

/* Chooses the backups that receive records.  Orders backups on machines that may not store records to remove
 * their logs. */
void quince_ledger_replication_choose_recipients (QuinceLedgerReplication *replication);
/* Sends each chosen backup the records that it does not have.  @heartbeat: whether to choose the backups
 * again first, and to send a message to each backup even if there is no record to send */
void quince_ledger_replication_send (QuinceLedgerReplication *replication, gboolean heartbeat);

/* Returns %TRUE if @replica is connected as a backup. */
gboolean quince_ledger_replication_has_backup (const QuinceLedgerReplication *replication, guint64 replica);
/* See quince_ledger_node_get_successor_serial() and quince_ledger_node_get_successor_link(). */
guint64 quince_ledger_replication_get_successor_serial (const QuinceLedgerReplication *replication);
QuinceLink *quince_ledger_replication_get_successor_link (const QuinceLedgerReplication *replication);
/* Returns: (transfer none) (nullable): the successor, valid until its link closes */
const QuinceLedgerBackup *
quince_ledger_replication_find_successor (const QuinceLedgerReplication *replication);
/* Returns: (transfer none) (nullable): the connected backup @replica, valid until its link closes */
const QuinceLedgerBackup *quince_ledger_replication_find_backup (const QuinceLedgerReplication *replication,
                                                                 guint64 replica);

/* Returns: (transfer none) (nullable): the zone of @replica, which may be this one, or %NULL if not known */
const char *quince_ledger_replication_get_zone (const QuinceLedgerReplication *replication, guint64 replica);
/* Appends the connected members that receive records, except the successor, to @candidates (element-type
 * QuinceProgressBackup), in the order of the view. */
void quince_ledger_replication_list_copy_candidates (const QuinceLedgerReplication *replication,
                                                     GArray *candidates);

/* Records that the backup of @link has offered the progress that it knows. */
void quince_ledger_replication_record_progress_offer (QuinceLedgerReplication *replication, QuinceLink *link);
/* @other_members: (out): number of members of the view other than the leader; @offered_members: (out): those
 * of them that are connected and have offered the progress that they know */
void quince_ledger_replication_count_progress_offers (const QuinceLedgerReplication *replication,
                                                      guint *other_members,
                                                      guint *offered_members);
