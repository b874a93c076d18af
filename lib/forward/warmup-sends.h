/*
 * warmup-sends.h: decides whether this process may send another request to a worker that may be cold.
 *
 * The leader grants sends to itself and to all other processes, within the warmup limit.  Other processes
 * request leases from it and send to a cold worker only under a lease (warmup-limit.h).
 */
#pragma once

#include "core/routing/route-table.h"
#include "core/routing/worker-table.h"
#include "runtime/settings.h"
#include "core/routing/warmup-limit.h"

G_BEGIN_DECLS

/* Parameters of the warmup limit, see quince_warmup_get_max_sends(). */
typedef struct
{
  double overage;
  double slack;
} QuinceWarmupBounds;

/* Reads @bounds from the section "warmup" of the settings. */
void quince_warmup_read_bounds (const QuinceSettings *settings, QuinceWarmupBounds *bounds);

/* Validity of a lease from the time of its request: several round trips between regions (at most 26 ms each).
 * Unused leases count against the limit until they expire. */
#define QUINCE_WARMUP_LEASE_VALID_US (200 * 1000)
/* Time after the choice of a cold worker within which the request must have a connection, or it is withdrawn.
 * Longer than a connect to a busy worker takes; a granted send counts against the limit for this time too.
 * Each send counts for 1.55 s: the second of the limit, a lease, this time and the margin. */
#define QUINCE_WARMUP_SEND_TIMEOUT_US (250 * 1000)
/* Upper bound on the time that a request takes to reach the worker: eight times the one-way latency
 * between regions. */
#define QUINCE_WARMUP_MARGIN_US (100 * 1000)
/* Time for which the workers of a returning zone are assumed to be cold.  Their next entries, at most 1.2 s
 * later, state whether they are. */
#define QUINCE_WARMUP_ASSUMED_COLD_US (2 * G_USEC_PER_SEC)

typedef struct _QuinceWarmupSends QuinceWarmupSends;

/**
 * QuinceWarmupSendsCallbacks:
 * @find_service: returns the configuration of the service @name (transfer none), or %NULL if there is none
 * @may_grant: (nullable): returns whether this process may grant sends now; called for each grant; %NULL: it
 *   never grants
 * @request_lease: (nullable): requests a lease of @sends sends to @worker from the leader;
 *   quince_warmup_sends_handle_answer() follows; returns %FALSE if there is no leader; %NULL: this process
 *   requests no leases
 */
typedef struct
{
  const QuinceService *(*find_service) (const char *name, gpointer user_data);
  gboolean (*may_grant) (gpointer user_data);
  gboolean (*request_lease) (guint64 request_id, const char *worker, guint sends, gpointer user_data);
} QuinceWarmupSendsCallbacks;

QuinceWarmupSends *quince_warmup_sends_new (const QuinceWarmupBounds *bounds,
                                            const QuinceWarmupSendsCallbacks *callbacks,
                                            gpointer user_data);
void quince_warmup_sends_free (QuinceWarmupSends *sends);

/* ---- Choice of a worker ------------------------------------------------- */

/* Returns how long a worker of @service is cold after its start, us; 0 if the service is not configured. */
gint64 quince_warmup_sends_get_cold_start_us (QuinceWarmupSends *sends, const char *service);

/* Returns the maximum number of requests per second to a cold worker of @service; G_MAXUINT if there is no
 * limit, and the functions below need not be called. */
guint quince_warmup_sends_get_max_sends (QuinceWarmupSends *sends, const char *service);
/* Returns whether another request may be sent to @worker.  @max_sends: maximum requests per second to it,
 * whether it is cold or not */
gboolean quince_warmup_sends_can_send (QuinceWarmupSends *sends,
                                       gint64 now_us,
                                       const QuinceWorker *worker,
                                       guint max_sends);
/* Counts one send to @worker against the limit or its lease.  Returns: %FALSE if the send is not allowed */
gboolean quince_warmup_sends_acquire_send (QuinceWarmupSends *sends,
                                           gint64 now_us,
                                           const QuinceWorker *worker,
                                           guint max_sends);
/* Requests a lease for @worker from the leader, unless this process grants sends itself or must not make a
 * request yet. */
void quince_warmup_sends_request_lease (QuinceWarmupSends *sends, gint64 now_us, const QuinceWorker *worker);
/* Returns the time from which @worker may take another send, monotonic, us: the next grant on the leader, the
 * next lease request on other processes. */
gint64 quince_warmup_sends_get_next_send_us (QuinceWarmupSends *sends,
                                             gint64 now_us,
                                             const QuinceWorker *worker,
                                             guint max_sends);

/* ---- Lease requests ------------------------------------------------------- */

/**
 * quince_warmup_sends_handle_answer:
 * @request_id: id of the answered request; answers to any but the request in flight are ignored
 * @granted: number of sends granted; 0: refused
 * @valid_us: validity of the lease from the time of its request, us; at most QUINCE_WARMUP_LEASE_VALID_US
 *   counts
 * @retry_after_us: delay until the next request for this worker may be made, us
 */
void quince_warmup_sends_handle_answer (QuinceWarmupSends *sends,
                                        const char *worker,
                                        guint64 request_id,
                                        guint granted,
                                        gint64 valid_us,
                                        gint64 retry_after_us);
/* Drops pending requests and retry delays when the leader is gone; leases remain valid until they expire. */
void quince_warmup_sends_forget_requests (QuinceWarmupSends *sends);

/* ---- Grants of the leader ------------------------------------------------- */

/* Prepares this process to grant sends as the new leader: it grants none until all sends that the former
 * leader may have granted are outside the window. */
void quince_warmup_sends_take_over (QuinceWarmupSends *sends);
/**
 * quince_warmup_sends_grant:
 * @wanted_sends: number of sends that another process requests to @worker, which belongs to @service
 * @retry_after_us: (out): delay until the process may request again, us
 *
 * Returns: the number of sends granted, 0 to @wanted_sends, valid for QUINCE_WARMUP_LEASE_VALID_US
 */
guint quince_warmup_sends_grant (QuinceWarmupSends *sends,
                                 const char *worker,
                                 const char *service,
                                 guint wanted_sends,
                                 gint64 *retry_after_us);

/* Removes expired grants and leases that were not used for 10 s. */
void quince_warmup_sends_expire (QuinceWarmupSends *sends, gint64 now_us);

G_END_DECLS
