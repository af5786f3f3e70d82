/**
 * @file outlier.h
 * Passive health: runners that fail more than their peers are avoided for a
 * while, then tried with one request.
 */
#ifndef BD_OUTLIER_H
#define BD_OUTLIER_H

#include "balance/target.h"

/** What a request showed of its runner. */
enum bd_result
{
  BD_RESULT_SUCCESS = 0,
  BD_RESULT_FAILURE,    /**< An error, a broken or a late answer. */
  BD_RESULT_REFUSED,    /**< Not run: full, or leaving. */
  BD_RESULT_UNREACHABLE /**< No connection, or it fell silent. */
};

/** Takes in a result; PEERS are the runners to compare with. */
void bd_outlier_add (struct bd_target *target, int64_t now_ms,
                     enum bd_result result, struct bd_target *const *peers,
                     size_t count);

/** The same with the runners of TARGETS, and logs when TARGET is avoided. */
void bd_outlier_note (struct bd_targets *targets, struct bd_target *target,
                      int64_t now_ms, enum bd_result result);

/** Share of TARGET's recent requests that failed, 0 to 1. */
double bd_outlier_failing (const struct bd_target *target, int64_t now_ms);

/**
 * Whether TARGET may get a request now: it is not being avoided, or it is
 * due for the one request that tries it again.
 */
bool bd_outlier_allows (const struct bd_target *target, int64_t now_ms);

/** A request goes to TARGET. */
void bd_outlier_sent (struct bd_target *target, int64_t now_ms);

#endif
