#include "limits/flow.h"

#include "basildock.h"

#include <stdlib.h>

/** Waiting items of one class. */
struct bd_flow_class
{
  struct bd_hash_table_node node;
  struct bd_list_node ring; /**< Link in the workspace's classes. */
  struct bd_heap_node due;
  struct flow_workspace *workspace;
  int64_t deficit;
  int32_t min_share_permille;
  struct bd_list_node *items; /**< Oldest first. */
};

/** Waiting classes of one workspace. */
struct flow_workspace
{
  struct bd_hash_table_node node;
  struct bd_list_node ring; /**< Link in the tier's workspaces. */
  int64_t deficit;
  struct bd_list_node *classes;
};

static int64_t
clamp (int64_t value, int64_t low, int64_t high)
{
  if (value < low)
    return low;
  return value > high ? high : value;
}

void
bd_flows_clear (struct bd_flows *flows)
{
  bd_heap_clear (&flows->due);
  bd_hash_table_clear (&flows->by_workspace);
  bd_hash_table_clear (&flows->by_class);
}

static struct bd_flow_class *
class_find (const struct bd_flows *flows, uint64_t workspace,
            uint64_t class_hash)
{
  struct bd_hash_table_node *n
      = bd_hash_table_first (&flows->by_class, class_hash);

  for (; n; n = bd_hash_table_next (n))
    {
      struct bd_flow_class *c = (struct bd_flow_class *)n;

      if (c->workspace->node.hash == workspace)
        return c;
    }
  return NULL;
}

static void
workspace_drop_if_empty (struct bd_flows *flows, struct flow_workspace *w)
{
  if (w->classes)
    return;
  bd_list_remove (&flows->workspaces, &w->ring);
  bd_hash_table_remove (&flows->by_workspace, &w->node);
  free (w);
}

static void
class_drop_if_empty (struct bd_flows *flows, struct bd_flow_class *c)
{
  struct flow_workspace *w = c->workspace;

  if (c->items)
    return;
  if (c->min_share_permille > 0)
    bd_heap_remove (&flows->due, &c->due);
  bd_list_remove (&w->classes, &c->ring);
  bd_hash_table_remove (&flows->by_class, &c->node);
  free (c);
  workspace_drop_if_empty (flows, w);
}

static struct flow_workspace *
workspace_find_or_create (struct bd_flows *flows, uint64_t workspace)
{
  struct flow_workspace *w = (struct flow_workspace *)bd_hash_table_first (
      &flows->by_workspace, workspace);

  if (w)
    return w;
  w = calloc (1, sizeof *w);
  if (!w)
    return NULL;
  w->deficit = BD_FLOW_QUANTUM;
  if (bd_hash_table_insert (&flows->by_workspace, &w->node, workspace)
      != BD_OK)
    {
      free (w);
      return NULL;
    }
  bd_list_append (&flows->workspaces, &w->ring);
  return w;
}

static struct bd_flow_class *
class_create (struct bd_flows *flows, struct flow_workspace *w,
              uint64_t class_hash)
{
  struct bd_flow_class *c = calloc (1, sizeof *c);

  if (!c)
    return NULL;
  c->workspace = w;
  c->deficit = BD_FLOW_QUANTUM;
  c->due.order = flows->sequence++;
  if (bd_hash_table_insert (&flows->by_class, &c->node, class_hash) != BD_OK)
    {
      free (c);
      return NULL;
    }
  bd_list_append (&w->classes, &c->ring);
  return c;
}

static struct bd_flow_class *
class_find_or_create (struct bd_flows *flows, uint64_t workspace,
                      uint64_t class_hash)
{
  struct bd_flow_class *c = class_find (flows, workspace, class_hash);
  struct flow_workspace *w;

  if (c)
    return c;
  w = workspace_find_or_create (flows, workspace);
  if (!w)
    return NULL;
  c = class_create (flows, w, class_hash);
  if (!c)
    workspace_drop_if_empty (flows, w);
  return c;
}

