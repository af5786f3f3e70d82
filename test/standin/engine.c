/*
 * Stand-in for a model engine or a plain service: an HTTP server over the
 * batching model of batch.h.  Each HTTP thread waits for its sequence's
 * tokens.
 */
#include "batch.h"
#include "http.h"

#include <argtable2.h>
#include <civetweb.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/prctl.h>

#define BODY_MAX_BYTES (64 << 20)
#define CANCEL_POLL_MS 20
#define LOWEST_PRIORITY 255

struct request
{
  struct mg_connection *connection;
  const struct mg_request_info *info;
  struct bd_buffer body;
  struct bd_buffer prompt;
  json_t *json;
  char model[64];
  bool chat;
  bool stream;
  int prompt_tokens;
  struct sequence sequence;
};

static void
set_deadline (struct timespec *deadline, int ms)
{
  int64_t us = bd_clock_us () + (int64_t)ms * 1000;

  deadline->tv_sec = us / 1000000;
  deadline->tv_nsec = us % 1000000 * 1000;
}

/* Waits until S has more than KNOWN_TOKENS tokens or is complete.  Returns
   false when the caller closed its connection. */
static bool
wait_for_tokens (struct sequence *s, int known_tokens, int fd, int *produced)
{
  bool open = true;

  pthread_mutex_lock (&engine.lock);
  while (s->produced_tokens <= known_tokens
         && s->produced_tokens < s->total_tokens && open)
    {
      struct timespec t;

      set_deadline (&t, CANCEL_POLL_MS);
      if (pthread_cond_timedwait (&s->changed, &engine.lock, &t) == ETIMEDOUT)
        open = !peer_closed (fd);
    }
  *produced = s->produced_tokens;
  pthread_mutex_unlock (&engine.lock);
  return open && !peer_closed (fd);
}

static int
send_chunk (struct mg_connection *c, const struct bd_buffer *text)
{
  return mg_send_chunk (c, text->data, (unsigned)text->length);
}

static void
format_choice (struct bd_buffer *out, const struct request *r,
               const char *content, const char *reason)
{
  bd_buffer_printf (out,
                    "data: {\"id\":\"run-%s\",\"object\":\"%s\","
                    "\"model\":\"%s\",\"choices\":[{\"index\":0,",
                    r->sequence.request,
                    r->chat ? "chat.completion.chunk" : "text_completion",
                    r->model);
  if (!r->chat)
    bd_buffer_printf (out, "\"text\":\"%s\",", content);
  else if (content[0] != '\0')
    bd_buffer_printf (out, "\"delta\":{\"content\":\"%s\"},", content);
  else
    bd_buffer_printf (out, "\"delta\":{},");
  if (reason)
    bd_buffer_printf (out, "\"finish_reason\":\"%s\"}]", reason);
  else
    bd_buffer_printf (out, "\"finish_reason\":null}]}\n\n");
}

static void
format_usage (struct bd_buffer *out, const struct request *r)
{
  int tokens = r->sequence.total_tokens - r->sequence.resumed_tokens;

  bd_buffer_printf (out,
                    ",\"usage\":{\"prompt_tokens\":%d,"
                    "\"completion_tokens\":%d,\"total_tokens\":%d}}",
                    r->prompt_tokens, tokens, r->prompt_tokens + tokens);
}

static const char *
finish_reason (const struct sequence *s)
{
  return s->total_tokens < answer_length (s->prompt_hash, 0) ? "length"
                                                             : "stop";
}

static enum fault
current_fault (void)
{
  enum fault fault;

  pthread_mutex_lock (&engine.lock);
  fault = engine.fault;
  pthread_mutex_unlock (&engine.lock);
  return fault;
}

