#include "gateway/inventory.h"

#include "balance/pause.h"
#include "balance/runner_limit.h"
#include "common/clock.h"
#include "common/log.h"

#include <stdlib.h>
#include <string.h>

/* Most calls at a time, and most runners in the queue. */
#define CALLS_MAX 16
#define QUEUE_MAX 512
#define CALL_TIMEOUT_MS 1000
#define CONNECT_TIMEOUT_MS 300
#define IDLE_MAX_MS 5000
#define RESPONSE_MAX_BYTES ((size_t)1024 * 1024)
/* Services whose last query is remembered, and for how long its result counts
   as what runners hold. */
#define SERVICES_MAX 8
#define VALID_MS 5000

/* Call to a runner. */
struct runner_call
{
  struct bd_inventory *inventory;
  struct bd_call *http_call; /* NULL: entry is free. */
  uint64_t target;           /* Hash of the runner. */
  uint64_t software;         /* Version of the runner when it was asked. */
  int64_t started_ms;
  int status;
  size_t prefix_count;
  struct bd_buffer body;
};

/* Last query for the runners of a service. */
struct service_query
{
  uint64_t service; /* Hash of its name. */
  int64_t started_ms;
};

struct bd_inventory
{
  struct bd_inventory_options options;
  struct runner_call calls[CALLS_MAX];
  uint64_t queue[QUEUE_MAX]; /* Hashes of the runners to call. */
  size_t queue_count;
  struct service_query queries[SERVICES_MAX];
};

struct bd_inventory *
bd_inventory_create (const struct bd_inventory_options *options)
{
  struct bd_inventory *inventory = calloc (1, sizeof *inventory);

  if (!inventory)
    return NULL;
  inventory->options = *options;
  for (size_t i = 0; i < CALLS_MAX; i++)
    inventory->calls[i].inventory = inventory;
  return inventory;
}

void
bd_inventory_destroy (struct bd_inventory *inventory)
{
  if (!inventory)
    return;
  for (size_t i = 0; i < CALLS_MAX; i++)
    {
      if (inventory->calls[i].http_call)
        bd_call_cancel (inventory->calls[i].http_call);
      bd_buffer_clear (&inventory->calls[i].body);
    }
  free (inventory);
}

static struct bd_target *
find_target (const struct bd_inventory *inventory, uint64_t hash)
{
  struct bd_target *target
      = bd_targets_by_hash (inventory->options.targets, (uint32_t)hash);

  return target && target->hash == hash ? target : NULL;
}

/* Responses. */

static void
on_head (void *context, const struct bd_head *head)
{
  struct runner_call *call = context;

  call->status = head->status;
}

static void
on_prefix (void *context, uint64_t prefix, uint64_t tokens)
{
  struct runner_call *call = context;
  struct bd_prefix_map *prefixes = call->inventory->options.prefixes;
  struct bd_stream_holder holder
      = { call->software, (uint32_t)call->target, call->started_ms };

  bd_stream_origins_record_holder (call->inventory->options.origins, prefix,
                                   &holder);
  if (tokens < BD_PREFIX_MAP_TOKENS_MIN)
    return;
  call->prefix_count++;
  bd_prefix_map_record_sent (prefixes, prefix, call->target,
                             bd_clock_boot_ms ());
  bd_prefix_map_record_cached (prefixes, prefix, call->target);
}

static void start_next (struct runner_call *call, int64_t now_ms);

static void
end_call (struct runner_call *call, const char *result)
{
  const struct bd_target *target = find_target (call->inventory, call->target);

  bd_log (BD_EVENT_PARTS_LISTED, "runner=%s result=%s parts=%zu ms=%lld",
          target ? target->id.data : "-", result, call->prefix_count,
          (long long)(bd_clock_boot_ms () - call->started_ms));
  call->http_call = NULL;
  bd_buffer_clear (&call->body);
  start_next (call, bd_clock_boot_ms ());
}

static void
on_body (void *context, struct bd_chunk data)
{
  struct runner_call *call = context;
  int error = BD_ERR_TOO_LARGE;

  if (call->body.length + data.length <= RESPONSE_MAX_BYTES)
    error = bd_buffer_append (&call->body, data);
  if (error == BD_OK)
    return;
  bd_call_cancel (call->http_call);
  end_call (call, bd_error_answer (error)->code);
}

static void
on_end (void *context)
{
  struct runner_call *call = context;
  const struct bd_dialect *dialect = call->inventory->options.dialect;
  struct bd_target *target = find_target (call->inventory, call->target);
  int error = BD_ERR_ENGINE;

  if (!target || target->software.hash != call->software)
    call->software = BD_SOFTWARE_UNCERTAIN;
  if (call->status == 200)
    error = dialect->read_prefixes (bd_buffer_chunk (&call->body), on_prefix,
                                    call);
  if (error == BD_OK && call->software != BD_SOFTWARE_UNCERTAIN
      && call->started_ms >= target->first_seen_ms)
    target->parts_asked_ms = call->started_ms;
  end_call (call, error == BD_OK ? "ok" : bd_error_answer (error)->code);
}

