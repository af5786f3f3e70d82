#include "common/string.h"
#include "core/custody.h"
#include "naive_custody.h"

#include <glib.h>
#include <string.h>

#define INCARNATION 100
#define STARTED_MS 1000000
#define SKEW_MS INT64_C (50)
#define WINDOW_MS 1000
#define CONFIRM_MS 200

/* One step of a fault case. */
enum op
{
  END = 0,
  CLAIM, /* ARG: see the key's kind; expects a verdict or an error. */
  START, /* Expects 0 or 1. */
  WITHDRAW,
  FINISH, /* ARG: error. */
  BIG,    /* Finishes with an answer that is too large to keep. */
  NOT_SENT,
  HAND,    /* ARG: incarnation of the successor. */
  HOLDER,  /* A claim must name the incarnation ARG as the successor. */
  PASS,    /* Both clocks go on by ARG, then a tick. */
  WALL,    /* The wall clock alone goes on by ARG. */
  PAUSE,   /* Both clocks go on by ARG without a tick. */
  HOME,    /* Becomes home now. */
  CONFIRM, /* The configuration is confirmed now. */
  RAN      /* What the last refusal said. */
};

enum kind
{
  OPAQUE = 0,
  TIMED,    /* Dated ARG after the start. */
  ISSUED,   /* Expires ARG after the start. */
  FOREIGN,  /* Issued to another incarnation. */
  RECEIVED, /* Came by a hand-over that expires ARG after the start. */
  SECOND,   /* The same, by a second hand-over. */
  MISNAMED  /* A hand-over to another incarnation. */
};

struct step
{
  enum op op;
  int request;
  int key; /* 0: the first. */
  enum kind kind;
  int64_t arg;
  int expected;
};

struct fault_case
{
  const char *name;
  struct step steps[16];
};

/* Clocks stand at STARTED_MS and all times are relative to it. */
#define C(who, key, kind, arg, expected)                                      \
  {                                                                           \
    CLAIM, who, key, kind, arg, expected                                      \
  }
#define S(who, expected)                                                      \
  {                                                                           \
    START, who, 0, OPAQUE, 0, expected                                        \
  }
#define W(who, expected)                                                      \
  {                                                                           \
    WITHDRAW, who, 0, OPAQUE, 0, expected                                     \
  }
#define DO(what, arg)                                                         \
  {                                                                           \
    what, 1, 0, OPAQUE, arg, 0                                                \
  }
#define H(incarnation, expected)                                              \
  {                                                                           \
    HAND, 1, 0, OPAQUE, incarnation, expected                                 \
  }
#define RUN BD_CUSTODY_RUN
#define JOIN BD_CUSTODY_JOIN
#define REPLAY BD_CUSTODY_REPLAY
#define UNKNOWN BD_ERR_OUTCOME_UNKNOWN

