/*
 * test-zone-state.c: zones and regions of machines, evacuated zones, and data residency.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "core/routing/machine-zones.h"
#include "core/routing/residency.h"
#include "core/routing/topology.h"
#include "core/routing/zone-table.h"

static void
test_zone_regions (void **state)
{
  g_autoptr (QuinceTopology) topology = quince_topology_new ("a1", "a");
  assert_true (quince_topology_add_zones (topology, "a1=a, a2=a,b1=b", NULL));
  assert_string_equal (quince_topology_get_region (topology, "a1"), "a");
  assert_string_equal (quince_topology_get_region (topology, "a2"), "a");
  assert_string_equal (quince_topology_get_region (topology, "b1"), "b");
  assert_null (quince_topology_get_region (topology, "unknown"));
  assert_int_equal (quince_topology_count_regions (topology), 2);
  assert_string_equal (quince_topology_get_own_zone (topology), "a1");
  assert_string_equal (quince_topology_get_own_region (topology), "a");
}

static void
test_malformed_zone_lists (void **state)
{
  static const char *const malformed[] = { "a1", "a1=", "=a", "a1=a,", "a1=a=b" };
  for (guint i = 0; i < G_N_ELEMENTS (malformed); i++)
    {
      g_autoptr (QuinceTopology) topology = quince_topology_new ("a1", "");
      g_autoptr (GError) error = NULL;
      assert_false (quince_topology_add_zones (topology, malformed[i], &error));
      assert_true (g_error_matches (error, QUINCE_TOPOLOGY_ERROR, QUINCE_TOPOLOGY_ERROR_INVALID));
    }
}

static void
test_own_region_from_list (void **state)
{
  g_autoptr (QuinceTopology) topology = quince_topology_new ("a1", "");
  assert_string_equal (quince_topology_get_own_region (topology), "");
  assert_true (quince_topology_add_zones (topology, "a1=a", NULL));
  assert_string_equal (quince_topology_get_own_region (topology), "a");
}

static void
test_ignore_older_revision (void **state)
{
  g_autoptr (QuinceZoneTable) table = quince_zone_table_new ();
  assert_true (quince_zone_table_set_evacuated (table, 1, "a1", 10, TRUE));
  assert_false (quince_zone_table_set_evacuated (table, 2, "a1", 10, TRUE));
  assert_true (quince_zone_table_is_evacuated (table, "a1"));
  assert_int_equal (quince_zone_table_get_n_evacuated (table), 1);
  assert_true (quince_zone_table_set_evacuated (table, 3, "a1", 12, FALSE));
  /* The zone returns at 3: its share of new work is lowest then and grows afterwards. */
  double share_at_return = quince_zone_table_get_share (table, 3, "a1");
  assert_true (share_at_return < 1);
  assert_true (quince_zone_table_get_share (table, 2, "a1") == share_at_return);
  assert_true (quince_zone_table_get_share (table, 4, "a1") > share_at_return);
  /* A change that is older than the return arrives late. */
  assert_false (quince_zone_table_set_evacuated (table, 4, "a1", 10, TRUE));
  assert_false (quince_zone_table_is_evacuated (table, "a1"));
  assert_true (quince_zone_table_set_evacuated (table, 5, "a1", 13, TRUE));
  assert_true (quince_zone_table_get_share (table, 5, "a1") == 0);
  assert_true (quince_zone_table_set_evacuated (table, 6, "b1", 14, TRUE));
  g_autoptr (GPtrArray) evacuated = quince_zone_table_list_evacuated (table);
  assert_int_equal (evacuated->len, 2);
  assert_string_equal (evacuated->pdata[1], "b1");
}

static void
test_share_grows_after_return (void **state)
{
  const gint64 second_us = G_USEC_PER_SEC;
  g_autoptr (QuinceZoneTable) table = quince_zone_table_new ();
  assert_true (quince_zone_table_get_share (table, second_us, "a1") == 1);
  quince_zone_table_set_evacuated (table, second_us, "a1", 10, TRUE);
  assert_true (quince_zone_table_get_share (table, 2 * second_us, "a1") == 0);
  assert_int_equal (quince_zone_table_get_evacuated_us (table, "a1"), second_us);
  assert_false (quince_zone_table_has_returning_zone (table, 2 * second_us));
  quince_zone_table_set_evacuated (table, 5 * second_us, "a1", 11, FALSE);
  assert_int_equal (quince_zone_table_get_evacuated_us (table, "a1"), 0);
  assert_true (quince_zone_table_has_returning_zone (table, 5 * second_us));
  double last_share = 0;
  for (gint64 now_us = 5 * second_us; now_us < 8 * second_us; now_us += second_us / 2)
    {
      double share = quince_zone_table_get_share (table, now_us, "a1");
      assert_true (share > last_share && share < 1);
      assert_true (quince_zone_table_get_share (table, now_us, "b1") == 1);
      last_share = share;
    }
  assert_true (quince_zone_table_get_share (table, 8 * second_us, "a1") == 1);
  assert_false (quince_zone_table_has_returning_zone (table, 8 * second_us));
  /* The zone is evacuated again shortly after its return. */
  quince_zone_table_set_evacuated (table, 9 * second_us, "a1", 12, TRUE);
  assert_true (quince_zone_table_get_share (table, 9 * second_us, "a1") == 0);
}

