#include "common/random.h"
#include "retry/retry.h"

#include <glib.h>

/** Totals of a simulation with one budget. */
struct counts
{
  uint64_t requests;
  uint64_t attempts;
  uint64_t hedges;
  uint64_t failed;    /**< First attempts that failed. */
  uint64_t recovered; /**< Failed requests that a retry completed. */
};

static void
assert_within_budget (const struct counts *c)
{
  g_assert_cmpuint (c->attempts * 10, <=, c->requests * 11);
  g_assert_cmpuint (c->hedges * 100, <=, c->requests * 3);
}

/** Runs one request whose attempts fail or are slow with these odds. */
static void
run_request (struct bd_retry_budget *budget, struct counts *c,
             uint64_t *random, uint32_t fail_permille, uint32_t slow_permille)
{
  uint32_t attempts = 1;
  bool failed;

  bd_retry_count_first (budget);
  c->requests++;
  c->attempts++;
  if (bd_random_below (random, 1000) < slow_permille
      && bd_retry_try_charge (budget, BD_RETRY_HEDGE, true, attempts, BD_OK))
    {
      attempts++;
      c->attempts++;
      c->hedges++;
    }
  failed = bd_random_below (random, 1000) < fail_permille;
  c->failed += failed ? 1 : 0;
  while (failed
         && bd_retry_try_charge (budget, BD_RETRY_AFTER_ERROR, true, attempts,
                                 BD_ERR_ENGINE))
    {
      attempts++;
      c->attempts++;
      failed = bd_random_below (random, 1000) < fail_permille;
      c->recovered += failed ? 0 : 1;
    }
  assert_within_budget (c);
}

/** All engines are down, from the start or after requests without errors. */
static void
test_total_outage (void)
{
  for (int i = 0; i < 4; i++)
    {
      uint32_t quiet = i % 2 == 0 ? 0 : 50000;
      uint32_t down = i < 2 ? 250 : 50000;
      struct bd_retry_budget budget = { 0 };
      struct counts c = { 0 };
      uint64_t random = 1;
      uint64_t before;

      for (uint32_t k = 0; k < quiet; k++)
        run_request (&budget, &c, &random, 0, 0);
      before = c.attempts;
      for (uint32_t k = 0; k < down; k++)
        run_request (&budget, &c, &random, 1000, 500);
      g_test_message ("%u requests, %u before: %.4f attempts per request",
                      down, quiet, (double)(c.attempts - before) / down);
      g_assert_cmpuint (c.attempts - before, <=, down * 11 / 10);
      /* The budget must also be used. */
      g_assert_cmpuint (c.attempts - before, >=, down * 107 / 100);
    }
}

static void
test_random_histories (void)
{
  for (uint64_t seed = 1; seed <= 2000; seed++)
    {
      struct bd_retry_budget budget = { 0 };
      struct counts c = { 0 };
      uint64_t random = seed;

      for (int phase = 0; phase < 10; phase++)
        {
          uint32_t fail = bd_random_below (&random, 1001);
          uint32_t slow = bd_random_below (&random, 1001);
          uint32_t count = bd_random_below (&random, 300);

          for (uint32_t i = 0; i < count; i++)
            run_request (&budget, &c, &random, fail, slow);
        }
    }
}

/** With rare failures, retries complete at least 99.5 % of the failed. */
static void
test_failures_are_recovered (void)
{
  struct bd_retry_budget budget = { 0 };
  struct counts c = { 0 };
  uint64_t random = 9;

  for (int i = 0; i < 100000; i++)
    run_request (&budget, &c, &random, 20, 20);
  g_assert_cmpuint (c.recovered * 1000, >=, c.failed * 995);
}

static void
test_no_retry (void)
{
  struct bd_retry_budget budget = { 0 };

  g_assert_false (
      bd_retry_try_charge (&budget, BD_RETRY_AFTER_ERROR, true, 1, BD_ERR_IO));
  for (int i = 0; i < 10000; i++)
    bd_retry_count_first (&budget);
  g_assert_false (bd_retry_try_charge (&budget, BD_RETRY_AFTER_ERROR, false, 1,
                                       BD_ERR_IO));
  g_assert_false (
      bd_retry_try_charge (&budget, BD_RETRY_HEDGE, false, 1, BD_OK));
  g_assert_false (bd_retry_try_charge (&budget, BD_RETRY_AFTER_ERROR, true,
                                       BD_RETRY_ATTEMPTS_MAX, BD_ERR_IO));
  g_assert_false (bd_retry_try_charge (&budget, BD_RETRY_AFTER_ERROR, true, 1,
                                       BD_ERR_OVERLOADED));
  g_assert_true (
      bd_retry_try_charge (&budget, BD_RETRY_AFTER_ERROR, true, 1, BD_ERR_IO));
}

