/**
 * @file kept.h
 * What a case about memory needs: a platform that ends a process whose
 * memory passes the limit of its machine, ordinary callers with streams in
 * progress on kept connections, and the rule LOST.
 */
#ifndef KEPT_H
#define KEPT_H

#include "stand.h"

/** Host of the gateway that the callers use. */
#define KEPT_GATEWAY 1

/** Writes the head of a request for a long stream. */
bool kept_write_head (const struct stand_conn *conn, const char *id,
                      const char *framing);

/**
 * Plays the case.  START_DISRUPTION begins the disruption while the ordinary
 * callers' second streams are in progress.  Returns the exit status.
 */
int kept_play (const char *folder, void (*start_disruption) (void));

#endif
