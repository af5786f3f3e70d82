/**
 * @file admission.h
 * Admission control for a service, by the priority of requests.
 *
 * The longest wait of a request (overload.h) is checked at one runner only.
 * Queues differ between runners, so that check alone would reject a request at
 * one runner while a less urgent one is admitted at another.  This module
 * treats the runners of a service as one pool.  While requests wait longer
 * than their latency objective, less urgent requests are shed first, a growing
 * part of them up to all.  Only then are the late requests themselves rejected
 * when their wait would make them late.
 */
#ifndef BD_ADMISSION_H
#define BD_ADMISSION_H

#include "balance/priority.h"
#include "common/string.h"

#include <stdbool.h>

struct bd_admission;

struct bd_admission *bd_admission_create (void);
void bd_admission_destroy (struct bd_admission *admission);

/** Request to be admitted or rejected. */
struct bd_admission_request
{
  struct bd_chunk service;
  int priority; /**< 0 to BD_PRIORITIES - 1. */
  /** Prompt tokens that the runner has to process. */
  uint64_t prefill_tokens;
  uint64_t prompt_tokens; /**< Length of the whole prompt, cached tokens
                             included. */
  double lateness; /**< Expected lateness (bd_overload_lateness ()), 0 to 1. */
  int64_t now_ms;
};

/** Counts the arrival of REQUEST.  Call it before the functions below. */
void bd_admission_record_arrival (struct bd_admission *admission,
                                  const struct bd_admission_request *request);

/**
 * Pressure from requests that are at least as urgent as REQUEST: 0 while they
 * are hardly late, 1 when all less urgent ones are to be shed.
 */
double bd_admission_pressure (const struct bd_admission *admission,
                              const struct bd_admission_request *request);

/**
 * Ratio of requests like REQUEST that is to be shed in favour of more urgent
 * ones, 0 to 1.  Requests with much less prefill than the late ones are not
 * shed.
 */
double bd_admission_shed_ratio (const struct bd_admission *admission,
                                const struct bd_admission_request *request);

/**
 * Whether REQUEST may be rejected now.  While larger requests of a lower
 * priority were admitted lately, and so still run or wait, only few may be.
 */
bool bd_admission_may_reject (const struct bd_admission *admission,
                              const struct bd_admission_request *request);

/** Records whether REQUEST was rejected or admitted. */
void bd_admission_record_decision (struct bd_admission *admission,
                                   const struct bd_admission_request *request,
                                   bool rejected);

#endif
