#include "retry/suspect_internal.h"

#include "common/map.h"
#include "common/random.h"
#include "common/string.h"
#include "retry/crash_summary.h"
#include "retry/harmless_parts.h"

#include <stdlib.h>
#include <string.h>

/* Limit on the gossip of refused attempts, in rounds per keep time. */
#define GOSSIPS_PER_KEEP_TIME 4

#define NONE UINT32_MAX
#define NEVER_MS (INT64_MIN / 2)

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
  bd_harmless_parts_destroy (suspects->completed);
  bd_crash_summary_destroy (suspects->summary);
  free (suspects->suspects);
  free (suspects);
}

int
bd_suspects_weigh_rivals (struct bd_suspects *suspects,
                          const struct bd_rivals *rivals, uint64_t seed)
{
  suspects->seed = seed;
  if (!suspects->completed)
    suspects->completed = bd_harmless_parts_create ();
  if (!suspects->summary)
    suspects->summary = bd_crash_summary_create ();
  if (!suspects->completed || !suspects->summary)
    return BD_ERR_NOMEM;
  suspects->rivals = rivals;
  return BD_OK;
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
uint32_t
bd_suspect_uncleared (const struct suspect *suspect)
{
  uint32_t open = 0;

  for (uint32_t i = 0; i < suspect->crash_count; i++)
    open += !suspect->crashes[i].cleared;
  return open;
}

enum bd_suspicion
bd_suspicion_by (const struct bd_suspect_evidence *evidence)
{
  if (evidence->alone >= BD_SUSPECT_QUARANTINE_STRIKES)
    return BD_SUSPICION_QUARANTINE;
  return evidence->crashes > 0 ? BD_SUSPICION_ISOLATE : BD_SUSPICION_NONE;
}

/* The suspicion by all strikes, also those that rivals explain. */
enum bd_suspicion
bd_suspect_suspicion (const struct suspect *suspect)
{
  struct bd_suspect_evidence evidence
      = { .crashes = bd_suspect_uncleared (suspect) };

  for (uint32_t i = 0; i < suspect->crash_count; i++)
    evidence.alone
        += !suspect->crashes[i].cleared && suspect->crashes[i].alone;
  return bd_suspicion_by (&evidence);
}

/* Rivals. */

static bool
was_completed (const struct bd_suspects *s, uint64_t fingerprint)
{
  return bd_harmless_parts_find (s->completed, fingerprint) != NULL;
}

/* The summary has to be made anew, as the strikes have changed. */
static void
invalidate_summary (struct bd_suspects *s)
{
  if (s->summary)
    bd_crash_summary_invalidate (s->summary);
}

static void
update_summary (const struct bd_suspects *s)
{
  if (bd_crash_summary_is_valid (s->summary))
    return;
  bd_crash_summary_begin (s->summary);
  for (uint32_t i = 0; i < s->used; i++)
    {
      const struct suspect *suspect = &s->suspects[i];
      uint32_t count = bd_suspect_uncleared (suspect);
      struct bd_crash_suspect who
          = { .id = suspect->fingerprint,
              .in_succession = count,
              .in_all = count,
              .unknown = !was_completed (s, suspect->fingerprint) };

      for (uint32_t k = 0; k < suspect->crash_count; k++)
        if (!suspect->crashes[k].cleared)
          bd_crash_summary_count (s->summary, suspect->crashes[k].id, &who);
    }
}

/* Whether a rival explains CRASH, one of COUNT uncleared ones of SUSPECT. */
static bool
is_explained (const struct bd_suspects *s, const struct suspect *suspect,
              const struct crash *crash, uint32_t count)
{
  bool completed = was_completed (s, suspect->fingerprint);

  return bd_crash_summary_explains (s->summary, crash->id, count, completed)
         || s->rivals->ops->explain (s->rivals, crash->id, count, completed);
}

bool
bd_suspects_explain (const struct bd_suspects *suspects, uint64_t exact,
                     uint64_t broad, struct bd_id crash, uint32_t count,
                     bool harmless_before)
{
  const struct bd_crash_cause *cause;

  update_summary (suspects);
  cause = bd_crash_summary_find (suspects->summary, crash, false);
  return cause && cause->leader != exact && cause->leader != broad
         && bd_rivals_outweigh (&cause->in_all, count, harmless_before);
}

static struct bd_suspect_evidence
weigh (const struct bd_suspects *s, const struct suspect *suspect)
{
  uint32_t count = bd_suspect_uncleared (suspect);
  struct bd_suspect_evidence evidence = { 0 };

  if (s->rivals)
    update_summary (s);
  for (uint32_t i = 0; i < suspect->crash_count; i++)
    {
      const struct crash *crash = &suspect->crashes[i];

      if (crash->cleared
          || (s->rivals && is_explained (s, suspect, crash, count)))
        continue;
      evidence.crashes++;
      evidence.alone += crash->alone;
    }
  return evidence;
}

static void
remove_suspect (struct bd_suspects *s, struct suspect *suspect)
{
  bd_map_remove (s->by_fingerprint, map_id (suspect->fingerprint), 0);
  invalidate_summary (s);
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
      int more = (int)bd_suspect_suspicion (suspect)
                 - (int)bd_suspect_suspicion (least);

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
  if (cleared && bd_suspect_suspicion (least) > BD_SUSPICION_NONE)
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
  suspect->last_crash_ms = NEVER_MS;
  suspect->trial_ms = NEVER_MS;
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

  if (suspect->crash_count < BD_SUSPECT_CRASHES_MAX)
    return &suspect->crashes[suspect->crash_count++];
  for (uint32_t i = 1; i < BD_SUSPECT_CRASHES_MAX; i++)
    if (crash_priority (&suspect->crashes[i]) < crash_priority (least))
      least = &suspect->crashes[i];
  return crash_priority (incoming) > crash_priority (least) ? least : NULL;
}

/*
 * Clears all crashes beside other requests, after a completion at a peer.
 * Entries store only BD_SUSPECT_CRASHES_MAX each, so that the peer may not
 * have stored, and thus not named, all crashes that are stored here.
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
  if (changed)
    invalidate_summary (suspects);
  if (changed && !strike->cleared && last > suspect->last_crash_ms)
    suspect->last_crash_ms = last;
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
  invalidate_summary (suspects);
  *slot = suspect->crashes[--suspect->crash_count];
  if (suspect->crash_count == 0)
    remove_suspect (suspects, suspect);
}

void
bd_suspects_completed (struct bd_suspects *suspects, int64_t now_ms,
                       uint64_t fingerprint)
{
  struct suspect *suspect = find_suspect (suspects, fingerprint);

  if (suspects->completed)
    bd_harmless_parts_record (suspects->completed, fingerprint, now_ms);
  if (!suspect)
    return;
  invalidate_summary (suspects);
  suspect->trials = 0;
  for (uint32_t i = 0; i < suspect->crash_count; i++)
    if (!suspect->crashes[i].cleared)
      {
        suspect->crashes[i].cleared = true;
        suspect->crashes[i].gossiped = false;
      }
}

/* Trials. */

/* Whether a request may pass, to show that its fingerprint, which was
   completed before, is harmless. */
static bool
may_try (const struct bd_suspects *s, const struct suspect *suspect,
         int64_t now_ms)
{
  uint64_t random = bd_random_mix (s->seed ^ (uint64_t)suspect->last_crash_ms);
  int64_t delay_ms = suspect->trials > 0 ? BD_SUSPECT_LONG_HOLD_MS
                                         : BD_SUSPECT_TRIAL_DELAY_MS;

  if (!s->rivals || !was_completed (s, suspect->fingerprint))
    return false;
  delay_ms += bd_random_below (&random, (uint32_t)delay_ms);
  return now_ms - suspect->last_crash_ms >= delay_ms
         && now_ms - suspect->trial_ms >= BD_SUSPECT_TRIAL_MS;
}

void
bd_suspects_sent (struct bd_suspects *suspects, int64_t now_ms,
                  uint64_t fingerprint)
{
  struct suspect *suspect = find_suspect (suspects, fingerprint);

  if (!suspect || weigh (suspects, suspect).crashes < BD_SUSPECT_HOLD_CRASHES)
    return;
  suspect->trial_ms = now_ms;
  suspect->trials++;
}

/* Checks. */

/* Counts a refused attempt of SUSPECT, which is quarantined. */
static void
count_refused (const struct bd_suspects *s, struct suspect *suspect,
               int64_t now_ms)
{
  suspect->last_event_ms = now_ms;
  if (now_ms - suspect->last_gossip_ms >= s->keep_ms / GOSSIPS_PER_KEEP_TIME)
    mark_not_gossiped (suspect, now_ms);
}

enum bd_suspicion
bd_suspects_check (struct bd_suspects *suspects, int64_t now_ms,
                   uint64_t fingerprint)
{
  struct suspect *suspect = find_suspect (suspects, fingerprint);
  struct bd_suspect_evidence evidence;

  if (!suspect || now_ms - suspect->last_event_ms >= suspects->keep_ms)
    return BD_SUSPICION_NONE;
  evidence = weigh (suspects, suspect);
  if (bd_suspicion_by (&evidence) != BD_SUSPICION_QUARANTINE)
    return bd_suspicion_by (&evidence);
  if (may_try (suspects, suspect, now_ms))
    return BD_SUSPICION_ISOLATE;
  count_refused (suspects, suspect, now_ms);
  return BD_SUSPICION_QUARANTINE;
}

bool
bd_suspects_must_wait (const struct bd_suspects *suspects, int64_t now_ms,
                       uint64_t fingerprint, bool in_progress)
{
  const struct suspect *suspect = find_suspect (suspects, fingerprint);
  uint32_t crashes = suspect ? weigh (suspects, suspect).crashes : 0;
  int64_t wait_ms = BD_SUSPECT_LONG_HOLD_MS;

  if (crashes < BD_SUSPECT_HOLD_CRASHES || may_try (suspects, suspect, now_ms))
    return false;
  if (crashes == BD_SUSPECT_HOLD_CRASHES)
    wait_ms = in_progress ? 0 : BD_SUSPECT_HOLD_MS;
  return now_ms - suspect->last_event_ms < wait_ms;
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
