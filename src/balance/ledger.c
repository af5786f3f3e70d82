#include "balance/ledger.h"

#include "common/map.h"

#include <math.h>
#include <stdlib.h>

/* Time in which the weight of a prompt in the rate falls to a third: long
   against a prompt's reading, short against a stream. */
#define DECAY_MS 2000.0

/* The least and the most that is taken for one reading. */
#define SAMPLE_TOKENS_MIN 40000
#define SAMPLE_TOKENS_MAX 60000

struct entry
{
  struct bd_booking booking;
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
recent_tokens (const struct bd_reserved_load *booked, int64_t now_ms)
{
  double age = (double)(now_ms - booked->recent_ms);

  return booked->recent_tokens * exp (-age / DECAY_MS);
}

double
bd_reserved_token_rate (const struct bd_reserved_load *booked,
                        double extra_tokens, int64_t now_ms)
{
  return (recent_tokens (booked, now_ms) + extra_tokens) / DECAY_MS;
}

void
bd_reserved_add_prompt (struct bd_reserved_load *booked, uint64_t tokens,
                        int64_t now_ms)
{
  booked->recent_tokens = recent_tokens (booked, now_ms) + (double)tokens;
  booked->recent_ms = now_ms;
}

static struct bd_id
instance_key (uint32_t instance)
{
  return (struct bd_id){ instance, 0 };
}

/* The prompt no longer counts as unread. */
static void
finish_prefill (struct entry *entry)
{
  struct bd_reserved_load *booked = &entry->booking.target->booked;

  if (!entry->prefilled)
    {
      booked->prefill_tokens -= entry->booking.prefill_tokens;
      booked->awaiting_first_event[entry->booking.priority]--;
    }
  entry->prefilled = true;
}

/* The prompt was given up: what was read of it is not known. */
static void
abandon_prefill (struct entry *entry)
{
  if (!entry->prefilled)
    entry->booking.target->booked.busy_since_ms = 0;
  finish_prefill (entry);
}

/* Takes in that a prompt was read, and what that shows of the runner. */
static void
measure_prefill (struct bd_reserved_load *booked, uint64_t tokens,
                 int64_t now_ms, struct bd_reading *sample)
{
  if (booked->busy_since_ms != 0)
    booked->busy_tokens += tokens;
  if (booked->busy_tokens < SAMPLE_TOKENS_MAX && booked->prefill_tokens > 0
      && booked->busy_since_ms != 0)
    return;
  if (booked->busy_since_ms != 0 && booked->busy_tokens >= SAMPLE_TOKENS_MIN)
    {
      sample->tokens = booked->busy_tokens;
      sample->ms = now_ms - booked->busy_since_ms;
    }
  booked->busy_since_ms = booked->prefill_tokens > 0 ? now_ms : 0;
  booked->busy_tokens = 0;
}

static void
release_entry (struct bd_ledger *ledger, struct entry *entry)
{
  struct bd_reserved_load *booked = &entry->booking.target->booked;

  abandon_prefill (entry);
  booked->in_flight--;
  if (entry->booking.is_short)
    booked->short_in_flight--;
  else
    booked->long_in_flight[entry->booking.priority]--;
  if (ledger->entries == entry)
    ledger->entries = entry->next;
  else
    entry->previous->next = entry->next;
  if (entry->next)
    entry->next->previous = entry->previous;
  bd_map_remove (ledger->by_request, instance_key (entry->booking.instance),
                 entry->booking.number);
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
bd_ledger_book (struct bd_ledger *ledger, const struct bd_booking *booking)
{
  struct bd_reserved_load *booked = &booking->target->booked;
  struct entry *entry;

  bd_ledger_ended (ledger, booking->instance, booking->number);
  if (booking->priority < 0 || booking->priority >= BD_PRIORITIES)
    return BD_ERR_INVALID;
  if (bd_map_count (ledger->by_request) >= BD_LEDGER_MAX)
    return BD_ERR_FULL;
  entry = calloc (1, sizeof *entry);
  if (!entry)
    return BD_ERR_NOMEM;
  entry->booking = *booking;
  if (bd_map_put (ledger->by_request, instance_key (booking->instance),
                  booking->number, entry)
      != BD_OK)
    {
      free (entry);
      return BD_ERR_NOMEM;
    }
  entry->next = ledger->entries;
  if (entry->next)
    entry->next->previous = entry;
  ledger->entries = entry;
  if (booked->prefill_tokens == 0)
    {
      booked->busy_since_ms = booking->placed_ms;
      booked->busy_tokens = 0;
    }
  booked->in_flight++;
  if (booking->is_short)
    booked->short_in_flight++;
  else
    booked->long_in_flight[booking->priority]++;
  booked->prefill_tokens += booking->prefill_tokens;
  booked->awaiting_first_event[booking->priority]++;
  bd_reserved_add_prompt (booked, booking->prefill_tokens, booking->placed_ms);
  return BD_OK;
}

const struct bd_booking *
bd_ledger_begun (struct bd_ledger *ledger, uint32_t instance, uint32_t number,
                 int64_t now_ms, struct bd_reading *sample)
{
  struct entry *entry
      = bd_map_get (ledger->by_request, instance_key (instance), number);

  *sample = (struct bd_reading){ 0 };
  if (!entry)
    return NULL;
  if (!entry->prefilled)
    {
      finish_prefill (entry);
      measure_prefill (&entry->booking.target->booked,
                       entry->booking.prefill_tokens, now_ms, sample);
    }
  return &entry->booking;
}

struct bd_target *
bd_ledger_ended (struct bd_ledger *ledger, uint32_t instance, uint32_t number)
{
  struct entry *entry
      = bd_map_get (ledger->by_request, instance_key (instance), number);
  struct bd_target *target = entry ? entry->booking.target : NULL;

  if (entry)
    release_entry (ledger, entry);
  return target;
}

void
bd_ledger_forget (struct bd_ledger *ledger, uint32_t instance)
{
  struct entry *next;

  for (struct entry *entry = ledger->entries; entry; entry = next)
    {
      next = entry->next;
      if (entry->booking.instance == instance)
        release_entry (ledger, entry);
    }
}

void
bd_ledger_lose (struct bd_ledger *ledger, uint32_t instance)
{
  for (struct entry *entry = ledger->entries; entry; entry = entry->next)
    if (entry->booking.instance == instance)
      abandon_prefill (entry);
}

void
bd_ledger_tick (struct bd_ledger *ledger, int64_t now_ms)
{
  struct entry *next;

  for (struct entry *entry = ledger->entries; entry; entry = next)
    {
      next = entry->next;
      if (now_ms >= entry->booking.until_ms)
        release_entry (ledger, entry);
    }
}

size_t
bd_ledger_count (const struct bd_ledger *ledger)
{
  return bd_map_count (ledger->by_request);
}
