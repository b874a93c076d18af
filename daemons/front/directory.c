/*
 * directory.c: the list of fronts that callers may use.
 *
 * The key of a serving front may disappear because its lease expired during an outage of the store, so such a
 * front stays listed for a while.  A front that announces its planned stop is removed immediately.  Silent
 * fronts are not listed.
 *
 * Callers choose a listed front at random, so fronts of other regions are listed only if no nearer front is
 * available.
 */
#include "directory.h"

#include <string.h>

#include "runtime/log.h"

/* Time for which a front stays listed after its key was removed, us, if its lease may have expired only
 * because of an outage of the store.  A running front writes its key again within a second once the store
 * answers. */
#define REMOVED_RETENTION_US (4 * G_USEC_PER_SEC)
/* Time for which the leader's list of silent fronts is valid, us.  The leader sends it with every heartbeat.
 * Longer than the election of a new leader, which takes about 1.2 s. */
#define SILENT_TTL_US (5 * G_USEC_PER_SEC)
/* Maximum number of addresses in one answer, which keeps it small with hundreds of fronts. */
#define ADDRESSES_MAX 64
/* The entry of a front in the metadata store is "STATE ADDRESS ZONE". */
#define ENTRY_SEPARATOR " "
#define N_ENTRY_FIELDS 3 /* an entry with fewer fields is refused */
#define STATE_LEAVING "leaving"
#define STATE_SERVING "serving"

typedef struct
{
  char *name;
  char *address;
  char *zone;
  gint64 removed_us; /* when its key was removed, monotonic; 0: the key exists */
} Front;

struct _QuinceDirectory
{
  /* All fields belong to the main context. */
  GHashTable *fronts;       /* name to Front, owned; without this front */
  GHashTable *silent;       /* set of names, owned: fronts that answer no heartbeat */
  gint64 silent_expires_us; /* when the set of silent fronts expires, monotonic */
  Front self;
  gboolean serving;
  const QuinceTopology *topology;
};

static void
front_free (gpointer data)
{
  Front *front = data;
  g_free (front->name);
  g_free (front->address);
  g_free (front->zone);
  g_free (front);
}

QuinceDirectory *
quince_directory_new (const char *own_name, const char *own_address, const QuinceTopology *topology)
{
  QuinceDirectory *directory = g_new0 (QuinceDirectory, 1);
  directory->fronts = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, front_free);
  directory->silent = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  directory->self.name = g_strdup (own_name);
  directory->self.address = g_strdup (own_address);
  directory->self.zone = g_strdup (quince_topology_get_own_zone (topology));
  directory->topology = topology;
  return directory;
}

void
quince_directory_free (QuinceDirectory *directory)
{
  if (directory == NULL)
    return;
  g_hash_table_unref (directory->fronts);
  g_hash_table_unref (directory->silent);
  g_free (directory->self.name);
  g_free (directory->self.address);
  g_free (directory->self.zone);
  g_free (directory);
}

void
quince_directory_set_serving (QuinceDirectory *directory, gboolean serving)
{
  directory->serving = serving;
}

GBytes *
quince_directory_format_entry (const char *address, const char *zone, gboolean leaving)
{
  char *text = g_strjoin (ENTRY_SEPARATOR, leaving ? STATE_LEAVING : STATE_SERVING, address, zone, NULL);
  return g_bytes_new_take (text, strlen (text));
}

static void
handle_key_removal (QuinceDirectory *directory,
                    gint64 now_us,
                    const char *name,
                    gboolean lease_may_have_lapsed)
{
  if (!lease_may_have_lapsed)
    {
      g_hash_table_remove (directory->fronts, name);
      return;
    }
  Front *front = g_hash_table_lookup (directory->fronts, name);
  if (front != NULL && front->removed_us == 0)
    front->removed_us = now_us;
}

