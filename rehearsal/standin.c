/*
 * standin.c: see standin.h.
 */
#include "standin.h"

#include <errno.h>
#include <glib-unix.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#include "runtime/http-listener.h"
#include "runtime/http.h"
#include "runtime/log.h"
#include "runtime/clock.h"

struct _QuinceStandin
{
  const QuinceStandinClass *class;    /* caller's                             */
  gpointer self;                      /* caller's                             */
  gpointer fault_values;              /* caller's                             */
  const QuinceNetworkFaults *network; /* part of fault_values; nullable    */
  QuinceStandinFlags flags;
  SoupServer *server;           /* interface                                 */
  QuinceHttpListener *listener; /* of the interface; NULL while it does not listen */
  SoupServer *control_server;   /* controls only                             */
  char *address;                /* actual ip:port of the interface           */
  char *control_address;        /* actual ip:port of the controls            */
  gboolean listening;           /* what is wanted                                */
  gboolean listener_open;       /* what is                                       */
  gboolean handling;            /* a request to the interface is being handled   */
  guint listen_source;          /* brings the two together after that request    */
  GPtrArray *held;              /* HeldMessage; owned                                   */
  GMainLoop *loop;
  int status; /* exit status                                               */
};

typedef struct
{
  SoupServerMessage *message; /* referenced, paused */
  char *path;
  GHashTable *query; /* referenced, nullable */
} HeldMessage;

/* Pauses @message. */
static HeldMessage *
held_message_new (SoupServerMessage *message, const char *path, GHashTable *query)
{
  HeldMessage *held = g_new0 (HeldMessage, 1);
  held->message = g_object_ref (message);
  held->path = g_strdup (path);
  held->query = query != NULL ? g_hash_table_ref (query) : NULL;
  soup_server_message_pause (message);
  return held;
}

static void
held_message_free (gpointer data)
{
  HeldMessage *held = data;
  g_object_unref (held->message);
  g_free (held->path);
  g_clear_pointer (&held->query, g_hash_table_unref);
  g_free (held);
}

/* ---- Flags ---- */

enum
{
  KEY_LISTEN = 'l',
  KEY_NAME = 'n',
  KEY_ZONE = 'z',
  KEY_SERVICE = 's',
  KEY_CONTROL = 0x1000,
  KEY_LOG_LEVEL,
};

