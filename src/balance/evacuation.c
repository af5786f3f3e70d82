#include "balance/evacuation.h"

#include "common/log.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Bytes for a zone's name in a log line. */
#define ZONE_LOG_BYTES 64

void
bd_evacuations_clear (struct bd_evacuations *evacuations)
{
  for (size_t i = 0; i < evacuations->count; i++)
    free ((char *)evacuations->zones[i].zone.data);
  memset (evacuations, 0, sizeof *evacuations);
}

static struct bd_evacuation *
find (struct bd_evacuations *evacuations, struct bd_chunk zone)
{
  for (size_t i = 0; i < evacuations->count; i++)
    if (bd_chunk_equal (evacuations->zones[i].zone, zone))
      return &evacuations->zones[i];
  return NULL;
}

static void
log_zone (const char *reason, struct bd_chunk zone, uint64_t revision)
{
  char quoted[ZONE_LOG_BYTES];

  bd_log (BD_EVENT_EVACUATION, "zone=%s state=%s revision=%" PRIu64,
          bd_log_quote (zone, quoted, sizeof quoted), reason, revision);
}

static struct bd_evacuation *
find_or_add (struct bd_evacuations *evacuations, struct bd_chunk zone)
{
  struct bd_evacuation *evacuation = find (evacuations, zone);
  char *name;

  if (evacuation)
    return evacuation;
  name = evacuations->count < BD_EVACUATIONS_MAX ? bd_chunk_copy (zone) : NULL;
  if (!name)
    return NULL;
  evacuation = &evacuations->zones[evacuations->count++];
  *evacuation = (struct bd_evacuation){ .zone = { name, zone.length } };
  return evacuation;
}

static bool
set_active (struct bd_evacuation *evacuation, bool active)
{
  if (evacuation->active == active)
    return false;
  evacuation->active = active;
  log_zone (active ? "evacuated" : "in_use", evacuation->zone,
            evacuation->revision);
  return true;
}

bool
bd_evacuations_set (struct bd_evacuations *evacuations, struct bd_chunk zone,
                    bool active, uint64_t revision)
{
  struct bd_evacuation *evacuation = find_or_add (evacuations, zone);

  if (!evacuation)
    {
      log_zone ("not_kept", zone, revision);
      return false;
    }
  evacuation->listed = true;
  if (revision < evacuation->revision)
    return false;
  evacuation->revision = revision;
  evacuation->ends_ms = 0;
  return set_active (evacuation, active);
}

bool
bd_evacuations_contain (const struct bd_evacuations *evacuations,
                        struct bd_chunk zone)
{
  for (size_t i = 0; i < evacuations->count; i++)
    if (bd_chunk_equal (evacuations->zones[i].zone, zone))
      return evacuations->zones[i].active;
  return false;
}

void
bd_evacuations_begin_era (struct bd_evacuations *evacuations)
{
  for (size_t i = 0; i < evacuations->count; i++)
    evacuations->zones[i].revision = 0;
}

void
bd_evacuations_list_begin (struct bd_evacuations *evacuations)
{
  for (size_t i = 0; i < evacuations->count; i++)
    evacuations->zones[i].listed = false;
}

void
bd_evacuations_list_end (struct bd_evacuations *evacuations, uint64_t revision,
                         int64_t ends_ms)
{
  for (size_t i = 0; i < evacuations->count; i++)
    {
      struct bd_evacuation *evacuation = &evacuations->zones[i];

      if (!evacuation->listed && evacuation->active
          && evacuation->revision <= revision)
        evacuation->ends_ms = ends_ms;
    }
}

bool
bd_evacuations_tick (struct bd_evacuations *evacuations, int64_t now_ms)
{
  bool changed = false;

  for (size_t i = 0; i < evacuations->count; i++)
    {
      struct bd_evacuation *evacuation = &evacuations->zones[i];

      if (evacuation->ends_ms == 0 || now_ms < evacuation->ends_ms)
        continue;
      evacuation->ends_ms = 0;
      changed |= set_active (evacuation, false);
    }
  return changed;
}
