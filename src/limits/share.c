#include "limits/share.h"

#include "basildock.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define MOVABLE (1.0 - BD_SHARE_FLOOR)
/** Number of entries assumed until the number is set. */
#define ENTRY_COUNT_DEFAULT 16
/** A surplus up to this size is given up at once, a larger one by halves. */
#define SURPLUS_MIN 0.01
/** Smallest claim, relative to an equal part. */
#define CLAIM_MIN 0.02
#define PEER_CAPACITY_MIN 8

struct bd_share_peer
{
  struct bd_hash_table_node node; /**< Keyed by the hash of the name. */
  int64_t last_message_ms;
  /** Since this time no silence has lasted BD_SHARE_SILENT_MS. */
  int64_t reachable_since_ms;
  uint64_t generation; /**< Distinguishes the peers that used this slot one
                          after the other. */
  int slot;
};

/** Last demand and share that a peer sent. */
struct bd_share_record
{
  uint64_t generation; /**< Generation of the peer that sent it; 0: none. */
  int64_t received_ms;
  double held;
  double demand;
};

/** Sums over the shares as known to this entry. */
struct totals
{
  double equal;     /**< Equal part of one entry. */
  double available; /**< Available to this entry and the reachable peers. */
  double held;      /**< Shares that this entry and the reachable peers hold or
                       claim. */
  double demand;
  double lacking; /**< Sum of what this entry and the reachable peers hold less
                     than they are entitled to. */
};

void
bd_share_group_clear (struct bd_share_group *group)
{
  for (size_t i = 0; i < group->peer_capacity; i++)
    free (group->peers[i]);
  free ((void *)group->peers);
  bd_hash_table_clear (&group->by_name);
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
  size_t capacity = before > 0 ? before * 2 : PEER_CAPACITY_MIN;
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

/** A claim sent while a peer was unreachable counts as not sent. */
static void
record_return (struct bd_share_group *group, struct bd_share_peer *p,
               int64_t now_ms)
{
  p->reachable_since_ms = now_ms;
  group->changed_ms = now_ms;
}

static struct bd_share_peer *
peer_create (struct bd_share_group *group, int64_t now_ms, uint64_t name)
{
  struct bd_share_peer *p;
  size_t slot = 0;

  if (group->peer_count >= BD_SHARE_PEERS_MAX)
    return NULL;
  while (slot < group->peer_capacity && group->peers[slot])
    slot++;
  if (slot == group->peer_capacity && group_grow (group) != BD_OK)
    return NULL;
  p = calloc (1, sizeof *p);
  if (!p || bd_hash_table_insert (&group->by_name, &p->node, name) != BD_OK)
    {
      free (p);
      return NULL;
    }
  p->slot = (int)slot;
  p->generation = ++group->generation;
  p->last_message_ms = now_ms;
  record_return (group, p, now_ms);
  group->peers[slot] = p;
  group->peer_count++;
  return p;
}

int
bd_share_group_record_message (struct bd_share_group *group, int64_t now_ms,
                               uint64_t name)
{
  struct bd_share_peer *p
      = (struct bd_share_peer *)bd_hash_table_first (&group->by_name, name);

  if (!p)
    p = peer_create (group, now_ms, name);
  if (!p)
    return -1;
  if (now_ms - p->last_message_ms >= BD_SHARE_SILENT_MS)
    record_return (group, p, now_ms);
  p->last_message_ms = now_ms;
  return p->slot;
}

void
bd_share_group_tick (struct bd_share_group *group, int64_t now_ms)
{
  for (size_t i = 0; i < group->peer_capacity; i++)
    {
      struct bd_share_peer *p = group->peers[i];

      if (!p || now_ms - p->last_message_ms < BD_SHARE_PEER_EXPIRE_MS)
        continue;
      bd_hash_table_remove (&group->by_name, &p->node);
      group->peers[i] = NULL;
      group->peer_count--;
      free (p);
    }
}

/**
 * Returns the number of entries as set, or the number that messages came from
 * when that is larger.
 */
static double
known_entries (const struct bd_share_group *group)
{
  double known
      = group->entry_count > 0 ? group->entry_count : ENTRY_COUNT_DEFAULT;

  return fmax (known, (double)group->peer_count + 1.0);
}

static bool
is_only_entry (const struct bd_share_group *group)
{
  return group->entry_count == 1 && group->peer_count == 0;
}

void
bd_share_clear (struct bd_share *share)
{
  free (share->records);
  memset (share, 0, sizeof *share);
}

void
bd_share_record_peer (struct bd_share *share,
                      const struct bd_share_group *group, int slot,
                      int64_t now_ms, double held, double demand)
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
  share->records[slot]
      = (struct bd_share_record){ .generation = group->peers[slot]->generation,
                                  .received_ms = now_ms,
                                  .held = fmin (fmax (held, 0.0), 1.0),
                                  .demand = fmin (fmax (demand, 0.0), 1.0) };
}

