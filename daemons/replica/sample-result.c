/*
 * sample-result.c: completes or abandons samples.
 */
#include "sample-result.h"

#include "runtime/clock.h"
#include "runtime/log.h"
#include "runtime/metrics.h"

#include "sample-shares.h"

static void
deliver_result (QuinceSampleSet *set,
                QuinceSample *sample,
                gboolean abandoned,
                const char *score,
                const char *cause)
{
  const QuinceBatchItem *item = quince_sample_get_item (sample);
  QuinceBatchResult result = { .batch = sample->entry->batch->id,
                               .item = sample->item,
                               .abandoned = abandoned,
                               .score = (char *)(score != NULL ? score : "") };
  if (!abandoned)
    {
      result.text.text_val = sample->text->str;
      result.text.text_len = (u_int)sample->text->len;
      result.versions.versions_val = (u_quad_t *)sample->versions->data;
      result.versions.versions_len = sample->versions->len;
    }
  quince_log_info (abandoned ? "sample_abandoned" : "sample_done",
                   "sample=%s batch=%s cause=%s runs=%u events=%" G_GUINT64_FORMAT
                   " age_ms=%" G_GINT64_FORMAT,
                   item->id, sample->entry->batch->id, cause, sample->runs, sample->last_event,
                   (quince_now_us () - sample->submitted_us) / 1000);
  g_autofree char *labels
      = g_strdup_printf ("outcome=\"%s\",cause=\"%s\"", abandoned ? "abandoned" : "completed", cause);
  quince_metric_add ("quince_replica_samples_total", labels, 1);
  quince_metric_observe_us ("quince_replica_sample_seconds", "", quince_now_us () - sample->submitted_us);
  quince_step_reports_record_result (set->reports, sample->entry, quince_now_us (), item->id,
                                     sample->worker.id, sample->last_event);
  sample->state = QUINCE_SAMPLE_DONE;
  set->callbacks->done (sample, &result, set->owner);
}

void
quince_sample_result_complete (QuinceSampleSet *set,
                               QuinceSample *sample,
                               const char *score,
                               const char *cause)
{
  deliver_result (set, sample, FALSE, score, cause);
}

void
quince_sample_result_abandon (QuinceSampleSet *set, QuinceSample *sample, const char *cause)
{
  quince_sample_shares_count_abandoned (set, sample);
  deliver_result (set, sample, TRUE, NULL, cause);
}
