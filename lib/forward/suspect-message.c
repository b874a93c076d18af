/*
 * suspect-message.c: messages between processes that report suspects.
 */
#include "forward/suspect-message.h"

#include <string.h>

#include "runtime/log.h"

static char *
text_or_empty (char *text)
{
  return text != NULL ? text : (char *)"";
}

static GBytes *
encode_message (QuinceMessageKind kind, QuinceSuspectReport *reports, guint n_reports)
{
  const QuinceSuspectReports body = { .suspects = { .suspects_val = reports, .suspects_len = n_reports } };
  QuinceMessage message = { .kind = kind };
  if (kind == QUINCE_MESSAGE_SUSPECT_SENDING)
    message.QuinceMessage_u.suspect_sending = body;
  else
    message.QuinceMessage_u.suspect_news = body;
  return quince_message_encode (&message, NULL);
}

static GBytes *
encode_reports (QuinceSuspectReport *reports, guint n_reports)
{
  return encode_message (QUINCE_MESSAGE_SUSPECT_NEWS, reports, n_reports);
}

static void
fill_report (const QuinceSuspect *suspect, gint64 now_us, const char *own_name, QuinceSuspectReport *report)
{
  memcpy (report->digest, suspect->digest.bytes, sizeof report->digest);
  report->release = suspect->release;
  report->workers.workers_val = (u_quad_t *)suspect->workers;
  report->workers.workers_len = suspect->n_workers;
  report->alone = suspect->alone;
  report->held = suspect->held;
  report->age_ms = (u_quad_t)MAX (now_us - suspect->ended_us, 0) / 1000;
  report->service = text_or_empty (suspect->service);
  report->software = text_or_empty (suspect->software);
  report->reported_by = suspect->reported_by != NULL ? suspect->reported_by : (char *)own_name;
  report->prompt = suspect->scope == QUINCE_SUSPECT_PROMPT;
  report->member = suspect->member;
}

GBytes *
quince_suspect_reports_encode (const GPtrArray *suspects, gint64 now_us, const char *own_name)
{
  g_autofree QuinceSuspectReport *reports = g_new0 (QuinceSuspectReport, suspects->len + 1);
  guint n_reports = MIN (suspects->len, QUINCE_SUSPECTS_MAX);
  for (guint i = 0; i < n_reports; i++)
    fill_report (suspects->pdata[i], now_us, own_name, &reports[i]);
  return encode_reports (reports, n_reports);
}

GBytes *
quince_suspect_sending_encode (const QuinceSuspect *expected, gint64 now_us, const char *own_name)
{
  QuinceSuspectReport report = { 0 };
  fill_report (expected, now_us, own_name, &report);
  return encode_message (QUINCE_MESSAGE_SUSPECT_SENDING, &report, 1);
}

GBytes *
quince_suspect_cleared_encode (const QuinceRequestDigest *digest, QuinceSuspectScope scope)
{
  QuinceSuspectReport report = { .cleared = TRUE,
                                 .service = "",
                                 .software = "",
                                 .reported_by = "",
                                 .prompt = scope == QUINCE_SUSPECT_PROMPT };
  memcpy (report.digest, digest->bytes, sizeof report.digest);
  return encode_reports (&report, 1);
}

void
quince_suspect_read_report (const QuinceSuspectReport *report, gint64 now_us, QuinceSuspect *suspect)
{
  *suspect = (QuinceSuspect){ 0 };
  memcpy (suspect->digest.bytes, report->digest, sizeof suspect->digest.bytes);
  suspect->release = report->release;
  suspect->n_workers = MIN (report->workers.workers_len, QUINCE_QUARANTINE_WORKERS_MAX);
  for (guint i = 0; i < suspect->n_workers; i++)
    suspect->workers[i] = report->workers.workers_val[i];
  suspect->alone = report->alone;
  suspect->held = report->held;
  suspect->ended_us = now_us - (gint64)MIN (report->age_ms, G_MAXINT64 / 2000) * 1000;
  suspect->service = report->service;
  suspect->software = report->software;
  suspect->reported_by = report->reported_by;
  suspect->scope = report->prompt ? QUINCE_SUSPECT_PROMPT : QUINCE_SUSPECT_REQUEST;
  suspect->member = report->member;
}

/* Returns whether it was a suspect in @quarantine. */
static gboolean
clear_suspect (QuinceQuarantine *quarantine, gint64 now_us, const QuinceSuspect *suspect)
{
  if (suspect->scope == QUINCE_SUSPECT_PROMPT)
    return quince_quarantine_clear_prompt (quarantine, now_us, &suspect->digest);
  return quince_quarantine_clear (quarantine, &suspect->digest);
}

static void
log_report (const QuinceSuspect *suspect)
{
  g_autofree char *digest = quince_request_digest_format (&suspect->digest);
  quince_log_info ("suspect_told", "digest=%s scope=%s ends=%u alone=%u held=%s told_by=%s", digest,
                   quince_suspect_scope_name (suspect->scope), suspect->n_workers, suspect->alone,
                   suspect->held ? "true" : "false", suspect->reported_by);
}

void
quince_suspect_reports_apply (QuinceQuarantine *quarantine,
                              gint64 now_us,
                              const QuinceSuspectReports *reports,
                              GArray *changed,
                              GArray *cleared)
{
  for (guint i = 0; i < reports->suspects.suspects_len; i++)
    {
      const QuinceSuspectReport *report = &reports->suspects.suspects_val[i];
      QuinceSuspect suspect;
      quince_suspect_read_report (report, now_us, &suspect);
      const QuinceSuspectCleared cleared_suspect = { .digest = suspect.digest, .scope = suspect.scope };
      if (report->cleared && clear_suspect (quarantine, now_us, &suspect))
        g_array_append_val (cleared, cleared_suspect);
      else if (!report->cleared && quince_quarantine_merge (quarantine, now_us, &suspect))
        {
          g_array_append_val (changed, suspect.digest);
          log_report (quince_quarantine_find (quarantine, &suspect.digest));
        }
    }
}
