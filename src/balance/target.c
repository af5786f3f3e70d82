#include "balance/target_internal.h"

#include "balance/runner_limit.h"
#include "balance/short_only.h"
#include "common/log.h"

#include <stdlib.h>
#include <string.h>

struct bd_targets *
bd_targets_create (void)
{
  struct bd_targets *targets = calloc (1, sizeof *targets);

  if (!targets)
    return NULL;
  targets->by_hash = bd_map_create ();
  targets->by_address = bd_map_create ();
  targets->cold_rates = bd_map_create ();
  if (targets->by_hash && targets->by_address && targets->cold_rates)
    return targets;
  bd_targets_destroy (targets);
  return NULL;
}

static void
free_target (struct bd_target *target)
{
  free ((char *)target->id.data);
  free ((char *)target->service.data);
  free ((char *)target->zone.data);
  free (target);
}

void
bd_targets_destroy (struct bd_targets *targets)
{
  if (!targets)
    return;
  for (size_t i = 0; i < targets->count; i++)
    free_target (targets->all[i]);
  bd_map_destroy (targets->by_hash);
  bd_map_destroy (targets->by_address);
  bd_map_destroy (targets->cold_rates);
  bd_evacuations_clear (&targets->evacuations);
  bd_former_software_clear (&targets->former_software);
  free (targets->all);
  free (targets);
}

static struct bd_id
hash_key (uint64_t hash)
{
  return (struct bd_id){ .low = (uint32_t)hash };
}

struct bd_target *
bd_targets_by_hash (const struct bd_targets *targets, uint32_t hash)
{
  return bd_map_get (targets->by_hash, hash_key (hash), 0);
}

struct bd_target *
bd_targets_find (const struct bd_targets *targets, struct bd_chunk id)
{
  struct bd_target *target
      = bd_targets_by_hash (targets, (uint32_t)bd_chunk_hash (id));

  if (target && bd_chunk_equal (target->id, id))
    return target;
  /* Another runner with the same low half may have replaced it in the map. */
  for (size_t i = 0; i < targets->count; i++)
    if (bd_chunk_equal (targets->all[i]->id, id))
      return targets->all[i];
  return NULL;
}

static const char *
state_name (enum bd_target_state state)
{
  static const char *const names[] = { "ready", "draining", "lapsed", "gone" };

  return names[state];
}

void
bd_target_set_state (struct bd_targets *targets, struct bd_target *target,
                     enum bd_target_state state, uint64_t revision)
{
  if (target->state == state)
    return;
  targets->short_only_stale = true;
  bd_log (BD_EVENT_TARGET_STATE,
          "runner=%s service=%s from=%s to=%s rev=%llu software=%s",
          target->id.data, target->service.data, state_name (target->state),
          state_name (state), (unsigned long long)revision,
          bd_software_name (&target->software));
  target->state = state;
}

/* An entry without a version names no runner, so none has run it. */
void
bd_targets_record_ended (struct bd_targets *targets, struct bd_chunk service,
                         uint64_t software, int64_t now_ms)
{
  if (software > BD_SOFTWARE_UNNAMED)
    bd_former_software_record (&targets->former_software,
                               bd_chunk_hash (service), software, now_ms);
}

bool
bd_targets_had_other_software (const struct bd_targets *targets,
                               struct bd_chunk service, uint64_t software,
                               int64_t since_ms)
{
  return bd_former_software_has_other (
      &targets->former_software, bd_chunk_hash (service), software, since_ms);
}

int64_t
bd_targets_first_list_ms (const struct bd_targets *targets)
{
  return targets->first_list_ms;
}

static void
set_software (struct bd_targets *targets, struct bd_target *target,
              const struct bd_software *software, int64_t now_ms)
{
  struct bd_software before = target->software;

  if (!bd_software_set (&target->software, software))
    return;
  bd_targets_record_ended (targets, target->service, before.hash, now_ms);
  bd_log (BD_EVENT_TARGET_SOFTWARE, "runner=%s service=%s from=%s to=%s",
          target->id.data, target->service.data, bd_software_name (&before),
          bd_software_name (software));
}

static struct bd_id
address_key (uint32_t ip, uint16_t port)
{
  return (struct bd_id){ .low = (uint64_t)ip << 16 | port };
}

/* Removes TARGET from its address, unless another runner has that by now. */
static void
forget_address (struct bd_targets *targets, const struct bd_target *target)
{
  struct bd_id key = address_key (target->ip, target->port);

  if (bd_map_get (targets->by_address, key, 0) == target)
    bd_map_remove (targets->by_address, key, 0);
}

