/**
 * @file admission.h
 * Decides whether a custodian may run a key of which it has no record: only
 * when no other incarnation can have run it, or still may.
 */
#ifndef BD_ADMISSION_H
#define BD_ADMISSION_H

#include "custody/custody.h"

/** What a custodian knows besides its records. */
struct bd_admission
{
  int64_t home_since_wall_ms;
  int64_t confirmed_ms; /**< When the configuration was, if ever. */
  bool confirmed;
  /*
   * Records of keys up to these were dropped, so no such key is accepted
   * again, whatever the clocks do: by the expiry of an issued key or of a
   * received hand-over, by the date of a timed key.
   */
  int64_t issued_cutoff_wall_ms;
  int64_t timed_cutoff_wall_ms;
  int64_t hand_over_cutoff_wall_ms;
};

void bd_admission_init (struct bd_admission *admission,
                        int64_t started_wall_ms);

/** Returns BD_OK or an error as described at bd_custody_claim (). */
int bd_admission_check (const struct bd_admission *admission,
                        const struct bd_custody_settings *settings,
                        int64_t now_ms, int64_t wall_ms,
                        const struct bd_custody_claim *claim);

#endif
