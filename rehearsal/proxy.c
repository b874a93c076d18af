/*
 * proxy.c: fault-injecting TCP and UDP proxy for tests, with several routes
 * in one process.
 *
 *   GET  /routes             {"routes":[{"route":0,"kind":"tcp","listen":..,"upstream":..,counters}]}
 *   POST /routes             {"listen":"127.0.0.1:0","upstream":"IP:PORT","kind":"tcp"|"udp"}
 *   POST /routes/N/faults    sets faults of one route; GET reads them
 *   POST /routes/N/upstream  {"upstream":"IP:PORT"} moves a route
 *   POST /routes/N/blocked   {"processes":[PID,..]} carries nothing from or to these processes
 *   POST /_faults            sets faults of every route
 */
#include "proxy.h"

#include <string.h>

#include <quince/http.h>
#include <quince/link.h>

#include "standin.h"
#include "standins.h"

#define MAX_ROUTES 4096

static const char *const directions[] = { "up", "down", "both", NULL };
static const char *const half_close_directions[] = { "up", "down", NULL };

#define FAULT(name, type, choices)                                                                           \
  {                                                                                                          \
#name, type, G_STRUCT_OFFSET(ProxyFaults, name), choices                                                 \
  }
const QuinceFaultSpec proxy_faults[] = {
  FAULT (delay_ms, QUINCE_FAULT_NUMBER, NULL),
  FAULT (cut, QUINCE_FAULT_FLAG, NULL),
  FAULT (cut_after_bytes, QUINCE_FAULT_NUMBER, NULL),
  FAULT (drop, QUINCE_FAULT_CHOICE, directions),
  FAULT (freeze, QUINCE_FAULT_FLAG, NULL),
  FAULT (half_close, QUINCE_FAULT_CHOICE, half_close_directions),
  FAULT (loss_percent, QUINCE_FAULT_NUMBER, NULL),
  { 0 },
};

typedef struct
{
  char *upstream;        /* owned                          */
  ProxyTcp *tcp;         /* owned; NULL for a UDP route    */
  ProxyUdp *udp;         /* owned; NULL for a TCP route    */
  ProxySenders *senders; /* owned */
  ProxyFaults faults;
  ProxyCounters counters;
} Route;

typedef struct
{
  QuinceStandinFlags common;
  const char *listen;   /* of the route that --upstream makes */
  const char *upstream; /* NULL: none                         */
  GPtrArray *wanted;    /* routes of the flags: "tcp=" or "udp=", then LISTEN=UPSTREAM */
  ProxyFaults faults;   /* last set for every route           */
  GPtrArray *routes;    /* Route; owned, never removed        */
} Proxy;

gboolean
proxy_drops (const ProxyFaults *faults, gboolean up)
{
  return faults->drop != NULL
         && (g_str_equal (faults->drop, "both") || g_str_equal (faults->drop, up ? "up" : "down"));
}

GSocket *
proxy_bind (const char *address, GSocketType type, char **actual, GError **error)
{
  g_autoptr (GSocketAddress) wanted = quince_address_parse (address, error);
  if (wanted == NULL)
    return NULL;
  g_autoptr (GSocket) socket
      = g_socket_new (g_socket_address_get_family (wanted), type, G_SOCKET_PROTOCOL_DEFAULT, error);
  if (socket == NULL || !g_socket_bind (socket, wanted, type == G_SOCKET_TYPE_STREAM, error))
    return NULL;
  g_autoptr (GSocketAddress) bound = g_socket_get_local_address (socket, error);
  if (bound == NULL)
    return NULL;
  g_socket_set_blocking (socket, FALSE);
  *actual = g_socket_connectable_to_string (G_SOCKET_CONNECTABLE (bound));
  return g_steal_pointer (&socket);
}

/* ---- Routes ---- */

static const char *
route_address (const Route *route)
{
  return route->tcp != NULL ? proxy_tcp_get_address (route->tcp) : proxy_udp_get_address (route->udp);
}

