/**
 * @file tier_queue.h
 * Queue of a runner: strict tiers, then deficit round robin over workspaces
 * and their classes, with minimum shares for lower tiers and classes.  Bounded
 * by number and bytes.  The cost of an operation does not depend on the
 * length.
 */
#ifndef BD_TIER_QUEUE_H
#define BD_TIER_QUEUE_H

#include "basildock.h"

/**
 * Bounds of low_tier_share_permille: lower tiers do not starve, and do not
 * displace the higher ones.
 */
#define BD_QUEUE_LOW_SHARE_MIN_PERMILLE 10
#define BD_QUEUE_LOW_SHARE_MAX_PERMILLE 500

/**
 * Largest part of the grants that the minimum shares of classes below the
 * highest waiting tier get together, in addition to low_tier_share_permille.
 */
#define BD_QUEUE_RESERVED_PERMILLE 200

/**
 * Largest part of the highest waiting tier's own grants that the minimum
 * shares of its classes get together.  The rest goes by round robin.
 */
#define BD_QUEUE_DUE_PERMILLE 500

/** A waiting request.  The queue copies it. */
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
  void *data;          /**< The caller's pointer; never dereferenced. */
};

struct bd_queue_limits
{
  uint32_t max_items;
  uint64_t max_bytes;
  /**
   * Share of all grants that goes to the tiers below the highest waiting one.
   */
  int32_t low_tier_share_permille;
};

struct bd_tier_queue;

struct bd_tier_queue *
bd_tier_queue_create (const struct bd_queue_limits *limits);
void bd_tier_queue_destroy (struct bd_tier_queue *queue);

/**
 * Adds ITEM.  When the queue is full, the newest items of the lowest tier
 * present are shed to make room if that tier is lower than ITEM's.  Each is
 * passed to ON_SHED.  Returns BD_OK, BD_ERR_OVERLOADED when nothing lower is
 * queued, BD_ERR_TOO_LARGE when ITEM alone exceeds max_bytes, BD_ERR_INVALID
 * for a duplicate (request, attempt), an unknown tier or a cost of 0, or
 * BD_ERR_NOMEM.  Nothing is shed unless ITEM is queued.  ON_SHED may be NULL
 * and must not use the queue.
 */
int bd_tier_queue_push (struct bd_tier_queue *queue,
                        const struct bd_queue_item *item,
                        void (*on_shed) (void *context,
                                         const struct bd_queue_item *item),
                        void *context);

/**
 * Removes the item to grant next.  Returns false when the queue is empty.  The
 * highest tier present goes first, except for low_tier_share_permille of the
 * grants, which the lower tiers get in turn, and for classes that are behind
 * their minimum share.  Within a tier: deficit round robin over workspaces,
 * then over the classes of the workspace, oldest item first.
 */
bool bd_tier_queue_pop (struct bd_tier_queue *queue,
                        struct bd_queue_item *item);

/**
 * Removes the item with the earliest deadline if that is at or before NOW_MS.
 * Takes time logarithmic in the length.
 */
bool bd_tier_queue_expire (struct bd_tier_queue *queue, int64_t now_ms,
                           struct bd_queue_item *item);

/** Removes the given item.  Returns false when it is not queued. */
bool bd_tier_queue_remove (struct bd_tier_queue *queue, struct bd_id request,
                           uint32_t attempt, struct bd_queue_item *item);

uint32_t bd_tier_queue_length (const struct bd_tier_queue *queue);
uint32_t bd_tier_queue_tier_length (const struct bd_tier_queue *queue,
                                    uint8_t tier);

/** Returns the summed bytes of the waiting items. */
uint64_t bd_tier_queue_bytes (const struct bd_tier_queue *queue);

/**
 * Returns the summed cost of the waiting items of TIER and the tiers above it.
 */
uint64_t bd_tier_queue_work_ahead (const struct bd_tier_queue *queue,
                                   uint8_t tier);

#endif
