/*
 * standin-store-private.h: state of the metadata store stand-in.
 *
 * standin-store-data.c keeps keys and leases, standin-store-calls.c answers calls and watches,
 * standin-store-clients.c counts the calls of each client, and standin-store.c implements the other functions
 * that tests call.
 */
#pragma once

#include "standin-store.h"

typedef struct
{
  char *key;
  char *value; /* base64; NULL: the key was removed */
  guint64 revision;
  guint64 lease_id;
  gint64 changed_us; /* monotonic time of the change */
} StandinItem;

typedef struct
{
  StandinCall *call;
  char *prefix;
  guint64 after_revision;
  gint64 deadline_us;
} StandinWatch;

typedef struct
{
  guint64 id;
  gint64 ttl_us;
  gint64 expires_us;
} StandinLease;

typedef struct
{
  char *name;
  StandinServer *server;   /* owned */
  GHashTable *list_counts; /* prefix to the number of list calls, as GUINT_TO_POINTER */
} StandinStoreClient;

struct _StandinStore
{
  StandinServer *server;
  GPtrArray *clients; /* StandinStoreClient, owned */
  GHashTable *items;  /* StandinItem by key, owned */
  GPtrArray *history; /* StandinItem, owned: all changes after oldest_revision */
  GPtrArray *watches;
  GPtrArray *unanswered_calls; /* StandinCall, owned: received while the store was unresponsive */
  GHashTable *leases;
  GPtrArray *saved_items; /* StandinItem, owned; NULL: nothing is saved */
  guint64 saved_revision;
  gint64 watch_delay_us;
  guint64 revision;
  guint64 oldest_revision;
  guint64 last_lease_id;
  StandinStoreFault fault;
  char *malformed_answer;
  const StandinEndlessAnswer *endless_answer; /* NULL: none */
  StandinEndlessWriter *endless_writer;
  guint n_calls;
  guint n_list_calls; /* list calls among n_calls; each page is one */
  guint timer;
};

void standin_item_free (gpointer item);
/* Returns a copy of @item (transfer full). */
StandinItem *standin_item_copy (const StandinItem *item);
/* Writes the base64 text @encoded to @key, or removes @key if @encoded is NULL, at the next revision.  The
 * caller calls standin_store_check_watches() afterwards. */
void standin_store_change (StandinStore *store, const char *key, const char *encoded, guint64 lease_id);
/* Removes the lease and its keys. */
void standin_store_remove_lease (StandinStore *store, guint64 lease_id);
/* Removes expired leases and their keys. */
void standin_store_remove_expired_leases (StandinStore *store);

/* Handles one call to the store @data. */
void standin_store_handle_call (StandinCall *call, gpointer data);
/* Counts a list call of @prefix for the client that made @call, if that has an address of its own. */
void standin_store_count_client_list (StandinStore *store, const StandinCall *call, const char *prefix);
/* Closes all connections, at whatever address. */
void standin_store_close_all_connections (StandinStore *store);
void standin_store_client_free (gpointer client);
/* Answers watches that have changes to report or that have timed out. */
void standin_store_check_watches (StandinStore *store);
