/*
 * agent.h: the agent beside one caller: its main context and what it shares.
 *
 * The main context owns the listener, the links to nodes, the ledger client
 * and the retry budget; workers (worker.h) serve callers, trainers and
 * engines, and reach these by messages through the hub.
 */
#pragma once

#include <quince/attempt.h>
#include <quince/settings.h>

typedef struct _QuinceNodeLinks QuinceNodeLinks;
typedef struct _QuinceLedgerClient QuinceLedgerClient;
typedef struct _QuinceHub QuinceHub;
typedef struct _QuinceWorkerReports QuinceWorkerReports;
typedef struct _QuinceAgentListener QuinceAgentListener;

/**
 * QuinceAgent:
 *
 * Identity and parts are set in quince_agent_start() and stay until
 * quince_agent_free(); the agent owns all but @settings.
 */
typedef struct
{
  const QuinceSettings *settings; /* owned by the program                   */
  const char *name;               /* of @settings                           */
  const char *zone;               /* of @settings                           */
  guint64 incarnation;            /* grows with each start of this agent    */
  QuinceRetryBudget *retry_budget;
  QuinceNodeLinks *node_links;
  QuinceLedgerClient *ledger_client;
  QuinceHub *hub;
  QuinceWorkerReports *reports;
  GPtrArray *workers; /* QuinceWorker, owned                    */
  QuinceAgentListener *listener;
  gboolean stopping;    /* written by quince_agent_stop()         */
  gint64 stop_until_us; /* the stop ends at this time at the latest */
  gint64 closing_us;    /* since when nothing runs and no new connection is taken; 0: not yet */
  GSource *stop_timer;  /* owned; only while stopping             */
} QuinceAgent;

/* For QuinceProgram. */
gpointer quince_agent_start (const QuinceSettings *settings, GError **error);
char *quince_agent_ready_line (gpointer self);
void quince_agent_stop (gpointer self);
void quince_agent_free (gpointer self);
