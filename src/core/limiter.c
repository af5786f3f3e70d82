#include "core/limiter.h"

#include "core/table.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define PERMYRIAD 10000.0
#define FLOOR (BD_LIMITER_FLOOR_PERMYRIAD / PERMYRIAD)
/** The part of a limit that moves between entries. */
#define MOVABLE (1.0 - FLOOR)
/** Time constant of the smoothed demand. */
#define SMOOTHING_MS 2000.0
/** How often the shares of a workspace are recomputed. */
#define SHARE_PERIOD_MS 250
/** Entries that are assumed before their number is known. */
#define UNKNOWN_ENTRIES 16
/** Demand, as a part of the limit, that counts as none. */
#define DEMAND_MIN 0.001
/** A surplus this small is given up at once, a larger one by halves. */
#define SURPLUS_MIN 0.01
#define TELL_SHARE_CHANGE 0.001
/** Relative change, and change in parts of the limit, worth telling. */
#define TELL_DEMAND_CHANGE 0.1
#define TELL_DEMAND_MIN 0.01
#define RETRY_AFTER_MAX_MS 600000.0
#define RELEASE_INTERVAL_START_MS 1000.0
#define RELEASE_INTERVAL_WEIGHT 0.1
#define START_PEERS 8

struct peer
{
  struct bd_table_node node;
  uint64_t name;
  int64_t heard_ms;
  size_t index;
};

/** What a peer told last of a workspace. */
struct record
{
  int64_t told_ms;
  double share;
  double demand; /**< Part of the limit, at most 1. */
  uint32_t running;
  bool known;
};

/** A token bucket; LIMIT 0 means unlimited. */
struct bucket
{
  double limit; /**< Per second, over all entries. */
  double level; /**< Negative: in debt. */
  double least; /**< Capacity at any share. */
  double offered;
  double offered_per_s;
};

struct workspace
{
  struct bd_table_node node;
  uint64_t name;
  size_t position; /**< In the limiter's list. */
  struct bucket requests;
  struct bucket tokens;
  int64_t refilled_ms;
  int32_t concurrency;
  uint32_t running;
  int64_t released_ms;
  double release_interval_ms;
  double share; /**< Of the movable part; in parts of the limit. */
  double demand;
  double settled_demand; /**< Told long enough ago to be known. */
  double pending_demand;
  int64_t pending_ms;
  bool pending;
  int64_t since_ms;
  int64_t computed_ms;
  int64_t raised_ms;
  int64_t lowered_ms;
  struct bd_demand told;
  int64_t told_ms;
  struct record *records; /**< By peer index. */
};

struct bd_limiter
{
  uint64_t self;
  struct bd_table by_name;
  struct workspace **workspaces;
  size_t workspace_count;
  size_t workspace_capacity;
  size_t tell_cursor;
  struct bd_table peers_by_name;
  struct peer **peers; /**< NULL: free place. */
  size_t peer_capacity;
  size_t peer_count;
  uint32_t entries;
  bool entries_known;
  bool started;
  int64_t started_ms;
  int64_t ticked_ms;
};

/** The entries' shares of a workspace, as seen from here. */
struct view
{
  double entries;
  double available; /**< For the peers in touch and this entry. */
  double held;
  double demand;
  double gaps;
};

struct bd_limiter *
bd_limiter_create (uint64_t self)
{
  struct bd_limiter *l = calloc (1, sizeof *l);

  if (!l)
    return NULL;
  l->self = self;
  l->entries = UNKNOWN_ENTRIES;
  return l;
}

void
bd_limiter_destroy (struct bd_limiter *l)
{
  if (!l)
    return;
  for (size_t i = 0; i < l->workspace_count; i++)
    {
      free (l->workspaces[i]->records);
      free (l->workspaces[i]);
    }
  for (size_t i = 0; i < l->peer_capacity; i++)
    free (l->peers[i]);
  free ((void *)l->workspaces);
  free ((void *)l->peers);
  bd_table_clear (&l->by_name);
  bd_table_clear (&l->peers_by_name);
  free (l);
}

