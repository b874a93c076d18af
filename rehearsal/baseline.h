/*
 * baseline.h: a plain router, to compare the service with.
 *
 *   baseline.c              flags, requests by path
 *   baseline-engines.c      choice of an engine
 *   baseline-run.c          one request on one engine after another
 *   baseline-completions.c  callers' requests
 *   baseline-rollouts.c     trainers' samples, in memory
 *   baseline-weights.c      swaps, one engine after the other
 *
 * It has the agent's HTTP interface, but no queue, no fairness, no refusal and
 * no policy: every request goes to an engine at once.  Everything runs on the
 * main thread.
 */
#pragma once

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>

#include <quince/engine-client.h>

G_BEGIN_DECLS

typedef enum
{
  BASELINE_ROUND_ROBIN,
  BASELINE_LEAST_OUTSTANDING,
  BASELINE_PREFIX_HASH,
} BaselineMode;

typedef struct
{
  char *name;
  char *address; /* ip:port */
  char *service;
  guint outstanding;     /* runs that are there now                      */
  gint64 avoid_until_us; /* it failed lately                             */
} BaselineEngine;

#define BASELINE_SESSIONS 64

typedef struct _BaselineRollouts BaselineRollouts;
typedef struct _BaselineWeights BaselineWeights;

typedef struct
{
  BaselineMode mode;
  GPtrArray *engines;   /* BaselineEngine, owned */
  guint next;           /* engine, in turn       */
  SoupSession *session; /* of orders; owned      */
  /* Of runs, in turn; owned.  One session is slow when many messages start at once. */
  SoupSession *run_sessions[BASELINE_SESSIONS];
  guint next_session;
  BaselineRollouts *rollouts; /* owned                 */
  BaselineWeights *weights;   /* owned; NULL: another swaps */
} Baseline;

/* baseline-engines.c */

/* Adds the engines of "name=ip:port,service;..."; FALSE when one is malformed. */
gboolean baseline_add_engines (Baseline *baseline, const char *text);
void baseline_engine_free (gpointer engine);
/* (transfer none) (nullable): the engine for one more run */
BaselineEngine *baseline_choose_engine (Baseline *baseline, const char *service, const char *prompt);

/* baseline-run.c */

typedef enum
{
  BASELINE_WHOLE,
  BASELINE_NOT_RUN,
  BASELINE_UNKNOWN, /* it may have run, in part or wholly */
} BaselineEnd;

/* Tokens in a row under one weight version. */
typedef struct
{
  guint64 version;
  guint first_token;
  guint token_count;
} BaselineSegment;

/* One request, on one engine after another until one ran it. */
typedef struct
{
  Baseline *baseline;
  char *service;
  char *prompt;
  char *id;
  guint max_tokens;
  guint tries_left;
  gboolean repeatable; /* may be tried again though an engine may have run it */
  /* Called with tokens as they come; NULL: nobody wants them before the end. */
  void (*on_chunk) (const QuinceEngineChunk *chunk, gpointer user_data);
  /* Called once, last; the run is freed after it. */
  void (*on_end) (BaselineEnd end, gpointer user_data);
  gpointer user_data;
  guint attempt;
  BaselineEngine *engine; /* of the present attempt, NULL between attempts */
  QuinceEngineCall *call; /* of the present attempt, owned                 */
  char *engine_name;      /* of the last attempt                           */
  GString *text;          /* of the present attempt                        */
  GArray *segments;       /* BaselineSegment, of the present attempt       */
  GSource *pause;         /* before the next attempt                       */
} BaselineRun;

BaselineRun *baseline_run_new (Baseline *baseline,
                               const char *service,
                               const char *prompt,
                               const char *id,
                               guint max_tokens);
void baseline_run_start (BaselineRun *run);
guint baseline_run_count_tokens (const BaselineRun *run);
/* Adds the member "segments" to the object that @builder is in. */
void baseline_run_describe_segments (const BaselineRun *run, JsonBuilder *builder);

/* baseline-completions.c */
void baseline_handle_completion (Baseline *baseline, SoupServerMessage *message);

/* baseline-rollouts.c */
BaselineRollouts *baseline_rollouts_new (Baseline *baseline, guint samples_at_once);
void baseline_rollouts_free (BaselineRollouts *rollouts);
void baseline_handle_rollout (BaselineRollouts *rollouts, SoupServerMessage *message);
/* @path: TRAINER/pull or TRAINER/release */
void baseline_handle_trainer (BaselineRollouts *rollouts, SoupServerMessage *message, const char *path);

/* baseline-weights.c */
BaselineWeights *baseline_weights_new (Baseline *baseline, const char *store);
void baseline_weights_free (BaselineWeights *weights);

/* Subcommand "baseline". */
int quince_baseline_run (int argc, char **argv);

G_END_DECLS