static const struct fault_case cases[] = {
  { "once-then-replay",
    { C (1, 0, ISSUED, 500, RUN), C (1, 0, ISSUED, 500, JOIN), S (1, 1),
      S (1, 0), C (2, 0, ISSUED, 500, JOIN), S (2, 0), DO (FINISH, 0),
      C (3, 0, ISSUED, 500, REPLAY), S (3, 0) } },
  { "withdrawn-never-runs",
    { C (1, 0, ISSUED, 500, RUN), W (1, BD_OK), S (1, 0),
      C (2, 0, ISSUED, 500, BD_ERR_KEY_ENDED), DO (RAN, BD_RAN_NO), S (2, 0),
      W (2, BD_OK) } },
  { "withdrawn-while-another-waits",
    { C (1, 0, ISSUED, 500, RUN), C (2, 0, ISSUED, 500, JOIN), W (1, UNKNOWN),
      W (1, UNKNOWN), S (2, 1), W (2, UNKNOWN) } },
  { "item-of-the-withdrawn-runs-for-the-other",
    { C (1, 0, ISSUED, 500, RUN), C (2, 0, ISSUED, 500, JOIN), W (1, UNKNOWN),
      S (1, 1), S (2, 0) } },
  { "last-waiter-ends",
    { C (1, 0, ISSUED, 500, RUN), C (2, 0, ISSUED, 500, JOIN), W (2, UNKNOWN),
      W (1, BD_OK), S (1, 0), S (2, 0) } },
  { "withdrawn-after-start",
    { C (1, 0, ISSUED, 500, RUN), S (1, 1), W (1, UNKNOWN) } },
  { "withdrawn-without-claim",
    { W (1, UNKNOWN), C (1, 0, ISSUED, 500, RUN), W (2, UNKNOWN), S (2, 0),
      S (1, 1) } },
  { "other-incarnation",
    { C (1, 0, FOREIGN, 500, UNKNOWN), DO (RAN, BD_RAN_UNKNOWN), S (1, 0) } },
  { "token-expired",
    { DO (PASS, 500), C (1, 0, ISSUED, 500, BD_ERR_KEY_EXPIRED),
      DO (RAN, BD_RAN_UNKNOWN) } },
  { "token-replayed-after-its-record-and-a-clock-set-back",
    { C (1, 0, ISSUED, 500, RUN), S (1, 1), DO (FINISH, 0), DO (PASS, 1100),
      DO (WALL, -1050), C (2, 0, ISSUED, 500, BD_ERR_KEY_EXPIRED),
      C (3, 1, ISSUED, 501, RUN) } },
  { "record-outlives-the-window-until-the-token-expires",
    { C (1, 0, ISSUED, 9000, RUN), S (1, 1), DO (FINISH, 0), DO (PASS, 8900),
      C (2, 0, ISSUED, 9000, REPLAY) } },
  { "running-is-never-dropped",
    { C (1, 0, ISSUED, 500, RUN), S (1, 1), DO (PASS, 90000),
      C (2, 0, ISSUED, 500, JOIN), DO (FINISH, 0), DO (PASS, 999),
      C (3, 0, ISSUED, 500, REPLAY) } },
  { "engine-failed",
    { C (1, 0, ISSUED, 500, RUN), S (1, 1), DO (FINISH, BD_ERR_ENGINE),
      C (2, 0, ISSUED, 500, UNKNOWN), DO (RAN, BD_RAN_UNKNOWN), S (1, 0) } },
  { "not-sent-may-run-again",
    { C (1, 0, ISSUED, 500, RUN), S (1, 1), DO (NOT_SENT, 0), S (1, 1),
      S (1, 0) } },
  { "not-sent-and-nobody-waits",
    { C (1, 0, ISSUED, 500, RUN), S (1, 1), W (1, UNKNOWN), DO (NOT_SENT, 0),
      S (1, 0), C (2, 0, ISSUED, 500, BD_ERR_KEY_ENDED) } },
  { "not-sent-and-handed-over",
    { C (1, 0, ISSUED, 500, RUN), S (1, 1), H (7, UNKNOWN), DO (NOT_SENT, 0),
      H (7, BD_OK), S (1, 0) } },
  { "answer-too-large",
    { C (1, 0, ISSUED, 500, RUN), S (1, 1), DO (BIG, 0),
      C (2, 0, ISSUED, 500, BD_ERR_ALREADY_RAN), DO (RAN, BD_RAN_YES) } },
  { "full-refuses-the-new-and-keeps-the-old",
    { C (1, 0, ISSUED, 500, RUN), S (1, 1), DO (FINISH, 0),
      C (2, 1, ISSUED, 600, RUN), C (3, 2, ISSUED, 600, BD_ERR_FULL),
      DO (RAN, BD_RAN_UNKNOWN), C (4, 0, ISSUED, 500, REPLAY), DO (PASS, 1050),
      C (5, 2, ISSUED, 1500, RUN) } },
  { "timed-before-the-start", { C (1, 0, TIMED, -1, UNKNOWN) } },
  { "timed-within-twice-the-skew",
    { DO (PASS, 500), C (1, 0, TIMED, 2 * SKEW_MS, UNKNOWN),
      DO (RAN, BD_RAN_UNKNOWN), C (1, 0, TIMED, 2 * SKEW_MS + 1, RUN),
      S (1, 1) } },
  { "timed-in-the-future",
    { DO (PASS, 500), C (1, 0, TIMED, 501 + SKEW_MS, BD_ERR_KEY_INVALID),
      DO (RAN, BD_RAN_UNKNOWN), C (1, 0, TIMED, 500 + SKEW_MS, RUN) } },
  { "timed-before-the-change-of-home",
    { DO (PASS, 500), DO (HOME, 0), DO (PASS, 300),
      C (1, 0, TIMED, 500 + 2 * SKEW_MS, UNKNOWN),
      C (2, 1, TIMED, 501 + 2 * SKEW_MS, RUN) } },
  { "timed-replayed-after-its-record",
    { DO (PASS, 500), C (1, 0, TIMED, 400, RUN), S (1, 1), DO (FINISH, 0),
      DO (PASS, 1050), C (2, 0, TIMED, 400, UNKNOWN),
      C (3, 1, TIMED, 401, RUN) } },
  { "opaque-within-the-window-of-the-start",
    { DO (PASS, WINDOW_MS), C (1, 0, OPAQUE, 0, UNKNOWN), DO (PASS, 1),
      C (1, 0, OPAQUE, 0, RUN) } },
  { "opaque-within-the-window-of-the-home",
    { DO (PASS, 1500), DO (HOME, 0), DO (PASS, WINDOW_MS),
      C (1, 0, OPAQUE, 0, UNKNOWN), DO (PASS, 1), C (1, 0, OPAQUE, 0, RUN) } },
  { "paused-past-the-window-does-not-start",
    { C (1, 0, ISSUED, 9000, RUN), DO (PAUSE, WINDOW_MS), S (1, 0),
      H (7, BD_ERR_KEY_EXPIRED), W (1, BD_OK) } },
  { "handed-over-to-one",
    { C (1, 0, ISSUED, 500, RUN), C (2, 0, ISSUED, 500, JOIN), H (7, BD_OK),
      H (8, BD_OK), C (3, 0, ISSUED, 500, BD_ERR_STALE),
      DO (RAN, BD_RAN_UNKNOWN), DO (HOLDER, 7), S (1, 0), S (2, 0),
      W (1, UNKNOWN), W (2, UNKNOWN) } },
  { "handed-over-to-itself",
    { C (1, 0, ISSUED, 500, RUN), H (INCARNATION, BD_ERR_INVALID), S (1, 1),
      H (7, UNKNOWN), DO (FINISH, 0), H (7, BD_ERR_ALREADY_RAN) } },
  { "ended-is-not-handed-over",
    { C (1, 0, ISSUED, 500, RUN), W (1, BD_OK), H (7, BD_ERR_KEY_ENDED) } },
  { "received-runs-once",
    { C (1, 0, FOREIGN, 500, UNKNOWN), C (1, 0, RECEIVED, 500, RUN),
      C (2, 0, RECEIVED, 500, JOIN), S (1, 1), DO (FINISH, 0),
      C (3, 0, RECEIVED, 500, REPLAY) } },
  { "received-names-another-incarnation",
    { C (1, 0, MISNAMED, 500, UNKNOWN), S (1, 0) } },
  { "received-expired",
    { DO (PASS, 500), C (1, 0, RECEIVED, 500, BD_ERR_KEY_EXPIRED) } },
  { "received-starts-before-it-expires",
    { C (1, 0, RECEIVED, 500, RUN), DO (PAUSE, 500), S (1, 0) } },
  { "received-replayed-after-its-record-and-a-clock-set-back",
    { C (1, 0, RECEIVED, 500, RUN), S (1, 1), DO (FINISH, 0), DO (PASS, 1100),
      DO (WALL, -1050), C (2, 0, RECEIVED, 500, BD_ERR_KEY_EXPIRED) } },
  { "received-is-not-sent-back",
    { C (1, 0, RECEIVED, 500, RUN), H (9, BD_ERR_INVALID), H (7, BD_OK) } },
  { "hops-are-bounded", { C (1, 0, SECOND, 500, RUN), H (7, BD_ERR_FULL) } },
};

