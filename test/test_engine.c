#include "standin/answer.h"
#include "support_engine.h"
#include "support_server.h"

#include <glib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define LONG_TIMEOUT_MS 30000
#define SHORT_TIMEOUT_MS 100
#define STANDIN_PROGRAM BUILD_DIR "/standin_engine"

static struct bd_engine *
open_engine (int port, struct recorder *recorder, int timeout_ms)
{
  char *url = g_strdup_printf ("http://127.0.0.1:%d/", port);
  struct bd_engine_settings settings = {
    .url = url,
    .connect_timeout_ms = LONG_TIMEOUT_MS,
    .first_byte_timeout_ms = timeout_ms,
    .idle_timeout_ms = timeout_ms,
    .answer_max_bytes = 64 << 20,
  };
  struct bd_engine *engine = bd_engine_create (&settings, &recorder->sink);

  g_assert_nonnull (engine);
  g_free (url);
  return engine;
}

static void
start_call (struct bd_engine *engine, int number, const char *path,
            struct bd_chunk body)
{
  struct bd_engine_call call = {
    .request = { .high = 7, .low = (uint64_t)number },
    .attempt = (uint32_t)number,
    .method = BD_CHUNK ("POST"),
    .path = bd_chunk_of (path),
    .content_type = BD_CHUNK ("application/json"),
    .idempotency_key = BD_CHUNK ("key-1"),
    .body = body,
    .deadline_left_ms = LONG_TIMEOUT_MS,
  };

  g_assert_cmpint (bd_engine_start (engine, &call), ==, BD_OK);
}

struct response_case
{
  const char *name;
  const char *response;
  bool keep_open;
  int error; /* BD_OK for a complete answer. */
  const char *data;
};

static const struct response_case response_cases[] = {
  { "close-after-accept", NULL, false, BD_ERR_INCOMPLETE, "" },
  { "close-after-request", "", false, BD_ERR_INCOMPLETE, "" },
  { "whole", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", true, BD_OK,
    "hi" },
  { "no-content", "HTTP/1.1 204 No Content\r\n\r\n", true, BD_OK, "" },
  { "interim-then-whole",
    "HTTP/1.1 103 Early Hints\r\n\r\n"
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
    true, BD_OK, "hi" },
  { "cut-by-length", "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhi", false,
    BD_ERR_INCOMPLETE, "hi" },
  { "cut-in-chunks",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n", false,
    BD_ERR_INCOMPLETE, "hi" },
  { "bad-chunk",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\nzz\r\n",
    true, BD_ERR_INCOMPLETE, "hi" },
  { "end-only-by-close", "HTTP/1.1 200 OK\r\n\r\nhi", false, BD_ERR_INCOMPLETE,
    "hi" },
  { "events-end-by-close",
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: x\n\n",
    false, BD_OK, "data: x\n\n" },
  { "garbage", "\1\2\3 no answer\r\n\r\n", true, BD_ERR_PROTOCOL, "" },
  { "head-cut", "HTTP/1.1 200 OK\r\nContent-Le", false, BD_ERR_INCOMPLETE,
    "" },
  { "redirect",
    "HTTP/1.1 307 Temporary Redirect\r\nLocation: /again\r\n"
    "Content-Length: 0\r\n\r\n",
    true, BD_OK, "" },
  { "expectation-failed",
    "HTTP/1.1 417 Expectation Failed\r\nContent-Length: 0\r\n\r\n", true,
    BD_OK, "" },
  { "unauthorized",
    "HTTP/1.1 401 Unauthorized\r\nWWW-Authenticate: Basic realm=a\r\n"
    "Content-Length: 0\r\n\r\n",
    true, BD_OK, "" },
  { "stall-before-head", "", true, BD_ERR_TIMEOUT, "" },
  { "stall-in-body", "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhi", true,
    BD_ERR_TIMEOUT, "hi" },
};

/* For each response: one final event, the expected error, one request sent. */
static void
test_response (gconstpointer data)
{
  const struct response_case *response_case = data;
  bool stalls = response_case->error == BD_ERR_TIMEOUT;
  struct server server = { .response = response_case->response,
                           .keep_open = response_case->keep_open,
                           .max_answers = RECORDS_MAX };
  struct recorder *recorder = recorder_create ();
  struct bd_engine *engine;
  struct record *r = &recorder->records[0];

  server_start (&server);
  engine = open_engine (server.port, recorder,
                        stalls ? SHORT_TIMEOUT_MS : LONG_TIMEOUT_MS);
  start_call (engine, 0, "/v1/completions", BD_CHUNK (""));
  wait_final_events (recorder, 1);
  g_assert_cmpint (r->error, ==, response_case->error);
  g_assert_true (r->sent);
  g_assert_cmpstr (r->data.data ? r->data.data : "", ==, response_case->data);
  bd_engine_destroy (engine);
  server_stop (&server);
  g_assert_cmpint (server.requests, ==, response_case->response ? 1 : 0);
  recorder_finish (recorder, 1);
}

