/*
 * meta-copy.h: the items of a prefix and the keys removed lately, so that another process can be sent just
 * the changes that it lacks.
 *
 * Pure state: no calls, no timers.  Owned by its mirror.
 */
#pragma once

#include "meta/meta-item.h"

typedef struct _QuinceMetaCopy QuinceMetaCopy;

/* @is_equivalent: (nullable): two values of a key mean the same */
QuinceMetaCopy *quince_meta_copy_new (gboolean (*is_equivalent) (GBytes *before, GBytes *after));
void quince_meta_copy_free (QuinceMetaCopy *copy);
/* Returns: whether @item changes the copy; one that is older, or means the same, does not */
gboolean quince_meta_copy_apply_item (QuinceMetaCopy *copy, const QuinceMetaItem *item);
/* The whole prefix was read at @revision and holds exactly the keys in @listed_keys.
 * Returns: (transfer full) (element-type QuinceMetaItem): the keys that were removed, without values */
GPtrArray *quince_meta_copy_remove_unlisted (QuinceMetaCopy *copy, guint64 revision, GHashTable *listed_keys);
/* (transfer full): the changes after revision @after_revision, as a page of @revision.
 * @whole: (out): the page is the whole prefix, since removals after @after_revision are not remembered any
 * more */
QuinceMetaPage *quince_meta_copy_get_changes_since (const QuinceMetaCopy *copy,
                                                    guint64 after_revision,
                                                    guint64 revision,
                                                    gboolean *whole);
