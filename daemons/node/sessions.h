/*
 * sessions.h: links that others have opened to this node.
 *
 * Agents, tools and other nodes; each says HELLO first.  A session's number
 * is the client number of its grant requests and ledger calls.
 */
#pragma once

#include <quince/codec.h>

#include "node.h"

QuinceSessions *quince_sessions_new (QuinceNode *node, GError **error);
void quince_sessions_free (QuinceSessions *sessions);
/* ip:port really listened on */
const char *quince_sessions_get_address (QuinceSessions *sessions);

/* To a session that may be gone by now. */
void
quince_sessions_send_grant_reply (QuinceSessions *sessions, guint64 client, const QuinceGrantReply *reply);
void
quince_sessions_send_ledger_reply (QuinceSessions *sessions, guint64 client, const QuinceLedgerReply *reply);
/* Sends NODE_STATUS to every agent and tool soon; a run of changes is sent once. */
void quince_sessions_status_changed (QuinceSessions *sessions);

typedef struct
{
  guint agents; /* open sessions of agents                      */
  guint nodes;  /* open sessions of other nodes                 */
  guint64 accepted;
  guint64 too_many;         /* closed at once, since too many are open */
  guint64 malformed;        /* closed for a frame that did not decode       */
  guint64 too_large;        /* closed for a frame that is too large         */
  guint64 wrong_version;    /* closed for another protocol version          */
  guint64 wrong_deployment; /* closed since the peer is of another deployment */
  guint64 unexpected;       /* closed for a message that had no place       */
  guint64 status_pushes;
} QuinceSessionsCounters;

void quince_sessions_get_counters (const QuinceSessions *sessions, QuinceSessionsCounters *out);
