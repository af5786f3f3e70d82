/**
 * @file target.h
 * The runners that requests can be sent to: their published entries, the
 * requests in flight at each, and their health.
 */
#ifndef BD_TARGET_H
#define BD_TARGET_H

#include "balance/outage.h"
#include "balance/priority.h"
#include "balance/software.h"
#include "common/string.h"

/**
 * Time for which a runner whose entry disappeared around a store outage may
 * still be used after the store's return.
 */
#define BD_TARGET_LAPSE_MS 2000

/**
 * The same after an outage that was too short for entries to expire by it,
 * counted from the deletion: a runner that leaves serves for longer than this.
 */
#define BD_TARGET_SHORT_LAPSE_MS 1000

/**
 * A runner that announced that it leaves but is still published as ready after
 * this time is used again: the announcement was a mistake.  Far above the time
 * that runners take to drain.
 */
#define BD_TARGET_LEAVING_MAX_MS 120000

/**
 * Longest delay until the list of runners shows a restart.  A pause or a rate
 * limit asked for within this time before the list shows a restart is the new
 * process's.
 */
#define BD_TARGET_LIST_DELAY_MAX_MS 5000

/**
 * Time after the store's return from an older copy in which an entry of that
 * copy does not make a runner usable that is known to have left since. Runners
 * that live have written their entries again by then.
 */
#define BD_TARGET_DISTRUST_MS 5000

enum bd_target_state
{
  BD_TARGET_READY = 0,
  BD_TARGET_DRAINING,
  BD_TARGET_LAPSED, /**< Its entry was deleted during a store outage or soon
                       after; the runner may still be used. */
  BD_TARGET_GONE
};

/** A runner's entry in the list that the platform publishes. */
struct bd_target_entry
{
  struct bd_chunk id;
  struct bd_chunk service;
  struct bd_chunk zone;
  uint32_t ip;   /**< Network byte order. */
  uint16_t port; /**< Network byte order. */
  uint32_t slots;
  bool draining;
  struct bd_software software;
  int64_t started_ms; /**< Start of the process; 0: unknown. */
  /** Store revision of the first entry of this identifier; 0: unknown. */
  uint64_t created_revision;
  int64_t warmup_left_ms; /**< Remaining warm-up time. */
};

/** Results of a runner's requests, decayed with age. */
struct bd_target_health
{
  double successes;
  double failures;
  int64_t updated_ms;
  int64_t ejected_until_ms;
  uint32_t ejections;   /**< Each doubles the length of the next ejection; a
                           success subtracts one. */
  bool probe_in_flight; /**< The one request sent after an ejection is in
                           flight. */
};

/** Pauses that a runner asked for when it rejected requests (pause.h). */
struct bd_target_pause
{
  int64_t requested_ms;   /**< Time of the last rejection with a pause. */
  int64_t until_ms;       /**< End of the pause for this instance. */
  int64_t peers_until_ms; /**< End of the pause for other instances. */
};

/** Rate limit that a runner asked for (runner_limit.h). */
struct bd_target_limit
{
  uint32_t rate;    /**< Thousandths of a request per second; 0: no
                       limit. */
  int64_t heard_ms; /**< When a response named or ended it last; 0: never. */
  /** Requests that the coordinator may send, as of level_ms. */
  double level;
  int64_t level_ms;
  int64_t share_ms; /**< Since when this instance has not used its share. */
  int64_t next_turn_ms; /**< When the next refused caller may return. */
};

/** Load of a runner by the assignments of all instances (ledger.h). */
struct bd_assigned_load
{
  uint32_t in_flight;
  uint32_t short_in_flight;               /**< Requests with short prompts. */
  uint32_t long_in_flight[BD_PRIORITIES]; /**< Other requests, by priority. */
  uint32_t awaiting_first_event[BD_PRIORITIES]; /**< Requests before their
                                                   first event, by priority. */
  uint64_t prefill_tokens; /**< Prompt tokens of requests before their first
                              event. */
  double recent_tokens;    /**< Prompt tokens sent, decayed with age. */
  int64_t recent_ms;       /**< Time as of which recent_tokens holds. */
  int64_t busy_since_ms; /**< Time since which prefill was never idle; 0: idle
                            or unknown. */
  uint64_t busy_tokens;  /**< Prompt tokens processed since busy_since_ms. */
};

/**
 * A runner.  It is freed when it is gone and nothing is in flight or assigned.
 */
struct bd_target
{
  struct bd_chunk id;
  struct bd_chunk service;
  struct bd_chunk zone;
  uint64_t hash; /**< Hash of the identifier. */
  uint32_t ip;
  uint16_t port;
  bool evacuated;  /**< Its zone is evacuated. */
  bool short_only; /**< Reserved for requests with short prompts. */
  uint32_t slots;
  enum bd_target_state state;
  struct bd_software software;
  int64_t started_ms;
  int64_t warmup_until_ms;
  uint64_t revision; /**< Store revision of the entry. */
  /** Lapsed: when it is gone unless its entry is back. */
  int64_t lapse_until_ms;
  /** Its entry was deleted soon after calls to the store had failed (lapse.h).
   */
  bool deleted_in_doubt;
  /** When its process last wrote the entry anew; 0: not since it is known
      here. */
  int64_t renewed_ms;
  /** When its process was asked which parts of prompts it holds, if it has
      told; 0: it has not. */
  int64_t parts_asked_ms;
  /** Its process was in the first list that was read here, and may have had a
      predecessor under its identifier. */
  bool may_have_predecessor;
  /** When a response announced that the runner leaves; 0: never. */
  int64_t leaving_ms;
  /** Latest start of a process that the announcement may come from; a process
      that started later is not concerned. */
  int64_t leaving_started_max_ms;
  bool leaving_received_here; /**< The announcement came to this instance, not
                                 from a peer. */
  /** The entry says that the runner is ready, but is from an older copy of the
      store; the runner is known to have left since. */
  bool distrusted;
  /** Thousandths of a request per second that it takes while it warms up; 0:
      any number. */
  uint32_t cold_rate;
  /** When this process of the runner was first seen. */
  int64_t first_seen_ms;
  int64_t last_byte_ms; /**< Time of the last byte of any of the runner's
                           responses. */
  /** Prompt tokens sent by this instance that wait for prefill. */
  uint64_t prefill_tokens;
  uint64_t peers_prefill_tokens;
  uint32_t in_flight;
  uint32_t peers_in_flight;
  /** Number of peers that have ejected the runner at present. */
  uint32_t peers_ejecting;
  /** Set only if this instance is the coordinator. */
  struct bd_assigned_load assigned;
  struct bd_target_health health;
  struct bd_target_pause pause;
  struct bd_target_limit limit;
};

