/*
 * hub.c: what the workers share: node links, ledger calls, retry budget and ids.
 */
#include "hub.h"

#include <string.h>

#include "id-table.h"
#include "ledger-client.h"
#include "node-links.h"
#include "worker-reports.h"

typedef struct
{
  QuinceHub *hub;
  QuinceMailbox *mailbox;
  GHashTable *asks;         /* &HubCall.serial -> HubCall, owned */
  GHashTable *ledger_calls; /* &HubCall.serial -> HubCall, owned */
} HubWorker;

/* One call of a worker until its answer. */
typedef struct
{
  HubWorker *worker;
  guint64 serial;
  QuinceRequestId id;  /* of an ASK                          */
  guint attempt;       /* of an ASK                          */
  guint64 ledger_call; /* of a LEDGER_CALL, at the client    */
} HubCall;

struct _QuinceHub
{
  /* All fields belong to the main context. */
  QuinceAgent *agent;
  QuinceMailbox *mailbox;
  GPtrArray *workers; /* HubWorker, owned */
  QuinceIdTable *ids;
};

static HubCall *
call_new (HubWorker *worker, guint64 serial)
{
  HubCall *call = g_new0 (HubCall, 1);
  call->worker = worker;
  call->serial = serial;
  return call;
}

/* ---- Grants ---------------------------------------------------------------------- */

static void
grant_verdict (const char *node, const QuinceGrantReply *reply, gint64 sent_at_us, gpointer user_data)
{
  HubCall *call = user_data;
  QuinceWorkerMessage *message = quince_worker_message_new (QUINCE_WORKER_VERDICT, call->serial);
  message->node = g_strdup (node);
  message->grant_reply = quince_grant_reply_copy (reply);
  message->sent_at_us = sent_at_us;
  quince_mailbox_post (call->worker->mailbox, message);
  g_hash_table_remove (call->worker->asks, &call->serial);
}

static void
grant_lost (const char *node, gpointer user_data)
{
  HubCall *call = user_data;
  QuinceWorkerMessage *message = quince_worker_message_new (QUINCE_WORKER_NODE_LOST, call->serial);
  message->node = g_strdup (node);
  quince_mailbox_post (call->worker->mailbox, message);
  g_hash_table_remove (call->worker->asks, &call->serial);
}

static const QuinceGrantCallbacks grant_callbacks = { .verdict = grant_verdict, .lost = grant_lost };

static void
refuse_ask (HubWorker *worker, guint64 serial, QuinceAskFailure failure)
{
  QuinceWorkerMessage *message = quince_worker_message_new (QUINCE_WORKER_NOT_ASKED, serial);
  message->failure = failure;
  quince_mailbox_post (worker->mailbox, message);
}

static void
take_ask (HubWorker *worker, QuinceHubMessage *message)
{
  QuinceAgent *agent = worker->hub->agent;
  gint64 now = quince_now_us ();
  if (message->budget == QUINCE_ASK_FIRST)
    quince_retry_budget_first (agent->retry_budget, now);
  if (message->budget == QUINCE_ASK_RETRY && !quince_retry_budget_take (agent->retry_budget, now))
    {
      refuse_ask (worker, message->call, QUINCE_ASK_NO_BUDGET);
      return;
    }
  HubCall *call = call_new (worker, message->call);
  memcpy (call->id, message->request->request_id, QUINCE_ID_BYTES);
  call->attempt = message->request->attempt;
  if (quince_node_links_ask (agent->node_links, message->request, message->key, message->tried,
                             &grant_callbacks, call))
    {
      g_hash_table_insert (worker->asks, &call->serial, call);
      return;
    }
  refuse_ask (worker, message->call, QUINCE_ASK_NO_NODE);
  g_free (call);
}

static void
take_withdraw (HubWorker *worker, guint64 serial)
{
  const HubCall *call = g_hash_table_lookup (worker->asks, &serial);
  if (call == NULL)
    return; /* Its verdict is on its way to the worker, which gives the grant back. */
  quince_node_links_withdraw (worker->hub->agent->node_links, call->id, call->attempt);
  g_hash_table_remove (worker->asks, &serial);
}

/* ---- Ledger ---------------------------------------------------------------------- */

static void
ledger_answered (const QuinceLedgerReply *reply, gpointer user_data)
{
  HubCall *call = user_data;
  QuinceWorkerMessage *message = quince_worker_message_new (QUINCE_WORKER_LEDGER_REPLY, call->serial);
  message->ledger_reply = reply != NULL ? quince_ledger_reply_copy (reply) : NULL;
  quince_mailbox_post (call->worker->mailbox, message);
  g_hash_table_remove (call->worker->ledger_calls, &call->serial);
}

static void
take_ledger_call (HubWorker *worker, QuinceHubMessage *message)
{
  HubCall *call = call_new (worker, message->call);
  g_hash_table_insert (worker->ledger_calls, &call->serial, call);
  call->ledger_call
      = quince_ledger_client_call (worker->hub->agent->ledger_client, g_steal_pointer (&message->command),
                                   message->deadline_us, ledger_answered, call);
}

