#include "naive_tier_queue.h"

#include "limits/flow.h"

#include <string.h>

static int64_t
clamp (int64_t value, int64_t low, int64_t high)
{
  if (value < low)
    return low;
  return value > high ? high : value;
}

static int64_t
cost_of (const struct bd_queue_item *item)
{
  return clamp (item->cost, BD_FLOW_COST_MIN, BD_FLOW_COST_MAX);
}

static bool
in_class (const struct bd_queue_item *item, const struct naive_flow *c)
{
  return item->tier == c->tier && item->workspace == c->workspace
         && item->class_hash == c->class_hash;
}

static bool
in_workspace (const struct bd_queue_item *item, const struct naive_flow *w)
{
  return item->tier == w->tier && item->workspace == w->workspace;
}

size_t
naive_tier_length (const struct naive_tier_queue *q, int tier)
{
  size_t n = 0;

  for (size_t i = 0; i < q->item_count; i++)
    n += q->items[i].tier == tier ? 1 : 0;
  return n;
}

static void
delete_flow (struct naive_flow *flows, size_t *count, size_t at)
{
  memmove (&flows[at], &flows[at + 1], (*count - at - 1) * sizeof *flows);
  (*count)--;
}

/** Moves the flow at AT behind all others. */
static void
move_to_end (struct naive_flow *flows, size_t count, size_t at)
{
  struct naive_flow f = flows[at];
  size_t rest = count;

  delete_flow (flows, &rest, at);
  flows[rest] = f;
}

static void
remove_empty_flows (struct naive_tier_queue *q)
{
  for (size_t f = q->class_count; f-- > 0;)
    {
      size_t n = 0;

      for (size_t i = 0; i < q->item_count; i++)
        n += in_class (&q->items[i], &q->classes[f]) ? 1 : 0;
      if (n == 0)
        delete_flow (q->classes, &q->class_count, f);
    }
  for (size_t f = q->workspace_count; f-- > 0;)
    {
      size_t n = 0;

      for (size_t i = 0; i < q->item_count; i++)
        n += in_workspace (&q->items[i], &q->workspaces[f]) ? 1 : 0;
      if (n == 0)
        delete_flow (q->workspaces, &q->workspace_count, f);
    }
}

static struct bd_queue_item
remove_item (struct naive_tier_queue *q, size_t at)
{
  struct bd_queue_item item = q->items[at];

  memmove (&q->items[at], &q->items[at + 1],
           (q->item_count - at - 1) * sizeof item);
  q->item_count--;
  remove_empty_flows (q);
  return item;
}

static struct naive_flow *
class_of (struct naive_tier_queue *q, const struct bd_queue_item *item)
{
  for (size_t i = 0; i < q->class_count; i++)
    if (in_class (item, &q->classes[i]))
      return &q->classes[i];
  return NULL;
}

static struct naive_flow *
workspace_of (struct naive_tier_queue *q, const struct bd_queue_item *item)
{
  for (size_t i = 0; i < q->workspace_count; i++)
    if (in_workspace (item, &q->workspaces[i]))
      return &q->workspaces[i];
  return NULL;
}

static void
update_flows (struct naive_tier_queue *q, const struct bd_queue_item *item)
{
  struct naive_flow new = { .tier = item->tier,
                            .workspace = item->workspace,
                            .class_hash = item->class_hash,
                            .deficit = BD_FLOW_QUANTUM };
  struct naive_flow *c;
  int32_t share = (int32_t)clamp (item->min_share_permille, 0, 1000);

  if (!workspace_of (q, item))
    q->workspaces[q->workspace_count++] = new;
  new.created = q->next_created++;
  if (!class_of (q, item))
    q->classes[q->class_count++] = new;
  c = class_of (q, item);
  if (c->min_share_permille == 0 && share > 0)
    c->due = q->grant_count * 1000 + 1000000 / share;
  c->min_share_permille = share;
}

/** Whether ITEM fits beside the items of the tiers up to LOWEST. */
static bool
fits_beside (const struct naive_tier_queue *q,
             const struct bd_queue_item *item, int lowest)
{
  uint64_t bytes = item->bytes;
  size_t count = 1;

  for (size_t i = 0; i < q->item_count; i++)
    if (q->items[i].tier <= lowest)
      {
        bytes += q->items[i].bytes;
        count++;
      }
  return count <= q->limits.max_items && bytes <= q->limits.max_bytes;
}

int
naive_push (struct naive_tier_queue *q, const struct bd_queue_item *item,
            struct bd_queue_item *shed, size_t *shed_count)
{
  *shed_count = 0;
  if (item->tier >= BD_TIER_COUNT || item->cost == 0)
    return BD_ERR_INVALID;
  for (size_t i = 0; i < q->item_count; i++)
    if (q->items[i].request.high == item->request.high
        && q->items[i].request.low == item->request.low
        && q->items[i].attempt == item->attempt)
      return BD_ERR_INVALID;
  if (item->bytes > q->limits.max_bytes)
    return BD_ERR_TOO_LARGE;
  if (!fits_beside (q, item, item->tier))
    return BD_ERR_OVERLOADED;
  while (!fits_beside (q, item, BD_TIER_COUNT))
    {
      size_t victim = 0;

      for (size_t i = 0; i < q->item_count; i++)
        if (q->items[i].tier >= q->items[victim].tier)
          victim = i;
      shed[(*shed_count)++] = remove_item (q, victim);
    }
  q->items[q->item_count++] = *item;
  update_flows (q, item);
  return BD_OK;
}