void
quince_directory_apply_entry (QuinceDirectory *directory,
                              gint64 now_us,
                              const char *name,
                              GBytes *entry,
                              gboolean lease_may_have_lapsed)
{
  if (g_str_equal (name, directory->self.name))
    return;
  if (entry == NULL)
    {
      handle_key_removal (directory, now_us, name, lease_may_have_lapsed);
      return;
    }
  g_autofree char *text = g_strndup (g_bytes_get_data (entry, NULL), g_bytes_get_size (entry));
  g_auto (GStrv) fields = g_strsplit (text, ENTRY_SEPARATOR, N_ENTRY_FIELDS);
  if (g_strv_length (fields) != N_ENTRY_FIELDS)
    {
      quince_log_warning ("entry_refused", "what=front front=%s reason=fields", name);
      return;
    }
  quince_log_info ("front_changed", "front=%s state=%s", name, fields[0]);
  if (g_str_equal (fields[0], STATE_LEAVING))
    {
      g_hash_table_remove (directory->fronts, name);
      return;
    }
  Front *front = g_new0 (Front, 1);
  front->name = g_strdup (name);
  front->address = g_strdup (fields[1]);
  front->zone = g_strdup (fields[2]);
  g_hash_table_replace (directory->fronts, front->name, front);
}

static void
remove_expired_fronts (QuinceDirectory *directory, gint64 now_us)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, directory->fronts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Front *front = value;
      if (front->removed_us != 0 && now_us - front->removed_us > REMOVED_RETENTION_US)
        g_hash_table_iter_remove (&iter);
    }
}

void
quince_directory_set_silent_fronts (QuinceDirectory *directory,
                                    gint64 now_us,
                                    const char *const *names,
                                    guint n_names)
{
  g_hash_table_remove_all (directory->silent);
  for (guint i = 0; i < n_names; i++)
    g_hash_table_add (directory->silent, g_strdup (names[i]));
  directory->silent_expires_us = now_us + SILENT_TTL_US;
}

static gboolean
is_silent (const QuinceDirectory *directory, gint64 now_us, const Front *front)
{
  return now_us < directory->silent_expires_us && g_hash_table_contains (directory->silent, front->name);
}

/* Addresses (not owned) of available fronts, by their distance from a caller. */
typedef struct
{
  GPtrArray *same_zone;
  GPtrArray *same_region;
  GPtrArray *other_regions;
} FrontsByDistance;

static void
add_front (const QuinceDirectory *directory,
           const Front *front,
           const char *zone,
           const char *region,
           FrontsByDistance *by_distance)
{
  const char *front_region = quince_topology_get_region (directory->topology, front->zone);
  if (g_strcmp0 (front->zone, zone) == 0)
    g_ptr_array_add (by_distance->same_zone, front->address);
  else if (region != NULL && g_strcmp0 (front_region, region) == 0)
    g_ptr_array_add (by_distance->same_region, front->address);
  else
    g_ptr_array_add (by_distance->other_regions, front->address);
}

static void
collect_available (QuinceDirectory *directory,
                   gint64 now_us,
                   const char *zone,
                   const char *region,
                   FrontsByDistance *by_distance)
{
  if (directory->serving)
    add_front (directory, &directory->self, zone, region, by_distance);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, directory->fronts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (!is_silent (directory, now_us, value))
      add_front (directory, value, zone, region, by_distance);
}

char **
quince_directory_list (QuinceDirectory *directory, gint64 now_us, const char *zone, const char *region)
{
  remove_expired_fronts (directory, now_us);
  if ((region == NULL || *region == '\0') && zone != NULL)
    region = quince_topology_get_region (directory->topology, zone);
  g_autoptr (GPtrArray) addresses = g_ptr_array_new ();
  FrontsByDistance by_distance
      = { .same_zone = addresses, .same_region = g_ptr_array_new (), .other_regions = g_ptr_array_new () };
  collect_available (directory, now_us, zone, region, &by_distance);
  g_ptr_array_extend_and_steal (addresses, by_distance.same_region);
  if (region == NULL || addresses->len == 0)
    g_ptr_array_extend (addresses, by_distance.other_regions, NULL, NULL);
  g_ptr_array_unref (by_distance.other_regions);
  g_ptr_array_set_size (addresses, (gint)MIN (addresses->len, ADDRESSES_MAX));
  g_ptr_array_add (addresses, NULL);
  return g_strdupv ((char **)addresses->pdata);
}

guint
quince_directory_get_size (QuinceDirectory *directory, gint64 now_us)
{
  remove_expired_fronts (directory, now_us);
  return g_hash_table_size (directory->fronts) + (directory->serving ? 1 : 0);
}
