/*
 * length-model.h: how many events a sample's text will have, from its caller's estimate and from texts that
 * ended.
 *
 * Callers estimate in tokens; workers make events of several tokens.  How many tokens an event holds is not
 * known beforehand: the model learns it, and the estimates' mean error, from each text that became whole.
 *
 * For: the ledger's leader, one for each model.  Owns: its averages, in memory.  Pure: no clock and no random
 * source.
 */
#pragma once

#include <glib.h>

G_BEGIN_DECLS

typedef struct _QuinceLengthModel QuinceLengthModel;

QuinceLengthModel *quince_length_model_new (void);
void quince_length_model_free (QuinceLengthModel *model);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceLengthModel, quince_length_model_free)

/* A text became whole with @events events; @estimated_tokens: what its caller had estimated, 0: nothing. */
void quince_length_model_record (QuinceLengthModel *model, guint estimated_tokens, guint64 events);
/* Events still to come for a text that has @made of them. */
double quince_length_model_estimate_remaining (const QuinceLengthModel *model,
                                               guint estimated_tokens,
                                               guint64 events_so_far);

G_END_DECLS
