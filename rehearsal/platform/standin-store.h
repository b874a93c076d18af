/*
 * standin-store.h: a stand-in of the platform's metadata store: keys, conditions, watches, leases, and its
 * faults.
 *
 * Owns all keys with their history, leases, and the calls that wait.  Belongs to the main context of the
 * test.
 */
#pragma once

#include "standin-server.h"

typedef enum
{
  STANDIN_STORE_HEALTHY,
  STANDIN_STORE_UNRESPONSIVE,                    /* takes calls and never answers      */
  STANDIN_STORE_UNAVAILABLE,                     /* 503 to all                         */
  STANDIN_STORE_CLOSES_CONNECTIONS,              /* closes instead of an answer        */
  STANDIN_STORE_DROPS_WRITE_ANSWERS,             /* does writes and does not answer    */
  STANDIN_STORE_DROPS_WRITE_ANSWERS_FAILS_READS, /* as LOSES, and 503 to reads of one key */
  STANDIN_STORE_FAILS_LISTS,                     /* 503 to lists of a prefix alone     */
  STANDIN_STORE_FAILS_OWN_PREFIX,                /* 503 to reads of the product's own keys alone */
  STANDIN_STORE_MALFORMED_ANSWERS, /* 200 with the text of standin_store_set_malformed_answer() to all */
} StandinStoreFault;

typedef struct _StandinStore StandinStore;

StandinStore *standin_store_new (void);
void standin_store_free (StandinStore *store);
const char *standin_store_get_address (const StandinStore *store);
/* As the operator or a worker writes. */
void standin_store_put (StandinStore *store, const char *key, const char *value);
void standin_store_remove (StandinStore *store, const char *key);
/* NULL: not there. Bytes that are no text are cut at the first zero. */
const char *standin_store_get (const StandinStore *store, const char *key);
/* NULL: not there. (transfer full) */
GBytes *standin_store_get_bytes (const StandinStore *store, const char *key);
/* All keys and values but those of @key, one after the other; bytes that are no text become spaces.
 * (transfer full) */
char *standin_store_dump_except (const StandinStore *store, const char *key);
/* 0: not there */
guint64 standin_store_get_revision (const StandinStore *store, const char *key);
void standin_store_set_fault (StandinStore *store, StandinStoreFault fault);
void standin_store_set_malformed_answer (StandinStore *store, const char *body);
/* All history is forgotten and waiting watches are cut. */
void standin_store_compact (StandinStore *store);
/* Waiting watches are cut. */
void standin_store_close_connections (StandinStore *store);
/* Watches report a change @delay_ms late; reads do not. */
void standin_store_set_watch_delay (StandinStore *store, guint delay_ms);
/* All that it holds now, for standin_store_restore(). */
void standin_store_save (StandinStore *store);
/* It comes back with what it held when it was saved, also its revision; connections and history are gone. */
void standin_store_restore (StandinStore *store);
/* All leases end at once. */
void standin_store_expire_leases (StandinStore *store);
/* Calls so far, of all kinds. */
guint standin_store_get_n_calls (const StandinStore *store);
/* The same of lists alone, each page counted. */
guint standin_store_get_n_list_calls (const StandinStore *store);
