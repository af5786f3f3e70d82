/* When an attempt without a complete response counts as a crash of its runner;
   in virtual time. */
#include "gateway/crash.h"
#include "support_targets.h"

#include <glib.h>

#define KEEP_MS 600000
#define BORN_MS 500

struct fixture
{
  struct bd_targets *targets;
  struct bd_suspects *suspects;
  struct bd_part_breakers *breakers;
  struct bd_crashes *crashes;
  struct bd_target *runners[2];
  uint64_t revision;
  int64_t now_ms;
};

static const struct bd_fingerprint request = { .exact = 11, .broad = 12 };
static const struct bd_fingerprint same_path = { .exact = 21, .broad = 12 };
/* Requests that have a part of their prompts in common. */
static const struct bd_fingerprint with_part
    = { .exact = 41, .broad = 41, .parts = { 1, (uint64_t[]){ 51 }, 0 } };

static void
list (struct fixture *f, const char *id, int64_t started_ms, bool draining)
{
  struct bd_target_entry entry = support_entry (id, "z0");

  entry.started_ms = started_ms;
  entry.draining = draining;
  bd_targets_put (f->targets, f->now_ms, &entry, ++f->revision);
}

static void
unlist (struct fixture *f, const char *id)
{
  bd_targets_remove (f->targets, f->now_ms, bd_chunk_of (id), ++f->revision);
}

static void
open_fixture (struct fixture *f)
{
  *f = (struct fixture){ .now_ms = 1000 };
  f->targets = bd_targets_create ();
  f->suspects = bd_suspects_create (64, KEEP_MS);
  f->breakers = bd_part_breakers_create (1);
  f->crashes = bd_crashes_create (f->targets, f->suspects, f->breakers, 1);
  list (f, "r0", BORN_MS, false);
  list (f, "r1", BORN_MS, false);
  f->runners[0] = support_target (f->targets, "r0");
  f->runners[1] = support_target (f->targets, "r1");
}

static void
close_fixture (struct fixture *f)
{
  bd_crashes_destroy (f->crashes);
  bd_part_breakers_destroy (f->breakers);
  bd_suspects_destroy (f->suspects);
  bd_targets_destroy (f->targets);
}

static void
advance (struct fixture *f, int64_t ms)
{
  for (int64_t end = f->now_ms + ms; f->now_ms < end;)
    {
      f->now_ms += MIN (100, end - f->now_ms);
      bd_crashes_tick (f->crashes, f->now_ms);
    }
}

static void
open_case_of (struct fixture *f, const struct bd_fingerprint *fingerprint,
              const struct bd_target *target, enum bd_crash_evidence evidence,
              bool suspected)
{
  struct bd_crash_attempt attempt = { .fingerprint = fingerprint,
                                      .target = target,
                                      .runner_started_ms = BORN_MS,
                                      .sent_ms = f->now_ms,
                                      .evidence = evidence,
                                      .suspected = suspected };

  bd_crashes_open (f->crashes, f->now_ms, &attempt);
}

static void
open_case (struct fixture *f, int runner, enum bd_crash_evidence evidence)
{
  open_case_of (f, &request, f->runners[runner], evidence, false);
}

static enum bd_suspicion
suspicion (struct fixture *f)
{
  return bd_crashes_suspicion (f->crashes, f->now_ms, &request);
}

/* Returns the number of strikes that peers would be sent. */
static size_t
pending_strikes (struct fixture *f)
{
  struct bd_strike strikes[8];

  return bd_suspects_next_gossip (f->suspects, f->now_ms, strikes, 8);
}

static void
probe (struct fixture *f, const char *runner,
       enum bd_crash_probe_result result)
{
  bd_crashes_probed (f->crashes, f->now_ms, bd_chunk_of (runner), result);
}

/* A lost connection is probed at once and counts as a provisional strike
   meanwhile; peers are sent the strike when the runner refuses the probe. */
static void
test_probe_refused (void)
{
  struct fixture f;

  open_fixture (&f);
  open_case (&f, 0, BD_CRASH_CONNECTION_LOST);
  g_assert_cmpint (suspicion (&f), ==, BD_SUSPICION_ISOLATE);
  g_assert_cmpuint (pending_strikes (&f), ==, 0);
  g_assert_true (bd_crashes_next_probe (f.crashes, f.now_ms) == f.runners[0]);
  g_assert_null (bd_crashes_next_probe (f.crashes, f.now_ms));
  probe (&f, "r0", BD_CRASH_PROBE_REFUSED);
  g_assert_cmpint (suspicion (&f), ==, BD_SUSPICION_ISOLATE);
  g_assert_cmpuint (pending_strikes (&f), ==, 2);
  g_assert_cmpuint (bd_crashes_count (f.crashes), ==, 0);
  close_fixture (&f);
}

