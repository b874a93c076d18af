/*
 * load-plan.h: which workers load new weights now, and which a little later.
 *
 * A load stops all runs of a worker for about a second.  A trainer's step asks for weights that may be one
 * version old, so a worker that is one version behind still serves it: it loads once the step's samples have
 * begun and its own long runs have ended.  A worker that serves no step loads at once.
 *
 * For: weight-orders.c, which fills a plan for each check.  Owns: the plan's counts.  Pure.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

typedef struct _QuinceLoadPlan QuinceLoadPlan;

QuinceLoadPlan *quince_load_plan_new (void);
void quince_load_plan_free (QuinceLoadPlan *plan);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceLoadPlan, quince_load_plan_free)
/* A sample of @model is not done, and needs @minimum_version or newer; @waits: it has no worker yet. */
void quince_load_plan_record_sample (QuinceLoadPlan *plan,
                                     const char *model,
                                     guint64 minimum_version,
                                     gboolean is_waiting);
/* A sample runs at @worker and is expected to take @lasts_us from its start to its end. */
void quince_load_plan_record_run (QuinceLoadPlan *plan, const char *worker, gint64 duration_us);

/**
 * QuincePendingLoad:
 * @worker: id
 * @model: that it is to serve
 * @has: version that it has of it
 * @wanted: version that was named last
 * @version_age_us: since when @wanted is known here
 */
typedef struct
{
  const char *worker;
  const char *model;
  guint64 loaded_version;
  guint64 wanted_version;
  gint64 version_age_us;
} QuincePendingLoad;

/* Whether the load of a worker that is behind is put off. */
gboolean quince_load_plan_should_defer (const QuinceLoadPlan *plan, const QuincePendingLoad *load);

G_END_DECLS
