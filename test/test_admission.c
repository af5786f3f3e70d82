/* Tests of admission control by priority. */
#include "balance/admission.h"

#include <glib.h>

#define NOW 100000

static struct bd_admission_request
request (int priority, uint64_t tokens, double lateness, int64_t now_ms)
{
  return (struct bd_admission_request){ .service = BD_CHUNK ("llm"),
                                        .priority = priority,
                                        .prefill_tokens = tokens,
                                        .prompt_tokens = tokens,
                                        .lateness = lateness,
                                        .now_ms = now_ms };
}

/* COUNT requests arrive within a second from NOW_MS. */
static void
arrive (struct bd_admission *admission, int count, int priority,
        uint64_t tokens, double lateness, int64_t now_ms)
{
  for (int i = 0; i < count; i++)
    {
      struct bd_admission_request c
          = request (priority, tokens, lateness, now_ms + i * 1000 / count);

      bd_admission_record_arrival (admission, &c);
    }
}

static double
shed_ratio (const struct bd_admission *admission, int priority,
            uint64_t tokens, int64_t now_ms)
{
  struct bd_admission_request c = request (priority, tokens, 0.0, now_ms);

  return bd_admission_shed_ratio (admission, &c);
}

/* One request in twenty is a little late.  Nothing is shed for that. */
static void
test_little_lateness_sheds_nothing (void)
{
  struct bd_admission *admission = bd_admission_create ();

  for (int s = 0; s < 20; s++)
    {
      arrive (admission, 57, 4, 9000, 0.0, NOW + s * 1000);
      arrive (admission, 3, 4, 9000, 0.6, NOW + s * 1000);
    }
  g_assert_cmpfloat (shed_ratio (admission, 5, 17000, NOW + 20000), ==, 0.0);
  bd_admission_destroy (admission);
}

/* Requests with medium prompts are twice as late as their objective.  Less
   urgent requests with as much prefill or more are shed.  More urgent
   requests, and those too small to make a difference, are not. */
static void
test_pressure_sheds_less_urgent (void)
{
  struct bd_admission *admission = bd_admission_create ();

  arrive (admission, 60, 4, 9000, 1.0, NOW);
  g_assert_cmpfloat (shed_ratio (admission, 5, 17000, NOW + 1000), ==, 1.0);
  g_assert_cmpfloat (shed_ratio (admission, 5, 5000, NOW + 1000), ==, 1.0);
  g_assert_cmpfloat (shed_ratio (admission, 5, 1000, NOW + 1000), ==, 0.0);
  g_assert_cmpfloat (shed_ratio (admission, 4, 17000, NOW + 1000), ==, 0.0);
  g_assert_cmpfloat (shed_ratio (admission, 3, 17000, NOW + 1000), ==, 0.0);
  bd_admission_destroy (admission);
}

/* A prompt of which most is cached is still shed when the whole of it is far
   larger than those that wait. */
static void
test_large_cached_prompt (void)
{
  struct bd_admission *admission = bd_admission_create ();
  struct bd_admission_request cached = request (5, 1000, 0.0, NOW + 1000);

  cached.prompt_tokens = 17000;
  arrive (admission, 60, 4, 9000, 1.0, NOW);
  g_assert_cmpfloat (bd_admission_shed_ratio (admission, &cached), ==, 1.0);
  bd_admission_destroy (admission);
}

/* The ratio of shed requests grows with the lateness and ends with it. */
static void
test_sheds_a_ratio (void)
{
  struct bd_admission *admission = bd_admission_create ();
  double partial;

  arrive (admission, 60, 4, 9000, 0.12, NOW);
  partial = shed_ratio (admission, 5, 17000, NOW + 1000);
  g_assert_cmpfloat (partial, >, 0.1);
  g_assert_cmpfloat (partial, <, 0.9);
  arrive (admission, 60, 4, 9000, 0.0, NOW + 1000);
  arrive (admission, 60, 4, 9000, 0.0, NOW + 2000);
  g_assert_cmpfloat (shed_ratio (admission, 5, 17000, NOW + 3000), <,
                     partial / 2);
  g_assert_cmpfloat (shed_ratio (admission, 5, 17000, NOW + 60000), ==, 0.0);
  bd_admission_destroy (admission);
}

/* Pressure on one service does not affect another. */
static void
test_services_independent (void)
{
  struct bd_admission *admission = bd_admission_create ();
  struct bd_admission_request other = request (5, 17000, 0.0, NOW + 1000);

  other.service = BD_CHUNK ("mail");
  arrive (admission, 60, 4, 9000, 1.0, NOW);
  g_assert_cmpfloat (bd_admission_shed_ratio (admission, &other), ==, 0.0);
  bd_admission_destroy (admission);
}