/* The sink has no memory for one event, each in turn.  A call that lost an
   event must not end as complete, and each call ends. */
static void
test_refused_events (void)
{
  enum
  {
    STARTED = 1,
    HEAD,
    DATA,
    END
  };

  for (int refused = STARTED; refused <= END; refused++)
    {
      struct server server
          = { .response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
              .keep_open = true,
              .max_answers = 1 };
      struct recorder *recorder = recorder_create ();
      struct bd_engine *engine;

      recorder->events_until_refusal = refused;
      server_start (&server);
      engine = open_engine (server.port, recorder, LONG_TIMEOUT_MS);
      start_call (engine, 0, "/v1/completions", BD_CHUNK (""));
      wait_final_events (recorder, 1);
      g_assert_cmpint (recorder->records[0].error, ==,
                       refused == END ? BD_OK : BD_ERR_NOMEM);
      g_assert_cmpint (recorder->records[0].sent, ==, refused != STARTED);
      bd_engine_destroy (engine);
      server_stop (&server);
      g_assert_cmpint (server.requests, ==, refused != STARTED);
      recorder_finish (recorder, 1);
    }
}

static void
test_refused_is_not_sent (void)
{
  struct recorder *recorder = recorder_create ();
  struct bd_engine *engine;
  int port;

  close (listen_loopback (&port));
  engine = open_engine (port, recorder, LONG_TIMEOUT_MS);
  start_call (engine, 0, "/v1/completions", BD_CHUNK ("{}"));
  wait_final_events (recorder, 1);
  g_assert_cmpint (recorder->records[0].error, ==, BD_ERR_ENGINE);
  g_assert_false (recorder->records[0].sent);
  g_assert_cmpint (recorder->records[0].starts, ==, 0);
  bd_engine_destroy (engine);
  recorder_finish (recorder, 1);
}

static void
test_passed_deadline_is_not_sent (void)
{
  struct server server = { .response = "", .max_answers = RECORDS_MAX };
  struct recorder *recorder = recorder_create ();
  struct bd_engine_call call
      = { .method = BD_CHUNK ("POST"), .path = BD_CHUNK ("/v1/completions") };
  struct bd_engine *engine;

  server_start (&server);
  engine = open_engine (server.port, recorder, LONG_TIMEOUT_MS);
  g_assert_cmpint (bd_engine_start (engine, &call), ==, BD_OK);
  wait_final_events (recorder, 1);
  g_assert_cmpint (recorder->records[0].error, ==, BD_ERR_DEADLINE);
  g_assert_false (recorder->records[0].sent);
  bd_engine_destroy (engine);
  server_stop (&server);
  g_assert_cmpint (server.requests, ==, 0);
  recorder_finish (recorder, 1);
}

/*
 * The server answers one request, keeps that connection open, and closes the
 * connection on every later request.  A client that reused the first
 * connection would send the second call again on a new one.
 */
static void
test_cut_connection_no_second_send (void)
{
  struct server server
      = { .response = "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n"
                      "Content-Length: 2\r\n\r\nhi",
          .keep_open = true,
          .max_answers = 1 };
  struct recorder *recorder = recorder_create ();
  struct bd_engine *engine;

  server_start (&server);
  engine = open_engine (server.port, recorder, LONG_TIMEOUT_MS);
  start_call (engine, 0, "/orders", BD_CHUNK (""));
  wait_final_events (recorder, 1);
  g_assert_cmpint (recorder->records[0].error, ==, BD_OK);
  start_call (engine, 1, "/orders", BD_CHUNK (""));
  wait_final_events (recorder, 2);
  g_assert_cmpint (recorder->records[1].error, ==, BD_ERR_INCOMPLETE);
  g_assert_true (recorder->records[1].sent);
  bd_engine_destroy (engine);
  server_stop (&server);
  g_assert_cmpint (server.requests, ==, 2);
  recorder_finish (recorder, 2);
}

