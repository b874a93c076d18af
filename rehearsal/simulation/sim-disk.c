/*
 * sim-disk.c: what a ledger replica keeps through its lives.
 */
#include "model.h"

void
sim_disk_clear (SimDisk *disk)
{
  g_clear_pointer (&disk->snapshot_voters, quince_replica_set_free);
  g_clear_pointer (&disk->snapshot, g_bytes_unref);
  if (disk->entries != NULL)
    g_ptr_array_unref (disk->entries);
  *disk = (SimDisk){ 0 };
}

void
sim_disk_put_entries (SimDisk *disk, GPtrArray *entries)
{
  if (entries->len == 0)
    return;
  guint64 first = ((QuinceEntry *)entries->pdata[0])->index;
  while (disk->entries->len > 0
         && ((QuinceEntry *)disk->entries->pdata[disk->entries->len - 1])->index >= first)
    g_ptr_array_remove_index (disk->entries, disk->entries->len - 1);
  for (guint i = 0; i < entries->len; i++)
    g_ptr_array_add (disk->entries, quince_entry_copy (entries->pdata[i]));
}

void
sim_disk_put_snapshot (SimDisk *disk,
                       guint64 index,
                       guint64 epoch,
                       const QuinceReplicaSet *voters,
                       GBytes *data,
                       gboolean replace)
{
  disk->snapshot_index = index;
  disk->snapshot_epoch = epoch;
  g_clear_pointer (&disk->snapshot_voters, quince_replica_set_free);
  disk->snapshot_voters = quince_replica_set_copy (voters);
  g_clear_pointer (&disk->snapshot, g_bytes_unref);
  disk->snapshot = g_bytes_ref (data);
  while (disk->entries->len > 0 && (replace || ((QuinceEntry *)disk->entries->pdata[0])->index <= index))
    g_ptr_array_remove_index (disk->entries, 0);
}
