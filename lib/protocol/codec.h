/*
 * codec.h: XDR encoding of the messages and stored records that quince_protocol.x defines.
 *
 * Strings are never %NULL; an absent string is "".  Decoded values own their memory, which is allocated with
 * malloc(), and must be released with the free functions of this header.  scripts/generate-protocol.sh
 * generates the XDR functions from quince_protocol.x.
 */
#pragma once

#include <glib.h>

#include "quince_protocol.h"

G_BEGIN_DECLS

#define QUINCE_CODEC_ERROR (quince_codec_error_quark ())
GQuark quince_codec_error_quark (void);

typedef enum
{
  QUINCE_CODEC_ERROR_ENCODE,   /* a field or the whole encoding is too long */
  QUINCE_CODEC_ERROR_DECODE,   /* malformed, or longer than QUINCE_FRAME_MAX_BYTES */
  QUINCE_CODEC_ERROR_TRAILING, /* bytes follow the encoded value */
} QuinceCodecError;

/* Functions for any type; @proc is the generated xdr_TYPE function and @size is sizeof (TYPE).  Encode and
 * decode are public for tests that decode malformed data of every type. */

/* Returns: (transfer full) (nullable): the encoding, or %NULL with QUINCE_CODEC_ERROR_ENCODE */
GBytes *quince_xdr_encode (xdrproc_t proc, gconstpointer value, GError **error);
/* Returns: (transfer full) (nullable): the value, or %NULL with QUINCE_CODEC_ERROR_DECODE or
 * QUINCE_CODEC_ERROR_TRAILING; free with quince_xdr_free() */
gpointer quince_xdr_decode (xdrproc_t proc, gsize size, gconstpointer data, gsize length, GError **error);
/* Returns: (transfer full) (nullable): a deep copy, or %NULL if @value cannot be encoded */
gpointer quince_xdr_copy (xdrproc_t proc, gsize size, gconstpointer value);
/* Frees @value and the memory that it owns.  @value may be %NULL. */
void quince_xdr_free (xdrproc_t proc, gpointer value);

/* Functions for one type, with the errors and the ownership of the functions above. */
#define QUINCE_DECLARE_ENCODE(Type, name) GBytes *name##_encode (const Type *value, GError **error)
#define QUINCE_DECLARE_DECODE(Type, name)                                                                    \
  Type *name##_decode (gconstpointer data, gsize length, GError **error)
#define QUINCE_DECLARE_COPY(Type, name) Type *name##_copy (const Type *value)
#define QUINCE_DECLARE_FREE(Type, name)                                                                      \
  void name##_free (Type *value);                                                                            \
  G_DEFINE_AUTOPTR_CLEANUP_FUNC (Type, name##_free)

QUINCE_DECLARE_ENCODE (QuinceMessage, quince_message);
QUINCE_DECLARE_DECODE (QuinceMessage, quince_message);
QUINCE_DECLARE_FREE (QuinceMessage, quince_message)

QUINCE_DECLARE_ENCODE (QuinceBatchRecord, quince_batch_record);
QUINCE_DECLARE_DECODE (QuinceBatchRecord, quince_batch_record);
QUINCE_DECLARE_FREE (QuinceBatchRecord, quince_batch_record)

QUINCE_DECLARE_ENCODE (QuinceBatchResult, quince_batch_result);
QUINCE_DECLARE_DECODE (QuinceBatchResult, quince_batch_result);
QUINCE_DECLARE_FREE (QuinceBatchResult, quince_batch_result)

QUINCE_DECLARE_ENCODE (QuinceLedgerView, quince_ledger_view);
QUINCE_DECLARE_DECODE (QuinceLedgerView, quince_ledger_view);
QUINCE_DECLARE_COPY (QuinceLedgerView, quince_ledger_view);
QUINCE_DECLARE_FREE (QuinceLedgerView, quince_ledger_view)

QUINCE_DECLARE_ENCODE (QuinceLedgerChange, quince_ledger_change);
QUINCE_DECLARE_DECODE (QuinceLedgerChange, quince_ledger_change);
QUINCE_DECLARE_COPY (QuinceLedgerChange, quince_ledger_change);
QUINCE_DECLARE_FREE (QuinceLedgerChange, quince_ledger_change)

QUINCE_DECLARE_FREE (QuinceBatchJob, quince_batch_job)

/* Returns: (transfer full): a copy of @text, or of "" if @text is %NULL, for a string field.  XDR functions
 * free strings with free(), which matches g_strdup() in GLib 2.46 and later. */
static inline char *
quince_string (const char *text)
{
  return g_strdup (text != NULL ? text : "");
}

/* Read the id of a call from the start of an encoded call or reply.  Return %FALSE if it is another message.
 */
gboolean quince_message_peek_service_call (const guint8 *data, gsize length, guint64 *id);
gboolean quince_message_peek_service_reply (const guint8 *data, gsize length, guint64 *id);

G_END_DECLS
