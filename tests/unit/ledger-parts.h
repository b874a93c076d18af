/*
 * ledger-parts.h: simulated disks, links and metadata store of the ledger tests, with fault injection.
 * ledger-checks.h checks the replicas at each step, ledger-world.h simulates them.
 */
#pragma once

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/group/ledger-change.h"
#include "core/group/ledger-group.h"
#include "core/group/order-history.h"
#include "core/group/order-permits.h"

#define WORLD_NODES_MAX 12              /* maximum number of nodes */
#define WORLD_TICK_US (10 * 1000)       /* step of virtual time */
#define WORLD_NODE_TICK_US (150 * 1000) /* step interval of a replica, as TICK_MS of the daemon */
/* Interval of WORLD_LEAD messages to unconnected members, as QUERY_MEMBERS_US of the daemon. */
#define WORLD_INFORM_INTERVAL_US (440 * 1000)

typedef struct
{
  guint64 epoch;
  guint64 value; /* 0: first record of an epoch */
  gboolean is_order;
  guint workers;         /* order record: bits of the workers that it names */
  guint64 forgets_up_to; /* FORGET record: it lists all order records up to this index; 0: none */
} WorldRecord;

typedef struct
{
  guint64 replica;
  GArray *log; /* WorldRecord; log indexes start at 1 */
  QuinceLedgerPersistentState persistent;
} WorldDisk;

typedef enum
{
  WORLD_HELLO,
  WORLD_APPEND,
  WORLD_ACK,
  WORLD_PROMISE_REQUEST,
  WORLD_PROMISE,
  WORLD_QUERY,
  WORLD_LEAD,
  WORLD_CHANGE_REQUEST,
  WORLD_CHANGE_ACK,
  WORLD_STORE_ANSWER,
  WORLD_STORE_VIEW,
} WorldMessageKind;

typedef struct
{
  WorldMessageKind kind;
  gint64 due_us;
  guint from;
  guint to;
  guint64 incarnation; /* incarnation of the receiver; 0: any */
  guint64 replica;
  guint64 epoch;
  guint64 index;
  guint64 commit;
  guint64 promised;
  gint64 sent_us;
  QuinceLogEnd end;
  GArray *records; /* WORLD_APPEND: the sender's whole log; NULL: a heartbeat without records */
  QuinceProposalOutcome outcome;
  QuinceLedgerView *view;
  guint64 revision;
  QuinceLedgerQuery query;
  QuinceLedgerLead lead; /* its view is borrowed from the field view */
  QuinceLedgerChange *change;
  QuinceLedgerChangeAck change_ack; /* its change is borrowed from the field change */
  gboolean delayed;                 /* a store write that is applied even while the store is unreachable */
} WorldMessage;

typedef struct
{
  WorldDisk disk;
  QuinceLedgerGroup *group; /* NULL: down */
  guint64 incarnation;
  guint64 led_epoch;
  gboolean recovered;
  guint64 reported_commit;
  gint64 next_tick_us;
  guint64 hello_incarnation; /* incarnation of the leader that this node is connected to */
  guint64 hello_epoch;
  gint64 read_view_us;     /* when it last requested the view from the store */
  gint64 queried_us;       /* when it last sent a query */
  gint64 reported_us;      /* when it last sent WORLD_LEAD to unconnected members */
  gboolean frozen;         /* the process is suspended */
  gboolean records_orders; /* the setting [orders] record of this process */
  QuinceOrderHistory *history;
  QuinceOrderPermits *permits;
} WorldNode;

