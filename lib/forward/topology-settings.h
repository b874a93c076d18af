/*
 * topology-settings.h: reads the zones and regions of this process and the workers from its settings.
 */
#pragma once

#include "core/routing/topology.h"
#include "runtime/settings.h"

G_BEGIN_DECLS

/* Reads the keys "zone", "region" and "zones" of section "node".  Returns: (transfer full) (nullable): the
 * topology, or %NULL with @error if "zones" is malformed, or if "region" is set and differs from the region
 * that "zones" gives for "zone" */
QuinceTopology *quince_topology_new_from_settings (const QuinceSettings *settings, GError **error);

G_END_DECLS
