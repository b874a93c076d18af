/*
 * http-sync.h: blocking JSON requests for rehearsals and tests.
 */
#pragma once

#include <json-glib/json-glib.h>

G_BEGIN_DECLS

/**
 * quince_http_sync:
 * @address: numeric ip:port
 * @body: (nullable): JSON text to POST; %NULL for GET
 * @answer: (out) (optional) (transfer full) (nullable): parsed answer
 *
 * Returns: the HTTP status, 0 when no answer came within @timeout_ms
 */
guint quince_http_sync (const char *address,
                        const char *path,
                        const char *body,
                        guint timeout_ms,
                        JsonNode **answer);

/* Sets faults on a stand-in; TRUE when it took them. */
gboolean quince_set_faults (const char *address, const char *faults);

/* Member @path like "a.b" of an object, or @fallback. */
gint64 quince_json_dig_int (JsonNode *root, const char *path, gint64 fallback);
/* (transfer none); @fallback when absent. */
const char *quince_json_dig_text (JsonNode *root, const char *path, const char *fallback);
/* (transfer none) (nullable) */
JsonArray *quince_json_dig_array (JsonNode *root, const char *path);

G_END_DECLS
