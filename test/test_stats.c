/* Metrics of the gateway in the Prometheus text format. */
#include "basildock.h"
#include "gateway/stats.h"

#include <glib.h>
#include <string.h>

static void
assert_line (const struct bd_buffer *text, const char *line)
{
  if (!strstr (text->data, line))
    g_error ("no \"%s\" in: %s", line, text->data);
}

static void
test_text (void)
{
  struct bd_stats *stats = bd_stats_create ();
  struct bd_buffer text = { 0 };

  bd_stats_count (stats, BD_STAT_RETRIES, 2);
  bd_stats_set (stats, BD_GAUGE_PEER_AGE_MS, 700);
  bd_stats_add_response_time (stats, 150000);
  bd_stats_refused (stats, BD_ERR_OVERLOADED);
  bd_stats_refused (stats, BD_ERR_OVERLOADED);
  bd_stats_refused (stats, BD_ERR_NOT_READY);
  bd_stats_failed (stats, BD_ERR_OUTCOME_UNKNOWN);
  g_assert_cmpint (bd_stats_write (stats, &text), ==, BD_OK);
  assert_line (&text, "\nbasildock_retries_total 2\n");
  assert_line (&text, "\nbasildock_peer_age_ms 700\n");
  assert_line (&text, "\nbasildock_refused_total 3\n");
  assert_line (&text,
               "\nbasildock_refused_by_code_total{code=\"overloaded\"} 2\n");
  assert_line (&text,
               "\nbasildock_refused_by_code_total{code=\"not_ready\"} 1\n");
  assert_line (&text, "\nbasildock_failed_total 1\n");
  assert_line (
      &text, "\nbasildock_failed_by_code_total{code=\"outcome_unknown\"} 1\n");
  assert_line (&text, "\nbasildock_answer_seconds_bucket{le=\"0.1\"} 0\n");
  assert_line (&text, "\nbasildock_answer_seconds_bucket{le=\"0.2\"} 1\n");
  assert_line (&text, "\nbasildock_answer_seconds_count 1\n");
  bd_buffer_clear (&text);
  bd_stats_destroy (stats);
}

/* An unknown error code is counted as an internal error, within bounds. */
static void
test_unknown_code (void)
{
  static const int codes[] = { 1, 0, BD_ERR_LIMIT, BD_ERR_LIMIT - 9 };
  struct bd_stats *stats = bd_stats_create ();
  struct bd_buffer text = { 0 };

  for (size_t i = 0; i < G_N_ELEMENTS (codes); i++)
    bd_stats_failed (stats, codes[i]);
  bd_stats_write (stats, &text);
  assert_line (&text,
               "\nbasildock_failed_by_code_total{code=\"internal\"} 4\n");
  bd_buffer_clear (&text);
  bd_stats_destroy (stats);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/stats/text", test_text);
  g_test_add_func ("/stats/unknown-code", test_unknown_code);
  return g_test_run ();
}