static bool
stream_tokens (struct request *r, int fd)
{
  struct sequence *s = &r->sequence;
  struct bd_buffer out = { 0 };
  int sent = s->resumed_tokens;
  int produced = s->resumed_tokens;
  bool open = true;

  while (open && sent < s->total_tokens)
    {
      enum fault fault;

      open = wait_for_tokens (s, sent, fd, &produced);
      bd_buffer_reset (&out);
      for (; sent < produced; sent++)
        format_choice (&out, r, answer_token (s->prompt_hash, sent), NULL);
      if (open && out.length > 0)
        open = send_chunk (r->connection, &out) > 0;
      fault = current_fault ();
      if (fault == FAULT_GARBAGE)
        mg_write (r->connection, "\0\377 no chunk\r\n", 13);
      if (fault == FAULT_GARBAGE
          || (fault == FAULT_EARLY_END && 2 * sent >= s->total_tokens))
        open = false;
    }
  bd_buffer_clear (&out);
  return open;
}

static bool
serve_stream (struct request *r, int fd)
{
  struct bd_buffer out = { 0 };
  bool complete;

  mg_printf (r->connection,
             "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
             "Cache-Control: no-cache\r\nTransfer-Encoding: chunked\r\n"
             "Connection: close\r\n\r\n");
  complete = stream_tokens (r, fd);
  if (!complete)
    return false;
  format_choice (&out, r, "", finish_reason (&r->sequence));
  format_usage (&out, r);
  bd_buffer_append (&out, BD_CHUNK ("\n\ndata: [DONE]\n\n"));
  complete = send_chunk (r->connection, &out) > 0
             && mg_send_chunk (r->connection, "", 0) > 0;
  bd_buffer_clear (&out);
  return complete;
}

static void
format_answer (struct bd_buffer *out, const struct request *r)
{
  const struct sequence *s = &r->sequence;
  struct bd_buffer text = { 0 };

  answer_append (&text, s->prompt_hash, s->resumed_tokens, s->total_tokens);
  bd_buffer_printf (out,
                    "{\"id\":\"run-%s\",\"object\":\"%s\",\"model\":\"%s\","
                    "\"choices\":[{\"index\":0,",
                    s->request,
                    r->chat ? "chat.completion" : "text_completion", r->model);
  bd_buffer_printf (out,
                    r->chat ? "\"message\":{\"role\":\"assistant\","
                              "\"content\":\"%s\"},"
                            : "\"text\":\"%s\",",
                    text.data ? text.data : "");
  bd_buffer_printf (out, "\"finish_reason\":\"%s\"}]", finish_reason (s));
  format_usage (out, r);
  bd_buffer_clear (&text);
}

static bool
serve_complete (struct request *r, int fd)
{
  struct sequence *s = &r->sequence;
  struct bd_buffer out = { 0 };
  enum fault fault;
  int produced = s->resumed_tokens;
  bool open = true;

  while (open && produced < s->total_tokens)
    open = wait_for_tokens (s, produced, fd, &produced);
  fault = current_fault ();
  format_answer (&out, r);
  if (open && fault == FAULT_GARBAGE)
    mg_write (r->connection, "\0\377 no answer\r\n\r\n", 16);
  else if (open)
    {
      size_t length = fault == FAULT_EARLY_END ? out.length / 2 : out.length;

      mg_printf (r->connection,
                 "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                 "Content-Length: %zu\r\nConnection: close\r\n\r\n",
                 out.length);
      open = mg_write (r->connection, out.data, length) == (int)out.length;
    }
  bd_buffer_clear (&out);
  return open && fault != FAULT_GARBAGE;
}

static bool
read_body (struct request *r)
{
  char block[16384];
  int n;

  while ((n = mg_read (r->connection, block, sizeof block)) > 0)
    {
      struct bd_chunk chunk = { .data = block, .length = (size_t)n };

      if (r->body.length > BODY_MAX_BYTES
          || bd_buffer_append (&r->body, chunk) != BD_OK)
        return false;
    }
  return n == 0
         && (r->info->content_length < 0
             || r->body.length == (size_t)r->info->content_length);
}

static bool
accept_fencing (const struct mg_connection *c)
{
  const char *text = mg_get_header (c, "X-Fencing");
  uint64_t fencing = text ? strtoull (text, NULL, 10) : 0;
  bool passes = true;

  pthread_mutex_lock (&engine.lock);
  if (fencing > engine.fencing)
    engine.fencing = fencing;
  else if (engine.checks_fencing && fencing > 0 && fencing < engine.fencing)
    passes = false;
  pthread_mutex_unlock (&engine.lock);
  return passes;
}

