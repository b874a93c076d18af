/*
 * sim-job.c: one lookup or sample of an agent, from the question for a grant to
 * its end, driven by the real request state machine.
 */
#include "sim-job.h"

#include <string.h>

#define NODE_TIMEOUT (700 * SIM_MILLISECOND)
#define STREAM_TIMEOUT (3 * SIM_SECOND)
#define CLAIM_KEEP_MS 60000

static void
leased_free (QuinceLeasedSample *leased)
{
  quince_xdr_free ((xdrproc_t)xdr_QuinceLeasedSample, leased);
}

void
sim_job_free (gpointer data)
{
  SimJob *job = data;
  quince_request_free (job->request);
  g_clear_pointer (&job->leased, leased_free);
  g_array_unref (job->segments);
  g_free (job);
}

SimJob *
sim_job_new (SimAgent *agent, const QuinceRequestId id, const QuinceRequestOptions *options)
{
  SimJob *job = g_new0 (SimJob, 1);
  job->serial = ++agent->last_serial;
  memcpy (job->id, id, QUINCE_ID_BYTES);
  job->request = quince_request_new (id, options);
  job->segments = g_array_new (FALSE, TRUE, sizeof (QuinceSegment));
  g_hash_table_insert (agent->jobs, &job->serial, job);
  return job;
}

void
sim_job_timer (SimWorld *world, SimProcess *process, SimJob *job, gint64 delay, SimHandler handler)
{
  SimJobTimer *timer = g_new0 (SimJobTimer, 1);
  *timer = (SimJobTimer){ job->serial, quince_request_get_attempt (job->request) };
  sim_world_at (world, process, delay, handler, timer, g_free);
}

SimJob *
sim_job_find (SimProcess *process, guint64 serial)
{
  return g_hash_table_lookup (((SimAgent *)process->state)->jobs, &serial);
}

/* ---- Grants ------------------------------------------------------------------- */

static void
node_timeout (SimWorld *world, SimProcess *process, gpointer data)
{
  g_autofree SimJobTimer *timer = data;
  SimJob *job = sim_job_find (process, timer->job);
  if (job == NULL)
    return;
  QuinceRequestStep step = quince_request_node_lost (job->request, world->now, timer->attempt);
  job->avoid_node |= step == QUINCE_STEP_ASK_GRANT;
  sim_job_drive (world, process, job, step);
}

static void
ask_grant (SimWorld *world, SimProcess *process, SimJob *job)
{
  SimAgent *agent = process->state;
  QuinceMessage message = { .kind = QUINCE_MESSAGE_GRANT_REQUEST };
  QuinceGrantRequest *request = &message.QuinceMessage_u.grant_request;
  memcpy (request->request_id, job->id, QUINCE_ID_BYTES);
  request->attempt = quince_request_get_attempt (job->request);
  request->service = (char *)SIM_SERVICE;
  request->member = job->leased != NULL ? (char *)"trainer" : (char *)"member";
  request->kind = job->leased != NULL ? (char *)"rollout" : (char *)"lookup";
  request->work_class = job->leased != NULL ? QUINCE_WORK_ROLLOUT : QUINCE_WORK_LOOKUP;
  request->at_most_once = job->caller != NULL && job->caller->at_most_once;
  request->deadline_ms = job->leased != NULL ? 20000 : 4000;
  request->prompt_tokens = 16;
  request->expected_tokens = job->total_tokens;
  request->min_version = job->leased != NULL ? job->leased->min_version : 0;
  request->policy_revision = agent->policy_seen;
  job->node = job->avoid_node ? (job->node + 1 + sim_random (world, SIM_NODES - 1)) % SIM_NODES
                              : sim_random (world, SIM_NODES);
  sim_world_send (world, process, sim_model (world)->nodes[job->node]->id, quince_message_copy (&message));
  sim_job_timer (world, process, job, NODE_TIMEOUT, node_timeout);
}

