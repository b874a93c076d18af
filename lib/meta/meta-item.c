/*
 * meta-item.c: items and pages of the metadata store.
 */
#include "meta/meta-item.h"

G_DEFINE_QUARK (quince - meta - error - quark, quince_meta_error)

void
quince_meta_item_free (QuinceMetaItem *item)
{
  g_free (item->key);
  g_clear_pointer (&item->value, g_bytes_unref);
  g_free (item);
}

void
quince_meta_page_free (QuinceMetaPage *page)
{
  if (page == NULL)
    return;
  g_ptr_array_unref (page->items);
  g_free (page);
}