/* A runner that accepts the probe has only failed to complete a response,
   unless it turns out to have restarted. */
static void
test_probe_accepted (void)
{
  struct fixture f;

  open_fixture (&f);
  open_case (&f, 0, BD_CRASH_CONNECTION_LOST);
  bd_crashes_next_probe (f.crashes, f.now_ms);
  probe (&f, "r0", BD_CRASH_PROBE_ACCEPTED);
  g_assert_cmpint (suspicion (&f), ==, BD_SUSPICION_NONE);
  advance (&f, 1000);
  g_assert_cmpint (suspicion (&f), ==, BD_SUSPICION_NONE);
  list (&f, "r0", BORN_MS + 700, false);
  advance (&f, 100);
  g_assert_cmpint (suspicion (&f), ==, BD_SUSPICION_ISOLATE);
  g_assert_cmpuint (pending_strikes (&f), ==, 2);
  close_fixture (&f);
}

/* A silent runner is probed a little later, and not at all when something is
   received from it. */
static void
test_silence (void)
{
  struct fixture f;

  open_fixture (&f);
  open_case (&f, 0, BD_CRASH_TIMED_OUT);
  g_assert_null (bd_crashes_next_probe (f.crashes, f.now_ms));
  advance (&f, BD_CRASH_PROBE_DELAY_MS);
  g_assert_true (bd_crashes_next_probe (f.crashes, f.now_ms) == f.runners[0]);
  open_case (&f, 1, BD_CRASH_TIMED_OUT);
  f.runners[1]->last_byte_ms = f.now_ms + BD_CRASH_PROBE_DELAY_MS;
  advance (&f, (int64_t)2 * BD_CRASH_PROBE_DELAY_MS);
  g_assert_null (bd_crashes_next_probe (f.crashes, f.now_ms));
  g_assert_cmpuint (bd_crashes_count (f.crashes), ==, 1);
  close_fixture (&f);
}

/* A missing response, or a caller that disconnected before it, is no evidence
   by itself. */
static void
test_no_response (void)
{
  struct fixture f;

  open_fixture (&f);
  open_case (&f, 0, BD_CRASH_NO_RESPONSE);
  g_assert_cmpint (suspicion (&f), ==, BD_SUSPICION_NONE);
  unlist (&f, "r0");
  advance (&f, 100);
  g_assert_cmpint (suspicion (&f), ==, BD_SUSPICION_ISOLATE);
  close_fixture (&f);
}

/* A runner that shuts down closes idle connections and refuses new ones.  The
   request that met this is not suspected, no matter who learns first that the
   runner shuts down. */
static void
test_leaving_runner (void)
{
  struct fixture f;

  open_fixture (&f);
  list (&f, "r0", BORN_MS, true);
  open_case (&f, 0, BD_CRASH_CONNECTION_LOST);
  g_assert_cmpuint (bd_crashes_count (f.crashes), ==, 0);
  open_case (&f, 1, BD_CRASH_CONNECTION_LOST);
  bd_crashes_next_probe (f.crashes, f.now_ms);
  bd_targets_set_leaving (f.targets, f.runners[1], BORN_MS, f.now_ms, false);
  probe (&f, "r1", BD_CRASH_PROBE_REFUSED);
  g_assert_cmpint (suspicion (&f), ==, BD_SUSPICION_NONE);
  g_assert_cmpuint (pending_strikes (&f), ==, 0);
  close_fixture (&f);
}

/* A runner that is still listed unchanged after the time in which its entry
   would have lapsed has not crashed. */
