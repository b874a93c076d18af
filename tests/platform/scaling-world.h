/*
 * scaling-world.h: workers in three zones, and a stand-in platform that carries out scaling orders.
 */
#pragma once

#define PATH_PLAIN 2
#define PATH_MODEL 16

#include "path-world.h"

/* Workers m0 to m5 are registered at first, two in each zone.  Scaling orders add the others. */
#define SCALING_N_INITIAL_WORKERS 6
#define SCALING_N_ZONES 3
#define SCALING_MIN 1
#define SCALING_MAX 5
/* Enough samples to keep all slots busy for the whole test. */
#define SCALING_SAMPLES 120
#define SCALING_EVENTS_PER_SAMPLE 40
#define SCALING_EVENT_INTERVAL_MS 50

static const char *const scaling_zones[SCALING_N_ZONES] = { "z1", "z2", "z3" };

typedef struct
{
  char *zone;
  guint desired;
  char *body;
  char *holder;
  guint64 fence;
  gint64 received_us;
  gboolean is_accepted;
} ScalingOrder;

typedef struct
{
  PathWorld *path;
  StandinServer *server;
  guint boot_ms;                  /* from an order to the registration of its workers; also bootTimeoutS */
  GPtrArray *orders;              /* ScalingOrder, owned; all received orders, in order of arrival */
  guint refuse;                   /* number of orders to answer with 503 */
  guint n_calls_to_reset;         /* number of orders to accept and then reset the connection */
  guint silent;                   /* number of orders to accept and leave unanswered on an open connection */
  const char *exhausted_zone;     /* zone without capacity for new workers; "": none */
  const char *listed[PATH_MODEL]; /* zone in which the worker is registered; NULL: not registered */
  gboolean spot[PATH_MODEL];
  GPtrArray *boots; /* ScalingBoot, owned */
} ScalingWorld;

typedef struct
{
  ScalingWorld *world;
  char *zone;
  guint desired;
  guint timer; /* 0: expired */
} ScalingBoot;

static inline void
scaling_order_free (gpointer data)
{
  ScalingOrder *order = data;
  g_free (order->zone);
  g_free (order->body);
  g_free (order->holder);
  g_free (order);
}

static inline void
scaling_set_registration (ScalingWorld *world, guint index, const char *zone, gboolean spot)
{
  g_autofree char *key = g_strdup_printf ("servers/m%u", index);
  world->listed[index] = zone;
  world->spot[index] = spot;
  if (zone == NULL)
    {
      standin_store_remove (world->path->store, key);
      return;
    }
  standin_worker_set_zone_and_slots (world->path->model[index], zone, 1);
  g_autofree char *entry = standin_worker_make_entry (world->path->model[index], "llm", "ready");
  g_autoptr (GString) text = g_string_new (entry);
  if (spot)
    g_string_replace (text, "\"slots\":", "\"spot\":true,\"slots\":", 1);
  standin_store_put (world->path->store, key, text->str);
}

static inline guint
scaling_count_registered (const ScalingWorld *world, const char *zone)
{
  guint count = 0;
  for (guint i = 0; i < PATH_MODEL; i++)
    count += world->listed[i] != NULL && (zone == NULL || g_str_equal (world->listed[i], zone));
  return count;
}

static inline guint
scaling_count_registered_kind (const ScalingWorld *world, const char *zone, gboolean spot)
{
  guint count = 0;
  for (guint i = 0; i < PATH_MODEL; i++)
    count += world->listed[i] != NULL && g_str_equal (world->listed[i], zone) && world->spot[i] == spot;
  return count;
}

static inline const char *
scaling_find_zone (const char *zone)
{
  for (guint i = 0; i < SCALING_N_ZONES; i++)
    if (g_str_equal (scaling_zones[i], zone))
      return scaling_zones[i];
  fail_msg ("order names the unknown zone '%s'", zone);
  return NULL;
}

