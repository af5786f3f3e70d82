#include "gateway/strike_queue.h"

#define SENDS_PER_STRIKE 3

void
bd_strike_queue_collect (struct bd_strike_queue *queue,
                         struct bd_suspects *suspects, int64_t now_ms)
{
  struct bd_strike fresh[BD_STRIKE_QUEUE_MAX];
  size_t count = bd_suspects_next_gossip (suspects, now_ms, fresh,
                                          BD_STRIKE_QUEUE_MAX - queue->count);

  for (size_t i = 0; i < count; i++)
    {
      queue->items[queue->count].strike = fresh[i];
      queue->items[queue->count].taken_ms = now_ms;
      queue->items[queue->count++].sends_left = SENDS_PER_STRIKE;
    }
}

size_t
bd_strike_queue_add_to (const struct bd_strike_queue *queue, size_t from,
                        struct bd_beacon *beacon, int64_t now_ms, size_t max)
{
  size_t i = from;

  for (; i < queue->count && beacon->strike_count < max; i++)
    {
      struct bd_strike *strike = &beacon->strikes[beacon->strike_count++];

      *strike = queue->items[i].strike;
      strike->age_ms += now_ms - queue->items[i].taken_ms;
    }
  return i;
}

void
bd_strike_queue_mark_sent (struct bd_strike_queue *queue, size_t count)
{
  size_t kept = 0;

  for (size_t i = 0; i < queue->count; i++)
    if (i >= count || --queue->items[i].sends_left > 0)
      queue->items[kept++] = queue->items[i];
  queue->count = kept;
}
