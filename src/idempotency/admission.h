/**
 * @file admission.h
 * Decides whether a sidecar may accept a key that it has no record of: only
 * when no other incarnation can have run the key or can still run it.
 */
#ifndef BD_ADMISSION_H
#define BD_ADMISSION_H

#include "idempotency/idempotency.h"

/** State of a sidecar that decides on keys without a record. */
struct bd_admission
{
  int64_t home_since_wall_ms; /**< Time since which this sidecar is home runner
                                 of callers' own keys. */
  int64_t confirmed_ms;       /**< Time of the last confirmation; unset unless
                                 CONFIRMED. */
  bool confirmed;
  /*
   * Highest values among dropped records: the expiry of issued keys and of
   * received handovers, and the creation time of time-ordered keys.  Keys up
   * to these are refused, so that a dropped key is not accepted again,
   * whatever the clocks do.
   */
  int64_t issued_cutoff_wall_ms;
  int64_t time_ordered_cutoff_wall_ms;
  int64_t handover_cutoff_wall_ms;
};

void bd_admission_init (struct bd_admission *admission,
                        int64_t started_wall_ms);

/** Returns BD_OK, or an error as described for bd_idempotency_claim (). */
int bd_admission_check (const struct bd_admission *admission,
                        const struct bd_idempotency_settings *settings,
                        int64_t now_ms, int64_t wall_ms,
                        const struct bd_idempotency_claim *claim);

#endif