/* Registers or unregisters on-demand workers until the zone has the ordered number of them. */
static inline gboolean
scaling_apply_order (gpointer data)
{
  ScalingBoot *boot = data;
  ScalingWorld *world = boot->world;
  boot->timer = 0;
  const char *zone = scaling_find_zone (boot->zone);
  for (guint i = 0; i < PATH_MODEL && scaling_count_registered_kind (world, zone, FALSE) < boot->desired; i++)
    if (world->listed[i] == NULL && i >= SCALING_N_INITIAL_WORKERS)
      scaling_set_registration (world, i, zone, FALSE);
  for (guint i = PATH_MODEL; i > 0 && scaling_count_registered_kind (world, zone, FALSE) > boot->desired; i--)
    if (world->listed[i - 1] == zone && !world->spot[i - 1])
      scaling_set_registration (world, i - 1, NULL, FALSE);
  return G_SOURCE_REMOVE;
}

static inline void
scaling_boot_free (gpointer data)
{
  ScalingBoot *boot = data;
  if (boot->timer != 0)
    g_source_remove (boot->timer);
  g_free (boot->zone);
  g_free (boot);
}

static inline void
scaling_schedule_order (ScalingWorld *world, ScalingOrder *order)
{
  ScalingBoot *boot = g_new0 (ScalingBoot, 1);
  boot->world = world;
  boot->zone = g_strdup (order->zone);
  boot->desired = order->desired;
  order->is_accepted = TRUE;
  g_ptr_array_add (world->boots, boot);
  boot->timer = g_timeout_add (world->boot_ms, scaling_apply_order, boot);
}

static inline ScalingOrder *
scaling_parse_order (const StandinCall *call)
{
  ScalingOrder *order = g_new0 (ScalingOrder, 1);
  order->body = g_strndup ((const char *)call->body->data, call->body->len);
  order->holder = g_strdup (standin_call_get_header (call, "Duty-Holder"));
  order->fence = g_ascii_strtoull (standin_call_get_header (call, "Fence-Token"), NULL, 10);
  order->received_us = g_get_monotonic_time ();
  assert_non_null (strstr (order->body, "\"service\":\"llm\""));
  char **fields = g_strsplit (strstr (order->body, "\"zone\":\"") + 8, "\"", 2);
  order->zone = g_strdup (fields[0]);
  g_strfreev (fields);
  order->desired = (guint)g_ascii_strtoull (strstr (order->body, "\"desired\":") + 10, NULL, 10);
  assert_null (strstr (order->body, "spot"));
  return order;
}

static inline void
scaling_handle_call (StandinCall *call, gpointer data)
{
  ScalingWorld *world = data;
  assert_string_equal (call->head->target, "/scale");
  ScalingOrder *order = scaling_parse_order (call);
  g_ptr_array_add (world->orders, order);
  assert_in_range (order->desired, 0, SCALING_MAX);
  const char *zone = scaling_find_zone (order->zone);
  gboolean is_scale_up = order->desired > scaling_count_registered_kind (world, zone, FALSE);
  if (world->refuse > 0)
    {
      world->refuse--;
      standin_call_answer (call, 503, "", "", 0);
      return;
    }
  if (is_scale_up && g_strcmp0 (world->exhausted_zone, zone) == 0)
    {
      standin_call_answer (call, 409, "", "", 0);
      return;
    }
  scaling_schedule_order (world, order);
  if (world->silent > 0)
    world->silent--;
  else if (world->n_calls_to_reset > 0)
    {
      world->n_calls_to_reset--;
      standin_call_reset_connection (call);
    }
  else
    standin_call_answer (call, 200, "", "", 0);
}