static Route *
add_route (Proxy *proxy, const char *kind, const char *listen, const char *upstream, GError **error)
{
  Route *route = g_new0 (Route, 1);
  route->senders = proxy_senders_new ();
  if (g_str_equal (kind, "udp"))
    route->udp = proxy_udp_new (listen, upstream, &route->faults, route->senders, &route->counters, error);
  else
    route->tcp = proxy_tcp_new (listen, upstream, &route->faults, route->senders, &route->counters, error);
  if (route->tcp == NULL && route->udp == NULL)
    {
      proxy_senders_free (route->senders);
      g_free (route);
      return NULL;
    }
  route->upstream = g_strdup (upstream);
  g_ptr_array_add (proxy->routes, route);
  return route;
}

static void
append_route (GString *text, const Route *route, guint number)
{
  const ProxyCounters *counters = &route->counters;
  g_string_append_printf (
      text,
      "{\"route\":%u,\"kind\":\"%s\",\"listen\":\"%s\",\"upstream\":\"%s\",\"open\":%u,"
      "\"connections\":%" G_GUINT64_FORMAT ",\"cut\":%" G_GUINT64_FORMAT ",\"failed\":%" G_GUINT64_FORMAT
      ",\"blocked\":%" G_GUINT64_FORMAT ",\"bytes_up\":%" G_GUINT64_FORMAT
      ",\"bytes_down\":%" G_GUINT64_FORMAT ",\"dropped\":%" G_GUINT64_FORMAT "}",
      number, route->tcp != NULL ? "tcp" : "udp", route_address (route), route->upstream,
      route->tcp != NULL ? proxy_tcp_get_open (route->tcp) : 0, counters->connections, counters->cut,
      counters->failed, counters->blocked, counters->bytes_up, counters->bytes_down, counters->dropped);
}

static char *
describe_routes (gpointer self)
{
  Proxy *proxy = self;
  GString *text = g_string_new ("{\"routes\":[");
  for (guint i = 0; i < proxy->routes->len; i++)
    {
      if (i > 0)
        g_string_append_c (text, ',');
      append_route (text, g_ptr_array_index (proxy->routes, i), i);
    }
  g_string_append (text, "]}");
  return g_string_free (text, FALSE);
}

static void
route_faults_changed (Route *route)
{
  if (route->tcp != NULL)
    proxy_tcp_faults_changed (route->tcp);
}

/* ---- Control requests ---- */

static void
handle_new_route (Proxy *proxy, SoupServerMessage *message)
{
  g_autoptr (JsonNode) body = quince_http_read_object (message);
  if (body == NULL)
    return;
  JsonObject *object = json_node_get_object (body);
  const char *listen = "127.0.0.1:0";
  const char *kind = "tcp";
  const char *upstream = NULL;
  g_autoptr (GError) error = NULL;
  Route *route = NULL;
  if (proxy->routes->len < MAX_ROUTES && quince_json_opt_text (object, "listen", 64, &listen, &error)
      && quince_json_opt_text (object, "kind", 8, &kind, &error)
      && quince_json_get_text (object, "upstream", 64, &upstream, &error))
    route = add_route (proxy, kind, listen, upstream, &error);
  if (route == NULL)
    {
      quince_http_reply_error (message, 400, "bad_request",
                               error != NULL ? error->message : "too many routes", -1, -1);
      return;
    }
  GString *text = g_string_new (NULL);
  append_route (text, route, proxy->routes->len - 1);
  quince_standin_reply_text (message, 200, g_string_free (text, FALSE));
}

static void
handle_route_faults (Proxy *proxy, SoupServerMessage *message, Route *route)
{
  if (soup_server_message_get_method (message) == SOUP_METHOD_POST)
    {
      g_autoptr (JsonNode) body = quince_http_read_object (message);
      g_autoptr (GError) error = NULL;
      if (body == NULL)
        return;
      if (!quince_faults_apply (proxy_faults, &route->faults, json_node_get_object (body), &error))
        {
          quince_http_reply_error (message, 400, "bad_fault", error->message, -1, -1);
          return;
        }
      route_faults_changed (route);
    }
  g_autoptr (JsonNode) faults = quince_faults_describe (proxy_faults, &route->faults);
  quince_http_reply_json (message, 200, faults);
}

