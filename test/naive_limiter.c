#include "naive_limiter.h"

void
naive_limiter_init (struct naive_limiter *l, double requests_per_s,
                    double tokens_per_s, double concurrency,
                    double burst_requests, double burst_tokens)
{
  *l = (struct naive_limiter){ .requests_per_s = requests_per_s,
                               .tokens_per_s = tokens_per_s,
                               .concurrency = concurrency,
                               .burst_requests = burst_requests,
                               .burst_tokens = burst_tokens,
                               .requests = burst_requests,
                               .tokens = burst_tokens };
}

static double
lesser (double a, double b)
{
  return a < b ? a : b;
}

void
naive_limiter_advance (struct naive_limiter *l, int64_t now_ms)
{
  double seconds = (double)(now_ms - l->now_ms) / 1000.0;

  l->requests
      = lesser (l->burst_requests, l->requests + l->requests_per_s * seconds);
  l->tokens = lesser (l->burst_tokens, l->tokens + l->tokens_per_s * seconds);
  l->now_ms = now_ms;
}

bool
naive_limiter_allows (const struct naive_limiter *l, uint32_t tokens)
{
  return l->requests >= 1.0 && l->tokens >= lesser (tokens, l->burst_tokens)
         && l->running + 1.0 <= l->concurrency;
}

void
naive_limiter_take (struct naive_limiter *l, uint32_t tokens)
{
  l->requests -= 1.0;
  l->tokens -= tokens;
  l->running++;
}

void
naive_limiter_release (struct naive_limiter *l, uint32_t expected,
                       uint32_t used)
{
  l->tokens += (double)expected - used;
  l->running--;
}
