/*
 * feed-parent.h: a front's link to the relay that feeds it.
 *
 * The leader names the relays (core/routing/feed-tree.h).  The front links to its first choice, and to the
 * next one if the link fails or carries no message for a time.  If its first choices fail, the front asks the
 * leader to feed it.
 *
 * A parent owns the link and a timer.  It belongs to the main context.
 */
#pragma once

#include "observer/observer.h"
#include "protocol/codec.h"

G_BEGIN_DECLS

typedef struct _QuinceFeedParent QuinceFeedParent;

/* The relays tried last do not feed the front. */
typedef void (*QuinceFeedParentFailed) (gpointer user_data);

/* @observer: (transfer none): receives the feed; must outlive the parent
 * Returns: (transfer full): a parent without a relay */
QuinceFeedParent *quince_feed_parent_new (QuinceObserver *observer,
                                          const char *node,
                                          const char *zone,
                                          QuinceFeedParentFailed failed,
                                          gpointer user_data);
/* Sets the relays that the front chooses from.  A front that is fed stays with its relay. */
void quince_feed_parent_set_relays (QuinceFeedParent *parent, const QuinceFeedRelays *relays);
/* Replaces the link after a suspension of the machine. */
void quince_feed_parent_handle_resume (QuinceFeedParent *parent);
/* Returns whether a message from the relay arrived recently. */
gboolean quince_feed_parent_is_alive (const QuinceFeedParent *parent);
void quince_feed_parent_free (QuinceFeedParent *parent); /* (nullable) */

G_END_DECLS
