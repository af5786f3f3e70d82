/**
 * @file breaker_table.h
 * The circuit breakers of parts of prompts (part_breaker.h), by part.
 */
#ifndef BD_BREAKER_TABLE_H
#define BD_BREAKER_TABLE_H

#include "retry/crash_list.h"

#include <stdbool.h>
#include <stddef.h>

/** Most breakers: twice as many as a head of 16 KiB has parts.  Beyond, those
    with the fewest and the oldest crashes are dropped, and counted. */
#define BD_BREAKERS_MAX 8192

struct bd_map;

/** The crashes under a part. */
struct bd_breaker
{
  uint64_t part;
  int64_t harmless_ms; /**< When a runner last survived the part. */
  int64_t trial_ms;    /**< When a half-open breaker last let a request
                          pass. */
  int64_t sole_ms; /**< When the other part that was blamed for the last crash
                      was last seen to be harmless. */
  uint32_t harmless_sends_left;
  struct bd_crash_list list; /**< All after harmless_ms. */
};

/** The items are owned; their order changes. */
struct bd_breaker_table
{
  size_t count;
  size_t capacity;
  struct bd_breaker **items;
  struct bd_map *by_part;
  uint64_t dropped; /**< Breakers with crashes that were dropped so far. */
};

/** Returns NULL when out of memory. */
struct bd_breaker_table *bd_breaker_table_create (void);
void bd_breaker_table_destroy (struct bd_breaker_table *table);

/** Returns the breaker of PART, or NULL. */
struct bd_breaker *bd_breaker_table_find (const struct bd_breaker_table *table,
                                          uint64_t part);

/** Returns the breaker of PART, a new one if there is none; NULL when out of
    memory.  Others may be dropped for it. */
struct bd_breaker *bd_breaker_table_get (struct bd_breaker_table *table,
                                         uint64_t part);

/** Drops those without crashes whose last harmless answer was at BEFORE_MS or
    before.  Returns whether there were any. */
bool bd_breaker_table_expire (struct bd_breaker_table *table,
                              int64_t before_ms);

/** Returns the time of the last crash or harmless answer. */
int64_t bd_breaker_last_ms (const struct bd_breaker *breaker);

#endif
