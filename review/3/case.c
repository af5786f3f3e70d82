/* A runner in trouble: its event stream goes on without end with bytes that
   are no event. */

#include "../stand/stand.h"

#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define GATEWAYS 3
#define RUNNERS 3
/* Traffic of the site: 11.2 carcass-spec and 7.7 dispatch-order a second. */
#define STREAMS_PER_S 11
#define ORDERS_PER_S 8
#define ORDER_LIMIT_MS 1500
#define ORDER_TIMEOUT_MS 800
/* Rule CONFIG: an answer is due so long after the route's timeoutMs. */
#define ANSWER_SLACK_MS 500
/* Fewer orders without an answer in time are not judged. */
#define UNANSWERED_MIN 8
/* Callers leave a stream after a gap of four times its objective, and in any
   case after their time limit. */
#define GAP_MS 8000
#define TROUBLE_FROM_MS 4000
#define RUN_MS 40000
/* Of each stream; the sheet's link of a runner has 2,000 Mbit/s. */
#define TROUBLE_BYTES_PER_S ((size_t)4 * 1024 * 1024)
#define PIECE_BYTES ((size_t)65536)
#define WORK_MS 60
#define EVENTS 40
#define EVENT_MS 20
#define PROBE_MS 200
#define PROBE_LIMIT_MS 30000
#define PROBE_RECORDED_MS 1000

static const char configuration[]
    = "{\"version\":7,\"routes\":["
      "{\"name\":\"carcass-spec\",\"host\":\"review.example\","
      "\"prefix\":\"/spec/\",\"type\":\"streaming\",\"timeoutMs\":12000,"
      "\"sloMs\":2000,\"priority\":2,\"service\":\"yield-model\","
      "\"maxAttempts\":1,\"public\":false,\"sticky\":true,"
      "\"resumable\":false,\"targetGapMs\":1000},"
      "{\"name\":\"dispatch-order\",\"host\":\"review.example\","
      "\"prefix\":\"/order/\",\"type\":\"non_idempotent\","
      "\"timeoutMs\":800,\"sloMs\":300,\"priority\":2,"
      "\"service\":\"order-desk\",\"maxAttempts\":1,\"public\":false}],"
      "\"services\":[{\"name\":\"yield-model\",\"healthPath\":\"/healthz\","
      "\"maxConns\":370,\"engine\":{\"slots\":64,\"kvCapacity\":670862}},"
      "{\"name\":\"order-desk\",\"healthPath\":\"/healthz\","
      "\"maxConns\":110}],"
      "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
      "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
      "\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[\"key-of-review\"],"
      "\"priority\":1}]}";

static struct stand_gateway gateways[GATEWAYS];
static struct stand_runner models[RUNNERS];
static struct stand_runner desks[RUNNERS];
static atomic_bool trouble;
static atomic_uint next_number;
static atomic_uint orders_served;
static atomic_uint orders_lost;
static atomic_bool over;       /* Orders that are under way aren't judged. */
static atomic_uint unanswered; /* At the route's timeoutMs. */
static atomic_uint unanswered_late; /* And ANSWER_SLACK_MS after it. */
static _Atomic int64_t longest_ms[GATEWAYS];

static bool
serve_trouble (struct stand_runner *runner, int fd,
               const struct stand_request *request)
{
  char *piece = malloc (PIECE_BYTES);
  size_t sent = 0;
  bool open = true;

  if (!piece)
    stand_give_up ("no memory");
  memset (piece, '\n', PIECE_BYTES);
  while (open)
    {
      stand_sleep_ms ((int64_t)(PIECE_BYTES * 1000 / TROUBLE_BYTES_PER_S));
      open = stand_write (fd, "10000\r\n", 7)
             && stand_write (fd, piece, PIECE_BYTES)
             && stand_write (fd, "\r\n", 2);
      sent += PIECE_BYTES;
    }
  stand_record ("runner=%s request=%s trouble sent=%zu", runner->id,
                request->id, sent);
  free (piece);
  return false;
}

