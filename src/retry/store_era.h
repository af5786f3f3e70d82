/**
 * @file store_era.h
 * Decides whether a response of the store may be used, by its era: a number
 * that rises each time the store comes back from an older copy of its data.
 */
#ifndef BD_STORE_ERA_H
#define BD_STORE_ERA_H

#include "basildock.h"

/** The era in which the store is read.  Zero-initialized, it is unknown. */
struct bd_store_era
{
  int64_t number;
  bool known;
};

enum bd_store_era_verdict
{
  BD_STORE_ERA_CURRENT = 0, /**< The response may be used. */
  BD_STORE_ERA_NONE,        /**< It may be used; the store names no era. */
  BD_STORE_ERA_ROSE,        /**< The store has lost writes since the last
                               response. */
  BD_STORE_ERA_MISSING,     /**< The response names none, earlier ones did. */
  BD_STORE_ERA_INVALID,     /**< What it names is no number. */
  BD_STORE_ERA_FELL         /**< The response is from an earlier era. */
};

/**
 * Compares a response with ERA.  PARSED is BD_OK if it names the era NUMBER,
 * BD_ERR_NOT_FOUND if it names none, or else the error of what it names.
 * NOTHING_READ: no response has been used yet, so a first era is no loss.
 * Updates ERA if the verdict is BD_STORE_ERA_CURRENT or BD_STORE_ERA_ROSE.
 */
enum bd_store_era_verdict bd_store_era_check (struct bd_store_era *era,
                                              int parsed, int64_t number,
                                              bool nothing_read);

/** Returns what is wrong with a response, for a log line; NULL: nothing. */
const char *bd_store_era_fault (enum bd_store_era_verdict verdict);

#endif