static void
test_still_listed (void)
{
  struct fixture f;

  open_fixture (&f);
  open_case (&f, 0, BD_CRASH_TIMED_OUT);
  advance (&f, BD_CRASH_LAPSE_MS);
  g_assert_cmpint (suspicion (&f), ==, BD_SUSPICION_ISOLATE);
  advance (&f, 200);
  g_assert_cmpint (suspicion (&f), ==, BD_SUSPICION_NONE);
  open_case (&f, 0, BD_CRASH_TIMED_OUT);
  bd_targets_set_store_lost (f.targets);
  advance (&f, (int64_t)2 * BD_CRASH_LAPSE_MS);
  g_assert_cmpint (suspicion (&f), ==, BD_SUSPICION_ISOLATE);
  advance (&f, BD_CRASH_OPEN_MAX_MS);
  g_assert_cmpint (suspicion (&f), ==, BD_SUSPICION_NONE);
  close_fixture (&f);
}

/* An instance that is cut off from the network reaches no runner; no request
   is suspected for this. */
static void
test_isolated_instance (void)
{
  struct fixture f;

  open_fixture (&f);
  open_case (&f, 0, BD_CRASH_TIMED_OUT);
  advance (&f, BD_CRASH_PROBE_DELAY_MS);
  bd_crashes_next_probe (f.crashes, f.now_ms);
  probe (&f, "r0", BD_CRASH_PROBE_TIMED_OUT);
  g_assert_cmpuint (pending_strikes (&f), ==, 0);
  g_assert_cmpuint (bd_crashes_count (f.crashes), ==, 1);
  open_case (&f, 1, BD_CRASH_TIMED_OUT);
  f.runners[0]->last_byte_ms = f.now_ms + 1;
  advance (&f, BD_CRASH_PROBE_DELAY_MS);
  bd_crashes_next_probe (f.crashes, f.now_ms);
  probe (&f, "r1", BD_CRASH_PROBE_TIMED_OUT);
  g_assert_cmpuint (pending_strikes (&f), ==, 2);
  close_fixture (&f);
}

/* Several copies of a request are sent before the first crash is known, so
   that it was never the only suspect.  It is held for a time, and then allowed
   to run again to show that it is innocent. */
static void
test_held (void)
{
  static const char *const names[] = { "r0", "r1", "r2" };
  struct fixture f;

  open_fixture (&f);
  list (&f, "r2", BORN_MS, false);
  for (int i = 0; i < 2; i++)
    open_case_of (&f, &request, support_target (f.targets, names[i]),
                  BD_CRASH_CONNECTION_LOST, false);
  while (bd_crashes_next_probe (f.crashes, f.now_ms))
    ;
  for (int i = 0; i < 2; i++)
    probe (&f, names[i], BD_CRASH_PROBE_REFUSED);
  g_assert_cmpint (suspicion (&f), ==, BD_SUSPICION_QUARANTINE);
  advance (&f, BD_SUSPECT_HOLD_MS);
  g_assert_cmpint (suspicion (&f), ==, BD_SUSPICION_ISOLATE);
  open_case_of (&f, &request, support_target (f.targets, "r2"),
                BD_CRASH_CONNECTION_LOST, true);
  bd_crashes_next_probe (f.crashes, f.now_ms);
  probe (&f, "r2", BD_CRASH_PROBE_REFUSED);
  advance (&f, (int64_t)2 * BD_SUSPECT_HOLD_MS);
  g_assert_cmpint (suspicion (&f), ==, BD_SUSPICION_QUARANTINE);
  advance (&f, BD_SUSPECT_LONG_HOLD_MS);
  g_assert_cmpint (suspicion (&f), ==, BD_SUSPICION_ISOLATE);
  bd_crashes_completed (f.crashes, f.now_ms, &request);
  g_assert_cmpint (suspicion (&f), ==, BD_SUSPICION_NONE);
  close_fixture (&f);
}

/* A hung runner accepts connections; the silence counts until something is
   received from it. */
static void
test_hung_runner (void)
{
  struct fixture f;

  open_fixture (&f);
  open_case (&f, 0, BD_CRASH_TIMED_OUT);
  advance (&f, BD_CRASH_PROBE_DELAY_MS);
  bd_crashes_next_probe (f.crashes, f.now_ms);
  probe (&f, "r0", BD_CRASH_PROBE_ACCEPTED);
  g_assert_cmpint (suspicion (&f), ==, BD_SUSPICION_ISOLATE);
  f.runners[0]->last_byte_ms = f.now_ms;
  advance (&f, 200);
  g_assert_cmpint (suspicion (&f), ==, BD_SUSPICION_NONE);
  close_fixture (&f);
}

