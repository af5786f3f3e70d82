/**
 * @file part_breaker_internal.h
 * The breakers of parts of prompts, for the files that implement
 * part_breaker.h.
 */
#ifndef BD_PART_BREAKER_INTERNAL_H
#define BD_PART_BREAKER_INTERNAL_H

#include "retry/breaker_table.h"
#include "retry/crash_summary.h"
#include "retry/part_breaker.h"

/** How long crashes and harmless answers are kept, in milliseconds; longer
    than any hold time. */
#define BD_PART_KEEP_MS 3600000
#define BD_PART_SENDS_PER_NOTICE 3

struct bd_harmless_parts;

struct bd_part_breakers
{
  uint64_t seed;
  struct bd_breaker_table *table;
  struct bd_harmless_parts *harmless;
  struct bd_crash_summary *summary; /**< Made when it is needed. */
  const struct bd_rivals *requests; /**< NULL: none are known. */
};

/** Adds CRASH.  Returns false if it is known, or the part has been harmless
    since. */
bool bd_breaker_add_crash (struct bd_breaker *breaker,
                           const struct bd_crash_entry *crash);

/** Records that the part of BREAKER was harmless at AT_MS.  Returns whether
    that changed what is known. */
bool bd_part_breakers_set_harmless (struct bd_part_breakers *breakers,
                                    struct bd_breaker *breaker, int64_t at_ms);

#endif
