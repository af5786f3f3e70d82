#include "common/string.h"
#include "stream/stream.h"
#include "naive_stream.h"

#include <glib.h>
#include <string.h>

static void
append_delivered (void *context, struct bd_chunk data)
{
  g_string_append_len (context, data.data, (gssize)data.length);
}

enum op
{
  STOP = 0,
  CHUNK,
  ENDED,
  ATTEMPT,
  RESUME,
  RETAIN
};

struct step
{
  enum op op;
  uint32_t attempt;
  uint64_t number; /* Sequence number, count, offset or bytes. */
  const char *text;
  int expected;
};

struct stream_case
{
  const char *name;
  struct step steps[12];
  const char *delivered;
  bool complete;
};

#define C(attempt, sequence, text, rc)                                        \
  {                                                                           \
    CHUNK, attempt, sequence, text, rc                                        \
  }
#define E(attempt, count, rc)                                                 \
  {                                                                           \
    ENDED, attempt, count, NULL, rc                                           \
  }
#define A(attempt)                                                            \
  {                                                                           \
    ATTEMPT, attempt, 0, NULL, 0                                              \
  }
#define R(attempt, offset, rc)                                                \
  {                                                                           \
    RESUME, attempt, offset, NULL, rc                                         \
  }
#define K(bytes)                                                              \
  {                                                                           \
    RETAIN, 0, bytes, NULL, 0                                                 \
  }

static const struct stream_case cases[] = {
  { "in-order",
    { A (1), C (1, 0, "ab", 0), C (1, 1, "cd", 0), E (1, 2, 0) },
    "abcd",
    true },
  { "reordered-duplicated-end-first",
    { A (1), E (1, 3, 0), C (1, 2, "ef", 0), C (1, 1, "cd", 0),
      C (1, 1, "cd", 0), C (1, 0, "ab", 0), C (1, 0, "ab", 0),
      C (1, 2, "ef", 0), E (1, 3, 0) },
    "abcdef",
    true },
  { "no-end", { A (1), C (1, 0, "ab", 0) }, "ab", false },
  { "chunk-missing",
    { A (1), C (1, 0, "ab", 0), C (1, 2, "ef", 0), E (1, 3, 0) },
    "ab",
    false },
  { "empty-answer", { A (1), E (1, 0, 0) }, "", true },
  { "no-attempt-yet", { C (1, 0, "ab", BD_ERR_STALE) }, "", false },
  { "late-attempt-is-dropped",
    { A (1), C (1, 1, "xx", 0), A (2), C (1, 0, "xx", BD_ERR_STALE),
      E (1, 2, BD_ERR_STALE), C (2, 0, "ab", 0), E (2, 1, 0) },
    "ab",
    true },
  { "buffered-chunk-of-the-former-attempt-is-dropped",
    { A (1), C (1, 1, "xx", 0), A (2), C (2, 0, "ab", 0), E (2, 2, 0) },
    "ab",
    false },
  { "restart-after-delivery-is-never-complete",
    { A (1), C (1, 0, "ab", 0), A (2), C (2, 0, "ab", BD_ERR_INCOMPLETE),
      E (2, 1, BD_ERR_INCOMPLETE) },
    "ab",
    false },
  { "chunk-after-the-end",
    { A (1), C (1, 0, "ab", 0), E (1, 1, 0), C (1, 1, "x", BD_ERR_PROTOCOL) },
    "ab",
    false },
  { "end-before-an-accepted-chunk",
    { A (1), C (1, 0, "ab", 0), C (1, 2, "x", 0), E (1, 2, BD_ERR_PROTOCOL),
      C (1, 1, "cd", BD_ERR_INCOMPLETE) },
    "ab",
    false },
  { "two-ends",
    { A (1), C (1, 0, "ab", 0), E (1, 2, 0), E (1, 1, BD_ERR_PROTOCOL) },
    "ab",
    false },
  { "beyond-the-window",
    { A (1), C (1, BD_STREAM_WINDOW_CHUNKS, "x", BD_ERR_FULL),
      C (1, BD_STREAM_WINDOW_CHUNKS - 1, "x", 0),
      C (1, UINT64_MAX, "x", BD_ERR_FULL) },
    "",
    false },
  { "resumed-where-it-was-cut",
    { A (1), C (1, 0, "ab", 0), R (2, 2, 0), C (1, 1, "xx", BD_ERR_STALE),
      C (2, 0, "cd", 0), E (2, 1, 0) },
    "abcd",
    true },
  { "resumed-from-the-start",
    { K (99), A (1), C (1, 0, "abc", 0), R (2, 0, 0), C (2, 1, "bcd", 0),
      C (2, 0, "a", 0), E (2, 2, 0) },
    "abcd",
    true },
  { "resumed-with-another-text",
    { K (99), A (1), C (1, 0, "abc", 0), R (2, 1, 0),
      C (2, 0, "bx", BD_ERR_INCOMPLETE), E (2, 1, BD_ERR_INCOMPLETE) },
    "abc",
    false },
  { "resumed-and-ended-before-the-cut",
    { K (99), A (1), C (1, 0, "abc", 0), R (2, 0, 0), C (2, 0, "ab", 0),
      E (2, 1, 0) },
    "abc",
    false },
  { "resumed-beyond-the-delivered-bytes",
    { A (1), C (1, 0, "ab", 0), R (2, 3, BD_ERR_INVALID), C (1, 1, "c", 0) },
    "abc",
    false },
  { "repeated-bytes-were-not-retained",
    { K (2), A (1), C (1, 0, "abc", 0), R (2, 1, BD_ERR_TOO_LARGE),
      R (3, 3, 0), C (3, 0, "d", 0), E (3, 1, 0) },
    "abcd",
    true },
  { "resumed-twice",
    { K (99), A (1), C (1, 0, "ab", 0), R (2, 1, 0), C (2, 0, "b", 0),
      C (2, 1, "cd", 0), R (3, 0, 0), C (3, 0, "abcd", 0), C (3, 1, "e", 0),
      E (3, 2, 0) },
    "abcde",
    true },
  { "resumed-after-it-broke",
    { A (1), C (1, 0, "ab", 0), E (1, 1, 0), E (1, 2, BD_ERR_PROTOCOL),
      R (2, 2, BD_ERR_INCOMPLETE) },
    "ab",
    false },
};

