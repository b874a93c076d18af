/*
 * attempt-key.h: identity of one attempt of a request, as a hash table key.
 */
#pragma once

#include <quince/codec.h>

typedef struct
{
  guint8 request_id[QUINCE_ID_BYTES];
  guint32 attempt;
} QuinceAttemptKey;

guint quince_attempt_key_hash (gconstpointer key);
gboolean quince_attempt_key_equal (gconstpointer first, gconstpointer second);
void quince_attempt_key_set (QuinceAttemptKey *key, const void *request_id, guint attempt);
