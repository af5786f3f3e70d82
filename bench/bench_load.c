/*
 * Open-loop load generator.  Requests are sent at times fixed before the run,
 * whatever the state of earlier ones, and latency counts from the scheduled
 * time.  A slow system thus can't lower the load or hide its queueing delay
 * (coordinated omission).  Every whole answer is compared with the
 * deterministic text of the stand-in engine.
 */
#include "load_report.h"

#include "common/clock.h"
#include "stream/sse.h"

#include <argtable2.h>
#include <curl/curl.h>
#include <signal.h>
#include <sys/timerfd.h>
#include <time.h>
#include <unistd.h>

#define ANSWER_MAX_BYTES (64 << 20)
#define POLL_LONGEST_MS 100
#define HEADER_BYTES 512

struct exchange
{
  struct exchange *previous;
  struct exchange *next;
  CURL *easy;
  struct curl_slist *headers;
  struct load_class *class;
  struct class_report *report;
  struct arrival arrival;
  struct bd_buffer prompt;
  struct bd_buffer body;
  struct bd_buffer raw; /* Body of a response that is no event stream. */
  struct bd_buffer text;
  struct bd_sse sse;
  char key[KEY_BYTES];
  char request_id[64];
  char code[48];
  char ran[16];
  char retry_after[16];
  long status;
  int64_t first_token_us; /* Time since the scheduled time; 0: none yet. */
  int64_t last_token_us;
  int64_t gap_sum_us;
  long gaps;
  bool is_stream; /* The response's Content-Type is that of an event stream. */
  bool replay;
  bool done;
  bool failed; /* An error, invalid JSON or data after [DONE] was received. */
};

static struct
{
  struct plan plan;
  struct class_report reports[CLASSES_MAX];
  struct exchange *open;
  CURLM *multi;
  FILE *receipts;
  int64_t start_us;
  int64_t start_wall_ms;
  int timer;
} load;

static int64_t
since_scheduled (const struct exchange *e)
{
  return bd_clock_us () - load.start_us - e->arrival.at_us;
}

/* Copies the value of header NAME to TO if LINE is that header. */
static void
copy_header (struct bd_chunk line, const char *name, char *to, size_t size)
{
  size_t n = strlen (name);
  size_t length = 0;

  if (line.length <= n || strncasecmp (line.data, name, n) != 0)
    return;
  line.data += n;
  line.length -= n;
  while (line.length > 0 && *line.data == ' ')
    {
      line.data++;
      line.length--;
    }
  while (length < line.length && length + 1 < size && line.data[length] != '\r'
         && line.data[length] != '\n')
    {
      to[length] = line.data[length];
      length++;
    }
  to[length] = '\0';
}

static size_t
on_header (char *data, size_t size, size_t count, void *user)
{
  struct exchange *e = user;
  struct bd_chunk line = { .data = data, .length = size * count };
  char text[64] = "";

  copy_header (line, "X-Request-Id:", e->request_id, sizeof e->request_id);
  copy_header (line, "X-Basildock-Ran:", e->ran, sizeof e->ran);
  copy_header (line, "Retry-After:", e->retry_after, sizeof e->retry_after);
  copy_header (line, "Content-Type:", text, sizeof text);
  if (strncmp (text, "text/event-stream", 17) == 0)
    e->is_stream = true;
  text[0] = '\0';
  copy_header (line, "X-Basildock-Replay:", text, sizeof text);
  if (strcmp (text, "true") == 0)
    e->replay = true;
  return line.length;
}

static void
record_token (struct exchange *e)
{
  int64_t now = since_scheduled (e);

  if (e->first_token_us == 0)
    e->first_token_us = now > 0 ? now : 1;
  else
    {
      add_sample (&e->report->gaps, now - e->last_token_us);
      e->gap_sum_us += now - e->last_token_us;
      e->gaps++;
    }
  e->last_token_us = now;
}

/* Parses {"error": {"code", "ran"}}.  Returns false if ROOT is no error. */
static bool
parse_error (struct exchange *e, const json_t *root)
{
  const json_t *error = json_object_get (root, "error");

  if (!error)
    return false;
  snprintf (e->code, sizeof e->code, "%s", read_text (error, "code", ""));
  snprintf (e->ran, sizeof e->ran, "%s", read_text (error, "ran", e->ran));
  return true;
}

