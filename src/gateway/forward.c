#include "gateway/forward.h"

#include "balance/outlier.h"
#include "balance/overload.h"
#include "common/clock.h"
#include "common/log.h"
#include "core/random.h"
#include "core/sse.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Most runners that a request is tried at, whatever its route allows. */
#define TRIED_MAX 8
/* Time to connect to a runner. */
#define CONNECT_TIMEOUT_MS 300
/* Idle connections that are used again: for requests that may be repeated,
   and for those that may not and so cannot recover from a stale one. */
#define IDLE_MAX_MS 20000
#define IDLE_MAX_ONCE_MS 2000
/* Largest answer that is not a stream. */
#define ANSWER_MAX_BYTES ((size_t)8 * 1024 * 1024)
/* A stream whose caller leaves this much unread is not read on. */
#define UNREAD_MAX_BYTES ((size_t)256 * 1024)
#define UNREAD_RESUME_MS 20
/* Shares of the objective after which a silent attempt is given up when the
   request may be repeated. */
#define PATIENCE_PLAIN 0.6
#define PATIENCE_STREAM 1.5
/* A runner that was heard from this lately is not silent. */
#define SILENCE_MS 1000
/* How often a silent runner is looked at again. */
#define SILENCE_AGAIN_MS 100
/* Time to wait before a refused request comes back, with as much again at
   random so that callers do not return together. */
#define RETRY_AFTER_MS 250
#define ID_TEXT_BYTES 64
#define MS_PER_S 1000
/* Checks of runners at a time. */
#define CHECKS_MAX 16

struct bd_forwarder
{
  struct bd_forward_parts parts;
  struct bd_routing *routing;
  struct forward *forwards;
  uint32_t members;
  uint64_t random;
  size_t checks; /* Of runners, on their way. */
  int64_t last_ms;
  int least_priority;    /* Of the routing. */
  int64_t take_until_ms; /* 0: not stopping. */
  int64_t end_ms;
};

/* A request on its way. */
struct forward
{
  struct bd_forwarder *forwarder;
  struct forward *next;
  struct forward *previous;
  struct bd_exchange *exchange;
  struct bd_routing *routing;
  const struct bd_route *route;
  const struct bd_workspace *workspace;
  struct bd_request_facts facts;
  struct bd_chunk service;
  struct bd_demand demand;
  uint64_t fingerprint;
  bool suspected; /* When it was sent: a strike since counts as alone. */
  int64_t arrived_ms;
  int64_t ends_ms;
  uv_timer_t timer;    /* Runs out at ends_ms. */
  uv_timer_t patience; /* Runs out when the attempt has been silent. */
  /* Attempts. */
  const struct bd_target *tried[TRIED_MAX];
  size_t tried_count;
  uint32_t reached; /* Runners that may have got the request. */
  struct bd_target *target;
  struct bd_call *call;
  uint64_t begin_tokens;   /* To be read before its first event. */
  uint64_t charged_tokens; /* Added to the target's prefill_tokens. */
  int64_t sent_ms;
  bool may_have_run;
  /* The response at hand. */
  int status;
  bool streaming;
  struct bd_response_facts response;
  struct bd_buffer fields;
  struct bd_buffer body;
  struct bd_sse sse;
  /* The answer. */
  bool begun; /* The head of a stream is out. */
  uint64_t events;
  char last_event_id[ID_TEXT_BYTES];
  bool paused;
  bool ended; /* Only timers are left to close. */
  int open_timers;
};

static void next_attempt (struct forward *f);

static bool
repeatable (const struct forward *f)
{
  return f->route->repeat == BD_REPEAT_SAFE
         || (f->route->repeat == BD_REPEAT_STREAM && f->route->resumable);
}

static int64_t
elapsed_ms (const struct forward *f)
{
  return bd_clock_boot_ms () - f->arrived_ms;
}

/* Ending. */

static void
on_timer_closed (uv_handle_t *handle)
{
  struct forward *f = handle->data;

  if (--f->open_timers == 0)
    free (f);
}

static void
uncharge (struct forward *f)
{
  if (f->target && f->charged_tokens > 0)
    f->target->prefill_tokens -= f->charged_tokens;
  f->charged_tokens = 0;
}

/* The attempt is over. */
static void
leave_target (struct forward *f)
{
  uncharge (f);
  if (f->target)
    f->target->in_flight--;
  f->target = NULL;
  f->call = NULL;
  uv_timer_stop (&f->patience);
}

static void
free_forward (struct forward *f)
{
  if (f->call)
    bd_call_cancel (f->call);
  leave_target (f);
  f->ended = true;
  if (f->previous)
    f->previous->next = f->next;
  else
    f->forwarder->forwards = f->next;
  if (f->next)
    f->next->previous = f->previous;
  bd_routing_unref (f->routing);
  bd_buffer_clear (&f->fields);
  bd_buffer_clear (&f->body);
  bd_sse_clear (&f->sse);
  uv_close ((uv_handle_t *)&f->timer, on_timer_closed);
  uv_close ((uv_handle_t *)&f->patience, on_timer_closed);
}

