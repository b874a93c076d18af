/* ledger-files.h: the files of a ledger's folder, for tests that copy or remove them. */
#pragma once

#include <glib.h>
#include <glib/gstdio.h>

static const char *const ledger_file_names[] = { "ledger.sqlite", "ledger.sqlite-wal" };

/* Copies the files as they are, as if the machine had stopped at this moment. */
static inline void
ledger_files_copy (const char *from_folder, const char *to_folder)
{
  g_mkdir (to_folder, 0700);
  for (gsize i = 0; i < G_N_ELEMENTS (ledger_file_names); i++)
    {
      g_autofree char *from = g_build_filename (from_folder, ledger_file_names[i], NULL);
      g_autofree char *to = g_build_filename (to_folder, ledger_file_names[i], NULL);
      g_autofree char *data = NULL;
      gsize length = 0;

      g_remove (to);
      if (g_file_get_contents (from, &data, &length, NULL))
        g_file_set_contents (to, data, (gssize)length, NULL);
    }
}

static inline void
ledger_files_remove (const char *folder)
{
  for (gsize i = 0; i < G_N_ELEMENTS (ledger_file_names); i++)
    {
      g_autofree char *path = g_build_filename (folder, ledger_file_names[i], NULL);

      g_remove (path);
    }
  g_rmdir (folder);
}
