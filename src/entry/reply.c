#include "entry/reply.h"
#include "common/clock.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A stream without data for this long gets a comment, which detects that
   the caller has disconnected. */
#define KEEPALIVE_INTERVAL_MS 5000
#define WAIT_TIMEOUT_MS 1000
/* A longer answer is sent in pieces, so that it counts as delivered only
   when the kernel has all of it. */
#define UNCHUNKED_MAX_BYTES ((size_t)128 * 1024)

static int
retry_after_s (int error, int64_t retry_after_ms)
{
  int default_s = bd_error_answer (error)->retry_after_s;
  int64_t requested_s = (retry_after_ms + 999) / 1000;

  /* An error without a default does not ask the caller to retry. */
  if (default_s == 0 || requested_s <= default_s)
    return default_s;
  return requested_s < INT32_MAX ? (int)requested_s : INT32_MAX;
}

static char *
error_json (const char *request_id, int error, enum bd_ran ran)
{
  const struct bd_answer *a = bd_error_answer (error);
  json_t *root = json_pack (
      "{s:{s:s, s:s, s:s, s:s, s:s}}", "error", "message", a->text, "type",
      a->status < 500 ? "invalid_request_error" : "server_error", "code",
      a->code, "ran", bd_ran_name (ran), "request_id", request_id);
  char *text = root ? json_dumps (root, JSON_COMPACT) : NULL;

  json_decref (root);
  return text;
}

void
bd_reply_write_error (const char *request_id, int error, enum bd_ran ran,
                      int64_t retry_after_ms, const char *next_key,
                      struct bd_buffer *fields, struct bd_buffer *body)
{
  char *text = error_json (request_id, error, ran);
  int retry = retry_after_s (error, retry_after_ms);

  bd_buffer_printf (fields,
                    "Content-Type: application/json\r\nX-Request-Id: %s\r\n"
                    "X-Basildock-Ran: %s\r\n",
                    request_id, bd_ran_name (ran));
  if (retry > 0)
    bd_buffer_printf (fields, "Retry-After: %d\r\n", retry);
  if (next_key)
    bd_buffer_printf (fields, "X-Basildock-Next-Key: %s\r\n", next_key);
  bd_buffer_append (body, bd_chunk_of (text ? text : ""));
  free (text);
}

void
bd_reply_error (struct bd_caller_request *request, const char *request_id,
                int error, enum bd_ran ran, int64_t retry_after_ms,
                const char *next_key)
{
  struct bd_buffer fields = { 0 };
  struct bd_buffer body = { 0 };

  bd_reply_write_error (request_id, error, ran, retry_after_ms, next_key,
                        &fields, &body);
  bd_caller_request_reply (request, bd_error_answer (error)->status,
                           bd_buffer_chunk (&fields), bd_buffer_chunk (&body));
  bd_buffer_clear (&fields);
  bd_buffer_clear (&body);
}

/* Drops control characters from VALUE: a value from an engine must not
   start another header line. */
static void
write_header (struct bd_buffer *fields, const char *name,
              struct bd_chunk value)
{
  bd_buffer_printf (fields, "%s: ", name);
  for (size_t i = 0; i < value.length; i++)
    {
      unsigned char c = (unsigned char)value.data[i];

      if (c >= 0x20 && c != 0x7f)
        bd_buffer_append (fields, (struct bd_chunk){ value.data + i, 1 });
    }
  bd_buffer_append (fields, BD_CHUNK ("\r\n"));
}

static void
write_answer_fields (const char *request_id, const struct bd_delivery *head,
                     struct bd_buffer *fields)
{
  write_header (fields, "Content-Type", head->content_type);
  bd_buffer_printf (
      fields, "X-Request-Id: %s\r\nCache-Control: no-cache\r\n%s", request_id,
      head->replay ? "X-Basildock-Replay: true\r\n" : "");
}

static void
begin_answer (struct bd_caller_request *request, const char *request_id,
              const struct bd_delivery *head)
{
  struct bd_buffer fields = { 0 };

  write_answer_fields (request_id, head, &fields);
  bd_caller_request_begin (request, head->status, bd_buffer_chunk (&fields));
  bd_buffer_clear (&fields);
}

