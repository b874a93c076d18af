/*
 * sample-set.h: the samples of open batches, and lookups of routes, regions, lengths and paces for them.
 *
 * sample-runner.c owns the set.  Each state of a sample is handled by its own files: sample-dispatch.c
 * (waiting), sample.c and sample-moves.c (running), sample-outcome.c (end of a run), sample-reward.c
 * (scoring), sample-result.c (done).  They notify the owner of the set by callbacks.
 */
#pragma once

#include "core/batches/length-model.h"
#include "observer/observer.h"

#include "sample.h"
#include "step-report.h"

/**
 * QuinceSampleSetCallbacks:
 * @done: a sample is completed or abandoned; @result is valid during the call, and @sample may be freed
 * @request_dispatch: requests a check of all samples in @wait_ms, ms, or earlier
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
  GPtrArray *samples;         /* QuinceSample, owned, in dispatch order */
  GHashTable *length_models;  /* QuinceLengthModel by model, owned */
  GHashTable *paces;          /* cached paces by service, owned */
  GHashTable *reward_times;   /* smoothed duration of reward calls (gint64, us) by model, both owned */
  guint running;              /* number of running samples */
  guint waiting;              /* number of waiting samples at the last check */
  const QuinceSampleSetCallbacks *callbacks;
  gpointer owner;
} QuinceSampleSet;

void quince_sample_set_init (QuinceSampleSet *set,
                             QuinceBackends *backends,
                             QuinceObserver *observer,
                             const QuinceSampleSetCallbacks *callbacks,
                             gpointer owner);
/* Cancels all runs and reward calls. */
void quince_sample_set_clear (QuinceSampleSet *set);
/* Returns: (transfer none) (nullable): the route of a batch or reward call, or %NULL if none is configured */
const QuinceRoute *
quince_sample_set_find_route (const QuinceSampleSet *set, const char *host, const char *path);
const QuinceRoute *quince_sample_set_get_batch_route (const QuinceSampleSet *set,
                                                      const QuinceBatchJob *batch);
/* Sets @residency to the regions that the route and the tenant of @entry allow now. */
void quince_sample_set_get_residency (const QuinceSampleSet *set,
                                      const QuinceBatchEntry *entry,
                                      QuinceResidency *residency);
/* Returns: (transfer none): the length model of the texts of @model, created on first use */
QuinceLengthModel *quince_sample_set_get_length_model (QuinceSampleSet *set, const char *model);
/* Returns the expected number of remaining events of @sample. */
double quince_sample_set_estimate_remaining_events (QuinceSampleSet *set, const QuinceSample *sample);
/* Records that the reward call of @sample took @duration_us. */
void
quince_sample_set_record_reward_time (QuinceSampleSet *set, const QuinceSample *sample, gint64 duration_us);
/* Returns the usual duration of the reward call of @sample, us; 0 if it has none or none was measured. */
gint64 quince_sample_set_get_reward_time_us (const QuinceSampleSet *set, const QuinceSample *sample);
/* Returns the service of @route whose workers run @sample. */
const char *quince_sample_set_pick_service (const QuinceRoute *route, const QuinceSample *sample);

/* Current state of the service of one sample.  Cleared by quince_sample_service_view_clear(). */
typedef struct
{
  const char *service;
  GPtrArray *workers;     /* owned reference: QuinceWorker */
  gint64 fastest_pace_us; /* time between two events at the fastest worker; 0: unknown */
  gint64 slow_phase_us;   /* mean duration of a slow phase of a worker; 0: not known */
  guint slots;            /* maximum concurrent runs of one worker */
} QuinceSampleServiceView;

void quince_sample_set_get_service_view (QuinceSampleSet *set,
                                         const QuinceRoute *route,
                                         const QuinceSample *sample,
                                         gint64 now_us,
                                         QuinceSampleServiceView *view);
void quince_sample_service_view_clear (QuinceSampleServiceView *view);
