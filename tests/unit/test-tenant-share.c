/*
 * test-tenant-share.c: guards against a limit of tenants that applies while slots are free, that refuses
 * tenants below their share, or that does not end.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/decisions/tenant-share.h"

static void
begin_many (QuinceTenantShare *share, const char *tenant, guint n, gint64 now_us)
{
  for (guint i = 0; i < n; i++)
    quince_tenant_share_begin (share, tenant, now_us);
}

/* A service that is not full refuses no tenant, however many requests it has in flight. */
static void
test_not_full (void **state)
{
  g_autoptr (QuinceTenantShare) share = quince_tenant_share_new ();
  begin_many (share, "a", 500, 1);
  begin_many (share, "b", 1, 1);
  assert_true (quince_tenant_share_admit (share, "a", 2));
}

/* A single active tenant may use the whole service; a second one counts until it was idle for a while. */
static void
test_single_tenant (void **state)
{
  g_autoptr (QuinceTenantShare) share = quince_tenant_share_new ();
  gint64 now = 1;
  begin_many (share, "a", 40, now);
  quince_tenant_share_handle_refusal (share, now);
  assert_true (quince_tenant_share_is_full (share));
  assert_true (quince_tenant_share_admit (share, "a", now));
  begin_many (share, "b", 1, now);
  quince_tenant_share_end (share, "b", now);
  assert_false (quince_tenant_share_admit (share, "a", now));
  now += QUINCE_TENANT_SHARE_ACTIVE_US;
  quince_tenant_share_handle_refusal (share, now);
  assert_true (quince_tenant_share_admit (share, "a", now));
}

/* Tenants below their share are admitted at any limit, also where nobody else is left to be refused. */
static void
test_small_tenants (void **state)
{
  g_autoptr (QuinceTenantShare) share = quince_tenant_share_new ();
  begin_many (share, "burst", 40, 1);
  begin_many (share, "b", 2, 1);
  for (gint64 now = 1; now < 5 * QUINCE_TENANT_SHARE_CUT_INTERVAL_US; now += 1000)
    quince_tenant_share_handle_refusal (share, now);
  const gint64 end = 5 * QUINCE_TENANT_SHARE_CUT_INTERVAL_US;
  assert_false (quince_tenant_share_admit (share, "burst", end));
  assert_true (quince_tenant_share_admit (share, "b", end));
  assert_true (quince_tenant_share_admit (share, "new", end));
  /* Small tenants whose front has no part of the burst are not refused either. */
  g_autoptr (QuinceTenantShare) quiet = quince_tenant_share_new ();
  for (guint i = 0; i < QUINCE_TENANT_SHARE_STARTS_MIN - 1; i++)
    {
      const char *tenant = i % 2 == 0 ? "a" : "b";
      assert_true (quince_tenant_share_admit (quiet, tenant, i));
      quince_tenant_share_begin (quiet, tenant, i);
      quince_tenant_share_handle_refusal (quiet, i);
      quince_tenant_share_end (quiet, tenant, i);
    }
}

/* Requests that last longer than the time between two cuts, as streams do, do not take the limit to 0; and a
 * tenant with less in flight than the mean is admitted when the limit is below one for each tenant. */
static void
test_long_requests (void **state)
{
  g_autoptr (QuinceTenantShare) share = quince_tenant_share_new ();
  gint64 now = 1;
  begin_many (share, "heavy", 40, now);
  begin_many (share, "light", 1, now);
  for (guint i = 0; i < 100; i++)
    {
      now += QUINCE_TENANT_SHARE_CUT_INTERVAL_US / 2;
      quince_tenant_share_handle_refusal (share, now);
    }
  /* 20 in flight at a limit of 20, half of 41; then 19. */
  for (guint i = 0; i < 21; i++)
    quince_tenant_share_end (share, "heavy", now);
  assert_false (quince_tenant_share_admit (share, "heavy", now));
  quince_tenant_share_end (share, "heavy", now);
  assert_true (quince_tenant_share_admit (share, "heavy", now));
  /* 2 and 1 in flight at a limit of 1. */
  for (guint i = 0; i < 16; i++)
    quince_tenant_share_end (share, "heavy", now);
  for (guint i = 0; i < 10; i++)
    {
      now += QUINCE_TENANT_SHARE_CUT_INTERVAL_US / 2;
      quince_tenant_share_handle_refusal (share, now);
    }
  assert_false (quince_tenant_share_admit (share, "heavy", now));
  assert_true (quince_tenant_share_admit (share, "light", now));
}

static void
test_limit_ends (void **state)
{
  g_autoptr (QuinceTenantShare) share = quince_tenant_share_new ();
  begin_many (share, "a", 40, 1);
  begin_many (share, "b", 1, 1);
  quince_tenant_share_handle_refusal (share, 1);
  assert_false (quince_tenant_share_admit (share, "a", 2));
  assert_true (quince_tenant_share_admit (share, "a", 1 + QUINCE_TENANT_SHARE_FULL_US));
  assert_false (quince_tenant_share_is_full (share));
}

/* A single full worker does not make the service full, also if the service was full some time before and no
 * request was admitted since. */
static void
test_single_refusal (void **state)
{
  g_autoptr (QuinceTenantShare) share = quince_tenant_share_new ();
  const gint64 second_us = G_USEC_PER_SEC;
  assert_false (quince_tenant_share_counts_refusal (share, 0, second_us));
  assert_true (quince_tenant_share_counts_refusal (share, second_us, 2 * second_us));
  assert_false (quince_tenant_share_counts_refusal (share, second_us, 2 * second_us + 1));
  quince_tenant_share_handle_refusal (share, 2 * second_us);
  assert_true (quince_tenant_share_counts_refusal (share, 2 * second_us, 3 * second_us + 1));
  gint64 later_us = 2 * second_us + QUINCE_TENANT_SHARE_FULL_US;
  assert_false (quince_tenant_share_counts_refusal (share, 2 * second_us, later_us));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_not_full),      cmocka_unit_test (test_single_tenant),
    cmocka_unit_test (test_small_tenants), cmocka_unit_test (test_long_requests),
    cmocka_unit_test (test_limit_ends),    cmocka_unit_test (test_single_refusal),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