static void
note_start (struct bd_limiter *l, int64_t now_ms)
{
  if (l->started)
    return;
  l->started = true;
  l->started_ms = now_ms;
  l->ticked_ms = now_ms;
}

static struct workspace *
workspace_find (const struct bd_limiter *l, uint64_t name)
{
  return (struct workspace *)bd_table_first (&l->by_name, name);
}

/** Entries that share the limits: as told, or more when more are heard. */
static double
entry_count (const struct bd_limiter *l)
{
  double heard = (double)l->peer_count + 1.0;

  return heard > l->entries ? heard : l->entries;
}

static double
effective_share (const struct bd_limiter *l, const struct workspace *w)
{
  return FLOOR / entry_count (l) + w->share;
}

static double
bucket_capacity (const struct bucket *b, double share)
{
  return fmax (b->least, b->limit * share * BD_LIMITER_BURST_MS / 1000.0);
}

static void
bucket_refill (struct bucket *b, double share, double elapsed_ms)
{
  b->level = fmin (bucket_capacity (b, share),
                   b->level + b->limit * share * elapsed_ms / 1000.0);
}

static void
refill (const struct bd_limiter *l, struct workspace *w, int64_t now_ms)
{
  double share = effective_share (l, w);
  double elapsed_ms = (double)(now_ms - w->refilled_ms);

  if (elapsed_ms < 0.0)
    return;
  bucket_refill (&w->requests, share, elapsed_ms);
  bucket_refill (&w->tokens, share, elapsed_ms);
  w->refilled_ms = now_ms;
}

static void
apply_limits (struct workspace *w, const struct bd_limits *limits)
{
  w->requests.limit = limits->requests_per_s;
  w->requests.least = 1.0;
  w->tokens.limit = limits->tokens_per_s;
  w->concurrency = limits->concurrency;
}

static struct workspace *
workspace_create (struct bd_limiter *l, uint64_t name)
{
  struct workspace *w = calloc (1, sizeof *w);

  if (!w)
    return NULL;
  w->name = name;
  w->records = calloc (l->peer_capacity + 1, sizeof *w->records);
  if (!w->records || bd_table_insert (&l->by_name, &w->node, name) != BD_OK)
    {
      free (w->records);
      free (w);
      return NULL;
    }
  w->position = l->workspace_count;
  l->workspaces[l->workspace_count++] = w;
  return w;
}

static int
reserve_workspace (struct bd_limiter *l)
{
  size_t capacity = l->workspace_capacity * 2 + START_PEERS;
  void *list;

  if (l->workspace_count < l->workspace_capacity)
    return BD_OK;
  list = realloc ((void *)l->workspaces,
                  capacity * sizeof (struct workspace *));
  if (!list)
    return BD_ERR_NOMEM;
  l->workspaces = (struct workspace **)list;
  l->workspace_capacity = capacity;
  return BD_OK;
}

int
bd_limiter_set (struct bd_limiter *l, int64_t now_ms, uint64_t workspace,
                const struct bd_limits *limits)
{
  struct workspace *w = workspace_find (l, workspace);
  double share;

  note_start (l, now_ms);
  if (w)
    {
      refill (l, w, now_ms);
      apply_limits (w, limits);
      return BD_OK;
    }
  if (reserve_workspace (l) != BD_OK)
    return BD_ERR_NOMEM;
  w = workspace_create (l, workspace);
  if (!w)
    return BD_ERR_NOMEM;
  apply_limits (w, limits);
  share = effective_share (l, w);
  w->requests.level = bucket_capacity (&w->requests, share);
  w->tokens.level = bucket_capacity (&w->tokens, share);
  w->release_interval_ms = RELEASE_INTERVAL_START_MS;
  w->refilled_ms = now_ms;
  w->since_ms = now_ms;
  w->computed_ms = now_ms - SHARE_PERIOD_MS;
  w->raised_ms = now_ms - BD_LIMITER_HOLD_MS;
  w->lowered_ms = now_ms - BD_LIMITER_HOLD_MS;
  w->told_ms = now_ms - BD_LIMITER_REFRESH_MS;
  return BD_OK;
}

