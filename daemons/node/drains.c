/*
 * drains.c: engines that operators have drained.
 */
#include "drains.h"

#include <quince/log.h>
#include <quince/operator-keys.h>
#include <quince/task.h>

#include "grants.h"

/* A drain of an engine that is not known yet holds once it is. */
#define REPEAT_INTERVAL_MS 250

/* Owned by the node, on its main context. */
struct _QuinceDrains
{
  QuinceNode *node;    /* not owned                                        */
  GHashTable *drained; /* owned set: names of engines                      */
  GSource *timer;      /* owned                                            */
};

static void
tell_drained (QuinceDrains *drains)
{
  GHashTableIter iter;
  gpointer engine;
  g_hash_table_iter_init (&iter, drains->drained);
  while (g_hash_table_iter_next (&iter, &engine, NULL))
    quince_grants_engine_leaving (drains->node->grants, engine, QUINCE_LEAVING_OPERATOR, TRUE);
}

static void
tell_undrained (QuinceDrains *drains, GHashTable *before)
{
  GHashTableIter iter;
  gpointer engine;
  g_hash_table_iter_init (&iter, before);
  while (g_hash_table_iter_next (&iter, &engine, NULL))
    if (!g_hash_table_contains (drains->drained, engine))
      quince_grants_engine_leaving (drains->node->grants, engine, QUINCE_LEAVING_OPERATOR, FALSE);
}

/* The key names the engine; its value only tells who drained it. */
void
quince_drains_take_items (QuinceDrains *drains, GPtrArray *items)
{
  GHashTable *before = drains->drained;
  drains->drained = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (guint i = 0; i < items->len; i++)
    {
      const QuinceKvItem *item = g_ptr_array_index (items, i);
      if (g_str_has_prefix (item->key, QUINCE_KEY_DRAIN))
        g_hash_table_add (drains->drained, g_strdup (item->key + strlen (QUINCE_KEY_DRAIN)));
    }
  if (g_hash_table_size (drains->drained) != g_hash_table_size (before))
    quince_log_info ("drains_changed", "engines=%u", g_hash_table_size (drains->drained));
  tell_undrained (drains, before);
  tell_drained (drains);
  g_hash_table_unref (before);
}

static gboolean
repeat_due (gpointer user_data)
{
  tell_drained (user_data);
  return G_SOURCE_CONTINUE;
}

QuinceDrains *
quince_drains_new (QuinceNode *node)
{
  QuinceDrains *drains = g_new0 (QuinceDrains, 1);
  drains->node = node;
  drains->drained = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  drains->timer = quince_timer_add (REPEAT_INTERVAL_MS, repeat_due, drains);
  return drains;
}

void
quince_drains_free (QuinceDrains *drains)
{
  if (drains == NULL)
    return;
  quince_source_clear (&drains->timer);
  g_hash_table_unref (drains->drained);
  g_free (drains);
}
