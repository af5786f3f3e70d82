#include "dispatch/fleet.h"
#include "common/map.h"
#include "common/string.h"
#include "configuration/home_runner.h"

#include <stdlib.h>
#include <xxhash.h>

/* A connected runner that sends nothing for the longer of this time and this
   many rounds of heartbeats counts as down. */
#define RUNNER_SILENCE_MS 15000
#define RUNNER_SILENCE_ROUNDS 3
/* Idle time after which a connection outside the subset is closed. */
#define OUTSIDE_SUBSET_IDLE_MS 60000

struct bd_fleet
{
  struct bd_dispatch_settings settings;
  struct bd_dispatch_callbacks *callbacks;
  struct bd_map *by_name; /* Runners by hash of the instance name. */
  struct bd_fleet_runner **runners;
  size_t runner_count;
  struct bd_fleet_runner **connected; /* Connected runners. */
  size_t connected_count;
  size_t connected_capacity;
  struct bd_fleet_pool **pools;
  size_t pool_count;
};

static struct bd_id
name_id (struct bd_chunk name)
{
  XXH128_hash_t hash
      = XXH3_128bits (name.length > 0 ? name.data : "", name.length);

  return (struct bd_id){ hash.high64, hash.low64 };
}

struct bd_fleet *
bd_fleet_create (const struct bd_dispatch_settings *settings,
                 struct bd_dispatch_callbacks *callbacks)
{
  struct bd_fleet *fleet = calloc (1, sizeof *fleet);

  if (!fleet)
    return NULL;
  fleet->settings = *settings;
  fleet->callbacks = callbacks;
  fleet->by_name = bd_map_create ();
  if (fleet->by_name)
    return fleet;
  free (fleet);
  return NULL;
}

static void
free_runner (struct bd_fleet_runner *runner)
{
  free (runner->instance);
  free (runner->address);
  free (runner->zone);
  free (runner);
}

static void
free_pool (struct bd_fleet_pool *pool)
{
  bd_placement_destroy (pool->placement);
  free (pool->name);
  free (pool->runners);
  free (pool->subset);
  free (pool);
}

void
bd_fleet_destroy (struct bd_fleet *fleet)
{
  if (!fleet)
    return;
  for (size_t i = 0; i < fleet->runner_count; i++)
    free_runner (fleet->runners[i]);
  for (size_t i = 0; i < fleet->pool_count; i++)
    free_pool (fleet->pools[i]);
  free (fleet->runners);
  free (fleet->connected);
  free (fleet->pools);
  bd_map_destroy (fleet->by_name);
  free (fleet);
}

struct bd_fleet_pool *
bd_fleet_pool (const struct bd_fleet *fleet, struct bd_chunk name)
{
  for (size_t i = 0; i < fleet->pool_count; i++)
    if (fleet->pools[i]->published
        && bd_chunk_equal (bd_chunk_of (fleet->pools[i]->name), name))
      return fleet->pools[i];
  return NULL;
}

struct bd_fleet_runner *
bd_fleet_runner (const struct bd_fleet *fleet, struct bd_chunk instance)
{
  return bd_map_get (fleet->by_name, name_id (instance), 0);
}

static bool
add_connected (struct bd_fleet *fleet, struct bd_fleet_runner *runner)
{
  size_t capacity = fleet->connected_capacity * 2 + 16;
  struct bd_fleet_runner **grown;

  if (fleet->connected_count == fleet->connected_capacity)
    {
      grown = realloc (fleet->connected,
                       capacity * sizeof (struct bd_fleet_runner *));
      if (!grown)
        return false;
      fleet->connected = grown;
      fleet->connected_capacity = capacity;
    }
  runner->connected_index = fleet->connected_count;
  fleet->connected[fleet->connected_count++] = runner;
  return true;
}

static void
remove_connected (struct bd_fleet *fleet, const struct bd_fleet_runner *runner)
{
  struct bd_fleet_runner *last = fleet->connected[--fleet->connected_count];

  fleet->connected[runner->connected_index] = last;
  last->connected_index = runner->connected_index;
}

