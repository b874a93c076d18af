/*
 * sessions.c: links that others have opened to this node.
 */
#include "sessions.h"

#include <quince/link.h>
#include <quince/log.h>
#include <quince/task.h>

#include "grants.h"
#include "ledger-host.h"
#include "node-status.h"
#include "policy-spread.h"

#define SESSIONS_MOST 8192
#define STATUS_INTERVAL_MS 1000
/* Statuses that nothing has changed for name the members once in so many. */
#define MEMBERS_ROUNDS 30
/* A run of changes within this time is sent as one status. */
#define STATUS_DELAY_MS 10

/* Owned by the node, on its main context. */
struct _QuinceSessions
{
  QuinceNode *node;                /* not owned                             */
  QuinceLinkServer *server;        /* owned                                 */
  GHashTable *by_client;           /* owned: client number -> Session       */
  guint64 last_client;             /* number given last                     */
  guint status_rounds;             /* of the status timer                   */
  GSource *status_timer;           /* owned: each second                    */
  GSource *change_timer;           /* owned: set while a change waits       */
  QuinceSessionsCounters counters; /* beside what they count                */
};

/* One open link.  Owned by by_client. */
typedef struct
{
  QuinceSessions *sessions; /* not owned                                    */
  guint64 client;
  QuinceLink *link; /* owned                                        */
  gboolean greeted; /* HELLO has come                               */
  QuinceRole role;  /* of the peer; set with greeted                */
  char *name;       /* owned; of the peer                           */
} Session;

static void
session_free (gpointer data)
{
  Session *session = data;
  quince_link_close (session->link);
  quince_link_unref (session->link);
  g_free (session->name);
  g_free (session);
}

/* ---- Sending --------------------------------------------------------- */

void
quince_sessions_send_grant_reply (QuinceSessions *sessions, guint64 client, const QuinceGrantReply *reply)
{
  Session *session = g_hash_table_lookup (sessions->by_client, &client);
  if (session == NULL)
    return;
  QuinceMessage message = { .kind = QUINCE_MESSAGE_GRANT_REPLY };
  message.QuinceMessage_u.grant_reply = *reply;
  message.QuinceMessage_u.grant_reply.sent_us = (guint64)quince_now_us ();
  quince_link_send (session->link, &message);
}

void
quince_sessions_send_ledger_reply (QuinceSessions *sessions, guint64 client, const QuinceLedgerReply *reply)
{
  Session *session = g_hash_table_lookup (sessions->by_client, &client);
  if (session == NULL)
    return;
  QuinceMessage message = { .kind = QUINCE_MESSAGE_LEDGER_REPLY };
  message.QuinceMessage_u.ledger_reply = *reply;
  quince_link_send (session->link, &message);
}

static gboolean
wants_status (const Session *session)
{
  return session->greeted && session->role != QUINCE_ROLE_NODE;
}

static void
push_status (QuinceSessions *sessions, gboolean with_members)
{
  g_autoptr (GBytes) encoded = quince_node_encode_status (sessions->node, with_members);
  if (encoded == NULL)
    return;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, sessions->by_client);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Session *session = value;
      if (wants_status (session))
        quince_link_send_bytes (session->link, encoded);
    }
  sessions->counters.status_pushes++;
}

static gboolean
status_due (gpointer user_data)
{
  QuinceSessions *sessions = user_data;
  push_status (sessions, sessions->status_rounds++ % MEMBERS_ROUNDS == 0);
  return G_SOURCE_CONTINUE;
}

static gboolean
change_due (gpointer user_data)
{
  QuinceSessions *sessions = user_data;
  quince_source_clear (&sessions->change_timer);
  push_status (sessions, TRUE);
  return G_SOURCE_REMOVE;
}

void
quince_sessions_status_changed (QuinceSessions *sessions)
{
  if (sessions->change_timer == NULL)
    sessions->change_timer = quince_timer_add (STATUS_DELAY_MS, change_due, sessions);
}

static void
send_hello (Session *session)
{
  QuinceMessage message = { .kind = QUINCE_MESSAGE_HELLO };
  quince_node_fill_hello (session->sessions->node, &message.QuinceMessage_u.hello);
  quince_link_send (session->link, &message);
}

