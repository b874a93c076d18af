/*
 * hollow-node.h: one node without engines, for the scale run.
 *
 * It has the real membership core on its own UDP socket, the real policy
 * register, and a link server from which others fetch the policy.  Its
 * engines are hollow: their load digests change each second.
 */
#pragma once

#include <quince/membership.h>
#include <quince/policy-register.h>

G_BEGIN_DECLS

typedef struct _QuinceHollowNode QuinceHollowNode;

/**
 * QuinceHollowNodeOptions:
 * @index: number of the node, handed back in the callbacks
 * @name: name in the deployment
 * @zone: name of its zone
 * @incarnation: greater than that of an earlier process of this name
 * @seeds: (nullable): gossip addresses
 * @engines: engines that its digest reports, at most 64
 * @seed: for all random choices
 */
typedef struct
{
  guint index;
  const char *name;
  const char *zone;
  guint64 incarnation;
  const char *const *seeds;
  guint engines;
  guint64 seed;
} QuinceHollowNodeOptions;

/**
 * QuinceHollowNodeCallbacks:
 * @policy_taken: a policy revision came into force
 * @gone: the member named by quince_hollow_node_watch() is not alive for this node any more
 */
typedef struct
{
  void (*policy_taken) (guint index, guint64 revision, gpointer user_data);
  void (*gone) (guint index, const char *name, gpointer user_data);
} QuinceHollowNodeCallbacks;

/* Counters of one node; all only grow. */
typedef struct
{
  guint64 datagrams_sent;
  guint64 gossip_bytes_sent;     /* UDP payload                            */
  guint64 gossip_bytes_received; /* UDP payload                            */
  guint64 link_bytes_sent;       /* policy bodies and requests, TCP payload */
  guint64 malformed;
} QuinceHollowNodeCounters;

/* Serves on ports that the kernel chooses on 127.0.0.1, in the thread-default context. */
QuinceHollowNode *quince_hollow_node_new (const QuinceHollowNodeOptions *options,
                                          const QuinceHollowNodeCallbacks *callbacks,
                                          gpointer user_data,
                                          GError **error);
void quince_hollow_node_free (QuinceHollowNode *node);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceHollowNode, quince_hollow_node_free)

const char *quince_hollow_node_get_gossip_address (QuinceHollowNode *node);
/* Tells the others that it leaves; it goes on answering. */
void quince_hollow_node_leave (QuinceHollowNode *node);
void quince_hollow_node_offer (QuinceHollowNode *node, const QuincePolicyBody *body);
/* Calls gone() once, as soon as member @name is dead, leaving or unknown here. */
void quince_hollow_node_watch (QuinceHollowNode *node, const char *name);
guint quince_hollow_node_count_alive (QuinceHollowNode *node);
/* Bytes sent since the last call, with the headers of datagrams. */
guint64 quince_hollow_node_take_bytes (QuinceHollowNode *node);
void quince_hollow_node_add_counters (QuinceHollowNode *node, QuinceHollowNodeCounters *sum);

G_END_DECLS
