/*
 * sim-node.c: a node: scheduler, policy register, weight orders, and its ledger.
 */
#include "model.h"

#include <string.h>

#define POLL_INTERVAL (300 * SIM_MILLISECOND)
#define POLICY_INTERVAL (300 * SIM_MILLISECOND)
#define ORDER_INTERVAL (500 * SIM_MILLISECOND)

typedef struct
{
  QuinceScheduler *scheduler;
  QuincePolicyRegister *reg;
  SimLedger *ledger; /* NULL: keeps none */
  gint64 timer_at;
  guint64 in_force;
} SimNode;

/* ---- Grants ------------------------------------------------------------------ */

static void scheduler_timer (SimWorld *world, SimProcess *process, gpointer data);

static void
send_decisions (SimWorld *world, SimProcess *process, GPtrArray *decisions)
{
  SimNode *node = process->state;
  for (guint i = 0; i < decisions->len; i++)
    {
      const QuinceDecision *decision = decisions->pdata[i];
      QuinceMessage message = { .kind = QUINCE_MESSAGE_GRANT_REPLY };
      message.QuinceMessage_u.grant_reply = decision->reply;
      message.QuinceMessage_u.grant_reply.sent_us = (guint64)world->now;
      sim_world_send (world, process, (guint)decision->client, quince_message_copy (&message));
    }
  gint64 at = quince_scheduler_next_wakeup (node->scheduler, world->now);
  if (at == G_MAXINT64 || (node->timer_at > world->now && node->timer_at <= at))
    return;
  node->timer_at = MAX (at, world->now + SIM_MILLISECOND);
  sim_world_at (world, process, node->timer_at - world->now, scheduler_timer, NULL, NULL);
}

static void
scheduler_timer (SimWorld *world, SimProcess *process, gpointer data)
{
  SimNode *node = process->state;
  g_autoptr (GPtrArray) decisions = quince_decisions_new ();
  quince_scheduler_tick (node->scheduler, world->now, decisions);
  send_decisions (world, process, decisions);
}

static void
see_policy (SimProcess *process, guint64 revision)
{
  SimNode *node = process->state;
  quince_policy_register_seen (node->reg, revision);
  quince_scheduler_set_ready (node->scheduler, quince_policy_register_is_current (node->reg));
}

static void
receive_grant_message (SimWorld *world, SimProcess *process, guint from, const QuinceMessage *message)
{
  SimNode *node = process->state;
  g_autoptr (GPtrArray) decisions = quince_decisions_new ();
  if (message->kind == QUINCE_MESSAGE_GRANT_REQUEST)
    {
      const QuinceGrantRequest *request = &message->QuinceMessage_u.grant_request;
      see_policy (process, request->policy_revision);
      quince_scheduler_request (node->scheduler, world->now, from, request, decisions);
    }
  else if (message->kind == QUINCE_MESSAGE_GRANT_END)
    quince_scheduler_end (node->scheduler, world->now, &message->QuinceMessage_u.grant_end, decisions);
  else
    quince_scheduler_cancel (node->scheduler, world->now, &message->QuinceMessage_u.grant_cancel, decisions);
  send_decisions (world, process, decisions);
}

/* ---- Engines ------------------------------------------------------------------- */

static void
poll_engines (SimWorld *world, SimProcess *process, gpointer data)
{
  SimModel *model = sim_model (world);
  for (guint i = 0; i < SIM_ENGINES; i++)
    sim_world_deliver (world, process, model->engines[i]->id, sim_engine_poll, GUINT_TO_POINTER (process->id),
                       NULL);
  sim_world_at (world, process, POLL_INTERVAL, poll_engines, NULL, NULL);
}

void
sim_node_report (SimWorld *world, SimProcess *process, gpointer data)
{
  SimNode *node = process->state;
  g_autofree SimReport *report = data;
  const char *name = sim_model (world)->engines[report->engine]->name;
  gboolean leaving = report->leaving && world->mutation != SIM_MUTATION_IGNORE_LEAVING;
  QuinceEngineReport engine = { .name = name,
                                .address = name,
                                .service = SIM_SERVICE,
                                .zone = "zone",
                                .running = report->running,
                                .capacity = 6,
                                .weight_version = report->weight_version,
                                .target_version = report->target_version,
                                .leaving = leaving,
                                .available = TRUE };
  g_autoptr (GPtrArray) decisions = quince_decisions_new ();
  quince_scheduler_engine_report (node->scheduler, world->now, &engine, decisions);
  if (leaving)
    quince_scheduler_engine_leaving (node->scheduler, world->now, name, QUINCE_LEAVING_ENGINE, TRUE);
  send_decisions (world, process, decisions);
}

static void
order_weights (SimWorld *world, SimProcess *process, gpointer data)
{
  SimNode *node = process->state;
  SimModel *model = sim_model (world);
  guint64 epoch;
  if (node->ledger != NULL && sim_ledger_leads (node->ledger, &epoch))
    for (guint i = 0; i < SIM_ENGINES; i++)
      {
        SimOrder *order = g_new0 (SimOrder, 1);
        order->fence = epoch;
        order->version = model->newest_weights;
        sim_world_deliver (world, process, model->engines[i]->id, sim_engine_order, order, g_free);
      }
  sim_world_at (world, process, ORDER_INTERVAL, order_weights, NULL, NULL);
}

