/*
 * kv-client.h: the platform's key-value service, through the JSON gateway of
 * the etcd v3 API (POST /v3/kv/range, /v3/kv/put, /v3/kv/txn, /v3/watch,
 * /v3/lease/grant, /v3/lease/keepalive, /v3/lease/revoke).
 *
 * A write whose answer is lost ends with QUINCE_KV_ERROR_UNKNOWN: the writer
 * must read back to learn whether it took effect.  Belongs to the context
 * that created it.
 */
#pragma once

#include <gio/gio.h>

G_BEGIN_DECLS

#define QUINCE_KV_ERROR (quince_kv_error_quark ())
GQuark quince_kv_error_quark (void);

typedef enum
{
  QUINCE_KV_ERROR_UNREACHABLE, /* certainly not carried out                 */
  QUINCE_KV_ERROR_UNKNOWN,     /* may have been carried out                 */
  QUINCE_KV_ERROR_RATE,        /* refused by the rate limit: not carried out */
  QUINCE_KV_ERROR_PROTOCOL,    /* answer that makes no sense                */
} QuinceKvError;

typedef struct
{
  char *key;
  char *value; /* NUL terminated; length in @length              */
  gsize length;
  guint64 create_revision;
  guint64 mod_revision;
} QuinceKvItem;

typedef struct _QuinceKvClient QuinceKvClient;

/**
 * quince_kv_client_new:
 * @endpoints: (array zero-terminated=1): tried in turn
 * @timeout_ms: for one try on one endpoint
 *
 * A callback comes once, from the main context, never before the call that
 * asked for it returns; what it is given is lent for its duration.
 * After quince_kv_client_free() no callback comes any more.
 */
QuinceKvClient *quince_kv_client_new (const char *const *endpoints /* ip:port */, guint timeout_ms);
void quince_kv_client_free (QuinceKvClient *client);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceKvClient, quince_kv_client_free)

/* @items: QuinceKvItem, sorted by key; @revision: store revision of the answer */
typedef void (*QuinceKvRangeCallback) (GPtrArray *items,
                                       guint64 revision,
                                       const GError *error,
                                       gpointer user_data);
/* Key, or every key with the prefix. */
void quince_kv_client_get (QuinceKvClient *client,
                           const char *key,
                           gboolean prefix,
                           QuinceKvRangeCallback callback,
                           gpointer user_data);

/* @done: the compare held; else @current is what stands there (NULL: no such key) */
typedef void (*QuinceKvSwapCallback) (gboolean done,
                                      guint64 revision,
                                      const QuinceKvItem *current,
                                      const GError *error,
                                      gpointer user_data);
/* Puts @value when the key's mod revision is @expected (0: key absent). */
void quince_kv_client_swap (QuinceKvClient *client,
                            const char *key,
                            guint64 expected,
                            const char *value,
                            gssize length,
                            QuinceKvSwapCallback callback,
                            gpointer user_data);
/* Deletes when the key's mod revision is @expected. */
void quince_kv_client_swap_delete (QuinceKvClient *client,
                                   const char *key,
                                   guint64 expected,
                                   QuinceKvSwapCallback callback,
                                   gpointer user_data);

/**
 * QuinceKvWatch: keeps a prefix in view: a range read, then a watch from the
 * next revision, again after every failure with spread back-off.
 * @changed: the whole current set under the prefix, after the first read and each change
 * @state: the watch is up or down
 *
 * Free it before its client; neither may be freed from within a callback.
 */
typedef struct _QuinceKvWatch QuinceKvWatch;
typedef struct
{
  void (*changed) (GPtrArray *items, guint64 revision, gpointer user_data);
  void (*state) (gboolean up, gpointer user_data);
} QuinceKvWatchCallbacks;
QuinceKvWatch *quince_kv_watch_new (QuinceKvClient *client,
                                    const char *prefix,
                                    const QuinceKvWatchCallbacks *callbacks,
                                    gpointer user_data);
void quince_kv_watch_free (QuinceKvWatch *watch);
/* Reads the prefix now, when the watch stands and no read is on its way: a dead connection is silent. */
void quince_kv_watch_check (QuinceKvWatch *watch);
/* When the service last answered a read or sent something, in monotonic time; 0: never. */
gint64 quince_kv_watch_get_heard_us (const QuinceKvWatch *watch);

G_END_DECLS