/* Several attempts of one request at one runner count as one crash. */
static void
test_counted_once (void)
{
  struct fixture f;

  open_fixture (&f);
  for (int i = 0; i < 3; i++)
    {
      open_case (&f, 0, BD_CRASH_CONNECTION_LOST);
      bd_crashes_next_probe (f.crashes, f.now_ms);
      probe (&f, "r0", BD_CRASH_PROBE_REFUSED);
    }
  g_assert_cmpuint (pending_strikes (&f), ==, 2);
  close_fixture (&f);
}

/* A request in flight at a runner whose crash was confirmed by another
   request's case counts as well. */
static void
test_found_by_another (void)
{
  struct fixture f;

  open_fixture (&f);
  open_case_of (&f, &(struct bd_fingerprint){ .exact = 31, .broad = 31 },
                f.runners[0], BD_CRASH_CONNECTION_LOST, false);
  bd_crashes_next_probe (f.crashes, f.now_ms);
  probe (&f, "r0", BD_CRASH_PROBE_REFUSED);
  open_case (&f, 0, BD_CRASH_NO_RESPONSE);
  advance (&f, 100);
  g_assert_cmpint (suspicion (&f), ==, BD_SUSPICION_ISOLATE);
  close_fixture (&f);
}

/* An attempt without a response whose connection is then lost counts from then
   on. */
static void
test_no_response_then_lost (void)
{
  struct fixture f;

  open_fixture (&f);
  open_case (&f, 0, BD_CRASH_NO_RESPONSE);
  open_case (&f, 0, BD_CRASH_CONNECTION_LOST);
  g_assert_cmpuint (bd_crashes_count (f.crashes), ==, 1);
  g_assert_cmpint (suspicion (&f), ==, BD_SUSPICION_ISOLATE);
  g_assert_nonnull (bd_crashes_next_probe (f.crashes, f.now_ms));
  close_fixture (&f);
}

/* A runner that crashed with many requests in flight is probed once. */
static void
test_one_probe (void)
{
  struct fixture f;
  struct bd_fingerprint other = request;

  open_fixture (&f);
  for (other.exact = 100; other.exact < 150; other.exact++)
    {
      other.broad = other.exact;
      open_case_of (&f, &other, f.runners[0], BD_CRASH_CONNECTION_LOST, false);
    }
  g_assert_nonnull (bd_crashes_next_probe (f.crashes, f.now_ms));
  g_assert_null (bd_crashes_next_probe (f.crashes, f.now_ms));
  probe (&f, "r0", BD_CRASH_PROBE_REFUSED);
  g_assert_cmpuint (bd_crashes_count (f.crashes), ==, 0);
  g_assert_cmpint (bd_suspects_check (f.suspects, f.now_ms, 149), ==,
                   BD_SUSPICION_ISOLATE);
  close_fixture (&f);
}

/* The same path with another query string is suspected too, until one such
   request completes. */
static void
test_path (void)
{
  struct fixture f;

  open_fixture (&f);
  open_case (&f, 0, BD_CRASH_CONNECTION_LOST);
  bd_crashes_next_probe (f.crashes, f.now_ms);
  probe (&f, "r0", BD_CRASH_PROBE_REFUSED);
  g_assert_cmpint (bd_crashes_suspicion (f.crashes, f.now_ms, &same_path), ==,
                   BD_SUSPICION_ISOLATE);
  bd_crashes_completed (f.crashes, f.now_ms, &same_path);
  g_assert_cmpint (bd_crashes_suspicion (f.crashes, f.now_ms, &same_path), ==,
                   BD_SUSPICION_NONE);
  g_assert_cmpint (suspicion (&f), ==, BD_SUSPICION_ISOLATE);
  close_fixture (&f);
}

/* The number of open cases is bounded under hostile load. */
static void
test_bounded (void)
{
  struct fixture f;
  struct bd_fingerprint other = request;

  open_fixture (&f);
  for (other.exact = 100; other.exact < 100 + 2 * BD_CRASH_CASES_MAX;
       other.exact++)
    {
      other.broad = other.exact;
      open_case_of (&f, &other, f.runners[0], BD_CRASH_TIMED_OUT, false);
    }
  g_assert_cmpuint (bd_crashes_count (f.crashes), ==, BD_CRASH_CASES_MAX);
  advance (&f, BD_CRASH_OPEN_MAX_MS + 200);
  g_assert_cmpuint (bd_crashes_count (f.crashes), ==, 0);
  close_fixture (&f);
}

/* Opens a case for a request with the part, of whose answer events were read
   if HAS_EVENTS. */
