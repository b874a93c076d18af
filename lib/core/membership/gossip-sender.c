/*
 * gossip-sender.c: what goes onto each datagram.
 *
 * In this order, as far as the datagram and the byte budget go: the probe
 * itself, urgent digests, a member of the receiver's zone, news about members,
 * some records by rotation, this node's own digest, records that a newcomer
 * still lacks, and digests of others by rotation.  Probes are sent even over
 * the budget; repair and digests leave a part of it for news.
 */
#include "membership-private.h"

#include <string.h>

/* A datagram may have so much that a newcomer or a doubted member must hear, whatever the budget. */
#define INTRODUCTION_BYTES 300
/* Random zone members, and representatives of other zones, that urgent news goes to at once. */
#define PUSH_ZONE_FANOUT 3
#define PUSH_REPRESENTATIVE_FANOUT 4
/* Least time between two pushes. */
#define PUSH_INTERVAL_US (20 * G_TIME_SPAN_MILLISECOND)
/* All records are sent again within so many datagrams. */
#define ROTATION_DATAGRAMS 100
/* One in so many rotated digests is of another zone. */
#define REMOTE_DIGEST_SHARE 4
/* Repair by rotation leaves this part of the budget's burst to news, */
#define REPAIR_RESERVE_DIVISOR 2
/* and digests by rotation use only this part of it. */
#define DIGEST_SHARE_DIVISOR 4

/* A datagram under construction. */
typedef struct
{
  QuinceMembership *membership;
  QuinceGossip *gossip; /* owned until it is sent */
  QuincePeer *to;       /* nullable: receiver     */
  gsize size;
  gsize limit;
} Datagram;

static void
refill_tokens (QuinceMembership *membership, gint64 now_us)
{
  gint64 rate = membership->limits.bytes_per_second;
  gint64 elapsed_us = CLAMP (now_us - membership->refilled_us, 0, G_TIME_SPAN_SECOND);
  membership->tokens = MIN (rate, membership->tokens + elapsed_us * rate / G_TIME_SPAN_SECOND);
  membership->refilled_us = now_us;
}

/* Bytes that this datagram may have when @reserve bytes of the budget stay. */
static void
set_limit (Datagram *datagram, gint64 reserve)
{
  gint64 affordable = datagram->membership->tokens - reserve - QUINCE_GOSSIP_HEADER_BYTES;
  datagram->limit = (gsize)CLAMP (affordable, 0, QUINCE_GOSSIP_DATAGRAM_BYTES);
}

static QuinceGossip *
gossip_new (const QuinceMembership *membership, const QuinceGossipHeader *header)
{
  QuinceGossip *gossip = g_new0 (QuinceGossip, 1);
  gossip->kind = header->kind;
  gossip->deployment = (guint32)membership->deployment;
  gossip->sequence = header->sequence;
  gossip->from = quince_string (membership->self->record.name);
  gossip->target = quince_string (header->target);
  gossip->target_address = quince_string (header->target_address);
  gossip->updates.updates_val = g_new0 (QuinceMember, QUINCE_GOSSIP_UPDATES);
  gossip->digests.digests_val = g_new0 (QuinceNodeDigest, QUINCE_GOSSIP_DIGESTS);
  return gossip;
}

static gboolean
add_record (Datagram *datagram, QuincePeer *peer)
{
  QuinceGossip *gossip = datagram->gossip;
  guint64 number = datagram->membership->datagrams;
  if (peer->chosen_for == number)
    return TRUE;
  if (gossip->updates.updates_len >= QUINCE_GOSSIP_UPDATES
      || datagram->size + peer->record_size > datagram->limit)
    return FALSE;

  QuinceMember *copy = &gossip->updates.updates_val[gossip->updates.updates_len++];
  *copy = peer->record;
  copy->name = quince_string (peer->record.name);
  copy->zone = quince_string (peer->record.zone);
  copy->address = quince_string (peer->record.address);
  copy->gossip_address = quince_string (peer->record.gossip_address);
  peer->chosen_for = number;
  peer->transmits++;
  datagram->size += peer->record_size;
  return TRUE;
}

