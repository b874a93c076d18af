/*
 * table-sync.c: exchange of whole member tables (anti-entropy).
 *
 * A node sends a summary of the records that it knows, two bytes each, to one
 * other member, and gets back the records that it lacks, in as many datagrams
 * as the other one's byte budget allows.  It asks again, another member, until
 * nothing was missing; from then on at a slow rate.  So a newcomer has the
 * whole table after a few round trips, each paid by another member's budget,
 * and a record that news missed is repaired by its being missed, not by chance.
 *
 * A summary is two bytes, the number of parts that the table is cut into and
 * the part it is of, and then a 16-bit hash for each member held alive or
 * suspect.  The hash is salted with the sequence of the exchange, so that a
 * collision hides a record once only.  The last datagram of an answer has two
 * bytes instead: how many records are still missing.
 */
#include "membership-private.h"

#include <string.h>

#include <quince/request-id.h>

#define SUMMARY_HEADER_BYTES 2
#define HASH_BYTES 2
#define HASH_VALUES 65536
/* Members of one summary; a greater table is cut into parts. */
#define PART_MEMBERS 560
#define LEFT_BYTES 2
#define ANSWER_DATAGRAMS 8
/* One in so many exchanges before the table seems whole is with a member of any zone. */
#define REMOTE_SHARE 2

/* Between two exchanges: while they bring much, while they bring little, and at rest. */
#define HURRY_US (200 * G_TIME_SPAN_MILLISECOND)
#define RETRY_US (500 * G_TIME_SPAN_MILLISECOND)
#define REST_US (8 * G_TIME_SPAN_SECOND)
/* Representatives exchange with their zone and with other zones by turns. */
#define REPRESENTATIVE_REST_US (4 * G_TIME_SPAN_SECOND)

/* A node holds its table to be whole after so many exchanges in turn that found nothing missing. */
#define COMPLETE_EXCHANGES 4
/* An exchange that brought one record for so many known ones was worth its summary. */
#define WORTHWHILE_SHARE 20

/* Part of the byte budget's burst that exchanges leave to news. */
#define RESERVE_DIVISOR 4

/* ---- Summaries ------------------------------------------------------- */

typedef struct
{
  guint8 bits[HASH_VALUES / 8];
  guint parts;
  guint part;
  guint32 salt;
} Summary;

static guint
record_hash (const QuinceMember *record, QuinceMemberState state, guint32 salt)
{
  guint64 version = (record->incarnation << 2) + (guint64)state;
  guint64 seed = quince_hash64 (&version, sizeof version, salt);
  return (guint)(quince_hash64 (record->name, strlen (record->name), seed) % HASH_VALUES);
}

static gboolean
summary_has (const Summary *summary, const QuinceMember *record, QuinceMemberState state)
{
  guint hash = record_hash (record, state, summary->salt);
  return (summary->bits[hash / 8] >> (hash % 8)) & 1;
}

static gboolean
is_of_part (const QuinceMember *record, guint parts, guint part)
{
  return parts < 2 || quince_hash64 (record->name, strlen (record->name), 0) % parts == part;
}

static gboolean
is_live (const QuinceMember *record)
{
  return record->state == QUINCE_MEMBER_ALIVE || record->state == QUINCE_MEMBER_SUSPECT;
}

/* Fills @gossip's summary with what is known here; returns its size. */
static gsize
write_summary (QuinceMembership *membership, QuinceGossip *gossip)
{
  GPtrArray *peers = membership->peers;
  guint parts = peers->len / PART_MEMBERS + 1;
  guint part = (guint)g_rand_int_range (membership->random, 0, (gint32)parts);
  guint8 *bytes = g_malloc (SUMMARY_HEADER_BYTES + (gsize)peers->len * HASH_BYTES);
  gsize length = 0;
  bytes[length++] = (guint8)parts;
  bytes[length++] = (guint8)part;
  for (guint i = 0; i < peers->len; i++)
    {
      const QuinceMember *record = &((QuincePeer *)peers->pdata[i])->record;
      if (!is_live (record) || !is_of_part (record, parts, part)
          || length + HASH_BYTES > QUINCE_GOSSIP_SUMMARY_BYTES)
        continue;
      guint hash = record_hash (record, record->state, gossip->sequence);
      bytes[length++] = (guint8)(hash >> 8);
      bytes[length++] = (guint8)hash;
    }
  gossip->summary.summary_val = (char *)bytes;
  gossip->summary.summary_len = (guint)length;
  return length;
}

