/*
 * meta-copy.h: the items of a prefix and its latest removed keys.
 *
 * From these a mirror computes the changes that another process has missed.  The copy makes no calls and has
 * no timers.  Its mirror owns it.
 */
#pragma once

#include "meta/meta-item.h"

typedef struct _QuinceMetaCopy QuinceMetaCopy;

/* @is_equivalent: (nullable): returns whether two values of a key have the same meaning */
QuinceMetaCopy *quince_meta_copy_new (gboolean (*is_equivalent) (GBytes *before, GBytes *after));
void quince_meta_copy_free (QuinceMetaCopy *copy);
/* Applies a written or removed key.  Returns %TRUE if the copy changed, or %FALSE if @item is not newer than
 * the copied item, has an equivalent value, or removes an unknown key. */
gboolean quince_meta_copy_apply_item (QuinceMetaCopy *copy, const QuinceMetaItem *item);
/* Removes all keys that are not in @listed_keys, the set of keys that a read of the whole prefix returned.
 * @revision: revision of that read
 * Returns: (transfer full) (element-type QuinceMetaItem): the removed keys, without values */
GPtrArray *quince_meta_copy_remove_unlisted (QuinceMetaCopy *copy, guint64 revision, GHashTable *listed_keys);
/* Returns: (transfer full): the changes after @after_revision, as a page of @revision.
 * @whole: (out): the page holds the whole prefix, because @after_revision is 0 or newer than @revision, or
 * because the copy no longer has all removals after it */
QuinceMetaPage *quince_meta_copy_get_changes_since (const QuinceMetaCopy *copy,
                                                    guint64 after_revision,
                                                    guint64 revision,
                                                    gboolean *whole);
