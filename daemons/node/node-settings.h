/*
 * node-settings.h: the settings of quinceroute-node.
 */
#pragma once

#include <quince/settings.h>

extern const QuinceSettingSpec quince_node_setting_specs[];
extern const gsize quince_node_n_setting_specs;
