#include "retry/suspect.h"

#include "common/map.h"
#include "common/string.h"

#include <stdlib.h>
#include <string.h>

/* Crashes stored for one fingerprint. */
#define MAX_CRASHES 4
/* Fingerprints are listed by their number of crashes; so many and more count
   alike. */
#define RANKS ((size_t)3)

/* Limit on the gossip of refused attempts, in rounds per keep time. */
#define GOSSIPS_PER_KEEP_TIME 4

#define NONE UINT32_MAX

struct crash
{
  struct bd_id id;
  bool alone;
  bool cleared;
  bool provisional;
  bool gossiped; /* Was gossiped, or need not be. */
};

struct suspect
{
  uint64_t fingerprint;
  int64_t last_event_ms;
  int64_t last_gossip_ms; /* Value of LAST_EVENT_MS that was last gossiped. */
  uint32_t next_free;     /* In the list of free records. */
  uint32_t crash_count;   /* 0 in a free record. */
  struct crash crashes[MAX_CRASHES];
};

struct bd_suspects
{
  uint32_t capacity;
  uint32_t used;
  uint32_t free_list;
  uint32_t gossip_cursor; /* Where the next gossip round starts. */
  int64_t keep_ms;
  struct suspect *suspects;
  struct bd_map *by_fingerprint;
};

struct bd_suspects *
bd_suspects_create (uint32_t max_fingerprints, int64_t keep_ms)
{
  struct bd_suspects *s = calloc (1, sizeof *s);

  if (!s)
    return NULL;
  s->capacity = max_fingerprints > 0 ? max_fingerprints : 1;
  s->keep_ms = keep_ms;
  s->free_list = NONE;
  s->suspects = calloc (s->capacity, sizeof *s->suspects);
  s->by_fingerprint = bd_map_create ();
  if (!s->suspects || !s->by_fingerprint)
    {
      bd_suspects_destroy (s);
      return NULL;
    }
  return s;
}

void
bd_suspects_destroy (struct bd_suspects *suspects)
{
  if (!suspects)
    return;
  bd_map_destroy (suspects->by_fingerprint);
  free (suspects->suspects);
  free (suspects);
}

static struct bd_id
map_id (uint64_t fingerprint)
{
  return (struct bd_id){ .high = 0, .low = fingerprint };
}

static struct suspect *
find_suspect (const struct bd_suspects *s, uint64_t fingerprint)
{
  return bd_map_get (s->by_fingerprint, map_id (fingerprint), 0);
}

/* Number of crashes that no completed request has cleared. */
static uint32_t
count_uncleared (const struct suspect *suspect)
{
  uint32_t open = 0;

  for (uint32_t i = 0; i < suspect->crash_count; i++)
    open += !suspect->crashes[i].cleared;
  return open;
}

static enum bd_suspicion
suspicion_of (const struct suspect *suspect)
{
  uint32_t alone = 0;

  for (uint32_t i = 0; i < suspect->crash_count; i++)
    alone += !suspect->crashes[i].cleared && suspect->crashes[i].alone;
  if (alone >= BD_SUSPECT_QUARANTINE_STRIKES)
    return BD_SUSPICION_QUARANTINE;
  return count_uncleared (suspect) > 0 ? BD_SUSPICION_ISOLATE
                                       : BD_SUSPICION_NONE;
}

static void
remove_suspect (struct bd_suspects *s, struct suspect *suspect)
{
  bd_map_remove (s->by_fingerprint, map_id (suspect->fingerprint), 0);
  suspect->crash_count = 0;
  suspect->next_free = s->free_list;
  s->free_list = (uint32_t)(suspect - s->suspects);
}

static struct suspect *
find_least_suspected (const struct bd_suspects *s)
{
  struct suspect *least = &s->suspects[0];

  for (uint32_t i = 1; i < s->used; i++)
    {
      struct suspect *suspect = &s->suspects[i];
      int more = (int)suspicion_of (suspect) - (int)suspicion_of (least);

      if (more < 0
          || (more == 0 && suspect->last_event_ms < least->last_event_ms))
        least = suspect;
    }
  return least;
}

/* Makes room for a strike.  False if the strike is cleared and every stored
   fingerprint is suspected. */
