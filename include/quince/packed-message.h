/*
 * packed-message.h: a message, compressed: bytes between zones are paid for, and what many processes are
 * told at once must not fill the memory of the one that tells it.
 *
 * Links pack what quince_link_send() is given and unpack what they receive; only who encodes a message once
 * for many links packs it itself.
 */
#pragma once

#include <quince/codec.h>

G_BEGIN_DECLS

/**
 * quince_message_pack:
 * @encoded: by quince_message_encode()
 *
 * Returns: (transfer full): an encoded message of kind PACKED, or @encoded itself where that is small or
 * hardly shrinks
 */
GBytes *quince_message_pack (GBytes *encoded);

/**
 * quince_message_unpack:
 * @error: QUINCE_CODEC_ERROR or G_IO_ERROR: bytes that are no such message, or more than a frame may hold
 *
 * Returns: (transfer full): what was packed; free with quince_message_free()
 */
QuinceMessage *quince_message_unpack (const QuincePacked *packed, GError **error);

G_END_DECLS
