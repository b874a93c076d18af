/*
 * call-refusals.c: answers, counts and logs refused calls about batches.
 */
#include "call-refusals.h"

#include "runtime/clock.h"
#include "runtime/log.h"
#include "runtime/metrics.h"

#include "batch-answers.h"

/* Minimum interval between two lines about the same reason, us.  Fronts repeat refused calls several times a
 * second. */
#define LOG_INTERVAL_US G_USEC_PER_SEC

/* Refusals for one reason. */
typedef struct
{
  gint64 logged_us;     /* when the last line was logged; 0: never */
  guint unlogged_count; /* refusals since that line */
} ReasonLog;

struct _QuinceCallRefusals
{
  const QuinceLedgerNode *ledger; /* borrowed */
  ReasonLog logs[QUINCE_LEDGER_REFUSAL_COUNT];
};

QuinceCallRefusals *
quince_call_refusals_new (void)
{
  return g_new0 (QuinceCallRefusals, 1);
}

void
quince_call_refusals_free (QuinceCallRefusals *refusals)
{
  g_free (refusals);
}

void
quince_call_refusals_set_ledger (QuinceCallRefusals *refusals, const QuinceLedgerNode *ledger)
{
  refusals->ledger = ledger;
}

static void
log_refusal (QuinceCallRefusals *refusals, QuinceLedgerRefusal refusal, const char *batch)
{
  ReasonLog *reason_log = &refusals->logs[refusal];
  gint64 now_us = quince_now_us ();
  reason_log->unlogged_count++;
  if (reason_log->logged_us != 0 && now_us - reason_log->logged_us < LOG_INTERVAL_US)
    return;
  g_autofree char *quoted_batch = quince_log_quote (batch != NULL ? batch : "-");
  quince_log_warning ("call_refused",
                      "reason=%s status=%u batch=%s refused=%u epoch=%" G_GUINT64_FORMAT
                      " commit_index=%" G_GUINT64_FORMAT " last_index=%" G_GUINT64_FORMAT,
                      quince_ledger_refusal_get_name (refusal), quince_ledger_refusal_get_status (refusal),
                      quoted_batch, reason_log->unlogged_count,
                      quince_ledger_node_get_epoch (refusals->ledger),
                      quince_ledger_node_get_commit_index (refusals->ledger),
                      quince_ledger_node_get_last_index (refusals->ledger));
  reason_log->logged_us = now_us;
  reason_log->unlogged_count = 0;
}

void
quince_call_refusals_answer (QuinceCallRefusals *refusals,
                             QuinceLink *link,
                             guint64 id,
                             QuinceLedgerRefusal refusal,
                             const char *batch)
{
  g_autofree char *labels = g_strdup_printf ("reason=\"%s\"", quince_ledger_refusal_get_name (refusal));
  quince_metric_add ("quince_replica_calls_refused_total", labels, 1);
  log_refusal (refusals, refusal, batch);
  quince_batch_answer_refusal (link, id, refusal);
}