double
bd_share_in_use (const struct bd_share *share)
{
  return share->held + share->claim;
}

void
bd_share_mark_claim_sent (struct bd_share *share, int64_t now_ms)
{
  if (share->claim <= 0.0 || share->claim_sent)
    return;
  share->claim_sent = true;
  share->claim_sent_ms = now_ms;
}

/** Returns what peer I sent last, or NULL when it has expired. */
static const struct bd_share_record *
record_of (const struct bd_share *share, const struct bd_share_group *group,
           size_t i, int64_t now_ms)
{
  const struct bd_share_record *r;

  if (i >= share->record_capacity || !group->peers[i])
    return NULL;
  r = &share->records[i];
  if (r->generation != group->peers[i]->generation
      || now_ms - r->received_ms >= BD_SHARE_PEER_EXPIRE_MS)
    return NULL;
  return r;
}

/**
 * Whether peer I is reachable, so that its record R is current.  After a
 * silence, and at first, the peer must have sent its share or had the time to.
 */
static bool
is_reachable (const struct bd_share_group *group, size_t i,
              const struct bd_share_record *r, int64_t now_ms)
{
  const struct bd_share_peer *p = group->peers[i];

  if (now_ms - p->last_message_ms >= BD_SHARE_LEASE_MS)
    return false;
  return now_ms - p->reachable_since_ms >= BD_SHARE_START_MS
         || (r && r->received_ms >= p->reachable_since_ms);
}

/**
 * Sums up shares and demands.  At least an equal part is reserved for a silent
 * peer: it reduces its share to that before its last share expires here.
 */
static struct totals
compute_totals (const struct bd_share *share,
                const struct bd_share_group *group, int64_t now_ms)
{
  double entries = known_entries (group);
  struct totals totals = { .equal = MOVABLE / entries,
                           .held = bd_share_in_use (share),
                           .demand = share->demand };
  double reserved = totals.equal * (entries - 1.0 - (double)group->peer_count);

  for (size_t i = 0; i < group->peer_capacity; i++)
    {
      const struct bd_share_record *r = record_of (share, group, i, now_ms);

      if (!group->peers[i])
        continue;
      if (!is_reachable (group, i, r, now_ms))
        reserved += r ? fmax (totals.equal, r->held) : totals.equal;
      else if (r)
        {
          totals.held += r->held;
          totals.demand += r->demand;
        }
    }
  totals.available = fmax (0.0, MOVABLE - reserved);
  return totals;
}

/** Returns the part of the available share to which DEMAND entitles. */
static double
entitled (const struct totals *totals, double demand)
{
  return totals->demand > 0.0 ? totals->available * demand / totals->demand
                              : 0.0;
}

/** Returns what this entry and the reachable peers lack together. */
static double
sum_lacking (const struct bd_share *share, const struct bd_share_group *group,
             const struct totals *totals, int64_t now_ms)
{
  double lacking = fmax (0.0, entitled (totals, share->demand) - share->held);

  for (size_t i = 0; i < group->peer_capacity; i++)
    {
      const struct bd_share_record *r = record_of (share, group, i, now_ms);

      if (r && is_reachable (group, i, r, now_ms))
        lacking += fmax (0.0, entitled (totals, r->demand) - r->held);
    }
  return lacking;
}

/** Whether a message came from every known entry in BD_SHARE_SILENT_MS. */
static bool
all_sent_recently (const struct bd_share_group *group, int64_t now_ms)
{
  double received = 1.0;

  for (size_t i = 0; i < group->peer_capacity; i++)
    {
      const struct bd_share_peer *p = group->peers[i];

      if (p && now_ms - p->last_message_ms < BD_SHARE_SILENT_MS)
        received += 1.0;
    }
  return received >= known_entries (group);
}

