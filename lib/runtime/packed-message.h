/*
 * packed-message.h: compresses messages and records with zlib, to reduce the traffic between zones and the
 * memory of messages that are sent to many processes.
 *
 * Senders pack a message explicitly, so that a message to many receivers is compressed once.  Links unpack
 * received messages.
 */
#pragma once

#include "protocol/codec.h"

G_BEGIN_DECLS

typedef enum
{
  QUINCE_PACK_FAST,  /* Huffman coding only, for texts of samples */
  QUINCE_PACK_SMALL, /* with string matching, for messages to many processes */
} QuincePackEffort;

/**
 * quince_message_pack:
 * @encoded: a message from quince_message_encode()
 *
 * Returns: (transfer full): an encoded message of kind PACKED, or @encoded itself if it is small or does not
 * compress well
 */
GBytes *quince_message_pack (GBytes *encoded, QuincePackEffort effort);

/**
 * quince_message_unpack:
 * @error: QUINCE_CODEC_ERROR or G_IO_ERROR: the bytes are invalid, or exceed QUINCE_FRAME_MAX_BYTES unpacked
 *
 * Returns: (transfer full) (nullable): the unpacked message, or %NULL with @error; free with
 * quince_message_free()
 */
QuinceMessage *quince_message_unpack (const QuincePacked *packed, GError **error);

/* Packs a record of the batch ledger for the log and the backups.
 * @encoded: a record from quince_batch_record_encode()
 *
 * Returns: (transfer full): the packed record, or @encoded itself if it is small, does not compress well,
 * contains a packed result or is a FORGET record */
GBytes *quince_batch_record_pack (GBytes *encoded);
/* Encodes the result of a sample, and packs it if that makes it smaller.
 *
 * Returns: (transfer full) (nullable): the bytes, or %NULL if @result cannot be encoded */
GBytes *quince_batch_result_pack (const QuinceBatchResult *result);
/* Decodes a result, packed or not.
 * @error: as for quince_message_unpack()
 *
 * Returns: (transfer full) (nullable): the result, or %NULL with @error; free with quince_batch_result_free()
 */
QuinceBatchResult *quince_batch_result_unpack (GBytes *body, GError **error);
/* Decodes a record, packed or not.
 * @error: as for quince_message_unpack()
 *
 * Returns: (transfer full) (nullable): the record, or %NULL with @error; free with quince_batch_record_free()
 */
QuinceBatchRecord *quince_batch_record_unpack (const char *data, gsize length, GError **error);

G_END_DECLS
