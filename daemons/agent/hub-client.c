/*
 * hub-client.c: a worker's end of its talk with the hub.
 */
#include "hub-client.h"

#include <string.h>

/* One call until its answer. */
typedef struct
{
  guint64 serial;
  QuinceHubMessageKind kind; /* ASK, LEDGER_CALL, TAKE_ID or VIEW */
  const QuinceAskCallbacks *ask;
  QuinceLedgerCallback ledger;
  QuinceIdCallback id;
  QuinceViewCallback view;
  gpointer user_data;
} PendingCall;

struct _QuinceHubClient
{
  /* All fields belong to the worker's context. */
  QuinceMailbox *hub;
  guint worker;
  guint64 last_serial;
  GHashTable *pending; /* &PendingCall.serial -> PendingCall, owned */
};

QuinceHubClient *
quince_hub_client_new (QuinceMailbox *hub, guint worker)
{
  QuinceHubClient *client = g_new0 (QuinceHubClient, 1);
  client->hub = quince_mailbox_ref (hub);
  client->worker = worker;
  client->pending = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  return client;
}

void
quince_hub_client_free (QuinceHubClient *client)
{
  g_hash_table_unref (client->pending);
  quince_mailbox_unref (client->hub);
  g_free (client);
}

/* ---- Calls ----------------------------------------------------------------------- */

static QuinceHubMessage *
message_new (QuinceHubClient *client, QuinceHubMessageKind kind, guint64 call)
{
  return quince_hub_message_new (kind, client->worker, call);
}

static PendingCall *
add_pending (QuinceHubClient *client, QuinceHubMessageKind kind, gpointer user_data)
{
  PendingCall *call = g_new0 (PendingCall, 1);
  call->serial = ++client->last_serial;
  call->kind = kind;
  call->user_data = user_data;
  g_hash_table_insert (client->pending, &call->serial, call);
  return call;
}

static gpointer
copy_text (gconstpointer text, gpointer user_data)
{
  return g_strdup (text);
}

guint64
quince_hub_client_ask (QuinceHubClient *client,
                       const QuinceGrantRequest *request,
                       guint64 key,
                       const GPtrArray *tried,
                       QuinceAskBudget budget,
                       const QuinceAskCallbacks *callbacks,
                       gpointer user_data)
{
  PendingCall *call = add_pending (client, QUINCE_HUB_ASK, user_data);
  QuinceHubMessage *message = message_new (client, QUINCE_HUB_ASK, call->serial);
  call->ask = callbacks;
  message->request = quince_grant_request_copy (request);
  message->key = key;
  message->budget = budget;
  if (tried->len > 0)
    {
      message->tried = g_ptr_array_copy ((GPtrArray *)tried, copy_text, NULL);
      g_ptr_array_set_free_func (message->tried, g_free);
    }
  quince_mailbox_post (client->hub, message);
  return call->serial;
}

void
quince_hub_client_end_grant (QuinceHubClient *client, const char *node, const QuinceGrantEnd *end)
{
  QuinceHubMessage *message = message_new (client, QUINCE_HUB_END_GRANT, 0);
  message->node = g_strdup (node);
  message->end = *end;
  quince_mailbox_post (client->hub, message);
}

guint64
quince_hub_client_call_ledger (QuinceHubClient *client,
                               QuinceCommand *command,
                               gint64 deadline_us,
                               QuinceLedgerCallback callback,
                               gpointer user_data)
{
  PendingCall *call = add_pending (client, QUINCE_HUB_LEDGER_CALL, user_data);
  QuinceHubMessage *message = message_new (client, QUINCE_HUB_LEDGER_CALL, call->serial);
  call->ledger = callback;
  message->command = command;
  message->deadline_us = deadline_us;
  quince_mailbox_post (client->hub, message);
  return call->serial;
}

static void
post_id (QuinceHubClient *client, QuinceHubMessageKind kind, guint64 call, const QuinceRequestId id)
{
  QuinceHubMessage *message = message_new (client, kind, call);
  memcpy (message->id, id, QUINCE_ID_BYTES);
  quince_mailbox_post (client->hub, message);
}

