/**
 * @file naive_tier_queue.h
 * Reference implementation of limits/tier_queue.h over plain arrays, with
 * linear searches.
 */
#ifndef NAIVE_TIER_QUEUE_H
#define NAIVE_TIER_QUEUE_H

#include "configuration/contract.h"
#include "limits/tier_queue.h"

#define NAIVE_ITEMS 64
#define NAIVE_FLOWS 64

/** A workspace (class_hash unused) or a class, in one tier. */
struct naive_flow
{
  uint8_t tier;
  uint64_t workspace;
  uint64_t class_hash;
  int64_t deficit;
  int32_t min_share_permille;
  int64_t due;
  uint64_t created; /**< Order of creation. */
};

struct naive_tier_queue
{
  struct bd_queue_limits limits;
  struct bd_queue_item items[NAIVE_ITEMS]; /**< In order of arrival. */
  size_t item_count;
  struct naive_flow
      workspaces[NAIVE_FLOWS]; /**< In order of turns, tiers mixed. */
  size_t workspace_count;
  struct naive_flow
      classes[NAIVE_FLOWS]; /**< In order of turns, tiers mixed. */
  size_t class_count;
  uint64_t next_created;
  int64_t grant_count;
  int32_t low_tier_credit;
  int32_t lower_due_credit;
  int32_t top_due_credit;
  int last_low_tier;
};

/**
 * Like bd_tier_queue_push ().  Shed items are written to SHED, which has room.
 */
int naive_push (struct naive_tier_queue *q, const struct bd_queue_item *item,
                struct bd_queue_item *shed, size_t *shed_count);
bool naive_pop (struct naive_tier_queue *q, struct bd_queue_item *item);
bool naive_expire (struct naive_tier_queue *q, int64_t now_ms,
                   struct bd_queue_item *item);
bool naive_remove (struct naive_tier_queue *q, struct bd_id request,
                   uint32_t attempt, struct bd_queue_item *item);
size_t naive_tier_length (const struct naive_tier_queue *q, int tier);

#endif
