/*
 * test-send-window.c: the limit on the bytes in flight to a backup.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "core/group/send-window.h"

static void
test_window_closes_and_opens (void **state)
{
  g_autoptr (QuinceSendWindow) window = quince_send_window_new (1000);
  assert_true (quince_send_window_is_open (window));
  quince_send_window_add_message (window, 10, 600);
  assert_true (quince_send_window_is_open (window));
  quince_send_window_add_message (window, 20, 600);
  assert_false (quince_send_window_is_open (window));
  quince_send_window_acknowledge (window, 9);
  assert_false (quince_send_window_is_open (window));
  quince_send_window_acknowledge (window, 10);
  assert_true (quince_send_window_is_open (window));
  /* 600 bytes are in flight: exactly 400 more close the window. */
  quince_send_window_add_message (window, 30, 399);
  assert_true (quince_send_window_is_open (window));
  quince_send_window_add_message (window, 40, 1);
  assert_false (quince_send_window_is_open (window));
  /* No bytes are in flight: exactly 1000 close the window. */
  quince_send_window_acknowledge (window, 500);
  quince_send_window_add_message (window, 600, 999);
  assert_true (quince_send_window_is_open (window));
  quince_send_window_add_message (window, 610, 1);
  assert_false (quince_send_window_is_open (window));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_window_closes_and_opens),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
