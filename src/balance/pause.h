/**
 * @file pause.h
 * Pauses that runners ask for: a runner that turned a request away may say
 * for how long it wants no further ones from this instance.
 *
 * A pause binds the instance that was told of it.  Instances that decide for
 * others prefer runners that have not asked for one.  Every pause ends: at
 * its time, after BD_PAUSE_MOST_MS, or when the runner starts anew, unless it
 * asked only just before: then the list is late, and the new process asked.
 */
#ifndef BD_PAUSE_H
#define BD_PAUSE_H

#include "balance/target.h"

/** Longest pause that is kept, whatever a runner asks for. */
#define BD_PAUSE_MOST_MS 120000

/**
 * TARGET wants no requests from this instance for PAUSE_MS.  A pause never
 * shortens one that is longer.
 */
void bd_pause_begin (struct bd_target *target, int64_t now_ms,
                     int64_t pause_ms);

/** The same, as another instance was told. */
void bd_pause_begin_elsewhere (struct bd_target *target, int64_t now_ms,
                               int64_t pause_ms);

/** Whether this instance may send TARGET a request. */
bool bd_pause_allows (const struct bd_target *target, int64_t now_ms);

/** Whether TARGET has asked anybody for a pause that lasts. */
bool bd_pause_requested (const struct bd_target *target, int64_t now_ms);

/**
 * When the first of the usable runners of SERVICE that this instance may not
 * send to wants requests again, in milliseconds from now; 0: none is paused.
 */
int64_t bd_pause_shortest_ms (struct bd_target *const *targets, size_t count,
                              struct bd_chunk service, int64_t now_ms);

#endif
