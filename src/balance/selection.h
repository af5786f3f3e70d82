/**
 * @file selection.h
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
#ifndef BD_SELECTION_H
#define BD_SELECTION_H

#include "balance/admission.h"
#include "balance/prefix_map.h"
#include "balance/runner_limit.h"
#include "balance/service_stats.h"

/** Request to be placed. */
struct bd_selection_request
{
  struct bd_chunk service;
  struct bd_chunk zone;   /**< Availability zone of this instance. */
  uint64_t prefix_hash;   /**< Hash of the prompt's shared prefix; 0: none. */
  uint64_t prefix_tokens; /**< Length of the shared prefix. */
  uint64_t unshared_tokens; /**< Prompt tokens after the shared prefix; 0: a
                               plain service. */
  int priority;             /**< 0: most urgent. */
  /**
   * Time in which a runner fetches 1000 tokens of a prefix from another, in
   * microseconds; 0: it cannot fetch.
   */
  uint32_t fetch_us_per_k;
  /** Latency objective of the first event; 0: unknown. */
  int64_t objective_ms;
  int64_t now_ms;
  /** Hash of the software version that the runner must have;
      BD_SOFTWARE_ANY: any. */
  uint64_t software;
  /** Hash of the software version that the runner should have, unless the
      request would wait for long there; BD_SOFTWARE_ANY: any. */
  uint64_t preferred_software;
  /** Low half of the hash of the only runner that may be used; 0: any. */
  uint32_t only;
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
  /** Not coordinated: what limits of runners leave to this instance. */
  struct bd_runner_limit_share share;
  /** Coordinated only recently: loads reported by peers count as well. */
  bool learning;
  /**
   * Coordinated: number of the shard, of SHARDS, whose runners may be used.
   */
  uint32_t shard;
  uint32_t shards;
};

/** Why a runner was selected. */
enum bd_selection_reason
{
  BD_SELECTION_PREFERRED = 0, /**< First preferred runner of the prefix,
                                 expected to have it cached. */
  BD_SELECTION_SECOND,        /**< Second preferred runner of the prefix. */
  BD_SELECTION_WARM,          /**< The prefix was sent there lately. */
  BD_SELECTION_FETCH, /**< The runner fetches the prefix from another one. */
  BD_SELECTION_FIRST, /**< No runner is known to have the prefix. */
  BD_SELECTION_COLD,  /**< Another runner has the prefix; this one processes it
                         again. */
  BD_SELECTION_ANY    /**< There is no shared prefix of a relevant length. */
};

/** The selected runner, and the estimates that led to it. */
struct bd_selection
{
  struct bd_target *target; /**< NULL: no runner may get the request. */
  /** Runner to fetch the prefix from, or NULL. */
  const struct bd_target *source;
  enum bd_selection_reason reason;
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

struct bd_selector;

/**
 * SEED decides between runners of equal cost.  The preferred runners of a
 * prefix do not depend on it.  Returns NULL when out of memory.
 */
struct bd_selector *bd_selector_create (uint64_t seed);
void bd_selector_destroy (struct bd_selector *selector);

/**
 * Whether the prompt has a shared prefix that is long enough to be sent where
 * it is cached.
 */
bool
bd_selection_request_has_prefix (const struct bd_selection_request *request);

/**
 * Whether the prompt is short: the engine processes it in one step, which
 * hardly delays other requests.
 */
bool
bd_selection_request_is_short (const struct bd_selection_request *request);

/** Selects a runner among the COUNT targets. */
struct bd_selection
bd_selector_select (struct bd_selector *selector,
                    const struct bd_selection_request *request,
                    struct bd_target *const *targets, size_t count);

/**
 * Records that the request was sent to TARGET, which now processes its prefix.
 */
void bd_selector_record_sent (struct bd_selector *selector,
                              const struct bd_selection_request *request,
                              const struct bd_target *target);

/** The statistics of services, and the map of cached prefixes. */
struct bd_service_stats *bd_selector_stats (struct bd_selector *selector);
struct bd_prefix_map *bd_selector_prefixes (struct bd_selector *selector);

/** The admission control of the services. */
struct bd_admission *bd_selector_admission (struct bd_selector *selector);

const char *bd_selection_reason_name (enum bd_selection_reason reason);

#endif
