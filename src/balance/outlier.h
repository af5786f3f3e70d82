/**
 * @file outlier.h
 * Outlier detection: a runner that fails more often than its peers is ejected
 * for a while and then probed with one request.
 */
#ifndef BD_OUTLIER_H
#define BD_OUTLIER_H

#include "balance/target.h"

/** Outcome of a request, as a sign of its runner's health. */
enum bd_outlier_result
{
  BD_OUTLIER_SUCCESS = 0,
  BD_OUTLIER_FAILURE,    /**< Error response, broken or late response. */
  BD_OUTLIER_REJECTED,   /**< Not run: the runner is full or leaving. */
  BD_OUTLIER_UNREACHABLE /**< No connection, or the runner fell silent. */
};

/**
 * Records RESULT and may eject TARGET.  PEERS are the runners to compare it
 * with.
 */
void bd_outlier_add (struct bd_target *target, int64_t now_ms,
                     enum bd_outlier_result result,
                     struct bd_target *const *peers, size_t count);

/**
 * Like bd_outlier_add () with the runners of TARGET's service as peers.  Also
 * logs an ejection.
 */
void bd_outlier_record (struct bd_targets *targets, struct bd_target *target,
                        int64_t now_ms, enum bd_outlier_result result);

/** Failure rate of TARGET's recent requests, 0 to 1. */
double bd_outlier_failure_rate (const struct bd_target *target,
                                int64_t now_ms);

/**
 * Whether TARGET may get a request now: it is not ejected, or its ejection has
 * ended and no probe is in flight.
 */
bool bd_outlier_allows (const struct bd_target *target, int64_t now_ms);

/** Records that a request was sent to TARGET, which may be its probe. */
void bd_outlier_record_sent (struct bd_target *target, int64_t now_ms);

#endif
