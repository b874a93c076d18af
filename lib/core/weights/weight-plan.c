/*
 * weight-plan.c: which engine stages or activates which weight version when.
 */
#include <quince/weight-plan.h>

#include <string.h>

#define MILLISECOND (G_USEC_PER_SEC / 1000)

const QuinceWeightPlanLimits quince_weight_plan_default_limits = {
  .stage_parallel = 2,
  .activate_parallel = 4,
  .activate_share = 0.1,
  .settle_us = 3 * G_USEC_PER_SEC,
  .backoff_least_us = 500 * MILLISECOND,
  .backoff_most_us = 15 * G_USEC_PER_SEC,
  .ahead_us = 3 * G_USEC_PER_SEC,
  .hold_before_us = 2 * G_USEC_PER_SEC,
  .hold_after_us = 5 * G_USEC_PER_SEC,
};

/* What an engine does for the plan. */
typedef enum
{
  PHASE_IDLE,
  PHASE_STAGING,    /* the order to stage is on its way                     */
  PHASE_STAGED,     /* carried out; waits for its turn to swap              */
  PHASE_ACTIVATING, /* the order to activate is on its way                  */
  PHASE_SETTLING,   /* carried out; the report does not show it yet         */
} Phase;

/* One engine.  Owned by the plan. */
typedef struct
{
  char *name;    /* owned                                           */
  char *service; /* owned                                           */
  gboolean usable;
  guint64 weight_version;
  guint64 staged_version;
  gint64 reported_us;
  Phase phase;
  guint64 version;        /* that the phase is about                         */
  gint64 settle_until_us; /* in PHASE_SETTLING                              */
  guint failures;         /* in a row                                        */
  gint64 retry_at_us;     /* no order before this                            */
  gint64 ahead_since_us;  /* first seen above the newest; 0: it is not       */
} Engine;

struct _QuinceWeightPlan
{
  QuinceWeightPlanLimits limits;
  guint64 newest;                    /* 0: unknown                          */
  gint64 event_start_us;             /* 0: none                             */
  GPtrArray *engines;                /* owned: Engine, by name              */
  QuinceWeightPlanCounters counters; /* beside what they count              */
};

void
quince_weight_order_free (QuinceWeightOrder *order)
{
  g_free (order->engine);
  g_free (order);
}

GPtrArray *
quince_weight_orders_new (void)
{
  return g_ptr_array_new_with_free_func ((GDestroyNotify)quince_weight_order_free);
}

static void
engine_free (gpointer data)
{
  Engine *engine = data;
  g_free (engine->name);
  g_free (engine->service);
  g_free (engine);
}

QuinceWeightPlan *
quince_weight_plan_new (const QuinceWeightPlanLimits *limits)
{
  QuinceWeightPlan *plan = g_new0 (QuinceWeightPlan, 1);
  plan->limits = *limits;
  plan->engines = g_ptr_array_new_with_free_func (engine_free);
  return plan;
}

void
quince_weight_plan_free (QuinceWeightPlan *plan)
{
  if (plan == NULL)
    return;
  g_ptr_array_unref (plan->engines);
  g_free (plan);
}

void
quince_weight_plan_set_newest (QuinceWeightPlan *plan, guint64 version)
{
  plan->newest = MAX (plan->newest, version);
}

guint64
quince_weight_plan_get_newest (const QuinceWeightPlan *plan)
{
  return plan->newest;
}

void
quince_weight_plan_set_event (QuinceWeightPlan *plan, gint64 start_us, gint64 end_us)
{
  plan->event_start_us = start_us;
}

/* ---- What engines report and answer ---------------------------------- */

/* Binary search, as the engines are kept in order of their names.
 * @index: (out): where the engine is, or belongs
 *
 * Returns: (nullable): the engine */
static Engine *
find_engine (const QuinceWeightPlan *plan, const char *name, guint *index)
{
  guint low = 0;
  guint high = plan->engines->len;
  while (low < high)
    {
      *index = low + (high - low) / 2;
      Engine *engine = g_ptr_array_index (plan->engines, *index);
      int order = strcmp (name, engine->name);
      if (order == 0)
        return engine;
      if (order < 0)
        high = *index;
      else
        low = *index + 1;
    }
  *index = low;
  return NULL;
}

static Engine *
add_engine (QuinceWeightPlan *plan, const QuinceWeightReport *report, guint index)
{
  Engine *engine = g_new0 (Engine, 1);
  engine->name = g_strdup (report->engine);
  engine->service = g_strdup (report->service);
  g_ptr_array_insert (plan->engines, (gint)index, engine);
  return engine;
}

static void
set_phase (Engine *engine, Phase phase, guint64 version)
{
  engine->phase = phase;
  engine->version = version;
}