static void
on_fail (void *context, const struct bd_call_failure *failure)
{
  end_call (context, bd_error_answer (failure->error)->code);
}

static const struct bd_call_handler call_handler = {
  .on_head = on_head, .on_body = on_body, .on_end = on_end, .on_fail = on_fail
};

/* Calls. */

static void
start_call (struct runner_call *call, const struct bd_target *target,
            int64_t now_ms)
{
  struct bd_inventory *inventory = call->inventory;
  struct bd_call_request request
      = { .head = inventory->options.dialect->prefixes_request,
          .connect_timeout_ms = CONNECT_TIMEOUT_MS,
          .idle_max_ms = IDLE_MAX_MS };

  request.address.sin_family = AF_INET;
  request.address.sin_addr.s_addr = target->ip;
  request.address.sin_port = target->port;
  call->target = target->hash;
  call->software = target->software.hash;
  call->started_ms = now_ms;
  call->status = 0;
  call->prefix_count = 0;
  call->http_call = bd_client_call (inventory->options.client, &request,
                                    &call_handler, call);
}

/* Whether TARGET may be asked.  What a draining runner holds may show which
   version began a stream. */
static bool
may_ask (const struct bd_target *target, int64_t now_ms)
{
  return !target->evacuated && target->state != BD_TARGET_GONE
         && bd_pause_allows (target, now_ms)
         && bd_runner_limit_rate (target, now_ms) == 0;
}

/* Starts the next call in the queue, in the place of CALL, which has ended. */
static void
start_next (struct runner_call *call, int64_t now_ms)
{
  struct bd_inventory *inventory = call->inventory;

  while (!call->http_call && inventory->queue_count > 0)
    {
      const struct bd_target *target = find_target (
          inventory, inventory->queue[--inventory->queue_count]);

      if (target && may_ask (target, now_ms))
        start_call (call, target, now_ms);
    }
}

/* Returns the last query for SERVICE, or the oldest one, to be replaced. */
static struct service_query *
find_query (struct bd_inventory *inventory, uint64_t service)
{
  struct service_query *oldest = &inventory->queries[0];

  for (size_t i = 0; i < SERVICES_MAX; i++)
    {
      struct service_query *query = &inventory->queries[i];

      if (query->service == service)
        return query;
      if (query->started_ms < oldest->started_ms)
        oldest = query;
    }
  return oldest;
}

void
bd_inventory_query (struct bd_inventory *inventory, struct bd_chunk service,
                    int64_t now_ms)
{
  uint64_t key = bd_chunk_hash (service);
  size_t count;
  struct bd_target *const *all
      = bd_targets_of_service (inventory->options.targets, service, &count);

  if (inventory->options.dialect->prefixes_request.length == 0)
    return;
  for (size_t i = 0; i < count && inventory->queue_count < QUEUE_MAX; i++)
    if (may_ask (all[i], now_ms))
      inventory->queue[inventory->queue_count++] = all[i]->hash;
  /* The list of runners may not have been read yet. */
  if (inventory->queue_count == 0)
    return;
  *find_query (inventory, key) = (struct service_query){ key, now_ms };
  bd_inventory_tick (inventory, now_ms);
}

bool
bd_inventory_has_told (const struct bd_target *target, int64_t now_ms)
{
  return target->parts_asked_ms != 0
         && now_ms - target->parts_asked_ms < VALID_MS;
}

enum bd_inventory_state
bd_inventory_state (const struct bd_inventory *inventory,
                    struct bd_chunk service, int64_t now_ms)
{
  uint64_t key = bd_chunk_hash (service);
  const struct service_query *query
      = find_query ((struct bd_inventory *)inventory, key);

  if (query->service != key || now_ms - query->started_ms >= VALID_MS)
    return BD_INVENTORY_OLD;
  for (size_t i = 0; i < CALLS_MAX; i++)
    if (inventory->calls[i].http_call)
      return BD_INVENTORY_ASKED;
  return inventory->queue_count > 0 ? BD_INVENTORY_ASKED : BD_INVENTORY_KNOWN;
}

void
bd_inventory_tick (struct bd_inventory *inventory, int64_t now_ms)
{
  for (size_t i = 0; i < CALLS_MAX; i++)
    {
      struct runner_call *call = &inventory->calls[i];

      if (call->http_call && now_ms - call->started_ms > CALL_TIMEOUT_MS)
        {
          bd_call_cancel (call->http_call);
          end_call (call, "timeout");
        }
      start_next (call, now_ms);
    }
}
