/*
 * order-records.h: records in the ledger the workers that the leader is about to order, so that the next
 * leader waits only for those (docs/design/order-records.md).
 *
 * core/group/order-history.h decides which workers may be ordered after a change of leader,
 * core/group/order-permits.h how long a record permits orders.  Without the setting orders.record, nothing is
 * recorded and the whole order pause applies to all workers.
 */
#pragma once

#include "ledger-node.h"

typedef struct _QuinceOrderRecords QuinceOrderRecords;

/* @ledger: borrowed, must outlive the object; @enabled: setting orders.record */
QuinceOrderRecords *quince_order_records_new (QuinceLedgerNode *ledger, gboolean enabled);
void quince_order_records_free (QuinceOrderRecords *records);

/* Starts to record.  Call when this replica leads and has read its log.
 * @committed: called after a record is committed, so that orders may be sent */
void quince_order_records_start_leading (QuinceOrderRecords *records,
                                         void (*committed) (gpointer user_data),
                                         gpointer user_data);
void quince_order_records_stop_leading (QuinceOrderRecords *records);
/* Handles a committed order record.  @record: (transfer full) */
void
quince_order_records_apply_record (QuinceOrderRecords *records, guint64 index, QuinceBatchRecord *record);
/* Appends the first record of this leader, and a FORGET record for obsolete ones, if due.  Call several times
 * a second, also at a backup. */
void quince_order_records_step (QuinceOrderRecords *records);
/* Sets the gauge of workers that may not be ordered yet. */
void quince_order_records_set_metrics (const QuinceOrderRecords *records);

/* Returns whether this leader may give orders to some workers. */
gboolean quince_order_records_may_order (const QuinceOrderRecords *records);
/* Returns whether this leader may give orders to @worker: no other leader can have ordered it within the
 * order pause. */
gboolean quince_order_records_may_order_worker (const QuinceOrderRecords *records, const char *worker);
/* Requests a record that names @worker, unless one that is still valid does.  One record is appended for all
 * requests of an iteration of the main loop. */
void quince_order_records_request (QuinceOrderRecords *records, const char *worker);
/**
 * quince_order_records_get_permit:
 * @send_by_us: (out): monotonic time by which the order must be sent; 0: no limit
 *
 * Returns: whether an order may be sent to @worker now: a committed record names it, or none is needed
 */
gboolean
quince_order_records_get_permit (const QuinceOrderRecords *records, const char *worker, gint64 *send_by_us);
