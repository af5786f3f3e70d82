/* What runner crashes are blamed on, over gateways that share what they know,
   in virtual time: requests or parts of prompts that crash runners are held,
   and sound requests beside them are served.  Each seed draws the moment of
   the crash, the pace, the parts that are shared, what was served before, and
   a crash that no request caused. */
#include "gateway/crash.h"
#include "support_targets.h"

#include "common/random.h"

#include <glib.h>
#include <stdio.h>

#define GATEWAYS 5
#define RUNNERS 9
#define IN_FLIGHT_MAX 256
#define RUNNER_ID_BYTES 16
#define POPULAR_MAX 40
#define KEEP_MS 600000
#define TICK_MS 20
#define TELL_MS 100
#define NOTICES_MAX 24
/* Sound requests are served from the start on; crashes begin here. */
#define TROUBLE_MS 10000
#define END_MS 50000
/* What the rules ask for. */
#define STABLE_WINDOW_MS INT64_C (3000)
#define LATE_ALLOWED 3
/* Requests that come so late may not end before the play does. */
#define LAST_JUDGED_MS 5000
#define JUDGED_MIN 20
#define RACK_GAP_MS 100
/* A caller that was refused comes back after so long. */
#define RETRY_AFTER_MS 1000
/* The first event comes so long after a request was sent. */
#define FIRST_EVENT_MS 60

#define FATAL_PART UINT64_C (0xfa7a1)
#define SHARED_PART UINT64_C (0x5a4ed)
#define PARTS_MAX 8

enum kind
{
  SOUND = 0, /* Shares parts with the fatal ones; no two are alike. */
  POPULAR,   /* Many callers send this stream; shares no part. */
  FATAL
};

/* What a seed draws. */
struct plan
{
  bool by_part;      /* A part crashes runners; otherwise one request does. */
  bool fatal_begins; /* No sound request comes before the fatal ones. */
  int served_by;     /* Gateways that served sound requests before. */
  int moment_ms;     /* Of the crash, after the request was sent. */
  int pace_ms;       /* Between fatal requests. */
  int shared;        /* Parts that sound and fatal requests share. */
  int back_ms;       /* A runner is away for so long. */
  int sound_pace_ms; /* Between sound requests. */
  int popular;       /* Streams of that kind at a time. */
  int64_t by_chance_ms; /* A runner crashes by itself; 0: none does. */
  int rack;             /* So many more crash with it, RACK_GAP_MS apart. */
  int pause_ms;         /* No sound requests for so long from then on. */
  bool at_trial;        /* The next sound request after one was refused meets
                           such a crash. */
};

struct request
{
  enum kind kind;
  int gateway;
  int runner;
  int64_t sent_ms;
  int64_t end_ms; /* Of the answer, or of the runner. */
  struct bd_fingerprint fingerprint;
  uint64_t parts[PARTS_MAX];
  bool judged;
};

struct gateway
{
  struct bd_targets *targets;
  struct bd_suspects *suspects;
  struct bd_part_breakers *breakers;
  struct bd_crashes *crashes;
};

struct fleet
{
  struct plan plan;
  uint64_t random;
  int64_t now_ms;
  struct gateway gateways[GATEWAYS];
  int64_t back_ms[RUNNERS];      /* When the runner is back; 0: it is up. */
  int64_t retry_ms[POPULAR_MAX]; /* When a caller of popular streams that was
                                    refused comes back. */
  uint64_t revision;
  size_t in_flight;
  struct request requests[IN_FLIGHT_MAX];
  uint64_t number;       /* Of the last request. */
  int crashes;           /* Under fatal requests. */
  int64_t counted_ms;    /* When the last crash was that the rule allows. */
  int64_t last_crash_ms; /* Under a fatal request. */
  int late;
  bool refused;    /* A sound request was. */
  int trial;       /* A runner that ends by chance; -1: none. */
  int sound;       /* Those by which the rule is judged. */
  int sound_began; /* Of these. */
  int popular;
  int popular_began;
};