/* FALSE when @gossip has no proper summary. */
static gboolean
read_summary (const QuinceGossip *gossip, Summary *summary)
{
  const guint8 *bytes = (const guint8 *)gossip->summary.summary_val;
  guint length = gossip->summary.summary_len;
  if (length < SUMMARY_HEADER_BYTES || length % HASH_BYTES != 0 || bytes[0] == 0 || bytes[1] >= bytes[0])
    return FALSE;
  memset (summary->bits, 0, sizeof summary->bits);
  summary->parts = bytes[0];
  summary->part = bytes[1];
  summary->salt = gossip->sequence;
  for (guint i = SUMMARY_HEADER_BYTES; i < length; i += HASH_BYTES)
    {
      guint hash = (guint)bytes[i] << 8 | bytes[i + 1];
      summary->bits[hash / 8] |= (guint8)(1u << (hash % 8));
    }
  return TRUE;
}

/*
 * TRUE when whoever sent @summary should hear of @record.  That a member is
 * gone is told only to who still holds it: others would drop the record.
 */
static gboolean
is_lacking (const Summary *summary, const QuinceMember *record)
{
  if (!is_of_part (record, summary->parts, summary->part))
    return FALSE;
  if (is_live (record))
    return !summary_has (summary, record, record->state);
  return summary_has (summary, record, QUINCE_MEMBER_ALIVE)
         || summary_has (summary, record, QUINCE_MEMBER_SUSPECT);
}

/* ---- Asking ---------------------------------------------------------- */

static QuincePeer *
random_live (QuinceMembership *membership, GPtrArray *peers)
{
  guint start = peers->len > 0 ? (guint)g_rand_int_range (membership->random, 0, (gint32)peers->len) : 0;
  for (guint i = 0; i < peers->len; i++)
    {
      QuincePeer *peer = peers->pdata[(start + i) % peers->len];
      if (peer != membership->self && peer->record.state == QUINCE_MEMBER_ALIVE)
        return peer;
    }
  return NULL;
}

static QuincePeer *
choose_partner (QuinceMembership *membership)
{
  const QuinceMembershipView *view = quince_member_table_view (membership);
  gboolean represents = view->own_representative == membership->self;
  QuincePeer *partner = NULL;
  if (!quince_table_sync_is_complete (membership) && membership->sync_count % REMOTE_SHARE == 0)
    partner = random_live (membership, membership->peers);
  else if (quince_table_sync_is_complete (membership) && represents && membership->sync_count % 2 == 0)
    partner = random_live (membership, view->representatives);
  if (partner == NULL)
    partner = random_live (membership, view->zone_peers);
  return partner != NULL ? partner : random_live (membership, membership->peers);
}

/* The next exchange is @wait_us from now, give or take a quarter, unless it is due before. */
static void
schedule (QuinceMembership *membership, gint64 now_us, gint64 wait_us)
{
  gint64 at_us = now_us + wait_us * g_rand_int_range (membership->random, 75, 126) / 100;
  if (membership->next_sync_us <= now_us || at_us < membership->next_sync_us)
    membership->next_sync_us = at_us;
}

/* The wait doubles with each exchange that found nothing missing. */
static gint64
rest_us (QuinceMembership *membership)
{
  gboolean represents = quince_member_table_view (membership)->own_representative == membership->self;
  gint64 most_us = represents ? REPRESENTATIVE_REST_US : REST_US;
  return MIN (most_us, RETRY_US << MIN (membership->sync_clean, COMPLETE_EXCHANGES));
}

void
quince_table_sync_init (QuinceMembership *membership, gint64 now_us)
{
  membership->next_sync_us = now_us + g_rand_int_range (membership->random, 0, (gint32)HURRY_US);
}

gboolean
quince_table_sync_is_complete (const QuinceMembership *membership)
{
  return membership->sync_clean >= COMPLETE_EXCHANGES;
}

void
quince_table_sync_tick (QuinceMembership *membership, gint64 now_us, GPtrArray *sends)
{
  if (now_us < membership->next_sync_us)
    return;
  QuincePeer *partner = choose_partner (membership);
  gint64 reserve = membership->limits.bytes_per_second / RESERVE_DIVISOR;
  if (partner == NULL || !quince_gossip_sender_can_send (membership, now_us, reserve))
    {
      schedule (membership, now_us, HURRY_US);
      return;
    }
  membership->sync_count++;
  membership->sync_learned = 0;
  schedule (membership, now_us, rest_us (membership));
  QuinceGossipHeader header = {
    .to = partner,
    .to_address = partner->record.gossip_address,
    .kind = QUINCE_GOSSIP_SYNC,
    .sequence = g_rand_int (membership->random),
    .target = partner->record.name,
  };
  quince_gossip_sender_send_summary (membership, now_us, &header, write_summary, sends);
}

/* ---- Answering ------------------------------------------------------- */

/* Records that are lacking: those of the asking node's zone first, and from a random place. */
static GPtrArray *
collect_lacking (QuinceMembership *membership, const Summary *summary, const QuincePeer *asking)
{
  GPtrArray *peers = membership->peers;
  GPtrArray *lacking = g_ptr_array_new ();
  guint start = (guint)g_rand_int_range (membership->random, 0, (gint32)peers->len);
  for (guint i = 0; i < peers->len; i++)
    {
      QuincePeer *peer = peers->pdata[(start + i) % peers->len];
      if (peer == asking || !is_lacking (summary, &peer->record))
        continue;
      gboolean first = asking != NULL && strcmp (peer->record.zone, asking->record.zone) == 0;
      g_ptr_array_insert (lacking, first ? 0 : -1, peer);
    }
  return lacking;
}

