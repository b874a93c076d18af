/*
 * caller-request-private.h: the state of QuinceCallerRequest and the functions that its source files share.
 */
#pragma once

#include "caller-request.h"

#include "core/decisions/retry-after.h"
#include "forward/stream.h"

#include "platform.h"

struct _QuinceCallerRequest
{
  /* All fields belong to the main context. */
  QuinceFrontContext *context;
  QuinceHttpHead *head;
  GBytes *body;
  QuinceCall call;
  gint64 received_us;     /* when its head was read, monotonic */
  char *ledger_reason;    /* why the leader refused it; NULL: it did not */
  char *api_key;          /* key of the caller, until the lookup of its tenant; NULL: none */
  char *tenant;           /* name of the tenant that owns the key; NULL: none */
  char *route;            /* name of its route; NULL: not found, or a call about a batch */
  gboolean is_submission; /* the request submits a batch */
  /* The source of the pending answer; at most one is set. */
  QuinceForward *forward;
  QuinceStream *stream;
  QuinceLedgerCallHandle *ledger_call;
  gboolean answer_started; /* the head of a streamed answer was sent to the caller */
  const QuinceCallerSink *sink;
  gpointer user_data;
};

/* ---- caller-request.c ---- */
void quince_caller_request_free (QuinceCallerRequest *request);
/* Answers the request and frees it. */
void quince_caller_request_finish (QuinceCallerRequest *request, const QuinceCallerAnswer *answer);
/* Answers the request with an error of this front, logs it and frees the request.
 * @status: HTTP status
 * @cause: name of the cause, as docs/OPERATIONS.md lists it
 * @retry_after_ms: when the caller may try again; 0: not told */
void quince_caller_request_refuse (QuinceCallerRequest *request,
                                   guint status,
                                   const char *cause,
                                   guint retry_after_ms);
/* @known_ms: estimated time until the request may succeed, ms; 0: not known */
guint quince_caller_request_get_retry_after_ms (QuinceRefusalCause cause, guint known_ms);
/* @first_run_us: when a worker may have started the request, monotonic; 0: no worker can have started it */
void quince_caller_request_record_usage (const QuinceCallerRequest *request, gint64 first_run_us);

/* ---- caller-forward.c ---- */
/* Sends the request to a worker of the service of @route.
 *
 * Returns: %FALSE if the request was refused and freed */
gboolean quince_caller_request_forward (QuinceCallerRequest *request, const QuinceRoute *route);
