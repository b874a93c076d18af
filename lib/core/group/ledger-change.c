/*
 * ledger-change.c: membership changes of the ledger that may be in force without being known yet.
 */
#include "core/group/ledger-change.h"

#include "core/group/ledger-view.h"

QuinceLedgerChange *
quince_ledger_change_new (guint64 revision)
{
  QuinceLedgerChange *change = g_new0 (QuinceLedgerChange, 1);
  change->revision = revision;
  return change;
}

static gboolean
is_same_view (const QuinceLedgerView *view, const QuinceLedgerView *other)
{
  return view->epoch == other->epoch && view->primary == other->primary
         && quince_ledger_view_has_same_members (view, other);
}

gboolean
quince_ledger_change_has_view (const QuinceLedgerChange *change, const QuinceLedgerView *view)
{
  for (guint i = 0; change != NULL && i < change->proposed.proposed_len; i++)
    if (is_same_view (&change->proposed.proposed_val[i], view))
      return TRUE;
  return FALSE;
}

gboolean
quince_ledger_change_add_view (QuinceLedgerChange *change, const QuinceLedgerView *view)
{
  guint length = change->proposed.proposed_len;
  if (quince_ledger_change_has_view (change, view))
    return TRUE;
  if (length >= QUINCE_LEDGER_CHANGE_VIEWS_MAX)
    return FALSE;
  QuinceLedgerView *copy = quince_ledger_view_copy (view);
  change->proposed.proposed_val
      = g_realloc_n (change->proposed.proposed_val, length + 1, sizeof (QuinceLedgerView));
  change->proposed.proposed_val[length] = *copy;
  change->proposed.proposed_len = length + 1;
  g_free (copy); /* its members belong to @change now */
  return TRUE;
}

/* ---- Lists of views ---------------------------------------------------- */

static void
free_view (gpointer view)
{
  quince_ledger_view_free (view);
}

GPtrArray *
quince_ledger_view_list_new (void)
{
  return g_ptr_array_new_with_free_func (free_view);
}

/* Returns: the index of @view in @views, or -1 if it is not there */
static gint
find_view (const GPtrArray *views, const QuinceLedgerView *view)
{
  for (guint i = 0; i < views->len; i++)
    if (is_same_view (views->pdata[i], view))
      return (gint)i;
  return -1;
}

gboolean
quince_ledger_view_list_add (GPtrArray *views, const QuinceLedgerView *view)
{
  if (find_view (views, view) >= 0)
    return FALSE;
  g_ptr_array_add (views, quince_ledger_view_copy (view));
  return TRUE;
}

void
quince_ledger_view_list_remove (GPtrArray *views, const QuinceLedgerView *view)
{
  gint index = find_view (views, view);
  if (index >= 0)
    g_ptr_array_remove_index (views, (guint)index);
}
