/*
 * engine-client.h: one streamed attempt on a model engine, over HTTP.
 *
 * Contract: docs/API.md, "Engine".  An attempt is sent once: nothing is ever
 * sent again by the HTTP library, since an attempt is not idempotent.  Calls
 * and callbacks belong to the context of the session.
 */
#pragma once

#include <libsoup/soup.h>
#include <quince/codec.h>

G_BEGIN_DECLS

#define QUINCE_ENGINE_CLIENT_ERROR (quince_engine_client_error_quark ())
GQuark quince_engine_client_error_quark (void);

typedef enum
{
  QUINCE_ENGINE_CLIENT_ERROR_ADDRESS,   /* not a numeric ip:port                       */
  QUINCE_ENGINE_CLIENT_ERROR_STATUS,    /* error status without the not-run header     */
  QUINCE_ENGINE_CLIENT_ERROR_CUT,       /* stream ended without its finish marker      */
  QUINCE_ENGINE_CLIENT_ERROR_TOO_LARGE, /* a line or the answer is above its bound     */
  QUINCE_ENGINE_CLIENT_ERROR_MALFORMED, /* an event that makes no sense                */
  QUINCE_ENGINE_CLIENT_ERROR_GAP,       /* tokens are missing, repeated or out of order */
  QUINCE_ENGINE_CLIENT_ERROR_SILENT,    /* no byte for the silence bound               */
  QUINCE_ENGINE_CLIENT_ERROR_EXPIRED,   /* not whole on its way by the dispatch's expiry */
} QuinceEngineClientError;

/**
 * QuinceEngineDispatch:
 * @address: engine, numeric ip:port
 * @resume_text: tokens that were generated elsewhere, "" for none
 * @resume_tokens: their count; the engine's first token has this index
 * @fresh_connection: never use a kept connection, so that a failure to reach
 *   the engine is certainly one before any byte of the body left
 * @expires_us: monotonic time, 0 for never; what has not left by then never does,
 *   also when the process was paused in the middle of sending it
 *
 * What to run.  Borrowed for the call of quince_engine_call_start() only.
 */
typedef struct
{
  const char *address;
  const char *service;
  const char *prompt;
  const char *request_id;
  guint attempt;
  guint max_tokens;
  int priority;
  guint64 min_version;
  const char *resume_text;
  guint resume_tokens;
  gboolean fresh_connection;
  gint64 expires_us;
} QuinceEngineDispatch;

/* Tokens as the engine reports them; @text is valid during the callback. */
typedef struct
{
  const char *text;
  guint64 weight_version;
  guint token_start;
  guint token_count;
} QuinceEngineChunk;

typedef enum
{
  QUINCE_FINISH_STOP,
  QUINCE_FINISH_LENGTH,
  QUINCE_FINISH_SWAP, /* stopped for a weight swap: the rest may be resumed */
} QuinceFinishReason;

const char *quince_finish_reason_to_text (QuinceFinishReason reason);

typedef struct _QuinceEngineCall QuinceEngineCall;

/**
 * QuinceEngineCallbacks:
 * @starting: immediately before the first byte of the body may leave; %FALSE
 *   forbids it and leads to failed() with nothing sent that an engine could run
 * @accepted: the engine began to answer
 * @chunk: tokens, in order and without gaps
 * @finished: finish marker and end of stream seen
 * @refused: the engine's own word that it did not run the attempt
 * @failed: @sent: whether any byte of the body may have left
 *
 * Exactly one of finished, refused and failed is called, and it is the last.
 */
typedef struct
{
  gboolean (*starting) (gpointer user_data);
  void (*accepted) (gpointer user_data);
  void (*chunk) (const QuinceEngineChunk *chunk, gpointer user_data);
  void (*finished) (QuinceFinishReason reason, gpointer user_data);
  void (*refused) (const char *type, gpointer user_data);
  void (*failed) (gboolean sent, const GError *error, gpointer user_data);
} QuinceEngineCallbacks;

/* A session fit for thousands of streams at a time. (transfer full) */
SoupSession *quince_engine_session_new (void);

/**
 * quince_engine_call_start:
 * @callbacks: must outlive the call; none runs before this returns
 *
 * Returns: (transfer full): the call
 */
QuinceEngineCall *quince_engine_call_start (SoupSession *session,
                                            const QuinceEngineDispatch *dispatch,
                                            const QuinceEngineCallbacks *callbacks,
                                            gpointer user_data);
/* Whether the engine said in its answer that it leaves. */
gboolean quince_engine_call_is_leaving (const QuinceEngineCall *call);
/* Ends the call without further callbacks and asks the engine to stop, when it may have it. */
void quince_engine_call_cancel (QuinceEngineCall *call);
void quince_engine_call_unref (QuinceEngineCall *call);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceEngineCall, quince_engine_call_unref)

G_END_DECLS
