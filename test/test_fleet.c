/* Dispatch and runner together, under faults, in virtual time. */

#include "support_fleet.h"

#define SEEDS 150

/* Network behaviour and injected faults of one case. */
struct fault_case
{
  const char *name;
  int drop_permille;
  int duplicate_permille;
  int delay_max_ms;
  void (*first) (struct fleet *fleet, GRand *rand);
  void (*second) (struct fleet *fleet, GRand *rand);
};

static int
random_below (GRand *rand, int count)
{
  return g_rand_int_range (rand, 0, count);
}

static void
crash_and_restart (struct fleet *f, GRand *rand)
{
  int runner = random_below (rand, 3);

  fleet_crash_runner (f, runner);
  fleet_run (f, random_below (rand, 800));
  fleet_restart_runner (f, runner);
}

static void
pause_runner (struct fleet *f, GRand *rand)
{
  fleet_pause_runner (f, random_below (rand, 3),
                      100 + random_below (rand, 14000));
}

static void
pause_entry (struct fleet *f, GRand *rand)
{
  fleet_pause_entry (f, random_below (rand, 2),
                     100 + random_below (rand, 14000));
}

static void
crash_engine (struct fleet *f, GRand *rand)
{
  fleet_crash_engine (f, random_below (rand, 3));
}

static void
stall_engine (struct fleet *f, GRand *rand)
{
  fleet_stall_engine (f, random_below (rand, 3),
                      100 + random_below (rand, 14000));
}

/* Cuts entry 0 from runners 0 and 1 and entry 1 from runner 2 for a while. */
static void
partition (struct fleet *f, GRand *rand)
{
  fleet_set_link_cut (f, 0, 0, TRUE);
  fleet_set_link_cut (f, 0, 1, TRUE);
  fleet_set_link_cut (f, 1, 2, TRUE);
  fleet_run (f, 200 + random_below (rand, 5000));
  fleet_set_link_cut (f, 0, 0, FALSE);
  fleet_set_link_cut (f, 0, 1, FALSE);
  fleet_set_link_cut (f, 1, 2, FALSE);
}

static void
leave (struct fleet *f, GRand *rand)
{
  fleet_leave_runner (f, random_below (rand, 3));
}

/* A lost RUN or CHUNK that is not retransmitted cannot be told from a dead
   peer.  ZeroMQ loses nothing while a connection lasts, so that the cases with
   drops stand for queue overflows. */
static const struct fault_case cases[] = {
  { "none", 0, 0, 1, NULL, NULL },
  { "reordering", 0, 0, 40, NULL, NULL },
  { "duplicates", 0, 200, 5, NULL, NULL },
  { "duplicates-and-reordering", 0, 200, 40, NULL, NULL },
  { "drops", 30, 0, 5, NULL, NULL },
  { "drops-duplicates-and-reordering", 30, 100, 40, NULL, NULL },
  { "runner-restarts", 0, 0, 5, crash_and_restart, NULL },
  { "runner-pauses", 0, 0, 5, pause_runner, NULL },
  { "entry-pauses", 0, 0, 5, pause_entry, NULL },
  { "engine-crashes", 0, 0, 5, crash_engine, NULL },
  { "engine-stalls", 0, 0, 5, stall_engine, NULL },
  { "partition", 0, 0, 5, partition, NULL },
  { "runner-leaves", 0, 0, 5, leave, NULL },
  { "restart-and-pause", 0, 0, 20, crash_and_restart, pause_runner },
  { "two-restarts", 0, 50, 20, crash_and_restart, crash_and_restart },
  { "engine-and-entry", 0, 50, 20, crash_engine, pause_entry },
  { "partition-and-restart", 0, 50, 20, partition, crash_and_restart },
  { "partition-and-drop", 30, 50, 20, partition, NULL },
  { "pause-both", 0, 0, 20, pause_entry, pause_runner },
  { "stall-and-leave", 0, 50, 20, stall_engine, leave },
  { "engine-twice", 0, 0, 5, crash_engine, crash_engine },
};

static void
send_work (struct fleet *f, GRand *rand, int number)
{
  for (int i = 0; i < 8; i++)
    {
      fleet_submit (f, random_below (rand, 2),
                    1000 + (guint64)random_below (rand, 400),
                    random_below (rand, 4));
      fleet_run (f, random_below (rand, 30));
    }
  /* A keyed request and its repetition, each through a random entry. */
  for (int i = 0; i < 3; i++)
    {
      guint64 content = 5000 + (guint64)number * 10 + (guint64)i;

      fleet_submit_keyed (f, random_below (rand, 2), content,
                          number * 10 + i + 1);
      fleet_run (f, random_below (rand, 60));
      fleet_submit_keyed (f, random_below (rand, 2), content,
                          number * 10 + i + 1);
    }
}

