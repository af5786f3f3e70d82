/* Tests of the assignments of all instances at their coordinator. */
#include "balance/ledger.h"
#include "support_targets.h"

#include <glib.h>

#define NOW 10000

struct fixture
{
  struct bd_targets *targets;
  struct bd_ledger *ledger;
  struct bd_target *a;
  struct bd_target *b;
};

static void
set_up (struct fixture *fixture)
{
  fixture->targets = bd_targets_create ();
  fixture->ledger = bd_ledger_create ();
  support_put_runners (fixture->targets, 2, 1);
  fixture->a = support_target (fixture->targets, "r0");
  fixture->b = support_target (fixture->targets, "r1");
}

static void
tear_down (struct fixture *fixture)
{
  bd_ledger_destroy (fixture->ledger);
  bd_targets_destroy (fixture->targets);
}

static void
assign (struct fixture *fixture, uint32_t instance, uint32_t number,
        struct bd_target *target, uint64_t tokens)
{
  struct bd_assignment assignment = { .instance = instance,
                                      .request_number = number,
                                      .target = target,
                                      .prefill_tokens = tokens,
                                      .is_short = tokens < 2000,
                                      .placed_ms = NOW,
                                      .expires_ms = NOW + 5000 };

  g_assert_cmpint (bd_ledger_assign (fixture->ledger, &assignment), ==, BD_OK);
}

static struct bd_prefill_sample sample;

static const struct bd_assignment *
record_first_event (struct fixture *fixture, uint32_t instance,
                    uint32_t number, int64_t now)
{
  return bd_ledger_record_first_event (fixture->ledger, instance, number, now,
                                       &sample);
}

static void
test_assign_and_release (void)
{
  struct fixture fixture;

  set_up (&fixture);
  assign (&fixture, 1, 1, fixture.a, 1000);
  assign (&fixture, 2, 1, fixture.a, 9000);
  g_assert_cmpuint (fixture.a->assigned.in_flight, ==, 2);
  g_assert_cmpuint (fixture.a->assigned.short_in_flight, ==, 1);
  g_assert_cmpuint (fixture.a->assigned.prefill_tokens, ==, 10000);
  g_assert_nonnull (record_first_event (&fixture, 2, 1, NOW));
  g_assert_nonnull (record_first_event (&fixture, 2, 1, NOW));
  g_assert_cmpuint (fixture.a->assigned.prefill_tokens, ==, 1000);
  g_assert_true (bd_ledger_release (fixture.ledger, 2, 1) == fixture.a);
  g_assert_null (bd_ledger_release (fixture.ledger, 2, 1));
  g_assert_null (record_first_event (&fixture, 2, 1, NOW));
  g_assert_true (bd_ledger_release (fixture.ledger, 1, 1) == fixture.a);
  g_assert_cmpuint (fixture.a->assigned.in_flight, ==, 0);
  g_assert_cmpuint (fixture.a->assigned.short_in_flight, ==, 0);
  g_assert_cmpuint (fixture.a->assigned.prefill_tokens, ==, 0);
  tear_down (&fixture);
}

/* The reply to a placement query came too late and the request was sent
   elsewhere: it counts at its new runner only. */
static void
test_placed_elsewhere (void)
{
  struct fixture fixture;

  set_up (&fixture);
  assign (&fixture, 1, 7, fixture.a, 5000);
  assign (&fixture, 1, 7, fixture.b, 4000);
  g_assert_cmpuint (fixture.a->assigned.in_flight, ==, 0);
  g_assert_cmpuint (fixture.a->assigned.prefill_tokens, ==, 0);
  g_assert_cmpuint (fixture.b->assigned.in_flight, ==, 1);
  g_assert_cmpuint (fixture.b->assigned.prefill_tokens, ==, 4000);
  tear_down (&fixture);
}

/* Instances die with requests in flight, or only fall silent, and reports get
   lost. */