static bool
parse_model_request (struct request *r)
{
  struct sequence *s = &r->sequence;
  const json_t *limit;
  const char *text;

  r->json
      = json_loadb (r->body.data ? r->body.data : "", r->body.length, 0, NULL);
  if (!json_is_object (r->json))
    return false;
  limit = json_object_get (r->json, "max_tokens");
  answer_prompt (&r->prompt, r->json);
  s->prompt_hash = bd_chunk_hash (bd_buffer_chunk (&r->prompt));
  s->total_tokens
      = answer_length (s->prompt_hash, (int)json_integer_value (limit));
  text = json_string_value (json_object_get (r->json, "continue_from"));
  s->resumed_tokens = answer_match (s->prompt_hash, bd_chunk_of (text));
  if (s->resumed_tokens < 0 || s->resumed_tokens > s->total_tokens)
    return false;
  s->produced_tokens = s->resumed_tokens;
  r->stream = json_is_true (json_object_get (r->json, "stream"));
  copy_printable (r->model, sizeof r->model,
                  json_string_value (json_object_get (r->json, "model")));
  r->prompt_tokens = (int)(r->prompt.length / BYTES_PER_TOKEN);
  return true;
}

static void
queue_sequence (struct request *r)
{
  struct sequence *s = &r->sequence;
  const char *priority = mg_get_header (r->connection, "X-Priority");
  pthread_condattr_t attributes;

  pthread_condattr_init (&attributes);
  pthread_condattr_setclock (&attributes, CLOCK_MONOTONIC);
  pthread_cond_init (&s->changed, &attributes);
  pthread_condattr_destroy (&attributes);
  s->priority = priority ? (int)strtol (priority, NULL, 10) : LOWEST_PRIORITY;
  pthread_mutex_lock (&engine.lock);
  s->prefill_remaining
      = r->prompt_tokens - cached_tokens (bd_buffer_chunk (&r->prompt));
  s->poisoned = contains_poison (&r->prompt);
  insert_sequence (s);
  pthread_mutex_unlock (&engine.lock);
}

static int
serve_model (struct request *r)
{
  struct sequence *s = &r->sequence;
  int fd = find_socket (r->info->remote_port);
  bool complete;

  r->chat = strcmp (r->info->local_uri, "/v1/chat/completions") == 0;
  if (!parse_model_request (r))
    return send_error (r->connection, 400, "bad_request");
  queue_sequence (r);
  complete = r->stream ? serve_stream (r, fd) : serve_complete (r, fd);
  pthread_mutex_lock (&engine.lock);
  remove_sequence (s);
  if (s->admitted)
    log_run (s, "end", complete);
  pthread_mutex_unlock (&engine.lock);
  pthread_cond_destroy (&s->changed);
  return 200;
}

/* Serves a plain service's request without a queue.  The run is logged first,
   so that it counts whatever fails afterwards. */
static int
serve_service (struct request *r)
{
  struct sequence *s = &r->sequence;
  char *text;
  json_t *json;
  unsigned long long run;
  enum fault fault;

  pthread_mutex_lock (&engine.lock);
  admit (s);
  run = s->run_number;
  if (contains_poison (&r->body))
    crash ();
  while (engine.fault == FAULT_STALL)
    pthread_cond_wait (&engine.work, &engine.lock);
  fault = engine.fault;
  pthread_mutex_unlock (&engine.lock);
  sleep_until (bd_clock_us () + engine.token_us);
  json = json_pack ("{s:s,s:s,s:s%,s:I}", "method", r->info->request_method,
                    "path", r->info->local_uri, "body",
                    r->body.data ? r->body.data : "", r->body.length, "count",
                    (json_int_t)run);
  text = json ? json_dumps (json, JSON_COMPACT) : NULL;
  if (fault == FAULT_EARLY_END)
    mg_printf (r->connection,
               "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\ncut");
  else if (fault == FAULT_GARBAGE)
    mg_write (r->connection, "\0\377 no answer\r\n\r\n", 16);
  else if (text)
    send_json (r->connection, 200, text);
  else
    send_error (r->connection, 400, "body_not_utf8");
  pthread_mutex_lock (&engine.lock);
  log_run (s, "end", true);
  pthread_mutex_unlock (&engine.lock);
  free (text);
  json_decref (json);
  return 200;
}