/** Only these errors are retried at another runner. */
static void
test_errors_retried_elsewhere (void)
{
  static const enum bd_error elsewhere[]
      = { BD_ERR_NO_RUNNER,  BD_ERR_LEAVING, BD_ERR_ENGINE,
          BD_ERR_INCOMPLETE, BD_ERR_FULL,    BD_ERR_TIMEOUT,
          BD_ERR_IO,         BD_ERR_NOMEM,   BD_ERR_NOT_READY };

  for (int error = BD_OK; error >= BD_ERR_LIMIT; error--)
    {
      bool listed = false;

      for (size_t i = 0; i < G_N_ELEMENTS (elsewhere); i++)
        listed = listed || (int)elsewhere[i] == error;
      g_assert_true (bd_retry_may_succeed_elsewhere (error) == listed);
      if (bd_retry_may_succeed_elsewhere (error))
        g_assert_cmpint (bd_error_answer (error)->status, >=, 500);
    }
}

static void
test_drain_rate (void)
{
  struct bd_drain_rate rate = { 0 };
  uint64_t random = 3;
  uint64_t same = 3;
  int32_t least = G_MAXINT32;
  int32_t most = 0;

  /* Without a rate: the longest wait, with jitter. */
  g_assert_cmpint (bd_retry_after_ms (&rate, 0, 100, &random), >=,
                   BD_RETRY_AFTER_MAX_MS / 2);
  g_assert_cmpint (bd_retry_after_ms (&rate, 0, 100, &random), <=,
                   BD_RETRY_AFTER_MAX_MS);
  for (int64_t now_ms = 0; now_ms <= 2000; now_ms += 50)
    bd_drain_rate_add (&rate, now_ms, 50);
  g_assert_cmpfloat_with_epsilon (bd_drain_rate_per_s (&rate, 2000), 1000.0,
                                  60.0);
  random = same;
  for (int i = 0; i < 1000; i++)
    {
      int32_t wait_ms = bd_retry_after_ms (&rate, 2000, 8000, &random);

      g_assert_cmpint (wait_ms, ==,
                       bd_retry_after_ms (&rate, 2000, 8000, &same));
      least = MIN (least, wait_ms);
      most = MAX (most, wait_ms);
    }
  g_assert_true (least >= 7500 && least <= 8500);
  g_assert_true (most >= 11500 && most <= 12700);
  g_assert_cmpint (bd_retry_after_ms (&rate, 2000, 0, &random), >=,
                   BD_RETRY_AFTER_MIN_MS);
  g_assert_cmpint (bd_retry_after_ms (&rate, 2000, 0, &random), <=,
                   BD_RETRY_AFTER_MIN_MS * 3 / 2);
  for (uint64_t ahead = 100000; ahead < UINT64_MAX / 8; ahead *= 8)
    {
      int32_t wait_ms = bd_retry_after_ms (&rate, 2000, ahead, &random);

      g_assert_cmpint (wait_ms, >=, BD_RETRY_AFTER_MAX_MS / 2);
      g_assert_cmpint (wait_ms, <=, BD_RETRY_AFTER_MAX_MS);
    }
  /* The rate falls while nothing leaves, and rises again. */
  g_assert_cmpfloat (bd_drain_rate_per_s (&rate, 12000), <, 300.0);
  for (int64_t now_ms = 12000; now_ms <= 42000; now_ms += 50)
    bd_drain_rate_add (&rate, now_ms, 200);
  g_assert_cmpfloat_with_epsilon (bd_drain_rate_per_s (&rate, 42000), 4000.0,
                                  100.0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/retry/total-outage", test_total_outage);
  g_test_add_func ("/retry/random-histories", test_random_histories);
  g_test_add_func ("/retry/failures-are-recovered",
                   test_failures_are_recovered);
  g_test_add_func ("/retry/no-retry", test_no_retry);
  g_test_add_func ("/retry/errors-retried-elsewhere",
                   test_errors_retried_elsewhere);
  g_test_add_func ("/retry/drain-rate", test_drain_rate);
  return g_test_run ();
}