struct bd_targets;

struct bd_targets *bd_targets_create (void);
void bd_targets_destroy (struct bd_targets *targets);

/**
 * Adds or updates the entry as of REVISION; an older one is ignored.  Returns
 * BD_OK or BD_ERR_NOMEM.
 */
int bd_targets_put (struct bd_targets *targets, int64_t now_ms,
                    const struct bd_target_entry *entry, uint64_t revision);

/** The entry of ID was deleted at REVISION. */
void bd_targets_remove (struct bd_targets *targets, int64_t now_ms,
                        struct bd_chunk id, uint64_t revision);

/**
 * Mark the start and the end of a complete list as of REVISION, whose entries
 * are put between them.  bd_targets_list_end () removes the entries that were
 * not put and are not newer.
 */
void bd_targets_list_begin (struct bd_targets *targets);
void bd_targets_list_end (struct bd_targets *targets, int64_t now_ms,
                          uint64_t revision);

/** The store has stopped answering, or answers again after OUTAGE. */
void bd_targets_set_store_lost (struct bd_targets *targets);
void bd_targets_set_store_available (struct bd_targets *targets,
                                     int64_t now_ms,
                                     enum bd_outage_verdict outage);
bool bd_targets_store_is_lost (const struct bd_targets *targets);

/**
 * Sets the rate limit of the runners of SERVICE while they warm up, in
 * thousandths of a request per second, from all instances together; 0: none.
 * Returns BD_OK or BD_ERR_NOMEM.
 */
int bd_targets_set_cold_rate (struct bd_targets *targets,
                              struct bd_chunk service, uint32_t rate);

/**
 * Sets whether the runners of ZONE get no new requests, as of REVISION; an
 * older change is ignored.  In a complete list, to be called for each
 * evacuated zone.
 */
void bd_targets_set_evacuated (struct bd_targets *targets,
                               struct bd_chunk zone, bool evacuated,
                               uint64_t revision);

/**
 * The store has come back from an older copy, whose last change was REVISION:
 * it has lost what it had acknowledged since, and its revisions start there
 * again.  All entries are read anew after this.  What the copy lacks holds for
 * a while: runners that are not in it may write their entries again, and those
 * that have left since stay unused.
 */
void bd_targets_begin_era (struct bd_targets *targets, int64_t now_ms,
                           uint64_t revision);

/** Returns the number of runners whose entries are distrusted. */
size_t bd_targets_distrusted_count (const struct bd_targets *targets);

/**
 * Records that TARGET announced in a response that it leaves, received here or
 * by a peer.  STARTED_MAX_MS is the latest start of a process that the
 * announcement may come from; the list may show that process only later.  A
 * process started after that is not concerned.  TARGET gets no new requests
 * until such a one is listed, whatever the store lists meanwhile, except as
 * for BD_TARGET_LEAVING_MAX_MS.  Returns whether this was not known yet.
 */
bool bd_targets_set_leaving (struct bd_targets *targets,
                             struct bd_target *target, int64_t started_max_ms,
                             int64_t now_ms, bool received_here);

/** Removes targets whose lapse has ended, and frees those that are gone. */
void bd_targets_tick (struct bd_targets *targets, int64_t now_ms);

/**
 * Returns all runners, ordered by service and by the hash of the identifier.
 * The array is valid until the next put or tick.
 */
struct bd_target *const *bd_targets_all (struct bd_targets *targets,
                                         size_t *count);

/**
 * Returns the runners of SERVICE, ordered by the hash of the identifier.  The
 * array is valid until the next put or tick.
 */
struct bd_target *const *bd_targets_of_service (struct bd_targets *targets,
                                                struct bd_chunk service,
                                                size_t *count);

struct bd_target *bd_targets_find (const struct bd_targets *targets,
                                   struct bd_chunk id);

/**
 * Returns the runner with HASH as the low half of its identifier's hash, which
 * names it in messages, or NULL.
 */
struct bd_target *bd_targets_by_hash (const struct bd_targets *targets,
                                      uint32_t hash);

/** Returns whether a runner of SERVICE that ran another software version than
    SOFTWARE has ended at SINCE_MS or later (former_software.h). */
bool bd_targets_had_other_software (const struct bd_targets *targets,
                                    struct bd_chunk service, uint64_t software,
                                    int64_t since_ms);

/** Returns when the first complete list was read; 0: not yet. */
int64_t bd_targets_first_list_ms (const struct bd_targets *targets);

/** Whether new requests may be sent to TARGET. */
bool bd_target_usable (const struct bd_target *target);

#endif
