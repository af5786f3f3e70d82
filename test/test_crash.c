/* When an attempt without a complete response counts as a crash of its runner;
   in virtual time. */
#include "gateway/crash.h"
#include "support_targets.h"

#include <glib.h>

#define KEEP_MS 600000
#define BORN_MS 500

struct world
{
  struct bd_targets *targets;
  struct bd_suspects *suspects;
  struct bd_crashes *crashes;
  struct bd_target *runners[2];
  uint64_t revision;
  int64_t now_ms;
};

static const struct bd_fingerprint one = { 11, 12 };
static const struct bd_fingerprint same_path = { 21, 12 };

static void
list (struct world *w, const char *id, int64_t born_ms, bool draining)
{
  struct bd_target_entry entry = support_entry (id, "z0");

  entry.born_ms = born_ms;
  entry.draining = draining;
  bd_targets_put (w->targets, w->now_ms, &entry, ++w->revision);
}

static void
unlist (struct world *w, const char *id)
{
  bd_targets_remove (w->targets, w->now_ms, bd_chunk_of (id), ++w->revision);
}

static void
open_world (struct world *w)
{
  *w = (struct world){ .now_ms = 1000 };
  w->targets = bd_targets_create ();
  w->suspects = bd_suspects_create (64, KEEP_MS);
  w->crashes = bd_crashes_create (w->targets, w->suspects);
  list (w, "r0", BORN_MS, false);
  list (w, "r1", BORN_MS, false);
  w->runners[0] = support_target (w->targets, "r0");
  w->runners[1] = support_target (w->targets, "r1");
}

static void
close_world (struct world *w)
{
  bd_crashes_destroy (w->crashes);
  bd_suspects_destroy (w->suspects);
  bd_targets_destroy (w->targets);
}

static void
pass (struct world *w, int64_t ms)
{
  for (int64_t end = w->now_ms + ms; w->now_ms < end;)
    {
      w->now_ms += MIN (100, end - w->now_ms);
      bd_crashes_tick (w->crashes, w->now_ms);
    }
}

static void
fail (struct world *w, int runner, enum bd_crash_evidence sign)
{
  bd_crashes_open (w->crashes, w->now_ms, &one, w->runners[runner], BORN_MS,
                   sign, false);
}

static enum bd_suspicion
look (struct world *w)
{
  return bd_crashes_suspicion (w->crashes, w->now_ms, &one);
}

/* Returns the number of strikes that peers would be sent. */
static size_t
told (struct world *w)
{
  struct bd_strike strikes[8];

  return bd_suspects_news (w->suspects, w->now_ms, strikes, 8);
}

static void
probe (struct world *w, const char *runner, enum bd_crash_probe_result result)
{
  bd_crashes_probed (w->crashes, w->now_ms, bd_chunk_of (runner), result);
}

/* A lost connection is probed at once and counts as a provisional strike
   meanwhile; peers are sent the strike when the runner refuses the probe. */
static void
test_refused (void)
{
  struct world w;

  open_world (&w);
  fail (&w, 0, BD_CRASH_CONNECTION_LOST);
  g_assert_cmpint (look (&w), ==, BD_SUSPICION_ISOLATE);
  g_assert_cmpuint (told (&w), ==, 0);
  g_assert_true (bd_crashes_next_probe (w.crashes, w.now_ms) == w.runners[0]);
  g_assert_null (bd_crashes_next_probe (w.crashes, w.now_ms));
  probe (&w, "r0", BD_CRASH_PROBE_REFUSED);
  g_assert_cmpint (look (&w), ==, BD_SUSPICION_ISOLATE);
  g_assert_cmpuint (told (&w), ==, 2);
  g_assert_cmpuint (bd_crashes_count (w.crashes), ==, 0);
  close_world (&w);
}

/* A runner that accepts the probe has only failed to complete a response,
   unless it turns out to have restarted. */
static void
test_accepted (void)
{
  struct world w;

  open_world (&w);
  fail (&w, 0, BD_CRASH_CONNECTION_LOST);
  bd_crashes_next_probe (w.crashes, w.now_ms);
  probe (&w, "r0", BD_CRASH_PROBE_ACCEPTED);
  g_assert_cmpint (look (&w), ==, BD_SUSPICION_NONE);
  pass (&w, 1000);
  g_assert_cmpint (look (&w), ==, BD_SUSPICION_NONE);
  list (&w, "r0", BORN_MS + 700, false);
  pass (&w, 100);
  g_assert_cmpint (look (&w), ==, BD_SUSPICION_ISOLATE);
  g_assert_cmpuint (told (&w), ==, 2);
  close_world (&w);
}

