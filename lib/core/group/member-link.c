/*
 * member-link.c: when a link to another member is closed.
 */
#include "core/group/member-link.h"

/* Time without a message after which a connected link is closed, us.  Longer than the 440 ms between two
 * queries to all members, so that links stay open between them. */
#define IDLE_TIMEOUT_US (500 * 1000)
/* Timeout for connecting, us.  Longer than the 1 s after which the kernel repeats a lost SYN. */
#define CONNECT_TIMEOUT_US (1200 * 1000)

gboolean
quince_member_link_is_expired (const QuinceMemberLinkState *link, gint64 now_us)
{
  if (!link->is_connected)
    return now_us - link->opened_us >= CONNECT_TIMEOUT_US;
  return now_us - link->last_send_us > IDLE_TIMEOUT_US;
}