void
bd_limiter_remove (struct bd_limiter *l, uint64_t workspace)
{
  struct workspace *w = workspace_find (l, workspace);

  if (!w)
    return;
  l->workspaces[w->position] = l->workspaces[--l->workspace_count];
  l->workspaces[w->position]->position = w->position;
  bd_table_remove (&l->by_name, &w->node);
  free (w->records);
  free (w);
}

/** Requests that peers run, as far as they told lately. */
static uint64_t
peers_running (const struct bd_limiter *l, const struct workspace *w,
               int64_t now_ms)
{
  uint64_t running = 0;

  for (size_t i = 0; i < l->peer_capacity; i++)
    if (l->peers[i] && w->records[i].known
        && now_ms - w->records[i].told_ms < BD_LIMITER_EXPIRE_MS)
      running += w->records[i].running;
  return running;
}

static bool
concurrency_allows (const struct bd_limiter *l, const struct workspace *w,
                    int64_t now_ms)
{
  double cap = floor (w->concurrency * effective_share (l, w) + 1e-6);

  if (w->concurrency <= 0 || w->running == 0)
    return true;
  if (w->running >= cap)
    return false;
  return peers_running (l, w, now_ms) + w->running < (uint64_t)w->concurrency;
}

/** Time until the bucket holds NEED, or as much as it can. */
static double
bucket_wait_ms (const struct bucket *b, double share, double need)
{
  double missing = fmin (need, bucket_capacity (b, share)) - b->level;

  if (b->limit <= 0.0 || missing <= 0.0)
    return 0.0;
  return fmin (ceil (missing * 1000.0 / (b->limit * share)),
               RETRY_AFTER_MAX_MS);
}

int
bd_limiter_admit (struct bd_limiter *l, int64_t now_ms, uint64_t workspace,
                  uint32_t tokens, int32_t *retry_after_ms)
{
  struct workspace *w = workspace_find (l, workspace);
  double wait_ms;
  double share;

  *retry_after_ms = 0;
  if (!w)
    return BD_ERR_NOT_FOUND;
  w->requests.offered += 1.0;
  w->tokens.offered += tokens;
  refill (l, w, now_ms);
  share = effective_share (l, w);
  wait_ms = fmax (bucket_wait_ms (&w->requests, share, 1.0),
                  bucket_wait_ms (&w->tokens, share, tokens));
  if (wait_ms > 0.0)
    {
      *retry_after_ms = (int32_t)wait_ms;
      return BD_ERR_RATE_LIMITED;
    }
  if (!concurrency_allows (l, w, now_ms))
    {
      *retry_after_ms = (int32_t)fmax (1.0, w->release_interval_ms);
      return BD_ERR_CONCURRENCY;
    }
  w->requests.level -= 1.0;
  w->tokens.level -= tokens;
  w->running++;
  return BD_OK;
}

void
bd_limiter_release (struct bd_limiter *l, int64_t now_ms, uint64_t workspace,
                    uint32_t expected_tokens, uint32_t used_tokens)
{
  struct workspace *w = workspace_find (l, workspace);
  double change = (double)used_tokens - expected_tokens;
  double interval_ms;

  if (!w)
    return;
  if (w->running > 0)
    w->running--;
  refill (l, w, now_ms);
  w->tokens.level = fmin (bucket_capacity (&w->tokens, effective_share (l, w)),
                          w->tokens.level - change);
  w->tokens.offered += change;
  interval_ms = fmin ((double)(now_ms - w->released_ms), RETRY_AFTER_MAX_MS);
  if (w->released_ms > 0)
    w->release_interval_ms
        += RELEASE_INTERVAL_WEIGHT * (interval_ms - w->release_interval_ms);
  w->released_ms = now_ms;
}

static struct peer *
peer_find (const struct bd_limiter *l, uint64_t name)
{
  return (struct peer *)bd_table_first (&l->peers_by_name, name);
}