/* A silent runner is probed a little later, and not at all when something is
   received from it. */
static void
test_silence (void)
{
  struct world w;

  open_world (&w);
  fail (&w, 0, BD_CRASH_TIMED_OUT);
  g_assert_null (bd_crashes_next_probe (w.crashes, w.now_ms));
  pass (&w, BD_CRASH_PROBE_DELAY_MS);
  g_assert_true (bd_crashes_next_probe (w.crashes, w.now_ms) == w.runners[0]);
  fail (&w, 1, BD_CRASH_TIMED_OUT);
  w.runners[1]->heard_ms = w.now_ms + BD_CRASH_PROBE_DELAY_MS;
  pass (&w, (int64_t)2 * BD_CRASH_PROBE_DELAY_MS);
  g_assert_null (bd_crashes_next_probe (w.crashes, w.now_ms));
  g_assert_cmpuint (bd_crashes_count (w.crashes), ==, 1);
  close_world (&w);
}

/* A missing response, or a caller that disconnected before it, is no evidence
   by itself. */
static void
test_quiet (void)
{
  struct world w;

  open_world (&w);
  fail (&w, 0, BD_CRASH_NO_RESPONSE);
  g_assert_cmpint (look (&w), ==, BD_SUSPICION_NONE);
  unlist (&w, "r0");
  pass (&w, 100);
  g_assert_cmpint (look (&w), ==, BD_SUSPICION_ISOLATE);
  close_world (&w);
}

/* A runner that shuts down closes idle connections and refuses new ones.  The
   request that met this is not suspected, no matter who learns first that the
   runner shuts down. */
static void
test_leaving_runner (void)
{
  struct world w;

  open_world (&w);
  list (&w, "r0", BORN_MS, true);
  fail (&w, 0, BD_CRASH_CONNECTION_LOST);
  g_assert_cmpuint (bd_crashes_count (w.crashes), ==, 0);
  fail (&w, 1, BD_CRASH_CONNECTION_LOST);
  bd_crashes_next_probe (w.crashes, w.now_ms);
  bd_targets_leaving (w.targets, w.runners[1], BORN_MS, w.now_ms, false);
  probe (&w, "r1", BD_CRASH_PROBE_REFUSED);
  g_assert_cmpint (look (&w), ==, BD_SUSPICION_NONE);
  g_assert_cmpuint (told (&w), ==, 0);
  close_world (&w);
}

/* A runner that is still listed unchanged after the time in which its entry
   would have lapsed has not crashed. */
static void
test_settled (void)
{
  struct world w;

  open_world (&w);
  fail (&w, 0, BD_CRASH_TIMED_OUT);
  pass (&w, BD_CRASH_LAPSE_MS);
  g_assert_cmpint (look (&w), ==, BD_SUSPICION_ISOLATE);
  pass (&w, 200);
  g_assert_cmpint (look (&w), ==, BD_SUSPICION_NONE);
  fail (&w, 0, BD_CRASH_TIMED_OUT);
  bd_targets_store_lost (w.targets);
  pass (&w, (int64_t)2 * BD_CRASH_LAPSE_MS);
  g_assert_cmpint (look (&w), ==, BD_SUSPICION_ISOLATE);
  pass (&w, BD_CRASH_OPEN_MAX_MS);
  g_assert_cmpint (look (&w), ==, BD_SUSPICION_NONE);
  close_world (&w);
}

/* An instance that is cut off from the network reaches no runner; no request
   is suspected for this. */
static void
test_cut_off (void)
{
  struct world w;

  open_world (&w);
  fail (&w, 0, BD_CRASH_TIMED_OUT);
  pass (&w, BD_CRASH_PROBE_DELAY_MS);
  bd_crashes_next_probe (w.crashes, w.now_ms);
  probe (&w, "r0", BD_CRASH_PROBE_TIMED_OUT);
  g_assert_cmpuint (told (&w), ==, 0);
  g_assert_cmpuint (bd_crashes_count (w.crashes), ==, 1);
  fail (&w, 1, BD_CRASH_TIMED_OUT);
  w.runners[0]->heard_ms = w.now_ms + 1;
  pass (&w, BD_CRASH_PROBE_DELAY_MS);
  bd_crashes_next_probe (w.crashes, w.now_ms);
  probe (&w, "r1", BD_CRASH_PROBE_TIMED_OUT);
  g_assert_cmpuint (told (&w), ==, 2);
  close_world (&w);
}

