/*
 * scheduler-private.h: state of the scheduler, shared by its files.
 */
#pragma once

#include <quince/builtin-decisions.h>

#include "admission.h"
#include "candidates.h"
#include "fair-queue.h"
#include "grants.h"
#include "prefix-index.h"

/* Queue of one service; owned by the scheduler. */
typedef struct
{
  char *name;
  QuinceFairQueue *queue;
  QuinceDrainMeter meter;
} QuinceServiceQueue;

/* One thread owns it all; borrowed pointers are said so. */
struct _QuinceScheduler
{
  QuinceSchedulerLimits limits;
  guint64 seed;
  QuinceEngineTable *engines;
  QuincePrefixIndex *prefixes;
  QuinceGrantTable *grants;
  QuinceServiceCounts *counts;
  GHashTable *services; /* name -> QuinceServiceQueue, owned                */
  GHashTable *waiting;  /* QuinceAttemptKey -> QuinceWaiting, owned         */
  QuinceHeap deadlines; /* of the waiting                                   */
  guint64 sequence;     /* of arrivals                                      */
  QuinceRetryBudget retries;
  QuinceDrainMeter idle_meter; /* spreads refusals that concern no service  */
  QuinceDecider decider;       /* functions borrowed                        */
  gboolean ready;
  gboolean stopping;
  gboolean heard_engines; /* a report has ever come */
  gint64 event_start_us;
  gint64 event_end_us;
  QuinceSchedulerCounters counters;
};

/* What the engines of a service offer now. */
typedef struct
{
  const GPtrArray *engines; /* borrowed; NULL: service unknown */
  guint usable;
  guint unheard;             /* serving by reports that are too old */
  guint free_slots;          /* grants that this node may still give, for Lookups */
  guint64 newest_version;    /* active on a usable engine       */
  guint64 reachable_version; /* active or ordered               */
} QuinceServiceView;

/* A request on its way to a decision; everything is borrowed. */
typedef struct
{
  const QuinceGrantRequest *request;
  QuinceAttemptKey key;
  guint64 client;
  gint64 deadline_us;
  gint priority;
  guint64 min_version;
  double share;
  QuinceServiceQueue *service;
} QuincePlacement;

/* ---- replies.c ----------------------------------------------------------- */

void quince_reply_grant (QuinceScheduler *scheduler,
                         gint64 now_us,
                         guint64 client,
                         const QuinceGrantEntry *grant,
                         GPtrArray *decisions);
/* Counts the refusal for the member; @service may be NULL; @retry_after_ms 0: the measured time. */
void quince_reply_refuse (QuinceScheduler *scheduler,
                          gint64 now_us,
                          guint64 client,
                          const QuinceGrantRequest *request,
                          QuinceServiceQueue *service,
                          QuinceRefusal reason,
                          guint retry_after_ms,
                          const char *detail,
                          GPtrArray *decisions);

/* ---- placement.c ----------------------------------------------------------- */

void
quince_service_view (QuinceScheduler *scheduler, gint64 now_us, const char *service, QuinceServiceView *view);
/* What a policy program sees of the request. */
void quince_policy_request (QuinceScheduler *scheduler,
                            gint64 now_us,
                            const QuinceGrantRequest *request,
                            guint deadline_ms,
                            QuinceServiceQueue *service,
                            const QuinceServiceView *view,
                            QuincePolicyRequest *out);
/* The policy's admission, or the built-in one where it fails. */
void
quince_admit (QuinceScheduler *scheduler, const QuincePolicyRequest *request, QuincePolicyAdmission *out);
/* Grants the request if an engine can take it now. */
gboolean quince_place (QuinceScheduler *scheduler,
                       gint64 now_us,
                       const QuincePlacement *placement,
                       GPtrArray *decisions);

/* ---- queueing.c ------------------------------------------------------------ */

void quince_queue_add (QuinceScheduler *scheduler, gint64 now_us, const QuincePlacement *placement);
/* Takes it out of the queue unserved and frees it. */
void quince_queue_drop (QuinceScheduler *scheduler, gint64 now_us, QuinceWaiting *waiting);
/* The same, with a refusal. */
void quince_queue_refuse (QuinceScheduler *scheduler,
                          gint64 now_us,
                          QuinceWaiting *waiting,
                          QuinceRefusal reason,
                          const char *detail,
                          GPtrArray *decisions);
/* Refuses those that cannot finish before their deadline any more. */
void quince_queue_refuse_overdue (QuinceScheduler *scheduler, gint64 now_us, GPtrArray *decisions);
/* Serves the queue of a service as long as engines can take work. */
void quince_queue_serve (QuinceScheduler *scheduler,
                         gint64 now_us,
                         QuinceServiceQueue *service,
                         GPtrArray *decisions);
void quince_queue_serve_all (QuinceScheduler *scheduler, gint64 now_us, GPtrArray *decisions);

/* ---- scheduler.c ------------------------------------------------------------- */

/* Finds or makes the queue. */
QuinceServiceQueue *quince_claim_service (QuinceScheduler *scheduler, const char *name);
/* Forgets at most @most grants that are abandoned or whose end is long told, and looks at
 * those that expired without an end. */
void quince_forget_due_grants (QuinceScheduler *scheduler, gint64 now_us, guint most);
