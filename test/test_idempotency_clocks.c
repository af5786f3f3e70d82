/*
 * Callers' own keys under clock skew: enumerates all small cases of a change
 * of home and of a restart.  Time runs from 0 to LAST.  The clocks of both
 * owners are ahead of it by 0 to the permitted skew; that of the caller, which
 * is not trusted, by more.  At most one of the two owners may accept a key;
 * for an opaque key, within the retry window.
 */
#include "idempotency/idempotency.h"

#include <glib.h>

#define LAST 12
#define SKEW 2
#define CONFIRM 2
#define WINDOW 4
#define CALLER_AHEAD (4 * SKEW)
#define EARLY (-100) /* Long before all other times. */
#define NEVER (LAST + 1)

enum mutation
{
  CORRECT = 0,
  CLOCKS_APART,      /* One clock is ahead by more than the skew. */
  NOT_CONFIRMED,     /* The old home does not check the confirmation. */
  HOME_TIME_MISSING, /* The new home does not learn when it became home. */
  START_TIME_WRONG   /* The restarted home claims an early start. */
};

/* A possible owner of the key; all times are true times. */
struct owner
{
  int started;
  int home_since;
  int confirmed;
  int clock_ahead;
};

struct key
{
  enum bd_key_origin origin;
  int created;
  int clock_ahead; /* Of the caller's clock. */
};

struct tally
{
  enum mutation mutation;
  size_t cases;
  size_t old_accepts; /* Accepted by the old owner. */
  size_t new_accepts; /* Accepted by the new owner. */
  size_t both_accept;
};

/* Tells whether the owner would run KEY if it arrives at time AT. */
static bool
accepts (const struct tally *t, const struct owner *owner, const struct key *k,
         int at)
{
  struct bd_idempotency_settings settings
      = { .started_wall_ms = owner->started + owner->clock_ahead,
          .clock_skew_ms = SKEW,
          .confirm_window_ms = t->mutation == NOT_CONFIRMED ? 0 : CONFIRM,
          .max_records = 1 };
  struct bd_idempotency_claim claim
      = { .origin = k->origin,
          .key_wall_ms = k->created + k->clock_ahead,
          .retry_window_ms = WINDOW };
  struct bd_idempotency_answer answer;
  struct bd_idempotency *idempotency;

  if (k->origin == BD_KEY_OPAQUE && at > k->created + WINDOW)
    return false;
  idempotency = bd_idempotency_create (&settings);
  bd_idempotency_set_home_since (idempotency,
                                 owner->home_since + owner->clock_ahead);
  bd_idempotency_confirm_configuration (idempotency,
                                        MIN (at, owner->confirmed));
  bd_idempotency_claim (idempotency, at, at + owner->clock_ahead, &claim,
                        &answer);
  bd_idempotency_destroy (idempotency);
  return answer.verdict == BD_IDEMPOTENCY_RUN;
}

/* Tries all arrival times of the key at both owners. */
static void
try_key (struct tally *t, const struct owner *old, int old_end,
         const struct owner *new, const struct key *k)
{
  bool first = false;
  bool second = false;

  for (int at = k->created; at < old_end && at <= LAST; at++)
    first = first || accepts (t, old, k, at);
  for (int at = MAX (k->created, MAX (new->started, new->home_since));
       at <= LAST; at++)
    second = second || accepts (t, new, k, at);
  t->cases++;
  t->old_accepts += first;
  t->new_accepts += second;
  t->both_accept += first && second;
}

static void
try_keys (struct tally *t, enum bd_key_origin origin, const struct owner *old,
          int old_end, const struct owner *new)
{
  for (int created = 0; created <= LAST; created++)
    for (int clock_ahead = 0; clock_ahead <= CALLER_AHEAD; clock_ahead++)
      {
        struct key k = { origin, created, clock_ahead };

        try_key (t, old, old_end, new, &k);
      }
}

