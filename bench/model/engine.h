/**
 * @file engine.h
 * Model of an inference engine with continuous batching, in virtual time.
 *
 * Requests run in one batch.  Each step gives every running request whose
 * prefill is complete a token, and processes a bounded number of prompt
 * tokens (chunked prefill), the most urgent requests' first.  A prompt prefix
 * stays in the cache until its memory is needed.  Times are milliseconds.
 */
#ifndef MODEL_ENGINE_H
#define MODEL_ENGINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Costs and capacities of an engine. */
struct engine_traits
{
  double step_ms;       /**< Fixed time of a step. */
  double slot_ms;       /**< Time per running request and step. */
  double context_ms;    /**< Time per step and 1000 tokens of context. */
  double tokens_per_ms; /**< Prefill rate. */
  double pair_ms; /**< Time of attention per million pairs of a prefill token
                     and an earlier token. */
  /** Time from submission until a request is ready to run. */
  double setup_ms;
  uint32_t chunk_tokens; /**< Most prefill tokens in a step. */
  uint32_t slots;        /**< Most running requests. */
  uint32_t queue;        /**< Requests accepted beyond the slots. */
  /** Memory for running requests and cached prefixes. */
  uint64_t memory_tokens;
  double fetch_ms; /**< Time to fetch 1000 prefix tokens from a runner. */
  double fetch_setup_ms; /**< Fixed time of each fetch. */
};

/** A request, owned by the caller, who sets the members before "Private". */
struct engine_request
{
  void *owner;
  uint64_t prefix;        /**< Identifier of the prompt prefix; 0: none. */
  uint32_t shared_tokens; /**< Length of the prefix. */
  uint32_t own_tokens;    /**< Prompt tokens after the prefix. */
  uint32_t output_tokens;
  int priority; /**< 0: most urgent. */
  /* Private. */
  uint64_t arrival;
  double ready_ms;
  uint32_t shared_left; /* Prefix tokens without prefill. */
  uint32_t own_left;    /* Own prompt tokens without prefill. */
  uint32_t output_made;
  bool running;
  bool prefill_started;
};

struct engine;

/** Called at the end of a step for each request with a new token: REQUEST has
    MADE output tokens; DONE: it has ended. */
typedef void (*engine_on_token) (void *context, struct engine_request *request,
                                 uint32_t made, bool done);

/** Creates an idle engine.  TRAITS must outlive it; SPEED divides the times
    of TRAITS (1: unchanged). */
struct engine *engine_create (const struct engine_traits *traits, double speed,
                              engine_on_token on_token, void *context);
void engine_destroy (struct engine *engine);

/** Returns false when the queue is full. */
bool engine_submit (struct engine *engine, double now_ms,
                    struct engine_request *request);

/** Removes REQUEST, waiting or running. */
void engine_cancel (struct engine *engine, struct engine_request *request);

/** Returns whether the whole PREFIX is in the cache. */
bool engine_has_prefix (const struct engine *engine, uint64_t prefix);

/** Adds PREFIX, of TOKENS, to the cache if there is memory for it. */
void engine_add_prefix (struct engine *engine, uint64_t prefix,
                        uint32_t tokens);

/** Empties the cache; all requests must have been cancelled before. */
void engine_restart (struct engine *engine);

void engine_set_speed (struct engine *engine, double speed);

/** Returns whether a step is under way, and sets *ENDS_MS to its end. */
bool engine_busy (const struct engine *engine, double *ends_ms);

/** Starts a step if there is work and none is under way. */
void engine_start_step (struct engine *engine, double now_ms);

/** Ends the step that is due at NOW_MS. */
void engine_end_step (struct engine *engine, double now_ms);

/** Returns a request at the engine, or NULL if it has none. */
struct engine_request *engine_any_request (const struct engine *engine);

/** Prompt tokens processed so far, and those of prefixes that had been
    processed before. */
uint64_t engine_prefill_tokens (const struct engine *engine);
uint64_t engine_repeated_prefill_tokens (const struct engine *engine);

#endif
