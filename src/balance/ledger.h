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
  uint64_t part;         /**< The prompt's shared part; 0: none. */
  uint64_t ahead_tokens; /**< Unread at the runner when it was placed. */
  int64_t placed_ms;
  bool asked; /**< It was placed here: AHEAD_TOKENS is known. */
  bool is_short;
  int64_t until_ms; /**< It has ended by then, told or not. */
};

struct bd_ledger;

struct bd_ledger *bd_ledger_create (void);
void bd_ledger_destroy (struct bd_ledger *ledger);

/**
 * Enters a request; a former entry of the same one ends.  Returns BD_OK,
 * BD_ERR_FULL or BD_ERR_NOMEM.
 */
int bd_ledger_book (struct bd_ledger *ledger,
                    const struct bd_booking *booking);

/** Its prompt has been read.  Returns its entry, or NULL. */
const struct bd_booking *bd_ledger_begun (struct bd_ledger *ledger,
                                          uint32_t instance, uint32_t number);

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
