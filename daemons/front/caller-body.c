/*
 * caller-body.c: collects the body of a caller's request within the front's memory account.
 */
#include "caller-body.h"

/* Size of the first buffer of a body whose size is not announced. */
#define INITIAL_BYTES 1024

struct _QuinceCallerBody
{
  GByteArray *bytes;
  QuinceMemoryHold *hold; /* owned */
  gsize max_bytes;
};

QuinceCallerBody *
quince_caller_body_new (QuinceMemoryAccount *account,
                        gsize max_bytes,
                        QuinceMemoryEvict evict,
                        gpointer user_data)
{
  QuinceCallerBody *body = g_new0 (QuinceCallerBody, 1);
  body->hold = quince_memory_hold_new (account, evict, user_data);
  body->max_bytes = max_bytes;
  return body;
}

void
quince_caller_body_free (QuinceCallerBody *body)
{
  if (body == NULL)
    return;
  g_clear_pointer (&body->bytes, g_byte_array_unref);
  quince_memory_hold_free (body->hold);
  g_free (body);
}

QuinceCallerBodyResult
quince_caller_body_announce (QuinceCallerBody *body, guint64 length, gint64 now_us)
{
  if (length > body->max_bytes)
    return QUINCE_CALLER_BODY_TOO_LARGE;
  if (!quince_memory_hold_reserve (body->hold, length, now_us))
    return QUINCE_CALLER_BODY_NO_MEMORY;
  quince_memory_hold_set_waiting (body->hold, TRUE, now_us);
  /* The kernel provides the memory of a large buffer as it is written to. */
  body->bytes = g_byte_array_sized_new ((guint)length);
  return QUINCE_CALLER_BODY_ACCEPTED;
}

QuinceCallerBodyResult
quince_caller_body_append (QuinceCallerBody *body, const char *data, gsize length, gint64 now_us)
{
  if (body->bytes == NULL)
    {
      body->bytes = g_byte_array_sized_new (INITIAL_BYTES);
      quince_memory_hold_set_waiting (body->hold, TRUE, now_us);
    }
  gsize total_bytes = body->bytes->len + length;
  if (total_bytes > body->max_bytes)
    return QUINCE_CALLER_BODY_TOO_LARGE;
  gboolean is_reserved = total_bytes <= quince_memory_hold_get_bytes (body->hold);
  if (!is_reserved && !quince_memory_hold_reserve (body->hold, total_bytes, now_us))
    return QUINCE_CALLER_BODY_NO_MEMORY;
  g_byte_array_append (body->bytes, (const guint8 *)data, (guint)length);
  quince_memory_hold_record_progress (body->hold, length, now_us);
  return QUINCE_CALLER_BODY_ACCEPTED;
}

GBytes *
quince_caller_body_finish (QuinceCallerBody *body)
{
  gsize length = body->bytes != NULL ? body->bytes->len : 0;
  /* Complete: it waits for its worker or the leader, and is not ended for others. */
  quince_memory_hold_set_waiting (body->hold, FALSE, 0);
  quince_memory_hold_set (body->hold, length);
  if (length == 0)
    {
      quince_caller_body_free (body);
      return g_bytes_new (NULL, 0);
    }
  return g_bytes_new_with_free_func (body->bytes->data, length, (GDestroyNotify)quince_caller_body_free,
                                     body);
}
