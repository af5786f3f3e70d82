#include "limits/limiter.h"

#include "common/token_bucket.h"
#include "limits/share.h"
#include "common/hash_table.h"

#include <math.h>
#include <stdlib.h>

#define PERMYRIAD 10000.0
/** Time constant of the smoothed rates. */
#define SMOOTHING_MS 2000.0
/** Period in which the share of a workspace is recomputed. */
#define SHARE_PERIOD_MS 250
/** Smaller demands, relative to the limit, count as none. */
#define DEMAND_MIN 0.001
/**
 * Changes that are sent to peers: relative to the last value sent, and the
 * smallest ones.
 */
#define SEND_SHARE_CHANGE 0.05
#define SEND_SHARE_MIN_PERMYRIAD 1.0
#define SEND_DEMAND_CHANGE 0.1
#define SEND_DEMAND_MIN 0.01
/** Number of times that a change is sent, as messages may be lost. */
#define SEND_COUNT 3
/** Assumed time between the ends of two requests, before it is measured. */
#define RELEASE_INTERVAL_DEFAULT_MS 1000.0
#define RELEASE_INTERVAL_MAX_MS 60000.0
#define RELEASE_INTERVAL_WEIGHT 0.1
#define WORKSPACE_CAPACITY_MIN 8
/** Rounding tolerance, for limits that are whole multiples of shares. */
#define EPSILON 1e-6

/**
 * Rate that callers offer, admitted or not: the count since the last tick, and
 * the smoothed rate.
 */
struct offered_rate
{
  double since_tick;
  double per_s;
};

struct workspace
{
  struct bd_hash_table_node node; /**< Keyed by the hash of the name. */
  size_t position;                /**< Index in the limiter's list. */
  struct bd_token_bucket requests;
  struct bd_token_bucket tokens;
  struct offered_rate request_rate;
  struct offered_rate token_rate;
  struct offered_rate blocked_rate; /**< Requests rejected for concurrency. */
  int64_t refilled_ms;
  int32_t concurrency;
  uint32_t running;
  int64_t released_ms;
  double release_interval_ms;
  double demand; /**< Relative to the limits, at most 1. */
  struct bd_share share;
  int64_t share_updated_ms;
  struct bd_limiter_demand last_sent;
  int64_t last_sent_ms;
  int sends_left;
};

struct bd_limiter
{
  uint64_t self;
  struct bd_hash_table by_name;
  struct workspace **workspaces;
  size_t workspace_count;
  size_t workspace_capacity;
  size_t send_cursor;
  struct bd_share_group group;
  int64_t ticked_ms;
};

struct bd_limiter *
bd_limiter_create (uint64_t self)
{
  struct bd_limiter *l = calloc (1, sizeof *l);

  if (l)
    l->self = self;
  return l;
}

static void
workspace_destroy (struct workspace *w)
{
  bd_share_clear (&w->share);
  free (w);
}

void
bd_limiter_destroy (struct bd_limiter *l)
{
  if (!l)
    return;
  for (size_t i = 0; i < l->workspace_count; i++)
    workspace_destroy (l->workspaces[i]);
  free ((void *)l->workspaces);
  bd_hash_table_clear (&l->by_name);
  bd_share_group_clear (&l->group);
  free (l);
}

static struct workspace *
workspace_find (const struct bd_limiter *l, uint64_t name)
{
  return (struct workspace *)bd_hash_table_first (&l->by_name, name);
}

static void
refill (const struct bd_limiter *l, struct workspace *w, int64_t now_ms)
{
  double share = bd_share_value (&w->share, &l->group);
  double elapsed_ms = (double)(now_ms - w->refilled_ms);

  if (elapsed_ms < 0.0)
    return;
  bd_token_bucket_refill (&w->requests, share, elapsed_ms);
  bd_token_bucket_refill (&w->tokens, share, elapsed_ms);
  w->refilled_ms = now_ms;
}

static void
apply_limits (struct workspace *w, const struct bd_limits *limits)
{
  w->requests.limit_per_s = limits->requests_per_s;
  w->requests.burst_ms = BD_TOKEN_BUCKET_BURST_MS;
  w->requests.min_capacity = 1.0;
  w->tokens.limit_per_s = limits->tokens_per_s;
  w->tokens.burst_ms = BD_TOKEN_BUCKET_BURST_MS;
  w->tokens.min_capacity = 1.0;
  w->concurrency = limits->concurrency;
}

