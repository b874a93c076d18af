/*
 * sim-trainer.c: a trainer that submits steps, pulls them, sometimes twice,
 * and publishes a new weight version after each.
 */
#include "model.h"

#define CALL_DEADLINE (8 * SIM_SECOND)
#define PULL_PAUSE (200 * SIM_MILLISECOND)
#define SAMPLES 6
#define AHEAD 2

typedef struct
{
  SimClient *client;
  guint64 step;      /* to be pulled next      */
  guint64 submitted; /* last step acknowledged */
  guint64 version;
  gboolean submitting;
} SimTrainer;

static void submit (SimWorld *world, SimProcess *process);
static void pull (SimWorld *world, SimProcess *process, gpointer data);

static void
submit_answered (SimWorld *world, SimProcess *process, const QuinceLedgerReply *reply, gpointer data)
{
  SimTrainer *trainer = process->state;
  trainer->submitting = FALSE;
  if (reply->status == QUINCE_LEDGER_OK)
    trainer->submitted++;
  else if (reply->status != QUINCE_LEDGER_UNKNOWN)
    sim_world_violate (world, "submit of step %" G_GUINT64_FORMAT " is answered with status %d",
                       trainer->submitted + 1, reply->status);
  submit (world, process);
}

static void
submit (SimWorld *world, SimProcess *process)
{
  SimTrainer *trainer = process->state;
  guint64 step = trainer->submitted + 1;
  if (trainer->submitting || step > trainer->step + AHEAD || step > sim_model (world)->steps_wanted)
    return;
  trainer->submitting = TRUE;
  QuinceSampleSpec samples[SAMPLES];
  g_autofree char *rollout = g_strdup_printf ("rollout-%" G_GUINT64_FORMAT, step);
  for (guint i = 0; i < SAMPLES; i++)
    samples[i] = (QuinceSampleSpec){ .sample_id = g_strdup_printf ("s%" G_GUINT64_FORMAT "-%u", step, i),
                                     .prompt = (char *)"prompt",
                                     .max_tokens = i == 0 ? 60 : 8 + (guint)(step * 7 + i * 3) % 16 };
  QuinceCommand command = { .kind = QUINCE_COMMAND_SUBMIT };
  QuinceSubmitRollout *body = &command.QuinceCommand_u.submit;
  *body = (QuinceSubmitRollout){ .trainer = (char *)SIM_TRAINER,
                                 .rollout_id = rollout,
                                 .service = (char *)SIM_SERVICE,
                                 .member = (char *)"trainer",
                                 .step = step,
                                 .staleness_bound = SIM_STALENESS_BOUND };
  body->samples.samples_len = SAMPLES;
  body->samples.samples_val = samples;
  sim_client_call (world, process, trainer->client, &command, world->now + CALL_DEADLINE, submit_answered,
                   NULL);
  for (guint i = 0; i < SAMPLES; i++)
    g_free (samples[i].sample_id);
}

static void
take_batch (SimWorld *world, SimProcess *process, const QuinceBatch *batch)
{
  SimTrainer *trainer = process->state;
  SimModel *model = sim_model (world);
  sim_judge_batch (world, batch, trainer->step, trainer->version, SAMPLES);
  if (sim_chance (world, 0.3))
    {
      /* As if the answer had been cut: the same step is pulled again, perhaps
       * after the version has moved on. */
      if (sim_chance (world, 0.5))
        trainer->version++;
      model->newest_weights = trainer->version;
      sim_world_at (world, process, PULL_PAUSE, pull, NULL, NULL);
      return;
    }
  model->judge.steps_delivered++;
  model->judge.samples_delivered += batch->results.results_len;
  trainer->step++;
  trainer->version++;
  model->newest_weights = trainer->version;
  submit (world, process);
  sim_world_at (world, process, 2 * PULL_PAUSE, pull, NULL, NULL);
}

static void
pull_answered (SimWorld *world, SimProcess *process, const QuinceLedgerReply *reply, gpointer data)
{
  SimTrainer *trainer = process->state;
  switch (reply->status)
    {
    case QUINCE_LEDGER_OK:
      take_batch (world, process, &reply->result.QuinceLedgerResult_u.batch);
      return;
    case QUINCE_LEDGER_NOT_COMPLETE:
    case QUINCE_LEDGER_UNKNOWN:
      sim_world_at (world, process, PULL_PAUSE, pull, NULL, NULL);
      return;
    default:
      sim_world_violate (world, "pull of step %" G_GUINT64_FORMAT " is answered with status %d",
                         trainer->step, reply->status);
    }
}

static void
pull (SimWorld *world, SimProcess *process, gpointer data)
{
  SimTrainer *trainer = process->state;
  submit (world, process);
  if (trainer->step > sim_model (world)->steps_wanted)
    return;
  if (trainer->step > trainer->submitted)
    {
      sim_world_at (world, process, PULL_PAUSE, pull, NULL, NULL);
      return;
    }
  QuinceCommand command = { .kind = QUINCE_COMMAND_PULL };
  command.QuinceCommand_u.pull
      = (QuincePullStep){ .trainer = (char *)SIM_TRAINER,
                          .step = trainer->step,
                          /* The planted fault judges by an old version. */
                          .trainer_version
                          = world->mutation == SIM_MUTATION_SKIP_STALENESS ? 1 : trainer->version };
  sim_client_call (world, process, trainer->client, &command, world->now + CALL_DEADLINE, pull_answered,
                   NULL);
}

static void
start (SimWorld *world, SimProcess *process)
{
  SimTrainer *trainer = g_new0 (SimTrainer, 1);
  trainer->client = sim_client_new ();
  trainer->step = 1;
  trainer->version = 1;
  process->state = trainer;
  sim_world_at (world, process, 2 * SIM_SECOND, pull, NULL, NULL);
}

static void
receive (SimWorld *world, SimProcess *process, guint from, QuinceMessage *message)
{
  SimTrainer *trainer = process->state;
  if (message->kind == QUINCE_MESSAGE_LEDGER_REPLY)
    sim_client_receive (world, process, trainer->client, &message->QuinceMessage_u.ledger_reply);
  quince_message_free (message);
}

static void
end (SimWorld *world, SimProcess *process)
{
  SimTrainer *trainer = process->state;
  sim_client_free (trainer->client);
  g_free (trainer);
}

const SimClass sim_trainer_class = { start, receive, NULL, end };
