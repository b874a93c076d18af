/*
 * engine.h: parts of the model engine stand-in.
 *
 *   engine.c              flags, requests by path, faults
 *   engine-completions.c  HTTP side of a sequence
 *   engine-batch.c        waiting queue, continuous batching, time
 *   engine-cache.c        prefix cache and its events
 *   engine-weights.c      fenced orders: stage, activate, leave, role
 *   engine-records.c      what it truly did
 *
 * Everything runs on the main thread.
 */
#pragma once

#include "standin.h"

G_BEGIN_DECLS

/* ---- Settings and faults ---- */

typedef struct
{
  QuinceStandinFlags common;
  guint64 capacity;               /* sequences that run at once                      */
  guint64 queue;                  /* sequences that may wait                         */
  guint64 token_us;               /* time of one token in a batch of one             */
  guint64 batch_slowdown_percent; /* by how much a full batch is slower, per sequence */
  guint64 prefill_us;             /* time of one prompt token                        */
  guint64 tick_ms;                /* step of the simulation                          */
  guint64 cache_blocks;           /* prefix blocks kept                              */
  guint64 event_lag_ms;           /* cache events are published this late            */
  guint64 event_gap;              /* one event of so many is never published; 0: all are */
  guint64 load_lag_ms;            /* load report is renewed this often; 0: always    */
  guint64 version;                /* weight version at start                         */
  guint64 swap_ms;                /* time of a weight swap                           */
  const char *weights;            /* ip:port of the weight store; NULL: stage at once */
  const char *records_file;       /* written at a crash; NULL: none                  */
} EngineSettings;

typedef struct
{
  const char *refuse;         /* "overloaded", "leaving", "wrong_version": refuse every completion */
  const char *swap_fail;      /* "keep": the old version stays; "other": see swap_other_version   */
  guint64 swap_other_version; /* version that a failed swap ends on                             */
  guint64 swap_fail_times;    /* swaps that fail; 0: all while swap_fail is set                   */
  guint64 crash_ms;           /* drop connections and state, stay dead so long                    */
  gboolean crash_exit;        /* drop everything and exit with 3                                  */
  double slow_factor;         /* every step takes so many times longer                            */
  gboolean hang;              /* accept, never answer, stop running                               */
  guint64 cut_after_tokens;   /* cut each stream after so many tokens                             */
  guint64 cut_times;          /* streams to cut; 0: all while cut_after_tokens is set             */
  gboolean leaving;           /* be in state leaving                                              */
  gboolean stale_load;        /* never renew the load report                                      */
  guint64 chunk_delay_ms;     /* chunks go out so much later                                      */
  guint64 accept_delay_ms;    /* completions are taken up so much later                           */
  guint64 stage_delay_ms;     /* staging takes so much longer                                     */
  gboolean stage_fail;        /* staging fails                                                    */
} EngineFaults;

/* ---- Sequences ---- */

typedef enum
{
  SEQUENCE_WAITING,
  SEQUENCE_RUNNING,
  SEQUENCE_ENDED,
} SequenceState;

typedef enum
{
  OUTCOME_FINISHED,
  OUTCOME_CANCELLED,
  OUTCOME_DISCONNECTED,
  OUTCOME_SWAP,
  OUTCOME_CUT,
  OUTCOME_CRASHED,
  N_OUTCOMES,
} SequenceOutcome;

#define ENGINE_ID_LENGTH 64
#define ENGINE_MAX_BLOCKS 64
#define ENGINE_BLOCK_BYTES 64
#define ENGINE_BYTES_PER_TOKEN 4 /* prompt tokens are counted by its length */

typedef struct
{
  grefcount references;
  SoupServerMessage *message; /* referenced; NULL once ended           */
  char id[ENGINE_ID_LENGTH + 1];
  guint32 attempt;
  gint64 priority;
  guint64 serial; /* order of arrival                                  */
  guint64 min_version;
  guint64 prompt_hash;
  char token_prefix[10]; /* "xxxxxxxx-"                                */
  guint32 prompt_tokens;
  guint32 n_blocks;
  guint64 blocks[ENGINE_MAX_BLOCKS];
  guint32 total_tokens; /* of the whole sample, resumed ones included  */
  guint32 resumed_tokens;
  gboolean length_given; /* total_tokens comes from the prompt         */
  SequenceState state;
  GSequenceIter *waiting_place; /* in Engine.waiting; NULL otherwise   */
  guint running_place;          /* index in Engine.running             */
  gboolean headers_sent;
  guint64 first_version;
  guint32 sent_tokens;      /* tokens given to the caller, resumed included */
  double progress_at_start; /* Engine.progress when decoding began     */
  gint64 prefill_until_us;
  gboolean decoding;
  gint64 last_chunk_us;
  gint64 started_us;
  guint production; /* place of its newest production in the records, plus 1; 0: none */
} Sequence;

/* ---- Parts ---- */

typedef struct _EngineCache EngineCache;
typedef struct _EngineRecords EngineRecords;
typedef struct _EngineWeights EngineWeights;

