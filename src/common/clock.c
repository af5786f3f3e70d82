#include "common/clock.h"

#include <time.h>

static int64_t
read_us (clockid_t id)
{
  struct timespec t;

  clock_gettime (id, &t);
  return (int64_t)t.tv_sec * 1000000 + t.tv_nsec / 1000;
}

int64_t
bd_clock_ms (void)
{
  return read_us (CLOCK_MONOTONIC) / 1000;
}

int64_t
bd_clock_us (void)
{
  return read_us (CLOCK_MONOTONIC);
}

int64_t
bd_clock_boot_ms (void)
{
  return read_us (CLOCK_BOOTTIME) / 1000;
}

int64_t
bd_clock_wall_ms (void)
{
  return read_us (CLOCK_REALTIME) / 1000;
}

int64_t
bd_clock_cpu_ms (void)
{
  return read_us (CLOCK_PROCESS_CPUTIME_ID) / 1000;
}
