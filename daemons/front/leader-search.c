/*
 * leader-search.c: one member of the last known view after the other is asked who leads, while the leader is
 * silent.
 */
#include "leader-search.h"

#include "runtime/link.h"
#include "runtime/log.h"
#include "runtime/clock.h"

/* Members elect another leader after 1 s of silence; there is nothing to find sooner.  A leader beats each
 * 0.25 s. */
#define SILENCE_US (1000 * 1000)
/* One member is asked so often at first: of five members the two that surely know are found within 0.75 s.
 * Each time without news is longer by half, so that a hundred fronts ask a ledger that nobody leads a hundred
 * times a second in all. */
#define ASK_FIRST_MS 250
#define ASK_MAX_MS 1000

struct _QuinceLeaderSearch
{
  /* All fields belong to the main context. */
  QuinceLeaderFound found;
  gpointer user_data;
  QuinceLedgerView *view; /* NULL: nobody can be asked */
  gint64 contact_us;      /* when the leader was last heard */
  gboolean doubted;       /* it answers that it can't, and another one may lead */
  guint ask_ms;           /* until the next question */
  guint next;             /* member to ask */
  QuinceLink *link;       /* to the one that is asked; NULL: none */
  GSource *timer;
};

static void
drop_link (QuinceLeaderSearch *search)
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
      gboolean news = lead->view.epoch > search->view->epoch;
      drop_link (search);
      if (news)
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
ask (QuinceLeaderSearch *search, const QuinceLedgerMember *member)
{
  QuinceMessage message = { .kind = QUINCE_MESSAGE_LEDGER_QUERY };
  message.QuinceMessage_u.ledger_query.epoch = search->view->epoch;
  search->link = quince_link_connect (member->address, &link_callbacks, search);
  quince_link_send (search->link, &message);
}

static gboolean
ask_next (gpointer data)
{
  QuinceLeaderSearch *search = data;
  quince_source_clear (&search->timer);
  drop_link (search);
  gboolean silent = search->doubted || quince_now_us () - search->contact_us >= SILENCE_US;
  if (silent && search->view != NULL && search->view->members.members_len > 0)
    {
      ask (search, &search->view->members.members_val[search->next % search->view->members.members_len]);
      search->next++;
      search->ask_ms = MIN (search->ask_ms + search->ask_ms / 2, ASK_MAX_MS);
    }
  search->timer = quince_timer_add (search->ask_ms, ask_next, search);
  return G_SOURCE_REMOVE;
}

QuinceLeaderSearch *
quince_leader_search_new (QuinceLeaderFound found, gpointer user_data)
{
  QuinceLeaderSearch *search = g_new0 (QuinceLeaderSearch, 1);
  search->found = found;
  search->user_data = user_data;
  search->contact_us = quince_now_us ();
  search->ask_ms = ASK_FIRST_MS;
  search->timer = quince_timer_add (search->ask_ms, ask_next, search);
  return search;
}

void
quince_leader_search_free (QuinceLeaderSearch *search)
{
  if (search == NULL)
    return;
  quince_source_clear (&search->timer);
  drop_link (search);
  g_clear_pointer (&search->view, quince_ledger_view_free);
  g_free (search);
}

void
quince_leader_search_set_view (QuinceLeaderSearch *search, const QuinceLedgerView *view)
{
  g_clear_pointer (&search->view, quince_ledger_view_free);
  search->view = quince_ledger_view_copy (view);
  search->doubted = FALSE;
  quince_leader_search_note_contact (search);
}

void
quince_leader_search_note_contact (QuinceLeaderSearch *search)
{
  search->contact_us = quince_now_us ();
  if (!search->doubted)
    search->ask_ms = ASK_FIRST_MS;
}

void
quince_leader_search_answered (QuinceLeaderSearch *search, gboolean leads)
{
  search->doubted = !leads;
}
