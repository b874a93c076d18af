/*
 * gossip-sender.c: what goes onto each datagram.
 *
 * In this order, as far as the datagram and the byte budget go: the probe
 * itself, urgent digests, the own digest to who lacks its policy revision,
 * members that changed state, a member of the receiver's zone, members that
 * arrived, this node's own digest, and digests of others by rotation.  Probes
 * are sent even over the budget; what is not urgent leaves a part of it.
 * What news missed is repaired by exchanges of tables (table-sync.c).
 */
#include "membership-private.h"

#include <string.h>

/* A datagram may have so much that a newcomer or a doubted member must hear, whatever the budget. */
#define INTRODUCTION_BYTES 300
/* One in so many rotated digests is of another zone. */
#define REMOTE_DIGEST_SHARE 4
/* A node that still collects its table passes arrivals on so many times less often: in a cold start most
 * records are arrivals, and exchanges of tables carry just those that are missing. */
#define ARRIVAL_RUMOR_DIVISOR 3
/* Urgent digests beyond the first of a datagram leave this part of the budget's burst. */
#define URGENT_RESERVE_DIVISOR 2
/* Arrivals and the own digest leave this part of the budget's burst to what is urgent, */
#define ARRIVAL_RESERVE_DIVISOR 2
/* and digests by rotation use only this part of it. */
#define DIGEST_SHARE_DIVISOR 4

/* What an answer to a summary says beside records. */
#define SUMMARY_ROOM_BYTES 4

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

/*
 * The urgent digest that goes next: of the greatest policy revision, then the
 * one sent least.  Those urgent for an earlier revision do not hold up a later one.
 */
static QuincePeer *
next_urgent_digest (const Datagram *datagram)
{
  GPtrArray *peers = datagram->membership->peers;
  QuincePeer *best = NULL;
  for (guint i = 0; i < peers->len; i++)
    {
      QuincePeer *peer = peers->pdata[i];
      if (peer->urgent_transmits == 0 || peer->digest == NULL || peer == datagram->to
          || peer->digest_chosen_for == datagram->membership->datagrams)
        continue;
      if (best == NULL || peer->digest->policy_revision > best->digest->policy_revision
          || (peer->digest->policy_revision == best->digest->policy_revision
              && peer->urgent_transmits > best->urgent_transmits))
        best = peer;
    }
  return best;
}

/* The first whatever it costs; more only while half of the burst is left for what comes next. */
static void
add_urgent_digests (Datagram *datagram)
{
  QuincePeer *peer = next_urgent_digest (datagram);
  if (peer == NULL || !add_digest (datagram, peer))
    return;
  set_limit (datagram, datagram->membership->limits.bytes_per_second / URGENT_RESERVE_DIVISOR);
  while ((peer = next_urgent_digest (datagram)) != NULL && add_digest (datagram, peer))
    ;
  set_limit (datagram, 0);
}

/* The own digest, when the receiver seems not to have the policy revision that is in force here. */
static void
add_missing_revision (Datagram *datagram)
{
  const QuinceMembership *membership = datagram->membership;
  const QuincePeer *to = datagram->to;
  const QuinceNodeDigest *own = membership->self->digest;
  if (to == NULL || own == NULL || own->policy_revision == 0
      || own->policy_revision < membership->highest_revision)
    return;
  if (to->digest == NULL || to->digest->incarnation < to->record.incarnation
      || to->digest->policy_revision < own->policy_revision)
    add_digest (datagram, membership->self);
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
next_news (const Datagram *datagram, gboolean urgent, guint rumor_limit, guint start)
{
  GPtrArray *peers = datagram->membership->peers;
  QuincePeer *best = NULL;
  for (guint i = 0; i < peers->len; i++)
    {
      QuincePeer *peer = peers->pdata[(start + i) % peers->len];
      if (peer->is_urgent != urgent || peer->transmits >= rumor_limit
          || peer->chosen_for == datagram->membership->datagrams)
        continue;
      if (best == NULL || goes_before (datagram, peer, best))
        best = peer;
    }
  return best;
}

static void
add_news (Datagram *datagram, gboolean urgent)
{
  QuinceMembership *membership = datagram->membership;
  guint rumor_limit = quince_member_table_view (membership)->rumor_limit;
  if (!urgent && !quince_table_sync_is_complete (membership))
    rumor_limit = MAX (rumor_limit / ARRIVAL_RUMOR_DIVISOR, 1);
  guint start = (guint)g_rand_int_range (membership->random, 0, (gint32)membership->peers->len);
  QuincePeer *peer;
  do
    peer = next_news (datagram, urgent, rumor_limit, start);
  while (peer != NULL && add_record (datagram, peer));
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
  add_missing_revision (&datagram);
  add_news (&datagram, TRUE);
  set_limit (&datagram, burst / ARRIVAL_RESERVE_DIVISOR);
  if (content == QUINCE_GOSSIP_CONTENT_FULL && header->to != NULL)
    add_zone_of (&datagram, header->to, 1);
  add_news (&datagram, FALSE);
  if (content == QUINCE_GOSSIP_CONTENT_FULL)
    {
      add_digest (&datagram, membership->self);
      set_limit (&datagram, burst - burst / DIGEST_SHARE_DIVISOR);
      add_rotated_digests (&datagram);
    }
  finish (&datagram, header->to_address, sends);
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

gboolean
quince_gossip_sender_can_send (QuinceMembership *membership, gint64 now_us, gint64 reserve)
{
  refill_tokens (membership, now_us);
  return membership->tokens > reserve;
}

void
quince_gossip_sender_send_summary (QuinceMembership *membership,
                                   gint64 now_us,
                                   const QuinceGossipHeader *header,
                                   gsize (*write) (QuinceMembership *, QuinceGossip *),
                                   GPtrArray *sends)
{
  Datagram datagram;
  begin (&datagram, membership, now_us, header);
  datagram.size += write (membership, datagram.gossip);
  datagram.limit = QUINCE_GOSSIP_DATAGRAM_BYTES;
  add_record (&datagram, membership->self);
  finish (&datagram, header->to_address, sends);
}

QuinceGossip *
quince_gossip_sender_send_records (QuinceMembership *membership,
                                   gint64 now_us,
                                   const QuinceGossipHeader *header,
                                   gint64 reserve,
                                   GPtrArray *peers,
                                   guint *next,
                                   GPtrArray *sends)
{
  Datagram datagram;
  begin (&datagram, membership, now_us, header);
  datagram.size += SUMMARY_ROOM_BYTES;
  set_limit (&datagram, reserve);
  while (*next < peers->len && add_record (&datagram, peers->pdata[*next]))
    (*next)++;
  finish (&datagram, header->to_address, sends);
  return datagram.gossip;
}
