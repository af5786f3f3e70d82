#include "gateway/forward_internal.h"

#include "balance/pause.h"
#include "balance/shard.h"
#include "common/clock.h"
#include "common/log.h"

#include <inttypes.h>
#include <string.h>

/* Longest idle time of a connection that is reused, for requests that may be
   retried, and for those that may not and so cannot recover from a stale
   connection. */
#define IDLE_MAX_MS 20000
#define IDLE_MAX_UNREPEATABLE_MS 2000
/* Ratio of the latency objective after which a silent attempt is abandoned for
   another runner, if the request may be retried. */
#define TIMEOUT_RATIO_PLAIN 0.6
#define TIMEOUT_RATIO_STREAM 1.5
/* Interval at which an attempt past its timeout checks whether its runner has
   become silent, or the retry budget has grown. */
#define SILENCE_CHECK_MS 100

/* Attempts. */

static void
write_request (struct bd_forward *f, const struct bd_target *source,
               struct bd_buffer *out)
{
  const struct bd_dialect *dialect = f->forwarder->options.dialect;
  const struct bd_head *head = bd_exchange_head (f->exchange);
  struct bd_chunk body = bd_exchange_body (f->exchange);
  const struct bd_service *service
      = bd_routing_service (f->routing, f->service);
  struct bd_request_directives directives = { .instance = f->target->id };

  bd_buffer_printf (out, "%.*s %.*s HTTP/1.1\r\n", (int)head->method.length,
                    head->method.data, (int)head->target.length,
                    head->target.data);
  for (size_t i = 0; i < head->field_count; i++)
    {
      const struct bd_field *field = &head->fields[i];

      if (dialect->is_reserved (field->name)
          || (bd_head_hop_by_hop (head, field->name)
              && !dialect->is_end_to_end (field->name)))
        continue;
      if (f->head_sent
          && bd_field_named (field->name, BD_CHUNK ("Last-Event-Id")))
        continue;
      bd_buffer_printf (out, "%.*s: %.*s\r\n", (int)field->name.length,
                        field->name.data, (int)field->value.length,
                        field->value.data);
    }
  if (f->head_sent)
    bd_buffer_printf (out, "Last-Event-Id: %s\r\n", f->last_event_id);
  if (f->workspace)
    directives.workspace = f->workspace->name;
  directives.left_ms = f->deadline_ms - bd_clock_boot_ms ();
  directives.priority
      = service && service->is_engine ? f->selection_request.priority : -1;
  if (source)
    directives.fetch_from = (struct bd_address){ source->ip, source->port };
  dialect->write_directives (out, &directives);
  if (body.length > 0 || head->chunked || head->body_length >= 0)
    bd_buffer_printf (out, "Content-Length: %zu\r\n", body.length);
  bd_buffer_append (out, BD_CHUNK ("\r\n"));
}

static void
on_attempt_timeout (uv_timer_t *timer)
{
  struct bd_forward *f = timer->data;
  int64_t now = bd_clock_boot_ms ();

  /* A runner that sends data for other requests is slow, not stuck. */
  if (f->route->retry_class == BD_RETRY_STREAM
      && now - f->target->last_byte_ms < BD_FORWARD_SILENCE_MS)
    {
      uv_timer_start (timer, on_attempt_timeout, SILENCE_CHECK_MS, 0);
      return;
    }
  if (!bd_forward_may_retry (f))
    {
      if (f->stop_reason == BD_STOP_BUDGET)
        uv_timer_start (timer, on_attempt_timeout, SILENCE_CHECK_MS, 0);
      return;
    }
  bd_forward_log_failed_attempt (f, "silent");
  if (bd_call_sent (f->call))
    bd_forward_open_crash_case (f, BD_CRASH_TIMED_OUT);
  bd_forward_record_result (f, BD_OUTLIER_FAILURE);
  bd_call_cancel (f->call);
  bd_forward_end_attempt (f);
  f->may_have_run = true;
  bd_forward_next_attempt (f);
}

static void
start_attempt_timer (struct bd_forward *f)
{
  double ratio = f->route->retry_class == BD_RETRY_STREAM
                     ? TIMEOUT_RATIO_STREAM
                     : TIMEOUT_RATIO_PLAIN;

  if (!bd_forward_repeatable (f) || f->attempts >= f->route->attempts_max)
    return;
  uv_timer_start (&f->attempt_timer, on_attempt_timeout,
                  (uint64_t)((double)f->route->objective_ms * ratio), 0);
}

/* Counts a request that is sent: at a runner with a limit, in another zone,
   and there for a prefix that is cached. */
