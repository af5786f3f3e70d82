#include "balance/admission.h"

#include <math.h>
#include <stdlib.h>

/* Services with statistics of their own; further ones are always admitted. */
#define SERVICE_COUNT_MAX 32
/* Time in which the weight of a past request falls to 1/e. */
#define DECAY_MS 1000.0
/* Mean lateness of the requests of one priority at which pressure begins to
   rise above 0, and at which it reaches 1.  Pressure is 0 while the summed
   lateness is below LATE_SUM_MIN. */
#define PRESSURE_START_LATENESS 0.05
#define PRESSURE_FULL_LATENESS 0.25
#define LATE_SUM_MIN 2.0
/* A request is not shed when its prefill takes less than this ratio of the
   mean late request's: shedding it would gain the late ones little. */
#define PREFILL_RATIO_MIN 0.5
/* Window for counting rejections, in intervals of which the last is still
   open.  A request admitted before this window has seen its first event by
   now. */
#define INTERVAL_MS 1000
#define INTERVAL_COUNT 7
/* Ratio of prompt lengths above which a lower-priority request counts as
   larger.  While such requests were admitted lately, at most one in
   REJECTED_ONE_IN requests of a higher priority is rejected, or REJECTED_MIN
   in all; one in LONG_REJECTED_ONE_IN where they are larger than the mean
   prompt of that priority, but not than the one at hand. */
#define LARGER_RATIO 1.5
#define REJECTED_ONE_IN 16
#define LONG_REJECTED_ONE_IN 10
#define REJECTED_MIN 4

/* Decayed sums over the recent requests of one priority. */
struct decayed_load
{
  double total;
  double late;                /* Sum of lateness. */
  double late_prefill_tokens; /* Prefill tokens, weighted by lateness. */
  double late_prompt_tokens;  /* Prompt tokens, weighted by lateness. */
  int64_t updated_ms;
};

/* Admission decisions on requests of one priority within one interval. */
struct interval
{
  int64_t number; /* Time in units of INTERVAL_MS. */
  uint32_t arrived;
  uint64_t arrived_tokens; /* Prompt tokens of all that arrived. */
  uint32_t rejected;
  uint32_t admitted;
  uint64_t admitted_tokens; /* Prompt tokens of all admitted requests. */
};

struct pool
{
  uint64_t name_hash;
  struct interval intervals[BD_PRIORITIES][INTERVAL_COUNT];
  struct decayed_load by_priority[BD_PRIORITIES];
};

struct bd_admission
{
  size_t count;
  struct pool pools[SERVICE_COUNT_MAX];
};

struct bd_admission *
bd_admission_create (void)
{
  return calloc (1, sizeof (struct bd_admission));
}

void
bd_admission_destroy (struct bd_admission *admission)
{
  free (admission);
}

static const struct pool *
find_pool (const struct bd_admission *admission, struct bd_chunk service)
{
  uint64_t hash = bd_chunk_hash (service);

  for (size_t i = 0; i < admission->count; i++)
    if (admission->pools[i].name_hash == hash)
      return &admission->pools[i];
  return NULL;
}

/* Returns NULL when SERVICE_COUNT_MAX services are known already. */
static struct pool *
find_or_add_pool (struct bd_admission *admission, struct bd_chunk service)
{
  struct pool *pool = (struct pool *)find_pool (admission, service);

  if (pool || admission->count == SERVICE_COUNT_MAX)
    return pool;
  pool = &admission->pools[admission->count++];
  pool->name_hash = bd_chunk_hash (service);
  return pool;
}

static struct decayed_load
load_at (const struct decayed_load *decayed_load, int64_t now_ms)
{
  double keep = exp (-(double)(now_ms - decayed_load->updated_ms) / DECAY_MS);

  return (struct decayed_load){ decayed_load->total * keep,
                                decayed_load->late * keep,
                                decayed_load->late_prefill_tokens * keep,
                                decayed_load->late_prompt_tokens * keep,
                                now_ms };
}

void
bd_admission_record_arrival (struct bd_admission *admission,
                             const struct bd_admission_request *request)
{
  struct pool *pool = find_or_add_pool (admission, request->service);
  struct decayed_load *decayed_load;

  if (!pool || request->priority < 0 || request->priority >= BD_PRIORITIES)
    return;
  decayed_load = &pool->by_priority[request->priority];
  *decayed_load = load_at (decayed_load, request->now_ms);
  decayed_load->total += 1.0;
  decayed_load->late += request->lateness;
  decayed_load->late_prefill_tokens
      += request->lateness * (double)request->prefill_tokens;
  decayed_load->late_prompt_tokens
      += request->lateness * (double)request->prompt_tokens;
}

/* Returns the pressure from requests of one priority, 0 to 1. */
static double
pressure_of (const struct decayed_load *now)
{
  double over = now->late / (now->total + 1.0) - PRESSURE_START_LATENESS;

  if (now->late < LATE_SUM_MIN || over <= 0.0)
    return 0.0;
  return fmin (over / (PRESSURE_FULL_LATENESS - PRESSURE_START_LATENESS), 1.0);
}

