/*
 * agent-settings.h: the settings of quinceroute-agent.
 */
#pragma once

#include <quince/settings.h>

extern const QuinceSettingSpec quince_agent_setting_specs[];
extern const gsize quince_agent_n_setting_specs;
