/* Dispatch and runner under all pairs of faults, in virtual time; also many
   keys, callers that cancel, and engines slower than the deadline. */

#include "support_fleet.h"

#define ENTRIES 2
#define RUNNERS 3
#define CRASHING_ENTRY 1 /* The other one stays up for the callers. */
#define FOREVER_MS 10000000
#define SETTLE_MS 40000
#define DEADLINE_MS 10000
#define SEEDS_PER_PAIR 8
#define KEY_SEEDS 30
#define KEYS 100

/* A fault of one runner or entry, with its start and its end. */
struct fault
{
  const char *name;
  void (*begin) (struct fleet *fleet, int target);
  void (*end) (struct fleet *fleet, int target);
};

static void
end_pause_entry (struct fleet *f, int target)
{
  fleet_pause_entry (f, target % ENTRIES, 0);
}

static void
begin_pause_entry (struct fleet *f, int target)
{
  fleet_pause_entry (f, target % ENTRIES, FOREVER_MS);
}

static void
begin_pause_runner (struct fleet *f, int target)
{
  fleet_pause_runner (f, target, FOREVER_MS);
}

static void
end_pause_runner (struct fleet *f, int target)
{
  fleet_pause_runner (f, target, 0);
}

static void
begin_stall (struct fleet *f, int target)
{
  fleet_stall_engine (f, target, FOREVER_MS);
}

static void
end_stall (struct fleet *f, int target)
{
  fleet_stall_engine (f, target, 0);
}

static void
begin_leave (struct fleet *f, int target)
{
  if (fleet_runner (f, target))
    fleet_leave_runner (f, target);
}

static void
cut_link (struct fleet *f, int target)
{
  fleet_set_link_cut (f, target % ENTRIES, target, TRUE);
}

static void
restore_link (struct fleet *f, int target)
{
  fleet_set_link_cut (f, target % ENTRIES, target, FALSE);
}

/* Cuts entry 0 from all runners but the target, and entry 1 from the target.
 */
static void
set_split (struct fleet *f, int target, gboolean cut)
{
  for (int r = 0; r < RUNNERS; r++)
    fleet_set_link_cut (f, r == target ? 1 : 0, r, cut);
}

static void
begin_split (struct fleet *f, int target)
{
  set_split (f, target, TRUE);
}

static void
end_split (struct fleet *f, int target)
{
  set_split (f, target, FALSE);
}

static void
crash_entry (struct fleet *f, int target)
{
  (void)target;
  if (fleet_entry_alive (f, CRASHING_ENTRY))
    fleet_crash_entry (f, CRASHING_ENTRY);
}

static const struct fault faults[] = {
  { "runner-dies", fleet_crash_runner, fleet_restart_runner },
  { "runner-pauses", begin_pause_runner, end_pause_runner },
  { "runner-leaves", begin_leave, fleet_restart_runner },
  { "entry-pauses", begin_pause_entry, end_pause_entry },
  { "entry-dies", crash_entry, NULL },
  { "engine-crashes", fleet_crash_engine, NULL },
  { "engine-stalls", begin_stall, end_stall },
  { "cut", cut_link, restore_link },
  { "split", begin_split, end_split },
};

static int
random_below (GRand *rand, int count)
{
  return g_rand_int_range (rand, 0, count);
}

static int
live_entry (struct fleet *f, GRand *rand)
{
  int entry = random_below (rand, ENTRIES);

  return fleet_entry_alive (f, entry) ? entry : 1 - entry;
}

static void
submit_keyed (struct fleet *f, GRand *rand, int key)
{
  fleet_submit_keyed (f, live_entry (f, rand), 5000 + (guint64)key, key);
}

/* Submits requests without a key, and keys 1 to 4, which each phase repeats.
 */
static void
send_phase (struct fleet *f, GRand *rand)
{
  for (int i = 0; i < 4; i++)
    {
      fleet_submit (f, live_entry (f, rand),
                    1000 + (guint64)random_below (rand, 400),
                    random_below (rand, 4));
      submit_keyed (f, rand, i + 1);
      fleet_run (f, random_below (rand, 40));
    }
}

