/*
 * prober.c: finding out who no longer answers.
 *
 * Each stream probes one target a round: directly, after a timeout through
 * others, and at the end of the round the target that no one reached becomes
 * suspect.  Targets are taken in random order, each once before any twice.
 * The zone stream runs on every node, the inter-zone stream only on the
 * representative.  Dead members and silent seeds are tried at a slow rate, so
 * that healed partitions merge.
 */
#include "membership-private.h"

#include <string.h>

/* Rounds between two tries of a dead member or a silent seed. */
#define REPROBE_ROUNDS 10
/* Rounds between two probes to other zones of a node that does not know everyone yet. */
#define NEWCOMER_ROUNDS 4
/* Probes for others that are remembered. */
#define MAX_RELAYS 64

static void
relay_free (QuinceRelay *relay)
{
  g_free (relay->origin_address);
  g_free (relay->target);
  g_free (relay);
}

static guint
next_sequence (QuinceMembership *membership)
{
  membership->last_sequence++;
  if (membership->last_sequence == 0) /* 0 means none */
    membership->last_sequence++;
  return membership->last_sequence;
}

static void
stream_clear_probe (QuinceProbeStream *stream)
{
  stream->sequence = 0;
  g_clear_pointer (&stream->target, g_free);
  stream->indirect_sent = FALSE;
}

void
quince_prober_init (QuinceMembership *membership, gint64 now_us)
{
  for (guint i = 0; i < QUINCE_PROBE_STREAMS; i++)
    {
      QuinceProbeStream *stream = &membership->streams[i];
      stream->round = g_ptr_array_new_with_free_func (g_free);
      /* A random phase keeps nodes that start together apart. */
      gint32 interval_us = (gint32)membership->limits.probe_interval_us;
      stream->next_round_us = now_us + g_rand_int_range (membership->random, 0, interval_us);
    }
  g_queue_init (&membership->relays);
  membership->next_reprobe_us = now_us + REPROBE_ROUNDS * membership->limits.probe_interval_us;
}

void
quince_prober_clear (QuinceMembership *membership)
{
  for (guint i = 0; i < QUINCE_PROBE_STREAMS; i++)
    {
      stream_clear_probe (&membership->streams[i]);
      g_ptr_array_unref (membership->streams[i].round);
    }
  g_queue_clear_full (&membership->relays, (GDestroyNotify)relay_free);
}

static void
send_ping (QuinceMembership *membership, gint64 now_us, QuincePeer *to, guint sequence, GPtrArray *sends)
{
  QuinceGossipHeader header = {
    .to = to,
    .to_address = to->record.gossip_address,
    .kind = QUINCE_GOSSIP_PING,
    .sequence = sequence,
    .target = to->record.name,
  };
  quince_gossip_sender_send (membership, now_us, &header, QUINCE_GOSSIP_CONTENT_FULL, sends);
}

static void
send_seed_ping (QuinceMembership *membership, gint64 now_us, const char *address, GPtrArray *sends)
{
  QuinceGossipHeader header = {
    .to_address = address,
    .kind = QUINCE_GOSSIP_PING,
    .sequence = next_sequence (membership),
    .target = "",
  };
  quince_gossip_sender_send (membership, now_us, &header, QUINCE_GOSSIP_CONTENT_FULL, sends);
}

/* ---- Rounds --------------------------------------------------------- */

static void
shuffle (GRand *random, GPtrArray *names)
{
  for (guint i = names->len; i > 1; i--)
    {
      guint other = (guint)g_rand_int_range (random, 0, (gint32)i);
      gpointer swapped = names->pdata[i - 1];
      names->pdata[i - 1] = names->pdata[other];
      names->pdata[other] = swapped;
    }
}

/* Fills an empty round: names of zone members, or of the other zones. */
static void
begin_round (QuinceMembership *membership, QuinceProbeStreamKind kind)
{
  const QuinceMembershipView *view = quince_member_table_view (membership);
  GPtrArray *round = membership->streams[kind].round;
  GPtrArray *peers = kind == QUINCE_PROBE_ZONE ? view->zone_peers : view->representatives;
  for (guint i = 0; i < peers->len; i++)
    {
      const QuinceMember *record = &((QuincePeer *)peers->pdata[i])->record;
      g_ptr_array_add (round, g_strdup (kind == QUINCE_PROBE_ZONE ? record->name : record->zone));
    }
  shuffle (membership->random, round);
}

