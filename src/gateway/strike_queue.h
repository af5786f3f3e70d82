/**
 * @file strike_queue.h
 * Queue of strikes for the peers.  Each strike is sent several times, because
 * datagrams get lost.
 */
#ifndef BD_STRIKE_QUEUE_H
#define BD_STRIKE_QUEUE_H

#include "gateway/beacon.h"

/** Most strikes in the queue; others stay with the suspects meanwhile. */
#define BD_STRIKE_QUEUE_MAX 96

/** Strikes to be sent to peers.  Valid when zero-initialized. */
struct bd_strike_queue
{
  size_t count;
  struct
  {
    struct bd_strike strike;
    /** When the strike was queued, to which its age_ms refers. */
    int64_t taken_ms;
    uint32_t sends_left;
  } items[BD_STRIKE_QUEUE_MAX];
};

/** Moves new strikes of SUSPECTS into the queue, as many as fit. */
void bd_strike_queue_collect (struct bd_strike_queue *queue,
                              struct bd_suspects *suspects, int64_t now_ms);

/**
 * Adds strikes to BEACON, beginning with index FROM, until it has MAX, with
 * their ages at NOW_MS.  Returns the index after the last.
 */
size_t bd_strike_queue_add_to (const struct bd_strike_queue *queue,
                               size_t from, struct bd_beacon *beacon,
                               int64_t now_ms, size_t max);

/**
 * Counts one sending of the first COUNT strikes, and removes those that have
 * been sent often enough.
 */
void bd_strike_queue_mark_sent (struct bd_strike_queue *queue, size_t count);

#endif
