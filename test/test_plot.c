/* The bar chart of an experiment's results. */
#include "model/plot.h"

#include <glib.h>
#include <string.h>

static char *
draw (const struct plot *plot)
{
  char *text = NULL;
  size_t length = 0;
  FILE *file = open_memstream (&text, &length);

  plot_write (plot, file);
  fclose (file);
  return text;
}

static size_t
count_of (const char *text, const char *wanted)
{
  size_t count = 0;

  for (const char *at = text; (at = strstr (at, wanted)); at++)
    count++;
  return count;
}

static void
test_bars (void)
{
  struct plot plot = { .title = "worth",
                       .groups = { "burst", "press" },
                       .group_count = 2,
                       .series = { "least", "local" },
                       .series_count = 2,
                       .mean = { { 0.25, 0.5 }, { 1.0, -1.0 } },
                       .min = { { 0.2, 0.4 }, { 1.0, 0.0 } },
                       .max = { { 0.3, 0.6 }, { 1.0, 0.0 } } };
  char *text = draw (&plot);

  g_assert_true (g_str_has_prefix (text, "<svg "));
  g_assert_true (g_str_has_suffix (text, "</svg>\n"));
  /* A negative mean, no measurement, has no bar. */
  g_assert_cmpuint (count_of (text, "<title>"), ==, 3);
  g_assert_nonnull (
      strstr (text, "<title>burst, local: 0.500 (0.400 to 0.600)</title>"));
  /* A bar of value 0.25 is 60 of 240 pixels high and ends at the axis. */
  g_assert_nonnull (strstr (text, "y=\"230.0\" width=\"16\" height=\"60.0\""));
  free (text);
}

static void
test_empty (void)
{
  struct plot plot = { .title = "none" };
  char *text = draw (&plot);

  g_assert_true (g_str_has_suffix (text, "</svg>\n"));
  g_assert_cmpuint (count_of (text, "<title>"), ==, 0);
  free (text);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/plot/bars", test_bars);
  g_test_add_func ("/plot/empty", test_empty);
  return g_test_run ();
}