static void
handle_route_upstream (Proxy *proxy, SoupServerMessage *message, Route *route)
{
  g_autoptr (JsonNode) body = quince_http_read_object (message);
  if (body == NULL)
    return;
  const char *upstream = NULL;
  g_autoptr (GError) error = NULL;
  gboolean moved = quince_json_get_text (json_node_get_object (body), "upstream", 64, &upstream, &error)
                   && (route->tcp != NULL ? proxy_tcp_set_upstream (route->tcp, upstream, &error)
                                          : proxy_udp_set_upstream (route->udp, upstream, &error));
  if (!moved)
    {
      quince_http_reply_error (message, 400, "bad_request", error->message, -1, -1);
      return;
    }
  g_free (route->upstream);
  route->upstream = g_strdup (upstream);
  quince_standin_reply_text (message, 200, g_strdup ("{}"));
}

static void
handle_route_blocked (Proxy *proxy, SoupServerMessage *message, Route *route)
{
  g_autoptr (JsonNode) body = quince_http_read_object (message);
  if (body == NULL)
    return;
  JsonNode *member = json_object_get_member (json_node_get_object (body), "processes");
  if (member == NULL || !JSON_NODE_HOLDS_ARRAY (member))
    {
      quince_http_reply_error (message, 400, "bad_request", "processes is no list", -1, -1);
      return;
    }
  JsonArray *listed = json_node_get_array (member);
  g_autoptr (GArray) processes = g_array_new (FALSE, FALSE, sizeof (guint));
  for (guint i = 0; i < json_array_get_length (listed); i++)
    {
      guint process = (guint)json_array_get_int_element (listed, i);
      g_array_append_val (processes, process);
    }
  proxy_senders_set_blocked (route->senders, processes);
  if (route->udp != NULL)
    proxy_udp_senders_changed (route->udp);
  route_faults_changed (route);
  quince_standin_reply_text (message, 200, g_strdup ("{}"));
}

/* The route of "/routes/N/" and @call, or NULL. */
static Route *
find_route (Proxy *proxy, const char *path, const char *call)
{
  if (!g_str_has_prefix (path, "/routes/"))
    return NULL;
  char *end = NULL;
  guint64 number = g_ascii_strtoull (path + strlen ("/routes/"), &end, 10);
  if (!g_str_equal (end, call) || number >= proxy->routes->len)
    return NULL;
  return g_ptr_array_index (proxy->routes, number);
}

static gboolean
handle_routes (gpointer self, SoupServerMessage *message, const char *path)
{
  Proxy *proxy = self;
  Route *route = find_route (proxy, path, "/faults");
  Route *moved = find_route (proxy, path, "/upstream");
  Route *blocked = find_route (proxy, path, "/blocked");
  if (route != NULL)
    handle_route_faults (proxy, message, route);
  else if (moved != NULL)
    handle_route_upstream (proxy, message, moved);
  else if (blocked != NULL)
    handle_route_blocked (proxy, message, blocked);
  else if (!g_str_equal (path, "/routes"))
    return FALSE;
  else if (soup_server_message_get_method (message) == SOUP_METHOD_POST)
    handle_new_route (proxy, message);
  else
    quince_standin_reply_text (message, 200, describe_routes (proxy));
  return TRUE;
}

static void
handle_request (gpointer self, SoupServerMessage *message, const char *path, GHashTable *query)
{
  if (!handle_routes (self, message, path))
    quince_http_reply_error (message, 404, "not_found", "no such call", -1, -1);
}

static void
on_faults_changed (gpointer self)
{
  Proxy *proxy = self;
  for (guint i = 0; i < proxy->routes->len; i++)
    {
      Route *route = g_ptr_array_index (proxy->routes, i);
      route->faults = proxy->faults;
      route_faults_changed (route);
    }
}

static void
reset_counters (gpointer self)
{
  Proxy *proxy = self;
  for (guint i = 0; i < proxy->routes->len; i++)
    memset (&((Route *)g_ptr_array_index (proxy->routes, i))->counters, 0, sizeof (ProxyCounters));
}

static const QuinceStandinClass proxy_class = {
  .role = "proxy",
  .faults = proxy_faults,
  .handle = handle_request,
  .handle_control = handle_routes,
  .faults_changed = on_faults_changed,
  .records = describe_routes,
  .reset = reset_counters,
};

