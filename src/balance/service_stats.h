/**
 * @file service_stats.h
 * Statistics of services, measured on their requests: the prefill speed of
 * engines, the duration of plain requests, the residence time at a runner, and
 * the prompt lengths that come.
 */
#ifndef BD_SERVICE_STATS_H
#define BD_SERVICE_STATS_H

#include "common/string.h"

/**
 * Prompts of up to this many tokens are processed in one step of an engine and
 * hardly delay the tokens of other requests.
 */
#define BD_SHORT_PROMPT_TOKENS 4096

struct bd_service_stats;

struct bd_service_stats *bd_service_stats_create (void);
void bd_service_stats_destroy (struct bd_service_stats *stats_table);

/**
 * Records that the first event of a request of SERVICE came after MS, with
 * TOKENS of prefill before it, its own included.
 */
void bd_service_stats_record_prefill (struct bd_service_stats *stats_table,
                                      struct bd_chunk service, uint64_t tokens,
                                      int64_t ms);

/** Prompt tokens that an engine of SERVICE processes in a millisecond. */
double
bd_service_stats_tokens_per_ms (const struct bd_service_stats *stats_table,
                                struct bd_chunk service);

/**
 * Records that a request of the plain SERVICE took MS at a runner with a free
 * slot.
 */
void bd_service_stats_record_work (struct bd_service_stats *stats_table,
                                   struct bd_chunk service, int64_t ms);

/** Mean duration of a request of the plain SERVICE, in milliseconds. */
double bd_service_stats_work_ms (const struct bd_service_stats *stats_table,
                                 struct bd_chunk service);

/**
 * Records that a request of SERVICE ended MS after it was sent to its runner.
 */
void bd_service_stats_record_residence (struct bd_service_stats *stats_table,
                                        struct bd_chunk service, int64_t ms);

/**
 * Mean time from sending a request of SERVICE to its end, in milliseconds; 0:
 * no sample yet.
 */
double
bd_service_stats_residence_ms (const struct bd_service_stats *stats_table,
                               struct bd_chunk service);

/** Records that a prompt of TOKENS was sent to SERVICE. */
void bd_service_stats_record_prompt (struct bd_service_stats *stats_table,
                                     struct bd_chunk service, uint64_t tokens,
                                     int64_t now_ms);

/**
 * Whether a prompt of TOKENS avoids the runners meant for prompts of the other
 * length: prompts of both lengths have come lately.
 */
bool bd_service_stats_separated (const struct bd_service_stats *stats_table,
                                 struct bd_chunk service, uint64_t tokens,
                                 int64_t now_ms);

#endif