/* Records that of ENTRY and OTHER, which have the same address, the one whose
   process started first has ended. */
static void
record_replaced (struct bd_targets *targets,
                 const struct bd_target_entry *entry,
                 const struct bd_target *other, int64_t now_ms)
{
  if (other->state == BD_TARGET_GONE)
    return;
  if (other->started_ms <= entry->started_ms)
    bd_targets_record_ended (targets, other->service, other->software.hash,
                             now_ms);
  else
    bd_targets_record_ended (targets, entry->service, entry->software.hash,
                             now_ms);
}

static void
set_address (struct bd_targets *targets, struct bd_target *target,
             const struct bd_target_entry *entry, int64_t now_ms)
{
  struct bd_id key = address_key (entry->ip, entry->port);
  const struct bd_target *other;

  if (target->ip == entry->ip && target->port == entry->port)
    return;
  other = bd_map_get (targets->by_address, key, 0);
  if (other && other != target)
    record_replaced (targets, entry, other, now_ms);
  if (bd_map_put (targets->by_address, key, 0, target) != BD_OK)
    targets->former_software.lost_ms = now_ms;
  forget_address (targets, target);
  target->ip = entry->ip;
  target->port = entry->port;
}

static int
copy_chunk (struct bd_chunk from, struct bd_chunk *to)
{
  to->data = bd_chunk_copy (from);
  to->length = from.length;
  return to->data ? BD_OK : BD_ERR_NOMEM;
}

/* Returns the position of the first target that does not sort before SERVICE
   and HASH. */
static size_t
position_of (const struct bd_targets *targets, struct bd_chunk service,
             uint64_t hash)
{
  size_t first = 0;
  size_t last = targets->count;

  while (first < last)
    {
      size_t mid = first + (last - first) / 2;
      const struct bd_target *target = targets->all[mid];
      int order = bd_chunk_compare (target->service, service);

      if (order < 0 || (order == 0 && target->hash < hash))
        first = mid + 1;
      else
        last = mid;
    }
  return first;
}

static void
insert_sorted (struct bd_targets *targets, struct bd_target *target)
{
  size_t at = position_of (targets, target->service, target->hash);

  memmove (&targets->all[at + 1], &targets->all[at],
           (targets->count - at) * sizeof (struct bd_target *));
  targets->all[at] = target;
  targets->count++;
}

static struct bd_id
service_key (struct bd_chunk service)
{
  return (struct bd_id){ .low = bd_chunk_hash (service) };
}

static struct bd_target *
add (struct bd_targets *targets, int64_t now_ms,
     const struct bd_target_entry *entry)
{
  struct listed_target *slot = calloc (1, sizeof *slot);
  struct bd_target *target = slot ? &slot->public : NULL;

  if (!slot)
    return NULL;
  if (copy_chunk (entry->id, &target->id) != BD_OK
      || copy_chunk (entry->service, &target->service) != BD_OK
      || copy_chunk (entry->zone, &target->zone) != BD_OK)
    {
      free_target (target);
      return NULL;
    }
  if (targets->count == targets->capacity)
    {
      size_t capacity = targets->capacity ? targets->capacity * 2 : 16;
      struct bd_target **all
          = realloc (targets->all, capacity * sizeof (struct bd_target *));

      if (!all)
        {
          free_target (target);
          return NULL;
        }
      targets->all = all;
      targets->capacity = capacity;
    }
  target->hash = bd_chunk_hash (entry->id);
  target->cold_rate = (uint32_t)(uintptr_t)bd_map_get (
      targets->cold_rates, service_key (target->service), 0);
  target->evacuated
      = bd_evacuations_contain (&targets->evacuations, target->zone);
  if (bd_map_put (targets->by_hash, hash_key (target->hash), 0, target)
      != BD_OK)
    {
      free_target (target);
      return NULL;
    }
  target->first_seen_ms = now_ms;
  target->may_have_predecessor = targets->first_list_ms == 0;
  target->state = BD_TARGET_GONE;
  insert_sorted (targets, target);
  return target;
}

/* Whether an entry of REVISION may be from the store's older copy. */
static bool
is_from_copy (const struct bd_targets *targets, int64_t now_ms,
              uint64_t revision)
{
  return now_ms < targets->distrust_until_ms
         && revision <= targets->copy_revision;
}

void
bd_targets_begin_era (struct bd_targets *targets, int64_t now_ms,
                      uint64_t revision)
{
  targets->copy_revision = revision;
  targets->distrust_until_ms = now_ms + BD_TARGET_DISTRUST_MS;
  bd_lapse_begin (&targets->lapse, now_ms);
  for (size_t i = 0; i < targets->count; i++)
    targets->all[i]->revision = 0;
  bd_evacuations_begin_era (&targets->evacuations);
}

