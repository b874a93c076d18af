/*
 * claim-table.c: request ids that may run at most once.
 */
#include "claim-table.h"

#include <quince/request-id.h>
#include <string.h>

/* A bucket's width.  Ids come about in the order of their time, so that an insertion moves little. */
static const guint64 BUCKET_MS = 1000;

struct _QuinceClaimTable
{
  guint most;       /* claims held at one time                               */
  guint length;     /* claims held                                           */
  guint64 floor_ms; /* end of the newest bucket that was forgotten; no bucket lies below */
  GTree *buckets;   /* owned: &number to owned QuinceClaimBucket             */
};

static int
compare_numbers (gconstpointer a, gconstpointer b, gpointer user_data)
{
  guint64 left = *(const guint64 *)a;
  guint64 right = *(const guint64 *)b;

  return (left > right) - (left < right);
}

static void
bucket_free (gpointer data)
{
  QuinceClaimBucket *bucket = data;

  g_array_unref (bucket->claims);
  g_free (bucket);
}

QuinceClaimTable *
quince_claim_table_new (guint most)
{
  QuinceClaimTable *table = g_new0 (QuinceClaimTable, 1);

  table->most = most;
  table->buckets = g_tree_new_full (compare_numbers, NULL, NULL, bucket_free);
  return table;
}

void
quince_claim_table_free (QuinceClaimTable *table)
{
  g_tree_unref (table->buckets);
  g_free (table);
}

/* ---- Buckets ----------------------------------------------------------- */

static guint64
creation_ms (const char *request_id)
{
  return (guint64)quince_request_id_get_time_ms (request_id);
}

static QuinceClaimBucket *
find_bucket (const QuinceClaimTable *table, const char *request_id)
{
  guint64 number = creation_ms (request_id) / BUCKET_MS;

  return g_tree_lookup (table->buckets, &number);
}

static QuinceClaimBucket *
require_bucket (QuinceClaimTable *table, const char *request_id)
{
  QuinceClaimBucket *bucket = find_bucket (table, request_id);

  if (bucket != NULL)
    return bucket;
  bucket = g_new0 (QuinceClaimBucket, 1);
  bucket->number = creation_ms (request_id) / BUCKET_MS;
  /* Not forgotten before its second has passed: the floor never runs ahead of the clock. */
  bucket->expires_ms = (bucket->number + 1) * BUCKET_MS;
  bucket->claims = g_array_new (FALSE, FALSE, sizeof (QuinceClaimState));
  g_tree_insert (table->buckets, &bucket->number, bucket);
  return bucket;
}

