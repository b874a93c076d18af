/*
 * share-table.h: which names (of tenants, routes, zones or models) have their own label in the metrics.
 *
 * At most @labels_max names have one; all others count under QUINCE_SHARE_OTHER.  Free labels go to the first
 * names that are used.  After that, a name takes the label of the least active one if it is clearly more
 * active, so that a burst of a usually quiet tenant becomes visible.  Activity is the number of uses; it is
 * halved every QUINCE_SHARE_HALVING_US.
 *
 * The table remembers at most QUINCE_SHARE_CANDIDATES_PER_LABEL names for each label.  A name with uses in
 * progress is never forgotten.  Pure: time is an argument, monotonic, us.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

/* Maximum number of names with their own label, per kind of name: enough for the trainers, routes and zones
 * of the largest deployment, and for the tenants that cause most of its load. */
#define QUINCE_SHARE_LABELS_MAX 32
/* Label of all names without their own. */
#define QUINCE_SHARE_OTHER "other"
/* Names remembered for each label: bounds the memory where callers have many names. */
#define QUINCE_SHARE_CANDIDATES_PER_LABEL 4
/* Interval at which the activity of all names is halved, us. */
#define QUINCE_SHARE_HALVING_US (60 * (gint64)G_USEC_PER_SEC)
/* A name without a label needs this many times the activity of the least active labelled name, plus
 * QUINCE_SHARE_TAKEOVER_USES, to take its label.  Keeps labels from alternating between equal names. */
#define QUINCE_SHARE_TAKEOVER_FACTOR 2
#define QUINCE_SHARE_TAKEOVER_USES 8

typedef struct _QuinceShareTable QuinceShareTable;
/* A name in the table. */
typedef struct _QuinceShare QuinceShare;

QuinceShareTable *quince_share_table_new (guint labels_max);
void quince_share_table_free (QuinceShareTable *table);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceShareTable, quince_share_table_free)

/**
 * quince_share_table_begin:
 * @demoted: (out) (transfer full): the name that lost its label to @name, or %NULL
 *
 * Records one use of @name, which is in progress until quince_share_end().
 *
 * Returns: (transfer none): the share of @name; valid until quince_share_end()
 */
QuinceShare *
quince_share_table_begin (QuinceShareTable *table, const char *name, gint64 now_us, char **demoted);
/* Ends a use that quince_share_table_begin() recorded. */
void quince_share_end (QuinceShare *share);
/* Returns: (transfer none): the label under which @share counts now */
const char *quince_share_get_label (const QuinceShare *share);
/* Returns: (transfer none): the label under which @name counts now; does not record a use */
const char *quince_share_table_find_label (const QuinceShareTable *table, const char *name);
/* Returns whether a name without its own label was used. */
gboolean quince_share_table_has_other (const QuinceShareTable *table);
/* Calls @function for each label, including QUINCE_SHARE_OTHER once a name without its own label was used.
 * @in_progress: number of uses in progress of its names */
void quince_share_table_foreach (const QuinceShareTable *table,
                                 void (*function) (const char *label, guint in_progress, gpointer user_data),
                                 gpointer user_data);

G_END_DECLS
