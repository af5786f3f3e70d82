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
  struct bd_rival_counts in_succession; /**< Those who were there. */
  struct bd_rival_counts in_all; /**< The same with crashes side by side. */
  uint64_t leader;               /**< One of them with the most of those. */
  uint32_t likely;               /**< Likely causes that were there. */
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

/** What is known of one who was at a crash. */
struct bd_crash_suspect
{
  uint64_t id;
  uint32_t in_succession; /**< Crashes of it. */
  uint32_t in_all;
  bool unknown; /**< It never had a complete answer. */
};

/** Counts that SUSPECT was at CRASH. */
void bd_crash_summary_count (struct bd_crash_summary *summary,
                             struct bd_id crash,
                             const struct bd_crash_suspect *suspect);

/** Counts the crashes of BREAKER; UNKNOWN: its part was never harmless. */
void bd_crash_summary_add (struct bd_crash_summary *summary,
                           const struct bd_breaker *breaker, bool unknown);

/** Counts BREAKER as a likely cause of its crashes. */
void bd_crash_summary_add_likely (struct bd_crash_summary *summary,
                                  const struct bd_breaker *breaker);

/** Counts BREAKER, a likely cause, for the request that is looked at, or with
    CHANGE -1 no longer. */
void bd_crash_summary_add_own (struct bd_crash_summary *summary,
                               const struct bd_breaker *breaker, int change);

/** Whether another breaker is likelier to be the cause of CRASH than one with
    COUNT crashes in succession, whose part was harmless before or not. */
bool bd_crash_summary_explains (struct bd_crash_summary *summary,
                                struct bd_id crash, uint32_t count,
                                bool harmless_before);

#endif
