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
void quince_ledger_replication_begin (QuinceLedgerReplication *replication, guint64 epoch);
/* The leader has read its log: it is known what may lie where once it is confined too. */
void quince_ledger_replication_set_recovered (QuinceLedgerReplication *replication);
/* This replica leads no more: closes the links.  @forget_confinement: the next term waits for a new one */
void quince_ledger_replication_end (QuinceLedgerReplication *replication, gboolean forget_confinement);
/* As quince_ledger_node_confine(). */
void quince_ledger_replication_confine (QuinceLedgerReplication *replication, const char *const *nodes);

/* A backup introduces itself on @link. */
void quince_ledger_replication_join (QuinceLedgerReplication *replication,
                                     QuinceLink *link,
                                     const QuinceLedgerHello *hello);
/* Returns: whether the commit index may have grown */
gboolean quince_ledger_replication_take_ack (QuinceLedgerReplication *replication,
                                             QuinceLink *link,
                                             const QuinceLedgerAck *ack);
/* The link closed. */
void quince_ledger_replication_drop (QuinceLedgerReplication *replication, QuinceLink *link);

/* Chooses the backups that are sent records, and clears the disks that may hold none. */
void quince_ledger_replication_choose (QuinceLedgerReplication *replication);
/* Sends each backup what it lacks.  @heartbeat: chooses them anew, and sends also where nothing is lacking */
void quince_ledger_replication_send (QuinceLedgerReplication *replication, gboolean heartbeat);

/* Whether @replica is linked as a backup. */
gboolean quince_ledger_replication_is_linked (const QuinceLedgerReplication *replication, guint64 replica);
/* See quince_ledger_node_get_successor() and the functions that follow it. */
guint64 quince_ledger_replication_get_successor (const QuinceLedgerReplication *replication);
QuinceLink *quince_ledger_replication_get_successor_link (const QuinceLedgerReplication *replication);
const char *quince_ledger_replication_get_successor_name (const QuinceLedgerReplication *replication);
void quince_ledger_replication_tell_successor (const QuinceLedgerReplication *replication,
                                               const QuinceMessage *message);
