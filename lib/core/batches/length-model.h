/*
 * length-model.h: predicts how many events a sample's text will have.
 *
 * Callers estimate lengths in tokens, while workers send events of several tokens.  The length model learns
 * the ratio of events to estimated tokens from completed texts, which also corrects the mean error of the
 * estimates.  The ledger's leader keeps one length model for each served model, in memory only.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

typedef struct _QuinceLengthModel QuinceLengthModel;

QuinceLengthModel *quince_length_model_new (void);
void quince_length_model_free (QuinceLengthModel *model);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceLengthModel, quince_length_model_free)

/* Records a completed text of @events events.
 * @estimated_tokens: the caller's estimate, 0 if it gave none */
void quince_length_model_record (QuinceLengthModel *model, guint estimated_tokens, guint64 events);
/* Returns the expected number of further events, at least 1, of a text that has @events_so_far events.
 * @estimated_tokens: the caller's estimate, 0 if it gave none */
double quince_length_model_estimate_remaining (const QuinceLengthModel *model,
                                               guint estimated_tokens,
                                               guint64 events_so_far);

G_END_DECLS