static void
take_ledger_forget (HubWorker *worker, guint64 serial)
{
  const HubCall *call = g_hash_table_lookup (worker->ledger_calls, &serial);
  if (call == NULL)
    return;
  quince_ledger_client_forget (worker->hub->agent->ledger_client, call->ledger_call);
  g_hash_table_remove (worker->ledger_calls, &serial);
}

/* ---- Ids ------------------------------------------------------------------------- */

static void
answer_id (guint worker, guint64 serial, const QuinceRequestId id, gboolean taken, gpointer user_data)
{
  QuinceWorkerMessage *message = quince_worker_message_new (QUINCE_WORKER_ID_ANSWER, serial);
  memcpy (message->id, id, QUINCE_ID_BYTES);
  message->taken = taken;
  quince_hub_post (user_data, worker, message);
}

static void
check_id (guint worker, const QuinceRequestId id, gpointer user_data)
{
  QuinceWorkerMessage *message = quince_worker_message_new (QUINCE_WORKER_CHECK_ID, 0);
  memcpy (message->id, id, QUINCE_ID_BYTES);
  quince_hub_post (user_data, worker, message);
}

static const QuinceIdTableCallbacks id_callbacks = { .answer = answer_id, .check = check_id };

/* ---- Messages -------------------------------------------------------------------- */

static void
take_message (gpointer data, gpointer user_data)
{
  QuinceHub *hub = user_data;
  QuinceHubMessage *message = data;
  HubWorker *worker = g_ptr_array_index (hub->workers, message->worker);
  switch (message->kind)
    {
    case QUINCE_HUB_TAKE_ID:
      quince_id_table_take (hub->ids, message->id, message->worker, message->call);
      break;
    case QUINCE_HUB_RELEASE_ID:
      quince_id_table_release (hub->ids, message->id, message->worker);
      break;
    case QUINCE_HUB_ID_HELD:
      quince_id_table_held (hub->ids, message->id, message->worker);
      break;
    case QUINCE_HUB_ASK:
      take_ask (worker, message);
      break;
    case QUINCE_HUB_WITHDRAW:
      take_withdraw (worker, message->call);
      break;
    case QUINCE_HUB_END_GRANT:
      quince_node_links_end_grant (hub->agent->node_links, message->node, &message->end);
      break;
    case QUINCE_HUB_LEDGER_CALL:
      take_ledger_call (worker, message);
      break;
    case QUINCE_HUB_LEDGER_FORGET:
      take_ledger_forget (worker, message->call);
      break;
    case QUINCE_HUB_VIEW:
      quince_worker_reports_view (hub->agent->reports, message->worker, message->call, message->view);
      break;
    case QUINCE_HUB_REPORT:
      quince_worker_reports_take (hub->agent->reports, message->report);
      break;
    }
  quince_hub_message_free (message);
}

void
quince_hub_post (QuinceHub *hub, guint worker, QuinceWorkerMessage *message)
{
  HubWorker *to = g_ptr_array_index (hub->workers, worker);
  quince_mailbox_post (to->mailbox, message);
}

/* ---- Life ------------------------------------------------------------------------ */

static void
worker_free (gpointer data)
{
  HubWorker *worker = data;
  g_hash_table_unref (worker->asks);
  g_hash_table_unref (worker->ledger_calls);
  quince_mailbox_unref (worker->mailbox);
  g_free (worker);
}

QuinceHub *
quince_hub_new (QuinceAgent *agent)
{
  QuinceHub *hub = g_new0 (QuinceHub, 1);
  hub->agent = agent;
  hub->workers = g_ptr_array_new_with_free_func (worker_free);
  hub->ids = quince_id_table_new (&id_callbacks, hub);
  hub->mailbox = quince_mailbox_new (NULL, take_message, quince_hub_message_free, NULL, hub);
  return hub;
}

void
quince_hub_free (QuinceHub *hub)
{
  quince_mailbox_close (hub->mailbox);
  quince_mailbox_unref (hub->mailbox);
  quince_id_table_free (hub->ids);
  g_ptr_array_unref (hub->workers);
  g_free (hub);
}

QuinceMailbox *
quince_hub_get_mailbox (const QuinceHub *hub)
{
  return hub->mailbox;
}

void
quince_hub_add_worker (QuinceHub *hub, QuinceMailbox *mailbox)
{
  HubWorker *worker = g_new0 (HubWorker, 1);
  worker->hub = hub;
  worker->mailbox = quince_mailbox_ref (mailbox);
  worker->asks = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  worker->ledger_calls = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  g_ptr_array_add (hub->workers, worker);
}

guint
quince_hub_get_worker_count (const QuinceHub *hub)
{
  return hub->workers->len;
}

gboolean
quince_hub_is_idle (const QuinceHub *hub)
{
  return quince_id_table_get_size (hub->ids) == 0;
}
