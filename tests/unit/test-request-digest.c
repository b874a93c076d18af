/*
 * test-request-digest.c: equal for the same request, different for any part of it.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "core/request/request-digest.h"

typedef struct
{
  const char *caller;
  const char *host;
  const char *method;
  const char *target;
  const char *body;
} Request;

static const Request requests[] = {
  { "a", "h", "POST", "/x", "body" }, { "b", "h", "POST", "/x", "body" },  { "a", "i", "POST", "/x", "body" },
  { "a", "h", "GET", "/x", "body" },  { "a", "h", "POST", "/x?", "body" }, { "a", "h", "POST", "/x", "bodx" },
  { NULL, "ah", "POST", "/x", "" },   { "ah", NULL, "POST", "/x", "" },
};

static void
make (const Request *request, QuinceRequestDigest *digest)
{
  quince_request_digest_make (digest, request->caller, request->host, request->method, request->target,
                              request->body, strlen (request->body));
}

static void
test_parts (void **state)
{
  for (guint i = 0; i < G_N_ELEMENTS (requests); i++)
    for (guint j = 0; j < G_N_ELEMENTS (requests); j++)
      {
        QuinceRequestDigest first, second;
        make (&requests[i], &first);
        make (&requests[j], &second);
        assert_int_equal (quince_request_digest_equal (&first, &second), i == j);
      }
}

/* What differs is the last part alone, and a digest of a prompt is never one of a request. */
static void
test_prompt (void **state)
{
  const char *const first[] = { "p", "q", "own-1", NULL };
  const char *const second[] = { "p", "q", "own-2", NULL };
  const char *const other[] = { "p", "r", "own-1", NULL };
  const char *const own[] = { "own-1", NULL };
  QuinceRequestDigest a, b, c;
  assert_true (quince_request_digest_make_prompt (&a, "t", "h", first));
  assert_true (quince_request_digest_make_prompt (&b, "t", "h", second));
  assert_true (quince_request_digest_equal (&a, &b));
  assert_true (quince_request_digest_make_prompt (&c, "t", "h", other));
  assert_false (quince_request_digest_equal (&a, &c));
  assert_true (quince_request_digest_make_prompt (&c, "u", "h", first));
  assert_false (quince_request_digest_equal (&a, &c));
  assert_true (quince_request_digest_make_prompt (&c, "t", "i", first));
  assert_false (quince_request_digest_equal (&a, &c));
  assert_false (quince_request_digest_make_prompt (&c, "t", "h", own));
  assert_false (quince_request_digest_make_prompt (&c, "t", "h", NULL));
  quince_request_digest_make (&c, "t", "h", "POST", "p", "q", 2);
  assert_false (quince_request_digest_equal (&a, &c));
}

static void
test_text (void **state)
{
  QuinceRequestDigest digest, read;
  make (&requests[0], &digest);
  g_autofree char *text = quince_request_digest_format (&digest);
  assert_true (quince_request_digest_parse (text, &read));
  assert_true (quince_request_digest_equal (&digest, &read));
  assert_false (quince_request_digest_parse ("", &read));
  text[3] = 'g';
  assert_false (quince_request_digest_parse (text, &read));
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_parts), cmocka_unit_test (test_text), cmocka_unit_test (test_prompt) };
  return cmocka_run_group_tests_name ("request-digest", tests, NULL, NULL);
}
