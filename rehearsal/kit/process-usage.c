/*
 * process-usage.c: reads the memory and the descriptors of a child process from /proc.
 */
#include "process-usage.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Start of the target of a socket's link, as in "socket:[12345]". */
#define SOCKET_LINK_PREFIX "socket:["
/* Longest target of a descriptor's link that is read; those of sockets are much shorter. */
#define LINK_TARGET_MAX_BYTES 64

/* Returns the value of @field in /proc/PID/status, in bytes; 0 if it is missing. */
static guint64
parse_status_field (const char *text, const char *field)
{
  guint64 kibibytes = 0;
  const char *line = strstr (text, field);
  if (line != NULL)
    sscanf (line + strlen (field), " %" G_GUINT64_FORMAT, &kibibytes);
  return kibibytes * 1024;
}

static gboolean
read_memory (GPid pid, QuinceProcessUsage *usage)
{
  g_autofree char *path = g_strdup_printf ("/proc/%d/status", pid);
  g_autofree char *text = NULL;
  if (!g_file_get_contents (path, &text, NULL, NULL))
    return FALSE;
  usage->resident_bytes = parse_status_field (text, "VmRSS:");
  usage->peak_resident_bytes = parse_status_field (text, "VmHWM:");
  return TRUE;
}

/* Counts the descriptors and adds the inodes of the sockets to @sockets, a set of guint64. */
static void
read_descriptors (GPid pid, GHashTable *sockets, QuinceProcessUsage *usage)
{
  g_autofree char *folder = g_strdup_printf ("/proc/%d/fd", pid);
  g_autoptr (GDir) descriptors = g_dir_open (folder, 0, NULL);
  const char *name;
  while (descriptors != NULL && (name = g_dir_read_name (descriptors)) != NULL)
    {
      g_autofree char *path = g_build_filename (folder, name, NULL);
      char target[LINK_TARGET_MAX_BYTES + 1] = "";
      guint64 inode = 0;
      usage->n_descriptors++;
      if (readlink (path, target, LINK_TARGET_MAX_BYTES) > 0
          && sscanf (target, SOCKET_LINK_PREFIX "%" G_GUINT64_FORMAT, &inode) == 1)
        g_hash_table_add (sockets, g_memdup2 (&inode, sizeof inode));
    }
  usage->n_sockets = g_hash_table_size (sockets);
}

/* Adds the bytes that wait in @sockets. */
static void
read_unread_bytes (GPid pid, GHashTable *sockets, QuinceProcessUsage *usage)
{
  g_autofree char *path = g_strdup_printf ("/proc/%d/net/tcp", pid);
  g_autofree char *text = NULL;
  if (!g_file_get_contents (path, &text, NULL, NULL))
    return;
  g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
  for (guint i = 0; lines[i] != NULL; i++)
    {
      guint state = 0, received = 0;
      guint64 inode = 0;
      /* sl local remote state sent:received timer retransmits uid timeout inode */
      if (sscanf (lines[i], "%*s %*s %*s %x %*x:%x %*s %*s %*s %*s %" G_GUINT64_FORMAT, &state, &received,
                  &inode)
              == 3
          && g_hash_table_contains (sockets, &inode))
        usage->unread_bytes += received;
    }
}

gboolean
quince_process_read_usage (QuinceProcess *process, QuinceProcessUsage *usage)
{
  *usage = (QuinceProcessUsage){ 0 };
  GPid pid = quince_process_get_pid (process);
  if (!quince_process_is_running (process) || !read_memory (pid, usage))
    return FALSE;
  g_autoptr (GHashTable) sockets = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  read_descriptors (pid, sockets, usage);
  read_unread_bytes (pid, sockets, usage);
  return TRUE;
}