static int64_t
short_retry_ms (struct bd_forwarder *forwarder)
{
  return RETRY_AFTER_MS + bd_random_below (&forwarder->random, RETRY_AFTER_MS);
}

/* Answers with the error's row of the table. */
static void
answer_error (struct bd_exchange *exchange, int error, enum bd_ran ran,
              int64_t retry_ms)
{
  const struct bd_answer *answer = bd_error_answer (error);
  struct bd_buffer fields = { 0 };
  struct bd_buffer body = { 0 };

  bd_buffer_append (&fields, BD_CHUNK ("Content-Type: application/json\r\n"));
  if (answer->status == 503 || answer->status == 429)
    bd_buffer_printf (&fields, "Retry-After: %" PRId64 ".%03" PRId64 "\r\n",
                      retry_ms / MS_PER_S, retry_ms % MS_PER_S);
  bd_buffer_printf (&body,
                    "{\"error\":{\"code\":\"%s\",\"message\":\"%s\","
                    "\"ran\":\"%s\"}}",
                    answer->code, answer->text, bd_ran_name (ran));
  bd_exchange_reply (exchange, answer->status, bd_buffer_chunk (&fields),
                     bd_buffer_chunk (&body));
  bd_buffer_clear (&fields);
  bd_buffer_clear (&body);
}

/* Refuses a request that no runner has seen. */
static void
refuse (struct bd_forwarder *forwarder, struct bd_exchange *exchange,
        const struct bd_request_facts *facts, int error)
{
  const struct bd_answer *answer = bd_error_answer (error);
  char id[ID_TEXT_BYTES];

  bd_stats_count (forwarder->parts.stats, BD_STAT_REFUSED, 1);
  bd_log (BD_EVENT_REQUEST_REFUSED,
          "request=%s status=%d code=%s version=%llu",
          bd_log_quote (facts->attempt_id, id, sizeof id), answer->status,
          answer->code,
          forwarder->routing
              ? (unsigned long long)bd_routing_version (forwarder->routing)
              : 0ULL);
  answer_error (exchange, error, BD_RAN_NO,
                error == BD_ERR_SUSPENDED
                    ? (int64_t)answer->retry_after_s * MS_PER_S
                    : short_retry_ms (forwarder));
}

/* Ends the request for good with ERROR. */
static void
give_up (struct forward *f, int error)
{
  enum bd_ran ran = f->may_have_run ? BD_RAN_UNKNOWN : BD_RAN_NO;
  char id[ID_TEXT_BYTES];

  /* Nothing of it can run any more: a refusal is true, and says more. */
  if (!f->may_have_run)
    error = BD_ERR_NO_RUNNER;
  bd_stats_count (f->forwarder->parts.stats,
                  f->may_have_run ? BD_STAT_FAILED : BD_STAT_REFUSED, 1);
  if (f->begun)
    bd_stats_count (f->forwarder->parts.stats, BD_STAT_BROKEN, 1);
  bd_log (
      BD_EVENT_REQUEST_FAILED,
      "request=%s route=%s code=%s ran=%s reached=%u tried=%zu events=%llu "
      "ms=%lld",
      bd_log_quote (f->facts.attempt_id, id, sizeof id), f->route->name.data,
      bd_error_answer (error)->code, bd_ran_name (ran), f->reached,
      f->tried_count, (unsigned long long)f->events,
      (long long)elapsed_ms (f));
  if (f->call)
    bd_call_cancel (f->call);
  leave_target (f);
  if (f->begun)
    bd_exchange_break (f->exchange);
  else
    answer_error (f->exchange, error, ran, short_retry_ms (f->forwarder));
  free_forward (f);
}

/* Refuses a request whose wait would be too long. */
static void
refuse_overload (struct forward *f, const struct bd_overload_case *overload)
{
  int64_t retry_ms
      = bd_overload_retry_after_ms (overload, &f->forwarder->random);
  char id[ID_TEXT_BYTES];

  bd_stats_count (f->forwarder->parts.stats, BD_STAT_REFUSED, 1);
  bd_log (BD_EVENT_REQUEST_REFUSED,
          "request=%s route=%s code=%s wait_ms=%.0f limit_ms=%.0f priority=%d "
          "retry_ms=%lld",
          bd_log_quote (f->facts.attempt_id, id, sizeof id),
          f->route->name.data, bd_error_answer (BD_ERR_OVERLOADED)->code,
          overload->wait_ms, bd_overload_limit_ms (overload),
          overload->priority, (long long)retry_ms);
  answer_error (f->exchange, BD_ERR_OVERLOADED, BD_RAN_NO, retry_ms);
  free_forward (f);
}

