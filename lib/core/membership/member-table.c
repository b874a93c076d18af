/*
 * member-table.c: who there is, and which news about a member wins.
 *
 * Records are ordered by (incarnation, state), the states in the order alive,
 * suspect, leaving, dead.  Only a member itself raises its incarnation, so a
 * refutation or a restart beats whatever others say of the one before.
 */
#include "membership-private.h"

#include <string.h>

#include <quince/request-id.h>

/* Times a news is sent, as a multiple of log2 of the members gossiped with. */
#define RUMOR_FACTOR 3
/* A node outside the zone waits so many times longer: the zone judges first. */
#define REMOTE_SUSPICION_FACTOR 3

static void
peer_free (QuincePeer *peer)
{
  quince_digest_table_drop (peer);
  g_free (peer->record.name);
  g_free (peer->record.zone);
  g_free (peer->record.address);
  g_free (peer->record.gossip_address);
  g_free (peer);
}

/* Copies @record into @peer, whose strings are released first. */
static void
peer_set_record (QuincePeer *peer, const QuinceMember *record)
{
  QuinceMember old = peer->record;
  peer->record = *record;
  peer->record.name = quince_string (record->name);
  peer->record.zone = quince_string (record->zone);
  peer->record.address = quince_string (record->address);
  peer->record.gossip_address = quince_string (record->gossip_address);
  g_free (old.name);
  g_free (old.zone);
  g_free (old.address);
  g_free (old.gossip_address);

  guint64 zone_key = quince_hash64 (record->zone, strlen (record->zone), 0);
  peer->score = quince_rendezvous_score (zone_key, record->name);
  peer->record_size = xdr_sizeof ((xdrproc_t)xdr_QuinceMember, &peer->record);
  peer->transmits = 0;
}

static QuincePeer *
table_add (QuinceMembership *membership, const QuinceMember *record)
{
  QuincePeer *peer = g_new0 (QuincePeer, 1);
  peer_set_record (peer, record);
  g_hash_table_replace (membership->by_name, g_strdup (record->name), peer);
  g_ptr_array_add (membership->peers, peer);
  membership->change_count++;
  return peer;
}

static void
table_remove (QuinceMembership *membership, QuincePeer *peer)
{
  g_ptr_array_remove (membership->peers, peer);
  membership->change_count++;
  g_hash_table_remove (membership->by_name, peer->record.name);
}

void
quince_member_table_init (QuinceMembership *membership, const QuinceMember *self)
{
  membership->by_name = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify)peer_free);
  membership->peers = g_ptr_array_new ();
  membership->view.zone_peers = g_ptr_array_new ();
  membership->view.representatives = g_ptr_array_new ();
  membership->view.deputies = g_ptr_array_new ();
  membership->to_confirm = g_ptr_array_new_with_free_func (g_free);
  membership->self = table_add (membership, self);
  membership->self->record.state = QUINCE_MEMBER_ALIVE;
}

void
quince_member_table_clear (QuinceMembership *membership)
{
  g_ptr_array_unref (membership->peers);
  g_ptr_array_unref (membership->view.zone_peers);
  g_ptr_array_unref (membership->view.representatives);
  g_ptr_array_unref (membership->view.deputies);
  g_ptr_array_unref (membership->to_confirm);
  g_hash_table_unref (membership->by_name);
}

QuincePeer *
quince_member_table_lookup (const QuinceMembership *membership, const char *name)
{
  return g_hash_table_lookup (membership->by_name, name);
}

QuincePeer *
quince_member_table_lookup_address (const QuinceMembership *membership, const char *gossip_address)
{
  for (guint i = 0; i < membership->peers->len; i++)
    {
      QuincePeer *peer = membership->peers->pdata[i];
      if (strcmp (peer->record.gossip_address, gossip_address) == 0)
        return peer;
    }
  return NULL;
}

gboolean
quince_member_table_is_in_own_zone (const QuinceMembership *membership, const QuincePeer *peer)
{
  return strcmp (peer->record.zone, membership->self->record.zone) == 0;
}

