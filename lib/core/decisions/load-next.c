/*
 * load-next.c: the next step while one worker loads a weight version.
 */
#include "core/decisions/load-next.h"

/* Time from an accepted order to the first poll, ms: the duration of a load while no other worker loads. */
#define FIRST_POLL_MS 900
/* Interval of later polls, ms.  A long interval keeps a loaded worker out of service and delays the next
 * load; a short one costs more requests. */
#define LOAD_POLL_INTERVAL_MS 80
/* Time to the poll of a worker that already has the version, ms: the next iteration of the main loop. */
#define ALREADY_LOADED_POLL_MS 1
/* Maximum time that an order waits for the commit of its record, ms: as long as the record permits the order
 * (QUINCE_ORDER_SEND_MAX_US). */
#define RECORD_WAIT_MS 300
/* Timeout of a load, us: about eight times its usual duration. */
#define LOAD_TIMEOUT_US (8 * G_USEC_PER_SEC)
/* Fraction of a service's workers that may load at the same time. */
#define CONCURRENT_LOADS_FRACTION 0.2
/* Minimum number of concurrent loads, for small services: one at a time, the last of eleven workers would
 * get a version after 11 s. */
#define CONCURRENT_LOADS_MIN 2

static QuinceLoadNext
poll_after (guint pause_ms)
{
  return (QuinceLoadNext){ .action = QUINCE_LOAD_NEXT_POLL, .pause_ms = pause_ms };
}

static QuinceLoadNext
end_with (const char *outcome)
{
  return (QuinceLoadNext){ .action = QUINCE_LOAD_NEXT_END, .outcome = outcome };
}

QuinceLoadNext
quince_load_next_after_report (const QuinceLoadReport *report)
{
  if (report->loaded_version >= report->target_version && !report->busy)
    return end_with (QUINCE_LOAD_LOADED);
  if (report->elapsed_us > LOAD_TIMEOUT_US)
    return end_with ("timeout");
  if (report->busy)
    return poll_after (LOAD_POLL_INTERVAL_MS);
  return (QuinceLoadNext){ .action = QUINCE_LOAD_NEXT_ORDER };
}

QuinceLoadNext
quince_load_next_after_order (QuinceOrderAnswer answer)
{
  switch (answer)
    {
    case QUINCE_ORDER_ACCEPTED:
      return poll_after (FIRST_POLL_MS);
    case QUINCE_ORDER_ALREADY_LOADED:
      return poll_after (ALREADY_LOADED_POLL_MS);
    case QUINCE_ORDER_UNKNOWN:
      return poll_after (LOAD_POLL_INTERVAL_MS);
    case QUINCE_ORDER_OTHER_WORKER:
      return end_with ("other_worker");
    case QUINCE_ORDER_REFUSED:
    default:
      return end_with ("refused");
    }
}

QuinceLoadNext
quince_load_next_before_send (const QuinceLoadSendInput *send)
{
  if (send->holds_sends)
    return poll_after (LOAD_POLL_INTERVAL_MS);
  if (send->evacuated)
    return end_with ("zone_evacuated");
  if (send->is_order && !send->may_order)
    return end_with ("not_leading");
  if (send->is_order && send->awaits_record)
    return poll_after (RECORD_WAIT_MS);
  return (QuinceLoadNext){ .action = QUINCE_LOAD_NEXT_ORDER };
}

guint
quince_load_concurrent_max (guint usable_workers)
{
  return MAX (CONCURRENT_LOADS_MIN, (guint)(usable_workers * CONCURRENT_LOADS_FRACTION));
}
