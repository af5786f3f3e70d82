#include "gateway/loop_watch.h"

#include "common/clock.h"

/* Shorter delays are not told. */
#define SUSPENSION_MIN_MS 500
#define LATE_MIN_MS 300

struct bd_loop_clocks
bd_loop_clocks_now (void)
{
  return (struct bd_loop_clocks){ bd_clock_boot_ms (), bd_clock_ms (),
                                  bd_clock_cpu_ms () };
}

struct bd_loop_delay
bd_loop_delay_between (const struct bd_loop_clocks *last,
                       const struct bd_loop_clocks *now, int64_t interval_ms)
{
  int64_t steady_ms = now->steady_ms - last->steady_ms;
  struct bd_loop_delay delay
      = { .suspended_ms = now->boot_ms - last->boot_ms - steady_ms,
          .late_ms = steady_ms - interval_ms,
          .cpu_ms = now->cpu_ms - last->cpu_ms };

  if (delay.suspended_ms < SUSPENSION_MIN_MS)
    delay.suspended_ms = 0;
  if (delay.late_ms < LATE_MIN_MS)
    delay.late_ms = 0;
  return delay;
}
