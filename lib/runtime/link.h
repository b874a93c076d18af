/*
 * link.h: framed XDR messages over TCP, between fronts and replicas.
 *
 * A link owns its connection and the bytes on their way; a server owns its listening socket.  Both belong to
 * the thread-default context that created them; all calls and callbacks happen there.  A frame that is too
 * large or does not decode closes the link with a typed error, never the process.  Relies on
 * protocol/codec.h, on packed-message.h, by which compressed messages are unpacked, on socket-watch.h and on
 * acceptor.h.
 */
#pragma once

#include <gio/gio.h>

#include "runtime/answer-allowance.h"
#include "protocol/codec.h"

G_BEGIN_DECLS

/* Error domain of links: the cause that closed() gets. */
#define QUINCE_LINK_ERROR (quince_link_error_quark ())
GQuark quince_link_error_quark (void);

typedef enum
{
  QUINCE_LINK_ERROR_CLOSED,    /* the peer closed                          */
  QUINCE_LINK_ERROR_TOO_LARGE, /* frame above QUINCE_FRAME_MAX_BYTES             */
  QUINCE_LINK_ERROR_MALFORMED, /* frame that does not decode               */
  QUINCE_LINK_ERROR_ADDRESS,   /* not a numeric ip:port                    */
  QUINCE_LINK_ERROR_SLOW,      /* peer reads too slowly, output limit hit  */
} QuinceLinkError;

typedef struct _QuinceLink QuinceLink;

/**
 * QuinceLinkCallbacks:
 * @message: (transfer full): a message arrived
 * @closed: the link is down for good, called once; @error holds the cause.  Not
 *   called after quince_link_close()
 * @connected: (nullable): an outgoing link is up
 */
typedef struct
{
  void (*connected) (QuinceLink *link, gpointer user_data);
  void (*message) (QuinceLink *link, QuinceMessage *message, gpointer user_data);
  void (*closed) (QuinceLink *link, const GError *error, gpointer user_data);
} QuinceLinkCallbacks;

/**
 * quince_link_connect:
 * @address: numeric ip:port
 * @callbacks: must outlive the link
 *
 * Starts to connect; messages sent before the link is up are queued.  A
 * failure to connect is reported through closed().
 *
 * Returns: (transfer full): the link
 */
QuinceLink *
quince_link_connect (const char *address, const QuinceLinkCallbacks *callbacks, gpointer user_data);

/* Encodes and queues @message; the caller keeps it.  Sending on a closed link does nothing. */
void quince_link_send (QuinceLink *link, const QuinceMessage *message);
/* Queues a frame already encoded with quince_message_encode(). */
void quince_link_send_bytes (QuinceLink *link, GBytes *encoded);

/* Closes without further callbacks. */
void quince_link_close (QuinceLink *link);
gboolean quince_link_is_connected (QuinceLink *link);
/* Bytes handed to the kernel so far, frame headers included.  For tests, which bound what a message costs. */
guint64 quince_link_get_bytes_sent (QuinceLink *link);
/* Queues a frame as quince_link_send_bytes() does, of a message that the peer answers at once.  The owner
 * reports each answer by quince_link_record_probe_answer(). */
void quince_link_send_probe (QuinceLink *link, GBytes *encoded);
/* The peer has answered the oldest probe that it had not answered. */
void quince_link_record_probe_answer (QuinceLink *link);
/* Bytes that were sent and that the peer has not taken: what its machine has not acknowledged, or what came
 * after the last answered probe where the next one is late; see delivery-meter.h. */
gsize quince_link_get_backlog (QuinceLink *link);
/* Bytes have arrived that were not read yet. */
gboolean quince_link_has_input (QuinceLink *link);
/* (transfer none): how large answers on this link may be */
QuinceAnswerAllowance *quince_link_get_allowance (QuinceLink *link);
QuinceLink *quince_link_ref (QuinceLink *link);
void quince_link_unref (QuinceLink *link);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceLink, quince_link_unref)

typedef struct _QuinceLinkServer QuinceLinkServer;

/**
 * quince_link_server_new:
 * @address: numeric ip:port to listen on; port 0 lets the kernel choose
 * @accepted: (transfer full): called with each new link
 */
QuinceLinkServer *quince_link_server_new (const char *address,
                                          const QuinceLinkCallbacks *callbacks,
                                          void (*accepted) (QuinceLink *link, gpointer user_data),
                                          gpointer user_data,
                                          GError **error);
/* The address really listened on, ip:port. */
const char *quince_link_server_get_address (QuinceLinkServer *server);
void quince_link_server_free (QuinceLinkServer *server);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceLinkServer, quince_link_server_free)

G_END_DECLS
