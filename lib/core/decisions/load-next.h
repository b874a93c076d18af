/*
 * load-next.h: the next step while one worker loads a weight version: order the load, poll, or end.
 *
 * Pure functions, used by the ledger's leader (daemons/replica/weight-load.c, weight-orders.c).  core/weights
 * decides which worker loads next.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

typedef enum
{
  QUINCE_LOAD_NEXT_ORDER, /* send the order, or the request that is due, now */
  QUINCE_LOAD_NEXT_POLL,  /* ask the worker for its report after the pause */
  QUINCE_LOAD_NEXT_END,   /* the load is complete, or this attempt is given up */
} QuinceLoadAction;

/**
 * QuinceLoadNext:
 * @action: the next step
 * @pause_ms: for QUINCE_LOAD_NEXT_POLL: time until the worker is asked for its report, ms
 * @outcome: (nullable): for QUINCE_LOAD_NEXT_END: the outcome for the log and the metrics, a static string;
 *   otherwise %NULL
 */
typedef struct
{
  QuinceLoadAction action;
  guint pause_ms;
  const char *outcome;
} QuinceLoadNext;

/* Outcome of a successful load. */
#define QUINCE_LOAD_LOADED "loaded"

/**
 * QuinceLoadReport:
 * @loaded_version: version of the model that the worker reports; 0: none
 * @target_version: version that the worker must load, or a later one
 * @busy: the worker is loading weights now
 * @elapsed_us: time since the leader started this load, us
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
 * Decides the next step from the worker's report.  An idle worker without the target version gets the order,
 * again if an earlier load ended without that version.  The load times out after 8 s; a new load may start
 * after QUINCE_LOAD_FAILED_PAUSE_US.
 */
QuinceLoadNext quince_load_next_after_report (const QuinceLoadReport *report);

/* A worker's answer to a load order. */
typedef enum
{
  QUINCE_ORDER_ACCEPTED,       /* the worker starts the load */
  QUINCE_ORDER_ALREADY_LOADED, /* the worker already has the version */
  QUINCE_ORDER_UNKNOWN,        /* the connection broke: the worker may have accepted it */
  QUINCE_ORDER_OTHER_WORKER,   /* another worker has this address now */
  QUINCE_ORDER_REFUSED,        /* refused, e.g. for a stale fence, or not sent */
} QuinceOrderAnswer;

/* Decides the next step from the worker's answer to a load order. */
QuinceLoadNext quince_load_next_after_order (QuinceOrderAnswer answer);

/**
 * QuinceLoadSendInput:
 * @holds_sends: this process does not yet know which zones are evacuated, and sends nothing
 * @evacuated: the worker is in an evacuated zone
 * @may_order: the worker is listed, and this process leads with a quorum; see weight-orders.h.  Only read for
 *   orders
 * @is_order: a load order is about to be sent, not a request for the worker's report
 * @awaits_record: the order record that permits the order is not committed yet (core/group/order-permits.h).
 *   Only read for orders
 */
typedef struct
{
  gboolean holds_sends;
  gboolean evacuated;
  gboolean may_order;
  gboolean is_order;
  gboolean awaits_record;
} QuinceLoadSendInput;

/**
 * quince_load_next_before_send:
 *
 * Decides whether an order or a request for a report is sent to the worker now.  An order that awaits its
 * record is sent once the record is committed; if that takes too long, the worker is polled again first.
 *
 * Returns: QUINCE_LOAD_NEXT_ORDER if it is sent; QUINCE_LOAD_NEXT_POLL or QUINCE_LOAD_NEXT_END otherwise
 */
QuinceLoadNext quince_load_next_before_send (const QuinceLoadSendInput *send);

/**
 * quince_load_concurrent_max:
 * @usable_workers: number of workers of a service that may load
 *
 * Returns the maximum number of workers of a service that load at the same time: a fifth of @usable_workers,
 * but at least two.  The others keep serving samples.  The load window (core/weights/load-window.h) may
 * reduce the number further.
 */
guint quince_load_concurrent_max (guint usable_workers);

/* Pause before a worker whose load failed gets the next order, us: about half the duration of a load. */
#define QUINCE_LOAD_FAILED_PAUSE_US (500 * 1000)

G_END_DECLS
