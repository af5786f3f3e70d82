#include "balance/admission.h"

#include <math.h>
#include <stdlib.h>

/* Services that are told apart. */
#define SERVICE_COUNT_MAX 32
/* Time in which the weight of a decision falls to a third. */
#define DECAY_MS 1000.0
/* Mean lateness of the requests of one urgency: where pressure begins, and
   where it is full.  Below so much in all none counts. */
#define PRESSURE_START_LATENESS 0.05
#define PRESSURE_FULL_LATENESS 0.25
#define LATE_SUM_MIN 2.0
/* Requests that take less than this share of what a late one takes are not
   refused for its sake: it would gain little. */
#define PREFILL_RATIO_MIN 0.5
/* Refusals are counted over this time, in spans; the last span is not over.
   Requests that were taken this long ago have begun. */
#define INTERVAL_MS 1000
#define INTERVAL_COUNT 7
/* How much larger a less urgent request is that counts, and the share of the
   more urgent that may be refused beside such, one in so many. */
#define LARGER_RATIO 1.5
#define REJECTED_ONE_IN 16
#define REJECTED_MIN 4

/* Recent decisions on requests of one priority. */
struct decayed_load
{
  double total;
  double late;                /* Sum of their lateness. */
  double late_prefill_tokens; /* To be read of those. */
  double late_prompt_tokens;  /* Of their whole prompts. */
  int64_t updated_ms;
};

/* What was decided on requests of one priority within a span of time. */
struct interval
{
  int64_t number; /* Spans since the clock's zero. */
  uint32_t arrived;
  uint32_t rejected;
  uint32_t admitted;
  uint64_t admitted_tokens; /* Of all that were taken, in tokens. */
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

/* NULL when there are too many services. */
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

/* How hard requests of one urgency press. */
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

/* Whether to refuse the request would help those that are late, or it is so
   much larger that it may not begin while they get nothing. */
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

/* Whether less urgent requests larger than SIZE were taken lately. */
static bool
larger_were_admitted (const struct pool *pool,
                      const struct bd_admission_request *request)
{
  for (int p = request->priority + 1; p < BD_PRIORITIES; p++)
    for (int i = 0; i < INTERVAL_COUNT; i++)
      {
        const struct interval *interval = &pool->intervals[p][i];

        if (is_in_window (interval, request->now_ms)
            && (double)interval->admitted_tokens
                   > (double)interval->admitted
                         * (double)request->prompt_tokens * LARGER_RATIO)
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

  if (!pool || request->priority < 0 || request->priority >= BD_PRIORITIES
      || !larger_were_admitted (pool, request))
    return true;
  for (int i = 0; i < INTERVAL_COUNT; i++)
    if (is_in_window (&pool->intervals[request->priority][i], request->now_ms))
      {
        arrived += pool->intervals[request->priority][i].arrived;
        rejected += pool->intervals[request->priority][i].rejected;
      }
  return rejected < REJECTED_MIN || rejected < arrived / REJECTED_ONE_IN;
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
  if (rejected)
    interval->rejected++;
  else
    {
      interval->admitted++;
      interval->admitted_tokens += request->prompt_tokens;
    }
}
