/*
 * status-line.h: checks the status of a response.
 *
 * A status is three digits from 100 to 599 (RFC 9110, section 15).  The parser accepts any number of digits
 * up to the value 999, so that a malformed status would be passed on, or be taken for that of an interim
 * response, after which another response follows.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

typedef enum
{
  QUINCE_STATUS_LINE_VERSION, /* before the status */
  QUINCE_STATUS_LINE_STATUS,  /* in the digits of the status, or the blanks before them */
  QUINCE_STATUS_LINE_DONE,
} QuinceStatusLinePart;

/* The part of a status line that was read; all zero before its first byte. */
typedef struct
{
  QuinceStatusLinePart part;
  guint n_digits;
} QuinceStatusLine;

/* Reads the next @length bytes of a response; ignores those after the status. */
void quince_status_line_read (QuinceStatusLine *line, const char *data, gsize length);
/* Returns whether @status, the value of the digits that were read, is that of a response. */
gboolean quince_status_line_is_valid (const QuinceStatusLine *line, guint status);
/* Returns whether a response with @status has no body, whatever length it announces (RFC 9112, section 6.3).
 */
gboolean quince_status_has_no_body (guint status);

G_END_DECLS
