/**
 * @file choice.h
 * Selects the runner for a request: the one with the lowest expected delay.
 *
 * A runner that has processed a prompt prefix keeps it in its cache.  When one
 * instance places all requests with a prefix (coordinated), the first of them
 * goes to the runner with the least work, and later ones go to where the
 * prefix is cached.  An instance that decides alone sends a prefix to its
 * preferred runners, which every instance derives alike by rendezvous hashing
 * over the live runners.  In both cases a request goes elsewhere only when the
 * wait there costs more than processing the prefix again.
 */
#ifndef BD_CHOICE_H
#define BD_CHOICE_H

#include "balance/admission.h"
#include "balance/parts.h"
#include "balance/speed.h"

/** Request to be placed. */
struct bd_demand
{
  struct bd_chunk service;
  struct bd_chunk zone;   /**< Availability zone of this instance. */
  uint64_t prefix_hash;   /**< Hash of the prompt's shared prefix; 0: none. */
  uint64_t shared_tokens; /**< Length of the shared prefix. */
  uint64_t own_tokens; /**< Prompt tokens after the shared prefix; 0: a plain
                          service. */
  int priority;        /**< 0: most urgent. */
  /**
   * Time in which a runner fetches 1000 tokens of a prefix from another, in
   * microseconds; 0: it cannot.
   */
  uint32_t fetch_us;
  /** Latency objective of the first event; 0: unknown. */
  int64_t objective_ms;
  int64_t now_ms;
  const uint32_t *tried; /**< Runners that must not be used again, by the low
                            halves of the hashes of their identifiers. */
  size_t tried_count;
  /**
   * The loads in the ledger are complete, because all requests with this
   * prefix are placed here.  The assigned load and the prefix map count, not
   * what this instance has sent and its peers have reported.
   */
  bool coordinated;
  /**
   * This instance sends the request itself, so pauses that runners asked of it
   * are binding.
   */
  bool sent_here;
  /** Coordinated only recently: loads reported by peers count as well. */
  bool learning;
  /**
   * Coordinated: number of the shard, of SHARDS, whose runners may be used.
   */
  uint32_t shard;
  uint32_t shards;
};

/** Why a runner was selected. */
enum bd_place
{
  BD_SELECTION_PREFERRED = 0, /**< First preferred runner of the prefix,
                            expected to have it cached. */
  BD_SELECTION_SECOND,        /**< Second preferred runner of the prefix. */
  BD_PLACE_WARM,              /**< The prefix was sent there lately. */
  BD_PLACE_FETCH,     /**< The runner fetches the prefix from another one. */
  BD_SELECTION_FIRST, /**< No runner is known to have the prefix. */
  BD_SELECTION_COLD,  /**< Another runner has the prefix; this one processes it
                    again. */
  BD_PLACE_ANY        /**< There is no shared prefix of a relevant length. */
};

/** The selected runner, and the estimates that led to it. */
struct bd_pick
{
  struct bd_target *target; /**< NULL: no runner may get the request. */
  /** Runner to fetch the prefix from, or NULL. */
  const struct bd_target *source;
  enum bd_place place;
  double wait_ms; /**< Expected wait until the request's prefill or work
                     starts. */
  double cost_ms; /**< Expected delay plus all other costs. */
  /** Prompt tokens expected to be processed there. */
  uint64_t prefill_tokens;
  uint64_t ahead_tokens; /**< Prompt tokens queued there before the request. */
  double service_ms;  /**< Expected time from the start of its prefill or work
                         to its first event. */
  double utilization; /**< Ratio of the runner's recent time that went to
                         prefill; 0 when unknown. */
};

struct bd_choice;

/**
 * SEED decides between runners of equal cost.  The preferred runners of a
 * prefix do not depend on it.
 */
struct bd_choice *bd_choice_create (uint64_t seed);
void bd_choice_destroy (struct bd_choice *selector);

/**
 * Returns the shard, of SHARDS (at least 1), to which the prefix or the runner
 * with this hash belongs.
 */
uint32_t bd_choice_shard (uint64_t prefix_hash, uint32_t shards);

/** Returns into how many shards the runners of SERVICE are divided. */
uint32_t bd_choice_shards (struct bd_target *const *targets, size_t count,
                           struct bd_chunk service);

/**
 * Whether the prompt has a shared prefix that is long enough to be sent where
 * it is cached.
 */
bool bd_demand_has_part (const struct bd_demand *request);

/**
 * Whether the prompt is short: the engine processes it in one step, which
 * hardly delays other requests.
 */
bool bd_demand_is_short (const struct bd_demand *request);

/** Selects a runner among the COUNT targets. */
struct bd_pick bd_choice_pick (struct bd_choice *selector,
                               const struct bd_demand *request,
                               struct bd_target *const *targets, size_t count);

/**
 * Records that the request was sent to TARGET, which now processes its prefix.
 */
void bd_choice_sent (struct bd_choice *selector,
                     const struct bd_demand *request,
                     const struct bd_target *target);

/** The statistics of services, and the map of cached prefixes. */
struct bd_speeds *bd_choice_speeds (struct bd_choice *selector);
struct bd_parts *bd_choice_parts (struct bd_choice *selector);

/** The admission control of the services. */
struct bd_admission *bd_choice_admission (struct bd_choice *selector);

const char *bd_place_name (enum bd_place reason);

#endif
