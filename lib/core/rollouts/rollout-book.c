/*
 * rollout-book.c: hands the ledger's records to the aggregates they concern.
 */
#include "book-private.h"

#include "generated/rollout_state.h"

#include <string.h>

/* When to come back for a step that is not whole, and when the book is full. */
static const guint NOT_COMPLETE_RETRY_MS = 200;
static const guint BUSY_RETRY_MS = 1000;
/* Prompts in one lease answer, so that it stays well below a frame. */
static const gsize LEASE_BYTES_MOST = 8 * 1024 * 1024;

/* Held in the book, so that a saved state stays below the 4 GiB of an XDR stream.  New rollouts are put off
 * first, so that those taken can still be completed. */
static const guint64 SUBMIT_BYTES_MOST = G_GUINT64_CONSTANT (1) << 30;
static const guint64 COMPLETE_BYTES_MOST = G_GUINT64_CONSTANT (2) << 30;

G_DEFINE_QUARK (quince_rollout_book_error, quince_rollout_book_error)

static int
compare_names (gconstpointer a, gconstpointer b, gpointer user_data)
{
  return strcmp (a, b);
}

QuinceRolloutBook *
quince_rollout_book_new (void)
{
  QuinceRolloutBook *book = g_new0 (QuinceRolloutBook, 1);

  book->trainers = g_tree_new_full (compare_names, NULL, NULL, (GDestroyNotify)quince_trainer_free);
  book->claims = quince_claim_table_new (QUINCE_ROLLOUT_MAX_CLAIMS);
  book->leases = quince_sample_leases_new ();
  return book;
}

void
quince_rollout_book_free (QuinceRolloutBook *book)
{
  if (book == NULL)
    return;
  g_tree_unref (book->trainers);
  quince_claim_table_free (book->claims);
  quince_sample_leases_free (book->leases);
  g_free (book);
}

QuinceTrainer *
quince_rollout_book_find_trainer (const QuinceRolloutBook *book, const char *name)
{
  return g_tree_lookup (book->trainers, name);
}

QuinceTrainer *
quince_rollout_book_add_trainer (QuinceRolloutBook *book, const char *name)
{
  QuinceTrainer *trainer = quince_trainer_new (name, book->leases, &book->totals);

  g_tree_insert (book->trainers, trainer->name, trainer);
  return trainer;
}

/* ---- Replies ---------------------------------------------------------- */

static void
reply_init (QuinceLedgerReply *reply, QuinceCommandKind kind, QuinceLedgerStatus status)
{
  *reply = (QuinceLedgerReply){ .status = status };
  reply->leader = quince_string ("");
  quince_ledger_reply_set_empty (reply, kind);
  if (status == QUINCE_LEDGER_NOT_COMPLETE)
    reply->retry_after_ms = NOT_COMPLETE_RETRY_MS;
  if (status == QUINCE_LEDGER_BUSY)
    reply->retry_after_ms = BUSY_RETRY_MS;
}

/* The batch of an answered pull or page: its counts, and the samples from index @first when it is whole. */
static void
reply_fill_batch (const QuinceRolloutBook *book,
                  const char *trainer_name,
                  guint64 number,
                  guint first,
                  QuinceLedgerReply *reply)
{
  QuinceBatch *batch = &reply->result.QuinceLedgerResult_u.batch;
  const QuinceTrainer *trainer = quince_rollout_book_find_trainer (book, trainer_name);
  const QuinceStep *step = trainer != NULL ? quince_trainer_find_step (trainer, number) : NULL;

  g_free (batch->trainer);
  batch->trainer = quince_string (trainer_name);
  batch->step = number;
  if (step == NULL)
    return;
  batch->total = step->samples->len;
  batch->ready = step->samples->len - step->open;
  if (reply->status == QUINCE_LEDGER_OK)
    quince_step_fill_page (step, first, batch);
}

