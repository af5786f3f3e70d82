/* Breakers of prompt parts that crash runners, in virtual time. */
#include "retry/breaker_table.h"
#include "retry/part_breaker.h"

#include "common/random.h"

#include <glib.h>

#define SHARED 1
#define BAD 2
#define OTHER 3
#define FIRST_SHARED 1000
/* A part takes four bytes of a head at least. */
#define LARGEST_HEAD_PARTS 4096
#define NOTICES_MAX 16

/* The load of test_fleet: callers send requests with the bad part and sound
   ones that share all other parts, to all instances. */
#define INSTANCES 5
#define TICK_MS 100
#define REQUEST_INTERVAL_MS 40
#define CRASH_MS 100
#define FLEET_MS 400000

#define LIST(...)                                                             \
  {                                                                           \
    sizeof ((uint64_t[]){ __VA_ARGS__ }) / sizeof (uint64_t),                 \
        (uint64_t[]){ __VA_ARGS__ }, 0                                        \
  }

static const struct bd_part_list bad = LIST (SHARED, BAD);
static const struct bd_part_list sound = LIST (SHARED, OTHER);
static const struct bd_part_list bystander = LIST (OTHER);
static const struct bd_part_list only_bad = LIST (BAD);

/* A crash under a request that was sent 100 ms before it. */
static void
crash (struct bd_part_breakers *b, const struct bd_part_list *parts,
       uint64_t id, int64_t at_ms)
{
  struct bd_part_crash crash = { { 0, id }, at_ms - CRASH_MS, at_ms, at_ms };

  bd_part_breakers_crashed (b, parts, &crash);
}

static enum bd_breaker_state
state (const struct bd_part_breakers *b, const struct bd_part_list *parts,
       int64_t now_ms)
{
  return bd_part_breakers_check (b, now_ms, parts);
}

/* Returns breakers that are open for the bad part, the last crash at 3000. */
static struct bd_part_breakers *
open_for_bad (void)
{
  struct bd_part_breakers *b = bd_part_breakers_create (7);

  for (uint64_t i = 1; i <= 3; i++)
    {
      int64_t now_ms = (int64_t)i * 1000;

      g_assert_cmpint (state (b, &bad, now_ms), ==, BD_BREAKER_CLOSED);
      bd_part_breakers_survived (b, now_ms - 50, &sound);
      crash (b, &bad, i, now_ms);
    }
  bd_part_breakers_survived (b, 3050, &sound);
  return b;
}

/* The third crash in succession opens the breaker of the bad part only. */
static void
test_opens (void)
{
  struct bd_part_breakers *b = open_for_bad ();

  g_assert_cmpint (state (b, &bad, 3100), ==, BD_BREAKER_OPEN);
  g_assert_cmpint (state (b, &sound, 3100), ==, BD_BREAKER_CLOSED);
  g_assert_cmpuint (bd_part_breakers_crashes (b, BAD), ==, 3);
  g_assert_cmpuint (bd_part_breakers_crashes (b, SHARED), ==, 0);
  bd_part_breakers_destroy (b);
}

/* Guards against sound requests that are refused because many runners ended at
   once: their requests were all sent before, so that is one crash. */
static void
test_many_runners_fail (void)
{
  struct bd_part_breakers *b = bd_part_breakers_create (7);

  for (uint64_t i = 0; i < 20; i++)
    crash (b, &sound, i, 1000 + (int64_t)i);
  g_assert_cmpuint (bd_part_breakers_crashes (b, SHARED), ==, 1);
  for (uint64_t i = 20; i < 40; i++)
    crash (b, &sound, i, 2000 + (int64_t)i);
  g_assert_cmpuint (bd_part_breakers_crashes (b, SHARED), ==, 2);
  g_assert_cmpint (state (b, &sound, 2100), ==, BD_BREAKER_CLOSED);
  bd_part_breakers_destroy (b);
}

/* A host that goes dark is found a second later.  Crashes of a part that was
   never answered count by when the hosts were last heard, at peers as well. */