static int
run_step (struct bd_stream *stream, const struct step *s, GString *out)
{
  switch (s->op)
    {
    case CHUNK:
      return bd_stream_chunk (stream, s->attempt, s->number,
                              bd_chunk_of (s->text), append_delivered, out);
    case ENDED:
      return bd_stream_end (stream, s->attempt, s->number);
    case RESUME:
      return bd_stream_resume (stream, s->attempt, s->number);
    case RETAIN:
      bd_stream_set_retention (stream, s->number);
      return 0;
    default:
      bd_stream_restart (stream, s->attempt);
      return 0;
    }
}

static void
test_fault_case (gconstpointer data)
{
  const struct stream_case *c = data;
  struct bd_stream *stream = bd_stream_create ();
  GString *out = g_string_new ("");

  for (const struct step *s = c->steps; s->op != STOP; s++)
    {
      int got = run_step (stream, s, out);

      if (got != s->expected)
        g_error ("%s, step %d: expected %d, got %d", c->name,
                 (int)(s - c->steps) + 1, s->expected, got);
    }
  g_assert_cmpstr (out->str, ==, c->delivered);
  g_assert_cmpint (bd_stream_is_complete (stream), ==, c->complete);
  g_string_free (out, TRUE);
  bd_stream_destroy (stream);
}

static void
test_buffered_bytes_are_bounded (void)
{
  struct bd_stream *stream = bd_stream_create ();
  GString *out = g_string_new ("");
  char *half = g_malloc0 (BD_STREAM_WINDOW_BYTES / 2);
  struct bd_chunk data = { half, BD_STREAM_WINDOW_BYTES / 2 };

  bd_stream_restart (stream, 1);
  for (uint64_t i = 1; i <= 3; i++)
    g_assert_cmpint (
        bd_stream_chunk (stream, 1, i, data, append_delivered, out), ==,
        i < 3 ? BD_OK : BD_ERR_FULL);
  g_assert_cmpint (bd_stream_chunk (stream, 1, 0, data, append_delivered, out),
                   ==, BD_OK);
  g_assert_cmpuint (bd_stream_delivered (stream), ==, 3);
  g_assert_cmpint (bd_stream_chunk (stream, 1, 4, data, append_delivered, out),
                   ==, BD_OK);
  g_assert_cmpuint (out->len, ==, 3 * data.length);
  g_free (half);
  g_string_free (out, TRUE);
  bd_stream_destroy (stream);
}

