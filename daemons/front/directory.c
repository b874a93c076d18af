/*
 * directory.c: which fronts callers are told to use.
 *
 * A front whose key vanished without its word may only have been forgotten by the store during an outage, so
 * it stays for a while; one that said it leaves goes at once.  One that answers no heartbeat of the ledger's
 * leader is left out of the answers as long as that lasts.
 */
#include "directory.h"

#include <string.h>

#include <quince/log.h>

#define VANISHED_KEEP_US (4 * G_USEC_PER_SEC)
/* What a leader said of silent fronts holds so long; it says it several times a second. */
#define SILENT_KEEP_US (5 * G_USEC_PER_SEC)
#define ANSWERS_MOST 64
#define SEPARATOR " "
#define WORD_LEAVING "leaving"
#define WORD_SERVING "serving"

typedef struct
{
  char *name;
  char *address;
  char *zone;
  gint64 vanished_us; /* 0: its key is there */
} Front;

struct _QuinceDirectory
{
  GHashTable *fronts; /* Front by name, owned; this one is not among them */
  GHashTable *silent; /* names */
  gint64 silent_until_us;
  Front self;
  gboolean serving;
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
quince_directory_new (const char *own_name, const char *own_address, const char *own_zone)
{
  QuinceDirectory *directory = g_new0 (QuinceDirectory, 1);
  directory->fronts = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, front_free);
  directory->silent = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  directory->self.name = g_strdup (own_name);
  directory->self.address = g_strdup (own_address);
  directory->self.zone = g_strdup (own_zone);
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
  char *text = g_strjoin (SEPARATOR, leaving ? WORD_LEAVING : WORD_SERVING, address, zone, NULL);
  return g_bytes_new_take (text, strlen (text));
}

static void
front_vanished (QuinceDirectory *directory, gint64 now_us, const char *name, gboolean may_be_lapse)
{
  if (!may_be_lapse)
    {
      g_hash_table_remove (directory->fronts, name);
      return;
    }
  Front *front = g_hash_table_lookup (directory->fronts, name);
  if (front != NULL && front->vanished_us == 0)
    front->vanished_us = now_us;
}

void
quince_directory_take_entry (QuinceDirectory *directory,
                             gint64 now_us,
                             const char *name,
                             GBytes *entry,
                             gboolean may_be_lapse)
{
  if (g_str_equal (name, directory->self.name))
    return;
  if (entry == NULL)
    {
      front_vanished (directory, now_us, name, may_be_lapse);
      return;
    }
  g_autofree char *text = g_strndup (g_bytes_get_data (entry, NULL), g_bytes_get_size (entry));
  g_auto (GStrv) words = g_strsplit (text, SEPARATOR, 3);
  if (g_strv_length (words) != 3)
    return;
  quince_log_info ("front_changed", "front=%s state=%s", name, words[0]);
  if (g_str_equal (words[0], WORD_LEAVING))
    {
      g_hash_table_remove (directory->fronts, name);
      return;
    }
  Front *front = g_new0 (Front, 1);
  front->name = g_strdup (name);
  front->address = g_strdup (words[1]);
  front->zone = g_strdup (words[2]);
  g_hash_table_replace (directory->fronts, front->name, front);
}

static void
forget_vanished (QuinceDirectory *directory, gint64 now_us)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, directory->fronts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Front *front = value;
      if (front->vanished_us != 0 && now_us - front->vanished_us > VANISHED_KEEP_US)
        g_hash_table_iter_remove (&iter);
    }
}

void
quince_directory_set_silent (QuinceDirectory *directory,
                             gint64 now_us,
                             const char *const *names,
                             guint n_names)
{
  g_hash_table_remove_all (directory->silent);
  for (guint i = 0; i < n_names; i++)
    g_hash_table_add (directory->silent, g_strdup (names[i]));
  directory->silent_until_us = now_us + SILENT_KEEP_US;
}

static gboolean
is_silent (const QuinceDirectory *directory, gint64 now_us, const Front *front)
{
  return now_us < directory->silent_until_us && g_hash_table_contains (directory->silent, front->name);
}

char **
quince_directory_list (QuinceDirectory *directory, gint64 now_us, const char *zone)
{
  forget_vanished (directory, now_us);
  g_autoptr (GPtrArray) near = g_ptr_array_new ();
  GPtrArray *far = g_ptr_array_new ();
  if (directory->serving)
    g_ptr_array_add (g_strcmp0 (directory->self.zone, zone) == 0 ? near : far,
                     g_strdup (directory->self.address));
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, directory->fronts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Front *front = value;
      if (is_silent (directory, now_us, front))
        continue;
      g_ptr_array_add (g_strcmp0 (front->zone, zone) == 0 ? near : far, g_strdup (front->address));
    }
  g_ptr_array_extend (near, far, NULL, NULL);
  g_ptr_array_unref (far);
  while (near->len > ANSWERS_MOST)
    g_free (g_ptr_array_steal_index (near, near->len - 1));
  g_ptr_array_add (near, NULL);
  return (char **)g_ptr_array_free (g_steal_pointer (&near), FALSE);
}

guint
quince_directory_get_size (QuinceDirectory *directory, gint64 now_us)
{
  forget_vanished (directory, now_us);
  return g_hash_table_size (directory->fronts) + (directory->serving ? 1 : 0);
}
