/*
 * codec.c: XDR encoding of the internal protocol (RFC 4506); see codec.h.
 */
#include "protocol/codec.h"

#include <string.h>

G_DEFINE_QUARK (quince - codec - error - quark, quince_codec_error)

GBytes *
quince_xdr_encode (xdrproc_t proc, gconstpointer value, GError **error)
{
  /* XDR functions take a non-const value, but do not modify it when they encode. */
  gulong size = xdr_sizeof (proc, (gpointer)value);
  if (size == 0 || size > QUINCE_FRAME_MAX_BYTES)
    {
      g_set_error_literal (error, QUINCE_CODEC_ERROR, QUINCE_CODEC_ERROR_ENCODE,
                           "value exceeds the limits of its type");
      return NULL;
    }
  char *buffer = g_malloc (size);
  XDR xdrs;
  xdrmem_create (&xdrs, buffer, (u_int)size, XDR_ENCODE);
  gboolean success = proc (&xdrs, (gpointer)value);
  u_int length = xdr_getpos (&xdrs);
  xdr_destroy (&xdrs);
  if (!success)
    {
      g_free (buffer);
      g_set_error_literal (error, QUINCE_CODEC_ERROR, QUINCE_CODEC_ERROR_ENCODE,
                           "value exceeds the limits of its type");
      return NULL;
    }
  return g_bytes_new_take (buffer, length);
}

gpointer
quince_xdr_decode (xdrproc_t proc, gsize size, gconstpointer data, gsize length, GError **error)
{
  if (length > QUINCE_FRAME_MAX_BYTES)
    {
      g_set_error (error, QUINCE_CODEC_ERROR, QUINCE_CODEC_ERROR_DECODE,
                   "%" G_GSIZE_FORMAT " bytes exceed the maximum frame size", length);
      return NULL;
    }
  gpointer value = g_malloc0 (size);
  XDR xdrs;
  xdrmem_create (&xdrs, (char *)data, (u_int)length, XDR_DECODE);
  gboolean success = proc (&xdrs, value);
  gsize consumed = xdr_getpos (&xdrs);
  xdr_destroy (&xdrs);
  if (success && consumed == length)
    return value;

  quince_xdr_free (proc, value);
  if (success)
    g_set_error (error, QUINCE_CODEC_ERROR, QUINCE_CODEC_ERROR_TRAILING,
                 "%" G_GSIZE_FORMAT " bytes follow the encoded value", length - consumed);
  else
    g_set_error_literal (error, QUINCE_CODEC_ERROR, QUINCE_CODEC_ERROR_DECODE, "malformed encoding");
  return NULL;
}

gpointer
quince_xdr_copy (xdrproc_t proc, gsize size, gconstpointer value)
{
  g_autoptr (GBytes) encoded = quince_xdr_encode (proc, value, NULL);
  if (encoded == NULL)
    return NULL;
  gsize length;
  gconstpointer data = g_bytes_get_data (encoded, &length);
  return quince_xdr_decode (proc, size, data, length, NULL);
}

void
quince_xdr_free (xdrproc_t proc, gpointer value)
{
  if (value == NULL)
    return;
  xdr_free (proc, value);
  g_free (value);
}

#define QUINCE_DEFINE_ENCODE(Type, name)                                                                     \
  GBytes *name##_encode (const Type *value, GError **error)                                                  \
  {                                                                                                          \
    return quince_xdr_encode ((xdrproc_t)xdr_##Type, value, error);                                          \
  }

#define QUINCE_DEFINE_DECODE(Type, name)                                                                     \
  Type *name##_decode (gconstpointer data, gsize length, GError **error)                                     \
  {                                                                                                          \
    return quince_xdr_decode ((xdrproc_t)xdr_##Type, sizeof (Type), data, length, error);                    \
  }

#define QUINCE_DEFINE_COPY(Type, name)                                                                       \
  Type *name##_copy (const Type *value)                                                                      \
  {                                                                                                          \
    return quince_xdr_copy ((xdrproc_t)xdr_##Type, sizeof (Type), value);                                    \
  }

#define QUINCE_DEFINE_FREE(Type, name)                                                                       \
  void name##_free (Type *value)                                                                             \
  {                                                                                                          \
    quince_xdr_free ((xdrproc_t)xdr_##Type, value);                                                          \
  }

QUINCE_DEFINE_ENCODE (QuinceMessage, quince_message)
QUINCE_DEFINE_DECODE (QuinceMessage, quince_message)
QUINCE_DEFINE_FREE (QuinceMessage, quince_message)
QUINCE_DEFINE_ENCODE (QuinceBatchRecord, quince_batch_record)
QUINCE_DEFINE_DECODE (QuinceBatchRecord, quince_batch_record)
QUINCE_DEFINE_FREE (QuinceBatchRecord, quince_batch_record)
QUINCE_DEFINE_ENCODE (QuinceBatchResult, quince_batch_result)
QUINCE_DEFINE_DECODE (QuinceBatchResult, quince_batch_result)
QUINCE_DEFINE_FREE (QuinceBatchResult, quince_batch_result)
QUINCE_DEFINE_ENCODE (QuinceLedgerView, quince_ledger_view)
QUINCE_DEFINE_DECODE (QuinceLedgerView, quince_ledger_view)
QUINCE_DEFINE_COPY (QuinceLedgerView, quince_ledger_view)
QUINCE_DEFINE_FREE (QuinceLedgerView, quince_ledger_view)
QUINCE_DEFINE_ENCODE (QuinceLedgerChange, quince_ledger_change)
QUINCE_DEFINE_DECODE (QuinceLedgerChange, quince_ledger_change)
QUINCE_DEFINE_COPY (QuinceLedgerChange, quince_ledger_change)
QUINCE_DEFINE_FREE (QuinceLedgerChange, quince_ledger_change)
QUINCE_DEFINE_FREE (QuinceBatchJob, quince_batch_job)

/* Reads the id that follows the kind of a message.  Returns %FALSE if it is not of @kind. */
static gboolean
peek_id (const guint8 *data, gsize length, QuinceMessageKind kind, guint64 *id)
{
  guint32 encoded_kind;
  guint64 encoded_id;
  if (length < sizeof encoded_kind + sizeof encoded_id)
    return FALSE;
  memcpy (&encoded_kind, data, sizeof encoded_kind);
  memcpy (&encoded_id, data + sizeof encoded_kind, sizeof encoded_id);
  *id = GUINT64_FROM_BE (encoded_id);
  return GUINT32_FROM_BE (encoded_kind) == (guint32)kind;
}

gboolean
quince_message_peek_service_call (const guint8 *data, gsize length, guint64 *id)
{
  return peek_id (data, length, QUINCE_MESSAGE_SERVICE_CALL, id);
}

gboolean
quince_message_peek_service_reply (const guint8 *data, gsize length, guint64 *id)
{
  return peek_id (data, length, QUINCE_MESSAGE_SERVICE_REPLY, id);
}
