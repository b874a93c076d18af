/*
 * ledger-caller.h: brings callers' calls about batches to the ledger's primary.
 */
#pragma once

#include "protocol/codec.h"
#include "http1/http1.h"
#include "runtime/link.h"

typedef struct _QuinceLedgerCaller QuinceLedgerCaller;
typedef struct _QuinceLedgerCall QuinceLedgerCallHandle;

typedef enum
{
  QUINCE_LEDGER_CALL_ANSWERED,
  QUINCE_LEDGER_CALL_NOT_SENT, /* the ledger has not seen it          */
  QUINCE_LEDGER_CALL_LOST,     /* it may have been carried out        */
} QuinceLedgerCallOutcome;

/* @reply is NULL but for ANSWERED, and lives until the return. */
typedef void (*QuinceLedgerCallDone) (QuinceLedgerCallOutcome outcome,
                                      const QuinceServiceReply *reply,
                                      gpointer user_data);

/* Each is nullable. @linked: a link to the leader is up; @message: another message came on it; @unlinked: it
 * broke */
typedef struct
{
  void (*linked) (QuinceLink *link, gpointer user_data);
  void (*message) (QuinceLink *link, const QuinceMessage *message, gpointer user_data);
  void (*unlinked) (gpointer user_data);
} QuinceLedgerCallerCallbacks;

QuinceLedgerCaller *quince_ledger_caller_new (const QuinceLedgerCallerCallbacks *callbacks,
                                              gpointer user_data);
void quince_ledger_caller_free (QuinceLedgerCaller *caller);
/* NULL: nobody is known to lead.  One of a lower epoch than is known is passed over. */
void quince_ledger_caller_set_view (QuinceLedgerCaller *caller, const QuinceLedgerView *view);
/* (nullable): the one that was set last */
const QuinceLedgerView *quince_ledger_caller_get_view (const QuinceLedgerCaller *caller);
/* The machine was suspended: the leader may have closed the link, without a sign of it here.  Calls in
 * progress are lost. */
void quince_ledger_caller_resumed (QuinceLedgerCaller *caller);
gboolean quince_ledger_caller_is_linked (const QuinceLedgerCaller *caller);

/* done() is called once, never before this returns. */
QuinceLedgerCallHandle *quince_ledger_caller_start (QuinceLedgerCaller *caller,
                                                    const char *method,
                                                    const char *target,
                                                    const QuinceHttpHeaders *headers,
                                                    const GByteArray *body,
                                                    guint timeout_ms,
                                                    QuinceLedgerCallDone done,
                                                    gpointer user_data);
/* The caller has gone: done() is not called any more. */
void quince_ledger_call_cancel (QuinceLedgerCallHandle *call);
