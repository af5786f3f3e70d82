#include "engine.h"

#include <stdlib.h>
#include <string.h>

#define PREFIXES_MAX 512
#define TOKENS_PER_K 1000.0
#define PAIRS_PER_M 1e6

struct cached_prefix
{
  uint64_t id;
  uint32_t tokens;
  uint64_t last_step; /* Step of the last use. */
};

struct engine
{
  const struct engine_traits *traits;
  double speed;
  engine_on_token on_token;
  void *context;
  struct engine_request **requests; /* By priority, then by arrival. */
  size_t count;
  size_t capacity;
  size_t running;
  uint64_t arrivals;
  struct cached_prefix prefixes[PREFIXES_MAX];
  size_t prefix_count;
  uint64_t steps;
  uint64_t prefill_tokens;
  uint64_t repeated_prefill_tokens;
  bool stepping;
  double ends_ms;
};

struct engine *
engine_create (const struct engine_traits *traits, double speed,
               engine_on_token on_token, void *context)
{
  struct engine *engine = calloc (1, sizeof *engine);

  if (!engine)
    abort ();
  engine->traits = traits;
  engine->speed = speed;
  engine->on_token = on_token;
  engine->context = context;
  return engine;
}

void
engine_destroy (struct engine *engine)
{
  free (engine->requests);
  free (engine);
}

bool
engine_submit (struct engine *engine, double now_ms,
               struct engine_request *request)
{
  size_t at = engine->count;

  if (engine->count >= engine->traits->slots + engine->traits->queue)
    return false;
  if (engine->count == engine->capacity)
    {
      engine->capacity = engine->capacity ? engine->capacity * 2 : 64;
      engine->requests
          = realloc (engine->requests,
                     engine->capacity * sizeof (struct engine_request *));
      if (!engine->requests)
        abort ();
    }
  request->arrival = ++engine->arrivals;
  request->ready_ms = now_ms + engine->traits->setup_ms / engine->speed;
  request->shared_left = request->prefix ? request->shared_tokens : 0;
  request->own_left = request->own_tokens;
  request->output_made = 0;
  request->running = false;
  request->prefill_started = false;
  for (; at > 0 && engine->requests[at - 1]->priority > request->priority;
       at--)
    engine->requests[at] = engine->requests[at - 1];
  engine->requests[at] = request;
  engine->count++;
  return true;
}

static void
remove_request (struct engine *engine, size_t at)
{
  engine->running -= engine->requests[at]->running;
  engine->count--;
  memmove (&engine->requests[at], &engine->requests[at + 1],
           (engine->count - at) * sizeof (struct engine_request *));
}

void
engine_cancel (struct engine *engine, struct engine_request *request)
{
  for (size_t i = 0; i < engine->count; i++)
    if (engine->requests[i] == request)
      {
        remove_request (engine, i);
        return;
      }
}

void
engine_restart (struct engine *engine)
{
  engine->prefix_count = 0;
  engine->stepping = false;
}

void
engine_set_speed (struct engine *engine, double speed)
{
  engine->speed = speed;
}

bool
engine_busy (const struct engine *engine, double *ends_ms)
{
  *ends_ms = engine->ends_ms;
  return engine->stepping;
}

struct engine_request *
engine_any_request (const struct engine *engine)
{
  return engine->count > 0 ? engine->requests[0] : NULL;
}

uint64_t
engine_prefill_tokens (const struct engine *engine)
{
  return engine->prefill_tokens;
}

uint64_t
engine_repeated_prefill_tokens (const struct engine *engine)
{
  return engine->repeated_prefill_tokens;
}

/* Prefix cache. */

static struct cached_prefix *
find_prefix (struct engine *engine, uint64_t id)
{
  for (size_t i = 0; i < engine->prefix_count; i++)
    if (engine->prefixes[i].id == id)
      return &engine->prefixes[i];
  return NULL;
}

static bool
prefix_in_use (const struct engine *engine, uint64_t id)
{
  for (size_t i = 0; i < engine->count; i++)
    if (engine->requests[i]->running && engine->requests[i]->prefix == id)
      return true;
  return false;
}

static uint64_t
memory_used (const struct engine *engine)
{
  uint64_t used = 0;

  for (size_t i = 0; i < engine->prefix_count; i++)
    used += engine->prefixes[i].tokens;
  for (size_t i = 0; i < engine->count; i++)
    {
      const struct engine_request *r = engine->requests[i];

      if (r->running)
        used += r->own_tokens + r->output_made
                + (r->shared_left > 0 ? r->shared_tokens : 0);
    }
  return used;
}