static void
update_evacuated (struct bd_targets *targets)
{
  for (size_t i = 0; i < targets->count; i++)
    targets->all[i]->evacuated = bd_evacuations_contain (
        &targets->evacuations, targets->all[i]->zone);
  targets->short_only_stale = true;
}

void
bd_targets_set_evacuated (struct bd_targets *targets, struct bd_chunk zone,
                          bool evacuated, uint64_t revision)
{
  if (bd_evacuations_set (&targets->evacuations, zone, evacuated, revision))
    update_evacuated (targets);
}

size_t
bd_targets_distrusted_count (const struct bd_targets *targets)
{
  size_t count = 0;

  for (size_t i = 0; i < targets->count; i++)
    count += targets->all[i]->distrusted;
  return count;
}

/* Drops what was learned of the process that ran before under the same
   identifier as the one that started at STARTED_MS. */
static void
handle_restart (struct bd_targets *targets, struct bd_target *target,
                int64_t now_ms, int64_t started_ms)
{
  memset (&target->health, 0, sizeof target->health);
  if (now_ms - target->pause.requested_ms >= BD_TARGET_LIST_DELAY_MAX_MS)
    memset (&target->pause, 0, sizeof target->pause);
  if (now_ms - target->limit.heard_ms >= BD_TARGET_LIST_DELAY_MAX_MS)
    memset (&target->limit, 0, sizeof target->limit);
  target->first_seen_ms = now_ms;
  target->parts_asked_ms = 0;
  target->may_have_predecessor = false;
  bd_targets_record_ended (targets, target->service, target->software.hash,
                           now_ms);
  if (started_ms > target->leaving_started_max_ms)
    target->leaving_ms = 0;
  targets->short_only_stale = true;
}

bool
bd_targets_set_leaving (struct bd_targets *targets, struct bd_target *target,
                        int64_t started_max_ms, int64_t now_ms,
                        bool received_here)
{
  if (started_max_ms < target->started_ms)
    return false;
  if (target->leaving_ms == 0
      || started_max_ms > target->leaving_started_max_ms)
    target->leaving_started_max_ms = started_max_ms;
  target->leaving_received_here |= received_here;
  if (target->leaving_ms != 0)
    return false;
  target->leaving_ms = now_ms;
  targets->short_only_stale = true;
  bd_log (BD_EVENT_TARGET_LEAVING, "runner=%s service=%s heard=%s state=%s",
          target->id.data, target->service.data,
          received_here ? "here" : "peer", state_name (target->state));
  return true;
}

/* Accepts a runner again that is published as ready long after it announced
   that it leaves. */
static void
expire_leaving (struct bd_targets *targets, struct bd_target *target,
                int64_t now_ms)
{
  if (target->leaving_ms == 0
      || now_ms - target->leaving_ms < BD_TARGET_LEAVING_MAX_MS)
    return;
  bd_log (BD_EVENT_TARGET_LEAVING, "runner=%s service=%s stayed_ms=%lld",
          target->id.data, target->service.data,
          (long long)(now_ms - target->leaving_ms));
  target->leaving_ms = 0;
  targets->short_only_stale = true;
}

int
bd_targets_set_cold_rate (struct bd_targets *targets, struct bd_chunk service,
                          uint32_t rate)
{
  size_t count;
  struct bd_target *const *all
      = bd_targets_of_service (targets, service, &count);

  for (size_t i = 0; i < count; i++)
    all[i]->cold_rate = rate;
  if (rate != 0)
    return bd_map_put (targets->cold_rates, service_key (service), 0,
                       (void *)(uintptr_t)rate);
  bd_map_remove (targets->cold_rates, service_key (service), 0);
  return BD_OK;
}

/* Sets how long TARGET still warms up.  From the start of that time on its
   requests are limited. */
static void
set_warmup (struct bd_target *target, int64_t now_ms, int64_t left_ms)
{
  if (left_ms > 0 && now_ms >= target->warmup_until_ms)
    bd_runner_limit_begin (target, now_ms);
  target->warmup_until_ms = now_ms + left_ms;
}