/** Grows the places for peers, in every workspace as well. */
static int
grow_peers (struct bd_limiter *l)
{
  size_t capacity = l->peer_capacity > 0 ? l->peer_capacity * 2 : START_PEERS;
  void *peers;

  for (size_t i = 0; i < l->workspace_count; i++)
    {
      struct workspace *w = l->workspaces[i];
      struct record *records
          = realloc (w->records, (capacity + 1) * sizeof *records);

      if (!records)
        return BD_ERR_NOMEM;
      memset (&records[l->peer_capacity], 0,
              (capacity + 1 - l->peer_capacity) * sizeof *records);
      w->records = records;
    }
  peers = realloc ((void *)l->peers, capacity * sizeof (struct peer *));
  if (!peers)
    return BD_ERR_NOMEM;
  l->peers = (struct peer **)peers;
  for (size_t i = l->peer_capacity; i < capacity; i++)
    l->peers[i] = NULL;
  l->peer_capacity = capacity;
  return BD_OK;
}

static struct peer *
peer_obtain (struct bd_limiter *l, uint64_t name)
{
  struct peer *p = peer_find (l, name);
  size_t index = 0;

  if (p)
    return p;
  if (l->peer_count >= BD_LIMITER_PEERS_MAX)
    return NULL;
  while (index < l->peer_capacity && l->peers[index])
    index++;
  if (index == l->peer_capacity && grow_peers (l) != BD_OK)
    return NULL;
  p = calloc (1, sizeof *p);
  if (!p || bd_table_insert (&l->peers_by_name, &p->node, name) != BD_OK)
    {
      free (p);
      return NULL;
    }
  p->name = name;
  p->index = index;
  l->peers[index] = p;
  l->peer_count++;
  return p;
}

static void
peer_drop (struct bd_limiter *l, struct peer *p)
{
  for (size_t i = 0; i < l->workspace_count; i++)
    memset (&l->workspaces[i]->records[p->index], 0, sizeof (struct record));
  bd_table_remove (&l->peers_by_name, &p->node);
  l->peers[p->index] = NULL;
  l->peer_count--;
  free (p);
}

/** The largest use of the limits, as a part of them, at most 1. */
static double
demand_of (const struct workspace *w, double requests_per_s,
           double tokens_per_s, double running)
{
  double demand = 0.0;

  if (w->requests.limit > 0.0)
    demand = fmax (demand, requests_per_s / w->requests.limit);
  if (w->tokens.limit > 0.0)
    demand = fmax (demand, tokens_per_s / w->tokens.limit);
  if (w->concurrency > 0)
    demand = fmax (demand, running / w->concurrency);
  return demand < DEMAND_MIN ? 0.0 : fmin (demand, 1.0);
}

void
bd_limiter_peer_demand (struct bd_limiter *l, int64_t now_ms, uint64_t peer,
                        const struct bd_demand *demands, size_t count)
{
  struct peer *p = peer == l->self ? NULL : peer_obtain (l, peer);

  note_start (l, now_ms);
  if (!p)
    return;
  p->heard_ms = now_ms;
  for (size_t i = 0; i < count; i++)
    {
      const struct bd_demand *d = &demands[i];
      struct workspace *w = workspace_find (l, d->workspace);
      struct record *r;

      if (!w)
        continue;
      r = &w->records[p->index];
      r->known = true;
      r->told_ms = now_ms;
      r->share = fmin (d->share_permyriad / PERMYRIAD, 1.0);
      r->running = d->running;
      r->demand = demand_of (w, d->requests_per_s / 1000.0,
                             d->tokens_per_s / 1000.0, d->running);
    }
}

void
bd_limiter_set_peers (struct bd_limiter *l, int64_t now_ms, uint32_t entries)
{
  note_start (l, now_ms);
  l->entries = entries > 0 ? entries : 1;
  l->entries_known = true;
}

/** Share of W that peer I holds; none when it stopped telling. */
static double
peer_share (const struct workspace *w, size_t i, int64_t now_ms)
{
  const struct record *r = &w->records[i];

  if (!r->known || now_ms - r->told_ms >= BD_LIMITER_EXPIRE_MS)
    return 0.0;
  return r->share;
}