static error_t
parse_common_flag (int key, char *argument, struct argp_state *state)
{
  QuinceStandinFlags *flags = state->input;
  switch (key)
    {
    case KEY_LISTEN:
      flags->listen = argument;
      return 0;
    case KEY_CONTROL:
      flags->control = argument;
      return 0;
    case KEY_NAME:
      flags->name = argument;
      return 0;
    case KEY_ZONE:
      flags->zone = argument;
      return 0;
    case KEY_SERVICE:
      flags->service = argument;
      return 0;
    case KEY_LOG_LEVEL:
      flags->log_level = argument;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp_option common_options[] = {
  { "listen", KEY_LISTEN, "IP:PORT", 0, "Address of the interface (127.0.0.1:0)", 0 },
  { "control", KEY_CONTROL, "IP:PORT", 0, "Address of the controls (127.0.0.1:0)", 0 },
  { "name", KEY_NAME, "NAME", 0, "Name of this process", 0 },
  { "zone", KEY_ZONE, "ZONE", 0, "Zone of this process", 0 },
  { "service", KEY_SERVICE, "SERVICE", 0, "Model service", 0 },
  { "log-level", KEY_LOG_LEVEL, "LEVEL", 0, "debug, info, warning (default) or error", 0 },
  { 0 },
};

const struct argp quince_standin_argp = { common_options, parse_common_flag, NULL, NULL, NULL, NULL, NULL };

void
quince_standin_flags_init (QuinceStandinFlags *flags, const char *name)
{
  flags->listen = "127.0.0.1:0";
  flags->control = "127.0.0.1:0";
  flags->name = name;
  flags->zone = "zone-1";
  flags->service = "model";
  flags->log_level = "warning";
}

guint64
quince_standin_flag_number (const char *text, guint64 greatest, struct argp_state *state)
{
  guint64 value = 0;
  if (!g_ascii_string_to_unsigned (text, 10, 0, greatest, &value, NULL))
    argp_error (state, "\"%s\" is not a number from 0 to %" G_GUINT64_FORMAT, text, greatest);
  return value;
}

/* ---- Controls ---- */

static void
reply_faults (QuinceStandin *standin, SoupServerMessage *message)
{
  g_autoptr (JsonNode) node = quince_faults_describe (standin->class->faults, standin->fault_values);
  quince_http_reply_json (message, 200, node);
}

static void
faults_changed (QuinceStandin *standin)
{
  if (standin->network != NULL)
    {
      quince_standin_set_listening (standin, !standin->network->outage);
      if (!standin->network->hang)
        quince_standin_release_held (standin);
    }
  if (standin->class->faults_changed != NULL)
    standin->class->faults_changed (standin->self);
}

static void
set_faults (QuinceStandin *standin, SoupServerMessage *message)
{
  g_autoptr (JsonNode) body = quince_http_read_object (message);
  if (body == NULL)
    return;
  g_autoptr (GError) error = NULL;
  JsonObject *settings = json_node_get_object (body);
  if (!quince_faults_apply (standin->class->faults, standin->fault_values, settings, &error))
    {
      quince_http_reply_error (message, 400, "bad_fault", error->message, -1, -1);
      return;
    }
  reply_faults (standin, message);
  faults_changed (standin);
}

static void
reset (QuinceStandin *standin, SoupServerMessage *message)
{
  quince_faults_clear (standin->class->faults, standin->fault_values);
  faults_changed (standin);
  if (standin->class->reset != NULL)
    standin->class->reset (standin->self);
  quince_standin_reply_text (message, 200, g_strdup ("{}"));
}

static void
handle_control (QuinceStandin *standin, SoupServerMessage *message, const char *path)
{
  gboolean is_post = soup_server_message_get_method (message) == SOUP_METHOD_POST;
  if (g_str_equal (path, "/_faults") && is_post)
    set_faults (standin, message);
  else if (g_str_equal (path, "/_faults"))
    reply_faults (standin, message);
  else if (g_str_equal (path, "/_records"))
    quince_standin_reply_text (message, 200, standin->class->records (standin->self));
  else if (g_str_equal (path, "/_reset") && is_post)
    reset (standin, message);
  else if (standin->class->handle_control == NULL
           || !standin->class->handle_control (standin->self, message, path))
    quince_http_reply_error (message, 404, "not_found", "no such control", -1, -1);
}

typedef struct
{
  QuinceStandin *standin;
  HeldMessage *held; /* owned */
} DelayedRequest;

static gboolean
on_request_due (gpointer user_data)
{
  DelayedRequest *request = user_data;
  HeldMessage *held = request->held;
  soup_server_message_unpause (held->message);
  request->standin->class->handle (request->standin->self, held->message, held->path, held->query);
  held_message_free (held);
  g_free (request);
  return G_SOURCE_REMOVE;
}

static void
delay_request (QuinceStandin *standin, SoupServerMessage *message, const char *path, GHashTable *query)
{
  DelayedRequest *request = g_new0 (DelayedRequest, 1);
  request->standin = standin;
  request->held = held_message_new (message, path, query);
  g_timeout_add ((guint)standin->network->slow_ms, on_request_due, request);
  /* cppcheck-suppress memleak ; the callback owns it */
}

static void
on_interface_request (SoupServer *server,
                      SoupServerMessage *message,
                      const char *path,
                      GHashTable *query,
                      gpointer user_data)
{
  QuinceStandin *standin = user_data;
  standin->handling = TRUE;
  if (g_str_has_prefix (path, "/_"))
    handle_control (standin, message, path);
  else if (standin->network != NULL && standin->network->hang)
    quince_standin_hold (standin, message, path, query);
  else if (standin->network != NULL && standin->network->slow_ms > 0)
    delay_request (standin, message, path, query);
  else
    standin->class->handle (standin->self, message, path, query);
  standin->handling = FALSE;
}

static void
on_control_request (SoupServer *server,
                    SoupServerMessage *message,
                    const char *path,
                    GHashTable *query,
                    gpointer user_data)
{
  handle_control (user_data, message, path);
}

/* ---- Life ---- */

QuinceStandin *
quince_standin_new (const QuinceStandinClass *class,
                    const QuinceStandinFlags *flags,
                    gpointer self,
                    gpointer fault_values,
                    GError **error)
{
  GLogLevelFlags level = G_LOG_LEVEL_WARNING;
  quince_log_parse_level (flags->log_level, &level);
  g_autofree char *program = g_strdup_printf ("quinceroute-rehearsal-%s", class->role);
  quince_log_init (program, flags->name, level);
  g_autoptr (QuinceStandin) standin = g_new0 (QuinceStandin, 1);
  standin->class = class;
  standin->self = self;
  standin->fault_values = fault_values;
  standin->flags = *flags;
  standin->held = g_ptr_array_new_with_free_func (held_message_free);
  standin->loop = g_main_loop_new (NULL, FALSE);
  standin->server = quince_http_server_new (NULL);
  standin->control_server = quince_http_server_new (NULL);
  soup_server_add_handler (standin->server, NULL, on_interface_request, standin, NULL);
  soup_server_add_handler (standin->control_server, NULL, on_control_request, standin, NULL);
  standin->listener = quince_http_listener_new (standin->server, flags->listen, error);
  if (standin->listener == NULL
      || !quince_http_listen (standin->control_server, flags->control, &standin->control_address, error))
    return NULL;
  standin->address = g_strdup (quince_http_listener_get_address (standin->listener));
  standin->listening = standin->listener_open = TRUE;
  return g_steal_pointer (&standin);
}

void
quince_standin_free (QuinceStandin *standin)
{
  if (standin->listen_source != 0)
    g_source_remove (standin->listen_source);
  g_clear_pointer (&standin->listener, quince_http_listener_free);
  soup_server_disconnect (standin->server);
  soup_server_disconnect (standin->control_server);
  g_object_unref (standin->server);
  g_object_unref (standin->control_server);
  g_ptr_array_unref (standin->held);
  g_main_loop_unref (standin->loop);
  g_free (standin->address);
  g_free (standin->control_address);
  g_free (standin);
}

static gboolean
on_signal (gpointer user_data)
{
  quince_standin_quit (user_data, QUINCE_STANDIN_EXIT_OK);
  return G_SOURCE_REMOVE;
}

int
quince_standin_run (QuinceStandin *standin, const char *ready_extra)
{
  g_unix_signal_add (SIGTERM, on_signal, standin);
  g_unix_signal_add (SIGINT, on_signal, standin);
  printf ("ready role=%s name=%s http=%s control=%s%s%s\n", standin->class->role, standin->flags.name,
          standin->address, standin->control_address, ready_extra != NULL ? " " : "",
          ready_extra != NULL ? ready_extra : "");
  fflush (stdout);
  g_main_loop_run (standin->loop);
  if (standin->class->stop != NULL)
    standin->class->stop (standin->self);
  return standin->status;
}

void
quince_standin_quit (QuinceStandin *standin, int status)
{
  standin->status = status;
  g_main_loop_quit (standin->loop);
}

int
quince_standin_report_failure (const char *role, const GError *error)
{
  g_autofree char *text = quince_log_quote (error->message);
  quince_log_failure ("start_failed", "role=%s error=%s", role, text);
  return QUINCE_STANDIN_EXIT_FAILURE;
}

void
quince_standin_set_network_faults (QuinceStandin *standin, const QuinceNetworkFaults *faults)
{
  standin->network = faults;
}

static gboolean
apply_listening (gpointer user_data)
{
  QuinceStandin *standin = user_data;
  if (standin->listen_source != 0)
    g_source_remove (standin->listen_source);
  standin->listen_source = 0;
  if (standin->listener_open == standin->listening)
    return G_SOURCE_REMOVE;
  standin->listener_open = standin->listening;
  g_autoptr (GError) error = NULL;
  g_clear_pointer (&standin->listener, quince_http_listener_free);
  if (!standin->listening)
    soup_server_disconnect (standin->server);
  else if ((standin->listener = quince_http_listener_new (standin->server, standin->address, &error)) == NULL)
    quince_standin_quit (standin, quince_standin_report_failure (standin->class->role, error));
  return G_SOURCE_REMOVE;
}

void
quince_standin_set_listening (QuinceStandin *standin, gboolean listening)
{
  standin->listening = listening;
  /* A request that the server is handling must end first. */
  if (!standin->handling)
    apply_listening (standin);
  else if (standin->listen_source == 0)
    standin->listen_source = g_idle_add_full (G_PRIORITY_HIGH, apply_listening, standin, NULL);
}

/* ---- Requests ---- */

void
quince_standin_hold (QuinceStandin *standin, SoupServerMessage *message, const char *path, GHashTable *query)
{
  g_ptr_array_add (standin->held, held_message_new (message, path, query));
}

void
quince_standin_release_held (QuinceStandin *standin)
{
  g_autoptr (GPtrArray) held = standin->held;
  standin->held = g_ptr_array_new_with_free_func (held_message_free);
  for (guint i = 0; i < held->len; i++)
    {
      HeldMessage *item = g_ptr_array_index (held, i);
      /* Unpause first: the handler may pause it again. */
      soup_server_message_unpause (item->message);
      standin->class->handle (standin->self, item->message, item->path, item->query);
    }
}

void
quince_standin_cut (SoupServerMessage *message)
{
  GSocket *socket = quince_http_get_client_socket (message);
  if (socket != NULL)
    g_socket_shutdown (socket, TRUE, TRUE, NULL);
  /* The answer cannot go out any more; it only ends the message's life. */
  if (soup_server_message_get_status (message) == 0)
    soup_server_message_set_status (message, 500, NULL);
}

void
quince_standin_reply_text (SoupServerMessage *message, guint status, char *json)
{
  soup_server_message_set_status (message, status, NULL);
  soup_server_message_set_response (message, "application/json", SOUP_MEMORY_TAKE, json, strlen (json));
}

gboolean
quince_standin_caller_gone (SoupServerMessage *message)
{
  GSocket *socket = quince_http_get_client_socket (message);
  if (socket == NULL)
    return TRUE;
  char byte;
  gssize length = recv (g_socket_get_fd (socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return length == 0 || (length < 0 && errno != EAGAIN && errno != EINTR);
}

/* ---- Rate limits ---- */

void
quince_token_bucket_init (QuinceTokenBucket *bucket, double rate, double burst)
{
  bucket->rate = rate;
  bucket->burst = MAX (burst, 1);
  bucket->level = bucket->burst;
  bucket->updated_us = 0;
}

gint64
quince_token_bucket_take (QuinceTokenBucket *bucket, double amount, gint64 now_us)
{
  if (bucket->rate <= 0)
    return 0;
  if (bucket->updated_us != 0)
    bucket->level += bucket->rate * (double)(now_us - bucket->updated_us) / G_USEC_PER_SEC;
  bucket->level = MIN (bucket->level, bucket->burst);
  bucket->updated_us = now_us;
  double needed = MIN (amount, bucket->burst);
  if (bucket->level >= needed)
    {
      bucket->level -= amount;
      return 0;
    }
  return 1 + (gint64)((needed - bucket->level) * 1000 / bucket->rate);
}
