/*
 * replica-settings.h: the table of settings of quinceroute-replica, printed by --help-settings.
 */
#pragma once

#include "runtime/settings.h"

extern const QuinceSettingSpec quince_replica_setting_specs[];
extern const gsize quince_replica_n_setting_specs;