static void
test_dark_hosts (void)
{
  struct bd_part_breakers *b = bd_part_breakers_create (7);
  struct bd_part_breakers *peer = bd_part_breakers_create (8);
  struct bd_part_notice notices[NOTICES_MAX];
  size_t count;

  for (uint64_t i = 0; i < BD_PART_RUNNERS_MAX; i++)
    {
      int64_t sent_ms = 1000 + 100 * (int64_t)i;
      struct bd_part_crash crash
          = { { 0, i + 1 }, sent_ms, sent_ms + 10, sent_ms + 1100 };

      g_assert_false (bd_part_breakers_is_open (b, BAD));
      bd_part_breakers_crashed (b, &bad, &crash);
    }
  g_assert_true (bd_part_breakers_is_open (b, BAD));
  g_assert_cmpuint (bd_part_breakers_crashes (b, BAD), ==, 1);
  count = bd_part_breakers_next_notices (b, 2600, notices, NOTICES_MAX);
  for (size_t i = 0; i < count; i++)
    bd_part_breakers_apply (peer, 2600, &notices[i]);
  g_assert_true (bd_part_breakers_is_open (peer, BAD));
  bd_part_breakers_destroy (b);
  bd_part_breakers_destroy (peer);
}

/* The same crash, seen under several requests, counts once. */
static void
test_one_crash_counts_once (void)
{
  struct bd_part_breakers *b = bd_part_breakers_create (7);

  for (int64_t i = 0; i < 5; i++)
    crash (b, &bad, 1, 1000 + 500 * i);
  g_assert_cmpuint (bd_part_breakers_crashes (b, BAD), ==, 1);
  bd_part_breakers_destroy (b);
}

/* A surviving runner clears the crashes before, also those that are told
   later, but not later ones. */
static void
test_survived (void)
{
  struct bd_part_breakers *b = open_for_bad ();

  bd_part_breakers_survived (b, 3200, &bad);
  g_assert_cmpint (state (b, &bad, 3200), ==, BD_BREAKER_CLOSED);
  crash (b, &bad, 9, 3150);
  g_assert_cmpuint (bd_part_breakers_crashes (b, BAD), ==, 0);
  crash (b, &bad, 10, 3400);
  g_assert_cmpuint (bd_part_breakers_crashes (b, BAD), ==, 1);
  bd_part_breakers_destroy (b);
}

/* After the hold time one request passes; a crash under it opens the breaker
   for longer, and an answer closes it. */
static void
test_half_open (void)
{
  struct bd_part_breakers *b = open_for_bad ();
  int64_t now_ms = 3000 + BD_PART_HOLD_MS + BD_PART_HOLD_MS / 2;

  g_assert_cmpint (state (b, &bad, 2999 + BD_PART_HOLD_MS), ==,
                   BD_BREAKER_OPEN);
  g_assert_cmpint (state (b, &bad, now_ms), ==, BD_BREAKER_HALF_OPEN);
  bd_part_breakers_sent (b, now_ms, &bad);
  g_assert_cmpint (state (b, &bad, now_ms + 10), ==, BD_BREAKER_OPEN);
  crash (b, &bad, 4, now_ms + CRASH_MS + 1);
  now_ms += CRASH_MS + BD_PART_LONG_HOLD_MS;
  g_assert_cmpint (state (b, &bad, now_ms), ==, BD_BREAKER_OPEN);
  now_ms += BD_PART_LONG_HOLD_MS / 2 + 1;
  g_assert_cmpint (state (b, &bad, now_ms), ==, BD_BREAKER_HALF_OPEN);
  bd_part_breakers_sent (b, now_ms, &bad);
  bd_part_breakers_survived (b, now_ms + 600, &bad);
  g_assert_cmpint (state (b, &bad, now_ms + 600), ==, BD_BREAKER_CLOSED);
  bd_part_breakers_destroy (b);
}

/* With two open parts, a request with one of them is tried first, so that the
   harmless one is not kept open by the other. */
static void
test_single_part_first (void)
{
  struct bd_part_breakers *b = bd_part_breakers_create (7);
  int64_t now_ms = 3000 + BD_PART_HOLD_MS + BD_PART_HOLD_MS / 2;

  for (uint64_t i = 1; i <= 3; i++)
    crash (b, &bad, i, (int64_t)i * 1000);
  g_assert_cmpint (state (b, &sound, 3100), ==, BD_BREAKER_OPEN);
  g_assert_cmpint (state (b, &bad, now_ms), ==, BD_BREAKER_OPEN);
  g_assert_cmpint (state (b, &sound, now_ms), ==, BD_BREAKER_HALF_OPEN);
  bd_part_breakers_sent (b, now_ms, &sound);
  bd_part_breakers_survived (b, now_ms + 600, &sound);
  g_assert_cmpint (state (b, &sound, now_ms + 600), ==, BD_BREAKER_CLOSED);
  now_ms += 600 + BD_PART_HOLD_MS;
  g_assert_cmpint (state (b, &bad, now_ms - 1), ==, BD_BREAKER_OPEN);
  g_assert_cmpint (state (b, &bad, now_ms + BD_PART_HOLD_MS / 2), ==,
                   BD_BREAKER_HALF_OPEN);
  bd_part_breakers_destroy (b);
}

