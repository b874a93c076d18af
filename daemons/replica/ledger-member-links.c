/*
 * ledger-member-links.c: links to other members, opened on demand.
 */
#include "ledger-member-links.h"

#include "core/group/member-link.h"
#include "runtime/clock.h"

/* A link to one member. */
typedef struct
{
  QuinceLink *link; /* owned */
  gint64 opened_us;
  gint64 last_send_us; /* when a message was last sent, or when the link was connected if that is later */
} MemberLink;

struct _QuinceLedgerMemberLinks
{
  /* All fields belong to the main context. */
  const QuinceLedgerGroup *group;                    /* borrowed */
  const QuinceLedgerMemberLinksCallbacks *callbacks; /* borrowed */
  gpointer user_data;

  GHashTable *links;     /* replica id to MemberLink, both owned */
  GHashTable *addresses; /* replica id to reported address, both owned; only where it differs from the view */
};

static void
member_link_free (gpointer data)
{
  MemberLink *member_link = data;
  quince_link_close (member_link->link);
  quince_link_unref (member_link->link);
  g_free (member_link);
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
  links->links = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, member_link_free);
  links->addresses = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  return links;
}

void
quince_ledger_member_links_free (QuinceLedgerMemberLinks *links)
{
  if (links == NULL)
    return;
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

/* The messages queued until now are sent upon connection, so the wait for their answers begins now. */
static void
link_connected (QuinceLink *link, gpointer data)
{
  QuinceLedgerMemberLinks *links = data;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, links->links);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      MemberLink *member_link = value;
      if (member_link->link == link)
        member_link->last_send_us = quince_now_us ();
    }
}

static gboolean
is_same_link (gpointer key, gpointer value, gpointer link)
{
  const MemberLink *member_link = value;
  return member_link->link == link;
}

static void
link_closed (QuinceLink *link, const GError *error, gpointer data)
{
  QuinceLedgerMemberLinks *links = data;
  g_hash_table_foreach_remove (links->links, is_same_link, link);
}

static const QuinceLinkCallbacks link_callbacks
    = { .connected = link_connected, .message = link_message, .closed = link_closed };

static gboolean
is_expired (gpointer key, gpointer value, gpointer data)
{
  const MemberLink *member_link = value;
  const gint64 *now_us = data;
  const QuinceMemberLinkState state = { .opened_us = member_link->opened_us,
                                        .last_send_us = member_link->last_send_us,
                                        .is_connected = quince_link_is_connected (member_link->link) };
  return quince_member_link_is_expired (&state, *now_us);
}

void
quince_ledger_member_links_close_idle (QuinceLedgerMemberLinks *links)
{
  gint64 now_us = quince_now_us ();
  g_hash_table_foreach_remove (links->links, is_expired, &now_us);
}

static MemberLink *
get_or_open_link (QuinceLedgerMemberLinks *links, const QuinceLedgerMember *member)
{
  gint64 key = (gint64)member->replica;
  MemberLink *member_link = g_hash_table_lookup (links->links, &key);
  if (member_link != NULL)
    return member_link;
  const char *address = g_hash_table_lookup (links->addresses, &key);
  member_link = g_new0 (MemberLink, 1);
  member_link->link
      = quince_link_connect (address != NULL ? address : member->address, &link_callbacks, links);
  member_link->opened_us = quince_now_us ();
  g_hash_table_insert (links->links, g_memdup2 (&key, sizeof key), member_link);
  return member_link;
}

void
quince_ledger_member_links_send (QuinceLedgerMemberLinks *links,
                                 const QuinceLedgerMember *member,
                                 const QuinceMessage *message)
{
  MemberLink *member_link = get_or_open_link (links, member);
  member_link->last_send_us = quince_now_us ();
  quince_link_send (member_link->link, message);
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
  g_hash_table_remove (links->links, &key);
  return TRUE;
}

void
quince_ledger_member_links_clear_addresses (QuinceLedgerMemberLinks *links)
{
  g_hash_table_remove_all (links->addresses);
}