/* Returns false without memory. */
static bool
connect_runner (struct bd_fleet *fleet, struct bd_fleet_runner *runner)
{
  if (runner->connected)
    return true;
  if (!add_connected (fleet, runner))
    return false;
  runner->connected = true;
  fleet->callbacks->connect (fleet->callbacks, bd_chunk_of (runner->instance),
                             bd_chunk_of (runner->address));
  return true;
}

static void
disconnect_runner (struct bd_fleet *fleet, struct bd_fleet_runner *runner)
{
  if (!runner->connected)
    return;
  runner->connected = false;
  remove_connected (fleet, runner);
  fleet->callbacks->disconnect (fleet->callbacks,
                                bd_chunk_of (runner->instance));
}

void
bd_fleet_connect (struct bd_fleet *fleet, int64_t now_ms,
                  struct bd_fleet_runner *runner)
{
  runner->last_used_ms = now_ms;
  connect_runner (fleet, runner);
}

/* Sets the address of a known RUNNER, which keeps its state unless it has
   changed.  Returns false without memory. */
static bool
update_address (struct bd_fleet *fleet, struct bd_fleet_runner *runner,
                struct bd_chunk address)
{
  char *copy;

  if (bd_chunk_equal (bd_chunk_of (runner->address), address))
    return true;
  copy = bd_chunk_copy (address);
  if (!copy)
    return false;
  disconnect_runner (fleet, runner);
  free (runner->address);
  runner->address = copy;
  runner->state = BD_RUNNER_UNKNOWN;
  return true;
}

/* Returns the runner of a published entry, and adds it if it is new; NULL
   without memory. */
static struct bd_fleet_runner *
find_or_add_runner (struct bd_fleet *fleet,
                    const struct bd_instance_record *entry)
{
  struct bd_fleet_runner *runner = bd_fleet_runner (fleet, entry->instance);
  struct bd_fleet_runner **grown;

  if (runner)
    return update_address (fleet, runner, entry->address) ? runner : NULL;
  runner = calloc (1, sizeof *runner);
  grown = realloc (fleet->runners, (fleet->runner_count + 1)
                                       * sizeof (struct bd_fleet_runner *));
  if (grown)
    fleet->runners = grown;
  if (!runner || !grown)
    {
      free (runner);
      return NULL;
    }
  runner->instance = bd_chunk_copy (entry->instance);
  runner->address = bd_chunk_copy (entry->address);
  runner->zone = bd_chunk_copy (entry->zone);
  if (!runner->instance || !runner->address || !runner->zone
      || bd_map_put (fleet->by_name, name_id (entry->instance), 0, runner)
             != BD_OK)
    {
      free_runner (runner);
      return NULL;
    }
  fleet->runners[fleet->runner_count++] = runner;
  return runner;
}

static struct bd_fleet_pool *
find_or_add_pool (struct bd_fleet *fleet, const struct bd_pool *published)
{
  struct bd_placement_settings settings
      = { .zone = fleet->settings.zone,
          .instance = fleet->settings.instance,
          .subset_size = fleet->settings.subset_size,
          .seed = fleet->settings.seed };
  struct bd_fleet_pool *pool;
  struct bd_fleet_pool **grown;

  for (size_t i = 0; i < fleet->pool_count; i++)
    if (bd_chunk_equal (bd_chunk_of (fleet->pools[i]->name), published->name))
      return fleet->pools[i];
  pool = calloc (1, sizeof *pool);
  grown = realloc (fleet->pools,
                   (fleet->pool_count + 1) * sizeof (struct bd_fleet_pool *));
  if (grown)
    fleet->pools = grown;
  if (!pool || !grown)
    {
      free (pool);
      return NULL;
    }
  pool->name = bd_chunk_copy (published->name);
  pool->placement = bd_placement_create (&settings, fleet->settings.policy);
  if (!pool->name || !pool->placement)
    {
      free_pool (pool);
      return NULL;
    }
  fleet->pools[fleet->pool_count++] = pool;
  return pool;
}

/* Connects to the runners of the subset and sets their state in the
   placement. */