static void
count_sent (const struct bd_forward *f, const struct bd_selection *selection)
{
  const struct bd_target *target = selection->target;
  struct bd_stats *stats = f->forwarder->options.stats;

  if (bd_runner_limit_rate (target, f->selection_request.now_ms) != 0)
    bd_stats_count (stats, BD_STAT_LIMITED_SENT, 1);
  if (bd_chunk_equal (target->zone, f->selection_request.zone))
    return;
  bd_stats_count (stats, BD_STAT_OTHER_ZONE, 1);
  if (selection->reason <= BD_SELECTION_WARM)
    bd_stats_count (stats, BD_STAT_OTHER_ZONE_PREFIX, 1);
}

static int
send_to (struct bd_forward *f, const struct bd_selection *selection)
{
  struct bd_target *target = selection->target;
  struct bd_forwarder_options *options = &f->forwarder->options;
  const struct bd_head *head = bd_exchange_head (f->exchange);
  struct bd_call_request request = { 0 };
  struct bd_buffer out = { 0 };

  f->target = target;
  f->target_started_ms = target->started_ms;
  f->target_software = target->software.hash;
  f->status = 0;
  f->streaming = false;
  f->first_event_at_ms = 0;
  memset (&f->response_fields, 0, sizeof f->response_fields);
  write_request (f, selection->source, &out);
  request.address.sin_family = AF_INET;
  request.address.sin_addr.s_addr = target->ip;
  request.address.sin_port = target->port;
  request.head = bd_buffer_chunk (&out);
  request.body = bd_exchange_body (f->exchange);
  request.echo.name = options->dialect->attempt_field;
  request.echo.value = f->request_fields.attempt_id;
  request.connect_timeout_ms = BD_FORWARD_CONNECT_TIMEOUT_MS;
  request.idle_max_ms
      = bd_forward_repeatable (f) ? IDLE_MAX_MS : IDLE_MAX_UNREPEATABLE_MS;
  request.no_body = bd_field_named (head->method, BD_CHUNK ("HEAD"));
  if (!out.incomplete)
    f->call = bd_client_call (options->client, &request,
                              &bd_forward_call_handler, f);
  bd_buffer_clear (&out);
  if (!f->call)
    {
      f->target = NULL;
      return BD_ERR_IO;
    }
  count_sent (f, selection);
  target->in_flight++;
  f->prefill_tokens = selection->prefill_tokens;
  f->queued_tokens = selection->prefill_tokens;
  f->runner_was_idle = selection->wait_ms <= 0.0;
  f->first_event_tokens = selection->ahead_tokens + selection->prefill_tokens;
  target->prefill_tokens += f->queued_tokens;
  f->sent_ms = bd_clock_boot_ms ();
  bd_selector_record_sent (options->selector, &f->selection_request, target);
  bd_stream_origins_record_prompt (options->origins,
                                   f->request_fields.own_part,
                                   f->target_software, f->sent_ms);
  bd_outlier_record_sent (target, f->sent_ms);
  start_attempt_timer (f);
  return BD_OK;
}

/* Returns whether this instance's share of TARGET's connection limit is used
   up. */
static bool
connections_full (const struct bd_forward *f, const struct bd_target *target)
{
  const struct bd_service *service
      = bd_routing_service (f->routing, f->service);
  struct sockaddr_in address = { 0 };

  if (!service || service->connections_max == 0)
    return false;
  address.sin_addr.s_addr = target->ip;
  address.sin_port = target->port;
  return bd_client_connection_count (f->forwarder->options.client, &address)
             * f->forwarder->instance_count
         >= service->connections_max;
}

static void
log_placed (const struct bd_forward *f, const struct bd_selection *selection)
{
  const struct bd_target *target = selection->target;
  char id[BD_FORWARD_ID_BYTES];

  bd_log (BD_EVENT_REQUEST_PLACED,
          "request=%s route=%s runner=%s zone=%s place=%s prefix=%08x "
          "source=%s "
          "cost_ms=%.0f "
          "prefill=%llu ahead=%llu in_flight=%u+%u priority=%d by=%08x "
          "left_ms=%lld limit_rate=%u software=%s",
          bd_log_quote (f->request_fields.attempt_id, id, sizeof id),
          f->route->name.data, target->id.data, target->zone.data,
          bd_selection_reason_name (selection->reason),
          (unsigned)f->selection_request.prefix_hash,
          selection->source ? selection->source->id.data : "-",
          selection->cost_ms, (unsigned long long)selection->prefill_tokens,
          (unsigned long long)selection->ahead_tokens, target->in_flight,
          target->peers_in_flight, f->selection_request.priority,
          ntohl (f->registration.coordinator_ip),
          (long long)(f->deadline_ms - f->selection_request.now_ms),
          bd_runner_limit_rate (target, f->selection_request.now_ms),
          bd_software_name (&target->software));
}