static bool
make_room (struct bd_suspects *s, bool cleared)
{
  struct suspect *least;

  if (s->free_list != NONE || s->used < s->capacity)
    return true;
  least = find_least_suspected (s);
  if (cleared && suspicion_of (least) > BD_SUSPICION_NONE)
    return false;
  remove_suspect (s, least);
  return true;
}

static struct suspect *
add_suspect (struct bd_suspects *s, const struct bd_strike *strike)
{
  struct suspect *suspect;
  uint32_t i;

  if (!make_room (s, strike->cleared))
    return NULL;
  i = s->free_list != NONE ? s->free_list : s->used;
  suspect = &s->suspects[i];
  if (bd_map_put (s->by_fingerprint, map_id (strike->fingerprint), 0, suspect)
      != BD_OK)
    return NULL;
  if (i == s->used)
    s->used++;
  else
    s->free_list = suspect->next_free;
  memset (suspect, 0, sizeof *suspect);
  suspect->fingerprint = strike->fingerprint;
  suspect->last_event_ms = INT64_MIN;
  return suspect;
}

/* Rank of a stored crash; the lowest is overwritten first. */
static int
crash_priority (const struct crash *crash)
{
  if (crash->cleared)
    return 0;
  return crash->alone ? 2 : 1;
}

static struct crash *
choose_crash_slot (struct suspect *suspect, const struct crash *incoming)
{
  struct crash *least = &suspect->crashes[0];

  if (suspect->crash_count < MAX_CRASHES)
    return &suspect->crashes[suspect->crash_count++];
  for (uint32_t i = 1; i < MAX_CRASHES; i++)
    if (crash_priority (&suspect->crashes[i]) < crash_priority (least))
      least = &suspect->crashes[i];
  return crash_priority (incoming) > crash_priority (least) ? least : NULL;
}

/*
 * Clears all crashes beside other requests, after a completion at a peer.
 * Entries store only MAX_CRASHES each, so that the peer may not have stored,
 * and thus not named, all crashes that are stored here.
 */
static void
clear_shared_crashes (struct suspect *suspect)
{
  for (uint32_t i = 0; i < suspect->crash_count; i++)
    if (!suspect->crashes[i].alone)
      suspect->crashes[i].cleared = true;
}

static struct crash *
find_crash (struct suspect *suspect, struct bd_id id)
{
  for (uint32_t i = 0; i < suspect->crash_count; i++)
    if (bd_id_equal (suspect->crashes[i].id, id))
      return &suspect->crashes[i];
  return NULL;
}

/* Adds a strike to SUSPECT.  Returns true if that changed it. */
static bool
merge_strike (struct suspect *suspect, const struct bd_strike *strike)
{
  struct crash crash = { .id = strike->crash,
                         .alone = strike->alone,
                         .cleared = strike->cleared,
                         .provisional = strike->provisional };
  struct crash *slot = find_crash (suspect, strike->crash);

  if (slot && slot->provisional && !strike->provisional && !slot->cleared)
    {
      slot->provisional = false;
      slot->gossiped = false;
      slot->cleared = strike->cleared;
      return true;
    }
  if (slot && (slot->cleared || !strike->cleared))
    return false;
  if (strike->cleared)
    clear_shared_crashes (suspect);
  if (!slot)
    slot = choose_crash_slot (suspect, &crash);
  if (!slot)
    return false;
  *slot = crash;
  return true;
}

static void
mark_not_gossiped (struct suspect *suspect, int64_t last_ms)
{
  suspect->last_gossip_ms = last_ms;
  for (uint32_t i = 0; i < suspect->crash_count; i++)
    suspect->crashes[i].gossiped = false;
}

bool
bd_suspects_record (struct bd_suspects *suspects, int64_t now_ms,
                    const struct bd_strike *strike)
{
  int64_t age = strike->age_ms > 0 ? strike->age_ms : 0;
  int64_t last = now_ms - age;
  struct suspect *suspect;
  bool changed;

  if (age >= suspects->keep_ms)
    return false;
  suspect = find_suspect (suspects, strike->fingerprint);
  if (!suspect)
    suspect = add_suspect (suspects, strike);
  if (!suspect)
    return false;
  changed = merge_strike (suspect, strike);
  if (last > suspect->last_event_ms)
    suspect->last_event_ms = last;
  if (suspect->crash_count == 1 && changed)
    suspect->last_gossip_ms = last;
  if (!changed
      && suspect->last_event_ms - suspect->last_gossip_ms
             >= suspects->keep_ms / GOSSIPS_PER_KEEP_TIME)
    {
      mark_not_gossiped (suspect, suspect->last_event_ms);
      changed = true;
    }
  return changed;
}

