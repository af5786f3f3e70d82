#include "gateway/forward_internal.h"

#include "common/clock.h"
#include "common/log.h"
#include "common/random.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

static void
on_timeout (uv_timer_t *timer)
{
  struct bd_forward *f = timer->data;

  if (f->closing)
    return;
  if (f->call && !f->response_fields.not_executed)
    {
      f->may_have_run = true;
      bd_forward_log_failed_attempt (f, "timeout");
      if (bd_call_sent (f->call))
        bd_forward_open_crash_case (f, BD_CRASH_TIMED_OUT);
      if (!f->head_sent && f->route->retry_class != BD_RETRY_STREAM)
        bd_forward_record_result (f, BD_OUTLIER_FAILURE);
    }
  f->stop_reason = BD_STOP_TIME;
  bd_forward_fail (f, BD_ERR_TIMEOUT);
}

/* Requests. */

static struct bd_chunk
path_of (const struct bd_head *head)
{
  struct bd_chunk target = head->target;

  return bd_chunk_split_off (&target, '?');
}

static struct bd_fingerprint
fingerprint_of (const struct bd_exchange *exchange,
                const struct bd_workspace *workspace,
                const struct bd_request_fields *fields)
{
  const struct bd_head *head = bd_exchange_head (exchange);
  uint64_t rest = bd_chunk_hash (bd_exchange_body (exchange));

  if (workspace)
    rest = bd_random_mix (rest ^ bd_chunk_hash (workspace->name));
  return (struct bd_fingerprint){
    .exact = bd_random_mix (rest ^ bd_chunk_hash (head->target)),
    .broad = bd_random_mix (rest ^ bd_chunk_hash (path_of (head))),
    .parts = fields->parts,
  };
}

/* Returns the time that a request may take up to its complete response, in
   milliseconds. */
static int64_t
time_limit (const struct bd_route *route,
            const struct bd_request_fields *fields)
{
  if (fields->caller_timeout_ms >= 0
      && (route->timeout_ms <= 0
          || fields->caller_timeout_ms < route->timeout_ms))
    return fields->caller_timeout_ms;
  return route->timeout_ms;
}

/* Returns whether the process may end before the request does. */
static bool
is_too_late (const struct bd_forwarder *forwarder,
             const struct bd_route *route,
             const struct bd_request_fields *fields)
{
  int64_t now = bd_clock_boot_ms ();

  return forwarder->accept_until_ms != 0 && now > forwarder->accept_until_ms
         && now + time_limit (route, fields) > forwarder->exit_ms;
}

/* Validates a request and looks up its route and workspace.  Returns BD_OK or
   the error that the request is refused with. */
static int
classify (struct bd_forwarder *forwarder, struct bd_exchange *exchange,
          struct bd_request_fields *fields, const struct bd_route **route,
          const struct bd_workspace **workspace)
{
  const struct bd_head *head = bd_exchange_head (exchange);
  struct bd_routing *routing = forwarder->routing;
  int64_t now = bd_clock_boot_ms ();
  struct bd_fingerprint fingerprint;
  enum bd_suspicion suspicion;
  int error = forwarder->options.dialect->read_request (head, fields);

  if (error != BD_OK)
    return error;
  if (!routing)
    return BD_ERR_NOT_READY;
  *route = bd_routing_find (routing, bd_head_value (head, BD_CHUNK ("Host")),
                            path_of (head));
  if (!*route)
    return BD_ERR_NOT_FOUND;
  *workspace = fields->credential.data
                   ? bd_routing_workspace (routing, fields->credential)
                   : NULL;
  if (!*workspace && bd_routing_needs_credentials (routing)
      && !(*route)->is_public)
    return BD_ERR_UNAUTHORIZED;
  if (is_too_late (forwarder, *route, fields))
    return BD_ERR_LEAVING;
  fingerprint = fingerprint_of (exchange, *workspace, fields);
  suspicion
      = bd_forward_is_continuation (*route, fields)
            ? bd_crashes_suspicion_in_progress (forwarder->crashes, now,
                                                &fingerprint)
            : bd_crashes_suspicion (forwarder->crashes, now, &fingerprint);
  return suspicion == BD_SUSPICION_QUARANTINE ? BD_ERR_SUSPENDED : BD_OK;
}

