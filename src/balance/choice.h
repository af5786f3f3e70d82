/**
 * @file choice.h
 * Where a request goes: the runner on which it is expected to begin first.
 *
 * A prompt's shared part is read once per runner and kept there, so a
 * request is drawn to the runner that every entry picks for that part
 * (rendezvous hashing over the live list), and leaves it only when the work
 * queued there costs more than reading the part again elsewhere.
 */
#ifndef BD_CHOICE_H
#define BD_CHOICE_H

#include "balance/target.h"

/** What is to be placed. */
struct bd_demand
{
  struct bd_chunk service;
  struct bd_chunk zone;   /**< Of this instance. */
  uint64_t prefix_hash;   /**< Of the shared part; 0: none. */
  uint64_t shared_tokens; /**< Length of the shared part. */
  uint64_t own_tokens;    /**< The rest of the prompt. */
  int64_t now_ms;
  const struct bd_target *const *tried; /**< Not to be used again. */
  size_t tried_count;
};

/** Learned and configured figures of a service. */
struct bd_speed
{
  double prefill_tokens_per_ms;
};

struct bd_choice;

/** SEED spreads ties; the shared part's home does not depend on it. */
struct bd_choice *bd_choice_create (uint64_t seed);
void bd_choice_destroy (struct bd_choice *choice);

/** Returns the runner, or NULL when none may get the request. */
struct bd_target *bd_choice_pick (struct bd_choice *choice,
                                  const struct bd_demand *demand,
                                  struct bd_target *const *targets,
                                  size_t count);

/** The request was sent to TARGET, which now reads its shared part. */
void bd_choice_sent (struct bd_choice *choice, const struct bd_demand *demand,
                     const struct bd_target *target);

/** Tokens that TARGET is expected to read for DEMAND. */
uint64_t bd_choice_prefill (const struct bd_choice *choice,
                            const struct bd_demand *demand,
                            const struct bd_target *target);

#endif
