/*
 * digest-table.c: newest digest of each member.
 *
 * A digest is newer by (incarnation, sequence).  One that carries news which
 * all must hear soon is urgent: the first sight of a greater policy revision
 * or ledger epoch, the first holder of a revision in this zone, or an engine
 * that begins to leave.
 */
#include "membership-private.h"

#include <stdlib.h>
#include <string.h>

static gboolean
is_newer (const QuinceNodeDigest *digest, const QuinceNodeDigest *held)
{
  if (held == NULL || digest->incarnation > held->incarnation)
    return TRUE;
  return digest->incarnation == held->incarnation && digest->sequence > held->sequence;
}

static gboolean
says_leaving (const QuinceNodeDigest *digest, const char *engine)
{
  for (guint i = 0; digest != NULL && i < digest->engines.engines_len; i++)
    {
      const QuinceEngineDigest *entry = &digest->engines.engines_val[i];
      if (entry->leaving && strcmp (entry->engine, engine) == 0)
        return TRUE;
    }
  return FALSE;
}

/* TRUE when @digest is the first of its node to call some engine leaving. */
static gboolean
has_new_leaving (const QuinceNodeDigest *digest, const QuinceNodeDigest *held)
{
  for (guint i = 0; i < digest->engines.engines_len; i++)
    {
      const QuinceEngineDigest *entry = &digest->engines.engines_val[i];
      if (entry->leaving && !says_leaving (held, entry->engine))
        return TRUE;
    }
  return FALSE;
}

/* Records the highest numbers seen; TRUE when @digest raised one. */
static gboolean
raise_highest (QuinceMembership *membership, const QuincePeer *peer, const QuinceNodeDigest *digest)
{
  gboolean own_zone = quince_member_table_is_in_own_zone (membership, peer);
  gboolean raised = digest->policy_revision > membership->highest_revision
                    || digest->ledger_epoch > membership->highest_epoch
                    || (own_zone && digest->policy_revision > membership->highest_zone_revision);
  membership->highest_revision = MAX (membership->highest_revision, digest->policy_revision);
  membership->highest_epoch = MAX (membership->highest_epoch, digest->ledger_epoch);
  if (own_zone)
    membership->highest_zone_revision = MAX (membership->highest_zone_revision, digest->policy_revision);
  return raised;
}

void
quince_digest_table_drop (QuincePeer *peer)
{
  if (peer->digest != NULL)
    quince_xdr_free ((xdrproc_t)xdr_QuinceNodeDigest, peer->digest);
  peer->digest = NULL;
  peer->urgent_transmits = 0;
}

/* Puts @digest, already copied, in the place of the one held. */
static void
store (QuinceMembership *membership, QuincePeer *peer, QuinceNodeDigest *digest)
{
  gboolean urgent = raise_highest (membership, peer, digest);
  urgent = has_new_leaving (digest, peer->digest) || urgent;
  guint urgent_left = peer->urgent_transmits;

  quince_digest_table_drop (peer);
  peer->digest = digest;
  peer->digest_size = xdr_sizeof ((xdrproc_t)xdr_QuinceNodeDigest, digest);
  peer->digest_transmits = 0;
  peer->urgent_transmits = urgent_left;
  if (urgent)
    {
      peer->urgent_transmits = quince_member_table_view (membership)->rumor_limit;
      membership->push_due = TRUE;
    }
}

/* Leaving engines first, then those with the most grants. */
static int
compare_importance (gconstpointer a, gconstpointer b)
{
  const QuinceEngineDigest *first = a, *second = b;
  if (first->leaving != second->leaving)
    return first->leaving ? -1 : 1;
  return (first->granted < second->granted) - (first->granted > second->granted);
}

/* Drops the least important engines of an own digest that would not fit a datagram. */
static void
truncate_engines (QuinceNodeDigest *digest)
{
  if (xdr_sizeof ((xdrproc_t)xdr_QuinceNodeDigest, digest) <= QUINCE_GOSSIP_DIGEST_BYTES)
    return;
  qsort (digest->engines.engines_val, digest->engines.engines_len, sizeof (QuinceEngineDigest),
         compare_importance);
  while (digest->engines.engines_len > 0
         && xdr_sizeof ((xdrproc_t)xdr_QuinceNodeDigest, digest) > QUINCE_GOSSIP_DIGEST_BYTES)
    {
      digest->engines.engines_len--;
      g_free (digest->engines.engines_val[digest->engines.engines_len].engine);
    }
}

/* Readings are for who receives them from their node, and are not kept here. */
void
quince_digest_table_merge (QuinceMembership *membership, const QuinceNodeDigest *digest)
{
  if (digest->readings.readings_len > 0)
    return;
  QuincePeer *peer = quince_member_table_lookup (membership, digest->node);
  if (peer == NULL || peer == membership->self || peer->record.state == QUINCE_MEMBER_DEAD)
    return;
  if (!is_newer (digest, peer->digest))
    return;
  QuinceNodeDigest *copy = quince_xdr_copy ((xdrproc_t)xdr_QuinceNodeDigest, sizeof *digest, digest);
  if (copy != NULL)
    store (membership, peer, copy);
}

void
quince_digest_table_set_own (QuinceMembership *membership, const QuinceNodeDigest *digest)
{
  QuincePeer *self = membership->self;
  QuinceNodeDigest *copy = quince_xdr_copy ((xdrproc_t)xdr_QuinceNodeDigest, sizeof *digest, digest);
  if (copy == NULL)
    return;
  g_free (copy->node);
  copy->node = quince_string (self->record.name);
  copy->incarnation = self->record.incarnation;
  copy->sequence = ++membership->digest_sequence;
  truncate_engines (copy);
  store (membership, self, copy);
}
