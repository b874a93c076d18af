/*
 * engine-stream.h: the server-sent events of an engine, parsed as they come.
 *
 * Checks that tokens are contiguous and that the stream is whole: a finish
 * reason, then "data: [DONE]".  No I/O.
 */
#pragma once

#include <quince/engine-client.h>

typedef struct _QuinceEngineStream QuinceEngineStream;

typedef void (*QuinceEngineStreamChunk) (const QuinceEngineChunk *chunk, gpointer user_data);

/* @first_token: index that the first token must have */
QuinceEngineStream *
quince_engine_stream_new (guint first_token, QuinceEngineStreamChunk chunk, gpointer user_data);
void quince_engine_stream_free (QuinceEngineStream *stream);
/* Returns: %FALSE with @error: the stream cannot be trusted from here on. */
gboolean
quince_engine_stream_feed (QuinceEngineStream *stream, const char *data, gsize length, GError **error);
/* Whether "[DONE]" came after a finish reason, which is then @reason. */
gboolean quince_engine_stream_is_whole (const QuinceEngineStream *stream, QuinceFinishReason *reason);