static void
done (struct forward *f)
{
  char id[ID_TEXT_BYTES];

  bd_stats_count (f->forwarder->parts.stats, BD_STAT_ANSWERED, 1);
  bd_log (BD_EVENT_REQUEST_DONE,
          "request=%s route=%s runner=%s status=%d reached=%u events=%llu "
          "ms=%lld version=%llu",
          bd_log_quote (f->facts.attempt_id, id, sizeof id),
          f->route->name.data, f->target ? f->target->id.data : "-", f->status,
          f->reached, (unsigned long long)f->events, (long long)elapsed_ms (f),
          (unsigned long long)bd_routing_version (f->routing));
}

/* Results of an attempt. */

static void
note_result (struct bd_forwarder *forwarder, struct bd_target *target,
             enum bd_result result)
{
  size_t count;
  struct bd_target *const *all
      = bd_targets_all (forwarder->parts.targets, &count);
  int64_t now = bd_clock_boot_ms ();
  int64_t avoided_before = target->record.avoid_until_ms;

  bd_outlier_add (target, now, result, all, count);
  if (target->record.avoid_until_ms != avoided_before)
    bd_log (BD_EVENT_TARGET_AVOIDED, "runner=%s failing=%.2f for_ms=%lld",
            target->id.data, bd_outlier_failing (target, now),
            (long long)(target->record.avoid_until_ms - now));
}

static void
log_attempt (const struct forward *f, const char *reason)
{
  char id[ID_TEXT_BYTES];

  bd_log (BD_EVENT_ATTEMPT_FAILED,
          "request=%s runner=%s reason=%s status=%d reached=%u events=%llu "
          "ms=%lld",
          bd_log_quote (f->facts.attempt_id, id, sizeof id),
          f->target->id.data, reason, f->status, f->reached,
          (unsigned long long)f->events, (long long)elapsed_ms (f));
}

/* Whether the request may go to one more runner after one that got it. */
static bool
may_repeat (struct forward *f)
{
  if (f->reached >= f->route->attempts_max || f->tried_count == TRIED_MAX)
    return false;
  if (f->ends_ms <= bd_clock_boot_ms ())
    return false;
  if (bd_retry_share_take (f->forwarder->parts.retries, bd_clock_boot_ms (),
                           f->service))
    return true;
  bd_stats_count (f->forwarder->parts.stats, BD_STAT_RETRIES_DENIED, 1);
  return false;
}

/* The runner said that it did not run the request. */
static void
after_refusal (struct forward *f)
{
  log_attempt (f, "refused");
  note_result (f->forwarder, f->target, BD_RESULT_REFUSED);
  leave_target (f);
  if (may_repeat (f))
    next_attempt (f);
  else
    give_up (f, f->begun ? BD_ERR_BROKEN : BD_ERR_NO_RUNNER);
}

/* The attempt failed after the runner may have begun. */
static void
after_failure (struct forward *f, int error, const char *reason)
{
  log_attempt (f, reason);
  note_result (f->forwarder, f->target, BD_RESULT_FAILURE);
  leave_target (f);
  f->may_have_run = true;
  if (repeatable (f) && may_repeat (f))
    next_attempt (f);
  else
    give_up (f, error);
}

/* Nothing of the request reached the runner. */
static void
after_no_connection (struct forward *f)
{
  log_attempt (f, "unreachable");
  note_result (f->forwarder, f->target, BD_RESULT_UNREACHABLE);
  f->reached--;
  leave_target (f);
  if (f->tried_count < TRIED_MAX)
    next_attempt (f);
  else
    give_up (f, BD_ERR_NO_RUNNER);
}

/* Answers. */

/* Keeps the fields of a runner's response for the caller. */
static void
keep_fields (struct forward *f, const struct bd_head *head)
{
  bd_buffer_reset (&f->fields);
  for (size_t i = 0; i < head->field_count; i++)
    {
      const struct bd_field *field = &head->fields[i];

      if (!bd_head_hop_by_hop (head, field->name))
        bd_buffer_printf (&f->fields, "%.*s: %.*s\r\n",
                          (int)field->name.length, field->name.data,
                          (int)field->value.length, field->value.data);
    }
}

static bool
is_event_stream (const struct bd_head *head)
{
  static const char type[] = "text/event-stream";
  struct bd_chunk value = bd_head_value (head, BD_CHUNK ("Content-Type"));

  return value.length >= sizeof type - 1
         && bd_field_named ((struct bd_chunk){ value.data, sizeof type - 1 },
                            BD_CHUNK ("text/event-stream"));
}

static bool
succeeded (const struct forward *f)
{
  return f->status >= 200 && f->status < 300;
}

static void
on_head (void *context, const struct bd_head *head)
{
  struct forward *f = context;

  f->status = head->status;
  f->target->heard_ms = bd_clock_boot_ms ();
  f->forwarder->parts.dialect->read_response (head, &f->response);
  f->streaming = f->route->repeat == BD_REPEAT_STREAM && succeeded (f)
                 && f->response.genuine && is_event_stream (head);
  if (f->begun)
    return; /* The first runner's head has been sent. */
  keep_fields (f, head);
}

