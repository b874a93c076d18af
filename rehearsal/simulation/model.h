/*
 * model.h: a deployment in virtual time around the real core: ledger replicas,
 * schedulers, policy registers, request state machines and sample leases, with
 * engines, a trainer and a key-value service that fail.
 */
#pragma once

#include <quince/attempt.h>
#include <quince/consensus.h>
#include <quince/policy-register.h>
#include <quince/request-id.h>
#include <quince/rollout-book.h>
#include <quince/scheduler.h>

#include "world.h"

G_BEGIN_DECLS

#define SIM_NODES 5
#define SIM_LEDGER_NODES 4
#define SIM_AGENTS 3
#define SIM_ENGINES 4
#define SIM_SERVICE "model"
#define SIM_TRAINER "trainer"
#define SIM_STALENESS_BOUND 1
#define SIM_GRANT_MS 500
/* Longest time from the first sign of leaving to the last dispatch. */
#define SIM_LEAVING_BOUND (3 * SIM_SECOND)
/* Longest time until an accepted policy is in force, while nothing fails. */
#define SIM_POLICY_BOUND (3 * SIM_SECOND)
/* After the faults: when nothing of them is left, and for how long processes are then stopped as planned. */
#define SIM_CALM_AFTER (12 * SIM_SECOND)
#define SIM_CALM_TIME (10 * SIM_SECOND)

/* ---- Judge: what truly happened ----------------------------------------- */

/* One final answer to one caller; the judge compares it with the starts. */
typedef struct
{
  QuinceRequestId id;
  gboolean at_most_once;
  gint64 started;
  guint agent;       /* process id */
  gboolean admitted; /* by an agent that was not stopping */
  gboolean answered;
  QuinceRequestStep answer;
} SimCaller;

typedef struct
{
  GHashTable *starts;       /* request id -> count of engine starts           */
  GHashTable *not_run;      /* ids that some caller was told had not run, and
                               that no other caller sent                      */
  GHashTable *productions;  /* sample id -> GArray of SimProduction           */
  GHashTable *senders;      /* request id -> count of callers that sent it    */
  GHashTable *unrepeatable; /* ids of at-most-once requests                  */
  GHashTable *ended_early;  /* ids of which an engine ended a stream by itself */
  GPtrArray *callers;       /* SimCaller                                      */
  guint64 lookups_answered;
  guint64 lookups_refused;
  guint64 lookups_unknown;
  guint64 samples_delivered;
  guint64 steps_delivered;
  guint64 policies_accepted;
  guint64 kills, freezes, cuts, disks_lost, swaps_failed, planned_stops;
} SimJudge;

typedef struct
{
  guint engine;
  guint64 weight_version;
  guint first_token;
  guint token_count;
} SimProduction;

void sim_judge_init (SimWorld *world);
void sim_judge_free (SimWorld *world);
void sim_judge_start (SimWorld *world, guint engine, const QuinceRequestId id);
void sim_judge_production (SimWorld *world, const char *sample, const SimProduction *production);
SimCaller *
sim_judge_caller (SimWorld *world, const SimProcess *agent, const QuinceRequestId id, gboolean at_most_once);
/* An engine ended a stream of @id before its end. */
void sim_judge_ended_early (SimWorld *world, const QuinceRequestId id);
void sim_judge_answer (SimWorld *world, SimCaller *caller, QuinceRequestStep answer);
/* @batch was handed over for @step to a trainer at @version. */
void
sim_judge_batch (SimWorld *world, const QuinceBatch *batch, guint64 step, guint64 version, guint expected);
void sim_judge_policy (SimWorld *world, SimProcess *node, guint64 before, guint64 after);
/* A planned stop lets @process end now. */
void sim_judge_planned_end (SimWorld *world, const SimProcess *process);
/* Checks what must hold between events. */
void sim_judge_tick (SimWorld *world);

/* ---- Model ---------------------------------------------------------------- */

typedef struct
{
  /* Survives lives of its node; a lost disk is cleared. */
  guint64 replica_id;
  guint64 epoch;
  guint64 voted_for;
  guint64 snapshot_index;
  guint64 snapshot_epoch;
  QuinceReplicaSet *snapshot_voters;
  GBytes *snapshot;
  GPtrArray *entries; /* QuinceEntry */
} SimDisk;

typedef struct
{
  /* The platform's key-value service. */
  gboolean kv_up;
  guint64 kv_revision; /* of the policy head, 0 none */
  gint64 last_accept;
  gint64 last_disturbance; /* of what policy spread rests on */

  guint64 newest_weights;
  SimDisk disks[SIM_NODES];
  SimProcess *nodes[SIM_NODES];
  SimProcess *agents[SIM_AGENTS];
  SimProcess *engines[SIM_ENGINES];
  SimProcess *trainer;
  SimProcess *weather;                  /* makes faults */
  gint64 engine_leaves_at[SIM_ENGINES]; /* 0: stays */
  gboolean faults;                      /* still made */
  gint64 calm_since;                    /* no trace of the faults is left; G_MAXINT64 before they end */
  gint64 last_planned_end;
  guint steps_wanted; /* of the trainer */
  SimJudge judge;
} SimModel;

static inline SimModel *
sim_model (SimWorld *world)
{
  return world->model;
}

extern const SimClass sim_node_class;
extern const SimClass sim_agent_class;
extern const SimClass sim_engine_class;
extern const SimClass sim_trainer_class;
extern const SimClass sim_weather_class;

SimWorld *sim_model_new (guint64 seed, SimMutation mutation, guint steps_wanted);
void sim_model_free (SimWorld *world);
const char *sim_mutation_name (SimMutation mutation);

