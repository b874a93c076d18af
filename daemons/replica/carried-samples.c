/*
 * carried-samples.c: texts that are kept for a later batch of the same samples.
 *
 * A step ends when enough groups are whole.  The groups that are not come back in a later batch, which waits
 * for them in any case, and their texts may be used there if their versions are new enough for it.  A text
 * that began with its batch mostly is too old by then.  So once a version is loaded that the later batch will
 * allow, the long samples of groups that the step likely ends without begin a second run under it, at places
 * that nothing else wants; it goes on when the step ends, and the later batch takes it over.
 *
 * Soft state of the leader: losing it costs tokens only.
 */
#include <string.h>

#include <quince/metrics.h>
#include <quince/sample-plan.h>
#include <quince/task.h>

#include "sample-runner-private.h"

/* Open steps are looked at so often: several looks fit into the second that a load of weights takes. */
#define LOOK_EVERY_US (200 * 1000)
/* Second runs begun at one look, which keeps what a wrong estimate costs small. */
#define BEGIN_AT_ONCE 6
/* A shorter text is made anew while the later step's other samples run: half of all have 20 events or less.
 */
#define EVENTS_LEAST 32
/* What is kept of an ended batch is released after it, if its samples have not come back: trainers submit
 * the step after next within seconds of a step's end. */
#define KEEP_US (8 * G_USEC_PER_SEC)
/* Before any sample came back: the next version that is named is taken to be new enough. */
#define LEAD_UNKNOWN 1
/* A whole text's reward call, in the estimate of a group's end. */
#define REWARD_US (50 * 1000)

/* A sample that is kept, with its run if there is one. */
typedef struct
{
  QuinceSample *sample; /* owned */
  gint64 until_us;      /* monotonic; 0: its batch is open */
} Kept;

/* A batch as it was when it was submitted. */
typedef struct
{
  QuinceBatchEntry *entry; /* not owned */
  guint64 newest_version;  /* that was named then; 0: not known */
  guint n_groups;
  guint *group_of;    /* by item, owned */
  gboolean *required; /* by group: it came back from an earlier batch; owned */
} Note;

/* Where a sample was seen last. */
typedef struct
{
  const Note *note; /* not owned */
  guint item;
} Origin;

struct _QuinceCarriedSamples
{
  GHashTable *kept;    /* Kept by item id, owned */
  GHashTable *notes;   /* Note by batch entry, owned */
  GHashTable *origins; /* Origin by item id, owned */
  GHashTable *leads;   /* gint64 by model, owned: versions from the newest at a sample's first submission to
                          the oldest allowed where it came back */
  gint64 look_after_us;
};

/* ---- Memory ------------------------------------------------------------- */

static void
kept_free (gpointer data)
{
  Kept *kept = data;
  if (kept->sample != NULL)
    quince_sample_free (kept->sample);
  g_free (kept);
}

static void
note_free (gpointer data)
{
  Note *note = data;
  g_free (note->group_of);
  g_free (note->required);
  g_free (note);
}

QuinceCarriedSamples *
quince_carried_samples_new (void)
{
  QuinceCarriedSamples *carried = g_new0 (QuinceCarriedSamples, 1);
  carried->kept = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, kept_free);
  carried->notes = g_hash_table_new_full (NULL, NULL, NULL, note_free);
  carried->origins = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  carried->leads = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return carried;
}

void
quince_carried_samples_free (QuinceCarriedSamples *carried)
{
  g_hash_table_unref (carried->kept);
  g_hash_table_unref (carried->origins);
  g_hash_table_unref (carried->notes);
  g_hash_table_unref (carried->leads);
  g_free (carried);
}

static void
count (const char *outcome)
{
  g_autofree char *labels = g_strdup_printf ("outcome=\"%s\"", outcome);
  quince_metric_add ("quince_replica_carried_samples_total", labels, 1);
}

static void
release (QuinceSampleRunner *runner, QuinceSample *sample)
{
  runner->running -= sample->state == QUINCE_SAMPLE_RUNNING;
  quince_sample_free (sample);
}

