/*
 * attempt-key.c: see attempt-key.h.
 */
#include "attempt-key.h"

#include <string.h>
#include <xxhash.h>

guint
quince_attempt_key_hash (gconstpointer key)
{
  return (guint)XXH3_64bits (key, sizeof (QuinceAttemptKey));
}

gboolean
quince_attempt_key_equal (gconstpointer first, gconstpointer second)
{
  return memcmp (first, second, sizeof (QuinceAttemptKey)) == 0;
}

void
quince_attempt_key_set (QuinceAttemptKey *key, const void *request_id, guint attempt)
{
  memcpy (key->request_id, request_id, QUINCE_ID_BYTES);
  key->attempt = attempt;
}
