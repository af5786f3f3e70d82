#include "balance/service_stats.h"

#include <math.h>
#include <stdlib.h>

/* Services with statistics of their own. */
#define SERVICE_COUNT_MAX 32
/* Prompt tokens per millisecond of an engine: the prior value, its weight in
   tokens against measurements, and the bounds of the estimate. */
#define TOKENS_PER_MS_PRIOR 50.0
#define TOKENS_PER_MS_PRIOR_TOKENS 400000.0
#define TOKENS_PER_MS_MIN 1.0
#define TOKENS_PER_MS_MAX 1000.0
/* Tokens after which a measurement has half its weight, and the fewest tokens
   of a sample. */
#define HALF_LIFE_TOKENS 2000000.0
#define SAMPLE_TOKENS_MIN 2000
/* Part of the time to a first event that is not prefill. */
#define FIRST_EVENT_OVERHEAD_MS 40.0
/* Short and long prompts are separated while both came within this time.  Long
   ones are kept separate for the same time after the first prompt of a
   service, before a short one has come. */
#define SEPARATE_LENGTHS_MS 20000
/* Work of a request at a plain service: the value before any measurement, and
   the weight of each measurement. */
#define WORK_MS_DEFAULT 60.0
#define WORK_WEIGHT 0.05
/* Weight of each measured residence time. */
#define RESIDENCE_WEIGHT 0.02

/* Measurements of a service.  TOKENS and MS are decayed by later tokens. */
struct service
{
  uint64_t name_hash;
  double tokens;
  double ms;
  double work_ms;      /* 0: no sample yet. */
  double residence_ms; /* 0: no sample yet. */
  int64_t first_ms;
  int64_t last_short_ms; /* Time of the last short prompt; 0: none yet. */
  int64_t last_long_ms;
};

struct bd_service_stats
{
  size_t count;
  struct service services[SERVICE_COUNT_MAX];
};

struct bd_service_stats *
bd_service_stats_create (void)
{
  return calloc (1, sizeof (struct bd_service_stats));
}

void
bd_service_stats_destroy (struct bd_service_stats *stats_table)
{
  free (stats_table);
}

static const struct service *
find_service (const struct bd_service_stats *stats_table, struct bd_chunk name)
{
  uint64_t hash = bd_chunk_hash (name);

  for (size_t i = 0; i < stats_table->count; i++)
    if (stats_table->services[i].name_hash == hash)
      return &stats_table->services[i];
  return NULL;
}

/* Returns NULL when SERVICE_COUNT_MAX services are known already. */
static struct service *
find_or_add_service (struct bd_service_stats *stats_table,
                     struct bd_chunk name)
{
  struct service *service = (struct service *)find_service (stats_table, name);

  if (service || stats_table->count == SERVICE_COUNT_MAX)
    return service;
  service = &stats_table->services[stats_table->count++];
  service->name_hash = bd_chunk_hash (name);
  return service;
}

void
bd_service_stats_record_prefill (struct bd_service_stats *stats_table,
                                 struct bd_chunk service, uint64_t tokens,
                                 int64_t ms)
{
  struct service *stats;
  double prefill_ms = (double)ms - FIRST_EVENT_OVERHEAD_MS;
  double factor = exp2 (-(double)tokens / HALF_LIFE_TOKENS);

  if (tokens < SAMPLE_TOKENS_MIN)
    return;
  stats = find_or_add_service (stats_table, service);
  if (!stats)
    return;
  stats->tokens = stats->tokens * factor + (double)tokens;
  stats->ms = stats->ms * factor + (prefill_ms > 1.0 ? prefill_ms : 1.0);
}

double
bd_service_stats_tokens_per_ms (const struct bd_service_stats *stats_table,
                                struct bd_chunk service)
{
  const struct service *stats = find_service (stats_table, service);
  double tokens = TOKENS_PER_MS_PRIOR_TOKENS;
  double ms = TOKENS_PER_MS_PRIOR_TOKENS / TOKENS_PER_MS_PRIOR;
  double rate;

  if (stats)
    {
      tokens += stats->tokens;
      ms += stats->ms;
    }
  rate = tokens / ms;
  if (rate < TOKENS_PER_MS_MIN)
    return TOKENS_PER_MS_MIN;
  return rate > TOKENS_PER_MS_MAX ? TOKENS_PER_MS_MAX : rate;
}

double
bd_service_stats_work_ms (const struct bd_service_stats *stats_table,
                          struct bd_chunk service)
{
  const struct service *stats = find_service (stats_table, service);

  return stats && stats->work_ms > 0.0 ? stats->work_ms : WORK_MS_DEFAULT;
}

void
bd_service_stats_record_work (struct bd_service_stats *stats_table,
                              struct bd_chunk service, int64_t ms)
{
  double known = bd_service_stats_work_ms (stats_table, service);
  struct service *stats = find_or_add_service (stats_table, service);

  if (stats)
    stats->work_ms = known + WORK_WEIGHT * ((double)ms - known);
}

double
bd_service_stats_residence_ms (const struct bd_service_stats *stats_table,
                               struct bd_chunk service)
{
  const struct service *stats = find_service (stats_table, service);

  return stats ? stats->residence_ms : 0.0;
}

void
bd_service_stats_record_residence (struct bd_service_stats *stats_table,
                                   struct bd_chunk service, int64_t ms)
{
  struct service *stats = find_or_add_service (stats_table, service);

  if (!stats)
    return;
  if (stats->residence_ms == 0.0)
    stats->residence_ms = (double)ms;
  stats->residence_ms += RESIDENCE_WEIGHT * ((double)ms - stats->residence_ms);
}

void
bd_service_stats_record_prompt (struct bd_service_stats *stats_table,
                                struct bd_chunk service, uint64_t tokens,
                                int64_t now_ms)
{
  struct service *stats = find_or_add_service (stats_table, service);

  if (!stats)
    return;
  if (stats->first_ms == 0)
    stats->first_ms = now_ms;
  if (tokens <= BD_SHORT_PROMPT_TOKENS)
    stats->last_short_ms = now_ms;
  else
    stats->last_long_ms = now_ms;
}

bool
bd_service_stats_separated (const struct bd_service_stats *stats_table,
                            struct bd_chunk service, uint64_t tokens,
                            int64_t now_ms)
{
  const struct service *stats = find_service (stats_table, service);
  int64_t since = now_ms - SEPARATE_LENGTHS_MS;

  if (tokens <= BD_SHORT_PROMPT_TOKENS)
    return stats && stats->last_long_ms > since && stats->last_long_ms != 0;
  return !stats || stats->first_ms > since || stats->last_short_ms > since;
}
