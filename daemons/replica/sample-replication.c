/*
 * sample-replication.c: collects the progress of samples for backups, and applies received progress.
 */
#include "sample-replication.h"

#include "runtime/clock.h"
#include "runtime/log.h"

/* Appends the progress of @sample after @from_event, whose text begins at byte @from_byte. */
static void
append_item (const QuinceSample *sample, guint64 from_event, gsize from_byte, GArray *items)
{
  QuinceProgressItem item = { .batch = sample->entry->batch->id,
                              .item = sample->item,
                              .from_event = from_event,
                              .last_event = sample->last_event,
                              .failures = sample->failures };
  item.text.text_val = sample->text->str + from_byte;
  item.text.text_len = (u_int)(sample->text->len - from_byte);
  item.versions.versions_val = (u_quad_t *)sample->versions->data;
  item.versions.versions_len = sample->versions->len;
  g_array_append_val (items, item);
}

void
quince_sample_replication_collect (QuinceSampleSet *set, gboolean all, GArray *items)
{
  for (guint i = 0; i < set->samples->len; i++)
    {
      QuinceSample *sample = set->samples->pdata[i];
      if (all)
        sample->replicated_event = sample->replicated_bytes = sample->replicated_failures = 0;
      if (sample->last_event == sample->replicated_event && sample->failures == sample->replicated_failures)
        continue;
      append_item (sample, sample->replicated_event, sample->replicated_bytes, items);
      sample->replicated_event = sample->last_event;
      sample->replicated_failures = sample->failures;
      sample->replicated_bytes = sample->text->len;
    }
}

/* ---- Further copies ----------------------------------------------------- */

/* Values for the batch of the samples that are collected, computed once for consecutive samples of it. */
typedef struct
{
  const QuinceBatchEntry *entry; /* NULL: none yet */
  gboolean is_allowed;
  gint64 pace_us;
} BatchValues;

/* Returns the fastest pace at which the text of @sample could be generated again, us; 0: unknown. */
static gint64
get_fastest_pace_us (QuinceSampleSet *set, const QuinceSample *sample, gint64 now_us)
{
  const QuinceRoute *route = quince_sample_set_get_batch_route (set, sample->entry->batch);
  if (route == NULL)
    return 0;
  QuinceSampleServiceView view;
  quince_sample_set_get_service_view (set, route, sample, now_us, &view);
  gint64 pace_us = view.fastest_pace_us;
  quince_sample_service_view_clear (&view);
  return pace_us;
}

static void
update_batch_values (QuinceSampleSet *set,
                     const QuinceSample *sample,
                     const QuinceSampleCopyTarget *target,
                     gint64 now_us,
                     BatchValues *values)
{
  if (values->entry == sample->entry)
    return;
  values->entry = sample->entry;
  values->is_allowed = target->is_allowed (sample->entry, target->user_data);
  values->pace_us = values->is_allowed ? get_fastest_pace_us (set, sample, now_us) : 0;
}

/* Returns: (transfer full): a candidate for each sample, by index; its events are 0 if the sample has nothing
 * to send or its batch may not be sent to this backup */
static QuinceProgressCandidate *
list_candidates (QuinceSampleSet *set, const QuinceSampleCopyTarget *target, gint64 now_us)
{
  QuinceProgressCandidate *candidates = g_new0 (QuinceProgressCandidate, set->samples->len);
  BatchValues values = { NULL, FALSE, 0 };
  for (guint i = 0; i < set->samples->len; i++)
    {
      QuinceSample *sample = set->samples->pdata[i];
      if (sample->last_event == 0)
        continue;
      if (sample->copies == NULL)
        sample->copies = g_new0 (QuinceSampleCopy, QUINCE_PROGRESS_COPIES_MAX);
      QuinceSampleCopy *copy = &sample->copies[target->number];
      if (copy->stream != target->stream)
        *copy = (QuinceSampleCopy){ .stream = target->stream };
      if (sample->last_event <= copy->event)
        continue;
      update_batch_values (set, sample, target, now_us, &values);
      if (!values.is_allowed)
        continue;
      candidates[i].events = sample->last_event;
      candidates[i].sent_events = copy->event;
      candidates[i].bytes = sample->text->len - copy->bytes;
      candidates[i].pace_us = values.pace_us;
      if (sample->state != QUINCE_SAMPLE_SCORING)
        candidates[i].remaining_events = quince_sample_set_estimate_remaining_events (set, sample);
    }
  return candidates;
}

