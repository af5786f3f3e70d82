#include "gateway/forward_internal.h"

#include "common/clock.h"
#include "common/log.h"
#include "common/random.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Base of the Retry-After time.  A random part of up to the same length is
   added, so that callers do not all return at once. */
#define RETRY_AFTER_BASE_MS 250
#define MS_PER_S 1000

static const char *const stop_reason_names[]
    = { [BD_STOP_NO_RUNNER] = "no_runner",
        [BD_STOP_NOT_REPEATABLE] = "not_repeatable",
        [BD_STOP_ATTEMPTS] = "attempts",
        [BD_STOP_BUDGET] = "retry_budget",
        [BD_STOP_SOFTWARE] = "software",
        [BD_STOP_CRASHES] = "crashes",
        [BD_STOP_TIME] = "time" };

bool
bd_forward_repeatable (const struct bd_forward *f)
{
  return f->route->retry_class == BD_RETRY_IDEMPOTENT
         || (f->route->retry_class == BD_RETRY_STREAM && f->route->resumable);
}

int64_t
bd_forward_elapsed_ms (const struct bd_forward *f)
{
  return bd_clock_boot_ms () - f->arrived_ms;
}

/* End of a request. */

static void
on_timer_closed (uv_handle_t *handle)
{
  struct bd_forward *f = handle->data;

  if (--f->open_timers == 0)
    free (f);
}

void
bd_forward_prefill_done (struct bd_forward *f)
{
  if (!f->target || f->queued_tokens == 0)
    return;
  f->target->prefill_tokens -= f->queued_tokens;
  f->queued_tokens = 0;
  bd_coordinator_client_prefill_done (f->forwarder->options.coordinator_client,
                                      &f->registration);
}

void
bd_forward_update_buffered (struct bd_forward *f)
{
  f->forwarder->buffered_bytes -= f->buffered_bytes;
  f->buffered_bytes
      = f->body.length + bd_sse_rest (&f->sse).length + f->outgoing.length;
  f->forwarder->buffered_bytes += f->buffered_bytes;
}

/* Drops what the attempt has brought and was not sent: only a request with a
   call has a buffered response. */
static void
clear_response (struct bd_forward *f)
{
  bd_buffer_clear (&f->body);
  bd_sse_clear (&f->sse);
  bd_buffer_clear (&f->outgoing);
  f->comment_bytes = 0;
  bd_forward_update_buffered (f);
}

void
bd_forward_end_attempt (struct bd_forward *f)
{
  clear_response (f);
  if (f->target)
    {
      bd_forward_check_software (f);
      f->target->prefill_tokens -= f->queued_tokens;
      f->queued_tokens = 0;
      f->target->in_flight--;
      bd_coordinator_client_attempt_ended (
          f->forwarder->options.coordinator_client, &f->registration,
          &f->outcome);
    }
  f->target = NULL;
  f->call = NULL;
  memset (&f->outcome, 0, sizeof f->outcome);
  uv_timer_stop (&f->attempt_timer);
}

void
bd_forward_free (struct bd_forward *f)
{
  bd_coordinator_client_cancel (f->forwarder->options.coordinator_client,
                                &f->registration);
  if (f->call)
    bd_call_cancel (f->call);
  bd_forward_end_attempt (f);
  bd_forward_end_budget_wait (f);
  f->closing = true;
  if (f->previous)
    f->previous->next = f->next;
  else
    f->forwarder->first_forward = f->next;
  if (f->next)
    f->next->previous = f->previous;
  bd_routing_unref (f->routing);
  bd_buffer_clear (&f->fields);
  bd_part_list_clear (&f->request_fields.parts);
  uv_close ((uv_handle_t *)&f->deadline_timer, on_timer_closed);
  uv_close ((uv_handle_t *)&f->attempt_timer, on_timer_closed);
}

static int64_t
short_retry_ms (struct bd_forwarder *forwarder)
{
  return RETRY_AFTER_BASE_MS
         + bd_random_below (&forwarder->random_state, RETRY_AFTER_BASE_MS);
}

/* Returns the Retry-After time of a request that found no runner: when the
   first paused or limited runner takes it, plus a random part so that callers
   do not all return at once. */
static int64_t
no_runner_retry_ms (struct bd_forward *f)
{
  int64_t left_ms = f->pause_left_ms;

  if (left_ms == 0 || (f->limit_left_ms > 0 && f->limit_left_ms < left_ms))
    left_ms = f->limit_left_ms;
  return left_ms + short_retry_ms (f->forwarder);
}

/* Sends the response for ERROR.  Without Retry-After if
   RETRY_AFTER_MS is negative. */
static void
send_error (struct bd_exchange *exchange, int error, enum bd_ran ran,
            int64_t retry_after_ms)
{
  const struct bd_answer *answer = bd_error_answer (error);
  struct bd_buffer fields = { 0 };
  struct bd_buffer body = { 0 };

  bd_buffer_append (&fields, BD_CHUNK ("Content-Type: application/json\r\n"));
  if (retry_after_ms >= 0)
    bd_buffer_printf (&fields, "Retry-After: %" PRId64 ".%03" PRId64 "\r\n",
                      retry_after_ms / MS_PER_S, retry_after_ms % MS_PER_S);
  bd_buffer_printf (&body,
                    "{\"error\":{\"code\":\"%s\",\"message\":\"%s\","
                    "\"ran\":\"%s\"}}",
                    answer->code, answer->text, bd_ran_name (ran));
  bd_exchange_reply_buffers (exchange, answer->status, &fields, &body);
}

