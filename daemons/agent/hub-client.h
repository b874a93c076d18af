/*
 * hub-client.h: a worker's end of its talk with the hub.
 *
 * Each call is answered by one callback on the worker's context, never before
 * the call returns and never after quince_hub_client_cancel().
 */
#pragma once

#include <quince/task.h>

#include "hub-message.h"
#include "ledger-client.h"

typedef struct _QuinceHubClient QuinceHubClient;

/* @hub: the hub's mailbox; @worker: the worker's number, from 0 */
QuinceHubClient *quince_hub_client_new (QuinceMailbox *hub, guint worker);
void quince_hub_client_free (QuinceHubClient *client);

/**
 * QuinceAskCallbacks:
 * @verdict: @node is the address of the node that decided, @sent_at_us when it
 *   sent its reply, in this process's clock
 * @lost: the node went away before its verdict
 * @not_asked: no node was asked
 */
typedef struct
{
  void (*verdict) (const char *node, const QuinceGrantReply *reply, gint64 sent_at_us, gpointer user_data);
  void (*lost) (const char *node, gpointer user_data);
  void (*not_asked) (QuinceAskFailure failure, gpointer user_data);
} QuinceAskCallbacks;

/* Asks for a grant, see quince_node_links_ask(). Returns: the call, never 0 */
guint64 quince_hub_client_ask (QuinceHubClient *client,
                               const QuinceGrantRequest *request,
                               guint64 key,
                               const GPtrArray *tried,
                               QuinceAskBudget budget,
                               const QuinceAskCallbacks *callbacks,
                               gpointer user_data);
void quince_hub_client_end_grant (QuinceHubClient *client, const char *node, const QuinceGrantEnd *end);

/* See quince_ledger_client_call(). @command: (transfer full) */
guint64 quince_hub_client_call_ledger (QuinceHubClient *client,
                                       QuinceCommand *command,
                                       gint64 deadline_us,
                                       QuinceLedgerCallback callback,
                                       gpointer user_data);

/* @taken: %FALSE when another request of the agent holds the id. */
typedef void (*QuinceIdCallback) (gboolean taken, gpointer user_data);
guint64 quince_hub_client_take_id (QuinceHubClient *client,
                                   const QuinceRequestId id,
                                   QuinceIdCallback callback,
                                   gpointer user_data);
/* Takes an id that was just generated, so that no other request can hold it. */
void quince_hub_client_take_new_id (QuinceHubClient *client, const QuinceRequestId id);
void quince_hub_client_release_id (QuinceHubClient *client, const QuinceRequestId id);
void quince_hub_client_id_held (QuinceHubClient *client, const QuinceRequestId id);

/* @text: body of the answer */
typedef void (*QuinceViewCallback) (guint status, const char *text, gpointer user_data);
guint64 quince_hub_client_view (QuinceHubClient *client,
                                QuinceViewKind kind,
                                QuinceViewCallback callback,
                                gpointer user_data);

/* @report: (transfer full) */
void quince_hub_client_report (QuinceHubClient *client, QuinceWorkerReport *report);

/* No callback from here on. A grant or an id that comes later is given back; a ledger call that was
 * sent may still take effect. */
void quince_hub_client_cancel (QuinceHubClient *client, guint64 call);

/* Takes an answer of the hub to one of the calls. */
void quince_hub_client_take (QuinceHubClient *client, const QuinceWorkerMessage *message);
