/*
 * trainer.h: parts of the trainer stand-in.
 *
 *   trainer.c         flags, records
 *   trainer-loop.c    the loop over steps, on a thread of its own
 *   trainer-client.c  calls to any agent, repeated until one answers
 *   trainer-check.c   what a delivered batch must fulfil
 */
#pragma once

#include "standin.h"

G_BEGIN_DECLS

typedef struct
{
  QuinceStandinFlags common;
  char **agents; /* ip:port                                            */
  const char *member;
  const char *publish_to; /* ip:port of the weight store; NULL: nowhere */
  guint64 steps;
  guint64 samples; /* of a step                                        */
  guint64 staleness;
  guint64 version;      /* at start                                     */
  guint64 tokens;       /* of an ordinary sample                        */
  double tail_fraction; /* of samples that are long                    */
  double tail_factor;   /* by how much they are longer                 */
  guint64 step_ms;      /* time to train on a batch                     */
  guint64 ahead;        /* steps submitted before they are pulled       */
  guint64 seed;
  guint64 timeout_s; /* without progress: give up                      */
  gboolean linger;   /* serve records after the last step              */
} TrainerSettings;

typedef struct
{
  gboolean pause; /* make no calls */
} TrainerFaults;

/* What happened; under Trainer.lock. */
typedef struct
{
  guint64 steps_done;
  guint64 delivered;      /* samples                                    */
  guint64 lost;           /* samples that a whole batch lacks           */
  guint64 duplicated;     /* samples delivered a second time            */
  guint64 unknown;        /* samples that were not asked for            */
  guint64 bad_text;       /* text is not the sample's own, or not whole */
  guint64 bad_segments;   /* segments do not cover the tokens           */
  guint64 over_staleness; /* samples older than the bound               */
  guint64 mixed;          /* samples with more than one weight version  */
  guint64 staleness_sum;  /* of the oldest segment of each sample       */
  guint64 conflicts;      /* answers 409                                */
  guint64 repeats;        /* calls repeated after a cut or an error     */
  gint64 idle_us;         /* waiting for batches                        */
  gint64 busy_us;         /* training                                   */
} TrainerCounters;

typedef struct
{
  TrainerSettings settings;
  TrainerFaults faults;
  QuinceStandin *standin;
  GThread *thread;
  GCancellable *cancellable; /* ends the loop                               */
  SoupSession *session;      /* the loop's                                  */
  guint agent;               /* the loop's: agent that answered last        */
  GHashTable *delivered_ids; /* the loop's: ids delivered so far            */
  GMutex lock;
  TrainerCounters counters; /* under lock                                   */
  GString *deliveries;      /* under lock: JSON rows, at most MAX_DELIVERIES */
  guint64 n_deliveries;     /* under lock: rows                             */
  gboolean aborted;         /* under lock                                   */
} Trainer;

/* trainer-client.c */

/* One call to any agent, repeated until an answer other than 5xx comes, or
 * the loop ends (status 0).  Returns: (transfer full) (nullable): answer */
JsonNode *trainer_call (Trainer *trainer, const char *path, const char *body, guint *status);
/* Tells the weight store of a new version. */
gboolean trainer_publish (Trainer *trainer, guint64 version);
/* Sleeps unless the loop ends first. */
void trainer_sleep (Trainer *trainer, guint64 milliseconds);

/* trainer-check.c */

/* Tokens of a sample, from the seed alone. */
guint64 trainer_sample_tokens (const TrainerSettings *settings, guint64 step, guint64 sample);
char *trainer_sample_id (guint64 step, guint64 sample);
char *trainer_sample_prompt (const TrainerSettings *settings, guint64 step, guint64 sample);
/* Checks the batch of @step that was handed over at @version; counts. */
void trainer_check_batch (Trainer *trainer, JsonObject *batch, guint64 step, guint64 version);

/* trainer-loop.c */
gpointer trainer_loop (gpointer trainer);

/* trainer.c */
void trainer_on_loop_ended (Trainer *trainer); /* main thread */

G_END_DECLS
