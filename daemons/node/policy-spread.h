/*
 * policy-spread.h: which policy is in force on this node, and how it came.
 *
 * From the key-value service by a watch, or from peers: a greater revision in
 * a digest or a HELLO makes this node fetch the text.  The node is ready only
 * while its register is current.
 */
#pragma once

#include <quince/codec.h>

#include "node.h"

QuincePolicySpread *quince_policy_spread_new (QuinceNode *node);
void quince_policy_spread_free (QuincePolicySpread *spread);
/* Begins to ask peers; every other part of the node is there by now. */
void quince_policy_spread_begin (QuincePolicySpread *spread);

/* @items: QuinceKvItem, the head or nothing: a definite answer of the key-value service. */
void quince_policy_spread_take_items (QuincePolicySpread *spread, GPtrArray *items);
/* Another process has seen @revision; @address (nullable): a node that has its text. */
void quince_policy_spread_seen (QuincePolicySpread *spread, guint64 revision, const char *address);
/* A peer's answer to POLICY_FETCH. */
void
quince_policy_spread_offer (QuincePolicySpread *spread, const QuincePolicyBody *body, const char *address);

/* In force; revision 0 when none. (transfer none) */
const QuincePolicyBody *quince_policy_spread_get_body (const QuincePolicySpread *spread);
gboolean quince_policy_spread_is_current (const QuincePolicySpread *spread);

typedef struct
{
  guint64 taken;            /* revisions put in force                       */
  guint64 refused_old;      /* offers below what was seen                   */
  guint64 refused_corrupt;  /* offers whose hash does not match             */
  guint64 fetches;          /* asked of peers                               */
  guint64 compile_failures; /* revisions that run as the built-in decision  */
  guint64 runtime_failures; /* calls that fell back to the built-in decision */
} QuincePolicySpreadCounters;

void quince_policy_spread_get_counters (const QuincePolicySpread *spread, QuincePolicySpreadCounters *out);
