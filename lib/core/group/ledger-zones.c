/*
 * ledger-zones.c: spreads the members over zones, so that a quorum survives the loss of a zone.
 *
 * A zone has at most as many members as the group can lose, so each acknowledged record is in at least two
 * zones.
 */
#include "ledger-group-private.h"

void
quince_ledger_group_set_zone (QuinceLedgerGroup *group, guint64 replica, const char *zone)
{
  g_hash_table_replace (group->zones, g_memdup2 (&replica, sizeof replica), g_strdup (zone));
}

const char *
quince_ledger_group_get_zone (const QuinceLedgerGroup *group, guint64 replica)
{
  return g_hash_table_lookup (group->zones, &replica);
}

guint
quince_ledger_group_count_in_zone (const QuinceLedgerGroup *group,
                                   const QuinceLedgerView *view,
                                   guint64 replica)
{
  const char *zone = quince_ledger_group_get_zone (group, replica);
  guint count = 0;
  for (guint i = 0; zone != NULL && i < view->members.members_len; i++)
    count
        += g_strcmp0 (quince_ledger_group_get_zone (group, view->members.members_val[i].replica), zone) == 0;
  return count;
}

gboolean
quince_ledger_group_is_zone_aware (const QuinceLedgerGroup *group)
{
  return group->limits.zone_losses > 0;
}

guint
quince_ledger_group_get_members_per_zone_max (const QuinceLedgerGroup *group)
{
  guint lost_members_max = group->limits.members_max - group->limits.quorum;
  return MAX (lost_members_max / MAX (group->limits.zone_losses, 1), 1);
}