static struct fleet *
make_fleet (guint32 seed, int slots, int delay_max_ms, int duplicate_permille)
{
  struct fleet_settings settings = { .seed = seed,
                                     .entries = ENTRIES,
                                     .runners = RUNNERS,
                                     .slots = slots,
                                     .duplicate_permille = duplicate_permille,
                                     .delay_max_ms = delay_max_ms,
                                     .token_ms = 20 };

  return fleet_new (&settings);
}

static void
settle_and_check (struct fleet *f, GRand *rand, const char *title)
{
  fleet_run (f, SETTLE_MS);
  fleet_check (f, title);
  for (int i = 0; i < RUNNERS; i++)
    if (fleet_runner (f, i) && !bd_runner_idle (fleet_runner (f, i)))
      g_error ("%s: runner %d is not idle", title, i);
  g_rand_free (rand);
  fleet_free (f);
}

static void
run_pair (const struct fault *a, const struct fault *b, guint32 seed)
{
  char *title = g_strdup_printf ("%s and %s, seed %u", a->name, b->name, seed);
  struct fleet *f = make_fleet (seed, 2, seed % 2 ? 5 : 40, 50);
  GRand *rand = g_rand_new_with_seed (seed * 7919 + 1);
  int target_a = random_below (rand, RUNNERS);
  int target_b = random_below (rand, RUNNERS);
  const struct fault *first = random_below (rand, 2) ? a : b;

  send_phase (f, rand);
  a->begin (f, target_a);
  fleet_run (f, random_below (rand, 300));
  b->begin (f, target_b);
  send_phase (f, rand);
  fleet_run (f, random_below (rand, random_below (rand, 2) ? 1000 : 14000));
  if (first->end)
    first->end (f, first == a ? target_a : target_b);
  fleet_run (f, random_below (rand, 500));
  send_phase (f, rand);
  if (a->end)
    a->end (f, target_a);
  if (b->end)
    b->end (f, target_b);
  send_phase (f, rand);
  settle_and_check (f, rand, title);
  g_free (title);
}

static void
test_pairs (gconstpointer data)
{
  const struct fault *a = data;

  for (size_t i = 0; i < G_N_ELEMENTS (faults); i++)
    for (guint32 seed = 1; seed <= SEEDS_PER_PAIR; seed++)
      run_pair (a, &faults[i], seed);
  g_test_message ("%zu histories", G_N_ELEMENTS (faults) * SEEDS_PER_PAIR);
}

/* Submits each key three times on average, through random entries and under
   changing faults, and once more after the faults. */
static void
run_keys (guint32 seed)
{
  struct fleet *f = make_fleet (seed, 4, 20, 50);
  GRand *rand = g_rand_new_with_seed (seed);
  const struct fault *fault = NULL;
  int target = 0;

  for (int i = 0; i < 3 * KEYS; i++)
    {
      submit_keyed (f, rand, random_below (rand, KEYS) + 1);
      fleet_run (f, random_below (rand, 20));
      if (i % 25 != 24)
        continue;
      if (fault && fault->end)
        fault->end (f, target);
      fault = &faults[random_below (rand, G_N_ELEMENTS (faults))];
      target = random_below (rand, RUNNERS);
      fault->begin (f, target);
    }
  if (fault && fault->end)
    fault->end (f, target);
  for (int key = 1; key <= KEYS; key++)
    {
      submit_keyed (f, rand, key);
      fleet_run (f, random_below (rand, 20));
    }
  settle_and_check (f, rand, "hundred keys");
}

static void
test_hundred_keys (void)
{
  for (guint32 seed = 1; seed <= KEY_SEEDS; seed++)
    run_keys (seed);
}

/* The caller disconnects after MS, in whatever state the request is by then; a
   keyed request is then repeated. */
static void
run_cancel (int ms, gboolean keyed, gboolean busy)
{
  struct fleet *f = make_fleet ((guint32)ms + 1, 1, 5, 0);
  GRand *rand = g_rand_new_with_seed ((guint32)ms);
  struct fleet_call *call;

  for (int i = 0; busy && i < 6; i++)
    fleet_submit (f, i % ENTRIES, 1000 + (guint64)i, 0);
  call = keyed ? fleet_submit_keyed (f, 0, 5001, 1)
               : fleet_submit (f, 0, 1014, 1);
  fleet_run (f, ms);
  fleet_cancel (f, call);
  fleet_run (f, random_below (rand, 100));
  if (keyed)
    fleet_submit_keyed (f, 1, 5001, 1);
  settle_and_check (f, rand, "cancel");
}