/**
 * sim_run:
 * @steps: events to carry out, at least
 * @violation: (out) (transfer full) (nullable): first broken promise
 *
 * Runs worlds of successive seeds until @steps events have passed or a promise is broken.
 * Returns: events carried out
 */
guint64 sim_run (guint64 seed, guint64 steps, SimMutation mutation, guint64 *failing_seed, char **violation);

/* ---- Node ------------------------------------------------------------------ */

/* Loses everything. */
void sim_disk_clear (SimDisk *disk);
/* Truncates at the first entry's index, then appends. */
void sim_disk_put_entries (SimDisk *disk, GPtrArray *entries);
/* @replace: the entries go too, as by a received snapshot; else only those it covers. */
void sim_disk_put_snapshot (SimDisk *disk,
                            guint64 index,
                            guint64 epoch,
                            const QuinceReplicaSet *voters,
                            GBytes *data,
                            gboolean replace);
gboolean sim_node_may_lose_disk (SimWorld *world, guint node);
/* In force on a live node; 0 when none or not alive. */
guint64 sim_node_get_policy (SimProcess *node);
gboolean sim_node_is_current (SimProcess *process);
/* Planned stop: the queue goes elsewhere. */
void sim_node_stop (SimWorld *world, SimProcess *process);
/* What was granted has ended, and another node leads the ledger. */
gboolean sim_node_may_end (SimWorld *world, SimProcess *process);
/* Ledger part of a node, see sim-ledger.c. */
typedef struct _SimLedger SimLedger;
SimLedger *sim_ledger_new (SimWorld *world, SimProcess *process);
void sim_ledger_free (SimLedger *ledger);
void sim_ledger_receive (SimWorld *world, SimLedger *ledger, const QuinceReplication *message);
void sim_ledger_call (SimWorld *world, SimLedger *ledger, guint from, const QuinceLedgerCall *call);
gboolean sim_ledger_leads (const SimLedger *ledger, guint64 *epoch);
const QuinceConsensus *sim_ledger_get_consensus (const SimLedger *ledger);
/* Planned stop: another replica takes the lead. */
void sim_ledger_hand_over (SimWorld *world, SimLedger *ledger);

/* ---- Ledger client: agents and the trainer ---------------------------------- */

typedef struct _SimClient SimClient;
typedef void (*SimReplyHandler) (SimWorld *world,
                                 SimProcess *process,
                                 const QuinceLedgerReply *reply,
                                 gpointer data);
SimClient *sim_client_new (void);
void sim_client_free (SimClient *client);
guint sim_client_count_calls (const SimClient *client);
/* Repeats @command until a definite answer or @deadline; then status UNKNOWN.
 * @data is released with g_free() after the handler, or with the client. */
void sim_client_call (SimWorld *world,
                      SimProcess *process,
                      SimClient *client,
                      const QuinceCommand *command,
                      gint64 deadline,
                      SimReplyHandler handler,
                      gpointer data);
void
sim_client_receive (SimWorld *world, SimProcess *process, SimClient *client, const QuinceLedgerReply *reply);

/* ---- Agent ------------------------------------------------------------------ */

/* Lookups and samples in progress, with the ledger calls that complete them. */
guint sim_agent_count_running (const SimProcess *process);
/* Planted fault: a node has ended, and with it the streams that it granted. */
void sim_agent_node_ended (SimWorld *world, SimProcess *process, guint node);

/* ---- Planned stops ------------------------------------------------------------ */

/* Begins the planned stop of an agent or node; when it has ended, it is started again. */
void sim_stop_begin (SimWorld *world, SimProcess *process);
/* Stops any agent or node, but never two of a kind at once. */
void sim_stop_any (SimWorld *world);

/* ---- Engine streams ----------------------------------------------------------- */

typedef struct
{
  guint agent; /* process id of the asker                      */
  guint64 agent_life;
  guint64 job; /* of the agent                                 */
  guint attempt;
  QuinceRequestId id;
  char *sample; /* NULL for lookups                             */
  guint64 min_version;
  guint have_tokens; /* resumed                                      */
  guint total_tokens;
} SimDispatch;

typedef enum
{
  SIM_STREAM_REFUSED,
  SIM_STREAM_CHUNK,
  SIM_STREAM_FINISHED,
  SIM_STREAM_SWAPPED, /* ended for a weight swap: to be resumed       */
  SIM_STREAM_BROKEN,
} SimStreamKind;

typedef struct
{
  SimStreamKind kind;
  guint64 job;
  guint attempt;
  QuinceRequestId id;
  guint engine;
  guint first_token;
  guint token_count;
  guint64 weight_version;
  guint64 ordered_version;
} SimStream;

void sim_dispatch_free (gpointer data);
void sim_engine_dispatch (SimWorld *world, SimProcess *engine, gpointer dispatch);
void sim_agent_stream (SimWorld *world, SimProcess *agent, gpointer stream);
/* Weight order of a ledger leader. */
typedef struct
{
  guint64 fence;
  guint64 version;
} SimOrder;
void sim_engine_order (SimWorld *world, SimProcess *engine, gpointer order);
/* Load report of an engine, sent to a node that polls. */
void sim_engine_poll (SimWorld *world, SimProcess *engine, gpointer node_id);
void sim_node_report (SimWorld *world, SimProcess *node, gpointer report);

typedef struct
{
  guint engine;
  guint running;
  guint64 weight_version;
  guint64 target_version;
  gboolean leaving;
} SimReport;

G_END_DECLS
