/* Compares routing policies in the simulation: every policy runs every
   scenario with the same seeds. */
#include "model/plot.h"
#include "model/scenario.h"

#include "common/log.h"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SCENARIOS_MAX 32
#define SEEDS_DEFAULT 3

static const char *const policy_names[]
    = { "random", "least", "local", "coordinated" };

#define POLICY_COUNT (sizeof policy_names / sizeof policy_names[0])

static void
add_result (struct sim_result *sum, const struct sim_result *one,
            size_t class_count)
{
  sum->worth += one->worth;
  sum->unserved += one->unserved;
  sum->worst_window_worth += one->worst_window_worth;
  sum->peak_to_mean += one->peak_to_mean;
  sum->prefill_tokens += one->prefill_tokens;
  sum->fetched_tokens += one->fetched_tokens;
  sum->starved += one->starved;
  for (size_t c = 0; c < class_count; c++)
    {
      struct sim_class_result *to = &sum->classes[c];
      const struct sim_class_result *from = &one->classes[c];

      to->offered += from->offered;
      to->on_time += from->on_time;
      to->late += from->late;
      to->refused += from->refused;
      to->failed += from->failed;
      to->worth += from->worth;
      to->first_ms_median += from->first_ms_median;
      to->first_ms_p99 += from->first_ms_p99;
    }
}

static void
print_result (const struct sim_scenario *scenario, const char *policy,
              const struct sim_result *sum, int seeds)
{
  printf ("%-14s %-12s worth %.3f unserved %.3f windows %.3f busiest %.2f "
          "read %.1fM fetched %.1fM passed over %.1f\n",
          scenario->name, policy, sum->worth / seeds, sum->unserved / seeds,
          sum->worst_window_worth / seeds, sum->peak_to_mean / seeds,
          (double)sum->prefill_tokens / 1e6 / seeds,
          (double)sum->fetched_tokens / 1e6 / seeds,
          (double)sum->starved / seeds);
  for (size_t c = 0; c < scenario->class_count; c++)
    {
      const struct sim_class_result *row = &sum->classes[c];
      double offered = row->offered > 0 ? row->offered : 1;

      printf ("  %-14s asked %6.0f on time %.3f late %.3f refused %.3f failed "
              "%.3f worth %.3f first %4.0f/%5.0f ms\n",
              scenario->classes[c].name, offered / seeds,
              row->on_time / offered, row->late / offered,
              row->refused / offered, row->failed / offered,
              row->worth / seeds, row->first_ms_median / seeds,
              row->first_ms_p99 / seeds);
    }
}

static bool
policy_selected (const struct arg_str *policies, const char *name)
{
  for (int i = 0; i < policies->count; i++)
    if (strcmp (policies->sval[i], name) == 0)
      return true;
  return policies->count == 0;
}

/* Adds the worth of one run to the plot. */
static void
plot_result (struct plot *plot, size_t policy, double worth, int seeds)
{
  size_t group = plot->group_count;

  plot->mean[group][policy] += worth / seeds;
  if (worth < plot->min[group][policy])
    plot->min[group][policy] = worth;
  if (worth > plot->max[group][policy])
    plot->max[group][policy] = worth;
}

static void
run_scenario (const struct sim_scenario *scenario,
              const struct arg_str *policies, int first, int seeds,
              struct plot *plot)
{
  for (size_t p = 0; p < POLICY_COUNT; p++)
    {
      struct sim_result sum;

      plot->mean[plot->group_count][p] = -1.0;
      if (!policy_selected (policies, policy_names[p]))
        continue;
      plot->mean[plot->group_count][p] = 0.0;
      plot->min[plot->group_count][p] = 1.0;
      memset (&sum, 0, sizeof sum);
      for (int s = 0; s < seeds; s++)
        {
          struct sim_result one;

          sim_run (scenario, (enum sim_policy)p, (uint64_t)first + (uint64_t)s,
                   &one);
          add_result (&sum, &one, scenario->class_count);
          plot_result (plot, p, one.worth, seeds);
        }
      print_result (scenario, policy_names[p], &sum, seeds);
    }
  plot->groups[plot->group_count++] = scenario->name;
}

static bool
write_plot (const struct plot *plot, const char *name)
{
  FILE *file = fopen (name, "w");

  if (!file)
    {
      fprintf (stderr, "bench_experiment: cannot write %s\n", name);
      return false;
    }
  plot_write (plot, file);
  return fclose (file) == 0;
}

int
main (int argc, char **argv)
{
  static struct sim_scenario scenarios[SCENARIOS_MAX];
  static struct plot plot = { .title = "Worth earned of the worth asked",
                              .series_count = POLICY_COUNT };
  struct arg_str *policies
      = arg_strn ("p", "policy", "NAME", 0, POLICY_COUNT,
                  "random, least, local, coordinated (all)");
  struct arg_int *seeds = arg_int0 ("n", "seeds", "N", "number of seeds (3)");
  struct arg_int *first = arg_int0 ("s", "seed", "N", "first seed (1)");
  struct arg_file *plot_file = arg_file0 (
      NULL, "plot", "FILE", "write a bar chart of the worth, as SVG");
  struct arg_file *files = arg_filen (NULL, NULL, "SCENARIO", 1, SCENARIOS_MAX,
                                      "scenario, a JSON file");
  struct arg_end *end = arg_end (4);
  void *table[] = { policies, seeds, first, plot_file, files, end };

  if (arg_nullcheck (table) != 0)
    return EXIT_FAILURE;
  seeds->ival[0] = SEEDS_DEFAULT;
  first->ival[0] = 1;
  if (arg_parse (argc, argv, table) > 0)
    {
      arg_print_errors (stderr, end, "bench_experiment");
      arg_print_syntax (stderr, table, "\n");
      arg_print_glossary (stderr, table, "  %-24s %s\n");
      return EXIT_FAILURE;
    }
  bd_log_init ("model", BD_SEVERITY_ERROR);
  for (size_t p = 0; p < POLICY_COUNT; p++)
    plot.series[p] = policy_names[p];
  for (int i = 0; i < files->count; i++)
    {
      if (!scenario_read (files->filename[i], &scenarios[i]))
        return EXIT_FAILURE;
      run_scenario (&scenarios[i], policies, first->ival[0], seeds->ival[0],
                    &plot);
    }
  if (plot_file->count > 0 && !write_plot (&plot, plot_file->filename[0]))
    return EXIT_FAILURE;
  return EXIT_SUCCESS;
}