/* The member that @name of a round stands for now; NULL when it is gone. */
static QuincePeer *
round_target (QuinceMembership *membership, QuinceProbeStreamKind kind, const char *name)
{
  if (kind == QUINCE_PROBE_ZONE)
    {
      QuincePeer *peer = quince_member_table_lookup (membership, name);
      return peer != NULL && peer->record.state != QUINCE_MEMBER_DEAD ? peer : NULL;
    }
  GPtrArray *representatives = quince_member_table_view (membership)->representatives;
  for (guint i = 0; i < representatives->len; i++)
    {
      QuincePeer *peer = representatives->pdata[i];
      if (strcmp (peer->record.zone, name) == 0)
        return peer;
    }
  return NULL;
}

static QuincePeer *
next_target (QuinceMembership *membership, QuinceProbeStreamKind kind)
{
  const QuinceMembershipView *view = quince_member_table_view (membership);
  if (kind == QUINCE_PROBE_INTER_ZONE && view->own_representative != membership->self)
    return NULL;

  GPtrArray *round = membership->streams[kind].round;
  if (round->len == 0)
    begin_round (membership, kind);
  while (round->len > 0)
    {
      g_autofree char *name = g_ptr_array_steal_index_fast (round, round->len - 1);
      QuincePeer *peer = round_target (membership, kind, name);
      if (peer != NULL && peer != membership->self)
        return peer;
    }
  return NULL;
}

/* ---- One probe ------------------------------------------------------ */

/* Asks up to limits.indirect_probes others to probe the target. */
static void
send_indirect (QuinceMembership *membership, gint64 now_us, QuinceProbeStream *stream, GPtrArray *sends)
{
  stream->indirect_sent = TRUE;
  QuincePeer *target = quince_member_table_lookup (membership, stream->target);
  if (target == NULL)
    return;
  const QuinceMembershipView *view = quince_member_table_view (membership);
  gboolean in_zone = quince_member_table_is_in_own_zone (membership, target);
  GPtrArray *helpers = in_zone ? view->zone_peers : view->representatives;
  guint start = helpers->len > 0 ? (guint)g_rand_int_range (membership->random, 0, (gint32)helpers->len) : 0;
  guint asked = 0;

  for (guint i = 0; i < helpers->len && asked < membership->limits.indirect_probes; i++)
    {
      QuincePeer *helper = helpers->pdata[(start + i) % helpers->len];
      if (helper == target || helper->record.state != QUINCE_MEMBER_ALIVE)
        continue;
      QuinceGossipHeader header = {
        .to = helper,
        .to_address = helper->record.gossip_address,
        .kind = QUINCE_GOSSIP_PING_VIA,
        .sequence = stream->sequence,
        .target = target->record.name,
        .target_address = target->record.gossip_address,
      };
      quince_gossip_sender_send (membership, now_us, &header, QUINCE_GOSSIP_CONTENT_NEWS, sends);
      asked++;
    }
}

/* The round is over and no one reached the target. */
static void
judge (QuinceMembership *membership, gint64 now_us, QuinceProbeStream *stream)
{
  QuincePeer *target = quince_member_table_lookup (membership, stream->target);
  if (target == NULL)
    return;
  if (target->record.state == QUINCE_MEMBER_ALIVE)
    quince_member_table_set_state (membership, now_us, target, QUINCE_MEMBER_SUSPECT);
  else if (target->record.state == QUINCE_MEMBER_LEAVING)
    quince_member_table_set_state (membership, now_us, target, QUINCE_MEMBER_DEAD);
}

/* Newcomers all take themselves for representatives: they leave the few members known to them in peace. */
static gint64
round_us (const QuinceMembership *membership, QuinceProbeStreamKind kind)
{
  gboolean newcomer
      = kind == QUINCE_PROBE_INTER_ZONE && membership->sync_clean == 0 && !membership->has_joined;
  return membership->limits.probe_interval_us * (newcomer ? NEWCOMER_ROUNDS : 1);
}

