/**
 * @file naive_limiter.h
 * Reference implementation: one limiter that sees every request at once.
 */
#ifndef NAIVE_LIMITER_H
#define NAIVE_LIMITER_H

#include "configuration/contract.h"

struct naive_limiter
{
  double requests_per_s;
  double tokens_per_s;
  double concurrency;
  double burst_requests;
  double burst_tokens;
  double requests;
  double tokens;
  uint32_t running;
  int64_t now_ms;
};

/** Initializes with full buckets. */
void naive_limiter_init (struct naive_limiter *l, double requests_per_s,
                         double tokens_per_s, double concurrency,
                         double burst_requests, double burst_tokens);

void naive_limiter_advance (struct naive_limiter *l, int64_t now_ms);

/** Whether a request of TOKENS is within all limits now. */
bool naive_limiter_allows (const struct naive_limiter *l, uint32_t tokens);

/** Charges a request, allowed or not. */
void naive_limiter_take (struct naive_limiter *l, uint32_t tokens);

/** Ends a request that was expected to use EXPECTED tokens and used USED. */
void naive_limiter_release (struct naive_limiter *l, uint32_t expected,
                            uint32_t used);

#endif
