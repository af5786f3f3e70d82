#include "support_targets.h"

#include <glib.h>

struct bd_target_entry
support_entry (const char *id, const char *zone)
{
  return (struct bd_target_entry){ .id = bd_chunk_of (id),
                                   .service = BD_CHUNK ("llm"),
                                   .zone = bd_chunk_of (zone),
                                   .slots = 64 };
}

void
support_put_runners (struct bd_targets *targets, int count, int zones)
{
  for (int i = 0; i < count; i++)
    {
      char *id = g_strdup_printf ("r%d", i);
      char *zone = g_strdup_printf ("z%d", i % zones);
      struct bd_target_entry entry = support_entry (id, zone);

      g_assert_cmpint (bd_targets_put (targets, 0, &entry, (uint64_t)i + 1),
                       ==, BD_OK);
      g_free (id);
      g_free (zone);
    }
}

struct bd_target *
support_target (struct bd_targets *targets, const char *id)
{
  struct bd_target *target = bd_targets_find (targets, bd_chunk_of (id));

  g_assert_nonnull (target);
  return target;
}

void
support_set_software (struct bd_targets *targets, const char *id,
                      const char *software)
{
  struct bd_target *target = support_target (targets, id);
  struct bd_target_entry entry = support_entry (id, target->zone.data);

  entry.software = bd_software_of (bd_chunk_of (software));
  bd_targets_put (targets, 0, &entry, target->revision + 1);
}
