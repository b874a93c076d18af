/*
 * standin-store-private.h: state of the metadata store stand-in.
 *
 * standin-store-data.c keeps keys and leases, standin-store-calls.c answers calls and watches, and
 * standin-store.c implements the functions that tests call.
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

struct _StandinStore
{
  StandinServer *server;
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
/* Answers watches that have changes to report or that have timed out. */
void standin_store_check_watches (StandinStore *store);
