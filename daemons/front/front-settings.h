/*
 * front-settings.h: the settings of quinceroute-front, printed by --help-settings.
 */
#pragma once

#include "runtime/settings.h"

extern const QuinceSettingSpec quince_front_setting_specs[];
extern const gsize quince_front_n_setting_specs;
