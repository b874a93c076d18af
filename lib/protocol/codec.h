/*
 * codec.h: XDR encoding of the internal protocol.
 *
 * The message types are those of quince_protocol.x.  Strings are never NULL:
 * an absent one is "".  Decoded values own their memory (libc malloc) and are
 * released with the free functions here.
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

/* Generic forms; @proc is the generated xdr_TYPE function, @size sizeof (TYPE). */
GBytes *quince_xdr_encode (xdrproc_t proc, gconstpointer value, GError **error);
gpointer quince_xdr_decode (xdrproc_t proc, gsize size, gconstpointer data, gsize length, GError **error);
gpointer quince_xdr_copy (xdrproc_t proc, gsize size, gconstpointer value);
void quince_xdr_free (xdrproc_t proc, gpointer value);

/* Typed forms: quince_message_encode (const QuinceMessage *, GError **) and so on. */
#define QUINCE_DECLARE_CODEC(Type, name)                                                                     \
  GBytes *name##_encode (const Type *value, GError **error);                                                 \
  Type *name##_decode (gconstpointer data, gsize length, GError **error);                                    \
  Type *name##_copy (const Type *value);                                                                     \
  void name##_free (Type *value);                                                                            \
  G_DEFINE_AUTOPTR_CLEANUP_FUNC (Type, name##_free)

QUINCE_DECLARE_CODEC (QuinceMessage, quince_message)
QUINCE_DECLARE_CODEC (QuinceGossip, quince_gossip)
QUINCE_DECLARE_CODEC (QuinceReplication, quince_replication)
QUINCE_DECLARE_CODEC (QuinceLedgerRecord, quince_ledger_record)
QUINCE_DECLARE_CODEC (QuinceLedgerCall, quince_ledger_call)
QUINCE_DECLARE_CODEC (QuinceLedgerReply, quince_ledger_reply)
QUINCE_DECLARE_CODEC (QuinceReplicaSet, quince_replica_set)
QUINCE_DECLARE_CODEC (QuinceEntry, quince_entry)
QUINCE_DECLARE_CODEC (QuinceGrantRequest, quince_grant_request)
QUINCE_DECLARE_CODEC (QuinceGrantReply, quince_grant_reply)
QUINCE_DECLARE_CODEC (QuinceNodeStatus, quince_node_status)
QUINCE_DECLARE_CODEC (QuincePolicyBody, quince_policy_body)
QUINCE_DECLARE_CODEC (QuinceCommand, quince_command)
QUINCE_DECLARE_CODEC (QuinceSampleResult, quince_sample_result)
QUINCE_DECLARE_CODEC (QuinceBatchJob, quince_batch_job)
QUINCE_DECLARE_CODEC (QuinceBatchResult, quince_batch_result)
QUINCE_DECLARE_CODEC (QuinceBatchRecord, quince_batch_record)
QUINCE_DECLARE_CODEC (QuinceLedgerView, quince_ledger_view)

/* Gives @reply an empty result of @kind that encodes; what was there is not released. */
void quince_ledger_reply_set_empty (QuinceLedgerReply *reply, QuinceCommandKind kind);

/* Protocol strings come from and go to libc malloc; g_strdup() is the same
 * allocator in GLib 2.46 and later. */
static inline char *
quince_string (const char *text)
{
  return g_strdup (text != NULL ? text : "");
}

G_END_DECLS
