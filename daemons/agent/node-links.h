/*
 * node-links.h: links to the nodes, and the requests for grants on them.
 *
 * Nodes are learnt from the settings and from the members that each node's
 * status names: every node of the agent's own zone, and a few of others as
 * spares.  A request for a grant goes to the ready node with the greatest
 * rendezvous score; asking again is harmless, since nothing has run.
 */
#pragma once

#include <quince/codec.h>

typedef struct _QuinceNodeLinks QuinceNodeLinks;

/**
 * QuinceNodeLinksOptions:
 * @nodes: (array zero-terminated=1): addresses from the settings
 * @ledger_reply: answer of a ledger call
 * @link_changed: the link to the node at @address went up or down
 */
typedef struct
{
  const char *name;
  const char *zone;
  guint64 deployment; /* number of its name, see quince_deployment_number() */
  guint64 incarnation;
  char **nodes;
  void (*ledger_reply) (const QuinceLedgerReply *reply, gpointer user_data);
  void (*link_changed) (const char *address, gboolean up, gpointer user_data);
  gpointer user_data;
} QuinceNodeLinksOptions;

/* @options: borrowed for the call, but for its functions and texts. */
QuinceNodeLinks *quince_node_links_new (const QuinceNodeLinksOptions *options);
void quince_node_links_free (QuinceNodeLinks *links);

/**
 * QuinceGrantCallbacks:
 * @verdict: @node is the address of the node that decided, @sent_at_us when it
 *   sent its reply, in this process's clock
 * @lost: the node went away before its verdict
 *
 * One of them is called once, unless the request is withdrawn.
 */
typedef struct
{
  void (*verdict) (const char *node, const QuinceGrantReply *reply, gint64 sent_at_us, gpointer user_data);
  void (*lost) (const char *node, gpointer user_data);
} QuinceGrantCallbacks;

/**
 * quince_node_links_ask:
 * @request: borrowed; its policy_revision is filled in here
 * @key: for the rendezvous
 * @tried: nodes (addresses) that should not be asked again
 * @callbacks: must outlive the request; none runs before this returns
 *
 * Returns: %FALSE when no node can be asked
 */
gboolean quince_node_links_ask (QuinceNodeLinks *links,
                                QuinceGrantRequest *request,
                                guint64 key,
                                const GPtrArray *tried,
                                const QuinceGrantCallbacks *callbacks,
                                gpointer user_data);
/* Ends the wait for a verdict; a grant that comes later is given back. */
void quince_node_links_withdraw (QuinceNodeLinks *links, const QuinceRequestId id, guint attempt);
/* Tells the node that granted; kept for a while when its link is down. */
void quince_node_links_end_grant (QuinceNodeLinks *links, const char *node, const QuinceGrantEnd *end);

/* Sends to the node at @address, which is linked from now on. Returns: %FALSE while its link is down. */
gboolean quince_node_links_send (QuinceNodeLinks *links, const char *address, const QuinceMessage *message);

gboolean quince_node_links_has_ready (const QuinceNodeLinks *links);
guint64 quince_node_links_get_policy_revision (const QuinceNodeLinks *links);
/* Address of the ledger's leader of the greatest epoch seen, "" when unknown. */
const char *quince_node_links_get_ledger_leader (const QuinceNodeLinks *links);

typedef struct
{
  guint linked;
  guint ready;
  guint waiting; /* requests that wait for a verdict */
  guint64 asked;
  guint64 granted;
  guint64 refused;
  guint64 lost;
  guint64 late_grants;
  guint64 silent_links;
} QuinceNodeLinksCounters;

void quince_node_links_get_counters (const QuinceNodeLinks *links, QuinceNodeLinksCounters *out);
