/*
 * Runs random operations against idempotency.c and the reference
 * implementation and compares the results.  Whatever the clocks do, a key
 * starts at most once unless it was reported as not sent, and never after a
 * refusal that reported that it did not run.
 */
#include "common/string.h"
#include "idempotency/idempotency.h"
#include "naive_idempotency.h"

#include <glib.h>
#include <string.h>

#define INCARNATION 100
#define STARTED_MS 1000000
#define KEYS 6
#define HISTORIES 100000
#define OPS 60

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

struct key_state
{
  struct bd_idempotency_claim claim;
  struct bd_handover handover;
  bool running;
  struct bd_id run_request;
  bool ran;
  bool billed;
  uint32_t tokens;
  bool reported_not_run; /* A request was told that the key did not run. */
};

struct history
{
  GRand *rand;
  struct bd_idempotency *idempotency;
  struct naive_idempotency *naive;
  struct key_state keys[KEYS];
  int64_t now_ms;
  int64_t wall_ms;
};

static int
random_below (struct history *h, int bound)
{
  return g_rand_int_range (h->rand, 0, bound);
}

static void
key_state_init (struct history *h, int i)
{
  struct key_state *k = &h->keys[i];
  struct bd_idempotency_claim *c = &k->claim;

  c->key = key_of (i);
  c->origin = (enum bd_key_origin)random_below (h, 3);
  c->incarnation = INCARNATION - (random_below (h, 4) == 0);
  c->key_wall_ms = STARTED_MS - 100 + random_below (h, 800);
  c->expires_wall_ms = STARTED_MS + random_below (h, 2000);
  c->fingerprint = (uint64_t)random_below (h, 2);
  c->retry_window_ms
      = random_below (h, 20) == 0 ? 0 : 1 + random_below (h, 400);
  k->handover = (struct bd_handover){
    .key = c->key,
    .fingerprint = c->fingerprint,
    .successor_incarnation = INCARNATION - (random_below (h, 4) == 0),
    .from_incarnation = 9,
    .hops = (uint32_t)random_below (h, 4),
    .expires_wall_ms = STARTED_MS + random_below (h, 1000)
  };
  if (random_below (h, 3) == 0)
    {
      c->received_handover = &k->handover;
      c->incarnation = INCARNATION - 1;
    }
}

static void
assert_chunk (struct bd_chunk a, struct bd_chunk b)
{
  g_assert_cmpmem (a.data, a.length, b.data, b.length);
}

static void
random_claim (struct history *h, struct key_state *k)
{
  struct bd_idempotency_claim c = k->claim;
  struct bd_idempotency_answer a;
  struct bd_idempotency_answer b;

  c.request = request_of (random_below (h, 11));
  if (random_below (h, 16) == 0)
    c.fingerprint ^= 1;
  if (random_below (h, 16) == 0 && c.origin == BD_KEY_ISSUED)
    c.received_handover = NULL;
  bd_idempotency_claim (h->idempotency, h->now_ms, h->wall_ms, &c, &a);
  naive_idempotency_claim (h->naive, h->now_ms, h->wall_ms, &c, &b);
  g_assert_cmpint (a.verdict, ==, b.verdict);
  g_assert_cmpint (a.error, ==, b.error);
  g_assert_cmpint (a.ran, ==, b.ran);
  g_assert_cmpint (a.status, ==, b.status);
  g_assert_true (bd_id_equal (a.running, b.running));
  assert_chunk (a.recorded, b.recorded);
  assert_chunk (a.content_type, b.content_type);
  assert_chunk (a.successor, b.successor);
  if (a.verdict == BD_IDEMPOTENCY_REFUSE && a.ran == BD_RAN_NO
      && a.error != BD_ERR_KEY_MISMATCH)
    {
      k->reported_not_run = true;
      g_assert_false (k->ran);
    }
}

static void
random_start (struct history *h, struct key_state *k)
{
  struct bd_id request = request_of (random_below (h, 11));
  bool a = bd_idempotency_start (h->idempotency, h->now_ms, k->claim.key,
                                 request);
  bool b
      = naive_idempotency_start (h->naive, h->now_ms, k->claim.key, request);

  g_assert_cmpint (a, ==, b);
  if (!a)
    return;
  k->running = true;
  k->run_request = request;
  if (k->claim.origin == BD_KEY_OPAQUE)
    return;
  g_assert_false (k->ran);
  g_assert_false (k->reported_not_run);
  k->ran = true;
}

static void
random_undo_start (struct history *h, struct key_state *k)
{
  struct bd_id request = request_of (random_below (h, 11));
  bool before = bd_idempotency_start (h->idempotency, h->now_ms, k->claim.key,
                                      request);

  g_assert_cmpint (
      before, ==,
      naive_idempotency_start (h->naive, h->now_ms, k->claim.key, request));
  if (before)
    g_assert_false (k->claim.origin != BD_KEY_OPAQUE
                    && (k->ran || k->reported_not_run));
  bd_idempotency_undo_start (h->idempotency, h->now_ms, k->claim.key, request);
  naive_idempotency_undo_start (h->naive, k->claim.key, request);
  if (!before && k->running && bd_id_equal (k->run_request, request))
    k->ran = k->running = false;
}

