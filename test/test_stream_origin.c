/* Which software version began a stream: what is told, listed and forgotten.
 */
#include "balance/stream_origin.h"
#include "common/random.h"

#include <glib.h>

#define NOW 100000
#define OLD 11
#define NEW 12
/* Parts that runners of two versions list, and of one. */
#define TWICE_LISTED 1000
#define ONCE_LISTED 400000
/* What 100 runners hold, of 600 parts each. */
#define HELD_AT_ONCE 60000

static void
record (struct bd_stream_origins *origins, uint64_t stream, uint64_t software,
        int64_t now)
{
  struct bd_stream_origin origin = { stream, software, now + 10000 };

  bd_stream_origins_record (origins, &origin, now);
}

static void
test_told (void)
{
  struct bd_stream_origins *origins = bd_stream_origins_create ();

  g_assert_cmpuint (bd_stream_origins_find (origins, 7, NOW), ==,
                    BD_SOFTWARE_ANY);
  record (origins, 7, OLD, NOW);
  record (origins, 8, NEW, NOW);
  record (origins, 7, OLD, NOW + 20);
  g_assert_cmpuint (bd_stream_origins_find (origins, 7, NOW + 30), ==, OLD);
  g_assert_cmpuint (bd_stream_origins_find (origins, 8, NOW + 30), ==, NEW);
  /* What is told once more is kept for longer. */
  g_assert_cmpuint (bd_stream_origins_find (origins, 8, NOW + 10000), ==,
                    BD_SOFTWARE_ANY);
  g_assert_cmpuint (bd_stream_origins_find (origins, 7, NOW + 10000), ==, OLD);
  bd_stream_origins_destroy (origins);
}

/* Of two words that contradict each other neither is believed, for as long as
   the stream may be continued. */
static void
test_contradiction (void)
{
  struct bd_stream_origins *origins = bd_stream_origins_create ();

  record (origins, 7, OLD, NOW);
  record (origins, 7, NEW, NOW);
  record (origins, 7, OLD, NOW);
  g_assert_cmpuint (bd_stream_origins_find (origins, 7, NOW), ==,
                    BD_SOFTWARE_UNCERTAIN);
  bd_stream_origins_destroy (origins);
}

static void
list (struct bd_stream_origins *origins, uint64_t part, uint64_t software,
      uint32_t target, int64_t now)
{
  struct bd_stream_holder holder = { software, target, now };

  bd_stream_origins_record_holder (origins, part, &holder);
}

/* A part that runners of two versions hold shows nothing; of one version, the
   runner that listed it last; holders and streams are apart. */
static void
test_listed (void)
{
  struct bd_stream_origins *origins = bd_stream_origins_create ();
  struct bd_stream_holder holder;

  list (origins, 7, OLD, 1, NOW);
  list (origins, 7, OLD, 2, NOW + 5);
  list (origins, 8, OLD, 1, NOW);
  list (origins, 8, NEW, 3, NOW);
  g_assert_true (bd_stream_origins_find_holder (origins, 7, NOW, &holder));
  g_assert_cmpuint (holder.software, ==, OLD);
  g_assert_cmpuint (holder.target, ==, 2);
  g_assert_cmpint (holder.listed_ms, ==, NOW + 5);
  g_assert_true (bd_stream_origins_find_holder (origins, 8, NOW, &holder));
  g_assert_cmpuint (holder.software, ==, BD_SOFTWARE_UNCERTAIN);
  g_assert_false (bd_stream_origins_find_holder (origins, 9, NOW, &holder));
  g_assert_false (bd_stream_origins_find_holder (origins, 0, NOW, &holder));
  g_assert_cmpuint (bd_stream_origins_find (origins, 7, NOW), ==,
                    BD_SOFTWARE_ANY);
  g_assert_false (
      bd_stream_origins_find_holder (origins, 7, NOW + 15005, &holder));
  bd_stream_origins_destroy (origins);
}

static void
test_number (void)
{
  struct bd_chunk none = { NULL, 0 };
  uint64_t number = bd_stream_number (BD_CHUNK ("a1"), BD_CHUNK ("w1"));

  g_assert_cmpuint (number, ==,
                    bd_stream_number (BD_CHUNK ("a1"), BD_CHUNK ("w1")));
  g_assert_cmpuint (number, !=,
                    bd_stream_number (BD_CHUNK ("a2"), BD_CHUNK ("w1")));
  g_assert_cmpuint (number, !=,
                    bd_stream_number (BD_CHUNK ("a1"), BD_CHUNK ("w2")));
  g_assert_cmpuint (number, !=, bd_stream_number (BD_CHUNK ("a1"), none));
  g_assert_cmpuint (bd_stream_number (none, BD_CHUNK ("w1")), ==, 0);
}

