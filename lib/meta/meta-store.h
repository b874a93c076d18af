/*
 * meta-store.h: client of the shared metadata store: conditional writes, watches and leases.
 *
 * A QuinceMetaStore owns the connections to the store and the calls in progress, and probes the store while
 * calls fail.  A QuinceMetaCodec, provided by the platform adapter, encodes the calls and decodes the
 * answers.  Everything belongs to the thread-default main context that created it.
 */
#pragma once

#include "http1/http-client.h"
#include "meta/meta-item.h"

G_BEGIN_DECLS

/* One change of a transaction. */
typedef struct
{
  const char *key;
  gint64 expected_revision; /* 0: the key must not exist; -1: no condition */
  GBytes *value;            /* NULL: remove the key */
  guint64 lease;            /* lease of the key; 0: none */
} QuinceMetaChange;

/* Encodes calls and decodes answers.  Request targets, bodies and pages are (transfer full).  If an answer
 * cannot be decoded, a page is %NULL with an error set, and a revision or lease is 0. */
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
} QuinceMetaCodec;

/* ---- Store ------------------------------------------------------------ */

typedef struct _QuinceMetaStore QuinceMetaStore;

/* Monotonic times of answers of the store, us. */
typedef struct
{
  gint64 last_answer_us; /* last answer other than 429 and 503; 0: none */
  gint64 recovered_us;   /* first success after the last failures; 0: none */
} QuinceMetaContact;

/* Returns: (transfer full): a client of the store at @address.  @codec must outlive it. */
QuinceMetaStore *quince_meta_store_new (const char *address, const QuinceMetaCodec *codec);
/* Cancels the calls in progress; their reply functions are not called.  @store: (nullable) */
void quince_meta_store_free (QuinceMetaStore *store);
/* Returns: (transfer none): when the store answered; updated with each call. */
const QuinceMetaContact *quince_meta_store_get_contact (const QuinceMetaStore *store);

/* Returns whether the last call failed: no answer arrived, or its status was 429 or 503. */
gboolean quince_meta_store_is_failing (const QuinceMetaStore *store);

/* Sets the maximum interval between probes while calls fail, ms.  It does not apply while slow probes are
 * set. */
void quince_meta_store_set_probe_interval_max (QuinceMetaStore *store, guint probe_interval_max_ms);

/* @slow_probes: while calls fail, let the interval between probes grow to 4 s.  For a process whose mirrors
 * are all fed by another process, which notices first that the store has recovered.  Clearing it during an
 * outage restarts the probes with the shortest interval. */
void quince_meta_store_set_slow_probes (QuinceMetaStore *store, gboolean slow_probes);

/* Time after a recovery of the store in which leases of live owners may still be missing, us: the 2 s in
 * which owners write their keys again, and a margin. */
#define QUINCE_META_LEASE_RECOVERY_US (3 * G_USEC_PER_SEC)
/* Returns whether leases may have expired although their owners are alive: calls to the store fail, or it
 * recovered less than QUINCE_META_LEASE_RECOVERY_US ago.
 * @now_us: monotonic time */
gboolean quince_meta_store_leases_may_have_lapsed (const QuinceMetaStore *store, gint64 now_us);

/**
 * QuinceMetaReply:
 * @page: (nullable): the items read; valid only until the function returns
 * @number: revision of a change, or id of a new lease; 0 for other calls and for failed ones
 * @error: (nullable): set if the call failed: a QUINCE_META_ERROR, or an error of the codec if the answer
 *   cannot be decoded; valid only until the function returns
 *
 * Receives the result of a call to the store.
 */
typedef void (*QuinceMetaReply) (const QuinceMetaPage *page,
                                 guint64 number,
                                 const GError *error,
                                 gpointer user_data);

/* ---- Calls ------------------------------------------------------------ */

/* Closes idle connections after a suspension of the machine, since the store may have closed them. */
void quince_meta_store_handle_resume (QuinceMetaStore *store);
/* Reads one item.  The error is QUINCE_META_ERROR_GONE if it does not exist. */
void
quince_meta_store_get (QuinceMetaStore *store, const char *key, QuinceMetaReply reply, gpointer user_data);
/* Applies all of @changes in one transaction, or none.  The error is QUINCE_META_ERROR_CONFLICT if a key does
 * not have its expected revision. */
void quince_meta_store_change (QuinceMetaStore *store,
                               const QuinceMetaChange *changes,
                               guint n_changes,
                               QuinceMetaReply reply,
                               gpointer user_data);
/* Opens a lease that expires after @ttl_ms without renewal. */
void quince_meta_store_open_lease (QuinceMetaStore *store,
                                   guint ttl_ms,
                                   QuinceMetaReply reply,
                                   gpointer user_data);
/* The error is QUINCE_META_ERROR_GONE if the lease has expired. */
void quince_meta_store_renew_lease (QuinceMetaStore *store,
                                    guint64 lease,
                                    QuinceMetaReply reply,
                                    gpointer user_data);
/* Ends a lease, which removes its keys. */
void quince_meta_store_end_lease (QuinceMetaStore *store,
                                  guint64 lease,
                                  QuinceMetaReply reply,
                                  gpointer user_data);

G_END_DECLS
