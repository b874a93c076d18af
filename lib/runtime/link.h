/*
 * link.h: framed XDR messages over TCP, between fronts and replicas.
 *
 * A link owns its connection and its buffers; a server owns its listening socket.  Both belong to the
 * thread-default main context in which they were created; all calls and callbacks happen there.  A frame that
 * is too large or cannot be decoded closes the link with an error.  Links unpack compressed messages, see
 * packed-message.h.
 */
#pragma once

#include <gio/gio.h>

#include "runtime/answer-allowance.h"
#include "runtime/memory-account.h"
#include "protocol/codec.h"

G_BEGIN_DECLS

/* Error domain of links, passed to closed(); I/O errors are passed as G_IO_ERROR. */
#define QUINCE_LINK_ERROR (quince_link_error_quark ())
GQuark quince_link_error_quark (void);

typedef enum
{
  QUINCE_LINK_ERROR_CLOSED,    /* the peer closed the connection */
  QUINCE_LINK_ERROR_TOO_LARGE, /* a frame exceeds QUINCE_FRAME_MAX_BYTES */
  QUINCE_LINK_ERROR_MALFORMED, /* a frame cannot be decoded */
  QUINCE_LINK_ERROR_ADDRESS,   /* the address is not a numeric ip:port */
  QUINCE_LINK_ERROR_SLOW,      /* the peer reads too slowly; the output buffer is full */
} QuinceLinkError;

typedef struct _QuinceLink QuinceLink;

/* Smaller frames are not shown to admit(). */
#define QUINCE_LINK_ADMIT_MIN_BYTES (64 * 1024)

/**
 * QuinceLinkCallbacks:
 * @connected: (nullable): called when an outgoing link is connected
 * @message: called with each received message (transfer full)
 * @closed: (nullable): called once when the link fails or the peer closes it; not called after
 *   quince_link_close()
 * @admit: (nullable): called with the first bytes of a large frame, at least QUINCE_LINK_ADMIT_MIN_BYTES of
 *   them, before the rest is read.  May set @hold (transfer full), which is kept until message() has
 * returned. If it returns %FALSE, the frame is discarded
 */
typedef struct
{
  void (*connected) (QuinceLink *link, gpointer user_data);
  void (*message) (QuinceLink *link, QuinceMessage *message, gpointer user_data);
  void (*closed) (QuinceLink *link, const GError *error, gpointer user_data);
  gboolean (*admit) (QuinceLink *link,
                     const guint8 *start,
                     gsize available,
                     gsize frame_bytes,
                     QuinceMemoryHold **hold,
                     gpointer user_data);
} QuinceLinkCallbacks;

/**
 * quince_link_connect:
 * @address: numeric ip:port
 * @callbacks: must outlive the link
 *
 * Starts to connect.  Messages sent before the link is connected are queued.  A failure to connect is
 * reported through closed(), after this function has returned.
 *
 * Returns: (transfer full): the link
 */
QuinceLink *
quince_link_connect (const char *address, const QuinceLinkCallbacks *callbacks, gpointer user_data);

/* Encodes and queues @message (transfer none).  Does nothing if the link is closed. */
void quince_link_send (QuinceLink *link, const QuinceMessage *message);
/* Queues @encoded, a message from quince_message_encode().  Does nothing if the link is closed. */
void quince_link_send_bytes (QuinceLink *link, GBytes *encoded);
/* Queues @message, whose last part is an opaque of no bytes, with @tail in its place.  Large bytes are shared
 * in place of a copy until they are sent.  Does nothing if the link is closed. */
void quince_link_send_with_tail (QuinceLink *link, const QuinceMessage *message, GBytes *tail);
/* Returns: (transfer full) (nullable): the hold that admit() set for the message that message() is called
 * with, for an owner that keeps parts of it */
QuinceMemoryHold *quince_link_take_hold (QuinceLink *link);
/* Returns: whether a message of @length bytes fits behind those that wait, for messages that may be left out.
 * The link closes if it is given a message while more than it may hold waits. */
gboolean quince_link_has_room (QuinceLink *link, gsize length);

/* Closes the link without calling closed(); queued messages may be lost. */
void quince_link_close (QuinceLink *link);
/* Returns: whether the link is connected and not closed */
gboolean quince_link_is_connected (QuinceLink *link);
/* Returns: the bytes passed to the kernel so far, including frame headers */
guint64 quince_link_get_bytes_sent (QuinceLink *link);
/* Queues @encoded as quince_link_send_bytes() does and records it as a probe, a message that the peer answers
 * immediately.  The caller reports each answer with quince_link_record_probe_answer(). */
void quince_link_send_probe (QuinceLink *link, GBytes *encoded);
/* Records the answer to the oldest unanswered probe. */
void quince_link_record_probe_answer (QuinceLink *link);
/* Returns: the bytes that the peer has not received: those queued or not acknowledged by TCP, or the estimate
 * of delivery-meter.h if that is larger.  The estimate is ignored while the link has unread input. */
gsize quince_link_get_backlog (QuinceLink *link);
/* Returns: whether the socket has unread input */
gboolean quince_link_has_input (QuinceLink *link);
/* Returns: the size limit of an answer that is about to be queued, or 0 if none may be sent now; see
 * quince_answer_allowance_acquire().  If the answer is queued, the caller calls quince_link_finish_answer().
 */
gsize quince_link_acquire_answer (QuinceLink *link, gsize max_bytes);
/* Records the size of the answer, and repeats the last probe after it if that probe is recent.  The peer
 * answers the probe before its caller can read again, so that the answer does not count as undelivered at the
 * next read. */
void quince_link_finish_answer (QuinceLink *link);
QuinceLink *quince_link_ref (QuinceLink *link);
void quince_link_unref (QuinceLink *link);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceLink, quince_link_unref)

typedef struct _QuinceLinkServer QuinceLinkServer;

/**
 * quince_link_server_new:
 * @address: numeric ip:port to listen on; port 0 lets the kernel choose
 * @callbacks: callbacks of the accepted links; must outlive the server and its links
 * @accepted: called with each new link (transfer full)
 * @user_data: passed to @accepted and @callbacks
 *
 * Returns: (transfer full) (nullable): the server, or %NULL with @error
 */
QuinceLinkServer *quince_link_server_new (const char *address,
                                          const QuinceLinkCallbacks *callbacks,
                                          void (*accepted) (QuinceLink *link, gpointer user_data),
                                          gpointer user_data,
                                          GError **error);
/* Returns: (transfer none): the bound address as ip:port, with the port that the kernel chose for port 0 */
const char *quince_link_server_get_address (QuinceLinkServer *server);
void quince_link_server_free (QuinceLinkServer *server);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceLinkServer, quince_link_server_free)

G_END_DECLS
