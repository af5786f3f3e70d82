/**
 * @file load_plan.h
 * Scenario and schedule of the load tool.  The seed determines all arrivals
 * before the first request is sent.  Included once, by bench_load.c.
 *
 * A scenario is a JSON object: "targets" (base URLs), "duration_ms",
 * "drain_ms" (longest wait after the last arrival) and "classes", each with
 * "name", "header" (X-Basildock-Class), "credential", "model", "path",
 * "method", "phases" (each "from_ms", "to_ms", and "rate" per second or a
 * total "count"), and optionally "targets", "stream", "service", "keyed",
 * "max_tokens", "prompt_bytes", "prefix_bytes", "prefix_groups",
 * "first_token_ms", "token_gap_ms", "duplicate_permille", "poison" (text put
 * into some prompts) and "poison_permille".
 */
#ifndef BENCH_LOAD_PLAN_H
#define BENCH_LOAD_PLAN_H

#include "../test/standin/answer.h"

#include <stdio.h>
#include <stdlib.h>

#define CLASSES_MAX 16
#define TARGETS_MAX 16
#define PHASES_MAX 16
#define DUPLICATE_DELAY_US 20000
#define KEY_BYTES 40

struct phase
{
  int64_t from_us;
  int64_t to_us;
  double rate; /* Requests per second, as a Poisson process. */
  int count;   /* Evenly spaced requests, in the place of a rate. */
};

struct load_class
{
  const char *name;
  const char *header;
  const char *credential;
  const char *model;
  const char *path;
  const char *method;
  const char *poison;
  const char *targets[TARGETS_MAX];
  size_t target_count;
  struct phase phases[PHASES_MAX];
  size_t phase_count;
  bool stream;
  bool service;
  bool keyed;
  int max_tokens;
  int prompt_bytes;
  int prefix_bytes;
  int prefix_groups;
  int first_token_ms;
  int token_gap_ms;
  int duplicate_permille;
  int poison_permille;
};

/* One request of the schedule. */
struct arrival
{
  int64_t at_us; /* Time since the start of the run. */
  size_t class_index;
  uint64_t draw;  /* Random number that determines prompt, key and target. */
  bool duplicate; /* Repeats a request with the same key. */
};

struct plan
{
  json_t *json; /* Owns the strings of the classes. */
  uint64_t seed;
  int64_t duration_us;
  int64_t drain_us;
  size_t class_count;
  struct load_class classes[CLASSES_MAX];
  size_t count;
  size_t capacity;
  struct arrival *arrivals;
};

static const char *
read_text (const json_t *object, const char *name, const char *default_value)
{
  const char *text = json_string_value (json_object_get (object, name));

  return text ? text : default_value;
}

static int
read_number (const json_t *object, const char *name, int default_value)
{
  const json_t *value = json_object_get (object, name);

  return json_is_number (value) ? (int)json_number_value (value)
                                : default_value;
}

static void
read_targets (struct load_class *c, const json_t *object, const json_t *root)
{
  const json_t *list = json_object_get (object, "targets");

  if (!list)
    list = json_object_get (root, "targets");
  for (size_t i = 0; i < json_array_size (list) && i < TARGETS_MAX; i++)
    c->targets[c->target_count++]
        = json_string_value (json_array_get (list, i));
}

static void
read_phases (struct load_class *c, const json_t *object)
{
  const json_t *list = json_object_get (object, "phases");

  for (size_t i = 0; i < json_array_size (list) && i < PHASES_MAX; i++)
    {
      const json_t *item = json_array_get (list, i);
      struct phase *p = &c->phases[c->phase_count++];

      p->from_us = (int64_t)read_number (item, "from_ms", 0) * 1000;
      p->to_us = (int64_t)read_number (item, "to_ms", 0) * 1000;
      p->rate = json_number_value (json_object_get (item, "rate"));
      p->count = read_number (item, "count", 0);
    }
}

static void
read_class (struct load_class *c, const json_t *object, const json_t *root)
{
  c->name = read_text (object, "name", "class");
  c->header = read_text (object, "header", "");
  c->credential = read_text (object, "credential", "");
  c->model = read_text (object, "model", "standin");
  c->path = read_text (object, "path", "/v1/chat/completions");
  c->method = read_text (object, "method", "POST");
  c->poison = read_text (object, "poison", "");
  c->stream = json_is_true (json_object_get (object, "stream"));
  c->service = json_is_true (json_object_get (object, "service"));
  c->keyed = json_is_true (json_object_get (object, "keyed"));
  c->max_tokens = read_number (object, "max_tokens", 200);
  c->prompt_bytes = read_number (object, "prompt_bytes", 400);
  c->prefix_bytes = read_number (object, "prefix_bytes", 0);
  c->prefix_groups = read_number (object, "prefix_groups", 1);
  c->first_token_ms = read_number (object, "first_token_ms", 1000);
  c->token_gap_ms = read_number (object, "token_gap_ms", 100);
  c->duplicate_permille = read_number (object, "duplicate_permille", 0);
  c->poison_permille = read_number (object, "poison_permille", 0);
  read_targets (c, object, root);
  read_phases (c, object);
}

static bool
add_arrival (struct plan *plan, struct arrival arrival)
{
  if (plan->count == plan->capacity)
    {
      size_t capacity = plan->capacity > 0 ? plan->capacity * 2 : 1024;
      struct arrival *list = realloc (plan->arrivals, capacity * sizeof *list);

      if (!list)
        return false;
      plan->arrivals = list;
      plan->capacity = capacity;
    }
  plan->arrivals[plan->count++] = arrival;
  return true;
}