/**
 * Whether enough messages came to know all shares.  Unless all entries sent
 * one, those still on the other side of a partition may hold what a returned
 * peer held there, until their lease ends.
 */
static bool
may_claim (const struct bd_share *share, const struct bd_share_group *group,
           int64_t now_ms)
{
  int64_t since_ms = share->created_ms > group->changed_ms ? share->created_ms
                                                           : group->changed_ms;
  int64_t need_ms = all_sent_recently (group, now_ms)
                        ? BD_SHARE_START_MS
                        : BD_SHARE_PEER_EXPIRE_MS;

  return group->entry_count > 0 && now_ms - since_ms >= need_ms;
}

/**
 * Whether a message came from every reachable peer after it knew of the claim.
 */
static bool
claim_is_known (const struct bd_share *share,
                const struct bd_share_group *group, int64_t now_ms)
{
  if (!share->claim_sent)
    return false;
  for (size_t i = 0; i < group->peer_capacity; i++)
    {
      const struct bd_share_peer *p = group->peers[i];

      if (p && now_ms - p->last_message_ms < BD_SHARE_LEASE_MS
          && p->last_message_ms - share->claim_sent_ms
                 < BD_SHARE_MESSAGE_DELAY_MS)
        return false;
    }
  return true;
}

static void
drop_claim (struct bd_share *share, struct totals *totals)
{
  totals->held -= share->claim;
  share->claim = 0.0;
  share->claim_sent = false;
}

static void
lower_share (struct bd_share *share, struct totals *totals, int64_t now_ms)
{
  double surplus = share->held - entitled (totals, share->demand);

  if (surplus > 0.0)
    drop_claim (share, totals);
  if (now_ms - share->lowered_ms < BD_SHARE_CHANGE_INTERVAL_MS)
    return;
  if (totals->held - share->claim > totals->available)
    {
      drop_claim (share, totals);
      share->held *= totals->available / totals->held;
    }
  else if (totals->demand > 0.0 && surplus > 0.0)
    share->held -= surplus > SURPLUS_MIN ? surplus / 2.0 : surplus;
  else
    return;
  share->lowered_ms = now_ms;
}

static void
make_claim (struct bd_share *share, const struct bd_share_group *group,
            const struct totals *totals, int64_t now_ms)
{
  double lack = entitled (totals, share->demand) - share->held;
  double free_part = totals->available - totals->held;
  double part;

  if (lack <= 0.0 || free_part <= 0.0
      || now_ms - share->raised_ms < BD_SHARE_CHANGE_INTERVAL_MS
      || !may_claim (share, group, now_ms))
    return;
  part = free_part * lack / sum_lacking (share, group, totals, now_ms);
  part = fmin (fmin (part, lack), totals->equal);
  if (part >= CLAIM_MIN * totals->equal)
    share->claim = part;
}

static void
take_claim (struct bd_share *share, const struct bd_share_group *group,
            struct totals *totals, int64_t now_ms)
{
  double excess = fmax (0.0, totals->held - totals->available);

  if (!claim_is_known (share, group, now_ms)
      || !may_claim (share, group, now_ms))
    return;
  share->held += fmax (0.0, share->claim - excess);
  share->raised_ms = now_ms;
  drop_claim (share, totals);
}

void
bd_share_update (struct bd_share *share, const struct bd_share_group *group,
                 int64_t now_ms, double demand)
{
  struct totals totals;

  share->demand = demand;
  if (is_only_entry (group))
    {
      share->held = MOVABLE;
      return;
    }
  totals = compute_totals (share, group, now_ms);
  lower_share (share, &totals, now_ms);
  if (share->claim > 0.0)
    take_claim (share, group, &totals, now_ms);
  else
    make_claim (share, group, &totals, now_ms);
}

double
bd_share_floor (const struct bd_share_group *group)
{
  return BD_SHARE_FLOOR / known_entries (group);
}

double
bd_share_value (const struct bd_share *share,
                const struct bd_share_group *group)
{
  return bd_share_floor (group) + share->held;
}