static gboolean
drop_kept (QuinceSampleRunner *runner, Kept *kept)
{
  count ("dropped");
  release (runner, g_steal_pointer (&kept->sample));
  return TRUE;
}

static void
insert_kept (QuinceSampleRunner *runner, QuinceSample *sample)
{
  Kept *kept = g_new0 (Kept, 1);
  kept->sample = sample;
  sample->carried = TRUE;
  g_hash_table_insert (runner->carried->kept, g_strdup (quince_sample_get_item (sample)->id), kept);
}

/* ---- Batches ------------------------------------------------------------ */

/* The oldest version that a batch in which the samples of @note come back will likely allow. */
static guint64
version_allowed_later (const QuinceCarriedSamples *carried, const Note *note)
{
  const gint64 *lead = g_hash_table_lookup (carried->leads, note->entry->batch->model);
  gint64 version = (gint64)note->newest_version + (lead != NULL ? *lead : LEAD_UNKNOWN);
  return (guint64)MAX (version, 1);
}

/* Numbers the groups of @note's batch. */
static void
number_groups (Note *note)
{
  const QuinceBatchJob *batch = note->entry->batch;
  g_autoptr (GHashTable) numbers = g_hash_table_new (g_str_hash, g_str_equal);
  note->group_of = g_new0 (guint, batch->items.items_len);
  for (guint i = 0; i < batch->items.items_len; i++)
    {
      const char *group = batch->items.items_val[i].group;
      gpointer number = NULL;
      if (*group == '\0' || !g_hash_table_lookup_extended (numbers, group, NULL, &number))
        {
          number = GUINT_TO_POINTER (note->n_groups++);
          g_hash_table_insert (numbers, (gpointer)group, number);
        }
      note->group_of[i] = GPOINTER_TO_UINT (number);
    }
  note->required = g_new0 (gboolean, note->n_groups);
}

/* A sample of @note came back from an earlier batch. */
static void
note_return (QuinceSampleRunner *runner, Note *note, guint item, const Origin *origin)
{
  quince_step_reports_came_back (runner->reports, note->entry);
  note->required[note->group_of[item]] = TRUE;
  if (origin->note->newest_version == 0)
    return;
  const QuinceBatchJob *batch = note->entry->batch;
  gint64 lead = (gint64)batch->minimum_version - (gint64)origin->note->newest_version;
  g_hash_table_replace (runner->carried->leads, g_strdup (batch->model), g_memdup2 (&lead, sizeof lead));
}

void
quince_carried_samples_note (QuinceSampleRunner *runner, QuinceBatchEntry *entry)
{
  QuinceCarriedSamples *carried = runner->carried;
  const QuinceBatchJob *batch = entry->batch;
  Note *note = g_new0 (Note, 1);
  note->entry = entry;
  /* Workers start at the first version, which nobody names. */
  if (!entry->ended)
    note->newest_version = MAX (quince_observer_get_version (runner->observer, batch->model), 1);
  number_groups (note);
  for (guint i = 0; i < batch->items.items_len; i++)
    {
      const char *id = batch->items.items_val[i].id;
      const Origin *before = g_hash_table_lookup (carried->origins, id);
      if (before != NULL)
        note_return (runner, note, i, before);
      const Origin origin = { note, i };
      g_hash_table_replace (carried->origins, g_strdup (id), g_memdup2 (&origin, sizeof origin));
    }
  g_hash_table_insert (carried->notes, entry, note);
}

static gboolean
is_of_note (gpointer key, gpointer value, gpointer data)
{
  return ((const Origin *)value)->note == data;
}

void
quince_carried_samples_forget (QuinceSampleRunner *runner, const QuinceBatchEntry *entry)
{
  QuinceCarriedSamples *carried = runner->carried;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, carried->kept);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((Kept *)value)->sample->entry == entry && drop_kept (runner, value))
      g_hash_table_iter_remove (&iter);
  Note *note = g_hash_table_lookup (carried->notes, entry);
  if (note == NULL)
    return;
  g_hash_table_foreach_remove (carried->origins, is_of_note, note);
  g_hash_table_remove (carried->notes, entry);
}

