/*
 * sample.h: one sample: its text so far, its current run, and its reward call.
 *
 * A sample owns its text, the exchange with the worker and the reward call.
 */
#pragma once

#include "core/decisions/sample-next.h"
#include "forward/backends.h"
#include "core/batches/batch-table.h"
#include "core/batches/progress-selection.h"
#include "forward/forward.h"
#include "core/request/request-digest.h"
#include "core/routing/worker-table.h"

#include "platform.h"
#include "runtime/timer.h"

typedef enum
{
  QUINCE_SAMPLE_WAITING, /* waits for a worker */
  QUINCE_SAMPLE_RUNNING, /* a worker generates its text */
  QUINCE_SAMPLE_SCORING, /* its text is complete; waits for the reward call */
  QUINCE_SAMPLE_DONE,    /* its result is delivered */
} QuinceSampleState;

/* Maximum length of the text of a sample, bytes: callers read at most 1 MB of results in one answer, and at
 * least one result. */
#define QUINCE_SAMPLE_TEXT_MAX_BYTES (1024 * 1024)

typedef struct _QuinceSample QuinceSample;

/* The part of a sample's text that a further backup has.  @stream: stream of reports that it was sent in
 * (progress-copies.c); 0: none */
typedef struct
{
  guint64 stream;
  guint64 event; /* last event that was sent */
  gsize bytes;   /* length of the text up to @event */
} QuinceSampleCopy;

struct _QuinceSample
{
  /* All fields belong to the main context. */
  QuinceBatchEntry *entry; /* not owned */
  guint item;              /* index in the batch */
  QuinceSampleState state;
  GString *text;            /* data of the received events, joined by line feeds */
  guint64 last_event;       /* id of the last complete event; 0: none */
  GArray *versions;         /* guint64: weight versions that generated events of the text */
  guint64 replicated_event; /* last event that was collected for the successor */
  gsize replicated_bytes;   /* length of the text up to replicated_event */
  guint replicated_failures;
  QuinceSampleCopy *copies;    /* QUINCE_PROGRESS_COPIES_MAX further copies; NULL: nothing was sent to any */
  guint64 run_version;         /* weight version of the current run */
  guint failures;              /* answers with status 500 */
  guint unprocessable_answers; /* answers with status 422 */
  guint reward_failures;       /* failed attempts of the reward call */
  guint runs;
  guint runs_without_event;       /* in turn, up to the last run that ended */
  char *avoid_worker;             /* worker of the last run; NULL: none */
  gint64 next_attempt_us;         /* no run or reward call before, monotonic; 0: no pause */
  gint64 give_up_us;              /* deadline, monotonic; 0: none */
  gint64 submitted_us;            /* monotonic */
  gboolean single_version;        /* the whole text must come from one weight version */
  guint estimated_tokens;         /* by the caller; 0: no estimate */
  guint moves;                    /* runs stopped to resume at a faster worker */
  QuinceRequestIdentity identity; /* see quince_sample_get_identity() */
  gboolean has_identity;
  QuinceSendPermit permit; /* permit of the current run */
  gint64 suspect_run_us;   /* last run by permit or reward call that ran in vain, monotonic; 0: none */
  QuinceAdmission logged_admission; /* last refusal that was logged; QUINCE_ADMISSION_GRANTED: none */

  /* The current run. */
  QuinceWorkerRef worker;
  QuinceBackends *backends;
  QuinceHttpExchange *exchange;
  QuincePlatformEventParser *event_parser;
  QuinceTimer *silence_timer;
  gint64 last_received_us; /* start of the run, or when its head or its last event arrived */
  gint64 started_us;
  guint64 event_at_start; /* last event before the run */
  gint64 last_event_us;   /* time of the last event; 0: none since the worker loaded weights */
  gboolean accepted;      /* a valid response head with status 200 has arrived */
  void (*run_ended) (QuinceSample *sample, QuinceRunEnd end, const char *cause, gpointer user_data);
  gpointer user_data;

  QuinceForward *reward;    /* the reward call; NULL: none */
  gint64 reward_started_us; /* start of the last reward call, monotonic */
};

QuinceSample *quince_sample_new (QuinceBatchEntry *entry, guint item);
/* Cancels the current run and the reward call.  run_ended() is not called. */
void quince_sample_free (QuinceSample *sample);
const QuinceBatchItem *quince_sample_get_item (const QuinceSample *sample);
/* Returns: (transfer none): digests of the request and its prompt, computed on first use.  Samples of a group
 * share the digest of the prompt. */
const QuinceRequestIdentity *quince_sample_get_identity (QuinceSample *sample);
/* Starts a run on @worker.  run_ended() is called once, never before this returns, unless the sample is freed
 * first.  @priority: at the worker; 0 is the highest */
void quince_sample_start_run (QuinceSample *sample,
                              QuinceBackends *backends,
                              QuinceWorker *worker,
                              gint priority,
                              void (*run_ended) (QuinceSample *, QuinceRunEnd, const char *cause, gpointer),
                              gpointer user_data);
/* Stops the current run and calls run_ended() with @end and @cause before it returns. */
void quince_sample_stop_run (QuinceSample *sample, QuinceRunEnd end, const char *cause);
/* Records that no backup has the current text, so that the next reports contain all of it. */
void quince_sample_reset_replication (QuinceSample *sample);
/* Discards the text, so that the next run starts from the beginning. */
void quince_sample_discard_text (QuinceSample *sample);