/* The engine shows the version that it was told to activate. */
static void
note_activated (QuinceWeightPlan *plan, Engine *engine)
{
  plan->counters.activated++;
  engine->failures = 0;
  engine->retry_at_us = 0;
  set_phase (engine, PHASE_IDLE, 0);
}

static void
note_failure (QuinceWeightPlan *plan, Engine *engine, gint64 now_us)
{
  gint64 wait_us = plan->limits.backoff_least_us;
  for (guint i = 0; i < engine->failures && wait_us < plan->limits.backoff_most_us; i++)
    wait_us *= 2;
  plan->counters.failures++;
  engine->failures++;
  engine->retry_at_us = now_us + MIN (wait_us, plan->limits.backoff_most_us);
  set_phase (engine, PHASE_IDLE, 0);
}

/* Only the report tells whether the activation had its effect. */
static void
check_settling (QuinceWeightPlan *plan, Engine *engine, gint64 now_us)
{
  if (engine->phase != PHASE_SETTLING)
    return;
  if (engine->weight_version == engine->version)
    note_activated (plan, engine);
  else if (now_us >= engine->settle_until_us)
    note_failure (plan, engine, now_us);
}

void
quince_weight_plan_report (QuinceWeightPlan *plan, gint64 now_us, const QuinceWeightReport *report)
{
  guint index;
  Engine *engine = find_engine (plan, report->engine, &index);
  if (engine == NULL)
    engine = add_engine (plan, report, index);
  engine->usable = report->usable;
  if (report->reported_us < engine->reported_us)
    return;
  engine->weight_version = report->weight_version;
  engine->staged_version = report->staged_version;
  engine->reported_us = report->reported_us;
  if (engine->weight_version <= plan->newest)
    engine->ahead_since_us = 0;
  else if (engine->ahead_since_us == 0)
    engine->ahead_since_us = now_us;
  check_settling (plan, engine, now_us);
}

void
quince_weight_plan_remove (QuinceWeightPlan *plan, const char *name)
{
  guint index;
  if (find_engine (plan, name, &index) != NULL)
    g_ptr_array_remove_index (plan->engines, index);
}

void
quince_weight_plan_answered (QuinceWeightPlan *plan,
                             gint64 now_us,
                             const char *name,
                             QuinceWeightOrderKind kind,
                             guint64 version,
                             gboolean done)
{
  guint index;
  Engine *engine = find_engine (plan, name, &index);
  Phase expected = kind == QUINCE_WEIGHT_ORDER_STAGE ? PHASE_STAGING : PHASE_ACTIVATING;
  if (engine == NULL || engine->phase != expected || engine->version != version)
    return;
  if (!done)
    {
      note_failure (plan, engine, now_us);
      return;
    }
  if (kind == QUINCE_WEIGHT_ORDER_STAGE)
    {
      plan->counters.staged++;
      set_phase (engine, PHASE_STAGED, version);
      return;
    }
  engine->settle_until_us = now_us + plan->limits.settle_us;
  set_phase (engine, PHASE_SETTLING, version);
  check_settling (plan, engine, now_us);
}

/* ---- Planning -------------------------------------------------------- */

static gboolean
is_busy (const Engine *engine)
{
  return engine->phase == PHASE_STAGING || engine->phase == PHASE_ACTIVATING
         || engine->phase == PHASE_SETTLING;
}

/* Shows another version than the newest, for good. */
static gboolean
needs_newest (const QuinceWeightPlan *plan, const Engine *engine, gint64 now_us)
{
  if (plan->newest == 0 || engine->weight_version == plan->newest)
    return FALSE;
  if (engine->ahead_since_us == 0)
    return TRUE;
  return now_us - engine->ahead_since_us >= plan->limits.ahead_us;
}

/* After a failure it is staged again: what is staged may be what failed. */
static gboolean
has_staged (const QuinceWeightPlan *plan, const Engine *engine)
{
  if (engine->phase == PHASE_STAGED && engine->version == plan->newest)
    return TRUE;
  return engine->failures == 0 && engine->staged_version == plan->newest;
}

static void
add_order (QuinceWeightPlan *plan, Engine *engine, QuinceWeightOrderKind kind, GPtrArray *orders)
{
  QuinceWeightOrder *order = g_new0 (QuinceWeightOrder, 1);
  order->kind = kind;
  order->engine = g_strdup (engine->name);
  order->version = plan->newest;
  order->repair = engine->failures > 0;
  if (order->repair)
    plan->counters.repairs++;
  set_phase (engine, kind == QUINCE_WEIGHT_ORDER_STAGE ? PHASE_STAGING : PHASE_ACTIVATING, plan->newest);
  g_ptr_array_add (orders, order);
}