static void
log_retry (const struct bd_forward *f, const struct bd_target *target)
{
  char id[BD_FORWARD_ID_BYTES];

  bd_stats_count (f->forwarder->options.stats,
                  f->head_sent ? BD_STAT_RESUMES : BD_STAT_RETRIES, 1);
  bd_log (f->head_sent ? BD_EVENT_REQUEST_RESUME : BD_EVENT_REQUEST_RETRY,
          "request=%s runner=%s reached=%u after=%s ms=%lld software=%s",
          bd_log_quote (f->request_fields.attempt_id, id, sizeof id),
          target->id.data, f->attempts, f->head_sent ? f->last_event_id : "-",
          (long long)bd_forward_elapsed_ms (f),
          bd_software_name (&target->software));
}

/* Ends a request that is quarantined since it arrived, because runners crashed
   under it.  Frees F. */
static void
refuse_quarantined (struct bd_forward *f)
{
  bd_coordinator_client_attempt_ended (
      f->forwarder->options.coordinator_client, &f->registration, NULL);
  f->stop_reason = BD_STOP_CRASHES;
  if (f->may_have_run)
    bd_forward_fail (f, BD_ERR_OUTCOME_UNKNOWN);
  else
    {
      bd_forward_refuse (f->forwarder, f->exchange, &f->request_fields,
                         BD_ERR_SUSPENDED);
      bd_forward_free (f);
    }
}

static enum bd_suspicion
suspicion_of (const struct bd_forward *f)
{
  struct bd_crashes *crashes = f->forwarder->crashes;
  int64_t now = f->selection_request.now_ms;

  if (f->event_count > 0 || f->continues)
    return bd_crashes_suspicion_in_progress (crashes, now, &f->fingerprint);
  return bd_crashes_suspicion (crashes, now, &f->fingerprint);
}

/* Sends the request to the runner of SELECTION. */
static void
send_to_selected (struct bd_forward *f, const struct bd_selection *selection)
{
  enum bd_suspicion suspicion = suspicion_of (f);

  if (suspicion == BD_SUSPICION_QUARANTINE)
    {
      refuse_quarantined (f);
      return;
    }
  f->suspected = suspicion != BD_SUSPICION_NONE;
  bd_crashes_sent (f->forwarder->crashes, f->selection_request.now_ms,
                   &f->fingerprint);
  f->tried[f->tried_count++] = (uint32_t)selection->target->hash;
  if (f->attempts > 0)
    log_retry (f, selection->target);
  else if (!f->counted_as_first)
    bd_retry_quota_record_first (f->forwarder->options.retries,
                                 f->selection_request.now_ms, f->service);
  f->counted_as_first = true;
  f->attempts++;
  log_placed (f, selection);
  bd_forward_log_continued (f, selection->target);
  if (send_to (f, selection) == BD_OK)
    return;
  bd_coordinator_client_attempt_ended (
      f->forwarder->options.coordinator_client, &f->registration, NULL);
  bd_forward_fail (f, BD_ERR_NO_RUNNER);
}

static struct bd_overload_request
overload_request (const struct bd_forward *f)
{
  return (struct bd_overload_request){
    .objective_ms = f->route->objective_ms,
    .time_left_ms = f->deadline_ms - f->selection_request.now_ms,
    .priority = f->selection_request.priority,
    .lowest_priority = f->forwarder->lowest_priority
  };
}

/* A stream that its caller continues is not refused for a wait either: some of
   it has been delivered. */
static bool
is_retry (const struct bd_forward *f)
{
  return f->attempts > 0 || f->continues;
}

static struct bd_decision
decide (struct bd_forward *f)
{
  struct bd_forwarder_options *options = &f->forwarder->options;
  struct bd_overload_request overload = overload_request (f);

  f->selection_request.tried = f->tried;
  f->selection_request.tried_count = f->tried_count;
  f->selection_request.software = f->stream_software;
  f->selection_request.preferred_software
      = is_retry (f)
            ? BD_SOFTWARE_ANY
            : bd_stream_origins_find_prompt (options->origins,
                                             f->request_fields.own_part,
                                             f->selection_request.now_ms);
  f->selection_request.only = f->holder;
  f->selection_request.share
      = (struct bd_runner_limit_share){ f->forwarder->instance_count,
                                        f->forwarder->coordinated_ms };
  return bd_decide (options->selector, options->targets, &f->selection_request,
                    &overload, is_retry (f), &f->forwarder->random_state);
}

