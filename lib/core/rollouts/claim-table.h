/*
 * claim-table.h: request ids that may run at most once.
 *
 * The first holder of an id keeps it until its time has passed; nobody else
 * gets it before.  Time is that of the ledger's records.
 */
#pragma once

#include <quince/codec.h>

G_BEGIN_DECLS

typedef struct _QuinceClaimTable QuinceClaimTable;

typedef struct
{
  QuinceRequestId request_id;
  guint64 holder;
  guint64 expires_ms;
  GSequenceIter *position; /* in the order of expiry                          */
} QuinceClaim;

QuinceClaimTable *quince_claim_table_new (guint most);
void quince_claim_table_free (QuinceClaimTable *table);

/* Forgets what has expired at @now_ms. */
void quince_claim_table_expire (QuinceClaimTable *table, guint64 now_ms);
/* OK; DUPLICATE: another holder has it; BUSY: the table is full. A repeat by the holder extends its time. */
QuinceLedgerStatus
quince_claim_table_claim (QuinceClaimTable *table, guint64 now_ms, const QuinceClaimRequest *request);
/* OK: nobody holds it now; DUPLICATE: another holder has it. */
QuinceLedgerStatus quince_claim_table_unclaim (QuinceClaimTable *table, const QuinceUnclaimRequest *request);
/* Claim on an id, %NULL when there is none. */
const QuinceClaim *quince_claim_table_find (const QuinceClaimTable *table, const QuinceRequestId request_id);

/* For saved states. FALSE: the id is there already, or the table is full. */
gboolean quince_claim_table_add (QuinceClaimTable *table,
                                 const QuinceRequestId request_id,
                                 guint64 holder,
                                 guint64 expires_ms);
guint quince_claim_table_get_length (const QuinceClaimTable *table);
/* Calls @visit for each claim, ordered by expiry and id. */
void quince_claim_table_foreach (const QuinceClaimTable *table,
                                 void (*visit) (const QuinceClaim *, gpointer),
                                 gpointer user_data);

G_END_DECLS
