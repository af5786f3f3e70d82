#include "balance/ledger.h"

#include "common/map.h"

#include <stdlib.h>

struct entry
{
  struct bd_booking booking;
  struct entry *next;
  struct entry *previous;
  bool begun;
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

static struct bd_id
key_of (uint32_t instance)
{
  return (struct bd_id){ instance, 0 };
}

static void
read_prompt (struct entry *entry)
{
  if (!entry->begun)
    entry->booking.target->booked.prefill_tokens
        -= entry->booking.prefill_tokens;
  entry->begun = true;
}

static void
end (struct bd_ledger *ledger, struct entry *entry)
{
  struct bd_booked *booked = &entry->booking.target->booked;

  read_prompt (entry);
  booked->in_flight--;
  booked->short_in_flight -= entry->booking.is_short;
  if (ledger->entries == entry)
    ledger->entries = entry->next;
  else
    entry->previous->next = entry->next;
  if (entry->next)
    entry->next->previous = entry->previous;
  bd_map_remove (ledger->by_request, key_of (entry->booking.instance),
                 entry->booking.number);
  free (entry);
}

void
bd_ledger_destroy (struct bd_ledger *ledger)
{
  if (!ledger)
    return;
  while (ledger->entries)
    end (ledger, ledger->entries);
  bd_map_destroy (ledger->by_request);
  free (ledger);
}

int
bd_ledger_book (struct bd_ledger *ledger, const struct bd_booking *booking)
{
  struct bd_booked *booked = &booking->target->booked;
  struct entry *entry;

  bd_ledger_ended (ledger, booking->instance, booking->number);
  if (bd_map_count (ledger->by_request) >= BD_LEDGER_MAX)
    return BD_ERR_FULL;
  entry = calloc (1, sizeof *entry);
  if (!entry)
    return BD_ERR_NOMEM;
  entry->booking = *booking;
  if (bd_map_put (ledger->by_request, key_of (booking->instance),
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
  booked->in_flight++;
  booked->short_in_flight += booking->is_short;
  booked->prefill_tokens += booking->prefill_tokens;
  return BD_OK;
}

const struct bd_booking *
bd_ledger_begun (struct bd_ledger *ledger, uint32_t instance, uint32_t number)
{
  struct entry *entry
      = bd_map_get (ledger->by_request, key_of (instance), number);

  if (!entry)
    return NULL;
  read_prompt (entry);
  return &entry->booking;
}

struct bd_target *
bd_ledger_ended (struct bd_ledger *ledger, uint32_t instance, uint32_t number)
{
  struct entry *entry
      = bd_map_get (ledger->by_request, key_of (instance), number);
  struct bd_target *target = entry ? entry->booking.target : NULL;

  if (entry)
    end (ledger, entry);
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
        end (ledger, entry);
    }
}

void
bd_ledger_lose (struct bd_ledger *ledger, uint32_t instance)
{
  for (struct entry *entry = ledger->entries; entry; entry = entry->next)
    if (entry->booking.instance == instance)
      read_prompt (entry);
}

void
bd_ledger_tick (struct bd_ledger *ledger, int64_t now_ms)
{
  struct entry *next;

  for (struct entry *entry = ledger->entries; entry; entry = next)
    {
      next = entry->next;
      if (now_ms >= entry->booking.until_ms)
        end (ledger, entry);
    }
}

size_t
bd_ledger_count (const struct bd_ledger *ledger)
{
  return bd_map_count (ledger->by_request);
}