static void
test_retained_text (void)
{
  struct bd_stream *stream = bd_stream_create ();
  GString *out = g_string_new ("");
  struct bd_chunk retained;

  bd_stream_set_retention (stream, 4);
  bd_stream_restart (stream, 1);
  bd_stream_chunk (stream, 1, 0, BD_CHUNK ("abcd"), append_delivered, out);
  g_assert_cmpint (bd_stream_retained (stream, &retained), ==, BD_OK);
  g_assert_cmpmem (retained.data, retained.length, "abcd", 4);
  bd_stream_chunk (stream, 1, 1, BD_CHUNK ("e"), append_delivered, out);
  g_assert_cmpint (bd_stream_retained (stream, &retained), ==,
                   BD_ERR_TOO_LARGE);
  g_assert_cmpmem (retained.data, retained.length, "abcd", 4);
  g_assert_cmpstr (out->str, ==, "abcde");
  g_string_free (out, TRUE);
  bd_stream_destroy (stream);
}

/* Random calls, compared with the naive implementation. */
#define HISTORIES 30000
#define OPS 60

struct history
{
  GRand *rand;
  struct bd_stream *stream;
  struct naive_stream *naive;
  GString *out;
};

static int
below (struct history *h, int bound)
{
  return g_rand_int_range (h->rand, 0, bound);
}

static void
random_op (struct history *h)
{
  uint32_t attempt = (uint32_t)below (h, 12) == 0 ? (uint32_t)below (h, 3)
                                                  : h->naive->attempt;
  uint64_t sequence = naive_stream_delivered (h->naive);
  struct bd_chunk data = { "aaabaa", (size_t)below (h, 4) };
  int pick = below (h, 40);

  data.data += below (h, 3);
  if (pick == 0)
    {
      bd_stream_restart (h->stream, attempt);
      naive_stream_restart (h->naive, attempt);
    }
  else if (pick < 4)
    {
      uint64_t offset = (uint64_t)below (h, (int)h->naive->out->len + 2);

      g_assert_cmpint (bd_stream_resume (h->stream, attempt, offset), ==,
                       naive_stream_resume (h->naive, attempt, offset));
    }
  else if (pick < 6)
    {
      sequence += (uint64_t)below (h, 4);
      g_assert_cmpint (bd_stream_end (h->stream, attempt, sequence), ==,
                       naive_stream_end (h->naive, attempt, sequence));
    }
  else
    {
      sequence += (uint64_t)below (h, below (h, 30) == 0 ? 70 : 4);
      sequence -= MIN (sequence, (uint64_t)below (h, 2));
      g_assert_cmpint (bd_stream_chunk (h->stream, attempt, sequence, data,
                                        append_delivered, h->out),
                       ==,
                       naive_stream_chunk (h->naive, attempt, sequence, data));
    }
  g_assert_cmpstr (h->out->str, ==, h->naive->out->str);
  g_assert_cmpint (bd_stream_is_complete (h->stream), ==,
                   naive_stream_whole (h->naive));
  if (!h->naive->broken)
    g_assert_cmpuint (bd_stream_delivered (h->stream), ==,
                      naive_stream_delivered (h->naive));
}

static void
test_histories (void)
{
  for (guint32 seed = 0; seed < HISTORIES; seed++)
    {
      struct history h = { .rand = g_rand_new_with_seed (seed),
                           .stream = bd_stream_create (),
                           .naive = naive_stream_create (),
                           .out = g_string_new ("") };

      h.naive->retained_max_bytes = (gsize)below (&h, 40);
      bd_stream_set_retention (h.stream, h.naive->retained_max_bytes);
      for (int i = 0; i < OPS; i++)
        random_op (&h);
      bd_stream_destroy (h.stream);
      naive_stream_destroy (h.naive);
      g_string_free (h.out, TRUE);
      g_rand_free (h.rand);
    }
}

/*
 * Complete answers: an answer is sent in up to 4 attempts over a network that
 * reorders, duplicates and loses chunks.  All attempts but the last are cut
 * off.  After each resume, a late chunk of the attempt before is sent with
 * wrong text, which must not be delivered.
 */
#define ANSWERS 30000
#define MAX_SENT 200

struct sent
{
  bool end;
  uint32_t attempt;
  uint64_t number;
  struct bd_chunk data;
};

struct answer
{
  struct history h;
  char text[120];
  size_t length;
  struct sent sent[MAX_SENT];
  size_t sent_count;
  bool maybe_lost; /* A message of the last attempt may be lost. */
};

static void
post (struct answer *a, struct sent s)
{
  if (a->sent_count < MAX_SENT)
    a->sent[a->sent_count++] = s;
  else
    a->maybe_lost = true;
}

