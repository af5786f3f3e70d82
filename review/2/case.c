/* Two software versions serve side by side.  Streams begin at a runner of the
   second one that leaves; the gateways are killed.  The callers take the
   streams up again. */

#include "../stand/stand.h"

#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define GATEWAYS 3
#define VERSIONS 2
#define RUNNERS 3
#define SESSIONS 36
#define LIMIT_MS 10000
/* The requests of the sessions begin in turn, this long after each other. */
#define STEP_MS 20
#define FIRST_AT_MS 1000
#define SECOND_VERSION_AT_MS 3500
#define SECOND_AT_MS 6000
/* The leaving runner serves for drainMs and a little longer after its removal,
   then exits. */
#define REMOVED_AT_MS 6800
#define KILL_AT_MS 7600
#define EXIT_AT_MS 9800
#define RUN_MS 18000
#define FIRST_EVENTS 5
#define EVENTS 60
#define EVENT_MS 50
#define WORK_MS 60
/* Callers wait before they try again, and try so often. */
#define RETRY_WAIT_MS 800
#define RETRIES 3
/* Rule ORDER: so many streams may hold events of two versions. */
#define MIXED_MAX 2

static const char configuration[]
    = "{\"version\":7,\"routes\":["
      "{\"name\":\"cut-sheet\",\"host\":\"review.example\","
      "\"prefix\":\"/sheet/\",\"type\":\"streaming\",\"timeoutMs\":12000,"
      "\"sloMs\":800,\"priority\":1,\"service\":\"yield-model\","
      "\"maxAttempts\":2,\"public\":false,\"sticky\":true,"
      "\"resumable\":true,\"targetGapMs\":400}],"
      "\"services\":[{\"name\":\"yield-model\",\"healthPath\":\"/healthz\","
      "\"maxConns\":370,\"engine\":{\"slots\":64,\"kvCapacity\":670862}}],"
      "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
      "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
      "\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[\"key-of-review\"],"
      "\"priority\":1}]}";

/* What a caller holds of a stream. */
struct stream
{
  unsigned session;
  unsigned last_event;
  unsigned by_version[VERSIONS]; /* Number of events. */
  char line[STAND_TEXT_BYTES];
  size_t line_length;
};

static struct stand_gateway gateways[GATEWAYS];
static struct stand_runner runners[VERSIONS][RUNNERS];
static atomic_uint mixed;
static atomic_uint continued;
static atomic_uint complete;

static bool
serve (struct stand_runner *runner, int fd,
       const struct stand_request *request)
{
  unsigned first = (unsigned)strtoul (request->last_event_id, NULL, 10) + 1;
  unsigned last = request->id[0] == 'f' ? FIRST_EVENTS : EVENTS;
  char text[STAND_TEXT_BYTES * 2];
  bool open;

  snprintf (text, sizeof text,
            "HTTP/1.1 200 OK\r\nX-Basildock-Attempt-Id: %s\r\n"
            "X-Basildock-Response-Signature: signed\r\n"
            "Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n",
            request->id);
  stand_record ("runner=%s software=%s request=%s runs from=%u", runner->id,
                runner->version, request->id, first);
  stand_sleep_ms (WORK_MS);
  stand_runner_hold (runner, request);
  open = stand_write (fd, text, strlen (text));
  for (unsigned i = first; open && i <= last; i++)
    {
      char event[STAND_TEXT_BYTES];

      stand_sleep_ms (EVENT_MS);
      snprintf (event, sizeof event, "id: %u\ndata: %s %s\n\n", i,
                runner->version, runner->id);
      snprintf (text, sizeof text, "%zx\r\n%s\r\n", strlen (event), event);
      open = !runner->ended && stand_write (fd, text, strlen (text));
    }
  return open && stand_write (fd, "0\r\n\r\n", 5);
}

static void
handle_line (struct stream *stream)
{
  const char *line = stream->line;

  if (strncmp (line, "id: ", 4) == 0)
    stream->last_event = (unsigned)strtoul (line + 4, NULL, 10);
  else if (strncmp (line, "data: v1", 8) == 0)
    stream->by_version[0]++;
  else if (strncmp (line, "data: v2", 8) == 0)
    stream->by_version[1]++;
}

static void
on_body (void *context, const char *data, size_t length)
{
  struct stream *stream = context;

  for (size_t i = 0; i < length; i++)
    if (data[i] == '\n')
      {
        stream->line[stream->line_length] = '\0';
        handle_line (stream);
        stream->line_length = 0;
      }
    else if (stream->line_length < sizeof stream->line - 1)
      stream->line[stream->line_length++] = data[i];
}

