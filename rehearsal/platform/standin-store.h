/*
 * standin-store.h: stand-in for the platform's metadata store: keys, conditional writes, watches, leases and
 * injected faults.
 *
 * A store owns its keys, their history, the leases and the pending calls.  All functions are called from the
 * main context of the test.
 */
#pragma once

#include "standin-endless.h"

typedef enum
{
  STANDIN_STORE_HEALTHY,
  STANDIN_STORE_UNRESPONSIVE,        /* accepts calls and never answers */
  STANDIN_STORE_UNAVAILABLE,         /* 503 to all calls */
  STANDIN_STORE_CLOSES_CONNECTIONS,  /* closes the connection without an answer */
  STANDIN_STORE_DROPS_WRITE_ANSWERS, /* applies writes and closes the connection without an answer */
  STANDIN_STORE_DROPS_WRITE_ANSWERS_FAILS_READS, /* also 503 to reads of a single key */
  STANDIN_STORE_FAILS_LISTS,                     /* 503 to lists */
  STANDIN_STORE_REJECTS_EVERY_SECOND_LIST,       /* 429, as a store above its rate limit */
  STANDIN_STORE_FAILS_OWN_PREFIX,                /* 503 to lists and watches of the prefix "quinceroute" */
  STANDIN_STORE_MALFORMED_ANSWERS, /* 200 with the body of standin_store_set_malformed_answer() */
} StandinStoreFault;

typedef struct _StandinStore StandinStore;

StandinStore *standin_store_new (void);
void standin_store_free (StandinStore *store);
const char *standin_store_get_address (const StandinStore *store);
/* Writes a key unconditionally, as the operator or a worker does. */
void standin_store_put (StandinStore *store, const char *key, const char *value);
void standin_store_remove (StandinStore *store, const char *key);
/* Returns the value up to its first null byte, or NULL if the key does not exist.  Valid until the next call
 * of this function. */
const char *standin_store_get (const StandinStore *store, const char *key);
/* Returns the value (transfer full), or NULL if the key does not exist. */
GBytes *standin_store_get_bytes (const StandinStore *store, const char *key);
/* Returns all other keys with their values as one string, in no particular order (transfer full).
 * Non-printable bytes are replaced by spaces. */
char *standin_store_dump_except (const StandinStore *store, const char *key);
/* Returns the revision of the last write of @key, or 0 if it does not exist. */
guint64 standin_store_get_revision (const StandinStore *store, const char *key);
void standin_store_set_fault (StandinStore *store, StandinStoreFault fault);
/* Answers all calls with @answer, which must outlive the store; NULL: no longer. */
void standin_store_set_endless_answer (StandinStore *store, const StandinEndlessAnswer *answer);
const StandinEndlessWriter *standin_store_get_endless_writer (const StandinStore *store);
void standin_store_set_malformed_answer (StandinStore *store, const char *body);
/* Advances the revision, discards the history and closes all connections.  A watch from an older revision
 * gets status 410. */
void standin_store_compact (StandinStore *store);
/* Closes all connections, including those of pending watches. */
void standin_store_close_connections (StandinStore *store);
/* Delays changes by @delay_ms in watches, but not in reads. */
void standin_store_set_watch_delay (StandinStore *store, guint delay_ms);
/* Saves all keys and the revision for standin_store_restore(). */
void standin_store_save (StandinStore *store);
/* Restores the saved keys and revision.  Requires standin_store_save() first.  Closes all connections and
 * discards history and leases; restored keys no longer expire. */
void standin_store_restore (StandinStore *store);
/* Expires all leases. */
void standin_store_expire_leases (StandinStore *store);
/* Returns the number of calls of all kinds so far. */
guint standin_store_get_n_calls (const StandinStore *store);
/* Returns the number of list calls so far; each page is one call. */
guint standin_store_get_n_list_calls (const StandinStore *store);

/* ---- Clients -------------------------------------------------------------- */

/* Returns an address of the store that only the client @name uses, so that its calls can be counted (transfer
 * none).  The store begins to listen there at the first call for @name. */
const char *standin_store_get_client_address (StandinStore *store, const char *name);
/* Returns the number of list calls that the client @name has made so far; each page is one call.
 * @prefix: exact prefix of the calls to count; NULL: all */
guint standin_store_get_n_client_lists (const StandinStore *store, const char *name, const char *prefix);