/* ---- Receiving ------------------------------------------------------- */

static void
drop_session (Session *session, const char *reason)
{
  QuinceSessions *sessions = session->sessions;
  guint64 client = session->client;
  g_autofree char *peer = quince_log_quote (quince_link_get_peer (session->link));
  quince_log_info ("session_closed", "client=%" G_GUINT64_FORMAT " peer=%s reason=%s", client, peer, reason);
  g_hash_table_remove (sessions->by_client, &client);
  quince_grants_client_gone (sessions->node->grants, client);
}

static void
handle_hello (Session *session, const QuinceHello *hello)
{
  QuinceSessions *sessions = session->sessions;
  if (hello->protocol_version != QUINCE_PROTOCOL_VERSION)
    {
      sessions->counters.wrong_version++;
      drop_session (session, "wrong_protocol_version");
      return;
    }
  if (hello->deployment != sessions->node->deployment)
    {
      sessions->counters.wrong_deployment++;
      drop_session (session, "wrong_deployment");
      return;
    }
  session->greeted = TRUE;
  session->role = hello->role;
  g_free (session->name);
  session->name = g_strdup (hello->name);
  g_autofree char *name = quince_log_quote (hello->name);
  quince_log_info ("session_opened", "client=%" G_GUINT64_FORMAT " role=%d peer=%s", session->client,
                   (int)hello->role, name);
  send_hello (session);
  if (wants_status (session))
    {
      g_autoptr (GBytes) encoded = quince_node_encode_status (sessions->node, TRUE);
      if (encoded != NULL)
        quince_link_send_bytes (session->link, encoded);
    }
  quince_policy_spread_seen (sessions->node->policy_spread, hello->policy_revision, NULL);
}

static void
handle_grant_request (Session *session, const QuinceGrantRequest *request)
{
  QuinceNode *node = session->sessions->node;
  quince_policy_spread_seen (node->policy_spread, request->policy_revision, NULL);
  quince_grants_request (node->grants, session->client, request);
}

static void
handle_policy_fetch (Session *session)
{
  QuinceMessage message = { .kind = QUINCE_MESSAGE_POLICY_BODY };
  message.QuinceMessage_u.policy_body
      = *quince_policy_spread_get_body (session->sessions->node->policy_spread);
  quince_link_send (session->link, &message);
}

/* Takes over the call's memory from @message. */
static void
handle_ledger_call (Session *session, QuinceMessage *message)
{
  QuinceLedgerCall *call = g_new0 (QuinceLedgerCall, 1);
  *call = message->QuinceMessage_u.ledger_call;
  memset (&message->QuinceMessage_u, 0, sizeof message->QuinceMessage_u);
  message->kind = QUINCE_MESSAGE_POLICY_FETCH;
  quince_ledger_host_call (session->sessions->node->ledger_host, session->client, call);
}

/* Takes over the replication's memory from @message. */
static void
handle_replication (Session *session, QuinceMessage *message)
{
  QuinceReplication *replication = g_new0 (QuinceReplication, 1);
  *replication = message->QuinceMessage_u.replication;
  memset (&message->QuinceMessage_u, 0, sizeof message->QuinceMessage_u);
  message->kind = QUINCE_MESSAGE_POLICY_FETCH;
  quince_ledger_host_receive (session->sessions->node->ledger_host, replication);
}

static void
handle_greeted (Session *session, QuinceMessage *message)
{
  QuinceNode *node = session->sessions->node;
  switch (message->kind)
    {
    case QUINCE_MESSAGE_GRANT_REQUEST:
      handle_grant_request (session, &message->QuinceMessage_u.grant_request);
      break;
    case QUINCE_MESSAGE_GRANT_END:
      quince_grants_end (node->grants, &message->QuinceMessage_u.grant_end);
      break;
    case QUINCE_MESSAGE_GRANT_CANCEL:
      quince_grants_cancel (node->grants, &message->QuinceMessage_u.grant_cancel);
      break;
    case QUINCE_MESSAGE_LEDGER_CALL:
      handle_ledger_call (session, message);
      break;
    case QUINCE_MESSAGE_REPLICATION:
      handle_replication (session, message);
      break;
    case QUINCE_MESSAGE_POLICY_FETCH:
      handle_policy_fetch (session);
      break;
    default:
      session->sessions->counters.unexpected++;
      drop_session (session, "unexpected_message");
      break;
    }
}