static void
on_unread (uv_timer_t *timer)
{
  struct forward *f = timer->data;

  if (bd_exchange_pending (f->exchange) > UNREAD_MAX_BYTES / 2)
    return;
  uv_timer_stop (timer);
  f->paused = false;
  bd_call_resume (f->call);
}

/* Stops reading from the runner while the caller does not read. */
static void
pace (struct forward *f)
{
  if (f->paused || bd_exchange_pending (f->exchange) <= UNREAD_MAX_BYTES)
    return;
  f->paused = true;
  bd_call_pause (f->call);
  uv_timer_start (&f->patience, on_unread, UNREAD_RESUME_MS, UNREAD_RESUME_MS);
}

static void
first_event (struct forward *f)
{
  uv_timer_stop (&f->patience);
  uncharge (f);
  if (f->begun)
    return;
  f->begun = true;
  bd_choice_learn (f->forwarder->parts.choice, f->service, f->begin_tokens,
                   bd_clock_boot_ms () - f->sent_ms);
  bd_stats_answer_time (f->forwarder->parts.stats, elapsed_ms (f) * 1000);
  bd_exchange_begin (f->exchange, f->status, bd_buffer_chunk (&f->fields));
}

static void
pass_event (struct forward *f, struct bd_chunk event)
{
  struct bd_chunk id = bd_sse_id (event);

  first_event (f);
  if (id.length > 0 && id.length < sizeof f->last_event_id)
    {
      memcpy (f->last_event_id, id.data, id.length);
      f->last_event_id[id.length] = '\0';
    }
  f->events++;
  bd_exchange_send (f->exchange, event);
}

/* Passes on whole events, those of one read in one piece. */
static void
pass_events (struct forward *f)
{
  struct bd_buffer event = { 0 };

  while (bd_sse_next (&f->sse, &event))
    pass_event (f, bd_buffer_chunk (&event));
  bd_buffer_clear (&event);
  pace (f);
}

static void
on_body (void *context, struct bd_chunk data)
{
  struct forward *f = context;
  int error;

  f->target->heard_ms = bd_clock_boot_ms ();
  if (f->streaming)
    error = bd_sse_feed (&f->sse, data);
  else if (f->body.length + data.length > ANSWER_MAX_BYTES)
    error = BD_ERR_TOO_LARGE;
  else
    error = bd_buffer_append (&f->body, data);
  if (error != BD_OK)
    {
      bd_call_cancel (f->call);
      f->call = NULL;
      after_failure (f, BD_ERR_BROKEN, "too_large");
    }
  else if (f->streaming)
    pass_events (f);
}

static void
end_stream (struct forward *f)
{
  if (f->sse.pending.length > 0)
    {
      after_failure (f, BD_ERR_BROKEN, "partial_event");
      return;
    }
  note_result (f->forwarder, f->target, BD_RESULT_SUCCESS);
  first_event (f);
  done (f);
  bd_exchange_end (f->exchange);
  free_forward (f);
}

static void
end_answer (struct forward *f)
{
  if (succeeded (f))
    bd_suspects_completed (f->forwarder->parts.suspects, bd_clock_boot_ms (),
                           f->fingerprint);
  note_result (f->forwarder, f->target,
               f->status >= 500 ? BD_RESULT_FAILURE : BD_RESULT_SUCCESS);
  bd_stats_answer_time (f->forwarder->parts.stats, elapsed_ms (f) * 1000);
  done (f);
  bd_exchange_reply (f->exchange, f->status, bd_buffer_chunk (&f->fields),
                     bd_buffer_chunk (&f->body));
  free_forward (f);
}

static void
on_call_end (void *context)
{
  struct forward *f = context;

  f->call = NULL;
  if (f->response.not_executed)
    after_refusal (f);
  else if (f->streaming)
    end_stream (f);
  else if (f->begun || (succeeded (f) && !f->response.genuine))
    after_failure (f, BD_ERR_BROKEN, "not_the_answer");
  else if (f->status >= 500 && repeatable (f)
           && f->reached < f->route->attempts_max)
    after_failure (f, BD_ERR_ENGINE, "error");
  else
    end_answer (f);
}

static const char *
failure_name (const struct bd_call_failure *failure)
{
  switch (failure->error)
    {
    case BD_ERR_BROKEN:
      return "closed";
    case BD_ERR_IO:
      return "reset";
    case BD_ERR_INVALID:
      return "not_http";
    case BD_ERR_PROTOCOL:
      return "other_answer";
    default:
      return "failed";
    }
}

/* Checks: whether a runner that broke a connection still accepts others. */

struct check
{
  struct bd_forwarder *forwarder;
  char *runner;
  struct bd_strike strike; /* Counts when it does not. */
};

static void
end_check (struct check *check)
{
  check->forwarder->checks--;
  free (check->runner);
  free (check);
}

static void
on_check_end (void *context)
{
  end_check (context);
}