static int64_t
due_interval (const struct bd_flow_class *c)
{
  return (int64_t)BD_FLOW_UNITS_PER_GRANT * BD_FLOW_UNITS_PER_GRANT
         / c->min_share_permille;
}

static int
set_min_share (struct bd_flows *flows, struct bd_flow_class *c,
               int32_t permille, int64_t grant_count)
{
  int32_t before = c->min_share_permille;

  permille = (int32_t)clamp (permille, 0, BD_FLOW_UNITS_PER_GRANT);
  if (before > 0 && permille == 0)
    bd_heap_remove (&flows->due, &c->due);
  c->min_share_permille = permille;
  if (before > 0 || permille == 0)
    return BD_OK;
  c->due.key = grant_count * BD_FLOW_UNITS_PER_GRANT + due_interval (c);
  if (bd_heap_add (&flows->due, &c->due) == BD_OK)
    return BD_OK;
  c->min_share_permille = 0;
  return BD_ERR_NOMEM;
}

int
bd_flows_add (struct bd_flows *flows, struct bd_flow_item *item,
              uint64_t workspace, uint64_t class_hash, uint32_t cost,
              int32_t min_share_permille, int64_t grant_count)
{
  struct bd_flow_class *c
      = class_find_or_create (flows, workspace, class_hash);

  if (!c)
    return BD_ERR_NOMEM;
  if (set_min_share (flows, c, min_share_permille, grant_count) != BD_OK)
    {
      class_drop_if_empty (flows, c);
      return BD_ERR_NOMEM;
    }
  item->flow = c;
  item->cost = clamp (cost, BD_FLOW_COST_MIN, BD_FLOW_COST_MAX);
  bd_list_append (&c->items, &item->ring);
  return BD_OK;
}

void
bd_flows_remove (struct bd_flows *flows, struct bd_flow_item *item)
{
  bd_list_remove (&item->flow->items, &item->ring);
  class_drop_if_empty (flows, item->flow);
}

static struct bd_flow_item *
oldest (const struct bd_flow_class *c)
{
  return BD_CONTAINER_OF (c->items, struct bd_flow_item, ring);
}

/** Returns the oldest item of the class whose turn it is in W. */
static struct bd_flow_item *
workspace_next (struct flow_workspace *w)
{
  for (;;)
    {
      struct bd_flow_class *c
          = BD_CONTAINER_OF (w->classes, struct bd_flow_class, ring);

      if (c->deficit >= oldest (c)->cost)
        return oldest (c);
      c->deficit += BD_FLOW_QUANTUM;
      w->classes = w->classes->next;
    }
}

struct bd_flow_item *
bd_flows_next (struct bd_flows *flows)
{
  for (;;)
    {
      struct flow_workspace *w
          = BD_CONTAINER_OF (flows->workspaces, struct flow_workspace, ring);
      struct bd_flow_item *item = workspace_next (w);

      if (w->deficit >= item->cost)
        return item;
      w->deficit += BD_FLOW_QUANTUM;
      flows->workspaces = flows->workspaces->next;
    }
}

struct bd_flow_item *
bd_flows_due (const struct bd_flows *flows, int64_t grant_count, int64_t *due)
{
  struct bd_heap_node *n = bd_heap_first (&flows->due);

  if (!n || n->key > grant_count * BD_FLOW_UNITS_PER_GRANT)
    return NULL;
  *due = n->key;
  return oldest (BD_CONTAINER_OF (n, struct bd_flow_class, due));
}

void
bd_flows_charge (struct bd_flows *flows, struct bd_flow_item *item,
                 int64_t grant_count, bool round_robin)
{
  struct bd_flow_class *c = item->flow;
  struct flow_workspace *w = c->workspace;
  int64_t now = grant_count * BD_FLOW_UNITS_PER_GRANT;
  int64_t interval;

  c->deficit = clamp (c->deficit - item->cost, -BD_FLOW_COST_MAX, INT64_MAX);
  if (round_robin)
    w->deficit -= item->cost;
  if (c->min_share_permille == 0)
    return;
  interval = due_interval (c);
  bd_heap_change (&flows->due, &c->due,
                  clamp (c->due.key + interval, now, now + interval));
}
