/*
 * ledger-replication.h: at the leader, the backups that are linked, and which of them are sent records.
 *
 * Owns the backups and the machines to which records are confined.  Relies on the group for the choice of
 * backups, on the log for the records.  Idle while this replica does not lead.  All calls belong to the main
 * context.
 */
#pragma once

#include "batchlog/batch-log.h"
#include "core/group/ledger-group.h"
#include "runtime/link.h"

typedef struct _QuinceLedgerReplication QuinceLedgerReplication;

/**
 * quince_ledger_replication_new:
 * @log, @group: borrowed, must outlive the replication
 * @several_regions: see QuinceLedgerNodeOptions
 * @quorum: see QuinceLedgerLimits
 */
QuinceLedgerReplication *quince_ledger_replication_new (QuinceBatchLog *log,
                                                        QuinceLedgerGroup *group,
                                                        gboolean several_regions,
                                                        guint quorum);
/* Closes the links. */
void quince_ledger_replication_free (QuinceLedgerReplication *replication);

/* This replica leads @epoch from now on; no backup is linked. */
void quince_ledger_replication_start_leading (QuinceLedgerReplication *replication, guint64 epoch);
/* The leader has read its log: it is known what may lie where once it is confined too. */
void quince_ledger_replication_set_recovered (QuinceLedgerReplication *replication);
/* This replica leads no more: closes the links.  @forget_allowed_nodes: the next term waits for a new one */
void quince_ledger_replication_stop_leading (QuinceLedgerReplication *replication,
                                             gboolean forget_allowed_nodes);
/* As quince_ledger_node_set_allowed_nodes(). */
void quince_ledger_replication_set_allowed_nodes (QuinceLedgerReplication *replication,
                                                  const char *const *nodes);

/* A backup introduces itself on @link. */
void quince_ledger_replication_add_backup (QuinceLedgerReplication *replication,
                                           QuinceLink *link,
                                           const QuinceLedgerHello *hello);
/* Returns: whether the commit index may have grown */
gboolean quince_ledger_replication_handle_ack (QuinceLedgerReplication *replication,
                                               QuinceLink *link,
                                               const QuinceLedgerAck *ack);
/* The link closed. */
void quince_ledger_replication_remove_backup (QuinceLedgerReplication *replication, QuinceLink *link);

/* Chooses the backups that are sent records, and clears the disks that may hold none. */
void quince_ledger_replication_choose_recipients (QuinceLedgerReplication *replication);
/* Sends each backup what it lacks.  @heartbeat: chooses them anew, and sends also where nothing is lacking */
void quince_ledger_replication_send (QuinceLedgerReplication *replication, gboolean heartbeat);

/* Whether @replica is linked as a backup. */
gboolean quince_ledger_replication_has_backup (const QuinceLedgerReplication *replication, guint64 replica);
/* See quince_ledger_node_get_successor_serial() and the functions that follow it. */
guint64 quince_ledger_replication_get_successor_serial (const QuinceLedgerReplication *replication);
QuinceLink *quince_ledger_replication_get_successor_link (const QuinceLedgerReplication *replication);
const char *quince_ledger_replication_get_successor_name (const QuinceLedgerReplication *replication);
void quince_ledger_replication_send_to_successor (const QuinceLedgerReplication *replication,
                                                  const QuinceMessage *message);
