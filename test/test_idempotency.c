#include "common/string.h"
#include "idempotency/idempotency.h"

#include <glib.h>
#include <string.h>

#define INCARNATION 100
#define STARTED_MS 1000000
#define SKEW_MS INT64_C (50)
#define WINDOW_MS 1000
#define CONFIRM_MS 200

/* Operation of one step of a case. */
enum op
{
  END = 0,
  CLAIM, /* ARG depends on the key's kind; expects a verdict or an error. */
  START, /* Expects 0 or 1. */
  WITHDRAW,
  FINISH,           /* ARG: error. */
  FINISH_TOO_LARGE, /* Finishes with an answer that is too large to store. */
  NOT_SENT,
  HAND_OVER,        /* ARG: incarnation of the successor. */
  EXPECT_SUCCESSOR, /* The last claim named successor ARG. */
  ADVANCE,          /* Advances both clocks by ARG, then ticks. */
  ADVANCE_WALL,     /* Advances the wall clock by ARG. */
  ADVANCE_NO_TICK,  /* Advances both clocks by ARG without a tick. */
  BECOME_HOME,      /* This sidecar becomes home runner. */
  CONFIRM,          /* Confirms the configuration. */
  EXPECT_RAN        /* The last refusal's ran is ARG. */
};

enum kind
{
  OPAQUE = 0,
  TIMED,                /* Created ARG after the start. */
  ISSUED,               /* Expires ARG after the start. */
  ISSUED_ELSEWHERE,     /* Issued to another incarnation. */
  HANDED_OVER,          /* With a handover that expires ARG after the start. */
  HANDED_OVER_TWICE,    /* The same, with a second handover. */
  HANDED_OVER_ELSEWHERE /* With a handover to another incarnation. */
};

struct step
{
  enum op op;
  int request;
  int key; /* Number of the key. */
  enum kind kind;
  int64_t arg;
  int expected;
};

struct fault_case
{
  const char *name;
  struct step steps[16];
};

/* Steps: claim, start, withdraw, other operations, handover.  All times are
   relative to STARTED_MS, where the clocks start. */
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
    HAND_OVER, 1, 0, OPAQUE, incarnation, expected                            \
  }
#define RUN BD_IDEMPOTENCY_RUN
#define JOIN BD_IDEMPOTENCY_JOIN
#define REPLAY BD_IDEMPOTENCY_REPLAY
#define UNKNOWN BD_ERR_OUTCOME_UNKNOWN

