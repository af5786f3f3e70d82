/**
 * @file batch.h
 * The engine stand-in's model of continuous batching.  In each step the
 * first SLOTS sequences by (priority, arrival) advance by one token or by
 * one chunk of prefill; larger batches make a step longer.
 * Included once, by engine.c.
 */
#ifndef STANDIN_BATCH_H
#define STANDIN_BATCH_H

#include "answer.h"

#include "common/clock.h"

#include <errno.h>
#include <pthread.h>
#include <stdio.h>
#include <time.h>
#include <unistd.h>

#define PREFILL_CHUNK_TOKENS 512
#define PREFILL_SHARE 200   /* Prefill time per token: token time / this. */
#define BATCH_SLOWDOWN 0.05 /* Share of step time added per sequence. */
#define BYTES_PER_TOKEN 4
#define BLOCK_BYTES 64
#define CACHE_BLOCKS 8192

/* Faults that /standin/fault sets. */
enum fault
{
  FAULT_NONE,
  FAULT_STRAGGLE,  /* Steps take FACTOR times as long. */
  FAULT_CRASH,     /* Exits at once. */
  FAULT_CRASH_ON,  /* Exits when it runs a prompt that contains a text. */
  FAULT_STALL,     /* Runs no steps. */
  FAULT_EARLY_END, /* Breaks off half-way through each answer. */
  FAULT_GARBAGE    /* Sends bytes that are not HTTP. */
};

static const char *const fault_names[]
    = { "none",  "straggle",  "crash",  "crash_on",
        "stall", "early_end", "garbage" };

/* A request to the engine with the state of its generation. */
struct sequence
{
  struct sequence *next;
  pthread_cond_t changed;
  int priority;
  uint64_t prompt_hash;
  int prefill_remaining;
  int resumed_tokens;  /* Tokens produced by an earlier run. */
  int produced_tokens; /* Index of the next token. */
  int total_tokens;
  bool poisoned; /* The prompt crashes the engine. */
  bool admitted;
  uint64_t run_number; /* Number of the run in this process. */
  bool in_step;
  int64_t start_ms;
  char request[64];
  char key[256];
  char path[128];
};

static struct
{
  pthread_mutex_t lock;
  pthread_cond_t work;
  struct sequence *sequences;
  int slots;
  int token_us;
  int step_us; /* Duration of the last step. */
  uint64_t seed;
  bool service; /* A plain service, without a model. */
  bool checks_fencing;
  enum fault fault;
  double factor;        /* Factor of FAULT_STRAGGLE. */
  char crash_text[256]; /* Text of FAULT_CRASH_ON. */
  uint64_t fencing;     /* Highest X-Fencing received. */
  uint64_t runs;
  uint64_t cache[CACHE_BLOCKS];
  FILE *log;
} engine = { .lock = PTHREAD_MUTEX_INITIALIZER,
             .work = PTHREAD_COND_INITIALIZER,
             .factor = 1.0 };

/* Writes a line of the run log: EVENT is "start", "end" or "crash". */
static void
log_run (const struct sequence *s, const char *event, bool done)
{
  if (!engine.log)
    return;
  fprintf (engine.log,
           "{\"event\":\"%s\",\"run\":%llu,\"request\":\"%s\",\"key\":\"%s\","
           "\"path\":\"%s\",\"tokens\":%d,\"done\":%s,\"start_ms\":%lld}\n",
           event, (unsigned long long)s->run_number, s->request, s->key,
           s->path, s->produced_tokens - s->resumed_tokens,
           done ? "true" : "false", (long long)s->start_ms);
  fflush (engine.log);
}

static void
admit (struct sequence *s)
{
  s->admitted = true;
  s->start_ms = bd_clock_wall_ms ();
  s->run_number = ++engine.runs;
  log_run (s, "start", false);
}

static void
crash (void)
{
  for (struct sequence *s = engine.sequences; s; s = s->next)
    if (s->admitted)
      log_run (s, "crash", false);
  _exit (1);
}

