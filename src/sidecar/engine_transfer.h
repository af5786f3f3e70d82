/**
 * @file engine_transfer.h
 * One HTTP transfer of the engine thread: a copy of the call and its libcurl
 * handle.
 */
#ifndef BD_ENGINE_TRANSFER_H
#define BD_ENGINE_TRANSFER_H

#include "common/string.h"
#include "sidecar/engine.h"

#include <curl/curl.h>
#include <urcu/list.h>

/** Owned by the engine thread once its start command has been posted. */
struct bd_engine_transfer
{
  struct cds_list_head node;
  struct bd_engine *engine;
  CURL *easy_handle;
  struct curl_slist *headers;
  struct bd_id request;
  uint32_t attempt;
  char *method;
  char *url;
  char *content_type;
  char *idempotency_key;
  struct bd_buffer body;
  uint8_t tier;
  uint64_t fencing;
  int64_t deadline_ms;
  /** End of the first-byte or idle timeout; 0 before sending. */
  int64_t timeout_at_ms;
  uint64_t response_header_bytes;
  uint64_t response_body_bytes;
  int error;         /**< Set when a callback aborts the transfer. */
  int result;        /**< What its last event tells; BD_OK: complete. */
  bool sent;         /**< A byte of the request may have been sent. */
  bool head_emitted; /**< The sink has had the HEAD event. */
  bool has_framing;  /**< The answer has a length or is chunked. */
};

/** True when every part of CALL is valid in an HTTP request. */
bool bd_engine_call_is_valid (const struct bd_engine_call *call);

/**
 * Copies CALL, to be sent to its path below URL; the deadline counts from
 * NOW_MS.  Returns NULL without memory.
 */
struct bd_engine_transfer *
bd_engine_transfer_create (const struct bd_engine_call *call, const char *url,
                           int64_t now_ms);

void bd_engine_transfer_destroy (struct bd_engine_transfer *transfer);

/**
 * Creates the libcurl handle, without callbacks.  Returns BD_OK or
 * BD_ERR_NOMEM.
 */
int bd_engine_transfer_prepare (struct bd_engine_transfer *transfer,
                                const struct bd_engine_settings *settings);

#endif
