/*
 * load-plan.h: decides which workers load new weights now and which load them later.
 *
 * A load stops all runs of a worker for about a second.  A training step accepts weights that are one version
 * old, so a worker that is one version behind can still serve it.  Such a worker loads once the samples of
 * the step have started and its own long runs have ended.  A worker that is too far behind loads immediately.
 *
 * weight-orders.c fills a new plan for each check.  The plan does no I/O.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

typedef struct _QuinceLoadPlan QuinceLoadPlan;

QuinceLoadPlan *quince_load_plan_new (void);
void quince_load_plan_free (QuinceLoadPlan *plan);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceLoadPlan, quince_load_plan_free)
/* Records an unfinished sample of @model that needs weights of @minimum_version or newer.  @is_waiting is
 * TRUE if the sample could start now but has no worker yet. */
void quince_load_plan_record_sample (QuinceLoadPlan *plan,
                                     const char *model,
                                     guint64 minimum_version,
                                     gboolean is_waiting);
/* Records a sample that runs on @worker and is expected to take @duration_us in total. */
void quince_load_plan_record_run (QuinceLoadPlan *plan, const char *worker, gint64 duration_us);

/**
 * QuincePendingLoad:
 * @worker: id of the worker
 * @model: model to load
 * @loaded_version: version of @model that the worker has; 0 if none
 * @wanted_version: newest announced version of @model, greater than @loaded_version
 * @version_age_us: time since this leader first considered a load of @wanted_version, us
 */
typedef struct
{
  const char *worker;
  const char *model;
  guint64 loaded_version;
  guint64 wanted_version;
  gint64 version_age_us;
} QuincePendingLoad;

/* Returns TRUE if the worker is to load later, FALSE if it is to load now. */
gboolean quince_load_plan_should_defer (const QuinceLoadPlan *plan, const QuincePendingLoad *load);

G_END_DECLS