static double
peer_demand (const struct workspace *w, size_t i, int64_t now_ms)
{
  const struct record *r = &w->records[i];

  if (!r->known || now_ms - r->told_ms >= BD_LIMITER_EXPIRE_MS)
    return 0.0;
  return r->demand;
}

static bool
in_touch (const struct bd_limiter *l, size_t i, int64_t now_ms)
{
  return l->peers[i] && now_ms - l->peers[i]->heard_ms < BD_LIMITER_LEASE_MS;
}

/**
 * Sums up what is held and wanted.  A silent peer keeps at least an equal
 * part: it comes down to that before its last share expires here.
 */
static struct view
look (const struct bd_limiter *l, const struct workspace *w, int64_t now_ms)
{
  struct view v = { .entries = entry_count (l) };
  double equal = MOVABLE / v.entries;
  double reserved = equal * (v.entries - 1.0 - (double)l->peer_count);

  v.held = w->share;
  v.demand = w->settled_demand;
  for (size_t i = 0; i < l->peer_capacity; i++)
    if (in_touch (l, i, now_ms))
      {
        v.held += peer_share (w, i, now_ms);
        v.demand += peer_demand (w, i, now_ms);
      }
    else if (l->peers[i])
      reserved += fmax (equal, peer_share (w, i, now_ms));
  v.available = fmax (0.0, MOVABLE - reserved);
  return v;
}

/** Share of the available part that DEMAND entitles to. */
static double
target (const struct view *v, double demand)
{
  return v->demand > 0.0 ? v->available * demand / v->demand : 0.0;
}

static double
sum_gaps (const struct bd_limiter *l, const struct workspace *w,
          const struct view *v, int64_t now_ms)
{
  double gaps = fmax (0.0, target (v, w->settled_demand) - w->share);

  for (size_t i = 0; i < l->peer_capacity; i++)
    if (in_touch (l, i, now_ms))
      gaps += fmax (0.0, target (v, peer_demand (w, i, now_ms))
                             - peer_share (w, i, now_ms));
  return gaps;
}

/** Whether enough was heard since the start to know who holds what. */
static bool
may_raise (const struct bd_limiter *l, const struct workspace *w,
           int64_t now_ms)
{
  int64_t since_ms = w->since_ms > l->started_ms ? w->since_ms : l->started_ms;

  if (!l->entries_known)
    return false;
  if (l->entries == 1 && l->peer_count == 0)
    return true;
  if (now_ms - w->raised_ms < BD_LIMITER_HOLD_MS
      || now_ms - since_ms < BD_LIMITER_START_MS)
    return false;
  return l->peer_count + 1 >= l->entries
         || now_ms - l->started_ms >= BD_LIMITER_EXPIRE_MS;
}

static void
lower_share (struct workspace *w, const struct view *v, int64_t now_ms)
{
  double surplus = w->share - target (v, w->settled_demand);

  if (now_ms - w->lowered_ms < BD_LIMITER_HOLD_MS)
    return;
  if (v->held > v->available)
    w->share *= v->available / v->held;
  else if (v->demand > 0.0 && surplus > 0.0)
    w->share -= surplus > SURPLUS_MIN ? surplus / 2.0 : surplus;
  else
    return;
  w->lowered_ms = now_ms;
}

static void
raise_share (const struct bd_limiter *l, struct workspace *w,
             const struct view *v, int64_t now_ms)
{
  double gap = target (v, w->settled_demand) - w->share;
  double free_part = v->available - v->held;
  double raise;

  if (gap <= 0.0 || free_part <= 0.0 || !may_raise (l, w, now_ms))
    return;
  raise = free_part * gap / sum_gaps (l, w, v, now_ms);
  raise = fmin (fmin (raise, gap), MOVABLE / v->entries);
  w->share += raise;
  w->raised_ms = now_ms;
}

static void
compute_share (const struct bd_limiter *l, struct workspace *w, int64_t now_ms)
{
  struct view v;

  if (now_ms - w->computed_ms < SHARE_PERIOD_MS)
    return;
  w->computed_ms = now_ms;
  refill (l, w, now_ms);
  if (w->pending && now_ms - w->pending_ms >= BD_LIMITER_HOLD_MS)
    {
      w->settled_demand = w->pending_demand;
      w->pending = false;
    }
  if (l->entries_known && l->entries == 1 && l->peer_count == 0)
    {
      w->share = MOVABLE;
      return;
    }
  v = look (l, w, now_ms);
  lower_share (w, &v, now_ms);
  raise_share (l, w, &v, now_ms);
}