void
bd_forward_refuse (struct bd_forwarder *forwarder,
                   struct bd_exchange *exchange,
                   const struct bd_request_fields *fields, int error)
{
  const struct bd_answer *answer = bd_error_answer (error);
  int64_t retry_after_ms = -1;
  char id[BD_FORWARD_ID_BYTES];

  bd_stats_refused (forwarder->options.stats, error);
  bd_log (BD_EVENT_REQUEST_REFUSED,
          "request=%s status=%d code=%s version=%llu",
          bd_log_quote (fields->attempt_id, id, sizeof id), answer->status,
          answer->code,
          forwarder->routing
              ? (unsigned long long)bd_routing_version (forwarder->routing)
              : 0ULL);
  if (answer->status == 503 || answer->status == 429)
    retry_after_ms = error == BD_ERR_SUSPENDED
                         ? (int64_t)answer->retry_after_s * MS_PER_S
                         : short_retry_ms (forwarder);
  send_error (exchange, error, BD_RAN_NO, retry_after_ms);
}

void
bd_forward_fail (struct bd_forward *f, int error)
{
  enum bd_ran ran = f->may_have_run ? BD_RAN_UNKNOWN : BD_RAN_NO;
  bool no_runner = error == BD_ERR_NO_RUNNER || !f->may_have_run;
  char id[BD_FORWARD_ID_BYTES];

  /* When no runner was left or the request cannot have run, these errors tell
     the caller more than ERROR. */
  if (no_runner)
    error = f->may_have_run ? BD_ERR_OUTCOME_UNKNOWN : BD_ERR_NO_RUNNER;
  if (f->may_have_run)
    bd_stats_failed (f->forwarder->options.stats, error);
  else
    bd_stats_refused (f->forwarder->options.stats, error);
  if (f->head_sent)
    bd_stats_count (f->forwarder->options.stats, BD_STAT_BROKEN, 1);
  bd_log (BD_EVENT_REQUEST_FAILED,
          "request=%s route=%s code=%s ran=%s stopped_by=%s reached=%u of=%u "
          "tried=%zu events=%llu ms=%lld version=%llu",
          bd_log_quote (f->request_fields.attempt_id, id, sizeof id),
          f->route->name.data, bd_error_answer (error)->code,
          bd_ran_name (ran), stop_reason_names[f->stop_reason], f->attempts,
          f->route->attempts_max, f->tried_count,
          (unsigned long long)f->event_count,
          (long long)bd_forward_elapsed_ms (f),
          (unsigned long long)bd_routing_version (f->routing));
  if (f->call)
    bd_call_cancel (f->call);
  bd_forward_end_attempt (f);
  if (f->head_sent)
    bd_exchange_abort (f->exchange);
  else
    send_error (f->exchange, error, ran,
                no_runner ? no_runner_retry_ms (f) : -1);
  bd_forward_free (f);
}

void
bd_forward_refuse_overload (struct bd_forward *f, int64_t wait_ms,
                            int64_t max_wait_ms, int64_t retry_after_ms)
{
  char id[BD_FORWARD_ID_BYTES];

  bd_stats_refused (f->forwarder->options.stats, BD_ERR_OVERLOADED);
  bd_log (BD_EVENT_REQUEST_REFUSED,
          "request=%s route=%s code=%s wait_ms=%lld limit_ms=%lld "
          "priority=%d by=%08x retry_ms=%lld",
          bd_log_quote (f->request_fields.attempt_id, id, sizeof id),
          f->route->name.data, bd_error_answer (BD_ERR_OVERLOADED)->code,
          (long long)wait_ms, (long long)max_wait_ms,
          f->selection_request.priority,
          ntohl (f->registration.coordinator_ip), (long long)retry_after_ms);
  send_error (f->exchange, BD_ERR_OVERLOADED, BD_RAN_NO, retry_after_ms);
  bd_forward_free (f);
}

void
bd_forward_count_completed (struct bd_forward *f)
{
  char id[BD_FORWARD_ID_BYTES];

  bd_stats_count (f->forwarder->options.stats, BD_STAT_ANSWERED, 1);
  bd_log (BD_EVENT_REQUEST_DONE,
          "request=%s route=%s runner=%s status=%d reached=%u events=%llu "
          "first_ms=%lld gap_ms=%lld ms=%lld version=%llu",
          bd_log_quote (f->request_fields.attempt_id, id, sizeof id),
          f->route->name.data, f->target ? f->target->id.data : "-", f->status,
          f->attempts, (unsigned long long)f->event_count,
          (long long)f->first_event_ms, (long long)f->max_gap_ms,
          (long long)bd_forward_elapsed_ms (f),
          (unsigned long long)bd_routing_version (f->routing));
}
