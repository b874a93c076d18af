/*
 * packed-message.c: compresses messages and records with zlib.
 */
#include "runtime/packed-message.h"

#include <string.h>

#include <gio/gio.h>
#include <zlib.h>

/* Smaller messages are not packed: they fit into two packets. */
#define PACK_MIN_BYTES (2 * 1024)
/* Larger records are not packed: that would hold the leader's main loop for too long, and another copy in
 * memory. */
#define PACKED_RECORD_MAX_BYTES (8 * 1024 * 1024)
/* A message is sent unpacked if its packed size exceeds this fraction of its size, since the savings would
 * not justify the cost of unpacking. */
#define PACKED_SIZE_MAX_FRACTION 0.9
/* The fastest level of zlib.  Worker entries shrink to a tenth.  QUINCE_PACK_FAST does not search for
 * repetitions: 400 kB of random letters shrink to 0.60 of their size at 107 MB/s, and to 0.66 at 53 MB/s with
 * the search. */
#define COMPRESSION_LEVEL 1
/* Minimum growth of the output buffer when unpacking. */
#define BUFFER_GROWTH_MIN_BYTES 1024
/* The output buffer grows by at least this many times the remaining packed bytes. */
#define BUFFER_GROWTH_FACTOR 3
/* A window of 2^15 bytes, the default of zlib; ZLIB_FIRST_BYTE depends on it. */
#define WINDOW_BITS 15
/* The default of zlib: 128 KiB for its tables. */
#define MEMORY_LEVEL 8

static GBytes *
deflate_bytes (GBytes *bytes, QuincePackEffort effort)
{
  gsize length;
  const void *data = g_bytes_get_data (bytes, &length);
  z_stream stream = { 0 };
  int strategy = effort == QUINCE_PACK_FAST ? Z_HUFFMAN_ONLY : Z_DEFAULT_STRATEGY;
  if (deflateInit2 (&stream, COMPRESSION_LEVEL, Z_DEFLATED, WINDOW_BITS, MEMORY_LEVEL, strategy) != Z_OK)
    return NULL;
  uLong max_length = deflateBound (&stream, (uLong)length);
  g_autofree guint8 *packed = g_malloc (max_length);
  stream.next_in = (Bytef *)data;
  stream.avail_in = (uInt)length;
  stream.next_out = packed;
  stream.avail_out = (uInt)max_length;
  gboolean is_complete = deflate (&stream, Z_FINISH) == Z_STREAM_END;
  gsize packed_length = stream.total_out;
  deflateEnd (&stream);
  return is_complete ? g_bytes_new (packed, packed_length) : NULL;
}

/* Returns: (transfer full) (nullable): the packed bytes, or %NULL if @bytes is small or does not compress
 * well */
static GBytes *
compress_if_smaller (GBytes *bytes, QuincePackEffort effort)
{
  if (g_bytes_get_size (bytes) < PACK_MIN_BYTES)
    return NULL;
  g_autoptr (GBytes) compressed = deflate_bytes (bytes, effort);
  if (compressed == NULL
      || (double)g_bytes_get_size (compressed) > PACKED_SIZE_MAX_FRACTION * (double)g_bytes_get_size (bytes))
    return NULL;
  return g_steal_pointer (&compressed);
}

GBytes *
quince_message_pack (GBytes *encoded, QuincePackEffort effort)
{
  g_autoptr (GBytes) compressed = compress_if_smaller (encoded, effort);
  if (compressed == NULL)
    return g_bytes_ref (encoded);
  gsize length;
  QuinceMessage message = { .kind = QUINCE_MESSAGE_PACKED };
  QuincePacked *packed = &message.QuinceMessage_u.packed;
  packed->data.data_val = (char *)g_bytes_get_data (compressed, &length);
  packed->data.data_len = (u_int)length;
  GBytes *result = quince_message_encode (&message, NULL);
  return result != NULL ? result : g_bytes_ref (encoded);
}

/* Inflates @stream into @bytes.
 *
 * Returns: %FALSE if the stream is invalid or exceeds QUINCE_FRAME_MAX_BYTES unpacked */
