/*
 * kv.c: stand-in of the platform's key-value service, a subset of the JSON
 * gateway of the etcd v3 API.
 */
#include "kv.h"

#include <string.h>

#include "runtime/http.h"
#include "runtime/log.h"
#include "runtime/clock.h"

#include "standins.h"

#define LEASE_CHECK_MS 100
#define MAX_LEASE_TTL_S 86400

#define FLAG(name)                                                                                           \
  {                                                                                                          \
#name, QUINCE_FAULT_FLAG, G_STRUCT_OFFSET(KvFaults, name), NULL                                          \
  }
#define NUMBER(name)                                                                                         \
  {                                                                                                          \
#name, QUINCE_FAULT_NUMBER, G_STRUCT_OFFSET(KvFaults, name), NULL                                        \
  }
static const QuinceFaultSpec kv_faults[] = {
  QUINCE_NETWORK_FAULT_ROWS (KvFaults, network),
  FLAG (unavailable),
  NUMBER (lose_answer_next),
  NUMBER (lose_request_next),
  FLAG (drop_watches),
  FLAG (stall_watches),
  NUMBER (late_watches_ms),
  FLAG (pause_leases),
  { 0 },
};

void
kv_reply_error (SoupServerMessage *message, KvCode code, const char *text)
{
  guint status = code == KV_CODE_NOT_FOUND            ? 404
                 : code == KV_CODE_RESOURCE_EXHAUSTED ? 429
                 : code == KV_CODE_UNIMPLEMENTED      ? 501
                 : code == KV_CODE_UNAVAILABLE        ? 503
                                                      : 400;
  g_autofree char *quoted = g_strescape (text, NULL);
  quince_standin_reply_text (
      message, status,
      g_strdup_printf ("{\"error\":\"%s\",\"code\":%d,\"message\":\"%s\"}", quoted, (int)code, quoted));
}

/* ---- Reads and writes ---- */

static void
save_state (KvService *service)
{
  if (service->state_file == NULL)
    return;
  g_autoptr (GError) error = NULL;
  g_autofree char *text = kv_store_save (service->store);
  if (!g_file_set_contents (service->state_file, text, -1, &error))
    {
      g_autofree char *quoted = quince_log_quote (error->message);
      quince_log_warning ("state_not_saved", "error=%s", quoted);
    }
}

static void
on_committed (const GArray *events, gpointer user_data)
{
  KvService *service = user_data;
  service->n_writes++;
  save_state (service);
  kv_watches_publish (service->watches, events);
}

typedef char *(*KvOperation) (KvStore *store, JsonObject *request, GError **error);

static void
handle_operation (KvService *service, SoupServerMessage *message, KvOperation operation)
{
  g_autoptr (JsonNode) body = quince_http_read_object (message);
  if (body == NULL)
    return;
  gboolean is_write = operation != kv_json_range;
  if (is_write && service->faults.lose_request_next > 0)
    {
      service->faults.lose_request_next--;
      quince_standin_cut (message);
      return;
    }
  g_autoptr (GError) error = NULL;
  kv_store_begin (service->store);
  g_autofree char *answer = operation (service->store, json_node_get_object (body), &error);
  if (answer != NULL)
    kv_store_commit (service->store);
  else
    kv_store_rollback (service->store);
  service->n_reads += is_write ? 0 : 1;
  if (answer == NULL)
    kv_reply_error (message, (KvCode)error->code, error->message);
  else if (is_write && service->faults.lose_answer_next > 0)
    {
      service->faults.lose_answer_next--;
      service->n_lost++;
      quince_standin_cut (message);
    }
  else
    quince_standin_reply_text (message, 200, g_steal_pointer (&answer));
}

static void
handle_range (KvService *service, SoupServerMessage *message)
{
  handle_operation (service, message, kv_json_range);
}

static void
handle_put (KvService *service, SoupServerMessage *message)
{
  handle_operation (service, message, kv_json_put);
}

static void
handle_delete_range (KvService *service, SoupServerMessage *message)
{
  handle_operation (service, message, kv_json_delete_range);
}

static void
handle_txn (KvService *service, SoupServerMessage *message)
{
  handle_operation (service, message, kv_json_txn);
}

static void
handle_watch (KvService *service, SoupServerMessage *message)
{
  kv_watches_handle (service->watches, message);
}

static void
handle_compaction (KvService *service, SoupServerMessage *message)
{
  g_autoptr (JsonNode) body = quince_http_read_object (message);
  if (body == NULL)
    return;
  gint64 revision = 0;
  g_autoptr (GError) error = NULL;
  if (!kv_json_get_int64 (json_node_get_object (body), "revision", &revision, &error) || revision < 0)
    {
      kv_reply_error (message, KV_CODE_INVALID_ARGUMENT, "bad revision");
      return;
    }
  kv_store_compact (service->store, (guint64)revision);
  quince_standin_reply_text (message, 200, g_strdup ("{}"));
}