/* Guards against instances that all let a request with the bad part pass at
   the moment at which they hear that the other part is harmless. */
static void
test_staggered_trials (void)
{
  struct bd_part_breakers *all[INSTANCES];
  int64_t now_ms = 3000 + 2 * (int64_t)BD_PART_HOLD_MS;
  int half_open = 0;

  for (size_t i = 0; i < INSTANCES; i++)
    {
      all[i] = bd_part_breakers_create (i + 1);
      for (uint64_t c = 1; c <= 3; c++)
        crash (all[i], &bad, c, (int64_t)c * 1000);
      bd_part_breakers_survived (all[i], now_ms, &sound);
      g_assert_cmpint (state (all[i], &sound, now_ms), ==, BD_BREAKER_CLOSED);
      g_assert_cmpint (state (all[i], &bad, now_ms), ==, BD_BREAKER_OPEN);
    }
  now_ms += BD_PART_HOLD_MS + BD_PART_HOLD_MS / 4;
  for (size_t i = 0; i < INSTANCES; i++)
    half_open += state (all[i], &bad, now_ms) == BD_BREAKER_HALF_OPEN;
  g_assert_cmpint (half_open, >, 0);
  g_assert_cmpint (half_open, <, INSTANCES);
  for (size_t i = 0; i < INSTANCES; i++)
    bd_part_breakers_destroy (all[i]);
}

/* Guards against sound requests that are refused for long because they share a
   part with requests that crash runners: after many crashes that may be due to
   either part, the shared one alone is still tried soon, and once it is
   cleared the bad one stays open for long. */
static void
test_either_part (void)
{
  struct bd_part_breakers *b = bd_part_breakers_create (7);
  int64_t now_ms = 8000 + BD_PART_HOLD_MS + BD_PART_HOLD_MS / 2;

  for (uint64_t i = 1; i <= 8; i++)
    crash (b, &bad, i, (int64_t)i * 1000);
  g_assert_cmpint (state (b, &sound, 8100), ==, BD_BREAKER_OPEN);
  g_assert_cmpint (state (b, &sound, now_ms), ==, BD_BREAKER_HALF_OPEN);
  g_assert_cmpint (state (b, &bad, now_ms), ==, BD_BREAKER_OPEN);
  bd_part_breakers_survived (b, now_ms, &sound);
  g_assert_cmpint (state (b, &sound, now_ms), ==, BD_BREAKER_CLOSED);
  g_assert_cmpint (state (b, &bad, now_ms), ==, BD_BREAKER_OPEN);
  g_assert_cmpint (state (b, &bad, now_ms + BD_PART_LONG_HOLD_MS / 2), ==,
                   BD_BREAKER_OPEN);
  bd_part_breakers_destroy (b);
}

/* Guards against sound requests that are refused because they share a part
   with requests of which several other parts crash runners: a part that was
   seen to be harmless is not blamed beside one that was not. */
static void
test_known_part (void)
{
  struct bd_part_breakers *b = bd_part_breakers_create (7);
  struct bd_part_list parts = LIST (SHARED, 0);

  bd_part_breakers_survived (b, 500, &sound);
  for (uint64_t i = 1; i <= 9; i++)
    {
      parts.parts[1] = 100 + i % 3;
      crash (b, &parts, i, (int64_t)i * 1000);
    }
  g_assert_cmpuint (bd_part_breakers_crashes (b, SHARED), ==, 0);
  g_assert_cmpuint (bd_part_breakers_crashes (b, 101), ==, 3);
  g_assert_cmpint (state (b, &sound, 9100), ==, BD_BREAKER_CLOSED);
  bd_part_breakers_destroy (b);
}

/* Guards against sound requests that are refused because they were at runners
   that crashed under others: a part with more crashes explains them. */
