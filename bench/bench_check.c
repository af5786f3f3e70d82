/*
 * Checks the records of a run against one another: the engines' run logs,
 * the load tool's receipts and the daemons' event logs.  Prints one JSON
 * line of counts and exits with status 1 when an invariant was violated:
 *  - every billed answer was delivered whole, and none was billed twice;
 *  - an idempotency key ran at most once;
 *  - a request refused with "ran: no" did not run, nor did its key;
 *  - no whole answer had a wrong text;
 *  - no sidecar shed a request, or refused it as overloaded, while it had a
 *    request of a lower tier in its queue.
 */
#include "common/map.h"
#include "common/string.h"

#include <argtable2.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FILES_MAX 64
#define TIERS 4
#define TIER_UNKNOWN (-1)
#define VALUE_BYTES 300
#define REPORTS_MAX 20

/* Observations about a request or an idempotency key. */
struct record
{
  struct bd_id id;
  struct record *key; /* Record of the request's key, or NULL. */
  int tier;
  bool whole;
  bool seen; /* A receipt of the request was read. */
  bool replay;
  bool says_not_run; /* The response said "ran: no". */
  long runs;
  long delivered;
  long bills;
  long billed_tokens;
};

static struct
{
  struct bd_map *requests;
  struct bd_map *keys;
  json_t *classes;
  long requests_sent;
  long computed;
  long delivered;
  long starts;
  long retries;
  long strikes;
  long quarantines;
  long sheds[TIERS];
  long wrong;
  long billed_not_whole;
  long billed_unknown;
  long billed_twice;
  long billed_other_tokens;
  long whole_not_billed;
  long keys_run_twice;
  long false_refusals;     /* The refused request ran. */
  long false_key_refusals; /* Another request with the same key ran. */
  long tier_violations;
  int reported;
} check;

static void
report_violation (const char *rule, struct bd_id id)
{
  char text[BD_ID_HEX_LENGTH + 1];

  if (check.reported++ >= REPORTS_MAX)
    return;
  bd_id_format (id, text);
  fprintf (stderr, "%s: %s\n", rule, text);
}

static struct record *
find (struct bd_map *map, struct bd_id id)
{
  struct record *r = bd_map_get (map, id, 0);

  if (r)
    return r;
  r = calloc (1, sizeof *r);
  if (!r || bd_map_put (map, id, 0, r) != BD_OK)
    exit (2);
  r->id = id;
  r->tier = TIER_UNKNOWN;
  return r;
}

static struct record *
find_key (const char *key)
{
  struct bd_id id = { .high = bd_chunk_hash (bd_chunk_of (key)), .low = 1 };

  return key[0] != '\0' ? find (check.keys, id) : NULL;
}

/* Returns the record of the request with id TEXT, or NULL if TEXT is no id. */
static struct record *
find_request (const char *text)
{
  struct bd_id id;

  if (bd_id_parse (bd_chunk_of (text), &id) != BD_OK)
    return NULL;
  return find (check.requests, id);
}

static const char *
text_of (const json_t *object, const char *name)
{
  const char *text = json_string_value (json_object_get (object, name));

  return text ? text : "";
}

static long
number_of (const json_t *object, const char *name)
{
  return (long)json_integer_value (json_object_get (object, name));
}

static void
handle_receipt (const json_t *json)
{
  struct record *r = find_request (text_of (json, "request"));
  struct record *key = find_key (text_of (json, "key"));
  const char *outcome = text_of (json, "outcome");
  const json_t *tier
      = json_object_get (check.classes, text_of (json, "class"));

  check.requests_sent++;
  if (strcmp (outcome, "wrong") == 0)
    check.wrong++;
  if (!r)
    return;
  r->seen = true;
  r->key = key;
  r->tier = tier ? (int)json_integer_value (tier) : TIER_UNKNOWN;
  r->whole = strcmp (outcome, "whole") == 0;
  r->replay = json_is_true (json_object_get (json, "replay"));
  r->says_not_run = strcmp (text_of (json, "ran"), "no") == 0;
  if (r->whole && !r->replay)
    {
      r->delivered = number_of (json, "tokens");
      check.delivered += r->delivered;
    }
}