static void
test_cancel_in_each_state (void)
{
  for (int ms = 0; ms <= 700; ms += 7)
    for (int kind = 0; kind < 4; kind++)
      run_cancel (ms, kind % 2 == 1, kind / 2 == 1);
}

/* Duplicates that wait for a running key get its answer, also if they arrive
   between its head and its end. */
static void
test_duplicates_in_the_calm (void)
{
  for (guint32 seed = 1; seed <= KEY_SEEDS; seed++)
    {
      struct fleet *f = make_fleet (seed, 4, 20, 0);
      GRand *rand = g_rand_new_with_seed (seed);

      for (int key = 1; key <= 20; key++)
        {
          for (int entry = 0; entry < ENTRIES; entry++)
            fleet_submit_keyed (f, entry, 5000 + (guint64)key, key);
          fleet_run (f, random_below (rand, 60));
        }
      fleet_run (f, SETTLE_MS);
      for (guint i = 0; i < fleet_calls (f)->len; i++)
        {
          struct fleet_call *call = fleet_calls (f)->pdata[i];

          if (!call->complete)
            g_error ("seed %u: call %u of key %d is incomplete", seed, i,
                     call->key_number);
        }
      settle_and_check (f, rand, "duplicates without faults");
    }
}

/* Calls end at their deadline while all engines are stalled. */
static void
test_engines_beyond_deadline (void)
{
  for (guint32 seed = 1; seed <= KEY_SEEDS; seed++)
    {
      struct fleet *f = make_fleet (seed, 2, 5, 0);
      GRand *rand = g_rand_new_with_seed (seed);
      gint64 before_ms = 200 + random_below (rand, 400);

      send_phase (f, rand);
      fleet_run (f, before_ms);
      for (int i = 0; i < RUNNERS; i++)
        fleet_stall_engine (f, i, DEADLINE_MS + 3000);
      send_phase (f, rand);
      fleet_run (f, DEADLINE_MS + 1000);
      for (guint i = 0; i < fleet_calls (f)->len; i++)
        {
          struct fleet_call *call = fleet_calls (f)->pdata[i];

          g_assert_true (call->complete || call->failed);
          g_assert_cmpint (call->ended_ms - call->submitted_ms, <=,
                           DEADLINE_MS + 500);
        }
      send_phase (f, rand);
      settle_and_check (f, rand, "engines beyond the deadline");
    }
}

/* Crash suspects run isolated while runners restart. */
static void
test_suspects_and_restarts (void)
{
  for (guint32 seed = 1; seed <= KEY_SEEDS; seed++)
    {
      struct fleet *f = make_fleet (seed, 2, 5, 0);
      GRand *rand = g_rand_new_with_seed (seed);

      fleet_set_poison (f, 666);
      fleet_enable_gossip (f);
      for (int round = 0; round < 6; round++)
        {
          int target = random_below (rand, RUNNERS);

          fleet_submit (f, live_entry (f, rand), 666, 0);
          send_phase (f, rand);
          fleet_crash_runner (f, target);
          fleet_run (f, random_below (rand, 600));
          fleet_restart_runner (f, target);
          fleet_run (f, random_below (rand, 1500));
        }
      g_assert_cmpint (fleet_engine_crashes (f), <=, BD_SUSPECT_MAX_RUNNERS);
      settle_and_check (f, rand, "suspects and restarts");
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/fleet-pairs/hundred-keys", test_hundred_keys);
  g_test_add_func ("/fleet-pairs/cancel-in-each-state",
                   test_cancel_in_each_state);
  g_test_add_func ("/fleet-pairs/duplicates-without-faults",
                   test_duplicates_in_the_calm);
  g_test_add_func ("/fleet-pairs/engines-beyond-deadline",
                   test_engines_beyond_deadline);
  g_test_add_func ("/fleet-pairs/suspects-and-restarts",
                   test_suspects_and_restarts);
  for (size_t i = 0; i < G_N_ELEMENTS (faults); i++)
    {
      char *path = g_strdup_printf ("/fleet-pairs/%s-and-all", faults[i].name);

      g_test_add_data_func (path, &faults[i], test_pairs);
      g_free (path);
    }
  return g_test_run ();
}