static void
on_check_fail (void *context, const struct bd_call_failure *failure)
{
  struct check *check = context;
  struct bd_forward_parts *parts = &check->forwarder->parts;
  int64_t now = bd_clock_boot_ms ();
  struct bd_target *target
      = bd_targets_find (parts->targets, bd_chunk_of (check->runner));

  (void)failure;
  if (target)
    note_result (check->forwarder, target, BD_RESULT_UNREACHABLE);
  if (bd_suspects_strike (parts->suspects, now, &check->strike))
    bd_log (BD_EVENT_STRIKE, "fingerprint=%016llx runner=%s alone=%d",
            (unsigned long long)check->strike.fingerprint, check->runner,
            (int)check->strike.alone);
  end_check (check);
}

static const struct bd_call_handler check_handler
    = { .on_end = on_check_end, .on_fail = on_check_fail };

/* A runner that dies resets or closes what it has at hand, and so does one
   that merely spoils an answer: only the first refuses new connections. */
static void
check_runner (struct forward *f, const struct bd_call_failure *failure)
{
  struct bd_forwarder *forwarder = f->forwarder;
  struct bd_call_request request
      = { .connect_only = true, .connect_timeout_ms = CONNECT_TIMEOUT_MS };
  struct check *check;

  if ((failure->error != BD_ERR_IO && failure->error != BD_ERR_BROKEN)
      || forwarder->checks == CHECKS_MAX)
    return;
  check = calloc (1, sizeof *check);
  if (!check)
    return;
  check->forwarder = forwarder;
  check->runner = bd_chunk_copy (f->target->id);
  check->strike.fingerprint = f->fingerprint;
  check->strike.crash = bd_id_random ();
  check->strike.alone = f->suspected;
  request.address.sin_family = AF_INET;
  request.address.sin_addr.s_addr = f->target->ip;
  request.address.sin_port = f->target->port;
  forwarder->checks++;
  if (!check->runner
      || !bd_client_call (forwarder->parts.client, &request, &check_handler,
                          check))
    end_check (check);
}

static void
on_call_fail (void *context, const struct bd_call_failure *failure)
{
  struct forward *f = context;

  f->call = NULL;
  if (f->response.not_executed)
    after_refusal (f);
  else if (!failure->sent)
    after_no_connection (f);
  else
    {
      if (!failure->reused || failure->answered)
        check_runner (f, failure);
      after_failure (f, BD_ERR_OUTCOME_UNKNOWN, failure_name (failure));
    }
}

static const struct bd_call_handler call_handler = { .on_head = on_head,
                                                     .on_body = on_body,
                                                     .on_end = on_call_end,
                                                     .on_fail = on_call_fail };

/* Attempts. */

static void
write_request (struct forward *f, struct bd_buffer *out)
{
  const struct bd_dialect *dialect = f->forwarder->parts.dialect;
  const struct bd_head *head = bd_exchange_head (f->exchange);
  struct bd_chunk body = bd_exchange_body (f->exchange);
  const struct bd_service *service
      = bd_routing_service (f->routing, f->service);
  struct bd_request_orders orders = { .instance = f->target->id };

  bd_buffer_printf (out, "%.*s %.*s HTTP/1.1\r\n", (int)head->method.length,
                    head->method.data, (int)head->target.length,
                    head->target.data);
  for (size_t i = 0; i < head->field_count; i++)
    {
      const struct bd_field *field = &head->fields[i];

      if (dialect->reserved (field->name)
          || (bd_head_hop_by_hop (head, field->name)
              && !dialect->essential (field->name)))
        continue;
      if (f->begun && bd_field_named (field->name, BD_CHUNK ("Last-Event-Id")))
        continue;
      bd_buffer_printf (out, "%.*s: %.*s\r\n", (int)field->name.length,
                        field->name.data, (int)field->value.length,
                        field->value.data);
    }
  if (f->begun)
    bd_buffer_printf (out, "Last-Event-Id: %s\r\n", f->last_event_id);
  if (f->workspace)
    orders.workspace = f->workspace->name;
  orders.left_ms = f->ends_ms - bd_clock_boot_ms ();
  orders.priority = service && service->engine
                        ? bd_request_priority (f->workspace, f->route)
                        : -1;
  dialect->write_orders (out, &orders);
  if (body.length > 0 || head->chunked || head->body_length >= 0)
    bd_buffer_printf (out, "Content-Length: %zu\r\n", body.length);
  bd_buffer_append (out, BD_CHUNK ("\r\n"));
}

static void
on_patience (uv_timer_t *timer)
{
  struct forward *f = timer->data;
  int64_t now = bd_clock_boot_ms ();

  /* A runner that works on other requests is slow, not stuck. */
  if (f->route->repeat == BD_REPEAT_STREAM
      && now - f->target->heard_ms < SILENCE_MS)
    {
      uv_timer_start (timer, on_patience, SILENCE_AGAIN_MS, 0);
      return;
    }
  if (f->reached >= f->route->attempts_max || !may_repeat (f))
    return;
  log_attempt (f, "silent");
  note_result (f->forwarder, f->target, BD_RESULT_FAILURE);
  bd_call_cancel (f->call);
  leave_target (f);
  f->may_have_run = true;
  next_attempt (f);
}