static void
handle_run (const json_t *json)
{
  struct record *r = find_request (text_of (json, "request"));
  struct record *key = r && r->key ? r->key : find_key (text_of (json, "key"));

  if (strcmp (text_of (json, "event"), "start") != 0)
    check.computed += number_of (json, "tokens");
  else
    {
      if (r)
        r->runs++;
      if (key)
        key->runs++;
    }
}

/* Calls HANDLE for each line of FILE that is valid JSON. */
static void
read_json_lines (const char *file, void (*handle) (const json_t *json))
{
  FILE *in = fopen (file, "r");
  char *line = NULL;
  size_t size = 0;

  if (!in)
    {
      perror (file);
      exit (2);
    }
  while (getline (&line, &size, in) > 0)
    {
      json_t *json = json_loads (line, 0, NULL);

      if (json)
        handle (json);
      json_decref (json);
    }
  free (line);
  fclose (in);
}

/* Copies the value of " NAME=" in LINE to VALUE.  Returns false if LINE has
   none. */
static bool
value_of (const char *line, const char *name, char value[VALUE_BYTES])
{
  char pattern[32];
  const char *at;
  size_t length;

  snprintf (pattern, sizeof pattern, " %s=", name);
  at = strstr (line, pattern);
  value[0] = '\0';
  if (!at)
    return false;
  at += strlen (pattern);
  length = strcspn (at, " \r\n");
  if (length >= VALUE_BYTES)
    length = VALUE_BYTES - 1;
  memcpy (value, at, length);
  value[length] = '\0';
  return true;
}

/* Queue of a sidecar, reconstructed from its log. */
struct queue
{
  struct bd_map *tiers; /* Maps request and attempt to the tier plus one. */
  struct bd_map *leave_lines; /* Maps request and attempt to the last line that
                                 shows it has left. */
  long queued[TIERS];         /* Requests in the queue. */
  uintptr_t line;             /* Number of the current line. */
};

static void
leave_queue (struct queue *queue, struct bd_id id, uint32_t attempt)
{
  void *tier = bd_map_remove (queue->tiers, id, attempt);

  if (tier)
    queue->queued[(uintptr_t)tier - 1]--;
}

/* Whether a later line shows that the request leaves the queue.  A sidecar
   doesn't log the withdrawal of a queued request, so only a request with such
   a line is known to stay in the queue until then. */
static bool
leaves_later (const struct queue *queue, struct bd_id id, uint32_t attempt)
{
  return (uintptr_t)bd_map_get (queue->leave_lines, id, attempt) > queue->line;
}

static void
enter_queue (struct queue *queue, struct bd_id id, uint32_t attempt, int tier)
{
  leave_queue (queue, id, attempt);
  if (tier < 0 || tier >= TIERS || !leaves_later (queue, id, attempt))
    return;
  bd_map_put (queue->tiers, id, attempt, (void *)((uintptr_t)tier + 1));
  queue->queued[tier]++;
}

static bool
has_lower_tier (const struct queue *queue, int tier)
{
  for (int i = tier + 1; i < TIERS; i++)
    if (tier >= 0 && queue->queued[i] > 0)
      return true;
  return false;
}

static void
handle_shed (struct queue *queue, const char *line, struct bd_id id)
{
  char value[VALUE_BYTES];
  int tier = TIER_UNKNOWN;
  int for_tier = TIER_UNKNOWN;

  if (value_of (line, "tier", value))
    tier = atoi (value);
  if (value_of (line, "for_tier", value))
    for_tier = atoi (value);
  if (tier < 0 || tier >= TIERS)
    return;
  check.sheds[tier]++;
  if (for_tier > tier || has_lower_tier (queue, tier))
    {
      check.tier_violations++;
      report_violation ("shed while a lower tier was queued", id);
    }
}

static void
handle_usage_record (struct record *r, const char *line)
{
  char value[VALUE_BYTES];
  long tokens = value_of (line, "tokens", value) ? atol (value) : 0;

  r->bills++;
  r->billed_tokens += tokens;
}

static void
handle_refusal (const struct queue *queue, const struct record *r,
                const char *line)
{
  /* The detail is logged as "overloaded" or as "code=overloaded". */
  if (!strstr (line, "overloaded") || !has_lower_tier (queue, r->tier))
    return;
  check.tier_violations++;
  report_violation ("refused while a lower tier was queued", r->id);
}

