/**
 * @file clock.h
 * Clocks, read by the shells only; the core gets the time as an argument.
 */
#ifndef BD_CLOCK_H
#define BD_CLOCK_H

#include <stdint.h>

/** Monotonic time in milliseconds. */
int64_t bd_clock_ms (void);

/** Monotonic time in microseconds. */
int64_t bd_clock_us (void);

/** Like bd_clock_ms (), but time goes on while the machine is suspended. */
int64_t bd_clock_boot_ms (void);

/** Wall-clock time in milliseconds since 1970. */
int64_t bd_clock_wall_ms (void);

#endif
