/*
 * ledger-outage.c: logs long times in which a leader may not answer.
 */
#include "ledger-outage.h"

#include "runtime/log.h"

/* Shortest outage that is logged, us.  Longer than an election and the read of a long log. */
#define LOGGED_OUTAGE_MIN_US (3 * G_USEC_PER_SEC)
/* Interval of the lines of one outage, us. */
#define LOG_INTERVAL_US (5 * G_USEC_PER_SEC)

static gboolean
is_taken_for_leader (const QuinceLedgerGroup *group, guint64 replica)
{
  const QuinceLedgerView *view = quince_ledger_group_get_view (group);
  return view != NULL && view->primary == replica;
}

static void
log_outage (const QuinceLedgerOutage *outage,
            QuinceLedgerGroup *group,
            QuinceLedgerRefusal refusal,
            gint64 now_us)
{
  const QuinceLedgerView *view = quince_ledger_group_get_view (group);
  g_autofree char *indexes = g_strdup_printf (
      "commit_index=%" G_GUINT64_FORMAT " recovery_index=%" G_GUINT64_FORMAT,
      quince_ledger_group_get_commit_index (group), quince_ledger_group_get_recovery_index (group));
  gboolean is_change_outstanding = quince_ledger_group_is_change_outstanding (group);
  quince_log_warning ("ledger_unavailable",
                      "reason=%s since_ms=%" G_GINT64_FORMAT " epoch=%" G_GUINT64_FORMAT
                      " %s members=%u heard=%u change_outstanding=%s",
                      quince_ledger_refusal_get_name (refusal), (now_us - outage->started_us) / 1000,
                      (guint64)view->epoch, indexes, view->members.members_len,
                      quince_ledger_group_count_lease_members (group, now_us),
                      is_change_outstanding ? "true" : "false");
}

static void
end_outage (QuinceLedgerOutage *outage, gint64 now_us)
{
  if (outage->logged_us != 0)
    quince_log_notice ("ledger_available", "after_ms=%" G_GINT64_FORMAT,
                       (now_us - outage->started_us) / 1000);
  *outage = (QuinceLedgerOutage){ 0 };
}

void
quince_ledger_outage_update (QuinceLedgerOutage *outage,
                             QuinceLedgerGroup *group,
                             QuinceLedgerRefusal refusal,
                             guint64 replica,
                             gint64 now_us)
{
  gboolean is_taken = is_taken_for_leader (group, replica);
  if (refusal == QUINCE_LEDGER_REFUSAL_NONE)
    end_outage (outage, now_us);
  else if (!is_taken && now_us - outage->last_taken_us >= LOGGED_OUTAGE_MIN_US)
    *outage = (QuinceLedgerOutage){ 0 };
  if (refusal == QUINCE_LEDGER_REFUSAL_NONE || !is_taken)
    return;
  outage->last_taken_us = now_us;
  if (outage->started_us == 0)
    outage->started_us = now_us;
  gint64 logged_us = outage->logged_us;
  if (now_us - outage->started_us < LOGGED_OUTAGE_MIN_US
      || (logged_us != 0 && now_us - logged_us < LOG_INTERVAL_US))
    return;
  log_outage (outage, group, refusal, now_us);
  outage->logged_us = now_us;
}
