/*
 * ledger-client.c: calls to the leader of the sample ledger.
 */
#include "ledger-client.h"

#include <quince/log.h>
#include <quince/request-id.h>
#include <quince/task.h>

#define TRY_TIMEOUT_MS 2000
#define NO_LEADER_WAIT_MS 50
#define RETRY_WAIT_MS 20
#define MOST_WAIT_MS 1000

/* One command until its answer.  The client owns it. */
typedef struct
{
  QuinceLedgerClient *client;
  guint64 id;
  QuinceCommand *command;
  gint64 deadline_us;
  char *asked;    /* address of the node that has the current try, or NULL */
  GSource *timer; /* next try, or the end of the current one               */
  QuinceLedgerCallback callback;
  gpointer user_data;
} LedgerCall;

struct _QuinceLedgerClient
{
  /* All fields belong to the main context. */
  QuinceNodeLinks *links; /* the agent's                                    */
  GHashTable *calls;      /* &LedgerCall.id -> LedgerCall, owned            */
  guint64 last_id;
  char *hint; /* leader named by a NOT_LEADER answer, or NULL   */
  QuinceLedgerClientCounters counters;
};

static void
call_free (LedgerCall *call)
{
  quince_source_clear (&call->timer);
  quince_command_free (call->command);
  g_free (call->asked);
  g_free (call);
}

/* ---- Tries --------------------------------------------------------------- */

static void
call_finish (LedgerCall *call, const QuinceLedgerReply *reply)
{
  QuinceLedgerClient *client = call->client;
  QuinceLedgerCallback callback = call->callback;
  gpointer user_data = call->user_data;
  client->counters.unanswered += reply == NULL ? 1 : 0;
  g_hash_table_remove (client->calls, &call->id);
  callback (reply, user_data);
}

static void call_schedule (LedgerCall *call, guint wait_ms);

static const char *
find_leader (const QuinceLedgerClient *client)
{
  return client->hint != NULL ? client->hint : quince_node_links_get_ledger_leader (client->links);
}

/* Returns: %FALSE when no leader can be reached now. */
static gboolean
call_send (LedgerCall *call)
{
  QuinceLedgerClient *client = call->client;
  const char *leader = find_leader (client);
  QuinceMessage message = { .kind = QUINCE_MESSAGE_LEDGER_CALL };
  message.QuinceMessage_u.ledger_call.call_id = call->id;
  message.QuinceMessage_u.ledger_call.command = *call->command;
  if (*leader == '\0' || !quince_node_links_send (client->links, leader, &message))
    return FALSE;
  g_free (call->asked);
  call->asked = g_strdup (leader);
  client->counters.tries++;
  return TRUE;
}

static gboolean
call_due (gpointer data)
{
  LedgerCall *call = data;
  quince_source_clear (&call->timer);
  if (call->asked != NULL)
    {
      /* The leader was silent: the hint may be of a node that leads no longer. */
      g_clear_pointer (&call->asked, g_free);
      g_clear_pointer (&call->client->hint, g_free);
    }
  if (quince_now_us () >= call->deadline_us)
    call_finish (call, NULL);
  else if (call_send (call))
    call_schedule (call, TRY_TIMEOUT_MS);
  else
    {
      g_clear_pointer (&call->client->hint, g_free);
      call_schedule (call, NO_LEADER_WAIT_MS);
    }
  return G_SOURCE_REMOVE;
}

static void
call_schedule (LedgerCall *call, guint wait_ms)
{
  gint64 left_ms = MAX ((call->deadline_us - quince_now_us ()) / G_TIME_SPAN_MILLISECOND, 0);
  quince_source_clear (&call->timer);
  call->timer = quince_timer_add ((guint)MIN ((gint64)wait_ms, left_ms + 1), call_due, call);
}

guint64
quince_ledger_client_call (QuinceLedgerClient *client,
                           QuinceCommand *command,
                           gint64 deadline_us,
                           QuinceLedgerCallback callback,
                           gpointer user_data)
{
  LedgerCall *call = g_new0 (LedgerCall, 1);
  call->client = client;
  call->id = ++client->last_id;
  call->command = command;
  call->deadline_us = deadline_us;
  call->callback = callback;
  call->user_data = user_data;
  g_hash_table_insert (client->calls, &call->id, call);
  client->counters.calls++;
  call_schedule (call, call_send (call) ? TRY_TIMEOUT_MS : NO_LEADER_WAIT_MS);
  return call->id;
}

void
quince_ledger_client_forget (QuinceLedgerClient *client, guint64 call_id)
{
  g_hash_table_remove (client->calls, &call_id);
}

/* ---- What the links report ------------------------------------------------ */

static void
take_hint (QuinceLedgerClient *client, const char *leader)
{
  g_clear_pointer (&client->hint, g_free);
  if (*leader != '\0')
    client->hint = g_strdup (leader);
}

void
quince_ledger_client_reply (QuinceLedgerClient *client, const QuinceLedgerReply *reply)
{
  LedgerCall *call = g_hash_table_lookup (client->calls, &reply->call_id);
  if (call == NULL)
    return;
  guint wait_ms = MIN (MAX (reply->retry_after_ms, RETRY_WAIT_MS), MOST_WAIT_MS);
  switch (reply->status)
    {
    case QUINCE_LEDGER_NOT_LEADER:
      client->counters.redirected++;
      take_hint (client, reply->leader);
      g_clear_pointer (&call->asked, g_free);
      call_schedule (call, RETRY_WAIT_MS);
      break;
    case QUINCE_LEDGER_BUSY:
    case QUINCE_LEDGER_UNKNOWN:
      client->counters.busy++;
      g_clear_pointer (&call->asked, g_free);
      call_schedule (call, wait_ms);
      break;
    default:
      call_finish (call, reply);
    }
}

void
quince_ledger_client_link_changed (QuinceLedgerClient *client, const char *address, gboolean up)
{
  if (up)
    return;
  if (g_strcmp0 (client->hint, address) == 0)
    g_clear_pointer (&client->hint, g_free);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, client->calls);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      LedgerCall *call = value;
      if (g_strcmp0 (call->asked, address) != 0)
        continue;
      g_clear_pointer (&call->asked, g_free);
      call_schedule (call, RETRY_WAIT_MS);
    }
}

/* ---- Life ------------------------------------------------------------------ */

QuinceLedgerClient *
quince_ledger_client_new (QuinceNodeLinks *links)
{
  QuinceLedgerClient *client = g_new0 (QuinceLedgerClient, 1);
  client->links = links;
  client->calls = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, (GDestroyNotify)call_free);
  client->last_id = quince_random_u64 () >> 1; /* not mistaken for a call of an earlier start */
  return client;
}

void
quince_ledger_client_free (QuinceLedgerClient *client)
{
  g_hash_table_unref (client->calls);
  g_free (client->hint);
  g_free (client);
}

void
quince_ledger_client_get_counters (const QuinceLedgerClient *client, QuinceLedgerClientCounters *out)
{
  *out = client->counters;
  out->waiting = g_hash_table_size (client->calls);
}
