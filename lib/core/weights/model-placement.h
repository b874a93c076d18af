/*
 * model-placement.h: which model each worker of a service serves, and which workers are in reserve.
 *
 * Each version that a worker loads has its price, so a worker is kept at the newest version of one model
 * only.  The placement follows the demand for each model, one worker at a time; a worker that no model needs
 * is in reserve and loads nothing.
 *
 * For: weight-orders.c and step-demand.c.  Owns: the placement and the demand, in memory of the leader. Pure:
 * time is an argument, in microseconds of one monotonic clock.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

typedef struct _QuinceModelPlacement QuinceModelPlacement;

QuinceModelPlacement *quince_model_placement_new (void);
void quince_model_placement_free (QuinceModelPlacement *placement);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceModelPlacement, quince_model_placement_free)
/* A step of @tokens was asked of @model, of which @samples are not done now.  A model is trained by one
 * trainer: its steps are averaged, not added. */
void quince_model_placement_add_demand (QuinceModelPlacement *placement,
                                        gint64 now_us,
                                        const char *model,
                                        double tokens,
                                        guint samples);

/* A step of @model took @took_us where @due_us were allowed: models that are late get workers of models that
 * are early. */
void quince_model_placement_record_step (QuinceModelPlacement *placement,
                                         const char *model,
                                         gint64 took_us,
                                         gint64 allowed_us);

/**
 * QuincePlacementWorker:
 * @id: of the worker; lives through the call
 * @held: (nullable): the model that it was brought to last
 */
typedef struct
{
  const char *id;
  const char *loaded_model;
} QuincePlacementWorker;

/**
 * quince_model_placement_assign:
 * @models: names, all of one service
 * @workers: (element-type QuincePlacementWorker): the workers of that service that take work
 * @slots: samples that a worker runs at once
 *
 * Gives placement to as many workers as the samples of each model need, all where that is not known, and
 * moves one worker where the demand has shifted.
 */
void quince_model_placement_assign (QuinceModelPlacement *placement,
                                    gint64 now_us,
                                    const GPtrArray *models,
                                    const GArray *workers,
                                    guint slots);
/* NULL: the worker has none, or is not one. */
const char *quince_model_placement_get (QuinceModelPlacement *placement, const char *worker);

G_END_DECLS