static int
list_append (struct bd_limiter *l, struct workspace *w)
{
  if (l->workspace_count == l->workspace_capacity)
    {
      size_t capacity = l->workspace_capacity * 2 + WORKSPACE_CAPACITY_MIN;
      void *list = realloc ((void *)l->workspaces,
                            capacity * sizeof (struct workspace *));

      if (!list)
        return BD_ERR_NOMEM;
      l->workspaces = (struct workspace **)list;
      l->workspace_capacity = capacity;
    }
  w->position = l->workspace_count;
  l->workspaces[l->workspace_count++] = w;
  return BD_OK;
}

static struct workspace *
workspace_create (struct bd_limiter *l, int64_t now_ms, uint64_t name)
{
  struct workspace *w = calloc (1, sizeof *w);

  if (!w)
    return NULL;
  if (bd_hash_table_insert (&l->by_name, &w->node, name) != BD_OK)
    {
      free (w);
      return NULL;
    }
  if (list_append (l, w) != BD_OK)
    {
      bd_hash_table_remove (&l->by_name, &w->node);
      free (w);
      return NULL;
    }
  w->release_interval_ms = RELEASE_INTERVAL_DEFAULT_MS;
  w->refilled_ms = now_ms;
  w->share.created_ms = now_ms;
  w->share.raised_ms = now_ms - BD_SHARE_CHANGE_INTERVAL_MS;
  w->share.lowered_ms = now_ms - BD_SHARE_CHANGE_INTERVAL_MS;
  w->share_updated_ms = now_ms - SHARE_PERIOD_MS;
  w->last_sent_ms = now_ms - BD_SHARE_REFRESH_MS;
  return w;
}

int
bd_limiter_set (struct bd_limiter *l, int64_t now_ms, uint64_t workspace,
                const struct bd_limits *limits)
{
  struct workspace *w = workspace_find (l, workspace);
  double share;

  bd_share_group_start (&l->group, now_ms);
  if (w)
    {
      refill (l, w, now_ms);
      apply_limits (w, limits);
      return BD_OK;
    }
  w = workspace_create (l, now_ms, workspace);
  if (!w)
    return BD_ERR_NOMEM;
  apply_limits (w, limits);
  share = bd_share_value (&w->share, &l->group);
  w->requests.level = bd_token_bucket_capacity (&w->requests, share);
  w->tokens.level = bd_token_bucket_capacity (&w->tokens, share);
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
  bd_hash_table_remove (&l->by_name, &w->node);
  workspace_destroy (w);
}

static bool
concurrency_allows (const struct bd_limiter *l, const struct workspace *w)
{
  double share = bd_share_value (&w->share, &l->group);

  if (w->concurrency <= 0 || w->running == 0)
    return true;
  return w->running < floor (w->concurrency * share + EPSILON);
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
  w->request_rate.since_tick += 1.0;
  w->token_rate.since_tick += tokens;
  refill (l, w, now_ms);
  share = bd_share_value (&w->share, &l->group);
  wait_ms = fmax (bd_token_bucket_wait_ms (&w->requests, share, 1.0),
                  bd_token_bucket_wait_ms (&w->tokens, share, tokens));
  if (wait_ms > 0.0)
    {
      *retry_after_ms = (int32_t)wait_ms;
      return BD_ERR_RATE_LIMITED;
    }
  if (!concurrency_allows (l, w))
    {
      w->blocked_rate.since_tick += 1.0;
      *retry_after_ms = (int32_t)fmax (1.0, w->release_interval_ms);
      return BD_ERR_CONCURRENCY;
    }
  w->requests.level -= 1.0;
  w->tokens.level -= tokens;
  w->running++;
  return BD_OK;
}

static void
record_release (struct workspace *w, int64_t now_ms)
{
  double interval_ms = (double)(now_ms - w->released_ms);

  if (w->released_ms > 0)
    w->release_interval_ms += RELEASE_INTERVAL_WEIGHT
                              * (fmin (interval_ms, RELEASE_INTERVAL_MAX_MS)
                                 - w->release_interval_ms);
  w->released_ms = now_ms;
}

