/*
 * ledger-view.c: functions that search, compare and edit the members of a ledger view.
 */
#include "core/group/ledger-view.h"

const QuinceLedgerMember *
quince_ledger_view_find (const QuinceLedgerView *view, guint64 replica)
{
  for (guint i = 0; view != NULL && i < view->members.members_len; i++)
    if (view->members.members_val[i].replica == replica)
      return &view->members.members_val[i];
  return NULL;
}

gboolean
quince_ledger_view_has_node (const QuinceLedgerView *view, const char *node)
{
  for (guint i = 0; view != NULL && i < view->members.members_len; i++)
    if (g_str_equal (view->members.members_val[i].node, node))
      return TRUE;
  return FALSE;
}

gboolean
quince_ledger_view_is_initial (const QuinceLedgerView *view)
{
  return view->epoch == QUINCE_LEDGER_INITIAL_EPOCH && view->members.members_len == 1;
}

void
quince_ledger_view_add (QuinceLedgerView *view, const char *node, const char *address, guint64 replica)
{
  guint length = view->members.members_len;
  view->members.members_val
      = g_realloc_n (view->members.members_val, length + 1, sizeof (QuinceLedgerMember));
  view->members.members_val[length].node = quince_string (node);
  view->members.members_val[length].address = quince_string (address);
  view->members.members_val[length].replica = replica;
  view->members.members_len = length + 1;
}

void
quince_ledger_view_remove (QuinceLedgerView *view, guint64 replica)
{
  guint n_kept = 0;
  for (guint i = 0; i < view->members.members_len; i++)
    {
      QuinceLedgerMember *member = &view->members.members_val[i];
      if (member->replica != replica)
        {
          view->members.members_val[n_kept++] = *member;
          continue;
        }
      g_free (member->node);
      g_free (member->address);
    }
  view->members.members_len = n_kept;
}

gboolean
quince_ledger_view_set_address (QuinceLedgerView *view, guint64 replica, const char *address)
{
  for (guint i = 0; i < view->members.members_len; i++)
    {
      QuinceLedgerMember *member = &view->members.members_val[i];
      if (member->replica != replica || g_str_equal (member->address, address))
        continue;
      g_free (member->address);
      member->address = quince_string (address);
      return TRUE;
    }
  return FALSE;
}

gboolean
quince_ledger_view_has_same_members (const QuinceLedgerView *view, const QuinceLedgerView *other)
{
  if (view->members.members_len != other->members.members_len)
    return FALSE;
  for (guint i = 0; i < view->members.members_len; i++)
    if (quince_ledger_view_find (other, view->members.members_val[i].replica) == NULL)
      return FALSE;
  return TRUE;
}