struct world
{
  struct bd_custody *custody;
  int64_t now_ms;
  int64_t wall_ms;
  struct bd_custody_answer last;
};

static struct bd_key
key_of (int number)
{
  return (struct bd_key){ .id = { .high = 1, .low = (uint64_t)number } };
}

static struct bd_id
request_of (int number)
{
  return (struct bd_id){ .high = 2, .low = (uint64_t)number };
}

static int
claim_step (struct world *w, const struct step *s)
{
  struct bd_hand_over h = { .key = key_of (s->key),
                            .fingerprint = 5,
                            .successor = "me",
                            .successor_incarnation = INCARNATION,
                            .from_incarnation = 9,
                            .hops = s->kind == SECOND ? 2 : 1,
                            .expires_wall_ms = STARTED_MS + s->arg };
  struct bd_custody_claim c = { .key = key_of (s->key),
                                .origin = BD_KEY_ISSUED,
                                .incarnation = INCARNATION,
                                .key_wall_ms = STARTED_MS + s->arg,
                                .expires_wall_ms = STARTED_MS + s->arg,
                                .fingerprint = 5,
                                .request = request_of (s->request),
                                .retry_window_ms = WINDOW_MS };

  if (s->kind == OPAQUE)
    c.origin = BD_KEY_OPAQUE;
  if (s->kind == TIMED)
    c.origin = BD_KEY_TIMED;
  if (s->kind >= FOREIGN)
    c.incarnation = INCARNATION - 1;
  if (s->kind == MISNAMED)
    h.successor_incarnation = INCARNATION - 1;
  if (s->kind >= RECEIVED)
    c.hand_over = &h;
  bd_custody_claim (w->custody, w->now_ms, w->wall_ms, &c, &w->last);
  return w->last.verdict == BD_CUSTODY_REFUSE ? w->last.error
                                              : (int)w->last.verdict;
}

