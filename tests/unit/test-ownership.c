/*
 * test-ownership.c: who polls an engine, and what its owner tells the others.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include <quince/engine-readings.h>
#include <quince/membership.h>
#include <quince/ownership.h>

#define SECOND G_TIME_SPAN_SECOND
#define MILLISECOND G_TIME_SPAN_MILLISECOND
#define ZONE "z1"
#define NODES 17
#define ENGINES 209
#define FOREIGN 500
#define FOREIGN_MOST 8

static char *
name_of (const char *kind, guint index)
{
  return g_strdup_printf ("%s-%u", kind, index);
}

/* What node @self does, when the nodes whose bit in @live is set are alive. */
static QuinceOwnership *
make_view (guint self, guint live, guint foreign)
{
  g_autofree char *name = name_of ("node", self);
  QuinceOwnership *view = quince_ownership_new (name, ZONE, FOREIGN_MOST);
  g_autoptr (GPtrArray) names = g_ptr_array_new_with_free_func (g_free);
  for (guint i = 0; i < NODES; i++)
    if ((live >> i & 1) != 0)
      g_ptr_array_add (names, name_of ("node", i));
  quince_ownership_set_nodes (view, names);
  for (guint i = 0; i < ENGINES + foreign; i++)
    {
      g_autofree char *engine = name_of ("engine", i);
      quince_ownership_add_engine (view, engine, i % 2 == 0 ? "a" : "b", i < ENGINES ? ZONE : "z2");
    }
  return view;
}

/* Nodes with that duty for engine @index. */
static guint
count_duty (QuinceOwnership *const *views, guint index, QuinceDuty duty)
{
  g_autofree char *engine = name_of ("engine", index);
  guint count = 0;
  for (guint i = 0; i < NODES; i++)
    count += views[i] != NULL && quince_ownership_get_duty (views[i], engine) == duty ? 1 : 0;
  return count;
}

static void
free_views (QuinceOwnership **views)
{
  for (guint i = 0; i < NODES; i++)
    g_clear_pointer (&views[i], quince_ownership_free);
}

static void
test_one_owner_and_one_spare (void **state)
{
  QuinceOwnership *views[NODES];
  guint most = 0;
  for (guint i = 0; i < NODES; i++)
    views[i] = make_view (i, (1U << NODES) - 1, FOREIGN);
  for (guint i = 0; i < ENGINES; i++)
    {
      assert_int_equal (count_duty (views, i, QUINCE_DUTY_OWN), 1);
      assert_int_equal (count_duty (views, i, QUINCE_DUTY_SPARE), 1);
      assert_int_equal (count_duty (views, i, QUINCE_DUTY_FOLLOW), NODES - 2);
    }
  for (guint n = 0; n < NODES; n++)
    {
      guint owned = 0;
      for (guint i = 0; i < ENGINES; i++)
        {
          g_autofree char *engine = name_of ("engine", i);
          owned += quince_ownership_get_duty (views[n], engine) == QUINCE_DUTY_OWN ? 1 : 0;
        }
      most = MAX (most, owned);
    }
  assert_true (most < 3 * ENGINES / NODES);
  free_views (views);
}

/* Those of other zones: so many a service, the same ones on all nodes. */
static void
test_foreign_engines_are_few (void **state)
{
  QuinceOwnership *views[NODES];
  guint used = 0;
  for (guint i = 0; i < NODES; i++)
    views[i] = make_view (i, (1U << NODES) - 1, FOREIGN);
  for (guint i = ENGINES; i < ENGINES + FOREIGN; i++)
    {
      guint owners = count_duty (views, i, QUINCE_DUTY_OWN);
      assert_int_equal (count_duty (views, i, QUINCE_DUTY_NONE), owners == 0 ? NODES : 0);
      used += owners;
    }
  assert_int_equal (used, 2 * FOREIGN_MOST);
  free_views (views);
}

/* The spare follows a lost owner; no other engine changes hands. */
static void
test_spare_takes_over (void **state)
{
  const guint lost = 3;
  for (guint n = 0; n < NODES; n++)
    {
      if (n == lost)
        continue;
      g_autoptr (QuinceOwnership) before = make_view (n, (1U << NODES) - 1, 0);
      g_autoptr (QuinceOwnership) after = make_view (n, ((1U << NODES) - 1) & ~(1U << lost), 0);
      g_autoptr (QuinceOwnership) gone = make_view (lost, (1U << NODES) - 1, 0);
      for (guint i = 0; i < ENGINES; i++)
        {
          g_autofree char *engine = name_of ("engine", i);
          QuinceDuty lost_duty = quince_ownership_get_duty (gone, engine);
          QuinceDuty was = quince_ownership_get_duty (before, engine);
          QuinceDuty is = quince_ownership_get_duty (after, engine);
          if (lost_duty == QUINCE_DUTY_OWN && was == QUINCE_DUTY_SPARE)
            assert_int_equal (is, QUINCE_DUTY_OWN);
          else if (lost_duty == QUINCE_DUTY_FOLLOW || was != QUINCE_DUTY_FOLLOW)
            assert_int_equal (is, was);
        }
    }
}

