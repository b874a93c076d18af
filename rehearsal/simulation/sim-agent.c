/*
 * sim-agent.c: an agent: its callers, the samples it leases, its life.
 */
#include "sim-job.h"

#include <string.h>

#define LOOKUP_INTERVAL (80 * SIM_MILLISECOND)
#define LEASE_INTERVAL (150 * SIM_MILLISECOND)
#define LEASE_MS 3000
#define SAMPLES_MOST 4
#define SAMPLE_DEADLINE (20 * SIM_SECOND)

/* ---- Callers ------------------------------------------------------------------------ */

static void
deadline (SimWorld *world, SimProcess *process, gpointer data)
{
  g_autofree SimJobTimer *timer = data;
  SimJob *job = sim_job_find (process, timer->job);
  if (job != NULL)
    sim_job_drive (world, process, job, quince_request_deadline (job->request, world->now));
}

static void
start_lookup (SimWorld *world, SimProcess *process, const QuinceRequestId id, gboolean at_most_once)
{
  SimAgent *agent = process->state;
  SimCaller *caller = sim_judge_caller (world, process, id, at_most_once);
  if (process->stopping)
    {
      /* Told to ask another agent. */
      sim_judge_answer (world, caller, QUINCE_STEP_ANSWER_NOT_RUN);
      return;
    }
  const QuinceRequestOptions options
      = { .at_most_once = at_most_once, .deadline_us = world->now + SIM_LOOKUP_DEADLINE, .attempts_most = 5 };
  SimJob *job = sim_job_new (agent, id, &options);
  job->caller = caller;
  job->total_tokens = 3 + sim_random (world, 12);
  sim_job_timer (world, process, job, SIM_LOOKUP_DEADLINE, deadline);
  sim_job_drive (world, process, job, quince_request_start (job->request, world->now));
}

typedef struct
{
  QuinceRequestId id;
} Repeat;

static void
repeat_lookup (SimWorld *world, SimProcess *process, gpointer data)
{
  g_autofree Repeat *repeat = data;
  start_lookup (world, process, repeat->id, TRUE);
}

/* A caller that repeats its request with the same id, here or elsewhere. */
static void
plan_repeat (SimWorld *world, const QuinceRequestId id)
{
  SimProcess *other = sim_model (world)->agents[sim_random (world, SIM_AGENTS)];
  Repeat *repeat = g_new0 (Repeat, 1);
  memcpy (repeat->id, id, QUINCE_ID_BYTES);
  sim_world_at (world, other, (gint64)sim_random (world, 4 * SIM_SECOND), repeat_lookup, repeat, g_free);
}

static gboolean
wants_lookups (SimWorld *world)
{
  const SimModel *model = sim_model (world);
  return model->faults || (world->now >= model->calm_since && world->now < model->calm_since + SIM_CALM_TIME);
}

static void
make_lookups (SimWorld *world, SimProcess *process, gpointer data)
{
  if (wants_lookups (world))
    {
      QuinceRequestId id;
      for (guint i = 0; i < QUINCE_ID_BYTES; i++)
        id[i] = (char)sim_random (world, 256);
      gboolean at_most_once = sim_chance (world, 0.5);
      if (at_most_once && sim_chance (world, 0.4))
        plan_repeat (world, id);
      start_lookup (world, process, id, at_most_once);
    }
  sim_world_at (world, process, LOOKUP_INTERVAL + (gint64)sim_random (world, (guint)LOOKUP_INTERVAL),
                make_lookups, NULL, NULL);
}

/* ---- Samples -------------------------------------------------------------------------- */

static void
start_sample (SimWorld *world, SimProcess *process, const QuinceLeasedSample *leased)
{
  SimAgent *agent = process->state;
  const QuinceRequestOptions options = { .deadline_us = world->now + SAMPLE_DEADLINE, .attempts_most = 40 };
  QuinceRequestId id;
  for (guint i = 0; i < QUINCE_ID_BYTES; i++)
    id[i] = (char)sim_random (world, 256);
  SimJob *job = sim_job_new (agent, id, &options);
  job->leased = quince_xdr_copy ((xdrproc_t)xdr_QuinceLeasedSample, sizeof *leased, leased);
  job->total_tokens = leased->spec.max_tokens;
  agent->samples++;
  sim_job_timer (world, process, job, SAMPLE_DEADLINE, deadline);
  sim_job_drive (world, process, job, quince_request_start (job->request, world->now));
}

