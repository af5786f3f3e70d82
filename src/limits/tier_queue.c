#include "limits/tier_queue.h"

#include "common/string.h"
#include "configuration/contract.h"
#include "limits/flow.h"
#include "common/heap.h"
#include "common/random.h"
#include "common/list.h"
#include "common/hash_table.h"

#include <stdlib.h>
#include <string.h>

/** Number of credits in a grant. */
#define CREDIT_PER_GRANT BD_FLOW_UNITS_PER_GRANT
#define CREDIT_MAX 2000

struct item
{
  struct bd_hash_table_node node;
  struct bd_flow_item flow_link;
  struct bd_list_node tier_link;
  struct bd_heap_node expiry;
  struct bd_queue_item public;
};

struct tier
{
  struct bd_flows flows;
  struct bd_list_node *items; /**< Oldest first. */
  uint64_t bytes;
  uint64_t work;
  uint32_t count;
};

struct bd_tier_queue
{
  struct bd_queue_limits limits;
  struct tier tiers[BD_TIER_COUNT];
  struct bd_hash_table items;
  struct bd_heap expiry;
  uint64_t bytes;
  uint64_t sequence;
  int64_t grant_count;
  int32_t low_tier_credit;
  int32_t lower_due_credit;
  int32_t top_due_credit;
  uint8_t last_low_tier;
  uint32_t count;
};

static int64_t
clamp (int64_t value, int64_t low, int64_t high)
{
  if (value < low)
    return low;
  return value > high ? high : value;
}

static uint64_t
item_hash (struct bd_id request, uint32_t attempt)
{
  return request.high ^ bd_random_mix (request.low + attempt);
}

struct bd_tier_queue *
bd_tier_queue_create (const struct bd_queue_limits *limits)
{
  struct bd_tier_queue *q = calloc (1, sizeof *q);

  if (!q)
    return NULL;
  q->limits = *limits;
  q->limits.low_tier_share_permille = (int32_t)clamp (
      limits->low_tier_share_permille, BD_QUEUE_LOW_SHARE_MIN_PERMILLE,
      BD_QUEUE_LOW_SHARE_MAX_PERMILLE);
  return q;
}

static struct item *
item_find (const struct bd_tier_queue *q, struct bd_id request,
           uint32_t attempt)
{
  struct bd_hash_table_node *n
      = bd_hash_table_first (&q->items, item_hash (request, attempt));

  for (; n; n = bd_hash_table_next (n))
    {
      struct item *item = (struct item *)n;

      if (item->public.attempt == attempt
          && bd_id_equal (item->public.request, request))
        return item;
    }
  return NULL;
}

static int
item_index (struct bd_tier_queue *q, struct item *item)
{
  uint64_t hash = item_hash (item->public.request, item->public.attempt);

  if (bd_hash_table_insert (&q->items, &item->node, hash) != BD_OK)
    return BD_ERR_NOMEM;
  item->expiry.key = item->public.deadline_ms;
  item->expiry.order = q->sequence++;
  if (bd_heap_add (&q->expiry, &item->expiry) == BD_OK)
    return BD_OK;
  bd_hash_table_remove (&q->items, &item->node);
  return BD_ERR_NOMEM;
}

static int
item_link (struct bd_tier_queue *q, struct item *item)
{
  const struct bd_queue_item *public = &item->public;
  struct tier *t = &q->tiers[public->tier];

  if (item_index (q, item) != BD_OK)
    return BD_ERR_NOMEM;
  if (bd_flows_add (&t->flows, &item->flow_link, public->workspace,
                    public->class_hash, public->cost,
                    public->min_share_permille, q->grant_count)
      != BD_OK)
    {
      bd_heap_remove (&q->expiry, &item->expiry);
      bd_hash_table_remove (&q->items, &item->node);
      return BD_ERR_NOMEM;
    }
  bd_list_append (&t->items, &item->tier_link);
  t->count++;
  t->bytes += public->bytes;
  t->work += public->cost;
  q->count++;
  q->bytes += public->bytes;
  return BD_OK;
}

