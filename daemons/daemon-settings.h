/*
 * daemon-settings.h: settings, units and the log limit that quinceroute-front and quinceroute-replica share.
 *
 * Each ..._SETTINGS macro expands to one or more QuinceSettingSpec rows, in the order in which
 * --help-settings prints them.  These modules read the sections: node: lib/forward/backends.h; store:
 * lib/observer/observer.h; quarantine: lib/forward/send-guard.h; warmup: lib/forward/warmup-sends.h; log:
 * lib/runtime/program.h; limits: front/front-limits.c and replica/batch-memory.c.
 */
#pragma once

#include "runtime/settings.h"

/* Maximum number of log lines per second; failures, warnings and notices may bring it to twice as many.
 * Further lines are left out and counted.  Leaves room for a warning per refused request of a busy front (60
 * per second). */
#define QUINCE_DAEMON_LOG_LINES_PER_SECOND_MAX 200

/* One second in microseconds, the unit of duration bounds. */
#define QUINCE_SECOND_US G_USEC_PER_SEC
/* One millisecond in microseconds. */
#define QUINCE_MILLISECOND_US (G_USEC_PER_SEC / 1000)
/* One day in microseconds; the product needs 64 bits. */
#define QUINCE_DAY_US (G_GINT64_CONSTANT (86400) * QUINCE_SECOND_US)
/* Minimum of the settings store.change_bound, drain_bound and evacuation_bound, us. */
#define QUINCE_BOUND_MIN_US (100 * QUINCE_MILLISECOND_US)
/* Maximum of the same settings, us. */
#define QUINCE_BOUND_MAX_US (60 * QUINCE_SECOND_US)

/* clang-format off */
#define QUINCE_NODE_SETTINGS \
  { "node", "name", QUINCE_SETTING_NAME, TRUE, NULL, 0, 0, NULL, \
    "name of this machine, unique in the deployment" }, \
  { "node", "zone", QUINCE_SETTING_NAME, TRUE, NULL, 0, 0, NULL, "zone of this machine" }, \
  { "node", "region", QUINCE_SETTING_NAME, FALSE, NULL, 0, 0, NULL, "region of this machine's zone" }, \
  { "node", "zones", QUINCE_SETTING_TEXT, FALSE, NULL, 0, 0, NULL, \
    "regions of all zones, as zone=region,zone=region; machines of other zones are in no region" }

#define QUINCE_METRICS_SETTINGS \
  { "listen", "metrics", QUINCE_SETTING_ADDRESS, FALSE, NULL, 0, 0, NULL, \
    "address that serves /metrics; if not set, no metrics are served" }

/* @workers_read_interval: default of store.workers_pace.
 * The smallest of the three bounds applies; deployments set their own.  The default of 2 s is the smallest that
 * the observer can keep (QUINCE_OBSERVER_CHANGE_BOUND_MIN_MS).  The default of evacuation_bound is its maximum,
 * so that the other two apply. */
#define QUINCE_STORE_SETTINGS(workers_read_interval) \
  { "store", "address", QUINCE_SETTING_ADDRESS, TRUE, NULL, 0, 0, NULL, "address of the metadata store" }, \
  { "store", "workers_pace", QUINCE_SETTING_DURATION, FALSE, workers_read_interval, 10 * QUINCE_MILLISECOND_US, \
    QUINCE_SECOND_US, NULL, "minimum time between two reads of the list of workers from the metadata store" }, \
  { "store", "change_bound", QUINCE_SETTING_DURATION, FALSE, "2s", QUINCE_BOUND_MIN_US, QUINCE_BOUND_MAX_US, \
    NULL, "maximum time from a change of the configuration in the store to its use; the smallest of the " \
    "three bounds applies to all three, and less than 2s counts as 2s" }, \
  { "store", "drain_bound", QUINCE_SETTING_DURATION, FALSE, "2s", QUINCE_BOUND_MIN_US, QUINCE_BOUND_MAX_US, \
    NULL, "maximum time until a worker that starts to drain gets no more requests; see change_bound" }, \
  { "store", "evacuation_bound", QUINCE_SETTING_DURATION, FALSE, "60s", QUINCE_BOUND_MIN_US, \
    QUINCE_BOUND_MAX_US, NULL, \
    "maximum time until the workers of an evacuated zone get no more requests; see change_bound" }

