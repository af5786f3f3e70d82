#include "core/tier_queue.h"

#include "common/string.h"
#include "core/contract.h"
#include "core/heap.h"
#include "core/random.h"
#include "core/table.h"

#include <stdlib.h>
#include <string.h>

#define RECORD(node, type, member)                                            \
  ((type *)(void *)((char *)(node)-offsetof (type, member)))

/** Credits are counted in thousandths of a grant. */
#define GRANT 1000
#define CREDIT_MAX 2000

/** A member of a circular list whose owner points to the head. */
struct ring
{
  struct ring *next;
  struct ring *prev;
};

/** The waiting items of one class of one workspace in one tier. */
struct class_flow
{
  struct bd_table_node node;
  struct ring ring; /**< Of the workspace. */
  struct bd_heap_node due;
  struct workspace_flow *workspace;
  uint64_t class_hash;
  int64_t deficit;
  int32_t min_share_permille;
  struct ring *items; /**< Oldest first. */
};

/** The waiting classes of one workspace in one tier. */
struct workspace_flow
{
  struct bd_table_node node;
  struct ring ring; /**< Of the tier. */
  uint64_t workspace;
  int64_t deficit;
  uint8_t tier;
  struct ring *classes;
};

struct item
{
  struct bd_table_node node;
  struct ring in_class;
  struct ring in_tier;
  struct bd_heap_node expiry;
  struct class_flow *class_flow;
  struct bd_queue_item public;
};

struct tier
{
  struct ring *workspaces;
  struct ring *items; /**< Oldest first. */
  struct bd_heap due; /**< Classes with a minimum share. */
  uint64_t bytes;
  uint64_t work;
  uint32_t count;
};

struct bd_tier_queue
{
  struct bd_queue_limits limits;
  struct tier tiers[BD_TIER_COUNT];
  struct bd_table items;
  struct bd_table classes;
  struct bd_table workspaces;
  struct bd_heap expiry;
  uint64_t bytes;
  uint64_t sequence;
  int64_t granted;
  int32_t low_credit;
  int32_t reserve_credit;
  int32_t due_credit;
  uint8_t last_low_tier;
  uint32_t count;
};

static void
ring_append (struct ring **head, struct ring *node)
{
  if (!*head)
    {
      node->next = node;
      node->prev = node;
      *head = node;
      return;
    }
  node->next = *head;
  node->prev = (*head)->prev;
  node->prev->next = node;
  (*head)->prev = node;
}

static void
ring_remove (struct ring **head, struct ring *node)
{
  if (node->next == node)
    {
      *head = NULL;
      return;
    }
  node->prev->next = node->next;
  node->next->prev = node->prev;
  if (*head == node)
    *head = node->next;
}

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

static uint64_t
flow_hash (uint8_t tier, uint64_t name)
{
  return name + tier;
}

static int64_t
item_cost (const struct item *item)
{
  return clamp (item->public.cost, BD_QUEUE_COST_MIN, BD_QUEUE_COST_MAX);
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
  struct bd_table_node *n
      = bd_table_first (&q->items, item_hash (request, attempt));

  for (; n; n = bd_table_next (n))
    {
      struct item *item = (struct item *)n;

      if (item->public.attempt == attempt
          && bd_id_equal (item->public.request, request))
        return item;
    }
  return NULL;
}

static struct workspace_flow *
workspace_find (const struct bd_tier_queue *q, uint8_t tier, uint64_t name)
{
  struct bd_table_node *n
      = bd_table_first (&q->workspaces, flow_hash (tier, name));

  for (; n; n = bd_table_next (n))
    {
      struct workspace_flow *w = (struct workspace_flow *)n;

      if (w->tier == tier && w->workspace == name)
        return w;
    }
  return NULL;
}

static struct class_flow *
class_find (const struct bd_tier_queue *q, const struct bd_queue_item *item)
{
  struct bd_table_node *n
      = bd_table_first (&q->classes, flow_hash (item->tier, item->class_hash));

  for (; n; n = bd_table_next (n))
    {
      struct class_flow *c = (struct class_flow *)n;

      if (c->class_hash == item->class_hash && c->workspace->tier == item->tier
          && c->workspace->workspace == item->workspace)
        return c;
    }
  return NULL;
}

static void
workspace_drop_if_empty (struct bd_tier_queue *q, struct workspace_flow *w)
{
  if (w->classes)
    return;
  ring_remove (&q->tiers[w->tier].workspaces, &w->ring);
  bd_table_remove (&q->workspaces, &w->node);
  free (w);
}

static void
class_drop_if_empty (struct bd_tier_queue *q, struct class_flow *c)
{
  struct workspace_flow *w = c->workspace;

  if (c->items)
    return;
  if (c->min_share_permille > 0)
    bd_heap_remove (&q->tiers[w->tier].due, &c->due);
  ring_remove (&w->classes, &c->ring);
  bd_table_remove (&q->classes, &c->node);
  free (c);
  workspace_drop_if_empty (q, w);
}

