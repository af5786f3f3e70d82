#include "entry/reply.h"
#include "common/clock.h"

#include <civetweb.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A quiet stream gets a comment after this, which finds out a caller that
   went away. */
#define KEEPALIVE_MS 5000
#define WAIT_MS 1000
#define LINE_BYTES 512

static int
retry_after_s (int error, int64_t retry_after_ms)
{
  int standard = bd_error_answer (error)->retry_after_s;
  int64_t wanted = (retry_after_ms + 999) / 1000;

  /* A kind without a default does not ask the caller to come back. */
  if (standard == 0 || wanted <= standard)
    return standard;
  return wanted < INT32_MAX ? (int)wanted : INT32_MAX;
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
bd_reply_error (struct mg_connection *conn, const char *request_id, int error,
                enum bd_ran ran, int64_t retry_after_ms, const char *next_key)
{
  const struct bd_answer *a = bd_error_answer (error);
  char *text = error_json (request_id, error, ran);
  int retry = retry_after_s (error, retry_after_ms);
  char number[24];

  mg_response_header_start (conn, a->status);
  mg_response_header_add (conn, "Content-Type", "application/json", -1);
  mg_response_header_add (conn, "X-Request-Id", request_id, -1);
  mg_response_header_add (conn, "X-Basildock-Ran", bd_ran_name (ran), -1);
  if (retry > 0)
    {
      snprintf (number, sizeof number, "%d", retry);
      mg_response_header_add (conn, "Retry-After", number, -1);
    }
  if (next_key)
    mg_response_header_add (conn, "X-Basildock-Next-Key", next_key, -1);
  snprintf (number, sizeof number, "%zu", text ? strlen (text) : 0);
  mg_response_header_add (conn, "Content-Length", number, -1);
  mg_response_header_send (conn);
  if (text)
    mg_write (conn, text, strlen (text));
  free (text);
}

static int
send_head (struct mg_connection *conn, const char *request_id,
           const struct bd_delivery *head, struct bd_chunk body, bool whole)
{
  char type[128];
  char number[24];

  snprintf (type, sizeof type, "%.*s", (int)head->content_type.length,
            head->content_type.data);
  mg_response_header_start (conn, head->status);
  mg_response_header_add (conn, "Content-Type", type, -1);
  mg_response_header_add (conn, "X-Request-Id", request_id, -1);
  mg_response_header_add (conn, "Cache-Control", "no-cache", -1);
  if (head->replay)
    mg_response_header_add (conn, "X-Basildock-Replay", "true", -1);
  if (whole)
    {
      snprintf (number, sizeof number, "%zu", body.length);
      mg_response_header_add (conn, "Content-Length", number, -1);
    }
  else
    mg_response_header_add (conn, "Transfer-Encoding", "chunked", -1);
  return mg_response_header_send (conn);
}

void
bd_reply_json (struct mg_connection *conn, const char *request_id,
               struct bd_chunk json)
{
  struct bd_delivery head
      = { .status = 200, .content_type = BD_CHUNK ("application/json") };

  send_head (conn, request_id, &head, json, true);
  mg_write (conn, json.data, json.length);
}

/* What a reply has come to. */
struct progress
{
  struct mg_connection *conn;
  struct bd_http_call *call;
  struct bd_delivery head;
  char type[128];
  bool head_known;
  bool head_sent;
  bool broken;           /* The caller does not take what is written. */
  struct bd_buffer body; /* Of an answer that is no stream. */
  int quiet_ms;
  struct bd_metrics *metrics;
  int64_t first_us; /* When the first data came; 0: none yet. */
  int64_t last_us;
};

/* Measures the first data and the gaps after it. */
static void
measure_data (struct progress *p)
{
  struct bd_class_metrics *m = p->call->metrics;
  int64_t now_us = bd_clock_us ();

  if (p->first_us == 0)
    {
      p->first_us = now_us;
      bd_class_metrics_add (m, BD_DURATION_FIRST_TOKEN,
                            now_us - p->call->arrived_us);
    }
  else
    bd_class_metrics_add (m, BD_DURATION_TOKEN_GAP, now_us - p->last_us);
  p->last_us = now_us;
}

/* The whole answer's time, and whether it met the class's targets: the first
   token's, and the mean gap between tokens. */
static void
measure_end (struct progress *p, const struct bd_delivery *end)
{
  struct bd_class_metrics *m = p->call->metrics;
  int64_t whole_us = bd_clock_us () - p->call->arrived_us;
  int64_t first_us = p->first_us - p->call->arrived_us;
  int64_t gaps = end->tokens > 1 ? (int64_t)end->tokens - 1 : 1;
  int64_t gap_us = (p->last_us - p->first_us) / gaps;

  bd_metrics_count (p->metrics, BD_COUNTER_ANSWERED, 1);
  bd_metrics_count (p->metrics, BD_COUNTER_TOKENS_OUT, end->tokens);
  bd_class_metrics_count (m, BD_CLASS_COUNTER_ANSWERED, 1);
  bd_class_metrics_count (m, BD_CLASS_COUNTER_TOKENS_OUT, end->tokens);
  bd_class_metrics_add (m, BD_DURATION_WHOLE, whole_us);
  if (first_us <= (int64_t)p->call->request.first_token_ms * 1000
      && gap_us <= (int64_t)p->call->token_gap_ms * 1000)
    bd_class_metrics_count (m, BD_CLASS_COUNTER_ON_TARGET, 1);
}

static bool
is_stream (const struct progress *p)
{
  return (p->call->request.flags & BD_FLAG_STREAM) != 0;
}

static void
take_head (struct progress *p, const struct bd_delivery *d)
{
  p->head = *d;
  snprintf (p->type, sizeof p->type, "%.*s", (int)d->content_type.length,
            d->content_type.data);
  p->head.content_type = bd_chunk_of (p->type);
  p->head_known = true;
}

static void
write_chunk (struct progress *p, struct bd_chunk data)
{
  if (!p->head_sent)
    {
      p->head_sent = true;
      send_head (p->conn, p->call->id_text, &p->head, data, false);
    }
  if (data.length > 0
      && mg_send_chunk (p->conn, data.data, (unsigned int)data.length) <= 0)
    p->broken = true;
  p->quiet_ms = 0;
}

static void
take_data (struct progress *p, struct bd_chunk data)
{
  measure_data (p);
  if (is_stream (p))
    write_chunk (p, data);
  else if (bd_buffer_append (&p->body, data) != BD_OK)
    p->broken = true;
}

static enum bd_http_call_step
take_end (struct progress *p, const struct bd_delivery *end)
{
  struct bd_chunk body = bd_buffer_chunk (&p->body);

  if (is_stream (p))
    {
      write_chunk (p, (struct bd_chunk){ NULL, 0 });
      if (mg_send_chunk (p->conn, "", 0) <= 0)
        p->broken = true;
    }
  else
    {
      send_head (p->conn, p->call->id_text, &p->head, body, true);
      if (body.length > 0
          && mg_write (p->conn, body.data, body.length) != (int)body.length)
        p->broken = true;
    }
  if (!p->broken)
    measure_end (p, end);
  return p->broken ? BD_CALL_CANCELLED : BD_CALL_DELIVERED;
}

/* A stream that began ends with an error event and without [DONE]. */
static void
break_stream (struct progress *p, const struct bd_delivery *d)
{
  char *text = error_json (p->call->id_text, d->error, d->ran);
  struct bd_buffer event = { 0 };

  bd_buffer_printf (&event, "event: error\ndata: %s\n\n", text ? text : "{}");
  mg_send_chunk (p->conn, event.data, (unsigned int)event.length);
  mg_send_chunk (p->conn, "", 0);
  bd_buffer_clear (&event);
  free (text);
}

static enum bd_http_call_step
take_fail (struct progress *p, const struct bd_delivery *d)
{
  bd_metrics_refused (p->metrics, d->error);
  bd_class_metrics_count (p->call->metrics, BD_CLASS_COUNTER_REFUSED, 1);
  if (p->head_sent)
    break_stream (p, d);
  else
    bd_reply_error (p->conn, p->call->id_text, d->error, d->ran,
                    d->retry_after_ms, NULL);
  return BD_CALL_RELEASED;
}

static void
keep_alive (struct progress *p)
{
  static const char comment[] = ": keep-alive\n\n";

  p->quiet_ms += WAIT_MS;
  if (!p->head_sent || !is_stream (p) || p->quiet_ms < KEEPALIVE_MS)
    return;
  p->quiet_ms = 0;
  if (mg_send_chunk (p->conn, comment, sizeof comment - 1) <= 0)
    p->broken = true;
}

enum bd_http_call_step
bd_reply_serve (struct mg_connection *conn, struct bd_http_call *call,
                struct bd_metrics *metrics)
{
  struct progress p = { .conn = conn, .call = call, .metrics = metrics };
  enum bd_http_call_step last = BD_CALL_SUBMIT;

  while (last == BD_CALL_SUBMIT && !p.broken)
    {
      struct bd_delivery_mail *mail = bd_http_call_wait (call, WAIT_MS);

      if (!mail)
        {
          keep_alive (&p);
          continue;
        }
      switch (mail->delivery.kind)
        {
        case BD_DELIVERY_HEAD:
          take_head (&p, &mail->delivery);
          break;
        case BD_DELIVERY_DATA:
          take_data (&p, mail->delivery.data);
          break;
        case BD_DELIVERY_END:
          last = take_end (&p, &mail->delivery);
          break;
        case BD_DELIVERY_FAIL:
          last = take_fail (&p, &mail->delivery);
          break;
        }
      free (mail);
    }
  bd_buffer_clear (&p.body);
  return last == BD_CALL_SUBMIT ? BD_CALL_CANCELLED : last;
}
