/*
 * request-digest.h: identifies a request that is sent again under another id.
 *
 * Equal for equal callers, hosts, methods, targets and bodies; nothing of them can be read from it.
 *
 * For: the quarantine and its messages.  Owns nothing; pure.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/* Length of a digest, bytes: 128 bits, so that no two requests share one by chance. */
#define QUINCE_REQUEST_DIGEST_BYTES 16

typedef struct
{
  guint8 bytes[QUINCE_REQUEST_DIGEST_BYTES];
} QuinceRequestDigest;

/**
 * quince_request_digest_make:
 * @caller: (nullable): tenant that asks; %NULL as "": nobody in particular
 * @host: (nullable): %NULL as ""
 * @target: path and query
 * @body: (nullable): of @length bytes
 *
 * The first half of SHA-256: a caller cannot make a request that is held for another one.
 */
void quince_request_digest_make (QuinceRequestDigest *digest,
                                 const char *caller,
                                 const char *host,
                                 const char *method,
                                 const char *target,
                                 gconstpointer body,
                                 gsize length);
/**
 * quince_request_digest_make_prompt:
 * @parts: of a prompt, %NULL-terminated; the last one is the request's own
 *
 * Identifies what a request shares with others of its prompt: equal for equal callers, hosts and shared
 * parts. Never equal to a digest of the call above.  Returns: %FALSE where nothing is shared
 */
gboolean quince_request_digest_make_prompt (QuinceRequestDigest *digest,
                                            const char *caller,
                                            const char *host,
                                            const char *const *parts);
guint quince_request_digest_hash (gconstpointer digest);
gboolean quince_request_digest_equal (gconstpointer a, gconstpointer b);
/* (transfer full): as hexadecimal digits, for logs and keys */
char *quince_request_digest_format (const QuinceRequestDigest *digest);
/* Returns: %FALSE when @text is none */
gboolean quince_request_digest_parse (const char *text, QuinceRequestDigest *digest);

/**
 * QuinceRequestIdentity:
 * @request: identifies this request alone
 * @prompt: for all requests that share its prompt, where @has_prompt
 */
typedef struct
{
  QuinceRequestDigest request;
  QuinceRequestDigest prompt;
  gboolean has_prompt;
} QuinceRequestIdentity;

G_END_DECLS