static bool
add_request (struct plan *plan, struct arrival arrival)
{
  const struct load_class *c = &plan->classes[arrival.class_index];

  if (!add_arrival (plan, arrival))
    return false;
  if (!c->keyed
      || (int)(answer_mix (arrival.draw ^ 3) % 1000) >= c->duplicate_permille)
    return true;
  arrival.at_us += DUPLICATE_DELAY_US;
  arrival.duplicate = true;
  return add_arrival (plan, arrival);
}

/* Adds evenly spaced requests. */
static bool
add_evenly_spaced (struct plan *plan, size_t index, const struct phase *phase,
                   uint64_t *state)
{
  for (int i = 0; i < phase->count; i++)
    {
      struct arrival a = { .class_index = index };

      *state = answer_mix (*state);
      a.at_us = phase->from_us
                + (phase->to_us - phase->from_us) * i / phase->count;
      a.draw = answer_mix (*state ^ 5);
      if (!add_request (plan, a))
        return false;
    }
  return true;
}

/* Adds the requests of a phase: evenly spaced if it has a count, else by a
   Poisson process.  Returns false when memory is exhausted. */
static bool
add_phase (struct plan *plan, size_t index, const struct phase *phase,
           uint64_t *state)
{
  double at = (double)phase->from_us;

  if (phase->count > 0)
    return add_evenly_spaced (plan, index, phase, state);
  if (phase->rate <= 0)
    return true;
  for (;;)
    {
      struct arrival a = { .class_index = index };

      *state = answer_mix (*state);
      at += -log (answer_unit (*state)) * 1e6 / phase->rate;
      if (at >= (double)phase->to_us)
        return true;
      a.at_us = (int64_t)at;
      a.draw = answer_mix (*state ^ 5);
      if (!add_request (plan, a))
        return false;
    }
}

static int
compare_arrivals (const void *a, const void *b)
{
  const struct arrival *x = a;
  const struct arrival *y = b;

  if (x->at_us != y->at_us)
    return x->at_us < y->at_us ? -1 : 1;
  return (x->draw > y->draw) - (x->draw < y->draw);
}

static bool
read_plan (struct plan *plan, const char *file, uint64_t seed)
{
  json_error_t error;
  json_t *root = json_load_file (file, 0, &error);
  const json_t *classes = json_object_get (root, "classes");

  if (!root)
    {
      fprintf (stderr, "%s:%d: %s\n", file, error.line, error.text);
      return false;
    }
  plan->json = root;
  plan->seed = seed;
  plan->duration_us = (int64_t)read_number (root, "duration_ms", 10000) * 1000;
  plan->drain_us = (int64_t)read_number (root, "drain_ms", 20000) * 1000;
  for (size_t i = 0; i < json_array_size (classes) && i < CLASSES_MAX; i++)
    {
      struct load_class *c = &plan->classes[plan->class_count++];
      uint64_t state = answer_mix (seed * CLASSES_MAX + i);

      read_class (c, json_array_get (classes, i), root);
      if (c->target_count == 0)
        return false;
      for (size_t p = 0; p < c->phase_count; p++)
        if (!add_phase (plan, i, &c->phases[p], &state))
          return false;
    }
  if (plan->count > 0)
    qsort (plan->arrivals, plan->count, sizeof *plan->arrivals,
           compare_arrivals);
  return plan->count > 0;
}

static void
release_plan (struct plan *plan)
{
  json_decref (plan->json);
  free (plan->arrivals);
}

static void
append_words (struct bd_buffer *text, uint64_t state, int bytes)
{
  size_t end = text->length + (size_t)bytes;

  for (int i = 0; text->length < end; i++)
    bd_buffer_append (text, bd_chunk_of (answer_token (state, i)));
}

/* Writes a prompt: the prefix that its group shares, then words of its own. */
static void
make_prompt (const struct load_class *c, uint64_t draw,
             struct bd_buffer *prompt)
{
  uint64_t group = answer_mix (draw ^ 7) % (uint64_t)c->prefix_groups;

  if (c->prefix_bytes > 0)
    append_words (prompt, answer_mix (group ^ 11), c->prefix_bytes);
  if (c->poison[0] != '\0'
      && (int)(answer_mix (draw ^ 13) % 1000) < c->poison_permille)
    bd_buffer_printf (prompt, "%s ", c->poison);
  bd_buffer_printf (prompt, "%016llx ", (unsigned long long)draw);
  if (c->prompt_bytes > c->prefix_bytes)
    append_words (prompt, draw, c->prompt_bytes - c->prefix_bytes);
}

static void
make_body (const struct load_class *c, const char *prompt,
           struct bd_buffer *body)
{
  if (c->service)
    bd_buffer_printf (body, "{\"order\":\"%s\"}", prompt);
  else
    bd_buffer_printf (body,
                      "{\"model\":\"%s\",\"stream\":%s,\"max_tokens\":%d,"
                      "\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}",
                      c->model, c->stream ? "true" : "false", c->max_tokens,
                      prompt);
}

/* Writes a UUIDv7 with time WALL_MS and random bits derived from DRAW. */
static void
make_key (int64_t wall_ms, uint64_t draw, char key[KEY_BYTES])
{
  uint64_t a = answer_mix (draw ^ 17);

  snprintf (key, KEY_BYTES, "%08llx-%04llx-7%03llx-%04llx-%012llx",
            (unsigned long long)(wall_ms >> 16) & 0xffffffffULL,
            (unsigned long long)wall_ms & 0xffffULL,
            (unsigned long long)(a >> 52),
            (unsigned long long)(0x8000 | (a & 0x3fff)),
            (unsigned long long)(answer_mix (a) >> 16));
}

#endif