static void
check_drained (struct fleet *f, const char *title)
{
  for (int i = 0; i < 3; i++)
    if (fleet_runner (f, i) && !bd_runner_idle (fleet_runner (f, i)))
      g_error ("%s: runner %d is not idle", title, i);
}

static void
run_case (const struct fault_case *c, guint32 seed)
{
  struct fleet_settings settings
      = { .seed = seed,
          .entries = 2,
          .runners = 3,
          .slots = 3,
          .drop_permille = c->drop_permille,
          .duplicate_permille = c->duplicate_permille,
          .delay_max_ms = c->delay_max_ms,
          .token_ms = 20 };
  struct fleet *f = fleet_new (&settings);
  GRand *rand = g_rand_new_with_seed (seed * 2654435761u + 1);

  send_work (f, rand, 1);
  if (c->first)
    c->first (f, rand);
  send_work (f, rand, 2);
  if (c->second)
    c->second (f, rand);
  send_work (f, rand, 3);
  fleet_run (f, 40000);
  fleet_check (f, c->name);
  check_drained (f, c->name);
  g_rand_free (rand);
  fleet_free (f);
}

static void
test_case (gconstpointer data)
{
  for (guint32 seed = 1; seed <= SEEDS; seed++)
    run_case (data, seed);
}

/* Without faults every request is answered completely. */
static void
test_calm_answers_all (void)
{
  struct fleet_settings settings = { .seed = 1,
                                     .entries = 2,
                                     .runners = 3,
                                     .slots = 3,
                                     .delay_max_ms = 3,
                                     .token_ms = 10 };
  struct fleet *f = fleet_new (&settings);
  GRand *rand = g_rand_new_with_seed (1);

  send_work (f, rand, 1);
  fleet_run (f, 20000);
  fleet_check (f, "no faults");
  for (guint i = 0; i < fleet_calls (f)->len; i++)
    {
      struct fleet_call *call = fleet_calls (f)->pdata[i];

      g_assert_cmpint (call->error, ==, BD_OK);
      g_assert_true (call->complete);
    }
  g_rand_free (rand);
  fleet_free (f);
}

/* An answer that overtakes its own grant is accepted: every request is
   answered by its first attempt. */
static void
test_reorder_runs_once (void)
{
  for (guint32 seed = 1; seed <= 40; seed++)
    {
      struct fleet_settings settings = { .seed = seed,
                                         .entries = 2,
                                         .runners = 3,
                                         .slots = 8,
                                         .delay_max_ms = 15,
                                         .token_ms = 10 };
      struct fleet *f = fleet_new (&settings);

      for (guint64 i = 0; i < 6; i++)
        {
          fleet_submit (f, (int)(i % 2), 1000 + i, 0);
          fleet_run (f, 40);
        }
      fleet_run (f, 8000);
      for (guint i = 0; i < fleet_calls (f)->len; i++)
        {
          struct fleet_call *call = fleet_calls (f)->pdata[i];

          if (!call->complete)
            g_error ("seed %u: call %u is incomplete", seed, i);
        }
      fleet_check (f, "reordering");
      fleet_free (f);
    }
}

/* Guards against a request that ran but is reported as not run.  The network
   or the processes are so slow that grants arrive after their lease expired.
   The first runner gets the body with the reservation and runs it; a second
   runner's grant arrives first, but that runner then refuses RUN. */
static void
test_slow_grants_do_not_deny (void)
{
  guint refused = 0;

  for (guint32 seed = 1; seed <= 200; seed++)
    {
      struct fleet_settings settings = { .seed = seed,
                                         .entries = 1,
                                         .runners = 3,
                                         .slots = 2,
                                         .delay_max_ms = 1500,
                                         .token_ms = 10 };
      struct fleet *f = fleet_new (&settings);

      fleet_run (f, 4000);
      for (guint64 i = 0; i < 8; i++)
        {
          fleet_submit (f, 0, 1000 + i, 0);
          fleet_run (f, 300);
        }
      fleet_run (f, 40000);
      for (guint i = 0; i < fleet_calls (f)->len; i++)
        {
          const struct fleet_call *call = fleet_calls (f)->pdata[i];

          refused += call->failed;
        }
      fleet_check (f, "slow grants");
      fleet_free (f);
    }
  /* The load must be high enough that requests are refused. */
  g_assert_cmpuint (refused, >, 100);
}

