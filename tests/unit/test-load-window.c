/*
 * test-load-window.c: loads of weights at once, at a source that bears a number of them which nobody tells.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/weights/load-window.h"

#define ALONE_US (900 * 1000)
#define CHECK_INTERVAL_US (80 * 1000)
#define TURN_US (20 * 1000)
#define WORKERS_MAX 600

/* Workers that are to load again and again, as many at once as the window says; a load goes on by its share
 * of what the source bears. */
typedef struct
{
  QuinceLoadWindow window;
  guint bears;
  guint most;
  gint64 now_us;
  guint loading;
  gint64 began_us[WORKERS_MAX];
  double left_us[WORKERS_MAX];
  guint loaded;
  gint64 took_us; /* all of them together */
  guint peak;
} World;

static void
load_ended (World *world, guint i)
{
  /* It is seen at a look. */
  gint64 took_us = world->now_us - world->began_us[i] + CHECK_INTERVAL_US;
  world->loaded++;
  world->took_us += took_us;
  quince_load_window_record_load (&world->window, world->began_us[i] + took_us, world->began_us[i],
                                  world->most);
  world->loading--;
  world->began_us[i] = world->began_us[world->loading];
  world->left_us[i] = world->left_us[world->loading];
}

static void
run (World *world, guint seconds)
{
  world->loaded = 0;
  world->took_us = 0;
  for (guint turn = 0; turn < seconds * (G_USEC_PER_SEC / TURN_US); turn++)
    {
      world->now_us += TURN_US;
      double pace = world->loading > world->bears ? (double)world->bears / world->loading : 1;
      for (guint i = world->loading; i > 0; i--)
        if ((world->left_us[i - 1] -= pace * TURN_US) <= 0)
          load_ended (world, i - 1);
      while (world->loading < quince_load_window_get_size (&world->window, world->most))
        {
          world->began_us[world->loading] = world->now_us;
          world->left_us[world->loading++] = ALONE_US;
        }
      world->peak = MAX (world->peak, world->loading);
    }
}

static gint64
mean_us (const World *world)
{
  return world->took_us / MAX (world->loaded, 1);
}

/* Ten at once are borne and the workers are thousands: loads stay short, and most of what is borne is used.
 */
static void
test_slow_source (void **state)
{
  World world = { .bears = 10, .most = 564, .now_us = 1 };
  run (&world, 10);
  run (&world, 60);
  print_message ("at most %u at once, %u loaded in a minute, each in %.2f s\n", world.peak, world.loaded,
                 (double)mean_us (&world) / G_USEC_PER_SEC);
  assert_true (world.peak < 30);
  assert_true (mean_us (&world) < 16 * ALONE_US / 10);
  assert_true (world.loaded > 60 * 8);
}

/* All that are to load may load at once: it does not take long until they do. */
static void
test_fast_source (void **state)
{
  World world = { .bears = 1000, .most = 200, .now_us = 1 };
  run (&world, 6);
  assert_int_equal (quince_load_window_get_size (&world.window, world.most), 200);
  assert_true (mean_us (&world) < 12 * ALONE_US / 10);
}

/* A small service keeps its bound, whatever the loads take. */
static void
test_small_service (void **state)
{
  World world = { .bears = 2, .most = 2, .now_us = 1 };
  run (&world, 20);
  assert_int_equal (world.peak, 2);
  assert_int_equal (quince_load_window_get_size (&world.window, 2), 2);
  assert_int_equal (quince_load_window_get_size (&world.window, 0), 1);
}

/* Loads that began before the number fell do not let it fall again. */
static void
test_single_decrease_per_round (void **state)
{
  QuinceLoadWindow window = { 0 };
  gint64 began = 1;
  quince_load_window_record_load (&window, began + ALONE_US, began, 100);
  for (guint i = 0; i < 40; i++)
    quince_load_window_record_load (&window, began + 5 * ALONE_US + i, began, 100);
  assert_true (quince_load_window_get_size (&window, 100) >= 6);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_slow_source),
    cmocka_unit_test (test_fast_source),
    cmocka_unit_test (test_small_service),
    cmocka_unit_test (test_single_decrease_per_round),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
