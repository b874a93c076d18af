/*
 * policy-register.c: which policy revision is in force here (pure).
 *
 * The register only ever moves forward: what it has seen and what is in force
 * both grow, and a body is taken only when it is at least as new as what was
 * seen and its text matches its hash.
 */
#include <quince/policy-register.h>

#include <string.h>

#include <quince/request-id.h>

struct _QuincePolicyRegister
{
  QuincePolicyBody in_force; /* owned; revision 0 and empty text when none     */
  guint64 seen;              /* highest revision heard of, from anyone         */
  gboolean confirmed_none;   /* the key-value service said there is no policy  */
};

QuincePolicyRegister *
quince_policy_register_new (void)
{
  QuincePolicyRegister *reg = g_new0 (QuincePolicyRegister, 1);
  reg->in_force.hash = quince_string ("");
  reg->in_force.text = quince_string ("");
  return reg;
}

void
quince_policy_register_free (QuincePolicyRegister *reg)
{
  if (reg == NULL)
    return;
  g_free (reg->in_force.hash);
  g_free (reg->in_force.text);
  g_free (reg);
}

/* TRUE when the hash of @body is that of its text. */
static gboolean
hash_matches (const QuincePolicyBody *body)
{
  g_autofree char *hash = quince_hash_text (body->text, strlen (body->text));
  return strcmp (hash, body->hash) == 0;
}

static void
take (QuincePolicyRegister *reg, const QuincePolicyBody *body)
{
  g_free (reg->in_force.hash);
  g_free (reg->in_force.text);
  reg->in_force.revision = body->revision;
  reg->in_force.hash = quince_string (body->hash);
  reg->in_force.text = quince_string (body->text);
  reg->seen = body->revision;
}

QuincePolicyOffer
quince_policy_register_offer (QuincePolicyRegister *reg, const QuincePolicyBody *body)
{
  /* Revision 0 is a peer's "none known": it carries nothing and confirms nothing. */
  if (body->revision == 0)
    return reg->seen == 0 ? QUINCE_POLICY_OFFER_KNOWN : QUINCE_POLICY_OFFER_OLD;
  if (body->revision < reg->seen)
    return QUINCE_POLICY_OFFER_OLD;
  if (!hash_matches (body))
    return QUINCE_POLICY_OFFER_CORRUPT;
  if (body->revision == reg->in_force.revision)
    {
      /* One revision has one text; another text with a valid hash is not that revision. */
      gboolean same = strcmp (body->text, reg->in_force.text) == 0;
      return same ? QUINCE_POLICY_OFFER_KNOWN : QUINCE_POLICY_OFFER_CORRUPT;
    }
  take (reg, body);
  return QUINCE_POLICY_OFFER_TAKEN;
}

void
quince_policy_register_seen (QuincePolicyRegister *reg, guint64 revision)
{
  reg->seen = MAX (reg->seen, revision);
}

void
quince_policy_register_none (QuincePolicyRegister *reg)
{
  reg->confirmed_none = TRUE;
}

const QuincePolicyBody *
quince_policy_register_get (const QuincePolicyRegister *reg)
{
  return &reg->in_force;
}

guint64
quince_policy_register_get_seen (const QuincePolicyRegister *reg)
{
  return reg->seen;
}

gboolean
quince_policy_register_is_current (const QuincePolicyRegister *reg)
{
  if (reg->in_force.revision != reg->seen)
    return FALSE;
  return reg->seen > 0 || reg->confirmed_none;
}