static gboolean
inflate_all (z_stream *stream, GByteArray *bytes)
{
  while (bytes->len <= QUINCE_FRAME_MAX_BYTES)
    {
      guint previous_length = bytes->len;
      /* Texts compress to a half, worker entries to a tenth, so that few iterations are needed. */
      guint free_bytes
          = MAX (bytes->len, MAX (BUFFER_GROWTH_MIN_BYTES, BUFFER_GROWTH_FACTOR * stream->avail_in));
      g_byte_array_set_size (bytes, previous_length + free_bytes);
      stream->next_out = bytes->data + previous_length;
      stream->avail_out = free_bytes;
      int status = inflate (stream, Z_NO_FLUSH);
      g_byte_array_set_size (bytes, previous_length + free_bytes - stream->avail_out);
      if (status == Z_STREAM_END)
        return bytes->len <= QUINCE_FRAME_MAX_BYTES;
      if (status != Z_OK)
        return FALSE;
    }
  return FALSE;
}

/* Returns: (transfer full) (nullable): the unpacked bytes, or %NULL with @error */
static GByteArray *
inflate_bytes (const char *data, gsize length, GError **error)
{
  g_autoptr (GByteArray) bytes = g_byte_array_new ();
  z_stream stream = { .next_in = (Bytef *)data, .avail_in = (uInt)length };
  gboolean is_valid = inflateInit (&stream) == Z_OK && inflate_all (&stream, bytes);
  inflateEnd (&stream);
  if (is_valid)
    return g_steal_pointer (&bytes);
  gboolean is_too_large = bytes->len > QUINCE_FRAME_MAX_BYTES;
  g_set_error_literal (
      error, G_IO_ERROR, is_too_large ? G_IO_ERROR_MESSAGE_TOO_LARGE : G_IO_ERROR_INVALID_DATA,
      is_too_large ? "unpacked data exceeds the maximum frame size" : "compressed data is corrupt");
  return NULL;
}

QuinceMessage *
quince_message_unpack (const QuincePacked *packed, GError **error)
{
  g_autoptr (GByteArray) bytes = inflate_bytes (packed->data.data_val, packed->data.data_len, error);
  return bytes != NULL ? quince_message_decode (bytes->data, bytes->len, error) : NULL;
}

/* ---- Records ------------------------------------------------------------ */

/* First byte of a zlib stream with a window of 32 KiB.  It marks packed data: the first byte of an encoded
 * record is 0, the most significant byte of its kind. */
#define ZLIB_FIRST_BYTE 0x78

/* Returns: the kind of an unpacked encoded record, or G_MAXUINT32 if it is too short */
static guint32
get_encoded_record_kind (GBytes *encoded)
{
  guint32 kind = G_MAXUINT32;
  if (g_bytes_get_size (encoded) >= sizeof kind)
    memcpy (&kind, g_bytes_get_data (encoded, NULL), sizeof kind);
  return GUINT32_FROM_BE (kind);
}

GBytes *
quince_batch_record_pack (GBytes *encoded)
{
  guint32 kind = get_encoded_record_kind (encoded);
  /* The result in a LISTED record is already packed.  Compaction finds FORGET records by their first bytes.
   */
  if (kind == QUINCE_BATCH_RECORD_LISTED || kind == QUINCE_BATCH_RECORD_FORGET)
    return g_bytes_ref (encoded);
  if (g_bytes_get_size (encoded) > PACKED_RECORD_MAX_BYTES)
    return g_bytes_ref (encoded);
  GBytes *compressed = compress_if_smaller (encoded, QUINCE_PACK_FAST);
  return compressed != NULL ? compressed : g_bytes_ref (encoded);
}

GBytes *
quince_batch_result_pack (const QuinceBatchResult *result)
{
  g_autoptr (GBytes) encoded = quince_batch_result_encode (result, NULL);
  if (encoded == NULL)
    return NULL;
  GBytes *compressed = compress_if_smaller (encoded, QUINCE_PACK_FAST);
  return compressed != NULL ? compressed : g_steal_pointer (&encoded);
}

/* The first byte of an unpacked result is 0 too, the most significant byte of the length of a short text. */
QuinceBatchResult *
quince_batch_result_unpack (GBytes *body, GError **error)
{
  gsize length;
  const char *data = g_bytes_get_data (body, &length);
  if (length == 0 || data[0] != ZLIB_FIRST_BYTE)
    return quince_batch_result_decode (data, length, error);
  g_autoptr (GByteArray) bytes = inflate_bytes (data, length, error);
  return bytes != NULL ? quince_batch_result_decode (bytes->data, bytes->len, error) : NULL;
}

QuinceBatchRecord *
quince_batch_record_unpack (const char *data, gsize length, GError **error)
{
  if (length == 0 || data[0] != ZLIB_FIRST_BYTE)
    return quince_batch_record_decode (data, length, error);
  g_autoptr (GByteArray) bytes = inflate_bytes (data, length, error);
  return bytes != NULL ? quince_batch_record_decode (bytes->data, bytes->len, error) : NULL;
}
