/* Simulated callers: they send requests on keep-alive connections, abort some
   and check every response. */
#include "soak.h"

#include "common/clock.h"
#include "stream/sse.h"

#include <string.h>

/* Share of requests that their callers abort, and the latest time for it. */
#define ABORT_SHARE 0.04
#define ABORT_MAX_MS 600
#define EVENTS_MAX 40
#define TICK_MS 10
/* One request in so many is fatal while faults are injected. */
#define FATAL_ONE_IN 60

struct call
{
  struct soak *soak;
  struct soak_attempt *attempt;
  struct soak_gateway *gateway;
  struct bd_call *call;
  uv_timer_t abort_timer;
  uv_timer_t timeout_timer;
  int status;
  bool has_signature;
  struct bd_buffer body;
  struct bd_sse sse;
  uint32_t events;
  int open_timers;
  bool done;
};

static struct
{
  uv_timer_t timer;
  double due;
  int per_second;
  int times;
  bool fatal;
  size_t open;
  uint32_t number;
} state;

static void
on_timer_closed (uv_handle_t *handle)
{
  struct call *c = handle->data;

  if (--c->open_timers > 0)
    return;
  bd_buffer_clear (&c->body);
  bd_sse_clear (&c->sse);
  g_free (c);
}

static void
finish_call (struct call *c)
{
  if (c->done)
    return;
  c->done = true;
  c->call = NULL;
  state.open--;
  uv_close ((uv_handle_t *)&c->abort_timer, on_timer_closed);
  uv_close ((uv_handle_t *)&c->timeout_timer, on_timer_closed);
}

/* Responses. */

static bool
is_not_run_status (int status)
{
  return status == 429 || status == 503 || status == 408 || status == 421;
}

static void
on_head (void *context, const struct bd_head *head)
{
  struct call *c = context;
  struct bd_chunk sign
      = bd_head_value (head, BD_CHUNK ("X-Basildock-Response-Signature"));
  char *expected = g_strconcat ("sig-", c->attempt->id, NULL);

  c->status = head->status;
  c->has_signature = sign.data != NULL;
  if (sign.data && !bd_chunk_equal (sign, bd_chunk_of (expected)))
    soak_violation (c->soak, "MIXED",
                    "%s got the signature of another request", c->attempt->id);
  if (head->status < 300 && !sign.data)
    soak_violation (c->soak, "MIXED", "%s got an unsigned success",
                    c->attempt->id);
  g_free (expected);
}

static void
check_event (struct call *c, struct bd_chunk event)
{
  char *expected
      = g_strdup_printf ("id: %u\ndata: %s %u/%u ", c->events + 1,
                         c->attempt->id, c->events + 1, c->attempt->events);
  size_t length = strlen (expected);

  if (event.length <= length + 2 || memcmp (event.data, expected, length) != 0)
    soak_violation (c->soak, "ORDER",
                    "%s got a wrong event after event %u: %.*s",
                    c->attempt->id, c->events, (int)event.length, event.data);
  else
    soak_check_software (
        c->soak, c->attempt,
        (struct bd_chunk){ event.data + length, event.length - length - 2 });
  c->events++;
  g_free (expected);
}

static void
on_body (void *context, struct bd_chunk data)
{
  struct call *c = context;
  struct bd_chunk event;

  if (c->status != 200 || c->attempt->kind < SOAK_STREAM)
    {
      bd_buffer_append (&c->body, data);
      return;
    }
  bd_sse_feed (&c->sse, data);
  while ((event = bd_sse_next (&c->sse)).length > 0)
    check_event (c, event);
}

static void
check_complete (struct call *c)
{
  char *expected = g_strdup_printf ("answer of %s\n", c->attempt->id);

  if (c->attempt->kind < SOAK_STREAM
      && !bd_chunk_equal (bd_buffer_chunk (&c->body), bd_chunk_of (expected)))
    soak_violation (c->soak, "MIXED", "%s got a wrong body", c->attempt->id);
  if (c->attempt->kind >= SOAK_STREAM
      && (c->events != c->attempt->events || bd_sse_rest (&c->sse).length > 0))
    soak_violation (c->soak, "ORDER",
                    "%s ended regularly after %u of %u events", c->attempt->id,
                    c->events, c->attempt->events);
  g_free (expected);
}