static void
handle_sse_event (struct exchange *e, struct bd_chunk data)
{
  json_t *root;
  const char *text;

  if (data.length == 0)
    return;
  if (bd_chunk_equal (data, BD_CHUNK ("[DONE]")))
    {
      e->failed = e->failed || e->done;
      e->done = true;
      return;
    }
  root = json_loadb (data.data, data.length, 0, NULL);
  if (!root || e->done || parse_error (e, root))
    e->failed = true;
  text = json_string_value (json_object_get (
      json_object_get (json_array_get (json_object_get (root, "choices"), 0),
                       "delta"),
      "content"));
  if (text && text[0] != '\0')
    {
      record_token (e);
      bd_buffer_append (&e->text, bd_chunk_of (text));
    }
  json_decref (root);
}

static size_t
on_data (char *data, size_t size, size_t count, void *user)
{
  struct exchange *e = user;
  struct bd_chunk chunk = { .data = data, .length = size * count };
  struct bd_chunk event;

  if (!e->is_stream)
    {
      if (e->raw.length + chunk.length > ANSWER_MAX_BYTES)
        return 0;
      bd_buffer_append (&e->raw, chunk);
      return chunk.length;
    }
  if (bd_sse_feed (&e->sse, chunk) != BD_OK)
    return 0;
  while ((event = bd_sse_next (&e->sse)).length > 0)
    handle_sse_event (e, bd_sse_data (event));
  return chunk.length;
}

/* Parses a response that is one JSON object. */
static void
parse_object (struct exchange *e)
{
  json_t *root
      = json_loadb (e->raw.data ? e->raw.data : "", e->raw.length, 0, NULL);
  const char *text;

  if (!root)
    return;
  if (!parse_error (e, root))
    {
      text = e->class->service
                 ? json_string_value (json_object_get (root, "body"))
                 : json_string_value (json_object_get (
                     json_object_get (
                         json_array_get (json_object_get (root, "choices"), 0),
                         "message"),
                     "content"));
      bd_buffer_append (&e->text, bd_chunk_of (text));
      record_token (e);
      e->done = true;
    }
  json_decref (root);
}

/* Compares the answer with the expected one; sets *TOKENS to its length. */
static bool
text_matches (const struct exchange *e, int *tokens)
{
  struct bd_buffer hashed = { 0 };
  uint64_t hash;

  if (e->class->service)
    {
      *tokens = 0;
      return bd_chunk_equal (bd_buffer_chunk (&e->text),
                             bd_buffer_chunk (&e->body));
    }
  bd_buffer_printf (&hashed, "user: %s\n", e->prompt.data);
  hash = bd_chunk_hash (bd_buffer_chunk (&hashed));
  bd_buffer_clear (&hashed);
  *tokens = answer_length (hash, e->class->max_tokens);
  return answer_match (hash, bd_buffer_chunk (&e->text)) == *tokens;
}

static enum outcome
classify_outcome (struct exchange *e, CURLcode code, int *tokens)
{
  *tokens = 0;
  if (code == CURLE_OK && !e->is_stream)
    parse_object (e);
  if (e->code[0] != '\0' && e->text.length == 0 && !e->is_stream)
    return OUTCOME_REFUSED;
  if (code != CURLE_OK && e->status == 0)
    return OUTCOME_LOST;
  if (code != CURLE_OK || e->status != 200 || !e->done || e->failed)
    return OUTCOME_BROKEN;
  return text_matches (e, tokens) ? OUTCOME_WHOLE : OUTCOME_WRONG;
}

static bool
attained (const struct exchange *e)
{
  int64_t gap = e->gaps > 0 ? e->gap_sum_us / e->gaps : 0;

  return e->first_token_us <= (int64_t)e->class->first_token_ms * 1000
         && gap <= (int64_t)e->class->token_gap_ms * 1000;
}

static void
write_receipt (const struct exchange *e, enum outcome outcome, int tokens)
{
  if (!load.receipts)
    return;
  fprintf (load.receipts,
           "{\"request\":\"%s\",\"key\":\"%s\",\"class\":\"%s\","
           "\"outcome\":\"%s\",\"code\":\"%s\",\"ran\":\"%s\",\"retry_after\":"
           "\"%s\","
           "\"whole\":%s,\"replay\":%s,\"duplicate\":%s,\"tokens\":%d,"
           "\"bytes\":%zu,\"at_ms\":%lld,\"first_token_us\":%lld}\n",
           e->request_id, e->key, e->class->name, outcome_names[outcome],
           e->code, e->ran, e->retry_after,
           outcome == OUTCOME_WHOLE ? "true" : "false",
           e->replay ? "true" : "false",
           e->arrival.duplicate ? "true" : "false", tokens, e->text.length,
           (long long)(e->arrival.at_us / 1000), (long long)e->first_token_us);
}

