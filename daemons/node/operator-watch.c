/*
 * operator-watch.c: the operators' configuration, kept in view.
 */
#include "operator-watch.h"

#include <quince/log.h>
#include <quince/operator-keys.h>

#include "drains.h"
#include "events.h"
#include "ledger-host.h"
#include "policy-spread.h"

/* Owned by the node, on its main context. */
struct _QuinceOperatorWatch
{
  QuinceNode *node;     /* not owned                                        */
  QuinceKvWatch *watch; /* owned; %NULL: no service is set                  */
  gboolean up;          /* what is in view is current                       */
};

/* (transfer container): the items whose key begins with @prefix */
static GPtrArray *
select_items (GPtrArray *items, const char *prefix)
{
  GPtrArray *selected = g_ptr_array_new ();
  for (guint i = 0; i < items->len; i++)
    {
      QuinceKvItem *item = g_ptr_array_index (items, i);
      if (g_str_has_prefix (item->key, prefix))
        g_ptr_array_add (selected, item);
    }
  return selected;
}

static void
watch_changed (GPtrArray *items, guint64 revision, gpointer user_data)
{
  QuinceOperatorWatch *watch = user_data;
  QuinceNode *node = watch->node;
  g_autoptr (GPtrArray) policy = select_items (items, QUINCE_KEY_POLICY_HEAD);
  g_autoptr (GPtrArray) events = select_items (items, QUINCE_KEY_EVENTS);
  g_autoptr (GPtrArray) drains = select_items (items, QUINCE_KEY_DRAIN);
  g_autoptr (GPtrArray) voters = select_items (items, QUINCE_KEY_LEDGER_VOTERS);
  quince_log_debug ("operator_keys", "items=%u revision=%" G_GUINT64_FORMAT, items->len, revision);
  quince_policy_spread_take_items (node->policy_spread, policy);
  quince_events_take_items (node->events, events);
  quince_drains_take_items (node->drains, drains);
  quince_ledger_host_take_items (node->ledger_host, voters);
}

static void
watch_state (gboolean up, gpointer user_data)
{
  QuinceOperatorWatch *watch = user_data;
  watch->up = up;
  quince_log_info ("operator_watch", "up=%s", up ? "true" : "false");
  if (!up)
    quince_ledger_host_kv_lost (watch->node->ledger_host);
}

static const QuinceKvWatchCallbacks watch_callbacks = { .changed = watch_changed, .state = watch_state };

QuinceOperatorWatch *
quince_operator_watch_new (QuinceNode *node)
{
  QuinceOperatorWatch *watch = g_new0 (QuinceOperatorWatch, 1);
  watch->node = node;
  if (node->kv != NULL)
    watch->watch = quince_kv_watch_new (node->kv, QUINCE_KEY_PREFIX, &watch_callbacks, watch);
  return watch;
}

void
quince_operator_watch_free (QuinceOperatorWatch *watch)
{
  if (watch == NULL)
    return;
  g_clear_pointer (&watch->watch, quince_kv_watch_free);
  g_free (watch);
}

gboolean
quince_operator_watch_is_up (const QuinceOperatorWatch *watch)
{
  return watch->up;
}

gboolean
quince_operator_watch_is_confirmed (const QuinceOperatorWatch *watch, gint64 since_us)
{
  return watch->up && quince_kv_watch_get_heard_us (watch->watch) >= since_us;
}

void
quince_operator_watch_confirm (QuinceOperatorWatch *watch, gint64 since_us)
{
  if (watch->watch != NULL && quince_kv_watch_get_heard_us (watch->watch) < since_us)
    quince_kv_watch_check (watch->watch);
}