guint64
quince_hub_client_take_id (QuinceHubClient *client,
                           const QuinceRequestId id,
                           QuinceIdCallback callback,
                           gpointer user_data)
{
  PendingCall *call = add_pending (client, QUINCE_HUB_TAKE_ID, user_data);
  call->id = callback;
  post_id (client, QUINCE_HUB_TAKE_ID, call->serial, id);
  return call->serial;
}

void
quince_hub_client_take_new_id (QuinceHubClient *client, const QuinceRequestId id)
{
  post_id (client, QUINCE_HUB_TAKE_ID, 0, id);
}

void
quince_hub_client_release_id (QuinceHubClient *client, const QuinceRequestId id)
{
  post_id (client, QUINCE_HUB_RELEASE_ID, 0, id);
}

void
quince_hub_client_id_held (QuinceHubClient *client, const QuinceRequestId id)
{
  post_id (client, QUINCE_HUB_ID_HELD, 0, id);
}

guint64
quince_hub_client_view (QuinceHubClient *client,
                        QuinceViewKind kind,
                        QuinceViewCallback callback,
                        gpointer user_data)
{
  PendingCall *call = add_pending (client, QUINCE_HUB_VIEW, user_data);
  QuinceHubMessage *message = message_new (client, QUINCE_HUB_VIEW, call->serial);
  call->view = callback;
  message->view = kind;
  quince_mailbox_post (client->hub, message);
  return call->serial;
}

void
quince_hub_client_report (QuinceHubClient *client, QuinceWorkerReport *report)
{
  QuinceHubMessage *message = message_new (client, QUINCE_HUB_REPORT, 0);
  message->report = report;
  quince_mailbox_post (client->hub, message);
}

void
quince_hub_client_cancel (QuinceHubClient *client, guint64 serial)
{
  const PendingCall *call = g_hash_table_lookup (client->pending, &serial);
  if (call == NULL)
    return;
  if (call->kind == QUINCE_HUB_ASK)
    quince_mailbox_post (client->hub, message_new (client, QUINCE_HUB_WITHDRAW, serial));
  else if (call->kind == QUINCE_HUB_LEDGER_CALL)
    quince_mailbox_post (client->hub, message_new (client, QUINCE_HUB_LEDGER_FORGET, serial));
  g_hash_table_remove (client->pending, &serial);
}

/* ---- Answers --------------------------------------------------------------------- */

/* What came for a call that was cancelled meanwhile goes back. */
static void
give_back (QuinceHubClient *client, const QuinceWorkerMessage *message)
{
  if (message->kind == QUINCE_WORKER_ID_ANSWER && message->taken)
    quince_hub_client_release_id (client, message->id);
  if (message->kind != QUINCE_WORKER_VERDICT || message->grant_reply->verdict.kind != QUINCE_VERDICT_GRANTED)
    return;
  QuinceGrantEnd end = {
    .grant_id = message->grant_reply->verdict.QuinceVerdict_u.grant.grant_id,
    .outcome = QUINCE_OUTCOME_NOT_SENT,
  };
  quince_hub_client_end_grant (client, message->node, &end);
}

void
quince_hub_client_take (QuinceHubClient *client, const QuinceWorkerMessage *message)
{
  gpointer stolen = NULL;
  if (!g_hash_table_steal_extended (client->pending, &message->call, NULL, &stolen))
    {
      give_back (client, message);
      return;
    }
  g_autofree PendingCall *call = stolen;
  switch (message->kind)
    {
    case QUINCE_WORKER_ID_ANSWER:
      call->id (message->taken, call->user_data);
      break;
    case QUINCE_WORKER_VERDICT:
      call->ask->verdict (message->node, message->grant_reply, message->sent_at_us, call->user_data);
      break;
    case QUINCE_WORKER_NODE_LOST:
      call->ask->lost (message->node, call->user_data);
      break;
    case QUINCE_WORKER_NOT_ASKED:
      call->ask->not_asked (message->failure, call->user_data);
      break;
    case QUINCE_WORKER_LEDGER_REPLY:
      call->ledger (message->ledger_reply, call->user_data);
      break;
    case QUINCE_WORKER_VIEW:
      call->view (message->status, message->text, call->user_data);
      break;
    default:
      g_assert_not_reached ();
    }
}
