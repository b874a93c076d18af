/*
 * packed-message.h: compressed messages and records: bytes between zones are paid for, and a message to many
 * processes must not fill the memory of its sender.
 *
 * The sender decides whether a message is packed, since packing costs processor time: a message to many is
 * packed once.  Links unpack what they receive.  Keeps no state; relies on zlib.
 */
#pragma once

#include "protocol/codec.h"

G_BEGIN_DECLS

typedef enum
{
  QUINCE_PACK_FAST,  /* for texts of samples: Huffman codes alone */
  QUINCE_PACK_SMALL, /* for what many processes get: with a search for repetitions */
} QuincePackEffort;

/**
 * quince_message_pack:
 * @encoded: by quince_message_encode()
 *
 * Returns: (transfer full): an encoded message of kind PACKED, or @encoded itself where that is small or
 * hardly shrinks
 */
GBytes *quince_message_pack (GBytes *encoded, QuincePackEffort effort);

/**
 * quince_message_unpack:
 * @error: QUINCE_CODEC_ERROR or G_IO_ERROR: bytes that are no such message, or more than a frame may hold
 *
 * Returns: (transfer full): what was packed; free with quince_message_free()
 */
QuinceMessage *quince_message_unpack (const QuincePacked *packed, GError **error);

/* A record of the batch ledger for its log and its backups: packed once, where that is worth it.
 * @encoded: by quince_batch_record_encode() */
GBytes *quince_batch_record_pack (GBytes *encoded);
/* A result of a sample for its record. (transfer full) (nullable): NULL: it does not fit its type */
GBytes *quince_batch_result_pack (const QuinceBatchResult *result);
/* (transfer full) (nullable): free with quince_batch_result_free(); errors as quince_message_unpack() */
QuinceBatchResult *quince_batch_result_unpack (GBytes *body, GError **error);
/* Decodes a record whether it is packed or not.
 * @error: as quince_message_unpack()
 *
 * Returns: (transfer full): free with quince_batch_record_free() */
QuinceBatchRecord *quince_batch_record_unpack (const char *data, gsize length, GError **error);

G_END_DECLS
