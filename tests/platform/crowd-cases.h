/*
 * crowd-cases.h: ways in which callers use up memory: bodies of legal size at once, whole, in pieces or in
 * chunks, most of them short of their ends, and bodies far over the limit.
 */
#pragma once

#include "crowd-world.h"

#define CROWD_MEBIBYTE ((guint64)1 << 20)
#define CROWD_BODY_MAX ((guint64)CROWD_BODY_MAX_BYTES)
#define CROWD_OVER_BYTES ((guint64)10000000000)
#define CROWD_OVER_SENT_BYTES (64 * CROWD_MEBIBYTE)
#define CROWD_CALLERS 16
#define CROWD_WHOLE 2
#define CROWD_SMALL_CHUNK_CALLERS 160
#define CROWD_PIECE_BYTES 8192

typedef enum
{
  CROWD_FORM_WHOLE,          /* all whole, of the greatest size */
  CROWD_FORM_SHORT,          /* most leave out the last byte, and stay open */
  CROWD_FORM_PIECES,         /* the same, in small writes */
  CROWD_FORM_LARGE_CHUNKS,   /* most leave out the last chunk, and stay open */
  CROWD_FORM_SMALL_CHUNKS,   /* the same, in chunks of one byte */
  CROWD_FORM_OVER_ANNOUNCED, /* announced as far over the limit, and sent */
  CROWD_FORM_OVER_SENT,      /* far over the limit, in chunks */
  CROWD_N_FORMS,
} CrowdForm;

static const CrowdCase crowd_forms[CROWD_N_FORMS] = {
  [CROWD_FORM_WHOLE] = { .name = "whole",
                         .n_callers = CROWD_CALLERS,
                         .n_whole = CROWD_CALLERS,
                         .announced_bytes = CROWD_BODY_MAX,
                         .whole_bytes = CROWD_BODY_MAX },
  [CROWD_FORM_SHORT] = { .name = "short of the end",
                         .n_callers = CROWD_CALLERS,
                         .n_whole = CROWD_WHOLE,
                         .announced_bytes = CROWD_BODY_MAX,
                         .sent_bytes = CROWD_BODY_MAX - 1,
                         .whole_bytes = CROWD_BODY_MAX },
  [CROWD_FORM_PIECES] = { .name = "in pieces, short of the end",
                          .n_callers = CROWD_CALLERS,
                          .n_whole = CROWD_WHOLE,
                          .announced_bytes = CROWD_BODY_MAX,
                          .sent_bytes = CROWD_BODY_MAX - 1,
                          .whole_bytes = CROWD_BODY_MAX,
                          .piece_bytes = CROWD_PIECE_BYTES },
  [CROWD_FORM_LARGE_CHUNKS] = { .name = "large chunks without an end",
                                .n_callers = CROWD_CALLERS,
                                .n_whole = CROWD_WHOLE,
                                .chunk_bytes = CROWD_MEBIBYTE,
                                .sent_bytes = 30 * CROWD_MEBIBYTE,
                                .whole_bytes = 30 * CROWD_MEBIBYTE },
  [CROWD_FORM_SMALL_CHUNKS] = { .name = "chunks of one byte without an end",
                                .n_callers = CROWD_SMALL_CHUNK_CALLERS,
                                .n_whole = CROWD_WHOLE,
                                .chunk_bytes = 1,
                                .sent_bytes = CROWD_MEBIBYTE,
                                .whole_bytes = CROWD_MEBIBYTE },
  [CROWD_FORM_OVER_ANNOUNCED] = { .name = "far over the limit, announced",
                                  .n_callers = CROWD_CALLERS,
                                  .announced_bytes = CROWD_OVER_BYTES,
                                  .sent_bytes = CROWD_OVER_SENT_BYTES },
  [CROWD_FORM_OVER_SENT] = { .name = "far over the limit, sent",
                             .n_callers = CROWD_CALLERS,
                             .chunk_bytes = CROWD_MEBIBYTE,
                             .sent_bytes = CROWD_OVER_SENT_BYTES },
};

/* One test case of a program: a form of requests at a listener of the front. */
typedef struct
{
  CrowdCase crowd_case;
  const char *listener; /* see crowd_get_address() */
  char *name;           /* owned */
} CrowdTest;

static inline void
crowd_run_test (void **state)
{
  const CrowdTest *test = *state;
  crowd_check (&test->crowd_case, crowd_get_address (test->listener));
}

static inline void
crowd_add_test (GArray *tests,
                CrowdForm form,
                const char *listener,
                const char *method,
                const char *target,
                gboolean is_batch)
{
  CrowdTest *test = g_new0 (CrowdTest, 1);
  test->crowd_case = crowd_forms[form];
  test->crowd_case.method = method;
  test->crowd_case.target = target;
  test->crowd_case.is_batch = is_batch;
  test->listener = listener;
  test->name = g_strdup_printf ("%s: %s %s, %s", listener, method, target, crowd_forms[form].name);
  const struct CMUnitTest unit_test = { .name = test->name,
                                        .test_func = crowd_run_test,
                                        .setup_func = crowd_set_up,
                                        .teardown_func = crowd_tear_down,
                                        .initial_state = test };
  g_array_append_val (tests, unit_test);
}

/* Adds all forms of bodies at @listener. */
static inline void
crowd_add_all_forms (GArray *tests,
                     const char *listener,
                     const char *method,
                     const char *target,
                     gboolean is_batch)
{
  for (guint form = 0; form < CROWD_N_FORMS; form++)
    crowd_add_test (tests, (CrowdForm)form, listener, method, target, is_batch);
}

/* Runs and frees @tests.  Returns the number of failures. */
static inline int
crowd_run_tests (GArray *tests)
{
  const struct CMUnitTest *unit_tests = (const struct CMUnitTest *)tests->data;
  int failures = _cmocka_run_group_tests ("crowd", unit_tests, tests->len, NULL, NULL);
  for (guint i = 0; i < tests->len; i++)
    {
      CrowdTest *test = unit_tests[i].initial_state;
      g_free (test->name);
      g_free (test);
    }
  g_array_unref (tests);
  return failures;
}
