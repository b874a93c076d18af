/*
 * sim-job.h: one lookup or sample of a simulated agent.
 */
#pragma once

#include "model.h"

G_BEGIN_DECLS

#define SIM_LOOKUP_DEADLINE (6 * SIM_SECOND)

/* One lookup or sample in progress. */
typedef struct
{
  guint64 serial;
  QuinceRequestId id;
  QuinceRequest *request;
  SimCaller *caller;          /* lookups; the judge's                        */
  QuinceLeasedSample *leased; /* samples */
  guint total_tokens;
  guint have_tokens; /* of the answer so far                        */
  gboolean torn;     /* a chunk did not fit                         */
  GArray *segments;  /* QuinceSegment, names borrowed from engines  */
  guint64 holder;    /* of the claim, 0 before                      */
  gboolean claiming;
  guint node;           /* asked last                                  */
  gboolean avoid_node;  /* it is not ready, or does not answer         */
  guint stream_attempt; /* that is dispatched                          */
  gint64 progress_at;
} SimJob;

typedef struct
{
  SimClient *client;
  GHashTable *jobs; /* serial -> SimJob */
  guint64 last_serial;
  guint64 policy_seen;
  guint samples;
} SimAgent;

typedef struct
{
  guint64 job;
  guint attempt;
} SimJobTimer;

/* A new job of @agent, which owns it. (transfer none) */
SimJob *sim_job_new (SimAgent *agent, const QuinceRequestId id, const QuinceRequestOptions *options);
void sim_job_free (gpointer data);
SimJob *sim_job_find (SimProcess *process, guint64 serial);
/* @handler gets a SimJobTimer that it must release with g_free(). */
void sim_job_timer (SimWorld *world, SimProcess *process, SimJob *job, gint64 delay, SimHandler handler);
/* Does what the request's step asks for; may end and free the job. */
void sim_job_drive (SimWorld *world, SimProcess *process, SimJob *job, QuinceRequestStep step);
void sim_job_receive_grant (SimWorld *world, SimProcess *process, const QuinceGrantReply *reply);
/* For ledger calls whose answer does not matter: a lease lapses when they took no effect. */
void sim_job_call_ended (SimWorld *world, SimProcess *process, const QuinceLedgerReply *reply, gpointer data);

G_END_DECLS
