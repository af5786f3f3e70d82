#include "plot.h"

/* Sizes in pixels. */
#define LEFT 50
#define TOP 50
#define HEIGHT 240
#define BAR 18
#define GAP 24
#define LABEL_HEIGHT 60
#define GRID_STEPS 5
#define LEGEND_STEP 110

static const char *const colours[PLOT_SERIES_MAX]
    = { "#999999", "#4477aa", "#ee6677", "#228833",
        "#ccbb44", "#66ccee", "#aa3377", "#000000" };

static double
y_of (double value)
{
  return TOP + HEIGHT * (1.0 - value);
}

static void
write_axis (const struct plot *plot, int width, FILE *file)
{
  fprintf (file, "<text x=\"%d\" y=\"18\">%s</text>\n", LEFT, plot->title);
  for (int i = 0; i <= GRID_STEPS; i++)
    {
      double value = (double)i / GRID_STEPS;

      fprintf (file,
               "<line x1=\"%d\" y1=\"%.1f\" x2=\"%d\" y2=\"%.1f\" "
               "stroke=\"#dddddd\"/>\n<text x=\"%d\" y=\"%.1f\" "
               "text-anchor=\"end\">%.1f</text>\n",
               LEFT, y_of (value), width, y_of (value), LEFT - 6,
               y_of (value) + 4, value);
    }
  for (size_t s = 0; s < plot->series_count; s++)
    fprintf (file,
             "<rect x=\"%zu\" y=\"26\" width=\"10\" height=\"10\" "
             "fill=\"%s\"/><text x=\"%zu\" y=\"35\">%s</text>\n",
             LEFT + s * LEGEND_STEP, colours[s], LEFT + s * LEGEND_STEP + 14,
             plot->series[s]);
}

static void
write_bar (const struct plot *plot, size_t g, size_t s, int x, FILE *file)
{
  double mean = plot->mean[g][s];
  int middle = x + BAR / 2;

  if (mean < 0.0)
    return;
  fprintf (file,
           "<rect x=\"%d\" y=\"%.1f\" width=\"%d\" height=\"%.1f\" "
           "fill=\"%s\"><title>%s, %s: %.3f (%.3f to %.3f)</title></rect>\n",
           x, y_of (mean), BAR - 2, HEIGHT * mean, colours[s], plot->groups[g],
           plot->series[s], mean, plot->min[g][s], plot->max[g][s]);
  fprintf (file,
           "<line x1=\"%d\" y1=\"%.1f\" x2=\"%d\" y2=\"%.1f\" "
           "stroke=\"black\"/>\n",
           middle, y_of (plot->min[g][s]), middle, y_of (plot->max[g][s]));
}

void
plot_write (const struct plot *plot, FILE *file)
{
  int group_width = (int)plot->series_count * BAR + GAP;
  int width = LEFT + (int)plot->group_count * group_width;
  int legend_width = LEFT + (int)plot->series_count * LEGEND_STEP;

  if (width < legend_width)
    width = legend_width;
  fprintf (file,
           "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" "
           "height=\"%d\" font-family=\"sans-serif\" font-size=\"12\">\n"
           "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n",
           width + GAP, TOP + HEIGHT + LABEL_HEIGHT);
  write_axis (plot, width, file);
  for (size_t g = 0; g < plot->group_count; g++)
    {
      int x = LEFT + GAP / 2 + (int)g * group_width;

      for (size_t s = 0; s < plot->series_count; s++)
        write_bar (plot, g, s, x + (int)s * BAR, file);
      fprintf (file,
               "<text x=\"%d\" y=\"%d\" transform=\"rotate(20 %d %d)\">%s"
               "</text>\n",
               x, TOP + HEIGHT + 18, x, TOP + HEIGHT + 18, plot->groups[g]);
    }
  fputs ("</svg>\n", file);
}