static void
lose_connection_under_part (struct fixture *f, uint64_t exact, bool has_events)
{
  struct bd_fingerprint fingerprint = with_part;
  struct bd_crash_attempt attempt
      = { .fingerprint = &fingerprint,
          .target = f->runners[0],
          .runner_started_ms = f->runners[0]->started_ms,
          .sent_ms = f->now_ms - 50,
          .evidence = BD_CRASH_CONNECTION_LOST,
          .has_events = has_events };

  fingerprint.exact = fingerprint.broad = exact;
  bd_crashes_open (f->crashes, f->now_ms, &attempt);
  bd_crashes_next_probe (f->crashes, f->now_ms);
}

/* Runner r0 crashes under a request with the part, and starts again. */
static void
crash_under_part (struct fixture *f, uint64_t exact, bool has_events)
{
  lose_connection_under_part (f, exact, has_events);
  probe (f, "r0", BD_CRASH_PROBE_REFUSED);
  advance (f, 1000);
  list (f, "r0", f->now_ms, false);
}

/* Guards against runners that crash one after the other under requests that
   have only a part of their prompts in common, before an event of the answer
   was read or after some. */
static void
test_part (gconstpointer data)
{
  bool has_events = GPOINTER_TO_INT (data);
  struct fixture f;

  open_fixture (&f);
  for (uint64_t i = 0; i < BD_PART_CRASHES_MAX; i++)
    {
      g_assert_cmpint (bd_crashes_suspicion (f.crashes, f.now_ms, &with_part),
                       ==, BD_SUSPICION_NONE);
      crash_under_part (&f, 100 + i, has_events);
    }
  g_assert_cmpint (bd_crashes_suspicion (f.crashes, f.now_ms, &with_part), ==,
                   BD_SUSPICION_QUARANTINE);
  bd_crashes_completed (f.crashes, f.now_ms, &with_part);
  g_assert_cmpint (bd_crashes_suspicion (f.crashes, f.now_ms, &with_part), ==,
                   BD_SUSPICION_NONE);
  close_fixture (&f);
}

/* An attempt that had events of its answer counts against its request and its
   part, but not before the crash is confirmed. */
static void
test_events_strike (void)
{
  struct fixture f;

  open_fixture (&f);
  lose_connection_under_part (&f, 100, true);
  g_assert_cmpint (bd_suspects_check (f.suspects, f.now_ms, 100), ==,
                   BD_SUSPICION_NONE);
  probe (&f, "r0", BD_CRASH_PROBE_REFUSED);
  g_assert_cmpuint (pending_strikes (&f), ==, 1);
  g_assert_cmpuint (bd_part_breakers_crashes (f.breakers, 51), ==, 1);
  lose_connection_under_part (&f, 200, true);
  probe (&f, "r0", BD_CRASH_PROBE_ACCEPTED);
  g_assert_cmpuint (bd_suspects_check (f.suspects, f.now_ms, 200), ==,
                    BD_SUSPICION_NONE);
  close_fixture (&f);
}

/* Puts the crash of runner r0 under COUNT requests of whose answers events
   were read; r0 starts again. */
static void
crash_under (struct fixture *f, const struct bd_fingerprint *const *requests,
             size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      struct bd_crash_attempt attempt
          = { .fingerprint = requests[i],
              .target = f->runners[0],
              .runner_started_ms = f->runners[0]->started_ms,
              .sent_ms = f->now_ms - 50,
              .evidence = BD_CRASH_CONNECTION_LOST,
              .has_events = true };

      bd_crashes_open (f->crashes, f->now_ms, &attempt);
    }
  bd_crashes_next_probe (f->crashes, f->now_ms);
  probe (f, "r0", BD_CRASH_PROBE_REFUSED);
  advance (f, 1000);
  list (f, "r0", f->now_ms, false);
}

/* Guards against a request that crashes runners after the first events of its
   answer and is never held. */
static void
test_request_after_events (void)
{
  const struct bd_fingerprint *const requests[] = { &request };
  struct fixture f;

  open_fixture (&f);
  crash_under (&f, requests, 1);
  g_assert_cmpint (suspicion (&f), ==, BD_SUSPICION_ISOLATE);
  crash_under (&f, requests, 1);
  crash_under (&f, requests, 1);
  for (int i = 0; i < 4; i++)
    {
      advance (&f, 2000);
      g_assert_cmpint (
          bd_crashes_suspicion_in_progress (f.crashes, f.now_ms, &request), ==,
          BD_SUSPICION_QUARANTINE);
      g_assert_cmpint (suspicion (&f), ==, BD_SUSPICION_QUARANTINE);
    }
  close_fixture (&f);
}

