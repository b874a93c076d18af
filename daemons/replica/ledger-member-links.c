/*
 * ledger-member-links.c: links to other members, opened on demand.
 */
#include "ledger-member-links.h"

#include "runtime/clock.h"

/* All links are closed if nothing was sent for this long, us.  Longer than the 440 ms between two queries to
 * all members, so that links stay open between them. */
#define IDLE_TIMEOUT_US (500 * 1000)
/* Interval at which links that are not connected are closed, us.  The next message opens a new one. */
#define CONNECT_TIMEOUT_US (1200 * 1000)

struct _QuinceLedgerMemberLinks
{
  /* All fields belong to the main context. */
  const QuinceLedgerGroup *group;                    /* borrowed */
  const QuinceLedgerMemberLinksCallbacks *callbacks; /* borrowed */
  gpointer user_data;

  GHashTable *links;     /* replica id to QuinceLink, both owned */
  GHashTable *addresses; /* replica id to reported address, both owned; only where it differs from the view */
  gint64 last_send_us;   /* when a message was last sent on any link */
  gint64 last_connect_check_us; /* when links that are not connected were last closed */
};

static void
close_all_links (QuinceLedgerMemberLinks *links)
{
  GHashTableIter iter;
  gpointer link;
  g_hash_table_iter_init (&iter, links->links);
  while (g_hash_table_iter_next (&iter, NULL, &link))
    quince_link_close (link);
  g_hash_table_remove_all (links->links);
}

QuinceLedgerMemberLinks *
quince_ledger_member_links_new (const QuinceLedgerGroup *group,
                                const QuinceLedgerMemberLinksCallbacks *callbacks,
                                gpointer user_data)
{
  QuinceLedgerMemberLinks *links = g_new0 (QuinceLedgerMemberLinks, 1);
  links->group = group;
  links->callbacks = callbacks;
  links->user_data = user_data;
  links->links
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, (GDestroyNotify)quince_link_unref);
  links->addresses = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  return links;
}

void
quince_ledger_member_links_free (QuinceLedgerMemberLinks *links)
{
  if (links == NULL)
    return;
  close_all_links (links);
  g_hash_table_unref (links->links);
  g_hash_table_unref (links->addresses);
  g_free (links);
}

/* ---- Links -------------------------------------------------------------- */

static void
link_message (QuinceLink *link, QuinceMessage *message, gpointer data)
{
  QuinceLedgerMemberLinks *links = data;
  if (message->kind == QUINCE_MESSAGE_LEDGER_PROMISE)
    links->callbacks->promise_received (&message->QuinceMessage_u.ledger_promise, links->user_data);
  else if (message->kind == QUINCE_MESSAGE_LEDGER_LEAD)
    links->callbacks->lead_received (&message->QuinceMessage_u.ledger_lead, links->user_data);
  else if (message->kind == QUINCE_MESSAGE_LEDGER_CHANGE_ACK)
    links->callbacks->change_ack_received (&message->QuinceMessage_u.ledger_change_ack, links->user_data);
  quince_message_free (message);
}

static gboolean
is_same_link (gpointer key, gpointer value, gpointer link)
{
  return value == link;
}

static void
link_closed (QuinceLink *link, const GError *error, gpointer data)
{
  QuinceLedgerMemberLinks *links = data;
  g_hash_table_foreach_remove (links->links, is_same_link, link);
}

static const QuinceLinkCallbacks link_callbacks = { .message = link_message, .closed = link_closed };

static gboolean
close_unconnected (gpointer key, gpointer link, gpointer data)
{
  if (quince_link_is_connected (link))
    return FALSE;
  quince_link_close (link);
  return TRUE;
}

void
quince_ledger_member_links_close_idle (QuinceLedgerMemberLinks *links)
{
  gint64 now_us = quince_now_us ();
  if (now_us - links->last_send_us > IDLE_TIMEOUT_US)
    close_all_links (links);
  if (now_us - links->last_connect_check_us < CONNECT_TIMEOUT_US)
    return;
  links->last_connect_check_us = now_us;
  g_hash_table_foreach_remove (links->links, close_unconnected, NULL);
}

static QuinceLink *
get_or_open_link (QuinceLedgerMemberLinks *links, const QuinceLedgerMember *member)
{
  gint64 key = (gint64)member->replica;
  QuinceLink *link = g_hash_table_lookup (links->links, &key);
  if (link != NULL)
    return link;
  const char *address = g_hash_table_lookup (links->addresses, &key);
  link = quince_link_connect (address != NULL ? address : member->address, &link_callbacks, links);
  g_hash_table_insert (links->links, g_memdup2 (&key, sizeof key), link);
  return link;
}

void
quince_ledger_member_links_send (QuinceLedgerMemberLinks *links,
                                 const QuinceLedgerMember *member,
                                 const QuinceMessage *message)
{
  links->last_send_us = quince_now_us ();
  quince_link_send (get_or_open_link (links, member), message);
}

/* ---- Addresses ---------------------------------------------------------- */

static const char *
get_address (const QuinceLedgerMemberLinks *links, guint64 replica)
{
  gint64 key = (gint64)replica;
  const char *address = g_hash_table_lookup (links->addresses, &key);
  const QuinceLedgerMember *member
      = quince_ledger_view_find (quince_ledger_group_get_view (links->group), replica);
  return address != NULL || member == NULL ? address : member->address;
}

gboolean
quince_ledger_member_links_set_address (QuinceLedgerMemberLinks *links, const QuinceLedgerMember *member)
{
  gint64 key = (gint64)member->replica;
  if (g_strcmp0 (get_address (links, member->replica), member->address) == 0)
    return FALSE;
  g_hash_table_replace (links->addresses, g_memdup2 (&key, sizeof key), g_strdup (member->address));
  QuinceLink *link = g_hash_table_lookup (links->links, &key);
  if (link != NULL)
    quince_link_close (link);
  g_hash_table_remove (links->links, &key);
  return TRUE;
}

void
quince_ledger_member_links_clear_addresses (QuinceLedgerMemberLinks *links)
{
  g_hash_table_remove_all (links->addresses);
}
