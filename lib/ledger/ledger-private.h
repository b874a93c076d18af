/*
 * ledger-private.h: state that the files of the ledger share.
 *
 * ledger.c: life cycle, threads and mailboxes; ledger-calls.c: calls and their
 * answers; ledger-effects.c: disk, state machine and sends; ledger-store.c:
 * the file itself.
 */
#pragma once

#include <quince/ledger.h>
#include <quince/task.h>

#include "ledger-store.h"

struct _QuinceLedger
{
  /* Constant after open; any thread. */
  QuinceReplica self;
  QuinceLedgerCallbacks callbacks;
  gpointer user_data;
  GMainContext *context; /* of the creator, where callbacks run             */
  QuinceTask *task;
  QuinceMailbox *inbox;  /* handled on the ledger's thread                  */
  QuinceMailbox *outbox; /* handled on the creator's context                */
  gint handed_over;      /* atomic: the ledger may be stopped               */

  /* The ledger's thread. */
  QuinceLedgerStore *store;
  QuinceConsensus *consensus;
  GPtrArray *effects; /* not carried out yet                                */
  GSource *timer;
  gint64 next_state_us;
  gint64 next_expiry_us;
  gboolean closing;
  gboolean failed; /* the disk refused: this replica has stopped            */

  /* State machine; the ledger's thread. */
  QuinceRolloutBook *book;
  guint64 applied_index;
  guint64 applied_epoch;
  QuinceReplicaSet *applied_voters;
  guint64 snapshot_index; /* of the snapshot on disk                        */
  guint64 snapshot_bytes; /* size of that snapshot                          */
  guint64 record_bytes;   /* of the records applied since                   */
  gint64 last_record_ms;  /* leader_time_ms of the newest record            */

  /* Calls; the ledger's thread. */
  GHashTable *proposals; /* entry index → QuincePendingCall                 */
  GQueue reads;          /* QuincePendingCall, in order of their rounds     */
};

/* ---- ledger.c ------------------------------------------------------- */

/* (transfer full): @message, @reply */
void quince_ledger_post_send (QuinceLedger *ledger, const char *address, QuinceReplication *message);
void quince_ledger_post_reply (QuinceLedger *ledger, guint64 client, QuinceLedgerReply *reply);
void quince_ledger_post_state (QuinceLedger *ledger);
/* Wall clock that never runs behind the newest record. */
gint64 quince_ledger_time_ms (const QuinceLedger *ledger);

/* ---- ledger-calls.c ------------------------------------------------- */

void quince_ledger_calls_init (QuinceLedger *ledger);
/* Answers what still waits. */
void quince_ledger_calls_clear (QuinceLedger *ledger);
/* (transfer full): @call */
void
quince_ledger_calls_begin (QuinceLedger *ledger, guint64 client, QuinceLedgerCall *call, guint timeout_ms);
/* Read round @round is confirmed. */
void quince_ledger_calls_confirmed (QuinceLedger *ledger, guint64 round);
/* @entry is applied; @reply (transfer full) is the book's answer, NULL when the record is malformed. */
void quince_ledger_calls_applied (QuinceLedger *ledger, const QuinceEntry *entry, QuinceLedgerReply *reply);
void quince_ledger_calls_role_changed (QuinceLedger *ledger, QuinceConsensusRole role, guint64 epoch);
void quince_ledger_calls_expire (QuinceLedger *ledger, gint64 now_us);

/* ---- ledger-effects.c ----------------------------------------------- */

/* Snapshot bytes: the time of the newest record, then the book. */
GBytes *quince_ledger_snapshot_save (const QuinceLedger *ledger);
gboolean quince_ledger_snapshot_load (QuinceLedger *ledger, gconstpointer data, gsize length, GError **error);
/* Whether to save the book after @records of @record_bytes since a snapshot of @snapshot_bytes. */
gboolean quince_ledger_snapshot_is_due (guint64 records, guint64 record_bytes, guint64 snapshot_bytes);
/* Flushes the consensus and carries out its effects until none is left. */
void quince_ledger_settle (QuinceLedger *ledger);
/* On the ledger's thread: the one that closes it need not wait any more. */
void quince_ledger_set_handed_over (QuinceLedger *ledger);
