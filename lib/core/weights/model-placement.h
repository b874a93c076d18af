/*
 * model-placement.h: decides which model each worker of a service serves and which workers are in reserve.
 *
 * Loading a version stops a worker for a moment, so each worker is kept at the newest version of one model
 * only.  Workers move between models one at a time as the demand changes.  A worker that no model needs
 * is in reserve and loads nothing.
 *
 * The leader keeps the assignments and the demand in memory; weight-orders.c and step-demand.c use them.  All
 * times are microseconds of one monotonic clock.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

typedef struct _QuinceModelPlacement QuinceModelPlacement;

QuinceModelPlacement *quince_model_placement_new (void);
void quince_model_placement_free (QuinceModelPlacement *placement);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceModelPlacement, quince_model_placement_free)
/* Records a new step of @tokens for @model, of which @samples are unfinished.  Steps of a model come from one
 * trainer, one after another, so they are averaged rather than added. */
void quince_model_placement_add_demand (QuinceModelPlacement *placement,
                                        gint64 now_us,
                                        const char *model,
                                        double tokens,
                                        guint samples);

/* Records that a step of @model took @took_us of the @allowed_us until its deadline.  Models whose steps are
 * late get workers of models whose steps are early.  Does nothing if @allowed_us is not positive or no demand
 * for @model was recorded. */
void quince_model_placement_record_step (QuinceModelPlacement *placement,
                                         const char *model,
                                         gint64 took_us,
                                         gint64 allowed_us);

/**
 * QuincePlacementWorker:
 * @id: id of the worker, valid during the call
 * @loaded_model: (nullable): the model that the worker loaded last
 * @model: (out) (nullable): the model that the worker is assigned to; %NULL: it is in reserve
 */
typedef struct
{
  const char *id;
  const char *loaded_model;
  const char *model;
} QuincePlacementWorker;

/**
 * quince_model_placement_assign:
 * @models: names of all models of one service
 * @workers: (element-type QuincePlacementWorker): the workers of that service that accept work
 * @slots: number of samples that a worker runs at once
 *
 * Assigns as many workers to each model as its samples need, or all workers while no samples have been
 * recorded.  Moves at most one worker between models or to the reserve.  Sets the model of each worker. Looks
 * each worker up once: a leader does this several times a second for all workers.
 */
void quince_model_placement_assign (QuinceModelPlacement *placement,
                                    gint64 now_us,
                                    const GPtrArray *models,
                                    GArray *workers,
                                    guint slots);
/* Returns the model that @worker is assigned to, or NULL if @worker is in reserve or unknown. */
const char *quince_model_placement_get (QuinceModelPlacement *placement, const char *worker);

G_END_DECLS
