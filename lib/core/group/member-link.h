/*
 * member-link.h: when a link to another member is closed.
 *
 * A pure function, used by daemons/replica/ledger-member-links.c, which checks all links several times a
 * second.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/* State of one link.  @opened_us: when the attempt to connect was started, monotonic, us.  @last_send_us:
 * when a message was last sent, or when the messages queued until then were, upon connection; monotonic, us
 */
typedef struct
{
  gint64 opened_us;
  gint64 last_send_us;
  gboolean is_connected;
} QuinceMemberLinkState;

/* Returns whether the link is closed now: 1.2 s after it was opened if it is not connected, else after 0.5 s
 * without a message sent on it. */
gboolean quince_member_link_is_expired (const QuinceMemberLinkState *link, gint64 now_us);

G_END_DECLS