/* ---- Leases ---- */

static gboolean
read_lease (SoupServerMessage *message, gint64 *id, gint64 *ttl_s)
{
  g_autoptr (JsonNode) body = quince_http_read_object (message);
  if (body == NULL)
    return FALSE;
  g_autoptr (GError) error = NULL;
  JsonObject *object = json_node_get_object (body);
  if (kv_json_get_int64 (object, "ID", id, &error) && kv_json_get_int64 (object, "TTL", ttl_s, &error))
    return TRUE;
  kv_reply_error (message, KV_CODE_INVALID_ARGUMENT, error->message);
  return FALSE;
}

static GString *
begin_lease_answer (KvService *service, const char *opening)
{
  GString *text = g_string_new (opening);
  kv_json_append_header (text, kv_store_get_revision (service->store));
  return text;
}

static void
handle_lease_grant (KvService *service, SoupServerMessage *message)
{
  gint64 id = 0;
  gint64 ttl_s = 0;
  if (!read_lease (message, &id, &ttl_s))
    return;
  if (ttl_s <= 0 || ttl_s > MAX_LEASE_TTL_S || kv_store_has_lease (service->store, id))
    {
      kv_reply_error (message, KV_CODE_INVALID_ARGUMENT, "bad TTL, or the lease exists");
      return;
    }
  if (id == 0)
    id = ++service->next_lease;
  kv_store_grant_lease (service->store, id, ttl_s, quince_now_us ());
  GString *text = begin_lease_answer (service, "{");
  g_string_append_printf (text, ",\"ID\":\"%" G_GINT64_FORMAT "\",\"TTL\":\"%" G_GINT64_FORMAT "\"}", id,
                          ttl_s);
  quince_standin_reply_text (message, 200, g_string_free (text, FALSE));
}

static void
handle_lease_keepalive (KvService *service, SoupServerMessage *message)
{
  gint64 id = 0;
  gint64 ttl_s = 0;
  if (!read_lease (message, &id, &ttl_s))
    return;
  ttl_s = kv_store_renew_lease (service->store, id, quince_now_us ());
  GString *text = begin_lease_answer (service, "{\"result\":{");
  g_string_append_printf (text, ",\"ID\":\"%" G_GINT64_FORMAT "\"", id);
  /* A lease that is gone is answered without a TTL. */
  if (ttl_s > 0)
    g_string_append_printf (text, ",\"TTL\":\"%" G_GINT64_FORMAT "\"", ttl_s);
  g_string_append (text, "}}\n");
  quince_standin_reply_text (message, 200, g_string_free (text, FALSE));
}

static void
handle_lease_revoke (KvService *service, SoupServerMessage *message)
{
  gint64 id = 0;
  gint64 ttl_s = 0;
  if (!read_lease (message, &id, &ttl_s))
    return;
  if (!kv_store_revoke_lease (service->store, id))
    {
      kv_reply_error (message, KV_CODE_NOT_FOUND, "etcdserver: requested lease not found");
      return;
    }
  GString *text = begin_lease_answer (service, "{");
  g_string_append_c (text, '}');
  quince_standin_reply_text (message, 200, g_string_free (text, FALSE));
}

static gboolean
check_leases (gpointer user_data)
{
  KvService *service = user_data;
  if (!service->faults.pause_leases)
    kv_store_expire_leases (service->store, quince_now_us ());
  return G_SOURCE_CONTINUE;
}

/* ---- Requests by path ---- */

static const struct
{
  const char *path;
  void (*handle) (KvService *service, SoupServerMessage *message);
} routes[] = {
  { "/v3/kv/range", handle_range },
  { "/v3/kv/put", handle_put },
  { "/v3/kv/deleterange", handle_delete_range },
  { "/v3/kv/txn", handle_txn },
  { "/v3/kv/compaction", handle_compaction },
  { "/v3/watch", handle_watch },
  { "/v3/lease/grant", handle_lease_grant },
  { "/v3/lease/keepalive", handle_lease_keepalive },
  { "/v3/lease/revoke", handle_lease_revoke },
  { "/v3/kv/lease/revoke", handle_lease_revoke },
};

static gboolean
refuse (KvService *service, SoupServerMessage *message)
{
  if (service->faults.unavailable)
    {
      kv_reply_error (message, KV_CODE_UNAVAILABLE, "etcdserver: no leader");
      return TRUE;
    }
  if (quince_token_bucket_take (&service->bucket, 1, quince_now_us ()) == 0)
    return FALSE;
  service->n_refused++;
  kv_reply_error (message, KV_CODE_RESOURCE_EXHAUSTED, "etcdserver: too many requests");
  return TRUE;
}