void
quince_member_table_renew_self (QuinceMembership *membership, guint64 least)
{
  QuinceMember *self = &membership->self->record;
  self->incarnation = MAX (self->incarnation, least) + 1;
  membership->self->transmits = 0;
  membership->self->is_urgent = TRUE;
  membership->change_count++;
  if (membership->self->digest != NULL)
    membership->self->digest->incarnation = self->incarnation;
}

/* Someone holds a worse or newer opinion of this node: answer with a greater incarnation. */
static void
refute (QuinceMembership *membership, const QuinceMember *record)
{
  const QuinceMember *self = &membership->self->record;
  gboolean newer = record->incarnation > self->incarnation;
  gboolean worse = record->incarnation == self->incarnation && record->state > self->state;
  if (!newer && !worse)
    return;
  quince_member_table_renew_self (membership, record->incarnation);
  membership->push_due = TRUE;
}

static void
begin_suspicion (QuinceMembership *membership, gint64 now_us, QuincePeer *peer)
{
  gboolean own_zone = quince_member_table_is_in_own_zone (membership, peer);
  gint64 wait_us = membership->limits.suspect_us * (own_zone ? 1 : REMOTE_SUSPICION_FACTOR);
  peer->suspected_until_us = now_us + wait_us;
  if (own_zone && peer == membership->view.own_representative)
    membership->push_due = TRUE; /* its deputy must take over */
  if (own_zone)
    g_ptr_array_add (membership->to_confirm, g_strdup (peer->record.name));
}

void
quince_member_table_set_state (QuinceMembership *membership,
                               gint64 now_us,
                               QuincePeer *peer,
                               QuinceMemberState state)
{
  peer->is_urgent = state != QUINCE_MEMBER_ALIVE || peer->record.state != QUINCE_MEMBER_ALIVE;
  peer->record.state = state;
  peer->transmits = 0;
  membership->change_count++;
  if (state == QUINCE_MEMBER_SUSPECT)
    begin_suspicion (membership, now_us, peer);
  if (state == QUINCE_MEMBER_DEAD)
    {
      peer->dead_since_us = now_us;
      quince_digest_table_drop (peer);
    }
}

static gboolean
is_valid (const QuinceMember *record)
{
  return record->name[0] != '\0' && record->gossip_address[0] != '\0' && record->state >= QUINCE_MEMBER_ALIVE
         && record->state <= QUINCE_MEMBER_DEAD && record->incarnation < G_MAXUINT64;
}

static void
merge_unknown (QuinceMembership *membership, gint64 now_us, const char *from, const QuinceMember *record)
{
  gboolean gone = record->state == QUINCE_MEMBER_DEAD || record->state == QUINCE_MEMBER_LEAVING;
  if (gone || membership->peers->len >= QUINCE_MAX_MEMBERS)
    return;
  QuincePeer *peer = table_add (membership, record);
  if (record->state == QUINCE_MEMBER_SUSPECT)
    begin_suspicion (membership, now_us, peer);
  peer->is_newcomer = strcmp (from, record->name) == 0;
}

void
quince_member_table_merge (QuinceMembership *membership,
                           gint64 now_us,
                           const char *from,
                           const QuinceMember *record)
{
  if (!is_valid (record))
    return;
  QuincePeer *peer = quince_member_table_lookup (membership, record->name);
  if (peer == membership->self)
    refute (membership, record);
  else if (peer == NULL)
    merge_unknown (membership, now_us, from, record);
  else if (record->incarnation > peer->record.incarnation)
    {
      gboolean was_dead = peer->record.state == QUINCE_MEMBER_DEAD;
      QuinceMemberState old_state = peer->record.state;
      peer_set_record (peer, record);
      peer->record.state = old_state;
      quince_member_table_set_state (membership, now_us, peer, record->state);
      if (was_dead && record->state != QUINCE_MEMBER_DEAD)
        peer->is_newcomer = strcmp (from, record->name) == 0;
    }
  else if (record->incarnation == peer->record.incarnation && record->state > peer->record.state)
    quince_member_table_set_state (membership, now_us, peer, record->state);
  else if (record->incarnation == peer->record.incarnation && record->state == peer->record.state)
    peer->transmits++; /* who sent it knows it already: it counts as sent */
}

