/*
 * weight-store.h: which weight versions the platform's weight store holds.
 *
 * Contract: GET /versions (docs/API.md, "Platform").
 */
#pragma once

#include <gio/gio.h>
#include <libsoup/soup.h>

G_BEGIN_DECLS

#define QUINCE_WEIGHT_STORE_ERROR (quince_weight_store_error_quark ())
GQuark quince_weight_store_error_quark (void);

typedef enum
{
  QUINCE_WEIGHT_STORE_ERROR_UNREACHABLE,
  QUINCE_WEIGHT_STORE_ERROR_RATE,     /* refused by its rate limit   */
  QUINCE_WEIGHT_STORE_ERROR_PROTOCOL, /* answer that makes no sense  */
} QuinceWeightStoreError;

/* @latest: newest version, 0 when the store is empty or with @error */
typedef void (*QuinceWeightStoreCallback) (guint64 latest, const GError *error, gpointer user_data);

/* Calls back once, but not after @cancellable was cancelled. */
void quince_weight_store_get_latest (SoupSession *session,
                                     const char *address,
                                     guint timeout_ms,
                                     GCancellable *cancellable,
                                     QuinceWeightStoreCallback callback,
                                     gpointer user_data);

G_END_DECLS