struct event
{
  int number;
  struct record *request; /* NULL if the line has no request id. */
  uint32_t attempt;
};

static void
read_event (const char *line, struct event *event)
{
  const char *at = strstr (line, ": BD");
  char value[VALUE_BYTES];

  event->number = at ? atoi (at + 4) : 0;
  event->request
      = value_of (line, "request", value) ? find_request (value) : NULL;
  event->attempt = value_of (line, "attempt", value)
                       ? (uint32_t)strtoul (value, NULL, 10)
                       : 0;
}

/* First pass: records the last line that shows a request leave the queue. */
static void
record_leave_line (struct queue *queue, const char *line)
{
  struct event e;

  read_event (line, &e);
  if (e.request && e.number != 2005)
    bd_map_put (queue->leave_lines, e.request->id, e.attempt,
                (void *)queue->line);
}

static void
handle_event (struct queue *queue, const char *line)
{
  char value[VALUE_BYTES];
  struct event e;

  read_event (line, &e);
  if (!e.request)
    return;
  if (e.number == 2005 && value_of (line, "tier", value))
    enter_queue (queue, e.request->id, e.attempt, atoi (value));
  else
    leave_queue (queue, e.request->id, e.attempt);
  check.retries += e.number == 2003;
  check.starts += e.number == 2007;
  check.strikes += e.number == 5004;
  check.quarantines += e.number == 5005;
  if (e.number == 2004)
    handle_shed (queue, line, e.request->id);
  else if (e.number == 2002)
    handle_refusal (queue, e.request, line);
  else if (e.number == 2009)
    handle_usage_record (e.request, line);
}

static void
read_lines (FILE *in, struct queue *queue,
            void (*handle) (struct queue *queue, const char *line))
{
  char *line = NULL;
  size_t size = 0;

  queue->line = 0;
  rewind (in);
  while (getline (&line, &size, in) > 0)
    {
      queue->line++;
      handle (queue, line);
    }
  free (line);
}

static void
read_events (const char *file)
{
  FILE *in = fopen (file, "r");
  struct queue queue
      = { .tiers = bd_map_create (), .leave_lines = bd_map_create () };

  if (!in || !queue.tiers || !queue.leave_lines)
    {
      perror (file);
      exit (2);
    }
  read_lines (in, &queue, record_leave_line);
  read_lines (in, &queue, handle_event);
  fclose (in);
  bd_map_destroy (queue.tiers);
  bd_map_destroy (queue.leave_lines);
}

static void
check_bills (const struct record *r)
{
  if (r->bills > 0 && !r->seen)
    check.billed_unknown++;
  if (r->bills > 0 && r->seen && !r->whole)
    {
      check.billed_not_whole++;
      report_violation ("billed but not delivered whole", r->id);
    }
  if (r->bills > 1)
    {
      check.billed_twice++;
      report_violation ("billed twice", r->id);
    }
  if (r->bills == 1 && r->whole && r->billed_tokens != r->delivered)
    check.billed_other_tokens++;
  if (r->bills == 0 && r->whole && !r->replay && !r->key)
    check.whole_not_billed++;
}

static void
check_request (struct record *r)
{
  check_bills (r);
  if (r->key)
    {
      r->key->bills += r->bills;
      r->key->whole = r->key->whole || r->whole;
    }
  if (r->says_not_run && r->runs > 0)
    {
      check.false_refusals++;
      report_violation ("reported as not run, but ran", r->id);
    }
  else if (r->says_not_run && r->key && r->key->runs > 0)
    {
      check.false_key_refusals++;
      report_violation ("reported as not run, but its key ran", r->id);
    }
}

static void
check_invariants (void)
{
  struct record *r;
  size_t cursor = 0;

  while ((r = bd_map_next (check.requests, &cursor)))
    check_request (r);
  cursor = 0;
  while ((r = bd_map_next (check.keys, &cursor)))
    {
      if (r->runs > 1)
        {
          check.keys_run_twice++;
          report_violation ("key ran twice", r->id);
        }
      if (r->bills > 1)
        {
          check.billed_twice++;
          report_violation ("key billed twice", r->id);
        }
      if (r->bills == 0 && r->whole)
        check.whole_not_billed++;
    }
}

