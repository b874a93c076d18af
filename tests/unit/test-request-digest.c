/*
 * test-request-digest.c: equal requests have equal digests, and a change of any part changes the digest.
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
make_digest (const Request *request, QuinceRequestDigest *digest)
{
  quince_request_digest_make (digest, request->caller, request->host, request->method, request->target,
                              request->body, strlen (request->body));
}

static void
test_digest_covers_each_part (void **state)
{
  for (guint i = 0; i < G_N_ELEMENTS (requests); i++)
    for (guint j = 0; j < G_N_ELEMENTS (requests); j++)
      {
        QuinceRequestDigest first, second;
        make_digest (&requests[i], &first);
        make_digest (&requests[j], &second);
        assert_int_equal (quince_request_digest_equal (&first, &second), i == j);
      }
}

/* The last part does not affect the digest of a prompt, which differs from the digest of any request. */
static void
test_prompt_digest (void **state)
{
  const char *const first[] = { "p", "q", "own-1", NULL };
  const char *const second[] = { "p", "q", "own-2", NULL };
  const char *const other[] = { "p", "r", "own-1", NULL };
  const char *const unshared[] = { "own-1", NULL };
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
  assert_false (quince_request_digest_make_prompt (&c, "t", "h", unshared));
  assert_false (quince_request_digest_make_prompt (&c, "t", "h", NULL));
  quince_request_digest_make (&c, "t", "h", "POST", "p", "q", 2);
  assert_false (quince_request_digest_equal (&a, &c));
}

static void
test_format_and_parse (void **state)
{
  QuinceRequestDigest digest, parsed;
  make_digest (&requests[0], &digest);
  g_autofree char *text = quince_request_digest_format (&digest);
  assert_true (quince_request_digest_parse (text, &parsed));
  assert_true (quince_request_digest_equal (&digest, &parsed));
  assert_false (quince_request_digest_parse ("", &parsed));
  text[3] = 'g';
  assert_false (quince_request_digest_parse (text, &parsed));
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (test_digest_covers_each_part), cmocka_unit_test (test_format_and_parse),
          cmocka_unit_test (test_prompt_digest) };
  return cmocka_run_group_tests_name ("request-digest", tests, NULL, NULL);
}
