/*
 * claim-table.h: request ids that may run at most once.
 *
 * The first holder of an id keeps it for good: a claim is remembered for its
 * keeping time at least, and when it is forgotten the table refuses every id
 * created up to then that it does not know.  Nobody's clock or keeping time
 * can make an id free again.  Time is that of the ledger's records.
 *
 * Claims lie in buckets of the second in which their ids were created, in the
 * order of ids, and are forgotten bucket by bucket, the oldest first.
 */
#pragma once

#include <quince/codec.h>

#include "generated/rollout_state.h"

G_BEGIN_DECLS

typedef struct _QuinceClaimTable QuinceClaimTable;

/* Claims on ids that were created in the same second. */
typedef struct
{
  guint64 number;     /* creation time of the ids, in seconds                 */
  guint64 expires_ms; /* greatest end of a keeping time, and of the second    */
  GArray *claims;     /* owned; QuinceClaimState in the order of ids; never empty */
} QuinceClaimBucket;

QuinceClaimTable *quince_claim_table_new (guint most);
void quince_claim_table_free (QuinceClaimTable *table);

/* Forgets the buckets that have expired at @now_ms. */
void quince_claim_table_expire (QuinceClaimTable *table, guint64 now_ms);
/* OK; DUPLICATE: another holder has it, or may have had it; BUSY: the table is full.  A repeat by the holder
 * extends its time. */
QuinceLedgerStatus
quince_claim_table_claim (QuinceClaimTable *table, guint64 now_ms, const QuinceClaimRequest *request);
/* OK: nobody holds it now; DUPLICATE: another holder has it. */
QuinceLedgerStatus quince_claim_table_unclaim (QuinceClaimTable *table, const QuinceUnclaimRequest *request);
/* Whether the claim is DUPLICATE now and whenever it comes again. */
gboolean quince_claim_table_refuses (const QuinceClaimTable *table, const QuinceClaimRequest *request);

guint quince_claim_table_get_length (const QuinceClaimTable *table);
/* Ids created before this time that the table does not know are refused. */
guint64 quince_claim_table_get_floor_ms (const QuinceClaimTable *table);

/* For saved states. */
guint quince_claim_table_get_buckets (const QuinceClaimTable *table);
/* Calls @visit for each bucket, oldest first. */
void quince_claim_table_foreach (const QuinceClaimTable *table,
                                 void (*visit) (const QuinceClaimBucket *, gpointer),
                                 gpointer user_data);
/* Only while the table is empty. */
void quince_claim_table_set_floor_ms (QuinceClaimTable *table, guint64 floor_ms);
/* FALSE: not a bucket that this table could hold beside those it has. */
gboolean quince_claim_table_add_bucket (QuinceClaimTable *table, const QuinceClaimBucketState *state);

G_END_DECLS
