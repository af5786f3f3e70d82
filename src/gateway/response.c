#include "gateway/forwarding.h"

#include "balance/pause.h"
#include "common/clock.h"
#include "common/log.h"

#include <string.h>

/* Largest response that is not a stream. */
#define ANSWER_MAX_BYTES ((size_t)8 * 1024 * 1024)
/* Reading a stream is paused while more bytes than this wait for the caller,
   and checked at this interval. */
#define UNREAD_MAX_BYTES ((size_t)64 * 1024)
#define UNREAD_RESUME_MS 20
#define STATUS_UNAVAILABLE 503

/* Responses. */

/* Stores the header fields of a runner's response for the caller. */
static void
keep_fields (struct bd_forward *f, const struct bd_head *head)
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
succeeded (const struct bd_forward *f)
{
  return f->status >= 200 && f->status < 300;
}

/* Handles Retry-After of a runner that rejected the request: the runner asks
   for a pause. */
static void
note_pause_asked (struct bd_forward *f, const struct bd_head *head)
{
  int error = bd_head_retry_after_ms (head, &f->outcome.pause_ms);

  if (error == BD_ERR_NOT_FOUND)
    return;
  if (error != BD_OK)
    {
      bd_log (BD_EVENT_PROTOCOL_ERROR,
              "source=runner runner=%s field=Retry-After", f->target->id.data);
      return;
    }
  bd_stats_count (f->forwarder->parts.stats, BD_STAT_PAUSES, 1);
  bd_pause_begin (f->target, bd_clock_boot_ms (), f->outcome.pause_ms);
  if (f->outcome.pause_ms > BD_PAUSE_MOST_MS)
    f->outcome.pause_ms = BD_PAUSE_MOST_MS;
}

/* Records that bytes came from the runner, unless another runner at its
   address sent them. */
static void
note_heard (struct bd_forward *f)
{
  if (!f->response.misdirected)
    f->target->heard_ms = bd_clock_boot_ms ();
}

/* Records what the head of the response tells about the runner itself. */
static void
note_runner (struct bd_forward *f, const struct bd_head *head)
{
  int64_t now = bd_clock_boot_ms ();

  note_heard (f);
  if (f->response.misdirected)
    return;
  if (f->response.leaving
      && bd_targets_leaving (f->forwarder->parts.targets, f->target,
                             f->target_born_ms, now, true))
    bd_stats_count (f->forwarder->parts.stats, BD_STAT_LEAVING, 1);
  if (f->status == STATUS_UNAVAILABLE)
    note_pause_asked (f, head);
}

static void
on_head (void *context, const struct bd_head *head)
{
  struct bd_forward *f = context;

  f->status = head->status;
  f->forwarder->parts.dialect->read_response (head, &f->response);
  note_runner (f, head);
  f->streaming = f->route->repeat == BD_REPEAT_STREAM && succeeded (f)
                 && f->response.genuine && is_event_stream (head);
  if (f->begun)
    return; /* The head of the first runner's response has been sent. */
  keep_fields (f, head);
}

static void
on_unread (uv_timer_t *timer)
{
  struct bd_forward *f = timer->data;

  if (bd_exchange_pending (f->exchange) > UNREAD_MAX_BYTES / 2)
    return;
  uv_timer_stop (timer);
  f->paused = false;
  bd_call_resume (f->call);
}

/* Pauses reading from the runner while the caller does not read. */
static void
pace (struct bd_forward *f)
{
  if (f->paused || bd_exchange_pending (f->exchange) <= UNREAD_MAX_BYTES)
    return;
  f->paused = true;
  bd_call_pause (f->call);
  uv_timer_start (&f->patience, on_unread, UNREAD_RESUME_MS, UNREAD_RESUME_MS);
}

static void
first_event (struct bd_forward *f)
{
  uv_timer_stop (&f->patience);
  bd_forward_uncharge (f);
  if (f->begun)
    return;
  f->begun = true;
  f->first_ms = bd_forward_elapsed_ms (f);
  bd_speeds_read (bd_choice_speeds (f->forwarder->parts.choice), f->service,
                  f->begin_tokens, bd_clock_boot_ms () - f->sent_ms);
  bd_stats_answer_time (f->forwarder->parts.stats, f->first_ms * 1000);
  bd_exchange_begin (f->exchange, f->status, bd_buffer_chunk (&f->fields));
}

static void
pass_event (struct bd_forward *f, struct bd_chunk event)
{
  struct bd_chunk id = bd_sse_id (event);

  f->progressed = true;
  first_event (f);
  if (id.length > 0 && id.length < sizeof f->last_event_id)
    {
      memcpy (f->last_event_id, id.data, id.length);
      f->last_event_id[id.length] = '\0';
    }
  f->events++;
  bd_exchange_send (f->exchange, event);
}

/* Updates the longest time between events. */
static void
note_pause (struct bd_forward *f)
{
  int64_t now = bd_clock_boot_ms ();

  if (f->event_ms != 0 && now - f->event_ms > f->gap_ms)
    f->gap_ms = now - f->event_ms;
  f->event_ms = now;
}

