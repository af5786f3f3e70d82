#include "scenario.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

static double
number (const json_t *object, const char *name, double default_value)
{
  const json_t *value = json_object_get (object, name);

  return json_is_number (value) ? json_number_value (value) : default_value;
}

static void
text (const json_t *object, const char *name, char *out)
{
  const char *value = json_string_value (json_object_get (object, name));

  snprintf (out, SIM_NAME_BYTES, "%s", value ? value : "");
}

/* Reads [mean, sigma, max]. */
static struct sim_size
size_of (const json_t *object, const char *name)
{
  const json_t *list = json_object_get (object, name);

  return (struct sim_size){ json_number_value (json_array_get (list, 0)),
                            json_number_value (json_array_get (list, 1)),
                            json_number_value (json_array_get (list, 2)) };
}

static void
read_traits (const json_t *object, struct engine_traits *traits)
{
  traits->step_ms = number (object, "step_ms", 5.0);
  traits->slot_ms = number (object, "slot_ms", 0.1);
  traits->context_ms = number (object, "context_ms", 0.002);
  traits->tokens_per_ms = number (object, "tokens_per_ms", 50.0);
  traits->pair_ms = number (object, "pair_ms", 0.25);
  traits->fetch_ms = number (object, "fetch_ms", 0.0);
  traits->fetch_setup_ms = number (object, "fetch_setup_ms", 0.0);
  traits->setup_ms = number (object, "setup_ms", 60.0);
  traits->chunk_tokens = (uint32_t)number (object, "chunk_tokens", 4096);
  traits->slots = (uint32_t)number (object, "slots", 64);
  traits->queue = (uint32_t)number (object, "queue", 128);
  traits->memory_tokens = (uint64_t)number (object, "memory_tokens", 650000);
}

static void
read_class (const json_t *object, struct sim_class *class)
{
  text (object, "name", class->name);
  class->rate = number (object, "rate", 1.0);
  class->objective_ms = (int64_t)number (object, "objective_ms", 1000);
  class->gap_ms = (int64_t)number (object, "gap_ms", 500);
  class->deadline_ms = (int64_t)number (object, "deadline_ms", 10000);
  class->priority = (int)number (object, "priority", 0);
  class->worth = number (object, "worth", 1.0);
  class->late_worth = number (object, "late_worth", 0.3);
  class->attempts = (uint32_t)number (object, "attempts", 1);
  class->resumable = json_is_true (json_object_get (object, "resumable"));
  class->prefix_count = (uint32_t)number (object, "parts", 1);
  class->skew = number (object, "skew", 0.0);
  class->tokens_per_event = (uint32_t)number (object, "stride", 4);
  class->shared = size_of (object, "shared");
  class->own = size_of (object, "own");
  class->events = size_of (object, "events");
}

static int
class_index (const struct sim_scenario *scenario, const char *name)
{
  for (size_t c = 0; name && c < scenario->class_count; c++)
    if (strcmp (scenario->classes[c].name, name) == 0)
      return (int)c;
  return -1;
}

static void
read_burst (const json_t *object, const struct sim_scenario *scenario,
            struct sim_burst *burst)
{
  burst->at_ms = number (object, "at_ms", 0.0);
  burst->duration_ms = number (object, "for_ms", 1000.0);
  burst->factor = number (object, "factor", 1.0);
  burst->class_index = class_index (
      scenario, json_string_value (json_object_get (object, "class")));
}

static void
read_fault (const json_t *object, struct sim_fault *fault)
{
  const char *kind = json_string_value (json_object_get (object, "kind"));

  fault->kind = SIM_CRASH;
  if (kind && strcmp (kind, "slow") == 0)
    fault->kind = SIM_SLOW;
  if (kind && strcmp (kind, "replace") == 0)
    fault->kind = SIM_REPLACE;
  fault->at_ms = number (object, "at_ms", 0.0);
  fault->duration_ms = number (object, "for_ms", 1000.0);
  fault->share = number (object, "share", 0.1);
  fault->factor = number (object, "factor", 1.0);
  fault->gap_ms = number (object, "gap_ms", 1000.0);
}

bool
scenario_read (const char *file, struct sim_scenario *scenario)
{
  json_error_t problem;
  json_t *root = json_load_file (file, 0, &problem);
  const json_t *object;
  size_t i;

  memset (scenario, 0, sizeof *scenario);
  if (!root)
    {
      fprintf (stderr, "%s:%d: %s\n", file, problem.line, problem.text);
      return false;
    }
  text (root, "name", scenario->name);
  scenario->length_ms = number (root, "length_ms", 30000.0);
  scenario->gateways = (uint32_t)number (root, "gateways", 5);
  scenario->runners = (uint32_t)number (root, "runners", 9);
  scenario->zones = (uint32_t)number (root, "zones", 3);
  scenario->gossip_ms = number (root, "news_ms", 500.0);
  scenario->hop_ms = number (root, "hop_ms", 0.5);
  scenario->report_ms = number (root, "report_ms", 20.0);
  scenario->urgent_share = number (root, "urgent_share", 0.25);
  read_traits (json_object_get (root, "engine"), &scenario->traits);
  json_array_foreach (json_object_get (root, "classes"), i, object)
  {
    if (scenario->class_count < SIM_CLASSES_MAX)
      read_class (object, &scenario->classes[scenario->class_count++]);
  }
  json_array_foreach (json_object_get (root, "bursts"), i, object)
  {
    if (scenario->burst_count < SIM_BURSTS_MAX)
      read_burst (object, scenario,
                  &scenario->bursts[scenario->burst_count++]);
  }
  json_array_foreach (json_object_get (root, "faults"), i, object)
  {
    if (scenario->fault_count < SIM_FAULTS_MAX)
      read_fault (object, &scenario->faults[scenario->fault_count++]);
  }
  json_decref (root);
  return true;
}