static int
draw (struct fleet *f, int limit)
{
  return (int)bd_random_below (&f->random, (uint32_t)limit);
}

static void
draw_plan (struct fleet *f)
{
  static const int moments[] = { 20, 70, 100, 400, 1500, 4000 };
  static const int paces[] = { 240, 500, 1200, 4000 };

  f->plan = (struct plan){
    .by_part = draw (f, 2) == 0,
    .fatal_begins = draw (f, 4) == 0,
    .served_by = 1 + draw (f, GATEWAYS),
    .moment_ms = moments[draw (f, G_N_ELEMENTS (moments))],
    .pace_ms = paces[draw (f, G_N_ELEMENTS (paces))],
    .shared = draw (f, 4),
    .back_ms = draw (f, 3) == 0 ? 300 : 3000,
    .sound_pace_ms = draw (f, 2) == 0 ? 40 : 200,
    .popular = POPULAR_MAX / 5 * draw (f, 6),
    .by_chance_ms
    = draw (f, 3) == 0 ? 0 : TROUBLE_MS - 2000 + 100 * draw (f, 200),
    .rack = draw (f, 3) == 0 ? 1 + draw (f, 5) : 0,
    .pause_ms = 1000 * draw (f, 6),
    .at_trial = draw (f, 2) == 0,
  };
}

static void
list_runner (struct fleet *f, int runner, int64_t started_ms)
{
  char id[RUNNER_ID_BYTES];
  struct bd_target_entry entry;

  snprintf (id, sizeof id, "r%d", runner);
  entry = support_entry (id, "z0");
  entry.started_ms = started_ms;
  f->revision++;
  for (int i = 0; i < GATEWAYS; i++)
    bd_targets_put (f->gateways[i].targets, f->now_ms, &entry, f->revision);
}

static struct bd_target *
target_of (struct fleet *f, int gateway, int runner)
{
  char id[RUNNER_ID_BYTES];

  snprintf (id, sizeof id, "r%d", runner);
  return support_target (f->gateways[gateway].targets, id);
}

static void
open_fleet (struct fleet *f, uint64_t seed)
{
  *f = (struct fleet){ .random = seed * 7919 + 17, .now_ms = 1, .trial = -1 };
  draw_plan (f);
  for (int i = 0; i < GATEWAYS; i++)
    {
      struct gateway *g = &f->gateways[i];

      g->targets = bd_targets_create ();
      g->suspects = bd_suspects_create (1024, KEEP_MS);
      g->breakers = bd_part_breakers_create (seed * GATEWAYS + (uint64_t)i);
      g->crashes = bd_crashes_create (g->targets, g->suspects, g->breakers,
                                      seed * GATEWAYS + (uint64_t)i);
    }
  for (int i = 0; i < RUNNERS; i++)
    list_runner (f, i, 1);
}

static void
close_fleet (struct fleet *f)
{
  for (int i = 0; i < GATEWAYS; i++)
    {
      bd_crashes_destroy (f->gateways[i].crashes);
      bd_part_breakers_destroy (f->gateways[i].breakers);
      bd_suspects_destroy (f->gateways[i].suspects);
      bd_targets_destroy (f->gateways[i].targets);
    }
}

/* Requests. */

static void
set_parts (struct fleet *f, struct request *r)
{
  struct bd_part_list *list = &r->fingerprint.parts;

  list->parts = r->parts;
  list->count = 0;
  if (r->kind == POPULAR)
    return;
  for (int i = 0; i < f->plan.shared; i++)
    r->parts[list->count++] = SHARED_PART + (uint64_t)i;
  if (r->kind == FATAL && f->plan.by_part)
    r->parts[list->count++] = FATAL_PART;
  if (r->kind == SOUND)
    r->parts[list->count++] = 100 + f->number % 16;
}

