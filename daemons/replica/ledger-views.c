/*
 * ledger-views.c: the view of the ledger in the metadata store, read and proposed.
 */
#include "ledger-node-private.h"

#include "runtime/log.h"
#include "observer/observer.h"
#include "runtime/clock.h"

static void
take_view_read_at (QuinceLedgerNode *node, GBytes *value, guint64 revision, gint64 requested_us)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (QuinceLedgerView) view = NULL;
  if (value != NULL)
    view = quince_ledger_view_decode (g_bytes_get_data (value, NULL), g_bytes_get_size (value), &error);
  if (error != NULL)
    quince_log_warning ("entry_refused", "what=ledger_view revision=%" G_GUINT64_FORMAT " code=%d", revision,
                        error->code);
  quince_ledger_group_set_view (node->group, quince_now_us (), requested_us, view,
                                view != NULL ? revision : 0);
  gboolean news = revision > node->view_revision;
  if (news)
    g_hash_table_remove_all (node->moved);
  node->view_revision = MAX (node->view_revision, revision);
  quince_ledger_node_update_role (node);
  /* A former leader that starts anew asks its members at once. */
  if (news)
    quince_ledger_node_campaign (node);
}

void
quince_ledger_node_take_view (QuinceLedgerNode *node, GBytes *value, guint64 revision)
{
  /* A watch may be late: it says nothing of now. */
  take_view_read_at (node, value, revision, 0);
}

static void
view_answered (const QuinceMetaPage *page, guint64 number, const GError *error, gpointer data)
{
  QuinceLedgerNode *node = data;
  node->asking_view = FALSE;
  gboolean absent = g_error_matches (error, QUINCE_META_ERROR, QUINCE_META_ERROR_GONE);
  if (error != NULL && !absent)
    return;
  node->answered_view = TRUE;
  const QuinceMetaItem *item = page != NULL && page->items->len > 0 ? page->items->pdata[0] : NULL;
  take_view_read_at (node, item != NULL ? item->value : NULL, item != NULL ? item->revision : 0,
                     node->view_requested_us);
}

void
quince_ledger_node_ask_view (QuinceLedgerNode *node)
{
  if (node->asking_view)
    return;
  node->asking_view = TRUE;
  node->view_requested_us = quince_now_us ();
  quince_meta_store_get (node->store, QUINCE_LEDGER_KEY, view_answered, node);
}

static void
proposal_answered (const QuinceMetaPage *page, guint64 number, const GError *error, gpointer data)
{
  QuinceLedgerNode *node = data;
  QuinceProposalOutcome outcome = QUINCE_PROPOSAL_DONE;
  if (g_error_matches (error, QUINCE_META_ERROR, QUINCE_META_ERROR_CONFLICT))
    outcome = QUINCE_PROPOSAL_CONFLICT;
  else if (g_error_matches (error, QUINCE_META_ERROR, QUINCE_META_ERROR_UNAVAILABLE))
    outcome = QUINCE_PROPOSAL_NOT_DONE;
  else if (error != NULL)
    outcome = QUINCE_PROPOSAL_UNKNOWN;
  static const char *const names[] = { "done", "conflict", "not_done", "unknown" };
  quince_log_info ("view_proposal_ended", "outcome=%s", names[outcome]);
  quince_ledger_group_proposal_ended (node->group, quince_now_us (), outcome, number);
  if (outcome == QUINCE_PROPOSAL_CONFLICT || outcome == QUINCE_PROPOSAL_UNKNOWN)
    quince_ledger_node_ask_view (node);
  quince_ledger_node_update_role (node);
}

void
quince_ledger_node_propose (QuinceLedgerNode *node)
{
  guint64 expected = 0;
  if (quince_meta_store_is_failing (node->store))
    return;
  g_autoptr (QuinceLedgerView) view = quince_ledger_group_step (node->group, quince_now_us (), &expected);
  quince_ledger_node_keep_or_abort (node);
  if (view == NULL)
    return;
  quince_log_info ("view_proposed",
                   "epoch=%" G_GUINT64_FORMAT " primary=%" G_GUINT64_FORMAT
                   " members=%u on_revision=%" G_GUINT64_FORMAT,
                   (guint64)view->epoch, (guint64)view->primary, view->members.members_len, expected);
  g_autoptr (GError) error = NULL;
  g_autoptr (GBytes) value = quince_ledger_view_encode (view, &error);
  if (value == NULL) /* a change without a value would remove the key */
    {
      quince_log_failure ("view_not_encoded", "epoch=%" G_GUINT64_FORMAT " code=%d", (guint64)view->epoch,
                          error->code);
      quince_ledger_group_proposal_ended (node->group, quince_now_us (), QUINCE_PROPOSAL_NOT_DONE, 0);
      return;
    }
  const QuinceMetaChange change
      = { .key = QUINCE_LEDGER_KEY, .expected_revision = (gint64)expected, .value = value };
  quince_meta_store_change (node->store, &change, 1, proposal_answered, node);
}
