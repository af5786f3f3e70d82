/**
 * @file crash_summary.h
 * For each crash, how many crashes those have that were there (rivals.h).
 *
 * Many suspects may have been at one crash, and a request may have many parts;
 * with the summary one is compared with all others in the time that its own
 * crashes take.
 */
#ifndef BD_CRASH_SUMMARY_H
#define BD_CRASH_SUMMARY_H

#include "retry/breaker_table.h"
#include "retry/rivals.h"

#include <stdbool.h>

/** What is known of a crash. */
struct bd_crash_cause
{
  struct bd_rival_counts counts; /**< Those who were there. */
  uint64_t leader;               /**< One of them with the most crashes. */
  uint32_t open;                 /**< Open breakers that have it. */
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

/** Counts that SUSPECT, with COUNT crashes, was at CRASH; UNKNOWN: it never
    had a complete answer. */
void bd_crash_summary_count (struct bd_crash_summary *summary,
                             struct bd_id crash, uint64_t suspect,
                             uint32_t count, bool unknown);

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