static void
set_fingerprint (struct fleet *f, struct request *r)
{
  uint64_t same = r->kind == POPULAR ? 1 : 2;
  bool alike = r->kind == POPULAR || (r->kind == FATAL && !f->plan.by_part);

  r->fingerprint.exact = bd_random_mix (alike ? same : f->number + 10);
  r->fingerprint.broad = bd_random_mix (r->fingerprint.exact);
}

static int
duration_ms (struct fleet *f, enum kind kind)
{
  if (kind == FATAL)
    return f->plan.moment_ms;
  return kind == POPULAR ? 4000 : 200 + 100 * draw (f, 15);
}

/* Returns a runner that is up, or -1: none is. */
static int
choose_runner (struct fleet *f)
{
  int runner = draw (f, RUNNERS);

  for (int i = 0; i < RUNNERS && f->back_ms[runner] != 0; i++)
    runner = (runner + 1) % RUNNERS;
  return f->back_ms[runner] == 0 ? runner : -1;
}

/* Whether what becomes of a sound request that is sent now counts: the crashes
   are over, or more of them than the rule allows were under fatal ones. */
static bool
is_judged (const struct fleet *f)
{
  int64_t since_ms = f->counted_ms != 0 ? f->counted_ms : f->last_crash_ms;

  return f->crashes > 0 && f->now_ms > since_ms + 2 * STABLE_WINDOW_MS
         && f->now_ms < END_MS - LAST_JUDGED_MS;
}

static void
count_judged (struct fleet *f, const struct request *r, bool began)
{
  if (!r->judged || r->kind == FATAL)
    return;
  f->sound += r->kind == SOUND;
  f->sound_began += r->kind == SOUND && began;
  f->popular += r->kind == POPULAR;
  f->popular_began += r->kind == POPULAR && began;
}

/* A caller of popular streams was refused. */
static void
wait_for_retry (struct fleet *f)
{
  for (int i = 0; i < POPULAR_MAX; i++)
    if (f->retry_ms[i] <= f->now_ms)
      {
        f->retry_ms[i] = f->now_ms + RETRY_AFTER_MS;
        return;
      }
}

static void
send_request (struct fleet *f, enum kind kind, int gateway)
{
  struct gateway *g = &f->gateways[gateway];
  struct request *r = &f->requests[f->in_flight];
  int runner = choose_runner (f);

  g_assert_cmpuint (f->in_flight, <, IN_FLIGHT_MAX);
  if (runner < 0)
    return;
  f->number++;
  *r = (struct request){ .kind = kind,
                         .gateway = gateway,
                         .runner = runner,
                         .sent_ms = f->now_ms,
                         .end_ms = f->now_ms + duration_ms (f, kind) };
  set_parts (f, r);
  set_fingerprint (f, r);
  r->judged = is_judged (f);
  if (bd_crashes_suspicion (g->crashes, f->now_ms, &r->fingerprint)
      == BD_SUSPICION_QUARANTINE)
    {
      count_judged (f, r, false);
      f->refused = f->refused || kind == SOUND;
      if (kind == POPULAR)
        wait_for_retry (f);
      return;
    }
  if (kind == SOUND && f->refused && f->plan.at_trial)
    {
      f->trial = runner;
      f->plan.at_trial = false;
    }
  bd_crashes_sent (g->crashes, f->now_ms, &r->fingerprint);
  f->late += kind == FATAL && f->counted_ms != 0
             && f->now_ms > f->counted_ms + STABLE_WINDOW_MS;
  f->in_flight++;
}

static void
remove_request (struct fleet *f, size_t index)
{
  f->requests[index] = f->requests[--f->in_flight];
  f->requests[index].fingerprint.parts.parts = f->requests[index].parts;
}

