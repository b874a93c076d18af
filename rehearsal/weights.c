/*
 * weights.c: stand-in of the weight store: versions by number, limited in
 * requests and bytes a second.
 */
#include <quince/http.h>
#include <quince/task.h>

#include "standin.h"
#include "standins.h"

#define MAX_VERSIONS 100000
#define MAX_DOWNLOAD_RECORDS 100000

typedef struct
{
  QuinceNetworkFaults network;
  guint64 refuse_next; /* downloads that are answered 429        */
  guint64 cut_next;    /* downloads that are cut without answer  */
} WeightsFaults;

static const QuinceFaultSpec weights_faults[] = {
  QUINCE_NETWORK_FAULT_ROWS (WeightsFaults, network),
  { "refuse_next", QUINCE_FAULT_NUMBER, G_STRUCT_OFFSET (WeightsFaults, refuse_next), NULL },
  { "cut_next", QUINCE_FAULT_NUMBER, G_STRUCT_OFFSET (WeightsFaults, cut_next), NULL },
  { 0 },
};

typedef struct
{
  QuinceStandinFlags common;
  guint64 rate;       /* downloads a second; 0: no limit */
  guint64 bytes_rate; /* bytes a second; 0: no limit     */
  guint64 size;       /* bytes of a version              */
  guint64 version;    /* there at start                  */
} WeightsSettings;

typedef struct
{
  guint64 version;
  gint64 time_us;
} Download;

typedef struct
{
  WeightsSettings settings;
  WeightsFaults faults;
  QuinceTokenBucket requests;
  QuinceTokenBucket bytes;
  GArray *versions;  /* guint64, growing                          */
  GArray *downloads; /* Download, at most MAX_DOWNLOAD_RECORDS    */
  guint64 n_downloads;
  guint64 n_refused;
} WeightStore;

static guint64
latest_version (const WeightStore *store)
{
  return g_array_index (store->versions, guint64, store->versions->len - 1);
}

static gboolean
has_version (const WeightStore *store, guint64 version)
{
  for (guint i = store->versions->len; i > 0; i--)
    if (g_array_index (store->versions, guint64, i - 1) == version)
      return TRUE;
  return FALSE;
}

static void
reply_versions (WeightStore *store, SoupServerMessage *message)
{
  GString *text = g_string_new (NULL);
  g_string_append_printf (text, "{\"latest\":%" G_GUINT64_FORMAT ",\"versions\":[", latest_version (store));
  for (guint i = 0; i < store->versions->len; i++)
    g_string_append_printf (text, "%s%" G_GUINT64_FORMAT, i > 0 ? "," : "",
                            g_array_index (store->versions, guint64, i));
  g_string_append (text, "]}");
  quince_standin_reply_text (message, 200, g_string_free (text, FALSE));
}

/* Milliseconds until the limits allow a download; 0: it is allowed and counted. */
static gint64
take_download (WeightStore *store)
{
  gint64 now_us = quince_now_us ();
  gint64 wait_ms = quince_token_bucket_take (&store->requests, 1, now_us);
  if (wait_ms == 0)
    wait_ms = quince_token_bucket_take (&store->bytes, (double)store->settings.size, now_us);
  return wait_ms;
}

static void
refuse_download (WeightStore *store, SoupServerMessage *message, gint64 wait_ms)
{
  store->n_refused++;
  quince_http_reply_error (message, 429, "rate_limited", "above the store's rate", -1, wait_ms);
}

static void
reply_version (WeightStore *store, SoupServerMessage *message, const char *number)
{
  guint64 version = 0;
  if (!g_ascii_string_to_unsigned (number, 10, 0, G_MAXINT64, &version, NULL)
      || !has_version (store, version))
    {
      quince_http_reply_error (message, 404, "no_such_version", "the store has no such version", -1, -1);
      return;
    }
  gint64 wait_ms = store->faults.refuse_next > 0 ? 1000 : take_download (store);
  if (wait_ms > 0)
    {
      if (store->faults.refuse_next > 0)
        store->faults.refuse_next--;
      refuse_download (store, message, wait_ms);
      return;
    }
  if (store->faults.cut_next > 0)
    {
      store->faults.cut_next--;
      quince_standin_cut (message);
      return;
    }
  store->n_downloads++;
  Download download = { version, quince_now_us () };
  if (store->downloads->len < MAX_DOWNLOAD_RECORDS)
    g_array_append_val (store->downloads, download);
  soup_server_message_set_status (message, 200, NULL);
  soup_server_message_set_response (message, "application/octet-stream", SOUP_MEMORY_TAKE,
                                    g_malloc0 (store->settings.size), store->settings.size);
}

static void
publish_version (WeightStore *store, SoupServerMessage *message)
{
  g_autoptr (JsonNode) body = quince_http_read_object (message);
  if (body == NULL)
    return;
  guint64 version = 0;
  g_autoptr (GError) error = NULL;
  if (!quince_json_get_u64 (json_node_get_object (body), "version", G_MAXINT64, &version, &error))
    quince_http_reply_error (message, 400, "bad_request", error->message, -1, -1);
  else if (has_version (store, version))
    reply_versions (store, message);
  else if (version < latest_version (store))
    quince_http_reply_error (message, 409, "stale_version", "a greater version was published", -1, -1);
  else if (store->versions->len >= MAX_VERSIONS)
    quince_http_reply_error (message, 507, "full", "the store holds no more versions", -1, -1);
  else
    {
      g_array_append_val (store->versions, version);
      reply_versions (store, message);
    }
}