static void
test_alone_owns_all (void **state)
{
  g_autoptr (QuinceOwnership) view = make_view (0, 0, 0);
  for (guint i = 0; i < ENGINES; i++)
    {
      g_autofree char *engine = name_of ("engine", i);
      assert_int_equal (quince_ownership_get_duty (view, engine), QUINCE_DUTY_OWN);
      quince_ownership_remove_engine (view, engine);
      assert_int_equal (quince_ownership_get_duty (view, engine), QUINCE_DUTY_NONE);
    }
}

/* Above what is seen while all is well, and below the age at which an engine gets no work. */
static void
test_follow_bound (void **state)
{
  assert_int_equal (quince_ownership_follow_bound_us (50 * MILLISECOND, 400 * MILLISECOND, 3 * SECOND),
                    1200 * MILLISECOND);
  assert_int_equal (quince_ownership_follow_bound_us (500 * MILLISECOND, 1200 * MILLISECOND, 3 * SECOND),
                    2400 * MILLISECOND);
  assert_int_equal (quince_ownership_follow_bound_us (500 * MILLISECOND, 9 * SECOND, 3 * SECOND), 3 * SECOND);
}

/* ---- Readings -------------------------------------------------------------- */

typedef struct
{
  const char *name;
  QuinceEngineFigures figures;
  guint64 base;
  gboolean fits;
} ReadingCase;

static const ReadingCase reading_cases[] = {
  { "idle", { .capacity = 16 }, 0, TRUE },
  { "busy", { 16, 300, 16, 41, 42, FALSE, 480 * MILLISECOND }, 41, TRUE },
  { "leaving", { 1, 0, 16, 7, 0, TRUE, 0 }, 7, TRUE },
  { "greatest", { 2047, 1023, 1023, 5000 + 4094, 5000, TRUE, 4080 * MILLISECOND }, 5000, TRUE },
  { "versions too far apart", { 1, 0, 16, 5000 + 4095, 0, FALSE, 0 }, 5000, FALSE },
  { "version below the base", { 1, 0, 16, 6, 0, FALSE, 0 }, 7, FALSE },
  { "too large", { 1, 0, 1024, 7, 0, FALSE, 0 }, 7, FALSE },
  { "too old", { 1, 0, 16, 7, 0, FALSE, 5 * SECOND }, 7, FALSE },
};

static void
test_reading (void **state)
{
  for (guint i = 0; i < G_N_ELEMENTS (reading_cases); i++)
    {
      const ReadingCase *reading_case = &reading_cases[i];
      const QuinceEngineFigures *figures = &reading_case->figures;
      QuinceEngineReading reading;
      QuinceEngineFigures back;
      print_message ("  %s\n", reading_case->name);
      assert_int_equal (quince_engine_reading_pack ("e1", figures, reading_case->base, &reading),
                        reading_case->fits);
      if (!reading_case->fits)
        continue;
      quince_engine_reading_unpack (&reading, reading_case->base, &back);
      assert_int_equal (reading.engine, quince_engine_reading_key ("e1"));
      assert_int_equal (back.running, figures->running);
      assert_int_equal (back.waiting, figures->waiting);
      assert_int_equal (back.capacity, figures->capacity);
      assert_int_equal (back.weight_version, figures->weight_version);
      assert_int_equal (back.target_version, figures->target_version);
      assert_int_equal (back.leaving, figures->leaving);
      assert_true (back.age_us >= figures->age_us && back.age_us < figures->age_us + 16 * MILLISECOND);
    }
}

static void
test_base_of_versions (void **state)
{
  assert_int_equal (quince_engine_reading_base (0, 0, 0), 0);
  assert_int_equal (quince_engine_reading_base (0, 9, 0), 9);
  assert_int_equal (quince_engine_reading_base (9, 0, 8), 8);
  assert_int_equal (quince_engine_reading_base (8, 9, 10), 8);
}

/* A message that waited is as old as it is, though the clocks differ. */
static void
test_waiting_message_is_old (void **state)
{
  QuinceTransitClock clock = { 0 };
  const gint64 own = 1000 * SECOND;
  const guint64 other = 5 * SECOND;
  assert_int_equal (quince_transit_clock_sent_at (&clock, 1, other, own), own);
  assert_int_equal (quince_transit_clock_sent_at (&clock, 1, other + SECOND, own + 4 * SECOND) / MILLISECOND,
                    (own + SECOND + 2 * MILLISECOND) / MILLISECOND);
  /* Another process of the same name has another clock. */
  assert_int_equal (quince_transit_clock_sent_at (&clock, 2, 77, own + 9 * SECOND), own + 9 * SECOND);
}

