/*
 * standin-store-clients.c: clients of the metadata store stand-in, each with an address and counts of its
 * own.
 */
#include "standin-store-private.h"

void
standin_store_client_free (gpointer data)
{
  StandinStoreClient *client = data;
  standin_server_free (client->server);
  g_hash_table_unref (client->list_counts);
  g_free (client->name);
  g_free (client);
}

/* Returns: (nullable): the client @name, or NULL if it has no address yet */
static const StandinStoreClient *
find_client (const StandinStore *store, const char *name)
{
  for (guint i = 0; i < store->clients->len; i++)
    {
      const StandinStoreClient *client = store->clients->pdata[i];
      if (g_str_equal (client->name, name))
        return client;
    }
  return NULL;
}

const char *
standin_store_get_client_address (StandinStore *store, const char *name)
{
  const StandinStoreClient *known = find_client (store, name);
  if (known != NULL)
    return standin_server_get_address (known->server);
  StandinStoreClient *client = g_new0 (StandinStoreClient, 1);
  client->name = g_strdup (name);
  client->server = standin_server_new (standin_store_handle_call, store);
  client->list_counts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_ptr_array_add (store->clients, client);
  return standin_server_get_address (client->server);
}

void
standin_store_count_client_list (StandinStore *store, const StandinCall *call, const char *prefix)
{
  for (guint i = 0; i < store->clients->len; i++)
    {
      const StandinStoreClient *client = store->clients->pdata[i];
      if (client->server != call->server)
        continue;
      guint count = GPOINTER_TO_UINT (g_hash_table_lookup (client->list_counts, prefix));
      g_hash_table_insert (client->list_counts, g_strdup (prefix), GUINT_TO_POINTER (count + 1));
    }
}

static guint
count_all_lists (const StandinStoreClient *client)
{
  guint total = 0;
  GHashTableIter iter;
  gpointer count;
  g_hash_table_iter_init (&iter, client->list_counts);
  while (g_hash_table_iter_next (&iter, NULL, &count))
    total += GPOINTER_TO_UINT (count);
  return total;
}

guint
standin_store_get_n_client_lists (const StandinStore *store, const char *name, const char *prefix)
{
  const StandinStoreClient *client = find_client (store, name);
  g_assert_nonnull (client);
  if (prefix == NULL)
    return count_all_lists (client);
  return GPOINTER_TO_UINT (g_hash_table_lookup (client->list_counts, prefix));
}

void
standin_store_close_all_connections (StandinStore *store)
{
  standin_server_close_connections (store->server);
  for (guint i = 0; i < store->clients->len; i++)
    standin_server_close_connections (((const StandinStoreClient *)store->clients->pdata[i])->server);
}
