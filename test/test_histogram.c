#include "common/histogram.h"
#include "naive_histogram.h"

#include <glib.h>
#include <math.h>

#define SEED 20261203
#define VALUES 20000
#define RELATIVE_ERROR 0.03
#define ADDERS 4

enum shape
{
  SHAPE_UNIFORM,
  SHAPE_LOGARITHMIC,
  SHAPE_SMALL,
  SHAPE_CONSTANT,
  SHAPE_COUNT
};

static gint64
draw (GRand *rand, enum shape shape)
{
  switch (shape)
    {
    case SHAPE_UNIFORM:
      return g_rand_int_range (rand, 0, 10000000);
    case SHAPE_LOGARITHMIC:
      return (gint64)exp (g_rand_double_range (rand, 0, 24));
    case SHAPE_SMALL:
      return g_rand_int_range (rand, 0, 100);
    default:
      return 123456;
    }
}

static void
compare_to_naive (enum shape shape)
{
  static const double quantiles[] = { 0, 0.01, 0.25, 0.5, 0.9, 0.99, 1 };
  GRand *rand = g_rand_new_with_seed (SEED + shape);
  GArray *values = g_array_new (FALSE, FALSE, sizeof (gint64));
  struct bd_histogram *h = bd_histogram_create ();
  gint64 sum = 0;

  for (int i = 0; i < VALUES; i++)
    {
      gint64 v = draw (rand, shape);

      g_array_append_val (values, v);
      bd_histogram_add (h, v);
      sum += v;
    }
  naive_sort (values);
  g_assert_cmpuint (bd_histogram_count (h), ==, VALUES);
  g_assert_cmpint (bd_histogram_sum_us (h), ==, sum);
  for (size_t i = 0; i < G_N_ELEMENTS (quantiles); i++)
    {
      gint64 want = naive_quantile (values, quantiles[i]);
      gint64 got = bd_histogram_quantile (h, quantiles[i]);

      g_assert_cmpfloat (fabs ((double)(got - want)), <=,
                         RELATIVE_ERROR * (double)want);
      got = (gint64)bd_histogram_at_most (h, want);
      g_assert_cmpuint (got, >=, naive_at_most (values, want));
      g_assert_cmpuint (
          got, <=,
          naive_at_most (values,
                         (gint64)((double)want * (1 + 2 * RELATIVE_ERROR))));
    }
  bd_histogram_destroy (h);
  g_array_free (values, TRUE);
  g_rand_free (rand);
}

static void
test_naive (void)
{
  for (int shape = 0; shape < SHAPE_COUNT; shape++)
    compare_to_naive (shape);
}

/* The error bound holds at each power of two and its neighbours, where
   buckets change their width. */
static void
test_edges (void)
{
  for (int bit = 0; bit < 36; bit++)
    for (int near = -1; near <= 1; near++)
      {
        gint64 v = (G_GINT64_CONSTANT (1) << bit) + near;
        struct bd_histogram *h = bd_histogram_create ();
        double error;

        bd_histogram_add (h, v);
        error = fabs ((double)(bd_histogram_quantile (h, 0.5) - v));
        g_assert_cmpfloat (error, <=, RELATIVE_ERROR * (double)v);
        g_assert_cmpuint (bd_histogram_at_most (h, v), ==, 1);
        g_assert_cmpuint (bd_histogram_at_most (h, v / 2 - 1), ==, 0);
        bd_histogram_destroy (h);
      }
}

static void
test_out_of_range (void)
{
  struct bd_histogram *h = bd_histogram_create ();

  g_assert_cmpint (bd_histogram_quantile (h, 0.5), ==, 0);
  bd_histogram_add (h, -5);
  bd_histogram_add (h, G_MAXINT64);
  g_assert_cmpuint (bd_histogram_count (h), ==, 2);
  g_assert_cmpint (bd_histogram_quantile (h, -1), ==, 0);
  g_assert_cmpint (bd_histogram_quantile (h, 2), >,
                   G_GINT64_CONSTANT (1) << 35);
  g_assert_cmpuint (bd_histogram_at_most (h, -1), ==, 0);
  bd_histogram_destroy (h);
}

static gpointer
add_values (gpointer data)
{
  for (int i = 0; i < VALUES; i++)
    bd_histogram_add (data, i);
  return NULL;
}

static void
test_threads (void)
{
  struct bd_histogram *h = bd_histogram_create ();
  GThread *threads[ADDERS];

  for (int i = 0; i < ADDERS; i++)
    threads[i] = g_thread_new ("adder", add_values, h);
  for (int i = 0; i < ADDERS; i++)
    g_thread_join (threads[i]);
  g_assert_cmpuint (bd_histogram_count (h), ==, (guint64)ADDERS * VALUES);
  g_assert_cmpint (bd_histogram_sum_us (h), ==,
                   (gint64)ADDERS * VALUES * (VALUES - 1) / 2);
  bd_histogram_destroy (h);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/histogram/naive", test_naive);
  g_test_add_func ("/histogram/edges", test_edges);
  g_test_add_func ("/histogram/out-of-range", test_out_of_range);
  g_test_add_func ("/histogram/threads", test_threads);
  return g_test_run ();
}
