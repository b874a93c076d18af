/*
 * leader-search.c: finds the ledger's leader without the metadata store.
 */
#include "leader-search.h"

#include "runtime/link.h"
#include "runtime/log.h"
#include "runtime/clock.h"
#include "runtime/timer.h"

/* Time without a message from the leader after which members are queried, us.  The leader sends a heartbeat
 * every 0.25 s, and members elect another one after 1 s without contact. */
#define LEADER_TIMEOUT_US (1000 * 1000)
/* Minimum interval between two queries, ms.  It grows by half with each query, and is reset by contact with
 * the leader.  A quorum of five members is the leader and two that follow it, so of the four others, queried
 * one after the other, the third at the latest knows the leader, after 0.75 s. */
#define QUERY_INTERVAL_MIN_MS 250
/* Maximum interval between two queries, ms.  A hundred fronts then send 100 queries per second in total to a
 * ledger without a leader. */
#define QUERY_INTERVAL_MAX_MS 1000

struct _QuinceLeaderSearch
{
  /* All fields belong to the main context. */
  QuinceLeaderFound leader_found;
  gpointer user_data;
  QuinceLedgerView *view;      /* owned; NULL if no member is known */
  gint64 last_contact_us;      /* monotonic: last message from the leader, or new view */
  gboolean leader_unavailable; /* the last call to the leader failed; another member may lead */
  guint query_interval_ms;     /* until the next query */
  guint next_member;           /* index of the next member to query, modulo their number */
  QuinceLink *link;            /* owned: to the queried member; NULL if there is none */
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
          search->leader_found (&lead->view, search->user_data);
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
quince_leader_search_new (QuinceLeaderFound leader_found, gpointer user_data)
{
  QuinceLeaderSearch *search = g_new0 (QuinceLeaderSearch, 1);
  search->leader_found = leader_found;
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