/* Several copies of a request are sent before the first crash is known, so
   that it was never the only suspect.  It is held for a time, and then allowed
   to run again to show that it is innocent. */
static void
test_held (void)
{
  static const char *const names[] = { "r0", "r1", "r2" };
  struct world w;

  open_world (&w);
  list (&w, "r2", BORN_MS, false);
  for (int i = 0; i < 2; i++)
    bd_crashes_open (w.crashes, w.now_ms, &one,
                     support_target (w.targets, names[i]), BORN_MS,
                     BD_CRASH_CONNECTION_LOST, false);
  while (bd_crashes_next_probe (w.crashes, w.now_ms))
    ;
  for (int i = 0; i < 2; i++)
    probe (&w, names[i], BD_CRASH_PROBE_REFUSED);
  g_assert_cmpint (look (&w), ==, BD_SUSPICION_QUARANTINE);
  pass (&w, BD_SUSPECT_HOLD_MS);
  g_assert_cmpint (look (&w), ==, BD_SUSPICION_ISOLATE);
  bd_crashes_open (w.crashes, w.now_ms, &one, support_target (w.targets, "r2"),
                   BORN_MS, BD_CRASH_CONNECTION_LOST, true);
  bd_crashes_next_probe (w.crashes, w.now_ms);
  probe (&w, "r2", BD_CRASH_PROBE_REFUSED);
  pass (&w, (int64_t)2 * BD_SUSPECT_HOLD_MS);
  g_assert_cmpint (look (&w), ==, BD_SUSPICION_QUARANTINE);
  pass (&w, BD_SUSPECT_HOLD_LONG_MS);
  g_assert_cmpint (look (&w), ==, BD_SUSPICION_ISOLATE);
  bd_crashes_completed (w.crashes, w.now_ms, &one);
  g_assert_cmpint (look (&w), ==, BD_SUSPICION_NONE);
  close_world (&w);
}

/* A hung runner accepts connections; the silence counts until something is
   received from it. */
static void
test_stands_still (void)
{
  struct world w;

  open_world (&w);
  fail (&w, 0, BD_CRASH_TIMED_OUT);
  pass (&w, BD_CRASH_PROBE_DELAY_MS);
  bd_crashes_next_probe (w.crashes, w.now_ms);
  probe (&w, "r0", BD_CRASH_PROBE_ACCEPTED);
  g_assert_cmpint (look (&w), ==, BD_SUSPICION_ISOLATE);
  w.runners[0]->heard_ms = w.now_ms;
  pass (&w, 200);
  g_assert_cmpint (look (&w), ==, BD_SUSPICION_NONE);
  close_world (&w);
}

/* Several attempts of one request at one runner count as one crash. */
static void
test_counted_once (void)
{
  struct world w;

  open_world (&w);
  for (int i = 0; i < 3; i++)
    {
      fail (&w, 0, BD_CRASH_CONNECTION_LOST);
      bd_crashes_next_probe (w.crashes, w.now_ms);
      probe (&w, "r0", BD_CRASH_PROBE_REFUSED);
    }
  g_assert_cmpuint (told (&w), ==, 2);
  close_world (&w);
}

/* A request in flight at a runner whose crash was confirmed by another
   request's case counts as well. */
static void
test_found_by_another (void)
{
  struct world w;

  open_world (&w);
  bd_crashes_open (w.crashes, w.now_ms, &(struct bd_fingerprint){ 31, 31 },
                   w.runners[0], BORN_MS, BD_CRASH_CONNECTION_LOST, false);
  bd_crashes_next_probe (w.crashes, w.now_ms);
  probe (&w, "r0", BD_CRASH_PROBE_REFUSED);
  fail (&w, 0, BD_CRASH_NO_RESPONSE);
  pass (&w, 100);
  g_assert_cmpint (look (&w), ==, BD_SUSPICION_ISOLATE);
  close_world (&w);
}