/* Sends an answer that is not streamed.  Returns false when the caller has
   disconnected. */
static bool
reply_with_body (struct bd_caller_request *request, const char *request_id,
                 const struct bd_delivery *head, struct bd_chunk body)
{
  struct bd_buffer fields = { 0 };
  bool delivered;

  if (body.length > UNCHUNKED_MAX_BYTES)
    {
      begin_answer (request, request_id, head);
      return bd_caller_request_send (request, body)
             && bd_caller_request_end (request);
    }
  write_answer_fields (request_id, head, &fields);
  delivered = bd_caller_request_reply (request, head->status,
                                       bd_buffer_chunk (&fields), body);
  bd_buffer_clear (&fields);
  return delivered;
}

void
bd_reply_json (struct bd_caller_request *request, const char *request_id,
               struct bd_chunk json)
{
  struct bd_delivery head
      = { .status = 200, .content_type = BD_CHUNK ("application/json") };

  reply_with_body (request, request_id, &head, json);
}

/* State of the answer to one call. */
struct reply_state
{
  struct bd_caller_request *request;
  struct bd_http_call *call;
  struct bd_delivery head;
  char content_type[128];
  bool head_received;
  bool head_sent;
  bool caller_lost; /* The answer cannot reach the caller any more. */
  /* Body collected for an answer that is not streamed. */
  struct bd_buffer body;
  int idle_ms;
  struct bd_metrics *metrics;
  int64_t first_data_us; /* Time of the first data, or 0. */
  int64_t last_data_us;
};

/* Records the time to the first data and the gaps after it. */
static void
record_data_time (struct reply_state *s)
{
  struct bd_class_metrics *m = s->call->metrics;
  int64_t now_us = bd_clock_us ();

  if (s->first_data_us == 0)
    {
      s->first_data_us = now_us;
      bd_class_metrics_add (m, BD_DURATION_FIRST_TOKEN,
                            now_us - s->call->arrived_us);
    }
  else
    bd_class_metrics_add (m, BD_DURATION_TOKEN_GAP, now_us - s->last_data_us);
  s->last_data_us = now_us;
}

/* Records the duration of the whole answer, and whether it met the class's
   targets for the first token and for the mean gap between tokens. */
static void
record_answer (struct reply_state *s, const struct bd_delivery *end)
{
  struct bd_class_metrics *m = s->call->metrics;
  int64_t total_us = bd_clock_us () - s->call->arrived_us;
  int64_t first_token_us = s->first_data_us - s->call->arrived_us;
  int64_t gaps = end->tokens > 1 ? (int64_t)end->tokens - 1 : 1;
  int64_t gap_us = (s->last_data_us - s->first_data_us) / gaps;

  bd_metrics_count (s->metrics, BD_COUNTER_ANSWERED, 1);
  bd_metrics_count (s->metrics, BD_COUNTER_TOKENS_OUT, end->tokens);
  bd_class_metrics_count (m, BD_CLASS_COUNTER_ANSWERED, 1);
  bd_class_metrics_count (m, BD_CLASS_COUNTER_TOKENS_OUT, end->tokens);
  bd_class_metrics_add (m, BD_DURATION_WHOLE, total_us);
  if (first_token_us <= (int64_t)s->call->request.first_token_ms * 1000
      && gap_us <= (int64_t)s->call->token_gap_ms * 1000)
    bd_class_metrics_count (m, BD_CLASS_COUNTER_ON_TARGET, 1);
}

static bool
is_stream (const struct reply_state *s)
{
  return (s->call->request.flags & BD_FLAG_STREAM) != 0;
}

static void
handle_head (struct reply_state *s, const struct bd_delivery *d)
{
  s->head = *d;
  snprintf (s->content_type, sizeof s->content_type, "%.*s",
            (int)d->content_type.length, d->content_type.data);
  s->head.content_type = bd_chunk_of (s->content_type);
  s->head_received = true;
}

