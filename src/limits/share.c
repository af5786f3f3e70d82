#include "limits/share.h"

#include "basildock.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define MOVABLE (1.0 - BD_SHARE_FLOOR)
/** Entries that are assumed before their number is known. */
#define UNKNOWN_ENTRIES 16
/** A surplus this small is given up at once, a larger one by halves. */
#define SURPLUS_MIN 0.01
/** Least claim, as a part of an equal part. */
#define CLAIM_MIN 0.02
#define START_PEERS 8

struct bd_share_peer
{
  struct bd_table_node node; /**< The name is the hash. */
  int64_t heard_ms;
  int64_t since_ms;    /**< In touch without a break since then. */
  uint64_t generation; /**< Tells apart the peers that had this place. */
  int place;
};

/** What a peer told last. */
struct bd_share_record
{
  uint64_t generation; /**< Of the peer it is of; 0: none. */
  int64_t told_ms;
  double held;
  double demand;
};

/** The shares as seen from here. */
struct view
{
  double equal;     /**< One equal part. */
  double available; /**< For this entry and the peers in touch. */
  double held;      /**< By them. */
  double demand;
  double gaps; /**< What they lack of their parts. */
};

void
bd_share_group_clear (struct bd_share_group *group)
{
  for (size_t i = 0; i < group->peer_capacity; i++)
    free (group->peers[i]);
  free ((void *)group->peers);
  bd_table_clear (&group->by_name);
  memset (group, 0, sizeof *group);
}

void
bd_share_group_start (struct bd_share_group *group, int64_t now_ms)
{
  if (group->started)
    return;
  group->started = true;
  group->changed_ms = now_ms;
}

static int
group_grow (struct bd_share_group *group)
{
  size_t before = group->peer_capacity;
  size_t capacity = before > 0 ? before * 2 : START_PEERS;
  void *peers = realloc ((void *)group->peers,
                         capacity * sizeof (struct bd_share_peer *));

  if (!peers)
    return BD_ERR_NOMEM;
  group->peers = (struct bd_share_peer **)peers;
  group->peer_capacity = capacity;
  for (size_t i = before; i < capacity; i++)
    group->peers[i] = NULL;
  return BD_OK;
}

/** What was told while a peer could not hear counts as not told. */
static void
note_return (struct bd_share_group *group, struct bd_share_peer *p,
             int64_t now_ms)
{
  p->since_ms = now_ms;
  group->changed_ms = now_ms;
}

static struct bd_share_peer *
peer_create (struct bd_share_group *group, int64_t now_ms, uint64_t name)
{
  struct bd_share_peer *p;
  size_t place = 0;

  if (group->peer_count >= BD_SHARE_PEERS_MAX)
    return NULL;
  while (place < group->peer_capacity && group->peers[place])
    place++;
  if (place == group->peer_capacity && group_grow (group) != BD_OK)
    return NULL;
  p = calloc (1, sizeof *p);
  if (!p || bd_table_insert (&group->by_name, &p->node, name) != BD_OK)
    {
      free (p);
      return NULL;
    }
  p->place = (int)place;
  p->generation = ++group->generation;
  p->heard_ms = now_ms;
  note_return (group, p, now_ms);
  group->peers[place] = p;
  group->peer_count++;
  return p;
}

int
bd_share_group_heard (struct bd_share_group *group, int64_t now_ms,
                      uint64_t name)
{
  struct bd_share_peer *p
      = (struct bd_share_peer *)bd_table_first (&group->by_name, name);

  if (!p)
    p = peer_create (group, now_ms, name);
  if (!p)
    return -1;
  if (now_ms - p->heard_ms >= BD_SHARE_SILENT_MS)
    note_return (group, p, now_ms);
  p->heard_ms = now_ms;
  return p->place;
}

void
bd_share_group_tick (struct bd_share_group *group, int64_t now_ms)
{
  for (size_t i = 0; i < group->peer_capacity; i++)
    {
      struct bd_share_peer *p = group->peers[i];

      if (!p || now_ms - p->heard_ms < BD_SHARE_EXPIRE_MS)
        continue;
      bd_table_remove (&group->by_name, &p->node);
      group->peers[i] = NULL;
      group->peer_count--;
      free (p);
    }
}

