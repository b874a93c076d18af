/*
 * scheduler.h: grants, queues, fairness and refusal of one node (pure).
 *
 * The aggregate decides which engine runs a request, at what priority, or
 * refuses it at once with the time to come back.  It owns the engine table,
 * the fair queue and the grants it has given.  It holds soft state only: its
 * loss costs time, never a promise.
 *
 * Pure: no clock, socket, thread, log or random source; time and seed come in
 * as arguments.  One thread.
 */
#pragma once

#include <quince/codec.h>
#include <quince/decider.h>

G_BEGIN_DECLS

/**
 * QuinceSchedulerLimits:
 * @queue_most: requests that may wait
 * @grant_ms: how long a grant may be dispatched
 * @abandon_ms: a dispatched grant whose end is never told is forgotten after this
 * @report_stale_ms: an engine not heard of for this long gets no new work
 * @candidates: engines that are scored for a request, at most QUINCE_POLICY_MAX_CANDIDATES
 * @retry_ratio: retries (attempt > 1) granted per first attempt granted
 * @overcommit: Lookups that an engine is given beyond its capacity, as a part of it; they wait
 *   in the engine's own queue, so that a place is filled while the end of the last run travels
 * @engine_wait_ms: longest that such a Lookup should wait there, by the measured service time
 */
typedef struct
{
  guint queue_most;
  guint grant_ms;
  guint abandon_ms;
  guint report_stale_ms;
  guint candidates;
  double retry_ratio;
  double overcommit;
  guint engine_wait_ms;
} QuinceSchedulerLimits;

extern const QuinceSchedulerLimits quince_scheduler_default_limits;

/* One engine as it reports itself; lags behind reality. */
typedef struct
{
  const char *name;
  const char *address;
  const char *service;
  const char *zone;
  guint running;
  guint waiting;
  guint capacity;
  guint64 weight_version;
  guint64 target_version; /* 0: none ordered                               */
  gboolean leaving;
  gboolean available; /* false: it cannot be reached                   */
} QuinceEngineReport;

/* Sources of a sign that an engine leaves; any one suffices. */
typedef enum
{
  QUINCE_LEAVING_ENGINE = 1 << 0,       /* its own word                      */
  QUINCE_LEAVING_OPERATOR = 1 << 1,     /* drained by an operator            */
  QUINCE_LEAVING_MACHINE_LIST = 1 << 2, /* the platform's list               */
  QUINCE_LEAVING_PEER = 1 << 3,         /* another node's digest             */
} QuinceLeavingSource;

/* Decision for one earlier request; @client is the value given with it. */
typedef struct
{
  guint64 client;
  QuinceGrantReply reply;
} QuinceDecision;

typedef struct _QuinceScheduler QuinceScheduler;

/**
 * quince_scheduler_new:
 * @incarnation: of this node; makes grant ids unique
 * @zone: of this node; engines of it are preferred
 * @seed: for spreading retry times and breaking ties
 */
QuinceScheduler *quince_scheduler_new (const QuinceSchedulerLimits *limits,
                                       guint64 incarnation,
                                       const char *zone,
                                       guint64 seed);
void quince_scheduler_free (QuinceScheduler *scheduler);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceScheduler, quince_scheduler_free)

/* Decisions are appended to @decisions, a GPtrArray of QuinceDecision whose
 * free function is quince_decision_free(). */
GPtrArray *quince_decisions_new (void);
void quince_decision_free (QuinceDecision *decision);

void quince_scheduler_set_decider (QuinceScheduler *scheduler, const QuinceDecider *decider);
/* Until ready every request is refused with NOT_READY. */
void quince_scheduler_set_ready (QuinceScheduler *scheduler, gboolean ready);
/* Refuses the queue and every later request with STOPPING. */
void quince_scheduler_stop (QuinceScheduler *scheduler, gint64 now_us, GPtrArray *decisions);
/* The next or current event, in the caller's monotonic time; 0, 0: none. */
void quince_scheduler_set_event (QuinceScheduler *scheduler, gint64 start_us, gint64 end_us);

void quince_scheduler_engine_report (QuinceScheduler *scheduler,
                                     gint64 now_us,
                                     const QuinceEngineReport *report,
                                     GPtrArray *decisions);