/* ---- A batch ends ------------------------------------------------------- */

void
quince_carried_samples_keep (QuinceSampleRunner *runner, QuinceSample *sample)
{
  QuinceCarriedSamples *carried = runner->carried;
  const Note *note = g_hash_table_lookup (carried->notes, sample->entry);
  gboolean has_second = g_hash_table_contains (carried->kept, quince_sample_get_item (sample)->id);
  if (note == NULL || has_second
      || !quince_sample_plan_fits (sample->versions, version_allowed_later (carried, note),
                                   sample->single_version))
    {
      release (runner, sample);
      return;
    }
  if (sample->reward != NULL)
    quince_forward_cancel (g_steal_pointer (&sample->reward));
  insert_kept (runner, sample);
}

/* ---- Samples come back -------------------------------------------------- */

static gboolean
same_request (const QuinceBatchItem *before, const QuinceBatchItem *now)
{
  if (!g_str_equal (before->path, now->path) || before->body.body_len != now->body.body_len
      || before->headers.headers_len != now->headers.headers_len
      || memcmp (before->body.body_val, now->body.body_val, now->body.body_len) != 0)
    return FALSE;
  for (guint i = 0; i < now->headers.headers_len; i++)
    if (!g_str_equal (before->headers.headers_val[i].name, now->headers.headers_val[i].name)
        || !g_str_equal (before->headers.headers_val[i].value, now->headers.headers_val[i].value))
      return FALSE;
  return TRUE;
}

static const QuinceBatchResult *
listed_result (const QuinceBatchEntry *entry, guint item)
{
  for (guint i = 0; i < entry->results->len; i++)
    if (((const QuinceBatchResult *)entry->results->pdata[i])->item == item)
      return entry->results->pdata[i];
  return NULL;
}

static void
copy_versions (const QuinceBatchResult *result, GArray *versions)
{
  for (guint i = 0; i < result->versions.versions_len; i++)
    {
      guint64 version = result->versions.versions_val[i];
      g_array_append_val (versions, version);
    }
}

/* A text that an earlier batch listed; its reward call is made again for this one. */
static QuinceSample *
take_listed (QuinceBatchEntry *entry, guint item, const Origin *origin, gboolean single_version)
{
  const QuinceBatchResult *result = listed_result (origin->note->entry, origin->item);
  if (result == NULL || result->abandoned)
    return NULL;
  QuinceSample *sample = quince_sample_new (entry, item);
  copy_versions (result, sample->versions);
  if (!quince_sample_plan_fits (sample->versions, entry->batch->minimum_version, single_version))
    {
      quince_sample_free (sample);
      return NULL;
    }
  g_string_append_len (sample->text, result->text.text_val, (gssize)result->text.text_len);
  sample->last_event = 1;
  for (guint i = 0; i < result->text.text_len; i++)
    sample->last_event += result->text.text_val[i] == '\n';
  sample->state = QUINCE_SAMPLE_SCORING;
  count ("taken_listed");
  return sample;
}

/* Nothing of the earlier batch holds for the sample any more, but for its text and its run. */
static QuinceSample *
take_kept (QuinceSampleRunner *runner,
           QuinceBatchEntry *entry,
           guint item,
           Kept *kept,
           gboolean single_version)
{
  QuinceSample *sample = g_steal_pointer (&kept->sample);
  if (!quince_sample_plan_fits (sample->versions, entry->batch->minimum_version, single_version))
    {
      count ("dropped");
      release (runner, sample);
      return NULL;
    }
  count (sample->state == QUINCE_SAMPLE_RUNNING   ? "taken_running"
         : sample->state == QUINCE_SAMPLE_SCORING ? "taken_whole"
                                                  : "taken_in_part");
  sample->entry = entry;
  sample->item = item;
  sample->carried = FALSE;
  sample->least_version = 0;
  sample->failures = 0;
  sample->hopeless = 0;
  sample->reward_failures = 0;
  sample->moves = 0;
  sample->not_before_us = 0;
  sample->told_event = 0;
  sample->told_bytes = 0;
  g_clear_pointer (&sample->avoid_worker, g_free);
  return sample;
}