/** Removes ITEM from all indexes, copies it to OUT and frees it. */
static void
item_remove (struct bd_tier_queue *q, struct item *item,
             struct bd_queue_item *out)
{
  struct tier *t = &q->tiers[item->public.tier];

  bd_hash_table_remove (&q->items, &item->node);
  bd_heap_remove (&q->expiry, &item->expiry);
  bd_flows_remove (&t->flows, &item->flow_link);
  bd_list_remove (&t->items, &item->tier_link);
  t->count--;
  t->bytes -= item->public.bytes;
  t->work -= item->public.cost;
  q->count--;
  q->bytes -= item->public.bytes;
  *out = item->public;
  free (item);
}

void
bd_tier_queue_destroy (struct bd_tier_queue *q)
{
  struct bd_queue_item ignored;

  if (!q)
    return;
  for (int t = 0; t < BD_TIER_COUNT; t++)
    {
      while (q->tiers[t].items)
        item_remove (
            q, BD_CONTAINER_OF (q->tiers[t].items, struct item, tier_link),
            &ignored);
      bd_flows_clear (&q->tiers[t].flows);
    }
  bd_hash_table_clear (&q->items);
  bd_heap_clear (&q->expiry);
  free (q);
}

/** Whether ITEM fits once all items of lower tiers are shed. */
static bool
fits_without_lower (const struct bd_tier_queue *q,
                    const struct bd_queue_item *item)
{
  uint32_t count = 0;
  uint64_t bytes = 0;

  for (int t = 0; t <= item->tier; t++)
    {
      count += q->tiers[t].count;
      bytes += q->tiers[t].bytes;
    }
  return count < q->limits.max_items
         && bytes + item->bytes <= q->limits.max_bytes;
}

/** Sheds the newest items of the lowest tier until the limits hold. */
static void
shed_excess (struct bd_tier_queue *q,
             void (*on_shed) (void *context, const struct bd_queue_item *item),
             void *context)
{
  int t = BD_TIER_COUNT - 1;
  struct bd_queue_item shed;

  while (q->count > q->limits.max_items || q->bytes > q->limits.max_bytes)
    {
      while (q->tiers[t].count == 0)
        t--;
      item_remove (
          q, BD_CONTAINER_OF (q->tiers[t].items->prev, struct item, tier_link),
          &shed);
      if (on_shed)
        on_shed (context, &shed);
    }
}

int
bd_tier_queue_push (struct bd_tier_queue *q, const struct bd_queue_item *item,
                    void (*on_shed) (void *context,
                                     const struct bd_queue_item *item),
                    void *context)
{
  struct item *copy;
  int rc;

  if (item->tier >= BD_TIER_COUNT || item->cost == 0
      || item_find (q, item->request, item->attempt))
    return BD_ERR_INVALID;
  if (item->bytes > q->limits.max_bytes)
    return BD_ERR_TOO_LARGE;
  if (!fits_without_lower (q, item))
    return BD_ERR_OVERLOADED;
  copy = calloc (1, sizeof *copy);
  if (!copy)
    return BD_ERR_NOMEM;
  copy->public = *item;
  rc = item_link (q, copy);
  if (rc != BD_OK)
    {
      free (copy);
      return rc;
    }
  shed_excess (q, on_shed, context);
  return BD_OK;
}

static int
highest_tier (const struct bd_tier_queue *q)
{
  int t = 0;

  while (q->tiers[t].count == 0)
    t++;
  return t;
}

/** Returns the item that is due first among the tiers below TOP, or NULL. */
static struct bd_flow_item *
most_due_below (const struct bd_tier_queue *q, int top)
{
  struct bd_flow_item *best = NULL;
  int64_t best_due = 0;

  for (int t = top + 1; t < BD_TIER_COUNT; t++)
    {
      int64_t due = 0;
      struct bd_flow_item *item
          = bd_flows_due (&q->tiers[t].flows, q->grant_count, &due);

      if (item && (!best || due < best_due))
        {
          best = item;
          best_due = due;
        }
    }
  return best;
}