typedef struct
{
  guint32 seed;
  GRand *random;
  gint64 now_us;
  guint n_nodes;
  guint losses; /* number of machines that may be lost without losing records */
  guint zones;  /* number of zones, assigned round robin; 0: no zones are set */
  WorldNode nodes[WORLD_NODES_MAX];
  gboolean cut[WORLD_NODES_MAX][WORLD_NODES_MAX];   /* [from][to]: messages are dropped */
  gint64 delay_us[WORLD_NODES_MAX];                 /* further delay of messages that the node sends */
  gint64 link_us[WORLD_NODES_MAX][WORLD_NODES_MAX]; /* arrival time of the latest message on that link */
  GPtrArray *messages;                              /* WorldMessage, owned */
  gboolean store_down;                              /* the store is unreachable from all machines */
  gboolean store_unreachable[WORLD_NODES_MAX];      /* the store is unreachable from that machine */
  QuinceLedgerView *view;                           /* in the store */
  guint64 revision;
  GArray *committed; /* WorldRecord: records that a leader reported as committed, in log order */
  guint64 next_value;
  guint64 next_replica;
  gint64 last_commit_us;
  gboolean idle;                 /* no client writes records */
  guint recoveries;              /* number of leaders that completed recovery */
  guint elections_without_store; /* number of leaders elected without the store */
  gboolean bootstrapped;
  gint64 store_silent_since_us; /* the store answers nothing since then; 0: it answers */
  /* The store goes down while it answers the next change of members, which it applies at the time
   * lost_change_applied_us; 0: never. */
  gboolean loses_next_change;
  gboolean change_is_lost;
  gint64 lost_change_applied_us;
  guint lost_change_members; /* number of members of that change */
  GHashTable *leaders;       /* epoch to WorldLeader, owned */
  gint last_orderer;         /* last machine that was allowed to give orders; -1: none */
  gint64 last_order_us;      /* when last_orderer was last allowed to give orders */
  GRand *orders;             /* draws orders to workers (ledger-orders.h); NULL: none are given */
  guint records_orders_of_4; /* number of processes of four that record orders */
  guint n_orders;
  guint n_early_orders; /* sent by a new leader within the order pause */
  struct
  {
    guint node;
    gint64 sent_us; /* 0: never */
  } worker_orders[32];
} World;

/* The only process that may lead an epoch. */
typedef struct
{
  guint64 epoch;
  guint node;
  guint64 incarnation;
} WorldLeader;

/* Time after which calls to a silent store fail, so that it counts as unreachable. */
#define WORLD_STORE_CALL_TIMEOUT_US (1500 * 1000)

/* Returns whether the process of @node knows that it cannot reach the store. */
static inline gboolean
world_is_store_unreachable (const World *world, guint node)
{
  gboolean calls_failed = world->store_silent_since_us != 0
                          && world->now_us - world->store_silent_since_us >= WORLD_STORE_CALL_TIMEOUT_US;
  return world->store_down || world->store_unreachable[node] || calls_failed;
}

static inline const QuinceLedgerMember *
world_member (World *world, guint node)
{
  static QuinceLedgerMember member;
  static char names[WORLD_NODES_MAX][8];
  g_snprintf (names[node], sizeof names[node], "n%u", node);
  member = (QuinceLedgerMember){ .node = names[node],
                                 .address = names[node],
                                 .replica = world->nodes[node].disk.replica };
  return &member;
}

static inline gint
world_find_node (World *world, guint64 replica)
{
  for (guint i = 0; i < world->n_nodes; i++)
    if (world->nodes[i].disk.replica == replica)
      return (gint)i;
  return -1;
}

static inline void
world_message_free (gpointer data)
{
  WorldMessage *message = data;
  g_clear_pointer (&message->records, g_array_unref);
  quince_ledger_view_free (message->view);
  quince_ledger_change_free (message->change);
  g_free (message);
}

static inline QuinceLogEnd
world_log_end (const WorldNode *node)
{
  QuinceLogEnd end = { .index = node->disk.log->len };
  if (node->disk.log->len > 0)
    end.epoch = g_array_index (node->disk.log, WorldRecord, node->disk.log->len - 1).epoch;
  return end;
}

static inline void
world_update_log_end (WorldNode *node)
{
  const QuinceLogEnd end = world_log_end (node);
  quince_ledger_group_set_log_end (node->group, &end);
}

static inline void
world_set_zone (World *world, WorldNode *node, guint index)
{
  char zone[8];
  g_snprintf (zone, sizeof zone, "z%u", world->zones > 0 ? index % world->zones : 0);
  if (world->zones > 0)
    quince_ledger_group_set_zone (node->group, world->nodes[index].disk.replica, zone);
}

static inline void
world_receive_hello (World *world, WorldNode *node, guint from)
{
  quince_ledger_group_peer_joined (node->group, world->now_us, world_member (world, from));
  world_set_zone (world, node, from);
}

