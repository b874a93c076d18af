/*
 * claim-table.c: request ids that may run at most once.
 */
#include "claim-table.h"

#include <quince/request-id.h>
#include <string.h>

struct _QuinceClaimTable
{
  guint most;        /* claims held at one time                              */
  GHashTable *by_id; /* request id, part of the claim, to owned QuinceClaim  */
  GSequence *expiry; /* of QuinceClaim, not owned, earliest first            */
};

static int
compare_claims (gconstpointer a, gconstpointer b, gpointer user_data)
{
  const QuinceClaim *left = a;
  const QuinceClaim *right = b;

  if (left->expires_ms != right->expires_ms)
    return left->expires_ms < right->expires_ms ? -1 : 1;
  return memcmp (left->request_id, right->request_id, QUINCE_ID_BYTES);
}

QuinceClaimTable *
quince_claim_table_new (guint most)
{
  QuinceClaimTable *table = g_new0 (QuinceClaimTable, 1);

  table->most = most;
  table->by_id = g_hash_table_new_full (quince_request_id_hash, quince_request_id_equal, NULL, g_free);
  table->expiry = g_sequence_new (NULL);
  return table;
}

void
quince_claim_table_free (QuinceClaimTable *table)
{
  g_sequence_free (table->expiry);
  g_hash_table_unref (table->by_id);
  g_free (table);
}

static void
remove_claim (QuinceClaimTable *table, QuinceClaim *claim)
{
  g_sequence_remove (claim->position);
  g_hash_table_remove (table->by_id, claim->request_id);
}

void
quince_claim_table_expire (QuinceClaimTable *table, guint64 now_ms)
{
  while (!g_sequence_is_empty (table->expiry))
    {
      QuinceClaim *claim = g_sequence_get (g_sequence_get_begin_iter (table->expiry));
      if (claim->expires_ms > now_ms)
        return;
      remove_claim (table, claim);
    }
}

gboolean
quince_claim_table_add (QuinceClaimTable *table,
                        const QuinceRequestId request_id,
                        guint64 holder,
                        guint64 expires_ms)
{
  QuinceClaim *claim;

  if (g_hash_table_size (table->by_id) >= table->most || g_hash_table_contains (table->by_id, request_id))
    return FALSE;
  claim = g_new0 (QuinceClaim, 1);
  memcpy (claim->request_id, request_id, QUINCE_ID_BYTES);
  claim->holder = holder;
  claim->expires_ms = expires_ms;
  claim->position = g_sequence_insert_sorted (table->expiry, claim, compare_claims, NULL);
  g_hash_table_insert (table->by_id, claim->request_id, claim);
  return TRUE;
}

/* End of the keeping time; a clock at the end of its range never wraps. */
static guint64
expiry_of (guint64 now_ms, guint keep_ms)
{
  return now_ms > G_MAXUINT64 - keep_ms ? G_MAXUINT64 : now_ms + keep_ms;
}

QuinceLedgerStatus
quince_claim_table_claim (QuinceClaimTable *table, guint64 now_ms, const QuinceClaimRequest *request)
{
  guint64 expires_ms = expiry_of (now_ms, request->keep_ms);
  QuinceClaim *claim = g_hash_table_lookup (table->by_id, request->request_id);

  if (claim == NULL)
    return quince_claim_table_add (table, request->request_id, request->holder, expires_ms)
               ? QUINCE_LEDGER_OK
               : QUINCE_LEDGER_BUSY;
  if (claim->holder != request->holder)
    return QUINCE_LEDGER_DUPLICATE;
  claim->expires_ms = MAX (claim->expires_ms, expires_ms);
  g_sequence_sort_changed (claim->position, compare_claims, NULL);
  return QUINCE_LEDGER_OK;
}

QuinceLedgerStatus
quince_claim_table_unclaim (QuinceClaimTable *table, const QuinceUnclaimRequest *request)
{
  QuinceClaim *claim = g_hash_table_lookup (table->by_id, request->request_id);

  if (claim == NULL)
    return QUINCE_LEDGER_OK;
  if (claim->holder != request->holder)
    return QUINCE_LEDGER_DUPLICATE;
  remove_claim (table, claim);
  return QUINCE_LEDGER_OK;
}

const QuinceClaim *
quince_claim_table_find (const QuinceClaimTable *table, const QuinceRequestId request_id)
{
  return g_hash_table_lookup (table->by_id, request_id);
}

guint
quince_claim_table_get_length (const QuinceClaimTable *table)
{
  return g_hash_table_size (table->by_id);
}

void
quince_claim_table_foreach (const QuinceClaimTable *table,
                            void (*visit) (const QuinceClaim *, gpointer),
                            gpointer user_data)
{
  GSequenceIter *iter = g_sequence_get_begin_iter (table->expiry);

  for (; !g_sequence_iter_is_end (iter); iter = g_sequence_iter_next (iter))
    visit (g_sequence_get (iter), user_data);
}
