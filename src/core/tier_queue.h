/**
 * @file tier_queue.h
 * A runner's queue: tiers first, then classes and workspaces by deficit
 * round robin, with a minimum share for the lower tiers.  Bounded by number
 * and bytes.  The cost of an operation does not depend on the length.
 */
#ifndef BD_TIER_QUEUE_H
#define BD_TIER_QUEUE_H

#include "basildock.h"

/** One waiting request.  The queue copies it. */
struct bd_queue_item
{
  struct bd_id request;
  uint32_t attempt;
  uint8_t tier;
  uint64_t workspace;  /**< Hash of the workspace's name. */
  uint64_t class_hash; /**< Hash of workspace and class. */
  int32_t min_share_permille;
  uint32_t cost;       /**< Expected work in tokens, at least 1. */
  uint32_t bytes;      /**< Memory accounted to the request. */
  int64_t deadline_ms; /**< Not granted after this time. */
  void *data;          /**< The caller's; never read. */
};

struct bd_queue_limits
{
  uint32_t max_items;
  uint64_t max_bytes;
  /** Share of all grants that goes to the tiers below the highest waiting. */
  int32_t low_tier_share_permille;
};

struct bd_tier_queue;

struct bd_tier_queue *
bd_tier_queue_create (const struct bd_queue_limits *limits);
void bd_tier_queue_destroy (struct bd_tier_queue *queue);

/**
 * Adds ITEM.  When the queue is full, the newest items of the lowest tier
 * present, if lower than ITEM's, are shed to make room: each is passed to
 * ON_SHED.  Returns BD_OK, BD_ERR_OVERLOADED when nothing lower is queued,
 * BD_ERR_INVALID for a duplicate (request, attempt), or BD_ERR_NOMEM.
 */
int bd_tier_queue_push (struct bd_tier_queue *queue,
                        const struct bd_queue_item *item,
                        void (*on_shed) (void *context,
                                         const struct bd_queue_item *item),
                        void *context);

/** Removes the item to grant next.  Returns false when empty. */
bool bd_tier_queue_pop (struct bd_tier_queue *queue,
                        struct bd_queue_item *item);

/** Removes one item whose deadline is at or before NOW_MS. */
bool bd_tier_queue_expire (struct bd_tier_queue *queue, int64_t now_ms,
                           struct bd_queue_item *item);

/** Removes a given item.  Returns false when it is not queued. */
bool bd_tier_queue_remove (struct bd_tier_queue *queue, struct bd_id request,
                           uint32_t attempt, struct bd_queue_item *item);

uint32_t bd_tier_queue_length (const struct bd_tier_queue *queue);
uint32_t bd_tier_queue_tier_length (const struct bd_tier_queue *queue,
                                    uint8_t tier);

/** Summed cost of the waiting items of TIER and the tiers above it. */
uint64_t bd_tier_queue_work_ahead (const struct bd_tier_queue *queue,
                                   uint8_t tier);

#endif