void
sim_job_receive_grant (SimWorld *world, SimProcess *process, const QuinceGrantReply *reply)
{
  SimAgent *agent = process->state;
  GHashTableIter iter;
  gpointer value;
  SimJob *job = NULL;
  g_hash_table_iter_init (&iter, agent->jobs);
  while (job == NULL && g_hash_table_iter_next (&iter, NULL, &value))
    if (quince_request_id_equal (((SimJob *)value)->id, reply->request_id))
      job = value;
  if (job == NULL)
    return;
  const QuinceVerdict *verdict = &reply->verdict;
  if (verdict->kind == QUINCE_VERDICT_REFUSED)
    {
      QuinceRequestStep step = quince_request_grant_refused (job->request, world->now, reply->attempt,
                                                             &verdict->QuinceVerdict_u.refused);
      job->avoid_node |= step == QUINCE_STEP_ASK_GRANT;
      sim_job_drive (world, process, job, step);
      return;
    }
  if (world->mutation != SIM_MUTATION_ACCEPT_OLD_POLICY)
    agent->policy_seen = MAX (agent->policy_seen, reply->policy_revision);
  QuinceGrant grant = verdict->QuinceVerdict_u.grant;
  /* Processes of a world share one clock. */
  gint64 granted_us = (gint64)reply->sent_us;
  if (world->mutation == SIM_MUTATION_DISPATCH_EXPIRED)
    grant.expires_ms = 60000;
  sim_job_drive (world, process, job,
                 quince_request_granted (job->request, world->now, granted_us, reply->attempt, &grant));
}

static void
end_grant (SimWorld *world, SimProcess *process, SimJob *job, QuinceOutcome outcome)
{
  const QuinceGrant *grant = quince_request_get_grant (job->request);
  if (grant->grant_id == 0)
    return;
  QuinceMessage message = { .kind = QUINCE_MESSAGE_GRANT_END };
  message.QuinceMessage_u.grant_end
      = (QuinceGrantEnd){ .grant_id = grant->grant_id, .outcome = outcome, .service_ms = 100 };
  sim_world_send (world, process, sim_model (world)->nodes[job->node]->id, quince_message_copy (&message));
}

/* ---- Claims -------------------------------------------------------------------- */

static void
claim_answered (SimWorld *world, SimProcess *process, const QuinceLedgerReply *reply, gpointer data)
{
  const SimJobTimer *timer = data;
  SimJob *job = sim_job_find (process, timer->job);
  if (job == NULL)
    return;
  job->claiming = FALSE;
  sim_job_drive (world, process, job,
                 quince_request_claimed (job->request, world->now, timer->attempt, reply->status));
}

static void
claim (SimWorld *world, SimProcess *process, SimJob *job)
{
  SimAgent *agent = process->state;
  guint attempt = quince_request_get_attempt (job->request);
  if (world->mutation == SIM_MUTATION_SKIP_CLAIM)
    {
      sim_job_drive (world, process, job,
                     quince_request_claimed (job->request, world->now, attempt, QUINCE_LEDGER_OK));
      return;
    }
  if (job->claiming)
    return;
  job->claiming = TRUE;
  if (job->holder == 0)
    job->holder = (guint64)g_rand_int (world->random) << 32 | (process->id + 1);
  QuinceCommand command = { .kind = QUINCE_COMMAND_CLAIM };
  QuinceClaimRequest *request = &command.QuinceCommand_u.claim;
  memcpy (request->request_id, job->id, QUINCE_ID_BYTES);
  request->holder = job->holder;
  request->keep_ms = CLAIM_KEEP_MS;
  SimJobTimer *timer = g_new0 (SimJobTimer, 1);
  *timer = (SimJobTimer){ job->serial, attempt };
  sim_client_call (world, process, agent->client, &command, world->now + 4 * SIM_SECOND, claim_answered,
                   timer);
}

/* ---- Streams --------------------------------------------------------------------- */

static void
stream_timeout (SimWorld *world, SimProcess *process, gpointer data)
{
  g_autofree SimJobTimer *timer = data;
  SimJob *job = sim_job_find (process, timer->job);
  if (job == NULL || quince_request_get_attempt (job->request) != timer->attempt)
    return;
  if (world->now - job->progress_at < STREAM_TIMEOUT)
    {
      sim_job_timer (world, process, job, STREAM_TIMEOUT, stream_timeout);
      return;
    }
  sim_job_drive (world, process, job,
                 quince_request_engine_failed (job->request, world->now, timer->attempt, TRUE));
}