/* Guards against sound streams that are refused since they were at runners
   that another request ended: one that was answered whole before yields to one
   that never was, and one in progress goes on after two crashes. */
static void
test_streams_beside_request (void)
{
  static const struct bd_fingerprint popular = { .exact = 61, .broad = 62 };
  static const struct bd_fingerprint lone = { .exact = 71, .broad = 72 };
  const struct bd_fingerprint *const all[] = { &request, &popular, &lone };
  struct fixture f;

  open_fixture (&f);
  bd_crashes_completed (f.crashes, f.now_ms, &popular);
  crash_under (&f, all, 3);
  crash_under (&f, all, 3);
  g_assert_cmpint (bd_crashes_suspicion (f.crashes, f.now_ms, &popular), ==,
                   BD_SUSPICION_NONE);
  g_assert_cmpint (
      bd_crashes_suspicion_in_progress (f.crashes, f.now_ms, &lone), ==,
      BD_SUSPICION_ISOLATE);
  crash_under (&f, all, 2);
  g_assert_cmpint (suspicion (&f), ==, BD_SUSPICION_QUARANTINE);
  g_assert_cmpint (bd_crashes_suspicion (f.crashes, f.now_ms, &popular), ==,
                   BD_SUSPICION_NONE);
  g_assert_cmpint (bd_crashes_suspicion (f.crashes, f.now_ms, &lone), ==,
                   BD_SUSPICION_NONE);
  close_fixture (&f);
}

/* Guards against sound streams that are refused since they were at runners
   that requests with a bad part ended: the part explains them, but not the
   crashes of a request that holds it. */
static void
test_streams_beside_part (void)
{
  static const struct bd_fingerprint lone = { .exact = 71, .broad = 72 };
  struct bd_fingerprint bad = with_part;
  const struct bd_fingerprint *const all[] = { &bad, &lone };
  struct fixture f;

  open_fixture (&f);
  for (uint64_t i = 0; i < BD_PART_CRASHES_MAX; i++)
    {
      bad.exact = bad.broad = 100 + i;
      crash_under (&f, all, 2);
      g_assert_cmpint (bd_crashes_suspicion (f.crashes, f.now_ms, &lone), ==,
                       BD_SUSPICION_NONE);
    }
  g_assert_cmpint (bd_crashes_suspicion (f.crashes, f.now_ms, &bad), ==,
                   BD_SUSPICION_QUARANTINE);
  bad.parts = (struct bd_part_list){ 0 };
  g_assert_cmpint (bd_crashes_suspicion (f.crashes, f.now_ms, &bad), ==,
                   BD_SUSPICION_NONE);
  close_fixture (&f);
}

/* Guards against sound requests that are refused for long because they share a
   part with one request that crashes runners: as the request may be the cause
   of all of those, a sound one is tried soon, also after a crash by chance. It
   clears the part, and the request stays held. */
static void
test_part_beside_request (void)
{
  const struct bd_fingerprint *const fatal[] = { &with_part };
  struct bd_fingerprint sound = with_part;
  const struct bd_fingerprint *const chance[] = { &sound };
  struct fixture f;

  open_fixture (&f);
  sound.exact = sound.broad = 71;
  for (int i = 0; i < BD_PART_RUNNERS_MAX; i++)
    crash_under (&f, fatal, 1);
  g_assert_cmpint (bd_crashes_suspicion (f.crashes, f.now_ms, &sound), ==,
                   BD_SUSPICION_QUARANTINE);
  for (int i = 0; i < 2; i++)
    {
      advance (&f, 2 * (int64_t)BD_PART_HOLD_MS);
      g_assert_cmpint (bd_crashes_suspicion (f.crashes, f.now_ms, &sound), <,
                       BD_SUSPICION_QUARANTINE);
      bd_crashes_sent (f.crashes, f.now_ms, &sound);
      if (i == 0)
        crash_under (&f, chance, 1);
    }
  bd_crashes_completed (f.crashes, f.now_ms, &sound);
  g_assert_cmpint (bd_crashes_suspicion (f.crashes, f.now_ms, &sound), ==,
                   BD_SUSPICION_NONE);
  g_assert_cmpint (bd_crashes_suspicion (f.crashes, f.now_ms, &with_part), ==,
                   BD_SUSPICION_QUARANTINE);
  close_fixture (&f);
}