static int
serve_load (struct mg_connection *c)
{
  char text[256];
  int running = 0;
  int queued = 0;

  pthread_mutex_lock (&engine.lock);
  for (struct sequence *s = engine.sequences; s; s = s->next)
    if (s->admitted)
      running++;
    else
      queued++;
  snprintf (text, sizeof text,
            "{\"running\":%d,\"queued\":%d,\"token_time_us\":%d,"
            "\"slots\":%d,\"runs\":%llu,\"fencing\":%llu}",
            running, queued, engine.step_us, engine.slots,
            (unsigned long long)engine.runs,
            (unsigned long long)engine.fencing);
  pthread_mutex_unlock (&engine.lock);
  return send_json (c, 200, text);
}

static bool
set_fault (const char *query)
{
  size_t length = query ? strlen (query) : 0;
  char mode[32];
  char factor[32];
  size_t fault = 0;

  if (mg_get_var (query, length, "mode", mode, sizeof mode) < 0)
    return false;
  while (fault <= FAULT_GARBAGE && strcmp (mode, fault_names[fault]) != 0)
    fault++;
  if (fault > FAULT_GARBAGE)
    return false;
  pthread_mutex_lock (&engine.lock);
  if (mg_get_var (query, length, "factor", factor, sizeof factor) > 0)
    engine.factor = strtod (factor, NULL);
  mg_get_var (query, length, "text", engine.crash_text,
              sizeof engine.crash_text);
  engine.fault = (enum fault)fault;
  if (engine.fault == FAULT_CRASH)
    crash ();
  pthread_cond_broadcast (&engine.work);
  pthread_mutex_unlock (&engine.lock);
  return true;
}

static int
dispatch (struct request *r)
{
  struct mg_connection *c = r->connection;
  const char *uri = r->info->local_uri;
  bool post = strcmp (r->info->request_method, "POST") == 0;

  if (strcmp (uri, "/standin/load") == 0)
    return serve_load (c);
  if (strcmp (uri, "/standin/fault") == 0)
    return set_fault (r->info->query_string)
               ? send_json (c, 200, "{}")
               : send_error (c, 400, "bad_fault");
  if (!read_body (r))
    return send_error (c, 400, "body_cut_or_too_large");
  if (!accept_fencing (c))
    return send_error (c, 409, "stale_fencing");
  copy_printable (r->sequence.request, sizeof r->sequence.request,
                  mg_get_header (c, "X-Request-Id"));
  copy_printable (r->sequence.key, sizeof r->sequence.key,
                  mg_get_header (c, "Idempotency-Key"));
  copy_printable (r->sequence.path, sizeof r->sequence.path, uri);
  if (engine.service)
    return serve_service (r);
  if (post
      && (strcmp (uri, "/v1/chat/completions") == 0
          || strcmp (uri, "/v1/completions") == 0))
    return serve_model (r);
  if (strcmp (uri, "/v1/models") == 0)
    return send_json (c, 200,
                      "{\"object\":\"list\",\"data\":[{\"id\":\"standin\","
                      "\"object\":\"model\"}]}");
  if (post && strcmp (uri, "/v1/orders") == 0)
    return send_json (c, 200, "{\"status\":\"accepted\"}");
  return send_error (c, 404, "not_found");
}

static int
handle_request (struct mg_connection *connection, void *unused)
{
  struct request r = { .connection = connection };
  int status;

  (void)unused;
  r.info = mg_get_request_info (connection);
  status = dispatch (&r);
  json_decref (r.json);
  bd_buffer_clear (&r.body);
  bd_buffer_clear (&r.prompt);
  return status;
}