static int
finish_step (struct world *w, const struct step *s)
{
  static const char big[100];
  struct bd_chunk answer = s->op == BIG ? (struct bd_chunk){ big, sizeof big }
                                        : BD_CHUNK ("done");

  bd_custody_finish (w->custody, w->now_ms, key_of (s->key), (int)s->arg, 200,
                     BD_CHUNK ("text"), answer);
  return 0;
}

static int
hand_step (struct world *w, const struct step *s)
{
  const struct bd_hand_over *h;
  int rc = bd_custody_hand_over (w->custody, w->now_ms, w->wall_ms,
                                 key_of (s->key), BD_CHUNK ("other"),
                                 (uint64_t)s->arg, &h);

  g_assert_true ((rc == BD_OK) == (h != NULL));
  return rc;
}

static int
clock_step (struct world *w, const struct step *s)
{
  w->wall_ms += s->arg;
  if (s->op != WALL)
    w->now_ms += s->arg;
  if (s->op == PASS)
    bd_custody_tick (w->custody, w->now_ms);
  return 0;
}

static int
step_run (struct world *w, const struct step *s)
{
  switch (s->op)
    {
    case CLAIM:
      return claim_step (w, s);
    case START:
      return bd_custody_start (w->custody, w->now_ms, key_of (s->key),
                               request_of (s->request));
    case WITHDRAW:
      return bd_custody_withdraw (w->custody, w->now_ms, key_of (s->key),
                                  request_of (s->request));
    case FINISH:
    case BIG:
      return finish_step (w, s);
    case NOT_SENT:
      bd_custody_not_sent (w->custody, w->now_ms, key_of (s->key),
                           request_of (s->request));
      return 0;
    case HAND:
      return hand_step (w, s);
    case HOLDER:
      g_assert_cmpuint (w->last.hand_over->successor_incarnation, ==, s->arg);
      g_assert_cmpuint (w->last.hand_over->from_incarnation, ==, INCARNATION);
      return 0;
    case RAN:
      g_assert_cmpint (w->last.ran, ==, s->arg);
      return 0;
    case HOME:
      bd_custody_home_since (w->custody, w->wall_ms);
      return 0;
    case CONFIRM:
      bd_custody_confirm (w->custody, w->now_ms);
      return 0;
    default:
      return clock_step (w, s);
    }
}

static void
case_run (const struct fault_case *c,
          const struct bd_custody_settings *settings)
{
  struct world w = { .custody = bd_custody_create (settings),
                     .now_ms = 0,
                     .wall_ms = STARTED_MS };

  for (const struct step *s = c->steps; s->op != END; s++)
    {
      int got = step_run (&w, s);

      if (got != s->expected)
        g_error ("%s, step %d: expected %d, got %d", c->name,
                 (int)(s - c->steps) + 1, s->expected, got);
    }
  bd_custody_destroy (w.custody);
}