static void
run_stream (QuinceMembership *membership, gint64 now_us, QuinceProbeStreamKind kind, GPtrArray *sends)
{
  QuinceProbeStream *stream = &membership->streams[kind];
  gboolean waiting = stream->sequence != 0;
  if (waiting && !stream->indirect_sent && now_us >= stream->started_us + membership->limits.probe_timeout_us)
    send_indirect (membership, now_us, stream, sends);
  if (now_us < stream->next_round_us)
    return;

  if (waiting)
    judge (membership, now_us, stream);
  stream_clear_probe (stream);
  stream->next_round_us = now_us + round_us (membership, kind);
  QuincePeer *target = next_target (membership, kind);
  if (target == NULL)
    return;
  stream->sequence = next_sequence (membership);
  stream->target = g_strdup (target->record.name);
  stream->started_us = now_us;
  send_ping (membership, now_us, target, stream->sequence, sends);
  if (kind == QUINCE_PROBE_INTER_ZONE && target->record.state == QUINCE_MEMBER_SUSPECT)
    quince_gossip_push_to_deputy (membership, now_us, target->record.zone, sends);
}

/* ---- Seeds and dead members ----------------------------------------- */

static gboolean
knows_anyone (const QuinceMembership *membership)
{
  for (guint i = 0; i < membership->peers->len; i++)
    {
      const QuincePeer *peer = membership->peers->pdata[i];
      if (peer != membership->self && peer->record.state != QUINCE_MEMBER_DEAD)
        return TRUE;
    }
  return FALSE;
}

/* Probes the next seed that no live member is known at. */
static void
probe_silent_seed (QuinceMembership *membership, gint64 now_us, GPtrArray *sends)
{
  guint count = g_strv_length (membership->seeds);
  for (guint i = 0; i < count; i++)
    {
      const char *address = membership->seeds[membership->next_seed++ % count];
      const QuincePeer *peer = quince_member_table_lookup_address (membership, address);
      if (peer != NULL && peer->record.state != QUINCE_MEMBER_DEAD)
        continue;
      send_seed_ping (membership, now_us, address, sends);
      return;
    }
}

static void
probe_dead_member (QuinceMembership *membership, gint64 now_us, GPtrArray *sends)
{
  guint count = membership->peers->len;
  guint start = (guint)g_rand_int_range (membership->random, 0, (gint32)count);
  for (guint i = 0; i < count; i++)
    {
      QuincePeer *peer = membership->peers->pdata[(start + i) % count];
      if (peer->record.state != QUINCE_MEMBER_DEAD)
        continue;
      send_ping (membership, now_us, peer, next_sequence (membership), sends);
      return;
    }
}

static void
run_reprobe (QuinceMembership *membership, gint64 now_us, GPtrArray *sends)
{
  if (now_us < membership->next_reprobe_us)
    return;
  gboolean alone = !knows_anyone (membership);
  membership->next_reprobe_us = now_us + (alone ? 1 : REPROBE_ROUNDS) * membership->limits.probe_interval_us;
  probe_silent_seed (membership, now_us, sends);
  probe_dead_member (membership, now_us, sends);
}

void
quince_prober_tick (QuinceMembership *membership, gint64 now_us, GPtrArray *sends)
{
  for (guint kind = 0; kind < QUINCE_PROBE_STREAMS; kind++)
    run_stream (membership, now_us, kind, sends);
  run_reprobe (membership, now_us, sends);
}

void
quince_prober_confirm (QuinceMembership *membership, gint64 now_us, GPtrArray *sends)
{
  for (guint i = 0; i < membership->to_confirm->len; i++)
    {
      QuincePeer *peer = quince_member_table_lookup (membership, membership->to_confirm->pdata[i]);
      if (peer != NULL && peer->record.state == QUINCE_MEMBER_SUSPECT)
        send_ping (membership, now_us, peer, next_sequence (membership), sends);
    }
  g_ptr_array_set_size (membership->to_confirm, 0);
}

void
quince_prober_skip_pause (QuinceMembership *membership, gint64 now_us, gint64 pause_us)
{
  for (guint i = 0; i < QUINCE_PROBE_STREAMS; i++)
    {
      stream_clear_probe (&membership->streams[i]);
      membership->streams[i].next_round_us = now_us;
    }
  for (guint i = 0; i < membership->peers->len; i++)
    {
      QuincePeer *peer = membership->peers->pdata[i];
      if (peer->record.state == QUINCE_MEMBER_SUSPECT)
        peer->suspected_until_us += pause_us;
    }
}

/* ---- Datagrams ------------------------------------------------------ */