/* Returns the shared prefix that matters for the placement; 0: none. */
static uint64_t
relevant_prefix (const struct bd_forward *f)
{
  return bd_selection_request_has_prefix (&f->selection_request)
             ? f->selection_request.prefix_hash
             : 0;
}

static void
notify_placed (struct bd_forward *f, const struct bd_selection *selection)
{
  struct bd_coordination_notice notice
      = { .target = (uint32_t)selection->target->hash,
          .prefix_hash = relevant_prefix (f),
          .prefill_tokens = selection->prefill_tokens,
          .is_short = bd_selection_request_is_short (&f->selection_request),
          .priority = f->selection_request.priority,
          .time_left_ms = f->deadline_ms - f->selection_request.now_ms };

  bd_coordinator_client_notify (f->forwarder->options.coordinator_client,
                                &f->registration, &notice);
}

void
bd_forward_reregister (struct bd_forward *f, uint32_t ip, int64_t now_ms)
{
  struct bd_coordination_notice notice
      = { .target = (uint32_t)f->target->hash,
          .prefix_hash = relevant_prefix (f),
          .prefill_tokens = f->prefill_tokens,
          .is_short = bd_selection_request_is_short (&f->selection_request),
          .priority = f->selection_request.priority,
          .prefill_done = f->queued_tokens == 0,
          .time_left_ms = f->deadline_ms - now_ms };

  bd_coordinator_client_reregister (f->forwarder->options.coordinator_client,
                                    &f->registration, ip, &notice);
}

/* Ends a request that no runner may get now.  The coordinator's answer or else
   the limits known here tell when its caller should retry, and PAUSE_LEFT_MS
   does for runners that asked for a pause. */
static void
fail_without_runner (struct bd_forward *f, int64_t pause_left_ms)
{
  size_t count;
  struct bd_target *const *all = bd_targets_of_service (
      f->forwarder->options.targets, f->service, &count);

  if (bd_forward_wait_for_version (f))
    return;
  if (f->stream_software != BD_SOFTWARE_ANY)
    f->stop_reason = BD_STOP_SOFTWARE;
  f->pause_left_ms = pause_left_ms;
  if (f->limit_left_ms == 0)
    f->limit_left_ms = bd_runner_limit_next_turn_ms (
        all, count, f->selection_request.now_ms);
  bd_forward_fail (f, BD_ERR_NO_RUNNER);
}

/* Places the request with the knowledge of this instance alone. */
static void
decide_locally (struct bd_forward *f)
{
  struct bd_coordinator_client *client
      = f->forwarder->options.coordinator_client;
  struct bd_decision decision = decide (f);

  while (decision.selection.target
         && connections_full (f, decision.selection.target)
         && f->tried_count < BD_FORWARD_TRIED_MAX)
    {
      f->tried[f->tried_count++] = (uint32_t)decision.selection.target->hash;
      decision = decide (f);
    }
  if (decision.selection.target && !decision.rejected
      && f->tried_count < BD_FORWARD_TRIED_MAX)
    {
      notify_placed (f, &decision.selection);
      send_to_selected (f, &decision.selection);
      return;
    }
  bd_coordinator_client_attempt_ended (client, &f->registration, NULL);
  if (bd_forward_retry_without_holder (f))
    return;
  if (decision.rejected)
    bd_forward_refuse_overload (f, (int64_t)decision.selection.wait_ms,
                                (int64_t)decision.max_wait_ms,
                                decision.retry_after_ms);
  else
    fail_without_runner (f, decision.pause_left_ms);
}

/* Returns whether the coordinator's choice TARGET is usable from here. */
static bool
is_usable_here (const struct bd_forward *f, const struct bd_target *target)
{
  return target && bd_target_usable (target)
         && bd_pause_allows (target, f->selection_request.now_ms)
         && bd_chunk_equal (target->service, f->service)
         && (f->stream_software == BD_SOFTWARE_ANY
             || f->stream_software == target->software.hash)
         && !connections_full (f, target);
}

/* Returns whether the coordinator kept the rate limit of TARGET that is known
   here.  Tells it when it knows of another one. */