static const struct bd_custody_settings settings
    = { .incarnation = INCARNATION,
        .started_wall_ms = STARTED_MS,
        .clock_skew_ms = SKEW_MS,
        .max_records = 2,
        .max_answer_bytes = 20 };

static void
test_fault_case (gconstpointer data)
{
  case_run (data, &settings);
}

/* Callers' own keys need a configuration that was confirmed lately. */
static void
test_confirmation (void)
{
  static const struct fault_case own
      = { "confirmation",
          { DO (PASS, 5000), C (1, 0, OPAQUE, 0, UNKNOWN), DO (CONFIRM, 0),
            C (1, 0, OPAQUE, 0, RUN), DO (PASS, CONFIRM_MS),
            C (2, 1, TIMED, 5000, RUN), DO (PASS, 1),
            C (3, 2, TIMED, 5150, UNKNOWN), C (4, 1, TIMED, 5000, JOIN),
            DO (HOME, 0), DO (PASS, 500), DO (CONFIRM, 0),
            C (5, 3, TIMED, 5201 + 300, UNKNOWN),
            C (6, 3, ISSUED, 9999, BD_ERR_FULL) } };
  struct bd_custody_settings s = settings;

  s.confirm_window_ms = CONFIRM_MS;
  case_run (&own, &s);
}

static void
test_mismatch (void)
{
  struct world w
      = { .custody = bd_custody_create (&settings), .wall_ms = STARTED_MS };
  struct bd_hand_over h = { .key = key_of (1), .fingerprint = 1 };
  struct bd_custody_claim c = { .incarnation = INCARNATION,
                                .expires_wall_ms = STARTED_MS + 1,
                                .fingerprint = 1,
                                .request = request_of (1),
                                .retry_window_ms = WINDOW_MS };

  bd_custody_claim (w.custody, 0, w.wall_ms, &c, &w.last);
  g_assert_cmpint (w.last.verdict, ==, BD_CUSTODY_RUN);
  c.fingerprint = 2;
  bd_custody_claim (w.custody, 0, w.wall_ms, &c, &w.last);
  g_assert_cmpint (w.last.error, ==, BD_ERR_KEY_MISMATCH);
  c.fingerprint = 1;
  c.hand_over = &h;
  bd_custody_claim (w.custody, 0, w.wall_ms, &c, &w.last);
  g_assert_cmpint (w.last.error, ==, BD_ERR_KEY_MISMATCH);
  g_assert_cmpint (w.last.ran, ==, BD_RAN_UNKNOWN);
  bd_custody_destroy (w.custody);
}

static void
test_waiters_are_bounded (void)
{
  struct world w
      = { .custody = bd_custody_create (&settings), .wall_ms = STARTED_MS };

  for (int i = 0; i <= BD_CUSTODY_MAX_WAITERS; i++)
    {
      struct step s = C (i, 0, ISSUED, 500, 0);
      int expected = i == 0 ? RUN : JOIN;

      if (i == BD_CUSTODY_MAX_WAITERS)
        expected = UNKNOWN;
      g_assert_cmpint (claim_step (&w, &s), ==, expected);
    }
  bd_custody_destroy (w.custody);
}

/*
 * Random histories against the naive version, and what must hold whatever
 * the clocks do: a key of which nobody said that it was not sent starts once,
 * and not after a refusal that said that it did not run.
 */
#define KEYS 6
#define HISTORIES 100000
#define OPS 60

struct key_facts
{
  struct bd_custody_claim claim;
  struct bd_hand_over hand_over;
  bool running;
  struct bd_id runner;
  bool ran;
  bool refused; /* Somebody was told that it did not run. */
};

struct history
{
  GRand *rand;
  struct bd_custody *custody;
  struct naive_custody *naive;
  struct key_facts keys[KEYS];
  int64_t now_ms;
  int64_t wall_ms;
};

static int
below (struct history *h, int bound)
{
  return g_rand_int_range (h->rand, 0, bound);
}

