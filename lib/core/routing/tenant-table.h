/*
 * tenant-table.h: the tenants of a configuration, found by name or by API key.
 *
 * The table stores no API keys, only their HMAC-SHA-256 digests, computed with the configuration's salt.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/* The tenant has no priority of its own; the priority of the route applies. */
#define QUINCE_TENANT_NO_PRIORITY (-1)

typedef struct
{
  char *name;
  gint priority;  /* overrides the route's, 0 is highest; or QUINCE_TENANT_NO_PRIORITY */
  char **regions; /* regions that may serve the tenant's requests, NULL-terminated; NULL: all */
} QuinceTenant;

typedef struct _QuinceTenantTable QuinceTenantTable;

/* Returns the HMAC-SHA-256 digest of @key with @salt as its secret, in hexadecimal. (transfer full) */
char *quince_tenant_key_digest (const char *salt, const char *key);

/* @salt: the salt with which the digests added to this table were computed; copied */
QuinceTenantTable *quince_tenant_table_new (const char *salt);
void quince_tenant_table_free (QuinceTenantTable *table);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceTenantTable, quince_tenant_table_free)
/* Adds a tenant and returns it; returns an existing tenant of that name unchanged. (transfer none) */
const QuinceTenant *quince_tenant_table_add (QuinceTenantTable *table, const char *name, gint priority);
/* Sets the regions that may serve the requests of @tenant, a tenant of this table.
 * @regions: (transfer full) (nullable): %NULL-terminated; %NULL: all regions */
void quince_tenant_table_set_regions (QuinceTenantTable *table, const QuinceTenant *tenant, char **regions);
/* Assigns an API key, given by its digest, to @tenant, a tenant of this table.  Replaces an earlier
 * assignment of the same digest. */
void
quince_tenant_table_add_digest (QuinceTenantTable *table, const QuinceTenant *tenant, const char *digest);
/* Returns the tenant to which the API key @key belongs, or %NULL if it is unknown. (transfer none) */
const QuinceTenant *quince_tenant_table_find_by_key (const QuinceTenantTable *table, const char *key);
/* Returns the tenant named @name, or %NULL. (transfer none) */
const QuinceTenant *quince_tenant_table_find (const QuinceTenantTable *table, const char *name);
/* Returns all tenants, in no particular order. (transfer container) (element-type QuinceTenant) */
GPtrArray *quince_tenant_table_list (const QuinceTenantTable *table);

G_END_DECLS