/* Whether the response says that the request did not run. */
static bool
reports_not_run (struct call *c)
{
  return is_not_run_status (c->status)
         || (c->body.length > 0
             && strstr (c->body.data, "\"ran\":\"no\"") != NULL);
}

static void
on_end (void *context)
{
  struct call *c = context;
  struct soak *soak = c->soak;

  if (c->status == 200)
    {
      check_complete (c);
      c->attempt->answered = true;
      soak->served++;
    }
  else if (reports_not_run (c))
    {
      soak->rejected++;
      c->attempt->reported_not_run = true;
      if (c->attempt->runs > 0)
        soak_violation (soak, "REFUSED",
                        "%s was reported as not run with %d, but ran %u times",
                        c->attempt->id, c->status, c->attempt->runs);
      soak_check_unserved (soak, c->attempt, c->status, "refused");
      if (c->attempt->origin)
        soak_stream_broke (soak, c->attempt, c->events);
    }
  else
    {
      soak->failed++;
      if (c->status < 500)
        soak_violation (soak, "DENIED", "%s got status %d", c->attempt->id,
                        c->status);
      soak_check_unserved (soak, c->attempt, c->status,
                           c->has_signature ? "answered by its runner"
                                            : "failed");
    }
  finish_call (c);
}

/* A gateway that runs undisturbed answers every request that it has read.  A
   request on a keep-alive connection that crossed the gateway's close was not
   read. */
static void
on_fail (void *context, const struct bd_call_failure *failure)
{
  struct call *c = context;
  bool crossed = failure->reused && c->attempt->arrivals == 0;

  c->soak->failed++;
  if (!failure->answered && !crossed
      && soak_gateway_stable_ms (c->gateway) > SOAK_STABLE_MS)
    soak_violation (c->soak, "LOST",
                    "%s got no answer from undisturbed gateway %d: error %d%s",
                    c->attempt->id, c->attempt->gateway, failure->error,
                    failure->sent ? "" : ", not sent");
  if (!crossed)
    soak_check_unserved (c->soak, c->attempt, 0, "no answer");
  soak_stream_broke (c->soak, c->attempt, c->events);
  finish_call (c);
}

static const struct bd_call_handler handler = {
  .on_head = on_head, .on_body = on_body, .on_end = on_end, .on_fail = on_fail
};

/* Requests. */

static void
abort_call (struct call *c)
{
  c->attempt->aborted_ms = soak_now_ms (c->soak);
  bd_call_cancel (c->call);
  finish_call (c);
}

static void
on_abort_timer (uv_timer_t *timer)
{
  struct call *c = timer->data;

  c->soak->aborted++;
  abort_call (c);
}

static void
on_timeout_timer (uv_timer_t *timer)
{
  struct call *c = timer->data;

  c->soak->failed++;
  soak_check_unserved (c->soak, c->attempt, 0, "timed out");
  abort_call (c);
}

/* Gives ATTEMPT an identifier; it is sent now. */
static struct soak_attempt *
enter_attempt (struct soak *soak, struct soak_attempt *attempt)
{
  attempt->sent_ms = soak_now_ms (soak);
  attempt->service = soak_route_service (soak, attempt->kind);
  g_hash_table_insert (soak->attempts, attempt->id, attempt);
  return attempt;
}

static struct soak_attempt *
new_attempt (struct soak *soak)
{
  struct soak_attempt *attempt = soak_next_continuation (soak);

  if (attempt)
    {
      snprintf (attempt->id, sizeof attempt->id, "a%u", ++state.number);
      return enter_attempt (soak, attempt);
    }
  attempt = g_new0 (struct soak_attempt, 1);
  snprintf (attempt->id, sizeof attempt->id, "a%u", ++state.number);
  attempt->kind
      = (enum soak_kind)soak_random_below (&soak->random, SOAK_KINDS);
  g_strlcpy (attempt->name, attempt->id, sizeof attempt->name);
  if (state.fatal && state.number % FATAL_ONE_IN == 0)
    {
      attempt->fatal = soak_fatal_next (soak);
      attempt->kind = soak_fatal_kind (attempt->fatal);
      if (!soak_fatal_part (attempt->fatal))
        g_strlcpy (attempt->name, soak_fatal_name (attempt->fatal),
                   sizeof attempt->name);
    }
  attempt->events = 1 + soak_random_below (&soak->random, EVENTS_MAX);
  return enter_attempt (soak, attempt);
}