QuinceSample *
quince_carried_samples_take (QuinceSampleRunner *runner, QuinceBatchEntry *entry, guint item)
{
  QuinceCarriedSamples *carried = runner->carried;
  const QuinceBatchItem *now = &entry->batch->items.items_val[item];
  const Origin *origin = g_hash_table_lookup (carried->origins, now->id);
  if (origin == NULL || !same_request (&origin->note->entry->batch->items.items_val[origin->item], now))
    return NULL;
  const QuinceRoute *route = quince_sample_runner_route_of_batch (runner, entry->batch);
  gboolean single_version = route != NULL && route->single_version;
  Kept *kept = g_hash_table_lookup (carried->kept, now->id);
  QuinceSample *sample = NULL;
  if (kept != NULL)
    {
      sample = take_kept (runner, entry, item, kept, single_version);
      g_hash_table_remove (carried->kept, now->id);
    }
  return sample != NULL ? sample : take_listed (entry, item, origin, single_version);
}

const char *
quince_carried_samples_worker_of (QuinceSampleRunner *runner, const char *item)
{
  const Kept *kept = g_hash_table_lookup (runner->carried->kept, item);
  return kept != NULL && kept->sample->state == QUINCE_SAMPLE_RUNNING ? kept->sample->worker_id : NULL;
}

/* ---- Second runs -------------------------------------------------------- */

/* Samples of @entry that are not listed, by item. */
static GPtrArray *
samples_by_item (QuinceSampleRunner *runner, const QuinceBatchEntry *entry)
{
  GPtrArray *samples = g_ptr_array_new ();
  g_ptr_array_set_size (samples, (gint)entry->batch->items.items_len);
  for (guint i = 0; i < runner->samples->len; i++)
    {
      QuinceSample *sample = runner->samples->pdata[i];
      if (sample->entry == entry)
        samples->pdata[sample->item] = sample;
    }
  return samples;
}

static gint64
remaining_us (QuinceSampleRunner *runner, const QuinceSample *sample, gint64 now_us)
{
  return sample->state == QUINCE_SAMPLE_SCORING
             ? REWARD_US
             : quince_sample_dispatch_estimate_us (runner, sample, now_us) + REWARD_US;
}

static QuinceGroupPlan *
plan_groups (QuinceSampleRunner *runner, const Note *note, const GPtrArray *samples, gint64 now_us)
{
  QuinceGroupPlan *groups = g_new0 (QuinceGroupPlan, note->n_groups);
  for (guint i = 0; i < note->n_groups; i++)
    groups[i].required = note->required[i];
  for (guint i = 0; i < samples->len; i++)
    {
      QuinceGroupPlan *group = &groups[note->group_of[i]];
      if (samples->pdata[i] != NULL)
        group->remaining_us = MAX (group->remaining_us, remaining_us (runner, samples->pdata[i], now_us));
    }
  quince_sample_plan_find_spare (groups, note->n_groups, note->entry->batch->wanted_groups);
  return groups;
}

/* Events that the sample's whole text has, or likely will have. */
static double
whole_events (QuinceSampleRunner *runner, const Note *note, guint item)
{
  QuincePlatformLength length;
  quince_platform_read_length (&note->entry->batch->items.items_val[item], &length);
  return quince_length_model_expect (quince_sample_runner_get_lengths (runner, note->entry->batch->model),
                                     length.estimated_tokens);
}