static void
message_arrived (QuinceLink *link, QuinceMessage *message, gpointer user_data)
{
  g_autoptr (QuinceMessage) owned = message;
  Session *session = quince_link_get_data (link);
  if (session == NULL)
    return;
  if (owned->kind == QUINCE_MESSAGE_HELLO)
    handle_hello (session, &owned->QuinceMessage_u.hello);
  else if (session->greeted)
    handle_greeted (session, owned);
  else
    {
      session->sessions->counters.unexpected++;
      drop_session (session, "no_hello");
    }
}

static const char *
count_link_error (QuinceSessions *sessions, const GError *error)
{
  if (g_error_matches (error, QUINCE_LINK_ERROR, QUINCE_LINK_ERROR_MALFORMED))
    {
      sessions->counters.malformed++;
      return "malformed_frame";
    }
  if (g_error_matches (error, QUINCE_LINK_ERROR, QUINCE_LINK_ERROR_TOO_LARGE))
    {
      sessions->counters.too_large++;
      return "frame_too_large";
    }
  if (g_error_matches (error, QUINCE_LINK_ERROR, QUINCE_LINK_ERROR_SLOW))
    return "slow_reader";
  return "closed";
}

static void
link_closed (QuinceLink *link, const GError *error, gpointer user_data)
{
  Session *session = quince_link_get_data (link);
  if (session != NULL)
    drop_session (session, count_link_error (session->sessions, error));
}

static const QuinceLinkCallbacks link_callbacks = {
  .message = message_arrived,
  .closed = link_closed,
};

static void
link_accepted (QuinceLink *link, gpointer user_data)
{
  QuinceSessions *sessions = user_data;
  if (g_hash_table_size (sessions->by_client) >= SESSIONS_MOST)
    {
      sessions->counters.too_many++;
      quince_link_close (link);
      quince_link_unref (link);
      return;
    }
  Session *session = g_new0 (Session, 1);
  session->sessions = sessions;
  session->client = ++sessions->last_client;
  session->link = link;
  quince_link_set_data (link, session);
  g_hash_table_insert (sessions->by_client, &session->client, session);
  sessions->counters.accepted++;
}

/* ---- Lifetime -------------------------------------------------------- */

QuinceSessions *
quince_sessions_new (QuinceNode *node, GError **error)
{
  QuinceSessions *sessions = g_new0 (QuinceSessions, 1);
  sessions->node = node;
  sessions->by_client = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, session_free);
  sessions->server = quince_link_server_new (quince_settings_get_text (node->settings, "node", "listen"),
                                             &link_callbacks, link_accepted, sessions, error);
  if (sessions->server == NULL)
    {
      quince_sessions_free (sessions);
      return NULL;
    }
  sessions->status_timer = quince_timer_add (STATUS_INTERVAL_MS, status_due, sessions);
  return sessions;
}

void
quince_sessions_free (QuinceSessions *sessions)
{
  if (sessions == NULL)
    return;
  quince_source_clear (&sessions->status_timer);
  quince_source_clear (&sessions->change_timer);
  g_clear_pointer (&sessions->server, quince_link_server_free);
  g_hash_table_unref (sessions->by_client);
  g_free (sessions);
}

const char *
quince_sessions_get_address (QuinceSessions *sessions)
{
  return quince_link_server_get_address (sessions->server);
}

void
quince_sessions_get_counters (const QuinceSessions *sessions, QuinceSessionsCounters *out)
{
  *out = sessions->counters;
  out->agents = 0;
  out->nodes = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, sessions->by_client);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Session *session = value;
      if (session->greeted && session->role == QUINCE_ROLE_AGENT)
        out->agents++;
      if (session->greeted && session->role == QUINCE_ROLE_NODE)
        out->nodes++;
    }
}
