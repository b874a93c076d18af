/* effects.c: typed effects that the executor carries out in order. */
#include "consensus-private.h"

static void
effect_free (gpointer data)
{
  QuinceEffect *effect = data;

  g_clear_pointer (&effect->entries, g_ptr_array_unref);
  g_clear_pointer (&effect->entry, quince_log_entry_unref);
  g_clear_pointer (&effect->message, quince_replication_free);
  if (effect->snapshot != NULL)
    quince_xdr_free ((xdrproc_t)xdr_QuinceSnapshotRequest, effect->snapshot);
  g_free (effect->address);
  g_free (effect);
}

GPtrArray *
quince_effects_new (void)
{
  return g_ptr_array_new_with_free_func (effect_free);
}

QuinceEffect *
quince_effect_add (GPtrArray *effects, QuinceEffectKind kind)
{
  QuinceEffect *effect = g_new0 (QuinceEffect, 1);

  effect->kind = kind;
  g_ptr_array_add (effects, effect);
  return effect;
}

QuinceReplicationBody *
quince_effect_add_send (GPtrArray *effects,
                        guint64 from,
                        guint64 to,
                        const char *address,
                        QuinceReplicationKind kind)
{
  QuinceEffect *effect = quince_effect_add (effects, QUINCE_EFFECT_SEND);

  effect->address = g_strdup (address);
  effect->to = to;
  effect->message = g_new0 (QuinceReplication, 1);
  effect->message->from = from;
  effect->message->to = to;
  effect->message->body.kind = kind;
  return &effect->message->body;
}
