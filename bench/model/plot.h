/**
 * @file plot.h
 * Grouped bar chart of an experiment's results, with one bar per series and
 * the range over the seeds as an error bar.
 */
#ifndef MODEL_PLOT_H
#define MODEL_PLOT_H

#include <stddef.h>
#include <stdio.h>

#define PLOT_GROUPS_MAX 32
#define PLOT_SERIES_MAX 8

/** A chart of values from 0 to 1. */
struct plot
{
  const char *title;
  const char *groups[PLOT_GROUPS_MAX];
  size_t group_count;
  const char *series[PLOT_SERIES_MAX];
  size_t series_count;
  double mean[PLOT_GROUPS_MAX][PLOT_SERIES_MAX]; /**< Below 0: no bar. */
  double min[PLOT_GROUPS_MAX][PLOT_SERIES_MAX];
  double max[PLOT_GROUPS_MAX][PLOT_SERIES_MAX];
};

/** Writes PLOT to FILE as SVG. */
void plot_write (const struct plot *plot, FILE *file);

#endif
