/*
 * order-records.c: appends order records and decides which workers may be ordered.
 */
#include "order-records.h"

#include "core/group/order-permits.h"
#include "runtime/clock.h"
#include "runtime/log.h"
#include "runtime/metrics.h"
#include "runtime/timer.h"

/* Minimum and maximum number of obsolete order records that one FORGET record lists.  FORGET records stay in
 * the log, so each lists many; the maximum bounds the one that a new leader appends first. */
#define FORGET_RECORDS_MIN 64
#define FORGET_RECORDS_MAX 1024

struct _QuinceOrderRecords
{
  /* All fields belong to the main context. */
  QuinceLedgerNode *ledger; /* borrowed */
  gboolean enabled;
  gboolean leads;
  gboolean has_appended; /* a record of this epoch was appended */
  QuinceOrderPermits *permits;
  GHashTable *requested;     /* worker ids, owned: for the next record */
  QuinceTimer *append_timer; /* appends the next record; NULL: no request */
  void (*committed) (gpointer user_data);
  gpointer user_data;
};

QuinceOrderRecords *
quince_order_records_new (QuinceLedgerNode *ledger, gboolean enabled)
{
  QuinceOrderRecords *records = g_new0 (QuinceOrderRecords, 1);
  records->ledger = ledger;
  records->enabled = enabled;
  records->permits = quince_order_permits_new ();
  records->requested = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return records;
}

void
quince_order_records_free (QuinceOrderRecords *records)
{
  if (records == NULL)
    return;
  quince_order_records_stop_leading (records);
  quince_order_permits_free (records->permits);
  g_hash_table_unref (records->requested);
  g_free (records);
}

/* ---- Workers that may be ordered ------------------------------------------- */

static QuinceOrderHistory *
get_history (const QuinceOrderRecords *records)
{
  return quince_ledger_node_get_order_history (records->ledger);
}

gboolean
quince_order_records_may_order (const QuinceOrderRecords *records)
{
  if (!records->enabled)
    return quince_ledger_node_may_order (records->ledger);
  return quince_ledger_node_has_order_lease (records->ledger)
         && (quince_order_history_is_complete (get_history (records))
             || quince_ledger_node_waited_order_pause (records->ledger));
}

gboolean
quince_order_records_may_order_worker (const QuinceOrderRecords *records, const char *worker)
{
  if (!quince_order_records_may_order (records))
    return FALSE;
  return !records->enabled || quince_ledger_node_may_order (records->ledger)
         || quince_order_history_may_order (get_history (records), quince_now_us (), worker);
}

/* ---- Appending -------------------------------------------------------------- */

static void
log_first_record (const QuinceOrderRecords *records, gint64 now_us)
{
  gint64 longest_us = 0;
  guint n_blocked = quince_order_history_count_blocked (get_history (records), now_us, &longest_us);
  gboolean waited = quince_ledger_node_may_order (records->ledger);
  quince_log_notice ("orders_allowed",
                     "epoch=%" G_GUINT64_FORMAT " known=%s blocked=%u longest_ms=%" G_GINT64_FORMAT,
                     quince_ledger_node_get_epoch (records->ledger),
                     quince_order_history_is_complete (get_history (records)) ? "true" : "false",
                     waited ? 0 : n_blocked, waited ? 0 : longest_us / 1000);
}

/* Appends a record that names the requested workers, perhaps none.  If that is not possible now, their loads
 * request one again at their next poll. */