static inline void
world_start (World *world, guint index, gboolean may_bootstrap)
{
  WorldNode *node = &world->nodes[index];
  const QuinceLedgerLimits limits = { .quorum = world->losses + 1,
                                      .members_max = 2 * world->losses + 1,
                                      .zone_losses = world->zones > 0,
                                      .leader_timeout_us = 1000 * 1000,
                                      .member_timeout_us = 1000 * 1000,
                                      .lease_duration_us = 600 * 1000,
                                      .order_pause_us = 3200 * 1000 };
  node->incarnation++;
  node->group = quince_ledger_group_new (world_member (world, index), &limits, &node->disk.persistent,
                                         may_bootstrap, world->now_us);
  world_set_zone (world, node, index);
  node->history = quince_order_history_new (world->now_us, limits.order_pause_us);
  node->permits = quince_order_permits_new ();
  node->records_orders
      = world->orders != NULL && g_rand_int_range (world->orders, 0, 4) < (gint)world->records_orders_of_4;
  node->led_epoch = 0;
  node->recovered = FALSE;
  node->frozen = FALSE;
  node->next_tick_us = world->now_us + g_rand_int_range (world->random, 1, WORLD_NODE_TICK_US);
  node->read_view_us = 0;
  node->hello_incarnation = 0;
  world_update_log_end (node);
}

static inline void
world_kill (World *world, guint index)
{
  g_clear_pointer (&world->nodes[index].group, quince_ledger_group_free);
  g_clear_pointer (&world->nodes[index].history, quince_order_history_free);
  g_clear_pointer (&world->nodes[index].permits, quince_order_permits_free);
  world->nodes[index].incarnation++;
  world->nodes[index].frozen = FALSE;
}

static inline void
world_wipe (World *world, guint index)
{
  WorldNode *node = &world->nodes[index];
  world_kill (world, index);
  g_array_set_size (node->disk.log, 0);
  quince_ledger_persistent_state_clear (&node->disk.persistent);
  node->disk.replica = ++world->next_replica;
}

/* ---- Sending ---------------------------------------------------------- */

/* Writes the persistent state to the disk, as a replica does before it sends a message. */
static inline void
world_save_state (WorldNode *node)
{
  if (node->group != NULL)
    quince_ledger_persistent_state_assign (&node->disk.persistent,
                                           quince_ledger_group_get_persistent_state (node->group));
}

static inline WorldMessage *
world_send (World *world, WorldMessageKind kind, guint from, guint to)
{
  world_save_state (&world->nodes[from]);
  WorldMessage *message = g_new0 (WorldMessage, 1);
  message->kind = kind;
  message->from = from;
  message->to = to;
  message->due_us = world->now_us + world->delay_us[from] + g_rand_int_range (world->random, 200, 4000);
  if (g_rand_int_range (world->random, 0, 50) == 0)
    message->due_us += 300 * 1000; /* retransmission */
  if (from != to)
    {
      /* Messages on a link arrive in order. */
      message->due_us = MAX (message->due_us, world->link_us[from][to]);
      world->link_us[from][to] = message->due_us;
    }
  g_ptr_array_add (world->messages, message);
  return message;
}

static inline void
world_request_view (World *world, guint index)
{
  if (world_is_store_unreachable (world, index) || world->store_silent_since_us != 0)
    return;
  WorldMessage *message = world_send (world, WORLD_STORE_VIEW, index, index);
  message->incarnation = world->nodes[index].incarnation;
  message->sent_us = world->now_us;
  message->view = world->view != NULL ? quince_ledger_view_copy (world->view) : NULL;
  message->revision = world->revision;
}

static inline void
world_trace (World *world, const char *event, const QuinceLedgerView *view)
{
  if (g_getenv ("LEDGER_TRACE") == NULL)
    return;
  g_printerr ("%8.3f %s", (world->now_us - 100 * G_USEC_PER_SEC) / 1e6, event);
  if (view != NULL)
    {
      g_printerr (" epoch=%" G_GUINT64_FORMAT " primary=n%d members=", (guint64)view->epoch,
                  world_find_node (world, view->primary));
      for (guint i = 0; i < view->members.members_len; i++)
        g_printerr ("%s/%" G_GUINT64_FORMAT " ", view->members.members_val[i].node,
                    (guint64)view->members.members_val[i].replica);
    }
  for (guint i = 0; i < world->n_nodes; i++)
    g_printerr (" [n%u %s%s log=%u/%" G_GUINT64_FORMAT " prom=%" G_GUINT64_FORMAT "]", i,
                world->nodes[i].group ? "up" : "down", world->nodes[i].frozen ? " frozen" : "",
                world->nodes[i].disk.log->len, world_log_end (&world->nodes[i]).epoch,
                (guint64)world->nodes[i].disk.persistent.promised);
  g_printerr (" committed=%u\n", world->committed->len);
}