void
quince_member_table_expire (QuinceMembership *membership, gint64 now_us)
{
  for (guint i = membership->peers->len; i > 0; i--)
    {
      QuincePeer *peer = membership->peers->pdata[i - 1];
      if (peer->record.state == QUINCE_MEMBER_SUSPECT && now_us >= peer->suspected_until_us)
        quince_member_table_set_state (membership, now_us, peer, QUINCE_MEMBER_DEAD);
      else if (peer->record.state == QUINCE_MEMBER_DEAD
               && now_us >= peer->dead_since_us + membership->limits.forget_us)
        table_remove (membership, peer);
    }
}

/* Ranks those who can represent a zone: the greater the worse. */
static int
unfitness (const QuinceMembership *membership, const QuincePeer *peer)
{
  switch (peer->record.state)
    {
    case QUINCE_MEMBER_LEAVING:
      return 2;
    case QUINCE_MEMBER_SUSPECT: /* the others of its zone go on without it; other zones wait for the verdict
                                 */
      return quince_member_table_is_in_own_zone (membership, peer) ? 1 : 0;
    default:
      return 0;
    }
}

/* TRUE when @peer represents its zone rather than @best, which may be %NULL. */
static gboolean
represents_better (const QuinceMembership *membership, const QuincePeer *peer, const QuincePeer *best)
{
  if (best == NULL)
    return TRUE;
  int difference = unfitness (membership, peer) - unfitness (membership, best);
  if (difference != 0)
    return difference < 0;
  if (peer->score != best->score)
    return peer->score > best->score;
  return strcmp (peer->record.name, best->record.name) > 0;
}

/* The two best of a zone. */
typedef struct
{
  QuincePeer *representative;
  QuincePeer *deputy; /* nullable */
} Delegates;

static void
consider_delegate (QuinceMembership *membership, GHashTable *by_zone, QuincePeer *peer)
{
  Delegates *delegates = g_hash_table_lookup (by_zone, peer->record.zone);
  if (delegates == NULL)
    {
      delegates = g_new0 (Delegates, 1);
      g_hash_table_insert (by_zone, peer->record.zone, delegates);
    }
  if (represents_better (membership, peer, delegates->representative))
    {
      delegates->deputy = delegates->representative;
      delegates->representative = peer;
    }
  else if (represents_better (membership, peer, delegates->deputy))
    delegates->deputy = peer;
}

static void
collect_delegates (QuinceMembership *membership, GHashTable *by_zone)
{
  QuinceMembershipView *view = &membership->view;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, by_zone);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Delegates *delegates = value;
      if (quince_member_table_is_in_own_zone (membership, delegates->representative))
        {
          view->own_representative = delegates->representative;
          view->own_deputy = delegates->deputy;
          continue;
        }
      g_ptr_array_add (view->representatives, delegates->representative);
      if (delegates->deputy != NULL)
        g_ptr_array_add (view->deputies, delegates->deputy);
    }
}

const QuinceMembershipView *
quince_member_table_view (QuinceMembership *membership)
{
  QuinceMembershipView *view = &membership->view;
  if (view->made_for_change == membership->change_count)
    return view;

  g_ptr_array_set_size (view->zone_peers, 0);
  g_ptr_array_set_size (view->representatives, 0);
  g_ptr_array_set_size (view->deputies, 0);
  view->own_representative = NULL;
  view->own_deputy = NULL;
  g_autoptr (GHashTable) by_zone = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  for (guint i = 0; i < membership->peers->len; i++)
    {
      QuincePeer *peer = membership->peers->pdata[i];
      if (peer->record.state == QUINCE_MEMBER_DEAD)
        continue;
      consider_delegate (membership, by_zone, peer);
      if (peer != membership->self && quince_member_table_is_in_own_zone (membership, peer))
        g_ptr_array_add (view->zone_peers, peer);
    }
  collect_delegates (membership, by_zone);

  gboolean represents = view->own_representative == membership->self;
  guint partners = view->zone_peers->len + (represents ? view->representatives->len : 0);
  view->rumor_limit = RUMOR_FACTOR * (g_bit_storage (partners) + 1);
  view->made_for_change = membership->change_count;
  return view;
}
