/*
 * kv-json.h: bodies of the etcd v3 JSON gateway (internal to the platform library).
 *
 * Keys and values are base64, 64-bit integers are strings (numbers are also
 * accepted).  Parsing checks every member's type; what does not fit ends with
 * QUINCE_KV_ERROR_PROTOCOL.  Pure functions without state.
 */
#pragma once

#include "clients/kv-client.h"

G_BEGIN_DECLS

/* Greatest answer, and greatest line of a watch, that is read. */
#define QUINCE_KV_MAX_ANSWER_BYTES (16 * 1024 * 1024)

/* What a watch line says. */
typedef struct
{
  gboolean created;  /* the watch stands */
  gboolean canceled; /* the service ended it, for example after a compaction */
  GPtrArray *events; /* owned; QuinceKvEvent */
} QuinceKvWatchLine;

typedef struct
{
  gboolean deleted;
  QuinceKvItem *item; /* owned; without value when deleted */
} QuinceKvEvent;

QuinceKvItem *quince_kv_item_copy (const QuinceKvItem *item);
void quince_kv_item_free (QuinceKvItem *item);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceKvItem, quince_kv_item_free)

/* Request bodies; (transfer full). */
char *quince_kv_json_range (const char *key, gboolean prefix);
char *quince_kv_json_watch (const char *prefix, guint64 start_revision);
/* @value: %NULL deletes the key */
char *quince_kv_json_swap (const char *key, guint64 expected, const char *value, gsize length);

/* Answers.  Each returns %FALSE with QUINCE_KV_ERROR_PROTOCOL when @answer is not of the form. */
/* @items: (out) (transfer full): QuinceKvItem, sorted by key */
gboolean quince_kv_json_parse_range (GBytes *answer, GPtrArray **items, guint64 *revision, GError **error);
/* @current: (out) (transfer full) (nullable): what stands under the key when the compare failed */
gboolean quince_kv_json_parse_swap (GBytes *answer,
                                    gboolean *done,
                                    guint64 *revision,
                                    QuinceKvItem **current,
                                    GError **error);
gboolean quince_kv_json_parse_watch (const char *text, gsize length, QuinceKvWatchLine *line, GError **error);
void quince_kv_watch_line_clear (QuinceKvWatchLine *line);

G_END_DECLS
