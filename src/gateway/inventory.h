/**
 * @file inventory.h
 * Asks runners which shared prefixes they hold, for an instance that becomes
 * the coordinator without having got this from its predecessor.
 */
#ifndef BD_INVENTORY_H
#define BD_INVENTORY_H

#include "balance/prefix_map.h"
#include "http/client.h"
#include "gateway/dialect.h"

struct bd_inventory;

struct bd_inventory_options
{
  struct bd_client *client;
  const struct bd_dialect *dialect;
  struct bd_targets *targets;
  /** Receives the prefixes that runners report. */
  struct bd_prefix_map *prefixes;
};

struct bd_inventory *
bd_inventory_create (const struct bd_inventory_options *options);

/** Cancels the calls in progress. */
void bd_inventory_destroy (struct bd_inventory *inventory);

/** Queues calls to all usable runners of SERVICE. */
void bd_inventory_query (struct bd_inventory *inventory,
                         struct bd_chunk service, int64_t now_ms);

/** Starts queued calls, a few at a time, and ends those that take too long. */
void bd_inventory_tick (struct bd_inventory *inventory, int64_t now_ms);

#endif
