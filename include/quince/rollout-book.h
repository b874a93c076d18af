/*
 * rollout-book.h: rollouts, samples, steps and request claims (pure).
 *
 * The state that the ledger replicates.  Every replica applies the same
 * records in the same order and so holds the same book; nothing here depends
 * on the local clock: time is the leader's stamp in the record.
 *
 * Rules: first completion of a sample generation wins; a step's batch is
 * frozen by the record of its pull and a repeat gets the same samples, less
 * those that the trainer's version has made too old, which are regenerated;
 * pulling step n+1 or releasing n ends step n, whose samples are then dropped
 * and answered with GONE; a frozen batch is handed over in pages under one
 * batch id; the first holder of a request id keeps it for good, and ids as old
 * as one that was forgotten are refused.
 *
 * Leases are soft state of the leader's own book: not replicated, lost on a
 * change of leader, at worst a sample runs twice and one result is dropped.
 */
#pragma once

#include <quince/codec.h>

G_BEGIN_DECLS

typedef struct _QuinceRolloutBook QuinceRolloutBook;

QuinceRolloutBook *quince_rollout_book_new (void);
void quince_rollout_book_free (QuinceRolloutBook *book);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceRolloutBook, quince_rollout_book_free)

/**
 * quince_rollout_book_apply:
 * @record: committed record
 * @reply: (nullable) (out caller-allocates): status and result for the caller,
 *   zeroed by the callee; release with xdr_free (xdr_QuinceLedgerReply)
 */
void quince_rollout_book_apply (QuinceRolloutBook *book,
                                const QuinceLedgerRecord *record,
                                QuinceLedgerReply *reply);

/**
 * quince_rollout_book_peek:
 * @now_ms: time that a record made now would have
 *
 * Answers without a record where the state alone decides: a repeated submit,
 * a pull of a step that is not whole or has gone, a page of a batch, a
 * completion that would be dropped, a claim of an id that is not free.  The
 * caller must have confirmed that it still leads.
 *
 * Returns: %TRUE when @reply is the answer; %FALSE: append a record
 */
gboolean quince_rollout_book_peek (QuinceRolloutBook *book,
                                   gint64 now_ms,
                                   const QuinceCommand *command,
                                   QuinceLedgerReply *reply);

/* Leases, leader only.  Within a trainer the earliest step first, in it the longest expected sample; each
 * names the least version that its trainer is expected to take when it pulls the step. */
void quince_rollout_book_lease (QuinceRolloutBook *book,
                                gint64 now_ms,
                                const QuinceLeaseSamples *lease,
                                QuinceLedgerReply *reply);
void quince_rollout_book_renew (QuinceRolloutBook *book, gint64 now_ms, const QuinceRenewLeases *renew);
void quince_rollout_book_forget_leases (QuinceRolloutBook *book);

/* Whole state, for snapshots; equal books give equal bytes. */
GBytes *quince_rollout_book_save (const QuinceRolloutBook *book);
QuinceRolloutBook *quince_rollout_book_load (gconstpointer data, gsize length, GError **error);

typedef struct
{
  guint trainers;
  guint64 rollouts;
  guint64 samples_open;     /* not yet complete                            */
  guint64 samples_complete; /* complete, step not yet released             */
  guint64 delivered;        /* samples of released steps                   */
  guint64 duplicates_dropped;
  guint64 regenerated; /* thrown away as too old                      */
  guint64 claims;
} QuinceRolloutCounters;

void quince_rollout_book_get_counters (const QuinceRolloutBook *book, QuinceRolloutCounters *out);

#define QUINCE_ROLLOUT_BOOK_ERROR (quince_rollout_book_error_quark ())
GQuark quince_rollout_book_error_quark (void);
typedef enum
{
  QUINCE_ROLLOUT_BOOK_ERROR_MALFORMED
} QuinceRolloutBookError;

G_END_DECLS
