#include "balance/retry_quota.h"

#include <stdlib.h>
#include <string.h>

/* Buckets of a sliding window. */
#define BUCKET_COUNT 10
/* Services with a window of their own; further ones share the last window. */
#define SERVICE_COUNT_MAX 64
/* Ratio of the limits that is spent.  The windows of other instances are not
   aligned with these. */
#define USED_RATIO 0.8

struct window
{
  uint64_t service_hash;
  int64_t newest_bucket; /* Number of the newest bucket. */
  uint32_t first_attempts[BUCKET_COUNT];
  uint32_t retries[BUCKET_COUNT];
};

struct bd_retry_quota
{
  struct bd_retry_limits limits;
  int64_t started_ms;
  uint32_t instances;      /* Instances that may spend the slack, silent ones
                              included. */
  uint32_t live_instances; /* Instances that are live now. */
  int64_t fewer_since_ms; /* Time since which fewer are live than may spend the
                             slack. */
  size_t service_count;
  struct window windows[SERVICE_COUNT_MAX];
};

struct bd_retry_quota *
bd_retry_quota_create (const struct bd_retry_limits *limits, int64_t now_ms)
{
  struct bd_retry_quota *quota = calloc (1, sizeof *quota);

  if (!quota)
    return NULL;
  quota->limits = *limits;
  quota->started_ms = now_ms;
  quota->instances = 1;
  quota->live_instances = 1;
  return quota;
}

void
bd_retry_quota_destroy (struct bd_retry_quota *quota)
{
  free (quota);
}

void
bd_retry_quota_set_limits (struct bd_retry_quota *quota,
                           const struct bd_retry_limits *limits)
{
  quota->limits = *limits;
}

void
bd_retry_quota_set_instances (struct bd_retry_quota *quota, int64_t now_ms,
                              uint32_t count)
{
  if (quota->live_instances == quota->instances)
    quota->fewer_since_ms = now_ms;
  quota->live_instances = count > 0 ? count : 1;
  if (quota->live_instances > quota->instances)
    quota->instances = quota->live_instances;
}

/* This instance's equal part of the slack. */
static double
slack_quota (struct bd_retry_quota *quota, int64_t now_ms)
{
  if (quota->live_instances < quota->instances
      && now_ms - quota->fewer_since_ms >= BD_RETRY_QUOTA_SILENT_MS)
    quota->instances = quota->live_instances;
  if (now_ms - quota->started_ms < quota->limits.window_ms)
    return 0.0;
  return quota->limits.slack / (double)quota->instances;
}

static struct window *
find_window (struct bd_retry_quota *quota, struct bd_chunk service)
{
  uint64_t hash = bd_chunk_hash (service);

  for (size_t i = 0; i < quota->service_count; i++)
    if (quota->windows[i].service_hash == hash)
      return &quota->windows[i];
  if (quota->service_count == SERVICE_COUNT_MAX)
    return &quota->windows[SERVICE_COUNT_MAX - 1];
  quota->windows[quota->service_count].service_hash = hash;
  return &quota->windows[quota->service_count++];
}

/* Clears the buckets that have left the window since the last call. */
static void
advance_window (const struct bd_retry_quota *quota, struct window *window,
                int64_t now_ms)
{
  int64_t bucket = now_ms * BUCKET_COUNT / quota->limits.window_ms;

  if (bucket - window->newest_bucket >= BUCKET_COUNT)
    {
      memset (window->first_attempts, 0, sizeof window->first_attempts);
      memset (window->retries, 0, sizeof window->retries);
      window->newest_bucket = bucket;
    }
  while (window->newest_bucket < bucket)
    {
      window->newest_bucket++;
      window->first_attempts[window->newest_bucket % BUCKET_COUNT] = 0;
      window->retries[window->newest_bucket % BUCKET_COUNT] = 0;
    }
}

void
bd_retry_quota_record_first (struct bd_retry_quota *quota, int64_t now_ms,
                             struct bd_chunk service)
{
  struct window *window = find_window (quota, service);

  advance_window (quota, window, now_ms);
  window->first_attempts[window->newest_bucket % BUCKET_COUNT]++;
}

bool
bd_retry_quota_take (struct bd_retry_quota *quota, int64_t now_ms,
                     struct bd_chunk service)
{
  struct window *window = find_window (quota, service);
  double first_attempts = 0.0;
  double retries = 0.0;
  double allowed;

  advance_window (quota, window, now_ms);
  for (size_t i = 0; i < BUCKET_COUNT; i++)
    {
      first_attempts += window->first_attempts[i];
      retries += window->retries[i];
    }
  allowed
      = USED_RATIO
        * (quota->limits.ratio * first_attempts + slack_quota (quota, now_ms));
  if (retries + 1.0 > allowed)
    return false;
  window->retries[window->newest_bucket % BUCKET_COUNT]++;
  return true;
}