static struct mg_context *
start_server (int port, int threads)
{
  char ports[32];
  char count[16];
  const char *options[] = { "listening_ports",
                            ports,
                            "num_threads",
                            count,
                            "tcp_nodelay",
                            "1",
                            "connection_queue",
                            "1024",
                            "listen_backlog",
                            "1024",
                            "enable_keep_alive",
                            "no",
                            "request_timeout_ms",
                            "600000",
                            NULL };
  struct mg_callbacks callbacks = { 0 };
  struct mg_context *server;

  snprintf (ports, sizeof ports, "127.0.0.1:%d", port);
  snprintf (count, sizeof count, "%d", threads);
  server = mg_start (&callbacks, NULL, options);
  if (server)
    mg_set_request_handler (server, "/", handle_request, NULL);
  return server;
}

struct flags
{
  struct arg_int *port;
  struct arg_int *slots;
  struct arg_int *token_us;
  struct arg_int *seed;
  struct arg_int *threads;
  struct arg_str *log;
  struct arg_str *kind;
  struct arg_lit *fencing;
  struct arg_end *end;
};

static bool
apply_flags (const struct flags *flags)
{
  engine.slots = flags->slots->ival[0];
  engine.token_us = flags->token_us->ival[0];
  engine.seed = (uint64_t)flags->seed->ival[0];
  engine.service = strcmp (flags->kind->sval[0], "service") == 0;
  engine.checks_fencing = flags->fencing->count > 0;
  if (!engine.service && strcmp (flags->kind->sval[0], "model") != 0)
    return false;
  if (flags->log->count > 0)
    {
      engine.log = fopen (flags->log->sval[0], "a");
      if (!engine.log)
        return false;
    }
  return engine.slots > 0 && engine.token_us > 0;
}

static int
serve (int port, int threads)
{
  struct mg_context *server;
  struct mg_server_port bound = { 0 };
  pthread_t scheduler;
  sigset_t set;
  int signal_number;

  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  pthread_sigmask (SIG_BLOCK, &set, NULL);
  /* The stand-in must not outlive the test or script that started it. */
  prctl (PR_SET_PDEATHSIG, SIGTERM);
  signal (SIGPIPE, SIG_IGN);
  mg_init_library (0);
  if (pthread_create (&scheduler, NULL, run_scheduler, NULL) != 0)
    return 1;
  server = start_server (port, threads);
  if (!server || mg_get_server_ports (server, 1, &bound) < 1)
    {
      fprintf (stderr, "standin_engine: cannot listen on port %d\n", port);
      return 1;
    }
  printf ("ready %d\n", bound.port);
  fflush (stdout);
  sigwait (&set, &signal_number);
  _exit (0);
}

int
main (int argc, char **argv)
{
  struct flags flags = {
    .port = arg_int1 (NULL, "port", "N", "port on loopback; 0 picks one"),
    .slots = arg_int0 (NULL, "slots", "N", "sequences in a batch (8)"),
    .token_us = arg_int0 (NULL, "token-us", "US", "time per token (5000)"),
    .seed = arg_int0 (NULL, "seed", "S", "seed of the prefix cache (1)"),
    .threads = arg_int0 (NULL, "threads", "N", "HTTP threads (64)"),
    .log = arg_str0 (NULL, "log", "FILE", "run log"),
    .kind = arg_str0 (NULL, "kind", "model|service", "what it is (model)"),
    .fencing = arg_lit0 (NULL, "checks-fencing", "refuse old X-Fencing"),
    .end = arg_end (4),
  };
  void *table[]
      = { flags.port, flags.slots, flags.token_us, flags.seed, flags.threads,
          flags.log,  flags.kind,  flags.fencing,  flags.end };
  int rc = 1;

  flags.slots->ival[0] = 8;
  flags.token_us->ival[0] = 5000;
  flags.seed->ival[0] = 1;
  flags.threads->ival[0] = 64;
  flags.kind->sval[0] = "model";
  if (arg_parse (argc, argv, table) > 0 || !apply_flags (&flags))
    {
      arg_print_errors (stderr, flags.end, "standin_engine");
      fputs ("standin_engine", stderr);
      arg_print_syntax (stderr, table, "\n");
    }
  else
    rc = serve (flags.port->ival[0], flags.threads->ival[0]);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return rc;
}
