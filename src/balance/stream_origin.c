#include "balance/stream_origin.h"

#include "common/random.h"

#include <stdlib.h>

/* Slots of the tables; powers of two.  A key has its place in one set of WAYS
   slots, of which the one that expires first is replaced. */
#define STREAM_SLOTS 16384
#define PROMPT_SLOTS 32768
/* Slots for parts at first, and at most: they double when one was dropped. */
#define PART_SLOTS_MIN 32768
#define PART_SLOTS_MAX 131072
#define WAYS 4
/* How long what a runner listed is used. */
#define HOLDER_KEEP_MS 15000
/* How long it is remembered which version read a prompt. */
#define PROMPT_KEEP_MS 600000

struct slot
{
  uint64_t key; /* 0: free. */
  uint64_t software;
  int64_t expires_ms;
  uint32_t target; /* Of a part: the runner that listed it last. */
};

/* Which runners list which parts. */
struct holders
{
  struct slot *slots;
  size_t slot_count;
  /* For each set, until when a part may have been dropped from it that is
     still listed, so that no other one in it is known for certain. */
  int64_t *incomplete_until_ms;
};

struct bd_stream_origins
{
  struct slot streams[STREAM_SLOTS];
  struct slot prompts[PROMPT_SLOTS];
  struct holders holders;
};

/* Sets HOLDERS to SLOT_COUNT free slots.  Returns false when out of memory. */
static bool
init_holders (struct holders *holders, size_t slot_count)
{
  holders->slot_count = slot_count;
  holders->slots = calloc (slot_count, sizeof *holders->slots);
  holders->incomplete_until_ms
      = calloc (slot_count / WAYS, sizeof *holders->incomplete_until_ms);
  return holders->slots && holders->incomplete_until_ms;
}

static void
clear_holders (struct holders *holders)
{
  free (holders->slots);
  free (holders->incomplete_until_ms);
}

struct bd_stream_origins *
bd_stream_origins_create (void)
{
  struct bd_stream_origins *origins = calloc (1, sizeof *origins);

  if (!origins || init_holders (&origins->holders, PART_SLOTS_MIN))
    return origins;
  bd_stream_origins_destroy (origins);
  return NULL;
}

void
bd_stream_origins_destroy (struct bd_stream_origins *origins)
{
  if (!origins)
    return;
  clear_holders (&origins->holders);
  free (origins);
}

uint64_t
bd_stream_number (struct bd_chunk attempt_id, struct bd_chunk workspace)
{
  uint64_t number;

  if (attempt_id.length == 0)
    return 0;
  number = bd_random_mix (bd_chunk_hash (attempt_id)
                          ^ bd_random_mix (bd_chunk_hash (workspace)));
  return number != 0 ? number : 1;
}

/* Returns the first slot of KEY's set. */
static size_t
first_slot (size_t slot_count, uint64_t key)
{
  return (bd_random_mix (key) & (slot_count / WAYS - 1)) * WAYS;
}

/* Returns the slot for KEY: its own, or the one of its set that expires first.
 */
static struct slot *
slot_for (struct slot *slots, size_t slot_count, uint64_t key, int64_t now_ms)
{
  struct slot *set = &slots[first_slot (slot_count, key)];
  struct slot *slot = set;

  for (size_t i = 0; i < WAYS; i++)
    {
      if (set[i].key == key && now_ms < set[i].expires_ms)
        return &set[i];
      if (set[i].expires_ms < slot->expires_ms)
        slot = &set[i];
    }
  return slot;
}

/* Adds ENTRY.  An entry of its key that names another version makes the
   version uncertain. */
static void
put (struct slot *slots, size_t slot_count, const struct slot *entry,
     int64_t now_ms)
{
  struct slot *slot = slot_for (slots, slot_count, entry->key, now_ms);

  if (slot->key != entry->key || now_ms >= slot->expires_ms)
    {
      *slot = *entry;
      return;
    }
  if (slot->software != entry->software)
    slot->software = BD_SOFTWARE_UNCERTAIN;
  if (slot->expires_ms < entry->expires_ms)
    {
      slot->expires_ms = entry->expires_ms;
      slot->target = entry->target;
    }
}

/* Returns the slot of KEY, or NULL. */
static const struct slot *
find (const struct slot *slots, size_t slot_count, uint64_t key,
      int64_t now_ms)
{
  const struct slot *set = &slots[first_slot (slot_count, key)];

  for (size_t i = 0; i < WAYS && key != 0; i++)
    if (set[i].key == key && now_ms < set[i].expires_ms)
      return &set[i];
  return NULL;
}

