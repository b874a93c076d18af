/*
 * operator-write.h: one compare-and-swap carried to a definite outcome
 * (internal to the platform library).
 *
 * The value must be one that only this write would store, or one for which it
 * makes no difference who stored it: finding it in place counts as done.
 * Sending the same swap again is safe, as at most one of the copies can find
 * the key at the expected revision.
 */
#pragma once

#include "clients/kv-client.h"

G_BEGIN_DECLS

typedef struct _QuinceOperatorWrite QuinceOperatorWrite;

/**
 * QuinceOperatorWriteCallback:
 * @revision: mod revision of the key when done (store revision of a delete)
 * @current: (nullable): on QUINCE_OPERATOR_ERROR_CONFLICT what stands there
 * @lost: on a conflict: an earlier answer was lost, so this write may have
 *   stood until @current replaced it
 */
typedef void (*QuinceOperatorWriteCallback) (guint64 revision,
                                             const QuinceKvItem *current,
                                             gboolean lost,
                                             const GError *error,
                                             gpointer user_data);

/* @value: (nullable): NUL terminated; %NULL deletes the key */
QuinceOperatorWrite *quince_operator_write_start (QuinceKvClient *client,
                                                  const char *key,
                                                  guint64 expected,
                                                  const char *value,
                                                  guint deadline_ms,
                                                  QuinceOperatorWriteCallback callback,
                                                  gpointer user_data);
/* Before the callback came: it will not come any more. */
void quince_operator_write_cancel (QuinceOperatorWrite *write);

G_END_DECLS
