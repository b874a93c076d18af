/*
 * load-next.h: what follows each step of bringing one worker to a weight version: order, poll, or end.
 *
 * For: the ledger's leader (daemons/replica/weight-load.c, weight-orders.c).  Owns nothing; pure.  Relies on:
 * the worker's own reports.  Which worker loads next: core/weights.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

typedef enum
{
  QUINCE_LOAD_NEXT_ORDER, /* order the load now                                    */
  QUINCE_LOAD_NEXT_POLL,  /* ask the worker for its report after the pause         */
  QUINCE_LOAD_NEXT_END,   /* it has loaded, or this attempt is given up            */
} QuinceLoadAction;

/**
 * QuinceLoadNext:
 * @action: what follows
 * @pause_ms: QUINCE_LOAD_NEXT_POLL: time until the report is asked for, ms
 * @outcome: QUINCE_LOAD_NEXT_END: the outcome as the log writes it, static
 */
typedef struct
{
  QuinceLoadAction action;
  guint pause_ms;
  const char *outcome;
} QuinceLoadNext;

/* Outcome of a load that ended well. */
#define QUINCE_LOAD_LOADED "loaded"

/**
 * QuinceLoadReport:
 * @loaded_version: version of the model that the worker reports; 0: none
 * @target_version: version that it is brought to
 * @busy: it loads something now
 * @elapsed_us: since this load was begun by the leader, us
 */
typedef struct
{
  guint64 loaded_version;
  guint64 target_version;
  gboolean busy;
  gint64 elapsed_us;
} QuinceLoadReport;

/**
 * quince_load_next_after_report:
 *
 * Decides by the worker's report.  The order is sent to an idle worker that is behind, and is sent again
 * where a load ended without the version.
 *
 * Edges: a load that takes longer than 8 s is given up; the worker is ordered again after a pause.
 */
QuinceLoadNext quince_load_next_after_report (const QuinceLoadReport *report);

/* How a worker answered an order. */
typedef enum
{
  QUINCE_ORDER_ACCEPTED,       /* it loads now                                             */
  QUINCE_ORDER_ALREADY_LOADED, /* it has the version already                               */
  QUINCE_ORDER_UNKNOWN,        /* the connection broke: it may have been taken             */
  QUINCE_ORDER_OTHER_WORKER,   /* another worker answers at this address                   */
  QUINCE_ORDER_REFUSED,        /* refused, for instance by its fence, or not sent          */
} QuinceOrderAnswer;

/* Decides by the worker's answer to the order. */
QuinceLoadNext quince_load_next_after_order (QuinceOrderAnswer answer);

/**
 * QuinceLoadSendInput:
 * @holds_sends: this process does not know yet which zones are evacuated
 * @evacuated: the worker is in an evacuated zone
 * @may_order: the worker is listed, and this process leads with a quorum; see weight-orders.h.  Read for an
 *   order only
 * @is_order: an order is to be sent, not a request for a report
 */
typedef struct
{
  gboolean holds_sends;
  gboolean evacuated;
  gboolean may_order;
  gboolean is_order;
} QuinceLoadSendInput;

/**
 * quince_load_next_before_send:
 *
 * Decides whether anything is sent to the worker now.  Returns: QUINCE_LOAD_NEXT_ORDER: send it; the other
 * actions as above.
 */
QuinceLoadNext quince_load_next_before_send (const QuinceLoadSendInput *send);

/**
 * quince_load_concurrent_max:
 * @usable_workers: workers of a service that may load
 *
 * Decides how many of them load at the same time at most: a fifth, at least two, so that the service stays
 * open to samples.  The load window (core/weights/load-window.h) may bring it down further.
 */
guint quince_load_concurrent_max (guint usable_workers);

/* Pause before a worker whose load failed is ordered again, us.  Not measured: about half a load. */
#define QUINCE_LOAD_FAILED_PAUSE_US (500 * 1000)

G_END_DECLS