/** Returns the tier below TOP whose turn it is. */
static int
next_low_tier (struct bd_tier_queue *q, int top)
{
  int t = q->last_low_tier;

  do
    t = t + 1 < BD_TIER_COUNT ? t + 1 : 0;
  while (t <= top || q->tiers[t].count == 0);
  q->last_low_tier = (uint8_t)t;
  return t;
}

/**
 * Returns the item of a lower tier that gets this grant in place of tier TOP,
 * or NULL.
 */
static struct bd_flow_item *
select_lower (struct bd_tier_queue *q, int top, bool *round_robin)
{
  struct bd_flow_item *item;

  if (q->tiers[top].count == q->count)
    return NULL;
  q->low_tier_credit += q->limits.low_tier_share_permille;
  q->lower_due_credit = (int32_t)clamp (
      q->lower_due_credit + BD_QUEUE_RESERVED_PERMILLE, 0, CREDIT_MAX);
  if (q->low_tier_credit >= CREDIT_PER_GRANT)
    {
      q->low_tier_credit -= CREDIT_PER_GRANT;
      *round_robin = true;
      return bd_flows_next (&q->tiers[next_low_tier (q, top)].flows);
    }
  item = q->lower_due_credit >= CREDIT_PER_GRANT ? most_due_below (q, top)
                                                 : NULL;
  if (item)
    q->lower_due_credit -= CREDIT_PER_GRANT;
  return item;
}

static struct bd_flow_item *
select_in_tier (struct bd_tier_queue *q, int top, bool *round_robin)
{
  struct bd_flows *flows = &q->tiers[top].flows;
  struct bd_flow_item *item = NULL;
  int64_t due = 0;

  q->top_due_credit = (int32_t)clamp (
      q->top_due_credit + BD_QUEUE_DUE_PERMILLE, 0, CREDIT_MAX);
  if (q->top_due_credit >= CREDIT_PER_GRANT)
    item = bd_flows_due (flows, q->grant_count, &due);
  if (item)
    {
      q->top_due_credit -= CREDIT_PER_GRANT;
      return item;
    }
  *round_robin = true;
  return bd_flows_next (flows);
}

bool
bd_tier_queue_pop (struct bd_tier_queue *q, struct bd_queue_item *item)
{
  struct bd_flow_item *next;
  struct item *item_taken;
  bool round_robin = false;
  int top;

  if (q->count == 0)
    return false;
  q->grant_count++;
  top = highest_tier (q);
  next = select_lower (q, top, &round_robin);
  if (!next)
    next = select_in_tier (q, top, &round_robin);
  item_taken = BD_CONTAINER_OF (next, struct item, flow_link);
  bd_flows_charge (&q->tiers[item_taken->public.tier].flows, next,
                   q->grant_count, round_robin);
  item_remove (q, item_taken, item);
  return true;
}

bool
bd_tier_queue_expire (struct bd_tier_queue *q, int64_t now_ms,
                      struct bd_queue_item *item)
{
  struct bd_heap_node *n = bd_heap_first (&q->expiry);

  if (!n || n->key > now_ms)
    return false;
  item_remove (q, BD_CONTAINER_OF (n, struct item, expiry), item);
  return true;
}

bool
bd_tier_queue_remove (struct bd_tier_queue *q, struct bd_id request,
                      uint32_t attempt, struct bd_queue_item *item)
{
  struct item *found = item_find (q, request, attempt);

  if (!found)
    return false;
  item_remove (q, found, item);
  return true;
}

uint32_t
bd_tier_queue_length (const struct bd_tier_queue *q)
{
  return q->count;
}

uint32_t
bd_tier_queue_tier_length (const struct bd_tier_queue *q, uint8_t tier)
{
  return tier < BD_TIER_COUNT ? q->tiers[tier].count : 0;
}

uint64_t
bd_tier_queue_bytes (const struct bd_tier_queue *q)
{
  return q->bytes;
}

uint64_t
bd_tier_queue_work_ahead (const struct bd_tier_queue *q, uint8_t tier)
{
  uint64_t work = 0;

  for (int t = 0; t <= tier && t < BD_TIER_COUNT; t++)
    work += q->tiers[t].work;
  return work;
}