static void
append_record (QuinceOrderRecords *records)
{
  /* Read before the append, so that no backup can receive the record earlier. */
  gint64 now = quince_now_us ();
  quince_timer_clear (&records->append_timer);
  g_autofree char **workers = (char **)g_hash_table_get_keys_as_array (records->requested, NULL);
  guint n_workers = g_hash_table_size (records->requested);
  QuinceBatchRecord record = { .kind = QUINCE_BATCH_RECORD_ORDERS };
  record.QuinceBatchRecord_u.orders.workers.workers_val = workers;
  record.QuinceBatchRecord_u.orders.workers.workers_len = n_workers;
  gboolean may_append
      = quince_order_records_may_order (records) && !quince_order_permits_is_stalled (records->permits, now);
  guint64 index = may_append ? quince_ledger_node_append (records->ledger, &record) : 0;
  if (index != 0)
    {
      quince_order_permits_add (records->permits, now, index, (const char *const *)workers, n_workers);
      quince_order_history_add_own (get_history (records), now, index);
      quince_metric_add ("quince_replica_order_records_total", "", 1);
      if (!records->has_appended)
        log_first_record (records, now);
      records->has_appended = TRUE;
    }
  g_hash_table_remove_all (records->requested);
}

static gboolean
handle_append_timer (gpointer data)
{
  append_record (data);
  return G_SOURCE_REMOVE;
}

void
quince_order_records_request (QuinceOrderRecords *records, const char *worker)
{
  if (!records->enabled || !records->leads
      || quince_order_permits_has_record (records->permits, quince_now_us (), worker))
    return;
  g_hash_table_add (records->requested, g_strdup (worker));
  if (records->append_timer == NULL)
    records->append_timer = quince_timer_add (0, handle_append_timer, records);
}

gboolean
quince_order_records_get_permit (const QuinceOrderRecords *records, const char *worker, gint64 *send_by_us)
{
  *send_by_us = records->enabled
                    ? quince_order_permits_get_send_by_us (records->permits, quince_now_us (), worker)
                    : 0;
  return !records->enabled || *send_by_us != 0;
}

void
quince_order_records_apply_record (QuinceOrderRecords *records, guint64 index, QuinceBatchRecord *record)
{
  quince_batch_record_free (record);
  if (!records->leads)
    return; /* the log is being read */
  quince_order_permits_commit (records->permits, index);
  records->committed (records->user_data);
}

/* ---- Forgetting -------------------------------------------------------------- */

static void
append_forget_record (QuinceOrderRecords *records)
{
  g_autoptr (GArray) indexes = quince_order_history_take_finished (get_history (records), quince_now_us (),
                                                                   FORGET_RECORDS_MIN, FORGET_RECORDS_MAX);
  if (indexes->len == 0)
    return;
  QuinceBatchRecord record = { .kind = QUINCE_BATCH_RECORD_FORGET };
  QuinceBatchForget *forget = &record.QuinceBatchRecord_u.forget;
  forget->batch = (char *)""; /* the record belongs to no batch */
  forget->indexes.indexes_val = (u_quad_t *)indexes->data;
  forget->indexes.indexes_len = indexes->len;
  quince_ledger_node_append (records->ledger, &record);
}

/* ---- Leadership ---------------------------------------------------------------- */

void
quince_order_records_step (QuinceOrderRecords *records)
{
  if (!records->enabled || !records->leads || !quince_order_records_may_order (records))
    return;
  if (!records->has_appended)
    append_record (records);
  append_forget_record (records);
}

void
quince_order_records_start_leading (QuinceOrderRecords *records,
                                    void (*committed) (gpointer user_data),
                                    gpointer user_data)
{
  records->leads = TRUE;
  records->has_appended = FALSE;
  records->committed = committed;
  records->user_data = user_data;
  quince_order_permits_clear (records->permits);
  quince_order_records_step (records);
}

void
quince_order_records_stop_leading (QuinceOrderRecords *records)
{
  records->leads = FALSE;
  quince_timer_clear (&records->append_timer);
  quince_order_permits_clear (records->permits);
  g_hash_table_remove_all (records->requested);
}

void
quince_order_records_set_metrics (const QuinceOrderRecords *records)
{
  gboolean blocks = records->enabled && records->leads && !quince_ledger_node_may_order (records->ledger);
  guint n_blocked
      = blocks ? quince_order_history_count_blocked (get_history (records), quince_now_us (), NULL) : 0;
  quince_metric_set ("quince_replica_order_blocked_workers", "", n_blocked);
}
