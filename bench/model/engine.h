/**
 * @file engine.h
 * A model of a runner with a language model, in virtual time.
 *
 * Requests run in one batch.  Each step gives every running request a token
 * and reads a bounded number of prompt tokens, the most urgent requests'
 * first.  A prompt's shared part that was read is kept until memory is needed
 * for others.  Times are milliseconds.
 */
#ifndef MODEL_ENGINE_H
#define MODEL_ENGINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** What a make of engine can do. */
struct engine_traits
{
  double step_ms;         /**< A step without work. */
  double slot_ms;         /**< For each running request. */
  double context_ms;      /**< For each thousand tokens of context. */
  double tokens_per_ms;   /**< Prompt tokens read. */
  double pair_ms;         /**< For each million pairs of tokens read. */
  double setup_ms;        /**< Before a request can be read. */
  uint32_t chunk_tokens;  /**< Most prompt tokens read in a step. */
  uint32_t slots;         /**< Requests that run at once. */
  uint32_t queue;         /**< Requests that wait beyond these. */
  uint64_t memory_tokens; /**< For running requests and kept parts. */
  double fetch_ms;        /**< To fetch a thousand tokens of a part. */
  double fetch_setup_ms;  /**< Before that begins. */
};

/** A request; the caller fills in the first block and owns it. */
struct engine_request
{
  void *owner;
  uint64_t prefix;        /**< The shared part; 0: none. */
  uint32_t shared_tokens; /**< Its length. */
  uint32_t own_tokens;    /**< The rest of the prompt. */
  uint32_t output_tokens;
  int priority; /**< 0: most urgent. */
  /* Private. */
  uint64_t arrival;
  double ready_ms;
  uint32_t shared_left;
  uint32_t own_left;
  uint32_t output_made;
  bool running;
  bool begun; /* Some of the prompt has been scheduled. */
};

struct engine;

/** Told after each step: REQUEST has MADE tokens; DONE: it has ended. */
typedef void (*engine_on_token) (void *context, struct engine_request *request,
                                 uint32_t made, bool done);

/** TRAITS outlive the engine; SPEED divides its times (1: as described). */
struct engine *engine_create (const struct engine_traits *traits, double speed,
                              engine_on_token on_token, void *context);
void engine_destroy (struct engine *engine);

/** Returns false when the queue is full. */
bool engine_submit (struct engine *engine, double now_ms,
                    struct engine_request *request);

/** Takes REQUEST out, wherever it is. */
void engine_cancel (struct engine *engine, struct engine_request *request);

/** Whether the engine keeps PART, read whole. */
bool engine_has_prefix (const struct engine *engine, uint64_t prefix);

/** PART, of TOKENS, came from another engine. */
void engine_add_prefix (struct engine *engine, uint64_t prefix,
                        uint32_t tokens);

/** Forgets all parts; requests must have been cancelled. */
void engine_restart (struct engine *engine);

void engine_set_speed (struct engine *engine, double speed);

/** Whether a step is under way, and when it ends. */
bool engine_busy (const struct engine *engine, double *ends_ms);

/** Begins a step if there is work and none is under way. */
void engine_start_step (struct engine *engine, double now_ms);

/** Ends the step that is due at NOW_MS. */
void engine_end_step (struct engine *engine, double now_ms);

/** Any of the requests at the engine, or NULL. */
struct engine_request *engine_any_request (const struct engine *engine);

/** Prompt tokens read so far, and those of parts that it had read before. */
uint64_t engine_prefill_tokens (const struct engine *engine);
uint64_t engine_repeated_prefill_tokens (const struct engine *engine);

#endif
