/*
 * suspect-message.h: what is known of suspects (quarantine.h) as messages between processes.
 *
 * For: fronts and replicas.  Owns nothing.
 */
#pragma once

#include "protocol/codec.h"
#include "runtime/link.h"
#include "core/request/quarantine.h"

G_BEGIN_DECLS

/* (transfer full) (nullable): an encoded message; @suspects: QuinceSuspect */
GBytes *quince_suspect_news_encode (const GPtrArray *suspects, gint64 now_us, const char *own_name);
/* The same for one that is sent now: what will be known if its worker ends. */
GBytes *quince_suspect_sending_encode (const QuinceSuspect *expected, gint64 now_us, const char *own_name);
/* @suspect: its texts are those of @report */
void quince_suspect_read_report (const QuinceSuspectReport *report, gint64 now_us, QuinceSuspect *suspect);
/* The same for one that was cleared. */
GBytes *quince_suspect_cleared_encode (const QuinceRequestDigest *digest, QuinceSuspectScope scope);

/* A request or prompt that is innocent. */
typedef struct
{
  QuinceRequestDigest digest;
  QuinceSuspectScope scope;
} QuinceSuspectCleared;

/**
 * quince_suspect_news_apply:
 * @changed: QuinceRequestDigest, added to: suspects of which more is known now
 * @cleared: QuinceSuspectCleared, added to: suspects until now
 *
 * Takes the reports into @quarantine.
 */
void quince_suspect_news_apply (QuinceQuarantine *quarantine,
                                gint64 now_us,
                                const QuinceSuspectReports *news,
                                GArray *changed,
                                GArray *cleared);

G_END_DECLS