static void
send_stream_data (struct reply_state *s, struct bd_chunk data)
{
  if (!s->head_sent)
    {
      s->head_sent = true;
      begin_answer (s->request, s->call->id_text, &s->head);
    }
  if (!bd_caller_request_send (s->request, data))
    s->caller_lost = true;
  s->idle_ms = 0;
}

static void
handle_data (struct reply_state *s, struct bd_chunk data)
{
  record_data_time (s);
  if (is_stream (s))
    send_stream_data (s, data);
  else if (bd_buffer_append (&s->body, data) != BD_OK)
    s->caller_lost = true;
}

static enum bd_http_call_step
handle_end (struct reply_state *s, const struct bd_delivery *end)
{
  struct bd_chunk body = bd_buffer_chunk (&s->body);

  if (is_stream (s))
    {
      send_stream_data (s, (struct bd_chunk){ NULL, 0 });
      s->caller_lost = s->caller_lost || !bd_caller_request_end (s->request);
    }
  else
    s->caller_lost
        = s->caller_lost
          || !reply_with_body (s->request, s->call->id_text, &s->head, body);
  if (!s->caller_lost)
    record_answer (s, end);
  return s->caller_lost ? BD_CALL_CANCELLED : BD_CALL_DELIVERED;
}

/* Ends a stream that has begun, with an error event and without [DONE]. */
static void
end_stream_with_error (struct reply_state *s, const struct bd_delivery *d)
{
  char *text = error_json (s->call->id_text, d->error, d->ran);
  struct bd_buffer event = { 0 };

  bd_buffer_printf (&event, "event: error\ndata: %s\n\n", text ? text : "{}");
  bd_caller_request_send (s->request, bd_buffer_chunk (&event));
  bd_caller_request_end (s->request);
  bd_buffer_clear (&event);
  free (text);
}

static enum bd_http_call_step
handle_failure (struct reply_state *s, const struct bd_delivery *d)
{
  bd_metrics_refused (s->metrics, d->error);
  bd_class_metrics_count (s->call->metrics, BD_CLASS_COUNTER_REFUSED, 1);
  if (s->head_sent)
    end_stream_with_error (s, d);
  else
    bd_reply_error (s->request, s->call->id_text, d->error, d->ran,
                    d->retry_after_ms, NULL);
  return BD_CALL_RELEASED;
}

static void
handle_silence (struct reply_state *s)
{
  s->idle_ms += WAIT_TIMEOUT_MS;
  if (bd_caller_request_aborted (s->request))
    s->caller_lost = true;
  if (!s->head_sent || !is_stream (s) || s->idle_ms < KEEPALIVE_INTERVAL_MS)
    return;
  s->idle_ms = 0;
  if (!bd_caller_request_send (s->request, BD_CHUNK (": keep-alive\n\n")))
    s->caller_lost = true;
}

enum bd_http_call_step
bd_reply_serve (struct bd_caller_request *request, struct bd_http_call *call,
                struct bd_metrics *metrics)
{
  struct reply_state s
      = { .request = request, .call = call, .metrics = metrics };
  enum bd_http_call_step final_step = BD_CALL_SUBMIT;

  while (final_step == BD_CALL_SUBMIT && !s.caller_lost)
    {
      struct bd_delivery_mail *mail
          = bd_http_call_wait (call, WAIT_TIMEOUT_MS);

      if (!mail)
        {
          handle_silence (&s);
          continue;
        }
      switch (mail->delivery.kind)
        {
        case BD_DELIVERY_HEAD:
          handle_head (&s, &mail->delivery);
          break;
        case BD_DELIVERY_DATA:
          handle_data (&s, mail->delivery.data);
          break;
        case BD_DELIVERY_END:
          final_step = handle_end (&s, &mail->delivery);
          break;
        case BD_DELIVERY_FAIL:
          final_step = handle_failure (&s, &mail->delivery);
          break;
        }
      free (mail);
    }
  bd_buffer_clear (&s.body);
  return final_step == BD_CALL_SUBMIT ? BD_CALL_CANCELLED : final_step;
}
