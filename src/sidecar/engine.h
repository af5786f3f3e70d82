/**
 * @file engine.h
 * Calls to the runner behind a sidecar, on a thread of their own (libcurl).
 */
#ifndef BD_ENGINE_H
#define BD_ENGINE_H

#include "basildock.h"

struct bd_engine_settings
{
  const char *url; /**< Base, e.g. http://127.0.0.1:9000 */
  int32_t connect_timeout_ms;
  int32_t first_byte_timeout_ms;
  int32_t idle_timeout_ms; /**< Longest silence within an answer. */
  uint64_t answer_max_bytes;
};

/** One call.  The engine copies what it needs. */
struct bd_engine_call
{
  struct bd_id request;
  uint32_t attempt;
  struct bd_chunk method; /**< "POST" for models. */
  struct bd_chunk path;   /**< "/v1/chat/completions", … */
  struct bd_chunk content_type;
  struct bd_chunk body;
  struct bd_chunk key;      /**< Sent as Idempotency-Key when not empty. */
  uint8_t tier;             /**< Sent as X-Priority: 0 goes first. */
  uint64_t fencing;         /**< Sent as X-Fencing when not 0. */
  int64_t deadline_left_ms; /**< Whole time limit of the call. */
};

enum bd_engine_event_kind
{
  BD_ENGINE_STARTED = 0, /**< The next byte may leave: sent from here on. */
  BD_ENGINE_HEAD,        /**< status, content_type */
  BD_ENGINE_DATA,        /**< data, in order */
  BD_ENGINE_END,         /**< The answer is whole (by HTTP framing). */
  BD_ENGINE_FAILED       /**< error; sent: whether a byte may have left. */
};

/** Given to the sink on the engine's thread; the sink must copy. */
struct bd_engine_event
{
  enum bd_engine_event_kind kind;
  struct bd_id request;
  uint32_t attempt;
  int status;
  struct bd_chunk content_type;
  struct bd_chunk data;
  int error;
  bool sent;
};

/** Where events go; embed as the first member. */
struct bd_engine_sink
{
  void (*event) (struct bd_engine_sink *sink,
                 const struct bd_engine_event *event);
};

struct bd_engine;

/** Starts the thread.  Returns NULL when it cannot. */
struct bd_engine *bd_engine_create (const struct bd_engine_settings *settings,
                                    struct bd_engine_sink *sink);

/** Aborts what runs (each call still gets its event) and joins the thread. */
void bd_engine_destroy (struct bd_engine *engine);

/**
 * Starts a call.  Any thread.  Returns BD_OK, BD_ERR_NOMEM, or
 * BD_ERR_INVALID for a method, path, content type or key that cannot stand
 * in an HTTP request; only BD_OK is followed by events.
 */
int bd_engine_start (struct bd_engine *engine,
                     const struct bd_engine_call *call);

/** Cancels a call, which then fails with BD_ERR_CANCELLED.  Any thread. */
void bd_engine_cancel (struct bd_engine *engine, struct bd_id request,
                       uint32_t attempt);

#endif
