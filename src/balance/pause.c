#include "balance/pause.h"

#include "common/log.h"

static int64_t
pause_end_ms (int64_t now_ms, int64_t pause_ms)
{
  return now_ms + (pause_ms < BD_PAUSE_MAX_MS ? pause_ms : BD_PAUSE_MAX_MS);
}

void
bd_pause_begin (struct bd_target *target, int64_t now_ms, int64_t pause_ms)
{
  int64_t until_ms = pause_end_ms (now_ms, pause_ms);

  if (pause_ms > 0)
    target->pause.requested_ms = now_ms;
  if (pause_ms <= 0 || until_ms <= target->pause.until_ms)
    return;
  target->pause.until_ms = until_ms;
  bd_log (BD_EVENT_TARGET_PAUSED, "runner=%s asked_ms=%lld for_ms=%lld",
          target->id.data, (long long)pause_ms,
          (long long)(until_ms - now_ms));
}

void
bd_pause_begin_for_peer (struct bd_target *target, int64_t now_ms,
                         int64_t pause_ms)
{
  int64_t until_ms = pause_end_ms (now_ms, pause_ms);

  if (pause_ms > 0)
    target->pause.requested_ms = now_ms;
  if (pause_ms > 0 && until_ms > target->pause.peers_until_ms)
    target->pause.peers_until_ms = until_ms;
}

bool
bd_pause_allows (const struct bd_target *target, int64_t now_ms)
{
  return now_ms >= target->pause.until_ms;
}

bool
bd_pause_requested (const struct bd_target *target, int64_t now_ms)
{
  return !bd_pause_allows (target, now_ms)
         || now_ms < target->pause.peers_until_ms;
}

int64_t
bd_pause_shortest_ms (struct bd_target *const *targets, size_t count,
                      struct bd_chunk service, int64_t now_ms)
{
  int64_t shortest = 0;

  for (size_t i = 0; i < count; i++)
    {
      int64_t left_ms = targets[i]->pause.until_ms - now_ms;

      if (left_ms <= 0 || !bd_target_usable (targets[i])
          || !bd_chunk_equal (targets[i]->service, service))
        continue;
      if (shortest == 0 || left_ms < shortest)
        shortest = left_ms;
    }
  return shortest;
}
