#include "common/metrics.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define THREADS 4
#define ROUNDS 2000
#define PAIRS 50

/* Looks up and updates every pair in every round. */
static gpointer
update_all_pairs (gpointer data)
{
  struct bd_metrics *m = data;

  for (int round = 0; round < ROUNDS; round++)
    for (int i = 0; i < PAIRS; i++)
      {
        char name[16];
        struct bd_class_metrics *pair;

        g_snprintf (name, sizeof name, "w%d", i);
        pair = bd_metrics_class (m, bd_chunk_of (name), BD_CHUNK ("c"));
        bd_class_metrics_count (pair, BD_CLASS_COUNTER_REQUESTS, 1);
        bd_class_metrics_add (pair, BD_DURATION_FIRST_TOKEN, 1000);
        bd_metrics_count (m, BD_COUNTER_REQUESTS, 1);
      }
  return NULL;
}

static json_t *
read_json (const struct bd_metrics *m)
{
  struct bd_buffer b = { 0 };
  json_t *root;

  g_assert_cmpint (bd_metrics_write_json (m, &b), ==, BD_OK);
  root = json_loadb (b.data, b.length, JSON_REJECT_DUPLICATES, NULL);
  g_assert_nonnull (root);
  bd_buffer_clear (&b);
  return root;
}

/* Threads that create the same pair at once share one entry, and no update is
   lost. */
static void
test_threads (void)
{
  struct bd_metrics *m = bd_metrics_create ();
  GThread *threads[THREADS];
  json_t *root, *classes, *item;
  size_t i;

  for (i = 0; i < THREADS; i++)
    threads[i] = g_thread_new ("user", update_all_pairs, m);
  for (i = 0; i < THREADS; i++)
    g_thread_join (threads[i]);
  g_assert_cmpuint (bd_metrics_value (m, BD_COUNTER_REQUESTS), ==,
                    (guint64)THREADS * ROUNDS * PAIRS);
  root = read_json (m);
  classes = json_object_get (root, "classes");
  g_assert_cmpuint (json_array_size (classes), ==, PAIRS);
  json_array_foreach (classes, i, item)
  {
    json_int_t requests = 0, count = 0;

    g_assert_cmpint (json_unpack (item, "{s:{s:I}, s:{s:{s:I}}}", "counters",
                                  "requests", &requests, "durations",
                                  "first_token", "count", &count),
                     ==, 0);
    g_assert_cmpint (requests, ==, (gint64)THREADS * ROUNDS);
    g_assert_cmpint (count, ==, (gint64)THREADS * ROUNDS);
  }
  json_decref (root);
  bd_metrics_destroy (m);
}

/* The number of pairs is bounded, since their names come from outside. */
static void
test_bounded_pairs (void)
{
  struct bd_metrics *m = bd_metrics_create ();
  struct bd_class_metrics *first
      = bd_metrics_class (m, BD_CHUNK ("first"), BD_CHUNK (""));
  struct bd_class_metrics *other = NULL;
  json_t *root;

  for (int i = 1; i < BD_METRICS_PAIRS_MAX + 10; i++)
    {
      char name[16];

      g_snprintf (name, sizeof name, "%d", i);
      other = bd_metrics_class (m, BD_CHUNK ("w"), bd_chunk_of (name));
      bd_class_metrics_count (other, BD_CLASS_COUNTER_REQUESTS, 1);
    }
  g_assert_true (bd_metrics_class (m, BD_CHUNK ("z"), BD_CHUNK ("z"))
                 == other);
  g_assert_true (bd_metrics_class (m, BD_CHUNK ("first"), BD_CHUNK (""))
                 == first);
  root = read_json (m);
  g_assert_cmpuint (json_array_size (json_object_get (root, "classes")), ==,
                    BD_METRICS_PAIRS_MAX + 1);
  json_decref (root);
  bd_metrics_destroy (m);
}

static void
test_text (void)
{
  static const char *const expected[] = {
    "# TYPE basildock_requests_total counter\nbasildock_requests_total 2\n",
    "basildock_refused_total{code=\"rate_limited\"} 3\n",
    "basildock_refused_total{code=\"internal\"} 1\n",
    "basildock_messages_total{direction=\"sent\",traffic=\"control\"} 1\n",
    "basildock_message_bytes_total{direction=\"sent\",traffic=\"control\"} "
    "100\n",
    "basildock_message_bytes_total{direction=\"received\",traffic=\"work\"} "
    "7\n",
    "basildock_class_on_target_total{workspace=\"a\",class=\"b\\\"\\\\?\"} "
    "4\n",
    "basildock_whole_seconds_bucket{workspace=\"a\",class=\"b\\\"\\\\?\","
    "le=\"0.001\"} 1\n",
    "basildock_whole_seconds_bucket{workspace=\"a\",class=\"b\\\"\\\\?\","
    "le=\"300\"} 2\n",
    "basildock_whole_seconds_bucket{workspace=\"a\",class=\"b\\\"\\\\?\","
    "le=\"+Inf\"} 3\n",
    "basildock_whole_seconds_sum{workspace=\"a\",class=\"b\\\"\\\\?\"} "
    "402.000500\n",
    "basildock_whole_seconds_count{workspace=\"a\",class=\"b\\\"\\\\?\"} 3\n",
  };
  struct bd_metrics *m = bd_metrics_create ();
  struct bd_class_metrics *pair
      = bd_metrics_class (m, BD_CHUNK ("a"), BD_CHUNK ("b\"\\\n"));
  struct bd_buffer b = { 0 };

  bd_metrics_count (m, BD_COUNTER_REQUESTS, 2);
  for (int i = 0; i < 3; i++)
    bd_metrics_refused (m, BD_ERR_RATE_LIMITED);
  bd_metrics_refused (m, 99);
  bd_metrics_message (m, true, BD_TRAFFIC_CONTROL, 100);
  bd_metrics_message (m, false, BD_TRAFFIC_WORK, 7);
  bd_class_metrics_count (pair, BD_CLASS_COUNTER_ON_TARGET, 4);
  bd_class_metrics_add (pair, BD_DURATION_WHOLE, 500);
  bd_class_metrics_add (pair, BD_DURATION_WHOLE, 2000000);
  bd_class_metrics_add (pair, BD_DURATION_WHOLE, 400000000);
  g_assert_cmpint (bd_metrics_write_text (m, &b), ==, BD_OK);
  for (size_t i = 0; i < G_N_ELEMENTS (expected); i++)
    if (!strstr (b.data, expected[i]))
      g_error ("missing: %s", expected[i]);
  bd_buffer_clear (&b);
  bd_metrics_destroy (m);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/metrics/threads", test_threads);
  g_test_add_func ("/metrics/bounded-pairs", test_bounded_pairs);
  g_test_add_func ("/metrics/text", test_text);
  return g_test_run ();
}