/* Sends the answer from OFFSET on.  With CUT, the attempt stops at a random
   point and sends no end. */
static void
send_attempt (struct answer *a, uint32_t attempt, size_t offset, bool cut)
{
  size_t stop
      = cut ? offset + (size_t)below (&a->h, (int)(a->length - offset) + 1)
            : a->length;
  uint64_t n = 0;

  while (offset < stop)
    {
      size_t length = (size_t)below (&a->h, 9);

      length = MIN (length, stop - offset);
      post (a, (struct sent){
                   false, attempt, n++, { a->text + offset, length } });
      offset += length;
    }
  if (!cut)
    post (a, (struct sent){ true, attempt, n, { NULL, 0 } });
}

static void
receive (struct answer *a, struct sent s)
{
  int rc;

  if (s.end)
    rc = bd_stream_end (a->h.stream, s.attempt, s.number);
  else
    rc = bd_stream_chunk (a->h.stream, s.attempt, s.number, s.data,
                          append_delivered, a->h.out);
  if (rc == BD_ERR_FULL)
    a->maybe_lost = true;
  g_assert_true (rc == BD_OK || rc == BD_ERR_STALE || rc == BD_ERR_FULL);
  g_assert_true (g_str_has_prefix (a->text, a->h.out->str));
  if (bd_stream_is_complete (a->h.stream))
    g_assert_cmpstr (a->h.out->str, ==, a->text);
}

/* Delivers all messages in flight, or some of them, in random order. */
static void
run_network (struct answer *a, bool all, uint32_t attempt)
{
  while (a->sent_count > 0 && (all || below (&a->h, 12) > 0))
    {
      size_t i = (size_t)below (&a->h, MIN ((int)a->sent_count, 40));
      struct sent s = a->sent[i];
      int fate = below (&a->h, 40);

      if (fate == 0 && s.attempt == attempt)
        a->maybe_lost = true;
      if (fate > 0)
        receive (a, s);
      if (fate >= 4 || fate == 0)
        a->sent[i] = a->sent[--a->sent_count];
    }
}

/* Returns true when the answer became complete. */
static bool
run_answer (struct answer *a)
{
  uint32_t attempts = 1 + (uint32_t)below (&a->h, 4);

  bd_stream_set_retention (a->h.stream, sizeof a->text);
  bd_stream_restart (a->h.stream, 1);
  for (uint32_t n = 1; n <= attempts; n++)
    {
      size_t offset = 0;

      if (n > 1)
        {
          offset = (size_t)below (&a->h, (int)a->h.out->len + 1);
          g_assert_cmpint (bd_stream_resume (a->h.stream, n, offset), ==,
                           BD_OK);
          post (a,
                (struct sent){ false, n - 1, bd_stream_delivered (a->h.stream),
                               BD_CHUNK ("other") });
        }
      a->maybe_lost = false;
      send_attempt (a, n, offset, n < attempts);
      run_network (a, n == attempts, n);
    }
  g_assert_true (a->maybe_lost || bd_stream_is_complete (a->h.stream));
  return bd_stream_is_complete (a->h.stream);
}

static void
test_answers (void)
{
  int complete = 0;

  for (guint32 seed = 0; seed < ANSWERS; seed++)
    {
      struct answer a = { .h = { .rand = g_rand_new_with_seed (seed),
                                 .stream = bd_stream_create (),
                                 .out = g_string_new ("") } };

      a.length = (size_t)below (&a.h, sizeof a.text);
      for (size_t i = 0; i < a.length; i++)
        a.text[i] = (char)('a' + below (&a.h, 2));
      complete += run_answer (&a);
      bd_stream_destroy (a.h.stream);
      g_string_free (a.h.out, TRUE);
      g_rand_free (a.h.rand);
    }
  g_test_message ("%d of %d answers complete", complete, ANSWERS);
  g_assert_cmpint (complete, >, ANSWERS / 4);
  g_assert_cmpint (complete, <, ANSWERS);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *path = g_strdup_printf ("/stream/case/%s", cases[i].name);

      g_test_add_data_func (path, &cases[i], test_fault_case);
      g_free (path);
    }
  g_test_add_func ("/stream/buffered-bytes-are-bounded",
                   test_buffered_bytes_are_bounded);
  g_test_add_func ("/stream/retained-text", test_retained_text);
  g_test_add_func ("/stream/histories", test_histories);
  g_test_add_func ("/stream/answers", test_answers);
  return g_test_run ();
}
