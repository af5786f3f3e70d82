/**
 * @file ledger.h
 * The requests of all instances that one of them has placed: what is in
 * flight at each runner, and how much of the prompts is not read yet.
 *
 * Entries end when they are reported to have ended, or by their time limit:
 * reports get lost, and instances die.
 */
#ifndef BD_LEDGER_H
#define BD_LEDGER_H

#include "balance/target.h"

/** Most requests in a ledger. */
#define BD_LEDGER_MAX 65536

/** A request that was placed. */
struct bd_booking
{
  uint32_t instance; /**< That asked. */
  uint32_t number;   /**< Of the request there. */
  struct bd_target *target;
  uint64_t prefill_tokens;
  uint64_t part; /**< The prompt's shared part; 0: none. */
  int64_t placed_ms;
  bool is_short;
  int priority;     /**< 0 to BD_PRIORITIES - 1. */
  int64_t until_ms; /**< It has ended by then, told or not. */
};

struct bd_ledger;

/** Prompt tokens a millisecond that were lately sent to a runner, with MORE
    tokens now. */
double bd_reserved_token_rate (const struct bd_reserved_load *booked,
                               double extra_tokens, int64_t now_ms);

/** TOKENS of a prompt are sent to a runner. */
void bd_reserved_add_prompt (struct bd_reserved_load *booked, uint64_t tokens,
                             int64_t now_ms);

struct bd_ledger *bd_ledger_create (void);
void bd_ledger_destroy (struct bd_ledger *ledger);

/**
 * Enters a request; a former entry of the same one ends.  Returns BD_OK,
 * BD_ERR_INVALID (priority), BD_ERR_FULL or BD_ERR_NOMEM.
 */
int bd_ledger_book (struct bd_ledger *ledger,
                    const struct bd_booking *booking);

/** What a runner has read without a pause. */
struct bd_reading
{
  uint64_t tokens; /**< 0: too little to say something. */
  int64_t ms;
};

/**
 * Its prompt has been read.  Returns its entry, or NULL; READING shows how
 * fast the runner is.
 */
const struct bd_booking *bd_ledger_begun (struct bd_ledger *ledger,
                                          uint32_t instance, uint32_t number,
                                          int64_t now_ms,
                                          struct bd_reading *sample);

/** It has ended.  Returns where it was, or NULL when it is not known. */
struct bd_target *bd_ledger_ended (struct bd_ledger *ledger, uint32_t instance,
                                   uint32_t number);

/** Requests of INSTANCE, which has died, have ended. */
void bd_ledger_forget (struct bd_ledger *ledger, uint32_t instance);

/** INSTANCE is silent: its prompts count as read, its requests run on. */
void bd_ledger_lose (struct bd_ledger *ledger, uint32_t instance);

/** Ends the entries whose time is over. */
void bd_ledger_tick (struct bd_ledger *ledger, int64_t now_ms);

size_t bd_ledger_count (const struct bd_ledger *ledger);

#endif