static struct workspace_flow *
workspace_obtain (struct bd_tier_queue *q, uint8_t tier, uint64_t name)
{
  struct workspace_flow *w = workspace_find (q, tier, name);

  if (w)
    return w;
  w = calloc (1, sizeof *w);
  if (!w)
    return NULL;
  w->tier = tier;
  w->workspace = name;
  w->deficit = BD_QUEUE_QUANTUM;
  if (bd_table_insert (&q->workspaces, &w->node, flow_hash (tier, name))
      != BD_OK)
    {
      free (w);
      return NULL;
    }
  ring_append (&q->tiers[tier].workspaces, &w->ring);
  return w;
}

static struct class_flow *
class_create (struct bd_tier_queue *q, struct workspace_flow *w,
              uint64_t class_hash)
{
  struct class_flow *c = calloc (1, sizeof *c);

  if (!c)
    return NULL;
  c->workspace = w;
  c->class_hash = class_hash;
  c->deficit = BD_QUEUE_QUANTUM;
  c->due.order = q->sequence++;
  if (bd_table_insert (&q->classes, &c->node, flow_hash (w->tier, class_hash))
      != BD_OK)
    {
      free (c);
      return NULL;
    }
  ring_append (&w->classes, &c->ring);
  return c;
}

static struct class_flow *
class_obtain (struct bd_tier_queue *q, const struct bd_queue_item *item)
{
  struct class_flow *c = class_find (q, item);
  struct workspace_flow *w;

  if (c)
    return c;
  w = workspace_obtain (q, item->tier, item->workspace);
  if (!w)
    return NULL;
  c = class_create (q, w, item->class_hash);
  if (!c)
    workspace_drop_if_empty (q, w);
  return c;
}

static int64_t
due_interval (const struct class_flow *c)
{
  return (int64_t)GRANT * GRANT / c->min_share_permille;
}

static int
class_set_min_share (struct bd_tier_queue *q, struct class_flow *c,
                     int32_t permille)
{
  struct bd_heap *due = &q->tiers[c->workspace->tier].due;
  int32_t before = c->min_share_permille;

  permille = (int32_t)clamp (permille, 0, GRANT);
  if (before > 0 && permille == 0)
    bd_heap_remove (due, &c->due);
  c->min_share_permille = permille;
  if (before > 0 || permille == 0)
    return BD_OK;
  c->due.key = q->granted * GRANT + due_interval (c);
  if (bd_heap_add (due, &c->due) == BD_OK)
    return BD_OK;
  c->min_share_permille = 0;
  return BD_ERR_NOMEM;
}

static int
item_index (struct bd_tier_queue *q, struct item *item)
{
  uint64_t hash = item_hash (item->public.request, item->public.attempt);

  if (bd_table_insert (&q->items, &item->node, hash) != BD_OK)
    return BD_ERR_NOMEM;
  item->expiry.key = item->public.deadline_ms;
  item->expiry.order = q->sequence++;
  if (bd_heap_add (&q->expiry, &item->expiry) == BD_OK)
    return BD_OK;
  bd_table_remove (&q->items, &item->node);
  return BD_ERR_NOMEM;
}

static int
item_link (struct bd_tier_queue *q, struct item *item)
{
  struct tier *t = &q->tiers[item->public.tier];
  struct class_flow *c = class_obtain (q, &item->public);

  if (!c)
    return BD_ERR_NOMEM;
  if (class_set_min_share (q, c, item->public.min_share_permille) != BD_OK
      || item_index (q, item) != BD_OK)
    {
      class_drop_if_empty (q, c);
      return BD_ERR_NOMEM;
    }
  item->class_flow = c;
  ring_append (&c->items, &item->in_class);
  ring_append (&t->items, &item->in_tier);
  t->count++;
  t->bytes += item->public.bytes;
  t->work += item->public.cost;
  q->count++;
  q->bytes += item->public.bytes;
  return BD_OK;
}

/** Takes ITEM out of everything, copies it to OUT and frees it. */
static void
item_take (struct bd_tier_queue *q, struct item *item,
           struct bd_queue_item *out)
{
  struct tier *t = &q->tiers[item->public.tier];
  struct class_flow *c = item->class_flow;

  bd_table_remove (&q->items, &item->node);
  bd_heap_remove (&q->expiry, &item->expiry);
  ring_remove (&c->items, &item->in_class);
  ring_remove (&t->items, &item->in_tier);
  t->count--;
  t->bytes -= item->public.bytes;
  t->work -= item->public.cost;
  q->count--;
  q->bytes -= item->public.bytes;
  *out = item->public;
  free (item);
  class_drop_if_empty (q, c);
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
        item_take (q, RECORD (q->tiers[t].items, struct item, in_tier),
                   &ignored);
      bd_heap_clear (&q->tiers[t].due);
    }
  bd_table_clear (&q->items);
  bd_table_clear (&q->classes);
  bd_table_clear (&q->workspaces);
  bd_heap_clear (&q->expiry);
  free (q);
}