static int
update_subset (struct bd_fleet *fleet, struct bd_fleet_pool *pool)
{
  size_t count = bd_placement_count (pool->placement);
  struct bd_fleet_runner **subset
      = calloc (count > 0 ? count : 1, sizeof (struct bd_fleet_runner *));
  int error = BD_OK;

  if (!subset)
    return BD_ERR_NOMEM;
  for (size_t i = 0; i < pool->runner_count; i++)
    pool->runners[i]->in_subset = false;
  for (uint32_t i = 0; i < count; i++)
    {
      subset[i] = bd_fleet_runner (fleet,
                                   bd_placement_instance (pool->placement, i));
      subset[i]->in_subset = true;
      bd_placement_set_state (pool->placement, i, subset[i]->state);
      if (!connect_runner (fleet, subset[i]))
        error = BD_ERR_NOMEM;
    }
  free (pool->subset);
  pool->subset = subset;
  pool->subset_count = count;
  return error;
}

static int
configure_pool (struct bd_fleet *fleet, const struct bd_pool *published)
{
  struct bd_fleet_pool *pool = find_or_add_pool (fleet, published);
  size_t count = published->runner_count;
  struct bd_placement_runner *candidates
      = calloc (count > 0 ? count : 1, sizeof *candidates);
  struct bd_fleet_runner **runners
      = calloc (count > 0 ? count : 1, sizeof (struct bd_fleet_runner *));
  int rc = BD_ERR_NOMEM;
  size_t taken = 0;
  bool incomplete = false;

  if (pool && candidates && runners)
    {
      pool->published = true;
      pool->kind = published->kind;
      for (size_t i = 0; i < count; i++)
        {
          struct bd_fleet_runner *runner
              = find_or_add_runner (fleet, &published->runners[i]);

          if (!runner)
            {
              incomplete = true;
              continue;
            }
          runner->published = true;
          runner->pool = pool;
          candidates[taken].instance = bd_chunk_of (runner->instance);
          candidates[taken].zone = bd_chunk_of (runner->zone);
          runners[taken++] = runner;
        }
      free (pool->runners);
      pool->runners = runners;
      pool->runner_count = taken;
      runners = NULL;
      rc = bd_placement_set_runners (pool->placement, candidates, taken);
    }
  if (rc == BD_OK)
    rc = update_subset (fleet, pool);
  if (incomplete)
    rc = BD_ERR_NOMEM;
  free (runners);
  free (candidates);
  return rc;
}

/* Removes unpublished runners.  Those that jobs still refer to stay, but get
   no new work. */
static void
remove_unpublished (struct bd_fleet *fleet)
{
  size_t left = 0;

  for (size_t i = 0; i < fleet->runner_count; i++)
    {
      struct bd_fleet_runner *runner = fleet->runners[i];

      if (runner->published || runner->job_count > 0)
        {
          fleet->runners[left++] = runner;
          continue;
        }
      disconnect_runner (fleet, runner);
      bd_map_remove (fleet->by_name, name_id (bd_chunk_of (runner->instance)),
                     0);
      free_runner (runner);
    }
  fleet->runner_count = left;
}

int
bd_fleet_configure (struct bd_fleet *fleet,
                    const struct bd_config_snapshot *snapshot)
{
  int rc = BD_OK;
  int error;

  for (size_t i = 0; i < fleet->runner_count; i++)
    fleet->runners[i]->published = false;
  for (size_t i = 0; i < fleet->pool_count; i++)
    fleet->pools[i]->published = false;
  for (size_t i = 0; i < snapshot->pool_count && rc == BD_OK; i++)
    rc = configure_pool (fleet, snapshot->pools[i]);
  for (size_t i = 0; i < fleet->pool_count; i++)
    if (!fleet->pools[i]->published)
      {
        fleet->pools[i]->runner_count = 0;
        error = bd_placement_set_runners (fleet->pools[i]->placement, NULL, 0);
        if (rc == BD_OK)
          rc = error;
        fleet->pools[i]->subset_count = 0;
      }
  if (rc == BD_OK)
    remove_unpublished (fleet);
  return rc;
}

