/**
 * @file former_software.h
 * Remembers which software versions runners ran that have ended since.  Such a
 * runner may have begun a stream, and cannot be asked any more.
 */
#ifndef BD_FORMER_SOFTWARE_H
#define BD_FORMER_SOFTWARE_H

#include "balance/software.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** How long a version is remembered: as long as callers continue streams. */
#define BD_FORMER_SOFTWARE_MS 30000

/** A version that a runner of a service ran until it ended. */
struct bd_former_version
{
  uint64_t service;  /**< Hash of its name. */
  uint64_t software; /**< Hash of the version. */
  int64_t ended_ms;  /**< When the last of these runners ended. */
};

/** Grows with the versions that ended lately.  Empty when zero-initialized. */
struct bd_former_software
{
  struct bd_former_version *versions;
  size_t count;
  size_t capacity;
  int64_t lost_ms; /**< When one could not be kept for want of memory, of any
                        service; 0: never. */
};

void bd_former_software_clear (struct bd_former_software *former);

/** Records that a runner of SERVICE that ran SOFTWARE ended at NOW_MS. */
void bd_former_software_record (struct bd_former_software *former,
                                uint64_t service, uint64_t software,
                                int64_t now_ms);

/** Returns whether a runner of SERVICE that ran another version than SOFTWARE
    has ended at SINCE_MS or later, which must not be over
    BD_FORMER_SOFTWARE_MS ago. */
bool bd_former_software_has_other (const struct bd_former_software *former,
                                   uint64_t service, uint64_t software,
                                   int64_t since_ms);

#endif