static void
set_deadline (struct bd_forward *f)
{
  int64_t limit = time_limit (f->route, &f->request_fields);
  int64_t now = bd_clock_boot_ms ();

  f->arrived_ms = bd_exchange_arrived_ms (f->exchange);
  f->deadline_ms = f->arrived_ms + limit;
  uv_timer_start (&f->deadline_timer, on_timeout,
                  f->deadline_ms > now ? (uint64_t)(f->deadline_ms - now) : 0,
                  0);
}

static struct bd_forward *
create_forward (struct bd_forwarder *forwarder, struct bd_exchange *exchange)
{
  struct bd_forward *f = calloc (1, sizeof *f);

  if (!f)
    return NULL;
  f->forwarder = forwarder;
  f->exchange = exchange;
  f->routing = bd_routing_ref (forwarder->routing);
  uv_timer_init (forwarder->options.loop, &f->deadline_timer);
  uv_timer_init (forwarder->options.loop, &f->attempt_timer);
  f->deadline_timer.data = f;
  f->attempt_timer.data = f;
  f->open_timers = 2;
  f->next = forwarder->first_forward;
  if (f->next)
    f->next->previous = f;
  forwarder->first_forward = f;
  bd_exchange_set_owner (exchange, f);
  return f;
}

/* Returns the microseconds that a runner of the request's service needs to
   fetch 1,000 tokens of a prefix; 0: it cannot. */
static uint32_t
fetch_us (const struct bd_forward *f)
{
  const struct bd_service *service
      = bd_routing_service (f->routing, f->service);

  return service ? service->fetch_us_per_k : 0;
}

static void
on_request (void *context, struct bd_exchange *exchange)
{
  struct bd_forwarder *forwarder = context;
  struct bd_request_fields fields = { 0 };
  const struct bd_route *route = NULL;
  const struct bd_workspace *workspace = NULL;
  struct bd_forward *f;
  int error;

  forwarder->last_request_ms = bd_clock_boot_ms ();
  bd_stats_count (forwarder->options.stats, BD_STAT_REQUESTS, 1);
  error = classify (forwarder, exchange, &fields, &route, &workspace);
  f = error == BD_OK ? create_forward (forwarder, exchange) : NULL;
  if (!f)
    {
      bd_forward_refuse (forwarder, exchange, &fields,
                         error == BD_OK ? BD_ERR_NOMEM : error);
      bd_part_list_clear (&fields.parts);
      return;
    }
  f->request_fields = fields;
  f->route = route;
  f->workspace = workspace;
  f->service = bd_route_service (route, bd_chunk_hash (fields.attempt_id));
  f->fingerprint = fingerprint_of (exchange, workspace, &f->request_fields);
  f->selection_request.service = f->service;
  f->selection_request.zone = forwarder->options.zone;
  f->selection_request.prefix_hash = fields.prefix_hash;
  f->selection_request.prefix_tokens = fields.shared_tokens;
  f->selection_request.unshared_tokens = fields.own_tokens;
  f->selection_request.fetch_us_per_k = fetch_us (f);
  f->selection_request.priority = bd_request_priority (workspace, route);
  f->selection_request.objective_ms = route->objective_ms;
  f->selection_request.sent_here = true;
  set_deadline (f);
  bd_forward_init_continuation (f);
  bd_forward_next_attempt (f);
}

static void
on_abort (void *context, struct bd_exchange *exchange)
{
  struct bd_forwarder *forwarder = context;
  struct bd_forward *f = bd_exchange_owner (exchange);
  char id[BD_FORWARD_ID_BYTES];

  if (!f)
    return;
  bd_stats_count (forwarder->options.stats, BD_STAT_ABORTED, 1);
  bd_log (BD_EVENT_REQUEST_ABORTED,
          "request=%s route=%s runner=%s events=%llu ms=%lld "
          "fingerprint=%016" PRIx64,
          bd_log_quote (f->request_fields.attempt_id, id, sizeof id),
          f->route->name.data, f->target ? f->target->id.data : "-",
          (unsigned long long)f->event_count,
          (long long)bd_forward_elapsed_ms (f), f->fingerprint.exact);
  if (f->call && bd_call_sent (f->call) && !f->response_fields.not_executed
      && f->first_event_at_ms == 0)
    bd_forward_open_crash_case (f, BD_CRASH_NO_RESPONSE);
  bd_forward_free (f);
}

