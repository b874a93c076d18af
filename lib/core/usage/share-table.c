/*
 * share-table.c: which names have their own label in the metrics; see share-table.h.
 */
#include "core/usage/share-table.h"

/* Right shifts of a guint by more than this are undefined; the activity is 0 by then. */
#define ACTIVITY_BITS 31

struct _QuinceShare
{
  char *name;
  guint activity; /* uses, halved every QUINCE_SHARE_HALVING_US */
  guint in_progress;
  gboolean labelled;
};

struct _QuinceShareTable
{
  GHashTable *shares; /* QuinceShare by name, owned */
  QuinceShare other;  /* names that the table does not remember; never labelled */
  gboolean has_other; /* a name without its own label was used */
  guint labels_max;
  guint labels;
  gint64 halved_us; /* last time that activities were halved */
};

static void
share_free (gpointer data)
{
  QuinceShare *share = data;
  g_free (share->name);
  g_free (share);
}

QuinceShareTable *
quince_share_table_new (guint labels_max)
{
  QuinceShareTable *table = g_new0 (QuinceShareTable, 1);
  table->shares = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, share_free);
  table->labels_max = labels_max;
  return table;
}

void
quince_share_table_free (QuinceShareTable *table)
{
  if (table == NULL)
    return;
  g_hash_table_unref (table->shares);
  g_free (table);
}

static void
halve_activities (QuinceShareTable *table, gint64 now_us)
{
  if (table->halved_us == 0)
    table->halved_us = now_us;
  gint64 intervals = (now_us - table->halved_us) / QUINCE_SHARE_HALVING_US;
  if (intervals <= 0)
    return;
  table->halved_us += intervals * QUINCE_SHARE_HALVING_US;
  GHashTableIter iter;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, table->shares);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((QuinceShare *)value)->activity >>= MIN (intervals, ACTIVITY_BITS);
}

/* Returns the least active share: of those with a label, or of those without one and without uses in
 * progress.  %NULL: there is none */
static QuinceShare *
find_least_active (const QuinceShareTable *table, gboolean labelled)
{
  QuinceShare *least = NULL;
  GHashTableIter iter;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, table->shares);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      QuinceShare *share = value;
      if (share->labelled == labelled && (labelled || share->in_progress == 0)
          && (least == NULL || share->activity < least->activity))
        least = share;
    }
  return least;
}

/* Returns the share of @name, or NULL if the table is full of names with labels or uses in progress. */
static QuinceShare *
find_or_add (QuinceShareTable *table, const char *name)
{
  QuinceShare *share = g_hash_table_lookup (table->shares, name);
  if (share != NULL)
    return share;
  if (g_hash_table_size (table->shares) >= table->labels_max * QUINCE_SHARE_CANDIDATES_PER_LABEL)
    {
      const QuinceShare *least = find_least_active (table, FALSE);
      if (least == NULL)
        return NULL;
      g_hash_table_remove (table->shares, least->name);
    }
  share = g_new0 (QuinceShare, 1);
  share->name = g_strdup (name);
  g_hash_table_insert (table->shares, share->name, share);
  return share;
}

/* Gives @share a label if one is free, or if it is clearly more active than the least active share with one.
 * @demoted: set to the name that lost its label; unchanged if none did */
static void
claim_label (QuinceShareTable *table, QuinceShare *share, char **demoted)
{
  if (table->labels < table->labels_max)
    {
      table->labels++;
      share->labelled = TRUE;
      return;
    }
  QuinceShare *least = find_least_active (table, TRUE);
  if (least == NULL
      || share->activity < QUINCE_SHARE_TAKEOVER_FACTOR * least->activity + QUINCE_SHARE_TAKEOVER_USES)
    return;
  least->labelled = FALSE;
  share->labelled = TRUE;
  *demoted = g_strdup (least->name);
}

QuinceShare *
quince_share_table_begin (QuinceShareTable *table, const char *name, gint64 now_us, char **demoted)
{
  *demoted = NULL;
  halve_activities (table, now_us);
  /* A name that equals the common label counts under it. */
  QuinceShare *share = g_str_equal (name, QUINCE_SHARE_OTHER) ? NULL : find_or_add (table, name);
  if (share == NULL)
    share = &table->other;
  else
    {
      share->activity++;
      if (!share->labelled)
        claim_label (table, share, demoted);
    }
  share->in_progress++;
  table->has_other = table->has_other || !share->labelled || *demoted != NULL;
  return share;
}

void
quince_share_end (QuinceShare *share)
{
  share->in_progress--;
}

const char *
quince_share_get_label (const QuinceShare *share)
{
  return share->labelled ? share->name : QUINCE_SHARE_OTHER;
}

const char *
quince_share_table_find_label (const QuinceShareTable *table, const char *name)
{
  const QuinceShare *share = g_hash_table_lookup (table->shares, name);
  return share != NULL ? quince_share_get_label (share) : QUINCE_SHARE_OTHER;
}

gboolean
quince_share_table_has_other (const QuinceShareTable *table)
{
  return table->has_other;
}

void
quince_share_table_foreach (const QuinceShareTable *table,
                            void (*function) (const char *label, guint in_progress, gpointer user_data),
                            gpointer user_data)
{
  guint other = table->other.in_progress;
  GHashTableIter iter;
  gpointer value = NULL;
  g_hash_table_iter_init (&iter, table->shares);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const QuinceShare *share = value;
      if (share->labelled)
        function (share->name, share->in_progress, user_data);
      else
        other += share->in_progress;
    }
  if (table->has_other)
    function (QUINCE_SHARE_OTHER, other, user_data);
}
