/*
 * ledger-membership.c: reads and writes of the view in the metadata store.
 */
#include "ledger-membership.h"

#include "observer/observer.h"
#include "runtime/clock.h"
#include "runtime/log.h"

/* Minimum interval between reads by quince_ledger_membership_refresh_view(), us.  Half of the 600 ms leader
 * lease. */
#define VIEW_READ_INTERVAL_US (300 * 1000)

struct _QuinceLedgerMembership
{
  /* All fields belong to the main context. */
  QuinceLedgerGroup *group;                         /* borrowed */
  QuinceLedgerStorage *storage;                     /* borrowed */
  QuinceMetaStore *store;                           /* borrowed */
  const QuinceLedgerMembershipCallbacks *callbacks; /* borrowed */
  gpointer user_data;

  gboolean read_in_flight;
  gboolean initial_read_done; /* the store has answered a read, even if it holds no view */
  gint64 last_read_us;        /* when the last read started; 0: never */
  guint64 newest_revision;    /* revision of the newest view that was read; 0: none */
};

QuinceLedgerMembership *
quince_ledger_membership_new (QuinceLedgerGroup *group,
                              QuinceLedgerStorage *storage,
                              QuinceMetaStore *store,
                              const QuinceLedgerMembershipCallbacks *callbacks,
                              gpointer user_data)
{
  QuinceLedgerMembership *membership = g_new0 (QuinceLedgerMembership, 1);
  membership->group = group;
  membership->storage = storage;
  membership->store = store;
  membership->callbacks = callbacks;
  membership->user_data = user_data;
  return membership;
}

void
quince_ledger_membership_free (QuinceLedgerMembership *membership)
{
  g_free (membership);
}

/* ---- Reads -------------------------------------------------------------- */

/* @requested_us: when the read started; 0: unknown */
static void
apply_view (QuinceLedgerMembership *membership, GBytes *value, guint64 revision, gint64 requested_us)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (QuinceLedgerView) view = NULL;
  if (value != NULL)
    view = quince_ledger_view_decode (g_bytes_get_data (value, NULL), g_bytes_get_size (value), &error);
  if (error != NULL)
    quince_log_warning ("entry_refused", "what=ledger_view revision=%" G_GUINT64_FORMAT " code=%d", revision,
                        error->code);
  quince_ledger_group_set_view (membership->group, quince_now_us (), requested_us, view,
                                view != NULL ? revision : 0);
  gboolean is_newer = revision > membership->newest_revision;
  membership->newest_revision = MAX (membership->newest_revision, revision);
  membership->callbacks->changed (is_newer, membership->user_data);
}

void
quince_ledger_membership_set_view (QuinceLedgerMembership *membership, GBytes *value, guint64 revision)
{
  /* A watch event may be late, so it does not prove what the store holds now. */
  apply_view (membership, value, revision, 0);
}

static void
handle_view_reply (const QuinceMetaPage *page, guint64 number, const GError *error, gpointer data)
{
  QuinceLedgerMembership *membership = data;
  membership->read_in_flight = FALSE;
  gboolean absent = g_error_matches (error, QUINCE_META_ERROR, QUINCE_META_ERROR_GONE);
  if (error != NULL && !absent)
    return; /* the store logs the failure; a later call reads again */
  membership->initial_read_done = TRUE;
  const QuinceMetaItem *item = page != NULL && page->items->len > 0 ? page->items->pdata[0] : NULL;
  gboolean candidate_waits = quince_ledger_group_needs_store_read (membership->group);
  apply_view (membership, item != NULL ? item->value : NULL, item != NULL ? item->revision : 0,
              membership->last_read_us);
  if (candidate_waits)
    quince_ledger_membership_propose (membership);
}

void
quince_ledger_membership_read_view (QuinceLedgerMembership *membership)
{
  if (membership->read_in_flight)
    return;
  membership->read_in_flight = TRUE;
  membership->last_read_us = quince_now_us ();
  quince_meta_store_get (membership->store, QUINCE_LEDGER_KEY, handle_view_reply, membership);
}

