/**
 * @file support_targets.h
 * Lists of runners for the tests of the balancing modules.
 */
#ifndef BD_SUPPORT_TARGETS_H
#define BD_SUPPORT_TARGETS_H

#include "balance/target.h"

/** Returns an entry of runner ID in ZONE of service "llm", with 64 slots. */
struct bd_target_entry support_entry (const char *id, const char *zone);

/** Puts COUNT ready runners r0, r1, … spread over ZONES zones. */
void support_put_runners (struct bd_targets *targets, int count, int zones);

/** Lists runner ID, which must exist, with a software version. */
void support_set_software (struct bd_targets *targets, const char *id,
                           const char *software);

/** Returns runner ID, which must exist. */
struct bd_target *support_target (struct bd_targets *targets, const char *id);

#endif