static long
violations (void)
{
  return check.wrong + check.billed_not_whole + check.billed_twice
         + check.keys_run_twice + check.false_refusals
         + check.false_key_refusals + check.tier_violations;
}

static void
print_result (void)
{
  long wasted = check.computed - check.delivered;
  double share
      = check.computed > 0 ? (double)wasted / (double)check.computed : 0;

  printf ("{\"violations\":%ld,\"wrong\":%ld,\"billed_not_whole\":%ld,"
          "\"billed_twice\":%ld,\"keys_run_twice\":%ld,"
          "\"false_refusals\":%ld,\"false_key_refusals\":%ld,"
          "\"tier_violations\":%ld,"
          "\"billed_unknown\":%ld,\"billed_other_tokens\":%ld,"
          "\"whole_not_billed\":%ld,",
          violations (), check.wrong, check.billed_not_whole,
          check.billed_twice, check.keys_run_twice, check.false_refusals,
          check.false_key_refusals, check.tier_violations,
          check.billed_unknown, check.billed_other_tokens,
          check.whole_not_billed);
  printf ("\"tokens_computed\":%ld,\"tokens_delivered\":%ld,"
          "\"wasted_share\":%.5f,\"attempts\":%ld,"
          "\"attempts_per_request\":%.4f,\"retries\":%ld,\"strikes\":%ld,"
          "\"quarantines\":%ld,\"sheds_by_tier\":[%ld,%ld,%ld,%ld]}\n",
          check.computed, check.delivered, share, check.starts,
          check.requests_sent > 0
              ? (double)check.starts / (double)check.requests_sent
              : 0,
          check.retries, check.strikes, check.quarantines, check.sheds[0],
          check.sheds[1], check.sheds[2], check.sheds[3]);
}

/* Reads the tier of each class from the scenario file. */
static void
read_classes (const char *scenario)
{
  json_t *root = json_load_file (scenario, 0, NULL);
  const json_t *list = json_object_get (root, "classes");

  check.classes = json_object ();
  for (size_t i = 0; i < json_array_size (list); i++)
    {
      const json_t *c = json_array_get (list, i);
      json_t *tier = json_object_get (c, "tier");

      if (tier)
        json_object_set (check.classes, text_of (c, "name"), tier);
    }
  json_decref (root);
}

static void
free_records (struct bd_map *map)
{
  size_t cursor = 0;
  void *r;

  while ((r = bd_map_next (map, &cursor)))
    free (r);
  bd_map_destroy (map);
}

static int
run (const char *scenario, const char *receipts, struct arg_file *engines,
     struct arg_file *logs)
{
  check.requests = bd_map_create ();
  check.keys = bd_map_create ();
  if (!check.requests || !check.keys)
    return 2;
  read_classes (scenario);
  read_json_lines (receipts, handle_receipt);
  for (int i = 0; i < engines->count; i++)
    read_json_lines (engines->filename[i], handle_run);
  for (int i = 0; i < logs->count; i++)
    read_events (logs->filename[i]);
  check_invariants ();
  print_result ();
  free_records (check.requests);
  free_records (check.keys);
  json_decref (check.classes);
  return violations () > 0 ? 1 : 0;
}

int
main (int argc, char **argv)
{
  struct arg_file *scenario
      = arg_file1 (NULL, "scenario", "FILE", "scenario of the run");
  struct arg_file *receipts
      = arg_file1 (NULL, "receipts", "FILE", "receipts of the run");
  struct arg_file *engines
      = arg_filen (NULL, "engine", "FILE", 0, FILES_MAX, "engine run logs");
  struct arg_file *logs
      = arg_filen (NULL, "log", "FILE", 0, FILES_MAX, "daemons' event logs");
  struct arg_end *end = arg_end (4);
  void *table[] = { scenario, receipts, engines, logs, end };
  int rc = 2;

  if (arg_parse (argc, argv, table) > 0)
    {
      arg_print_errors (stderr, end, "bench_check");
      fputs ("bench_check", stderr);
      arg_print_syntax (stderr, table, "\n");
    }
  else
    rc = run (scenario->filename[0], receipts->filename[0], engines, logs);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return rc;
}