/* Sends one attempt; ORIGIN names the one whose stream goes on, or is NULL. */
static struct stand_result
send_attempt (struct stream *stream, const char *id, const char *origin,
              unsigned gateway)
{
  struct stand_caller caller = { .gateway = &gateways[gateway % GATEWAYS],
                                 .fd = -1,
                                 .on_body = on_body,
                                 .context = stream };
  char fields[STAND_TEXT_BYTES * 2];
  struct stand_result result;
  int length = snprintf (
      fields, sizeof fields,
      "X-Basildock-Model: m\r\nX-Basildock-Token-Usage: 4070,240\r\n"
      "X-Basildock-Prefix-Hash: a%x:350,c%x:3720\r\n",
      stream->session % 8, stream->session + 16);

  if (origin)
    snprintf (fields + length, sizeof fields - (size_t)length,
              "Resumes: %s\r\nLast-Event-Id: %u\r\n", origin,
              stream->last_event);
  stand_record ("caller=%s gateway=%u origin=%s after=%u sent", id,
                gateway % GATEWAYS + 1, origin ? origin : "-",
                stream->last_event);
  stream->line_length = 0;
  result = stand_call (&caller, "POST", "/sheet/2f", id, fields, LIMIT_MS);
  stand_record ("caller=%s status=%d complete=%d refused=%d events_v1=%u "
                "events_v2=%u ms=%lld",
                id, result.status, result.complete, result.refused,
                stream->by_version[0], stream->by_version[1],
                (long long)result.ms);
  return result;
}

/* The first request of a session, and later a second one. */
static void *
run_session (void *context)
{
  unsigned session = (unsigned)(uintptr_t)context;
  struct stream first = { .session = session };
  struct stream second = { .session = session };
  char origin[STAND_ID_BYTES];
  char id[STAND_ID_BYTES];
  struct stand_result result;

  snprintf (id, sizeof id, "f%u", session);
  send_attempt (&first, id, NULL, session);
  stand_sleep_ms (SECOND_AT_MS + (int64_t)session * STEP_MS - stand_now_ms ());
  snprintf (origin, sizeof origin, "s%u", session);
  result = send_attempt (&second, origin, NULL, session);
  for (unsigned i = 1; i <= RETRIES && !result.complete; i++)
    {
      stand_sleep_ms (RETRY_WAIT_MS);
      snprintf (id, sizeof id, "s%u-%u", session, i);
      result = send_attempt (
          &second, id, second.last_event > 0 ? origin : NULL, session + i);
      if (result.status == 200)
        atomic_fetch_add (&continued, 1);
    }
  if (result.complete && result.status == 200)
    atomic_fetch_add (&complete, 1);
  if (second.by_version[0] > 0 && second.by_version[1] > 0)
    {
      stand_record ("stream=%s holds events of two versions", origin);
      atomic_fetch_add (&mixed, 1);
    }
  return NULL;
}

static void
start_runner (struct stand_runner *runner, unsigned version, unsigned number)
{
  static const char *const zones[RUNNERS] = { "bole", "akaki", "kality" };

  snprintf (runner->id, sizeof runner->id, "i-%c%u", 'a' + (int)version,
            number);
  runner->service = "yield-model";
  runner->version = version == 0 ? "v1" : "v2";
  runner->zone = zones[number % RUNNERS];
  runner->slots = 64;
  runner->serve = serve;
  stand_runner_start (runner);
}

int
main (int argc, char **argv)
{
  const char *setting = getenv ("TROUBLE");
  bool with_trouble = !setting || strcmp (setting, "0") != 0;
  struct stand_runner *leaving = &runners[1][0];
  unsigned ends = 0;

  if (argc != 3)
    return STAND_NOT_RUN;
  stand_record_open (argv[1]);
  stand_store_start ();
  stand_store_put ("op/config", configuration);
  for (unsigned i = 0; i < RUNNERS; i++)
    start_runner (&runners[0][i], 0, i);
  stand_gateways_start (gateways, GATEWAYS, argv[2]);
  stand_sleep_ms (FIRST_AT_MS - stand_now_ms ());
  for (unsigned i = 0; i < SESSIONS; i++)
    {
      stand_thread (run_session, (void *)(uintptr_t)i);
      stand_sleep_ms (STEP_MS);
    }
  stand_sleep_ms (SECOND_VERSION_AT_MS - stand_now_ms ());
  for (unsigned i = 0; i < RUNNERS; i++)
    start_runner (&runners[1][i], 1, i);
  stand_sleep_ms (REMOVED_AT_MS - stand_now_ms ());
  stand_runner_remove (leaving);
  stand_record ("store accepts the removal of runner=%s", leaving->id);
  stand_sleep_ms (KILL_AT_MS - stand_now_ms ());
  if (with_trouble)
    {
      stand_gateways_kill ();
      stand_record ("all gateways are killed");
    }
  stand_sleep_ms (EXIT_AT_MS - stand_now_ms ());
  leaving->ended = true;
  stand_record ("runner=%s exits", leaving->id);
  stand_sleep_ms (RUN_MS - stand_now_ms ());
  for (size_t i = 0; i < GATEWAYS; i++)
    ends += gateways[i].ends;
  stand_gateways_end ();
  printf ("streams %d, complete %u, continued %u\n", SESSIONS,
          atomic_load (&complete), atomic_load (&continued));
  printf ("%u streams hold events of two versions\n", atomic_load (&mixed));
  stand_record ("complete=%u continued=%u mixed=%u", atomic_load (&complete),
                atomic_load (&continued), atomic_load (&mixed));
  if (atomic_load (&complete) == 0 || ends > 0)
    return STAND_NOT_RUN;
  puts (atomic_load (&mixed) > MIXED_MAX ? "ORDER: broken" : "ORDER: held");
  return atomic_load (&mixed) > MIXED_MAX ? STAND_BROKEN : STAND_HELD;
}
