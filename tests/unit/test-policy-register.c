/* test-policy-register.c: a table of offers and what each does to the register. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include <quince/policy-register.h>
#include <quince/request-id.h>

typedef enum
{
  STEP_END,
  STEP_OFFER,  /* a body whose hash matches       */
  STEP_BROKEN, /* a body whose hash does not match */
  STEP_SEEN,
  STEP_NONE,
} StepKind;

typedef struct
{
  StepKind kind;
  guint64 revision;
  const char *text;
  QuincePolicyOffer answer; /* of an offer            */
  guint64 in_force_after;
  guint64 seen_after;
  gboolean current_after;
} Step;

typedef struct
{
  const char *name;
  Step steps[6];
} Case;

#define TAKEN QUINCE_POLICY_OFFER_TAKEN
#define KNOWN QUINCE_POLICY_OFFER_KNOWN
#define OLD QUINCE_POLICY_OFFER_OLD
#define CORRUPT QUINCE_POLICY_OFFER_CORRUPT

static const Case cases[] = {
  { "fresh register cannot know", { { STEP_SEEN, 0, "", 0, 0, 0, FALSE } } },
  { "store says there is none", { { STEP_NONE, 0, "", 0, 0, 0, TRUE } } },
  { "none, then a peer has seen one",
    { { STEP_NONE, 0, "", 0, 0, 0, TRUE }, { STEP_SEEN, 4, "", 0, 0, 4, FALSE } } },
  { "a peer that knows none confirms nothing", { { STEP_OFFER, 0, "", KNOWN, 0, 0, FALSE } } },
  { "newer is taken",
    { { STEP_OFFER, 3, "a", TAKEN, 3, 3, TRUE }, { STEP_OFFER, 9, "b", TAKEN, 9, 9, TRUE } } },
  { "repeated is known",
    { { STEP_OFFER, 3, "a", TAKEN, 3, 3, TRUE }, { STEP_OFFER, 3, "a", KNOWN, 3, 3, TRUE } } },
  { "never reverts",
    { { STEP_OFFER, 9, "b", TAKEN, 9, 9, TRUE },
      { STEP_OFFER, 3, "a", OLD, 9, 9, TRUE },
      { STEP_OFFER, 0, "", OLD, 9, 9, TRUE },
      { STEP_NONE, 0, "", 0, 9, 9, TRUE } } },
  { "behind until it has the text",
    { { STEP_OFFER, 3, "a", TAKEN, 3, 3, TRUE },
      { STEP_SEEN, 7, "", 0, 3, 7, FALSE },
      { STEP_OFFER, 5, "c", OLD, 3, 7, FALSE },
      { STEP_OFFER, 7, "d", TAKEN, 7, 7, TRUE } } },
  { "a smaller seen changes nothing",
    { { STEP_SEEN, 7, "", 0, 0, 7, FALSE }, { STEP_SEEN, 2, "", 0, 0, 7, FALSE } } },
  { "hash does not match",
    { { STEP_BROKEN, 3, "a", CORRUPT, 0, 0, FALSE }, { STEP_OFFER, 3, "a", TAKEN, 3, 3, TRUE } } },
  { "one revision has one text",
    { { STEP_OFFER, 3, "a", TAKEN, 3, 3, TRUE }, { STEP_OFFER, 3, "other", CORRUPT, 3, 3, TRUE } } },
};

static void
run_step (QuincePolicyRegister *reg, const Step *step)
{
  const char *hashed = step->kind == STEP_BROKEN ? "something else" : step->text;
  g_autofree char *hash = quince_hash_text (hashed, strlen (hashed));
  QuincePolicyBody body = { .revision = step->revision, .hash = hash, .text = (char *)step->text };

  if (step->kind == STEP_OFFER || step->kind == STEP_BROKEN)
    assert_int_equal (quince_policy_register_offer (reg, &body), step->answer);
  else if (step->kind == STEP_SEEN)
    quince_policy_register_seen (reg, step->revision);
  else
    quince_policy_register_none (reg);
}

static void
test_table (void **state)
{
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autoptr (QuincePolicyRegister) reg = quince_policy_register_new ();
      print_message ("%s\n", cases[i].name);
      for (const Step *step = cases[i].steps; step->kind != STEP_END; step++)
        {
          run_step (reg, step);
          assert_int_equal (quince_policy_register_get (reg)->revision, step->in_force_after);
          assert_int_equal (quince_policy_register_get_seen (reg), step->seen_after);
          assert_int_equal (quince_policy_register_is_current (reg), step->current_after);
        }
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_table) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
