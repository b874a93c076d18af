/*
 * sample-set.h: the samples of open batches, and what the parts of the sample runner look up for them:
 * routes, regions, lengths and paces.
 *
 * For: sample-runner.c, which owns the set, and the parts between which a sample's states are divided:
 * sample-dispatch.c (waiting), sample.c and sample-moves.c (running), sample-outcome.c (its run has ended),
 * sample-reward.c (its text is scored), sample-result.c (done).  Each calls the next ones alone; what
 * concerns the owner goes there as an event.  Owns: the samples, a length model for each model, the last
 * known pace of each service.  Relies on: the observer for the configuration, the backends for the workers.
 */
#pragma once

#include "core/batches/length-model.h"
#include "observer/observer.h"

#include "sample.h"
#include "step-report.h"

/**
 * QuinceSampleSetCallbacks:
 * @done: @sample is done or abandoned, with @result, which lives until this returns; @sample may be released
 * @request_dispatch: samples may be dispatched after @wait_ms, or sooner
 */
typedef struct
{
  void (*done) (QuinceSample *sample, const QuinceBatchResult *result, gpointer owner);
  void (*request_dispatch) (guint wait_ms, gpointer owner);
} QuinceSampleSetCallbacks;

typedef struct
{
  /* All fields belong to the main context. */
  QuinceBackends *backends;   /* not owned */
  QuinceObserver *observer;   /* not owned */
  QuinceStepReports *reports; /* owned */
  GPtrArray *samples;         /* QuinceSample, owned, in order of their start */
  GHashTable *length_models;  /* QuinceLengthModel by model, owned */
  GHashTable *paces;          /* the last known fastest pace by service, owned */
  guint running;
  guint waiting; /* at the last check of all samples */
  const QuinceSampleSetCallbacks *callbacks;
  gpointer owner;
} QuinceSampleSet;

void quince_sample_set_init (QuinceSampleSet *set,
                             QuinceBackends *backends,
                             QuinceObserver *observer,
                             const QuinceSampleSetCallbacks *callbacks,
                             gpointer owner);
/* Cancels all that runs. */
void quince_sample_set_clear (QuinceSampleSet *set);
/* The route of a batch or of a reward call; %NULL: no configuration has one. */
const QuinceRoute *
quince_sample_set_find_route (const QuinceSampleSet *set, const char *host, const char *path);
const QuinceRoute *quince_sample_set_get_batch_route (const QuinceSampleSet *set,
                                                      const QuinceBatchJob *batch);
/* The regions that the route and the tenant of @entry allow now. */
void quince_sample_set_get_residency (const QuinceSampleSet *set,
                                      const QuinceBatchEntry *entry,
                                      QuinceResidency *residency);
/* What is known of the lengths of @model's texts. */
QuinceLengthModel *quince_sample_set_get_length_model (QuinceSampleSet *set, const char *model);
/* Events of @sample that are still to come, by the length model. */
double quince_sample_set_estimate_remaining_events (QuinceSampleSet *set, const QuinceSample *sample);
/* The service of @route whose workers run @sample. */
const char *quince_sample_set_pick_service (const QuinceRoute *route, const QuinceSample *sample);

/* One sample's service, as it is now; quince_sample_service_view_clear(). */
typedef struct
{
  const char *service;
  GPtrArray *workers;     /* owned reference: QuinceWorker */
  gint64 fastest_pace_us; /* between two events; 0: none is measured */
  guint slots;            /* runs at once of one worker */
} QuinceSampleServiceView;

void quince_sample_set_get_service_view (QuinceSampleSet *set,
                                         const QuinceRoute *route,
                                         const QuinceSample *sample,
                                         gint64 now_us,
                                         QuinceSampleServiceView *view);
void quince_sample_service_view_clear (QuinceSampleServiceView *view);