static bool
serve_stream (struct stand_runner *runner, int fd,
              const struct stand_request *request)
{
  unsigned first = (unsigned)strtoul (request->last_event_id, NULL, 10) + 1;
  char text[STAND_TEXT_BYTES];
  bool open;

  snprintf (text, sizeof text,
            "HTTP/1.1 200 OK\r\nX-Basildock-Attempt-Id: %s\r\n"
            "X-Basildock-Response-Signature: signed\r\n"
            "Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n",
            request->id);
  stand_sleep_ms (WORK_MS);
  open = stand_write (fd, text, strlen (text));
  if (runner == &models[0] && atomic_load (&trouble))
    return open && serve_trouble (runner, fd, request);
  for (unsigned i = first; open && i <= EVENTS; i++)
    {
      char event[STAND_ID_BYTES];

      stand_sleep_ms (EVENT_MS);
      snprintf (event, sizeof event, "id: %u\ndata: token %u\n\n", i, i);
      snprintf (text, sizeof text, "%zx\r\n%s\r\n", strlen (event), event);
      open = stand_write (fd, text, strlen (text));
    }
  stand_record ("runner=%s request=%s ran events=%d", runner->id, request->id,
                EVENTS);
  return open && stand_write (fd, "0\r\n\r\n", 5);
}

static bool
serve_order (struct stand_runner *runner, int fd,
             const struct stand_request *request)
{
  static const char body[800];

  stand_record ("runner=%s request=%s ran", runner->id, request->id);
  stand_sleep_ms (WORK_MS);
  return stand_answer (fd, request, 200, "", body, sizeof body);
}

static void
judge_order (const struct stand_result *result)
{
  bool answered = result->status > 0 && result->complete;

  if (atomic_load (&over))
    return;
  if (answered && result->status == 200)
    atomic_fetch_add (&orders_served, 1);
  else
    atomic_fetch_add (&orders_lost, 1);
  if (!answered || result->ms > ORDER_TIMEOUT_MS)
    atomic_fetch_add (&unanswered, 1);
  if (!answered || result->ms > ORDER_TIMEOUT_MS + ANSWER_SLACK_MS)
    atomic_fetch_add (&unanswered_late, 1);
}

static void
call_once (bool is_stream, unsigned number)
{
  struct stand_caller caller
      = { .gateway = &gateways[number % GATEWAYS], .fd = -1 };
  char id[STAND_ID_BYTES];
  char fields[STAND_TEXT_BYTES];
  struct stand_result result;

  snprintf (id, sizeof id, "%c%u", is_stream ? 's' : 'o', number);
  snprintf (fields, sizeof fields,
            "X-Basildock-Model: m\r\nX-Basildock-Token-Usage: 17020,120\r\n"
            "X-Basildock-Prefix-Hash: a%u:13300,b%u:3720\r\n",
            number % 119, number);
  stand_record ("caller=%s gateway=%u sent", id, number % GATEWAYS + 1);
  if (is_stream)
    result = stand_call (&caller, "POST", "/spec/2f", id, fields, GAP_MS);
  else
    result = stand_call (&caller, "POST", "/order/2f", id, "", ORDER_LIMIT_MS);
  stand_record ("caller=%s status=%d complete=%d bytes=%zu gave_up=%d ms=%lld",
                id, result.status, result.complete, result.length,
                result.timed_out, (long long)result.ms);
  if (!is_stream)
    judge_order (&result);
}

static void *
run_stream (void *context)
{
  call_once (true, (unsigned)(uintptr_t)context);
  return NULL;
}

static void *
run_order (void *context)
{
  call_once (false, (unsigned)(uintptr_t)context);
  return NULL;
}

static void *
send_streams (void *context)
{
  (void)context;
  for (;;)
    {
      unsigned number = atomic_fetch_add (&next_number, 1);

      stand_thread (run_stream, (void *)(uintptr_t)number);
      stand_sleep_ms (1000 / STREAMS_PER_S);
    }
  return NULL;
}

