/*
 * topology-settings.c: reads the zones and regions of this process and the workers from its settings.
 */
#include "forward/topology-settings.h"

QuinceTopology *
quince_topology_new_from_settings (const QuinceSettings *settings, GError **error)
{
  g_autoptr (QuinceTopology) topology
      = quince_topology_new (quince_settings_get_text (settings, "node", "zone"),
                             quince_settings_get_text (settings, "node", "region"));
  const char *zones = quince_settings_get_text (settings, "node", "zones");
  if (*zones != '\0' && !quince_topology_add_zones (topology, zones, error))
    return NULL;
  const char *listed_region = quince_topology_get_region (topology, quince_topology_get_own_zone (topology));
  const char *own_region = quince_topology_get_own_region (topology);
  if (*own_region != '\0' && g_strcmp0 (listed_region, own_region) != 0)
    {
      g_set_error (error, QUINCE_TOPOLOGY_ERROR, QUINCE_TOPOLOGY_ERROR_INVALID,
                   "the zone of this process is listed in region '%s', but its region is '%s'", listed_region,
                   own_region);
      return NULL;
    }
  return g_steal_pointer (&topology);
}
