/*
 * meta-item.h: items, pages of items and errors that calls to the metadata store return.
 *
 * Plain data.  An item owns its key and its value, a page owns its items.
 */
#pragma once

#include <gio/gio.h>

G_BEGIN_DECLS

#define QUINCE_META_ERROR (quince_meta_error_quark ())
GQuark quince_meta_error_quark (void);

typedef enum
{
  QUINCE_META_ERROR_UNAVAILABLE, /* not sent, or rejected with status 429 or 503 */
  QUINCE_META_ERROR_UNKNOWN,   /* no usable answer: a change may have been applied or may still be applied */
  QUINCE_META_ERROR_CONFLICT,  /* a key does not have the expected revision */
  QUINCE_META_ERROR_GONE,      /* no such item or lease, or the store has compacted the revision */
  QUINCE_META_ERROR_MALFORMED, /* never set: an answer that cannot be decoded has an error of the codec */
} QuinceMetaError;

/* A written or removed key. */
typedef struct
{
  char *key;
  GBytes *value;    /* NULL: the key was removed */
  guint64 revision; /* revision of the store at this change */
} QuinceMetaItem;

void quince_meta_item_free (QuinceMetaItem *item);

/* The items of one read of a prefix, or of one page from another process. */
typedef struct
{
  GPtrArray *items; /* owned QuinceMetaItem */
  gboolean more;    /* the list continues after the last key */
  guint64 after;    /* the items include all changes after this revision; 0: the whole prefix */
  guint64 revision; /* revision of the store at the time of the read */
  /* Set in a page from another process if leases may have expired during an outage of the store there. */
  gboolean may_have_lapsed;
} QuinceMetaPage;

void quince_meta_page_free (QuinceMetaPage *page);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceMetaPage, quince_meta_page_free)

G_END_DECLS
