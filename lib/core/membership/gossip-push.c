/*
 * gossip-push.c: news that do not wait for the next probe.
 *
 * To random members of the zone and, from its representative and its deputy,
 * to those of other zones.  Deputies hear too, because a representative may
 * have died or frozen a moment ago.
 */
#include "membership-private.h"

#include <string.h>

/* Random zone members, and representatives of other zones, that urgent news goes to at once. */
#define PUSH_ZONE_FANOUT 3
#define PUSH_REPRESENTATIVE_FANOUT 3
#define PUSH_DEPUTY_FANOUT 3
/* Least time between two pushes. */
#define PUSH_INTERVAL_US (20 * G_TIME_SPAN_MILLISECOND)
/* A push that the budget would leave empty waits. */
#define PUSH_LEAST_BYTES 1000

/* An acknowledgement that answers nothing: it carries news and asks for no answer. */
static void
send_news (QuinceMembership *membership, gint64 now_us, QuincePeer *to, GPtrArray *sends)
{
  QuinceGossipHeader header = {
    .to = to,
    .to_address = to->record.gossip_address,
    .kind = QUINCE_GOSSIP_ACK,
    .target = "",
  };
  quince_gossip_sender_send (membership, now_us, &header, QUINCE_GOSSIP_CONTENT_NEWS, sends);
}

/* Sends news to up to @count different ones of @peers, chosen at random. */
static void
send_news_to_some (QuinceMembership *membership,
                   gint64 now_us,
                   GPtrArray *peers,
                   guint count,
                   GPtrArray *sends)
{
  if (peers->len == 0)
    return;
  guint first = (guint)g_rand_int_range (membership->random, 0, (gint32)peers->len);
  guint stride
      = peers->len > 2 ? 1 + (guint)g_rand_int_range (membership->random, 0, (gint32)peers->len - 1) : 1;
  guint index = first;
  for (guint i = 0; i < MIN (count, peers->len); i++)
    {
      send_news (membership, now_us, peers->pdata[index], sends);
      index = (index + stride) % peers->len;
      if (index == first)
        return;
    }
}

void
quince_gossip_push_to_deputy (QuinceMembership *membership, gint64 now_us, const char *zone, GPtrArray *sends)
{
  GPtrArray *deputies = quince_member_table_view (membership)->deputies;
  for (guint i = 0; i < deputies->len; i++)
    {
      QuincePeer *deputy = deputies->pdata[i];
      if (strcmp (deputy->record.zone, zone) == 0)
        send_news (membership, now_us, deputy, sends);
    }
}

/* To representatives, and to deputies: a representative may have just died. */
static void
send_news_to_zones (QuinceMembership *membership,
                    gint64 now_us,
                    const QuinceMembershipView *view,
                    GPtrArray *sends)
{
  send_news_to_some (membership, now_us, view->representatives, PUSH_REPRESENTATIVE_FANOUT, sends);
  send_news_to_some (membership, now_us, view->deputies, PUSH_DEPUTY_FANOUT, sends);
}

void
quince_gossip_push_urgent (QuinceMembership *membership, gint64 now_us, GPtrArray *sends)
{
  if (!membership->push_due || now_us < membership->next_push_us)
    return;
  membership->next_push_us = now_us + PUSH_INTERVAL_US;
  if (!quince_gossip_sender_can_send (membership, now_us, PUSH_LEAST_BYTES))
    return;
  membership->push_due = FALSE;

  const QuinceMembershipView *view = quince_member_table_view (membership);
  send_news_to_some (membership, now_us, view->zone_peers, PUSH_ZONE_FANOUT, sends);
  if (view->own_representative == membership->self || view->own_deputy == membership->self)
    send_news_to_zones (membership, now_us, view, sends);
  if (view->own_representative != NULL && view->own_representative != membership->self)
    send_news (membership, now_us, view->own_representative, sends);
  if (view->own_deputy != NULL && view->own_deputy != membership->self)
    send_news (membership, now_us, view->own_deputy, sends);
}

void
quince_gossip_push_announce (QuinceMembership *membership, gint64 now_us, GPtrArray *sends)
{
  const QuinceMembershipView *view = quince_member_table_view (membership);
  membership->tokens = MAX (membership->tokens, (gint64)membership->limits.bytes_per_second);
  for (guint i = 0; i < view->zone_peers->len; i++)
    send_news (membership, now_us, view->zone_peers->pdata[i], sends);
  send_news_to_some (membership, now_us, view->representatives, PUSH_REPRESENTATIVE_FANOUT, sends);
}
