/**
 * @file inventory.h
 * Asks runners which shared parts of prompts they hold, for an instance that
 * begins to decide on placements without having been told.
 */
#ifndef BD_INVENTORY_H
#define BD_INVENTORY_H

#include "balance/parts.h"
#include "http/client.h"
#include "gateway/dialect.h"

struct bd_inventory;

struct bd_inventory_options
{
  struct bd_client *client;
  const struct bd_dialect *dialect;
  struct bd_targets *targets;
  struct bd_parts *parts; /**< Takes in what is learned. */
};

struct bd_inventory *
bd_inventory_create (const struct bd_inventory_options *options);

/** Ends its calls. */
void bd_inventory_destroy (struct bd_inventory *inventory);

/** All runners of SERVICE are asked, some at a time. */
void bd_inventory_ask (struct bd_inventory *inventory, struct bd_chunk service,
                       int64_t now_ms);

/** Begins the calls that are due, and ends those that take too long. */
void bd_inventory_tick (struct bd_inventory *inventory, int64_t now_ms);

#endif