static void
record_decisions (struct bd_admission *admission, int count, int priority,
                  uint64_t size, bool rejected, int64_t now_ms)
{
  for (int i = 0; i < count; i++)
    {
      struct bd_admission_request c = request (priority, size, 0.0, now_ms);

      bd_admission_record_decision (admission, &c, rejected);
    }
}

static bool
may_reject (const struct bd_admission *admission, int priority, uint64_t size,
            int64_t now_ms)
{
  struct bd_admission_request c = request (priority, size, 1.0, now_ms);

  return bd_admission_may_reject (admission, &c);
}

/* A burst begins while large, less urgent requests run that were admitted
   before.  Only few of the more urgent ones may be rejected until those have
   seen their first event.  Later, or beside smaller ones only, they may be. */
static void
test_few_rejected_beside_larger (void)
{
  struct bd_admission *admission = bd_admission_create ();

  record_decisions (admission, 30, 5, 17000, false, NOW);
  record_decisions (admission, 95, 4, 6000, false, NOW);
  record_decisions (admission, 5, 4, 6000, true, NOW);
  g_assert_true (may_reject (admission, 4, 6000, NOW + 100));
  record_decisions (admission, 1, 4, 6000, true, NOW);
  g_assert_false (may_reject (admission, 4, 6000, NOW + 100));
  g_assert_false (may_reject (admission, 4, 6000, NOW + 5000));
  g_assert_true (may_reject (admission, 4, 6000, NOW + 8000));
  g_assert_true (may_reject (admission, 5, 17000, NOW + 100));
  bd_admission_destroy (admission);
}

/* Requests of one priority have prompts of different lengths.  Also of the
   long ones only few are rejected beside less urgent ones that are larger than
   those of their priority in the mean; beside others, any number. */
static void
test_some_rejected_of_mixed_sizes (void)
{
  struct bd_admission *admission = bd_admission_create ();

  record_decisions (admission, 40, 5, 17000, false, NOW);
  record_decisions (admission, 80, 4, 2000, false, NOW);
  record_decisions (admission, 10, 4, 16000, false, NOW);
  record_decisions (admission, 8, 4, 16000, true, NOW);
  g_assert_false (may_reject (admission, 4, 2000, NOW + 100));
  g_assert_true (may_reject (admission, 4, 16000, NOW + 100));
  record_decisions (admission, 3, 4, 16000, true, NOW);
  g_assert_false (may_reject (admission, 4, 16000, NOW + 100));
  record_decisions (admission, 400, 4, 16000, false, NOW);
  g_assert_true (may_reject (admission, 4, 16000, NOW + 100));
  bd_admission_destroy (admission);
}

static void
test_smaller_do_not_count (void)
{
  struct bd_admission *admission = bd_admission_create ();

  record_decisions (admission, 30, 5, 7000, false, NOW);
  record_decisions (admission, 90, 4, 6000, true, NOW);
  g_assert_true (may_reject (admission, 4, 6000, NOW + 100));
  bd_admission_destroy (admission);
}

/* Invalid priorities, and more services than have statistics. */
static void
test_invalid_input (void)
{
  struct bd_admission *admission = bd_admission_create ();
  struct bd_admission_request c = request (-1, 1, 1.0, NOW);
  char names[100][8];

  bd_admission_record_arrival (admission, &c);
  bd_admission_record_decision (admission, &c, true);
  c.priority = BD_PRIORITIES;
  bd_admission_record_arrival (admission, &c);
  bd_admission_record_decision (admission, &c, true);
  g_assert_true (bd_admission_may_reject (admission, &c));
  c.priority = 1;
  for (int i = 0; i < 100; i++)
    {
      g_snprintf (names[i], sizeof names[i], "s%d", i);
      c.service = bd_chunk_of (names[i]);
      bd_admission_record_arrival (admission, &c);
      bd_admission_record_decision (admission, &c, false);
      g_assert_cmpfloat (bd_admission_pressure (admission, &c), <=, 1.0);
    }
  bd_admission_destroy (admission);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/admission/little-lateness-sheds-nothing",
                   test_little_lateness_sheds_nothing);
  g_test_add_func ("/admission/pressure-sheds-less-urgent",
                   test_pressure_sheds_less_urgent);
  g_test_add_func ("/admission/large-cached-prompt", test_large_cached_prompt);
  g_test_add_func ("/admission/sheds-a-ratio", test_sheds_a_ratio);
  g_test_add_func ("/admission/services-independent",
                   test_services_independent);
  g_test_add_func ("/admission/few-rejected-beside-larger",
                   test_few_rejected_beside_larger);
  g_test_add_func ("/admission/some-rejected-of-mixed-sizes",
                   test_some_rejected_of_mixed_sizes);
  g_test_add_func ("/admission/smaller-do-not-count",
                   test_smaller_do_not_count);
  g_test_add_func ("/admission/invalid-input", test_invalid_input);
  return g_test_run ();
}
