/**
 * @file engine.h
 * HTTP client for the inference engine behind a sidecar: a thread of its own
 * that runs any number of calls with libcurl.
 */
#ifndef BD_ENGINE_H
#define BD_ENGINE_H

#include "basildock.h"

struct bd_engine_settings
{
  const char *url; /**< Base URL, such as http://127.0.0.1:9000 */
  int32_t connect_timeout_ms;
  int32_t first_byte_timeout_ms;
  int32_t idle_timeout_ms; /**< Longest pause between bytes of an answer. */
  uint64_t answer_max_bytes;
};

/** One HTTP request to the engine, copied by bd_engine_start (). */
struct bd_engine_call
{
  struct bd_id request;
  uint32_t attempt;
  struct bd_chunk method; /**< "POST" for models. */
  struct bd_chunk path;   /**< Such as "/v1/chat/completions". */
  struct bd_chunk content_type;
  struct bd_chunk body;
  /** Sent as Idempotency-Key unless empty. */
  struct bd_chunk idempotency_key;
  uint8_t tier;             /**< Sent as X-Priority; 0 is the highest. */
  uint64_t fencing;         /**< Sent as X-Fencing unless 0. */
  int64_t deadline_left_ms; /**< Time limit of the whole call. */
};

enum bd_engine_event_kind
{
  BD_ENGINE_STARTED = 0, /**< Connected; the first byte of the request may be
                            sent from here on. */
  BD_ENGINE_HEAD,        /**< Response head: status, content_type. */
  BD_ENGINE_DATA,        /**< Next part of the response body: data. */
  /** Last event: the answer is complete by its HTTP framing. */
  BD_ENGINE_END,
  /** Last event: error; sent tells whether a byte may have been sent. */
  BD_ENGINE_FAILED
};

/**
 * Passed to the sink on the engine's thread.  Its chunks are valid only during
 * that call.
 */
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

/** Receiver of events; embed as the first member. */
struct bd_engine_sink
{
  /** Returns BD_OK or BD_ERR_NOMEM.  The call then fails, and its last event
      is offered again until it is taken. */
  int (*event) (struct bd_engine_sink *sink,
                const struct bd_engine_event *event);
};

struct bd_engine;

/**
 * Starts the thread.  Returns NULL on failure.  SINK must outlive the engine.
 */
struct bd_engine *bd_engine_create (const struct bd_engine_settings *settings,
                                    struct bd_engine_sink *sink);

/**
 * Cancels all calls, each of which still gets its last event, and joins the
 * thread.
 */
void bd_engine_destroy (struct bd_engine *engine);

/**
 * Starts a call, from any thread.  Returns BD_OK, BD_ERR_NOMEM, or
 * BD_ERR_INVALID for a method, path, content type or key that is not valid in
 * an HTTP request.  Events follow only after BD_OK.
 */
int bd_engine_start (struct bd_engine *engine,
                     const struct bd_engine_call *call);

/**
 * Cancels a call, from any thread; the call then fails with BD_ERR_CANCELLED.
 * Does nothing when no such call runs.
 */
void bd_engine_cancel (struct bd_engine *engine, struct bd_id request,
                       uint32_t attempt);

#endif
