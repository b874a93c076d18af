/*
 * test-tenants.c: lookup of tenants by API key, and the tenant in records of submitted batches.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "core/batches/batch-table.h"
#include "core/routing/tenant-table.h"

static void
test_find_by_key (void **state)
{
  g_autoptr (QuinceTenantTable) table = quince_tenant_table_new ("salt");
  const QuinceTenant *first = quince_tenant_table_add (table, "first", 2);
  const QuinceTenant *second = quince_tenant_table_add (table, "second", QUINCE_TENANT_NO_PRIORITY);
  assert_ptr_equal (quince_tenant_table_add (table, "first", 9), first);
  assert_int_equal (first->priority, 2);
  g_autofree char *digest = quince_tenant_key_digest ("salt", "key-1");
  g_autofree char *other_digest = quince_tenant_key_digest ("salt", "key-2");
  g_autofree char *digest_with_other_salt = quince_tenant_key_digest ("another salt", "key-1");
  assert_string_not_equal (digest, other_digest);
  assert_string_not_equal (digest, digest_with_other_salt);
  quince_tenant_table_add_digest (table, first, digest);
  quince_tenant_table_add_digest (table, second, other_digest);
  assert_ptr_equal (quince_tenant_table_find_by_key (table, "key-1"), first);
  assert_ptr_equal (quince_tenant_table_find_by_key (table, "key-2"), second);
  assert_null (quince_tenant_table_find_by_key (table, "key-3"));
  assert_null (quince_tenant_table_find_by_key (table, ""));
  /* A digest does not work as an API key. */
  assert_null (quince_tenant_table_find_by_key (table, digest));
  assert_ptr_equal (quince_tenant_table_find (table, "second"), second);
  assert_null (quince_tenant_table_find (table, "third"));
  g_autoptr (GPtrArray) all = quince_tenant_table_list (table);
  assert_int_equal (all->len, 2);
}

static const QuinceBatchTableCallbacks no_callbacks = { 0 };

static QuinceBatchJob
make_batch (const char *id)
{
  return (QuinceBatchJob){ .id = quince_string (id),
                           .host = quince_string (""),
                           .path = quince_string (""),
                           .model = quince_string ("") };
}

/* Submissions are applied with and without a tenant; records of older builds have none. */
static void
test_records_with_and_without_tenant (void **state)
{
  g_autoptr (QuinceBatchTable) table = quince_batch_table_new (&no_callbacks, NULL);
  QuinceBatchRecord *without_tenant = g_new0 (QuinceBatchRecord, 1);
  without_tenant->kind = QUINCE_BATCH_RECORD_SUBMIT;
  without_tenant->QuinceBatchRecord_u.submit = make_batch ("before");
  QuinceBatchRecord *with_tenant = g_new0 (QuinceBatchRecord, 1);
  with_tenant->kind = QUINCE_BATCH_RECORD_SUBMIT_OF_TENANT;
  with_tenant->QuinceBatchRecord_u.submit_of_tenant.tenant = quince_string ("tenant-a");
  with_tenant->QuinceBatchRecord_u.submit_of_tenant.batch = make_batch ("now");
  g_autoptr (GBytes) encoded_with_tenant = quince_batch_record_encode (with_tenant, NULL);
  g_autoptr (GBytes) encoded_without_tenant = quince_batch_record_encode (without_tenant, NULL);
  gsize length;
  gconstpointer data = g_bytes_get_data (encoded_with_tenant, &length);
  quince_batch_table_apply (table, 2, quince_batch_record_decode (data, length, NULL));
  data = g_bytes_get_data (encoded_without_tenant, &length);
  quince_batch_table_apply (table, 1, quince_batch_record_decode (data, length, NULL));
  assert_string_equal (quince_batch_table_find (table, "now")->tenant, "tenant-a");
  assert_string_equal (quince_batch_table_find (table, "before")->tenant, "");
  quince_batch_record_free (without_tenant);
  quince_batch_record_free (with_tenant);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_find_by_key),
    cmocka_unit_test (test_records_with_and_without_tenant),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
