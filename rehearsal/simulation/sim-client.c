/*
 * sim-client.c: calls to the ledger's leader, repeated until a definite answer.
 */
#include "model.h"

#define CALL_TIMEOUT (600 * SIM_MILLISECOND)
#define RETRY_PAUSE (50 * SIM_MILLISECOND)

typedef struct
{
  guint64 id;
  QuinceLedgerCall *call;
  gint64 deadline;
  guint tries;
  SimReplyHandler handler;
  gpointer data; /* released with g_free() */
} Call;

struct _SimClient
{
  GHashTable *calls; /* id -> Call */
  guint64 last_id;
  guint leader; /* guess: index of a ledger node */
};

static void
call_free (gpointer data)
{
  Call *call = data;
  quince_ledger_call_free (call->call);
  g_free (call->data);
  g_free (call);
}

SimClient *
sim_client_new (void)
{
  SimClient *client = g_new0 (SimClient, 1);
  client->calls = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, call_free);
  return client;
}

void
sim_client_free (SimClient *client)
{
  g_hash_table_unref (client->calls);
  g_free (client);
}

guint
sim_client_count_calls (const SimClient *client)
{
  return g_hash_table_size (client->calls);
}

typedef struct
{
  SimClient *client;
  guint64 id;
  guint tries;
} Timer;

static void attempt (SimWorld *world, SimProcess *process, gpointer data);

static void
schedule (SimWorld *world, SimProcess *process, SimClient *client, const Call *call, gint64 delay)
{
  Timer *timer = g_new0 (Timer, 1);
  *timer = (Timer){ client, call->id, call->tries };
  sim_world_at (world, process, delay, attempt, timer, g_free);
}

static void
finish (SimWorld *world, SimProcess *process, SimClient *client, Call *call, const QuinceLedgerReply *reply)
{
  g_hash_table_steal (client->calls, &call->id);
  call->handler (world, process, reply, call->data);
  call_free (call);
}

static void
attempt (SimWorld *world, SimProcess *process, gpointer data)
{
  g_autofree Timer *timer = data;
  SimClient *client = timer->client;
  Call *call = g_hash_table_lookup (client->calls, &timer->id);
  if (call == NULL || call->tries != timer->tries)
    return;
  if (world->now >= call->deadline)
    {
      const QuinceLedgerReply unknown = { .status = QUINCE_LEDGER_UNKNOWN, .leader = (char *)"" };
      finish (world, process, client, call, &unknown);
      return;
    }
  /* No answer to the try before: another node may lead. */
  if (call->tries > 0)
    client->leader = (client->leader + 1) % SIM_LEDGER_NODES;
  call->tries++;
  QuinceMessage message = { .kind = QUINCE_MESSAGE_LEDGER_CALL };
  message.QuinceMessage_u.ledger_call = *call->call;
  sim_world_send (world, process, sim_model (world)->nodes[client->leader]->id,
                  quince_message_copy (&message));
  schedule (world, process, client, call, CALL_TIMEOUT);
}

void
sim_client_call (SimWorld *world,
                 SimProcess *process,
                 SimClient *client,
                 const QuinceCommand *command,
                 gint64 deadline,
                 SimReplyHandler handler,
                 gpointer data)
{
  Call *call = g_new0 (Call, 1);
  const QuinceLedgerCall content = { .call_id = ++client->last_id, .command = *command };
  call->id = content.call_id;
  call->call = quince_ledger_call_copy (&content);
  call->deadline = deadline;
  call->handler = handler;
  call->data = data;
  g_hash_table_insert (client->calls, &call->id, call);
  schedule (world, process, client, call, 0);
}

void
sim_client_receive (SimWorld *world, SimProcess *process, SimClient *client, const QuinceLedgerReply *reply)
{
  guint64 id = reply->call_id;
  Call *call = g_hash_table_lookup (client->calls, &id);
  if (call == NULL)
    return;
  switch (reply->status)
    {
    case QUINCE_LEDGER_NOT_LEADER:
    case QUINCE_LEDGER_UNKNOWN:
    case QUINCE_LEDGER_BUSY:
      {
        SimProcess *leader = sim_world_find (world, reply->leader);
        if (leader != NULL && reply->status == QUINCE_LEDGER_NOT_LEADER && leader->index < SIM_LEDGER_NODES)
          /* One back: the next attempt moves on by one. */
          client->leader = (leader->index + SIM_LEDGER_NODES - 1) % SIM_LEDGER_NODES;
        schedule (world, process, client, call, RETRY_PAUSE);
        return;
      }
    default:
      finish (world, process, client, call, reply);
    }
}