static void
free_exchange (struct exchange *e)
{
  if (e->previous)
    e->previous->next = e->next;
  else
    load.open = e->next;
  if (e->next)
    e->next->previous = e->previous;
  curl_multi_remove_handle (load.multi, e->easy);
  curl_easy_cleanup (e->easy);
  curl_slist_free_all (e->headers);
  bd_buffer_clear (&e->prompt);
  bd_buffer_clear (&e->body);
  bd_buffer_clear (&e->raw);
  bd_buffer_clear (&e->text);
  bd_sse_clear (&e->sse);
  free (e);
}

static void
finish (struct exchange *e, CURLcode code)
{
  struct class_report *r = e->report;
  enum outcome outcome;
  int tokens;

  curl_easy_getinfo (e->easy, CURLINFO_RESPONSE_CODE, &e->status);
  outcome = classify_outcome (e, code, &tokens);
  r->outcomes[outcome]++;
  if (outcome != OUTCOME_WHOLE && outcome != OUTCOME_WRONG)
    count_code (r, e->code[0] != '\0' ? e->code : curl_easy_strerror (code));
  if (outcome == OUTCOME_WHOLE)
    {
      add_sample (&r->first_token, e->first_token_us);
      count_window (r->window_completed,
                    e->arrival.at_us + since_scheduled (e));
      r->replays += e->replay;
      r->tokens += e->replay ? 0 : tokens;
      r->attained += attained (e);
      r->attained_tokens += attained (e) ? tokens : 0;
    }
  write_receipt (e, outcome, tokens);
  free_exchange (e);
}

static void
add_header (struct exchange *e, const char *name, const char *value)
{
  char line[HEADER_BYTES];

  if (value[0] == '\0')
    return;
  snprintf (line, sizeof line, "%s%s", name, value);
  e->headers = curl_slist_append (e->headers, line);
}

static void
add_headers (struct exchange *e)
{
  const struct load_class *c = e->class;

  add_header (e, "Content-Type: ", "application/json");
  add_header (e, "Authorization: Bearer ", c->credential);
  add_header (e, "X-Basildock-Class: ", c->header);
  add_header (e, "Idempotency-Key: ", e->key);
  add_header (e, "Expect:", " ");
}