static void
await (struct forward *f)
{
  double share = f->route->repeat == BD_REPEAT_STREAM ? PATIENCE_STREAM
                                                      : PATIENCE_PLAIN;

  if (!repeatable (f) || f->reached >= f->route->attempts_max)
    return;
  uv_timer_start (&f->patience, on_patience,
                  (uint64_t)((double)f->route->objective_ms * share), 0);
}

static int
send_to (struct forward *f, const struct bd_pick *pick)
{
  struct bd_target *target = pick->target;
  struct bd_forward_parts *parts = &f->forwarder->parts;
  const struct bd_head *head = bd_exchange_head (f->exchange);
  struct bd_call_request request = { 0 };
  struct bd_buffer out = { 0 };

  f->target = target;
  f->status = 0;
  f->streaming = false;
  memset (&f->response, 0, sizeof f->response);
  bd_buffer_reset (&f->body);
  bd_sse_clear (&f->sse);
  write_request (f, &out);
  request.address.sin_family = AF_INET;
  request.address.sin_addr.s_addr = target->ip;
  request.address.sin_port = target->port;
  request.head = bd_buffer_chunk (&out);
  request.body = bd_exchange_body (f->exchange);
  request.echo.name = parts->dialect->attempt_field;
  request.echo.value = f->facts.attempt_id;
  request.connect_timeout_ms = CONNECT_TIMEOUT_MS;
  request.idle_max_ms = repeatable (f) ? IDLE_MAX_MS : IDLE_MAX_ONCE_MS;
  request.no_body = bd_field_named (head->method, BD_CHUNK ("HEAD"));
  f->call = bd_client_call (parts->client, &request, &call_handler, f);
  bd_buffer_clear (&out);
  if (!f->call)
    {
      f->target = NULL;
      return BD_ERR_IO;
    }
  target->in_flight++;
  f->charged_tokens = pick->prefill_tokens;
  f->begin_tokens = pick->ahead_tokens + pick->prefill_tokens;
  target->prefill_tokens += f->charged_tokens;
  f->sent_ms = bd_clock_boot_ms ();
  bd_choice_sent (parts->choice, &f->demand, target);
  bd_outlier_sent (target, f->sent_ms);
  await (f);
  return BD_OK;
}

/* True when TARGET's connections are used up by this instance's part. */
static bool
connections_full (const struct forward *f, const struct bd_target *target)
{
  const struct bd_service *service
      = bd_routing_service (f->routing, f->service);
  struct sockaddr_in address = { 0 };

  if (!service || service->connections_max == 0)
    return false;
  address.sin_addr.s_addr = target->ip;
  address.sin_port = target->port;
  return bd_client_open (f->forwarder->parts.client, &address)
             * f->forwarder->members
         >= service->connections_max;
}

static struct bd_pick
pick_target (struct forward *f)
{
  struct bd_pick pick = { 0 };
  struct bd_forward_parts *parts = &f->forwarder->parts;
  size_t count;
  struct bd_target *const *all = bd_targets_all (parts->targets, &count);

  f->demand.now_ms = bd_clock_boot_ms ();
  while (f->tried_count < TRIED_MAX)
    {
      f->demand.tried = f->tried;
      f->demand.tried_count = f->tried_count;
      pick = bd_choice_pick (parts->choice, &f->demand, all, count);
      if (!pick.target)
        return pick;
      f->tried[f->tried_count++] = pick.target;
      if (!connections_full (f, pick.target))
        return pick;
    }
  pick.target = NULL;
  return pick;
}

static void
log_placed (const struct forward *f, const struct bd_pick *pick)
{
  const struct bd_target *target = pick->target;
  char id[ID_TEXT_BYTES];

  bd_log (BD_EVENT_REQUEST_PLACED,
          "request=%s route=%s runner=%s place=%s prefix=%08x cost_ms=%.0f "
          "prefill=%llu in_flight=%u+%u queued=%llu+%llu left_ms=%lld",
          bd_log_quote (f->facts.attempt_id, id, sizeof id),
          f->route->name.data, target->id.data, bd_place_name (pick->place),
          (unsigned)f->demand.prefix_hash, pick->cost_ms,
          (unsigned long long)pick->prefill_tokens, target->in_flight,
          target->peers_in_flight, (unsigned long long)target->prefill_tokens,
          (unsigned long long)target->peers_prefill_tokens,
          (long long)(f->ends_ms - f->demand.now_ms));
}

