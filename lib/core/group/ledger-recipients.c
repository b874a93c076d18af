/*
 * ledger-recipients.c: chooses the linked replicas that the leader sends its records to.
 *
 * Every machine with a disk links to the leader, but only the members of views that may be in force need the
 * log.  A few spare replicas receive all records too, so that one of them can replace a lost member
 * immediately. The others receive only heartbeats.
 */
#include "ledger-group-private.h"

/* Sorts by the length of the log, longest first, then by replica id. */
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
  gboolean leaving = quince_ledger_group_is_node_excluded (group, peer->node);
  /* A replica that has never acknowledged a message is not silent: it may just have linked. */
  gboolean silent = peer->acked_sent_us > 0 && now_us - peer->acked_sent_us > group->limits.member_timeout_us;
  return !leaving && !silent;
}

/* Returns how many of @recipients are in the zone of @peer; 0 if its zone is not known. */
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

/* Returns the index in @spares of the first one whose zone has the fewest recipients, so that members of a
 * lost zone can be replaced by replicas of another zone.  Without zone awareness, returns 0. */
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
      if (quince_ledger_group_is_in_any_view (group, peer->replica))
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