typedef struct
{
  EngineSettings settings;
  EngineFaults faults;
  QuinceStandin *standin;
  EngineCache *cache;     /* owned */
  EngineRecords *records; /* owned */
  EngineWeights *weights; /* owned */

  GSequence *waiting; /* Sequence, first to run first; owns a reference each */
  GPtrArray *running; /* Sequence; owns a reference each                     */
  GHashTable *by_key; /* "id/attempt" -> Sequence, waiting or running        */
  guint64 next_serial;
  double progress;           /* tokens that a sequence running since the start would have */
  gint64 progress_us;        /* when progress was last brought forward              */
  gboolean paused;           /* a weight swap is under way                          */
  gboolean admission_closed; /* a swap waits for running sequences to end       */
  GSource *tick;             /* set while sequences run                             */
  guint64 ticks;             /* steps of the simulation so far                      */
  GQueue *delayed;           /* DelayedChunk, by due time; chunk_delay_ms only      */
  guint dead_source;         /* ends a crash_ms                                     */

  gboolean leaving;
  char *role;
  guint64 greatest_fence;
  guint64 stale_fences; /* orders refused for a lesser one */

  JsonNode *load_report; /* as last renewed */
  gint64 load_report_us;
  guint64 refused; /* completions refused before they ran */
} Engine;

/* engine.c */
gboolean engine_is_leaving (const Engine *engine);
/* Says in the answer's headers that the engine leaves, when it does. */
void engine_mark_leaving (const Engine *engine, SoupServerMessage *message);

/* engine-completions.c */
void engine_handle_completion (Engine *engine, SoupServerMessage *message);
void engine_handle_cancel (Engine *engine, SoupServerMessage *message);
/* Answers that nothing ran. */
void engine_refuse (Engine *engine, SoupServerMessage *message, guint status, const char *type);
/* Sends the tokens up to @upto, and the end when @finish_reason is given. */
void engine_send_tokens (Engine *engine, Sequence *sequence, guint32 upto, const char *finish_reason);
/* Sends the delayed chunks that are due. */
void engine_send_delayed (Engine *engine, gint64 now_us);
void engine_drop_delayed (Engine *engine);
/* Breaks the stream without its end. */
void engine_cut_stream (Sequence *sequence);
/* Ends the sequence as disconnected when libsoup sees the connection close. */
void sequence_watch_caller (Engine *engine, Sequence *sequence);
Sequence *sequence_ref (Sequence *sequence);
void sequence_unref (Sequence *sequence);
char *sequence_make_key (const char *id, guint32 attempt);

/* engine-batch.c */
/* Runs or queues @sequence, or refuses it. */
void engine_batch_submit (Engine *engine, Sequence *sequence);
/* Starts waiting sequences while there is room. */
void engine_batch_admit (Engine *engine);
/* Ends @sequence, recording @outcome; the answer must have been dealt with. */
void engine_batch_end (Engine *engine, Sequence *sequence, SequenceOutcome outcome);
/* Ends every sequence and connection as a crash does. */
void engine_batch_crash (Engine *engine);
/* Refuses every waiting sequence. */
void engine_batch_refuse_waiting (Engine *engine, const char *type);
/* Stops or restarts the passage of time for running sequences. */
void engine_batch_set_paused (Engine *engine, gboolean paused);
/* Sends what each running sequence has up to now, under the present version. */
void engine_batch_flush (Engine *engine);

/* engine-cache.c */
EngineCache *engine_cache_new (guint64 capacity, guint64 event_lag_ms, guint64 event_gap);
void engine_cache_free (EngineCache *cache);
/* Stores the blocks; returns how many of the first ones were there already. */
guint32 engine_cache_use (EngineCache *cache, const guint64 *blocks, guint32 n_blocks, gint64 now_us);
void engine_cache_clear (EngineCache *cache);
guint64 engine_cache_get_used (EngineCache *cache);
JsonNode *engine_cache_describe_events (EngineCache *cache, guint64 after, gint64 now_us);
guint32 engine_cache_hash_prompt (const char *prompt, guint64 blocks[ENGINE_MAX_BLOCKS]);

/* engine-weights.c */
EngineWeights *engine_weights_new (Engine *engine);
void engine_weights_free (EngineWeights *weights);
void engine_weights_reset (EngineWeights *weights);
guint64 engine_weights_get_active (EngineWeights *weights);
guint64 engine_weights_get_target (EngineWeights *weights);
guint64 engine_weights_get_staged (EngineWeights *weights);
void engine_weights_handle_stage (EngineWeights *weights, SoupServerMessage *message);
void engine_weights_handle_activate (EngineWeights *weights, SoupServerMessage *message);
/* A sequence has ended; a swap may wait for the last one. */
void engine_weights_on_sequence_end (EngineWeights *weights);
/* Reads an order's body and checks its fence; answers and returns NULL when it is refused. */
JsonNode *engine_read_order (Engine *engine, SoupServerMessage *message);

/* engine-records.c */
EngineRecords *engine_records_new (void);
void engine_records_free (EngineRecords *records);
void engine_records_clear (EngineRecords *records);
void engine_records_add_start (EngineRecords *records, const Sequence *sequence);
/* A sequence started: prompt blocks that it has, and those of them that the cache held. */
void engine_records_add_blocks (EngineRecords *records, guint32 seen, guint32 hit);
void engine_records_add_finish (EngineRecords *records,
                                const Sequence *sequence,
                                SequenceOutcome outcome,
                                gint64 now_us);
/* @sequence got @count tokens from @first on, made under @version. */
void engine_records_add_tokens (EngineRecords *records,
                                Sequence *sequence,
                                guint32 first,
                                guint32 count,
                                guint64 version);
char *engine_records_describe (EngineRecords *records, guint64 refused, guint64 stale_fences);

G_END_DECLS