/* ---- Spread ----------------------------------------------------------------- */

#define MEMBERS 16
#define OWNED 16
#define BUDGET_PART 3200 /* bytes a second */
#define IP_UDP_BYTES 28
#define TICK (100 * MILLISECOND)

static QuinceMember
make_member (char *name, char *address)
{
  return (QuinceMember){
    .name = name, .zone = ZONE, .address = address, .gossip_address = address, .incarnation = 1
  };
}

static QuinceMembership *
make_zone (guint members, gint64 now_us)
{
  QuinceMember self = make_member ("self", "127.0.0.1:1");
  QuinceMembership *membership
      = quince_membership_new (&quince_membership_default_limits, &self, NULL, 1, now_us);
  for (guint i = 0; i < members; i++)
    {
      g_autofree char *name = name_of ("node", i);
      g_autofree char *address = g_strdup_printf ("127.0.0.1:%u", i + 2);
      g_autoptr (GPtrArray) sends = quince_membership_sends_new ();
      QuinceMember member = make_member (name, address);
      QuinceGossip gossip = { .kind = QUINCE_GOSSIP_ACK, .from = name, .target = "", .target_address = "" };
      gossip.updates.updates_len = 1;
      gossip.updates.updates_val = &member;
      quince_membership_receive (membership, now_us, address, &gossip, sends);
    }
  return membership;
}

typedef struct
{
  guint members;
  guint owned;
  gint64 round_most_us; /* of what the budget allows */
} SpreadCase;

static const SpreadCase spread_cases[] = {
  { 2, 4, 400 * MILLISECOND },
  { MEMBERS, OWNED, 2 * SECOND },
};

/* All members are told equally often, within the budget's part, and in rounds of bounded time. */
static void
test_spread_in_rounds (void **state)
{
  for (guint c = 0; c < G_N_ELEMENTS (spread_cases); c++)
    {
      const SpreadCase *spread_case = &spread_cases[c];
      gint64 now_us = 100 * SECOND;
      QuinceEngineReading owned[OWNED] = { 0 };
      QuinceEngineReadings readings = { .incarnation = 1 };
      readings.engines.engines_len = spread_case->owned;
      readings.engines.engines_val = owned;
      g_autoptr (QuinceMembership) membership = make_zone (spread_case->members, now_us);
      g_autoptr (GHashTable) told = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      guint64 bytes = 0;
      for (guint tick = 0; tick < 200; tick++, now_us += TICK)
        {
          g_autoptr (GPtrArray) sends = quince_membership_sends_new ();
          quince_membership_spread_readings (membership, now_us, &readings, 1, sends);
          for (guint i = 0; i < sends->len; i++)
            {
              const QuinceMembershipSend *send = sends->pdata[i];
              guint times = GPOINTER_TO_UINT (g_hash_table_lookup (told, send->address));
              const QuinceNodeDigest *digest = &send->gossip->digests.digests_val[0];
              assert_int_equal (digest->readings.readings_len, 1);
              assert_int_equal (digest->readings.readings_val->engines.engines_len, spread_case->owned);
              g_hash_table_replace (told, g_strdup (send->address), GUINT_TO_POINTER (times + 1));
              bytes += xdr_sizeof ((xdrproc_t)xdr_QuinceGossip, send->gossip) + IP_UDP_BYTES;
            }
        }
      assert_int_equal (bytes, quince_membership_get_readings_bytes (membership));
      assert_true (bytes <= 21 * BUDGET_PART);
      assert_int_equal (g_hash_table_size (told), spread_case->members);
      assert_true (quince_membership_get_readings_round_us (membership) <= spread_case->round_most_us);
      print_message ("  members=%u owned=%u bytes_per_s=%u round_ms=%d\n", spread_case->members,
                     spread_case->owned, (guint)(bytes / 20),
                     (int)(quince_membership_get_readings_round_us (membership) / MILLISECOND));
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_one_owner_and_one_spare),
    cmocka_unit_test (test_foreign_engines_are_few),
    cmocka_unit_test (test_spare_takes_over),
    cmocka_unit_test (test_alone_owns_all),
    cmocka_unit_test (test_follow_bound),
    cmocka_unit_test (test_reading),
    cmocka_unit_test (test_base_of_versions),
    cmocka_unit_test (test_waiting_message_is_old),
    cmocka_unit_test (test_spread_in_rounds),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
