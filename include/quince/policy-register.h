/*
 * policy-register.h: which policy revision is in force here (pure).
 *
 * A revision is the key-value service's modification revision of the head
 * key, so it only grows.  The register refuses any revision below the highest
 * it has seen, and is "current" only when it has had the head's text from the
 * key-value service, or the same revision from a peer, since start.
 */
#pragma once

#include <quince/codec.h>

G_BEGIN_DECLS

typedef enum
{
  QUINCE_POLICY_OFFER_TAKEN,   /* newer: now in force                      */
  QUINCE_POLICY_OFFER_KNOWN,   /* the one in force                         */
  QUINCE_POLICY_OFFER_OLD,     /* lower than what was seen: refused        */
  QUINCE_POLICY_OFFER_CORRUPT, /* hash does not match the text             */
} QuincePolicyOffer;

typedef struct _QuincePolicyRegister QuincePolicyRegister;

QuincePolicyRegister *quince_policy_register_new (void);
void quince_policy_register_free (QuincePolicyRegister *reg);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (QuincePolicyRegister, quince_policy_register_free)

QuincePolicyOffer quince_policy_register_offer (QuincePolicyRegister *reg, const QuincePolicyBody *body);
/* A peer (or caller) has seen @revision: this register is behind until it has the text. */
void quince_policy_register_seen (QuincePolicyRegister *reg, guint64 revision);
/* The key-value service answered that there is no policy yet, at its store revision. */
void quince_policy_register_none (QuincePolicyRegister *reg);
/* In force; revision 0 and empty text when none. (transfer none) */
const QuincePolicyBody *quince_policy_register_get (const QuincePolicyRegister *reg);
guint64 quince_policy_register_get_seen (const QuincePolicyRegister *reg);
/* FALSE: it cannot know, or knows of a newer revision whose text it lacks. */
gboolean quince_policy_register_is_current (const QuincePolicyRegister *reg);

G_END_DECLS
