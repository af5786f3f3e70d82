/* Tests of pauses that runners ask for: who is bound, and how each ends. */
#include "balance/decision.h"
#include "balance/pause.h"
#include "support_targets.h"

#include <glib.h>

#define NOW 100000

static struct bd_selection_request
request_at (int64_t now_ms, bool sent_here)
{
  return (struct bd_selection_request){ .service = BD_CHUNK ("llm"),
                                        .zone = BD_CHUNK ("z0"),
                                        .unshared_tokens = 1000,
                                        .now_ms = now_ms,
                                        .sent_here = sent_here };
}

static struct bd_decision
decide (struct bd_targets *targets, int64_t now_ms, bool sent_here)
{
  struct bd_selector *selector = bd_selector_create (1);
  struct bd_selection_request request = request_at (now_ms, sent_here);
  struct bd_overload_request overload = { .objective_ms = 500,
                                          .time_left_ms = 10000,
                                          .priority = 0,
                                          .lowest_priority = 5 };
  uint64_t random = 1;
  struct bd_decision decision
      = bd_decide (selector, targets, &request, &overload, false, &random);

  bd_selector_destroy (selector);
  return decision;
}

/* One of two runners is full and asks for a pause.  It gets no request before
   the end of the pause, and is used again after it. */
static void
test_holds_requests_back (void)
{
  struct bd_targets *targets = bd_targets_create ();
  struct bd_target *full;
  bool used = false;

  support_put_runners (targets, 2, 1);
  full = support_target (targets, "r0");
  bd_pause_begin (full, NOW, 1500);
  for (int64_t ms = 0; ms < 1500; ms += 50)
    g_assert_true (decide (targets, NOW + ms, true).selection.target != full);
  support_target (targets, "r1")->in_flight = 60;
  used = decide (targets, NOW + 1500, true).selection.target == full;
  g_assert_true (used);
  bd_targets_destroy (targets);
}

/* All runners of a pool ask for a pause.  No request is sent there, and the
   decision tells when the first of them accepts requests again. */
static void
test_all_runners (void)
{
  struct bd_targets *targets = bd_targets_create ();
  struct bd_decision decision;

  support_put_runners (targets, 2, 1);
  bd_pause_begin (support_target (targets, "r0"), NOW, 4000);
  bd_pause_begin (support_target (targets, "r1"), NOW, 2500);
  decision = decide (targets, NOW + 500, true);
  g_assert_null (decision.selection.target);
  g_assert_cmpint (decision.pause_left_ms, ==, 2000);
  decision = decide (targets, NOW + 2500, true);
  g_assert_nonnull (decision.selection.target);
  g_assert_cmpint (decision.pause_left_ms, ==, 0);
  bd_targets_destroy (targets);
}

/* A runner that asked another instance for a pause is used only when there is
   no other. */
static void
test_at_another_instance (void)
{
  struct bd_targets *targets = bd_targets_create ();
  struct bd_target *first;
  struct bd_target *second;

  support_put_runners (targets, 2, 1);
  first = support_target (targets, "r0");
  second = support_target (targets, "r1");
  bd_pause_begin_for_peer (first, NOW, 3000);
  second->in_flight = 60;
  g_assert_true (decide (targets, NOW, true).selection.target == second);
  bd_pause_begin_for_peer (second, NOW, 3000);
  g_assert_nonnull (decide (targets, NOW, true).selection.target);
  bd_targets_destroy (targets);
}

/* An instance that places a request for another is not bound by its own pause,
   but prefers other runners. */
static void
test_placing_for_others (void)
{
  struct bd_targets *targets = bd_targets_create ();
  struct bd_target *first;

  support_put_runners (targets, 1, 1);
  first = support_target (targets, "r0");
  bd_pause_begin (first, NOW, 3000);
  g_assert_true (decide (targets, NOW, false).selection.target == first);
  g_assert_null (decide (targets, NOW, true).selection.target);
  bd_targets_destroy (targets);
}

/* A pause is never longer than the limit, never shortened, and never
   negative. */
static void
test_bounds (void)
{
  struct bd_targets *targets = bd_targets_create ();
  struct bd_target *target;

  support_put_runners (targets, 1, 1);
  target = support_target (targets, "r0");
  bd_pause_begin (target, NOW, -5);
  bd_pause_begin (target, NOW, 0);
  g_assert_true (bd_pause_allows (target, NOW));
  bd_pause_begin (target, NOW, INT64_MAX / 2);
  g_assert_false (bd_pause_allows (target, NOW + BD_PAUSE_MAX_MS - 1));
  g_assert_true (bd_pause_allows (target, NOW + BD_PAUSE_MAX_MS));
  bd_pause_begin (target, NOW, 10);
  g_assert_false (bd_pause_allows (target, NOW + 1000));
  bd_targets_destroy (targets);
}

/* The entry disappears while the store loses data, and returns: the pause
   still holds.  A restarted runner has none. */
static void
test_entry_comes_back (void)
{
  struct bd_targets *targets = bd_targets_create ();
  struct bd_target_entry entry = support_entry ("a", "z0");

  entry.started_ms = 5;
  bd_targets_put (targets, NOW, &entry, 1);
  bd_pause_begin (support_target (targets, "a"), NOW, 9000);
  bd_targets_remove (targets, NOW + 100, entry.id, 2);
  bd_targets_tick (targets, NOW + 200);
  bd_targets_put (targets, NOW + 300, &entry, 3);
  g_assert_null (decide (targets, NOW + 400, true).selection.target);
  entry.started_ms = 6;
  bd_targets_put (targets, NOW + BD_TARGET_LIST_DELAY_MAX_MS, &entry, 4);
  g_assert_nonnull (decide (targets, NOW + BD_TARGET_LIST_DELAY_MAX_MS, true)
                        .selection.target);
  bd_targets_destroy (targets);
}

/* A runner restarts, is full at once and asks for a pause; only then does the
   list show the restart.  The pause is the new process's and holds. */
static void
test_list_is_late (void)
{
  struct bd_targets *targets = bd_targets_create ();
  struct bd_target_entry entry = support_entry ("a", "z0");

  entry.started_ms = 5;
  bd_targets_put (targets, NOW, &entry, 1);
  bd_pause_begin (support_target (targets, "a"), NOW + 60000, 1500);
  entry.started_ms = 6;
  bd_targets_put (targets, NOW + 60100, &entry, 2);
  g_assert_null (decide (targets, NOW + 61400, true).selection.target);
  g_assert_nonnull (decide (targets, NOW + 61500, true).selection.target);
  bd_targets_destroy (targets);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/pause/holds-requests-back", test_holds_requests_back);
  g_test_add_func ("/pause/all-runners", test_all_runners);
  g_test_add_func ("/pause/at-another-instance", test_at_another_instance);
  g_test_add_func ("/pause/placing-for-others", test_placing_for_others);
  g_test_add_func ("/pause/bounds", test_bounds);
  g_test_add_func ("/pause/entry-comes-back", test_entry_comes_back);
  g_test_add_func ("/pause/list-is-late", test_list_is_late);
  return g_test_run ();
}