/* Guards against a runner whose crash is not counted because it is back at
   once: it accepts the probe, and its next process is heard before the list
   shows it. */
static void
test_part_back_at_once (void)
{
  struct fixture f;

  open_fixture (&f);
  for (uint64_t i = 0; i < BD_PART_CRASHES_MAX; i++)
    {
      lose_connection_under_part (&f, 100 + i, false);
      probe (&f, "r0", BD_CRASH_PROBE_ACCEPTED);
      advance (&f, 300);
      f.runners[0]->last_byte_ms = f.now_ms;
      advance (&f, 700);
      list (&f, "r0", f.now_ms - 800, false);
      advance (&f, 100);
    }
  g_assert_cmpint (bd_crashes_suspicion (f.crashes, f.now_ms, &with_part), ==,
                   BD_SUSPICION_QUARANTINE);
  close_fixture (&f);
}

/* Guards against sound requests that are refused because they met, one after
   the other, hosts that had gone dark before: a request that its runner did
   not get while it lived blames no part, also if the host resets the
   connection when it is back. */
static void
test_part_at_dark_hosts (void)
{
  struct fixture f;
  struct bd_fingerprint fingerprint = with_part;

  open_fixture (&f);
  for (uint64_t i = 0; i < 10; i++)
    {
      struct bd_crash_attempt attempt
          = { .fingerprint = &fingerprint,
              .target = f.runners[0],
              .runner_started_ms = f.runners[0]->started_ms,
              .sent_ms = f.now_ms,
              .evidence = BD_CRASH_NO_RESPONSE };

      fingerprint.exact = fingerprint.broad = 100 + i;
      f.runners[0]->last_byte_ms = f.now_ms - 10;
      advance (&f, 1000);
      bd_crashes_open (f.crashes, f.now_ms, &attempt);
      advance (&f, 1000);
      attempt.evidence = BD_CRASH_CONNECTION_LOST;
      bd_crashes_open (f.crashes, f.now_ms, &attempt);
      list (&f, "r0", f.now_ms, false);
      advance (&f, 100);
      g_assert_cmpuint (bd_crashes_count (f.crashes), ==, 0);
    }
  g_assert_cmpuint (bd_part_breakers_crashes (f.breakers, 51), ==, 0);
  g_assert_cmpint (bd_crashes_suspicion (f.crashes, f.now_ms, &with_part), ==,
                   BD_SUSPICION_NONE);
  close_fixture (&f);
}

/* Lost connections to runners that live on say nothing about a part. */
static void
test_part_of_resets (void)
{
  struct fixture f;
  struct bd_fingerprint other = with_part;
  struct bd_crash_attempt attempt = { .fingerprint = &other,
                                      .runner_started_ms = BORN_MS,
                                      .evidence = BD_CRASH_CONNECTION_LOST,
                                      .has_events = false };

  open_fixture (&f);
  attempt.target = f.runners[0];
  for (other.exact = 100; other.exact < 110; other.exact++)
    {
      attempt.sent_ms = f.now_ms;
      bd_crashes_open (f.crashes, f.now_ms, &attempt);
      bd_crashes_next_probe (f.crashes, f.now_ms);
      probe (&f, "r0", BD_CRASH_PROBE_ACCEPTED);
      advance (&f, 500);
    }
  g_assert_cmpuint (bd_part_breakers_crashes (f.breakers, 51), ==, 0);
  close_fixture (&f);
}

/* Puts runner ID that went dark at once when it had begun to answer a request
   with the part, which was sent AGO_MS ago. */
static void
go_dark_under_part (struct fixture *f, const char *id, uint64_t exact,
                    int64_t ago_ms)
{
  struct bd_fingerprint fingerprint = with_part;
  struct bd_crash_attempt attempt = { .fingerprint = &fingerprint,
                                      .runner_started_ms = BORN_MS,
                                      .sent_ms = f->now_ms - ago_ms,
                                      .evidence = BD_CRASH_NO_RESPONSE,
                                      .has_events = false };
  struct bd_target *target;

  list (f, id, BORN_MS, false);
  target = support_target (f->targets, id);
  target->last_byte_ms = attempt.sent_ms + 5;
  attempt.target = target;
  fingerprint.exact = fingerprint.broad = exact;
  bd_crashes_open (f->crashes, f->now_ms, &attempt);
}

