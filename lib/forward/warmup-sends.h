/*
 * warmup-sends.h: whether this process may send one more request to a worker that may be cold.
 *
 * One process gives sends, for itself and for all others; any other one sends to a cold worker under a lease
 * alone (warmup.h).  Who asks whom, and over what, is the owner's.
 */
#pragma once

#include "core/routing/route-table.h"
#include "core/routing/worker-table.h"
#include "runtime/settings.h"
#include "core/routing/warmup-limit.h"

G_BEGIN_DECLS

/* What the bound is made of: @overage times what a service's cold workers bear, and @slack requests more. */
typedef struct
{
  double overage;
  double slack;
} QuinceWarmupBounds;

/* From the settings of a process, section "warmup". */
void quince_warmup_read_bounds (const QuinceSettings *settings, QuinceWarmupBounds *bounds);

/* A lease holds so long from the moment at which it was asked for.  Chosen: several times the way to the
 * giver and back, 26 ms at most between the users' regions; longer leases that are not used waste more. */
#define QUINCE_WARMUP_VALID_US (200 * 1000)
/* A send to a cold worker that has no connection so long after its choice is taken back.  Chosen: above the
 * time of a connect at a busy worker; with it a worker still gets more than it bears, 1.55 s for each send.
 */
#define QUINCE_WARMUP_SEND_WITHIN_US (250 * 1000)
/* What a send may take on its way.  Chosen: eight times the way between the users' regions. */
#define QUINCE_WARMUP_MARGIN_US (100 * 1000)
/* A worker whose zone was taken back is treated as cold so long: the next entry that it writes tells whether
 * it is, 1.2 s later at most, and its news take as long as a usual read. */
#define QUINCE_WARMUP_ASSUME_COLD_US (2 * G_USEC_PER_SEC)

typedef struct _QuinceWarmupSends QuinceWarmupSends;

/**
 * QuinceWarmupSendsCallbacks:
 * @find_service: (nullable result): what the configuration says of it
 * @may_give: whether this process gives now, looked at anew; %NULL: it never does
 * @ask: asks for @sends to @worker; quince_warmup_sends_answered() follows.  Returns: %FALSE: there is nobody
 * to ask.  %NULL: this process does not ask
 */
typedef struct
{
  const QuinceService *(*find_service) (const char *name, gpointer user_data);
  gboolean (*may_give) (gpointer user_data);
  gboolean (*ask) (guint64 ask, const char *worker, guint sends, gpointer user_data);
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
guint quince_warmup_sends_get_most (QuinceWarmupSends *sends, const char *service);
/* @most: at @worker, cold or not */
gboolean quince_warmup_sends_has_room (QuinceWarmupSends *sends,
                                       gint64 now_us,
                                       const QuinceWorker *worker,
                                       guint most);
/* A request goes to @worker, which has room.  Returns: %FALSE when it has not, after all */
gboolean
quince_warmup_sends_take (QuinceWarmupSends *sends, gint64 now_us, const QuinceWorker *worker, guint most);
/* @worker had no room: asks for some, where that is the way. */
void quince_warmup_sends_want (QuinceWarmupSends *sends, gint64 now_us, const QuinceWorker *worker);
/* When @worker may have room. */
gint64 quince_warmup_sends_get_free_us (QuinceWarmupSends *sends,
                                        gint64 now_us,
                                        const QuinceWorker *worker,
                                        guint most);

/* ---- Who asks ------------------------------------------------------------- */

void quince_warmup_sends_answered (QuinceWarmupSends *sends,
                                   const char *worker,
                                   guint64 ask,
                                   guint given,
                                   gint64 valid_us,
                                   gint64 again_us);
/* Whoever gives is gone, and what was asked of it; leases go on until their end. */
void quince_warmup_sends_forget_requests (QuinceWarmupSends *sends);

/* ---- Who gives ------------------------------------------------------------ */

/* This process gives from now on, after another one may have. */
void quince_warmup_sends_take_over (QuinceWarmupSends *sends);
/* Another process asks for @wanted sends to @worker, of @service.
 * @again_us: how long it is to wait until it asks again
 * Returns: how many it may make within QUINCE_WARMUP_VALID_US */
guint quince_warmup_sends_give (QuinceWarmupSends *sends,
                                const char *worker,
                                const char *service,
                                guint wanted,
                                gint64 *again_us);

/* Forgets what is over. */
void quince_warmup_sends_expire (QuinceWarmupSends *sends, gint64 now_us);

G_END_DECLS
