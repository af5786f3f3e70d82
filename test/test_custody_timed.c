/*
 * Callers' own keys and clocks: all small cases of a change of home and of a
 * restart.  Time goes from 0 to LAST; the clocks of both custodians are ahead
 * of it by 0 to the permitted skew, the caller's by more: callers are not
 * trusted.  At most one of two custodians may accept a key; of an opaque key,
 * within the retry window.
 */
#include "custody/custody.h"

#include <glib.h>

#define LAST 12
#define SKEW 2
#define CONFIRM 2
#define WINDOW 4
#define CALLER_AHEAD (4 * SKEW)
#define EARLY (-100) /* Long before everything else. */
#define NEVER (LAST + 1)

enum broken
{
  CORRECT = 0,
  CLOCKS_APART,  /* One clock is ahead by more than the skew. */
  NOT_CONFIRMED, /* The old home does not look for a confirmation. */
  HOME_NOT_TOLD, /* The new home is not told since when. */
  START_NOT_TOLD /* The restarted home claims an early start. */
};

/* One custodian: when it started, became home, heard that it is; its clock. */
struct custodian
{
  int start;
  int home;
  int confirmed;
  int ahead;
};

struct key
{
  enum bd_key_origin origin;
  int made;
  int ahead; /* The caller's clock. */
};

struct tally
{
  enum broken broken;
  size_t cases;
  size_t first;  /* Accepted by the old custodian. */
  size_t second; /* Accepted by the new one. */
  size_t both;
};

/* True when the custodian would run KEY that arrives at time AT. */
static bool
accepts (const struct tally *t, const struct custodian *c, const struct key *k,
         int at)
{
  struct bd_custody_settings settings
      = { .started_wall_ms = c->start + c->ahead,
          .clock_skew_ms = SKEW,
          .confirm_window_ms = t->broken == NOT_CONFIRMED ? 0 : CONFIRM,
          .max_records = 1 };
  struct bd_custody_claim claim = { .origin = k->origin,
                                    .key_wall_ms = k->made + k->ahead,
                                    .retry_window_ms = WINDOW };
  struct bd_custody_answer answer;
  struct bd_custody *custody;

  if (k->origin == BD_KEY_OPAQUE && at > k->made + WINDOW)
    return false;
  custody = bd_custody_create (&settings);
  bd_custody_home_since (custody, c->home + c->ahead);
  bd_custody_confirm (custody, MIN (at, c->confirmed));
  bd_custody_claim (custody, at, at + c->ahead, &claim, &answer);
  bd_custody_destroy (custody);
  return answer.verdict == BD_CUSTODY_RUN;
}

/* The key reaches each custodian at any time from when it may. */
static void
key_try (struct tally *t, const struct custodian *old, int old_until,
         const struct custodian *new, const struct key *k)
{
  bool first = false;
  bool second = false;

  for (int at = k->made; at < old_until && at <= LAST; at++)
    first = first || accepts (t, old, k, at);
  for (int at = MAX (k->made, MAX (new->start, new->home)); at <= LAST; at++)
    second = second || accepts (t, new, k, at);
  t->cases++;
  t->first += first;
  t->second += second;
  t->both += first && second;
}

static void
keys_try (struct tally *t, enum bd_key_origin origin,
          const struct custodian *old, int old_until,
          const struct custodian *new)
{
  for (int made = 0; made <= LAST; made++)
    for (int ahead = 0; ahead <= CALLER_AHEAD; ahead++)
      {
        struct key k = { origin, made, ahead };

        key_try (t, old, old_until, new, &k);
      }
}

/* At CHANGED the service names a new home, which learns of it at LEARNED. */
static void
homes_try (struct tally *t, enum bd_key_origin origin, int changed,
           int learned)
{
  int most = t->broken == CLOCKS_APART ? 3 * SKEW : SKEW;

  for (int a = 0; a <= most; a++)
    for (int b = 0; b <= SKEW; b++)
      {
        struct custodian old = { EARLY, EARLY, changed, a };
        struct custodian new = { EARLY, learned, LAST, b };

        if (t->broken != HOME_NOT_TOLD)
          keys_try (t, origin, &old, NEVER, &new);
        new.home = EARLY;
        for (int made = 0; t->broken == HOME_NOT_TOLD && made <= LAST; made++)
          key_try (t, &old, NEVER, &new, &(struct key){ origin, made, 0 });
      }
}

/* The home ends at ENDED and starts anew at STARTED, with another clock. */
static void
restart_try (struct tally *t, enum bd_key_origin origin, int ended,
             int started)
{
  int most = t->broken == CLOCKS_APART ? 3 * SKEW : SKEW;

  for (int a = 0; a <= most; a++)
    for (int b = 0; b <= SKEW; b++)
      {
        struct custodian old = { EARLY, EARLY, LAST, a };
        struct custodian new = { started, EARLY, LAST, b };

        if (t->broken == START_NOT_TOLD)
          new.start = EARLY;
        keys_try (t, origin, &old, ended, &new);
      }
}

static struct tally
all_try (enum broken broken, enum bd_key_origin origin, bool restart)
{
  struct tally t = { .broken = broken };

  for (int first = 0; first <= LAST; first++)
    for (int then = first; then <= LAST; then++)
      if (restart)
        restart_try (&t, origin, first, then);
      else
        homes_try (&t, origin, first, then);
  g_test_message ("%zu cases: the old custodian accepts in %zu, the new one "
                  "in %zu, both in %zu",
                  t.cases, t.first, t.second, t.both);
  return t;
}

struct timed_case
{
  const char *name;
  enum broken broken;
  enum bd_key_origin origin;
  bool restart;
};

static const struct timed_case cases[] = {
  { "timed/home", CORRECT, BD_KEY_TIMED, false },
  { "timed/restart", CORRECT, BD_KEY_TIMED, true },
  { "opaque/home", CORRECT, BD_KEY_OPAQUE, false },
  { "opaque/restart", CORRECT, BD_KEY_OPAQUE, true },
  { "broken/clocks-apart-home", CLOCKS_APART, BD_KEY_TIMED, false },
  { "broken/clocks-apart-restart", CLOCKS_APART, BD_KEY_TIMED, true },
  { "broken/not-confirmed", NOT_CONFIRMED, BD_KEY_TIMED, false },
  { "broken/opaque-not-confirmed", NOT_CONFIRMED, BD_KEY_OPAQUE, false },
  { "broken/home-not-told", HOME_NOT_TOLD, BD_KEY_TIMED, false },
  { "broken/opaque-home-not-told", HOME_NOT_TOLD, BD_KEY_OPAQUE, false },
  { "broken/start-not-told", START_NOT_TOLD, BD_KEY_TIMED, true },
  { "broken/opaque-start-not-told", START_NOT_TOLD, BD_KEY_OPAQUE, true },
};

static void
test_case (gconstpointer data)
{
  const struct timed_case *c = data;
  struct tally t = all_try (c->broken, c->origin, c->restart);

  g_assert_cmpuint (t.first, >, 0);
  if (c->broken == CORRECT)
    g_assert_cmpuint (t.both, ==, 0);
  else
    g_assert_cmpuint (t.both, >, 0);
  if (c->broken == CORRECT && c->origin == BD_KEY_TIMED)
    g_assert_cmpuint (t.second, >, 0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *path = g_strdup_printf ("/custody-timed/%s", cases[i].name);

      g_test_add_data_func (path, &cases[i], test_case);
      g_free (path);
    }
  return g_test_run ();
}
