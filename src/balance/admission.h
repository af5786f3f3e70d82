/**
 * @file admission.h
 * How hard requests press on a service, by their urgency.
 *
 * Each request has a longest wait (overload.h).  Runners differ, so that
 * alone would refuse a more urgent request at one runner while a less urgent
 * one begins at another.  Here the service is one pool.  While requests wait
 * too long for their objective, less urgent ones are refused first, in part
 * and then all; only then are they refused themselves for a wait that would
 * make them late.
 */
#ifndef BD_ADMISSION_H
#define BD_ADMISSION_H

#include "balance/priority.h"
#include "common/string.h"

#include <stdbool.h>

struct bd_admission;

struct bd_admission *bd_admission_create (void);
void bd_admission_destroy (struct bd_admission *admission);

/** A request that is decided on. */
struct bd_admission_request
{
  struct bd_chunk service;
  int priority;            /**< 0 to BD_PRIORITIES - 1. */
  uint64_t prefill_tokens; /**< To be read of its prompt. */
  uint64_t prompt_tokens;  /**< Of its whole prompt, in tokens. */
  double lateness;         /**< Expected (overload.h), 0 to 1. */
  int64_t now_ms;
};

/** A request comes; call before the others. */
void bd_admission_record_arrival (struct bd_admission *admission,
                                  const struct bd_admission_request *request);

/** How hard requests as urgent as REQUEST, or more urgent, press: 0 to 1. */
double bd_admission_pressure (const struct bd_admission *admission,
                              const struct bd_admission_request *request);

/**
 * The share of requests such as REQUEST that is to be refused for the sake of
 * more urgent ones: those that take about as much or more.
 */
double bd_admission_shed_ratio (const struct bd_admission *admission,
                                const struct bd_admission_request *request);

/**
 * Whether REQUEST may be refused now.  While larger and less urgent ones were
 * taken lately, and so run on or begin, only few may.
 */
bool bd_admission_may_reject (const struct bd_admission *admission,
                              const struct bd_admission_request *request);

/** REQUEST was refused, or taken. */
void bd_admission_record_decision (struct bd_admission *admission,
                                   const struct bd_admission_request *request,
                                   bool refused);

#endif