static void
write_left (QuinceGossip *gossip, guint left)
{
  guint8 *bytes = g_malloc (LEFT_BYTES);
  bytes[0] = (guint8)(left >> 8);
  bytes[1] = (guint8)left;
  gossip->summary.summary_val = (char *)bytes;
  gossip->summary.summary_len = LEFT_BYTES;
}

/* Whoever sent @record holds an older one than this node: the newer one becomes news again. */
static void
correct_stale (QuinceMembership *membership, QuincePeer *peer, const QuinceMember *record)
{
  if (peer == NULL || peer == membership->self || record->incarnation > peer->record.incarnation)
    return;
  if (record->incarnation == peer->record.incarnation && record->state >= peer->record.state)
    return;
  peer->transmits = 0;
  peer->is_urgent = TRUE;
}

/* Takes in the records of one datagram of an answer. */
void
quince_table_sync_merge (QuinceMembership *membership, gint64 now_us, const QuinceGossip *gossip)
{
  guint rumor_limit = quince_member_table_view (membership)->rumor_limit;
  for (guint i = 0; i < gossip->updates.updates_len; i++)
    {
      const QuinceMember *record = &gossip->updates.updates_val[i];
      guint64 changes = membership->change_count;
      quince_member_table_merge (membership, now_us, gossip->from, record);
      QuincePeer *peer = quince_member_table_lookup (membership, record->name);
      if (membership->change_count == changes)
        {
          correct_stale (membership, peer, record);
          continue;
        }
      membership->sync_learned++;
      /* To a node that still collects its table, members that others knew are no news to pass on. */
      if (!quince_table_sync_is_complete (membership) && peer != NULL && !peer->is_urgent)
        peer->transmits = rumor_limit;
    }
}

static void
receive_summary (QuinceMembership *membership,
                 gint64 now_us,
                 const char *from_address,
                 const QuinceGossip *gossip,
                 GPtrArray *sends)
{
  Summary summary;
  if (strcmp (gossip->target, membership->self->record.name) != 0 || !read_summary (gossip, &summary))
    return;
  QuincePeer *asking = quince_member_table_lookup (membership, gossip->from);
  g_autoptr (GPtrArray) lacking = collect_lacking (membership, &summary, asking);
  QuinceGossipHeader header = {
    .to = asking,
    .to_address = from_address,
    .kind = QUINCE_GOSSIP_RECORDS,
    .sequence = gossip->sequence,
    .target = gossip->from,
  };
  gint64 reserve = membership->limits.bytes_per_second / RESERVE_DIVISOR;
  if (!quince_gossip_sender_can_send (membership, now_us, reserve))
    return; /* another one will be asked */
  QuinceGossip *last = NULL;
  guint sent = 0;
  for (guint i = 0; last == NULL || (sent < lacking->len && i < ANSWER_DATAGRAMS); i++)
    {
      guint before = sent;
      last = quince_gossip_sender_send_records (membership, now_us, &header, reserve, lacking, &sent, sends);
      if (sent == before)
        break;
    }
  write_left (last, lacking->len - sent);
  /* Who knows of more members than this node is asked in turn, soon. */
  if ((gossip->summary.summary_len - SUMMARY_HEADER_BYTES) / HASH_BYTES * summary.parts
      > membership->peers->len)
    schedule (membership, now_us, RETRY_US);
}

static void
receive_records (QuinceMembership *membership, gint64 now_us, const QuinceGossip *gossip)
{
  if (gossip->summary.summary_len != LEFT_BYTES)
    return; /* not the last datagram */
  const guint8 *bytes = (const guint8 *)gossip->summary.summary_val;
  guint left = (guint)bytes[0] << 8 | bytes[1];
  guint learned = membership->sync_learned;
  membership->sync_clean = left == 0 && learned == 0 ? membership->sync_clean + 1 : 0;
  if (quince_table_sync_is_complete (membership))
    membership->has_joined = TRUE;
  gboolean worthwhile = learned > 0 && learned * WORTHWHILE_SHARE >= membership->peers->len;
  schedule (membership, now_us, worthwhile ? HURRY_US : rest_us (membership));
}

void
quince_table_sync_receive (QuinceMembership *membership,
                           gint64 now_us,
                           const char *from_address,
                           const QuinceGossip *gossip,
                           GPtrArray *sends)
{
  if (gossip->kind == QUINCE_GOSSIP_SYNC)
    receive_summary (membership, now_us, from_address, gossip, sends);
  else if (gossip->kind == QUINCE_GOSSIP_RECORDS)
    receive_records (membership, now_us, gossip);
}