void
bd_stream_origins_record (struct bd_stream_origins *origins,
                          const struct bd_stream_origin *origin,
                          int64_t now_ms)
{
  struct slot entry
      = { origin->stream, origin->software, origin->expires_ms, 0 };

  if (origin->stream != 0 && origin->software != BD_SOFTWARE_ANY)
    put (origins->streams, STREAM_SLOTS, &entry, now_ms);
}

/* Doubles the slots, if there may be more and there is memory.  The parts of a
   set go to two new ones. */
static void
grow_holders (struct holders *holders)
{
  struct holders larger = { 0 };
  size_t set_count = holders->slot_count / WAYS;

  if (holders->slot_count >= PART_SLOTS_MAX)
    return;
  if (!init_holders (&larger, holders->slot_count * 2))
    {
      clear_holders (&larger);
      return;
    }
  for (size_t i = 0; i < holders->slot_count; i++)
    if (holders->slots[i].key != 0)
      *slot_for (larger.slots, larger.slot_count, holders->slots[i].key,
                 INT64_MIN)
          = holders->slots[i];
  for (size_t i = 0; i < set_count * 2; i++)
    larger.incomplete_until_ms[i]
        = holders->incomplete_until_ms[i % set_count];
  clear_holders (holders);
  *holders = larger;
}

static int64_t *
incomplete_until_ms (const struct holders *holders, uint64_t part)
{
  return &holders->incomplete_until_ms[first_slot (holders->slot_count, part)
                                       / WAYS];
}

/* Makes room for PART, and records what had to be dropped for it. */
static void
make_room (struct holders *holders, uint64_t part, int64_t now_ms)
{
  const struct slot *slot
      = slot_for (holders->slots, holders->slot_count, part, now_ms);
  int64_t *until_ms;

  if (slot->key == 0 || slot->key == part || now_ms >= slot->expires_ms)
    return;
  grow_holders (holders);
  slot = slot_for (holders->slots, holders->slot_count, part, now_ms);
  until_ms = incomplete_until_ms (holders, part);
  if (slot->key != 0 && slot->key != part && *until_ms < slot->expires_ms)
    *until_ms = slot->expires_ms;
}

void
bd_stream_origins_record_holder (struct bd_stream_origins *origins,
                                 uint64_t part,
                                 const struct bd_stream_holder *holder)
{
  struct slot entry = { part, holder->software,
                        holder->listed_ms + HOLDER_KEEP_MS, holder->target };

  if (part == 0)
    return;
  make_room (&origins->holders, part, holder->listed_ms);
  put (origins->holders.slots, origins->holders.slot_count, &entry,
       holder->listed_ms);
  if (!find (origins->prompts, PROMPT_SLOTS, part, holder->listed_ms))
    bd_stream_origins_record_prompt (origins, part, holder->software,
                                     holder->listed_ms);
}

uint64_t
bd_stream_origins_find (const struct bd_stream_origins *origins,
                        uint64_t stream, int64_t now_ms)
{
  const struct slot *slot
      = find (origins->streams, STREAM_SLOTS, stream, now_ms);

  return slot ? slot->software : BD_SOFTWARE_ANY;
}

bool
bd_stream_origins_find_holder (const struct bd_stream_origins *origins,
                               uint64_t part, int64_t now_ms,
                               struct bd_stream_holder *holder)
{
  const struct holders *holders = &origins->holders;
  const struct slot *slot
      = find (holders->slots, holders->slot_count, part, now_ms);

  if (!slot)
    return false;
  *holder = (struct bd_stream_holder){ slot->software, slot->target,
                                       slot->expires_ms - HOLDER_KEEP_MS };
  if (now_ms < *incomplete_until_ms (holders, part))
    holder->software = BD_SOFTWARE_UNCERTAIN;
  return true;
}

void
bd_stream_origins_record_prompt (struct bd_stream_origins *origins,
                                 uint64_t part, uint64_t software,
                                 int64_t now_ms)
{
  if (part != 0 && software != BD_SOFTWARE_UNCERTAIN)
    *slot_for (origins->prompts, PROMPT_SLOTS, part, now_ms)
        = (struct slot){ part, software, now_ms + PROMPT_KEEP_MS, 0 };
}

uint64_t
bd_stream_origins_find_prompt (const struct bd_stream_origins *origins,
                               uint64_t part, int64_t now_ms)
{
  const struct slot *slot
      = find (origins->prompts, PROMPT_SLOTS, part, now_ms);

  return slot ? slot->software : BD_SOFTWARE_ANY;
}
