#include "gateway/rank.h"

#include "common/random.h"

/* An instance ranks as strong if it has at least the largest processor share
   of all instances divided by this. */
#define STRONG_DIVISOR 2

struct candidate
{
  const struct bd_rank_entry *entry;
  uint64_t weight;
};

/* Returns whether A ranks before B: by state, then strong instances, then by
   rendezvous hash. */
static bool
ranks_before (const struct candidate *a, const struct candidate *b,
              uint32_t strong_millicores)
{
  const struct bd_peer_status *mine = &a->entry->status;
  const struct bd_peer_status *other = &b->entry->status;
  bool is_strong = mine->cpu_millicores >= strong_millicores;

  if (mine->state != other->state)
    return mine->state > other->state;
  if (is_strong != (other->cpu_millicores >= strong_millicores))
    return is_strong;
  return a->weight > b->weight;
}

/* Inserts CANDIDATE in order into the COUNT best ones, of which at most MAX
   are kept.  Returns the new count. */
static size_t
insert (struct candidate *best, size_t count, size_t max,
        const struct candidate *candidate, uint32_t strong_millicores)
{
  size_t position = count;

  while (position > 0
         && ranks_before (candidate, &best[position - 1], strong_millicores))
    {
      if (position < max)
        best[position] = best[position - 1];
      position--;
    }
  if (position < max)
    best[position] = *candidate;
  return count < max ? count + 1 : max;
}

size_t
bd_rank (const struct bd_rank_entry *all, size_t count, uint64_t key,
         uint32_t *ips, size_t max)
{
  struct candidate best[BD_RANK_MAX];
  uint32_t max_millicores = 0;
  size_t kept = 0;

  if (max > BD_RANK_MAX)
    max = BD_RANK_MAX;
  for (size_t i = 0; i < count; i++)
    if (all[i].status.cpu_millicores > max_millicores)
      max_millicores = all[i].status.cpu_millicores;
  for (size_t i = 0; i < count; i++)
    {
      struct candidate candidate
          = { &all[i], bd_random_mix (key ^ bd_random_mix (all[i].ip)) };

      if (all[i].status.state != BD_PEER_UNABLE)
        kept = insert (best, kept, max, &candidate,
                       max_millicores / STRONG_DIVISOR);
    }
  for (size_t i = 0; i < kept; i++)
    ips[i] = best[i].entry->ip;
  return kept;
}
