/*
 * sample-leases.c: who runs which open sample (soft state of the leader).
 */
#include "sample-leases.h"

#include "trainer.h"

struct _QuinceSampleLeases
{
  GSequence *leased; /* of QuinceSample, not owned, earliest lapse first      */
  GQueue rotation;   /* trainers with waiting samples, next one first; the links are the trainers' own */
};

static int
compare_waiting (gconstpointer a, gconstpointer b, gpointer user_data)
{
  const QuinceSample *left = a;
  const QuinceSample *right = b;
  guint left_expected = quince_sample_get_expected_tokens (left);
  guint right_expected = quince_sample_get_expected_tokens (right);

  if (left->step != right->step)
    return left->step < right->step ? -1 : 1;
  if (left_expected != right_expected)
    return left_expected > right_expected ? -1 : 1;
  return (left->position > right->position) - (left->position < right->position);
}

static int
compare_lapse (gconstpointer a, gconstpointer b, gpointer user_data)
{
  const QuinceSample *left = a;
  const QuinceSample *right = b;

  return (left->lease.until_ms > right->lease.until_ms) - (left->lease.until_ms < right->lease.until_ms);
}

QuinceSampleLeases *
quince_sample_leases_new (void)
{
  QuinceSampleLeases *leases = g_new0 (QuinceSampleLeases, 1);

  leases->leased = g_sequence_new (NULL);
  g_queue_init (&leases->rotation);
  return leases;
}

void
quince_sample_leases_free (QuinceSampleLeases *leases)
{
  g_sequence_free (leases->leased);
  g_free (leases);
}

void
quince_sample_leases_add_trainer (QuinceSampleLeases *leases, QuinceTrainer *trainer)
{
  trainer->waiting.queue = g_sequence_new (NULL);
  trainer->waiting.held = g_sequence_new (NULL);
  trainer->waiting.turn.data = trainer;
}

/* Keeps the trainer in the rotation exactly while it has waiting samples. */
static void
update_rotation (QuinceSampleLeases *leases, QuinceTrainer *trainer)
{
  gboolean wanted = !g_sequence_is_empty (trainer->waiting.queue);

  if (wanted == trainer->waiting.queued)
    return;
  if (wanted)
    g_queue_push_tail_link (&leases->rotation, &trainer->waiting.turn);
  else
    g_queue_unlink (&leases->rotation, &trainer->waiting.turn);
  trainer->waiting.queued = wanted;
}

void
quince_sample_leases_remove_trainer (QuinceSampleLeases *leases, QuinceTrainer *trainer)
{
  GSequenceIter *iter = g_sequence_get_begin_iter (leases->leased);

  while (!g_sequence_iter_is_end (iter))
    {
      GSequenceIter *next = g_sequence_iter_next (iter);
      const QuinceSample *sample = g_sequence_get (iter);
      if (sample->trainer == trainer)
        g_sequence_remove (iter);
      iter = next;
    }
  if (trainer->waiting.queued)
    g_queue_unlink (&leases->rotation, &trainer->waiting.turn);
  g_sequence_free (trainer->waiting.queue);
  g_sequence_free (trainer->waiting.held);
}

void
quince_sample_leases_add (QuinceSampleLeases *leases, QuinceSample *sample)
{
  QuinceWaitingSamples *waiting = &sample->trainer->waiting;
  GSequence *queue;

  sample->lease.held_back = !quince_trainer_may_start (sample->trainer, sample);
  queue = sample->lease.held_back ? waiting->held : waiting->queue;
  sample->lease.position = g_sequence_insert_sorted (queue, sample, compare_waiting, NULL);
  update_rotation (leases, sample->trainer);
}

void
quince_sample_leases_remove (QuinceSampleLeases *leases, QuinceSample *sample)
{
  g_clear_pointer (&sample->lease.position, g_sequence_remove);
  g_clear_pointer (&sample->lease.agent, g_free);
  update_rotation (leases, sample->trainer);
}

/* Puts those samples of @queue that are in the wrong one into the other. */
static void
review_queue (QuinceSampleLeases *leases, GSequence *queue)
{
  GSequenceIter *iter = g_sequence_get_begin_iter (queue);

  while (!g_sequence_iter_is_end (iter))
    {
      GSequenceIter *next = g_sequence_iter_next (iter);
      QuinceSample *sample = g_sequence_get (iter);
      if (sample->lease.held_back == quince_trainer_may_start (sample->trainer, sample))
        {
          quince_sample_leases_remove (leases, sample);
          quince_sample_leases_add (leases, sample);
        }
      iter = next;
    }
}

void
quince_sample_leases_review (QuinceSampleLeases *leases, QuinceTrainer *trainer)
{
  review_queue (leases, trainer->waiting.held);
  review_queue (leases, trainer->waiting.queue);
}

static void
lease_to (QuinceSampleLeases *leases, QuinceSample *sample, const char *agent, gint64 until_ms)
{
  g_autofree char *holder = g_strdup (agent);

  quince_sample_leases_remove (leases, sample);
  sample->lease.agent = g_steal_pointer (&holder);
  sample->lease.until_ms = until_ms;
  sample->lease.position = g_sequence_insert_sorted (leases->leased, sample, compare_lapse, NULL);
}

static void
end_lease (QuinceSampleLeases *leases, QuinceSample *sample)
{
  quince_sample_leases_remove (leases, sample);
  quince_sample_leases_add (leases, sample);
}

void
quince_sample_leases_expire (QuinceSampleLeases *leases, gint64 now_ms)
{
  while (!g_sequence_is_empty (leases->leased))
    {
      QuinceSample *sample = g_sequence_get (g_sequence_get_begin_iter (leases->leased));
      if (sample->lease.until_ms > now_ms)
        return;
      end_lease (leases, sample);
    }
}

QuinceSample *
quince_sample_leases_peek (const QuinceSampleLeases *leases)
{
  const GList *turn = leases->rotation.head;
  const QuinceTrainer *trainer;

  if (turn == NULL)
    return NULL;
  trainer = turn->data;
  return g_sequence_get (g_sequence_get_begin_iter (trainer->waiting.queue));
}

void
quince_sample_leases_take (QuinceSampleLeases *leases, const char *agent, gint64 until_ms)
{
  QuinceSample *sample = quince_sample_leases_peek (leases);
  GList *turn;

  g_return_if_fail (sample != NULL);
  turn = g_queue_pop_head_link (&leases->rotation);
  g_queue_push_tail_link (&leases->rotation, turn);
  lease_to (leases, sample, agent, until_ms);
}

void
quince_sample_leases_renew (QuinceSampleLeases *leases,
                            QuinceSample *sample,
                            const char *agent,
                            gint64 until_ms)
{
  if (sample->lease.agent != NULL && !g_str_equal (sample->lease.agent, agent))
    return;
  lease_to (leases, sample, agent, until_ms);
}

void
quince_sample_leases_forget (QuinceSampleLeases *leases)
{
  while (!g_sequence_is_empty (leases->leased))
    end_lease (leases, g_sequence_get (g_sequence_get_begin_iter (leases->leased)));
}
