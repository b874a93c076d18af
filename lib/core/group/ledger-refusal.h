/*
 * ledger-refusal.h: why a replica of the batch ledger refuses a call about batches.
 *
 * Pure functions.  Names and statuses are documented in docs/OPERATIONS.md.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

typedef enum
{
  QUINCE_LEDGER_REFUSAL_NONE,                   /* the call is not refused */
  QUINCE_LEDGER_REFUSAL_NOT_LEADER,             /* this replica is not the leader */
  QUINCE_LEDGER_REFUSAL_HANDOVER,               /* another replica may lead: a handover is undecided */
  QUINCE_LEDGER_REFUSAL_NO_LEASE,               /* neither a quorum nor the store confirms this leader */
  QUINCE_LEDGER_REFUSAL_EPOCH_UNCOMMITTED,      /* no quorum has the first record of this leader's epoch */
  QUINCE_LEDGER_REFUSAL_LOG_UNREAD,             /* this leader still reads its log */
  QUINCE_LEDGER_REFUSAL_NO_QUORUM,              /* this leader may answer, but cannot commit records */
  QUINCE_LEDGER_REFUSAL_RECORD_INVALID,         /* the record of the change cannot be appended */
  QUINCE_LEDGER_REFUSAL_SUBMISSION_UNCOMMITTED, /* the submission of the batch is not committed yet */
  QUINCE_LEDGER_REFUSAL_LEAD_ENDED,             /* this replica stopped leading while the call waited */
  QUINCE_LEDGER_REFUSAL_OUTCOME_UNKNOWN,        /* the same, and the next leader may commit the change */
  QUINCE_LEDGER_REFUSAL_BATCH_FORGOTTEN,        /* the batch was deleted while the call waited */
  QUINCE_LEDGER_REFUSAL_RESULT_UNREADABLE,      /* a stored result cannot be decoded */
  QUINCE_LEDGER_REFUSAL_RESIDENCY,              /* a member is outside the regions that the batch allows */
  QUINCE_LEDGER_REFUSAL_TOO_MANY_SAMPLES,       /* the limit of samples without a result is reached */
  QUINCE_LEDGER_REFUSAL_LINK_FULL,              /* the front has not received earlier answers yet */
  QUINCE_LEDGER_REFUSAL_MEMORY,                 /* the leader has no memory for a batch of this size now */
  QUINCE_LEDGER_REFUSAL_COUNT,
} QuinceLedgerRefusal;

/* Returns: (transfer none): the name of @refusal in logs and metrics */
const char *quince_ledger_refusal_get_name (QuinceLedgerRefusal refusal);
/* Returns: the HTTP status of the answer: 429 if this leader is only busy, so that the front does not search
 * for another one; 504 if the outcome is unknown; otherwise 503 */
guint quince_ledger_refusal_get_status (QuinceLedgerRefusal refusal);

G_END_DECLS
