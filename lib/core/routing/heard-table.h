/*
 * heard-table.h: which of the processes that the metadata store lists are still heard.
 *
 * A lease tells of a death only when it has run out, and an outage of the store keeps it alive; a link that
 * falls silent tells sooner.  Pure: the time is an argument.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

typedef struct _QuinceHeardTable QuinceHeardTable;

/* @silence_us: who is not heard for so long is silent */
QuinceHeardTable *quince_heard_table_new (gint64 silence_us);
void quince_heard_table_free (QuinceHeardTable *table);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceHeardTable, quince_heard_table_free)

/* The store lists @name, or does so no longer; that may be the store's own doing, so who vanished from its
 * list is judged for some seconds more. */
void
quince_heard_table_set_listed (QuinceHeardTable *table, gint64 now_us, const char *name, gboolean listed);
/* @name said something. */
void quince_heard_table_hear (QuinceHeardTable *table, gint64 now_us, const char *name);
/* This process begins to listen: nobody is silent before he had the time to say something. */
void quince_heard_table_restart (QuinceHeardTable *table, gint64 now_us);

gboolean quince_heard_table_is_heard (const QuinceHeardTable *table, gint64 now_us, const char *name);
/* Lets go of those that are long gone from the list, and silent. */
void quince_heard_table_forget (QuinceHeardTable *table, gint64 now_us);

/**
 * quince_heard_table_judge:
 * @silent: (out): names, owned by the table until it changes
 *
 * Returns: %FALSE when nothing can be said: this process listens too short a time, or hears so few that it is
 *   rather itself that is cut off
 */
gboolean quince_heard_table_judge (const QuinceHeardTable *table, gint64 now_us, GPtrArray *silent);

G_END_DECLS
