/*
 * engine-admin.h: the admin calls of a model engine, over HTTP and JSON.
 *
 * Contract: docs/API.md, "Engine".  Every call is asynchronous on the
 * session's context and calls back once, except that nothing is called back
 * after its cancellable was cancelled.
 */
#pragma once

#include <gio/gio.h>
#include <libsoup/soup.h>

G_BEGIN_DECLS

#define QUINCE_ENGINE_ERROR (quince_engine_error_quark ())
GQuark quince_engine_error_quark (void);

typedef enum
{
  QUINCE_ENGINE_ERROR_UNREACHABLE, /* no answer: an order may have been carried out */
  QUINCE_ENGINE_ERROR_REFUSED,     /* answered with an error status                 */
  QUINCE_ENGINE_ERROR_STALE_FENCE, /* a greater fencing token has been seen         */
  QUINCE_ENGINE_ERROR_PROTOCOL,    /* answer that makes no sense                    */
} QuinceEngineError;

/**
 * QuinceEngineLoad:
 * @target_version: version last ordered, 0 for none
 * @staged_version: version that is ready to be activated, 0 for none
 * @report_age_ms: how old the figures already were when sent
 *
 * What GET /admin/load answers.  Texts are valid during the callback.
 */
typedef struct
{
  const char *name;
  const char *service;
  const char *zone;
  gboolean leaving;
  guint running;
  guint waiting;
  guint capacity;
  guint64 weight_version;
  guint64 target_version;
  guint64 staged_version;
  guint report_age_ms;
} QuinceEngineLoad;

/* @load: %NULL with @error when the call failed */
typedef void (*QuinceEngineLoadCallback) (const QuinceEngineLoad *load,
                                          const GError *error,
                                          gpointer user_data);
void quince_engine_admin_get_load (SoupSession *session,
                                   const char *address,
                                   guint timeout_ms,
                                   GCancellable *cancellable,
                                   QuinceEngineLoadCallback callback,
                                   gpointer user_data);

/**
 * QuinceCacheEvent:
 * @blocks: chained prefix block hashes (see docs/API.md)
 */
typedef struct
{
  guint64 sequence;
  gboolean stored; /* else evicted */
  const guint64 *blocks;
  guint n_blocks;
} QuinceCacheEvent;

/* @events: QuinceCacheEvent in order of sequence, %NULL with @error */
typedef void (*QuinceCacheEventsCallback) (const GArray *events,
                                           guint64 last_sequence,
                                           const GError *error,
                                           gpointer user_data);
/* Events with a sequence above @after. */
void quince_engine_admin_get_cache_events (SoupSession *session,
                                           const char *address,
                                           guint64 after,
                                           guint timeout_ms,
                                           GCancellable *cancellable,
                                           QuinceCacheEventsCallback callback,
                                           gpointer user_data);

/* @error: %NULL when the order was carried out */
typedef void (*QuinceEngineOrderCallback) (const GError *error, gpointer user_data);
void quince_engine_admin_stage (SoupSession *session,
                                const char *address,
                                guint64 version,
                                guint64 fence,
                                guint timeout_ms,
                                GCancellable *cancellable,
                                QuinceEngineOrderCallback callback,
                                gpointer user_data);
/* @running: "wait", "resume" or "restart" */
void quince_engine_admin_activate (SoupSession *session,
                                   const char *address,
                                   guint64 version,
                                   guint64 fence,
                                   const char *running,
                                   guint timeout_ms,
                                   GCancellable *cancellable,
                                   QuinceEngineOrderCallback callback,
                                   gpointer user_data);

G_END_DECLS
