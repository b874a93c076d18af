/*
 * peer-digests.h: what other nodes' digests say about engines.
 *
 * Passes their load to the scheduler, and their word that an engine leaves.
 */
#pragma once

#include <quince/codec.h>

#include "node.h"

typedef struct _QuincePeerDigests QuincePeerDigests;

QuincePeerDigests *quince_peer_digests_new (QuinceNode *node);
void quince_peer_digests_free (QuincePeerDigests *digests);
/* The newest digest of a live node. */
void quince_peer_digests_apply (QuincePeerDigests *digests, const QuinceNodeDigest *digest);
void quince_peer_digests_gone (QuincePeerDigests *digests, const char *name);
/* Tells the scheduler which engines' leaving signs by peers have come or gone. */
void quince_peer_digests_update_leaving (QuincePeerDigests *digests);
