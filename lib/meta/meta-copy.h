/*
 * meta-copy.h: what a mirror holds of its prefix: the items that are there, and which went away lately, so
 * that another process can be told just what it lacks.
 */
#pragma once

#include "meta/meta-item.h"

typedef struct _QuinceMetaCopy QuinceMetaCopy;

/* @same: (nullable): two values of a key that say the same */
QuinceMetaCopy *quince_meta_copy_new (gboolean (*same) (GBytes *before, GBytes *after));
void quince_meta_copy_free (QuinceMetaCopy *copy);
/* Returns: whether @item is news; what is older than what is held, or says the same, is not */
gboolean quince_meta_copy_take (QuinceMetaCopy *copy, const QuinceMetaItem *item);
/* The whole prefix was read at @revision, and holds just the keys in @listed.
 * Returns: (transfer full): the items that are gone, QuinceMetaItem, owned */
GPtrArray *quince_meta_copy_take_list (QuinceMetaCopy *copy, guint64 revision, GHashTable *listed);
/* What one lacks that has all up to @after.  Sets the page's revision to @revision.
 * @whole: (out): it is told all there is, since what went away meanwhile is not known any more */
QuinceMetaPage *
quince_meta_copy_since (const QuinceMetaCopy *copy, guint64 after, guint64 revision, gboolean *whole);
