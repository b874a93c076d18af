/*
 * kv-store.h: data of the key-value service stand-in: keys with revisions,
 * a bounded history of changes and leases.  Knows neither HTTP nor a clock.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/* Never changed once stored; reference counted by g_rc_box. */
typedef struct
{
  GBytes *key;
  GBytes *value;
  guint64 create_revision;
  guint64 mod_revision;
  guint64 version;
  gint64 lease; /* 0: none */
} KvEntry;

KvEntry *kv_entry_ref (KvEntry *entry);
void kv_entry_unref (KvEntry *entry);

typedef struct
{
  gboolean deleted; /* @entry then has only a key and a mod revision */
  KvEntry *entry;
} KvEvent;

typedef struct _KvStore KvStore;

/* A change was committed.  @events: KvEvent of one revision. */
typedef void (*KvStoreCommitted) (const GArray *events, gpointer user_data);

KvStore *kv_store_new (KvStoreCommitted committed, gpointer user_data);
void kv_store_clear (KvStore *store);
guint64 kv_store_get_revision (KvStore *store);
guint64 kv_store_get_compact_revision (KvStore *store);

/* Entries with @key <= key < @end; @end NULL: the one key; @end a single NUL
 * byte: all from @key on.  Returns: (transfer full): KvEntry, sorted by key */
GPtrArray *kv_store_range (KvStore *store, GBytes *key, GBytes *end);
/* Returns: (transfer none) (nullable) */
KvEntry *kv_store_lookup (KvStore *store, GBytes *key);

/* Writes between begin and commit share one revision. */
void kv_store_begin (KvStore *store);
void kv_store_put (KvStore *store, GBytes *key, GBytes *value, gint64 lease);
/* Returns: keys deleted */
guint kv_store_delete_range (KvStore *store, GBytes *key, GBytes *end);
void kv_store_commit (KvStore *store);
/* Undoes what was written since begin. */
void kv_store_rollback (KvStore *store);

/* TRUE when @key is in the range that @start and @end describe. */
gboolean kv_key_in_range (GBytes *key, GBytes *start, GBytes *end);

/* Calls @visit for each remembered event from @start_revision on. */
void kv_store_replay (KvStore *store,
                      guint64 start_revision,
                      void (*visit) (const KvEvent *event, gpointer user_data),
                      gpointer user_data);
/* Forgets events up to @revision. */
void kv_store_compact (KvStore *store, guint64 revision);

/* Leases. */
gboolean kv_store_has_lease (KvStore *store, gint64 lease);
void kv_store_grant_lease (KvStore *store, gint64 lease, gint64 ttl_s, gint64 now_us);
/* Returns: time to live in seconds; -1: no such lease */
gint64 kv_store_renew_lease (KvStore *store, gint64 lease, gint64 now_us);
/* Deletes the lease and its keys. */
gboolean kv_store_revoke_lease (KvStore *store, gint64 lease);
void kv_store_expire_leases (KvStore *store, gint64 now_us);

/* Whole content as JSON text and back; leases are not kept. */
char *kv_store_save (KvStore *store);
gboolean kv_store_load (KvStore *store, const char *json, GError **error);

G_END_DECLS
