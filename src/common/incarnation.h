/**
 * @file incarnation.h
 * The number that tells one run of an instance from the next.
 */
#ifndef BD_INCARNATION_H
#define BD_INCARNATION_H

#include <stdint.h>

/**
 * A number for a process that starts now: later starts of the same instance
 * get higher ones as long as its clock does not go back by more than the
 * time it was down.
 */
uint64_t bd_incarnation_now (void);

#endif
