/*
 * warmup-limit.h: limits the requests that reach a cold worker in any second, from all processes together.
 *
 * The leader keeps a book: for each worker the sends that it has granted and that may still arrive in the
 * same second as a new one.  A front keeps a lease for each worker: sends that the leader granted it, for a
 * time.
 *
 * Pure: time is an argument, in microseconds of one clock that counts suspensions too.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/* The limit holds in every window of this length, us: it is given in requests a second. */
#define QUINCE_WARMUP_WINDOW_US G_USEC_PER_SEC

/* Requests in any second at a worker that can serve @max_requests_per_s: that times @overage, and @slack
 * more; at least 1. Returns: G_MAXUINT if @max_requests_per_s gives no limit */
guint quince_warmup_get_max_sends (double max_requests_per_s, double overage, double slack);

/* ---- The book of the process that grants --------------------------------- */

typedef struct _QuinceWarmupLimiter QuinceWarmupLimiter;

/* @margin_us: a send arrives at most this much later than the last moment at which it was allowed to leave */
QuinceWarmupLimiter *quince_warmup_limiter_new (gint64 margin_us);
void quince_warmup_limiter_free (QuinceWarmupLimiter *limiter);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceWarmupLimiter, quince_warmup_limiter_free)
/* Clears the book at the start of a leadership: the former leader's last grants may be used until
 * @used_until_us. */
void quince_warmup_limiter_take_over (QuinceWarmupLimiter *limiter, gint64 used_until_us);
/**
 * quince_warmup_limiter_grant:
 * @is_cold: %FALSE: only this process sends to @worker_id, so grants of a former leader don't count
 * @max_sends: requests in any second, see quince_warmup_get_max_sends()
 * @wanted_sends: how many are wanted
 * @send_by_us: latest time at which they leave
 *
 * Returns: how many are granted, 0 to @wanted_sends
 */
guint quince_warmup_limiter_grant (QuinceWarmupLimiter *limiter,
                                   gint64 now_us,
                                   const char *worker_id,
                                   gboolean is_cold,
                                   guint max_sends,
                                   guint wanted_sends,
                                   gint64 send_by_us);
/* When one more may be granted; a time up to @now_us means at once. */
gint64 quince_warmup_limiter_get_next_grant_us (QuinceWarmupLimiter *limiter,
                                                gint64 now_us,
                                                const char *worker_id,
                                                gboolean is_cold,
                                                guint max_sends);
/* Drops workers without sends that still count. */
void quince_warmup_limiter_expire (QuinceWarmupLimiter *limiter, gint64 now_us);
/* Workers with sends on record.  For tests: nothing else shows that expiring frees memory. */
guint quince_warmup_limiter_get_n_workers (const QuinceWarmupLimiter *limiter);

/* ---- The lease of a process that is granted sends ------------------------ */

/* Sends to one worker that the leader has granted. */
typedef struct
{
  guint remaining_sends;  /* left of the grant */
  gint64 expires_us;      /* end of the lease */
  gint64 next_request_us; /* next request no sooner */
  guint64 request_id;     /* number of the request in progress; 0: none */
  gint64 requested_us;    /* when it was made */
  gboolean refused;       /* the last answer granted nothing */
} QuinceWarmupLease;

/* The lease covers one more send now. */
gboolean quince_warmup_lease_can_send (const QuinceWarmupLease *lease, gint64 now_us);
/* Uses one send of the lease. Returns: whether it covered one */
gboolean quince_warmup_lease_use_send (QuinceWarmupLease *lease, gint64 now_us);
/* Whether to request sends now: the lease is used up and no request is in progress.  A request without an
 * answer for @timeout_us counts as lost. */
gboolean quince_warmup_lease_may_request (const QuinceWarmupLease *lease, gint64 now_us, gint64 timeout_us);
void quince_warmup_lease_start_request (QuinceWarmupLease *lease, gint64 now_us, guint64 request_id);
/* The answer to request @request_id: @sends, for @valid_us from the moment of the request; the next request
 * no sooner than @retry_after_us from now.  Answers to earlier requests are ignored. */
void quince_warmup_lease_handle_answer (QuinceWarmupLease *lease,
                                        gint64 now_us,
                                        guint64 request_id,
                                        guint sends,
                                        gint64 valid_us,
                                        gint64 retry_after_us);

G_END_DECLS
