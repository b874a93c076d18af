/*
 * standin-store.c: functions of the metadata store stand-in that tests call.
 */
#include "standin-store-private.h"

#include <string.h>

/* Short compared with leases and watch timeouts. */
#define EXPIRY_CHECK_INTERVAL_MS 20

static void
watch_free (gpointer data)
{
  StandinWatch *watch = data;
  g_free (watch->prefix);
  g_free (watch);
}

static gboolean
check_leases_and_watches (gpointer data)
{
  StandinStore *store = data;
  standin_store_remove_expired_leases (store);
  standin_store_check_watches (store);
  return G_SOURCE_CONTINUE;
}

StandinStore *
standin_store_new (void)
{
  StandinStore *store = g_new0 (StandinStore, 1);
  store->items = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, standin_item_free);
  store->history = g_ptr_array_new_with_free_func (standin_item_free);
  store->watches = g_ptr_array_new_with_free_func (watch_free);
  store->unanswered_calls = g_ptr_array_new ();
  store->leases = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  store->endless_writer = standin_endless_writer_new ();
  store->server = standin_server_new (standin_store_handle_call, store);
  store->clients = g_ptr_array_new_with_free_func (standin_store_client_free);
  store->timer = g_timeout_add (EXPIRY_CHECK_INTERVAL_MS, check_leases_and_watches, store);
  return store;
}

void
standin_store_free (StandinStore *store)
{
  g_source_remove (store->timer);
  standin_server_free (store->server);
  g_ptr_array_unref (store->clients);
  standin_endless_writer_free (store->endless_writer);
  for (guint i = 0; i < store->watches->len; i++)
    standin_call_finish (((StandinWatch *)store->watches->pdata[i])->call);
  for (guint i = 0; i < store->unanswered_calls->len; i++)
    standin_call_finish (store->unanswered_calls->pdata[i]);
  g_ptr_array_unref (store->unanswered_calls);
  g_ptr_array_unref (store->watches);
  g_ptr_array_unref (store->history);
  g_clear_pointer (&store->saved_items, g_ptr_array_unref);
  g_free (store->malformed_answer);
  g_hash_table_unref (store->items);
  g_hash_table_unref (store->leases);
  g_free (store);
}

const char *
standin_store_get_address (const StandinStore *store)
{
  return standin_server_get_address (store->server);
}

void
standin_store_put (StandinStore *store, const char *key, const char *value)
{
  g_autofree char *encoded = g_base64_encode ((const guchar *)value, strlen (value));
  standin_store_change (store, key, encoded, 0);
  standin_store_check_watches (store);
}

void
standin_store_remove (StandinStore *store, const char *key)
{
  standin_store_change (store, key, NULL, 0);
  standin_store_check_watches (store);
}

void
standin_store_set_fault (StandinStore *store, StandinStoreFault fault)
{
  store->fault = fault;
}

void
standin_store_set_endless_answer (StandinStore *store, const StandinEndlessAnswer *answer)
{
  store->endless_answer = answer;
}

const StandinEndlessWriter *
standin_store_get_endless_writer (const StandinStore *store)
{
  return store->endless_writer;
}

void
standin_store_set_malformed_answer (StandinStore *store, const char *body)
{
  g_free (store->malformed_answer);
  store->malformed_answer = g_strdup (body);
}

void
standin_store_compact (StandinStore *store)
{
  store->oldest_revision = store->revision + 1;
  store->revision++;
  g_ptr_array_set_size (store->history, 0);
  standin_store_close_all_connections (store);
  standin_store_check_watches (store);
}

void
standin_store_close_connections (StandinStore *store)
{
  standin_store_close_all_connections (store);
  standin_store_check_watches (store);
}

void
standin_store_set_watch_delay (StandinStore *store, guint delay_ms)
{
  store->watch_delay_us = (gint64)delay_ms * 1000;
}

void
standin_store_restore (StandinStore *store)
{
  g_hash_table_remove_all (store->items);
  for (guint i = 0; i < store->saved_items->len; i++)
    {
      StandinItem *item = standin_item_copy (store->saved_items->pdata[i]);
      g_hash_table_replace (store->items, item->key, item);
    }
  g_hash_table_remove_all (store->leases);
  store->revision = store->saved_revision;
  store->oldest_revision = store->revision;
  g_ptr_array_set_size (store->history, 0);
  standin_store_close_all_connections (store);
  standin_store_check_watches (store);
}

void
standin_store_expire_leases (StandinStore *store)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, store->leases);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((StandinLease *)value)->expires_us = 0;
  check_leases_and_watches (store);
}

guint
standin_store_get_n_list_calls (const StandinStore *store)
{
  return store->n_list_calls;
}

guint
standin_store_get_n_calls (const StandinStore *store)
{
  return store->n_calls;
}
