/*
 * front-settings.c: the table of settings of quinceroute-front.
 *
 * Owns no state.  Read by front.c and by the modules that daemons/daemon-settings.h names.
 */
#include "front-settings.h"

#include "../daemon-settings.h"

/* Where the fallbacks come from:
 * - store.workers_pace 1 s: not measured; a front reads the list itself only while it has no store feed.
 * - store.presence 6 s: a lease of 6 s is renewed each 2 s; with 3 s and each second renewals were 466 of
 * 4,600 store calls of a day.  A dead front is left out earlier, by the leader's heartbeats, after 0.65 s.
 * - directory.keep 2 s: not measured; a stopping front serves 4 s more, which covers answers kept for 2 s. */

/* clang-format off */
const QuinceSettingSpec quince_front_setting_specs[] = {
  QUINCE_NODE_SETTINGS,
  { "listen", "callers", QUINCE_SETTING_ADDRESS, TRUE, NULL, 0, 0, NULL, "address for callers' requests" },
  { "listen", "ready", QUINCE_SETTING_ADDRESS, TRUE, NULL, 0, 0, NULL, "address of the readiness check" },
  { "listen", "directory", QUINCE_SETTING_ADDRESS, TRUE, NULL, 0, 0, NULL,
    "address where callers ask which fronts to use" },
  QUINCE_METRICS_SETTINGS,
  QUINCE_STORE_SETTINGS ("1s"),
  { "store", "presence", QUINCE_SETTING_DURATION, FALSE, "6s", QUINCE_SECOND_US, 600 * QUINCE_SECOND_US, NULL,
    "this front leaves the directory's answers that long after it was last heard" },
  { "directory", "keep", QUINCE_SETTING_DURATION, FALSE, "2s", QUINCE_SECOND_US, 60 * QUINCE_SECOND_US, NULL,
    "how long callers keep an answer" },
  QUINCE_STOP_SETTINGS,
  QUINCE_QUARANTINE_SETTINGS,
  QUINCE_WARMUP_SETTINGS,
  QUINCE_POLICY_SETTINGS,
  QUINCE_LOG_SETTINGS,
};
/* clang-format on */
const gsize quince_front_n_setting_specs = G_N_ELEMENTS (quince_front_setting_specs);
