#include "engine.h"

#include <stdlib.h>
#include <string.h>

#define PARTS_MAX 512
#define TOKENS_PER_K 1000.0
#define PAIRS_PER_M 1e6

struct part
{
  uint64_t id;
  uint32_t tokens;
  uint64_t used; /* Number of the step. */
};

struct engine
{
  const struct engine_traits *traits;
  double speed;
  engine_on_token on_token;
  void *context;
  struct engine_request **requests; /* By urgency, then by arrival. */
  size_t count;
  size_t capacity;
  size_t running;
  uint64_t orders;
  struct part parts[PARTS_MAX];
  size_t part_count;
  uint64_t steps;
  uint64_t read;
  uint64_t reread;
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
  request->order = ++engine->orders;
  request->ready_ms = now_ms + engine->traits->setup_ms / engine->speed;
  request->shared_left = request->part ? request->shared_tokens : 0;
  request->own_left = request->own_tokens;
  request->made = 0;
  request->running = false;
  request->begun = false;
  for (; at > 0 && engine->requests[at - 1]->priority > request->priority;
       at--)
    engine->requests[at] = engine->requests[at - 1];
  engine->requests[at] = request;
  engine->count++;
  return true;
}

static void
take_out (struct engine *engine, size_t at)
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
        take_out (engine, i);
        return;
      }
}

void
engine_restart (struct engine *engine)
{
  engine->part_count = 0;
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
engine_any (const struct engine *engine)
{
  return engine->count > 0 ? engine->requests[0] : NULL;
}

uint64_t
engine_read_tokens (const struct engine *engine)
{
  return engine->read;
}

uint64_t
engine_reread_tokens (const struct engine *engine)
{
  return engine->reread;
}

/* Parts. */

static struct part *
find_part (struct engine *engine, uint64_t id)
{
  for (size_t i = 0; i < engine->part_count; i++)
    if (engine->parts[i].id == id)
      return &engine->parts[i];
  return NULL;
}

static bool
part_in_use (const struct engine *engine, uint64_t id)
{
  for (size_t i = 0; i < engine->count; i++)
    if (engine->requests[i]->running && engine->requests[i]->part == id)
      return true;
  return false;
}

static uint64_t
memory_used (const struct engine *engine)
{
  uint64_t used = 0;

  for (size_t i = 0; i < engine->part_count; i++)
    used += engine->parts[i].tokens;
  for (size_t i = 0; i < engine->count; i++)
    {
      const struct engine_request *r = engine->requests[i];

      if (r->running)
        used += r->own_tokens + r->made
                + (r->shared_left > 0 ? r->shared_tokens : 0);
    }
  return used;
}

/* Lets parts go, the least recently used first, until NEED tokens fit. */
static bool
make_room (struct engine *engine, uint64_t need)
{
  uint64_t used = memory_used (engine);

  while (used + need > engine->traits->memory_tokens)
    {
      struct part *oldest = NULL;

      for (size_t i = 0; i < engine->part_count; i++)
        if (!part_in_use (engine, engine->parts[i].id)
            && (!oldest || engine->parts[i].used < oldest->used))
          oldest = &engine->parts[i];
      if (!oldest)
        return false;
      used -= oldest->tokens;
      *oldest = engine->parts[--engine->part_count];
    }
  return true;
}

bool
engine_holds (const struct engine *engine, uint64_t part)
{
  return find_part ((struct engine *)engine, part) != NULL;
}

void
engine_take (struct engine *engine, uint64_t part, uint32_t tokens)
{
  if (find_part (engine, part) || !make_room (engine, tokens))
    return;
  if (engine->part_count == PARTS_MAX)
    engine->part_count--;
  engine->parts[engine->part_count++]
      = (struct part){ part, tokens, engine->steps };
}

/* Steps. */

static void
admit (struct engine *engine, double now_ms)
{
  for (size_t i = 0;
       i < engine->count && engine->running < engine->traits->slots; i++)
    {
      struct engine_request *r = engine->requests[i];

      if (r->running || r->ready_ms > now_ms)
        continue;
      if (!make_room (engine, r->own_tokens + r->shared_left))
        return;
      r->running = true;
      engine->running++;
    }
}

/* Reads up to BUDGET tokens of the prompt of R; adds the time to *MS. */
static uint32_t
read_prompt (struct engine *engine, struct engine_request *r, uint32_t budget,
             double *ms)
{
  struct part *part = r->part ? find_part (engine, r->part) : NULL;
  uint32_t left;
  uint32_t n;
  double context;

  if (part)
    {
      part->used = engine->steps;
      r->shared_left = 0;
    }
  left = r->shared_left + r->own_left;
  n = left < budget ? left : budget;
  context = r->shared_tokens + r->own_tokens - left + n / 2.0;
  *ms += n / engine->traits->tokens_per_ms
         + n * context / PAIRS_PER_M * engine->traits->pair_ms;
  engine->read += n;
  r->begun = true;
  if (n < r->shared_left)
    r->shared_left -= n;
  else
    {
      r->own_left -= n - r->shared_left;
      if (r->shared_left > 0)
        engine_take (engine, r->part, r->shared_tokens);
      r->shared_left = 0;
    }
  return n;
}

void
engine_begin (struct engine *engine, double now_ms)
{
  const struct engine_traits *traits = engine->traits;
  uint32_t budget = traits->chunk_tokens;
  double ms = traits->step_ms;
  double context = 0.0;

  if (engine->stepping)
    return;
  engine->steps++;
  admit (engine, now_ms);
  if (engine->running == 0)
    return;
  for (size_t i = 0; i < engine->count; i++)
    {
      struct engine_request *r = engine->requests[i];

      if (!r->running)
        continue;
      ms += traits->slot_ms;
      context += r->shared_tokens + r->own_tokens + r->made;
      if (budget > 0 && r->shared_left + r->own_left > 0)
        budget -= read_prompt (engine, r, budget, &ms);
    }
  ms += context / TOKENS_PER_K * traits->context_ms;
  engine->stepping = true;
  engine->ends_ms = now_ms + ms / engine->speed;
}

void
engine_end (struct engine *engine, double now_ms)
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
      r->made++;
      done = r->made >= r->output_tokens;
      if (done)
        take_out (engine, i);
      else
        i++;
      engine->on_token (engine->context, r, r->made, done);
    }
}
