#include "balance/ledger.h"

#include "common/map.h"

#include <math.h>
#include <stdlib.h>

/* Time in which the weight of a prompt in the token rate falls to 1/e: long
   against the prefill of a prompt, short against a stream. */
#define DECAY_MS 2000.0

/* Tokens of uninterrupted prefill needed for a sample, and tokens after which
   a sample is taken even if more prompts wait. */
#define SAMPLE_TOKENS_MIN 40000
#define SAMPLE_TOKENS_MAX 60000

struct entry
{
  struct bd_assignment assignment;
  struct entry *next;
  struct entry *previous;
  bool prefilled;
};

struct bd_ledger
{
  struct bd_map *by_request;
  struct entry *entries;
};

struct bd_ledger *
bd_ledger_create (void)
{
  struct bd_ledger *ledger = calloc (1, sizeof *ledger);

  if (!ledger)
    return NULL;
  ledger->by_request = bd_map_create ();
  if (ledger->by_request)
    return ledger;
  free (ledger);
  return NULL;
}

static double
recent_tokens (const struct bd_assigned_load *load, int64_t now_ms)
{
  double age = (double)(now_ms - load->recent_ms);

  return load->recent_tokens * exp (-age / DECAY_MS);
}

double
bd_assigned_token_rate (const struct bd_assigned_load *load,
                        double extra_tokens, int64_t now_ms)
{
  return (recent_tokens (load, now_ms) + extra_tokens) / DECAY_MS;
}

void
bd_assigned_add_prompt (struct bd_assigned_load *load, uint64_t tokens,
                        int64_t now_ms)
{
  load->recent_tokens = recent_tokens (load, now_ms) + (double)tokens;
  load->recent_ms = now_ms;
}

static struct bd_id
instance_key (uint32_t instance)
{
  return (struct bd_id){ instance, 0 };
}

/* Takes the prompt out of the tokens that wait for prefill. */
static void
finish_prefill (struct entry *entry)
{
  struct bd_assigned_load *load = &entry->assignment.target->assigned;

  if (!entry->prefilled)
    {
      load->prefill_tokens -= entry->assignment.prefill_tokens;
      load->awaiting_first_event[entry->assignment.priority]--;
    }
  entry->prefilled = true;
}

/* Takes an abandoned prompt out of the tokens that wait for prefill, and drops
   the runner's current sample: how much of the prompt was processed is
   unknown. */
static void
abandon_prefill (struct entry *entry)
{
  if (!entry->prefilled)
    entry->assignment.target->assigned.busy_since_ms = 0;
  finish_prefill (entry);
}

/* Adds TOKENS of finished prefill.  Fills in SAMPLE when the runner has become
   idle or enough tokens were processed without a gap. */
static void
measure_prefill (struct bd_assigned_load *load, uint64_t tokens,
                 int64_t now_ms, struct bd_prefill_sample *sample)
{
  if (load->busy_since_ms != 0)
    load->busy_tokens += tokens;
  if (load->busy_tokens < SAMPLE_TOKENS_MAX && load->prefill_tokens > 0
      && load->busy_since_ms != 0)
    return;
  if (load->busy_since_ms != 0 && load->busy_tokens >= SAMPLE_TOKENS_MIN)
    {
      sample->tokens = load->busy_tokens;
      sample->ms = now_ms - load->busy_since_ms;
    }
  load->busy_since_ms = load->prefill_tokens > 0 ? now_ms : 0;
  load->busy_tokens = 0;
}

static void
release_entry (struct bd_ledger *ledger, struct entry *entry)
{
  struct bd_assigned_load *load = &entry->assignment.target->assigned;

  abandon_prefill (entry);
  load->in_flight--;
  if (entry->assignment.is_short)
    load->short_in_flight--;
  else
    load->long_in_flight[entry->assignment.priority]--;
  if (ledger->entries == entry)
    ledger->entries = entry->next;
  else
    entry->previous->next = entry->next;
  if (entry->next)
    entry->next->previous = entry->previous;
  bd_map_remove (ledger->by_request, instance_key (entry->assignment.instance),
                 entry->assignment.request_number);
  free (entry);
}