struct bd_fleet_runner *
bd_fleet_home_runner (const struct bd_fleet_pool *pool, struct bd_id key)
{
  struct bd_fleet_runner *home = NULL;
  uint64_t best = 0;

  for (size_t i = 0; i < pool->runner_count; i++)
    {
      uint64_t score = bd_home_runner_score (
          key, bd_chunk_of (pool->runners[i]->instance));

      if (!home || score > best)
        {
          home = pool->runners[i];
          best = score;
        }
    }
  return home;
}

void
bd_fleet_set_state (struct bd_fleet_runner *runner, enum bd_runner_state state)
{
  struct bd_placement *placement = runner->pool->placement;
  int index = bd_placement_find (placement, bd_chunk_of (runner->instance));

  runner->state = state;
  if (index >= 0)
    bd_placement_set_state (placement, (uint32_t)index, state);
}

static void
update_load (struct bd_fleet_runner *runner, int64_t now_ms,
             const struct bd_message *m)
{
  struct bd_placement *placement = runner->pool->placement;
  int index = bd_placement_find (placement, bd_chunk_of (runner->instance));

  runner->load = (struct bd_load_report){ .queued = m->queued,
                                          .queued_above = m->queued_above,
                                          .running = m->running,
                                          .slots = m->slots,
                                          .token_time_us = m->token_time_us,
                                          .measured_ms = now_ms };
  if (index >= 0)
    bd_placement_report (placement, (uint32_t)index, &runner->load);
}

bool
bd_fleet_update (struct bd_fleet *fleet, int64_t now_ms,
                 struct bd_fleet_runner *runner,
                 const struct bd_message *message)
{
  enum bd_runner_state state = BD_RUNNER_LIVE;

  (void)fleet;
  if (message->incarnation < runner->incarnation)
    return false;
  if (message->incarnation > runner->incarnation && runner->incarnation != 0)
    runner->reported_leaving = false;
  runner->incarnation = message->incarnation;
  runner->last_message_ms = now_ms;
  if (message->sent_ms != 0)
    runner->peer_clock_ms = message->sent_ms;
  /* Only messages that carry the load carry the state. */
  if (message->slots == 0)
    return true;
  if (message->flags & BD_FLAG_LEAVING || runner->reported_leaving)
    state = BD_RUNNER_LEAVING;
  else if (message->flags & BD_FLAG_ENGINE_DOWN)
    state = BD_RUNNER_DOWN;
  if (state != runner->state)
    bd_fleet_set_state (runner, state);
  update_load (runner, now_ms, message);
  return true;
}

/* Time without a message after which a runner counts as down.  The heartbeat
   rate is bounded, so that a round takes longer with more runners. */
static int64_t
silence_limit_ms (const struct bd_fleet *fleet)
{
  int64_t rounds_ms = (int64_t)fleet->connected_count * 1000
                      * RUNNER_SILENCE_ROUNDS / BD_FLEET_HEARTBEATS_PER_S;

  return rounds_ms > RUNNER_SILENCE_MS ? rounds_ms : RUNNER_SILENCE_MS;
}

void
bd_fleet_tick (struct bd_fleet *fleet, int64_t now_ms,
               void (*on_down) (void *context, struct bd_fleet_runner *runner),
               void *context)
{
  int64_t silent_ms = silence_limit_ms (fleet);
  size_t unpublished = 0;

  for (size_t i = 0; i < fleet->runner_count; i++)
    {
      struct bd_fleet_runner *runner = fleet->runners[i];

      unpublished += !runner->published;
      if (!runner->connected)
        continue;
      if (runner->state == BD_RUNNER_LIVE
          && now_ms - runner->last_message_ms > silent_ms)
        {
          bd_fleet_set_state (runner, BD_RUNNER_DOWN);
          on_down (context, runner);
        }
      if (!runner->in_subset
          && now_ms - runner->last_used_ms > OUTSIDE_SUBSET_IDLE_MS)
        disconnect_runner (fleet, runner);
    }
  if (unpublished > 0)
    remove_unpublished (fleet);
}

size_t
bd_fleet_connected_count (const struct bd_fleet *fleet)
{
  return fleet->connected_count;
}

struct bd_fleet_runner *
bd_fleet_connected (const struct bd_fleet *fleet, size_t index)
{
  return fleet->connected[index];
}
