/*
 * daemon-settings.h: settings, units and the log limit that quinceroute-front and quinceroute-replica share.
 *
 * Each ..._SETTINGS macro expands to one or more QuinceSettingSpec rows, in the order in which
 * --help-settings prints them.  These modules read the sections: node: lib/forward/backends.h; store:
 * lib/observer/observer.h; quarantine: lib/forward/send-guard.h; warmup: lib/forward/warmup-sends.h; log:
 * lib/runtime/program.h.
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
  { "node", "name", QUINCE_SETTING_NAME, TRUE, NULL, 0, 0, NULL, "name of this machine" }, \
  { "node", "zone", QUINCE_SETTING_NAME, TRUE, NULL, 0, 0, NULL, "zone that it stands in" }, \
  { "node", "region", QUINCE_SETTING_NAME, FALSE, NULL, 0, 0, NULL, "region of that zone" }, \
  { "node", "zones", QUINCE_SETTING_TEXT, FALSE, NULL, 0, 0, NULL, \
    "all zones with their regions, as zone=region,zone=region" }

#define QUINCE_METRICS_SETTINGS \
  { "listen", "metrics", QUINCE_SETTING_ADDRESS, FALSE, NULL, 0, 0, NULL, \
    "address of /metrics; none where absent" }

/* @workers_read_interval: default of store.workers_pace.
 * The smallest of the three bounds applies; deployments set their own.  The default of 2 s is the smallest that
 * the observer can keep (QUINCE_OBSERVER_CHANGE_BOUND_MIN_MS).  The default of evacuation_bound is its maximum,
 * so that the other two apply. */
#define QUINCE_STORE_SETTINGS(workers_read_interval) \
  { "store", "address", QUINCE_SETTING_ADDRESS, TRUE, NULL, 0, 0, NULL, "address of the metadata store" }, \
  { "store", "workers_pace", QUINCE_SETTING_DURATION, FALSE, workers_read_interval, 10 * QUINCE_MILLISECOND_US, \
    QUINCE_SECOND_US, NULL, "least time between two looks at the list of workers" }, \
  { "store", "change_bound", QUINCE_SETTING_DURATION, FALSE, "2s", QUINCE_BOUND_MIN_US, QUINCE_BOUND_MAX_US, \
    NULL, "a change of the operator is in force so long after the store took it" }, \
  { "store", "drain_bound", QUINCE_SETTING_DURATION, FALSE, "2s", QUINCE_BOUND_MIN_US, QUINCE_BOUND_MAX_US, \
    NULL, "a leaving worker gets no more requests so long after the store took it" }, \
  { "store", "evacuation_bound", QUINCE_SETTING_DURATION, FALSE, "60s", QUINCE_BOUND_MIN_US, \
    QUINCE_BOUND_MAX_US, NULL, \
    "workers of an evacuated zone get no more requests so long after the store took the operator's word; " \
    "the least of the three bounds counts" }

/* Deployments set stop.grace to their bound of a planned stop (bounds.graceS). */
#define QUINCE_STOP_SETTINGS \
  { "stop", "grace", QUINCE_SETTING_DURATION, FALSE, "8s", QUINCE_SECOND_US, 600 * QUINCE_SECOND_US, NULL, \
    "time from a planned stop to the end of the process" }

/* The defaults, 1024 entries of 512 bytes, hold the requests of several lost workers, some hundred each.  A
 * flood of suspects with one end each evicts only such suspects.  docs/design/worker-ends.md describes the
 * rules. */
#define QUINCE_QUARANTINE_SETTINGS \
  { "quarantine", "entries", QUINCE_SETTING_INTEGER, FALSE, "1024", 16, 4000, NULL, \
    "requests under which workers ended that are remembered" }, \
  { "quarantine", "kilobytes", QUINCE_SETTING_INTEGER, FALSE, "512", 16, 65536, NULL, \
    "memory that they may take" }, \
  { "quarantine", "doubt_keep", QUINCE_SETTING_DURATION, FALSE, "600s", QUINCE_SECOND_US, QUINCE_DAY_US, \
    NULL, "a request that is not held is forgotten so long after the last end" }, \
  { "quarantine", "hold_keep", QUINCE_SETTING_DURATION, FALSE, "86400s", QUINCE_SECOND_US, \
    7 * QUINCE_DAY_US, NULL, "a held request is forgotten so long after the last end" }

/* The defaults, 1 and 0, limit a cold worker to the rate configured for its service; deployments may allow
 * more. */
#define QUINCE_WARMUP_SETTINGS \
  { "warmup", "overage", QUINCE_SETTING_NUMBER, FALSE, "1", 1, 100, NULL, \
    "times what a cold worker bears that it gets in a second" }, \
  { "warmup", "slack", QUINCE_SETTING_NUMBER, FALSE, "0", 0, 1000, NULL, \
    "requests that it gets in a second beyond that" }

#define QUINCE_POLICY_SETTINGS \
  { "policy", "file", QUINCE_SETTING_TEXT, FALSE, NULL, 0, 0, NULL, \
    "policy program until operators accept another one" }

#define QUINCE_LOG_SETTINGS \
  { "log", "level", QUINCE_SETTING_CHOICE, FALSE, "info", 0, 0, "debug|info|warning|error", \
    "least severe level written" }
/* clang-format on */
