/**
 * @file inventory.h
 * Asks runners which parts of prompts they hold, for an instance that becomes
 * the coordinator without having got this from its predecessor, or that is to
 * find out which software version began a stream.
 */
#ifndef BD_INVENTORY_H
#define BD_INVENTORY_H

#include "balance/prefix_map.h"
#include "balance/stream_origin.h"
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
  /** Receives which software versions hold which parts. */
  struct bd_stream_origins *origins;
};

/** Whether the runners of a service have told what they hold. */
enum bd_inventory_state
{
  BD_INVENTORY_OLD = 0, /**< They were not asked lately. */
  BD_INVENTORY_ASKED,   /**< Some have not answered yet. */
  BD_INVENTORY_KNOWN    /**< All have answered, or did not in time. */
};

struct bd_inventory *
bd_inventory_create (const struct bd_inventory_options *options);

/** Cancels the calls in progress. */
void bd_inventory_destroy (struct bd_inventory *inventory);

/** Queues calls to all runners of SERVICE that may be asked. */
void bd_inventory_query (struct bd_inventory *inventory,
                         struct bd_chunk service, int64_t now_ms);

/** Returns what has come of the last query for SERVICE. */
enum bd_inventory_state
bd_inventory_state (const struct bd_inventory *inventory,
                    struct bd_chunk service, int64_t now_ms);

/** Returns whether the present process of TARGET has told what it holds. */
bool bd_inventory_has_told (const struct bd_target *target, int64_t now_ms);

/** Starts queued calls, a few at a time, and ends those that take too long. */
void bd_inventory_tick (struct bd_inventory *inventory, int64_t now_ms);

#endif
