#include "balance/former_software.h"

#include <stdlib.h>

void
bd_former_software_clear (struct bd_former_software *former)
{
  free (former->versions);
  *former = (struct bd_former_software){ 0 };
}

static bool
is_recent (int64_t at_ms, int64_t now_ms)
{
  return now_ms - at_ms < BD_FORMER_SOFTWARE_MS;
}

/* Returns the entry of a version, one that is not needed any more, or NULL. */
static struct bd_former_version *
find_place (struct bd_former_software *former, uint64_t service,
            uint64_t software, int64_t now_ms)
{
  struct bd_former_version *old = NULL;

  for (size_t i = 0; i < former->count; i++)
    {
      struct bd_former_version *version = &former->versions[i];

      if (version->service == service && version->software == software)
        return version;
      if (!is_recent (version->ended_ms, now_ms))
        old = version;
    }
  return old;
}

/* Returns a new entry, or NULL when out of memory. */
static struct bd_former_version *
add_place (struct bd_former_software *former)
{
  if (former->count == former->capacity)
    {
      size_t capacity = former->capacity ? former->capacity * 2 : 4;
      struct bd_former_version *versions
          = realloc (former->versions, capacity * sizeof *versions);

      if (!versions)
        return NULL;
      former->versions = versions;
      former->capacity = capacity;
    }
  return &former->versions[former->count++];
}

void
bd_former_software_record (struct bd_former_software *former, uint64_t service,
                           uint64_t software, int64_t now_ms)
{
  struct bd_former_version *version
      = find_place (former, service, software, now_ms);

  if (!version)
    version = add_place (former);
  if (version)
    *version = (struct bd_former_version){ service, software, now_ms };
  else
    former->lost_ms = now_ms;
}

bool
bd_former_software_has_other (const struct bd_former_software *former,
                              uint64_t service, uint64_t software,
                              int64_t since_ms)
{
  if (former->lost_ms != 0 && former->lost_ms >= since_ms)
    return true;
  for (size_t i = 0; i < former->count; i++)
    {
      const struct bd_former_version *version = &former->versions[i];

      if (version->service == service && version->software != software
          && version->ended_ms >= since_ms)
        return true;
    }
  return false;
}
