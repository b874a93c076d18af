/*
 * http.h: small helpers over libsoup for JSON services.
 *
 * Error bodies follow the OpenAI form:
 *   {"error":{"type":"overloaded","message":"...","not_run":true,"retry_after_ms":250}}
 */
#pragma once

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>

#include "runtime/json-check.h"

G_BEGIN_DECLS

/**
 * quince_http_server_new:
 * @server_header: (nullable): value of the Server header
 *
 * Every answer ends its connection: libsoup 3.2 keeps the descriptor and the
 * memory of a kept connection for good once its client has closed it.
 *
 * Returns: (transfer full): a server without handlers
 */
SoupServer *quince_http_server_new (const char *server_header);

/* Listens on numeric ip:port (port 0: kernel's choice); @actual (out) (optional) is the real one. */
gboolean quince_http_listen (SoupServer *server, const char *address, char **actual, GError **error);

/* Sets a JSON body; consumes nothing of @root (transfer none). */
void quince_http_reply_json (SoupServerMessage *message, guint status, JsonNode *root);
void
quince_http_reply_text (SoupServerMessage *message, guint status, const char *content_type, const char *text);

/**
 * quince_http_reply_error:
 * @type: constant, snake_case
 * @not_run: -1: leave out; 0 or 1: say whether the work certainly did not run
 * @retry_after_ms: -1: leave out; else also sent as Retry-After, rounded up to seconds
 */
void quince_http_reply_error (SoupServerMessage *message,
                              guint status,
                              const char *type,
                              const char *text,
                              int not_run,
                              gint64 retry_after_ms);

/**
 * quince_http_limit_body:
 * @message: whose headers have come; to be called from an early handler
 * @most: bytes of its body
 *
 * A larger body is dropped as it comes and answered with 413 "too_large"; the status is then set when
 * the handler is called.
 */
void quince_http_limit_body (SoupServerMessage *message, gsize most);

/* Parses a request body as a JSON object; on failure replies 400 "bad_request" and returns NULL.
 * (transfer full) */
JsonNode *quince_http_read_object (SoupServerMessage *message);

/* Typed members of an object: %FALSE and an error when absent, of another type or out of range. */
gboolean quince_json_get_text (JsonObject *object,
                               const char *name,
                               gsize longest,
                               const char **value,
                               GError **error);
gboolean
quince_json_get_u64 (JsonObject *object, const char *name, guint64 greatest, guint64 *value, GError **error);
/* Optional forms: keep @value when absent. */
gboolean quince_json_opt_text (JsonObject *object,
                               const char *name,
                               gsize longest,
                               const char **value,
                               GError **error);
gboolean
quince_json_opt_u64 (JsonObject *object, const char *name, guint64 greatest, guint64 *value, GError **error);
gboolean quince_json_opt_bool (JsonObject *object, const char *name, gboolean *value, GError **error);

#define QUINCE_HTTP_ERROR (quince_http_error_quark ())
GQuark quince_http_error_quark (void);

typedef enum
{
  QUINCE_HTTP_ERROR_BAD_FIELD, /* a field is missing, of another type or out of range */
  QUINCE_HTTP_ERROR_BAD_BODY,  /* not JSON, or not an object                          */
  QUINCE_HTTP_ERROR_ADDRESS,   /* cannot listen                                       */
  QUINCE_HTTP_ERROR_STATUS,    /* peer answered with an error status                  */
} QuinceHttpError;

/**
 * quince_http_call_async: one JSON request to a peer, whole answer, at most @timeout_ms.
 * @body: (nullable): JSON text to POST; %NULL for GET
 *
 * The callback gets the status (0 when no answer came) and the parsed answer.
 */
typedef void (*QuinceHttpCallback) (guint status, JsonNode *answer, const GError *error, gpointer user_data);
void quince_http_call (SoupSession *session,
                       const char *url,
                       const char *body,
                       guint timeout_ms,
                       GCancellable *cancellable,
                       QuinceHttpCallback callback,
                       gpointer user_data);

G_END_DECLS