static const struct fault_case cases[] = {
  { "once-then-replay",
    { C (1, 0, ISSUED, 500, RUN), C (1, 0, ISSUED, 500, JOIN), S (1, 1),
      S (1, 0), C (2, 0, ISSUED, 500, JOIN), S (2, 0), DO (FINISH, 0),
      C (3, 0, ISSUED, 500, REPLAY), S (3, 0) } },
  { "withdrawn-never-runs",
    { C (1, 0, ISSUED, 500, RUN), W (1, BD_OK), S (1, 0),
      C (2, 0, ISSUED, 500, BD_ERR_KEY_ENDED), DO (EXPECT_RAN, BD_RAN_NO),
      S (2, 0), W (2, BD_OK) } },
  { "withdrawn-while-another-waits",
    { C (1, 0, ISSUED, 500, RUN), C (2, 0, ISSUED, 500, JOIN), W (1, UNKNOWN),
      W (1, UNKNOWN), S (2, 1), W (2, UNKNOWN) } },
  { "withdrawn-item-runs-for-the-waiter",
    { C (1, 0, ISSUED, 500, RUN), C (2, 0, ISSUED, 500, JOIN), W (1, UNKNOWN),
      S (1, 1), S (2, 0) } },
  { "last-waiter-ends-the-key",
    { C (1, 0, ISSUED, 500, RUN), C (2, 0, ISSUED, 500, JOIN), W (2, UNKNOWN),
      W (1, BD_OK), S (1, 0), S (2, 0) } },
  { "withdrawn-after-start",
    { C (1, 0, ISSUED, 500, RUN), S (1, 1), W (1, UNKNOWN) } },
  { "withdrawn-without-claim",
    { W (1, UNKNOWN), C (1, 0, ISSUED, 500, RUN), W (2, UNKNOWN), S (2, 0),
      S (1, 1) } },
  { "other-incarnation",
    { C (1, 0, ISSUED_ELSEWHERE, 500, UNKNOWN),
      DO (EXPECT_RAN, BD_RAN_UNKNOWN), S (1, 0) } },
  { "token-expired",
    { DO (ADVANCE, 500), C (1, 0, ISSUED, 500, BD_ERR_KEY_EXPIRED),
      DO (EXPECT_RAN, BD_RAN_UNKNOWN) } },
  { "token-replayed-after-its-record-and-a-clock-set-back",
    { C (1, 0, ISSUED, 500, RUN), S (1, 1), DO (FINISH, 0), DO (ADVANCE, 1100),
      DO (ADVANCE_WALL, -1050), C (2, 0, ISSUED, 500, BD_ERR_KEY_EXPIRED),
      C (3, 1, ISSUED, 501, RUN) } },
  { "record-outlives-the-window-until-the-token-expires",
    { C (1, 0, ISSUED, 9000, RUN), S (1, 1), DO (FINISH, 0),
      DO (ADVANCE, 8900), C (2, 0, ISSUED, 9000, REPLAY) } },
  { "running-is-never-dropped",
    { C (1, 0, ISSUED, 500, RUN), S (1, 1), DO (ADVANCE, 90000),
      C (2, 0, ISSUED, 500, JOIN), DO (FINISH, 0), DO (ADVANCE, 999),
      C (3, 0, ISSUED, 500, REPLAY) } },
  { "engine-failed",
    { C (1, 0, ISSUED, 500, RUN), S (1, 1), DO (FINISH, BD_ERR_ENGINE),
      C (2, 0, ISSUED, 500, UNKNOWN), DO (EXPECT_RAN, BD_RAN_UNKNOWN),
      S (1, 0) } },
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
    { C (1, 0, ISSUED, 500, RUN), S (1, 1), DO (FINISH_TOO_LARGE, 0),
      C (2, 0, ISSUED, 500, BD_ERR_ALREADY_RAN),
      DO (EXPECT_RAN, BD_RAN_YES) } },
  { "answer-not-kept",
    { C (1, 0, ISSUED, 500, RUN), S (1, 1), DO (FINISH, BD_ERR_ALREADY_RAN),
      C (2, 0, ISSUED, 500, BD_ERR_ALREADY_RAN),
      DO (EXPECT_RAN, BD_RAN_YES) } },
  { "full-refuses-the-new-and-keeps-the-old",
    { C (1, 0, ISSUED, 500, RUN), S (1, 1), DO (FINISH, 0),
      C (2, 1, ISSUED, 600, RUN), C (3, 2, ISSUED, 600, BD_ERR_FULL),
      DO (EXPECT_RAN, BD_RAN_UNKNOWN), C (4, 0, ISSUED, 500, REPLAY),
      DO (ADVANCE, 1050), C (5, 2, ISSUED, 1500, RUN) } },
  { "timed-before-the-start", { C (1, 0, TIMED, -1, UNKNOWN) } },
  { "timed-within-twice-the-skew",
    { DO (ADVANCE, 500), C (1, 0, TIMED, 2 * SKEW_MS, UNKNOWN),
      DO (EXPECT_RAN, BD_RAN_UNKNOWN), C (1, 0, TIMED, 2 * SKEW_MS + 1, RUN),
      S (1, 1) } },
  { "timed-in-the-future",
    { DO (ADVANCE, 500), C (1, 0, TIMED, 501 + SKEW_MS, BD_ERR_KEY_INVALID),
      DO (EXPECT_RAN, BD_RAN_UNKNOWN), C (1, 0, TIMED, 500 + SKEW_MS, RUN) } },
  { "timed-before-the-change-of-home",
    { DO (ADVANCE, 500), DO (BECOME_HOME, 0), DO (ADVANCE, 300),
      C (1, 0, TIMED, 500 + 2 * SKEW_MS, UNKNOWN),
      C (2, 1, TIMED, 501 + 2 * SKEW_MS, RUN) } },
  { "timed-replayed-after-its-record",
    { DO (ADVANCE, 500), C (1, 0, TIMED, 400, RUN), S (1, 1), DO (FINISH, 0),
      DO (ADVANCE, 1050), C (2, 0, TIMED, 400, UNKNOWN),
      C (3, 1, TIMED, 401, RUN) } },
  { "opaque-within-the-window-of-the-start",
    { DO (ADVANCE, WINDOW_MS), C (1, 0, OPAQUE, 0, UNKNOWN), DO (ADVANCE, 1),
      C (1, 0, OPAQUE, 0, RUN) } },
  { "opaque-within-the-window-of-the-home",
    { DO (ADVANCE, 1500), DO (BECOME_HOME, 0), DO (ADVANCE, WINDOW_MS),
      C (1, 0, OPAQUE, 0, UNKNOWN), DO (ADVANCE, 1),
      C (1, 0, OPAQUE, 0, RUN) } },
  { "paused-past-the-window-does-not-start",
    { C (1, 0, ISSUED, 9000, RUN), DO (ADVANCE_NO_TICK, WINDOW_MS), S (1, 0),
      H (7, BD_ERR_KEY_EXPIRED), W (1, BD_OK) } },
  { "handed-over-to-one",
    { C (1, 0, ISSUED, 500, RUN), C (2, 0, ISSUED, 500, JOIN), H (7, BD_OK),
      H (8, BD_OK), C (3, 0, ISSUED, 500, BD_ERR_STALE),
      DO (EXPECT_RAN, BD_RAN_UNKNOWN), DO (EXPECT_SUCCESSOR, 7), S (1, 0),
      S (2, 0), W (1, UNKNOWN), W (2, UNKNOWN) } },
  { "handed-over-to-itself",
    { C (1, 0, ISSUED, 500, RUN), H (INCARNATION, BD_ERR_INVALID), S (1, 1),
      H (7, UNKNOWN), DO (FINISH, 0), H (7, BD_ERR_ALREADY_RAN) } },
  { "ended-is-not-handed-over",
    { C (1, 0, ISSUED, 500, RUN), W (1, BD_OK), H (7, BD_ERR_KEY_ENDED) } },
  { "received-runs-once",
    { C (1, 0, ISSUED_ELSEWHERE, 500, UNKNOWN),
      C (1, 0, HANDED_OVER, 500, RUN), C (2, 0, HANDED_OVER, 500, JOIN),
      S (1, 1), DO (FINISH, 0), C (3, 0, HANDED_OVER, 500, REPLAY) } },
  { "received-names-another-incarnation",
    { C (1, 0, HANDED_OVER_ELSEWHERE, 500, UNKNOWN), S (1, 0) } },
  { "received-expired",
    { DO (ADVANCE, 500), C (1, 0, HANDED_OVER, 500, BD_ERR_KEY_EXPIRED) } },
  { "received-starts-before-it-expires",
    { C (1, 0, HANDED_OVER, 500, RUN), DO (ADVANCE_NO_TICK, 500), S (1, 0) } },
  { "received-replayed-after-its-record-and-a-clock-set-back",
    { C (1, 0, HANDED_OVER, 500, RUN), S (1, 1), DO (FINISH, 0),
      DO (ADVANCE, 1100), DO (ADVANCE_WALL, -1050),
      C (2, 0, HANDED_OVER, 500, BD_ERR_KEY_EXPIRED) } },
  { "received-is-not-sent-back",
    { C (1, 0, HANDED_OVER, 500, RUN), H (9, BD_ERR_INVALID), H (7, BD_OK) } },
  { "hops-are-bounded",
    { C (1, 0, HANDED_OVER_TWICE, 500, RUN), H (7, BD_ERR_FULL) } },
};

