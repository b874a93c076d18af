/*
 * ledger.h: the sample ledger of one node, a task with its disk.
 *
 * Joins the pure parts (consensus, rollout book) with durable storage
 * (SQLite, synchronous) on a thread of its own.  Calls and callbacks cross by
 * mailbox; callbacks run on the context that created the ledger.
 */
#pragma once

#include <quince/codec.h>
#include <quince/consensus.h>
#include <quince/rollout-book.h>

G_BEGIN_DECLS

#define QUINCE_LEDGER_ERROR (quince_ledger_error_quark ())
GQuark quince_ledger_error_quark (void);

typedef enum
{
  QUINCE_LEDGER_ERROR_OPEN,    /* the data folder cannot be used            */
  QUINCE_LEDGER_ERROR_CORRUPT, /* its contents do not pass their checks     */
} QuinceLedgerError;

typedef struct
{
  QuinceConsensusRole role;
  guint64 replica_id;
  guint64 epoch;
  guint64 leader_id;
  char leader_address[QUINCE_MAX_NAME + 1];
  guint64 commit_index;
  gboolean bootstrapped; /* part of a ledger, or waits for one        */
  guint n_voters;
  QuinceRolloutCounters counters;
} QuinceLedgerState;

/**
 * QuinceLedgerCallbacks:
 * @send: hand @message to the node at @address, best effort
 * @reply: (transfer full): answer of a call
 * @state: something in the state changed; also each second
 */
typedef struct
{
  void (*send) (const char *address, const QuinceReplication *message, gpointer user_data);
  void (*reply) (guint64 client, QuinceLedgerReply *reply, gpointer user_data);
  void (*state) (const QuinceLedgerState *state, gpointer user_data);
} QuinceLedgerCallbacks;

typedef struct _QuinceLedger QuinceLedger;

/**
 * quince_ledger_open:
 * @folder: data folder of this node, made when absent
 * @self: node, zone and address; replica_id is read from or made in @folder
 */
QuinceLedger *quince_ledger_open (const char *folder,
                                  const QuinceReplica *self,
                                  const QuinceConsensusLimits *limits,
                                  const QuinceLedgerCallbacks *callbacks,
                                  gpointer user_data,
                                  GError **error);
guint64 quince_ledger_get_replica_id (const QuinceLedger *ledger);

/* First voters, as agreed by compare-and-swap on the key-value service. Harmless when repeated. */
void quince_ledger_bootstrap (QuinceLedger *ledger, const QuinceReplicaSet *voters);
/* Asks the node at @address (leader or not) to be taken in as a replica.  Repeat until bootstrapped. */
void quince_ledger_join (QuinceLedger *ledger, const char *address);
void quince_ledger_receive (QuinceLedger *ledger, QuinceReplication *message /* transfer full */);
/* @client comes back with the reply.  Every call is answered, within @timeout_ms. */
void quince_ledger_call (QuinceLedger *ledger,
                         guint64 client,
                         QuinceLedgerCall *call /* transfer full */,
                         guint timeout_ms);
/* Hands leadership on, then stops the task and closes the disk.  Blocks, at most about a second. */
void quince_ledger_close (QuinceLedger *ledger);

G_END_DECLS
