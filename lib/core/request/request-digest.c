/*
 * request-digest.c: a digest that identifies a request when it is sent again under another request id.
 */
#include "core/request/request-digest.h"

#include <string.h>

/* Takes the place of the method in the digest of a prompt.  A method contains no space, so the digest of a
 * prompt never equals that of a request. */
#define PROMPT_DOMAIN_TAG "shared prompt"

/* The terminating zero byte is hashed too, as a separator between fields. */
static void
add_text (GChecksum *checksum, const char *text)
{
  const char *value = text != NULL ? text : "";
  g_checksum_update (checksum, (const guchar *)value, (gssize)strlen (value) + 1);
}

static void
finish_digest (GChecksum *checksum, QuinceRequestDigest *digest)
{
  guint8 sha256[32];
  gsize sha256_length = sizeof sha256;
  g_checksum_get_digest (checksum, sha256, &sha256_length);
  memcpy (digest->bytes, sha256, sizeof digest->bytes);
}

void
quince_request_digest_make (QuinceRequestDigest *digest,
                            const char *caller,
                            const char *host,
                            const char *method,
                            const char *target,
                            gconstpointer body,
                            gsize length)
{
  g_autoptr (GChecksum) checksum = g_checksum_new (G_CHECKSUM_SHA256);
  add_text (checksum, caller);
  add_text (checksum, host);
  add_text (checksum, method);
  add_text (checksum, target);
  if (length > 0)
    g_checksum_update (checksum, body, (gssize)length);
  finish_digest (checksum, digest);
}

gboolean
quince_request_digest_make_prompt (QuinceRequestDigest *digest,
                                   const char *caller,
                                   const char *host,
                                   const char *const *parts)
{
  if (parts == NULL || parts[0] == NULL || parts[1] == NULL)
    return FALSE;
  g_autoptr (GChecksum) checksum = g_checksum_new (G_CHECKSUM_SHA256);
  add_text (checksum, caller);
  add_text (checksum, host);
  add_text (checksum, PROMPT_DOMAIN_TAG);
  for (guint i = 0; parts[i + 1] != NULL; i++)
    add_text (checksum, parts[i]);
  finish_digest (checksum, digest);
  return TRUE;
}

guint
quince_request_digest_hash (gconstpointer digest)
{
  guint hash;
  memcpy (&hash, ((const QuinceRequestDigest *)digest)->bytes, sizeof hash);
  return hash;
}

gboolean
quince_request_digest_equal (gconstpointer a, gconstpointer b)
{
  return memcmp (a, b, sizeof (QuinceRequestDigest)) == 0;
}

char *
quince_request_digest_format (const QuinceRequestDigest *digest)
{
  GString *text = g_string_sized_new (QUINCE_REQUEST_DIGEST_BYTES * 2);
  for (guint i = 0; i < QUINCE_REQUEST_DIGEST_BYTES; i++)
    g_string_append_printf (text, "%02x", digest->bytes[i]);
  return g_string_free (text, FALSE);
}

gboolean
quince_request_digest_parse (const char *text, QuinceRequestDigest *digest)
{
  if (strlen (text) != QUINCE_REQUEST_DIGEST_BYTES * 2)
    return FALSE;
  for (guint i = 0; i < QUINCE_REQUEST_DIGEST_BYTES; i++)
    {
      gint high = g_ascii_xdigit_value (text[i * 2]);
      gint low = g_ascii_xdigit_value (text[i * 2 + 1]);
      if (high < 0 || low < 0)
        return FALSE;
      digest->bytes[i] = (guint8)(high * 16 + low);
    }
  return TRUE;
}
