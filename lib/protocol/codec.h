/*
 * codec.h: XDR encoding of messages and stored records; the types are those of quince_protocol.x.
 *
 * Keeps no state.  Strings are never %NULL: an absent one is "".  Decoded values own their memory (libc
 * malloc) and are released with the free functions here.  Relies on the code that
 * scripts/generate-protocol.sh makes.
 */
#pragma once

#include <glib.h>

#include "quince_protocol.h"

G_BEGIN_DECLS

#define QUINCE_CODEC_ERROR (quince_codec_error_quark ())
GQuark quince_codec_error_quark (void);

typedef enum
{
  QUINCE_CODEC_ERROR_ENCODE,   /* a field is too long                      */
  QUINCE_CODEC_ERROR_DECODE,   /* not a valid encoding of the type         */
  QUINCE_CODEC_ERROR_TRAILING, /* bytes are left over                      */
} QuinceCodecError;

/* Generic forms; @proc is the generated xdr_TYPE function, @size sizeof (TYPE).  Encode and decode are public
 * for tests, which send hostile bytes to any type. */

/* Returns: (transfer full): or %NULL with QUINCE_CODEC_ERROR_ENCODE */
GBytes *quince_xdr_encode (xdrproc_t proc, gconstpointer value, GError **error);
/* Returns: (transfer full): or %NULL with QUINCE_CODEC_ERROR_DECODE or QUINCE_CODEC_ERROR_TRAILING; release
 * with quince_xdr_free() */
gpointer quince_xdr_decode (xdrproc_t proc, gsize size, gconstpointer data, gsize length, GError **error);
/* Returns: (transfer full): or %NULL where @value does not encode */
gpointer quince_xdr_copy (xdrproc_t proc, gsize size, gconstpointer value);
/* @value: (transfer full) (nullable) */
void quince_xdr_free (xdrproc_t proc, gpointer value);

/* Typed forms, with errors and ownership of the generic ones. */
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

QUINCE_DECLARE_FREE (QuinceBatchJob, quince_batch_job)

/* Protocol strings come from and go to libc malloc; g_strdup() is the same
 * allocator in GLib 2.46 and later. */
static inline char *
quince_string (const char *text)
{
  return g_strdup (text != NULL ? text : "");
}

G_END_DECLS
