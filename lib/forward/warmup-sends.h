/*
 * warmup-sends.h: whether this process may send one more request to a worker that may be cold.
 *
 * The leader grants sends, for itself and for all others; any other process sends to a cold worker under a
 * send lease (warmup.h).
 *
 * For: warmth.c.  Owns: the leases of this process, and as the leader all of them.  Relies on: its owner for
 * the way to the leader.
 */
#pragma once

#include "core/routing/route-table.h"
#include "core/routing/worker-table.h"
#include "runtime/settings.h"
#include "core/routing/warmup-limit.h"

G_BEGIN_DECLS

/* What the bound is made of: @overage times the rate of a service's cold workers, and @slack requests more.
 */
typedef struct
{
  double overage;
  double slack;
} QuinceWarmupBounds;

/* From the settings of a process, section "warmup". */
void quince_warmup_read_bounds (const QuinceSettings *settings, QuinceWarmupBounds *bounds);

/* Duration of a lease from the moment at which it was asked for, us.  Not measured: several times the round
 * trip to the giver, 26 ms at most between the users' regions; longer leases that are not used waste
 * more. */
#define QUINCE_WARMUP_LEASE_VALID_US (200 * 1000)
/* Time after its choice in which a send to a cold worker must have a connection, us; else it is withdrawn.
 * Not measured: above the time of a connect at a busy worker; each send counts for 1.55 s with it: the second
 * of the limit, a lease, this time and the margin. */
#define QUINCE_WARMUP_SEND_TIMEOUT_US (250 * 1000)
/* Longest way of a send, us.  Not measured: eight times the way between the users' regions. */
#define QUINCE_WARMUP_MARGIN_US (100 * 1000)
/* Time for which a worker of a returning zone counts as cold, us: the next entry that it writes says whether
 * it is, 1.2 s later at most, and a usual read follows. */
#define QUINCE_WARMUP_ASSUMED_COLD_US (2 * G_USEC_PER_SEC)

typedef struct _QuinceWarmupSends QuinceWarmupSends;

/**
 * QuinceWarmupSendsCallbacks:
 * @find_service: (nullable result): what the configuration says of it
 * @may_grant: whether this process grants sends now, asked each time; %NULL: it never does
 * @request_lease: asks for @sends to @worker; quince_warmup_sends_handle_answer() follows.  Returns: %FALSE:
 * there is no leader to ask.  %NULL: this process does not ask
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

/* ---- The choice of a worker --------------------------------------------- */

/* How long a worker of @service is cold after a start. */
gint64 quince_warmup_sends_get_cold_start_us (QuinceWarmupSends *sends, const char *service);

/* Most requests in a second at one cold worker of @service; G_MAXUINT: no bound, and nothing below is needed.
 */
guint quince_warmup_sends_get_max_sends (QuinceWarmupSends *sends, const char *service);
/* @max_sends: at @worker, cold or not */
gboolean quince_warmup_sends_can_send (QuinceWarmupSends *sends,
                                       gint64 now_us,
                                       const QuinceWorker *worker,
                                       guint max_sends);
/* A request goes to @worker, which has room.  Returns: %FALSE when it has not, after all */
gboolean quince_warmup_sends_acquire_send (QuinceWarmupSends *sends,
                                           gint64 now_us,
                                           const QuinceWorker *worker,
                                           guint max_sends);
/* @worker had no room: asks for some, where that is the way. */
void quince_warmup_sends_request_lease (QuinceWarmupSends *sends, gint64 now_us, const QuinceWorker *worker);
/* When @worker may have room. */
gint64 quince_warmup_sends_get_next_send_us (QuinceWarmupSends *sends,
                                             gint64 now_us,
                                             const QuinceWorker *worker,
                                             guint max_sends);

/* ---- Who asks ------------------------------------------------------------- */

void quince_warmup_sends_handle_answer (QuinceWarmupSends *sends,
                                        const char *worker,
                                        guint64 request_id,
                                        guint granted,
                                        gint64 valid_us,
                                        gint64 retry_after_us);
/* The leader is gone, and with it what was requested; leases go on until their end. */
void quince_warmup_sends_forget_requests (QuinceWarmupSends *sends);

/* ---- Who gives ------------------------------------------------------------ */

/* This process gives from now on, after another one may have. */
void quince_warmup_sends_take_over (QuinceWarmupSends *sends);
/* Another process asks for @wanted_sends sends to @worker, of @service.
 * @retry_after_us: how long it is to wait until it asks again
 * Returns: how many it may make within QUINCE_WARMUP_LEASE_VALID_US */
guint quince_warmup_sends_grant (QuinceWarmupSends *sends,
                                 const char *worker,
                                 const char *service,
                                 guint wanted_sends,
                                 gint64 *retry_after_us);

/* Forgets what is over. */
void quince_warmup_sends_expire (QuinceWarmupSends *sends, gint64 now_us);

G_END_DECLS