/* ---- Policy ---------------------------------------------------------------------- */

/* The text stands for its revision, so that a mix-up shows. */
static void
fill_policy (QuincePolicyBody *body, guint64 revision)
{
  body->revision = revision;
  body->text = g_strdup_printf ("-- revision %" G_GUINT64_FORMAT, revision);
  body->hash = quince_hash_text (body->text, strlen (body->text));
}

static void
after_offer (SimWorld *world, SimProcess *process)
{
  SimNode *node = process->state;
  guint64 revision = quince_policy_register_get (node->reg)->revision;
  quince_scheduler_set_ready (node->scheduler, quince_policy_register_is_current (node->reg));
  if (revision == node->in_force)
    return;
  sim_judge_policy (world, process, node->in_force, revision);
  node->in_force = revision;
  QuinceDecider decider = { .revision = revision };
  quince_scheduler_set_decider (node->scheduler, &decider);
}

static void
offer (SimWorld *world, SimProcess *process, const QuincePolicyBody *body)
{
  SimNode *node = process->state;
  if (world->mutation == SIM_MUTATION_ACCEPT_OLD_POLICY)
    {
      /* A register that forgets what it has seen. */
      quince_policy_register_free (node->reg);
      node->reg = quince_policy_register_new ();
    }
  quince_policy_register_offer (node->reg, body);
  after_offer (world, process);
}

/* An answer of the key-value service: what stood there when it was asked. */
static void
kv_answer (SimWorld *world, SimProcess *process, gpointer data)
{
  SimNode *node = process->state;
  guint64 revision = GPOINTER_TO_SIZE (data);
  if (revision == 0)
    {
      quince_policy_register_none (node->reg);
      after_offer (world, process);
      return;
    }
  QuincePolicyBody body = { 0 };
  fill_policy (&body, revision);
  offer (world, process, &body);
  xdr_free ((xdrproc_t)xdr_QuincePolicyBody, &body);
}

static void
read_kv (SimWorld *world, SimProcess *process)
{
  SimModel *model = sim_model (world);
  if (!model->kv_up)
    return;
  gint64 delay = sim_chance (world, 0.05) ? (gint64)sim_random (world, 2 * SIM_SECOND) : SIM_MILLISECOND;
  sim_world_at (world, process, delay, kv_answer, GSIZE_TO_POINTER (model->kv_revision), NULL);
}

static void
send_hello (SimWorld *world, SimProcess *process, guint to)
{
  SimNode *node = process->state;
  QuinceMessage message = { .kind = QUINCE_MESSAGE_HELLO };
  QuinceHello *hello = &message.QuinceMessage_u.hello;
  *hello = (QuinceHello){ .protocol_version = QUINCE_PROTOCOL_VERSION,
                          .role = QUINCE_ROLE_NODE,
                          .name = process->name,
                          .zone = (char *)"zone",
                          .incarnation = process->life,
                          .policy_revision = quince_policy_register_get_seen (node->reg) };
  sim_world_send (world, process, to, quince_message_copy (&message));
}

static void
spread_policy (SimWorld *world, SimProcess *process, gpointer data)
{
  SimModel *model = sim_model (world);
  read_kv (world, process);
  guint peer = sim_random (world, SIM_NODES);
  if (peer != process->index)
    send_hello (world, process, model->nodes[peer]->id);
  sim_world_at (world, process, POLICY_INTERVAL, spread_policy, NULL, NULL);
}

static void
receive_hello (SimWorld *world, SimProcess *process, guint from, const QuinceHello *hello)
{
  SimNode *node = process->state;
  guint64 mine = quince_policy_register_get (node->reg)->revision;
  see_policy (process, hello->policy_revision);
  if (hello->policy_revision > mine || !quince_policy_register_is_current (node->reg))
    {
      QuinceMessage fetch = { .kind = QUINCE_MESSAGE_POLICY_FETCH };
      sim_world_send (world, process, from, quince_message_copy (&fetch));
    }
  else if (hello->policy_revision < mine)
    send_hello (world, process, from);
}

static void
answer_fetch (SimWorld *world, SimProcess *process, guint from)
{
  SimNode *node = process->state;
  const QuincePolicyBody *body = quince_policy_register_get (node->reg);
  if (body->revision == 0 || !quince_policy_register_is_current (node->reg))
    return;
  QuinceMessage message = { .kind = QUINCE_MESSAGE_POLICY_BODY };
  message.QuinceMessage_u.policy_body = *body;
  sim_world_send (world, process, from, quince_message_copy (&message));
}

guint64
sim_node_get_policy (SimProcess *process)
{
  return process->alive ? ((SimNode *)process->state)->in_force : 0;
}

gboolean
sim_node_is_current (SimProcess *process)
{
  return process->alive && quince_policy_register_is_current (((SimNode *)process->state)->reg);
}

/* ---- Planned stops ------------------------------------------------------------------ */