static gboolean
add_digest (Datagram *datagram, QuincePeer *peer)
{
  QuinceGossip *gossip = datagram->gossip;
  guint64 number = datagram->membership->datagrams;
  if (peer->digest == NULL || peer->digest_chosen_for == number)
    return TRUE;
  if (gossip->digests.digests_len >= QUINCE_GOSSIP_DIGESTS
      || datagram->size + peer->digest_size > datagram->limit)
    return FALSE;

  QuinceNodeDigest *copy = quince_xdr_copy ((xdrproc_t)xdr_QuinceNodeDigest, sizeof *copy, peer->digest);
  gossip->digests.digests_val[gossip->digests.digests_len++] = *copy;
  g_free (copy);
  peer->digest_chosen_for = number;
  peer->digest_transmits++;
  if (peer->urgent_transmits > 0)
    peer->urgent_transmits--;
  datagram->size += peer->digest_size;
  return TRUE;
}

/*
 * Up to @count members, chosen at random, of the zone of @peer.  They let a
 * newcomer gossip there, and join parts of a zone that do not know each other.
 */
static void
add_zone_of (Datagram *datagram, const QuincePeer *peer, guint count)
{
  GPtrArray *peers = datagram->membership->peers;
  guint start = (guint)g_rand_int_range (datagram->membership->random, 0, (gint32)peers->len);
  for (guint i = 0; i < peers->len && count > 0; i++)
    {
      QuincePeer *other = peers->pdata[(start + i) % peers->len];
      if (other == peer || other->record.state == QUINCE_MEMBER_DEAD
          || strcmp (other->record.zone, peer->record.zone) != 0)
        continue;
      if (!add_record (datagram, other))
        return;
      count--;
    }
}

/* What the receiver must hear for itself: doubts about it, who it is talking to, and at first its zone. */
static void
add_introduction (Datagram *datagram)
{
  QuincePeer *to = datagram->to;
  QuincePeer *self = datagram->membership->self;
  gboolean doubted
      = to != NULL && (to->record.state == QUINCE_MEMBER_SUSPECT || to->record.state == QUINCE_MEMBER_DEAD);
  if (doubted)
    add_record (datagram, to);
  if (doubted || to == NULL || to->is_newcomer)
    add_record (datagram, self);
  if (to != NULL && to->is_newcomer)
    {
      to->is_newcomer = FALSE;
      add_zone_of (datagram, to, QUINCE_GOSSIP_UPDATES);
    }
}

static void
add_urgent_digests (Datagram *datagram)
{
  GPtrArray *peers = datagram->membership->peers;
  for (guint i = 0; i < peers->len; i++)
    {
      QuincePeer *peer = peers->pdata[i];
      if (peer->urgent_transmits > 0 && peer != datagram->to && !add_digest (datagram, peer))
        return;
    }
}

/* TRUE when news about @peer goes before news about @best: of a common zone first, then what was sent least.
 */
static gboolean
goes_before (const Datagram *datagram, const QuincePeer *peer, const QuincePeer *best)
{
  const QuinceMembership *membership = datagram->membership;
  if (datagram->to != NULL && quince_member_table_is_in_own_zone (membership, datagram->to))
    {
      gboolean own_zone = quince_member_table_is_in_own_zone (membership, peer);
      if (own_zone != quince_member_table_is_in_own_zone (membership, best))
        return own_zone;
    }
  return peer->transmits < best->transmits;
}

/*
 * The record that is next among those that are still news.  Ties are broken by
 * a random @start, so that nodes with the same news tell different parts of it.
 */
