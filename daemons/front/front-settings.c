/*
 * front-settings.c: the settings of quinceroute-front.
 *
 * front.c and the modules listed in daemons/daemon-settings.h read them.
 */
#include "front-settings.h"

#include "../daemon-settings.h"

/* Defaults:
 * - store.workers_pace 1 s: a front reads the list of workers itself only while it has no store feed.
 * - store.presence 6 s: the lease is renewed every 3 s.  A dead front leaves the directory earlier, when it
 *   has missed the leader's heartbeats for 0.65 s.
 * - directory.keep 2 s: a stopping front accepts requests for another 4 s, longer than an answer that lists
 *   it is cached. */

/* clang-format off */
const QuinceSettingSpec quince_front_setting_specs[] = {
  QUINCE_NODE_SETTINGS,
  { "listen", "callers", QUINCE_SETTING_ADDRESS, TRUE, NULL, 0, 0, NULL,
    "address that accepts callers' requests" },
  { "listen", "ready", QUINCE_SETTING_ADDRESS, TRUE, NULL, 0, 0, NULL,
    "address that serves the readiness check" },
  { "listen", "directory", QUINCE_SETTING_ADDRESS, TRUE, NULL, 0, 0, NULL,
    "address that serves the directory, where callers ask which fronts to use" },
  QUINCE_METRICS_SETTINGS,
  QUINCE_STORE_SETTINGS ("1s"),
  { "store", "presence", QUINCE_SETTING_DURATION, FALSE, "6s", QUINCE_SECOND_US, 600 * QUINCE_SECOND_US, NULL,
    "time after which a front that no longer renews its registration in the store leaves the directory" },
  { "directory", "keep", QUINCE_SETTING_DURATION, FALSE, "2s", QUINCE_SECOND_US, 60 * QUINCE_SECOND_US, NULL,
    "time that callers may cache an answer of the directory, in whole seconds" },
  QUINCE_STOP_SETTINGS,
  QUINCE_QUARANTINE_SETTINGS,
  QUINCE_WARMUP_SETTINGS,
  QUINCE_POLICY_SETTINGS,
  QUINCE_LIMITS_SETTINGS ("120", "3075"),
  QUINCE_LOG_SETTINGS,
};
/* clang-format on */
const gsize quince_front_n_setting_specs = G_N_ELEMENTS (quince_front_setting_specs);