/** Entries that divide: as set, or more when more are heard. */
static double
entry_count (const struct bd_share_group *group)
{
  double known = group->entries > 0 ? group->entries : UNKNOWN_ENTRIES;

  return fmax (known, (double)group->peer_count + 1.0);
}

static bool
alone (const struct bd_share_group *group)
{
  return group->entries == 1 && group->peer_count == 0;
}

void
bd_share_clear (struct bd_share *share)
{
  free (share->records);
  memset (share, 0, sizeof *share);
}

void
bd_share_note (struct bd_share *share, const struct bd_share_group *group,
               int place, int64_t now_ms, double held, double demand)
{
  size_t capacity = group->peer_capacity;

  if (share->record_capacity < capacity)
    {
      struct bd_share_record *records
          = realloc (share->records, capacity * sizeof *records);

      if (!records)
        return;
      memset (&records[share->record_capacity], 0,
              (capacity - share->record_capacity) * sizeof *records);
      share->records = records;
      share->record_capacity = capacity;
    }
  share->records[place]
      = (struct bd_share_record){ .generation
                                  = group->peers[place]->generation,
                                  .told_ms = now_ms,
                                  .held = fmin (fmax (held, 0.0), 1.0),
                                  .demand = fmin (fmax (demand, 0.0), 1.0) };
}

double
bd_share_in_use (const struct bd_share *share)
{
  return share->held + share->claim;
}

void
bd_share_told (struct bd_share *share, int64_t now_ms)
{
  if (share->claim <= 0.0 || share->told)
    return;
  share->told = true;
  share->told_ms = now_ms;
}

/** What peer I told, or NULL when it stopped telling. */
static const struct bd_share_record *
record_of (const struct bd_share *share, const struct bd_share_group *group,
           size_t i, int64_t now_ms)
{
  const struct bd_share_record *r;

  if (i >= share->record_capacity || !group->peers[i])
    return NULL;
  r = &share->records[i];
  if (r->generation != group->peers[i]->generation
      || now_ms - r->told_ms >= BD_SHARE_EXPIRE_MS)
    return NULL;
  return r;
}

/**
 * Whether what peer I told, R, can be relied on.  After a silence, and at
 * first, the peer must have told, or had the time to.
 */
static bool
in_touch (const struct bd_share_group *group, size_t i,
          const struct bd_share_record *r, int64_t now_ms)
{
  const struct bd_share_peer *p = group->peers[i];

  if (now_ms - p->heard_ms >= BD_SHARE_LEASE_MS)
    return false;
  return now_ms - p->since_ms >= BD_SHARE_START_MS
         || (r && r->told_ms >= p->since_ms);
}

/**
 * Sums up what is held and wanted.  A silent peer is left at least an equal
 * part: it comes down to that before its last share expires here.
 */
static struct view
look (const struct bd_share *share, const struct bd_share_group *group,
      int64_t now_ms)
{
  double entries = entry_count (group);
  struct view v = { .equal = MOVABLE / entries,
                    .held = bd_share_in_use (share),
                    .demand = share->demand };
  double reserved = v.equal * (entries - 1.0 - (double)group->peer_count);

  for (size_t i = 0; i < group->peer_capacity; i++)
    {
      const struct bd_share_record *r = record_of (share, group, i, now_ms);

      if (!group->peers[i])
        continue;
      if (!in_touch (group, i, r, now_ms))
        reserved += r ? fmax (v.equal, r->held) : v.equal;
      else if (r)
        {
          v.held += r->held;
          v.demand += r->demand;
        }
    }
  v.available = fmax (0.0, MOVABLE - reserved);
  return v;
}

/** The part of what is available that DEMAND entitles to. */
static double
target (const struct view *v, double demand)
{
  return v->demand > 0.0 ? v->available * demand / v->demand : 0.0;
}

/** What this entry and the peers in touch lack together. */
static double
sum_gaps (const struct bd_share *share, const struct bd_share_group *group,
          const struct view *v, int64_t now_ms)
{
  double gaps = fmax (0.0, target (v, share->demand) - share->held);

  for (size_t i = 0; i < group->peer_capacity; i++)
    {
      const struct bd_share_record *r = record_of (share, group, i, now_ms);

      if (r && in_touch (group, i, r, now_ms))
        gaps += fmax (0.0, target (v, r->demand) - r->held);
    }
  return gaps;
}