static void
test_explained (void)
{
  struct bd_part_breakers *b = bd_part_breakers_create (7);

  crash (b, &bad, 1, 1000);
  for (uint64_t i = 2; i <= 4; i++)
    {
      crash (b, &bystander, i, (int64_t)i * 1000);
      crash (b, &bad, i, (int64_t)i * 1000);
    }
  g_assert_cmpuint (bd_part_breakers_crashes (b, OTHER), ==, 3);
  g_assert_cmpint (state (b, &bystander, 4100), ==, BD_BREAKER_CLOSED);
  g_assert_cmpint (state (b, &bad, 4100), ==, BD_BREAKER_OPEN);
  bd_part_breakers_survived (b, 4200, &bad);
  g_assert_cmpint (state (b, &bystander, 4200), ==, BD_BREAKER_OPEN);
  bd_part_breakers_destroy (b);
}

/* Guards against sound requests that are refused because they were at each of
   the runners that crashed: at as many crashes, a part that was harmless
   before yields to one that never was. */
static void
test_harmless_before (void)
{
  struct bd_part_breakers *b = bd_part_breakers_create (7);

  bd_part_breakers_survived (b, 500, &bystander);
  for (uint64_t i = 1; i <= 3; i++)
    {
      crash (b, &bystander, i, (int64_t)i * 1000);
      crash (b, &only_bad, i, (int64_t)i * 1000);
    }
  g_assert_cmpuint (bd_part_breakers_crashes (b, OTHER), ==, 3);
  g_assert_cmpint (state (b, &bystander, 3100), ==, BD_BREAKER_CLOSED);
  g_assert_cmpint (state (b, &only_bad, 3100), ==, BD_BREAKER_OPEN);
  bd_part_breakers_destroy (b);
}

/* Guards against a part that peers hear of late because many others were at
   the same crash: a part with several crashes goes first. */
static void
test_urgent_notices (void)
{
  struct bd_part_breakers *b = bd_part_breakers_create (7);
  struct bd_part_list parts = LIST (0);
  struct bd_part_notice notices[NOTICES_MAX];

  for (uint64_t i = 0; i < 100; i++)
    {
      parts.parts[0] = 1000 + i;
      crash (b, &parts, 1, 1000);
    }
  crash (b, &bad, 1, 1000);
  crash (b, &bad, 2, 2000);
  g_assert_cmpuint (
      bd_part_breakers_next_notices (b, 2000, notices, NOTICES_MAX), ==,
      NOTICES_MAX);
  g_assert_cmpuint (notices[0].part, ==, SHARED);
  g_assert_cmpuint (notices[2].part, ==, BAD);
  bd_part_breakers_destroy (b);
}

/* A part that was harmless before may crash runners from some time on. */
static void
test_part_turns_bad (void)
{
  struct bd_part_breakers *b = bd_part_breakers_create (7);

  bd_part_breakers_survived (b, 500, &bad);
  for (uint64_t i = 1; i <= 3; i++)
    {
      bd_part_breakers_survived (b, (int64_t)i * 1000 - 50, &sound);
      crash (b, &bad, i, (int64_t)i * 1000);
    }
  g_assert_cmpint (state (b, &bad, 3100), ==, BD_BREAKER_OPEN);
  g_assert_cmpint (state (b, &sound, 3100), ==, BD_BREAKER_CLOSED);
  bd_part_breakers_destroy (b);
}

/* Sends the notices of FROM to COUNT peers. */
static void
tell_all (struct bd_part_breakers *from, struct bd_part_breakers *const *peers,
          size_t count, int64_t now_ms)
{
  struct bd_part_notice notices[NOTICES_MAX];
  size_t notice_count
      = bd_part_breakers_next_notices (from, now_ms, notices, NOTICES_MAX);

  for (size_t p = 0; p < count; p++)
    for (size_t i = 0; i < notice_count && peers[p] != from; i++)
      bd_part_breakers_apply (peers[p], now_ms, &notices[i]);
}

static void
tell (struct bd_part_breakers *from, struct bd_part_breakers *to,
      int64_t now_ms)
{
  tell_all (from, &to, 1, now_ms);
}

/* Peers hear of crashes and of harmless answers; one that starts later is told
   what is known. */