void quince_scheduler_engine_leaving (QuinceScheduler *scheduler,
                                      gint64 now_us,
                                      const char *engine,
                                      QuinceLeavingSource source,
                                      gboolean leaving);
void quince_scheduler_engine_remove (QuinceScheduler *scheduler, const char *engine);
/* Slots that another node holds on an engine, from its digest. */
void quince_scheduler_peer_load (QuinceScheduler *scheduler,
                                 gint64 now_us,
                                 const char *node,
                                 const char *engine,
                                 guint granted);
void quince_scheduler_peer_gone (QuinceScheduler *scheduler, const char *node);
/* Cache events: blocks that an engine stored or evicted; late and with gaps.
 * @reset: the sequence had a gap, what was known before is doubtful. */
void quince_scheduler_cache_event (QuinceScheduler *scheduler,
                                   const char *engine,
                                   gboolean stored,
                                   const guint64 *blocks,
                                   guint n_blocks,
                                   gboolean reset);

/**
 * quince_scheduler_request:
 * @client: opaque, given back with the decision
 *
 * Decides at once, or queues and decides in a later call.  A repeat of a
 * request id and attempt that waits is one request, and refused when another
 * client asks; a repeat after its grant gets the same grant again while that
 * has not expired.
 */
void quince_scheduler_request (QuinceScheduler *scheduler,
                               gint64 now_us,
                               guint64 client,
                               const QuinceGrantRequest *request,
                               GPtrArray *decisions);
void quince_scheduler_cancel (QuinceScheduler *scheduler,
                              gint64 now_us,
                              const QuinceGrantCancel *cancel,
                              GPtrArray *decisions);
void quince_scheduler_end (QuinceScheduler *scheduler,
                           gint64 now_us,
                           const QuinceGrantEnd *end,
                           GPtrArray *decisions);
/* The client's link is down: its waiting requests are dropped, its grants
 * are kept until abandon_ms since their streams may go on.  As any grant whose
 * end is not told, they hold a slot some time after they expired only as far as
 * the engine reports work that nothing else explains. */
void quince_scheduler_client_gone (QuinceScheduler *scheduler, gint64 now_us, guint64 client);
/* Expiry of grants and deadlines; call when next_wakeup is reached. */
void quince_scheduler_tick (QuinceScheduler *scheduler, gint64 now_us, GPtrArray *decisions);
/* G_MAXINT64: nothing waits. */
gint64 quince_scheduler_next_wakeup (QuinceScheduler *scheduler, gint64 now_us);

/* ---- What status, metrics and digests read --------------------------- */

typedef struct
{
  guint64 granted;
  guint64 finished;
  guint64 refused[8]; /* by QuinceRefusal */
  guint64 expired;
  guint64 abandoned;
  guint64 retries_granted;
  guint64 policy_failures;
  guint waiting;
  guint outstanding;
} QuinceSchedulerCounters;

void quince_scheduler_get_counters (const QuinceScheduler *scheduler, QuinceSchedulerCounters *out);

typedef struct
{
  const char *name;
  const char *address;
  const char *service;
  guint outstanding; /* grants of this node that hold a slot */
  guint peers;       /* grants of other nodes */
  guint running;
  guint waiting;
  guint capacity;
  guint64 weight_version;
  guint64 target_version;
  guint leaving; /* QuinceLeavingSource bits */
  gboolean usable;
  gint64 report_age_us;
  double hit_rate;
} QuinceEngineView;

void quince_scheduler_foreach_engine (const QuinceScheduler *scheduler,
                                      gint64 now_us,
                                      void (*visit) (const QuinceEngineView *view, gpointer user_data),
                                      gpointer user_data);

/* Service received, counted per member and kind; only answers on time count. */
typedef struct
{
  const char *member;
  const char *kind;
  guint64 asked;
  guint64 on_time;
  guint64 late;
  guint64 refused;
  guint64 tokens_on_time;
} QuinceServiceCount;

void quince_scheduler_foreach_service (const QuinceScheduler *scheduler,
                                       void (*visit) (const QuinceServiceCount *count, gpointer user_data),
                                       gpointer user_data);

G_END_DECLS
