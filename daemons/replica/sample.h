/*
 * sample.h: one sample: its text so far, the run that makes it, and its reward call.
 *
 * For: the parts of the sample runner; see sample-set.h.  Owns: the text, the exchange with the worker, the
 * reward call. Relies on: the backends for connections, core/decisions/silence.h.
 */
#pragma once

#include "core/decisions/sample-next.h"
#include "forward/backends.h"
#include "core/batches/batch-table.h"
#include "forward/forward.h"
#include "core/request/request-digest.h"
#include "core/routing/worker-table.h"

#include "platform.h"
#include "runtime/timer.h"

typedef enum
{
  QUINCE_SAMPLE_WAITING, /* for a worker                                  */
  QUINCE_SAMPLE_RUNNING, /* a worker makes its text                       */
  QUINCE_SAMPLE_SCORING, /* its text is whole; the reward call is made    */
  QUINCE_SAMPLE_DONE,    /* handed over                                   */
} QuinceSampleState;

typedef struct _QuinceSample QuinceSample;

struct _QuinceSample
{
  /* All fields belong to the main context. */
  QuinceBatchEntry *entry; /* not owned */
  guint item;
  QuinceSampleState state;
  GString *text;            /* data of the events so far, joined by line feeds */
  guint64 last_event;       /* id of the last whole event; 0: none */
  GArray *versions;         /* guint64: that made an event of the text */
  guint64 replicated_event; /* backups know the text up to here */
  gsize replicated_bytes;
  guint replicated_failures;
  guint64 run_version;         /* of the run in progress */
  guint failures;              /* answers of workers that failed */
  guint unprocessable_answers; /* answers of workers that it can never be done */
  guint reward_failures;
  guint runs;
  char *avoid_worker;     /* the last one that failed it; NULL: none */
  gint64 next_attempt_us; /* pause after a failure */
  gint64 give_up_us;      /* monotonic; 0: never */
  gint64 submitted_us;    /* monotonic */
  gboolean single_version;
  guint estimated_tokens;         /* by its caller; 0: none */
  guint moves;                    /* runs that were cut to go on elsewhere */
  QuinceRequestIdentity identity; /* see quince_sample_get_identity() */
  gboolean has_identity;
  QuinceSendPermit permit;          /* of the run in progress */
  QuinceAdmission logged_admission; /* that it is held or protected; else QUINCE_ADMISSION_GRANTED */

  /* The run in progress. */
  char *worker_id;
  QuinceBackends *backends;
  QuinceHttpExchange *exchange;
  QuincePlatformEvents *events;
  QuinceTimer *silence_timer;
  gint64 last_received_us;
  gint64 started_us;
  gint64 last_event_us; /* when the last event came; 0: none since weights were loaded */
  gboolean accepted;    /* the head of a good answer has come */
  void (*run_ended) (QuinceSample *sample, QuinceRunEnd end, const char *cause, gpointer user_data);
  gpointer user_data;

  QuinceForward *reward;
};

QuinceSample *quince_sample_new (QuinceBatchEntry *entry, guint item);
/* Cancels what runs. */
void quince_sample_free (QuinceSample *sample);
const QuinceBatchItem *quince_sample_get_item (const QuinceSample *sample);
/* Made when it is first asked for.  Samples of a group share their prompt. */
const QuinceRequestIdentity *quince_sample_get_identity (QuinceSample *sample);
/* Begins a run on @worker; run_ended() is called once, never before this returns. */
void quince_sample_start_run (QuinceSample *sample,
                              QuinceBackends *backends,
                              QuinceWorker *worker,
                              gint priority,
                              void (*run_ended) (QuinceSample *, QuinceRunEnd, const char *cause, gpointer),
                              gpointer user_data);
/* Ends the run in progress for @cause; run_ended() is called. */
void quince_sample_stop_run (QuinceSample *sample, QuinceRunEnd end, const char *cause);
/* Drops the text made so far. */
void quince_sample_discard_text (QuinceSample *sample);