static bool
is_limit_kept (const struct bd_forward *f, const struct bd_target *target,
               const struct bd_coordination_reply *reply)
{
  uint32_t rate = bd_runner_limit_rate (target, f->selection_request.now_ms);

  if (reply->limit_rate != rate && target->limit.heard_ms != 0)
    bd_coordinator_client_tell_limit (f->forwarder->options.coordinator_client,
                                      f->registration.coordinator_ip, target);
  return rate == 0 || (reply->limit_rate != 0 && reply->limit_rate <= rate);
}

static void
on_reply (void *context, const struct bd_coordination_reply *reply)
{
  struct bd_forward *f = context;
  struct bd_selection selection = { 0 };

  f->selection_request.now_ms = bd_clock_boot_ms ();
  f->limit_left_ms = 0;
  if (reply)
    f->forwarder->coordinated_ms = f->selection_request.now_ms;
  if (!bd_forward_origin_is_known (f, reply))
    return;
  if (reply && reply->verdict == BD_COORDINATION_NO_RUNNER)
    f->limit_left_ms = reply->retry_after_ms;
  if (reply && reply->verdict == BD_COORDINATION_REFUSED)
    {
      bd_forward_refuse_overload (f, reply->wait_ms, reply->max_wait_ms,
                                  reply->retry_after_ms);
      return;
    }
  if (reply && reply->verdict == BD_COORDINATION_PLACED)
    selection.target
        = bd_targets_by_hash (f->forwarder->options.targets, reply->target);
  if (!is_usable_here (f, selection.target)
      || !is_limit_kept (f, selection.target, reply))
    {
      decide_locally (f);
      return;
    }
  if (reply->source != 0)
    selection.source
        = bd_targets_by_hash (f->forwarder->options.targets, reply->source);
  selection.reason = reply->selection_reason <= BD_SELECTION_ANY
                         ? (enum bd_selection_reason)reply->selection_reason
                         : BD_SELECTION_ANY;
  selection.wait_ms = (double)reply->wait_ms;
  selection.cost_ms = (double)reply->cost_ms;
  selection.prefill_tokens = reply->prefill_tokens;
  selection.ahead_tokens = reply->ahead_tokens;
  send_to_selected (f, &selection);
}

/* Excludes runners from the query: those already tried, and those that are
   ejected or paused at this instance. */
static void
add_exclusions (const struct bd_forward *f,
                struct bd_coordination_query *query)
{
  size_t count;
  struct bd_target *const *all = bd_targets_of_service (
      f->forwarder->options.targets, f->service, &count);

  for (size_t i = 0; i < f->tried_count; i++)
    query->excluded[query->excluded_count++] = f->tried[i];
  for (size_t i = 0;
       i < count && query->excluded_count < BD_COORDINATION_EXCLUDED_MAX; i++)
    if (!bd_outlier_allows (all[i], f->selection_request.now_ms)
        || !bd_pause_allows (all[i], f->selection_request.now_ms))
      query->excluded[query->excluded_count++] = (uint32_t)all[i]->hash;
}

/* Queries the coordinator, or decides here if there is none. */
void
bd_forward_next_attempt (struct bd_forward *f)
{
  struct bd_forwarder_options *options = &f->forwarder->options;
  struct bd_coordination_query query = { 0 };
  struct bd_coordination_reply reply;
  size_t count;
  struct bd_target *const *all
      = bd_targets_of_service (options->targets, f->service, &count);

  f->selection_request.now_ms = bd_clock_boot_ms ();
  query.service = f->service;
  query.zone = options->zone;
  query.shard_count = bd_shard_count (all, count, f->service);
  query.prefix_hash = relevant_prefix (f);
  query.shard = bd_shard_of (query.prefix_hash != 0 ? query.prefix_hash
                                                    : f->fingerprint.exact,
                             query.shard_count);
  query.prefix_tokens = f->selection_request.prefix_tokens;
  query.unshared_tokens = f->selection_request.unshared_tokens;
  query.fetch_us_per_k = f->selection_request.fetch_us_per_k;
  query.overload = overload_request (f);
  query.is_retry = is_retry (f);
  bd_forward_fill_continuation (f, &query);
  add_exclusions (f, &query);
  switch (bd_coordinator_client_query (options->coordinator_client, &query,
                                       &f->registration, &reply, on_reply, f))
    {
    case BD_COORDINATOR_CLIENT_PENDING:
      break;
    case BD_COORDINATOR_CLIENT_DECIDED:
      on_reply (f, &reply);
      break;
    case BD_COORDINATOR_CLIENT_UNAVAILABLE:
      if (bd_forward_origin_is_known (f, NULL))
        decide_locally (f);
      break;
    }
}