/* Evicts prefixes, the least recently used first, until NEED tokens fit.
   Returns false when the remaining ones are in use. */
static bool
evict_prefixes (struct engine *engine, uint64_t need)
{
  uint64_t used = memory_used (engine);

  while (used + need > engine->traits->memory_tokens)
    {
      struct cached_prefix *oldest = NULL;

      for (size_t i = 0; i < engine->prefix_count; i++)
        if (!prefix_in_use (engine, engine->prefixes[i].id)
            && (!oldest || engine->prefixes[i].last_step < oldest->last_step))
          oldest = &engine->prefixes[i];
      if (!oldest)
        return false;
      used -= oldest->tokens;
      *oldest = engine->prefixes[--engine->prefix_count];
    }
  return true;
}

bool
engine_has_prefix (const struct engine *engine, uint64_t prefix)
{
  return find_prefix ((struct engine *)engine, prefix) != NULL;
}

void
engine_add_prefix (struct engine *engine, uint64_t prefix, uint32_t tokens)
{
  if (find_prefix (engine, prefix) || !evict_prefixes (engine, tokens))
    return;
  if (engine->prefix_count == PREFIXES_MAX)
    engine->prefix_count--;
  engine->prefixes[engine->prefix_count++]
      = (struct cached_prefix){ prefix, tokens, engine->steps };
}

/* Steps. */

/* Moves ready requests to free slots, as far as memory allows. */
static void
start_waiting_requests (struct engine *engine, double now_ms)
{
  for (size_t i = 0;
       i < engine->count && engine->running < engine->traits->slots; i++)
    {
      struct engine_request *r = engine->requests[i];

      if (r->running || r->ready_ms > now_ms)
        continue;
      if (!evict_prefixes (engine, r->own_tokens + r->shared_left))
        return;
      r->running = true;
      engine->running++;
    }
}

/* Processes up to BUDGET prompt tokens of R and adds the time to *MS.  Returns
   the number of tokens processed. */
static uint32_t
prefill_request (struct engine *engine, struct engine_request *r,
                 uint32_t budget, double *ms)
{
  struct cached_prefix *prefix
      = r->prefix ? find_prefix (engine, r->prefix) : NULL;
  uint32_t left;
  uint32_t n;
  double context;

  if (prefix)
    {
      prefix->last_step = engine->steps;
      r->shared_left = 0;
    }
  left = r->shared_left + r->own_left;
  n = left < budget ? left : budget;
  context = r->shared_tokens + r->own_tokens - left + n / 2.0;
  *ms += n / engine->traits->tokens_per_ms
         + n * context / PAIRS_PER_M * engine->traits->pair_ms;
  engine->prefill_tokens += n;
  r->prefill_started = true;
  if (n < r->shared_left)
    r->shared_left -= n;
  else
    {
      r->own_left -= n - r->shared_left;
      if (r->shared_left > 0)
        engine_add_prefix (engine, r->prefix, r->shared_tokens);
      r->shared_left = 0;
    }
  return n;
}

void
engine_start_step (struct engine *engine, double now_ms)
{
  const struct engine_traits *traits = engine->traits;
  uint32_t budget = traits->chunk_tokens;
  double ms = traits->step_ms;
  double context = 0.0;

  if (engine->stepping)
    return;
  engine->steps++;
  start_waiting_requests (engine, now_ms);
  if (engine->running == 0)
    return;
  for (size_t i = 0; i < engine->count; i++)
    {
      struct engine_request *r = engine->requests[i];

      if (!r->running)
        continue;
      ms += traits->slot_ms;
      context += r->shared_tokens + r->own_tokens + r->output_made;
      if (budget > 0 && r->shared_left + r->own_left > 0)
        budget -= prefill_request (engine, r, budget, &ms);
    }
  ms += context / TOKENS_PER_K * traits->context_ms;
  engine->stepping = true;
  engine->ends_ms = now_ms + ms / engine->speed;
}

void
engine_end_step (struct engine *engine, double now_ms)
{
  size_t i = 0;

  (void)now_ms;
  engine->stepping = false;
  while (i < engine->count)
    {
      struct engine_request *r = engine->requests[i];
      bool done;

      if (!r->running || r->shared_left + r->own_left > 0)
        {
          i++;
          continue;
        }
      r->output_made++;
      done = r->output_made >= r->output_tokens;
      if (done)
        remove_request (engine, i);
      else
        i++;
      engine->on_token (engine->context, r, r->output_made, done);
    }
}
