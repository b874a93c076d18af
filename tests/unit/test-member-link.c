/*
 * test-member-link.c: guards against links to members that are closed with a message on its way, and against
 * links that stay open without use.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/group/member-link.h"

#define OPENED_US (5 * G_USEC_PER_SEC)

/* A candidate lost its first promise request when its link was closed 131 us after it was opened. */
static void
test_new_link_has_time_to_connect (void **state)
{
  const QuinceMemberLinkState link = { .opened_us = OPENED_US, .last_send_us = OPENED_US };
  assert_false (quince_member_link_is_expired (&link, OPENED_US));
  assert_false (quince_member_link_is_expired (&link, OPENED_US + 131));
  assert_false (quince_member_link_is_expired (&link, OPENED_US + 1199999));
}

/* The next message must open a new link: the address may be that of a machine that is gone. */
static void
test_unconnected_link_is_closed_in_time (void **state)
{
  const QuinceMemberLinkState link = { .opened_us = OPENED_US, .last_send_us = OPENED_US };
  assert_true (quince_member_link_is_expired (&link, OPENED_US + 1200000));
}

/* Queries every 440 ms must not keep a link that does not connect. */
static void
test_messages_do_not_prolong_connecting (void **state)
{
  const QuinceMemberLinkState link = { .opened_us = OPENED_US, .last_send_us = OPENED_US + 1199000 };
  assert_true (quince_member_link_is_expired (&link, OPENED_US + 1200000));
}

/* A link must stay open between two queries, 440 ms apart and sent in ticks of 150 ms, however old it is. */
static void
test_used_link_stays_open (void **state)
{
  const QuinceMemberLinkState link
      = { .opened_us = OPENED_US, .last_send_us = OPENED_US + 9000000, .is_connected = TRUE };
  assert_false (quince_member_link_is_expired (&link, link.last_send_us + 450000));
  assert_false (quince_member_link_is_expired (&link, link.last_send_us + 500000));
}

static void
test_idle_link_is_closed (void **state)
{
  const QuinceMemberLinkState link
      = { .opened_us = OPENED_US, .last_send_us = OPENED_US + 100000, .is_connected = TRUE };
  assert_true (quince_member_link_is_expired (&link, link.last_send_us + 500001));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_new_link_has_time_to_connect),
    cmocka_unit_test (test_unconnected_link_is_closed_in_time),
    cmocka_unit_test (test_messages_do_not_prolong_connecting),
    cmocka_unit_test (test_used_link_stays_open),
    cmocka_unit_test (test_idle_link_is_closed),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
