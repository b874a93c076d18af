/*
 * version-forecast.h: weight version that a trainer will hold at a later pull.
 *
 * A trainer's version grows from step to step.  Until two advances have been
 * seen, one version a step is taken; afterwards the smaller one of the last
 * two, so that a single leap holds no sample back.
 *
 * Soft state: it decides when a sample is started, never what is delivered.
 * A replica that lacks it (after a snapshot) expects no growth.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

typedef struct
{
  gboolean known;    /* whether a pull has been seen                          */
  guint64 step;      /* greatest step that was pulled                         */
  guint64 version;   /* greatest version of its pulls                         */
  gboolean has_base; /* whether an earlier step's pull was seen               */
  guint64 base;      /* version with which the step before was pulled last    */
  guint64 growth[2]; /* versions gained by the last two advances, newest first */
} QuinceVersionForecast;

void quince_version_forecast_init (QuinceVersionForecast *forecast);

/**
 * quince_version_forecast_observe:
 * @step: of an accepted pull
 * @version: greatest weight version that the trainer has named
 *
 * Returns: whether the forecast has changed
 */
gboolean quince_version_forecast_observe (QuinceVersionForecast *forecast, guint64 step, guint64 version);

/**
 * quince_version_forecast_get:
 * @steps_on: steps between the last pulled one and the one asked for, 0 for itself
 *
 * Returns: version expected at that step's pull; 0 when nothing is known
 */
guint64 quince_version_forecast_get (const QuinceVersionForecast *forecast, guint steps_on);

G_END_DECLS
