/*
 * meta-store.h: calls to the shared metadata store: keys under conditions, watches and leases.
 *
 * Owns the connections to the store, the calls in progress and the timer of probes while the store does not
 * answer.  Relies on a dialect (QuinceMetaDialect) that the adapter provides to encode and decode the calls.
 * Everything belongs to the thread-default context that created it.
 */
#pragma once

#include "http1/http-client.h"
#include "meta/meta-item.h"

G_BEGIN_DECLS

/* One change of a transaction.  @expected_revision 0: the key must not exist; -1: no condition. */
typedef struct
{
  const char *key;
  gint64 expected_revision;
  GBytes *value; /* NULL: remove */
  guint64 lease; /* 0: none */
} QuinceMetaChange;

/* Encodes calls and decodes answers.  Targets, bodies and pages are (transfer full); pages are %NULL with an
 * error, numbers 0 where an answer cannot be decoded. */
typedef struct
{
  char *(*get_target) (const char *key);
  char *(*list_target) (const char *prefix, const char *after_key);
  char *(*watch_target) (const char *prefix, guint64 after_revision, guint wait_ms);
  char *(*change_target) (void);
  char *(*open_lease_target) (void);
  char *(*renew_lease_target) (guint64 lease);
  char *(*end_lease_target) (guint64 lease);
  GBytes *(*format_change) (const QuinceMetaChange *changes, guint n_changes);
  GBytes *(*format_lease) (guint ttl_ms);
  QuinceMetaPage *(*parse_page) (const char *body, gsize length, GError **error);
  QuinceMetaPage *(*parse_item) (const char *body, gsize length, GError **error);
  guint64 (*parse_revision) (const char *body, gsize length);
  guint64 (*parse_lease) (const char *body, gsize length);
} QuinceMetaDialect;

/* ---- Calls ------------------------------------------------------------ */

typedef struct _QuinceMetaStore QuinceMetaStore;

/* When the store answered, by the monotonic clock, us. */
typedef struct
{
  gint64 last_answer_us; /* 0: none yet */
  gint64 recovered_us;   /* when calls last began to succeed again; 0: never */
} QuinceMetaContact;

QuinceMetaStore *quince_meta_store_new (const char *address, const QuinceMetaDialect *dialect);
void quince_meta_store_free (QuinceMetaStore *store);
const QuinceMetaContact *quince_meta_store_get_contact (const QuinceMetaStore *store);

/* The last call failed. */
gboolean quince_meta_store_is_failing (const QuinceMetaStore *store);

/* @probe_interval_max_ms: longest time between two probes of a store that does not answer, unless it is
 * relaxed */
void quince_meta_store_set_probe_interval_max (QuinceMetaStore *store, guint probe_interval_max_ms);

/* @slow_probes: another process feeds all mirrors of this one, so that its pages show when the store is back:
 * while calls fail the store is probed every 4 s. */
void quince_meta_store_set_slow_probes (QuinceMetaStore *store, gboolean slow_probes);

/* Leases may have run out although their owners live: the store is not reachable, or was not until this long
 * ago, us: above the 2 s in which owners write their keys anew, and a margin.  Not measured. */
#define QUINCE_META_LEASE_RECOVERY_US (3 * G_USEC_PER_SEC)
gboolean quince_meta_store_leases_may_have_lapsed (const QuinceMetaStore *store, gint64 now_us);

/**
 * QuinceMetaReply:
 * @page: (nullable): items read
 * @number: revision of a change, or id of a lease
 * @error: (nullable): set when the call failed
 */
typedef void (*QuinceMetaReply) (const QuinceMetaPage *page,
                                 guint64 number,
                                 const GError *error,
                                 gpointer user_data);

/* The machine was suspended: kept connections are dropped, since the store may have closed them. */
void quince_meta_store_handle_resume (QuinceMetaStore *store);
/* One item; GONE where there is none. */
void
quince_meta_store_get (QuinceMetaStore *store, const char *key, QuinceMetaReply reply, gpointer user_data);
/* All of @changes or none, if every condition holds.  CONFLICT where one does not. */
void quince_meta_store_change (QuinceMetaStore *store,
                               const QuinceMetaChange *changes,
                               guint n_changes,
                               QuinceMetaReply reply,
                               gpointer user_data);
void quince_meta_store_open_lease (QuinceMetaStore *store,
                                   guint ttl_ms,
                                   QuinceMetaReply reply,
                                   gpointer user_data);
void quince_meta_store_renew_lease (QuinceMetaStore *store,
                                    guint64 lease,
                                    QuinceMetaReply reply,
                                    gpointer user_data);
void quince_meta_store_end_lease (QuinceMetaStore *store,
                                  guint64 lease,
                                  QuinceMetaReply reply,
                                  gpointer user_data);

G_END_DECLS