static void
insert_sequence (struct sequence *s)
{
  struct sequence **at = &engine.sequences;

  while (*at && (*at)->priority <= s->priority)
    at = &(*at)->next;
  s->next = *at;
  *at = s;
  pthread_cond_signal (&engine.work);
}

static void
remove_sequence (const struct sequence *s)
{
  struct sequence **at = &engine.sequences;

  while (*at && *at != s)
    at = &(*at)->next;
  if (*at)
    *at = s->next;
}

static bool
runnable (const struct sequence *s)
{
  return s->produced_tokens < s->total_tokens;
}

/* Selects the sequences of the next step; returns its duration in us. */
static int64_t
plan_step (int *batch)
{
  int64_t prefill = 0;
  double us;

  *batch = 0;
  for (struct sequence *s = engine.sequences; s; s = s->next)
    {
      s->in_step = *batch < engine.slots && runnable (s);
      if (!s->in_step)
        continue;
      (*batch)++;
      if (!s->admitted)
        admit (s);
      if (s->poisoned)
        crash ();
      prefill += s->prefill_remaining < PREFILL_CHUNK_TOKENS
                     ? s->prefill_remaining
                     : PREFILL_CHUNK_TOKENS;
    }
  us = engine.token_us * (1.0 + BATCH_SLOWDOWN * (*batch - 1));
  us += (double)prefill * engine.token_us / PREFILL_SHARE;
  if (engine.fault == FAULT_STRAGGLE)
    us *= engine.factor;
  return (int64_t)us;
}

static void
end_step (void)
{
  for (struct sequence *s = engine.sequences; s; s = s->next)
    {
      if (!s->in_step)
        continue;
      s->in_step = false;
      s->prefill_remaining -= PREFILL_CHUNK_TOKENS;
      if (s->prefill_remaining > 0)
        continue;
      s->prefill_remaining = 0;
      s->produced_tokens++;
      pthread_cond_signal (&s->changed);
    }
}

static void
sleep_until (int64_t us)
{
  struct timespec t
      = { .tv_sec = us / 1000000, .tv_nsec = us % 1000000 * 1000 };

  while (clock_nanosleep (CLOCK_MONOTONIC, TIMER_ABSTIME, &t, NULL) == EINTR)
    ;
}

static void *
run_scheduler (void *unused)
{
  int64_t end = bd_clock_us ();

  (void)unused;
  pthread_mutex_lock (&engine.lock);
  for (;;)
    {
      int batch = 0;
      int64_t step = engine.fault == FAULT_STALL ? 0 : plan_step (&batch);
      int64_t now = bd_clock_us ();

      if (batch == 0)
        {
          pthread_cond_wait (&engine.work, &engine.lock);
          end = bd_clock_us ();
          continue;
        }
      engine.step_us = (int)step;
      /* Compensates for a late wake-up, but by no more than one step. */
      end = end + step > now ? end + step : now;
      pthread_mutex_unlock (&engine.lock);
      sleep_until (end);
      pthread_mutex_lock (&engine.lock);
      end_step ();
    }
  return NULL;
}

/* Returns the tokens in the leading blocks of PROMPT that are cached, and
   caches all its blocks. */
static int
cached_tokens (struct bd_chunk prompt)
{
  uint64_t chain = engine.seed;
  size_t hits = 0;
  bool hit = true;

  for (size_t at = 0; at + BLOCK_BYTES <= prompt.length; at += BLOCK_BYTES)
    {
      struct bd_chunk block
          = { .data = prompt.data + at, .length = BLOCK_BYTES };
      uint64_t *slot;

      chain = answer_mix (chain ^ bd_chunk_hash (block));
      slot = &engine.cache[chain % CACHE_BLOCKS];
      hit = hit && *slot == chain;
      if (hit)
        hits++;
      *slot = chain;
    }
  return (int)(hits * (BLOCK_BYTES / BYTES_PER_TOKEN));
}

static bool
contains_poison (const struct bd_buffer *text)
{
  return engine.fault == FAULT_CRASH_ON && text->data
         && strstr (text->data, engine.crash_text) != NULL;
}

#endif
