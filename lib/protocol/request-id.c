/*
 * request-id.c: UUID version 7 identifiers, hashes and rendezvous scores.
 */
#include "protocol/request-id.h"

#include <errno.h>
#include <string.h>
#include <sys/random.h>
#include <xxhash.h>

#define TIME_BYTES 6
#define VERSION_BYTE 6
#define VARIANT_BYTE 8

static void
random_bytes (gpointer buffer, gsize length)
{
  gsize done = 0;
  while (done < length)
    {
      ssize_t got = getrandom ((char *)buffer + done, length - done, 0);
      if (got < 0 && errno != EINTR)
        g_error ("getrandom: %s", g_strerror (errno));
      if (got > 0)
        done += (gsize)got;
    }
}

void
quince_request_id_generate (QuinceRequestId id, gint64 wall_ms)
{
  guint8 *bytes = (guint8 *)id;
  random_bytes (bytes, QUINCE_ID_BYTES);
  for (guint i = 0; i < TIME_BYTES; i++)
    bytes[i] = (guint8)(wall_ms >> (8 * (TIME_BYTES - 1 - i)));
  bytes[VERSION_BYTE] = 0x70 | (bytes[VERSION_BYTE] & 0x0f);
  bytes[VARIANT_BYTE] = 0x80 | (bytes[VARIANT_BYTE] & 0x3f);
}

/* A hyphen stands before these bytes in the text form. */
static gboolean
hyphen_before (guint byte)
{
  return byte == 4 || byte == 6 || byte == 8 || byte == 10;
}

gboolean
quince_request_id_parse (const char *text, QuinceRequestId id)
{
  if (text == NULL || strlen (text) != QUINCE_REQUEST_ID_TEXT_LENGTH)
    return FALSE;
  guint8 bytes[QUINCE_ID_BYTES];
  const char *at = text;
  for (guint i = 0; i < QUINCE_ID_BYTES; i++)
    {
      if (hyphen_before (i) && *at++ != '-')
        return FALSE;
      int high = g_ascii_xdigit_value (at[0]);
      int low = g_ascii_xdigit_value (at[1]);
      if (high < 0 || low < 0)
        return FALSE;
      bytes[i] = (guint8)(high << 4 | low);
      at += 2;
    }
  if ((bytes[VERSION_BYTE] & 0xf0) != 0x70 || (bytes[VARIANT_BYTE] & 0xc0) != 0x80)
    return FALSE;
  memcpy (id, bytes, QUINCE_ID_BYTES);
  return TRUE;
}

void
quince_request_id_format (const QuinceRequestId id, char text[QUINCE_REQUEST_ID_TEXT_LENGTH + 1])
{
  static const char digits[] = "0123456789abcdef";
  const guint8 *bytes = (const guint8 *)id;
  char *at = text;
  for (guint i = 0; i < QUINCE_ID_BYTES; i++)
    {
      if (hyphen_before (i))
        *at++ = '-';
      *at++ = digits[bytes[i] >> 4];
      *at++ = digits[bytes[i] & 0x0f];
    }
  *at = '\0';
}

gint64
quince_request_id_get_time_ms (const QuinceRequestId id)
{
  const guint8 *bytes = (const guint8 *)id;
  gint64 time_ms = 0;
  for (guint i = 0; i < TIME_BYTES; i++)
    time_ms = time_ms << 8 | bytes[i];
  return time_ms;
}

guint
quince_request_id_hash (gconstpointer id)
{
  return (guint)XXH3_64bits (id, QUINCE_ID_BYTES);
}

gboolean
quince_request_id_equal (gconstpointer a, gconstpointer b)
{
  return memcmp (a, b, QUINCE_ID_BYTES) == 0;
}

guint64
quince_hash64 (gconstpointer data, gsize length, guint64 seed)
{
  return XXH3_64bits_withSeed (data, length, seed);
}

char *
quince_hash_text (const char *text, gsize length)
{
  XXH128_hash_t hash = XXH3_128bits (text, length);
  return g_strdup_printf ("%016" G_GINT64_MODIFIER "x%016" G_GINT64_MODIFIER "x", (guint64)hash.high64,
                          (guint64)hash.low64);
}
