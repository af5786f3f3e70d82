/* Messages about placements: a round trip changes nothing, and malformed
   messages are rejected. */
#include "common/random.h"
#include "gateway/coordination.h"

#include <glib.h>
#include <string.h>

#define DATAGRAM_MAX_BYTES 1400

static struct bd_coordination_message
sample (enum bd_coordination_kind kind)
{
  struct bd_coordination_message m = { .kind = kind };

  switch (kind)
    {
    case BD_COORDINATION_QUERY:
      m.query
          = (struct bd_coordination_query){ .request_number = UINT32_MAX,
                                            .service = BD_CHUNK ("llm"),
                                            .zone = BD_CHUNK ("z1"),
                                            .shard = 2,
                                            .shard_count = 3,
                                            .prefix_hash = UINT64_MAX,
                                            .prefix_tokens = 13000,
                                            .unshared_tokens = 3700,
                                            .fetch_us_per_k = 819,
                                            .overload
                                            = { .objective_ms = 2000,
                                                .time_left_ms = 11999,
                                                .priority = 5,
                                                .lowest_priority = 5 },
                                            .is_retry = true,
                                            .excluded = { 1, 2, UINT32_MAX },
                                            .excluded_count = 3,
                                            .software = UINT64_MAX,
                                            .continues = true,
                                            .stream = UINT64_MAX - 1,
                                            .own_part = UINT64_MAX - 2,
                                            .waited_ms = 1500 };
      break;
    case BD_COORDINATION_REPLY:
      m.reply
          = (struct bd_coordination_reply){ .request_number = 9,
                                            .verdict = BD_COORDINATION_REFUSED,
                                            .target = 77,
                                            .source = 78,
                                            .selection_reason = 3,
                                            .prefill_tokens = 4000,
                                            .ahead_tokens = 1 << 30,
                                            .wait_ms = 900,
                                            .cost_ms = -1,
                                            .max_wait_ms = 800,
                                            .retry_after_ms = 640,
                                            .limit_rate = 4100,
                                            .software = UINT64_MAX,
                                            .unconfirmed = true };
      break;
    case BD_COORDINATION_REPORTS:
      for (; m.reports.count < BD_COORDINATION_REPORTS_MAX; m.reports.count++)
        m.reports.items[m.reports.count] = (struct bd_coordination_report){
          UINT32_MAX - (uint32_t)m.reports.count,
          true,
          { true, BD_OUTLIER_UNREACHABLE, 120000 }
        };
      break;
    case BD_COORDINATION_NOTICES:
      for (; m.notices.count < BD_COORDINATION_NOTICES_MAX; m.notices.count++)
        m.notices.items[m.notices.count] = (struct bd_coordination_notice){
          UINT32_MAX, UINT32_MAX, UINT64_MAX, 100000, true, true, 9, 12000
        };
      break;
    case BD_COORDINATION_PREFIXES:
      m.prefixes.complete = true;
      for (; m.prefixes.count < BD_COORDINATION_PREFIXES_MAX;
           m.prefixes.count++)
        m.prefixes.items[m.prefixes.count]
            = (struct bd_prefix_entry){ UINT64_MAX, UINT64_MAX, 30000, true };
      break;
    case BD_COORDINATION_LIMIT:
      m.limit = (struct bd_limit_notice){ UINT32_MAX, INT64_MAX, UINT32_MAX,
                                          120000 };
      break;
    case BD_COORDINATION_ORIGINS:
      for (; m.origins.count < BD_COORDINATION_ORIGINS_MAX; m.origins.count++)
        m.origins.items[m.origins.count]
            = (struct bd_origin_notice){ UINT64_MAX, UINT64_MAX,
                                         BD_ORIGIN_KEEP_MAX_MS };
      break;
    default:
      g_assert_not_reached ();
    }
  return m;
}

/* Messages of every kind with all items survive a round trip and fit into a
   datagram. */
static void
test_round_trip (void)
{
  for (int kind = 0; kind < BD_COORDINATION_KIND_COUNT; kind++)
    {
      struct bd_coordination_message m
          = sample ((enum bd_coordination_kind)kind);
      struct bd_coordination_message back;
      struct bd_buffer bytes = { 0 };
      struct bd_buffer again = { 0 };

      g_assert_cmpint (bd_coordination_write (&m, &bytes), ==, BD_OK);
      g_assert_cmpuint (bytes.length, <=, DATAGRAM_MAX_BYTES);
      g_assert_cmpint (bd_coordination_read (bd_buffer_chunk (&bytes), &back),
                       ==, BD_OK);
      g_assert_cmpint (back.kind, ==, kind);
      g_assert_cmpint (bd_coordination_write (&back, &again), ==, BD_OK);
      g_assert_cmpmem (bytes.data, bytes.length, again.data, again.length);
      bd_buffer_clear (&bytes);
      bd_buffer_clear (&again);
    }
}