int
bd_targets_put (struct bd_targets *targets, int64_t now_ms,
                const struct bd_target_entry *entry, uint64_t revision)
{
  struct bd_target *target = bd_targets_find (targets, entry->id);
  bool from_copy = is_from_copy (targets, now_ms, revision);
  bool has_left;

  if (target && !bd_chunk_equal (target->service, entry->service))
    {
      /* An identifier never moves between services, so this is another runner.
         Requests in flight keep the old target. */
      bd_target_set_state (targets, target, BD_TARGET_GONE, revision);
      target->id.length = 0;
      target->leaving_ms = 0;
      target->pause.until_ms = 0;
      target->limit.rate = 0;
      target = NULL;
    }
  has_left = target ? bd_departure_is_known (target, entry)
                    : bd_departures_contain (&targets->departures, now_ms,
                                             bd_chunk_hash (entry->id),
                                             entry->started_ms);
  if (!target)
    target = add (targets, now_ms, entry);
  if (!target)
    return BD_ERR_NOMEM;
  ((struct listed_target *)target)->listed = true;
  if (revision < target->revision)
    return BD_OK;
  /* The copy shows a process that has been replaced since. */
  if (from_copy && entry->started_ms != 0
      && entry->started_ms < target->started_ms)
    return BD_OK;
  if (target->started_ms != 0 && entry->started_ms != target->started_ms)
    handle_restart (targets, target, now_ms, entry->started_ms);
  if (!entry->draining && revision > target->revision)
    expire_leaving (targets, target, now_ms);
  if (revision > target->revision)
    set_warmup (target, now_ms, entry->warmup_left_ms);
  /* Without a revision before, it may be what the store lists at first. */
  if (revision > target->revision && target->revision != 0)
    target->renewed_ms = now_ms;
  if (entry->created_revision == revision)
    target->may_have_predecessor = false;
  target->revision = revision;
  target->deleted_in_doubt = false;
  set_address (targets, target, entry, now_ms);
  target->slots = entry->slots;
  set_software (targets, target, &entry->software, now_ms);
  target->started_ms = entry->started_ms;
  target->distrusted = from_copy && has_left && !entry->draining;
  if (!target->distrusted)
    bd_target_set_state (
        targets, target,
        entry->draining ? BD_TARGET_DRAINING : BD_TARGET_READY, revision);
  return BD_OK;
}

/* Another target of this hash, of another service, may be in the map. */
static void
free_removed (struct bd_targets *targets, struct bd_target *target)
{
  if (bd_targets_by_hash (targets, (uint32_t)target->hash) == target)
    bd_map_remove (targets->by_hash, hash_key (target->hash), 0);
  forget_address (targets, target);
  free_target (target);
}

void
bd_targets_tick (struct bd_targets *targets, int64_t now_ms)
{
  size_t kept_count = 0;

  if (bd_evacuations_tick (&targets->evacuations, now_ms))
    update_evacuated (targets);
  for (size_t i = 0; i < targets->count; i++)
    {
      struct bd_target *target = targets->all[i];

      if (target->state == BD_TARGET_LAPSED && !targets->lapse.store_lost
          && now_ms >= target->lapse_until_ms)
        bd_target_set_gone (targets, target, now_ms);
      if (target->distrusted && now_ms >= targets->distrust_until_ms)
        {
          target->distrusted = false;
          bd_target_set_state (targets, target, BD_TARGET_READY,
                               target->revision);
        }
      if (now_ms >= targets->lapse.doubt_until_ms)
        target->deleted_in_doubt = false;
      if (target->state == BD_TARGET_GONE && target->in_flight == 0
          && target->assigned.in_flight == 0
          && !bd_departure_is_open (target, now_ms))
        free_removed (targets, target);
      else
        targets->all[kept_count++] = target;
    }
  targets->count = kept_count;
}

static void
update_short_only (struct bd_targets *targets)
{
  if (targets->short_only_stale)
    bd_short_only_update (targets->all, targets->count);
  targets->short_only_stale = false;
}

struct bd_target *const *
bd_targets_all (struct bd_targets *targets, size_t *count)
{
  update_short_only (targets);
  *count = targets->count;
  return targets->all;
}

struct bd_target *const *
bd_targets_of_service (struct bd_targets *targets, struct bd_chunk service,
                       size_t *count)
{
  size_t first = position_of (targets, service, 0);
  size_t last = first;

  update_short_only (targets);
  while (last < targets->count
         && bd_chunk_equal (targets->all[last]->service, service))
    last++;
  *count = last - first;
  return *count > 0 ? &targets->all[first] : targets->all;
}

bool
bd_target_usable (const struct bd_target *target)
{
  return target->leaving_ms == 0 && !target->evacuated
         && (target->state == BD_TARGET_READY
             || target->state == BD_TARGET_LAPSED);
}