void
bd_ledger_destroy (struct bd_ledger *ledger)
{
  if (!ledger)
    return;
  while (ledger->entries)
    release_entry (ledger, ledger->entries);
  bd_map_destroy (ledger->by_request);
  free (ledger);
}

int
bd_ledger_assign (struct bd_ledger *ledger,
                  const struct bd_assignment *assignment)
{
  struct bd_assigned_load *load = &assignment->target->assigned;
  struct entry *entry;

  bd_ledger_release (ledger, assignment->instance, assignment->request_number);
  if (assignment->priority < 0 || assignment->priority >= BD_PRIORITIES)
    return BD_ERR_INVALID;
  if (bd_map_count (ledger->by_request) >= BD_LEDGER_MAX)
    return BD_ERR_FULL;
  entry = calloc (1, sizeof *entry);
  if (!entry)
    return BD_ERR_NOMEM;
  entry->assignment = *assignment;
  if (bd_map_put (ledger->by_request, instance_key (assignment->instance),
                  assignment->request_number, entry)
      != BD_OK)
    {
      free (entry);
      return BD_ERR_NOMEM;
    }
  entry->next = ledger->entries;
  if (entry->next)
    entry->next->previous = entry;
  ledger->entries = entry;
  if (load->prefill_tokens == 0)
    {
      load->busy_since_ms = assignment->placed_ms;
      load->busy_tokens = 0;
    }
  load->in_flight++;
  if (assignment->is_short)
    load->short_in_flight++;
  else
    load->long_in_flight[assignment->priority]++;
  load->prefill_tokens += assignment->prefill_tokens;
  load->awaiting_first_event[assignment->priority]++;
  bd_assigned_add_prompt (load, assignment->prefill_tokens,
                          assignment->placed_ms);
  return BD_OK;
}

const struct bd_assignment *
bd_ledger_record_first_event (struct bd_ledger *ledger, uint32_t instance,
                              uint32_t number, int64_t now_ms,
                              struct bd_prefill_sample *sample)
{
  struct entry *entry
      = bd_map_get (ledger->by_request, instance_key (instance), number);

  *sample = (struct bd_prefill_sample){ 0 };
  if (!entry)
    return NULL;
  if (!entry->prefilled)
    {
      finish_prefill (entry);
      measure_prefill (&entry->assignment.target->assigned,
                       entry->assignment.prefill_tokens, now_ms, sample);
    }
  return &entry->assignment;
}

struct bd_target *
bd_ledger_release (struct bd_ledger *ledger, uint32_t instance,
                   uint32_t number)
{
  struct entry *entry
      = bd_map_get (ledger->by_request, instance_key (instance), number);
  struct bd_target *target = entry ? entry->assignment.target : NULL;

  if (entry)
    release_entry (ledger, entry);
  return target;
}

void
bd_ledger_release_instance (struct bd_ledger *ledger, uint32_t instance)
{
  struct entry *next;

  for (struct entry *entry = ledger->entries; entry; entry = next)
    {
      next = entry->next;
      if (entry->assignment.instance == instance)
        release_entry (ledger, entry);
    }
}

void
bd_ledger_suspect_instance (struct bd_ledger *ledger, uint32_t instance)
{
  for (struct entry *entry = ledger->entries; entry; entry = entry->next)
    if (entry->assignment.instance == instance)
      abandon_prefill (entry);
}

void
bd_ledger_expire (struct bd_ledger *ledger, int64_t now_ms)
{
  struct entry *next;

  for (struct entry *entry = ledger->entries; entry; entry = next)
    {
      next = entry->next;
      if (now_ms >= entry->assignment.expires_ms)
        release_entry (ledger, entry);
    }
}

size_t
bd_ledger_count (const struct bd_ledger *ledger)
{
  return bd_map_count (ledger->by_request);
}