/** Whether ITEM fits once everything of a lower tier is gone. */
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

/** Sheds the newest of the lowest tier until the limits hold. */
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
      item_take (q, RECORD (q->tiers[t].items->prev, struct item, in_tier),
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

/** Oldest item of the class whose turn it is in W. */
static struct item *
workspace_next (struct workspace_flow *w)
{
  for (;;)
    {
      struct class_flow *c = RECORD (w->classes, struct class_flow, ring);
      struct item *item = RECORD (c->items, struct item, in_class);

      if (c->deficit >= item_cost (item))
        return item;
      c->deficit += BD_QUEUE_QUANTUM;
      w->classes = w->classes->next;
    }
}

/** Next item of tier T by deficit round robin. */
static struct item *
tier_next (struct tier *t)
{
  for (;;)
    {
      struct workspace_flow *w
          = RECORD (t->workspaces, struct workspace_flow, ring);
      struct item *item = workspace_next (w);

      if (w->deficit >= item_cost (item))
        return item;
      w->deficit += BD_QUEUE_QUANTUM;
      t->workspaces = t->workspaces->next;
    }
}

/** Class of tier T whose minimum share is due first, or NULL. */
static struct class_flow *
tier_due (const struct bd_tier_queue *q, int t)
{
  struct bd_heap_node *n = bd_heap_first (&q->tiers[t].due);

  if (!n || n->key > q->granted * GRANT)
    return NULL;
  return RECORD (n, struct class_flow, due);
}

static int
top_tier (const struct bd_tier_queue *q)
{
  int t = 0;

  while (q->tiers[t].count == 0)
    t++;
  return t;
}

/** The due class among the tiers below TOP, or NULL. */
static struct class_flow *
lower_due (const struct bd_tier_queue *q, int top)
{
  struct class_flow *best = NULL;

  for (int t = top + 1; t < BD_TIER_COUNT; t++)
    {
      struct class_flow *c = tier_due (q, t);

      if (c && (!best || c->due.key < best->due.key))
        best = c;
    }
  return best;
}

/** The tier below TOP whose turn it is. */
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

static struct item *
select_next (struct bd_tier_queue *q)
{
  int top = top_tier (q);
  struct class_flow *c = NULL;

  if (q->tiers[top].count < q->count)
    {
      q->low_credit += q->limits.low_tier_share_permille;
      q->reserve_credit = (int32_t)clamp (
          q->reserve_credit + BD_QUEUE_RESERVED_PERMILLE, 0, CREDIT_MAX);
      if (q->low_credit >= GRANT)
        {
          q->low_credit -= GRANT;
          return tier_next (&q->tiers[next_low_tier (q, top)]);
        }
      c = q->reserve_credit >= GRANT ? lower_due (q, top) : NULL;
      if (c)
        {
          q->reserve_credit -= GRANT;
          return RECORD (c->items, struct item, in_class);
        }
    }
  q->due_credit
      = (int32_t)clamp (q->due_credit + BD_QUEUE_DUE_PERMILLE, 0, CREDIT_MAX);
  c = q->due_credit >= GRANT ? tier_due (q, top) : NULL;
  if (!c)
    return tier_next (&q->tiers[top]);
  q->due_credit -= GRANT;
  return RECORD (c->items, struct item, in_class);
}

/** Charges a grant of ITEM to its class and workspace. */
static void
charge (struct bd_tier_queue *q, const struct item *item)
{
  struct class_flow *c = item->class_flow;
  struct workspace_flow *w = c->workspace;
  int64_t cost = item_cost (item);
  int64_t now = q->granted * GRANT;

  c->deficit = clamp (c->deficit - cost, -BD_QUEUE_COST_MAX, INT64_MAX);
  w->deficit = clamp (w->deficit - cost, -BD_QUEUE_COST_MAX, INT64_MAX);
  if (c->min_share_permille > 0)
    {
      int64_t interval = due_interval (c);

      bd_heap_change (&q->tiers[w->tier].due, &c->due,
                      clamp (c->due.key + interval, now, now + interval));
    }
}

bool
bd_tier_queue_pop (struct bd_tier_queue *q, struct bd_queue_item *item)
{
  struct item *next;

  if (q->count == 0)
    return false;
  q->granted++;
  next = select_next (q);
  charge (q, next);
  item_take (q, next, item);
  return true;
}

bool
bd_tier_queue_expire (struct bd_tier_queue *q, int64_t now_ms,
                      struct bd_queue_item *item)
{
  struct bd_heap_node *n = bd_heap_first (&q->expiry);

  if (!n || n->key > now_ms)
    return false;
  item_take (q, RECORD (n, struct item, expiry), item);
  return true;
}

bool
bd_tier_queue_remove (struct bd_tier_queue *q, struct bd_id request,
                      uint32_t attempt, struct bd_queue_item *item)
{
  struct item *found = item_find (q, request, attempt);

  if (!found)
    return false;
  item_take (q, found, item);
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