void
quince_sample_replication_collect_copy (QuinceSampleSet *set,
                                        const QuinceSampleCopyTarget *target,
                                        gint64 now_us,
                                        GArray *items)
{
  g_autofree QuinceProgressCandidate *candidates = list_candidates (set, target, now_us);
  g_autoptr (GArray) selected = g_array_new (FALSE, FALSE, sizeof (guint));
  quince_progress_select_texts (candidates, set->samples->len, selected);
  for (guint i = 0; i < selected->len; i++)
    {
      QuinceSample *sample = set->samples->pdata[g_array_index (selected, guint, i)];
      QuinceSampleCopy *copy = &sample->copies[target->number];
      append_item (sample, copy->event, copy->bytes, items);
      copy->event = sample->last_event;
      copy->bytes = sample->text->len;
    }
}

/* ---- Progress of other replicas ----------------------------------------- */

static QuinceSample *
find_sample (QuinceSampleSet *set, const QuinceProgressItem *item)
{
  for (guint i = 0; i < set->samples->len; i++)
    {
      QuinceSample *sample = set->samples->pdata[i];
      if (sample->item == item->item && g_str_equal (sample->entry->batch->id, item->batch))
        return sample;
    }
  return NULL;
}

/* Returns whether the text of @item may replace that of @sample in its state. */
static gboolean
may_take_text (QuinceSampleSet *set, const QuinceSample *sample, const QuinceProgressItem *item)
{
  const QuinceRoute *route = quince_sample_set_get_batch_route (set, sample->entry->batch);
  gboolean single_version = sample->single_version || (route != NULL && route->single_version);
  if (item->from_event != 0 || item->last_event <= sample->last_event
      || !quince_progress_may_resume ((const guint64 *)item->versions.versions_val,
                                      item->versions.versions_len, sample->entry->batch->minimum_version,
                                      single_version))
    return FALSE;
  if (sample->state == QUINCE_SAMPLE_WAITING)
    return TRUE;
  return sample->state == QUINCE_SAMPLE_RUNNING && !single_version
         && quince_progress_replaces_run (sample->last_event, item->last_event,
                                          get_fastest_pace_us (set, sample, quince_now_us ()));
}

/* Replaces the text of a sample by a longer one of another replica.  Returns whether it did. */
static gboolean
resume_from (QuinceSampleSet *set, QuinceSample *sample, const QuinceProgressItem *item)
{
  sample->failures = MAX (sample->failures, item->failures);
  if (!may_take_text (set, sample, item))
    return FALSE;
  /* A stopped run puts the sample back among the waiting ones. */
  if (sample->state == QUINCE_SAMPLE_RUNNING)
    quince_sample_stop_run (sample, QUINCE_RUN_REPLACED, "longer_text");
  g_string_truncate (sample->text, 0);
  g_string_append_len (sample->text, item->text.text_val, item->text.text_len);
  g_array_set_size (sample->versions, 0);
  for (guint i = 0; i < item->versions.versions_len; i++)
    {
      guint64 version = item->versions.versions_val[i];
      g_array_append_val (sample->versions, version);
    }
  sample->last_event = item->last_event;
  quince_sample_reset_replication (sample);
  return TRUE;
}

guint
quince_sample_replication_apply (QuinceSampleSet *set, const QuinceSampleProgress *progress)
{
  guint n_resumed = 0;
  for (guint i = 0; i < progress->items.items_len; i++)
    {
      const QuinceProgressItem *item = &progress->items.items_val[i];
      QuinceSample *sample = find_sample (set, item);
      n_resumed += sample != NULL && resume_from (set, sample, item);
    }
  quince_log_info ("progress_taken", "told=%u taken=%u", progress->items.items_len, n_resumed);
  return n_resumed;
}
