/*
 * version-forecast.c: weight version that a trainer will hold at a later pull.
 */
#include "version-forecast.h"

/* Growth of a trainer that has not shown its own: weights of each step are published. */
static const guint64 USUAL_GROWTH = 1;

void
quince_version_forecast_init (QuinceVersionForecast *forecast)
{
  *forecast = (QuinceVersionForecast){ .growth = { USUAL_GROWTH, USUAL_GROWTH } };
}

static void
advance (QuinceVersionForecast *forecast, guint64 step)
{
  if (forecast->known)
    {
      forecast->has_base = TRUE;
      forecast->base = forecast->version;
      forecast->growth[1] = forecast->growth[0];
    }
  forecast->known = TRUE;
  forecast->step = step;
}

gboolean
quince_version_forecast_observe (QuinceVersionForecast *forecast, guint64 step, guint64 version)
{
  gboolean is_new = !forecast->known || step > forecast->step;

  if (!is_new && (step < forecast->step || version <= forecast->version))
    return FALSE;
  if (is_new)
    advance (forecast, step);
  forecast->version = MAX (forecast->version, version);
  if (forecast->has_base)
    forecast->growth[0] = forecast->version - forecast->base;
  return TRUE;
}

guint64
quince_version_forecast_get (const QuinceVersionForecast *forecast, guint steps_on)
{
  guint64 growth = MIN (forecast->growth[0], forecast->growth[1]);

  if (!forecast->known)
    return 0;
  /* Saturates: a version at the end of its range never wraps. */
  if (growth != 0 && steps_on > (G_MAXUINT64 - forecast->version) / growth)
    return G_MAXUINT64;
  return forecast->version + steps_on * growth;
}
