/*
 * request-digest.h: a digest that identifies a request when it is sent again under another request id.
 *
 * Requests with equal callers, hosts, methods, targets and bodies have equal digests.  The digest is one-way:
 * it reveals none of these values.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/* 128 bits make accidental collisions negligible. */
#define QUINCE_REQUEST_DIGEST_BYTES 16

typedef struct
{
  guint8 bytes[QUINCE_REQUEST_DIGEST_BYTES];
} QuinceRequestDigest;

/**
 * quince_request_digest_make:
 * @caller: (nullable): tenant that sends the request; %NULL equals "", an unidentified caller
 * @host: (nullable): %NULL equals ""
 * @target: path and query
 * @body: (nullable): @length bytes; may be %NULL only if @length is 0
 *
 * Sets @digest to the first 16 bytes of a SHA-256.  A cryptographic hash prevents a caller from constructing
 * a request that has the digest of another request and gets it held.
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
 * @parts: (nullable): the parts of the prompt, %NULL-terminated; the last one belongs to this request alone
 *
 * Sets @digest to the digest of the part of a prompt that requests share: all of @parts except the last.  It
 * is equal for equal callers, hosts and shared parts, and differs from every digest of
 * quince_request_digest_make().
 *
 * Returns: %FALSE if @parts has fewer than two elements; @digest is not set then
 */
gboolean quince_request_digest_make_prompt (QuinceRequestDigest *digest,
                                            const char *caller,
                                            const char *host,
                                            const char *const *parts);
guint quince_request_digest_hash (gconstpointer digest);
gboolean quince_request_digest_equal (gconstpointer a, gconstpointer b);
/* Returns (transfer full): the digest as 32 lower-case hexadecimal digits, for logs and keys */
char *quince_request_digest_format (const QuinceRequestDigest *digest);
/* Returns %FALSE if @text is not 32 hexadecimal digits of either case.  @digest may be partly set then. */
gboolean quince_request_digest_parse (const char *text, QuinceRequestDigest *digest);

/**
 * QuinceRequestIdentity:
 * @request: digest of the request
 * @prompt: digest that all requests of the prompt share; valid if @has_prompt
 */
typedef struct
{
  QuinceRequestDigest request;
  QuinceRequestDigest prompt;
  gboolean has_prompt;
} QuinceRequestIdentity;

G_END_DECLS