static void
test_notices (void)
{
  struct bd_part_breakers *a = open_for_bad ();
  struct bd_part_breakers *b = bd_part_breakers_create (8);
  struct bd_part_breakers *late = bd_part_breakers_create (9);
  struct bd_part_notice notices[NOTICES_MAX];
  size_t cursor = 0;
  size_t count;

  tell (a, b, 3100);
  g_assert_cmpint (state (b, &bad, 3100), ==, BD_BREAKER_OPEN);
  g_assert_cmpint (state (b, &sound, 3100), ==, BD_BREAKER_CLOSED);
  count = bd_part_breakers_list (b, 3200, &cursor, notices, NOTICES_MAX);
  g_assert_cmpuint (count, ==, 3);
  g_assert_cmpuint (cursor, ==, 0);
  for (size_t i = 0; i < count; i++)
    g_assert_true (bd_part_breakers_apply (late, 3200, &notices[i]));
  g_assert_cmpint (state (late, &bad, 3200), ==, BD_BREAKER_OPEN);
  bd_part_breakers_survived (b, 3300, &bad);
  tell (b, a, 3310);
  g_assert_cmpint (state (a, &bad, 3310), ==, BD_BREAKER_CLOSED);
  bd_part_breakers_destroy (a);
  bd_part_breakers_destroy (b);
  bd_part_breakers_destroy (late);
}

/* Guards against sound requests that are refused because a runner crashed by
   itself under one of them, after crashes under others that share a part: an
   instance that saw the shared part to be harmless does not blame it for the
   crash more that it has by a peer's count.  The bad part stays open. */
static void
test_crash_by_chance (void)
{
  struct bd_part_breakers *a = bd_part_breakers_create (7);
  struct bd_part_breakers *b = bd_part_breakers_create (8);

  bd_part_breakers_survived (a, 500, &sound);
  for (uint64_t i = 1; i <= 3; i++)
    {
      crash (b, &bad, i, (int64_t)i * 1000);
      tell (b, a, (int64_t)i * 1000 + 10);
    }
  crash (b, &sound, 4, 4000);
  tell (b, a, 4010);
  g_assert_cmpint (state (a, &sound, 4100), ==, BD_BREAKER_CLOSED);
  g_assert_cmpint (state (a, &bad, 4100), ==, BD_BREAKER_OPEN);
  bd_part_breakers_destroy (a);
  bd_part_breakers_destroy (b);
}

/* Guards against sound requests that are refused for long because a runner
   crashed by itself under the one that was let through to show that the shared
   part is harmless, which no instance knows: another follows soon. */
static void
test_crash_at_trial (void)
{
  struct bd_part_breakers *b = bd_part_breakers_create (7);
  int64_t now_ms = 3000 + BD_PART_HOLD_MS + BD_PART_HOLD_MS / 2;

  for (uint64_t i = 1; i <= 3; i++)
    crash (b, &bad, i, (int64_t)i * 1000);
  g_assert_cmpint (state (b, &sound, now_ms), ==, BD_BREAKER_HALF_OPEN);
  bd_part_breakers_sent (b, now_ms, &sound);
  now_ms += CRASH_MS;
  crash (b, &sound, 4, now_ms);
  g_assert_cmpint (state (b, &sound, now_ms), ==, BD_BREAKER_OPEN);
  now_ms += 2 * (int64_t)BD_PART_HOLD_MS;
  g_assert_cmpint (state (b, &sound, now_ms), ==, BD_BREAKER_HALF_OPEN);
  g_assert_cmpint (state (b, &bad, now_ms), ==, BD_BREAKER_OPEN);
  bd_part_breakers_sent (b, now_ms, &sound);
  bd_part_breakers_survived (b, now_ms + 600, &sound);
  g_assert_cmpint (state (b, &sound, now_ms + 600), ==, BD_BREAKER_CLOSED);
  g_assert_cmpint (state (b, &bad, now_ms + 600), ==, BD_BREAKER_OPEN);
  bd_part_breakers_destroy (b);
}

/* Guards against sound requests that are refused by an instance that never
   served one: a peer that did answers its notices of crashes. */