/* An attempt without a response whose connection is then lost counts from then
   on. */
static void
test_quiet_then_broken (void)
{
  struct world w;

  open_world (&w);
  fail (&w, 0, BD_CRASH_NO_RESPONSE);
  fail (&w, 0, BD_CRASH_CONNECTION_LOST);
  g_assert_cmpuint (bd_crashes_count (w.crashes), ==, 1);
  g_assert_cmpint (look (&w), ==, BD_SUSPICION_ISOLATE);
  g_assert_nonnull (bd_crashes_next_probe (w.crashes, w.now_ms));
  close_world (&w);
}

/* A runner that crashed with many requests in flight is probed once. */
static void
test_one_check (void)
{
  struct world w;
  struct bd_fingerprint other = one;

  open_world (&w);
  for (other.exact = 100; other.exact < 150; other.exact++)
    {
      other.broad = other.exact;
      bd_crashes_open (w.crashes, w.now_ms, &other, w.runners[0], BORN_MS,
                       BD_CRASH_CONNECTION_LOST, false);
    }
  g_assert_nonnull (bd_crashes_next_probe (w.crashes, w.now_ms));
  g_assert_null (bd_crashes_next_probe (w.crashes, w.now_ms));
  probe (&w, "r0", BD_CRASH_PROBE_REFUSED);
  g_assert_cmpuint (bd_crashes_count (w.crashes), ==, 0);
  g_assert_cmpint (bd_suspects_look (w.suspects, w.now_ms, 149), ==,
                   BD_SUSPICION_ISOLATE);
  close_world (&w);
}

/* The same path with another query string is suspected too, until one such
   request completes. */
static void
test_path (void)
{
  struct world w;

  open_world (&w);
  fail (&w, 0, BD_CRASH_CONNECTION_LOST);
  bd_crashes_next_probe (w.crashes, w.now_ms);
  probe (&w, "r0", BD_CRASH_PROBE_REFUSED);
  g_assert_cmpint (bd_crashes_suspicion (w.crashes, w.now_ms, &same_path), ==,
                   BD_SUSPICION_ISOLATE);
  bd_crashes_completed (w.crashes, w.now_ms, &same_path);
  g_assert_cmpint (bd_crashes_suspicion (w.crashes, w.now_ms, &same_path), ==,
                   BD_SUSPICION_NONE);
  g_assert_cmpint (look (&w), ==, BD_SUSPICION_ISOLATE);
  close_world (&w);
}

/* The number of open cases is bounded under hostile load. */
static void
test_bounded (void)
{
  struct world w;
  struct bd_fingerprint other = one;

  open_world (&w);
  for (other.exact = 100; other.exact < 100 + 2 * BD_CRASH_CASES_MAX;
       other.exact++)
    {
      other.broad = other.exact;
      bd_crashes_open (w.crashes, w.now_ms, &other, w.runners[0], BORN_MS,
                       BD_CRASH_TIMED_OUT, false);
    }
  g_assert_cmpuint (bd_crashes_count (w.crashes), ==, BD_CRASH_CASES_MAX);
  pass (&w, BD_CRASH_OPEN_MAX_MS + 200);
  g_assert_cmpuint (bd_crashes_count (w.crashes), ==, 0);
  close_world (&w);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/crash/refused", test_refused);
  g_test_add_func ("/crash/accepted", test_accepted);
  g_test_add_func ("/crash/silence", test_silence);
  g_test_add_func ("/crash/quiet", test_quiet);
  g_test_add_func ("/crash/leaving-runner", test_leaving_runner);
  g_test_add_func ("/crash/settled", test_settled);
  g_test_add_func ("/crash/cut-off", test_cut_off);
  g_test_add_func ("/crash/held", test_held);
  g_test_add_func ("/crash/stands-still", test_stands_still);
  g_test_add_func ("/crash/counted-once", test_counted_once);
  g_test_add_func ("/crash/found-by-another", test_found_by_another);
  g_test_add_func ("/crash/quiet-then-broken", test_quiet_then_broken);
  g_test_add_func ("/crash/one-check", test_one_check);
  g_test_add_func ("/crash/path", test_path);
  g_test_add_func ("/crash/bounded", test_bounded);
  return g_test_run ();
}