static void
random_withdraw (struct history *h, struct key_state *k)
{
  struct bd_id request = request_of (random_below (h, 11));
  int a = bd_idempotency_withdraw (h->idempotency, h->now_ms, k->claim.key,
                                   request);

  g_assert_cmpint (
      a, ==, naive_idempotency_withdraw (h->naive, k->claim.key, request));
  if (a == BD_OK && k->claim.origin != BD_KEY_OPAQUE)
    {
      g_assert_false (k->ran);
      k->reported_not_run = true;
    }
}

static void
random_handover (struct history *h, struct key_state *k)
{
  uint64_t incarnation = random_below (h, 4) == 0
                             ? INCARNATION
                             : (uint64_t)random_below (h, 12);
  struct bd_chunk name = { "successor", (size_t)random_below (h, 10) };
  const struct bd_handover *x;
  const struct bd_handover *y;

  g_assert_cmpint (
      bd_idempotency_hand_over (h->idempotency, h->now_ms, h->wall_ms,
                                k->claim.key, name, incarnation, &x),
      ==,
      naive_idempotency_hand_over (h->naive, h->now_ms, h->wall_ms,
                                   k->claim.key, name, incarnation, &y));
  g_assert_true (!x == !y);
  if (x)
    g_assert_cmpmem (x, sizeof *x, y, sizeof *y);
}

static void
random_finish (struct history *h, struct key_state *k)
{
  struct bd_chunk answer
      = { "0123456789abcdef", (size_t)random_below (h, 16) };
  struct bd_chunk type = { "text/plain", (size_t)random_below (h, 6) };
  static const int errors[]
      = { BD_OK, BD_OK, BD_ERR_ENGINE, BD_ERR_ALREADY_RAN };
  int error = errors[random_below (h, G_N_ELEMENTS (errors))];
  uint32_t tokens = (uint32_t)random_below (h, 9);

  if (k->running)
    k->tokens = tokens;
  bd_idempotency_set_tokens (h->idempotency, k->claim.key, tokens);
  bd_idempotency_finish (h->idempotency, h->now_ms, k->claim.key, error, 200,
                         type, answer);
  naive_idempotency_finish (h->naive, h->now_ms, k->claim.key, error, 200,
                            type, answer);
  k->running = false;
}

/* Checks that a key is billed once, for the tokens of its run. */
static void
random_bill (struct history *h, struct key_state *k)
{
  uint32_t tokens = 0;
  bool first
      = bd_idempotency_bill_once (h->idempotency, k->claim.key, &tokens);

  g_assert_cmpint (first, ==,
                   naive_idempotency_bill_once (h->naive, k->claim.key));
  if (!first)
    return;
  g_assert_cmpuint (tokens, ==, k->tokens);
  g_assert_false (k->billed && k->claim.origin != BD_KEY_OPAQUE);
  k->billed = true;
}

static void
random_time (struct history *h)
{
  int step = random_below (h, 200);

  h->now_ms += step;
  h->wall_ms += random_below (h, 6) == 0 ? 400 - random_below (h, 800) : step;
  if (random_below (h, 2) == 0)
    {
      bd_idempotency_tick (h->idempotency, h->now_ms);
      naive_idempotency_tick (h->naive, h->now_ms);
    }
  if (random_below (h, 10) == 0)
    {
      bd_idempotency_set_home_since (h->idempotency, h->wall_ms);
      h->naive->home_since_wall_ms
          = MAX (h->naive->home_since_wall_ms, h->wall_ms);
    }
  if (random_below (h, 2) == 0)
    {
      bd_idempotency_confirm_configuration (h->idempotency, h->now_ms);
      h->naive->confirmed_ms = h->now_ms;
    }
}

static void
random_op (struct history *h)
{
  struct key_state *k = &h->keys[random_below (h, KEYS)];
  int pick = random_below (h, 17);

  if (pick < 6)
    random_claim (h, k);
  else if (pick < 9)
    random_start (h, k);
  else if (pick < 11)
    random_withdraw (h, k);
  else if (pick < 12)
    random_handover (h, k);
  else if (pick < 14)
    random_finish (h, k);
  else if (pick < 15)
    random_time (h);
  else if (pick < 16)
    random_bill (h, k);
  else
    random_undo_start (h, k);
  g_assert_cmpuint (bd_idempotency_count (h->idempotency), ==,
                    naive_idempotency_count (h->naive));
}

static void
test_histories (void)
{
  struct bd_idempotency_settings s = { .incarnation = INCARNATION,
                                       .started_wall_ms = STARTED_MS,
                                       .clock_skew_ms = 50,
                                       .max_answer_bytes = 20 };

  for (guint32 seed = 0; seed < HISTORIES; seed++)
    {
      struct history h
          = { .rand = g_rand_new_with_seed (seed), .wall_ms = STARTED_MS };

      s.max_records = (uint32_t)(1 + random_below (&h, 5));
      s.confirm_window_ms = random_below (&h, 2) == 0 ? 0 : 150;
      h.idempotency = bd_idempotency_create (&s);
      h.naive = naive_idempotency_create (&s);
      for (int i = 0; i < KEYS; i++)
        key_state_init (&h, i);
      for (int i = 0; i < OPS; i++)
        random_op (&h);
      bd_idempotency_destroy (h.idempotency);
      naive_idempotency_destroy (h.naive);
      g_rand_free (h.rand);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/idempotency-histories/naive", test_histories);
  return g_test_run ();
}