void
quince_ledger_membership_refresh_view (QuinceLedgerMembership *membership, gint64 now_us)
{
  if (now_us - membership->last_read_us > VIEW_READ_INTERVAL_US)
    quince_ledger_membership_read_view (membership);
}

void
quince_ledger_membership_read_for_candidate (QuinceLedgerMembership *membership, gint64 now_us)
{
  if (quince_ledger_group_needs_store_read (membership->group))
    quince_ledger_membership_refresh_view (membership, now_us);
}

void
quince_ledger_membership_read_initial_view (QuinceLedgerMembership *membership, gint64 now_us)
{
  /* A watch does not report that there is no view yet.  A replica must know this to bootstrap the ledger. */
  if (!membership->initial_read_done && !quince_meta_store_is_failing (membership->store))
    quince_ledger_membership_refresh_view (membership, now_us);
}

/* ---- Writes ------------------------------------------------------------- */

static QuinceProposalOutcome
get_outcome (const GError *error)
{
  if (error == NULL)
    return QUINCE_PROPOSAL_APPLIED;
  if (g_error_matches (error, QUINCE_META_ERROR, QUINCE_META_ERROR_CONFLICT))
    return QUINCE_PROPOSAL_CONFLICT;
  if (g_error_matches (error, QUINCE_META_ERROR, QUINCE_META_ERROR_UNAVAILABLE))
    return QUINCE_PROPOSAL_NOT_APPLIED;
  return QUINCE_PROPOSAL_UNKNOWN;
}

static void
handle_proposal_reply (const QuinceMetaPage *page, guint64 number, const GError *error, gpointer data)
{
  QuinceLedgerMembership *membership = data;
  QuinceProposalOutcome outcome = get_outcome (error);
  static const char *const outcome_names[] = { "done", "conflict", "not_done", "unknown" };
  quince_log_info ("view_proposal_ended", "outcome=%s", outcome_names[outcome]);
  quince_ledger_group_proposal_ended (membership->group, quince_now_us (), outcome, number);
  if (outcome == QUINCE_PROPOSAL_CONFLICT || outcome == QUINCE_PROPOSAL_UNKNOWN)
    quince_ledger_membership_read_view (membership);
  membership->callbacks->changed (FALSE, membership->user_data);
}

static void
write_view_change (QuinceLedgerMembership *membership,
                   const QuinceLedgerView *view,
                   guint64 expected_revision)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (GBytes) value = quince_ledger_view_encode (view, &error);
  if (value == NULL) /* a change without a value would delete the key */
    {
      quince_log_failure ("view_not_encoded", "epoch=%" G_GUINT64_FORMAT " code=%d", (guint64)view->epoch,
                          error->code);
      quince_ledger_group_proposal_ended (membership->group, quince_now_us (), QUINCE_PROPOSAL_NOT_APPLIED,
                                          0);
      return;
    }
  const QuinceMetaChange change
      = { .key = QUINCE_LEDGER_KEY, .expected_revision = (gint64)expected_revision, .value = value };
  quince_meta_store_change (membership->store, &change, 1, handle_proposal_reply, membership);
}

void
quince_ledger_membership_propose (QuinceLedgerMembership *membership)
{
  if (quince_meta_store_is_failing (membership->store))
    return;
  guint64 expected_revision = 0; /* revision that the new view replaces; 0: none */
  g_autoptr (QuinceLedgerView) view
      = quince_ledger_group_propose (membership->group, quince_now_us (), &expected_revision);
  /* Promises and acknowledgements made by the proposal must be on disk before the view is written. */
  quince_ledger_storage_save_state_or_abort (membership->storage);
  if (view == NULL)
    return;
  quince_log_info ("view_proposed",
                   "epoch=%" G_GUINT64_FORMAT " primary=%" G_GUINT64_FORMAT " members=%u"
                   " on_revision=%" G_GUINT64_FORMAT,
                   (guint64)view->epoch, (guint64)view->primary, view->members.members_len,
                   expected_revision);
  write_view_change (membership, view, expected_revision);
}
