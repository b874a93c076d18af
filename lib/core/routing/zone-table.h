/*
 * zone-table.h: evacuated zones, whose workers get no requests until the zone is taken back.
 *
 * Each change carries the store's revision, which only grows: an older change that another process sends late
 * never undoes a newer one.
 *
 * Pure: time is an argument, in microseconds of one clock that counts suspensions too.
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
 * @revision: of the store, at this change
 * @evacuated: %FALSE: the zone is taken back
 *
 * Returns: whether the zone's state changed
 */
gboolean quince_zone_table_set_evacuated (QuinceZoneTable *table,
                                          gint64 now_us,
                                          const char *zone,
                                          guint64 revision,
                                          gboolean evacuated);
gboolean quince_zone_table_is_evacuated (const QuinceZoneTable *table, const char *zone);
/* When this process learned that @zone is evacuated, us; 0: it is not. */
gint64 quince_zone_table_get_evacuated_us (const QuinceZoneTable *table, const char *zone);
/* Share of new work that the workers of @zone get now, 0 to 1.  After a return it grows: these workers may
 * have turned cold, and as the least loaded ones they would get all new work at once. */
double quince_zone_table_get_share (const QuinceZoneTable *table, gint64 now_us, const char *zone);
/* A zone that was taken back has a share of less than 1. */
gboolean quince_zone_table_has_returning_zone (const QuinceZoneTable *table, gint64 now_us);
guint quince_zone_table_get_n_evacuated (const QuinceZoneTable *table);
/* (transfer container): names of the evacuated zones, in order */
GPtrArray *quince_zone_table_list_evacuated (const QuinceZoneTable *table);

G_END_DECLS
