/* What failed calls show of a service that keeps leases. */
#include "balance/outage.h"

#include <glib.h>

#define NOW 100000

/* Calls of one letter each, EVERY_MS apart: a: answered wrongly, c: cut, l:
   lost.  Returns the verdict at a success as long after the last. */
static enum bd_outage_verdict
verdict_of (const char *calls, int64_t every_ms)
{
  struct bd_outage outage = { 0 };
  int64_t now = NOW;

  for (int i = 0; calls[i]; i++, now += every_ms)
    g_assert_true (bd_outage_failed (&outage, now, now,
                                     calls[i] == 'a' ? BD_OUTAGE_CALL_ANSWERED
                                     : calls[i] == 'c' ? BD_OUTAGE_CALL_CUT
                                                       : BD_OUTAGE_CALL_LOST)
                   == (i == 1));
  return bd_outage_ended (&outage, now);
}

static void
test_verdicts (void)
{
  static const struct
  {
    const char *calls;
    int64_t every_ms;
    enum bd_outage_verdict verdict;
  } rows[] = {
    { "", 100, BD_OUTAGE_NONE },       { "c", 5000, BD_OUTAGE_DOUBTFUL },
    { "a", 5000, BD_OUTAGE_DOUBTFUL }, { "aaaa", 5000, BD_OUTAGE_DOUBTFUL },
    { "l", 5000, BD_OUTAGE_SHORT },    { "cl", 100, BD_OUTAGE_SHORT },
    { "cc", 100, BD_OUTAGE_SHORT },    { "lala", 5000, BD_OUTAGE_SHORT },
    { "ll", 500, BD_OUTAGE_LONG },     { "ll", 499, BD_OUTAGE_SHORT },
    { "cll", 400, BD_OUTAGE_LONG },    { "lla", 600, BD_OUTAGE_LONG },
    { "alll", 400, BD_OUTAGE_LONG },   { "lll", 300, BD_OUTAGE_SHORT },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_test_message ("%s", rows[i].calls);
      g_assert_cmpint (verdict_of (rows[i].calls, rows[i].every_ms), ==,
                       rows[i].verdict);
    }
}

/* Each series of failures is judged by itself, and a call that was waited for
   counts from when it was due. */
static void
test_series (void)
{
  struct bd_outage outage = { 0 };

  bd_outage_failed (&outage, NOW, NOW, BD_OUTAGE_CALL_LOST);
  g_assert_cmpint (bd_outage_ended (&outage, NOW + 5000), ==, BD_OUTAGE_SHORT);
  g_assert_cmpint (bd_outage_ended (&outage, NOW + 6000), ==, BD_OUTAGE_NONE);
  bd_outage_failed (&outage, NOW + 7000, NOW + 8000, BD_OUTAGE_CALL_CUT);
  bd_outage_failed (&outage, NOW + 8000, NOW + 8100, BD_OUTAGE_CALL_LOST);
  g_assert_cmpint (bd_outage_ended (&outage, NOW + 8100), ==, BD_OUTAGE_LONG);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/outage/verdicts", test_verdicts);
  g_test_add_func ("/outage/series", test_series);
  return g_test_run ();
}