static void
log_repeat (const struct forward *f, const struct bd_target *target)
{
  char id[ID_TEXT_BYTES];

  bd_stats_count (f->forwarder->parts.stats,
                  f->begun ? BD_STAT_RESUMES : BD_STAT_RETRIES, 1);
  bd_log (f->begun ? BD_EVENT_REQUEST_RESUME : BD_EVENT_REQUEST_RETRY,
          "request=%s runner=%s reached=%u after=%s ms=%lld",
          bd_log_quote (f->facts.attempt_id, id, sizeof id), target->id.data,
          f->reached, f->begun ? f->last_event_id : "-",
          (long long)elapsed_ms (f));
}

static void
next_attempt (struct forward *f)
{
  struct bd_pick pick = pick_target (f);
  struct bd_overload_case overload;

  if (!pick.target)
    {
      give_up (f, f->may_have_run ? BD_ERR_OUTCOME_UNKNOWN : BD_ERR_NO_RUNNER);
      return;
    }
  overload = (struct bd_overload_case){
    .wait_ms = pick.wait_ms,
    .objective_ms = f->route->objective_ms,
    .left_ms = f->ends_ms - f->demand.now_ms,
    .priority = bd_request_priority (f->workspace, f->route),
    .least_priority = f->forwarder->least_priority
  };
  if (f->reached == 0 && bd_overload_refuses (&overload))
    {
      refuse_overload (f, &overload);
      return;
    }
  if (f->reached > 0)
    log_repeat (f, pick.target);
  else
    bd_retry_share_first (f->forwarder->parts.retries, f->demand.now_ms,
                          f->service);
  f->reached++;
  log_placed (f, &pick);
  if (send_to (f, &pick) != BD_OK)
    give_up (f, BD_ERR_NO_RUNNER);
}

static void
on_timeout (uv_timer_t *timer)
{
  struct forward *f = timer->data;

  if (f->ended)
    return;
  if (f->call && !f->response.not_executed)
    {
      f->may_have_run = true;
      log_attempt (f, "timeout");
      if (!f->begun && f->route->repeat != BD_REPEAT_STREAM)
        note_result (f->forwarder, f->target, BD_RESULT_FAILURE);
    }
  give_up (f, BD_ERR_TIMEOUT);
}

/* Requests. */

static uint64_t
fingerprint_of (const struct bd_exchange *exchange,
                const struct bd_workspace *workspace)
{
  uint64_t hash = bd_chunk_hash (bd_exchange_head (exchange)->target);

  hash = bd_random_mix (hash ^ bd_chunk_hash (bd_exchange_body (exchange)));
  if (workspace)
    hash = bd_random_mix (hash ^ bd_chunk_hash (workspace->name));
  return hash;
}

static struct bd_chunk
path_of (const struct bd_head *head)
{
  struct bd_chunk path = head->target;
  const char *query = memchr (path.data, '?', path.length);

  if (query)
    path.length = (size_t)(query - path.data);
  return path;
}

/* How long a request may be kept waiting for its whole answer. */
static int64_t
time_limit (const struct bd_route *route, const struct bd_request_facts *facts)
{
  if (facts->patience_ms >= 0
      && (route->timeout_ms <= 0 || facts->patience_ms < route->timeout_ms))
    return facts->patience_ms;
  return route->timeout_ms;
}

/* True when the process may end before the request does. */
static bool
too_late (const struct bd_forwarder *forwarder, const struct bd_route *route,
          const struct bd_request_facts *facts)
{
  int64_t now = bd_clock_boot_ms ();

  return forwarder->take_until_ms != 0 && now > forwarder->take_until_ms
         && now + time_limit (route, facts) > forwarder->end_ms;
}

/* Checks a request against the routing.  Returns BD_OK or why it is refused,
   and sets what was found. */
static int
classify (struct bd_forwarder *forwarder, struct bd_exchange *exchange,
          struct bd_request_facts *facts, const struct bd_route **route,
          const struct bd_workspace **workspace)
{
  const struct bd_head *head = bd_exchange_head (exchange);
  struct bd_routing *routing = forwarder->routing;
  int error = forwarder->parts.dialect->read_request (head, facts);

  if (error != BD_OK)
    return error;
  if (!routing)
    return BD_ERR_NOT_READY;
  *route = bd_routing_find (routing, bd_head_value (head, BD_CHUNK ("Host")),
                            path_of (head));
  if (!*route)
    return BD_ERR_NOT_FOUND;
  *workspace = facts->credential.data
                   ? bd_routing_workspace (routing, facts->credential)
                   : NULL;
  if (!*workspace && bd_routing_has_workspaces (routing)
      && !(*route)->is_public)
    return BD_ERR_UNAUTHORIZED;
  if (too_late (forwarder, *route, facts))
    return BD_ERR_LEAVING;
  if (bd_suspects_look (forwarder->parts.suspects, bd_clock_boot_ms (),
                        fingerprint_of (exchange, *workspace))
      == BD_SUSPICION_QUARANTINE)
    return BD_ERR_SUSPENDED;
  return BD_OK;
}