static void
test_peer_knows_harmless (void)
{
  struct bd_part_breakers *a = bd_part_breakers_create (7);
  struct bd_part_breakers *b = bd_part_breakers_create (8);

  bd_part_breakers_survived (a, 500, &sound);
  for (uint64_t i = 1; i <= 3; i++)
    {
      crash (b, &bad, i, (int64_t)i * 1000);
      tell (b, a, (int64_t)i * 1000 + 10);
      tell (a, b, (int64_t)i * 1000 + 20);
    }
  g_assert_cmpint (state (b, &sound, 3100), ==, BD_BREAKER_CLOSED);
  g_assert_cmpint (state (b, &bad, 3100), ==, BD_BREAKER_OPEN);
  bd_part_breakers_destroy (a);
  bd_part_breakers_destroy (b);
}

/* Guards against bad requests that go on because each was sent before the
   crash under the one before: crashes that are a second apart are several, not
   one as of a rack. */
static void
test_slow_crashes (void)
{
  static const int64_t slow_ms = 4000;
  struct bd_part_breakers *b = bd_part_breakers_create (7);

  for (uint64_t i = 1; i <= 3; i++)
    {
      int64_t at_ms = slow_ms + (int64_t)i * 1200;
      struct bd_part_crash crash = { { 0, i }, at_ms - slow_ms, at_ms, at_ms };

      bd_part_breakers_crashed (b, &only_bad, &crash);
    }
  g_assert_cmpuint (bd_part_breakers_crashes (b, BAD), ==, 3);
  g_assert_cmpint (state (b, &only_bad, 2 * slow_ms), ==, BD_BREAKER_OPEN);
  bd_part_breakers_destroy (b);
}

/* Guards against an open breaker that spreads again from a peer that was cut
   off while the others heard that the part is harmless. */
static void
test_stale_peer (void)
{
  struct bd_part_breakers *a = open_for_bad ();
  struct bd_part_breakers *cut_off = bd_part_breakers_create (8);
  struct bd_part_notice notices[NOTICES_MAX];
  size_t cursor = 0;
  size_t count;

  tell (a, cut_off, 3100);
  bd_part_breakers_survived (a, 3200, &bad);
  for (int i = 0; i < 3; i++)
    bd_part_breakers_next_notices (a, 3200, notices, NOTICES_MAX);
  count
      = bd_part_breakers_list (cut_off, 20000, &cursor, notices, NOTICES_MAX);
  g_assert_cmpuint (count, ==, 3);
  for (size_t i = 0; i < count; i++)
    g_assert_false (bd_part_breakers_apply (a, 20000, &notices[i]));
  tell (a, cut_off, 20000);
  g_assert_cmpint (state (cut_off, &bad, 20000), ==, BD_BREAKER_CLOSED);
  bd_part_breakers_destroy (a);
  bd_part_breakers_destroy (cut_off);
}

/* A notice with times that cannot be is ignored. */
static void
test_hostile_notices (void)
{
  static const struct bd_part_notice notices[]
      = { { BAD, false, { 1, 1 }, 0, 0, 0, -1 },
          { BAD, false, { 1, 1 }, 0, -1, 0, 0 },
          { BAD, false, { 1, 1 }, 0, 0, -1, 0 },
          { BAD, false, { 1, 1 }, 0, INT64_MAX, 0, 0 },
          { BAD, false, { 1, 1 }, 0, 0, INT64_MAX, 0 },
          { BAD, false, { 1, 1 }, 0, INT64_MIN, INT64_MIN, INT64_MIN },
          { BAD, true, { 0, 0 }, 0, 0, 0, INT64_MAX } };
  struct bd_part_breakers *b = bd_part_breakers_create (7);

  for (size_t i = 0; i < G_N_ELEMENTS (notices); i++)
    g_assert_false (bd_part_breakers_apply (b, 1000, &notices[i]));
  g_assert_cmpuint (bd_part_breakers_crashes (b, BAD), ==, 0);
  bd_part_breakers_destroy (b);
}

/* The table is bounded; parts with crashes stay longest, and all are forgotten
   in the end. */
static void
test_bounded (void)
{
  struct bd_part_breakers *b = open_for_bad ();
  struct bd_part_notice notice = { .harmless = true, .age_ms = 10 };

  for (uint64_t part = 100; part < 5000; part++)
    {
      notice.part = part;
      bd_part_breakers_apply (b, 4000, &notice);
    }
  g_assert_cmpint (state (b, &bad, 4000), ==, BD_BREAKER_OPEN);
  bd_part_breakers_tick (b, 4000000);
  g_assert_cmpint (state (b, &bad, 4000000), ==, BD_BREAKER_CLOSED);
  bd_part_breakers_destroy (b);
}

