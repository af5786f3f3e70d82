/**
 * @file speed.h
 * What is learned of services from the requests that ran there: how fast
 * their engines read prompts, how long plain requests take, and which lengths
 * of prompts come.
 */
#ifndef BD_SPEED_H
#define BD_SPEED_H

#include "common/string.h"

/** Prompts of up to this many tokens are read in one step of an engine and
    hardly delay the tokens of others. */
#define BD_SHORT_PROMPT_TOKENS 4096

struct bd_speeds;

struct bd_speeds *bd_service_stats_create (void);
void bd_service_stats_destroy (struct bd_speeds *stats_table);

/**
 * A request of SERVICE began after MS, with TOKENS of prompts to be read
 * before and for it.
 */
void bd_speeds_read (struct bd_speeds *stats_table, struct bd_chunk service,
                     uint64_t tokens, int64_t ms);

/** Prompt tokens that an engine of SERVICE reads in a millisecond. */
double bd_service_stats_tokens_per_ms (const struct bd_speeds *stats_table,
                                       struct bd_chunk service);

/**
 * A request of the plain SERVICE, sent to a runner with a free slot, took
 * MS.
 */
void bd_speeds_worked (struct bd_speeds *stats_table, struct bd_chunk service,
                       int64_t ms);

/** Milliseconds that a request of the plain SERVICE takes. */
double bd_service_stats_work_ms (const struct bd_speeds *stats_table,
                                 struct bd_chunk service);

/** A request of SERVICE ended MS after it was sent to its runner. */
void bd_speeds_held (struct bd_speeds *stats_table, struct bd_chunk service,
                     int64_t ms);

/** How long a request of SERVICE is at its runner in the mean, in
    milliseconds; 0: not known yet. */
double bd_service_stats_residence_ms (const struct bd_speeds *stats_table,
                                      struct bd_chunk service);

/** A prompt of TOKENS was sent to SERVICE. */
void bd_service_stats_record_prompt (struct bd_speeds *stats_table,
                                     struct bd_chunk service, uint64_t tokens,
                                     int64_t now_ms);

/**
 * Whether a prompt of TOKENS keeps off runners that are meant for the other
 * length: both lengths have come lately.
 */
bool bd_service_stats_separates_lengths (const struct bd_speeds *stats_table,
                                         struct bd_chunk service,
                                         uint64_t tokens, int64_t now_ms);

#endif