static void
dispatch (SimWorld *world, SimProcess *process, SimJob *job)
{
  guint attempt = quince_request_get_attempt (job->request);
  if (!quince_request_dispatching (job->request, world->now, attempt))
    {
      sim_job_drive (world, process, job,
                     quince_request_engine_failed (job->request, world->now, attempt, FALSE));
      return;
    }
  SimDispatch *order = g_new0 (SimDispatch, 1);
  order->agent = process->id;
  order->agent_life = process->life;
  order->job = job->serial;
  order->attempt = attempt;
  memcpy (order->id, job->id, QUINCE_ID_BYTES);
  order->sample = job->leased != NULL ? g_strdup (job->leased->spec.sample_id) : NULL;
  order->min_version = job->leased != NULL ? job->leased->min_version : 0;
  order->total_tokens = job->total_tokens;
  /* A lookup starts from nothing at each attempt; a sample goes on. */
  if (job->leased == NULL)
    {
      job->have_tokens = 0;
      job->torn = FALSE;
    }
  order->have_tokens = job->have_tokens;
  job->stream_attempt = attempt;
  job->progress_at = world->now;
  SimProcess *engine = sim_world_find (world, quince_request_get_grant (job->request)->engine);
  if (!engine->alive && sim_chance (world, 0.5))
    {
      /* Refused connection: nothing left. */
      sim_dispatch_free (order);
      sim_job_drive (world, process, job,
                     quince_request_engine_failed (job->request, world->now, attempt, FALSE));
      return;
    }
  sim_world_deliver (world, process, engine->id, sim_engine_dispatch, order, sim_dispatch_free);
  sim_job_timer (world, process, job, STREAM_TIMEOUT, stream_timeout);
}

static void
add_segment (SimWorld *world, SimJob *job, const SimStream *stream)
{
  guint64 version = world->mutation == SIM_MUTATION_TRUST_ORDERED_VERSION ? stream->ordered_version
                                                                          : stream->weight_version;
  QuinceSegment segment = { .engine = sim_model (world)->engines[stream->engine]->name,
                            .weight_version = version,
                            .first_token = stream->first_token,
                            .token_count = stream->token_count };
  g_array_append_val (job->segments, segment);
}

static QuinceRequestStep
take_chunk (SimWorld *world, SimJob *job, const SimStream *stream)
{
  if (stream->first_token != job->have_tokens)
    {
      /* A gap: what follows cannot be part of a whole answer. */
      job->torn = TRUE;
      if (world->mutation != SIM_MUTATION_MIX_ATTEMPTS)
        return quince_request_engine_failed (job->request, world->now, stream->attempt, TRUE);
    }
  job->have_tokens = stream->first_token + stream->token_count;
  job->progress_at = world->now;
  quince_request_accepted (job->request, stream->attempt);
  if (job->leased != NULL)
    add_segment (world, job, stream);
  return QUINCE_STEP_WAIT;
}

static QuinceRequestStep
stream_step (SimWorld *world, SimJob *job, const SimStream *stream)
{
  switch (stream->kind)
    {
    case SIM_STREAM_REFUSED:
      return quince_request_engine_refused (job->request, world->now, stream->attempt);
    case SIM_STREAM_CHUNK:
      return take_chunk (world, job, stream);
    case SIM_STREAM_FINISHED:
      if (job->have_tokens != job->total_tokens && world->mutation != SIM_MUTATION_MIX_ATTEMPTS)
        return quince_request_engine_failed (job->request, world->now, stream->attempt, TRUE);
      return quince_request_finished (job->request, world->now, stream->attempt);
    default:
      return quince_request_engine_failed (job->request, world->now, stream->attempt, TRUE);
    }
}

void
sim_agent_stream (SimWorld *world, SimProcess *process, gpointer data)
{
  g_autofree SimStream *stream = data;
  SimJob *job = sim_job_find (process, stream->job);
  if (job == NULL || !quince_request_id_equal (job->id, stream->id))
    return;
  gboolean dead = stream->attempt != quince_request_get_attempt (job->request)
                  || stream->attempt != job->stream_attempt;
  if (dead && world->mutation != SIM_MUTATION_MIX_ATTEMPTS)
    return;
  sim_job_drive (world, process, job, stream_step (world, job, stream));
}