static void
reply_fill (const QuinceRolloutBook *book, const QuinceCommand *command, QuinceLedgerReply *reply)
{
  const QuincePullStep *pull = &command->QuinceCommand_u.pull;
  const QuinceReadPage *page = &command->QuinceCommand_u.page;

  if (command->kind == QUINCE_COMMAND_PULL)
    reply_fill_batch (book, pull->trainer, pull->step, 0, reply);
  else if (command->kind == QUINCE_COMMAND_PAGE)
    reply_fill_batch (book, page->trainer, page->step, page->first, reply);
}

/* ---- Commands --------------------------------------------------------- */

static QuinceLedgerStatus
judge_submit (const QuinceRolloutBook *book, const QuinceSubmitRollout *submit, gboolean *changes)
{
  const QuinceTrainer *trainer = quince_rollout_book_find_trainer (book, submit->trainer);
  QuinceLedgerStatus status = quince_trainer_judge_submit (trainer, submit, changes);
  guint64 held = book->totals.counters.samples_open + book->totals.counters.samples_complete;

  if (!*changes)
    return status;
  if (held + submit->samples.samples_len <= QUINCE_ROLLOUT_MAX_HELD && book->totals.bytes < SUBMIT_BYTES_MOST
      && (trainer != NULL || g_tree_nnodes (book->trainers) < QUINCE_ROLLOUT_MAX_TRAINERS))
    return status;
  *changes = FALSE;
  return QUINCE_LEDGER_BUSY;
}

static QuinceLedgerStatus
apply_submit (QuinceRolloutBook *book, const QuinceSubmitRollout *submit)
{
  QuinceTrainer *trainer = quince_rollout_book_find_trainer (book, submit->trainer);
  gboolean changes;
  QuinceLedgerStatus status = judge_submit (book, submit, &changes);

  if (!changes)
    return status;
  if (trainer == NULL)
    trainer = quince_rollout_book_add_trainer (book, submit->trainer);
  quince_trainer_submit (trainer, submit);
  return status;
}

static QuinceLedgerStatus
judge_complete (const QuinceRolloutBook *book, const QuinceCompleteSample *complete, gboolean *changes)
{
  const QuinceTrainer *trainer = quince_rollout_book_find_trainer (book, complete->trainer);
  QuinceLedgerStatus status = quince_trainer_judge_complete (trainer, complete, changes);

  if (!*changes || book->totals.bytes < COMPLETE_BYTES_MOST)
    return status;
  *changes = FALSE;
  return QUINCE_LEDGER_BUSY;
}

static QuinceLedgerStatus
apply_complete (QuinceRolloutBook *book, const QuinceCompleteSample *complete)
{
  gboolean changes;
  QuinceLedgerStatus status = judge_complete (book, complete, &changes);

  if (changes)
    quince_trainer_complete (quince_rollout_book_find_trainer (book, complete->trainer), complete);
  else if (status == QUINCE_LEDGER_OK)
    book->totals.counters.duplicates_dropped++;
  return status;
}

static QuinceLedgerStatus
apply_pull (QuinceRolloutBook *book, const QuincePullStep *pull)
{
  QuinceTrainer *trainer = quince_rollout_book_find_trainer (book, pull->trainer);
  gboolean changes;
  QuinceLedgerStatus status = quince_trainer_judge_pull (trainer, pull, &changes);

  if (changes)
    quince_trainer_pull (trainer, pull);
  return status;
}

static QuinceLedgerStatus
apply_release (QuinceRolloutBook *book, const QuinceReleaseStep *release)
{
  QuinceTrainer *trainer = quince_rollout_book_find_trainer (book, release->trainer);
  gboolean changes;
  QuinceLedgerStatus status = quince_trainer_judge_release (trainer, release->step, &changes);

  if (changes)
    quince_trainer_release (trainer, release->step);
  return status;
}

