/*
 * ledger-recipients.c: which of the linked replicas the leader sends its records to.
 *
 * Every machine with a disk links to the leader; only the members of the view must have the log.  A few spare
 * replicas are kept at its end, so that the place of a lost member is taken at once; the others get
 * heartbeats alone.
 */
#include "ledger-group-private.h"

static gint
compare_spares (gconstpointer a, gconstpointer b)
{
  const QuinceLedgerPeer *first = *(const QuinceLedgerPeer *const *)a;
  const QuinceLedgerPeer *second = *(const QuinceLedgerPeer *const *)b;
  if (first->last_index != second->last_index)
    return first->last_index > second->last_index ? -1 : 1;
  return first->replica < second->replica ? -1 : first->replica > second->replica;
}

static gboolean
may_be_spare (const QuinceLedgerGroup *group, gint64 now_us, const QuinceLedgerPeer *peer)
{
  gboolean leaving = quince_ledger_group_is_leaving (group, peer->node);
  /* One that has not answered yet may do so; one that has and does not any more is of no use. */
  gboolean silent = peer->acked_us > 0 && now_us - peer->acked_us > group->limits.member_silence_us;
  return !leaving && !silent;
}

/* How many of @recipients are in the zone of @peer. */
static guint
count_in_zone (const QuinceLedgerGroup *group, const GArray *recipients, const QuinceLedgerPeer *peer)
{
  const char *zone = g_hash_table_lookup (group->zones, &peer->replica);
  guint count = 0;
  for (guint i = 0; zone != NULL && i < recipients->len; i++)
    count
        += g_strcmp0 (g_hash_table_lookup (group->zones, &g_array_index (recipients, guint64, i)), zone) == 0;
  return count;
}

/* The first of @spares in the zone with fewest recipients: a member of a lost zone is replaced from another
 * one. */
static guint
choose_spare (const QuinceLedgerGroup *group, const GArray *recipients, const GPtrArray *spares)
{
  guint best = 0;
  for (guint i = 1; quince_ledger_group_is_zone_aware (group) && i < spares->len; i++)
    if (count_in_zone (group, recipients, spares->pdata[i])
        < count_in_zone (group, recipients, spares->pdata[best]))
      best = i;
  return best;
}

void
quince_ledger_group_choose_recipients (const QuinceLedgerGroup *group, gint64 now_us, GArray *recipients)
{
  g_autoptr (GPtrArray) spares = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, group->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      QuinceLedgerPeer *peer = value;
      if (quince_ledger_view_find (group->view, peer->replica) != NULL)
        g_array_append_val (recipients, peer->replica);
      else if (may_be_spare (group, now_us, peer))
        g_ptr_array_add (spares, peer);
    }
  g_ptr_array_sort (spares, compare_spares);
  guint members = group->view->members.members_len;
  guint vacancies = group->limits.members_max > members ? group->limits.members_max - members : 0;
  guint spares_max = vacancies + group->limits.quorum;
  for (guint i = 0; spares->len > 0 && i < spares_max; i++)
    {
      const QuinceLedgerPeer *spare
          = g_ptr_array_steal_index (spares, choose_spare (group, recipients, spares));
      g_array_append_val (recipients, spare->replica);
    }
}
