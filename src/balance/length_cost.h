/**
 * @file length_cost.h
 * The cost of mixing short and long prompts at an engine, from the complete
 * loads that a coordinator knows.
 */
#ifndef BD_LENGTH_COST_H
#define BD_LENGTH_COST_H

#include "balance/selection.h"

/**
 * Cost of a short prompt at TARGET by the requests that are there, in
 * milliseconds of delay.
 */
double bd_length_cost_short_ms (const struct bd_target *target);

/**
 * Cost of a long prompt at the runner of PICK, in milliseconds of delay: its
 * prefill stalls the streams there.
 */
double bd_length_cost_long_ms (const struct bd_selection_request *request,
                               const struct bd_selection *pick);

#endif