/* Far more streams than the table holds, of which callers continue some: each
   is found as it was told or not at all, and most of the late ones are. */
static void
test_full (void)
{
  struct bd_stream_origins *origins = bd_stream_origins_create ();
  int found = 0;

  for (uint64_t i = 1; i <= 100000; i++)
    record (origins, bd_random_mix (i), OLD + i % 2, NOW + (int64_t)i);
  for (uint64_t i = 1; i <= 100000; i++)
    {
      uint64_t software
          = bd_stream_origins_find (origins, bd_random_mix (i), NOW + 100000);

      if (software != BD_SOFTWARE_ANY)
        g_assert_cmpuint (software, ==, OLD + i % 2);
      found += i > 98000 && software != BD_SOFTWARE_ANY;
    }
  g_assert_cmpint (found, >, 1900);
  bd_stream_origins_destroy (origins);
}

/* Where a prompt was sent last counts more than who lists it; what is not
   certain shows nothing. */
static void
test_prompts (void)
{
  struct bd_stream_origins *origins = bd_stream_origins_create ();

  g_assert_cmpuint (bd_stream_origins_find_prompt (origins, 7, NOW), ==,
                    BD_SOFTWARE_ANY);
  list (origins, 7, OLD, 1, NOW);
  g_assert_cmpuint (bd_stream_origins_find_prompt (origins, 7, NOW), ==, OLD);
  bd_stream_origins_record_prompt (origins, 7, NEW, NOW);
  bd_stream_origins_record_prompt (origins, 0, NEW, NOW);
  g_assert_cmpuint (bd_stream_origins_find_prompt (origins, 7, NOW + 60000),
                    ==, NEW);
  g_assert_cmpuint (bd_stream_origins_find_prompt (origins, 0, NOW), ==,
                    BD_SOFTWARE_ANY);
  bd_stream_origins_record_prompt (origins, 7, OLD, NOW + 60000);
  g_assert_cmpuint (bd_stream_origins_find_prompt (origins, 7, NOW + 60000),
                    ==, OLD);
  list (origins, 7, NEW, 2, NOW + 61000);
  g_assert_cmpuint (bd_stream_origins_find_prompt (origins, 7, NOW + 61000),
                    ==, OLD);
  list (origins, 8, BD_SOFTWARE_UNCERTAIN, 1, NOW);
  g_assert_cmpuint (bd_stream_origins_find_prompt (origins, 8, NOW), ==,
                    BD_SOFTWARE_ANY);
  bd_stream_origins_destroy (origins);
}

/* Guards against a part that two versions list and that counts as listed by
   one of them, because there was no room to remember the other: so many parts
   are listed that some are dropped, and the first ones are listed again. */
static void
test_many_holders (void)
{
  struct bd_stream_origins *origins = bd_stream_origins_create ();
  int wrong = 0;
  int known = 0;

  for (uint64_t part = 1; part <= TWICE_LISTED; part++)
    {
      list (origins, part, OLD, 1, NOW);
      list (origins, part, NEW, 2, NOW);
    }
  for (uint64_t part = 1; part <= ONCE_LISTED; part++)
    list (origins, TWICE_LISTED + part, OLD, 1, NOW + 1);
  for (uint64_t part = 1; part <= TWICE_LISTED; part++)
    {
      struct bd_stream_holder holder = { .software = BD_SOFTWARE_UNCERTAIN };

      list (origins, part, OLD, 1, NOW + 2);
      bd_stream_origins_find_holder (origins, part, NOW + 3, &holder);
      wrong += holder.software != BD_SOFTWARE_UNCERTAIN;
    }
  for (uint64_t part = 1; part <= HELD_AT_ONCE; part++)
    {
      struct bd_stream_holder holder = { .software = BD_SOFTWARE_UNCERTAIN };

      list (origins, TWICE_LISTED + part, OLD, 1, NOW + 20000);
      bd_stream_origins_find_holder (origins, TWICE_LISTED + part, NOW + 20001,
                                     &holder);
      known += holder.software == OLD;
    }
  g_assert_cmpint (wrong, ==, 0);
  g_assert_cmpint (known, >, HELD_AT_ONCE * 95 / 100);
  bd_stream_origins_destroy (origins);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/stream-origin/told", test_told);
  g_test_add_func ("/stream-origin/contradiction", test_contradiction);
  g_test_add_func ("/stream-origin/listed", test_listed);
  g_test_add_func ("/stream-origin/number", test_number);
  g_test_add_func ("/stream-origin/full", test_full);
  g_test_add_func ("/stream-origin/prompts", test_prompts);
  g_test_add_func ("/stream-origin/many-holders", test_many_holders);
  return g_test_run ();
}