/* Sends the complete events on to the caller; those of one read together. */
static void
pass_events (struct bd_forward *f)
{
  struct bd_buffer event = { 0 };
  uint64_t before = f->events;

  while (bd_sse_next (&f->sse, &event))
    pass_event (f, bd_buffer_chunk (&event));
  bd_buffer_clear (&event);
  if (f->events > before)
    note_pause (f);
  pace (f);
}

/* Fails the attempt because its response is too large. */
static void
refuse_answer (struct bd_forward *f)
{
  bd_call_cancel (f->call);
  f->call = NULL;
  bd_buffer_clear (&f->body);
  bd_sse_clear (&f->sse);
  bd_forward_count_held (f);
  bd_forward_after_failure (f, BD_ERR_BROKEN, "too_large");
}

/* Returns the request with the most buffered bytes. */
static struct bd_forward *
largest (const struct bd_forwarder *forwarder)
{
  struct bd_forward *most = forwarder->forwards;

  for (struct bd_forward *f = most; f; f = f->next)
    if (f->held > most->held)
      most = f;
  return most;
}

/* Buffers DATA for F.  Responses within their own limits may exceed the common
   limit together; then the largest one fails. */
static int
hold (struct bd_forward *f, struct bd_chunk data)
{
  struct bd_forwarder *forwarder = f->forwarder;
  struct bd_forward *most;

  while (forwarder->held + data.length > forwarder->parts.held_max_bytes)
    {
      most = largest (forwarder);
      if (most->held <= f->held + data.length)
        return BD_ERR_TOO_LARGE;
      refuse_answer (most);
    }
  if (f->streaming)
    return bd_sse_feed (&f->sse, data);
  if (f->body.length + data.length > ANSWER_MAX_BYTES)
    return BD_ERR_TOO_LARGE;
  return bd_buffer_append (&f->body, data);
}

static void
on_body (void *context, struct bd_chunk data)
{
  struct bd_forward *f = context;

  note_heard (f);
  if (hold (f, data) != BD_OK)
    {
      refuse_answer (f);
      return;
    }
  if (f->streaming)
    pass_events (f);
  bd_forward_count_held (f);
}

static void
end_stream (struct bd_forward *f)
{
  struct bd_speeds *speeds = bd_choice_speeds (f->forwarder->parts.choice);

  if (f->sse.pending.length > 0)
    {
      bd_forward_after_failure (f, BD_ERR_BROKEN, "partial_event");
      return;
    }
  bd_crashes_completed (f->forwarder->crashes, bd_clock_boot_ms (),
                        &f->fingerprint);
  bd_forward_note (f, BD_RESULT_SUCCESS);
  bd_speeds_held (speeds, f->service, bd_clock_boot_ms () - f->sent_ms);
  first_event (f);
  bd_forward_done (f);
  bd_exchange_end (f->exchange);
  bd_forward_free (f);
}

static void
end_answer (struct bd_forward *f)
{
  if (succeeded (f))
    bd_crashes_completed (f->forwarder->crashes, bd_clock_boot_ms (),
                          &f->fingerprint);
  bd_forward_note (f,
                   f->status >= 500 ? BD_RESULT_FAILURE : BD_RESULT_SUCCESS);
  if (f->found_free && f->demand.own_tokens == 0)
    bd_speeds_worked (bd_choice_speeds (f->forwarder->parts.choice),
                      f->service, bd_clock_boot_ms () - f->sent_ms);
  bd_stats_answer_time (f->forwarder->parts.stats,
                        bd_forward_elapsed_ms (f) * 1000);
  bd_forward_done (f);
  bd_exchange_reply (f->exchange, f->status, bd_buffer_chunk (&f->fields),
                     bd_buffer_chunk (&f->body));
  bd_forward_free (f);
}

static void
on_call_end (void *context)
{
  struct bd_forward *f = context;

  f->call = NULL;
  if (f->response.not_executed)
    bd_forward_after_refusal (f);
  else if (f->streaming)
    end_stream (f);
  else if (f->begun || (succeeded (f) && !f->response.genuine))
    bd_forward_after_failure (f, BD_ERR_BROKEN, "not_the_answer");
  else if (f->status >= 500 && bd_forward_repeatable (f)
           && f->reached < f->route->attempts_max)
    bd_forward_after_failure (f, BD_ERR_ENGINE, "error");
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

static void
on_call_fail (void *context, const struct bd_call_failure *failure)
{
  struct bd_forward *f = context;

  f->call = NULL;
  if (f->response.not_executed)
    bd_forward_after_refusal (f);
  else if (!failure->sent)
    bd_forward_after_no_connection (f);
  else
    {
      if (failure->error == BD_ERR_IO || failure->error == BD_ERR_BROKEN)
        bd_forward_note_crash (f, BD_CRASH_CONNECTION_LOST);
      bd_forward_after_failure (f, BD_ERR_OUTCOME_UNKNOWN,
                                failure_name (failure));
    }
}

const struct bd_call_handler bd_forward_call_handler
    = { .on_head = on_head,
        .on_body = on_body,
        .on_end = on_call_end,
        .on_fail = on_call_fail };
