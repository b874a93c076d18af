/*
 * node.h: one node of the deployment: its parts and what they share.
 *
 * Every part runs on the main context; only the ledger has a thread of its
 * own, behind a mailbox.  Parts reach each other through QuinceNode.
 */
#pragma once

#include <libsoup/soup.h>
#include <quince/kv-client.h>
#include <quince/settings.h>

typedef struct _QuinceGrants QuinceGrants;
typedef struct _QuinceSessions QuinceSessions;
typedef struct _QuincePeers QuincePeers;
typedef struct _QuinceGossiper QuinceGossiper;
typedef struct _QuinceEngines QuinceEngines;
typedef struct _QuincePolicySpread QuincePolicySpread;
typedef struct _QuinceEvents QuinceEvents;
typedef struct _QuinceDrains QuinceDrains;
typedef struct _QuinceLedgerHost QuinceLedgerHost;
typedef struct _QuinceWeights QuinceWeights;
typedef struct _QuinceOperatorWatch QuinceOperatorWatch;
typedef struct _QuinceNodeHttp QuinceNodeHttp;

/**
 * QuinceNode:
 *
 * Identity and parts are set in quince_node_start() and stay until
 * quince_node_free(); the node owns all but @settings.
 */
typedef struct
{
  const QuinceSettings *settings; /* owned by the program                   */
  const char *name;               /* of @settings                           */
  const char *zone;               /* of @settings                           */
  guint64 deployment;             /* number of its name, see quince_deployment_number() */
  guint64 incarnation;            /* grows with each start of this node     */
  SoupSession *http_client;       /* engines, machine list, weight store    */
  QuinceKvClient *kv;             /* %NULL: no key-value service is set     */
  QuinceGrants *grants;
  QuinceSessions *sessions;
  QuincePeers *peers;
  QuinceGossiper *gossiper;
  QuinceEngines *engines;
  QuincePolicySpread *policy_spread;
  QuinceEvents *events;
  QuinceDrains *drains;
  QuinceLedgerHost *ledger_host;
  QuinceWeights *weights;
  QuinceOperatorWatch *operator_watch;
  QuinceNodeHttp *http;
  gboolean stopping;    /* written by quince_node_stop()                    */
  gint64 stop_until_us; /* the stop goes on at this time at the latest      */
  GSource *stop_timer;  /* owned; only while stopping                       */
} QuinceNode;

/* For QuinceProgram. */
gpointer quince_node_start (const QuinceSettings *settings, GError **error);
char *quince_node_ready_line (gpointer self);
void quince_node_stop (gpointer self);
/* TCP address that others are told: node.advertise, or the one listened on. (transfer none) */
const char *quince_node_get_advertised_address (const QuinceNode *node);
void quince_node_free (gpointer self);

/* Knows the policy in force and does not stop. */
gboolean quince_node_is_ready (const QuinceNode *node);
/* Something that peers and agents should hear of soon has changed. */
void quince_node_changed (QuinceNode *node);