/* ---- Ends ------------------------------------------------------------------------ */

void
sim_job_call_ended (SimWorld *world, SimProcess *process, const QuinceLedgerReply *reply, gpointer data)
{
  /* Whatever was answered: the lease lapses when it did not take effect. */
}

static void
complete_sample (SimWorld *world, SimProcess *process, SimJob *job)
{
  SimAgent *agent = process->state;
  QuinceCommand command = { .kind = QUINCE_COMMAND_COMPLETE };
  QuinceCompleteSample *complete = &command.QuinceCommand_u.complete;
  complete->trainer = job->leased->trainer;
  complete->step = job->leased->step;
  complete->generation = job->leased->generation;
  complete->result.sample_id = job->leased->spec.sample_id;
  complete->result.text = (char *)"";
  complete->result.token_count = job->have_tokens;
  complete->result.segments.segments_len = job->segments->len;
  complete->result.segments.segments_val = (QuinceSegment *)(gpointer)job->segments->data;
  sim_client_call (world, process, agent->client, &command, world->now + 5 * SIM_SECOND, sim_job_call_ended,
                   NULL);
}

static void
end_job (SimWorld *world, SimProcess *process, SimJob *job, QuinceRequestStep step)
{
  SimAgent *agent = process->state;
  if (job->caller != NULL)
    {
      if (step == QUINCE_STEP_ANSWER_WHOLE && (job->torn || job->have_tokens != job->total_tokens))
        sim_world_violate (world, "%s gives a caller an answer that is not whole", process->name);
      sim_judge_answer (world, job->caller, step);
    }
  else
    {
      agent->samples--;
      if (step == QUINCE_STEP_ANSWER_WHOLE)
        complete_sample (world, process, job);
    }
  g_hash_table_remove (agent->jobs, &job->serial);
}

/* What an agent with a planted fault would do in place of the core's step. */
static QuinceRequestStep
mutate (SimWorld *world, const SimJob *job, QuinceRequestStep step)
{
  if (world->mutation == SIM_MUTATION_SAY_NOT_RUN && step == QUINCE_STEP_ANSWER_UNKNOWN)
    return QUINCE_STEP_ANSWER_NOT_RUN;
  return step;
}

/* An agent with a planted fault starts the same id anew instead of ending it. */
static gboolean
retries_unrepeatable (SimWorld *world, SimProcess *process, SimJob *job, QuinceRequestStep step)
{
  if (world->mutation != SIM_MUTATION_RETRY_UNREPEATABLE || step != QUINCE_STEP_ANSWER_UNKNOWN
      || job->caller == NULL || !job->caller->at_most_once || job->holder == 0)
    return FALSE;
  const QuinceRequestOptions options
      = { .at_most_once = FALSE, .deadline_us = world->now + SIM_LOOKUP_DEADLINE, .attempts_most = 4 };
  quince_request_free (job->request);
  job->request = quince_request_new (job->id, &options);
  sim_job_drive (world, process, job, quince_request_start (job->request, world->now));
  return TRUE;
}

void
sim_job_drive (SimWorld *world, SimProcess *process, SimJob *job, QuinceRequestStep wanted)
{
  QuinceRequestStep step = mutate (world, job, wanted);
  switch (step)
    {
    case QUINCE_STEP_ASK_GRANT:
      ask_grant (world, process, job);
      break;
    case QUINCE_STEP_WAIT:
      break;
    case QUINCE_STEP_CLAIM:
      claim (world, process, job);
      break;
    case QUINCE_STEP_DISPATCH:
      dispatch (world, process, job);
      break;
    default:
      if (retries_unrepeatable (world, process, job, step))
        break;
      end_grant (world, process, job,
                 step == QUINCE_STEP_ANSWER_WHOLE ? QUINCE_OUTCOME_FINISHED : QUINCE_OUTCOME_BROKEN);
      end_job (world, process, job, step);
      break;
    }
}
