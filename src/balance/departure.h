/**
 * @file departure.h
 * Remembers which processes of runners have left, for a while and up to a
 * number of them.
 */
#ifndef BD_DEPARTURE_H
#define BD_DEPARTURE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** How long a departure is remembered. */
#define BD_DEPARTURE_MS 60000

/** Most departures that are remembered; later ones replace the oldest. */
#define BD_DEPARTURES_MAX 256

struct bd_departure
{
  uint64_t runner;    /**< Hash of the runner's identifier. */
  int64_t started_ms; /**< Start of the process. */
  int64_t departed_ms;
};

/** Empty when zero-initialized. */
struct bd_departures
{
  struct bd_departure items[BD_DEPARTURES_MAX];
  size_t count; /**< All departures ever. */
};

/** The process of RUNNER that started at STARTED_MS has left. */
void bd_departures_record (struct bd_departures *departures, int64_t now_ms,
                           uint64_t runner, int64_t started_ms);

/**
 * Whether the process of RUNNER that started at STARTED_MS, or a later one,
 * has left.
 */
bool bd_departures_contain (const struct bd_departures *departures,
                            int64_t now_ms, uint64_t runner,
                            int64_t started_ms);

#endif