static void
write_request (const struct soak_attempt *attempt, struct bd_buffer *out)
{
  static const char *const paths[] = { "safe", "once", "stream", "resume" };
  const char *part = attempt->fatal ? soak_fatal_part (attempt->fatal) : NULL;
  char *body = g_strconcat ("body of ", attempt->name, NULL);

  bd_buffer_printf (out,
                    "POST /%s/%s HTTP/1.1\r\nHost: " SOAK_HOST "\r\n"
                    "X-Basildock-Attempt-Id: %s\r\n"
                    "X-Basildock-Deadline-Ms: %d\r\n"
                    "X-Basildock-Tenant: forged\r\n"
                    "Authorization: Token " SOAK_KEY "\r\n",
                    paths[attempt->kind], attempt->name, attempt->id,
                    SOAK_DEADLINE_MS);
  if (attempt->kind >= SOAK_STREAM)
    bd_buffer_printf (out,
                      "X-Basildock-Model: m\r\n"
                      "X-Basildock-Token-Usage: 900,80\r\n"
                      "X-Basildock-Prefix-Hash: aa%u:1500,%s%sbb%s:300\r\n",
                      g_str_hash (attempt->name) % 20, part ? part : "",
                      part ? ":200," : "", attempt->name);
  if (attempt->origin)
    bd_buffer_printf (out, "Last-Event-Id: %u\r\nResumes: %s\r\n",
                      attempt->held, attempt->origin->id);
  bd_buffer_printf (out, "Content-Length: %zu\r\n\r\n%s", strlen (body), body);
  g_free (body);
}

static struct soak_gateway *
pick_gateway (struct soak *soak)
{
  struct soak_gateway *gateway = soak->gateways[soak_random_below (
      &soak->random, (uint32_t)soak->gateway_count)];

  return soak_gateway_ready (gateway) ? gateway : NULL;
}

static void
send_request (struct soak *soak)
{
  struct soak_gateway *gateway = pick_gateway (soak);
  struct bd_call_request request
      = { .connect_timeout_ms = 1000, .idle_max_ms = 8000 };
  struct bd_buffer out = { 0 };
  struct call *c;

  if (!gateway)
    return;
  c = g_new0 (struct call, 1);
  c->soak = soak;
  c->gateway = gateway;
  c->attempt = new_attempt (soak);
  c->attempt->gateway = soak_gateway_number (gateway);
  c->events = c->attempt->held;
  soak_count_stream (soak, c->attempt);
  write_request (c->attempt, &out);
  request.address = soak_gateway_callers (gateway);
  request.head = bd_buffer_chunk (&out);
  uv_timer_init (&soak->loop, &c->abort_timer);
  uv_timer_init (&soak->loop, &c->timeout_timer);
  c->abort_timer.data = c;
  c->timeout_timer.data = c;
  c->open_timers = 2;
  state.open++;
  soak_count_sent (soak, c->attempt);
  c->call = bd_client_call (soak->client, &request, &handler, c);
  bd_buffer_clear (&out);
  if (!c->call)
    {
      finish_call (c);
      return;
    }
  uv_timer_start (&c->timeout_timer, on_timeout_timer, SOAK_DEADLINE_MS + 500,
                  0);
  if (soak_random_chance (&soak->random, ABORT_SHARE))
    uv_timer_start (&c->abort_timer, on_abort_timer,
                    soak_random_below (&soak->random, ABORT_MAX_MS), 0);
}

static void
on_tick (uv_timer_t *timer)
{
  struct soak *soak = timer->data;

  if (soak->stopping)
    return;
  state.due += state.per_second * state.times * TICK_MS / 1000.0;
  for (; state.due >= 1.0; state.due -= 1.0)
    send_request (soak);
}

size_t
soak_callers_open (void)
{
  return state.open;
}

void
soak_callers_send_fatal (bool fatal)
{
  state.fatal = fatal;
}

void
soak_callers_set_load (int times)
{
  state.times = times;
}

void
soak_callers_start (struct soak *soak, int per_second)
{
  state.per_second = per_second;
  state.times = 1;
  uv_timer_init (&soak->loop, &state.timer);
  state.timer.data = soak;
  uv_timer_start (&state.timer, on_tick, TICK_MS, TICK_MS);
}