static inline void
scaling_configure (ScalingWorld *world)
{
  g_autofree char *base_config = g_strdup_printf (PATH_CONFIGURATION, 7u);
  g_autofree char *scaling_config
      = g_strdup_printf ("\"scaling\":{\"min\":%d,\"max\":%d,\"bootTimeoutS\":%.1f,\"spotPrice\":0.2,"
                         "\"zonePrices\":{\"z1\":1.0,\"z2\":0.8,\"z3\":1.2}},\"engine\":{\"slots\":1,",
                         SCALING_MIN, SCALING_MAX, world->boot_ms / 1000.0);
  g_autoptr (GString) text = g_string_new (base_config);
  assert_int_equal (g_string_replace (text, "\"engine\":{\"slots\":8,", scaling_config, 1), 1);
  standin_store_put (world->path->store, "op/config", text->str);
}

/* Starts the replicas and front 0 with the initial workers registered.  @setting: duties.order_workers. */
static inline ScalingWorld *
scaling_world_new (const char *name, const char *setting, guint boot_ms)
{
  ScalingWorld *world = g_new0 (ScalingWorld, 1);
  world->path = path_world_new (name);
  world->orders = g_ptr_array_new_with_free_func (scaling_order_free);
  world->boots = g_ptr_array_new_with_free_func (scaling_boot_free);
  world->server = standin_server_new (scaling_handle_call, world);
  world->exhausted_zone = "";
  world->boot_ms = boot_ms;
  world->path->extra_replica_settings
      = g_strdup_printf ("[duties]\naddress=%s\nnames=metering,scaling\norder_workers=%s\n",
                         standin_server_get_address (world->server), setting);
  scaling_configure (world);
  for (guint i = 0; i < PATH_MODEL; i++)
    standin_worker_set_events (world->path->model[i], SCALING_EVENTS_PER_SAMPLE, SCALING_EVENT_INTERVAL_MS);
  for (guint i = 0; i < PATH_PLAIN; i++)
    {
      g_autofree char *key = g_strdup_printf ("servers/p%u", i);
      g_autofree char *entry = standin_worker_make_entry (world->path->plain[i], "svc", "ready");
      standin_store_put (world->path->store, key, entry);
    }
  for (guint i = 0; i < SCALING_N_INITIAL_WORKERS; i++)
    scaling_set_registration (world, i, scaling_zones[i % SCALING_N_ZONES], FALSE);
  for (guint i = 0; i < PATH_REPLICAS; i++)
    path_start_replica (world->path, i);
  path_start_front (world->path, 0);
  world->path->bootstrapped = TRUE;
  AWAIT (path_status (path_front (world->path, 0), "GET", "/quinceroute/lots/none", "q", NULL) == 404);
  return world;
}

static inline void
scaling_submit_batch (ScalingWorld *world, const char *batch, guint samples)
{
  g_autofree char *text = path_make_batch (batch, samples);
  assert_int_equal (path_status (path_front (world->path, 0), "POST", "/r/batch", batch, text), 202);
}

static inline void
scaling_world_free (ScalingWorld *world)
{
  g_ptr_array_unref (world->boots);
  path_world_free (world->path);
  standin_server_free (world->server);
  g_ptr_array_unref (world->orders);
  g_free (world);
}

static inline const ScalingOrder *
scaling_get_order (const ScalingWorld *world, guint index)
{
  assert_true (index < world->orders->len);
  return world->orders->pdata[index];
}

/* Fence tokens never decrease, each belongs to one holder, and orders of one holder are more than 400 ms
 * apart. */
static inline void
scaling_assert_single_holder (const ScalingWorld *world)
{
  for (guint i = 1; i < world->orders->len; i++)
    {
      const ScalingOrder *previous = world->orders->pdata[i - 1];
      const ScalingOrder *order = world->orders->pdata[i];
      assert_true (order->fence >= previous->fence);
      assert_int_equal (order->fence == previous->fence, g_str_equal (order->holder, previous->holder));
      assert_true (order->fence > previous->fence || order->received_us - previous->received_us > 400 * 1000);
    }
}
