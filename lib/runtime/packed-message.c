/*
 * packed-message.c: a large message, compressed.
 */
#include <quince/packed-message.h>

#include <gio/gio.h>

/* A smaller message goes as it is: it fits into two packets. */
#define PACK_LEAST_BYTES (2 * 1024)
/* What shrinks less goes as it is: unpacking costs its reader more than the bytes. */
#define SHARE_MOST 0.9
/* Fast rather than small: entries of workers shrink to a tenth all the same, texts of samples to two thirds.
 */
#define LEVEL 1
#define PIECE_BYTES (64 * 1024)

static GBytes *
compress (GBytes *bytes)
{
  gsize length;
  const void *data = g_bytes_get_data (bytes, &length);
  g_autoptr (GZlibCompressor) compressor = g_zlib_compressor_new (G_ZLIB_COMPRESSOR_FORMAT_ZLIB, LEVEL);
  g_autoptr (GOutputStream) memory = g_memory_output_stream_new_resizable ();
  g_autoptr (GOutputStream) stream = g_converter_output_stream_new (memory, G_CONVERTER (compressor));
  gboolean done = g_output_stream_write_all (stream, data, length, NULL, NULL, NULL)
                  && g_output_stream_close (stream, NULL, NULL);
  return done ? g_memory_output_stream_steal_as_bytes (G_MEMORY_OUTPUT_STREAM (memory)) : NULL;
}

GBytes *
quince_message_pack (GBytes *encoded)
{
  if (g_bytes_get_size (encoded) < PACK_LEAST_BYTES)
    return g_bytes_ref (encoded);
  g_autoptr (GBytes) compressed = compress (encoded);
  if (compressed == NULL
      || (double)g_bytes_get_size (compressed) > SHARE_MOST * (double)g_bytes_get_size (encoded))
    return g_bytes_ref (encoded);
  gsize length;
  QuinceMessage message = { .kind = QUINCE_MESSAGE_PACKED };
  QuincePacked *packed = &message.QuinceMessage_u.packed;
  packed->data.data_val = (char *)g_bytes_get_data (compressed, &length);
  packed->data.data_len = (u_int)length;
  GBytes *result = quince_message_encode (&message, NULL);
  return result != NULL ? result : g_bytes_ref (encoded);
}

/* Reads @stream to its end. Returns: NULL when it is broken, or longer than a frame may be */
static GByteArray *
read_all (GInputStream *stream, GError **error)
{
  g_autoptr (GByteArray) bytes = g_byte_array_new ();
  while (bytes->len <= QUINCE_MAX_FRAME)
    {
      guint before = bytes->len;
      g_byte_array_set_size (bytes, before + PIECE_BYTES);
      gssize length = g_input_stream_read (stream, bytes->data + before, PIECE_BYTES, NULL, error);
      g_byte_array_set_size (bytes, before + (guint)MAX (length, 0));
      if (length < 0)
        return NULL;
      if (length == 0)
        return g_steal_pointer (&bytes);
    }
  g_set_error_literal (error, G_IO_ERROR, G_IO_ERROR_MESSAGE_TOO_LARGE, "more than a frame may hold");
  return NULL;
}

QuinceMessage *
quince_message_unpack (const QuincePacked *packed, GError **error)
{
  g_autoptr (GZlibDecompressor) decompressor = g_zlib_decompressor_new (G_ZLIB_COMPRESSOR_FORMAT_ZLIB);
  g_autoptr (GInputStream) memory
      = g_memory_input_stream_new_from_data (packed->data.data_val, packed->data.data_len, NULL);
  g_autoptr (GInputStream) stream = g_converter_input_stream_new (memory, G_CONVERTER (decompressor));
  g_autoptr (GByteArray) bytes = read_all (stream, error);
  return bytes != NULL ? quince_message_decode (bytes->data, bytes->len, error) : NULL;
}