static void *
send_orders (void *context)
{
  (void)context;
  for (;;)
    {
      unsigned number = atomic_fetch_add (&next_number, 1);

      stand_thread (run_order, (void *)(uintptr_t)number);
      stand_sleep_ms (1000 / ORDERS_PER_S);
    }
  return NULL;
}

/* Asks the gateway again and again whether it is ready. */
static void *
probe (void *context)
{
  const struct stand_gateway *gateway = context;
  size_t index = (size_t)(gateway - gateways);

  for (;;)
    {
      int64_t start_ms = stand_now_ms ();
      bool ready = stand_gateway_answers (gateway, PROBE_LIMIT_MS);
      int64_t ms = stand_now_ms () - start_ms;

      if (ms > atomic_load (&longest_ms[index]))
        atomic_store (&longest_ms[index], ms);
      if (ms > PROBE_RECORDED_MS)
        stand_record ("gateway=%zu readiness answered=%d ms=%lld", index + 1,
                      ready, (long long)ms);
      stand_sleep_ms (PROBE_MS);
    }
  return NULL;
}

static void
start_runners (struct stand_runner *runners, const char *service,
               stand_serve serve, int slots)
{
  static const char *const zones[RUNNERS] = { "bole", "akaki", "kality" };

  for (unsigned i = 0; i < RUNNERS; i++)
    {
      snprintf (runners[i].id, sizeof runners[i].id, "i-%s-%u", service, i);
      runners[i].service = service;
      runners[i].zone = zones[i];
      runners[i].slots = slots;
      runners[i].serve = serve;
      stand_runner_start (&runners[i]);
    }
}

int
main (int argc, char **argv)
{
  const char *setting = getenv ("TROUBLE");
  bool with_trouble = !setting || strcmp (setting, "0") != 0;
  bool broken;

  if (argc != 3)
    return STAND_NOT_RUN;
  stand_record_open (argv[1]);
  stand_store_start ();
  stand_store_put ("op/config", configuration);
  start_runners (models, "yield-model", serve_stream, 64);
  start_runners (desks, "order-desk", serve_order, 6);
  stand_gateways_start (gateways, GATEWAYS, argv[2]);
  stand_thread (send_streams, NULL);
  stand_thread (send_orders, NULL);
  for (size_t i = 0; i < GATEWAYS; i++)
    stand_thread (probe, &gateways[i]);
  stand_sleep_ms (TROUBLE_FROM_MS);
  stand_record ("trouble=%d begins", with_trouble);
  atomic_store (&trouble, with_trouble);
  stand_sleep_ms (RUN_MS - stand_now_ms ());
  atomic_store (&over, true);
  stand_gateways_end ();
  for (size_t i = 0; i < GATEWAYS; i++)
    printf ("gateway %zu: answered nothing for up to %lld ms\n", i + 1,
            (long long)atomic_load (&longest_ms[i]));
  printf ("orders served %u, not served %u\n", atomic_load (&orders_served),
          atomic_load (&orders_lost));
  printf ("orders without an answer at %d ms: %u, at %d ms: %u\n",
          ORDER_TIMEOUT_MS, atomic_load (&unanswered),
          ORDER_TIMEOUT_MS + ANSWER_SLACK_MS, atomic_load (&unanswered_late));
  stand_record ("unanswered=%u unanswered_late=%u", atomic_load (&unanswered),
                atomic_load (&unanswered_late));
  if (atomic_load (&orders_served) == 0)
    return STAND_NOT_RUN;
  broken = atomic_load (&unanswered) >= UNANSWERED_MIN
           && atomic_load (&unanswered_late) * 2 > atomic_load (&unanswered);
  puts (broken ? "CONFIG: broken" : "CONFIG: held");
  return broken ? STAND_BROKEN : STAND_HELD;
}
