/*
 * meta-item.h: what calls to the metadata store return: items, pages of items, and errors.
 *
 * Plain data, without state or sockets; each value is owned by the one who holds it.
 */
#pragma once

#include <gio/gio.h>

G_BEGIN_DECLS

#define QUINCE_META_ERROR (quince_meta_error_quark ())
GQuark quince_meta_error_quark (void);

typedef enum
{
  QUINCE_META_ERROR_UNAVAILABLE, /* nothing was done                                  */
  QUINCE_META_ERROR_UNKNOWN,     /* no answer: may be done, now or some seconds later */
  QUINCE_META_ERROR_CONFLICT,    /* a condition does not hold                         */
  QUINCE_META_ERROR_GONE,        /* no such item or lease, or history that is dropped */
  QUINCE_META_ERROR_MALFORMED,   /* an answer that cannot be read                     */
} QuinceMetaError;

typedef struct
{
  char *key;
  GBytes *value; /* NULL: removed */
  guint64 revision;
} QuinceMetaItem;

void quince_meta_item_free (QuinceMetaItem *item);

typedef struct
{
  GPtrArray *items;         /* owned QuinceMetaItem */
  gboolean more;            /* another page follows the last key */
  guint64 after;            /* all changes since this revision are among the items; 0: all there is */
  guint64 revision;         /* of the store, at this answer */
  gboolean may_have_lapsed; /* page from another process: keys may have expired during a store outage there */
} QuinceMetaPage;

void quince_meta_page_free (QuinceMetaPage *page);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceMetaPage, quince_meta_page_free)

G_END_DECLS