/** Whether each entry there is was heard lately. */
static bool
all_heard (const struct bd_share_group *group, int64_t now_ms)
{
  double heard = 1.0;

  for (size_t i = 0; i < group->peer_capacity; i++)
    {
      const struct bd_share_peer *p = group->peers[i];

      if (p && now_ms - p->heard_ms < BD_SHARE_SILENT_MS)
        heard += 1.0;
    }
  return heard >= entry_count (group);
}

/**
 * Whether enough was heard to know who holds what.  Unless all are heard, a
 * part that came with a returned peer may still be held beyond the partition
 * that it came from, until the lease there ends.
 */
static bool
knows_enough (const struct bd_share *share, const struct bd_share_group *group,
              int64_t now_ms)
{
  int64_t since_ms = share->since_ms > group->changed_ms ? share->since_ms
                                                         : group->changed_ms;
  int64_t need_ms
      = all_heard (group, now_ms) ? BD_SHARE_START_MS : BD_SHARE_EXPIRE_MS;

  return group->entries > 0 && now_ms - since_ms >= need_ms;
}

/** Whether every peer in touch was heard after it knew of the claim. */
static bool
claim_known (const struct bd_share *share, const struct bd_share_group *group,
             int64_t now_ms)
{
  if (!share->told)
    return false;
  for (size_t i = 0; i < group->peer_capacity; i++)
    {
      const struct bd_share_peer *p = group->peers[i];

      if (p && now_ms - p->heard_ms < BD_SHARE_LEASE_MS
          && p->heard_ms - share->told_ms < BD_SHARE_ANSWER_MS)
        return false;
    }
  return true;
}

static void
drop_claim (struct bd_share *share, struct view *v)
{
  v->held -= share->claim;
  share->claim = 0.0;
  share->told = false;
}

static void
lower (struct bd_share *share, struct view *v, int64_t now_ms)
{
  double surplus = share->held - target (v, share->demand);

  if (surplus > 0.0)
    drop_claim (share, v);
  if (now_ms - share->lowered_ms < BD_SHARE_HOLD_MS)
    return;
  if (v->held - share->claim > v->available)
    {
      drop_claim (share, v);
      share->held *= v->available / v->held;
    }
  else if (v->demand > 0.0 && surplus > 0.0)
    share->held -= surplus > SURPLUS_MIN ? surplus / 2.0 : surplus;
  else
    return;
  share->lowered_ms = now_ms;
}

static void
make_claim (struct bd_share *share, const struct bd_share_group *group,
            const struct view *v, int64_t now_ms)
{
  double gap = target (v, share->demand) - share->held;
  double free_part = v->available - v->held;
  double part;

  if (gap <= 0.0 || free_part <= 0.0
      || now_ms - share->raised_ms < BD_SHARE_HOLD_MS
      || !knows_enough (share, group, now_ms))
    return;
  part = free_part * gap / sum_gaps (share, group, v, now_ms);
  part = fmin (fmin (part, gap), v->equal);
  if (part >= CLAIM_MIN * v->equal)
    share->claim = part;
}

static void
take_claim (struct bd_share *share, const struct bd_share_group *group,
            struct view *v, int64_t now_ms)
{
  double excess = fmax (0.0, v->held - v->available);

  if (!claim_known (share, group, now_ms)
      || !knows_enough (share, group, now_ms))
    return;
  share->held += fmax (0.0, share->claim - excess);
  share->raised_ms = now_ms;
  drop_claim (share, v);
}

void
bd_share_update (struct bd_share *share, const struct bd_share_group *group,
                 int64_t now_ms, double demand)
{
  struct view v;

  share->demand = demand;
  if (alone (group))
    {
      share->held = MOVABLE;
      return;
    }
  v = look (share, group, now_ms);
  lower (share, &v, now_ms);
  if (share->claim > 0.0)
    take_claim (share, group, &v, now_ms);
  else
    make_claim (share, group, &v, now_ms);
}

double
bd_share_floor (const struct bd_share_group *group)
{
  return BD_SHARE_FLOOR / entry_count (group);
}

double
bd_share_value (const struct bd_share *share,
                const struct bd_share_group *group)
{
  return bd_share_floor (group) + share->held;
}
