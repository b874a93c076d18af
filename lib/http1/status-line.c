/*
 * status-line.c: checks the status of a response; see status-line.h.
 */
#include "http1/status-line.h"

#define STATUS_DIGITS 3
#define STATUS_MIN 100
#define STATUS_MAX 599
#define STATUS_FINAL_MIN 200
#define STATUS_NO_CONTENT 204
#define STATUS_NOT_MODIFIED 304

static void
read_byte (QuinceStatusLine *line, char byte)
{
  if (line->part == QUINCE_STATUS_LINE_VERSION)
    line->part = byte == ' ' ? QUINCE_STATUS_LINE_STATUS : QUINCE_STATUS_LINE_VERSION;
  else if (g_ascii_isdigit (byte))
    line->n_digits++;
  else if (line->n_digits > 0)
    line->part = QUINCE_STATUS_LINE_DONE;
}

void
quince_status_line_read (QuinceStatusLine *line, const char *data, gsize length)
{
  for (gsize i = 0; i < length && line->part != QUINCE_STATUS_LINE_DONE; i++)
    read_byte (line, data[i]);
}

gboolean
quince_status_line_is_valid (const QuinceStatusLine *line, guint status)
{
  return line->n_digits == STATUS_DIGITS && status >= STATUS_MIN && status <= STATUS_MAX;
}

gboolean
quince_status_has_no_body (guint status)
{
  return status < STATUS_FINAL_MIN || status == STATUS_NO_CONTENT || status == STATUS_NOT_MODIFIED;
}
