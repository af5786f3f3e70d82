/**
 * @file crash_list.h
 * Runner crashes under requests that have something in common, and how many of
 * them came one after the other.
 */
#ifndef BD_CRASH_LIST_H
#define BD_CRASH_LIST_H

#include "basildock.h"

/** Crashes so far apart are not one, as of a rack that fails, whenever their
    requests were sent; in milliseconds. */
#define BD_CRASH_APART_MS 500

/** Most crashes that are kept. */
#define BD_CRASH_LIST_MAX 8

struct bd_crash_entry
{
  struct bd_id id;     /**< The same at all instances. */
  uint64_t other;      /**< Another part that is blamed for it; 0: none. */
  int64_t sent_ms;     /**< When the request was sent. */
  int64_t heard_ms;    /**< When the runner was last heard. */
  int64_t at_ms;       /**< When the crash was seen. */
  uint32_t sends_left; /**< As a notice to the peers. */
};

/** Crashes in the order of at_ms; empty when zeroed. */
struct bd_crash_list
{
  uint32_t count;
  struct bd_crash_entry entries[BD_CRASH_LIST_MAX];
};

/** Adds CRASH.  A full list loses the first one that is not in succession, or
    the first.  Returns false if the crash is in the list. */
bool bd_crash_list_add (struct bd_crash_list *list,
                        const struct bd_crash_entry *crash);

void bd_crash_list_remove (struct bd_crash_list *list, uint32_t index);

bool bd_crash_list_has (const struct bd_crash_list *list, struct bd_id id);

/** Returns a number of crashes of which each is under a request that was sent
    after the crash before was seen, or BD_CRASH_APART_MS after it. */
uint32_t bd_crash_list_in_succession (const struct bd_crash_list *list);

/** Returns a number of crashes of which each is under a request that was sent
    after the runner before was last heard, so that it likely had crashed. */
uint32_t bd_crash_list_in_likely_succession (const struct bd_crash_list *list);

#endif