static gboolean
wants_second_run (QuinceSampleRunner *runner, const Note *note, guint item, const QuinceSample *sample)
{
  guint64 version = version_allowed_later (runner->carried, note);
  const char *id = note->entry->batch->items.items_val[item].id;
  if (g_hash_table_contains (runner->carried->kept, id) || whole_events (runner, note, item) < EVENTS_LEAST)
    return FALSE;
  if (sample != NULL)
    return !quince_sample_plan_fits (sample->versions, version, FALSE);
  const QuinceBatchResult *result = listed_result (note->entry, item);
  for (guint i = 0; result != NULL && i < result->versions.versions_len; i++)
    if (result->versions.versions_val[i] < version)
      return !result->abandoned;
  return FALSE;
}

/* Returns: %FALSE: no worker has room */
static gboolean
begin_second_run (QuinceSampleRunner *runner,
                  const Note *note,
                  guint item,
                  const QuinceSample *first,
                  gint64 now_us)
{
  QuinceSample *sample = quince_sample_new (note->entry, item);
  QuincePlatformLength length;
  quince_platform_read_length (quince_sample_get_item (sample), &length);
  sample->estimated_tokens = length.estimated_tokens;
  sample->submitted_us = now_us;
  sample->least_version = version_allowed_later (runner->carried, note);
  sample->give_up_us = first != NULL ? first->give_up_us : 0;
  sample->carried = TRUE;
  if (first != NULL && first->state == QUINCE_SAMPLE_RUNNING)
    sample->avoid_worker = g_strdup (first->worker_id);
  if (quince_sample_dispatch (runner, sample, now_us) != QUINCE_BACKEND_CHOSEN)
    {
      quince_sample_free (sample);
      return FALSE;
    }
  insert_kept (runner, sample);
  count ("begun");
  return TRUE;
}

static void
look_at_batch (QuinceSampleRunner *runner, const Note *note, gint64 now_us)
{
  const QuinceBatchEntry *entry = note->entry;
  guint64 newest = quince_observer_get_version (runner->observer, entry->batch->model);
  gboolean done = entry->ended || entry->results->len == entry->batch->items.items_len;
  if (done || newest < version_allowed_later (runner->carried, note))
    return;
  g_autoptr (GPtrArray) samples = samples_by_item (runner, entry);
  g_autofree QuinceGroupPlan *groups = plan_groups (runner, note, samples, now_us);
  guint begun = 0;
  for (guint i = 0; i < samples->len && begun < BEGIN_AT_ONCE; i++)
    {
      if (!groups[note->group_of[i]].spare || !wants_second_run (runner, note, i, samples->pdata[i]))
        continue;
      if (!begin_second_run (runner, note, i, samples->pdata[i], now_us))
        return;
      begun++;
    }
}

static gboolean
is_group_listed (const Note *note, guint item)
{
  for (guint i = 0; i < note->entry->batch->items.items_len; i++)
    if (note->group_of[i] == note->group_of[item] && !note->entry->is_listed[i])
      return FALSE;
  return TRUE;
}

/* What is kept in vain: its run failed at once, its group is whole after all, or it has not come back. */
static gboolean
is_in_vain (QuinceSampleRunner *runner, Kept *kept, gint64 now_us)
{
  const Note *note = g_hash_table_lookup (runner->carried->notes, kept->sample->entry);
  gboolean has_nothing = kept->sample->state == QUINCE_SAMPLE_WAITING && kept->sample->last_event == 0;
  if (note == NULL || has_nothing || is_group_listed (note, kept->sample->item))
    return TRUE;
  if (kept->until_us == 0 && note->entry->ended)
    kept->until_us = now_us + KEEP_US;
  return kept->until_us != 0 && now_us >= kept->until_us;
}

void
quince_carried_samples_look (QuinceSampleRunner *runner, gint64 now_us)
{
  QuinceCarriedSamples *carried = runner->carried;
  if (now_us < carried->look_after_us)
    return;
  carried->look_after_us = now_us + LOOK_EVERY_US;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, carried->kept);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (is_in_vain (runner, value, now_us) && drop_kept (runner, value))
      g_hash_table_iter_remove (&iter);
  if (runner->waiting > 0)
    return;
  g_hash_table_iter_init (&iter, carried->notes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    look_at_batch (runner, value, now_us);
}
