#include "gateway/inventory.h"

#include "common/clock.h"
#include "common/log.h"

#include <stdlib.h>
#include <string.h>

/* Most calls at a time, and most runners in the queue. */
#define CALLS_MAX 16
#define WAITING_MAX 512
#define CALL_TIMEOUT_MS 1000
#define CONNECT_TIMEOUT_MS 300
#define IDLE_MAX_MS 5000
#define RESPONSE_MAX_BYTES ((size_t)1024 * 1024)

/* Call to a runner. */
struct inquiry
{
  struct bd_inventory *inventory;
  struct bd_call *call; /* NULL: entry is free. */
  uint64_t target;      /* Hash of the runner. */
  int64_t begun_ms;
  int status;
  size_t parts;
  struct bd_buffer answer;
};

struct bd_inventory
{
  struct bd_inventory_options options;
  struct inquiry inquiries[CALLS_MAX];
  uint64_t waiting[WAITING_MAX]; /* Hashes of the runners to call. */
  size_t waiting_count;
};

struct bd_inventory *
bd_inventory_create (const struct bd_inventory_options *options)
{
  struct bd_inventory *inventory = calloc (1, sizeof *inventory);

  if (!inventory)
    return NULL;
  inventory->options = *options;
  for (size_t i = 0; i < CALLS_MAX; i++)
    inventory->inquiries[i].inventory = inventory;
  return inventory;
}

void
bd_inventory_destroy (struct bd_inventory *inventory)
{
  if (!inventory)
    return;
  for (size_t i = 0; i < CALLS_MAX; i++)
    {
      if (inventory->inquiries[i].call)
        bd_call_cancel (inventory->inquiries[i].call);
      bd_buffer_clear (&inventory->inquiries[i].answer);
    }
  free (inventory);
}

static const struct bd_target *
find_target (const struct bd_inventory *inventory, uint64_t hash)
{
  const struct bd_target *target
      = bd_targets_by_hash (inventory->options.targets, (uint32_t)hash);

  return target && target->hash == hash ? target : NULL;
}

/* Responses. */

static void
on_head (void *context, const struct bd_head *head)
{
  struct inquiry *inquiry = context;

  inquiry->status = head->status;
}

static void
on_body (void *context, struct bd_chunk data)
{
  struct inquiry *inquiry = context;

  if (inquiry->answer.length + data.length <= RESPONSE_MAX_BYTES)
    bd_buffer_append (&inquiry->answer, data);
}

static void
on_part (void *context, uint64_t part, uint64_t tokens)
{
  struct inquiry *inquiry = context;
  struct bd_parts *parts = inquiry->inventory->options.parts;

  if (tokens < BD_PARTS_TOKENS_LEAST)
    return;
  inquiry->parts++;
  bd_parts_sent (parts, part, inquiry->target, bd_clock_boot_ms ());
  bd_parts_read (parts, part, inquiry->target);
}

static void
end_inquiry (struct inquiry *inquiry, const char *result)
{
  const struct bd_target *target
      = find_target (inquiry->inventory, inquiry->target);

  bd_log (BD_EVENT_PARTS_LISTED, "runner=%s result=%s parts=%zu ms=%lld",
          target ? target->id.data : "-", result, inquiry->parts,
          (long long)(bd_clock_boot_ms () - inquiry->begun_ms));
  inquiry->call = NULL;
  bd_buffer_clear (&inquiry->answer);
}

static void
on_end (void *context)
{
  struct inquiry *inquiry = context;
  const struct bd_dialect *dialect = inquiry->inventory->options.dialect;
  int error = BD_ERR_ENGINE;

  if (inquiry->status == 200)
    error = dialect->read_parts (bd_buffer_chunk (&inquiry->answer), on_part,
                                 inquiry);
  end_inquiry (inquiry, error == BD_OK ? "ok" : bd_error_answer (error)->code);
}

static void
on_fail (void *context, const struct bd_call_failure *failure)
{
  end_inquiry (context, bd_error_answer (failure->error)->code);
}

static const struct bd_call_handler call_handler = {
  .on_head = on_head, .on_body = on_body, .on_end = on_end, .on_fail = on_fail
};

/* Calls. */

static void
begin_inquiry (struct inquiry *inquiry, const struct bd_target *target,
               int64_t now_ms)
{
  struct bd_inventory *inventory = inquiry->inventory;
  struct bd_call_request request
      = { .head = inventory->options.dialect->parts_call,
          .connect_timeout_ms = CONNECT_TIMEOUT_MS,
          .idle_max_ms = IDLE_MAX_MS };

  request.address.sin_family = AF_INET;
  request.address.sin_addr.s_addr = target->ip;
  request.address.sin_port = target->port;
  inquiry->target = target->hash;
  inquiry->begun_ms = now_ms;
  inquiry->status = 0;
  inquiry->parts = 0;
  inquiry->call = bd_client_call (inventory->options.client, &request,
                                  &call_handler, inquiry);
}

void
bd_inventory_ask (struct bd_inventory *inventory, struct bd_chunk service,
                  int64_t now_ms)
{
  size_t count;
  struct bd_target *const *all
      = bd_targets_of (inventory->options.targets, service, &count);

  if (inventory->options.dialect->parts_call.length == 0)
    return;
  for (size_t i = 0; i < count && inventory->waiting_count < WAITING_MAX; i++)
    if (bd_target_usable (all[i]))
      inventory->waiting[inventory->waiting_count++] = all[i]->hash;
  bd_inventory_tick (inventory, now_ms);
}

void
bd_inventory_tick (struct bd_inventory *inventory, int64_t now_ms)
{
  for (size_t i = 0; i < CALLS_MAX; i++)
    {
      struct inquiry *inquiry = &inventory->inquiries[i];

      if (inquiry->call && now_ms - inquiry->begun_ms > CALL_TIMEOUT_MS)
        {
          bd_call_cancel (inquiry->call);
          end_inquiry (inquiry, "timeout");
        }
      while (!inquiry->call && inventory->waiting_count > 0)
        {
          const struct bd_target *target = find_target (
              inventory, inventory->waiting[--inventory->waiting_count]);

          if (target && bd_target_usable (target))
            begin_inquiry (inquiry, target, now_ms);
        }
    }
}
