/*
 * weight-plan.h: which engine stages or activates which weight version when
 * (pure).
 *
 * The newest version is staged on every engine, a few at a time, so that the
 * rate-limited weight store is not overrun; an engine whose service has it
 * staged everywhere is told to activate it, a few of the service at a time.
 * Only the engine's own report decides what it runs: one that shows another
 * version than the newest is told again, with back-off.
 *
 * Pure: time comes as an argument.  One plan belongs to one leadership; its
 * owner fences the orders.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/**
 * QuinceWeightPlanLimits:
 * @stage_parallel: engines that stage at the same time, over all services
 * @activate_parallel: engines of one service that swap at the same time, or
 * @activate_share: as a part of those of the service, whichever is more
 * @settle_us: an engine that carried out an activation shows it within this
 * @backoff_least_us: wait after a first failure; doubled with each further one
 * @backoff_most_us: longest wait
 * @ahead_us: an engine that shows a version above the newest known is left
 *   alone for this long, since the store's list may lag
 * @hold_before_us: no activation begins this long before an event's start
 * @hold_after_us: nor this long after it
 */
typedef struct
{
  guint stage_parallel;
  guint activate_parallel;
  double activate_share;
  gint64 settle_us;
  gint64 backoff_least_us;
  gint64 backoff_most_us;
  gint64 ahead_us;
  gint64 hold_before_us;
  gint64 hold_after_us;
} QuinceWeightPlanLimits;

extern const QuinceWeightPlanLimits quince_weight_plan_default_limits;

/* One engine as it reports itself; leaving or unreachable ones get no order. */
typedef struct
{
  const char *engine;
  const char *service;
  gboolean usable; /* reachable and not leaving                      */
  guint64 weight_version;
  guint64 staged_version; /* 0: none                                        */
  gint64 reported_us;     /* when the engine made this report               */
} QuinceWeightReport;

typedef enum
{
  QUINCE_WEIGHT_ORDER_STAGE,
  QUINCE_WEIGHT_ORDER_ACTIVATE,
} QuinceWeightOrderKind;

/* Each order is answered with quince_weight_plan_answered(). */
typedef struct
{
  QuinceWeightOrderKind kind;
  char *engine; /* owned */
  guint64 version;
  gboolean repair; /* the engine failed to come to this version before */
} QuinceWeightOrder;

void quince_weight_order_free (QuinceWeightOrder *order);
GPtrArray *quince_weight_orders_new (void); /* of QuinceWeightOrder */

typedef struct _QuinceWeightPlan QuinceWeightPlan;

QuinceWeightPlan *quince_weight_plan_new (const QuinceWeightPlanLimits *limits);
void quince_weight_plan_free (QuinceWeightPlan *plan);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceWeightPlan, quince_weight_plan_free)

/* The store's newest version; a lower one than before is ignored. */
void quince_weight_plan_set_newest (QuinceWeightPlan *plan, guint64 version);
guint64 quince_weight_plan_get_newest (const QuinceWeightPlan *plan);
/* The current or next event, in the caller's monotonic time; 0, 0: none. */
void quince_weight_plan_set_event (QuinceWeightPlan *plan, gint64 start_us, gint64 end_us);

void quince_weight_plan_report (QuinceWeightPlan *plan, gint64 now_us, const QuinceWeightReport *report);
void quince_weight_plan_remove (QuinceWeightPlan *plan, const char *engine);
/* The engine has answered the order of @kind for @version, or its time is up. */
void quince_weight_plan_answered (QuinceWeightPlan *plan,
                                  gint64 now_us,
                                  const char *engine,
                                  QuinceWeightOrderKind kind,
                                  guint64 version,
                                  gboolean done);
/* Appends the orders to send now. */
void quince_weight_plan_step (QuinceWeightPlan *plan, gint64 now_us, GPtrArray *orders);

typedef struct
{
  guint engines;
  guint current;     /* report the newest version                         */
  guint staging;     /* orders on their way                               */
  guint activating;  /* the same, or waiting for the report               */
  guint64 staged;    /* stagings that engines carried out                 */
  guint64 activated; /* engines that came to a newer version              */
  guint64 failures;  /* orders refused, unanswered or without effect      */
  guint64 repairs;   /* orders to engines that had failed                 */
} QuinceWeightPlanCounters;

void quince_weight_plan_get_counters (const QuinceWeightPlan *plan, QuinceWeightPlanCounters *out);

G_END_DECLS
