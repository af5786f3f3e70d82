/* How hard requests press on a service, and who is refused for that. */
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

/* COUNT requests come within a second from NOW_MS. */
static void
come (struct bd_admission *admission, int count, int priority, uint64_t tokens,
      double lateness, int64_t now_ms)
{
  for (int i = 0; i < count; i++)
    {
      struct bd_admission_request c
          = request (priority, tokens, lateness, now_ms + i * 1000 / count);

      bd_admission_record_arrival (admission, &c);
    }
}

static double
shed (const struct bd_admission *admission, int priority, uint64_t tokens,
      int64_t now_ms)
{
  struct bd_admission_request c = request (priority, tokens, 0.0, now_ms);

  return bd_admission_shed_ratio (admission, &c);
}

/* Pattern: a day on which each request in twenty begins a little late.
   Nobody is refused for that. */
static void
test_calm (void)
{
  struct bd_admission *admission = bd_admission_create ();

  for (int s = 0; s < 20; s++)
    {
      come (admission, 57, 4, 9000, 0.0, NOW + s * 1000);
      come (admission, 3, 4, 9000, 0.6, NOW + s * 1000);
    }
  g_assert_cmpfloat (shed (admission, 5, 17000, NOW + 20000), ==, 0.0);
  bd_admission_destroy (admission);
}

/* Pattern: middle-sized requests begin twice as late as they should.  All
   that is less urgent and takes as much or more is refused; what is more
   urgent, or so small that it would help nobody, is not. */
static void
test_pressed (void)
{
  struct bd_admission *admission = bd_admission_create ();

  come (admission, 60, 4, 9000, 1.0, NOW);
  g_assert_cmpfloat (shed (admission, 5, 17000, NOW + 1000), ==, 1.0);
  g_assert_cmpfloat (shed (admission, 5, 5000, NOW + 1000), ==, 1.0);
  g_assert_cmpfloat (shed (admission, 5, 1000, NOW + 1000), ==, 0.0);
  g_assert_cmpfloat (shed (admission, 4, 17000, NOW + 1000), ==, 0.0);
  g_assert_cmpfloat (shed (admission, 3, 17000, NOW + 1000), ==, 0.0);
  bd_admission_destroy (admission);
}

/* A prompt of which little is to be read, as its shared part is kept, is still
   refused when the whole of it is far larger than what gets nothing. */
static void
test_large_but_warm (void)
{
  struct bd_admission *admission = bd_admission_create ();
  struct bd_admission_request warm = request (5, 1000, 0.0, NOW + 1000);

  warm.prompt_tokens = 17000;
  come (admission, 60, 4, 9000, 1.0, NOW);
  g_assert_cmpfloat (bd_admission_shed_ratio (admission, &warm), ==, 1.0);
  bd_admission_destroy (admission);
}

/* The share that is refused grows with the lateness and ends with it. */
static void
test_in_part (void)
{
  struct bd_admission *admission = bd_admission_create ();
  double some;

  come (admission, 60, 4, 9000, 0.12, NOW);
  some = shed (admission, 5, 17000, NOW + 1000);
  g_assert_cmpfloat (some, >, 0.1);
  g_assert_cmpfloat (some, <, 0.9);
  come (admission, 60, 4, 9000, 0.0, NOW + 1000);
  come (admission, 60, 4, 9000, 0.0, NOW + 2000);
  g_assert_cmpfloat (shed (admission, 5, 17000, NOW + 3000), <, some / 2);
  g_assert_cmpfloat (shed (admission, 5, 17000, NOW + 60000), ==, 0.0);
  bd_admission_destroy (admission);
}

/* Services do not press on one another. */
static void
test_services_apart (void)
{
  struct bd_admission *admission = bd_admission_create ();
  struct bd_admission_request other = request (5, 17000, 0.0, NOW + 1000);

  other.service = BD_CHUNK ("mail");
  come (admission, 60, 4, 9000, 1.0, NOW);
  g_assert_cmpfloat (bd_admission_shed_ratio (admission, &other), ==, 0.0);
  bd_admission_destroy (admission);
}

static void
decide (struct bd_admission *admission, int count, int priority, uint64_t size,
        bool refused, int64_t now_ms)
{
  for (int i = 0; i < count; i++)
    {
      struct bd_admission_request c = request (priority, size, 0.0, now_ms);

      bd_admission_record_decision (admission, &c, refused);
    }
}

static bool
may_refuse (const struct bd_admission *admission, int priority, uint64_t size,
            int64_t now_ms)
{
  struct bd_admission_request c = request (priority, size, 1.0, now_ms);

  return bd_admission_may_reject (admission, &c);
}

/* Pattern: a burst begins while large, less urgent requests run that were
   taken before.  Of the more urgent only few are refused until these have
   begun; later, or beside smaller ones only, they may be. */
static void
test_few_beside_larger (void)
{
  struct bd_admission *admission = bd_admission_create ();

  decide (admission, 30, 5, 17000, false, NOW);
  decide (admission, 95, 4, 6000, false, NOW);
  decide (admission, 5, 4, 6000, true, NOW);
  g_assert_true (may_refuse (admission, 4, 6000, NOW + 100));
  decide (admission, 1, 4, 6000, true, NOW);
  g_assert_false (may_refuse (admission, 4, 6000, NOW + 100));
  g_assert_false (may_refuse (admission, 4, 6000, NOW + 5000));
  g_assert_true (may_refuse (admission, 4, 6000, NOW + 8000));
  g_assert_true (may_refuse (admission, 5, 17000, NOW + 100));
  bd_admission_destroy (admission);
}

static void
test_smaller_do_not_count (void)
{
  struct bd_admission *admission = bd_admission_create ();

  decide (admission, 30, 5, 7000, false, NOW);
  decide (admission, 90, 4, 6000, true, NOW);
  g_assert_true (may_refuse (admission, 4, 6000, NOW + 100));
  bd_admission_destroy (admission);
}

/* Priorities that do not exist, and more services than are told apart. */
static void
test_hostile (void)
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
  g_test_add_func ("/admission/calm", test_calm);
  g_test_add_func ("/admission/pressed", test_pressed);
  g_test_add_func ("/admission/large-but-warm", test_large_but_warm);
  g_test_add_func ("/admission/in-part", test_in_part);
  g_test_add_func ("/admission/services-apart", test_services_apart);
  g_test_add_func ("/admission/few-beside-larger", test_few_beside_larger);
  g_test_add_func ("/admission/smaller-do-not-count",
                   test_smaller_do_not_count);
  g_test_add_func ("/admission/hostile", test_hostile);
  return g_test_run ();
}