/* Five hosts that went dark one after the other, INTERVAL_MS apart, all of
   them before any was found to be dark.  Returns the suspicion against further
   requests with the part. */
static enum bd_suspicion
suspicion_after_dark_hosts (struct fixture *f, int64_t interval_ms)
{
  static const char *const ids[] = { "h0", "h1", "h2", "h3", "h4" };

  for (size_t i = 0; i < G_N_ELEMENTS (ids); i++)
    go_dark_under_part (f, ids[i], 100 + i, 1000 - (int64_t)i * interval_ms);
  for (size_t i = 0; i < G_N_ELEMENTS (ids); i++)
    unlist (f, ids[i]);
  advance (f, 100);
  return bd_crashes_suspicion (f->crashes, f->now_ms, &with_part);
}

/* Guards against a part under which five hosts went dark within a second and
   which is sent to a sixth: a dark host is found a second late, so that no
   request was sent after the crash before was known. */
static void
test_part_of_dark_hosts (void)
{
  struct fixture f;

  open_fixture (&f);
  g_assert_cmpint (suspicion_after_dark_hosts (&f, 200), ==,
                   BD_SUSPICION_QUARANTINE);
  bd_crashes_completed (f.crashes, f.now_ms, &with_part);
  g_assert_cmpint (bd_crashes_suspicion (f.crashes, f.now_ms, &with_part), ==,
                   BD_SUSPICION_NONE);
  close_fixture (&f);
}

/* Guards against a sound part that is refused since a rack went dark: a part
   that was answered before, and hosts that were all heard last after the last
   of the requests was sent. */
static void
test_part_of_dark_rack (void)
{
  struct fixture f;

  open_fixture (&f);
  bd_crashes_completed (f.crashes, f.now_ms - 1, &with_part);
  g_assert_cmpint (suspicion_after_dark_hosts (&f, 200), ==,
                   BD_SUSPICION_NONE);
  close_fixture (&f);
  open_fixture (&f);
  g_assert_cmpint (suspicion_after_dark_hosts (&f, 1), ==, BD_SUSPICION_NONE);
  close_fixture (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/crash/probe-refused", test_probe_refused);
  g_test_add_func ("/crash/probe-accepted", test_probe_accepted);
  g_test_add_func ("/crash/silence", test_silence);
  g_test_add_func ("/crash/no-response", test_no_response);
  g_test_add_func ("/crash/leaving-runner", test_leaving_runner);
  g_test_add_func ("/crash/still-listed", test_still_listed);
  g_test_add_func ("/crash/isolated-instance", test_isolated_instance);
  g_test_add_func ("/crash/held", test_held);
  g_test_add_func ("/crash/hung-runner", test_hung_runner);
  g_test_add_func ("/crash/counted-once", test_counted_once);
  g_test_add_func ("/crash/found-by-another", test_found_by_another);
  g_test_add_func ("/crash/no-response-then-lost", test_no_response_then_lost);
  g_test_add_func ("/crash/one-probe", test_one_probe);
  g_test_add_func ("/crash/path", test_path);
  g_test_add_func ("/crash/bounded", test_bounded);
  g_test_add_data_func ("/crash/part", GINT_TO_POINTER (false), test_part);
  g_test_add_data_func ("/crash/part-after-events", GINT_TO_POINTER (true),
                        test_part);
  g_test_add_func ("/crash/events-strike", test_events_strike);
  g_test_add_func ("/crash/request-after-events", test_request_after_events);
  g_test_add_func ("/crash/streams-beside-request",
                   test_streams_beside_request);
  g_test_add_func ("/crash/streams-beside-part", test_streams_beside_part);
  g_test_add_func ("/crash/part-beside-request", test_part_beside_request);
  g_test_add_func ("/crash/part-back-at-once", test_part_back_at_once);
  g_test_add_func ("/crash/part-at-dark-hosts", test_part_at_dark_hosts);
  g_test_add_func ("/crash/part-of-resets", test_part_of_resets);
  g_test_add_func ("/crash/part-of-dark-hosts", test_part_of_dark_hosts);
  g_test_add_func ("/crash/part-of-dark-rack", test_part_of_dark_rack);
  return g_test_run ();
}
