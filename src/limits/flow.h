/**
 * @file flow.h
 * Fair sharing of one tier's grants: deficit round robin over workspaces, then
 * over the classes of each workspace, with minimum shares of classes.
 *
 * A flow exists only while it has items, so that memory follows the number of
 * items.  Time is counted in grants.  The amortised cost of a choice depends
 * neither on the number of items nor on that of flows.  A single choice makes
 * at most 2 * BD_FLOW_COST_MAX / BD_FLOW_QUANTUM rounds over the workspaces.
 */
#ifndef BD_FLOW_H
#define BD_FLOW_H

#include "common/heap.h"
#include "common/list.h"
#include "common/hash_table.h"

#include <stdbool.h>

/** Deficit that a workspace, or a class in it, gains per turn, in tokens. */
#define BD_FLOW_QUANTUM 256

/**
 * Bounds to which costs are clamped, in tokens.  A turn is thus at most
 * BD_FLOW_QUANTUM / BD_FLOW_COST_MIN grants beyond the saved deficit, and the
 * most expensive item waits BD_FLOW_COST_MAX / BD_FLOW_QUANTUM turns.
 */
#define BD_FLOW_COST_MIN 64
#define BD_FLOW_COST_MAX 4096

/** Number of units in a grant, in which shares and due times are counted. */
#define BD_FLOW_UNITS_PER_GRANT 1000

/** Member of the caller's record of a waiting item. */
struct bd_flow_item
{
  struct bd_list_node ring;
  struct bd_flow_class *flow;
  int64_t cost;
};

/** Flows of one tier.  Valid when zero-initialized. */
struct bd_flows
{
  struct bd_list_node *workspaces;
  struct bd_heap due; /**< Classes with a minimum share, by due time. */
  struct bd_hash_table by_workspace;
  struct bd_hash_table by_class;
  uint64_t sequence;
};

/** Frees the memory of flows from which all items were removed. */
void bd_flows_clear (struct bd_flows *flows);

/**
 * Appends ITEM of COST to its class, whose minimum share becomes
 * MIN_SHARE_PERMILLE.  GRANT_COUNT is the number of grants so far.  Returns
 * BD_OK, or BD_ERR_NOMEM with nothing changed.
 */
int bd_flows_add (struct bd_flows *flows, struct bd_flow_item *item,
                  uint64_t workspace, uint64_t class_hash, uint32_t cost,
                  int32_t min_share_permille, int64_t grant_count);

void bd_flows_remove (struct bd_flows *flows, struct bd_flow_item *item);

/** Returns the item whose turn it is.  FLOWS must not be empty. */
struct bd_flow_item *bd_flows_next (struct bd_flows *flows);

/**
 * Returns the oldest item of the class that is most behind its minimum share,
 * or NULL. *DUE is the time at which its next grant was due, in thousandths of
 * a grant.
 */
struct bd_flow_item *bd_flows_due (const struct bd_flows *flows,
                                   int64_t grant_count, int64_t *due);

/**
 * Charges the grant of ITEM to its class, and to the workspace when it was
 * selected by ROUND_ROBIN.  A grant for a minimum share is not charged to the
 * workspace: classes that are always behind would starve the others beside
 * them.
 */
void bd_flows_charge (struct bd_flows *flows, struct bd_flow_item *item,
                      int64_t grant_count, bool round_robin);

#endif