static void
test_residency (void **state)
{
  static const char *const regions_a_b[] = { "a", "b", NULL };
  static const char *const region_b[] = { "b", NULL };
  static const char *const no_regions[] = { NULL };
  const QuinceResidency unrestricted = { NULL, NULL };
  const QuinceResidency route = { regions_a_b, NULL };
  const QuinceResidency route_and_tenant = { regions_a_b, region_b };
  const QuinceResidency no_region = { no_regions, NULL };
  assert_true (quince_residency_is_unrestricted (NULL));
  assert_true (quince_residency_is_unrestricted (&unrestricted));
  assert_true (quince_residency_allows (&unrestricted, NULL));
  assert_true (quince_residency_allows (&route, "a"));
  assert_false (quince_residency_allows (&route, "c"));
  assert_false (quince_residency_allows (&route, NULL));
  assert_false (quince_residency_allows (&route, ""));
  assert_false (quince_residency_allows (&route_and_tenant, "a"));
  assert_true (quince_residency_allows (&route_and_tenant, "b"));
  assert_false (quince_residency_allows (&no_region, "a"));
}

static void
test_machine_zones (void **state)
{
  static const char *const region_a[] = { "a", NULL };
  static const char *const regions_a_b[] = { "a", "b", NULL };
  const QuinceResidency residencies[] = { { regions_a_b, NULL }, { NULL, region_a } };
  g_autoptr (QuinceTopology) topology = quince_topology_new ("a1", "a");
  assert_true (quince_topology_add_zones (topology, "a1=a,a2=a,b1=b", NULL));
  assert_int_equal (quince_topology_count_regions (topology), 2);
  g_autoptr (QuinceMachineZones) zones = quince_machine_zones_new (topology);
  quince_machine_zones_set (zones, "n3", "b1");
  quince_machine_zones_set (zones, "n2", "a2");
  quince_machine_zones_set (zones, "n1", "a1");
  quince_machine_zones_set (zones, "n4", "nowhere");
  assert_true (quince_machine_zones_is_allowed (zones, &residencies[0], "n3"));
  assert_false (quince_machine_zones_is_allowed (zones, &residencies[1], "n3"));
  assert_false (quince_machine_zones_is_allowed (zones, &residencies[0], "n4"));
  assert_false (quince_machine_zones_is_allowed (zones, &residencies[0], "n5"));
  assert_true (quince_machine_zones_is_allowed (zones, NULL, "n5"));
  g_autoptr (GPtrArray) allowed = quince_machine_zones_list_allowed (zones, residencies, 2);
  assert_int_equal (allowed->len, 2);
  assert_string_equal (allowed->pdata[0], "n1");
  assert_string_equal (allowed->pdata[1], "n2");
  quince_machine_zones_set (zones, "n1", NULL);
  assert_false (quince_machine_zones_is_allowed (zones, &residencies[0], "n1"));
}

/* If the deployment has one region, every machine is in it. */
static void
test_single_region (void **state)
{
  static const char *const region_a[] = { "a", NULL };
  const QuinceResidency residency = { region_a, NULL };
  g_autoptr (QuinceTopology) topology = quince_topology_new ("a1", "a");
  g_autoptr (QuinceMachineZones) zones = quince_machine_zones_new (topology);
  assert_true (quince_machine_zones_is_allowed (zones, &residency, "any"));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_zone_regions),
    cmocka_unit_test (test_malformed_zone_lists),
    cmocka_unit_test (test_own_region_from_list),
    cmocka_unit_test (test_ignore_older_revision),
    cmocka_unit_test (test_share_grows_after_return),
    cmocka_unit_test (test_residency),
    cmocka_unit_test (test_machine_zones),
    cmocka_unit_test (test_single_region),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