static QuinceLedgerStatus
apply_command (QuinceRolloutBook *book, const QuinceCommand *command)
{
  switch (command->kind)
    {
    case QUINCE_COMMAND_SUBMIT:
      return apply_submit (book, &command->QuinceCommand_u.submit);
    case QUINCE_COMMAND_COMPLETE:
      return apply_complete (book, &command->QuinceCommand_u.complete);
    case QUINCE_COMMAND_PULL:
      return apply_pull (book, &command->QuinceCommand_u.pull);
    case QUINCE_COMMAND_RELEASE:
      return apply_release (book, &command->QuinceCommand_u.release);
    case QUINCE_COMMAND_CLAIM:
      return quince_claim_table_claim (book->claims, book->clock_ms, &command->QuinceCommand_u.claim);
    case QUINCE_COMMAND_UNCLAIM:
      return quince_claim_table_unclaim (book->claims, &command->QuinceCommand_u.unclaim);
    case QUINCE_COMMAND_LEASE:
    case QUINCE_COMMAND_RENEW:
    case QUINCE_COMMAND_PAGE:
      break;
    }
  /* Not a command of the ledger: nothing is done. */
  return QUINCE_LEDGER_CONFLICT;
}

void
quince_rollout_book_apply (QuinceRolloutBook *book,
                           const QuinceLedgerRecord *record,
                           QuinceLedgerReply *reply)
{
  const QuinceCommand *command = &record->command;
  QuinceLedgerStatus status;

  book->clock_ms = MAX (book->clock_ms, record->leader_time_ms);
  quince_claim_table_expire (book->claims, book->clock_ms);
  status = apply_command (book, command);
  if (reply == NULL)
    return;
  reply_init (reply, command->kind, status);
  reply_fill (book, command, reply);
}

/* ---- Peek ------------------------------------------------------------- */

static QuinceLedgerStatus
judge_command (const QuinceRolloutBook *book, const QuinceCommand *command, gboolean *changes)
{
  const QuincePullStep *pull = &command->QuinceCommand_u.pull;
  const QuinceReleaseStep *release = &command->QuinceCommand_u.release;
  const QuinceReadPage *page = &command->QuinceCommand_u.page;

  switch (command->kind)
    {
    case QUINCE_COMMAND_SUBMIT:
      return judge_submit (book, &command->QuinceCommand_u.submit, changes);
    case QUINCE_COMMAND_COMPLETE:
      return judge_complete (book, &command->QuinceCommand_u.complete, changes);
    case QUINCE_COMMAND_PULL:
      return quince_trainer_judge_pull (quince_rollout_book_find_trainer (book, pull->trainer), pull,
                                        changes);
    case QUINCE_COMMAND_RELEASE:
      return quince_trainer_judge_release (quince_rollout_book_find_trainer (book, release->trainer),
                                           release->step, changes);
    case QUINCE_COMMAND_CLAIM:
      *changes = !quince_claim_table_refuses (book->claims, &command->QuinceCommand_u.claim);
      return QUINCE_LEDGER_DUPLICATE;
    case QUINCE_COMMAND_PAGE:
      *changes = FALSE;
      return quince_trainer_judge_page (quince_rollout_book_find_trainer (book, page->trainer), page);
    case QUINCE_COMMAND_UNCLAIM: /* must come after a claim that is not applied yet */
    case QUINCE_COMMAND_LEASE:
    case QUINCE_COMMAND_RENEW:
      break;
    }
  *changes = TRUE;
  return QUINCE_LEDGER_OK;
}

/* A pull that changes nothing still tells which step the trainer wants now. */
static void
note_peeked_pull (QuinceRolloutBook *book, const QuincePullStep *pull, QuinceLedgerStatus status)
{
  if (status == QUINCE_LEDGER_OK || status == QUINCE_LEDGER_NOT_COMPLETE)
    quince_trainer_note_pull (quince_rollout_book_find_trainer (book, pull->trainer), pull->step);
}