static void
key_facts_init (struct history *h, int i)
{
  struct key_facts *k = &h->keys[i];
  struct bd_custody_claim *c = &k->claim;

  c->key = key_of (i);
  c->origin = (enum bd_key_origin)below (h, 3);
  c->incarnation = INCARNATION - (below (h, 4) == 0);
  c->key_wall_ms = STARTED_MS - 100 + below (h, 800);
  c->expires_wall_ms = STARTED_MS + below (h, 2000);
  c->fingerprint = (uint64_t)below (h, 2);
  c->retry_window_ms = below (h, 20) == 0 ? 0 : 1 + below (h, 400);
  k->hand_over = (struct bd_hand_over){ .key = c->key,
                                        .fingerprint = c->fingerprint,
                                        .successor_incarnation
                                        = INCARNATION - (below (h, 4) == 0),
                                        .from_incarnation = 9,
                                        .hops = (uint32_t)below (h, 4),
                                        .expires_wall_ms
                                        = STARTED_MS + below (h, 1000) };
  if (below (h, 3) == 0)
    {
      c->hand_over = &k->hand_over;
      c->incarnation = INCARNATION - 1;
    }
}

static void
assert_chunk (struct bd_chunk a, struct bd_chunk b)
{
  g_assert_cmpmem (a.data, a.length, b.data, b.length);
}

static void
random_claim (struct history *h, struct key_facts *k)
{
  struct bd_custody_claim c = k->claim;
  struct bd_custody_answer a;
  struct bd_custody_answer b;

  c.request = request_of (below (h, 11));
  if (below (h, 16) == 0)
    c.fingerprint ^= 1;
  if (below (h, 16) == 0 && c.origin == BD_KEY_ISSUED)
    c.hand_over = NULL;
  bd_custody_claim (h->custody, h->now_ms, h->wall_ms, &c, &a);
  naive_custody_claim (h->naive, h->now_ms, h->wall_ms, &c, &b);
  g_assert_cmpint (a.verdict, ==, b.verdict);
  g_assert_cmpint (a.error, ==, b.error);
  g_assert_cmpint (a.ran, ==, b.ran);
  g_assert_cmpint (a.status, ==, b.status);
  g_assert_true (bd_id_equal (a.running, b.running));
  assert_chunk (a.recorded, b.recorded);
  assert_chunk (a.content_type, b.content_type);
  assert_chunk (a.successor, b.successor);
  if (a.verdict == BD_CUSTODY_REFUSE && a.ran == BD_RAN_NO
      && a.error != BD_ERR_KEY_MISMATCH)
    {
      k->refused = true;
      g_assert_false (k->ran);
    }
}

static void
random_start (struct history *h, struct key_facts *k)
{
  struct bd_id request = request_of (below (h, 11));
  bool a = bd_custody_start (h->custody, h->now_ms, k->claim.key, request);
  bool b = naive_custody_start (h->naive, h->now_ms, k->claim.key, request);

  g_assert_cmpint (a, ==, b);
  if (!a)
    return;
  k->running = true;
  k->runner = request;
  if (k->claim.origin == BD_KEY_OPAQUE)
    return;
  g_assert_false (k->ran);
  g_assert_false (k->refused);
  k->ran = true;
}

static void
random_not_sent (struct history *h, struct key_facts *k)
{
  struct bd_id request = request_of (below (h, 11));
  bool before
      = bd_custody_start (h->custody, h->now_ms, k->claim.key, request);

  g_assert_cmpint (
      before, ==,
      naive_custody_start (h->naive, h->now_ms, k->claim.key, request));
  if (before)
    g_assert_false (k->claim.origin != BD_KEY_OPAQUE
                    && (k->ran || k->refused));
  bd_custody_not_sent (h->custody, h->now_ms, k->claim.key, request);
  naive_custody_not_sent (h->naive, k->claim.key, request);
  if (!before && k->running && bd_id_equal (k->runner, request))
    k->ran = k->running = false;
}

static void
random_withdraw (struct history *h, struct key_facts *k)
{
  struct bd_id request = request_of (below (h, 11));
  int a = bd_custody_withdraw (h->custody, h->now_ms, k->claim.key, request);

  g_assert_cmpint (a, ==,
                   naive_custody_withdraw (h->naive, k->claim.key, request));
  if (a == BD_OK && k->claim.origin != BD_KEY_OPAQUE)
    {
      g_assert_false (k->ran);
      k->refused = true;
    }
}

