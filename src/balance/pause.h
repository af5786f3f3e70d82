/**
 * @file pause.h
 * Pauses that runners ask for: a runner that rejected a request may say for
 * how long it wants no further requests from this instance.
 *
 * A pause is binding for the instance that was told of it.  An instance that
 * places requests for others prefers runners without a pause.  Every pause
 * ends: at its time, after BD_PAUSE_MAX_MS, or when the list of runners shows
 * a restart.  A pause asked for shortly before that stays, because the list
 * lags behind and the new process may have asked for it.
 */
#ifndef BD_PAUSE_H
#define BD_PAUSE_H

#include "balance/target.h"

/** Longest pause that is honoured. */
#define BD_PAUSE_MAX_MS 120000

/**
 * TARGET wants no requests from this instance for PAUSE_MS.  A pause never
 * shortens a longer one.
 */
void bd_pause_begin (struct bd_target *target, int64_t now_ms,
                     int64_t pause_ms);

/** TARGET asked another instance for a pause of PAUSE_MS. */
void bd_pause_begin_for_peer (struct bd_target *target, int64_t now_ms,
                              int64_t pause_ms);

/** Whether this instance may send TARGET a request. */
bool bd_pause_allows (const struct bd_target *target, int64_t now_ms);

/** Whether TARGET has an unexpired pause at any instance. */
bool bd_pause_requested (const struct bd_target *target, int64_t now_ms);

/**
 * Returns the time in milliseconds until the first paused runner of SERVICE
 * accepts requests from this instance again; 0: no usable runner is paused.
 */
int64_t bd_pause_shortest_ms (struct bd_target *const *targets, size_t count,
                              struct bd_chunk service, int64_t now_ms);

#endif
