/*
 * tenant-table.h: the tenants of a configuration, and the tenant of an API key.
 *
 * Holds HMAC-SHA-256 digests of keys under the salt of their configuration, never the keys.  Pure.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/* Priority of a tenant without one: that of the route counts. */
#define QUINCE_TENANT_NO_PRIORITY (-1)

typedef struct
{
  char *name;
  gint priority;  /* 0 first; overrides that of the route; or QUINCE_TENANT_NO_PRIORITY */
  char **regions; /* where its requests may be served, NULL-terminated; NULL: anywhere */
} QuinceTenant;

typedef struct _QuinceTenantTable QuinceTenantTable;

/* (transfer full): the digest of @key under @salt, in hexadecimal. */
char *quince_tenant_key_digest (const char *salt, const char *key);

/* @salt: the one under which the digests of this table were made */
QuinceTenantTable *quince_tenant_table_new (const char *salt);
void quince_tenant_table_free (QuinceTenantTable *table);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceTenantTable, quince_tenant_table_free)
/* Adds a tenant, or returns the one of that name. (transfer none) */
const QuinceTenant *quince_tenant_table_add (QuinceTenantTable *table, const char *name, gint priority);
/* (transfer full) (nullable): @regions: where requests of @tenant, which is one of this table's, may be
 * served */
void quince_tenant_table_set_regions (QuinceTenantTable *table, const QuinceTenant *tenant, char **regions);
/* Adds the digest of a key of @tenant, which is one of this table's. */
void
quince_tenant_table_add_digest (QuinceTenantTable *table, const QuinceTenant *tenant, const char *digest);
/* The tenant that API key @key belongs to. (transfer none) (nullable): %NULL: none */
const QuinceTenant *quince_tenant_table_find_by_key (const QuinceTenantTable *table, const char *key);
/* (transfer none) (nullable) */
const QuinceTenant *quince_tenant_table_find (const QuinceTenantTable *table, const char *name);
/* (transfer container) (element-type QuinceTenant): all, in no order */
GPtrArray *quince_tenant_table_list (const QuinceTenantTable *table);

G_END_DECLS