static void
smooth (struct bucket *b, double elapsed_ms)
{
  double weight = elapsed_ms / (SMOOTHING_MS + elapsed_ms);

  b->offered_per_s
      += weight * (b->offered * 1000.0 / elapsed_ms - b->offered_per_s);
  b->offered_per_s = fmax (0.0, b->offered_per_s);
  b->offered = 0.0;
}

void
bd_limiter_tick (struct bd_limiter *l, int64_t now_ms)
{
  double elapsed_ms;

  note_start (l, now_ms);
  elapsed_ms = (double)(now_ms - l->ticked_ms);
  for (size_t i = 0; i < l->peer_capacity; i++)
    if (l->peers[i] && now_ms - l->peers[i]->heard_ms >= BD_LIMITER_EXPIRE_MS)
      peer_drop (l, l->peers[i]);
  for (size_t i = 0; i < l->workspace_count; i++)
    {
      struct workspace *w = l->workspaces[i];

      if (elapsed_ms > 0.0)
        {
          smooth (&w->requests, elapsed_ms);
          smooth (&w->tokens, elapsed_ms);
        }
      w->demand = demand_of (w, w->requests.offered_per_s,
                             w->tokens.offered_per_s, w->running);
      compute_share (l, w, now_ms);
    }
  l->ticked_ms = now_ms;
}

static uint32_t
thousandths (double value)
{
  return value >= UINT32_MAX / 1000.0 ? UINT32_MAX : (uint32_t)(value * 1000);
}

static struct bd_demand
demand_now (const struct workspace *w)
{
  struct bd_demand d = { .workspace = w->name };

  d.requests_per_s = thousandths (w->requests.offered_per_s);
  d.tokens_per_s = thousandths (w->tokens.offered_per_s);
  d.running = w->running;
  d.share_permyriad = (uint32_t)ceil (w->share * PERMYRIAD - 1e-6);
  return d;
}

static bool
worth_telling (const struct workspace *w, const struct bd_demand *d,
               int64_t now_ms)
{
  double before = demand_of (w, w->told.requests_per_s / 1000.0,
                             w->told.tokens_per_s / 1000.0, w->told.running);
  double change = fabs (w->demand - before);
  double share_change
      = fabs ((double)d->share_permyriad - w->told.share_permyriad);

  if (d->share_permyriad > 0 || w->demand > 0.0)
    if (now_ms - w->told_ms >= BD_LIMITER_REFRESH_MS)
      return true;
  if (change > TELL_DEMAND_MIN && change > TELL_DEMAND_CHANGE * before)
    return true;
  if (before > 0.0 && w->demand <= 0.0)
    return true;
  return share_change >= TELL_SHARE_CHANGE * PERMYRIAD;
}

size_t
bd_limiter_demands (struct bd_limiter *l, int64_t now_ms,
                    struct bd_demand *demands, size_t max)
{
  size_t written = 0;

  for (size_t i = 0; i < l->workspace_count && written < max; i++)
    {
      struct workspace *w;
      struct bd_demand d;

      l->tell_cursor = (l->tell_cursor + 1) % l->workspace_count;
      w = l->workspaces[l->tell_cursor];
      d = demand_now (w);
      if (!worth_telling (w, &d, now_ms))
        continue;
      demands[written++] = d;
      w->told = d;
      w->told_ms = now_ms;
      if (!w->pending)
        {
          w->pending = true;
          w->pending_ms = now_ms;
          w->pending_demand = w->demand;
        }
    }
  return written;
}

uint32_t
bd_limiter_share (const struct bd_limiter *l, uint64_t workspace)
{
  const struct workspace *w = workspace_find (l, workspace);

  return w ? (uint32_t)(effective_share (l, w) * PERMYRIAD) : 0;
}