static void
receive_ping (QuinceMembership *membership,
              gint64 now_us,
              const char *from_address,
              const QuinceGossip *ping,
              GPtrArray *sends)
{
  const char *own_name = membership->self->record.name;
  /* Another process may serve at the address of one that is gone: it must not answer for it. */
  if (ping->target[0] != '\0' && strcmp (ping->target, own_name) != 0)
    return;
  QuinceGossipHeader header = {
    .to = quince_member_table_lookup (membership, ping->from),
    .to_address = from_address,
    .kind = QUINCE_GOSSIP_ACK,
    .sequence = ping->sequence,
    .target = own_name,
  };
  quince_gossip_sender_send (membership, now_us, &header, QUINCE_GOSSIP_CONTENT_FULL, sends);
}

static void
receive_ping_via (QuinceMembership *membership,
                  gint64 now_us,
                  const char *from_address,
                  const QuinceGossip *request,
                  GPtrArray *sends)
{
  if (request->target[0] == '\0' || request->target_address[0] == '\0')
    return;
  if (membership->relays.length >= MAX_RELAYS)
    relay_free (g_queue_pop_head (&membership->relays));
  QuinceRelay *relay = g_new0 (QuinceRelay, 1);
  relay->sequence = next_sequence (membership);
  relay->origin_sequence = request->sequence;
  relay->origin_address = g_strdup (from_address);
  relay->target = g_strdup (request->target);
  g_queue_push_tail (&membership->relays, relay);

  QuinceGossipHeader header = {
    .to = quince_member_table_lookup (membership, request->target),
    .to_address = request->target_address,
    .kind = QUINCE_GOSSIP_PING,
    .sequence = relay->sequence,
    .target = request->target,
  };
  quince_gossip_sender_send (membership, now_us, &header, QUINCE_GOSSIP_CONTENT_NEWS, sends);
}

/* Passes the answer on to the node that had asked for the probe. */
static void
answer_relay (QuinceMembership *membership, gint64 now_us, GList *link, GPtrArray *sends)
{
  QuinceRelay *relay = link->data;
  g_queue_delete_link (&membership->relays, link);
  QuinceGossipHeader header = {
    .to = quince_member_table_lookup_address (membership, relay->origin_address),
    .to_address = relay->origin_address,
    .kind = QUINCE_GOSSIP_ACK,
    .sequence = relay->origin_sequence,
    .target = relay->target,
  };
  quince_gossip_sender_send (membership, now_us, &header, QUINCE_GOSSIP_CONTENT_NEWS, sends);
  relay_free (relay);
}

static void
receive_ack (QuinceMembership *membership, gint64 now_us, const QuinceGossip *ack, GPtrArray *sends)
{
  for (guint i = 0; i < QUINCE_PROBE_STREAMS; i++)
    {
      QuinceProbeStream *stream = &membership->streams[i];
      if (stream->sequence != 0 && stream->sequence == ack->sequence
          && strcmp (stream->target, ack->target) == 0)
        stream_clear_probe (stream);
    }
  for (GList *link = membership->relays.head; link != NULL; link = link->next)
    {
      const QuinceRelay *relay = link->data;
      if (relay->sequence != ack->sequence || strcmp (relay->target, ack->target) != 0)
        continue;
      answer_relay (membership, now_us, link, sends);
      return;
    }
}

void
quince_prober_receive (QuinceMembership *membership,
                       gint64 now_us,
                       const char *from_address,
                       const QuinceGossip *gossip,
                       GPtrArray *sends)
{
  switch (gossip->kind)
    {
    case QUINCE_GOSSIP_PING:
      receive_ping (membership, now_us, from_address, gossip, sends);
      break;
    case QUINCE_GOSSIP_PING_VIA:
      receive_ping_via (membership, now_us, from_address, gossip, sends);
      break;
    case QUINCE_GOSSIP_ACK:
      receive_ack (membership, now_us, gossip, sends);
      break;
    default: /* a kind of a later version */
      break;
    }
}

static gint64
stream_wakeup (const QuinceMembership *membership, const QuinceProbeStream *stream)
{
  if (stream->sequence != 0 && !stream->indirect_sent)
    return MIN (stream->next_round_us, stream->started_us + membership->limits.probe_timeout_us);
  return stream->next_round_us;
}

gint64
quince_prober_next_wakeup (const QuinceMembership *membership)
{
  gint64 wakeup_us = membership->next_reprobe_us;
  for (guint i = 0; i < QUINCE_PROBE_STREAMS; i++)
    wakeup_us = MIN (wakeup_us, stream_wakeup (membership, &membership->streams[i]));
  return wakeup_us;
}
