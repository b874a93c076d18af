/*
 * model-homes.c: which model each worker serves.
 */
#include <quince/model-homes.h>

#include <math.h>

#define HALF_LIFE_US (12 * G_USEC_PER_SEC)
#define MOVE_EVERY_US (2 * G_USEC_PER_SEC)
/* A worker moves when a model lacks this much of one, and another has that much too many. */
#define LACK_LEAST 0.6
#define SURPLUS_LEAST 0.4
/* Every model has this many workers where there are enough: one may be slow or lost. */
#define EACH_LEAST 2

typedef struct
{
  double tokens;
  gint64 at_us;
} Demand;

struct _QuinceModelHomes
{
  GHashTable *demand; /* Demand by model, owned */
  GHashTable *homes;  /* worker id to model name */
  gint64 move_after_us;
};

/* One model while homes are dealt out. */
typedef struct
{
  const char *model;
  double ideal;
  guint count;
} Share;

QuinceModelHomes *
quince_model_homes_new (void)
{
  QuinceModelHomes *homes = g_new0 (QuinceModelHomes, 1);
  homes->demand = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  homes->homes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return homes;
}

void
quince_model_homes_free (QuinceModelHomes *homes)
{
  if (homes == NULL)
    return;
  g_hash_table_unref (homes->demand);
  g_hash_table_unref (homes->homes);
  g_free (homes);
}

static double
demand_of (QuinceModelHomes *homes, gint64 now_us, const char *model)
{
  const Demand *demand = g_hash_table_lookup (homes->demand, model);
  return demand != NULL ? demand->tokens * exp2 (-(double)(now_us - demand->at_us) / HALF_LIFE_US) : 0;
}

void
quince_model_homes_add_demand (QuinceModelHomes *homes, gint64 now_us, const char *model, double tokens)
{
  Demand next = { .tokens = demand_of (homes, now_us, model) + tokens, .at_us = now_us };
  g_hash_table_replace (homes->demand, g_strdup (model), g_memdup2 (&next, sizeof next));
}

const char *
quince_model_homes_get (QuinceModelHomes *homes, const char *worker)
{
  return g_hash_table_lookup (homes->homes, worker);
}

/* ---- Shares ----------------------------------------------------------- */

/* Workers that each model should have, by its part of the demand. */
static void
find_ideals (QuinceModelHomes *homes, gint64 now_us, GArray *shares, guint n_workers)
{
  double total = 0;
  for (guint i = 0; i < shares->len; i++)
    total += demand_of (homes, now_us, g_array_index (shares, Share, i).model);
  guint least = n_workers >= EACH_LEAST * shares->len ? EACH_LEAST : 1;
  double rest = (double)n_workers - (double)least * shares->len;
  for (guint i = 0; i < shares->len; i++)
    {
      Share *share = &g_array_index (shares, Share, i);
      double part = total > 0 ? demand_of (homes, now_us, share->model) / total : 1.0 / shares->len;
      share->ideal = MAX (part * n_workers, least);
    }
  /* What the least shares take, the others give up in proportion. */
  double above = 0;
  for (guint i = 0; i < shares->len; i++)
    above += g_array_index (shares, Share, i).ideal - least;
  for (guint i = 0; i < shares->len && above > 0 && rest >= 0; i++)
    {
      Share *share = &g_array_index (shares, Share, i);
      share->ideal = least + (share->ideal - least) * rest / above;
    }
}

static Share *
share_of (GArray *shares, const char *model)
{
  for (guint i = 0; i < shares->len; i++)
    if (g_strcmp0 (g_array_index (shares, Share, i).model, model) == 0)
      return &g_array_index (shares, Share, i);
  return NULL;
}

static Share *
most_lacking (GArray *shares)
{
  Share *found = NULL;
  for (guint i = 0; i < shares->len; i++)
    {
      Share *share = &g_array_index (shares, Share, i);
      if (found == NULL || share->ideal - share->count > found->ideal - found->count)
        found = share;
    }
  return found;
}

static Share *
most_surplus (GArray *shares)
{
  Share *found = NULL;
  for (guint i = 0; i < shares->len; i++)
    {
      Share *share = &g_array_index (shares, Share, i);
      if (found == NULL || share->count - share->ideal > found->count - found->ideal)
        found = share;
    }
  return found;
}

/* ---- Homes ------------------------------------------------------------ */

static void
set_home (QuinceModelHomes *homes, const char *worker, Share *share)
{
  g_hash_table_replace (homes->homes, g_strdup (worker), g_strdup (share->model));
  share->count++;
}

static void
move_one (QuinceModelHomes *homes, gint64 now_us, GArray *shares, const GPtrArray *workers)
{
  Share *to = most_lacking (shares);
  Share *from = most_surplus (shares);
  if (now_us < homes->move_after_us || to->ideal - to->count < LACK_LEAST
      || from->count - from->ideal < SURPLUS_LEAST)
    return;
  for (guint i = 0; i < workers->len; i++)
    {
      const char *worker = workers->pdata[i];
      if (g_strcmp0 (quince_model_homes_get (homes, worker), from->model) != 0)
        continue;
      set_home (homes, worker, to);
      homes->move_after_us = now_us + MOVE_EVERY_US;
      return;
    }
}

void
quince_model_homes_assign (QuinceModelHomes *homes,
                           gint64 now_us,
                           const GPtrArray *models,
                           const GPtrArray *workers)
{
  if (models->len == 0)
    return;
  g_autoptr (GArray) shares = g_array_new (FALSE, FALSE, sizeof (Share));
  for (guint i = 0; i < models->len; i++)
    {
      const Share share = { .model = models->pdata[i] };
      g_array_append_val (shares, share);
    }
  for (guint i = 0; i < workers->len; i++)
    {
      Share *share = share_of (shares, quince_model_homes_get (homes, workers->pdata[i]));
      if (share != NULL)
        share->count++;
    }
  find_ideals (homes, now_us, shares, workers->len);
  for (guint i = 0; i < workers->len; i++)
    if (share_of (shares, quince_model_homes_get (homes, workers->pdata[i])) == NULL)
      set_home (homes, workers->pdata[i], most_lacking (shares));
  move_one (homes, now_us, shares, workers);
}
