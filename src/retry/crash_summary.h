/**
 * @file crash_summary.h
 * For each crash that breakers have, which of them are likely to be its cause.
 *
 * Many parts may be blamed for one crash, and a request may have many of them;
 * with the summary a breaker is compared with all others in the time that its
 * own crashes take.
 */
#ifndef BD_CRASH_SUMMARY_H
#define BD_CRASH_SUMMARY_H

#include "retry/breaker_table.h"

#include <stdbool.h>

/** What is known of a crash. */
struct bd_crash_cause
{
  /** Most crashes in succession of a breaker that has this one; the same of
      those whose part was never seen to be harmless. */
  uint32_t most;
  uint32_t most_unknown;
  uint32_t open; /**< Open breakers that have it. */
  /** Of these, those of the request that is looked at; 0 between requests. */
  int64_t own;
};

struct bd_crash_summary;

/** Returns NULL when out of memory. */
struct bd_crash_summary *bd_crash_summary_create (void);
void bd_crash_summary_destroy (struct bd_crash_summary *summary);

/** The breakers have changed: the summary has to be made anew. */
void bd_crash_summary_invalidate (struct bd_crash_summary *summary);
bool bd_crash_summary_is_valid (const struct bd_crash_summary *summary);

/** Forgets all crashes; from now on the summary is valid. */
void bd_crash_summary_begin (struct bd_crash_summary *summary);

/** Returns what is known of CRASH, which is added if ADD is set; NULL: it is
    not there, or there is no memory. */
struct bd_crash_cause *bd_crash_summary_find (struct bd_crash_summary *summary,
                                              struct bd_id crash, bool add);

/** Counts the crashes of BREAKER; UNKNOWN: its part was never harmless. */
void bd_crash_summary_add (struct bd_crash_summary *summary,
                           const struct bd_breaker *breaker, bool unknown);

/** Counts BREAKER as open. */
void bd_crash_summary_add_open (struct bd_crash_summary *summary,
                                const struct bd_breaker *breaker);

/** Counts BREAKER, an open one, for the request that is looked at, or with
    CHANGE -1 no longer. */
void bd_crash_summary_add_own (struct bd_crash_summary *summary,
                               const struct bd_breaker *breaker, int change);

/** Whether the last crash of BREAKER is also one of an open breaker that the
    request does not have. */
bool bd_crash_summary_has_other (struct bd_crash_summary *summary,
                                 const struct bd_breaker *breaker);

/** Whether another breaker is likelier to be the cause of CRASH than one with
    COUNT crashes in succession, whose part was harmless before or not. */
bool bd_crash_summary_explains (struct bd_crash_summary *summary,
                                struct bd_id crash, uint32_t count,
                                bool harmless_before);

#endif
