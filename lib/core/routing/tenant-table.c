/*
 * tenant-table.c: finds tenants by name and by the digests of their API keys.
 */
#include "core/routing/tenant-table.h"

#include <string.h>

struct _QuinceTenantTable
{
  char *salt;
  GHashTable *by_name;   /* tenant name to QuinceTenant, which is owned */
  GHashTable *by_digest; /* digest, which is owned, to QuinceTenant, which by_name owns */
};

static void
free_tenant (gpointer data)
{
  QuinceTenant *tenant = data;
  g_free (tenant->name);
  g_strfreev (tenant->regions);
  g_free (tenant);
}

char *
quince_tenant_key_digest (const char *salt, const char *key)
{
  return g_compute_hmac_for_string (G_CHECKSUM_SHA256, (const guchar *)salt, strlen (salt), key, -1);
}

/* Compares strings of equal length in constant time, which prevents timing attacks on the digests. */
static gboolean
digests_equal (gconstpointer first, gconstpointer second)
{
  const char *a = first;
  const char *b = second;
  gsize length = strlen (a);
  if (strlen (b) != length)
    return FALSE;
  guchar difference = 0;
  for (gsize i = 0; i < length; i++)
    difference |= (guchar)a[i] ^ (guchar)b[i];
  return difference == 0;
}

QuinceTenantTable *
quince_tenant_table_new (const char *salt)
{
  QuinceTenantTable *table = g_new0 (QuinceTenantTable, 1);
  table->salt = g_strdup (salt);
  table->by_name = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_tenant);
  table->by_digest = g_hash_table_new_full (g_str_hash, digests_equal, g_free, NULL);
  return table;
}

void
quince_tenant_table_free (QuinceTenantTable *table)
{
  if (table == NULL)
    return;
  g_hash_table_unref (table->by_digest);
  g_hash_table_unref (table->by_name);
  g_free (table->salt);
  g_free (table);
}

const QuinceTenant *
quince_tenant_table_add (QuinceTenantTable *table, const char *name, gint priority)
{
  const QuinceTenant *existing = quince_tenant_table_find (table, name);
  if (existing != NULL)
    return existing;
  QuinceTenant *tenant = g_new0 (QuinceTenant, 1);
  tenant->name = g_strdup (name);
  tenant->priority = priority;
  g_hash_table_insert (table->by_name, tenant->name, tenant);
  return tenant;
}

void
quince_tenant_table_set_regions (QuinceTenantTable *table, const QuinceTenant *tenant, char **regions)
{
  QuinceTenant *stored = g_hash_table_lookup (table->by_name, tenant->name);
  g_strfreev (stored->regions);
  stored->regions = regions;
}

void
quince_tenant_table_add_digest (QuinceTenantTable *table, const QuinceTenant *tenant, const char *digest)
{
  g_hash_table_replace (table->by_digest, g_strdup (digest), (gpointer)tenant);
}

const QuinceTenant *
quince_tenant_table_find_by_key (const QuinceTenantTable *table, const char *key)
{
  g_autofree char *digest = quince_tenant_key_digest (table->salt, key);
  return g_hash_table_lookup (table->by_digest, digest);
}

const QuinceTenant *
quince_tenant_table_find (const QuinceTenantTable *table, const char *name)
{
  return g_hash_table_lookup (table->by_name, name);
}

GPtrArray *
quince_tenant_table_list (const QuinceTenantTable *table)
{
  GPtrArray *tenants = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer tenant;
  g_hash_table_iter_init (&iter, table->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &tenant))
    g_ptr_array_add (tenants, tenant);
  return tenants;
}