bool
bd_suspects_record_gossip (struct bd_suspects *suspects, int64_t now_ms,
                           const struct bd_strike *strike)
{
  bool changed = bd_suspects_record (suspects, now_ms, strike);
  struct suspect *suspect
      = changed ? find_suspect (suspects, strike->fingerprint) : NULL;

  if (suspect && suspect->crash_count == 1)
    suspect->crashes[0].gossiped = true;
  return changed;
}

void
bd_suspects_dismiss (struct bd_suspects *suspects, uint64_t fingerprint,
                     struct bd_id crash)
{
  struct suspect *suspect = find_suspect (suspects, fingerprint);
  struct crash *slot = suspect ? find_crash (suspect, crash) : NULL;

  if (!slot || !slot->provisional)
    return;
  *slot = suspect->crashes[--suspect->crash_count];
  if (suspect->crash_count == 0)
    remove_suspect (suspects, suspect);
}

void
bd_suspects_completed (struct bd_suspects *suspects, int64_t now_ms,
                       uint64_t fingerprint)
{
  struct suspect *suspect = find_suspect (suspects, fingerprint);

  (void)now_ms;
  if (!suspect)
    return;
  for (uint32_t i = 0; i < suspect->crash_count; i++)
    if (!suspect->crashes[i].cleared)
      {
        suspect->crashes[i].cleared = true;
        suspect->crashes[i].gossiped = false;
      }
}

enum bd_suspicion
bd_suspects_check (struct bd_suspects *suspects, int64_t now_ms,
                   uint64_t fingerprint)
{
  struct suspect *suspect = find_suspect (suspects, fingerprint);
  enum bd_suspicion suspicion;

  if (!suspect || now_ms - suspect->last_event_ms >= suspects->keep_ms)
    return BD_SUSPICION_NONE;
  suspicion = suspicion_of (suspect);
  if (suspicion == BD_SUSPICION_QUARANTINE)
    {
      suspect->last_event_ms = now_ms;
      if (now_ms - suspect->last_gossip_ms
          >= suspects->keep_ms / GOSSIPS_PER_KEEP_TIME)
        mark_not_gossiped (suspect, now_ms);
    }
  return suspicion;
}

bool
bd_suspects_must_wait (const struct bd_suspects *suspects, int64_t now_ms,
                       uint64_t fingerprint)
{
  const struct suspect *suspect = find_suspect (suspects, fingerprint);
  uint32_t crashes = suspect ? count_uncleared (suspect) : 0;

  if (crashes < BD_SUSPECT_HOLD_CRASHES)
    return false;
  return now_ms - suspect->last_event_ms < (crashes == BD_SUSPECT_HOLD_CRASHES
                                                ? BD_SUSPECT_HOLD_MS
                                                : BD_SUSPECT_LONG_HOLD_MS);
}

uint32_t
bd_suspects_runner (uint64_t fingerprint, const struct bd_chunk *instances,
                    size_t count)
{
  uint32_t best = 0;
  uint64_t best_score = 0;

  for (size_t i = 0; i < count; i++)
    {
      uint64_t pair[2] = { fingerprint, bd_chunk_hash (instances[i]) };
      struct bd_chunk bytes = { (const char *)pair, sizeof pair };
      uint64_t score = bd_chunk_hash (bytes);

      if (i == 0 || score > best_score
          || (score == best_score
              && bd_chunk_compare (instances[i], instances[best]) < 0))
        {
          best = (uint32_t)i;
          best_score = score;
        }
    }
  return best;
}

static size_t
append_pending_of (struct suspect *suspect, int64_t now_ms,
                   struct bd_strike *strikes, size_t max)
{
  size_t n = 0;