/** Returns the index of the oldest item of class C. */
static size_t
oldest (const struct naive_tier_queue *q, const struct naive_flow *c)
{
  size_t i = 0;

  while (!in_class (&q->items[i], c))
    i++;
  return i;
}

static size_t
first_class (const struct naive_tier_queue *q, const struct naive_flow *w)
{
  size_t i = 0;

  while (q->classes[i].tier != w->tier
         || q->classes[i].workspace != w->workspace)
    i++;
  return i;
}

/**
 * Deficit round robin over the workspaces of TIER, then over their classes.
 */
static size_t
next_in_tier (struct naive_tier_queue *q, int tier)
{
  for (;;)
    {
      size_t w = 0;
      size_t c;
      int64_t cost;

      while (q->workspaces[w].tier != tier)
        w++;
      c = first_class (q, &q->workspaces[w]);
      cost = cost_of (&q->items[oldest (q, &q->classes[c])]);
      if (q->classes[c].deficit < cost)
        {
          q->classes[c].deficit += BD_FLOW_QUANTUM;
          move_to_end (q->classes, q->class_count, c);
        }
      else if (q->workspaces[w].deficit < cost)
        {
          q->workspaces[w].deficit += BD_FLOW_QUANTUM;
          move_to_end (q->workspaces, q->workspace_count, w);
        }
      else
        return oldest (q, &q->classes[c]);
    }
}

/** Returns the class of the tiers FROM to TO that is due first, or NULL. */
static const struct naive_flow *
first_due (const struct naive_tier_queue *q, int from, int to)
{
  const struct naive_flow *best = NULL;

  for (int t = from; t <= to; t++)
    for (size_t i = 0; i < q->class_count; i++)
      {
        const struct naive_flow *c = &q->classes[i];

        if (c->tier != t || c->min_share_permille == 0
            || c->due > q->grant_count * 1000)
          continue;
        if (!best || c->due < best->due
            || (c->due == best->due && c->tier == best->tier
                && c->created < best->created))
          best = c;
      }
  return best;
}

static size_t
select_item (struct naive_tier_queue *q, bool *round_robin)
{
  int top = 0;
  const struct naive_flow *c = NULL;

  while (naive_tier_length (q, top) == 0)
    top++;
  if (naive_tier_length (q, top) < q->item_count)
    {
      q->low_tier_credit += (int32_t)clamp (q->limits.low_tier_share_permille,
                                            BD_QUEUE_LOW_SHARE_MIN_PERMILLE,
                                            BD_QUEUE_LOW_SHARE_MAX_PERMILLE);
      q->lower_due_credit = (int32_t)clamp (
          q->lower_due_credit + BD_QUEUE_RESERVED_PERMILLE, 0, 2000);
      if (q->low_tier_credit >= 1000)
        {
          q->low_tier_credit -= 1000;
          *round_robin = true;
          do
            q->last_low_tier = (q->last_low_tier + 1) % BD_TIER_COUNT;
          while (q->last_low_tier <= top
                 || naive_tier_length (q, q->last_low_tier) == 0);
          return next_in_tier (q, q->last_low_tier);
        }
      if (q->lower_due_credit >= 1000)
        c = first_due (q, top + 1, BD_TIER_COUNT - 1);
      if (c)
        {
          q->lower_due_credit -= 1000;
          return oldest (q, c);
        }
    }
  q->top_due_credit
      = (int32_t)clamp (q->top_due_credit + BD_QUEUE_DUE_PERMILLE, 0, 2000);
  if (q->top_due_credit >= 1000)
    c = first_due (q, top, top);
  *round_robin = !c;
  if (!c)
    return next_in_tier (q, top);
  q->top_due_credit -= 1000;
  return oldest (q, c);
}

bool
naive_pop (struct naive_tier_queue *q, struct bd_queue_item *item)
{
  struct naive_flow *c;
  struct naive_flow *w;
  int64_t now;
  size_t at;
  bool round_robin = false;

  if (q->item_count == 0)
    return false;
  q->grant_count++;
  at = select_item (q, &round_robin);
  c = class_of (q, &q->items[at]);
  w = workspace_of (q, &q->items[at]);
  now = q->grant_count * 1000;
  c->deficit = clamp (c->deficit - cost_of (&q->items[at]), -BD_FLOW_COST_MAX,
                      INT64_MAX);
  w->deficit -= round_robin ? cost_of (&q->items[at]) : 0;
  if (c->min_share_permille > 0)
    {
      int64_t interval = 1000000 / c->min_share_permille;

      c->due = clamp (c->due + interval, now, now + interval);
    }
  *item = remove_item (q, at);
  return true;
}

bool
naive_expire (struct naive_tier_queue *q, int64_t now_ms,
              struct bd_queue_item *item)
{
  size_t first = 0;

  for (size_t i = 0; i < q->item_count; i++)
    if (q->items[i].deadline_ms < q->items[first].deadline_ms)
      first = i;
  if (q->item_count == 0 || q->items[first].deadline_ms > now_ms)
    return false;
  *item = remove_item (q, first);
  return true;
}

bool
naive_remove (struct naive_tier_queue *q, struct bd_id request,
              uint32_t attempt, struct bd_queue_item *item)
{
  for (size_t i = 0; i < q->item_count; i++)
    if (q->items[i].request.high == request.high
        && q->items[i].request.low == request.low
        && q->items[i].attempt == attempt)
      {
        *item = remove_item (q, i);
        return true;
      }
  return false;
}