static void
set_deadline (struct forward *f)
{
  int64_t limit = time_limit (f->route, &f->facts);
  int64_t now = bd_clock_boot_ms ();

  f->arrived_ms = bd_exchange_arrived_ms (f->exchange);
  f->ends_ms = f->arrived_ms + limit;
  uv_timer_start (&f->timer, on_timeout,
                  f->ends_ms > now ? (uint64_t)(f->ends_ms - now) : 0, 0);
}

static struct forward *
create_forward (struct bd_forwarder *forwarder, struct bd_exchange *exchange)
{
  struct forward *f = calloc (1, sizeof *f);

  if (!f)
    return NULL;
  f->forwarder = forwarder;
  f->exchange = exchange;
  f->routing = bd_routing_ref (forwarder->routing);
  uv_timer_init (forwarder->parts.loop, &f->timer);
  uv_timer_init (forwarder->parts.loop, &f->patience);
  f->timer.data = f;
  f->patience.data = f;
  f->open_timers = 2;
  f->next = forwarder->forwards;
  if (f->next)
    f->next->previous = f;
  forwarder->forwards = f;
  bd_exchange_set_owner (exchange, f);
  return f;
}

static void
on_request (void *context, struct bd_exchange *exchange)
{
  struct bd_forwarder *forwarder = context;
  struct bd_request_facts facts = { 0 };
  const struct bd_route *route = NULL;
  const struct bd_workspace *workspace = NULL;
  struct forward *f;
  int error;

  forwarder->last_ms = bd_clock_boot_ms ();
  bd_stats_count (forwarder->parts.stats, BD_STAT_REQUESTS, 1);
  error = classify (forwarder, exchange, &facts, &route, &workspace);
  f = error == BD_OK ? create_forward (forwarder, exchange) : NULL;
  if (!f)
    {
      refuse (forwarder, exchange, &facts,
              error == BD_OK ? BD_ERR_NOMEM : error);
      return;
    }
  f->facts = facts;
  f->route = route;
  f->workspace = workspace;
  f->service = bd_route_service (route, bd_chunk_hash (facts.attempt_id));
  f->fingerprint = fingerprint_of (exchange, workspace);
  f->suspected = bd_suspects_look (forwarder->parts.suspects,
                                   forwarder->last_ms, f->fingerprint)
                 != BD_SUSPICION_NONE;
  f->demand.service = f->service;
  f->demand.zone = forwarder->parts.zone;
  f->demand.prefix_hash = facts.prefix_hash;
  f->demand.shared_tokens = facts.shared_tokens;
  f->demand.own_tokens = facts.own_tokens;
  set_deadline (f);
  next_attempt (f);
}

static void
on_abort (void *context, struct bd_exchange *exchange)
{
  struct bd_forwarder *forwarder = context;
  struct forward *f = bd_exchange_owner (exchange);
  char id[ID_TEXT_BYTES];

  if (!f)
    return;
  bd_stats_count (forwarder->parts.stats, BD_STAT_ABORTED, 1);
  bd_log (BD_EVENT_REQUEST_ABORTED,
          "request=%s route=%s runner=%s events=%llu ms=%lld",
          bd_log_quote (f->facts.attempt_id, id, sizeof id),
          f->route->name.data, f->target ? f->target->id.data : "-",
          (unsigned long long)f->events, (long long)elapsed_ms (f));
  free_forward (f);
}

const struct bd_server_handler bd_forwarder_handler
    = { .on_request = on_request, .on_abort = on_abort };

struct bd_forwarder *
bd_forwarder_create (const struct bd_forward_parts *parts)
{
  struct bd_forwarder *forwarder = calloc (1, sizeof *forwarder);

  if (!forwarder)
    return NULL;
  forwarder->parts = *parts;
  forwarder->members = 1;
  forwarder->random = bd_id_random ().low;
  return forwarder;
}

void
bd_forwarder_route_by (struct bd_forwarder *forwarder,
                       struct bd_routing *routing)
{
  bd_routing_unref (forwarder->routing);
  forwarder->routing = bd_routing_ref (routing);
  forwarder->least_priority = bd_routing_least_priority (routing);
}

void
bd_forwarder_members (struct bd_forwarder *forwarder, uint32_t count)
{
  forwarder->members = count > 0 ? count : 1;
}

void
bd_forwarder_stop (struct bd_forwarder *forwarder, int64_t take_until_ms,
                   int64_t end_ms)
{
  forwarder->take_until_ms = take_until_ms;
  forwarder->end_ms = end_ms;
}

void
bd_forwarder_tick (struct bd_forwarder *forwarder, int64_t now_ms)
{
  struct forward *next;

  for (struct forward *f = forwarder->forwards; f; f = next)
    {
      next = f->next;
      if (now_ms > f->ends_ms)
        on_timeout (&f->timer);
    }
}

int64_t
bd_forwarder_last_ms (const struct bd_forwarder *forwarder)
{
  return forwarder->last_ms;
}
