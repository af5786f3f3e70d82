/* Tests of the statistics of services. */
#include "balance/service_stats.h"

#include <glib.h>

/* Engines five times as slow as the prior value. */
static void
test_prefill_speed (void)
{
  struct bd_service_stats *stats = bd_service_stats_create ();
  struct bd_chunk service = BD_CHUNK ("llm");
  double assumed = bd_service_stats_tokens_per_ms (stats, service);

  for (int i = 0; i < 500; i++)
    bd_service_stats_record_prefill (stats, service, 10000, 1040);
  g_assert_cmpfloat (bd_service_stats_tokens_per_ms (stats, service), <, 14.0);
  g_assert_cmpfloat (bd_service_stats_tokens_per_ms (stats, service), >, 10.0);
  g_assert_cmpfloat (
      bd_service_stats_tokens_per_ms (stats, BD_CHUNK ("other")), ==, assumed);
  /* Short prompts give no useful sample and are ignored. */
  for (int i = 0; i < 5000; i++)
    bd_service_stats_record_prefill (stats, service, 100, 60000);
  g_assert_cmpfloat (bd_service_stats_tokens_per_ms (stats, service), >, 10.0);
  bd_service_stats_destroy (stats);
}

/* Plain requests of a millisecond, against a default of 60. */
static void
test_work (void)
{
  struct bd_service_stats *stats = bd_service_stats_create ();
  struct bd_chunk service = BD_CHUNK ("desk");

  g_assert_cmpfloat (bd_service_stats_work_ms (stats, service), >, 50.0);
  for (int i = 0; i < 200; i++)
    bd_service_stats_record_work (stats, service, 1);
  g_assert_cmpfloat (bd_service_stats_work_ms (stats, service), <, 1.1);
  bd_service_stats_destroy (stats);
}

/* Short and long prompts are separated only while both come. */
static void
test_lengths (void)
{
  struct bd_service_stats *stats = bd_service_stats_create ();
  struct bd_chunk service = BD_CHUNK ("llm");

  bd_service_stats_record_prompt (stats, service, 1000, 1000);
  g_assert_false (bd_service_stats_separated (stats, service, 1000, 1000));
  bd_service_stats_record_prompt (stats, service, 9000, 1000);
  g_assert_true (bd_service_stats_separated (stats, service, 1000, 1000));
  g_assert_true (bd_service_stats_separated (stats, service, 9000, 1000));
  g_assert_false (bd_service_stats_separated (stats, service, 1000, 60000));
  g_assert_false (bd_service_stats_separated (stats, service, 9000, 60000));
  bd_service_stats_destroy (stats);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/service-stats/prefill-speed", test_prefill_speed);
  g_test_add_func ("/service-stats/work", test_work);
  g_test_add_func ("/service-stats/lengths", test_lengths);
  return g_test_run ();
}
