/*
 * topology-settings.h: where this process and the workers are, from the settings of the process.
 *
 * For: the main program of each daemon.  Owns nothing.
 */
#pragma once

#include "core/routing/topology.h"
#include "runtime/settings.h"

G_BEGIN_DECLS

/* (transfer full) (nullable): from section "node", keys "zone", "region" and "zones"; %NULL with @error where
 * they contradict each other */
QuinceTopology *quince_topology_new_from_settings (const QuinceSettings *settings, GError **error);

G_END_DECLS
