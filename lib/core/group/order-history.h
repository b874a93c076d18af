/*
 * order-history.h: what a replica knows from its log about the orders that earlier leaders gave to workers.
 *
 * A leader appends an order record, which names the workers that it is about to order, and sends the orders
 * at most QUINCE_ORDER_SEND_MAX_US after that.  A replica receives the record no earlier than it was
 * appended.  So the last order was sent at most QUINCE_ORDER_SEND_MAX_US after the receipt of the last record
 * that names the worker.  The proof is in docs/design/order-records.md.
 *
 * Every replica records when it received each part of its log.  A new leader passes each entry of its log to
 * quince_order_history_read_entry().  Times are in microseconds of this process's monotonic clock.
 */
#pragma once

#include "protocol/codec.h"

G_BEGIN_DECLS

/* Maximum time from the append of an order record to the send of the orders that it names, us.  A record
 * commits in 5 to 20 ms; a slow disk or a retransmission takes up to 250 ms. */
#define QUINCE_ORDER_SEND_MAX_US (300 * 1000)

typedef struct _QuinceOrderHistory QuinceOrderHistory;

/**
 * quince_order_history_new:
 * @now_us: start of the process; records that are on its disk already count as received now
 * @order_pause_us: how long after the last order to a worker another leader may order it, with its margin
 */
QuinceOrderHistory *quince_order_history_new (gint64 now_us, gint64 order_pause_us);
void quince_order_history_free (QuinceOrderHistory *history);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceOrderHistory, quince_order_history_free)

/* ---- At every replica --------------------------------------------------- */

/* Records that the log from @first_index on was received now.  Also called for records received again: the
 * later time counts. */
void quince_order_history_record_receipt (QuinceOrderHistory *history, gint64 now_us, guint64 first_index);
/* Returns: a time at or after the receipt of the record at @index */
gint64 quince_order_history_get_received_us (const QuinceOrderHistory *history, guint64 index);

/* ---- At a leader ---------------------------------------------------------- */

/* Records that this process leads @epoch and sends no order without an order record.  Drops what was read for
 * earlier epochs of this process. */
void quince_order_history_start_leading (QuinceOrderHistory *history, guint64 epoch);
/* Reads an entry of the log.  To be called for all entries in order of their indexes, before the first order.
 * @orders: (nullable): its content, if it is an order record */
void quince_order_history_read_entry (QuinceOrderHistory *history,
                                      guint64 index,
                                      guint64 epoch,
                                      const QuinceOrderRecord *orders);
/* Returns whether the log contains all orders of earlier leaders that may be within the pause: the greatest
 * earlier epoch in it has an order record. */
gboolean quince_order_history_is_complete (const QuinceOrderHistory *history);
/* Returns whether another leader's orders to @worker are older than the pause, by the records in the log.
 * Always %FALSE unless quince_order_history_is_complete(). */
gboolean
quince_order_history_may_order (const QuinceOrderHistory *history, gint64 now_us, const char *worker);
/* Returns the number of workers that another leader may have ordered within the pause.
 * @longest_us: (out) (optional): time until the last of them may be ordered */
guint
quince_order_history_count_blocked (const QuinceOrderHistory *history, gint64 now_us, gint64 *longest_us);

/* Records an order record that this leader appended now. */
void quince_order_history_add_own (QuinceOrderHistory *history, gint64 now_us, guint64 index);
/**
 * quince_order_history_take_finished:
 * @min_records: if there are fewer, none is removed
 * @max_records: if there are more, only the oldest are removed
 *
 * Removes from the history the records that no longer block any worker, except the last order record of the
 * log, which later leaders need (quince_order_history_is_complete()).
 *
 * Returns: (transfer full) (element-type guint64): their indexes, for a FORGET record
 */
GArray *quince_order_history_take_finished (QuinceOrderHistory *history,
                                            gint64 now_us,
                                            guint min_records,
                                            guint max_records);

G_END_DECLS