/* ---- Flags ---- */

enum
{
  KEY_LISTEN = 'l',
  KEY_UPSTREAM = 'u',
  KEY_ROUTE = 'r',
  KEY_NAME = 'n',
  KEY_UDP_ROUTE = 0x2000,
  KEY_CONTROL,
};

static const struct argp_option proxy_options[] = {
  { "listen", KEY_LISTEN, "IP:PORT", 0, "Where the route of --upstream listens (127.0.0.1:0)", 0 },
  { "upstream", KEY_UPSTREAM, "IP:PORT", 0, "Makes a TCP route to this address", 0 },
  { "route", KEY_ROUTE, "LISTEN=UPSTREAM", 0, "Makes a TCP route; repeatable", 0 },
  { "udp-route", KEY_UDP_ROUTE, "LISTEN=UPSTREAM", 0, "Makes a UDP route; repeatable", 0 },
  { "control", KEY_CONTROL, "IP:PORT", 0, "Address of the controls (127.0.0.1:0)", 0 },
  { "name", KEY_NAME, "NAME", 0, "Name of this process", 0 },
  { 0 },
};

static error_t
parse_flag (int key, char *argument, struct argp_state *state)
{
  Proxy *proxy = state->input;
  switch (key)
    {
    case KEY_LISTEN:
      proxy->listen = argument;
      return 0;
    case KEY_UPSTREAM:
      proxy->upstream = argument;
      return 0;
    case KEY_ROUTE:
      g_ptr_array_add (proxy->wanted, g_strconcat ("tcp=", argument, NULL));
      return 0;
    case KEY_UDP_ROUTE:
      g_ptr_array_add (proxy->wanted, g_strconcat ("udp=", argument, NULL));
      return 0;
    case KEY_CONTROL:
      proxy->common.listen = argument;
      return 0;
    case KEY_NAME:
      proxy->common.name = argument;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp proxy_argp
    = { proxy_options, parse_flag, NULL, "Fault-injecting TCP and UDP proxy.", NULL, NULL, NULL };

static gboolean
add_wanted_routes (Proxy *proxy, GError **error)
{
  if (proxy->upstream != NULL && add_route (proxy, "tcp", proxy->listen, proxy->upstream, error) == NULL)
    return FALSE;
  for (guint i = 0; i < proxy->wanted->len; i++)
    {
      g_auto (GStrv) parts = g_strsplit (g_ptr_array_index (proxy->wanted, i), "=", 3);
      if (g_strv_length (parts) != 3)
        {
          g_set_error (error, QUINCE_HTTP_ERROR, QUINCE_HTTP_ERROR_ADDRESS, "a route is LISTEN=UPSTREAM");
          return FALSE;
        }
      if (add_route (proxy, parts[0], parts[1], parts[2], error) == NULL)
        return FALSE;
    }
  return TRUE;
}

static char *
format_ready_routes (Proxy *proxy)
{
  GString *text = g_string_new ("routes=");
  for (guint i = 0; i < proxy->routes->len; i++)
    {
      const Route *route = g_ptr_array_index (proxy->routes, i);
      g_string_append_printf (text, "%s%s=%s", i > 0 ? "," : "", route_address (route), route->upstream);
    }
  return g_string_free (text, FALSE);
}

int
quince_proxy_run (int argc, char **argv)
{
  Proxy proxy = { .listen = "127.0.0.1:0" };
  quince_standin_flags_init (&proxy.common, "proxy");
  proxy.wanted = g_ptr_array_new_with_free_func (g_free);
  proxy.routes = g_ptr_array_new ();
  if (argp_parse (&proxy_argp, argc, argv, 0, NULL, &proxy) != 0)
    return QUINCE_STANDIN_EXIT_USAGE;
  g_autoptr (GError) error = NULL;
  if (!add_wanted_routes (&proxy, &error))
    return quince_standin_report_failure ("proxy", error);
  QuinceStandin *standin = quince_standin_new (&proxy_class, &proxy.common, &proxy, &proxy.faults, &error);
  if (standin == NULL)
    return quince_standin_report_failure ("proxy", error);
  g_autofree char *routes = format_ready_routes (&proxy);
  return quince_standin_run (standin, routes);
}
