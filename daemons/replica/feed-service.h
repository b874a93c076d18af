/*
 * feed-service.h: feeds other processes with what this replica reads from the metadata store or is fed
 * itself.
 *
 * The leader feeds the replicas and a limited number of fronts, and names relays to the other fronts
 * (core/routing/feed-tree.h).  A replica that does not lead passes on what it is fed to its children, the
 * fronts that chose it as their relay.  It remembers the other subscribers, so that it can feed them as soon
 * as it leads.
 *
 * The service owns the store feed and references to the links of subscribers.  It belongs to the main
 * context.
 */
#pragma once

#include "observer/store-feed.h"
#include "runtime/link.h"

typedef struct _QuinceFeedService QuinceFeedService;

/* @observer must outlive the service. */
QuinceFeedService *quince_feed_service_new (QuinceObserver *observer);
void quince_feed_service_free (QuinceFeedService *service); /* (nullable) */
/* Starts or stops to feed the subscribers that only a leader feeds. */
void quince_feed_service_set_leading (QuinceFeedService *service, gboolean leading);
/* Handles a subscription. */
void quince_feed_service_subscribe (QuinceFeedService *service,
                                    QuinceLink *link,
                                    const QuinceFeedSubscribe *subscribe);
/* The replica at the other end of @link is a backup or spare.  Fronts may be fed by it once it subscribes as
 * a relay. */
void quince_feed_service_add_replica (QuinceFeedService *service,
                                      QuinceLink *link,
                                      const QuinceLedgerHello *hello);
/* Ends the subscription of @link. */
void quince_feed_service_link_closed (QuinceFeedService *service, QuinceLink *link);
/* Sends a page that this process read from the metadata store to the subscribers that it feeds. */
void quince_feed_service_publish (QuinceFeedService *service, const char *prefix, const QuinceMetaPage *page);
/* Applies an update from the process that feeds this one, and passes it on. */
void quince_feed_service_relay (QuinceFeedService *service,
                                const QuinceLink *source,
                                const QuinceFeedUpdate *update);
/* Records a heartbeat of the leader. */
void quince_feed_service_record_leader_contact (QuinceFeedService *service);
/* At the leader: applies a page that a reserve reader read from the metadata store. */
void quince_feed_service_apply_report (QuinceFeedService *service,
                                       const QuinceLink *source,
                                       const QuinceFeedUpdate *update);
/* Names relays to the fronts that wait for them or whose relays changed, and sends heartbeats to children.
 * Call several times a second. */
void quince_feed_service_step (QuinceFeedService *service);
/* Returns: (transfer none) (element-type QuinceLink): the links of all subscribers but children, as the keys
 * of the table; valid until the service is freed */
GHashTable *quince_feed_service_get_links (QuinceFeedService *service);
/* Sets the metrics quince_feed_subscribers by role and quince_feed_relays. */
void quince_feed_service_set_metrics (const QuinceFeedService *service);
