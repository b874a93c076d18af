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
  QUINCE_META_ERROR_UNAVAILABLE, /* the store did nothing                                     */
  QUINCE_META_ERROR_UNKNOWN,     /* no answer: the change may be made, now or seconds later    */
  QUINCE_META_ERROR_CONFLICT,    /* a condition does not hold                                 */
  QUINCE_META_ERROR_GONE,        /* no such item or lease, or the store dropped that history  */
  QUINCE_META_ERROR_MALFORMED,   /* the answer cannot be decoded                              */
} QuinceMetaError;

/* A key as it was written or removed. */
typedef struct
{
  char *key;
  GBytes *value;    /* NULL: removed */
  guint64 revision; /* of the store, at this change */
} QuinceMetaItem;

void quince_meta_item_free (QuinceMetaItem *item);

/* Items from one read of a prefix. */
typedef struct
{
  GPtrArray *items;         /* owned QuinceMetaItem */
  gboolean more;            /* another page follows the last key */
  guint64 after;            /* the items hold all changes after this revision; 0: the whole prefix */
  guint64 revision;         /* of the store, at this answer */
  gboolean may_have_lapsed; /* page from another process: keys may have expired during a store outage there */
} QuinceMetaPage;

void quince_meta_page_free (QuinceMetaPage *page);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceMetaPage, quince_meta_page_free)

G_END_DECLS
