/*
 * agent.h: the agent beside one caller: its parts and what they share.
 *
 * Every part runs on the main context.  Parts reach each other through
 * QuinceAgent.
 */
#pragma once

#include <libsoup/soup.h>
#include <quince/attempt.h>
#include <quince/settings.h>

typedef struct _QuinceNodeLinks QuinceNodeLinks;
typedef struct _QuinceLedgerClient QuinceLedgerClient;
typedef struct _QuinceCompletions QuinceCompletions;
typedef struct _QuinceTrainerApi QuinceTrainerApi;
typedef struct _QuinceSampleRunner QuinceSampleRunner;
typedef struct _QuinceAgentHttp QuinceAgentHttp;

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
  SoupSession *engines;
  QuinceRetryBudget *retry_budget;
  QuinceNodeLinks *node_links;
  QuinceLedgerClient *ledger_client;
  QuinceCompletions *completions;
  QuinceTrainerApi *trainer_api;
  QuinceSampleRunner *sample_runner; /* %NULL: this agent runs no samples   */
  QuinceAgentHttp *http;
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