  for (uint32_t i = 0; i < suspect->crash_count && n < max; i++)
    {
      struct crash *c = &suspect->crashes[i];

      if (c->gossiped || c->provisional)
        continue;
      c->gossiped = true;
      strikes[n++]
          = (struct bd_strike){ .fingerprint = suspect->fingerprint,
                                .crash = c->id,
                                .alone = c->alone,
                                .cleared = c->cleared,
                                .age_ms = now_ms - suspect->last_event_ms };
    }
  return n;
}

/* Appends pending strikes of fingerprints with at least MIN_CRASHES uncleared
   crashes. */
static size_t
append_pending (struct bd_suspects *suspects, uint32_t min_crashes,
                int64_t now_ms, struct bd_strike *strikes, size_t n,
                size_t max)
{
  uint32_t from = suspects->gossip_cursor;

  for (uint32_t k = 0; k < suspects->used && n < max; k++)
    {
      uint32_t i = (from + k) % suspects->used;

      if (count_uncleared (&suspects->suspects[i]) < min_crashes)
        continue;
      n += append_pending_of (&suspects->suspects[i], now_ms, strikes + n,
                              max - n);
      if (n == max)
        suspects->gossip_cursor = i + 1;
    }
  return n;
}

size_t
bd_suspects_next_gossip (struct bd_suspects *suspects, int64_t now_ms,
                         struct bd_strike *strikes, size_t max)
{
  size_t n = append_pending (suspects, 2, now_ms, strikes, 0, max);

  return append_pending (suspects, 0, now_ms, strikes, n, max);
}

/* Appends all uncleared strikes of SUSPECT, or none and returns false if there
   is no room. */
static bool
append_uncleared_of (const struct suspect *suspect, int64_t now_ms,
                     struct bd_strike *strikes, size_t *count, size_t max)
{
  if (*count + suspect->crash_count > max)
    return false;
  for (uint32_t i = 0; i < suspect->crash_count; i++)
    if (!suspect->crashes[i].cleared && !suspect->crashes[i].provisional)
      strikes[(*count)++]
          = (struct bd_strike){ .fingerprint = suspect->fingerprint,
                                .crash = suspect->crashes[i].id,
                                .alone = suspect->crashes[i].alone,
                                .age_ms = now_ms - suspect->last_event_ms };
  return true;
}

size_t
bd_suspects_list (const struct bd_suspects *suspects, int64_t now_ms,
                  size_t *cursor, struct bd_strike *strikes, size_t max)
{
  size_t count = 0;

  for (size_t k = 0; k < suspects->used; k++)
    {
      size_t index = (*cursor + k) % suspects->used;
      const struct suspect *suspect = &suspects->suspects[index];

      if (suspect->crash_count == 0
          || suspicion_of (suspect) != BD_SUSPICION_QUARANTINE)
        continue;
      if (!append_uncleared_of (suspect, now_ms, strikes, &count, max))
        {
          *cursor = index;
          break;
        }
    }
  return count;
}

/* Returns the place in which SUSPECT is listed, less than RANKS. */
static size_t
rank_of (const struct suspect *suspect)
{
  uint32_t crashes = count_uncleared (suspect);

  if (crashes >= RANKS || suspicion_of (suspect) == BD_SUSPICION_QUARANTINE)
    return 0;
  return RANKS - crashes;
}

size_t
bd_suspects_list_all (const struct bd_suspects *suspects, int64_t now_ms,
                      size_t *cursor, struct bd_strike *strikes, size_t max)
{
  size_t count = 0;

  for (; *cursor < RANKS * suspects->used; ++*cursor)
    {
      const struct suspect *suspect
          = &suspects->suspects[*cursor % suspects->used];

      if (suspect->crash_count == 0 || count_uncleared (suspect) == 0
          || rank_of (suspect) != *cursor / suspects->used)
        continue;
      if (!append_uncleared_of (suspect, now_ms, strikes, &count, max))
        break;
    }
  return count;
}

void
bd_suspects_tick (struct bd_suspects *suspects, int64_t now_ms)
{
  for (uint32_t i = 0; i < suspects->used; i++)
    {
      struct suspect *suspect = &suspects->suspects[i];

      if (suspect->crash_count > 0
          && now_ms - suspect->last_event_ms >= suspects->keep_ms)
        remove_suspect (suspects, suspect);
    }
}
