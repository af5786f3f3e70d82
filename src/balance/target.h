/**
 * @file target.h
 * The runners that requests can be sent to: what the platform lists, what is
 * in flight at each, and how each has done lately.
 */
#ifndef BD_TARGET_H
#define BD_TARGET_H

#include "balance/priority.h"
#include "common/string.h"

/**
 * How long a runner whose entry went away around an outage of the store may
 * still be used after the store's return.
 */
#define BD_TARGET_LAPSE_MS 2000

/**
 * A runner that said that it leaves, and is still published as ready after
 * this time, is taken to have said so by mistake.  Far above the time that
 * runners take to drain.
 */
#define BD_TARGET_LEAVING_MAX_MS 120000

/**
 * The list may be so late to show that a runner started anew: what it asked
 * for since is the new process's wish.
 */
#define BD_TARGET_LIST_DELAY_MAX_MS 5000

enum bd_target_state
{
  BD_TARGET_READY = 0,
  BD_TARGET_DRAINING,
  BD_TARGET_LAPSED, /**< Its entry went away around an outage. */
  BD_TARGET_GONE
};

/** What the platform's list says of a runner. */
struct bd_target_entry
{
  struct bd_chunk id;
  struct bd_chunk service;
  struct bd_chunk zone;
  uint32_t ip;   /**< Network byte order. */
  uint16_t port; /**< Network byte order. */
  uint32_t slots;
  bool draining;
  int64_t born_ms;      /**< When it started; 0: not said. */
  int64_t cold_left_ms; /**< How long it stays slow after its start. */
};

/** Recent results of a runner, weighed down with age. */
struct bd_target_record
{
  double successes;
  double failures;
  int64_t updated_ms;
  int64_t avoid_until_ms;
  uint32_t avoided;     /**< Times in a row. */
  bool probe_in_flight; /**< The one request after it was avoided. */
};

/** What a runner asked for when it turned requests away (pause.h). */
struct bd_target_pause
{
  int64_t asked_ms;       /**< When it last did. */
  int64_t until_ms;       /**< Binds this instance. */
  int64_t peers_until_ms; /**< Asked of other instances. */
};

/** What all instances together have sent to a runner (ledger.h). */
struct bd_reserved_load
{
  uint32_t in_flight;
  uint32_t short_in_flight;               /**< Of these, with short prompts. */
  uint32_t long_in_flight[BD_PRIORITIES]; /**< The others, by priority. */
  uint32_t awaiting_first_event[BD_PRIORITIES]; /**< First event not seen, by
                                                   priority. */
  uint64_t prefill_tokens; /**< Of prompts, first event not seen. */
  double recent_tokens;    /**< Of prompts, weighed down with age. */
  int64_t recent_ms;       /**< When that was last worked out. */
  int64_t busy_since_ms;   /**< Since then it has always had some to read. */
  uint64_t busy_tokens;    /**< What it has read since. */
};

/** A runner.  Kept until it is gone and nothing is in flight or booked. */
struct bd_target
{
  struct bd_chunk id;
  struct bd_chunk service;
  struct bd_chunk zone;
  uint32_t ip;
  uint16_t port;
  uint32_t slots;
  int64_t born_ms;
  int64_t warmup_until_ms;
  enum bd_target_state state;
  int64_t leaving_ms; /**< When its answers told that it leaves; 0: never. */
  bool leaving_heard; /**< By this instance itself, not by a peer. */
  uint64_t revision;  /**< Of the entry. */
  uint64_t hash;      /**< Of the identifier. */
  int64_t since_ms;   /**< When it was first seen. */
  bool short_only;    /**< Meant for short prompts only. */
  uint32_t in_flight;
  int64_t heard_ms;        /**< Last byte of any of its responses. */
  uint64_t prefill_tokens; /**< Sent from here, first event not seen. */
  uint32_t peers_in_flight;
  uint64_t peers_prefill_tokens;
  uint32_t peers_avoiding;        /**< Peers that avoid it at present. */
  struct bd_reserved_load booked; /**< Where this instance coordinates. */
  struct bd_target_record record;
  struct bd_target_pause pause;
};

struct bd_targets;

struct bd_targets *bd_targets_create (void);
void bd_targets_destroy (struct bd_targets *targets);

/**
 * Takes in an entry as of REVISION; older ones are ignored.  Returns BD_OK
 * or BD_ERR_NOMEM.
 */
int bd_targets_put (struct bd_targets *targets, int64_t now_ms,
                    const struct bd_target_entry *entry, uint64_t revision);

/** The entry ID was deleted at REVISION. */
void bd_targets_remove (struct bd_targets *targets, int64_t now_ms,
                        struct bd_chunk id, uint64_t revision);

/**
 * A whole list as of REVISION was put: entries that were not in it, and are
 * not newer, are removed.  Call bd_targets_list_begin () before the puts.
 */
void bd_targets_list_begin (struct bd_targets *targets);
void bd_targets_list_end (struct bd_targets *targets, int64_t now_ms,
                          uint64_t revision);

/** The store stopped answering, or answers again. */
void bd_targets_store_lost (struct bd_targets *targets);
void bd_targets_store_back (struct bd_targets *targets, int64_t now_ms);
bool bd_targets_store_is_lost (const struct bd_targets *targets);

/**
 * TARGET said in an answer that it leaves (HEARD here, or by a peer that was
 * told).  BORN_MS is the start of the process that said so: one that has
 * started since is not meant.  It gets no new requests until it starts anew,
 * whatever the store says of it meanwhile; but see BD_TARGET_LEAVING_MAX_MS.
 * Returns whether this is news.
 */
bool bd_targets_leaving (struct bd_targets *targets, struct bd_target *target,
                         int64_t started_ms, int64_t now_ms, bool heard_here);

/** Ends lapses that are over and frees runners that are gone. */
void bd_targets_tick (struct bd_targets *targets, int64_t now_ms);

/**
 * Of the runners of a service, one in so many (rounded up, when
 * there are at least BD_TARGET_SHORT_RUNNERS_MIN) is kept for short prompts.
 */
#define BD_TARGET_SHORT_ONE_IN 5
#define BD_TARGET_SHORT_RUNNERS_MIN 3

/**
 * All runners, by service and in it by the hashes of their identifiers; the
 * array is valid until the next put or tick.
 */
struct bd_target *const *bd_targets_all (struct bd_targets *targets,
                                         size_t *count);

/** Those of SERVICE, in the same order; valid as long. */
struct bd_target *const *bd_targets_of (struct bd_targets *targets,
                                        struct bd_chunk service,
                                        size_t *count);

struct bd_target *bd_targets_find (const struct bd_targets *targets,
                                   struct bd_chunk id);

/** The runner whose hash has this low half, as messages name it, or NULL. */
struct bd_target *bd_targets_by_hash (const struct bd_targets *targets,
                                      uint32_t hash);

/** True when new requests may go there. */
bool bd_target_usable (const struct bd_target *target);

#endif