struct fixture
{
  struct bd_idempotency *idempotency;
  int64_t now_ms;
  int64_t wall_ms;
  struct bd_idempotency_answer last;
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
claim_step (struct fixture *f, const struct step *s)
{
  struct bd_handover h = { .key = key_of (s->key),
                           .fingerprint = 5,
                           .successor = "me",
                           .successor_incarnation = INCARNATION,
                           .from_incarnation = 9,
                           .hops = s->kind == HANDED_OVER_TWICE ? 2 : 1,
                           .expires_wall_ms = STARTED_MS + s->arg };
  struct bd_idempotency_claim c = { .key = key_of (s->key),
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
    c.origin = BD_KEY_TIME_ORDERED;
  if (s->kind >= ISSUED_ELSEWHERE)
    c.incarnation = INCARNATION - 1;
  if (s->kind == HANDED_OVER_ELSEWHERE)
    h.successor_incarnation = INCARNATION - 1;
  if (s->kind >= HANDED_OVER)
    c.received_handover = &h;
  bd_idempotency_claim (f->idempotency, f->now_ms, f->wall_ms, &c, &f->last);
  return f->last.verdict == BD_IDEMPOTENCY_REFUSE ? f->last.error
                                                  : (int)f->last.verdict;
}

static int
finish_step (struct fixture *f, const struct step *s)
{
  static const char big[100];
  struct bd_chunk answer = s->op == FINISH_TOO_LARGE
                               ? (struct bd_chunk){ big, sizeof big }
                               : BD_CHUNK ("done");

  bd_idempotency_finish (f->idempotency, f->now_ms, key_of (s->key),
                         (int)s->arg, 200, BD_CHUNK ("text"), answer);
  return 0;
}

static int
hand_over_step (struct fixture *f, const struct step *s)
{
  const struct bd_handover *h;
  int rc = bd_idempotency_hand_over (f->idempotency, f->now_ms, f->wall_ms,
                                     key_of (s->key), BD_CHUNK ("other"),
                                     (uint64_t)s->arg, &h);

  g_assert_true ((rc == BD_OK) == (h != NULL));
  return rc;
}

static int
clock_step (struct fixture *f, const struct step *s)
{
  f->wall_ms += s->arg;
  if (s->op != ADVANCE_WALL)
    f->now_ms += s->arg;
  if (s->op == ADVANCE)
    bd_idempotency_tick (f->idempotency, f->now_ms);
  return 0;
}

static int
run_step (struct fixture *f, const struct step *s)
{
  switch (s->op)
    {
    case CLAIM:
      return claim_step (f, s);
    case START:
      return bd_idempotency_start (f->idempotency, f->now_ms, key_of (s->key),
                                   request_of (s->request));
    case WITHDRAW:
      return bd_idempotency_withdraw (
          f->idempotency, f->now_ms, key_of (s->key), request_of (s->request));
    case FINISH:
    case FINISH_TOO_LARGE:
      return finish_step (f, s);
    case NOT_SENT:
      bd_idempotency_undo_start (f->idempotency, f->now_ms, key_of (s->key),
                                 request_of (s->request));
      return 0;
    case HAND_OVER:
      return hand_over_step (f, s);
    case EXPECT_SUCCESSOR:
      g_assert_cmpuint (f->last.issued_handover->successor_incarnation, ==,
                        s->arg);
      g_assert_cmpuint (f->last.issued_handover->from_incarnation, ==,
                        INCARNATION);
      return 0;
    case EXPECT_RAN:
      g_assert_cmpint (f->last.ran, ==, s->arg);
      return 0;
    case BECOME_HOME:
      bd_idempotency_set_home_since (f->idempotency, f->wall_ms);
      return 0;
    case CONFIRM:
      bd_idempotency_confirm_configuration (f->idempotency, f->now_ms);
      return 0;
    default:
      return clock_step (f, s);
    }
}

static void
run_case (const struct fault_case *c,
          const struct bd_idempotency_settings *settings)
{
  struct fixture f = { .idempotency = bd_idempotency_create (settings),
                       .now_ms = 0,
                       .wall_ms = STARTED_MS };

  for (const struct step *s = c->steps; s->op != END; s++)
    {
      int got = run_step (&f, s);

      if (got != s->expected)
        g_error ("%s, step %d: expected %d, got %d", c->name,
                 (int)(s - c->steps) + 1, s->expected, got);
    }
  bd_idempotency_destroy (f.idempotency);
}

static const struct bd_idempotency_settings settings
    = { .incarnation = INCARNATION,
        .started_wall_ms = STARTED_MS,
        .clock_skew_ms = SKEW_MS,
        .max_records = 2,
        .max_answer_bytes = 20 };

static void
test_fault_case (gconstpointer data)
{
  run_case (data, &settings);
}

/* Callers' own keys need a recently confirmed configuration. */
static void
test_confirmation (void)
{
  static const struct fault_case own
      = { "confirmation",
          { DO (ADVANCE, 5000), C (1, 0, OPAQUE, 0, UNKNOWN), DO (CONFIRM, 0),
            C (1, 0, OPAQUE, 0, RUN), DO (ADVANCE, CONFIRM_MS),
            C (2, 1, TIMED, 5000, RUN), DO (ADVANCE, 1),
            C (3, 2, TIMED, 5150, UNKNOWN), C (4, 1, TIMED, 5000, JOIN),
            DO (BECOME_HOME, 0), DO (ADVANCE, 500), DO (CONFIRM, 0),
            C (5, 3, TIMED, 5201 + 300, UNKNOWN),
            C (6, 3, ISSUED, 9999, BD_ERR_FULL) } };
  struct bd_idempotency_settings s = settings;

  s.confirm_window_ms = CONFIRM_MS;
  run_case (&own, &s);
}

static void
test_mismatch (void)
{
  struct fixture f = { .idempotency = bd_idempotency_create (&settings),
                       .wall_ms = STARTED_MS };
  struct bd_handover h = { .key = key_of (1), .fingerprint = 1 };
  struct bd_idempotency_claim c = { .incarnation = INCARNATION,
                                    .expires_wall_ms = STARTED_MS + 1,
                                    .fingerprint = 1,
                                    .request = request_of (1),
                                    .retry_window_ms = WINDOW_MS };

  bd_idempotency_claim (f.idempotency, 0, f.wall_ms, &c, &f.last);
  g_assert_cmpint (f.last.verdict, ==, BD_IDEMPOTENCY_RUN);
  c.fingerprint = 2;
  bd_idempotency_claim (f.idempotency, 0, f.wall_ms, &c, &f.last);
  g_assert_cmpint (f.last.error, ==, BD_ERR_KEY_MISMATCH);
  c.fingerprint = 1;
  c.received_handover = &h;
  bd_idempotency_claim (f.idempotency, 0, f.wall_ms, &c, &f.last);
  g_assert_cmpint (f.last.error, ==, BD_ERR_KEY_MISMATCH);
  g_assert_cmpint (f.last.ran, ==, BD_RAN_UNKNOWN);
  bd_idempotency_destroy (f.idempotency);
}

static void
test_waiters_are_bounded (void)
{
  struct fixture f = { .idempotency = bd_idempotency_create (&settings),
                       .wall_ms = STARTED_MS };

  for (int i = 0; i <= BD_IDEMPOTENCY_MAX_WAITERS; i++)
    {
      struct step s = C (i, 0, ISSUED, 500, 0);
      int expected = i == 0 ? RUN : JOIN;

      if (i == BD_IDEMPOTENCY_MAX_WAITERS)
        expected = UNKNOWN;
      g_assert_cmpint (claim_step (&f, &s), ==, expected);
    }
  bd_idempotency_destroy (f.idempotency);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *path = g_strdup_printf ("/idempotency/case/%s", cases[i].name);

      g_test_add_data_func (path, &cases[i], test_fault_case);
      g_free (path);
    }
  g_test_add_func ("/idempotency/confirmation", test_confirmation);
  g_test_add_func ("/idempotency/mismatch", test_mismatch);
  g_test_add_func ("/idempotency/waiters-are-bounded",
                   test_waiters_are_bounded);
  return g_test_run ();
}
