/**
 * @file loop_watch.h
 * Notices that the event loop stood still: the machine was suspended, or the
 * process was busy or got no processor.
 */
#ifndef BD_LOOP_WATCH_H
#define BD_LOOP_WATCH_H

#include <stdint.h>

/** The clocks at one moment, in milliseconds. */
struct bd_loop_clocks
{
  int64_t boot_ms;   /**< Includes time that the machine is suspended. */
  int64_t steady_ms; /**< Does not. */
  int64_t cpu_ms;    /**< Processor time of the process. */
};

/** How the loop stood still since the last look, in milliseconds. */
struct bd_loop_delay
{
  int64_t suspended_ms; /**< The machine was suspended; 0: not for long. */
  int64_t late_ms; /**< The loop came later than it should; 0: not by much. */
  int64_t cpu_ms;  /**< Processor time that the process used meanwhile. */
};

/** Returns the present time of all clocks. */
struct bd_loop_clocks bd_loop_clocks_now (void);

/**
 * Returns how the loop stood still from LAST to NOW, between which it should
 * have taken INTERVAL_MS.
 */
struct bd_loop_delay bd_loop_delay_between (const struct bd_loop_clocks *last,
                                            const struct bd_loop_clocks *now,
                                            int64_t interval_ms);

#endif
