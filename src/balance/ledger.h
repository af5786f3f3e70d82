/**
 * @file ledger.h
 * Assignments of the requests that this instance has placed for all
 * instances: the requests in flight at each runner, and the prompt tokens that
 * wait for prefill.
 *
 * An assignment is released when its end is reported, or when its time limit
 * is reached: reports get lost, and instances die.
 */
#ifndef BD_LEDGER_H
#define BD_LEDGER_H

#include "balance/target.h"

/** Largest number of assignments in a ledger. */
#define BD_LEDGER_MAX 65536

/** Assignment for a request at the runner where it was placed. */
struct bd_assignment
{
  uint32_t instance;       /**< Instance that asked for the placement. */
  uint32_t request_number; /**< Number of the request at that instance. */
  struct bd_target *target;
  uint64_t prefill_tokens;
  uint64_t prefix_hash; /**< Hash of the prompt's shared prefix; 0: none. */
  int64_t placed_ms;
  bool is_short;
  int priority;       /**< 0 to BD_PRIORITIES - 1. */
  int64_t expires_ms; /**< Time at which the assignment is released, reported
                         or not. */
};

struct bd_ledger;

/**
 * Returns the prompt tokens per millisecond that were lately sent to a runner,
 * with EXTRA_TOKENS added now.
 */
double bd_assigned_token_rate (const struct bd_assigned_load *load,
                               double extra_tokens, int64_t now_ms);

/** Records that a prompt of TOKENS is sent to a runner. */
void bd_assigned_add_prompt (struct bd_assigned_load *load, uint64_t tokens,
                             int64_t now_ms);

struct bd_ledger *bd_ledger_create (void);
void bd_ledger_destroy (struct bd_ledger *ledger);

/**
 * Adds an assignment, in place of an earlier one of the same request.  Returns
 * BD_OK, BD_ERR_INVALID (priority), BD_ERR_FULL or BD_ERR_NOMEM.
 */
int bd_ledger_assign (struct bd_ledger *ledger,
                      const struct bd_assignment *assignment);

/** Uninterrupted prefill at a runner, from which its speed is estimated. */
struct bd_prefill_sample
{
  uint64_t tokens; /**< 0: too few for an estimate. */
  int64_t ms;
};

/**
 * Records the first event of a request, which ends its prefill.  Returns its
 * assignment, or NULL when unknown.  SAMPLE may hold a speed sample.
 */
const struct bd_assignment *
bd_ledger_record_first_event (struct bd_ledger *ledger, uint32_t instance,
                              uint32_t number, int64_t now_ms,
                              struct bd_prefill_sample *sample);

/**
 * Releases the assignment of a request that has ended.  Returns its runner,
 * or NULL when the request is unknown.
 */
struct bd_target *bd_ledger_release (struct bd_ledger *ledger,
                                     uint32_t instance, uint32_t number);

/** Releases all assignments of INSTANCE, which has died. */
void bd_ledger_release_instance (struct bd_ledger *ledger, uint32_t instance);

/**
 * INSTANCE has fallen silent: the prefill of its requests counts as done, but
 * they stay in flight.
 */
void bd_ledger_suspect_instance (struct bd_ledger *ledger, uint32_t instance);

/** Releases the assignments whose time limit is reached. */
void bd_ledger_expire (struct bd_ledger *ledger, int64_t now_ms);

size_t bd_ledger_count (const struct bd_ledger *ledger);

#endif