void
sim_node_stop (SimWorld *world, SimProcess *process)
{
  SimNode *node = process->state;
  g_autoptr (GPtrArray) decisions = quince_decisions_new ();
  quince_scheduler_stop (node->scheduler, world->now, decisions);
  send_decisions (world, process, decisions);
}

gboolean
sim_node_may_end (SimWorld *world, SimProcess *process)
{
  SimNode *node = process->state;
  guint64 epoch;
  QuinceSchedulerCounters counters;
  quince_scheduler_get_counters (node->scheduler, &counters);
  if (counters.outstanding > 0)
    return FALSE;
  if (node->ledger == NULL || !sim_ledger_leads (node->ledger, &epoch))
    return TRUE;
  sim_ledger_hand_over (world, node->ledger);
  return FALSE;
}

/* ---- Life ------------------------------------------------------------------------ */

/* A disk may go for good only while the others still hold all that was committed. */
gboolean
sim_node_may_lose_disk (SimWorld *world, guint victim)
{
  SimModel *model = sim_model (world);
  for (guint i = 0; i < SIM_LEDGER_NODES; i++)
    {
      SimNode *leader = model->nodes[i]->state;
      guint64 epoch;
      if (!model->nodes[i]->alive || i == victim || !sim_ledger_leads (leader->ledger, &epoch))
        continue;
      const QuinceConsensus *consensus = sim_ledger_get_consensus (leader->ledger);
      const QuinceReplicaSet *voters = quince_consensus_get_voters (consensus);
      guint kept = 0;
      for (guint j = 0; j < SIM_LEDGER_NODES; j++)
        for (guint k = 0; j != victim && k < voters->voters.voters_len; k++)
          {
            const SimDisk *disk = &model->disks[j];
            guint64 last = disk->entries != NULL && disk->entries->len > 0
                               ? ((QuinceEntry *)disk->entries->pdata[disk->entries->len - 1])->index
                               : disk->snapshot_index;
            if (voters->voters.voters_val[k].replica_id == disk->replica_id
                && last >= quince_consensus_get_commit_index (consensus))
              kept++;
          }
      if (kept > voters->voters.voters_len / 2 && voters->voters.voters_len >= 3)
        return TRUE;
    }
  return FALSE;
}

static void
start (SimWorld *world, SimProcess *process)
{
  SimNode *node = g_new0 (SimNode, 1);
  QuinceSchedulerLimits limits = quince_scheduler_default_limits;
  process->state = node;
  limits.grant_ms = SIM_GRANT_MS;
  limits.report_stale_ms = 1500;
  limits.abandon_ms = 5000;
  node->scheduler = quince_scheduler_new (&limits, process->life, "zone", g_rand_int (world->random));
  node->reg = quince_policy_register_new ();
  quince_scheduler_set_ready (node->scheduler, FALSE);
  sim_model (world)->last_disturbance = MAX (sim_model (world)->last_disturbance, world->now);
  if (process->index < SIM_LEDGER_NODES)
    node->ledger = sim_ledger_new (world, process);
  gint64 offset = (gint64)sim_random (world, 100 * SIM_MILLISECOND);
  sim_world_at (world, process, offset, poll_engines, NULL, NULL);
  sim_world_at (world, process, offset, spread_policy, NULL, NULL);
  sim_world_at (world, process, offset, order_weights, NULL, NULL);
}

static void
end (SimWorld *world, SimProcess *process)
{
  SimNode *node = process->state;
  g_clear_pointer (&node->ledger, sim_ledger_free);
  quince_scheduler_free (node->scheduler);
  quince_policy_register_free (node->reg);
  g_free (node);
}

static void
receive (SimWorld *world, SimProcess *process, guint from, QuinceMessage *message)
{
  SimNode *node = process->state;
  switch (message->kind)
    {
    case QUINCE_MESSAGE_HELLO:
      receive_hello (world, process, from, &message->QuinceMessage_u.hello);
      break;
    case QUINCE_MESSAGE_GRANT_REQUEST:
    case QUINCE_MESSAGE_GRANT_END:
    case QUINCE_MESSAGE_GRANT_CANCEL:
      receive_grant_message (world, process, from, message);
      break;
    case QUINCE_MESSAGE_LEDGER_CALL:
      if (node->ledger != NULL)
        sim_ledger_call (world, node->ledger, from, &message->QuinceMessage_u.ledger_call);
      break;
    case QUINCE_MESSAGE_REPLICATION:
      if (node->ledger != NULL)
        sim_ledger_receive (world, node->ledger, &message->QuinceMessage_u.replication);
      break;
    case QUINCE_MESSAGE_POLICY_FETCH:
      answer_fetch (world, process, from);
      break;
    case QUINCE_MESSAGE_POLICY_BODY:
      offer (world, process, &message->QuinceMessage_u.policy_body);
      break;
    default:
      break;
    }
  quince_message_free (message);
}

static void
lost (SimWorld *world, SimProcess *process, guint peer)
{
  SimNode *node = process->state;
  quince_scheduler_client_gone (node->scheduler, world->now, peer);
}

const SimClass sim_node_class = { start, receive, lost, end };
