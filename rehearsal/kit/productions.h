/*
 * productions.h: what each engine made by its own records, to compare with the
 * segments of delivered samples.
 */
#pragma once

#include <json-glib/json-glib.h>

#include "cluster.h"

G_BEGIN_DECLS

typedef struct _QuinceProductions QuinceProductions;

/* Reads /_records of every engine, and what crashed processes of engines left. */
QuinceProductions *quince_productions_collect (QuinceCluster *cluster);
void quince_productions_free (QuinceProductions *productions);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuinceProductions, quince_productions_free)

/* Processes of engines whose records could not be read. */
guint quince_productions_count_missing (const QuinceProductions *productions);

/**
 * quince_productions_cover:
 * @prompt_hash: XXH3-64 of the prompt, sixteen hex digits
 * @segments: objects with engine, weight_version, first_token and token_count
 *
 * Returns: whether each token of each segment was made for that prompt by that engine under
 * that version
 */
gboolean
quince_productions_cover (const QuinceProductions *productions, const char *prompt_hash, JsonArray *segments);

G_END_DECLS
