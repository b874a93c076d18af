/*
 * standin-store-private.h: the state of the metadata store's stand-in, shared by its files:
 * standin-store-data.c holds keys and leases, standin-store-calls.c answers calls and watches,
 * standin-store.c is what a test does.
 */
#pragma once

#include "standin-store.h"

typedef struct
{
  char *key;
  char *value; /* base64; NULL: removed */
  guint64 revision;
  guint64 lease_id;
  gint64 changed_us; /* monotonic; when it was changed */
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
  GPtrArray *history; /* StandinItem, owned: every change since `oldest` */
  GPtrArray *watches;
  GPtrArray *unanswered_calls; /* StandinCall, owned: taken while it was silent */
  GHashTable *leases;
  GPtrArray *saved_items; /* StandinItem, owned; NULL: none */
  guint64 saved_revision;
  gint64 watch_delay_us;
  guint64 revision;
  guint64 oldest_revision;
  guint64 last_lease_id;
  StandinStoreFault fault;
  char *malformed_answer;
  guint n_calls;
  guint n_list_calls; /* of the calls; pages */
  guint timer;
};

void standin_item_free (gpointer item);
/* (transfer full) */
StandinItem *standin_item_copy (const StandinItem *item);
/* Writes @key, or removes it where @encoded is %NULL, at the next revision.  Watches are not answered yet. */
void standin_store_change (StandinStore *store, const char *key, const char *encoded, guint64 lease_id);
/* Removes the lease and its keys. */
void standin_store_remove_lease (StandinStore *store, guint64 lease_id);
/* Ends the leases whose time is over. */
void standin_store_remove_expired_leases (StandinStore *store);

/* Takes one call; @data: the store */
void standin_store_handle_call (StandinCall *call, gpointer data);
/* Answers watches that have news or waited long enough. */
void standin_store_check_watches (StandinStore *store);