static void
plan_staging (QuinceWeightPlan *plan, gint64 now_us, GPtrArray *orders)
{
  guint staging = 0;
  for (guint i = 0; i < plan->engines->len; i++)
    {
      const Engine *engine = g_ptr_array_index (plan->engines, i);
      staging += engine->phase == PHASE_STAGING;
    }
  for (guint i = 0; i < plan->engines->len && staging < plan->limits.stage_parallel; i++)
    {
      Engine *engine = g_ptr_array_index (plan->engines, i);
      if (!engine->usable || is_busy (engine) || now_us < engine->retry_at_us
          || !needs_newest (plan, engine, now_us) || has_staged (plan, engine))
        continue;
      add_order (plan, engine, QUINCE_WEIGHT_ORDER_STAGE, orders);
      staging++;
    }
}

static gboolean
is_held_by_event (const QuinceWeightPlan *plan, gint64 now_us)
{
  return plan->event_start_us != 0 && now_us >= plan->event_start_us - plan->limits.hold_before_us
         && now_us < plan->event_start_us + plan->limits.hold_after_us;
}

/* An engine that has failed does not hold up the others of its service. */
static gboolean
holds_up_service (const QuinceWeightPlan *plan, const Engine *engine, gint64 now_us)
{
  return engine->usable && engine->failures == 0 && needs_newest (plan, engine, now_us)
         && !has_staged (plan, engine) && engine->phase != PHASE_ACTIVATING
         && engine->phase != PHASE_SETTLING;
}

/* How far a service is; counted once a step, since there may be thousands of engines. */
typedef struct
{
  guint engines;
  guint activating;
  gboolean held_up; /* an engine has not staged the version yet */
} ServiceProgress;

/* Returns: (transfer full): service -> ServiceProgress, names borrowed from the engines */
static GHashTable *
count_services (const QuinceWeightPlan *plan, gint64 now_us)
{
  GHashTable *services = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  for (guint i = 0; i < plan->engines->len; i++)
    {
      const Engine *engine = g_ptr_array_index (plan->engines, i);
      ServiceProgress *progress = g_hash_table_lookup (services, engine->service);
      if (progress == NULL)
        {
          progress = g_new0 (ServiceProgress, 1);
          g_hash_table_insert (services, engine->service, progress);
        }
      progress->engines++;
      /* One that has answered runs again; only its report is still to come. */
      progress->activating += engine->phase == PHASE_ACTIVATING;
      progress->held_up = progress->held_up || holds_up_service (plan, engine, now_us);
    }
  return services;
}

static gboolean
has_full_wave (const QuinceWeightPlan *plan, const ServiceProgress *progress)
{
  guint share = (guint)(progress->engines * plan->limits.activate_share);
  return progress->activating >= MAX (plan->limits.activate_parallel, share);
}

static void
plan_activation (QuinceWeightPlan *plan, gint64 now_us, GPtrArray *orders)
{
  if (is_held_by_event (plan, now_us))
    return;
  g_autoptr (GHashTable) services = count_services (plan, now_us);
  for (guint i = 0; i < plan->engines->len; i++)
    {
      Engine *engine = g_ptr_array_index (plan->engines, i);
      ServiceProgress *progress = g_hash_table_lookup (services, engine->service);
      if (progress->held_up || has_full_wave (plan, progress) || !engine->usable || is_busy (engine)
          || now_us < engine->retry_at_us || !needs_newest (plan, engine, now_us)
          || !has_staged (plan, engine))
        continue;
      add_order (plan, engine, QUINCE_WEIGHT_ORDER_ACTIVATE, orders);
      progress->activating++;
    }
}

void
quince_weight_plan_step (QuinceWeightPlan *plan, gint64 now_us, GPtrArray *orders)
{
  for (guint i = 0; i < plan->engines->len; i++)
    check_settling (plan, g_ptr_array_index (plan->engines, i), now_us);
  if (plan->newest == 0)
    return;
  plan_activation (plan, now_us, orders);
  plan_staging (plan, now_us, orders);
}

void
quince_weight_plan_get_counters (const QuinceWeightPlan *plan, QuinceWeightPlanCounters *out)
{
  *out = plan->counters;
  out->engines = plan->engines->len;
  for (guint i = 0; i < plan->engines->len; i++)
    {
      const Engine *engine = g_ptr_array_index (plan->engines, i);
      out->current += plan->newest != 0 && engine->weight_version == plan->newest;
      out->staging += engine->phase == PHASE_STAGING;
      out->activating += engine->phase == PHASE_ACTIVATING || engine->phase == PHASE_SETTLING;
    }
}
