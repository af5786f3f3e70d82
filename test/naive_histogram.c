#include "naive_histogram.h"

#include <math.h>

static gint
compare (gconstpointer a, gconstpointer b)
{
  gint64 x = *(const gint64 *)a;
  gint64 y = *(const gint64 *)b;

  return (x > y) - (x < y);
}

void
naive_sort (GArray *values)
{
  g_array_sort (values, compare);
}

gint64
naive_quantile (GArray *values, double quantile)
{
  guint rank = (guint)ceil (quantile * values->len);

  return g_array_index (values, gint64, rank > 0 ? rank - 1 : 0);
}

guint64
naive_at_most (GArray *values, gint64 limit)
{
  guint64 count = 0;

  for (guint i = 0; i < values->len; i++)
    count += g_array_index (values, gint64, i) <= limit;
  return count;
}