/* Each gateway sees that the connections of its requests are lost. */
static void
crash_runner (struct fleet *f, int runner)
{
  char id[RUNNER_ID_BYTES];

  snprintf (id, sizeof id, "r%d", runner);
  for (size_t i = 0; i < f->in_flight;)
    {
      const struct request *r = &f->requests[i];
      const struct bd_target *target = target_of (f, r->gateway, runner);
      struct bd_crash_attempt attempt
          = { .fingerprint = &r->fingerprint,
              .target = target,
              .runner_started_ms = target->started_ms,
              .sent_ms = r->sent_ms,
              .evidence = BD_CRASH_CONNECTION_LOST,
              .has_events = f->now_ms - r->sent_ms >= FIRST_EVENT_MS };

      if (r->runner != runner)
        {
          i++;
          continue;
        }
      bd_crashes_open (f->gateways[r->gateway].crashes, f->now_ms, &attempt);
      count_judged (f, r, attempt.has_events);
      remove_request (f, i);
    }
  for (int i = 0; i < GATEWAYS; i++)
    {
      while (bd_crashes_next_probe (f->gateways[i].crashes, f->now_ms))
        ;
      bd_crashes_probed (f->gateways[i].crashes, f->now_ms, bd_chunk_of (id),
                         BD_CRASH_PROBE_REFUSED);
    }
  f->back_ms[runner] = f->now_ms + f->plan.back_ms;
}

static void
crash_under_fatal (struct fleet *f, int runner)
{
  crash_runner (f, runner);
  f->last_crash_ms = f->now_ms;
  if (++f->crashes == (f->plan.by_part ? 5 : 3))
    f->counted_ms = f->now_ms;
}

static void
end_requests (struct fleet *f)
{
  for (size_t i = 0; i < f->in_flight;)
    {
      const struct request *r = &f->requests[i];

      if (r->end_ms > f->now_ms)
        i++;
      else if (r->kind == FATAL)
        {
          crash_under_fatal (f, r->runner);
          i = 0;
        }
      else
        {
          bd_crashes_completed (f->gateways[r->gateway].crashes, f->now_ms,
                                &r->fingerprint);
          count_judged (f, r, true);
          remove_request (f, i);
        }
    }
}

/* The fleet. */

static void
tell_peers (struct fleet *f, int from)
{
  struct gateway *g = &f->gateways[from];
  struct bd_part_notice notices[NOTICES_MAX];
  struct bd_strike strikes[NOTICES_MAX];
  size_t notice_count = bd_part_breakers_next_notices (g->breakers, f->now_ms,
                                                       notices, NOTICES_MAX);
  size_t strike_count
      = bd_suspects_next_gossip (g->suspects, f->now_ms, strikes, NOTICES_MAX);

  for (int i = 0; i < GATEWAYS; i++)
    {
      if (i == from)
        continue;
      for (size_t k = 0; k < notice_count; k++)
        bd_part_breakers_apply (f->gateways[i].breakers, f->now_ms,
                                &notices[k]);
      for (size_t k = 0; k < strike_count; k++)
        bd_suspects_record_gossip (f->gateways[i].suspects, f->now_ms,
                                   &strikes[k]);
    }
}

static void
return_runners (struct fleet *f)
{
  for (int i = 0; i < RUNNERS; i++)
    if (f->back_ms[i] != 0 && f->back_ms[i] <= f->now_ms)
      {
        f->back_ms[i] = 0;
        list_runner (f, i, f->now_ms);
      }
}

/* Returns how many callers of popular streams have sent or wait. */
static int
count_popular (const struct fleet *f)
{
  int count = 0;

  for (size_t i = 0; i < f->in_flight; i++)
    count += f->requests[i].kind == POPULAR;
  for (int i = 0; i < POPULAR_MAX; i++)
    count += f->retry_ms[i] > f->now_ms;
  return count;
}