/* Instances that share what they know. */
struct fleet
{
  struct bd_part_list bad;
  struct bd_part_list sound; /* Has all of these parts but the bad one. */
  struct bd_part_breakers *instances[INSTANCES];
  struct
  {
    int64_t at_ms;
    int instance;
  } crashing[64]; /* Bad requests that will crash their runners. */
  size_t crashing_count;
  uint64_t crash_count;
  int64_t fifth_ms;      /* Time of the fifth crash. */
  uint32_t late_sends;   /* Bad requests sent over 3 s after it. */
  uint32_t late_refused; /* Sound requests refused over 6 s after it. */
};

static void
send_bad (struct fleet *fleet, int instance, int64_t now_ms)
{
  struct bd_part_breakers *b = fleet->instances[instance];

  if (state (b, &fleet->bad, now_ms) == BD_BREAKER_OPEN)
    return;
  bd_part_breakers_sent (b, now_ms, &fleet->bad);
  fleet->late_sends
      += fleet->crash_count >= 5 && now_ms - fleet->fifth_ms > 3000;
  g_assert_cmpuint (fleet->crashing_count, <, G_N_ELEMENTS (fleet->crashing));
  fleet->crashing[fleet->crashing_count].at_ms = now_ms + CRASH_MS;
  fleet->crashing[fleet->crashing_count++].instance = instance;
}

static void
send_sound (struct fleet *fleet, int instance, int64_t now_ms)
{
  struct bd_part_breakers *b = fleet->instances[instance];

  if (state (b, &fleet->sound, now_ms) != BD_BREAKER_OPEN)
    {
      bd_part_breakers_sent (b, now_ms, &fleet->sound);
      bd_part_breakers_survived (b, now_ms, &fleet->sound);
    }
  else
    fleet->late_refused
        += fleet->crash_count >= 5 && now_ms - fleet->fifth_ms > 6000;
}

static void
crash_due (struct fleet *fleet, int64_t now_ms)
{
  size_t kept = 0;

  for (size_t i = 0; i < fleet->crashing_count; i++)
    if (fleet->crashing[i].at_ms > now_ms)
      fleet->crashing[kept++] = fleet->crashing[i];
    else
      {
        crash (fleet->instances[fleet->crashing[i].instance], &fleet->bad,
               ++fleet->crash_count, now_ms);
        if (fleet->crash_count == 5)
          fleet->fifth_ms = now_ms;
      }
  fleet->crashing_count = kept;
}

/* Guards against crashes that go on: requests with the bad part come at every
   instance, half of all requests.  Over 3 s after the fifth crash at most
   three more are sent, and sound requests pass, however many parts they share.
 */
static void
test_fleet (gconstpointer data)
{
  struct fleet fleet = { .crash_count = 0 };
  uint64_t random = 5;

  for (int i = 0; i < GPOINTER_TO_INT (data); i++)
    {
      bd_part_list_add (&fleet.bad, FIRST_SHARED + (uint64_t)i);
      bd_part_list_add (&fleet.sound, FIRST_SHARED + (uint64_t)i);
    }
  bd_part_list_add (&fleet.bad, BAD);
  bd_part_list_add (&fleet.sound, OTHER);
  for (int i = 0; i < INSTANCES; i++)
    fleet.instances[i] = bd_part_breakers_create ((uint64_t)i + 1);
  for (int64_t now_ms = 0; now_ms < FLEET_MS; now_ms += REQUEST_INTERVAL_MS)
    {
      int instance = (int)bd_random_below (&random, INSTANCES);

      crash_due (&fleet, now_ms);
      if (bd_random_below (&random, 2) == 0)
        send_bad (&fleet, instance, now_ms);
      else
        send_sound (&fleet, instance, now_ms);
      for (int i = 0; now_ms % TICK_MS == 0 && i < INSTANCES; i++)
        tell_all (fleet.instances[i], fleet.instances, INSTANCES, now_ms);
    }
  g_test_message ("%" G_GUINT64_FORMAT " crashes", fleet.crash_count);
  g_assert_cmpuint (fleet.crash_count, >=, 5);
  g_assert_cmpuint (fleet.late_sends, <=, 3);
  g_assert_cmpuint (fleet.late_refused, ==, 0);
  for (int i = 0; i < INSTANCES; i++)
    bd_part_breakers_destroy (fleet.instances[i]);
  bd_part_list_clear (&fleet.bad);
  bd_part_list_clear (&fleet.sound);
}

