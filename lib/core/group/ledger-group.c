/*
 * ledger-group.c: construction, settings, peers and accessors of QuinceLedgerGroup.
 *
 * ledger-group-private.h lists the other source files that operate on this type.
 */
#include "ledger-group-private.h"

#include <string.h>

static void
peer_free (gpointer data)
{
  QuinceLedgerPeer *peer = data;
  g_free (peer->node);
  g_free (peer->address);
  g_free (peer);
}

/* Returns: (nullable): the stored change, or %NULL if there is none.  A change that cannot be decoded counts
 * as unknown, as if a build without changes had acknowledged it. */
static QuinceLedgerChange *
decode_change (GBytes *stored)
{
  if (stored == NULL)
    return NULL;
  gsize length;
  gconstpointer data = g_bytes_get_data (stored, &length);
  return quince_ledger_change_decode (data, length, NULL);
}

QuinceLedgerGroup *
quince_ledger_group_new (const QuinceLedgerMember *self,
                         const QuinceLedgerLimits *limits,
                         const QuinceLedgerPersistentState *persistent,
                         gboolean may_bootstrap,
                         gint64 now_us)
{
  QuinceLedgerGroup *group = g_new0 (QuinceLedgerGroup, 1);
  group->zones = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  group->self.node = g_strdup (self->node);
  group->self.address = g_strdup (self->address);
  group->self.replica = self->replica;
  group->limits = *limits;
  quince_ledger_persistent_state_assign (&group->persistent, persistent);
  group->acknowledged = decode_change (persistent->change);
  group->promised_at_start = persistent->promised;
  group->may_bootstrap = may_bootstrap;
  /* This replica may have acknowledged records of the leader shortly before its restart. */
  group->leader_contact_us = now_us;
  group->peers = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, peer_free);
  group->outstanding = quince_ledger_view_list_new ();
  group->campaign_promises = g_array_new (FALSE, FALSE, sizeof (guint64));
  group->votes = g_array_new (FALSE, FALSE, sizeof (guint64));
  group->change_acks = g_array_new (FALSE, FALSE, sizeof (guint64));
  return group;
}

void
quince_ledger_group_free (QuinceLedgerGroup *group)
{
  if (group == NULL)
    return;
  quince_ledger_view_free (group->view);
  quince_ledger_view_free (group->proposal);
  g_hash_table_unref (group->peers);
  quince_ledger_view_free (group->wanted_view);
  quince_ledger_change_free (group->acknowledged);
  quince_ledger_persistent_state_clear (&group->persistent);
  g_ptr_array_unref (group->outstanding);
  g_array_unref (group->campaign_promises);
  g_array_unref (group->votes);
  g_array_unref (group->change_acks);
  g_strfreev (group->draining_nodes);
  g_strfreev (group->allowed_nodes);
  g_hash_table_unref (group->zones);
  g_free (group->self.node);
  g_free (group->self.address);
  g_free (group);
}

/* ---- Settings ---------------------------------------------------------- */

const QuinceLedgerPersistentState *
quince_ledger_group_get_persistent_state (const QuinceLedgerGroup *group)
{
  return &group->persistent;
}

void
quince_ledger_group_set_draining_nodes (QuinceLedgerGroup *group, const char *const *nodes)
{
  g_strfreev (group->draining_nodes);
  group->draining_nodes = g_strdupv ((char **)nodes);
}

void
quince_ledger_group_set_allowed_nodes (QuinceLedgerGroup *group, const char *const *nodes)
{
  g_strfreev (group->allowed_nodes);
  group->allowed_nodes = g_strdupv ((char **)nodes);
}

gboolean
quince_ledger_group_is_node_excluded (const QuinceLedgerGroup *group, const char *node)
{
  if (group->draining_nodes != NULL && g_strv_contains ((const char *const *)group->draining_nodes, node))
    return TRUE;
  return group->allowed_nodes != NULL && !g_strv_contains ((const char *const *)group->allowed_nodes, node);
}

void
quince_ledger_group_set_log_end (QuinceLedgerGroup *group, const QuinceLogEnd *end)
{
  group->log_end = *end;
}

/* ---- Peers ------------------------------------------------------------ */

QuinceLedgerPeer *
quince_ledger_group_find_peer (const QuinceLedgerGroup *group, guint64 replica)
{
  gint64 key = (gint64)replica;
  return g_hash_table_lookup (group->peers, &key);
}

void
quince_ledger_group_peer_joined (QuinceLedgerGroup *group, gint64 now_us, const QuinceLedgerMember *member)
{
  QuinceLedgerPeer *peer = g_new0 (QuinceLedgerPeer, 1);
  peer->replica = member->replica;
  peer->node = g_strdup (member->node);
  peer->address = g_strdup (member->address);
  peer->contact_us = now_us;
  g_hash_table_replace (group->peers, &peer->replica, peer);
}

void
quince_ledger_group_peer_acked (QuinceLedgerGroup *group,
                                guint64 replica,
                                guint64 last_index,
                                gint64 requested_us)
{
  QuinceLedgerPeer *peer = quince_ledger_group_find_peer (group, replica);
  if (peer == NULL)
    return;
  if (requested_us < peer->cleared_us)
    return; /* acknowledges records that the peer has deleted since */
  peer->last_index = MAX (peer->last_index, last_index);
  peer->acked_sent_us = MAX (peer->acked_sent_us, requested_us);
}

void
quince_ledger_group_record_contact (QuinceLedgerGroup *group, guint64 replica, gint64 now_us)
{
  QuinceLedgerPeer *peer = quince_ledger_group_find_peer (group, replica);
  if (peer != NULL)
    peer->contact_us = now_us;
}

void
quince_ledger_group_peer_cleared (QuinceLedgerGroup *group, guint64 replica, gint64 now_us)
{
  QuinceLedgerPeer *peer = quince_ledger_group_find_peer (group, replica);
  if (peer == NULL)
    return;
  peer->last_index = 0;
  peer->cleared_us = now_us;
}

void
quince_ledger_group_peer_refused (QuinceLedgerGroup *group, guint64 promised)
{
  group->refused_epoch = MAX (group->refused_epoch, promised);
}

void
quince_ledger_group_peer_left (QuinceLedgerGroup *group, guint64 replica)
{
  gint64 key = (gint64)replica;
  g_hash_table_remove (group->peers, &key);
}

/* ---- Accessors --------------------------------------------------------- */

QuinceLedgerRole
quince_ledger_group_get_role (const QuinceLedgerGroup *group)
{
  return group->role;
}

const QuinceLedgerView *
quince_ledger_group_get_view (const QuinceLedgerGroup *group)
{
  return group->view;
}

gboolean
quince_ledger_group_has_member (const QuinceLedgerGroup *group, guint64 replica)
{
  return quince_ledger_view_find (group->view, replica) != NULL;
}
