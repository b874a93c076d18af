/*
 * progress-selection.c: further copies of the texts of running samples.
 */
#include "core/batches/progress-selection.h"

/* Minimum time to generate a text again, us, for a further copy of it: the time that a copy of a shorter text
 * saves is not worth its bytes between zones. */
#define TEXT_WORTH_MIN_US (1000 * 1000)
/* Minimum time that an offered text must save to stop a run, us.  A new run costs about 150 ms; the rest
 * covers an error of the pace (sample-move.c uses the same gain). */
#define OFFER_GAIN_MIN_US (500 * 1000)
/* Assumed time between two events while none is measured, us: workers need 40 to 60 ms per event. */
#define PACE_ASSUMED_US (45 * 1000)

static double
get_duration_us (double events, gint64 pace_us)
{
  return events * (double)(pace_us > 0 ? pace_us : PACE_ASSUMED_US);
}

/* ---- Texts of a report -------------------------------------------------- */

static gboolean
is_worth_sending (const QuinceProgressCandidate *candidate)
{
  if (candidate->events <= candidate->sent_events)
    return FALSE;
  return candidate->sent_events > 0
         || get_duration_us ((double)candidate->events, candidate->pace_us) >= TEXT_WORTH_MIN_US;
}

/* Sorts by the remaining time, shortest first, then by index. */
static gint
compare_remaining_time (gconstpointer a, gconstpointer b, gpointer data)
{
  const QuinceProgressCandidate *candidates = data;
  guint first = *(const guint *)a;
  guint second = *(const guint *)b;
  double first_us = get_duration_us (candidates[first].remaining_events, candidates[first].pace_us);
  double second_us = get_duration_us (candidates[second].remaining_events, candidates[second].pace_us);
  if (first_us != second_us)
    return first_us < second_us ? -1 : 1;
  return first < second ? -1 : first > second;
}

void
quince_progress_select_texts (const QuinceProgressCandidate *candidates, guint n_candidates, GArray *selected)
{
  g_autoptr (GArray) order = g_array_new (FALSE, FALSE, sizeof (guint));
  for (guint i = 0; i < n_candidates; i++)
    if (is_worth_sending (&candidates[i]))
      g_array_append_val (order, i);
  g_array_sort_with_data (order, compare_remaining_time, (gpointer)candidates);
  gsize bytes = 0;
  g_array_set_size (selected, 0);
  for (guint i = 0; i < order->len; i++)
    {
      guint index = g_array_index (order, guint, i);
      if (candidates[index].bytes > QUINCE_PROGRESS_REPORT_MAX_BYTES - bytes)
        continue;
      bytes += candidates[index].bytes;
      g_array_append_val (selected, index);
    }
}

/* ---- Further backups ---------------------------------------------------- */

typedef struct
{
  const QuinceProgressBackup *backups;
  guint n_backups;
  const char *leader_zone;
  const char *successor_zone;
  guint64 *chosen;
  guint n_copies;
} BackupChoice;

/* Returns: (nullable): the available backup @replica */
static const QuinceProgressBackup *
find_backup (const BackupChoice *choice, guint64 replica)
{
  for (guint i = 0; replica != 0 && i < choice->n_backups; i++)
    if (choice->backups[i].replica == replica)
      return &choice->backups[i];
  return NULL;
}

static gboolean
is_chosen (const BackupChoice *choice, guint64 replica)
{
  for (guint i = 0; i < choice->n_copies; i++)
    if (choice->chosen[i] == replica)
      return TRUE;
  return FALSE;
}

/* Returns whether the leader or the successor may be in the same zone.  An unknown zone counts as shared. */
static gboolean
shares_zone (const BackupChoice *choice, const QuinceProgressBackup *backup)
{
  return backup->zone == NULL || g_strcmp0 (backup->zone, choice->leader_zone) == 0
         || g_strcmp0 (backup->zone, choice->successor_zone) == 0;
}

static guint
count_chosen_in_zone (const BackupChoice *choice, const char *zone)
{
  guint count = 0;
  for (guint i = 0; i < choice->n_copies; i++)
    {
      const QuinceProgressBackup *backup = find_backup (choice, choice->chosen[i]);
      count += backup != NULL && g_strcmp0 (backup->zone, zone) == 0;
    }
  return count;
}

static gboolean
is_better (const BackupChoice *choice, const QuinceProgressBackup *first, const QuinceProgressBackup *second)
{
  if (shares_zone (choice, first) != shares_zone (choice, second))
    return !shares_zone (choice, first);
  return count_chosen_in_zone (choice, first->zone) < count_chosen_in_zone (choice, second->zone);
}

/* Returns: (nullable): the best backup that holds no copy yet */
static const QuinceProgressBackup *
find_best (const BackupChoice *choice)
{
  const QuinceProgressBackup *best = NULL;
  for (guint i = 0; i < choice->n_backups; i++)
    {
      const QuinceProgressBackup *backup = &choice->backups[i];
      if (!is_chosen (choice, backup->replica) && (best == NULL || is_better (choice, backup, best)))
        best = backup;
    }
  return best;
}

void
quince_progress_choose_backups (const QuinceProgressBackup *backups,
                                guint n_backups,
                                const char *leader_zone,
                                const char *successor_zone,
                                guint64 *chosen,
                                guint n_copies)
{
  const BackupChoice choice = { backups, n_backups, leader_zone, successor_zone, chosen, n_copies };
  for (guint i = 0; i < n_copies; i++)
    if (find_backup (&choice, chosen[i]) == NULL)
      chosen[i] = 0;
  for (guint i = 0; i < n_copies; i++)
    {
      const QuinceProgressBackup *current = find_backup (&choice, chosen[i]);
      const QuinceProgressBackup *best = find_best (&choice);
      gboolean is_improvement
          = current != NULL && best != NULL && shares_zone (&choice, current) && !shares_zone (&choice, best);
      if (best != NULL && (current == NULL || is_improvement))
        chosen[i] = best->replica;
    }
}

/* ---- Offers to a new leader --------------------------------------------- */

gboolean
quince_progress_may_resume (const guint64 *versions,
                            guint n_versions,
                            guint64 minimum_version,
                            gboolean single_version)
{
  for (guint i = 0; i < n_versions; i++)
    if (versions[i] < minimum_version)
      return FALSE;
  return n_versions == 1 || (n_versions > 1 && !single_version);
}

gboolean
quince_progress_replaces_run (guint64 own_events, guint64 offered_events, gint64 pace_us)
{
  return offered_events > own_events
         && get_duration_us ((double)(offered_events - own_events), pace_us) >= OFFER_GAIN_MIN_US;
}

gboolean
quince_progress_is_complete (const QuinceProgressKnowledge *knowledge)
{
  return knowledge->received_all || knowledge->offered_members >= knowledge->other_members
         || (!knowledge->has_further_copies && knowledge->taken_texts > 0);
}