static void
test_invalid_calls (void)
{
  struct recorder *recorder = recorder_create ();
  struct bd_engine *engine = open_engine (1, recorder, LONG_TIMEOUT_MS);
  static const struct
  {
    const char *method;
    const char *path;
    const char *type;
    const char *key;
  } cases[] = {
    { "", "/", "", "" },
    { "post", "/", "", "" },
    { "GET /x HTTP/1.1", "/", "", "" },
    { "GETGETGETGETGETGET", "/", "", "" },
    { "GET", "", "", "" },
    { "GET", "@evil/", "", "" },
    { "GET", "/a b", "", "" },
    { "GET", "/a\r\nX: y", "", "" },
    { "GET", "/a#b", "", "" },
    { "GET", "/", "text/plain\r\nX: y", "" },
    { "GET", "/", "", "key\n" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct bd_engine_call call
          = { .method = bd_chunk_of (cases[i].method),
              .path = bd_chunk_of (cases[i].path),
              .content_type = bd_chunk_of (cases[i].type),
              .idempotency_key = bd_chunk_of (cases[i].key),
              .deadline_left_ms = LONG_TIMEOUT_MS };

      g_assert_cmpint (bd_engine_start (engine, &call), ==, BD_ERR_INVALID);
    }
  bd_engine_destroy (engine);
  recorder_finish (recorder, 0);
}

/* Returns the first prompt of the form "PREFIX N" whose answer has at least
   TOKENS tokens. */
static char *
prompt_with_long_answer (const char *prefix, int tokens, uint64_t *hash)
{
  for (int i = 0;; i++)
    {
      char *prompt = g_strdup_printf ("%s %d", prefix, i);

      *hash = bd_chunk_hash (bd_chunk_of (prompt));
      if (answer_length (*hash, 0) >= tokens)
        return prompt;
      g_free (prompt);
    }
}

/* Joins the texts of a stream.  Sets *DONE to whether it ends in [DONE]. */
static char *
stream_text (const struct bd_buffer *data, bool *done)
{
  char **lines = g_strsplit (data->data ? data->data : "", "\n", -1);
  GString *text = g_string_new (NULL);

  *done = false;
  for (int i = 0; lines[i]; i++)
    {
      json_t *json;
      const char *part = NULL;

      if (!g_str_has_prefix (lines[i], "data: "))
        continue;
      *done = strcmp (lines[i], "data: [DONE]") == 0;
      json = json_loads (lines[i] + strlen ("data: "), 0, NULL);
      json_unpack (json, "{s:[{s:s}]}", "choices", "text", &part);
      g_string_append (text, part ? part : "");
      json_decref (json);
    }
  g_strfreev (lines);
  return g_string_free (text, FALSE);
}

static void
start_stream (struct bd_engine *engine, int number, const char *prompt,
              const char *continue_from)
{
  char *body = g_strdup_printf ("{\"stream\":true,\"prompt\":\"%s\","
                                "\"continue_from\":\"%s\"}",
                                prompt, continue_from);

  start_call (engine, number, "/v1/completions", bd_chunk_of (body));
  g_free (body);
}

#define STREAMS 40
#define STREAM_TOKENS 500

/* Many concurrent streams of at least 500 events, each with its whole text
   in order. */
static void
test_streams_in_order (void)
{
  struct standin standin;
  struct recorder *recorder = recorder_create ();
  struct bd_engine *engine;
  uint64_t hashes[STREAMS];

  standin_start (&standin, STANDIN_PROGRAM, "100", "model");
  engine = open_engine (standin.port, recorder, LONG_TIMEOUT_MS);
  for (int i = 0; i < STREAMS; i++)
    {
      char prefix[32];
      char *prompt;

      g_snprintf (prefix, sizeof prefix, "stream %d", i);
      prompt = prompt_with_long_answer (prefix, STREAM_TOKENS, &hashes[i]);
      start_stream (engine, i, prompt, "");
      g_free (prompt);
    }
  wait_final_events (recorder, STREAMS);
  for (int i = 0; i < STREAMS; i++)
    {
      struct bd_buffer expected = { 0 };
      bool done;
      char *text = stream_text (&recorder->records[i].data, &done);

      answer_append (&expected, hashes[i], 0, answer_length (hashes[i], 0));
      g_assert_cmpint (recorder->records[i].error, ==, BD_OK);
      g_assert_cmpstr (recorder->records[i].type, ==, "text/event-stream");
      g_assert_true (done);
      g_assert_cmpstr (text, ==, expected.data);
      bd_buffer_clear (&expected);
      g_free (text);
    }
  bd_engine_destroy (engine);
  standin_stop (&standin);
  recorder_finish (recorder, STREAMS);
}

/* Polls the stand-in until nothing runs there.  Returns the calls made. */
static int
wait_idle (struct bd_engine *engine, struct recorder *recorder, int number)
{
  int calls = 0;
  bool idle = false;

  while (!idle)
    {
      struct record *r = &recorder->records[number + calls];

      g_assert_cmpint (number + calls, <, RECORDS_MAX);
      start_call (engine, number + calls, "/standin/load", BD_CHUNK (""));
      wait_final_events (recorder, number + ++calls);
      g_assert_cmpint (r->error, ==, BD_OK);
      idle = strstr (r->data.data, "\"running\":0,\"queued\":0") != NULL;
    }
  return calls;
}

/* A cancel of another request or another attempt has no effect. */
static void
test_cancel_of_other_attempt (void)
{
  struct standin standin;
  struct recorder *recorder = recorder_create ();
  struct bd_engine *engine;

  standin_start (&standin, STANDIN_PROGRAM, "2000", "model");
  engine = open_engine (standin.port, recorder, LONG_TIMEOUT_MS);
  start_stream (engine, 0, "other attempt", "");
  wait_data (recorder, 0);
  bd_engine_cancel (engine, (struct bd_id){ .high = 7, .low = 0 }, 1);
  bd_engine_cancel (engine, (struct bd_id){ .high = 8, .low = 0 }, 0);
  wait_final_events (recorder, 1);
  g_assert_cmpint (recorder->records[0].error, ==, BD_OK);
  bd_engine_destroy (engine);
  standin_stop (&standin);
  recorder_finish (recorder, 1);
}

static void
test_cancel_reaches_engine (void)
{
  struct standin standin;
  struct recorder *recorder = recorder_create ();
  struct bd_engine *engine;
  uint64_t hash;
  char *prompt = prompt_with_long_answer ("cancel", 900, &hash);
  int calls = 1;

  standin_start (&standin, STANDIN_PROGRAM, "20000", "model");
  engine = open_engine (standin.port, recorder, LONG_TIMEOUT_MS);
  start_stream (engine, 0, prompt, "");
  wait_data (recorder, 0);
  bd_engine_cancel (engine, (struct bd_id){ .high = 7, .low = 0 }, 0);
  bd_engine_cancel (engine, (struct bd_id){ .high = 7, .low = 0 }, 0);
  wait_final_events (recorder, 1);
  g_assert_cmpint (recorder->records[0].error, ==, BD_ERR_CANCELLED);
  g_assert_true (recorder->records[0].sent);
  calls += wait_idle (engine, recorder, 1);
  bd_engine_destroy (engine);
  standin_stop (&standin);
  recorder_finish (recorder, calls);
  g_free (prompt);
}

/* A crash during a stream fails the call as sent; the next call, whose
   connection is refused, fails as not sent.  The partial text, continued by
   another engine, gives the same whole answer. */
static void
test_crash_and_continue (void)
{
  struct standin standin;
  struct recorder *recorder = recorder_create ();
  struct bd_engine *engine;
  uint64_t hash;
  char *prompt = prompt_with_long_answer ("crash", 60, &hash);
  struct bd_buffer expected = { 0 };
  char *begin;
  char *rest;
  char *text;
  bool done;

  standin_start (&standin, STANDIN_PROGRAM, "2000", "model");
  engine = open_engine (standin.port, recorder, LONG_TIMEOUT_MS);
  start_stream (engine, 0, prompt, "");
  wait_data (recorder, 0);
  start_call (engine, 1, "/standin/fault?mode=crash", BD_CHUNK (""));
  wait_final_events (recorder, 2);
  g_assert_cmpint (recorder->records[0].error, ==, BD_ERR_INCOMPLETE);
  g_assert_cmpint (recorder->records[1].error, ==, BD_ERR_INCOMPLETE);
  waitpid (standin.pid, NULL, 0);
  start_stream (engine, 2, prompt, "");
  wait_final_events (recorder, 3);
  g_assert_cmpint (recorder->records[2].error, ==, BD_ERR_ENGINE);
  g_assert_false (recorder->records[2].sent);
  begin = stream_text (&recorder->records[0].data, &done);
  g_assert_false (done);
  bd_engine_destroy (engine);

  standin_start (&standin, STANDIN_PROGRAM, "200", "model");
  engine = open_engine (standin.port, recorder, LONG_TIMEOUT_MS);
  start_stream (engine, 3, prompt, begin);
  start_stream (engine, 4, prompt, "not its text ");
  wait_final_events (recorder, 5);
  rest = stream_text (&recorder->records[3].data, &done);
  text = g_strconcat (begin, rest, NULL);
  answer_append (&expected, hash, 0, answer_length (hash, 0));
  g_assert_cmpstr (text, ==, expected.data);
  g_assert_true (done);
  g_assert_cmpint (recorder->records[4].status, ==, 400);
  bd_engine_destroy (engine);
  standin_stop (&standin);
  recorder_finish (recorder, 5);
  bd_buffer_clear (&expected);
  g_free (begin);
  g_free (rest);
  g_free (text);
  g_free (prompt);
}

#define BIG_BODY_BYTES (8 << 20)

static void
test_service_big_body_and_fencing (void)
{
  static const uint64_t fencing[] = { 5, 4, 5, 6 };
  static const int status[] = { 200, 409, 200, 200 };
  struct standin standin;
  struct recorder *recorder = recorder_create ();
  struct bd_engine *engine;
  char *body = g_strnfill (BIG_BODY_BYTES, 'b');
  const char *echoed_body = NULL;
  json_t *json;

  standin_start (&standin, STANDIN_PROGRAM, "100", "service");
  engine = open_engine (standin.port, recorder, LONG_TIMEOUT_MS);
  start_call (engine, 0, "/orders/dispatch", bd_chunk_of (body));
  wait_final_events (recorder, 1);
  json = json_loads (recorder->records[0].data.data, 0, NULL);
  json_unpack (json, "{s:s}", "body", &echoed_body);
  g_assert_true (echoed_body && strcmp (echoed_body, body) == 0);
  json_decref (json);
  for (int i = 0; i < 4; i++)
    {
      struct bd_engine_call call = { .attempt = (uint32_t)i + 1,
                                     .method = BD_CHUNK ("PUT"),
                                     .path = BD_CHUNK ("/orders"),
                                     .fencing = fencing[i],
                                     .deadline_left_ms = LONG_TIMEOUT_MS };

      g_assert_cmpint (bd_engine_start (engine, &call), ==, BD_OK);
      wait_final_events (recorder, i + 2);
      g_assert_cmpint (recorder->records[i + 1].status, ==, status[i]);
    }
  bd_engine_destroy (engine);
  standin_stop (&standin);
  recorder_finish (recorder, 5);
  g_free (body);
}

#define OPEN_CALLS 100

static void
test_destroy_ends_every_call (void)
{
  struct server server
      = { .response = "", .keep_open = true, .max_answers = 1000 };
  struct recorder *recorder = recorder_create ();
  struct bd_engine *engine;

  server_start (&server);
  engine = open_engine (server.port, recorder, LONG_TIMEOUT_MS);
  for (int i = 0; i < OPEN_CALLS; i++)
    start_call (engine, i, "/orders", BD_CHUNK (""));
  bd_engine_destroy (engine);
  for (int i = 0; i < OPEN_CALLS; i++)
    g_assert_cmpint (recorder->records[i].error, ==, BD_ERR_CANCELLED);
  server_stop (&server);
  recorder_finish (recorder, OPEN_CALLS);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (response_cases); i++)
    {
      char *name
          = g_strconcat ("/engine/script/", response_cases[i].name, NULL);

      g_test_add_data_func (name, &response_cases[i], test_response);
      g_free (name);
    }
  g_test_add_func ("/engine/refused-events", test_refused_events);
  g_test_add_func ("/engine/refused-is-not-sent", test_refused_is_not_sent);
  g_test_add_func ("/engine/passed-deadline-is-not-sent",
                   test_passed_deadline_is_not_sent);
  g_test_add_func ("/engine/cut-connection-no-second-send",
                   test_cut_connection_no_second_send);
  g_test_add_func ("/engine/invalid-calls", test_invalid_calls);
  g_test_add_func ("/engine/streams-in-order", test_streams_in_order);
  g_test_add_func ("/engine/cancel-of-other-attempt",
                   test_cancel_of_other_attempt);
  g_test_add_func ("/engine/cancel-reaches-engine",
                   test_cancel_reaches_engine);
  g_test_add_func ("/engine/crash-and-continue", test_crash_and_continue);
  g_test_add_func ("/engine/service-big-body-and-fencing",
                   test_service_big_body_and_fencing);
  g_test_add_func ("/engine/destroy-ends-every-call",
                   test_destroy_ends_every_call);
  return g_test_run ();
}