void
bd_limiter_release (struct bd_limiter *l, int64_t now_ms, uint64_t workspace,
                    uint32_t expected_tokens, uint32_t used_tokens)
{
  struct workspace *w = workspace_find (l, workspace);
  double change = (double)used_tokens - expected_tokens;

  if (!w)
    return;
  if (w->running > 0)
    w->running--;
  w->tokens.level -= change;
  w->token_rate.since_tick += change;
  refill (l, w, now_ms);
  record_release (w, now_ms);
}

/** Returns the largest use of any limit, relative to it, at most 1. */
static double
relative_demand (const struct workspace *w, double requests_per_s,
                 double tokens_per_s, double running)
{
  double demand = 0.0;

  if (w->requests.limit_per_s > 0.0)
    demand = fmax (demand, requests_per_s / w->requests.limit_per_s);
  if (w->tokens.limit_per_s > 0.0)
    demand = fmax (demand, tokens_per_s / w->tokens.limit_per_s);
  if (w->concurrency > 0)
    demand = fmax (demand, running / w->concurrency);
  return demand < DEMAND_MIN ? 0.0 : fmin (demand, 1.0);
}

/**
 * Estimates the requests that would run if none were rejected for concurrency.
 */
static double
wanted_running (const struct workspace *w)
{
  double duration_s = w->release_interval_ms / 1000.0 * fmax (1.0, w->running);

  return w->running + w->blocked_rate.per_s * duration_s;
}

static double
sent_demand (const struct workspace *w, const struct bd_limiter_demand *d)
{
  return relative_demand (w, d->requests_per_s / 1000.0,
                          d->tokens_per_s / 1000.0, d->running);
}

void
bd_limiter_record_peer (struct bd_limiter *l, int64_t now_ms, uint64_t peer,
                        const struct bd_limiter_demand *demands, size_t count)
{
  int slot;

  bd_share_group_start (&l->group, now_ms);
  if (peer == l->self)
    return;
  slot = bd_share_group_record_message (&l->group, now_ms, peer);
  if (slot < 0)
    return;
  for (size_t i = 0; i < count; i++)
    {
      const struct bd_limiter_demand *d = &demands[i];
      struct workspace *w = workspace_find (l, d->workspace);

      if (w)
        bd_share_record_peer (&w->share, &l->group, slot, now_ms,
                              d->share_permyriad / PERMYRIAD,
                              sent_demand (w, d));
    }
}

/* Fills up a bucket that was filled when its share was OLD_SHARE. */
static void
raise_level (struct bd_token_bucket *bucket, double old_share, double share)
{
  double change = bd_token_bucket_capacity (bucket, share)
                  - bd_token_bucket_capacity (bucket, old_share);

  bucket->level += fmax (0.0, change);
}

/* The buckets were filled when the number of entries was not known yet. */
static void
raise_levels (struct bd_limiter *l, int64_t now_ms, uint32_t entries)
{
  double old_floor = bd_share_floor (&l->group);
  double floor;

  for (size_t i = 0; i < l->workspace_count; i++)
    refill (l, l->workspaces[i], now_ms);
  l->group.entry_count = entries;
  floor = bd_share_floor (&l->group);
  for (size_t i = 0; i < l->workspace_count; i++)
    {
      raise_level (&l->workspaces[i]->requests, old_floor, floor);
      raise_level (&l->workspaces[i]->tokens, old_floor, floor);
    }
}

void
bd_limiter_set_entry_count (struct bd_limiter *l, int64_t now_ms,
                            uint32_t entries)
{
  entries = entries > 0 ? entries : 1;
  bd_share_group_start (&l->group, now_ms);
  if (l->group.entry_count == 0)
    raise_levels (l, now_ms, entries);
  l->group.entry_count = entries;
}

static void
smooth (struct offered_rate *offered_rate, double elapsed_ms)
{
  double weight = elapsed_ms / (SMOOTHING_MS + elapsed_ms);
  double now_per_s = offered_rate->since_tick * 1000.0 / elapsed_ms;

  offered_rate->per_s += weight * (now_per_s - offered_rate->per_s);
  offered_rate->per_s = fmax (0.0, offered_rate->per_s);
  offered_rate->since_tick = 0.0;
}