static void
leased (SimWorld *world, SimProcess *process, const QuinceLedgerReply *reply, gpointer data)
{
  if (reply->status != QUINCE_LEDGER_OK || process->stopping)
    return;
  for (guint i = 0; i < reply->result.QuinceLedgerResult_u.leased.leased_len; i++)
    start_sample (world, process, &reply->result.QuinceLedgerResult_u.leased.leased_val[i]);
}

static void
renew (SimWorld *world, SimProcess *process)
{
  SimAgent *agent = process->state;
  g_autoptr (GArray) refs = g_array_new (FALSE, TRUE, sizeof (QuinceLeaseRef));
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, agent->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const QuinceLeasedSample *sample = ((SimJob *)value)->leased;
      if (sample == NULL)
        continue;
      QuinceLeaseRef ref = { sample->trainer, sample->step, sample->spec.sample_id, sample->generation };
      g_array_append_val (refs, ref);
    }
  if (refs->len == 0)
    return;
  QuinceCommand command = { .kind = QUINCE_COMMAND_RENEW };
  command.QuinceCommand_u.renew = (QuinceRenewLeases){ .agent = process->name, .lease_ms = LEASE_MS };
  command.QuinceCommand_u.renew.leases.leases_len = refs->len;
  command.QuinceCommand_u.renew.leases.leases_val = (QuinceLeaseRef *)(gpointer)refs->data;
  sim_client_call (world, process, agent->client, &command, world->now + SIM_SECOND, sim_job_call_ended,
                   NULL);
}

static void
lease_samples (SimWorld *world, SimProcess *process, gpointer data)
{
  SimAgent *agent = process->state;
  if (agent->samples < SAMPLES_MOST && !process->stopping)
    {
      QuinceCommand command = { .kind = QUINCE_COMMAND_LEASE };
      command.QuinceCommand_u.lease = (QuinceLeaseSamples){ .agent = process->name,
                                                            .most = SAMPLES_MOST - agent->samples,
                                                            .lease_ms = LEASE_MS };
      sim_client_call (world, process, agent->client, &command, world->now + SIM_SECOND, leased, NULL);
    }
  if (sim_chance (world, 0.2))
    renew (world, process);
  sim_world_at (world, process, LEASE_INTERVAL, lease_samples, NULL, NULL);
}

/* ---- Planned stops ----------------------------------------------------------------------- */

guint
sim_agent_count_running (const SimProcess *process)
{
  const SimAgent *agent = process->state;
  return g_hash_table_size (agent->jobs) + sim_client_count_calls (agent->client);
}

void
sim_agent_node_ended (SimWorld *world, SimProcess *process, guint node)
{
  SimAgent *agent = process->state;
  g_autoptr (GList) jobs = g_hash_table_get_values (agent->jobs);
  for (GList *at = jobs; at != NULL; at = at->next)
    {
      SimJob *job = at->data;
      guint attempt = quince_request_get_attempt (job->request);
      if (job->node == node && job->stream_attempt == attempt)
        sim_job_drive (world, process, job,
                       quince_request_engine_failed (job->request, world->now, attempt, TRUE));
    }
}

/* ---- Life ------------------------------------------------------------------------------ */

static void
start (SimWorld *world, SimProcess *process)
{
  SimAgent *agent = g_new0 (SimAgent, 1);
  agent->client = sim_client_new ();
  agent->jobs = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, sim_job_free);
  process->state = agent;
  sim_world_at (world, process, (gint64)sim_random (world, (guint)LOOKUP_INTERVAL), make_lookups, NULL, NULL);
  sim_world_at (world, process, LEASE_INTERVAL, lease_samples, NULL, NULL);
}

/* Its callers lose their connections: they know nothing of how it ended. */
static void
end (SimWorld *world, SimProcess *process)
{
  SimAgent *agent = process->state;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, agent->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      SimJob *job = value;
      if (job->caller != NULL)
        sim_judge_answer (world, job->caller, QUINCE_STEP_ANSWER_UNKNOWN);
    }
  g_hash_table_unref (agent->jobs);
  sim_client_free (agent->client);
  g_free (agent);
}

static void
receive (SimWorld *world, SimProcess *process, guint from, QuinceMessage *message)
{
  SimAgent *agent = process->state;
  if (message->kind == QUINCE_MESSAGE_GRANT_REPLY)
    sim_job_receive_grant (world, process, &message->QuinceMessage_u.grant_reply);
  else if (message->kind == QUINCE_MESSAGE_LEDGER_REPLY)
    sim_client_receive (world, process, agent->client, &message->QuinceMessage_u.ledger_reply);
  quince_message_free (message);
}

const SimClass sim_agent_class = { start, receive, NULL, end };