/* A stream cut by an engine crash resumes at another runner, without a gap or
   a repetition. */
static void
test_stream_resumes (void)
{
  struct fleet_settings settings = { .seed = 3,
                                     .entries = 1,
                                     .runners = 3,
                                     .slots = 2,
                                     .delay_max_ms = 2,
                                     .token_ms = 50 };
  struct fleet *f = fleet_new (&settings);
  struct fleet_call *call = fleet_submit (f, 0, 1014, 0);
  struct fleet_run *run;

  fleet_run (f, 300);
  g_assert_cmpuint (call->text->len, >, 0);
  run = fleet_runs (f)->pdata[0];
  fleet_crash_engine (f, run->runner);
  fleet_run (f, 5000);
  g_assert_cmpint (call->error, ==, BD_OK);
  g_assert_true (call->complete);
  g_assert_cmpuint (fleet_runs (f)->len, ==, 2);
  fleet_check (f, "resume");
  fleet_free (f);
}

/* A refusal that comes before the key's owner was contacted must not report
   that the key did not run: here it ran through the other entry. */
static void
test_limited_order_does_not_deny (void)
{
  struct fleet_settings settings = { .seed = 5,
                                     .entries = 2,
                                     .runners = 3,
                                     .slots = 2,
                                     .delay_max_ms = 2,
                                     .token_ms = 10 };
  struct fleet *f = fleet_new (&settings);
  struct fleet_call *again = NULL;

  fleet_submit_keyed (f, 0, 5001, 1);
  fleet_run (f, 1000);
  fleet_limit_entry (f, 1);
  for (int i = 0; i < 20; i++)
    again = fleet_submit_keyed (f, 1, 5001, 1);
  g_assert_true (again->failed);
  g_assert_cmpint (again->error, ==, BD_ERR_RATE_LIMITED);
  g_assert_cmpint (again->ran, ==, BD_RAN_UNKNOWN);
  fleet_run (f, 20000);
  fleet_check (f, "limited order");
  fleet_free (f);
}

/* A request that crashes engines, repeated through every entry, crashes a
   bounded number of them.  Requests that ran beside it are not quarantined. */
static void
test_poison_is_bounded (void)
{
  struct fleet_settings settings = { .seed = 4,
                                     .entries = 4,
                                     .runners = 8,
                                     .slots = 4,
                                     .delay_max_ms = 2,
                                     .token_ms = 20 };
  struct fleet *f = fleet_new (&settings);
  GPtrArray *innocent = g_ptr_array_new ();

  fleet_set_poison (f, 666);
  fleet_enable_gossip (f);
  for (int round = 0; round < 12; round++)
    {
      for (int i = 0; i < 8; i++)
        g_ptr_array_add (
            innocent,
            fleet_submit (f, i % 4, 2000 + (guint64)(round * 8 + i), 1));
      fleet_submit (f, round % 4, 666, 0);
      fleet_run (f, 2000);
    }
  fleet_run (f, 30000);
  g_assert_cmpint (fleet_engine_crashes (f), <=, BD_SUSPECT_MAX_RUNNERS);
  for (guint i = 0; i < innocent->len; i++)
    {
      struct fleet_call *call = innocent->pdata[i];

      g_assert_cmpint (call->error, !=, BD_ERR_QUARANTINED);
    }
  fleet_check (f, "poison");
  g_ptr_array_free (innocent, TRUE);
  fleet_free (f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/fleet/no-faults-answers-all", test_calm_answers_all);
  g_test_add_func ("/fleet/reordering-runs-once", test_reorder_runs_once);
  g_test_add_func ("/fleet/slow-grants-report-outcome-unknown",
                   test_slow_grants_do_not_deny);
  g_test_add_func ("/fleet/stream-resumes", test_stream_resumes);
  g_test_add_func ("/fleet/limited-key-reports-outcome-unknown",
                   test_limited_order_does_not_deny);
  g_test_add_func ("/fleet/poison-request-is-bounded", test_poison_is_bounded);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *path = g_strdup_printf ("/fleet/fault/%s", cases[i].name);

      g_test_add_data_func (path, &cases[i], test_case);
      g_free (path);
    }
  return g_test_run ();
}
