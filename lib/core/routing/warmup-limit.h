/*
 * warmup-limit.h: limits how many requests all processes together send to a cold worker in any second.
 *
 * The leader keeps a limiter, which counts for each worker the granted sends that may arrive in the same
 * second as a new one.  A front keeps a lease for each worker: a number of sends that the leader has granted
 * it until the lease expires.  A send is one request sent to one worker.
 *
 * Reads no clock: callers pass the time, in microseconds, from a clock that also advances while the machine
 * is suspended.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/* Length of the sliding window to which the limit applies. */
#define QUINCE_WARMUP_WINDOW_US G_USEC_PER_SEC

/**
 * quince_warmup_get_max_sends:
 * @max_requests_per_s: requests per second that a cold worker can serve; 0: no limit is configured
 * @overage: factor by which @max_requests_per_s is multiplied
 * @slack: number of requests added to the product
 *
 * Returns: the maximum number of sends to the worker in any second, rounded down and at least 1; G_MAXUINT if
 * no limit is configured
 */
guint quince_warmup_get_max_sends (double max_requests_per_s, double overage, double slack);

/* ---- Limiter of the leader ----------------------------------------------- */

typedef struct _QuinceWarmupLimiter QuinceWarmupLimiter;

/* @margin_us: a send reaches the worker at most this long after its deadline for leaving */
QuinceWarmupLimiter *quince_warmup_limiter_new (gint64 margin_us);
void quince_warmup_limiter_free (QuinceWarmupLimiter *limiter);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceWarmupLimiter, quince_warmup_limiter_free)
/* Resets the limiter when this process becomes the leader.  Sends that the former leader granted may leave
 * until @used_until_us; the limiter grants none to cold workers until all of them are outside the window. */
void quince_warmup_limiter_take_over (QuinceWarmupLimiter *limiter, gint64 used_until_us);
/**
 * quince_warmup_limiter_grant:
 * @is_cold: whether the worker is cold; the grants of a former leader delay only sends to cold workers
 * @max_sends: maximum number of sends in any second; see quince_warmup_get_max_sends()
 * @wanted_sends: number of sends requested
 * @send_by_us: deadline by which the granted sends leave
 *
 * Grants sends to a worker as far as the limit allows and counts them against it.
 *
 * Returns: the number of sends granted, 0 to @wanted_sends
 */
guint quince_warmup_limiter_grant (QuinceWarmupLimiter *limiter,
                                   gint64 now_us,
                                   const char *worker_id,
                                   gboolean is_cold,
                                   guint max_sends,
                                   guint wanted_sends,
                                   gint64 send_by_us);
/* Returns the earliest time at which the limiter may grant another send; @now_us if it may do so already. */
gint64 quince_warmup_limiter_get_next_grant_us (QuinceWarmupLimiter *limiter,
                                                gint64 now_us,
                                                const char *worker_id,
                                                gboolean is_cold,
                                                guint max_sends);
/* Removes expired grants, and workers that have no others. */
void quince_warmup_limiter_expire (QuinceWarmupLimiter *limiter, gint64 now_us);
/* Returns the number of workers that the limiter tracks.  Only tests use it, to check that expired entries
 * are removed. */
guint quince_warmup_limiter_get_n_workers (const QuinceWarmupLimiter *limiter);

/* ---- Lease of a front ---------------------------------------------------- */

/* Sends to one worker that the leader has granted this process.  A zeroed struct holds no sends. */
typedef struct
{
  guint remaining_sends;  /* granted sends that are not used yet */
  gint64 expires_us;      /* unused sends are void from this time on */
  gint64 next_request_us; /* earliest time of the next request to the leader */
  guint64 request_id;     /* id of the request in flight; 0: none */
  gint64 requested_us;    /* time of the last request */
  gboolean refused;       /* the last request was granted no sends or found no leader */
} QuinceWarmupLease;

/* Returns whether the lease has a send left and has not expired. */
gboolean quince_warmup_lease_can_send (const QuinceWarmupLease *lease, gint64 now_us);
/* Uses one send of the lease.  Returns %FALSE if the lease has none left or has expired. */
gboolean quince_warmup_lease_use_send (QuinceWarmupLease *lease, gint64 now_us);
/* Returns whether to request sends from the leader now: the lease has no usable sends, no request is in
 * flight, and the retry delay is over.  A request without an answer for @timeout_us counts as lost. */
gboolean quince_warmup_lease_may_request (const QuinceWarmupLease *lease, gint64 now_us, gint64 timeout_us);
/* Records that request @request_id, not 0, was made at @now_us; the validity of its lease starts then. */
void quince_warmup_lease_start_request (QuinceWarmupLease *lease, gint64 now_us, guint64 request_id);
/**
 * quince_warmup_lease_handle_answer:
 * @request_id: id of the answered request; answers to any but the request in flight are ignored
 * @sends: number of sends granted; 0: refused
 * @valid_us: validity of the lease, counted from the time of the request
 * @retry_after_us: delay from now until the next request may be made
 *
 * Replaces the contents of the lease by the leader's answer.
 */
void quince_warmup_lease_handle_answer (QuinceWarmupLease *lease,
                                        gint64 now_us,
                                        guint64 request_id,
                                        guint sends,
                                        gint64 valid_us,
                                        gint64 retry_after_us);

G_END_DECLS
