/*
 * leader-search.c: finds the ledger's leader where the metadata store does not name it.
 */
#include "leader-search.h"

#include "runtime/link.h"
#include "runtime/log.h"
#include "runtime/clock.h"
#include "runtime/timer.h"

/* The leader is silent after this time without a message, us.  Members elect another leader after 1 s of
 * silence, so there is nothing to find earlier; a leader sends a heartbeat each 0.25 s. */
#define LEADER_TIMEOUT_US (1000 * 1000)
/* Time from one question to the next at first, ms: a quorum of five members is the leader and two
 * others that follow it; of the four others, asked one after the other, the third at the latest knows it,
 * after 0.75 s. */
#define QUERY_INTERVAL_MIN_MS 250
/* Longest time between two questions, ms; each question without a newer leader makes it longer by half.  A
 * hundred fronts then ask a ledger without a leader a hundred times a second in all. */
#define QUERY_INTERVAL_MAX_MS 1000

struct _QuinceLeaderSearch
{
  /* All fields belong to the main context. */
  QuinceLeaderFound found;
  gpointer user_data;
  QuinceLedgerView *view;      /* owned; NULL: no member is known */
  gint64 last_contact_us;      /* monotonic: last sign of life of the leader */
  gboolean leader_unavailable; /* the leader can't serve or answers no call; another member may lead */
  guint query_interval_ms;     /* from this question to the next */
  guint next_member;           /* index of the member to ask, modulo their number */
  QuinceLink *link;            /* owned: to the member that is asked; NULL: none */
  QuinceTimer *timer;
};

static void
close_link (QuinceLeaderSearch *search)
{
  if (search->link != NULL)
    quince_link_close (search->link);
  g_clear_pointer (&search->link, quince_link_unref);
}

static void
link_message (QuinceLink *link, QuinceMessage *message, gpointer data)
{
  QuinceLeaderSearch *search = data;
  if (link == search->link && message->kind == QUINCE_MESSAGE_LEDGER_LEAD)
    {
      const QuinceLedgerLead *lead = &message->QuinceMessage_u.ledger_lead;
      gboolean newer = lead->view.epoch > search->view->epoch;
      close_link (search);
      if (newer)
        {
          quince_log_info ("ledger_lead_told", "epoch=%" G_GUINT64_FORMAT, (guint64)lead->view.epoch);
          search->found (&lead->view, search->user_data);
        }
    }
  quince_message_free (message);
}

static void
link_closed (QuinceLink *link, const GError *error, gpointer data)
{
  QuinceLeaderSearch *search = data;
  if (link == search->link)
    g_clear_pointer (&search->link, quince_link_unref);
}

static const QuinceLinkCallbacks link_callbacks = { .message = link_message, .closed = link_closed };

static void
query_member (QuinceLeaderSearch *search, const QuinceLedgerMember *member)
{
  QuinceMessage message = { .kind = QUINCE_MESSAGE_LEDGER_QUERY };
  message.QuinceMessage_u.ledger_query.epoch = search->view->epoch;
  search->link = quince_link_connect (member->address, &link_callbacks, search);
  quince_link_send (search->link, &message);
}

static gboolean
query_next_member (gpointer data)
{
  QuinceLeaderSearch *search = data;
  quince_timer_clear (&search->timer);
  close_link (search);
  gboolean should_query
      = search->leader_unavailable || quince_now_us () - search->last_contact_us >= LEADER_TIMEOUT_US;
  if (should_query && search->view != NULL && search->view->members.members_len > 0)
    {
      query_member (
          search,
          &search->view->members.members_val[search->next_member % search->view->members.members_len]);
      search->next_member++;
      search->query_interval_ms
          = MIN (search->query_interval_ms + search->query_interval_ms / 2, QUERY_INTERVAL_MAX_MS);
    }
  search->timer = quince_timer_add (search->query_interval_ms, query_next_member, search);
  return G_SOURCE_REMOVE;
}

QuinceLeaderSearch *
quince_leader_search_new (QuinceLeaderFound found, gpointer user_data)
{
  QuinceLeaderSearch *search = g_new0 (QuinceLeaderSearch, 1);
  search->found = found;
  search->user_data = user_data;
  search->last_contact_us = quince_now_us ();
  search->query_interval_ms = QUERY_INTERVAL_MIN_MS;
  search->timer = quince_timer_add (search->query_interval_ms, query_next_member, search);
  return search;
}

void
quince_leader_search_free (QuinceLeaderSearch *search)
{
  if (search == NULL)
    return;
  quince_timer_clear (&search->timer);
  close_link (search);
  g_clear_pointer (&search->view, quince_ledger_view_free);
  g_free (search);
}

void
quince_leader_search_set_view (QuinceLeaderSearch *search, const QuinceLedgerView *view)
{
  g_clear_pointer (&search->view, quince_ledger_view_free);
  search->view = quince_ledger_view_copy (view);
  search->leader_unavailable = FALSE;
  quince_leader_search_record_contact (search);
}

void
quince_leader_search_record_contact (QuinceLeaderSearch *search)
{
  search->last_contact_us = quince_now_us ();
  if (!search->leader_unavailable)
    search->query_interval_ms = QUERY_INTERVAL_MIN_MS;
}

void
quince_leader_search_set_leader_available (QuinceLeaderSearch *search, gboolean available)
{
  search->leader_unavailable = !available;
}
