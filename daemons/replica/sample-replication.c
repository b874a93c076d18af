/*
 * sample-replication.c: collects the progress of samples for the successor, and applies received progress.
 */
#include "sample-replication.h"

#include "runtime/log.h"

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
      QuinceProgressItem item = { .batch = sample->entry->batch->id,
                                  .item = sample->item,
                                  .from_event = sample->replicated_event,
                                  .last_event = sample->last_event,
                                  .failures = sample->failures };
      item.text.text_val = sample->text->str + sample->replicated_bytes;
      item.text.text_len = (u_int)(sample->text->len - sample->replicated_bytes);
      item.versions.versions_val = (u_quad_t *)sample->versions->data;
      item.versions.versions_len = sample->versions->len;
      g_array_append_val (items, item);
      sample->replicated_event = sample->last_event;
      sample->replicated_failures = sample->failures;
      sample->replicated_bytes = sample->text->len;
    }
}

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

/* Replaces the text of a waiting sample by a longer one of another replica.  Returns whether it did. */
static gboolean
resume_from (QuinceSample *sample, const QuinceProgressItem *item)
{
  sample->failures = MAX (sample->failures, item->failures);
  if (sample->state != QUINCE_SAMPLE_WAITING || item->from_event != 0
      || item->last_event <= sample->last_event)
    return FALSE;
  g_string_truncate (sample->text, 0);
  g_string_append_len (sample->text, item->text.text_val, item->text.text_len);
  g_array_set_size (sample->versions, 0);
  for (guint i = 0; i < item->versions.versions_len; i++)
    {
      guint64 version = item->versions.versions_val[i];
      g_array_append_val (sample->versions, version);
    }
  sample->last_event = item->last_event;
  sample->replicated_event = sample->replicated_bytes = 0; /* the next report contains the whole text */
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
      n_resumed += sample != NULL && resume_from (sample, item);
    }
  quince_log_info ("progress_taken", "told=%u taken=%u", progress->items.items_len, n_resumed);
  return n_resumed;
}
