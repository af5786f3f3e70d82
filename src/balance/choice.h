/**
 * @file choice.h
 * Where a request goes: the runner on which it is expected to begin first.
 *
 * A prompt's shared part is read once per runner and kept there.  Where one
 * instance decides for all (coordinated), a part goes first to the runner
 * with the least work, and then to where it was read.  An instance that
 * decides for itself sends it to the runners that every instance picks for
 * that part (rendezvous hashing over the live list).  Either way a request
 * leaves these only when the work queued there costs more than reading the
 * part again elsewhere.
 */
#ifndef BD_CHOICE_H
#define BD_CHOICE_H

#include "balance/admission.h"
#include "balance/parts.h"
#include "balance/speed.h"

/** What is to be placed. */
struct bd_demand
{
  struct bd_chunk service;
  struct bd_chunk zone;   /**< Of this instance. */
  uint64_t prefix_hash;   /**< Of the shared part; 0: none. */
  uint64_t shared_tokens; /**< Length of the shared part. */
  uint64_t own_tokens;    /**< The rest of the prompt. */
  int priority;           /**< 0: most urgent. */
  /** How long a runner needs to fetch a thousand tokens of a part from
      another, in microseconds; 0: it cannot. */
  uint32_t fetch_us;
  int64_t objective_ms; /**< Until its first event; 0: not known. */
  int64_t now_ms;
  const uint32_t *tried; /**< Runners not to be used again: low halves of
                              the hashes of their identifiers. */
  size_t tried_count;
  /**
   * The runners' loads are those of the ledger, and all requests with this
   * part are placed here: what is booked and known counts, not what this
   * instance has sent and peers have told.
   */
  bool coordinated;
  /** This instance sends it: pauses that runners asked of it bind. */
  bool sent_here;
  /** Coordinated only lately: what peers have told counts as well. */
  bool learning;
  /** Coordinated: the part of the runners to choose from, of so many. */
  uint32_t shard;
  uint32_t shards;
};

/** Why a runner was picked. */
enum bd_place
{
  BD_PICK_PREFERRED = 0, /**< The shared part's first home, held to be warm. */
  BD_PICK_SECOND,        /**< Its second home. */
  BD_PLACE_WARM,         /**< The part was sent there lately. */
  BD_PLACE_FETCH,        /**< The runner fetches the part from another. */
  BD_PICK_FIRST,         /**< No runner is known to hold the part. */
  BD_PICK_COLD,          /**< The part has to be read there. */
  BD_PLACE_ANY           /**< There is no shared part that matters. */
};

/** The runner picked, with what decided. */
struct bd_pick
{
  struct bd_target *target;       /**< NULL: none may get the request. */
  const struct bd_target *source; /**< To fetch the part from; or NULL. */
  enum bd_place place;
  double wait_ms;          /**< Expected before it begins. */
  double cost_ms;          /**< Expected delay and what else was weighed. */
  uint64_t prefill_tokens; /**< Expected to be read there. */
  uint64_t ahead_tokens;   /**< Queued there before it. */
  double service_ms;       /**< Expected to be read of it before it begins. */
  double utilization;      /**< Share of its time that prompts took lately;
                         0 where that is not known. */
};

struct bd_choice;

/** SEED spreads ties; the shared part's homes do not depend on it. */
struct bd_choice *bd_choice_create (uint64_t seed);
void bd_choice_destroy (struct bd_choice *choice);

/**
 * The part of the service's runners from which a request with PART is
 * placed, of SHARDS (at least 1).
 */
uint32_t bd_choice_shard (uint64_t prefix_hash, uint32_t shards);

/** How many shards the runners of SERVICE make. */
uint32_t bd_choice_shards (struct bd_target *const *targets, size_t count,
                           struct bd_chunk service);

/** Whether the prompt has a shared part that is worth a detour. */
bool bd_demand_has_part (const struct bd_demand *request);

/** Whether the prompt is short: read in one step, it delays nobody. */
bool bd_demand_is_short (const struct bd_demand *request);

/** Picks a runner among the COUNT targets. */
struct bd_pick bd_choice_pick (struct bd_choice *choice,
                               const struct bd_demand *request,
                               struct bd_target *const *targets, size_t count);

/** The request was sent to TARGET, which now reads its shared part. */
void bd_choice_sent (struct bd_choice *choice, const struct bd_demand *request,
                     const struct bd_target *target);

/** What it has learned of services, and where it believes parts to be. */
struct bd_speeds *bd_choice_speeds (struct bd_choice *choice);
struct bd_parts *bd_choice_parts (struct bd_choice *choice);

/** Which requests it takes. */
struct bd_admission *bd_choice_admission (struct bd_choice *choice);

const char *bd_place_name (enum bd_place place);

#endif
