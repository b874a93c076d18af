/*
 * load-turns.c: shares concurrent loads of weights fairly among models.
 */
#include "core/weights/load-turns.h"

typedef struct
{
  guint64 versions_behind;
  guint running_samples;
  gpointer worker;
} Candidate;

typedef struct
{
  char *name;
  guint workers;      /* all workers assigned to the model */
  guint up_to_date;   /* how many of workers have the newest version or are loading it */
  GArray *candidates; /* Candidate */
  gboolean sorted;    /* candidates are in ascending order of priority */
} Model;

struct _QuinceLoadTurns
{
  GPtrArray *models; /* Model, owned; searched linearly, since a service has few models */
};

static void
model_free (gpointer data)
{
  Model *model = data;
  g_free (model->name);
  g_array_unref (model->candidates);
  g_free (model);
}

QuinceLoadTurns *
quince_load_turns_new (void)
{
  QuinceLoadTurns *turns = g_new0 (QuinceLoadTurns, 1);
  turns->models = g_ptr_array_new_with_free_func (model_free);
  return turns;
}

void
quince_load_turns_free (QuinceLoadTurns *turns)
{
  if (turns == NULL)
    return;
  g_ptr_array_unref (turns->models);
  g_free (turns);
}

static Model *
find_model (QuinceLoadTurns *turns, const char *name)
{
  for (guint i = 0; i < turns->models->len; i++)
    if (g_str_equal (((const Model *)turns->models->pdata[i])->name, name))
      return turns->models->pdata[i];
  Model *model = g_new0 (Model, 1);
  model->name = g_strdup (name);
  model->candidates = g_array_new (FALSE, FALSE, sizeof (Candidate));
  g_ptr_array_add (turns->models, model);
  return model;
}

void
quince_load_turns_count_worker (QuinceLoadTurns *turns, const char *model, gboolean up_to_date)
{
  Model *found = find_model (turns, model);
  found->workers++;
  found->up_to_date += up_to_date;
}

void
quince_load_turns_add_candidate (QuinceLoadTurns *turns,
                                 const char *model,
                                 guint64 versions_behind,
                                 guint running_samples,
                                 gpointer worker)
{
  Model *found = find_model (turns, model);
  const Candidate added = { versions_behind, running_samples, worker };
  g_array_append_val (found->candidates, added);
  found->sorted = FALSE;
}

/* Sorts in ascending order of priority, so that the next worker can be taken from the end. */
static gint
compare_priority (gconstpointer a, gconstpointer b)
{
  const Candidate *first = a;
  const Candidate *second = b;
  if (first->versions_behind != second->versions_behind)
    return first->versions_behind < second->versions_behind ? -1 : 1;
  return (first->running_samples < second->running_samples)
         - (first->running_samples > second->running_samples);
}

static double
get_up_to_date_share (const Model *model)
{
  return (double)model->up_to_date / MAX (model->workers, 1);
}

gpointer
quince_load_turns_next (QuinceLoadTurns *turns)
{
  Model *next = NULL;
  for (guint i = 0; i < turns->models->len; i++)
    {
      Model *model = turns->models->pdata[i];
      if (model->candidates->len > 0
          && (next == NULL || get_up_to_date_share (model) < get_up_to_date_share (next)))
        next = model;
    }
  if (next == NULL)
    return NULL;
  if (!next->sorted)
    g_array_sort (next->candidates, compare_priority);
  next->sorted = TRUE;
  const Candidate *last = &g_array_index (next->candidates, Candidate, next->candidates->len - 1);
  gpointer worker = last->worker;
  g_array_set_size (next->candidates, next->candidates->len - 1);
  next->up_to_date++;
  return worker;
}