/* Deployments set stop.grace to their bound of a planned stop (bounds.graceS). */
#define QUINCE_STOP_SETTINGS \
  { "stop", "grace", QUINCE_SETTING_DURATION, FALSE, "8s", QUINCE_SECOND_US, 600 * QUINCE_SECOND_US, NULL, \
    "maximum time from SIGTERM to the exit of a front, which ends requests that are still running then; " \
    "a replica exits at once" }

/* The defaults, 1024 entries of 512 bytes, hold the requests of several lost workers, some hundred each.  A
 * flood of suspects with one end each evicts only such suspects.  docs/design/worker-ends.md describes the
 * rules. */
#define QUINCE_QUARANTINE_SETTINGS \
  { "quarantine", "entries", QUINCE_SETTING_INTEGER, FALSE, "1024", 16, 4000, NULL, \
    "maximum number of suspects, that is, requests and prompts that ran on a worker when its process ended; " \
    "beyond it, those with the fewest ends are forgotten" }, \
  { "quarantine", "kilobytes", QUINCE_SETTING_INTEGER, FALSE, "512", 16, 65536, NULL, \
    "maximum memory of the suspects, KiB; beyond it, those with the fewest ends are forgotten" }, \
  { "quarantine", "doubt_keep", QUINCE_SETTING_DURATION, FALSE, "600s", QUINCE_SECOND_US, QUINCE_DAY_US, \
    NULL, "time after the last end of a worker under it when a suspect that may still run is forgotten" }, \
  { "quarantine", "hold_keep", QUINCE_SETTING_DURATION, FALSE, "86400s", QUINCE_SECOND_US, \
    7 * QUINCE_DAY_US, NULL, \
    "time after the last end of a worker under it when a held request, which is refused, may run again" }

/* The defaults, 1 and 0, limit a cold worker to the rate configured for its service; deployments may allow
 * more. */
#define QUINCE_WARMUP_SETTINGS \
  { "warmup", "overage", QUINCE_SETTING_NUMBER, FALSE, "1", 1, 100, NULL, \
    "maximum requests per second to a cold worker, as a multiple of the rate in its service's configuration; " \
    "beyond it other workers get them, or they are refused" }, \
  { "warmup", "slack", QUINCE_SETTING_NUMBER, FALSE, "0", 0, 1000, NULL, \
    "requests per second that a cold worker may get beyond that maximum" }

#define QUINCE_POLICY_SETTINGS \
  { "policy", "file", QUINCE_SETTING_TEXT, FALSE, NULL, 0, 0, NULL, \
    "file of the policy program that applies until operators accept one; if not set, the built-in rules apply" }

/* Bytes in a megabyte, the unit of limits.memory. */
#define QUINCE_BYTES_PER_MB (1000 * 1000)

/* @memory, @descriptors: defaults, those of the smallest machines. */
#define QUINCE_LIMITS_SETTINGS(memory, descriptors) \
  { "limits", "memory", QUINCE_SETTING_NUMBER, FALSE, memory, 16, 1048576, NULL, \
    "memory of the machine for this process, MB (10^6 bytes); what clients' requests may hold follows from it" }, \
  { "limits", "descriptors", QUINCE_SETTING_INTEGER, FALSE, descriptors, 64, 1048576, NULL, \
    "descriptors that this process may have open; 200 of them are kept for files" }

#define QUINCE_LOG_SETTINGS \
  { "log", "level", QUINCE_SETTING_CHOICE, FALSE, "info", 0, 0, "debug|info|warning|error", \
    "minimum severity of the log lines that are written" }
/* clang-format on */
