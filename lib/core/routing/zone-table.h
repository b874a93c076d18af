/*
 * zone-table.h: zones that the operator has evacuated: their workers get nothing until the zone is taken
 * back.
 *
 * Each word of the operator carries the store's revision, which only grows: an older one, told late by
 * another process, never undoes a newer one.
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
 * quince_zone_table_take:
 * @revision: of the store, at this change
 * @evacuated: %FALSE: the zone is taken back
 *
 * Returns: whether the zone's state changed
 */
gboolean quince_zone_table_take (QuinceZoneTable *table,
                                 gint64 now_us,
                                 const char *zone,
                                 guint64 revision,
                                 gboolean evacuated);
gboolean quince_zone_table_is_evacuated (const QuinceZoneTable *table, const char *zone);
/* Since when @zone is evacuated, as this process knows it; 0: it is not. */
gint64 quince_zone_table_get_evacuated_us (const QuinceZoneTable *table, const char *zone);
/* The part of new work that the workers of @zone get now, from 0 to 1: after a return it grows, since they
 * may have turned cold, and being the least loaded ones they would get all of it at once. */
double quince_zone_table_get_share (const QuinceZoneTable *table, gint64 now_us, const char *zone);
/* Some zone's share is less than 1. */
gboolean quince_zone_table_is_returning (const QuinceZoneTable *table, gint64 now_us);
guint quince_zone_table_get_n_evacuated (const QuinceZoneTable *table);
/* (transfer container): names of the evacuated zones, in order */
GPtrArray *quince_zone_table_list_evacuated (const QuinceZoneTable *table);

G_END_DECLS