static QuincePeer *
next_news (const Datagram *datagram, guint rumor_limit, guint start)
{
  GPtrArray *peers = datagram->membership->peers;
  QuincePeer *best = NULL;
  for (guint i = 0; i < peers->len; i++)
    {
      QuincePeer *peer = peers->pdata[(start + i) % peers->len];
      if (peer->transmits >= rumor_limit || peer->chosen_for == datagram->membership->datagrams)
        continue;
      if (best == NULL || goes_before (datagram, peer, best))
        best = peer;
    }
  return best;
}

static void
add_news (Datagram *datagram)
{
  QuinceMembership *membership = datagram->membership;
  guint rumor_limit = quince_member_table_view (membership)->rumor_limit;
  guint start = (guint)g_rand_int_range (membership->random, 0, (gint32)membership->peers->len);
  QuincePeer *peer;
  do
    peer = next_news (datagram, rumor_limit, start);
  while (peer != NULL && add_record (datagram, peer));
}

/* Repairs whatever news missed someone: all records in turn. */
static void
add_rotated_records (Datagram *datagram)
{
  QuinceMembership *membership = datagram->membership;
  GPtrArray *peers = membership->peers;
  for (guint i = 0; i <= peers->len / ROTATION_DATAGRAMS; i++)
    {
      membership->record_cursor = (membership->record_cursor + 1) % peers->len;
      add_record (datagram, peers->pdata[membership->record_cursor]);
    }
}

static void
add_sync_records (Datagram *datagram)
{
  GPtrArray *peers = datagram->membership->peers;
  QuincePeer *to = datagram->to;
  while (to != NULL && to->sync_left > 0)
    {
      QuincePeer *peer = peers->pdata[to->sync_cursor % peers->len];
      if (!add_record (datagram, peer))
        return;
      to->sync_cursor++;
      to->sync_left--;
    }
}

/* The changed digest that has waited longest, of the own zone or of the others. */
static QuincePeer *
longest_unsent_digest (const Datagram *datagram, gboolean own_zone)
{
  QuinceMembership *membership = datagram->membership;
  guint limit = quince_member_table_view (membership)->rumor_limit;
  QuincePeer *best = NULL;
  for (guint i = 0; i < membership->peers->len; i++)
    {
      QuincePeer *peer = membership->peers->pdata[i];
      if (peer->digest == NULL || peer->digest_transmits >= limit || peer == datagram->to
          || peer->digest_chosen_for == membership->datagrams
          || quince_member_table_is_in_own_zone (membership, peer) != own_zone)
        continue;
      if (best == NULL || peer->digest_chosen_for < best->digest_chosen_for)
        best = peer;
    }
  return best;
}

static void
add_rotated_digests (Datagram *datagram)
{
  QuinceMembership *membership = datagram->membership;
  gboolean to_zone = datagram->to != NULL && quince_member_table_is_in_own_zone (membership, datagram->to);
  gboolean own_zone = !to_zone || membership->datagrams % REMOTE_DIGEST_SHARE != 0;

  for (int turn = 0; turn < 2; turn++, own_zone = !own_zone)
    {
      QuincePeer *peer;
      do
        peer = longest_unsent_digest (datagram, own_zone);
      while (peer != NULL && add_digest (datagram, peer));
    }
}

static void
finish (Datagram *datagram, const char *to_address, GPtrArray *sends)
{
  QuinceMembershipSend *send = g_new0 (QuinceMembershipSend, 1);
  send->address = g_strdup (to_address);
  send->gossip = datagram->gossip;
  datagram->membership->tokens -= (gint64)datagram->size + QUINCE_GOSSIP_HEADER_BYTES;
  g_ptr_array_add (sends, send);
}

static void
begin (Datagram *datagram, QuinceMembership *membership, gint64 now_us, const QuinceGossipHeader *header)
{
  refill_tokens (membership, now_us);
  membership->datagrams++;
  datagram->membership = membership;
  datagram->to = header->to;
  datagram->gossip = gossip_new (membership, header);
  datagram->size = xdr_sizeof ((xdrproc_t)xdr_QuinceGossip, datagram->gossip);
}