static void
test_instance_lost (void)
{
  struct fixture fixture;

  set_up (&fixture);
  for (uint32_t i = 0; i < 10; i++)
    {
      assign (&fixture, 1, i, fixture.a, 1000);
      assign (&fixture, 2, i, fixture.b, 1000);
    }
  bd_ledger_suspect_instance (fixture.ledger, 2);
  g_assert_cmpuint (fixture.b->assigned.prefill_tokens, ==, 0);
  g_assert_cmpuint (fixture.b->assigned.in_flight, ==, 10);
  bd_ledger_release_instance (fixture.ledger, 1);
  g_assert_cmpuint (fixture.a->assigned.in_flight, ==, 0);
  g_assert_cmpuint (bd_ledger_count (fixture.ledger), ==, 10);
  bd_ledger_expire (fixture.ledger, NOW + 4999);
  g_assert_cmpuint (bd_ledger_count (fixture.ledger), ==, 10);
  bd_ledger_expire (fixture.ledger, NOW + 5000);
  g_assert_cmpuint (bd_ledger_count (fixture.ledger), ==, 0);
  g_assert_cmpuint (fixture.b->assigned.in_flight, ==, 0);
  tear_down (&fixture);
}

/* Uninterrupted prefill, in any order of the prompts, gives a sample of the
   runner's speed.  Idle time and abandoned prompts do not count. */
static void
test_prefill_sample (void)
{
  struct fixture fixture;

  set_up (&fixture);
  for (uint32_t i = 0; i < 4; i++)
    assign (&fixture, 1, i, fixture.a, 10000);
  record_first_event (&fixture, 1, 3, NOW + 250);
  g_assert_cmpuint (sample.tokens, ==, 0);
  record_first_event (&fixture, 1, 0, NOW + 500);
  record_first_event (&fixture, 1, 1, NOW + 750);
  record_first_event (&fixture, 1, 2, NOW + 1000);
  g_assert_cmpuint (sample.tokens, ==, 40000);
  g_assert_cmpint (sample.ms, ==, 1000);
  /* A single short prompt gives no sample. */
  assign (&fixture, 1, 10, fixture.a, 1000);
  record_first_event (&fixture, 1, 10, NOW + 9000);
  g_assert_cmpuint (sample.tokens, ==, 0);
  /* One prompt is abandoned. */
  for (uint32_t i = 20; i < 24; i++)
    assign (&fixture, 1, i, fixture.a, 20000);
  bd_ledger_release (fixture.ledger, 1, 20);
  record_first_event (&fixture, 1, 21, NOW + 300);
  g_assert_cmpuint (sample.tokens, ==, 0);
  record_first_event (&fixture, 1, 22, NOW + 500);
  record_first_event (&fixture, 1, 23, NOW + 700);
  g_assert_cmpuint (sample.tokens, ==, 40000);
  g_assert_cmpint (sample.ms, ==, 400);
  tear_down (&fixture);
}

/* A removed runner is kept until its assignments are released. */
static void
test_runner_leaves (void)
{
  struct fixture fixture;

  set_up (&fixture);
  assign (&fixture, 1, 1, fixture.a, 1000);
  bd_targets_remove (fixture.targets, NOW, BD_CHUNK ("r0"), 100);
  bd_targets_tick (fixture.targets, NOW);
  g_assert_true (bd_ledger_release (fixture.ledger, 1, 1) == fixture.a);
  bd_targets_tick (fixture.targets, NOW);
  g_assert_null (bd_targets_find (fixture.targets, BD_CHUNK ("r0")));
  tear_down (&fixture);
}

static void
test_bounded (void)
{
  struct fixture fixture;
  struct bd_assignment assignment = { .instance = 1, .expires_ms = NOW };

  set_up (&fixture);
  assignment.target = fixture.a;
  for (uint32_t i = 0; i < BD_LEDGER_MAX; i++)
    {
      assignment.request_number = i;
      g_assert_cmpint (bd_ledger_assign (fixture.ledger, &assignment), ==,
                       BD_OK);
    }
  assignment.request_number = BD_LEDGER_MAX;
  g_assert_cmpint (bd_ledger_assign (fixture.ledger, &assignment), ==,
                   BD_ERR_FULL);
  bd_ledger_expire (fixture.ledger, NOW);
  g_assert_cmpint (bd_ledger_assign (fixture.ledger, &assignment), ==, BD_OK);
  tear_down (&fixture);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/ledger/assign-and-release", test_assign_and_release);
  g_test_add_func ("/ledger/placed-elsewhere", test_placed_elsewhere);
  g_test_add_func ("/ledger/prefill-sample", test_prefill_sample);
  g_test_add_func ("/ledger/instance-lost", test_instance_lost);
  g_test_add_func ("/ledger/runner-leaves", test_runner_leaves);
  g_test_add_func ("/ledger/bounded", test_bounded);
  return g_test_run ();
}
