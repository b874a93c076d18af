/*
 * test-rollout-claims.c: random claims under clocks that leap and differ: an
 * id runs at most once, and a fresh one is not refused.
 */
#include "rollout-rows.h"

#include <quince/request-id.h>

enum
{
  RANDOM_RUNS = 40,
  RANDOM_EVENTS = 400,
  IDS = 60,
  KEEP_LEAST_MS = 5000,
  SKEW_MS = 3000, /* of ids against the ledger's clock                  */
  CLAIMS_MOST = 32,
};

typedef struct
{
  QuinceRequestId id;
  guint64 runner;    /* holder that may have dispatched, 0: none yet      */
  gboolean given;    /* claimed at least once                             */
  gboolean leapt;    /* the clock has leapt since the id was created      */
  gint64 expires_ms; /* fresh until then                                */
} Known;

typedef struct
{
  GRand *random;
  QuinceRolloutBook *book;
  gint64 now_ms;
  Known known[IDS];
  guint refused_forgotten;
} World;

static guint
pick (World *world, guint below)
{
  return (guint)g_rand_int_range (world->random, 0, (gint32)below);
}

/* A new id by the clock of some agent; random bits from the seed. */
static void
create (World *world, Known *known)
{
  gint64 created_ms = world->now_ms - SKEW_MS + pick (world, 2 * SKEW_MS);

  *known = (Known){ .expires_ms = created_ms + KEEP_LEAST_MS };
  for (guint i = 0; i < QUINCE_ID_BYTES; i++)
    known->id[i] = (char)(i < 6 ? created_ms >> (8 * (5 - i)) : pick (world, 4));
}

static QuinceLedgerStatus
call (World *world, QuinceLedgerRecord *record)
{
  g_autoptr (QuinceLedgerReply) reply = g_new0 (QuinceLedgerReply, 1);

  record->leader_time_ms = (guint64)world->now_ms;
  if (!quince_rollout_book_peek (world->book, world->now_ms, &record->command, reply))
    quince_rollout_book_apply (world->book, record, reply);
  return reply->status;
}

static void
claim (World *world, Known *known)
{
  QuinceLedgerRecord record = { .command = { .kind = QUINCE_COMMAND_CLAIM } };
  QuinceClaimRequest *request = &record.command.QuinceCommand_u.claim;
  QuinceLedgerStatus status;

  memcpy (request->request_id, known->id, QUINCE_ID_BYTES);
  request->holder = 1 + pick (world, 3);
  request->keep_ms = KEEP_LEAST_MS + pick (world, 3) * 20000;
  status = call (world, &record);
  if (status == QUINCE_LEDGER_OK)
    {
      assert_true (known->runner == 0 || known->runner == request->holder);
      known->given = TRUE;
      known->runner = request->holder;
      return;
    }
  if (known->given)
    world->refused_forgotten += world->now_ms > known->expires_ms + 3 * 20000;
  else if (status == QUINCE_LEDGER_DUPLICATE) /* refused though nobody has claimed it: only when it is old */
    assert_true (known->leapt || world->now_ms >= known->expires_ms);
}

/* The holder did not dispatch. */
static void
give_back (World *world, Known *known)
{
  QuinceLedgerRecord record = { .command = { .kind = QUINCE_COMMAND_UNCLAIM } };
  QuinceUnclaimRequest *request = &record.command.QuinceCommand_u.unclaim;

  memcpy (request->request_id, known->id, QUINCE_ID_BYTES);
  request->holder = known->runner;
  if (call (world, &record) == QUINCE_LEDGER_OK)
    known->runner = 0;
}

static void
move_clock (World *world)
{
  gint64 leap_ms = pick (world, 20) == 0 ? 3600 * 1000 : 0;

  world->now_ms += (gint64)pick (world, 2000) + leap_ms;
  for (guint i = 0; i < IDS && leap_ms > 0; i++)
    world->known[i].leapt = TRUE;
}

static void
random_event (World *world)
{
  Known *known = &world->known[pick (world, IDS)];
  QuinceRolloutBook *loaded;

  switch (pick (world, 16))
    {
    case 0:
      create (world, known);
      break;
    case 1:
    case 2:
      move_clock (world);
      break;
    case 3:
      loaded = reload (world->book);
      quince_rollout_book_free (world->book);
      world->book = loaded;
      break;
    case 4:
      if (known->runner != 0)
        give_back (world, known);
      break;
    default:
      claim (world, known);
    }
}

static void
test_random_claims (void **state)
{
  guint refused_forgotten = 0;

  for (guint seed = 1; seed <= RANDOM_RUNS; seed++)
    {
      World world
          = { .random = g_rand_new_with_seed (seed), .book = quince_rollout_book_new (), .now_ms = 10000000 };
      for (guint i = 0; i < IDS; i++)
        create (&world, &world.known[i]);
      for (guint i = 0; i < RANDOM_EVENTS; i++)
        random_event (&world);
      refused_forgotten += world.refused_forgotten;
      quince_rollout_book_free (world.book);
      g_rand_free (world.random);
    }
  /* The events reach what they are meant for. */
  assert_true (refused_forgotten > 0);
}

/* ---- Table --------------------------------------------------------------- */

static QuinceLedgerStatus
claim_in (QuinceClaimTable *table, const char *name, guint64 holder, guint64 now_ms)
{
  QuinceClaimRequest request = { .holder = holder, .keep_ms = 100 };

  fill_request_id (request.request_id, name);
  return quince_claim_table_claim (table, now_ms, &request);
}

static void
test_full_table (void **state)
{
  QuinceClaimTable *table = quince_claim_table_new (CLAIMS_MOST);

  for (guint i = 0; i < CLAIMS_MOST; i++)
    {
      g_autofree char *name = g_strdup_printf ("x@%u", (i * 7919) % 10000);
      assert_int_equal (claim_in (table, name, 1, 10000), QUINCE_LEDGER_OK);
    }
  assert_int_equal (claim_in (table, "y@9000", 1, 10000), QUINCE_LEDGER_BUSY);
  assert_int_equal (claim_in (table, "x@0", 1, 10000), QUINCE_LEDGER_OK);
  assert_int_equal (claim_in (table, "x@0", 2, 10000), QUINCE_LEDGER_DUPLICATE);
  quince_claim_table_expire (table, 10099);
  assert_int_equal (quince_claim_table_get_length (table), CLAIMS_MOST);
  quince_claim_table_expire (table, 10100);
  assert_int_equal (quince_claim_table_get_length (table), 0);
  assert_int_equal (quince_claim_table_get_floor_ms (table), 10000);
  assert_int_equal (claim_in (table, "y@9999", 1, 10100), QUINCE_LEDGER_DUPLICATE);
  assert_int_equal (claim_in (table, "y@10000", 1, 10100), QUINCE_LEDGER_OK);
  quince_claim_table_free (table);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_random_claims),
    cmocka_unit_test (test_full_table),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