/* Guards against a part that is dropped because a head names more of them than
   the table has places: as many as fit into a head of 16 KiB, none of them
   known, and one more at each of the crashes. */
static void
test_largest_head (void)
{
  struct bd_part_breakers *b = bd_part_breakers_create (7);
  struct bd_part_list parts = { 0 };

  for (uint64_t i = 0; i < LARGEST_HEAD_PARTS; i++)
    bd_part_list_add (&parts, FIRST_SHARED + i);
  for (uint64_t i = 1; i <= 3; i++)
    {
      parts.parts[0] = i == 2 ? OTHER : SHARED;
      parts.parts[LARGEST_HEAD_PARTS / 2] = BAD;
      crash (b, &parts, i, (int64_t)i * 1000);
    }
  g_assert_cmpint (state (b, &only_bad, 3100), ==, BD_BREAKER_OPEN);
  g_assert_cmpuint (bd_part_breakers_dropped (b), ==, 0);
  bd_part_list_clear (&parts);
  bd_part_breakers_destroy (b);
}

/* Guards against a bad part that is dropped for others, or dropped without a
   word: parts with the fewest and the oldest crashes go first. */
static void
test_dropped (void)
{
  struct bd_part_breakers *b = open_for_bad ();
  struct bd_part_list parts = LIST (0);

  for (uint64_t i = 0; i < (uint64_t)2 * BD_BREAKERS_MAX; i++)
    {
      parts.parts[0] = FIRST_SHARED + i;
      crash (b, &parts, 10 + i, 4000 + (int64_t)i);
    }
  g_assert_cmpuint (bd_part_breakers_crashes (b, BAD), ==, 3);
  g_assert_cmpuint (bd_part_breakers_dropped (b), >=, BD_BREAKERS_MAX);
  bd_part_breakers_destroy (b);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/part-breaker/opens", test_opens);
  g_test_add_func ("/part-breaker/many-runners-fail", test_many_runners_fail);
  g_test_add_func ("/part-breaker/dark-hosts", test_dark_hosts);
  g_test_add_func ("/part-breaker/one-crash-counts-once",
                   test_one_crash_counts_once);
  g_test_add_func ("/part-breaker/survived", test_survived);
  g_test_add_func ("/part-breaker/half-open", test_half_open);
  g_test_add_func ("/part-breaker/single-part-first", test_single_part_first);
  g_test_add_func ("/part-breaker/staggered-trials", test_staggered_trials);
  g_test_add_func ("/part-breaker/either-part", test_either_part);
  g_test_add_func ("/part-breaker/known-part", test_known_part);
  g_test_add_func ("/part-breaker/explained", test_explained);
  g_test_add_func ("/part-breaker/harmless-before", test_harmless_before);
  g_test_add_func ("/part-breaker/urgent-notices", test_urgent_notices);
  g_test_add_func ("/part-breaker/part-turns-bad", test_part_turns_bad);
  g_test_add_func ("/part-breaker/notices", test_notices);
  g_test_add_func ("/part-breaker/crash-by-chance", test_crash_by_chance);
  g_test_add_func ("/part-breaker/crash-at-trial", test_crash_at_trial);
  g_test_add_func ("/part-breaker/peer-knows-harmless",
                   test_peer_knows_harmless);
  g_test_add_func ("/part-breaker/slow-crashes", test_slow_crashes);
  g_test_add_func ("/part-breaker/stale-peer", test_stale_peer);
  g_test_add_func ("/part-breaker/hostile-notices", test_hostile_notices);
  g_test_add_func ("/part-breaker/bounded", test_bounded);
  g_test_add_data_func ("/part-breaker/fleet", GINT_TO_POINTER (1),
                        test_fleet);
  g_test_add_data_func ("/part-breaker/fleet-16-parts", GINT_TO_POINTER (16),
                        test_fleet);
  g_test_add_data_func ("/part-breaker/fleet-39-parts", GINT_TO_POINTER (39),
                        test_fleet);
  g_test_add_func ("/part-breaker/largest-head", test_largest_head);
  g_test_add_func ("/part-breaker/dropped", test_dropped);
  return g_test_run ();
}
