/*
 * hub-message.c: messages between the workers and the hub.
 */
#include "hub-message.h"

QuinceHubMessage *
quince_hub_message_new (QuinceHubMessageKind kind, guint worker, guint64 call)
{
  QuinceHubMessage *message = g_new0 (QuinceHubMessage, 1);
  message->kind = kind;
  message->worker = worker;
  message->call = call;
  return message;
}

void
quince_hub_message_free (gpointer data)
{
  QuinceHubMessage *message = data;
  g_clear_pointer (&message->request, quince_grant_request_free);
  g_clear_pointer (&message->tried, g_ptr_array_unref);
  g_clear_pointer (&message->command, quince_command_free);
  g_free (message->node);
  g_free (message->report);
  g_free (message);
}

QuinceWorkerMessage *
quince_worker_message_new (QuinceWorkerMessageKind kind, guint64 call)
{
  QuinceWorkerMessage *message = g_new0 (QuinceWorkerMessage, 1);
  message->kind = kind;
  message->call = call;
  return message;
}

void
quince_worker_message_free (gpointer data)
{
  QuinceWorkerMessage *message = data;
  g_clear_object (&message->socket);
  g_clear_pointer (&message->grant_reply, quince_grant_reply_free);
  g_clear_pointer (&message->ledger_reply, quince_ledger_reply_free);
  g_free (message->node);
  g_free (message->text);
  g_free (message);
}