static void
crash_by_chance (struct fleet *f)
{
  int runner = f->trial;
  int64_t since_ms = f->now_ms - f->plan.by_chance_ms;

  f->trial = -1;
  if (f->plan.by_chance_ms != 0 && since_ms >= 0 && runner < 0
      && since_ms <= (int64_t)f->plan.rack * RACK_GAP_MS
      && since_ms % RACK_GAP_MS < TICK_MS)
    runner = choose_runner (f);
  if (runner >= 0)
    crash_runner (f, runner);
}

static void
send_all (struct fleet *f)
{
  const struct plan *p = &f->plan;
  bool trouble = f->now_ms >= TROUBLE_MS;
  int64_t due = f->now_ms / TICK_MS * TICK_MS;
  bool sound
      = trouble ? f->now_ms >= TROUBLE_MS + p->pause_ms : !p->fatal_begins;

  if (due % p->sound_pace_ms == 0 && sound)
    send_request (f, SOUND, draw (f, trouble ? GATEWAYS : p->served_by));
  if (count_popular (f) < p->popular)
    send_request (f, POPULAR, draw (f, GATEWAYS));
  if (trouble && due % p->pace_ms == 0)
    send_request (f, FATAL, draw (f, GATEWAYS));
}

static void
tick (struct fleet *f)
{
  f->now_ms += TICK_MS;
  return_runners (f);
  end_requests (f);
  crash_by_chance (f);
  send_all (f);
  for (int i = 0; i < GATEWAYS; i++)
    {
      bd_crashes_tick (f->gateways[i].crashes, f->now_ms);
      if (f->now_ms / TICK_MS % (TELL_MS / TICK_MS) == 0)
        tell_peers (f, i);
    }
}

static void
print_play (const struct fleet *f, uint64_t seed)
{
  const struct plan *p = &f->plan;

  fprintf (stderr, "seed %d: %s, moment %d, pace %d, %d shared, first %d, ",
           (int)seed, p->by_part ? "part" : "request", p->moment_ms,
           p->pace_ms, p->shared, (int)p->fatal_begins);
  fprintf (stderr, "served by %d, back %d, sound each %d, %d popular, ",
           p->served_by, p->back_ms, p->sound_pace_ms, p->popular);
  fprintf (stderr,
           "chance %d, rack %d, trial %d, pause %d: ", (int)p->by_chance_ms,
           p->rack, (int)p->at_trial, p->pause_ms);
  fprintf (stderr, "%d crashes, %d late, %d of %d sound, %d of %d popular\n",
           f->crashes, f->late, f->sound_began, f->sound, f->popular_began,
           f->popular);
}

/* Returns whether a rule was broken. */
static bool
play (uint64_t seed)
{
  struct fleet *f = g_new0 (struct fleet, 1);
  bool broken;

  open_fleet (f, seed);
  while (f->now_ms < END_MS)
    tick (f);
  broken = f->late > LATE_ALLOWED
           || (f->sound >= JUDGED_MIN && 2 * f->sound_began < f->sound)
           || (f->popular >= JUDGED_MIN && 2 * f->popular_began < f->popular);
  if (broken)
    print_play (f, seed);
  close_fleet (f);
  g_free (f);
  return broken;
}

/* Plays the seeds from FROM to TO. */
static int
play_all (uint64_t from, uint64_t to)
{
  int broken = 0;

  for (uint64_t seed = from; seed <= to; seed++)
    broken += play (seed);
  return broken;
}

/* Guards against fatal requests that go on (BUDGET) and against sound ones
   that are refused beside them (LOST), judged together. */
static void
test_both_rules (void)
{
  g_assert_cmpint (play_all (1, 200), ==, 0);
}

/* With two numbers: plays the seeds from the first to the second. */
int
main (int argc, char **argv)
{
  if (argc == 3 && argv[1][0] != '-')
    return play_all (g_ascii_strtoull (argv[1], NULL, 10),
                     g_ascii_strtoull (argv[2], NULL, 10))
           > 0;
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/blame/both-rules", test_both_rules);
  return g_test_run ();
}