gboolean
quince_rollout_book_peek (QuinceRolloutBook *book,
                          gint64 now_ms,
                          const QuinceCommand *command,
                          QuinceLedgerReply *reply)
{
  gboolean changes;
  QuinceLedgerStatus status = judge_command (book, command, &changes);

  if (changes)
    return FALSE;
  if (command->kind == QUINCE_COMMAND_COMPLETE && status == QUINCE_LEDGER_OK)
    book->peeked_duplicates++;
  if (command->kind == QUINCE_COMMAND_PULL)
    note_peeked_pull (book, &command->QuinceCommand_u.pull, status);
  reply_init (reply, command->kind, status);
  reply_fill (book, command, reply);
  return TRUE;
}

/* ---- Leases ----------------------------------------------------------- */

static void
fill_leased (const QuinceSample *sample, QuinceLeasedSample *leased)
{
  const QuinceTrainer *trainer = sample->trainer;
  const QuinceRollout *rollout = sample->rollout;

  leased->trainer = quince_string (trainer->name);
  leased->service = quince_string (rollout->service);
  leased->member = quince_string (rollout->member);
  leased->step = sample->step;
  leased->generation = sample->generation;
  leased->min_version
      = quince_least_version (quince_trainer_expect_version (trainer, sample), rollout->staleness_bound);
  quince_sample_spec_copy_to (&leased->spec, &sample->spec);
}

void
quince_rollout_book_lease (QuinceRolloutBook *book,
                           gint64 now_ms,
                           const QuinceLeaseSamples *lease,
                           QuinceLedgerReply *reply)
{
  g_autoptr (GArray) leased = g_array_new (FALSE, TRUE, sizeof (QuinceLeasedSample));
  guint most = MIN (lease->most, QUINCE_MAX_SAMPLES);
  gsize bytes = 0;

  reply_init (reply, QUINCE_COMMAND_LEASE, QUINCE_LEDGER_OK);
  quince_sample_leases_expire (book->leases, now_ms);
  while (leased->len < most)
    {
      const QuinceSample *sample = quince_sample_leases_peek (book->leases);
      QuinceLeasedSample entry = { 0 };
      if (sample == NULL)
        break;
      bytes += strlen (sample->spec.prompt);
      if (leased->len > 0 && bytes > LEASE_BYTES_MOST)
        break;
      quince_sample_leases_take (book->leases, lease->agent, now_ms + lease->lease_ms);
      fill_leased (sample, &entry);
      g_array_append_val (leased, entry);
    }
  reply->result.QuinceLedgerResult_u.leased.leased_len = leased->len;
  reply->result.QuinceLedgerResult_u.leased.leased_val = g_array_steal (leased, NULL);
}

static QuinceSample *
find_leased (const QuinceRolloutBook *book, const QuinceLeaseRef *ref)
{
  const QuinceTrainer *trainer = quince_rollout_book_find_trainer (book, ref->trainer);
  const QuinceStep *step = trainer != NULL ? quince_trainer_find_step (trainer, ref->step) : NULL;
  QuinceSample *sample = step != NULL ? quince_step_find (step, ref->sample_id) : NULL;

  if (sample == NULL || sample->result != NULL || sample->generation != ref->generation)
    return NULL;
  return sample;
}

void
quince_rollout_book_renew (QuinceRolloutBook *book, gint64 now_ms, const QuinceRenewLeases *renew)
{
  quince_sample_leases_expire (book->leases, now_ms);
  for (guint i = 0; i < renew->leases.leases_len; i++)
    {
      QuinceSample *sample = find_leased (book, &renew->leases.leases_val[i]);
      if (sample != NULL)
        quince_sample_leases_renew (book->leases, sample, renew->agent, now_ms + renew->lease_ms);
    }
}

void
quince_rollout_book_forget_leases (QuinceRolloutBook *book)
{
  quince_sample_leases_forget (book->leases);
}

void
quince_rollout_book_get_counters (const QuinceRolloutBook *book, QuinceRolloutCounters *out)
{
  *out = book->totals.counters;
  out->trainers = g_tree_nnodes (book->trainers);
  out->duplicates_dropped += book->peeked_duplicates;
  out->claims = quince_claim_table_get_length (book->claims);
}
