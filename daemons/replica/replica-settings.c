/*
 * replica-settings.c: the table of settings of quinceroute-replica.
 *
 * The settings are read by replica-setup.c and by the modules that daemons/daemon-settings.h names.
 */
#include "replica-settings.h"

#include "../daemon-settings.h"

/* store.workers_pace is 600 ms by default, since the leader reads the list of workers for all processes
 * (docs/DESIGN.md, "Who reads the store").  stop.grace is accepted but unused: a replica stops immediately.
 */

/* clang-format off */
const QuinceSettingSpec quince_replica_setting_specs[] = {
  QUINCE_NODE_SETTINGS,
  { "listen", "link", QUINCE_SETTING_ADDRESS, TRUE, NULL, 0, 0, NULL,
    "address for fronts and other replicas" },
  QUINCE_METRICS_SETTINGS,
  QUINCE_STORE_SETTINGS ("600ms"),
  { "ledger", "folder", QUINCE_SETTING_TEXT, TRUE, NULL, 0, 0, NULL, "data folder" },
  { "ledger", "found", QUINCE_SETTING_BOOLEAN, FALSE, "false", 0, 0, NULL,
    "the whole system starts for the first time, with empty disks" },
  { "ledger", "losses", QUINCE_SETTING_INTEGER, FALSE, "1", 0, 8, NULL,
    "machines with a replica that may be lost at once" },
  { "ledger", "zone_losses", QUINCE_SETTING_INTEGER, FALSE, "0", 0, 8, NULL,
    "zones that may be lost at once; where there are any, members of the ledger are spread over zones" },
  { "ledger", "keep", QUINCE_SETTING_DURATION, FALSE, "120s", QUINCE_SECOND_US, 2000 * QUINCE_SECOND_US, NULL,
    "a closed batch is forgotten so long after its submission" },
  { "results", "group_window", QUINCE_SETTING_DURATION, FALSE, "0ms", 0, QUINCE_SECOND_US, NULL,
    "maximum time for which a result of a training step waits to be listed with the next ones; 0: none" },
  { "orders", "pause", QUINCE_SETTING_DURATION, FALSE, "3s", 0, 600 * QUINCE_SECOND_US, NULL,
    "a new leader gives no orders to workers for this long" },
  { "orders", "record", QUINCE_SETTING_BOOLEAN, FALSE, "false", 0, 0, NULL,
    "workers are recorded in the ledger before they are ordered; the next leader then waits for orders.pause "
    "only at workers that were ordered within it" },
  { "duties", "address", QUINCE_SETTING_ADDRESS, FALSE, NULL, 0, 0, NULL,
    "address of the platform's calls that one machine makes for all; none where absent" },
  { "duties", "names", QUINCE_SETTING_TEXT, FALSE, NULL, 0, 0, NULL,
    "those that the platform asks for, separated by commas" },
  { "duties", "usage_window", QUINCE_SETTING_DURATION, FALSE, "5s", 100 * QUINCE_MILLISECOND_US,
    600 * QUINCE_SECOND_US, NULL, "requests of each tenant are counted in windows of this length" },
  { "duties", "usage_late", QUINCE_SETTING_DURATION, FALSE, "10s", QUINCE_SECOND_US, 600 * QUINCE_SECOND_US,
    NULL, "a report is due so long after the end of its window" },
  { "duties", "order_workers", QUINCE_SETTING_CHOICE, FALSE, "replace", 0, 0, "replace|none",
    "lost workers are replaced in other zones, where the platform takes such orders" },
  QUINCE_STOP_SETTINGS,
  QUINCE_QUARANTINE_SETTINGS,
  QUINCE_WARMUP_SETTINGS,
  QUINCE_POLICY_SETTINGS,
  QUINCE_LOG_SETTINGS,
};
/* clang-format on */
const gsize quince_replica_n_setting_specs = G_N_ELEMENTS (quince_replica_setting_specs);