void
quince_gossip_sender_send (QuinceMembership *membership,
                           gint64 now_us,
                           const QuinceGossipHeader *header,
                           QuinceGossipContent content,
                           GPtrArray *sends)
{
  Datagram datagram;
  begin (&datagram, membership, now_us, header);

  /* A doubt that its subject does not hear cannot be refuted, and a newcomer that
   * learns of no one asks the same seed again: these go even over the budget. */
  datagram.limit = INTRODUCTION_BYTES;
  add_introduction (&datagram);

  gint64 burst = membership->limits.bytes_per_second;
  set_limit (&datagram, 0);
  add_urgent_digests (&datagram);
  if (content == QUINCE_GOSSIP_CONTENT_FULL && header->to != NULL)
    add_zone_of (&datagram, header->to, 1);
  add_news (&datagram);
  if (content == QUINCE_GOSSIP_CONTENT_FULL)
    {
      set_limit (&datagram, burst / REPAIR_RESERVE_DIVISOR);
      add_rotated_records (&datagram);
      add_digest (&datagram, membership->self);
      add_sync_records (&datagram);
      set_limit (&datagram, burst - burst / DIGEST_SHARE_DIVISOR);
      add_rotated_digests (&datagram);
    }
  finish (&datagram, header->to_address, sends);
}

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

gsize
quince_gossip_sender_send_readings (QuinceMembership *membership,
                                    gint64 now_us,
                                    QuincePeer *to,
                                    const QuinceEngineReadings *readings,
                                    GPtrArray *sends)
{
  Datagram datagram;
  QuinceGossipHeader header = {
    .to = to,
    .to_address = to->record.gossip_address,
    .kind = QUINCE_GOSSIP_ACK,
    .target = "",
  };
  begin (&datagram, membership, now_us, &header);
  QuinceNodeDigest *digest = &datagram.gossip->digests.digests_val[datagram.gossip->digests.digests_len++];
  digest->node = quince_string (membership->self->record.name);
  digest->readings.readings_len = 1;
  digest->readings.readings_val
      = quince_xdr_copy ((xdrproc_t)xdr_QuinceEngineReadings, sizeof *readings, readings);
  datagram.size = xdr_sizeof ((xdrproc_t)xdr_QuinceGossip, datagram.gossip);
  set_limit (&datagram, 0);
  add_urgent_digests (&datagram);
  gsize bytes = datagram.size + QUINCE_GOSSIP_HEADER_BYTES;
  finish (&datagram, header.to_address, sends);
  return bytes;
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
quince_gossip_sender_push (QuinceMembership *membership, gint64 now_us, GPtrArray *sends)
{
  refill_tokens (membership, now_us);
  if (!membership->push_due || now_us < membership->next_push_us)
    return;
  membership->next_push_us = now_us + PUSH_INTERVAL_US;
  if (membership->tokens <= 0)
    return;
  membership->push_due = FALSE;

  const QuinceMembershipView *view = quince_member_table_view (membership);
  send_news_to_some (membership, now_us, view->zone_peers, PUSH_ZONE_FANOUT, sends);
  if (view->own_representative == membership->self)
    send_news_to_some (membership, now_us, view->representatives, PUSH_REPRESENTATIVE_FANOUT, sends);
  else if (view->own_representative != NULL)
    send_news (membership, now_us, view->own_representative, sends);
}

void
quince_gossip_sender_announce (QuinceMembership *membership, gint64 now_us, GPtrArray *sends)
{
  const QuinceMembershipView *view = quince_member_table_view (membership);
  membership->tokens = MAX (membership->tokens, (gint64)membership->limits.bytes_per_second);
  for (guint i = 0; i < view->zone_peers->len; i++)
    send_news (membership, now_us, view->zone_peers->pdata[i], sends);
  send_news_to_some (membership, now_us, view->representatives, PUSH_REPRESENTATIVE_FANOUT, sends);
}