static void
handle_request (gpointer self, SoupServerMessage *message, const char *path, GHashTable *query)
{
  KvService *service = self;
  for (guint i = 0; i < G_N_ELEMENTS (routes); i++)
    if (g_str_equal (routes[i].path, path) && soup_server_message_get_method (message) == SOUP_METHOD_POST)
      {
        if (!refuse (service, message))
          routes[i].handle (service, message);
        return;
      }
  kv_reply_error (message, KV_CODE_NOT_FOUND, "Not Found");
}

static void
on_faults_changed (gpointer self)
{
  KvService *service = self;
  if (service->faults.drop_watches)
    {
      service->faults.drop_watches = FALSE;
      kv_watches_drop_all (service->watches);
    }
  if (!service->faults.stall_watches)
    kv_watches_resume (service->watches);
}

static char *
describe_records (gpointer self)
{
  KvService *service = self;
  return g_strdup_printf ("{\"revision\":%" G_GUINT64_FORMAT ",\"reads\":%" G_GUINT64_FORMAT
                          ",\"writes\":%" G_GUINT64_FORMAT ",\"refused\":%" G_GUINT64_FORMAT
                          ",\"lost_answers\":%" G_GUINT64_FORMAT ",\"watches\":%u}",
                          kv_store_get_revision (service->store), service->n_reads, service->n_writes,
                          service->n_refused, service->n_lost, kv_watches_get_count (service->watches));
}

static void
reset_service (gpointer self)
{
  KvService *service = self;
  kv_watches_drop_all (service->watches);
  kv_store_clear (service->store);
  service->n_reads = service->n_writes = service->n_refused = service->n_lost = 0;
  save_state (service);
}

static const QuinceStandinClass kv_class = {
  .role = "kv",
  .faults = kv_faults,
  .handle = handle_request,
  .faults_changed = on_faults_changed,
  .records = describe_records,
  .reset = reset_service,
};

/* ---- Flags ---- */

enum
{
  KEY_RATE = 0x2000,
  KEY_BURST,
  KEY_STATE,
};

static const struct argp_option kv_options[] = {
  { "rate", KEY_RATE, "N", 0, "Requests a second (0: no limit)", 0 },
  { "burst", KEY_BURST, "N", 0, "Requests at once (the rate)", 0 },
  { "state", KEY_STATE, "FILE", 0, "Keep the data over a restart", 0 },
  { 0 },
};

static error_t
parse_flag (int key, char *argument, struct argp_state *state)
{
  KvService *service = state->input;
  switch (key)
    {
    case ARGP_KEY_INIT:
      state->child_inputs[0] = &service->common;
      return 0;
    case KEY_RATE:
      service->rate = quince_standin_flag_number (argument, 1000000, state);
      return 0;
    case KEY_BURST:
      service->burst = quince_standin_flag_number (argument, 1000000, state);
      return 0;
    case KEY_STATE:
      service->state_file = argument;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp_child kv_children[] = { { &quince_standin_argp, 0, NULL, 0 }, { 0 } };
static const struct argp kv_argp
    = { kv_options, parse_flag, NULL, "Stand-in of the key-value service.", kv_children, NULL, NULL };

static gboolean
load_state (KvService *service, GError **error)
{
  g_autofree char *text = NULL;
  if (service->state_file == NULL || !g_file_test (service->state_file, G_FILE_TEST_EXISTS))
    return TRUE;
  return g_file_get_contents (service->state_file, &text, NULL, error)
         && kv_store_load (service->store, text, error);
}

int
quince_kv_standin_run (int argc, char **argv)
{
  /* Lives until the process ends: timers and connections refer to it. */
  static KvService service;
  quince_standin_flags_init (&service.common, "kv");
  if (argp_parse (&kv_argp, argc, argv, 0, NULL, &service) != 0)
    return QUINCE_STANDIN_EXIT_USAGE;
  service.store = kv_store_new (on_committed, &service);
  service.watches = kv_watches_new (&service);
  quince_token_bucket_init (&service.bucket, (double)service.rate,
                            (double)(service.burst > 0 ? service.burst : service.rate));
  g_autoptr (GError) error = NULL;
  if (!load_state (&service, &error))
    return quince_standin_report_failure ("kv", error);
  service.standin = quince_standin_new (&kv_class, &service.common, &service, &service.faults, &error);
  if (service.standin == NULL)
    return quince_standin_report_failure ("kv", error);
  quince_standin_set_network_faults (service.standin, &service.faults.network);
  g_timeout_add (LEASE_CHECK_MS, check_leases, &service);
  return quince_standin_run (service.standin, NULL);
}
