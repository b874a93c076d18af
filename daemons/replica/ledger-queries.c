/*
 * ledger-queries.c: a replica's links to members that it asks, and what it keeps of its own answers.
 */
#include "ledger-node-private.h"

#include <stdlib.h>

#include "runtime/log.h"
#include "runtime/clock.h"

/* A link that nothing was asked on for so long is closed: three of the longest times between two questions of
 * one campaign. */
#define IDLE_US (500 * 1000)
/* A link that has not connected by then is tried anew, as one to the leader is. */
#define CONNECT_US (1200 * 1000)

/* ---- Promises on disk ------------------------------------------------- */

gboolean
quince_ledger_node_keep (QuinceLedgerNode *node, GError **error)
{
  return quince_batch_log_keep (node->log, quince_ledger_group_get_kept (node->group), error);
}

void
quince_ledger_node_keep_or_abort (QuinceLedgerNode *node)
{
  g_autoptr (GError) error = NULL;
  if (quince_ledger_node_keep (node, &error))
    return;
  quince_log_failure ("ledger_disk_failed", "doing=keep reason=\"%s\"", error->message);
  abort ();
}

/* ---- Links ------------------------------------------------------------ */

static void
take_promise (QuinceLedgerNode *node, const QuinceLedgerPromise *promise)
{
  const QuinceLogEnd end = { .epoch = promise->last_epoch, .index = promise->last_index };
  quince_log_info ("promise_got",
                   "from=%" G_GUINT64_FORMAT " epoch=%" G_GUINT64_FORMAT " index=%" G_GUINT64_FORMAT,
                   (guint64)promise->replica, (guint64)promise->epoch, end.index);
  quince_ledger_group_promised_by (node->group, quince_now_us (), promise->replica, promise->epoch, &end);
  quince_ledger_node_propose (node);
  quince_ledger_node_lead_without_store (node);
}

static void
query_message (QuinceLink *link, QuinceMessage *message, gpointer data)
{
  QuinceLedgerNode *node = data;
  if (message->kind == QUINCE_MESSAGE_LEDGER_PROMISE)
    take_promise (node, &message->QuinceMessage_u.ledger_promise);
  else if (message->kind == QUINCE_MESSAGE_LEDGER_LEAD)
    quince_ledger_node_take_lead (node, &message->QuinceMessage_u.ledger_lead);
  quince_message_free (message);
}

static gboolean
is_link (gpointer key, gpointer value, gpointer link)
{
  return value == link;
}

static void
query_closed (QuinceLink *link, const GError *error, gpointer data)
{
  QuinceLedgerNode *node = data;
  g_hash_table_foreach_remove (node->query_links, is_link, link);
}

static const QuinceLinkCallbacks query_callbacks = { .message = query_message, .closed = query_closed };

void
quince_ledger_node_close_queries (QuinceLedgerNode *node)
{
  GHashTableIter iter;
  gpointer link;
  g_hash_table_iter_init (&iter, node->query_links);
  while (g_hash_table_iter_next (&iter, NULL, &link))
    quince_link_close (link);
  g_hash_table_remove_all (node->query_links);
}

static gboolean
does_not_connect (gpointer key, gpointer link, gpointer data)
{
  if (quince_link_is_connected (link))
    return FALSE;
  quince_link_close (link);
  return TRUE;
}

void
quince_ledger_node_close_idle_queries (QuinceLedgerNode *node)
{
  gint64 now = quince_now_us ();
  if (now - node->requested_us > IDLE_US)
    quince_ledger_node_close_queries (node);
  if (now - node->query_connect_us < CONNECT_US)
    return;
  node->query_connect_us = now;
  g_hash_table_foreach_remove (node->query_links, does_not_connect, NULL);
}

static const char *
known_address (const QuinceLedgerNode *node, guint64 replica)
{
  gint64 key = (gint64)replica;
  const char *moved = g_hash_table_lookup (node->moved, &key);
  const QuinceLedgerMember *member
      = quince_ledger_view_find (quince_ledger_group_get_view (node->group), replica);
  return moved != NULL || member == NULL ? moved : member->address;
}

gboolean
quince_ledger_node_note_address (QuinceLedgerNode *node, const QuinceLedgerMember *member)
{
  gint64 key = (gint64)member->replica;
  if (g_strcmp0 (known_address (node, member->replica), member->address) == 0)
    return FALSE;
  g_hash_table_replace (node->moved, g_memdup2 (&key, sizeof key), g_strdup (member->address));
  QuinceLink *link = g_hash_table_lookup (node->query_links, &key);
  if (link != NULL)
    quince_link_close (link);
  g_hash_table_remove (node->query_links, &key);
  return TRUE;
}

QuinceLink *
quince_ledger_node_link_to (QuinceLedgerNode *node, const QuinceLedgerMember *member)
{
  gint64 key = (gint64)member->replica;
  node->requested_us = quince_now_us ();
  QuinceLink *link = g_hash_table_lookup (node->query_links, &key);
  if (link != NULL)
    return link;
  const char *moved = g_hash_table_lookup (node->moved, &key);
  link = quince_link_connect (moved != NULL ? moved : member->address, &query_callbacks, node);
  g_hash_table_insert (node->query_links, g_memdup2 (&key, sizeof key), link);
  return link;
}
