/*
 * ledger-refusal.c: names and HTTP statuses of refusals.
 */
#include "core/group/ledger-refusal.h"

static const char *const refusal_names[QUINCE_LEDGER_REFUSAL_COUNT] = {
  [QUINCE_LEDGER_REFUSAL_NONE] = "none",
  [QUINCE_LEDGER_REFUSAL_NOT_LEADER] = "not_leader",
  [QUINCE_LEDGER_REFUSAL_HANDOVER] = "handover",
  [QUINCE_LEDGER_REFUSAL_NO_LEASE] = "no_lease",
  [QUINCE_LEDGER_REFUSAL_EPOCH_UNCOMMITTED] = "epoch_uncommitted",
  [QUINCE_LEDGER_REFUSAL_LOG_UNREAD] = "log_unread",
  [QUINCE_LEDGER_REFUSAL_NO_QUORUM] = "no_quorum",
  [QUINCE_LEDGER_REFUSAL_RECORD_INVALID] = "record_invalid",
  [QUINCE_LEDGER_REFUSAL_SUBMISSION_UNCOMMITTED] = "submission_uncommitted",
  [QUINCE_LEDGER_REFUSAL_LEAD_ENDED] = "lead_ended",
  [QUINCE_LEDGER_REFUSAL_OUTCOME_UNKNOWN] = "outcome_unknown",
  [QUINCE_LEDGER_REFUSAL_BATCH_FORGOTTEN] = "batch_forgotten",
  [QUINCE_LEDGER_REFUSAL_RESULT_UNREADABLE] = "result_unreadable",
  [QUINCE_LEDGER_REFUSAL_RESIDENCY] = "residency",
  [QUINCE_LEDGER_REFUSAL_TOO_MANY_SAMPLES] = "too_many_samples",
  [QUINCE_LEDGER_REFUSAL_LINK_FULL] = "link_full",
  [QUINCE_LEDGER_REFUSAL_MEMORY] = "memory",
};

const char *
quince_ledger_refusal_get_name (QuinceLedgerRefusal refusal)
{
  return refusal_names[refusal];
}

guint
quince_ledger_refusal_get_status (QuinceLedgerRefusal refusal)
{
  switch (refusal)
    {
    case QUINCE_LEDGER_REFUSAL_TOO_MANY_SAMPLES:
    case QUINCE_LEDGER_REFUSAL_LINK_FULL:
    case QUINCE_LEDGER_REFUSAL_MEMORY:
      return 429;
    case QUINCE_LEDGER_REFUSAL_OUTCOME_UNKNOWN:
      return 504;
    default:
      return 503;
    }
}