/* The home changes at CHANGED; the new home learns of it at LEARNED. */
static void
try_home_changes (struct tally *t, enum bd_key_origin origin, int changed,
                  int learned)
{
  int max_ahead = t->mutation == CLOCKS_APART ? 3 * SKEW : SKEW;

  for (int a = 0; a <= max_ahead; a++)
    for (int b = 0; b <= SKEW; b++)
      {
        struct owner old = { EARLY, EARLY, changed, a };
        struct owner new = { EARLY, learned, LAST, b };

        if (t->mutation != HOME_TIME_MISSING)
          try_keys (t, origin, &old, NEVER, &new);
        new.home_since = EARLY;
        for (int created = 0;
             t->mutation == HOME_TIME_MISSING && created <= LAST; created++)
          try_key (t, &old, NEVER, &new, &(struct key){ origin, created, 0 });
      }
}

/* The home stops at ENDED and restarts at STARTED, with another clock. */
static void
try_restarts (struct tally *t, enum bd_key_origin origin, int ended,
              int started)
{
  int max_ahead = t->mutation == CLOCKS_APART ? 3 * SKEW : SKEW;

  for (int a = 0; a <= max_ahead; a++)
    for (int b = 0; b <= SKEW; b++)
      {
        struct owner old = { EARLY, EARLY, LAST, a };
        struct owner new = { started, EARLY, LAST, b };

        if (t->mutation == START_TIME_WRONG)
          new.started = EARLY;
        try_keys (t, origin, &old, ended, &new);
      }
}

static struct tally
try_all (enum mutation mutation, enum bd_key_origin origin, bool restart)
{
  struct tally t = { .mutation = mutation };

  for (int first = 0; first <= LAST; first++)
    for (int then = first; then <= LAST; then++)
      if (restart)
        try_restarts (&t, origin, first, then);
      else
        try_home_changes (&t, origin, first, then);
  g_test_message ("%zu cases: the old owner accepts in %zu, the new one "
                  "in %zu, both in %zu",
                  t.cases, t.old_accepts, t.new_accepts, t.both_accept);
  return t;
}

struct time_ordered_case
{
  const char *name;
  enum mutation mutation;
  enum bd_key_origin origin;
  bool restart;
};

static const struct time_ordered_case cases[] = {
  { "timed/home", CORRECT, BD_KEY_TIME_ORDERED, false },
  { "timed/restart", CORRECT, BD_KEY_TIME_ORDERED, true },
  { "opaque/home", CORRECT, BD_KEY_OPAQUE, false },
  { "opaque/restart", CORRECT, BD_KEY_OPAQUE, true },
  { "mutation/skew-exceeded-home", CLOCKS_APART, BD_KEY_TIME_ORDERED, false },
  { "mutation/skew-exceeded-restart", CLOCKS_APART, BD_KEY_TIME_ORDERED,
    true },
  { "mutation/not-confirmed", NOT_CONFIRMED, BD_KEY_TIME_ORDERED, false },
  { "mutation/opaque-not-confirmed", NOT_CONFIRMED, BD_KEY_OPAQUE, false },
  { "mutation/home-not-known", HOME_TIME_MISSING, BD_KEY_TIME_ORDERED, false },
  { "mutation/opaque-home-not-known", HOME_TIME_MISSING, BD_KEY_OPAQUE,
    false },
  { "mutation/start-not-known", START_TIME_WRONG, BD_KEY_TIME_ORDERED, true },
  { "mutation/opaque-start-not-known", START_TIME_WRONG, BD_KEY_OPAQUE, true },
};

static void
test_case (gconstpointer data)
{
  const struct time_ordered_case *c = data;
  struct tally t = try_all (c->mutation, c->origin, c->restart);

  g_assert_cmpuint (t.old_accepts, >, 0);
  if (c->mutation == CORRECT)
    g_assert_cmpuint (t.both_accept, ==, 0);
  else
    g_assert_cmpuint (t.both_accept, >, 0);
  if (c->mutation == CORRECT && c->origin == BD_KEY_TIME_ORDERED)
    g_assert_cmpuint (t.new_accepts, >, 0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *path = g_strdup_printf ("/idempotency-clocks/%s", cases[i].name);

      g_test_add_data_func (path, &cases[i], test_case);
      g_free (path);
    }
  return g_test_run ();
}
