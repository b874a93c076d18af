/*
 * ledger-client.h: calls to the leader of the sample ledger.
 *
 * Every command is idempotent, so that a call is repeated until it has an
 * answer: after a change of leader, a lost link, a busy or silent leader, or
 * an answer that leaves open whether it took effect.
 */
#pragma once

#include <quince/codec.h>

#include "node-links.h"

typedef struct _QuinceLedgerClient QuinceLedgerClient;

/**
 * QuinceLedgerCallback:
 * @reply: (nullable): %NULL: no answer until the deadline; the command may or may not take effect
 */
typedef void (*QuinceLedgerCallback) (const QuinceLedgerReply *reply, gpointer user_data);

QuinceLedgerClient *quince_ledger_client_new (QuinceNodeLinks *links);
void quince_ledger_client_free (QuinceLedgerClient *client);

/**
 * quince_ledger_client_call:
 * @command: (transfer full): as made with quince_command_copy()
 * @deadline_us: monotonic; no try begins after it
 *
 * Calls back once, never before this returns.
 *
 * Returns: for quince_ledger_client_forget(), never 0
 */
guint64 quince_ledger_client_call (QuinceLedgerClient *client,
                                   QuinceCommand *command,
                                   gint64 deadline_us,
                                   QuinceLedgerCallback callback,
                                   gpointer user_data);
/* No callback from here on; a call that was sent may still take effect. */
void quince_ledger_client_forget (QuinceLedgerClient *client, guint64 call_id);

/* What the node links report. */
void quince_ledger_client_reply (QuinceLedgerClient *client, const QuinceLedgerReply *reply);
void quince_ledger_client_link_changed (QuinceLedgerClient *client, const char *address, gboolean up);

typedef struct
{
  guint waiting;
  guint64 calls;
  guint64 tries;
  guint64 redirected; /* NOT_LEADER answers      */
  guint64 busy;
  guint64 unanswered; /* no answer until the end */
} QuinceLedgerClientCounters;

void quince_ledger_client_get_counters (const QuinceLedgerClient *client, QuinceLedgerClientCounters *out);
