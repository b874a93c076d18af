/*
 * operator-state.c: decodes and applies the keys of the operator and the trainers.
 */
#include "operator-state.h"

#include "forward/residency-lookup.h"
#include "runtime/clock.h"
#include "runtime/log.h"

#include "refused-item.h"

struct _QuinceOperatorState
{
  /* All fields belong to the context that created the observer. */
  QuinceBackends *backends;
  const QuinceObserverCodec *codec;
  const QuinceObserverCallbacks *callbacks;
  gpointer user_data;
  QuinceRouteTable *routes;  /* owned; NULL: no configuration is known yet */
  GHashTable *versions;      /* model to guint64, both owned: newest announced version */
  GPtrArray *draining_nodes; /* names of draining machines, owned */
  gboolean policy_known;     /* see quince_operator_state_set_policy_known() */
};

QuinceOperatorState *
quince_operator_state_new (QuinceBackends *backends,
                           const QuinceObserverCodec *codec,
                           const QuinceObserverCallbacks *callbacks,
                           gpointer user_data)
{
  QuinceOperatorState *state = g_new0 (QuinceOperatorState, 1);
  state->backends = backends;
  state->codec = codec;
  state->callbacks = callbacks;
  state->user_data = user_data;
  state->versions = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  state->draining_nodes = g_ptr_array_new_with_free_func (g_free);
  return state;
}

void
quince_operator_state_free (QuinceOperatorState *state)
{
  quince_backends_set_routes (state->backends, NULL);
  quince_route_table_free (state->routes);
  g_hash_table_unref (state->versions);
  g_ptr_array_unref (state->draining_nodes);
  g_free (state);
}

/* Returns the value of the log key "source": whether this process read the item or was fed it. */
static const char *
get_source_label (gboolean fed)
{
  return fed ? "feed" : "store";
}

static void
report_configuration (QuinceOperatorState *state)
{
  if (state->routes != NULL && state->policy_known && state->callbacks->configuration != NULL)
    state->callbacks->configuration (state->routes, state->user_data);
}

void
quince_operator_state_set_policy_known (QuinceOperatorState *state)
{
  if (state->policy_known)
    return;
  state->policy_known = TRUE;
  report_configuration (state);
}

QuinceRouteTable *
quince_operator_state_get_routes (const QuinceOperatorState *state)
{
  return state->policy_known ? state->routes : NULL;
}

guint64
quince_operator_state_get_version (const QuinceOperatorState *state, const char *model)
{
  const guint64 *version = g_hash_table_lookup (state->versions, model);
  return version != NULL ? *version : 0;
}

static void
apply_configuration (QuinceOperatorState *state, const QuinceMetaItem *item, gboolean fed)
{
  if (item->value == NULL)
    return;
  g_autoptr (GError) error = NULL;
  g_autoptr (QuinceRouteTable) table = state->codec->read_configuration (item->value, &error);
  if (table == NULL)
    {
      quince_log_refused_item (item->key, error);
      return;
    }
  guint64 version = quince_route_table_get_version (table);
  if (state->routes != NULL && version <= quince_route_table_get_version (state->routes))
    return;
  quince_log_info ("configuration",
                   "version=%" G_GUINT64_FORMAT " routes=%u source=%s revision=%" G_GUINT64_FORMAT, version,
                   quince_route_table_get_n_routes (table), get_source_label (fed), item->revision);
  quince_backends_set_routes (state->backends, table);
  quince_route_table_free (state->routes);
  state->routes = g_steal_pointer (&table);
  report_configuration (state);
}

static void
apply_announced_version (QuinceOperatorState *state, const QuinceMetaItem *item, gboolean fed)
{
  if (item->value == NULL)
    return;
  g_autoptr (GError) error = NULL;
  g_autofree char *model = NULL;
  guint64 version = 0;
  if (!state->codec->read_version (item->value, &model, &version, &error))
    {
      quince_log_refused_item (item->key, error);
      return;
    }
  if (version <= quince_operator_state_get_version (state, model))
    return;
  quince_log_info ("version_named", "model=%s version=%" G_GUINT64_FORMAT " source=%s", model, version,
                   get_source_label (fed));
  g_hash_table_replace (state->versions, g_strdup (model), g_memdup2 (&version, sizeof version));
  if (state->callbacks->version != NULL)
    state->callbacks->version (model, version, state->user_data);
}

static void
apply_retirement (QuinceOperatorState *state, const QuinceMetaItem *item, const char *node)
{
  guint index;
  gboolean is_draining = g_ptr_array_find_with_equal_func (state->draining_nodes, node, g_str_equal, &index);
  if (is_draining == (item->value != NULL))
    return;
  if (is_draining)
    g_ptr_array_remove_index (state->draining_nodes, index);
  else
    g_ptr_array_add (state->draining_nodes, g_strdup (node));
  g_autofree char *name = quince_log_quote (node);
  quince_log_info ("machine_leaving", "node=%s asked=%s", name, is_draining ? "false" : "true");
  if (state->callbacks->draining_nodes == NULL)
    return;
  g_autoptr (GPtrArray) nodes = g_ptr_array_new ();
  for (guint i = 0; i < state->draining_nodes->len; i++)
    g_ptr_array_add (nodes, state->draining_nodes->pdata[i]);
  g_ptr_array_add (nodes, NULL);
  state->callbacks->draining_nodes ((const char *const *)nodes->pdata, state->user_data);
}

static void
apply_evacuation (QuinceOperatorState *state, const QuinceMetaItem *item, const char *zone, gboolean fed)
{
  gboolean evacuated = item->value != NULL;
  if (!quince_backends_set_zone_evacuated (state->backends, quince_now_us (), zone, item->revision,
                                           evacuated))
    return;
  g_autofree char *name = quince_log_quote (zone);
  if (evacuated)
    quince_log_notice ("zone_evacuated", "zone=%s source=%s revision=%" G_GUINT64_FORMAT, name,
                       get_source_label (fed), item->revision);
  else
    quince_log_notice ("zone_returned", "zone=%s source=%s revision=%" G_GUINT64_FORMAT, name,
                       get_source_label (fed), item->revision);
  if (state->callbacks->zones != NULL)
    state->callbacks->zones (state->user_data);
}

void
quince_operator_state_apply (QuinceOperatorState *state, const QuinceMetaItem *item, gboolean fed)
{
  QuinceOperatorKey key;
  state->codec->read_operator_key (item->key, &key);
  switch (key.kind)
    {
    case QUINCE_OPERATOR_KEY_CONFIGURATION:
      apply_configuration (state, item, fed);
      break;
    case QUINCE_OPERATOR_KEY_VERSION:
      apply_announced_version (state, item, fed);
      break;
    case QUINCE_OPERATOR_KEY_RETIREMENT:
      apply_retirement (state, item, key.name);
      break;
    case QUINCE_OPERATOR_KEY_EVACUATION:
      apply_evacuation (state, item, key.name, fed);
      break;
    case QUINCE_OPERATOR_KEY_OTHER:
    default:
      break;
    }
}
