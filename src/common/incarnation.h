/**
 * @file incarnation.h
 * The incarnation number, which distinguishes the successive processes of one
 * instance.
 */
#ifndef BD_INCARNATION_H
#define BD_INCARNATION_H

#include <stdint.h>

/**
 * Returns an incarnation number for a process that starts now.  Later starts
 * of the same instance get higher numbers, as long as the wall clock isn't set
 * back by more than the time that the instance was down.
 */
uint64_t bd_incarnation_now (void);

#endif