static void
test_fields (void)
{
  struct bd_coordination_message m = sample (BD_COORDINATION_QUERY);
  struct bd_coordination_message back;
  struct bd_buffer bytes = { 0 };

  bd_coordination_write (&m, &bytes);
  bd_coordination_read (bd_buffer_chunk (&bytes), &back);
  g_assert_true (bd_chunk_equal (back.query.service, m.query.service));
  g_assert_cmpuint (back.query.prefix_hash, ==, m.query.prefix_hash);
  g_assert_cmpint (back.query.overload.time_left_ms, ==, 11999);
  g_assert_cmpuint (back.query.excluded_count, ==, 3);
  g_assert_cmpuint (back.query.excluded[2], ==, UINT32_MAX);
  g_assert_cmpuint (back.query.software, ==, UINT64_MAX);
  g_assert_true (back.query.continues);
  g_assert_cmpuint (back.query.stream, ==, UINT64_MAX - 1);
  g_assert_cmpuint (back.query.own_part, ==, UINT64_MAX - 2);
  g_assert_cmpint (back.query.waited_ms, ==, 1500);
  bd_buffer_clear (&bytes);
  m = sample (BD_COORDINATION_REPLY);
  bd_coordination_write (&m, &bytes);
  bd_coordination_read (bd_buffer_chunk (&bytes), &back);
  g_assert_cmpint (back.reply.verdict, ==, BD_COORDINATION_REFUSED);
  g_assert_cmpint (back.reply.cost_ms, ==, -1);
  g_assert_cmpint (back.reply.retry_after_ms, ==, 640);
  g_assert_cmpuint (back.reply.limit_rate, ==, 4100);
  g_assert_cmpuint (back.reply.software, ==, UINT64_MAX);
  bd_buffer_clear (&bytes);
}

/* A reply of an older version has no rate limit and no software version at its
   end. */
static void
test_older_reply (void)
{
  struct bd_coordination_message m = sample (BD_COORDINATION_REPLY);
  struct bd_coordination_message back;
  struct bd_buffer bytes = { 0 };

  m.reply.limit_rate = 0;
  m.reply.software = BD_SOFTWARE_ANY;
  m.reply.unconfirmed = false;
  bd_coordination_write (&m, &bytes);
  bytes.data[0] -= 3; /* An array of three values less. */
  bytes.length -= 3;
  g_assert_cmpint (bd_coordination_read (bd_buffer_chunk (&bytes), &back), ==,
                   BD_OK);
  g_assert_cmpint (back.reply.retry_after_ms, ==, 640);
  g_assert_cmpuint (back.reply.limit_rate, ==, 0);
  bd_buffer_clear (&bytes);
}

/* A query of an older version has nothing about streams at its end. */
static void
test_older_query (void)
{
  struct bd_coordination_message m = sample (BD_COORDINATION_QUERY);
  struct bd_coordination_message back;
  struct bd_buffer bytes = { 0 };

  m.query.software = BD_SOFTWARE_ANY;
  m.query.continues = false;
  m.query.stream = m.query.own_part = 0;
  m.query.waited_ms = 0;
  bd_coordination_write (&m, &bytes);
  bytes.data[2] -= 5; /* An array of five values less. */
  bytes.length -= 5;
  g_assert_cmpint (bd_coordination_read (bd_buffer_chunk (&bytes), &back), ==,
                   BD_OK);
  g_assert_cmpuint (back.query.excluded_count, ==, 3);
  g_assert_cmpuint (back.query.software, ==, BD_SOFTWARE_ANY);
  bd_buffer_clear (&bytes);
}

/* Truncated and corrupted messages are rejected, or parsed within the
   limits. */
static void
test_hostile (void)
{
  uint64_t random = 3;

  for (int kind = 0; kind < BD_COORDINATION_KIND_COUNT; kind++)
    {
      struct bd_coordination_message m
          = sample ((enum bd_coordination_kind)kind);
      struct bd_coordination_message back;
      struct bd_buffer bytes = { 0 };

      bd_coordination_write (&m, &bytes);
      for (size_t length = 0; length < bytes.length; length++)
        g_assert_cmpint (bd_coordination_read (
                             (struct bd_chunk){ bytes.data, length }, &back),
                         ==, BD_ERR_PROTOCOL);
      for (int i = 0; i < 20000; i++)
        {
          size_t at = bd_random_below (&random, (uint32_t)bytes.length);
          char before = bytes.data[at];

          bytes.data[at] = (char)bd_random_below (&random, 256);
          if (bd_coordination_read (bd_buffer_chunk (&bytes), &back) == BD_OK)
            {
              g_assert_cmpint (back.kind, <, BD_COORDINATION_KIND_COUNT);
              if (back.kind == BD_COORDINATION_QUERY)
                g_assert_cmpuint (back.query.excluded_count, <=,
                                  BD_COORDINATION_EXCLUDED_MAX);
            }
          bytes.data[at] = before;
        }
      bd_buffer_clear (&bytes);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/coordination/round-trip", test_round_trip);
  g_test_add_func ("/coordination/fields", test_fields);
  g_test_add_func ("/coordination/older-reply", test_older_reply);
  g_test_add_func ("/coordination/older-query", test_older_query);
  g_test_add_func ("/coordination/hostile", test_hostile);
  return g_test_run ();
}
