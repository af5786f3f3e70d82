/**
 * @file clock.h
 * Clocks.  Only code that does input and output reads them; the state
 * machines get the time as an argument.
 */
#ifndef BD_CLOCK_H
#define BD_CLOCK_H

#include <stdint.h>

/** Returns the monotonic time in milliseconds. */
int64_t bd_clock_ms (void);

/** Returns the monotonic time in microseconds. */
int64_t bd_clock_us (void);

/** Like bd_clock_ms (), but includes time that the machine is suspended. */
int64_t bd_clock_boot_ms (void);

/** Returns the processor time that the process has used, in milliseconds. */
int64_t bd_clock_cpu_ms (void);

/** Returns the wall-clock time in milliseconds since the Unix epoch. */
int64_t bd_clock_wall_ms (void);

#endif
