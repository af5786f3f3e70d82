/**
 * @file evacuation.h
 * Availability zones whose runners get no new requests, because the operator
 * evacuates them.
 */
#ifndef BD_EVACUATION_H
#define BD_EVACUATION_H

#include "common/string.h"

/** Most zones that are kept; further ones are refused. */
#define BD_EVACUATIONS_MAX 64

/** The state of a zone as of a store revision. */
struct bd_evacuation
{
  struct bd_chunk zone; /**< Owned. */
  bool active;
  bool listed;       /**< Present in the list that is being read. */
  uint64_t revision; /**< Store revision of the last change. */
  int64_t ends_ms;   /**< When it ends because a list lacks it; 0: not so. */
};

/** The evacuated zones.  Empty when zero-initialized. */
struct bd_evacuations
{
  struct bd_evacuation zones[BD_EVACUATIONS_MAX];
  size_t count;
};

void bd_evacuations_clear (struct bd_evacuations *evacuations);

/**
 * Sets whether ZONE is evacuated as of REVISION; an older change is ignored.
 * Returns whether the state has changed.
 */
bool bd_evacuations_set (struct bd_evacuations *evacuations,
                         struct bd_chunk zone, bool active, uint64_t revision);

/** Whether ZONE is evacuated. */
bool bd_evacuations_contain (const struct bd_evacuations *evacuations,
                             struct bd_chunk zone);

/** The revisions of the store start again; what is known stays. */
void bd_evacuations_begin_era (struct bd_evacuations *evacuations);

/** Marks the start of a complete list. */
void bd_evacuations_list_begin (struct bd_evacuations *evacuations);

/**
 * Marks the end of a complete list as of REVISION.  Evacuations that it lacks
 * and that are not newer end at ENDS_MS.
 */
void bd_evacuations_list_end (struct bd_evacuations *evacuations,
                              uint64_t revision, int64_t ends_ms);

/** Ends what is due.  Returns whether a state has changed. */
bool bd_evacuations_tick (struct bd_evacuations *evacuations, int64_t now_ms);

#endif
