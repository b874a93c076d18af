/*
 * kv.h: parts of the key-value service stand-in.
 *
 *   kv.c        flags, faults, requests by path, leases
 *   kv-json.c   JSON forms of the etcd v3 gateway, range, put, delete, txn
 *   kv-watch.c  watch streams
 *   kv-store.c  the data
 */
#pragma once

#include "kv-store.h"
#include "standin.h"

G_BEGIN_DECLS

typedef struct
{
  QuinceNetworkFaults network;
  gboolean unavailable;      /* answer 503, code 14                               */
  guint64 lose_answer_next;  /* writes that take effect, then the connection is cut */
  guint64 lose_request_next; /* writes whose connection is cut before they take effect */
  gboolean drop_watches;     /* break every watch stream; clears itself           */
  gboolean stall_watches;    /* streams stay, nothing is delivered                */
  guint64 late_watches_ms;   /* events are delivered so much later                */
  gboolean pause_leases;     /* leases do not expire                              */
} KvFaults;

typedef struct _KvWatches KvWatches;

typedef struct
{
  QuinceStandinFlags common;
  guint64 rate;  /* requests a second; 0: no limit */
  guint64 burst; /* requests at once               */
  const char *state_file;
  KvFaults faults;
  QuinceStandin *standin;
  KvStore *store;     /* owned */
  KvWatches *watches; /* owned */
  QuinceTokenBucket bucket;
  gint64 next_lease;
  guint64 n_reads;
  guint64 n_writes;  /* requests that changed something      */
  guint64 n_refused; /* by the rate limit                    */
  guint64 n_lost;    /* answers cut after the write          */
} KvService;

/* gRPC codes that the gateway's errors carry. */
typedef enum
{
  KV_CODE_INVALID_ARGUMENT = 3,
  KV_CODE_NOT_FOUND = 5,
  KV_CODE_RESOURCE_EXHAUSTED = 8,
  KV_CODE_UNIMPLEMENTED = 12,
  KV_CODE_UNAVAILABLE = 14,
} KvCode;

void kv_reply_error (SoupServerMessage *message, KvCode code, const char *text);

/* kv-json.c */
#define KV_JSON_ERROR (kv_json_error_quark ())
GQuark kv_json_error_quark (void);
typedef enum
{
  KV_JSON_ERROR_BAD_FIELD = KV_CODE_INVALID_ARGUMENT,
  KV_JSON_ERROR_NO_LEASE = KV_CODE_NOT_FOUND,
  KV_JSON_ERROR_UNKNOWN_OPERATION = KV_CODE_UNIMPLEMENTED,
} KvJsonError;

/* The gateway's int64 may be a JSON string or number; absent: 0. */
gboolean kv_json_get_int64 (JsonObject *object, const char *snake_name, gint64 *value, GError **error);
/* Base64 bytes; absent or empty: NULL. (transfer full) */
gboolean kv_json_get_bytes (JsonObject *object, const char *snake_name, GBytes **value, GError **error);
/* Member by its snake_case or camelCase name. */
JsonNode *kv_json_get_member (JsonObject *object, const char *snake_name);
void kv_json_append_header (GString *text, guint64 revision);
void kv_json_append_entry (GString *text, const KvEntry *entry);

/* Each returns the answer's text, or NULL and an error; they write within
 * begin and commit of the caller. */
char *kv_json_range (KvStore *store, JsonObject *request, GError **error);
char *kv_json_put (KvStore *store, JsonObject *request, GError **error);
char *kv_json_delete_range (KvStore *store, JsonObject *request, GError **error);
char *kv_json_txn (KvStore *store, JsonObject *request, GError **error);

/* kv-watch.c */
KvWatches *kv_watches_new (KvService *service);
void kv_watches_handle (KvWatches *watches, SoupServerMessage *message);
void kv_watches_publish (KvWatches *watches, const GArray *events);
void kv_watches_drop_all (KvWatches *watches);
/* Delivers what stalled. */
void kv_watches_resume (KvWatches *watches);
guint kv_watches_get_count (KvWatches *watches);

G_END_DECLS
