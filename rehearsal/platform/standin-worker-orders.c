/*
 * standin-worker-orders.c: reports, and orders to load weights with their injected faults.
 */
#include "standin-worker-private.h"

#include <json-glib/json-glib.h>

void
standin_worker_answer_report (StandinWorker *worker, StandinCall *call)
{
  g_autofree char *text = g_strdup_printf ("{\"stage\":\"hybrid\",\"models\":[{\"name\":\"" STANDIN_MODEL_NAME
                                           "\",\"version\":%" G_GUINT64_FORMAT
                                           ",\"adapters\":[]}],\"busy\":false,\"seq\":%" G_GUINT64_FORMAT
                                           ",\"queuedRequests\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":"
                                           "1000,\"handles\":0,\"born\":%" G_GINT64_FORMAT "}",
                                           worker->version, worker->n_orders, worker->started_at_ms);
  standin_call_answer (call, 200, "Content-Type: application/json\r\n", text, -1);
}

/* Completes a load: switches to @version, or to the version set for failed loads. */
static void
finish_load (StandinWorker *worker, guint64 version)
{
  if (worker->failing_loads_left == 0)
    {
      worker->version = version;
      return;
    }
  if (worker->failing_loads_left != G_MAXUINT)
    worker->failing_loads_left--;
  worker->n_failed_loads++;
  if (worker->failed_load_version != 0)
    worker->version = worker->failed_load_version;
}

static void
execute_order (StandinWorker *worker, StandinCall *call)
{
  g_autoptr (JsonParser) parser = json_parser_new ();
  g_assert_true (json_parser_load_from_data (parser, (const char *)call->body->data, call->body->len, NULL));
  JsonObject *order = json_node_get_object (json_parser_get_root (parser));
  if ((guint64)json_object_get_int_member (order, "expected") != worker->n_orders)
    {
      worker->n_refused_orders++;
      standin_call_answer (call, 409, "", "", 0);
      return;
    }
  guint64 fencing_token = (guint64)json_object_get_int_member (order, "fence");
  worker->n_orders++;
  g_array_append_val (worker->fencing_tokens, fencing_token);
  g_ptr_array_add (worker->order_leaders, g_strdup (json_object_get_string_member (order, "holder")));
  g_free (worker->order_mode);
  worker->order_mode = g_strdup (json_object_get_string_member (order, "mode"));
  finish_load (worker, (guint64)json_object_get_int_member (order, "version"));
  standin_call_answer (call, 202, "", "", 0);
}

void
standin_worker_handle_order (StandinWorker *worker, StandinCall *call)
{
  if (worker->delays_orders)
    g_ptr_array_add (worker->delayed_orders, call);
  else
    execute_order (worker, call);
}

void
standin_worker_drop_orders (StandinWorker *worker)
{
  for (guint i = 0; i < worker->delayed_orders->len; i++)
    standin_call_finish (worker->delayed_orders->pdata[i]);
  g_ptr_array_set_size (worker->delayed_orders, 0);
}

void
standin_worker_fail_loads (StandinWorker *worker, guint64 version, guint n_loads)
{
  worker->failed_load_version = version;
  worker->failing_loads_left = n_loads;
}

guint
standin_worker_get_n_failed_loads (const StandinWorker *worker)
{
  return worker->n_failed_loads;
}

void
standin_worker_set_orders_delayed (StandinWorker *worker, gboolean delayed)
{
  worker->delays_orders = delayed;
}

guint
standin_worker_count_delayed_orders (const StandinWorker *worker)
{
  return worker->delayed_orders->len;
}

void
standin_worker_deliver_orders (StandinWorker *worker)
{
  for (guint i = 0; i < worker->delayed_orders->len; i++)
    execute_order (worker, worker->delayed_orders->pdata[i]);
  g_ptr_array_set_size (worker->delayed_orders, 0);
}

guint
standin_worker_get_n_refused_orders (const StandinWorker *worker)
{
  return worker->n_refused_orders;
}

guint
standin_worker_get_n_orders (const StandinWorker *worker)
{
  return (guint)worker->n_orders;
}

const GArray *
standin_worker_get_fencing_tokens (const StandinWorker *worker)
{
  return worker->fencing_tokens;
}

const char *
standin_worker_get_order_mode (const StandinWorker *worker)
{
  return worker->order_mode;
}

const GPtrArray *
standin_worker_get_order_leaders (const StandinWorker *worker)
{
  return worker->order_leaders;
}
