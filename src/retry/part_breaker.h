/**
 * @file part_breaker.h
 * Circuit breakers for parts of prompts that crash runners.
 *
 * A part may crash each runner that answers a request with it, before or
 * after the first bytes, whatever else the request holds, so the requests have
 * no fingerprint in common (suspect.h).  A part's breaker counts crashes in
 * succession: crashes under requests with the part, each sent after the crash
 * before, or BD_CRASH_APART_MS after it (crash_list.h).  Crashes at the same
 * moment, as when a rack fails, therefore count as one.  A complete answer
 * shows that the part is harmless and clears them.
 *
 * A host that went dark is found late, when other requests were sent already.
 * For a part that was never seen to be harmless, BD_PART_RUNNERS_MAX crashes
 * suffice, if by the time at which the runners were last heard, some of them
 * were in succession.
 *
 * A breaker opens after BD_PART_CRASHES_MAX crashes in succession: requests
 * with the part are refused.  After a hold time it is half-open and lets one
 * request pass, whose result closes it, or opens it for longer.  Up to half of
 * the hold time is added at random, so that not all instances try at once.
 *
 * Many sound requests are at a runner when it crashes.  A crash is not counted
 * for a part if another part, or another request, that was there too is
 * likelier to be its cause (rivals.h).
 *
 * Requests share parts.  A crash is recorded for those parts of a request that
 * were not seen to be harmless before, or for all if all were; an instance
 * that saw a part to be harmless tells those that blame it.  Which part is
 * blamed is decided when a request comes (rivals.h), by all that is known
 * then.  While several parts may have caused the same crashes, requests with
 * all of them wait, and one without some of them is let through soon, since it
 * shows whether those that it has are harmless.  Its own crash may be chance.
 */
#ifndef BD_PART_BREAKER_H
#define BD_PART_BREAKER_H

#include "basildock.h"
#include "retry/part_list.h"
#include "retry/rivals.h"

/** Crashes in succession that open a breaker. */
#define BD_PART_CRASHES_MAX 3
/** Hold time after that many crashes, in milliseconds. */
#define BD_PART_HOLD_MS 3000
/** Hold time after one crash in succession more, or after
    BD_PART_RUNNERS_MAX crashes in all; it doubles with each further crash. */
#define BD_PART_LONG_HOLD_MS 120000
#define BD_PART_RUNNERS_MAX 5
/** So many crashes in succession under a part may be chance, if something else
    may have caused all others. */
#define BD_PART_CHANCE_CRASHES 1
/** State of the breakers of a request's parts, the strictest one. */
enum bd_breaker_state
{
  BD_BREAKER_CLOSED = 0,
  BD_BREAKER_HALF_OPEN, /**< One request may be sent. */
  BD_BREAKER_OPEN
};

/** A runner crash under a request. */
struct bd_part_crash
{
  struct bd_id id;  /**< The same at all instances. */
  int64_t sent_ms;  /**< When the request was sent. */
  int64_t heard_ms; /**< When the runner was last heard, at the latest
                         at_ms. */
  int64_t at_ms;    /**< When the crash was seen. */
};

/** A crash under a request with a part, or that a part is harmless; sent to
    peers. */
struct bd_part_notice
{
  uint64_t part;
  bool harmless;        /**< CRASH and the next two ages have no meaning. */
  struct bd_id crash;   /**< The same at all instances. */
  uint64_t other;       /**< Another part that is blamed for it; 0: none. */
  int64_t sent_age_ms;  /**< Time since the request was sent. */
  int64_t heard_age_ms; /**< Time since the runner was last heard. */
  int64_t age_ms;       /**< Time since the crash or the harmless answer. */
};

struct bd_part_breakers;

/** SEED is the seed of the hold times.  Returns NULL when out of memory. */
struct bd_part_breakers *bd_part_breakers_create (uint64_t seed);
void bd_part_breakers_destroy (struct bd_part_breakers *breakers);

/** From now on other requests than the one that is looked at may have caused
    the crashes under its parts as well.  REQUESTS must outlive BREAKERS' use.
 */
void bd_part_breakers_weigh_requests (struct bd_part_breakers *breakers,
                                      const struct bd_rivals *requests);

enum bd_breaker_state
bd_part_breakers_check (const struct bd_part_breakers *breakers,
                        int64_t now_ms, const struct bd_part_list *parts);

/** Records that a request is sent; in state half-open no other may follow
    until its result is known. */
void bd_part_breakers_sent (struct bd_part_breakers *breakers, int64_t now_ms,
                            const struct bd_part_list *parts);

/** Records that a runner crashed under a request with PARTS.  Returns false if
    that was known. */
bool bd_part_breakers_crashed (struct bd_part_breakers *breakers,
                               const struct bd_part_list *parts,
                               const struct bd_part_crash *crash);

/** Records a complete answer to a request with PARTS. */
void bd_part_breakers_survived (struct bd_part_breakers *breakers,
                                int64_t now_ms,
                                const struct bd_part_list *parts);

/** Returns the crashes in succession under requests with PART, those that
    another part explains included. */
uint32_t bd_part_breakers_crashes (const struct bd_part_breakers *breakers,
                                   uint64_t part);

/** Returns whether requests with PART are refused or tried. */
bool bd_part_breakers_is_open (const struct bd_part_breakers *breakers,
                               uint64_t part);

/**
 * Whether a part explains CRASH better than a request with PARTS and COUNT
 * crashes does, which had a complete answer before them or not.  The request's
 * own parts don't: those are held, or have been cleared.  One that never had a
 * complete answer does at as many crashes, as they were under other requests.
 */
bool bd_part_breakers_explain (const struct bd_part_breakers *breakers,
                               const struct bd_part_list *parts,
                               struct bd_id crash, uint32_t count,
                               bool harmless_before);

/** Records a notice from a peer.  Returns true if it was new. */
bool bd_part_breakers_apply (struct bd_part_breakers *breakers, int64_t now_ms,
                             const struct bd_part_notice *notice);

/** Returns up to MAX notices of what was seen here; each is returned by
    several calls, because datagrams get lost. */
size_t bd_part_breakers_next_notices (struct bd_part_breakers *breakers,
                                      int64_t now_ms,
                                      struct bd_part_notice *notices,
                                      size_t max);

/** Returns up to MAX notices of known crashes, for peers that may lack them.
    Starts at *CURSOR and advances it; all are listed when it is 0 again. */
size_t bd_part_breakers_list (const struct bd_part_breakers *breakers,
                              int64_t now_ms, size_t *cursor,
                              struct bd_part_notice *notices, size_t max);

/** Returns how many breakers with crashes were dropped so far because the
   table was full. */
uint64_t bd_part_breakers_dropped (const struct bd_part_breakers *breakers);

/** Forgets what is old. */
void bd_part_breakers_tick (struct bd_part_breakers *breakers, int64_t now_ms);

#endif
