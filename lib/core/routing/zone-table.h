/*
 * zone-table.h: evacuated zones, whose workers get no requests until the operator takes the zone back.
 *
 * Each change carries the revision of the metadata store, which only increases, so that a delayed older
 * change does not override a newer one.
 *
 * Pure: time is an argument, in microseconds of one monotonic clock that includes time in suspension.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

typedef struct _QuinceZoneTable QuinceZoneTable;

QuinceZoneTable *quince_zone_table_new (void);
void quince_zone_table_free (QuinceZoneTable *table);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceZoneTable, quince_zone_table_free)
/**
 * quince_zone_table_set_evacuated:
 * @revision: revision of the metadata store at this change; a change that is older than the last one of @zone
 *   is ignored
 * @evacuated: %TRUE: the zone is evacuated; %FALSE: it is taken back
 *
 * Returns: %TRUE if the state of the zone changed
 */
gboolean quince_zone_table_set_evacuated (QuinceZoneTable *table,
                                          gint64 now_us,
                                          const char *zone,
                                          guint64 revision,
                                          gboolean evacuated);
gboolean quince_zone_table_is_evacuated (const QuinceZoneTable *table, const char *zone);
/* Returns the time at which this process learned that @zone is evacuated, us, or 0 if it is not. */
gint64 quince_zone_table_get_evacuated_us (const QuinceZoneTable *table, const char *zone);
/* Returns the share of new work that the workers of @zone may get, 0 to 1.  It is 0 while the zone is
 * evacuated and ramps up from 0.25 to 1 in the 3 s after its return (slow start): the workers may be cold,
 * and as the least loaded ones they would otherwise get all new work. */
double quince_zone_table_get_share (const QuinceZoneTable *table, gint64 now_us, const char *zone);
/* Returns %TRUE if any zone was taken back within the last 3 s. */
gboolean quince_zone_table_has_returning_zone (const QuinceZoneTable *table, gint64 now_us);
guint quince_zone_table_get_n_evacuated (const QuinceZoneTable *table);
/* Returns: (transfer container) (element-type utf8): names of the evacuated zones, sorted; the table owns
 * them */
GPtrArray *quince_zone_table_list_evacuated (const QuinceZoneTable *table);

G_END_DECLS
