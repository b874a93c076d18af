/*
 * replica-list.c: a set of replica ids.
 */
#include "core/group/replica-list.h"

gboolean
quince_replica_list_has (const GArray *replicas, guint64 replica)
{
  for (guint i = 0; i < replicas->len; i++)
    if (g_array_index (replicas, guint64, i) == replica)
      return TRUE;
  return FALSE;
}

void
quince_replica_list_add (GArray *replicas, guint64 replica)
{
  if (!quince_replica_list_has (replicas, replica))
    g_array_append_val (replicas, replica);
}
