/*
 * replica-settings.c: the table of settings of quinceroute-replica.
 *
 * The settings are read by replica-setup.c and by the modules that daemons/daemon-settings.h names.
 */
#include "replica-settings.h"

#include "../daemon-settings.h"
#include "platform.h"

/* store.workers_pace is 600 ms by default, since the leader reads the list of workers for all processes
 * (docs/DESIGN.md, "Who reads the store").  stop.grace is accepted but unused: a replica stops immediately.
 */

/* clang-format off */
const QuinceSettingSpec quince_replica_setting_specs[] = {
  QUINCE_NODE_SETTINGS,
  { "listen", "link", QUINCE_SETTING_ADDRESS, TRUE, NULL, 0, 0, NULL,
    "address that accepts fronts and other replicas" },
  QUINCE_METRICS_SETTINGS,
  QUINCE_STORE_SETTINGS ("600ms"),
  { "ledger", "folder", QUINCE_SETTING_TEXT, TRUE, NULL, 0, 0, NULL,
    "existing folder for the ledger and progress files, which must survive a restart" },
  { "ledger", "found", QUINCE_SETTING_BOOLEAN, FALSE, "false", 0, 0, NULL,
    "true only at the first start of the whole system: create the ledger on empty disks; false: join it" },
  { "ledger", "losses", QUINCE_SETTING_INTEGER, FALSE, "1", 0, 8, NULL,
    "number of replicas that may be lost at once without loss of data; the ledger has 2 * losses + 1 members" },
  { "ledger", "zone_losses", QUINCE_SETTING_INTEGER, FALSE, "0", 0, 8, NULL,
    "number of zones that may be lost at once; above 0, members of the ledger are spread over zones" },
  { "ledger", "keep", QUINCE_SETTING_DURATION, FALSE, "120s", QUINCE_SECOND_US, 2000 * QUINCE_SECOND_US, NULL,
    "time after its submission when a batch that was ended or has all its results is deleted" },
  { "results", "group_window", QUINCE_SETTING_DURATION, FALSE, "0ms", 0, QUINCE_SECOND_US, NULL,
    "maximum time for which a result of a training step waits to be listed with the next ones; 0: none" },
  { "orders", "pause", QUINCE_SETTING_DURATION, FALSE, "3s", 0, 600 * QUINCE_SECOND_US, NULL,
    "time that a new leader waits, with 0.2s added, before it gives orders to workers" },
  { "orders", "record", QUINCE_SETTING_BOOLEAN, FALSE, "false", 0, 0, NULL,
    "true: record workers in the ledger before they are ordered, so that the next leader waits for orders.pause "
    "only at workers that were ordered within it" },
  { "duties", "address", QUINCE_SETTING_ADDRESS, FALSE, NULL, 0, 0, NULL,
    "address to which the leader sends usage reports and orders of workers; if not set, it sends none" },
  { "duties", "names", QUINCE_SETTING_TEXT, FALSE, NULL, 0, 0, NULL,
    "what the leader sends there, separated by commas: " QUINCE_PLATFORM_DUTIES_HELP },
  { "duties", "usage_window", QUINCE_SETTING_DURATION, FALSE, "5s", 100 * QUINCE_MILLISECOND_US,
    600 * QUINCE_SECOND_US, NULL, "length of a window of the usage reports, which count requests by tenant" },
  { "duties", "usage_late", QUINCE_SETTING_DURATION, FALSE, "10s", QUINCE_SECOND_US, 600 * QUINCE_SECOND_US,
    NULL, "maximum time from the end of a window to its usage report; half of it waits for late counts" },
  { "duties", "order_workers", QUINCE_SETTING_CHOICE, FALSE, "replace", 0, 0, "replace|none",
    "replace: order workers in place of lost ones, if duties.names has scaling; none: never order workers" },
  QUINCE_STOP_SETTINGS,
  QUINCE_QUARANTINE_SETTINGS,
  QUINCE_WARMUP_SETTINGS,
  QUINCE_POLICY_SETTINGS,
  QUINCE_LIMITS_SETTINGS ("270", "8200"),
  QUINCE_LOG_SETTINGS,
};
/* clang-format on */
const gsize quince_replica_n_setting_specs = G_N_ELEMENTS (quince_replica_setting_specs);
