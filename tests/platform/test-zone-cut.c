/*
 * test-zone-cut.c: the network between a zone and the others is gone, while it still reaches callers, its own
 * workers and the metadata store.
 */
#include "zone-cut-world.h"

static void
test_zone_of_the_leader (void **state)
{
  Cut cut = cut_start ("cut-leader", ZONE_REPLICAS);
  ZoneBatch *open = zone_submit (cut.zones, ZONES);
  AWAIT (zone_runs (cut.zones, open, NULL) > 0);
  cut.zone = zone_of_leader (cut.zones);
  cut_set (&cut, TRUE);
  cut_work_through (&cut, open);
  cut_join (&cut);
  cut_end (&cut);
}

static void
test_other_zone (void **state)
{
  Cut cut = cut_start ("cut-other", ZONE_REPLICAS);
  ZoneBatch *open = zone_submit (cut.zones, ZONES);
  AWAIT (zone_runs (cut.zones, open, NULL) > 0);
  cut.zone = (zone_of_leader (cut.zones) + 1) % ZONES;
  cut_set (&cut, TRUE);
  cut_work_through (&cut, open);
  cut_join (&cut);
  cut_end (&cut);
}

/* Each zone in turn, each cut as soon as the one before is joined. */
static void
test_all_zones_in_turn (void **state)
{
  Cut cut = cut_start ("cut-turn", ZONE_REPLICAS);
  for (guint i = 0; i < ZONES; i++)
    {
      ZoneBatch *open = zone_submit (cut.zones, ZONES);
      cut.zone = i;
      cut_set (&cut, TRUE);
      cut_work_through (&cut, open);
      cut_join (&cut);
    }
  cut_end (&cut);
}

/* A batch that was sent into the cut zone is taken elsewhere, once. */
static void
test_batch_sent_to_both_sides (void **state)
{
  Cut cut = cut_start ("cut-both", ZONE_REPLICAS);
  cut.zone = zone_of_leader (cut.zones);
  cut_set (&cut, TRUE);
  g_autofree char *id = g_strdup_printf ("b%u", cut.zones->batches->len);
  g_autofree char *text = path_make_batch (id, ZONE_ITEMS);
  PathAnswer inside;
  path_start_call (path_front (cut.relayed->path, cut.zone), "POST", "/r/batch", id, text, &inside);
  ZoneBatch *batch = zone_submit (cut.zones, cut.zone);
  assert_string_equal (batch->id, id);
  zone_await_whole (cut.zones, (cut.zone + 1) % ZONES, batch);
  cut_look_from_inside (&cut, batch);
  cut_join (&cut);
  AWAIT (inside.done);
  print_message ("  answered %u inside\n", inside.status);
  path_answer_clear (&inside);
  cut_end (&cut);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_zone_of_the_leader),
    cmocka_unit_test (test_other_zone),
    cmocka_unit_test (test_all_zones_in_turn),
    cmocka_unit_test (test_batch_sent_to_both_sides),
  };
  return cmocka_run_group_tests_name ("zone-cut", tests, NULL, NULL);
}
