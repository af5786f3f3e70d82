/* Which strikes are told to peers. */
#include "retry/suspect_internal.h"

/* Fingerprints are listed by their number of crashes; so many and more count
   alike. */
#define RANKS ((size_t)3)

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

      if (bd_suspect_uncleared (&suspects->suspects[i]) < min_crashes)
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
          || bd_suspect_suspicion (suspect) != BD_SUSPICION_QUARANTINE)
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
  uint32_t crashes = bd_suspect_uncleared (suspect);

  if (crashes >= RANKS
      || bd_suspect_suspicion (suspect) == BD_SUSPICION_QUARANTINE)
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

      if (suspect->crash_count == 0 || bd_suspect_uncleared (suspect) == 0
          || rank_of (suspect) != *cursor / suspects->used)
        continue;
      if (!append_uncleared_of (suspect, now_ms, strikes, &count, max))
        break;
    }
  return count;
}