double
bd_admission_pressure (const struct bd_admission *admission,
                       const struct bd_admission_request *request)
{
  const struct pool *pool = find_pool (admission, request->service);
  double highest = 0.0;

  for (int p = 0; pool && p <= request->priority && p < BD_PRIORITIES; p++)
    {
      struct decayed_load now
          = load_at (&pool->by_priority[p], request->now_ms);

      highest = fmax (highest, pressure_of (&now));
    }
  return highest;
}

/* Whether shedding REQUEST helps the requests that are LATE: its prefill is of
   their size, or its whole prompt is so much larger that it must not run while
   they are kept waiting. */
static bool
competes_with (const struct bd_admission_request *request,
               const struct decayed_load *late)
{
  return (double)request->prefill_tokens * late->late
             >= late->late_prefill_tokens * PREFILL_RATIO_MIN
         || (double)request->prompt_tokens * late->late
                > late->late_prompt_tokens * LARGER_RATIO;
}

double
bd_admission_shed_ratio (const struct bd_admission *admission,
                         const struct bd_admission_request *request)
{
  const struct pool *pool = find_pool (admission, request->service);
  double highest = 0.0;

  for (int p = 0; pool && p < request->priority && p < BD_PRIORITIES; p++)
    {
      struct decayed_load now
          = load_at (&pool->by_priority[p], request->now_ms);

      if (competes_with (request, &now))
        highest = fmax (highest, pressure_of (&now));
    }
  return highest;
}

static struct interval *
interval_at (struct pool *pool, int priority, int64_t now_ms)
{
  int64_t number = now_ms / INTERVAL_MS;
  struct interval *interval
      = &pool->intervals[priority][number % INTERVAL_COUNT];

  if (interval->number != number)
    *interval = (struct interval){ .number = number };
  return interval;
}

static bool
is_in_window (const struct interval *interval, int64_t now_ms)
{
  return now_ms / INTERVAL_MS - interval->number < INTERVAL_COUNT;
}

/* Returns the prompt tokens of REQUEST, or of the mean request of its priority
   in the window if that is less. */
static double
typical_tokens (const struct pool *pool,
                const struct bd_admission_request *request)
{
  double count = 1.0;
  double tokens = (double)request->prompt_tokens;

  for (int i = 0; i < INTERVAL_COUNT; i++)
    {
      const struct interval *interval = &pool->intervals[request->priority][i];

      if (!is_in_window (interval, request->now_ms))
        continue;
      count += interval->arrived;
      tokens += (double)interval->arrived_tokens;
    }
  return fmin (tokens / count, (double)request->prompt_tokens);
}

/* Whether requests of a lower priority whose prompts are much larger than
   TOKENS were admitted within the window. */
static bool
larger_were_admitted (const struct pool *pool,
                      const struct bd_admission_request *request,
                      double tokens)
{
  for (int p = request->priority + 1; p < BD_PRIORITIES; p++)
    for (int i = 0; i < INTERVAL_COUNT; i++)
      {
        const struct interval *interval = &pool->intervals[p][i];

        if (is_in_window (interval, request->now_ms)
            && (double)interval->admitted_tokens
                   > (double)interval->admitted * tokens * LARGER_RATIO)
          return true;
      }
  return false;
}

bool
bd_admission_may_reject (const struct bd_admission *admission,
                         const struct bd_admission_request *request)
{
  const struct pool *pool = find_pool (admission, request->service);
  uint32_t arrived = 0;
  uint32_t rejected = 0;
  uint32_t one_in = REJECTED_ONE_IN;

  if (!pool || request->priority < 0 || request->priority >= BD_PRIORITIES)
    return true;
  if (!larger_were_admitted (pool, request, (double)request->prompt_tokens))
    one_in = LONG_REJECTED_ONE_IN;
  if (!larger_were_admitted (pool, request, typical_tokens (pool, request)))
    return true;
  for (int i = 0; i < INTERVAL_COUNT; i++)
    if (is_in_window (&pool->intervals[request->priority][i], request->now_ms))
      {
        arrived += pool->intervals[request->priority][i].arrived;
        rejected += pool->intervals[request->priority][i].rejected;
      }
  return rejected < REJECTED_MIN || rejected < arrived / one_in;
}

void
bd_admission_record_decision (struct bd_admission *admission,
                              const struct bd_admission_request *request,
                              bool rejected)
{
  struct pool *pool = find_or_add_pool (admission, request->service);
  struct interval *interval;

  if (!pool || request->priority < 0 || request->priority >= BD_PRIORITIES)
    return;
  interval = interval_at (pool, request->priority, request->now_ms);
  interval->arrived++;
  interval->arrived_tokens += request->prompt_tokens;
  if (rejected)
    interval->rejected++;
  else
    {
      interval->admitted++;
      interval->admitted_tokens += request->prompt_tokens;
    }
}
