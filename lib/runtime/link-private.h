/*
 * link-private.h: internals of a link, shared by
 *
 *   link.c          creation, connecting, closing and measurement
 *   link-input.c    frames that arrive
 *   link-output.c   frames that are sent
 *   link-server.c   links of accepted connections
 */
#pragma once

#include "runtime/delivery-meter.h"
#include "runtime/link.h"
#include "runtime/output-queue.h"
#include "runtime/socket-watch.h"
#include "runtime/timer.h"

G_BEGIN_DECLS

/* Size of the length field, see quince_protocol.x. */
#define QUINCE_FRAME_HEADER_BYTES 4

struct _QuinceLink
{
  grefcount references;
  const QuinceLinkCallbacks *callbacks;
  gpointer user_data;
  GSocket *socket;                  /* NULL if the connection attempt failed immediately */
  QuinceSocketWatch *watch;         /* NULL if the link is closed or has no socket */
  QuinceTimer *connect_error_timer; /* reports connect_error from the main loop */
  GError *connect_error;            /* why socket is NULL */
  QuinceTimer *overflow_timer;      /* closes a link whose peer is too slow; NULL: it is not */
  GByteArray *input;                /* incomplete frame */
  gboolean frame_admitted;          /* the owner was asked about the frame in the input */
  QuinceMemoryHold *input_hold;     /* owned; of the frame in the input, or in message(); NULL: none */
  guint64 discarded_bytes_left;     /* of a frame that the owner did not admit */
  QuinceOutputQueue *output;        /* bytes that the kernel has not taken */
  gboolean is_connecting;
  gboolean watches_output; /* the send buffer of the kernel is full */
  gboolean is_open;
  guint64 bytes_sent;
  guint64 bytes_queued; /* since the link was created */
  guint64 answer_start; /* bytes_queued before the last answer */
  GBytes *last_probe;   /* NULL: none */
  gint64 last_probe_us; /* monotonic */
  QuinceDeliveryMeter delivery_meter;
  QuinceAnswerAllowance allowance;
};

/* Returns: (transfer full): a link over the connected @socket, whose reference it takes */
QuinceLink *
quince_link_new_accepted (GSocket *socket, const QuinceLinkCallbacks *callbacks, gpointer user_data);
/* Closes the link and calls closed() with @error, or with an error of @code and @text. */
void quince_link_fail (QuinceLink *link, const GError *error);
void quince_link_fail_code (QuinceLink *link, QuinceLinkError code, const char *text);
/* Reads once from the socket and handles what has arrived. */
void quince_link_read_input (QuinceLink *link);
/* Sends as much output as the kernel accepts, and watches for G_IO_OUT if some is left. */
void quince_link_write_output (QuinceLink *link);
/* Returns: the bytes that the kernel has not taken */
gsize quince_link_get_unsent_bytes (const QuinceLink *link);

G_END_DECLS
