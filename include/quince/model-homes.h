/*
 * model-homes.h: which model each worker of a service serves, where several are trained.
 *
 * Each version that a worker loads has its price, so a worker is kept at the newest version of one model
 * only, its home.  Homes follow the demand for each model, one worker at a time.
 *
 * Pure: time is an argument, in microseconds of one monotonic clock.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

typedef struct _QuinceModelHomes QuinceModelHomes;

QuinceModelHomes *quince_model_homes_new (void);
void quince_model_homes_free (QuinceModelHomes *homes);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceModelHomes, quince_model_homes_free)
/* Work of @tokens was asked of @model. */
void quince_model_homes_add_demand (QuinceModelHomes *homes, gint64 now_us, const char *model, double tokens);
/**
 * quince_model_homes_assign:
 * @models: names, all of one service
 * @workers: ids of the workers of that service that take work
 *
 * Gives each worker a home, and moves one worker where the demand has shifted.
 */
void quince_model_homes_assign (QuinceModelHomes *homes,
                                gint64 now_us,
                                const GPtrArray *models,
                                const GPtrArray *workers);
/* NULL: the worker has none. */
const char *quince_model_homes_get (QuinceModelHomes *homes, const char *worker);

G_END_DECLS
