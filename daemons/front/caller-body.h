/*
 * caller-body.h: collects the body of a caller's request within the front's memory account.
 *
 * The size that a request announces is reserved before the body is read; a body in chunks is reserved as it
 * arrives.  The collected bytes stay accounted for as long as anything refers to them, also after the caller
 * has left.
 */
#pragma once

#include "runtime/memory-account.h"

G_BEGIN_DECLS

typedef struct _QuinceCallerBody QuinceCallerBody;

typedef enum
{
  QUINCE_CALLER_BODY_ACCEPTED,
  QUINCE_CALLER_BODY_TOO_LARGE, /* exceeds the limit of a body */
  QUINCE_CALLER_BODY_NO_MEMORY, /* the account has no room for it */
} QuinceCallerBodyResult;

/**
 * quince_caller_body_new:
 * @account: must outlive the body and its bytes
 * @max_bytes: limit of the body
 * @evict: ends the request if it makes no progress and others need the memory
 */
QuinceCallerBody *quince_caller_body_new (QuinceMemoryAccount *account,
                                          gsize max_bytes,
                                          QuinceMemoryEvict evict,
                                          gpointer user_data);
void quince_caller_body_free (QuinceCallerBody *body);
/* Reserves memory for an announced size. */
QuinceCallerBodyResult quince_caller_body_announce (QuinceCallerBody *body, guint64 length, gint64 now_us);
/* Appends a part of the body.  Nothing has changed unless it is accepted. */
QuinceCallerBodyResult
quince_caller_body_append (QuinceCallerBody *body, const char *data, gsize length, gint64 now_us);
/* Frees @body.  Returns: (transfer full): the collected bytes */
GBytes *quince_caller_body_finish (QuinceCallerBody *body);

G_END_DECLS