static void
set_options (struct exchange *e)
{
  const struct load_class *c = e->class;
  uint64_t target = answer_mix (e->arrival.draw ^ 19) + e->arrival.duplicate;
  char url[HEADER_BYTES];

  snprintf (url, sizeof url, "%s%s", c->targets[target % c->target_count],
            c->path);
  curl_easy_setopt (e->easy, CURLOPT_URL, url);
  curl_easy_setopt (e->easy, CURLOPT_PRIVATE, e);
  curl_easy_setopt (e->easy, CURLOPT_HTTPHEADER, e->headers);
  curl_easy_setopt (e->easy, CURLOPT_POSTFIELDSIZE, (long)e->body.length);
  curl_easy_setopt (e->easy, CURLOPT_POSTFIELDS, e->body.data);
  curl_easy_setopt (e->easy, CURLOPT_CUSTOMREQUEST, c->method);
  curl_easy_setopt (e->easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (e->easy, CURLOPT_HEADERDATA, e);
  curl_easy_setopt (e->easy, CURLOPT_WRITEFUNCTION, on_data);
  curl_easy_setopt (e->easy, CURLOPT_WRITEDATA, e);
  curl_easy_setopt (e->easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (e->easy, CURLOPT_PROXY, "");
  /* libcurl retries by itself when a reused connection is closed; without
     reuse it sends each request once. */
  curl_easy_setopt (e->easy, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt (e->easy, CURLOPT_FORBID_REUSE, 1L);
}

static bool
send_arrival (const struct arrival *arrival)
{
  struct exchange *e = calloc (1, sizeof *e);

  if (!e)
    return false;
  e->easy = curl_easy_init ();
  e->arrival = *arrival;
  e->class = &load.plan.classes[arrival->class_index];
  e->report = &load.reports[arrival->class_index];
  make_prompt (e->class, arrival->draw, &e->prompt);
  make_body (e->class, e->prompt.data, &e->body);
  if (e->class->keyed)
    make_key (
        load.start_wall_ms
            + (arrival->at_us - (arrival->duplicate ? DUPLICATE_DELAY_US : 0))
                  / 1000,
        arrival->draw, e->key);
  add_headers (e);
  set_options (e);
  e->next = load.open;
  if (load.open)
    load.open->previous = e;
  load.open = e;
  e->report->sent++;
  count_window (e->report->window_sent, arrival->at_us);
  return curl_multi_add_handle (load.multi, e->easy) == CURLM_OK;
}

static void
finish_completed (void)
{
  CURLMsg *message;
  int left;

  while ((message = curl_multi_info_read (load.multi, &left)))
    {
      struct exchange *e = NULL;

      curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, &e);
      finish (e, message->data.result);
    }
}

/* Wakes the loop at AT_US; poll's timeout in milliseconds is too coarse. */
static void
set_timer (int64_t at_us)
{
  struct itimerspec t = { 0 };

  t.it_value.tv_sec = at_us / 1000000;
  t.it_value.tv_nsec = at_us % 1000000 * 1000;
  timerfd_settime (load.timer, TFD_TIMER_ABSTIME, &t, NULL);
}

static void
poll_once (int64_t until_us)
{
  struct curl_waitfd wait = { .fd = load.timer, .events = CURL_WAIT_POLLIN };
  uint64_t expirations;
  int running;

  set_timer (until_us);
  curl_multi_poll (load.multi, &wait, 1, POLL_LONGEST_MS, NULL);
  if (wait.revents != 0
      && read (load.timer, &expirations, sizeof expirations) < 0)
    expirations = 0;
  curl_multi_perform (load.multi, &running);
  finish_completed ();
}

static void
run_load (void)
{
  const struct plan *plan = &load.plan;
  int64_t end;
  size_t next = 0;

  load.start_us = bd_clock_us ();
  load.start_wall_ms = bd_clock_wall_ms ();
  while (next < plan->count)
    {
      int64_t due = load.start_us + plan->arrivals[next].at_us;

      if (bd_clock_us () >= due)
        send_arrival (&plan->arrivals[next++]);
      else
        poll_once (due);
    }
  end = bd_clock_us () + plan->drain_us;
  while (load.open && bd_clock_us () < end)
    poll_once (end);
  while (load.open)
    finish (load.open, CURLE_OPERATION_TIMEDOUT);
}

static int
run (const char *scenario, uint64_t seed, const char *label,
     const char *receipts)
{
  if (!read_plan (&load.plan, scenario, seed))
    {
      fprintf (stderr, "bench_load: %s is no usable scenario\n", scenario);
      return 1;
    }
  signal (SIGPIPE, SIG_IGN);
  curl_global_init (CURL_GLOBAL_ALL);
  load.multi = curl_multi_init ();
  load.timer = timerfd_create (CLOCK_MONOTONIC, TFD_NONBLOCK);
  load.receipts = receipts[0] != '\0' ? fopen (receipts, "w") : NULL;
  run_load ();
  print_report (&load.plan, load.reports, label);
  if (load.receipts)
    fclose (load.receipts);
  close (load.timer);
  curl_multi_cleanup (load.multi);
  release_reports (&load.plan, load.reports);
  release_plan (&load.plan);
  return 0;
}

int
main (int argc, char **argv)
{
  struct arg_str *scenario
      = arg_str1 (NULL, "scenario", "FILE", "scenario, a JSON file");
  struct arg_int *seed = arg_int0 (NULL, "seed", "N", "seed (1)");
  struct arg_str *label
      = arg_str0 (NULL, "label", "TEXT", "label of the JSON report");
  struct arg_str *receipts = arg_str0 (NULL, "receipts", "FILE",
                                       "output, one JSON line per request");
  struct arg_end *end = arg_end (4);
  void *table[] = { scenario, seed, label, receipts, end };
  int rc = 2;

  seed->ival[0] = 1;
  label->sval[0] = "";
  receipts->sval[0] = "";
  if (arg_parse (argc, argv, table) > 0)
    {
      arg_print_errors (stderr, end, "bench_load");
      fputs ("bench_load", stderr);
      arg_print_syntax (stderr, table, "\n");
    }
  else
    rc = run (scenario->sval[0], (uint64_t)seed->ival[0], label->sval[0],
              receipts->sval[0]);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return rc;
}