static void
tick_workspace (struct bd_limiter *l, struct workspace *w, int64_t now_ms,
                double elapsed_ms)
{
  if (elapsed_ms > 0.0)
    {
      smooth (&w->request_rate, elapsed_ms);
      smooth (&w->token_rate, elapsed_ms);
      smooth (&w->blocked_rate, elapsed_ms);
    }
  w->demand = relative_demand (w, w->request_rate.per_s, w->token_rate.per_s,
                               wanted_running (w));
  if (now_ms - w->share_updated_ms < SHARE_PERIOD_MS)
    return;
  w->share_updated_ms = now_ms;
  refill (l, w, now_ms);
  bd_share_update (&w->share, &l->group, now_ms, w->demand);
}

void
bd_limiter_tick (struct bd_limiter *l, int64_t now_ms)
{
  double elapsed_ms = l->ticked_ms > 0 ? (double)(now_ms - l->ticked_ms) : 0.0;

  bd_share_group_start (&l->group, now_ms);
  bd_share_group_tick (&l->group, now_ms);
  for (size_t i = 0; i < l->workspace_count; i++)
    tick_workspace (l, l->workspaces[i], now_ms, elapsed_ms);
  l->ticked_ms = now_ms;
}

/** Truncates to a number that fits into a message. */
static uint32_t
to_u32 (double value)
{
  return value >= UINT32_MAX ? UINT32_MAX : (uint32_t)value;
}

/**
 * Returns the demand to be sent.  Its share is the one in use: requests that
 * were admitted under a larger share keep their part of it until they end.
 */
static struct bd_limiter_demand
current_demand (const struct bd_limiter *l, const struct workspace *w)
{
  struct bd_limiter_demand d = { .workspace = w->node.hash };
  double used = bd_share_in_use (&w->share);

  if (w->concurrency > 0)
    used = fmax (used, (double)w->running / w->concurrency
                           - bd_share_floor (&l->group));
  d.requests_per_s = to_u32 (w->request_rate.per_s * 1000.0);
  d.tokens_per_s = to_u32 (w->token_rate.per_s * 1000.0);
  d.running = to_u32 (wanted_running (w));
  d.share_permyriad = (uint32_t)ceil (used * PERMYRIAD - EPSILON);
  return d;
}

static bool
should_send (const struct workspace *w, const struct bd_limiter_demand *d,
             int64_t now_ms)
{
  double before = sent_demand (w, &w->last_sent);
  double change = fabs (w->demand - before);
  double share_change
      = fabs ((double)d->share_permyriad - w->last_sent.share_permyriad);

  if ((d->share_permyriad > 0 || w->demand > 0.0)
      && now_ms - w->last_sent_ms >= BD_SHARE_REFRESH_MS)
    return true;
  if (change > SEND_DEMAND_MIN && change > SEND_DEMAND_CHANGE * before)
    return true;
  if (before > 0.0 && w->demand <= 0.0)
    return true;
  return share_change >= SEND_SHARE_MIN_PERMYRIAD
         && share_change >= SEND_SHARE_CHANGE * w->last_sent.share_permyriad;
}

size_t
bd_limiter_collect_demands (struct bd_limiter *l, int64_t now_ms,
                            struct bd_limiter_demand *demands, size_t max)
{
  size_t written = 0;

  for (size_t i = 0; i < l->workspace_count && written < max; i++)
    {
      struct workspace *w;
      struct bd_limiter_demand d;

      l->send_cursor = (l->send_cursor + 1) % l->workspace_count;
      w = l->workspaces[l->send_cursor];
      d = current_demand (l, w);
      if (should_send (w, &d, now_ms) || w->share.claim > 0.0)
        w->sends_left = SEND_COUNT;
      if (w->sends_left == 0)
        continue;
      w->sends_left--;
      demands[written++] = d;
      w->last_sent = d;
      w->last_sent_ms = now_ms;
      bd_share_mark_claim_sent (&w->share, now_ms);
    }
  return written;
}

uint32_t
bd_limiter_share (const struct bd_limiter *l, uint64_t workspace)
{
  const struct workspace *w = workspace_find (l, workspace);

  if (!w)
    return 0;
  return (uint32_t)(bd_share_value (&w->share, &l->group) * PERMYRIAD);
}