static inline void
world_apply_change (World *world, const QuinceLedgerView *view, guint64 expected)
{
  world_trace (world, "VIEW", view);
  if (world->revision != expected)
    return;
  quince_ledger_view_free (world->view);
  world->view = quince_ledger_view_copy (view);
  world->revision++;
}

/* Applies a store write up to 8 s after its call was aborted. */
static inline void
world_apply_later (World *world, const WorldMessage *message)
{
  WorldMessage *delayed = world_send (world, WORLD_STORE_ANSWER, message->to, message->to);
  delayed->incarnation = G_MAXUINT64;
  delayed->delayed = TRUE;
  delayed->outcome = QUINCE_PROPOSAL_APPLIED;
  delayed->view = quince_ledger_view_copy (message->view);
  delayed->revision = message->revision;
  delayed->due_us += g_rand_int_range (world->random, 0, 8000) * 1000;
}

/* The store goes down before it answers the change @message. */
static inline void
world_lose_change (World *world, WorldMessage *message)
{
  message->outcome = QUINCE_PROPOSAL_UNKNOWN;
  message->due_us = world->now_us + 300 * 1000;
  world->loses_next_change = FALSE;
  world->lost_change_members = message->view->members.members_len;
  world->change_is_lost = TRUE;
  world->store_down = TRUE;
  if (world->lost_change_applied_us == 0)
    return;
  world_apply_later (world, message);
  WorldMessage *delayed = world->messages->pdata[world->messages->len - 1];
  delayed->due_us = world->lost_change_applied_us;
}

/* Sends a proposed view to the store as a message, so that it may arrive late. */
static inline void
world_propose (World *world, guint index)
{
  guint64 expected = 0;
  WorldNode *node = &world->nodes[index];
  if (world_is_store_unreachable (world, index))
    return;
  g_autoptr (QuinceLedgerView) view = quince_ledger_group_propose (node->group, world->now_us, &expected);
  if (view == NULL)
    return;
  WorldMessage *message = world_send (world, WORLD_STORE_ANSWER, index, index);
  message->incarnation = node->incarnation;
  message->view = quince_ledger_view_copy (view);
  message->revision = expected;
  if (world->store_silent_since_us != 0)
    {
      message->outcome = QUINCE_PROPOSAL_UNKNOWN;
      message->due_us = world->now_us + WORLD_STORE_CALL_TIMEOUT_US;
      return;
    }
  guint outcome_draw = (guint)g_rand_int_range (world->random, 0, 10);
  message->outcome = outcome_draw == 0   ? QUINCE_PROPOSAL_UNKNOWN
                     : outcome_draw == 1 ? QUINCE_PROPOSAL_NOT_APPLIED
                                         : QUINCE_PROPOSAL_APPLIED;
  if (world->loses_next_change && !quince_ledger_view_has_same_members (world->view, view))
    {
      world_lose_change (world, message);
      return;
    }
  if (outcome_draw != 0)
    return;
  /* The call is aborted, but the write may be applied later. */
  message->due_us += 300 * 1000;
  world_apply_later (world, message);
}

/* Returns whether the leader sends records to @replica, rather than only heartbeats. */
static inline gboolean
world_is_recipient (const World *world, const WorldNode *leader, guint64 replica)
{
  g_autoptr (GArray) recipients = g_array_new (FALSE, FALSE, sizeof (guint64));
  quince_ledger_group_choose_recipients (leader->group, world->now_us, recipients);
  for (guint i = 0; i < recipients->len; i++)
    if (g_array_index (recipients, guint64, i) == replica)
      return TRUE;
  return FALSE;
}

static inline void
world_send_append (World *world, guint from, guint to)
{
  WorldNode *node = &world->nodes[from];
  if (!quince_ledger_group_may_send (node->group, world->now_us, world->nodes[to].disk.replica))
    return;
  WorldMessage *message = world_send (world, WORLD_APPEND, from, to);
  message->replica = world->nodes[to].disk.replica;
  message->epoch = node->led_epoch;
  message->index = node->disk.log->len;
  message->commit = quince_ledger_group_get_commit_index (node->group);
  message->sent_us = world->now_us;
  if (world_is_recipient (world, node, message->replica))
    {
      guint64 sendable = quince_ledger_group_get_sendable_index (node->group, message->replica);
      message->records = g_array_copy (node->disk.log);
      g_array_set_size (message->records, (guint)MIN (sendable, message->index));
    }
}