static void
random_hand_over (struct history *h, struct key_facts *k)
{
  uint64_t incarnation
      = below (h, 4) == 0 ? INCARNATION : (uint64_t)below (h, 12);
  struct bd_chunk name = { "successor", (size_t)below (h, 10) };
  const struct bd_hand_over *x;
  const struct bd_hand_over *y;

  g_assert_cmpint (bd_custody_hand_over (h->custody, h->now_ms, h->wall_ms,
                                         k->claim.key, name, incarnation, &x),
                   ==,
                   naive_custody_hand_over (h->naive, h->now_ms, h->wall_ms,
                                            k->claim.key, name, incarnation,
                                            &y));
  g_assert_true (!x == !y);
  if (x)
    g_assert_cmpmem (x, sizeof *x, y, sizeof *y);
}

static void
random_finish (struct history *h, struct key_facts *k)
{
  struct bd_chunk answer = { "0123456789abcdef", (size_t)below (h, 16) };
  struct bd_chunk type = { "text/plain", (size_t)below (h, 6) };
  int error = below (h, 3) == 0 ? BD_ERR_ENGINE : BD_OK;

  bd_custody_finish (h->custody, h->now_ms, k->claim.key, error, 200, type,
                     answer);
  naive_custody_finish (h->naive, h->now_ms, k->claim.key, error, 200, type,
                        answer);
  k->running = false;
}

static void
random_time (struct history *h)
{
  int step = below (h, 200);

  h->now_ms += step;
  h->wall_ms += below (h, 6) == 0 ? 400 - below (h, 800) : step;
  if (below (h, 2) == 0)
    {
      bd_custody_tick (h->custody, h->now_ms);
      naive_custody_tick (h->naive, h->now_ms);
    }
  if (below (h, 10) == 0)
    {
      bd_custody_home_since (h->custody, h->wall_ms);
      h->naive->home_wall_ms = MAX (h->naive->home_wall_ms, h->wall_ms);
    }
  if (below (h, 2) == 0)
    {
      bd_custody_confirm (h->custody, h->now_ms);
      h->naive->confirmed_ms = h->now_ms;
    }
}

static void
random_op (struct history *h)
{
  struct key_facts *k = &h->keys[below (h, KEYS)];
  int pick = below (h, 16);

  if (pick < 6)
    random_claim (h, k);
  else if (pick < 9)
    random_start (h, k);
  else if (pick < 11)
    random_withdraw (h, k);
  else if (pick < 12)
    random_hand_over (h, k);
  else if (pick < 14)
    random_finish (h, k);
  else if (pick < 15)
    random_time (h);
  else
    random_not_sent (h, k);
  g_assert_cmpuint (bd_custody_count (h->custody), ==,
                    naive_custody_count (h->naive));
}

static void
test_histories (void)
{
  struct bd_custody_settings s = settings;

  for (guint32 seed = 0; seed < HISTORIES; seed++)
    {
      struct history h
          = { .rand = g_rand_new_with_seed (seed), .wall_ms = STARTED_MS };

      s.max_records = (uint32_t)(1 + below (&h, 5));
      s.confirm_window_ms = below (&h, 2) == 0 ? 0 : 150;
      h.custody = bd_custody_create (&s);
      h.naive = naive_custody_create (&s);
      for (int i = 0; i < KEYS; i++)
        key_facts_init (&h, i);
      for (int i = 0; i < OPS; i++)
        random_op (&h);
      bd_custody_destroy (h.custody);
      naive_custody_destroy (h.naive);
      g_rand_free (h.rand);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *path = g_strdup_printf ("/custody/case/%s", cases[i].name);

      g_test_add_data_func (path, &cases[i], test_fault_case);
      g_free (path);
    }
  g_test_add_func ("/custody/confirmation", test_confirmation);
  g_test_add_func ("/custody/mismatch", test_mismatch);
  g_test_add_func ("/custody/waiters-are-bounded", test_waiters_are_bounded);
  g_test_add_func ("/custody/histories", test_histories);
  return g_test_run ();
}
