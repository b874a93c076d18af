/*
 * hub-message.h: messages between the workers and the hub.
 */
#pragma once

#include <gio/gio.h>
#include <quince/codec.h>

/* Requests of workers are refused to each other by id only, see id-table.h. */
typedef enum
{
  QUINCE_HUB_TAKE_ID,       /* call, id; answered with ID_ANSWER unless call is 0 */
  QUINCE_HUB_RELEASE_ID,    /* id                                                 */
  QUINCE_HUB_ID_HELD,       /* id: answer to CHECK_ID when its request goes on    */
  QUINCE_HUB_ASK,           /* call, request, key, tried, budget                  */
  QUINCE_HUB_WITHDRAW,      /* call of an ASK                                     */
  QUINCE_HUB_END_GRANT,     /* node, end                                          */
  QUINCE_HUB_LEDGER_CALL,   /* call, command, deadline_us                         */
  QUINCE_HUB_LEDGER_FORGET, /* call of a LEDGER_CALL                              */
  QUINCE_HUB_VIEW,          /* call, view                                         */
  QUINCE_HUB_REPORT,        /* report                                             */
} QuinceHubMessageKind;

/* How a request for a grant counts in the retry budget. */
typedef enum
{
  QUINCE_ASK_FIRST, /* of a request                                       */
  QUINCE_ASK_AGAIN, /* nothing was dispatched since the last              */
  QUINCE_ASK_RETRY, /* of an attempt after one that was dispatched        */
} QuinceAskBudget;

typedef enum
{
  QUINCE_VIEW_READY,
  QUINCE_VIEW_METRICS,
  QUINCE_VIEW_STATUS,
} QuinceViewKind;

typedef struct _QuinceWorkerReport QuinceWorkerReport;

/* From a worker; the fields that its kind names are set, pointers are owned. */
typedef struct
{
  QuinceHubMessageKind kind;
  guint worker;
  guint64 call;
  QuinceRequestId id;
  QuinceGrantRequest *request;
  guint64 key;
  GPtrArray *tried;
  QuinceAskBudget budget;
  char *node;
  QuinceGrantEnd end;
  QuinceCommand *command;
  gint64 deadline_us;
  QuinceViewKind view;
  QuinceWorkerReport *report;
} QuinceHubMessage;

QuinceHubMessage *quince_hub_message_new (QuinceHubMessageKind kind, guint worker, guint64 call);
void quince_hub_message_free (gpointer message);

typedef enum
{
  QUINCE_WORKER_CONNECTION,   /* socket                                      */
  QUINCE_WORKER_STOP,         /* planned stop begins                         */
  QUINCE_WORKER_REPORT,       /* a REPORT is wanted                          */
  QUINCE_WORKER_CHECK_ID,     /* id: another request has the same            */
  QUINCE_WORKER_ID_ANSWER,    /* call, id, taken                             */
  QUINCE_WORKER_VERDICT,      /* call, node, grant_reply, sent_at_us         */
  QUINCE_WORKER_NODE_LOST,    /* call, node                                  */
  QUINCE_WORKER_NOT_ASKED,    /* call, failure                               */
  QUINCE_WORKER_LEDGER_REPLY, /* call, ledger_reply or %NULL                 */
  QUINCE_WORKER_VIEW,         /* call, status, text                          */
} QuinceWorkerMessageKind;

typedef enum
{
  QUINCE_ASK_NO_NODE,   /* no node can be asked           */
  QUINCE_ASK_NO_BUDGET, /* the retry budget is used up    */
} QuinceAskFailure;

/* To a worker; the fields that its kind names are set, pointers are owned. */
typedef struct
{
  QuinceWorkerMessageKind kind;
  guint64 call;
  GSocket *socket;
  QuinceRequestId id;
  gboolean taken;
  char *node;
  QuinceGrantReply *grant_reply;
  gint64 sent_at_us;
  QuinceAskFailure failure;
  QuinceLedgerReply *ledger_reply;
  guint status;
  char *text;
} QuinceWorkerMessage;

QuinceWorkerMessage *quince_worker_message_new (QuinceWorkerMessageKind kind, guint64 call);
void quince_worker_message_free (gpointer message);