static void
handle_request (gpointer self, SoupServerMessage *message, const char *path, GHashTable *query)
{
  WeightStore *store = self;
  gboolean is_post = soup_server_message_get_method (message) == SOUP_METHOD_POST;
  if (g_str_equal (path, "/versions") && is_post)
    publish_version (store, message);
  else if (g_str_equal (path, "/versions"))
    reply_versions (store, message);
  else if (g_str_has_prefix (path, "/versions/"))
    reply_version (store, message, path + strlen ("/versions/"));
  else
    quince_http_reply_error (message, 404, "not_found", "no such call", -1, -1);
}

static char *
describe_records (gpointer self)
{
  WeightStore *store = self;
  GString *text = g_string_new (NULL);
  g_string_append_printf (text,
                          "{\"latest\":%" G_GUINT64_FORMAT ",\"downloaded\":%" G_GUINT64_FORMAT
                          ",\"refused\":%" G_GUINT64_FORMAT ",\"downloads\":[",
                          latest_version (store), store->n_downloads, store->n_refused);
  for (guint i = 0; i < store->downloads->len; i++)
    {
      const Download *download = &g_array_index (store->downloads, Download, i);
      g_string_append_printf (text, "%s{\"version\":%" G_GUINT64_FORMAT ",\"time_ms\":%" G_GINT64_FORMAT "}",
                              i > 0 ? "," : "", download->version, download->time_us / 1000);
    }
  g_string_append (text, "]}");
  return g_string_free (text, FALSE);
}

static void
reset_store (gpointer self)
{
  WeightStore *store = self;
  g_array_set_size (store->versions, 0);
  g_array_append_val (store->versions, store->settings.version);
  g_array_set_size (store->downloads, 0);
  store->n_downloads = store->n_refused = 0;
  quince_token_bucket_init (&store->requests, (double)store->settings.rate, (double)store->settings.rate);
  quince_token_bucket_init (&store->bytes, (double)store->settings.bytes_rate,
                            (double)store->settings.bytes_rate);
}

static const QuinceStandinClass weights_class = {
  .role = "weights",
  .faults = weights_faults,
  .handle = handle_request,
  .records = describe_records,
  .reset = reset_store,
};

enum
{
  KEY_RATE = 0x2000,
  KEY_BYTES_RATE,
  KEY_SIZE,
  KEY_VERSION,
};

static const struct argp_option weights_options[] = {
  { "rate", KEY_RATE, "N", 0, "Downloads a second (0: no limit)", 0 },
  { "bytes-per-second", KEY_BYTES_RATE, "N", 0, "Bytes a second (0: no limit)", 0 },
  { "size", KEY_SIZE, "BYTES", 0, "Bytes of a version (65536)", 0 },
  { "version", KEY_VERSION, "V", 0, "Version there at start (1)", 0 },
  { 0 },
};

static error_t
parse_flag (int key, char *argument, struct argp_state *state)
{
  WeightsSettings *settings = state->input;
  switch (key)
    {
    case ARGP_KEY_INIT:
      state->child_inputs[0] = &settings->common;
      return 0;
    case KEY_RATE:
      settings->rate = quince_standin_flag_number (argument, 1000000, state);
      return 0;
    case KEY_BYTES_RATE:
      settings->bytes_rate = quince_standin_flag_number (argument, G_MAXUINT32, state);
      return 0;
    case KEY_SIZE:
      settings->size = quince_standin_flag_number (argument, 64 * 1024 * 1024, state);
      return 0;
    case KEY_VERSION:
      settings->version = quince_standin_flag_number (argument, G_MAXINT64, state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp_child weights_children[] = { { &quince_standin_argp, 0, NULL, 0 }, { 0 } };
static const struct argp weights_argp
    = { weights_options, parse_flag, NULL, "Stand-in of the weight store.", weights_children, NULL, NULL };

int
quince_weights_standin_run (int argc, char **argv)
{
  WeightStore store = { .settings = { .size = 65536, .version = 1 } };
  quince_standin_flags_init (&store.settings.common, "weights");
  if (argp_parse (&weights_argp, argc, argv, 0, NULL, &store.settings) != 0)
    return QUINCE_STANDIN_EXIT_USAGE;
  store.versions = g_array_new (FALSE, FALSE, sizeof (guint64));
  store.downloads = g_array_new (FALSE, FALSE, sizeof (Download));
  reset_store (&store);
  g_autoptr (GError) error = NULL;
  QuinceStandin *standin
      = quince_standin_new (&weights_class, &store.settings.common, &store, &store.faults, &error);
  if (standin == NULL)
    return quince_standin_report_failure ("weights", error);
  quince_standin_set_network_faults (standin, &store.faults.network);
  return quince_standin_run (standin, NULL);
}