const struct bd_server_handler bd_forwarder_handler
    = { .on_request = on_request, .on_abort = on_abort };

/* Registers the requests in flight with the new coordinator of their shard. */
static void
on_coordinator_change (void *context, uint64_t key, uint32_t ip)
{
  struct bd_forwarder *forwarder = context;
  int64_t now = bd_clock_boot_ms ();

  for (struct bd_forward *f = forwarder->first_forward; f; f = f->next)
    if (f->target && f->registration.shard_key == key
        && f->registration.coordinator_ip != ip)
      {
        bd_forward_reregister (f, ip, now);
        if (f->origin_told)
          bd_forward_tell_origin (f);
      }
  bd_coordinator_client_flush (forwarder->options.coordinator_client);
}

struct bd_forwarder *
bd_forwarder_create (const struct bd_forwarder_options *options)
{
  struct bd_forwarder *forwarder = calloc (1, sizeof *forwarder);

  if (!forwarder)
    return NULL;
  forwarder->options = *options;
  forwarder->instance_count = 1;
  forwarder->random_state = bd_id_random ().low;
  forwarder->crashes
      = bd_crashes_create (options->targets, options->suspects,
                           options->breakers, bd_id_random ().low);
  if (!forwarder->crashes)
    {
      free (forwarder);
      return NULL;
    }
  bd_coordinator_client_watch (options->coordinator_client,
                               on_coordinator_change, forwarder);
  return forwarder;
}

void
bd_forwarder_set_mesh (struct bd_forwarder *forwarder, struct bd_mesh *mesh)
{
  forwarder->mesh = mesh;
}

void
bd_forwarder_set_routing (struct bd_forwarder *forwarder,
                          struct bd_routing *routing)
{
  bd_routing_unref (forwarder->routing);
  forwarder->routing = bd_routing_ref (routing);
  forwarder->lowest_priority = bd_routing_lowest_priority (routing);
}

void
bd_forwarder_set_instance_count (struct bd_forwarder *forwarder,
                                 uint32_t count)
{
  forwarder->instance_count = count > 0 ? count : 1;
}

void
bd_forwarder_stop (struct bd_forwarder *forwarder, int64_t accept_until_ms,
                   int64_t exit_ms)
{
  forwarder->accept_until_ms = accept_until_ms;
  forwarder->exit_ms = exit_ms;
}

/* Opens a crash case for an attempt whose runner is silent, gone or restarted.
   The attempt itself may not fail soon: one that may not be retried waits
   until its deadline. */
static void
watch_attempt (struct bd_forward *f, int64_t now_ms)
{
  const struct bd_target *target = f->target;
  bool silent = now_ms - f->sent_ms >= BD_FORWARD_SILENCE_MS
                && now_ms - target->last_byte_ms >= BD_FORWARD_SILENCE_MS;

  if (!f->call || !bd_call_sent (f->call) || f->response_fields.not_executed)
    return;
  if (silent || target->state == BD_TARGET_GONE
      || target->started_ms != f->target_started_ms)
    bd_forward_open_crash_case (f, BD_CRASH_NO_RESPONSE);
}

void
bd_forwarder_tick (struct bd_forwarder *forwarder, int64_t now_ms)
{
  struct bd_forward *next;

  for (struct bd_forward *f = forwarder->first_forward; f; f = next)
    {
      next = f->next;
      if (now_ms > f->deadline_ms)
        on_timeout (&f->deadline_timer);
      else if (f->target)
        watch_attempt (f, now_ms);
    }
  bd_crashes_tick (forwarder->crashes, now_ms);
  bd_forward_probe_runners (forwarder);
}

int64_t
bd_forwarder_last_request_ms (const struct bd_forwarder *forwarder)
{
  return forwarder->last_request_ms;
}
