/*
 * order-permits.h: which workers a leader may order now, by the order records that it appended.
 *
 * A record permits one or more orders to each worker that it names, from its commit until
 * QUINCE_ORDER_SEND_MAX_US after its append.  Pure: times are in microseconds of the monotonic clock.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

typedef struct _QuinceOrderPermits QuinceOrderPermits;

QuinceOrderPermits *quince_order_permits_new (void);
void quince_order_permits_free (QuinceOrderPermits *permits);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceOrderPermits, quince_order_permits_free)

/* Drops all records, when this replica starts or stops leading. */
void quince_order_permits_clear (QuinceOrderPermits *permits);
/* Adds a record.  @now_us: taken before the append.  @workers: ids, copied */
void quince_order_permits_add (QuinceOrderPermits *permits,
                               gint64 now_us,
                               guint64 index,
                               const char *const *workers,
                               guint n_workers);
/* Records that the record at @index is committed, and with it all earlier ones. */
void quince_order_permits_commit (QuinceOrderPermits *permits, guint64 index);
/* Returns whether a record names @worker and may still permit an order, now or once it is committed. */
gboolean
quince_order_permits_has_record (const QuinceOrderPermits *permits, gint64 now_us, const char *worker);
/* Returns: the time by which an order to @worker must be sent, or 0 if none may be sent now */
gint64
quince_order_permits_get_send_by_us (const QuinceOrderPermits *permits, gint64 now_us, const char *worker);
/* Returns whether a record was not committed in time and still is not.  A leader then appends no further one,
 * so that records do not accumulate while commits are slow. */
gboolean quince_order_permits_is_stalled (const QuinceOrderPermits *permits, gint64 now_us);

G_END_DECLS