/* Index of the first claim that does not stand before @request_id. */
static guint
find_position (const QuinceClaimBucket *bucket, const char *request_id)
{
  guint low = 0;
  guint high = bucket->claims->len;

  while (low < high)
    {
      guint middle = low + (high - low) / 2;
      const QuinceClaimState *claim = &g_array_index (bucket->claims, QuinceClaimState, middle);
      if (memcmp (claim->request_id, request_id, QUINCE_ID_BYTES) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

/* The claim on an id and its position, or %NULL. @bucket: (nullable) */
static const QuinceClaimState *
find_claim (const QuinceClaimBucket *bucket, const char *request_id, guint *position)
{
  const QuinceClaimState *claim;

  if (bucket == NULL)
    return NULL;
  *position = find_position (bucket, request_id);
  if (*position == bucket->claims->len)
    return NULL;
  claim = &g_array_index (bucket->claims, QuinceClaimState, *position);
  return memcmp (claim->request_id, request_id, QUINCE_ID_BYTES) == 0 ? claim : NULL;
}

/* ---- Calls ------------------------------------------------------------- */

void
quince_claim_table_expire (QuinceClaimTable *table, guint64 now_ms)
{
  GTreeNode *node;

  while ((node = g_tree_node_first (table->buckets)) != NULL)
    {
      const QuinceClaimBucket *bucket = g_tree_node_value (node);
      if (bucket->expires_ms > now_ms)
        return;
      table->floor_ms = (bucket->number + 1) * BUCKET_MS;
      table->length -= bucket->claims->len;
      g_tree_remove (table->buckets, &bucket->number);
    }
}

gboolean
quince_claim_table_refuses (const QuinceClaimTable *table, const QuinceClaimRequest *request)
{
  const QuinceClaimState *claim;
  guint position = 0;

  if (creation_ms (request->request_id) < table->floor_ms)
    return TRUE;
  claim = find_claim (find_bucket (table, request->request_id), request->request_id, &position);
  return claim != NULL && claim->holder != request->holder;
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
  QuinceClaimState claim = { .holder = request->holder };
  QuinceClaimBucket *bucket;
  guint position = 0;

  if (quince_claim_table_refuses (table, request))
    return QUINCE_LEDGER_DUPLICATE;
  bucket = find_bucket (table, request->request_id);
  if (find_claim (bucket, request->request_id, &position) == NULL)
    {
      if (table->length >= table->most)
        return QUINCE_LEDGER_BUSY;
      bucket = require_bucket (table, request->request_id);
      memcpy (claim.request_id, request->request_id, QUINCE_ID_BYTES);
      g_array_insert_val (bucket->claims, find_position (bucket, request->request_id), claim);
      table->length++;
    }
  bucket->expires_ms = MAX (bucket->expires_ms, expiry_of (now_ms, request->keep_ms));
  return QUINCE_LEDGER_OK;
}

QuinceLedgerStatus
quince_claim_table_unclaim (QuinceClaimTable *table, const QuinceUnclaimRequest *request)
{
  QuinceClaimBucket *bucket = find_bucket (table, request->request_id);
  guint position = 0;
  const QuinceClaimState *claim = find_claim (bucket, request->request_id, &position);

  if (claim == NULL)
    return QUINCE_LEDGER_OK;
  if (claim->holder != request->holder)
    return QUINCE_LEDGER_DUPLICATE;
  g_array_remove_index (bucket->claims, position);
  table->length--;
  if (bucket->claims->len == 0)
    g_tree_remove (table->buckets, &bucket->number);
  return QUINCE_LEDGER_OK;
}

/* ---- Views and saved states -------------------------------------------- */

guint
quince_claim_table_get_length (const QuinceClaimTable *table)
{
  return table->length;
}

guint64
quince_claim_table_get_floor_ms (const QuinceClaimTable *table)
{
  return table->floor_ms;
}

guint
quince_claim_table_get_buckets (const QuinceClaimTable *table)
{
  return (guint)g_tree_nnodes (table->buckets);
}

void
quince_claim_table_foreach (const QuinceClaimTable *table,
                            void (*visit) (const QuinceClaimBucket *, gpointer),
                            gpointer user_data)
{
  for (GTreeNode *node = g_tree_node_first (table->buckets); node != NULL; node = g_tree_node_next (node))
    visit (g_tree_node_value (node), user_data);
}

void
quince_claim_table_set_floor_ms (QuinceClaimTable *table, guint64 floor_ms)
{
  g_return_if_fail (table->length == 0);
  table->floor_ms = floor_ms;
}

gboolean
quince_claim_table_add_bucket (QuinceClaimTable *table, const QuinceClaimBucketState *state)
{
  guint count = state->claims.claims_len;
  const QuinceClaimState *claims = state->claims.claims_val;
  QuinceClaimBucket *bucket;

  if (count == 0 || count > table->most - table->length || find_bucket (table, claims[0].request_id) != NULL
      || creation_ms (claims[0].request_id) < table->floor_ms)
    return FALSE;
  bucket = require_bucket (table, claims[0].request_id);
  if (state->expires_ms < bucket->expires_ms)
    return FALSE;
  bucket->expires_ms = state->expires_ms;
  g_array_append_vals (bucket->claims, claims, count);
  table->length += count;
  for (guint i = 1; i < count; i++)
    if (creation_ms (claims[i].request_id) / BUCKET_MS != bucket->number
        || memcmp (claims[i - 1].request_id, claims[i].request_id, QUINCE_ID_BYTES) >= 0)
      return FALSE;
  return TRUE;
}
