/**
 * @file engine_call.h
 * One call of the engine thread: its copies and its libcurl handle.
 */
#ifndef BD_ENGINE_CALL_H
#define BD_ENGINE_CALL_H

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
  char *key;
  struct bd_buffer body;
  uint8_t tier;
  uint64_t fencing;
  int64_t deadline_ms;
  int64_t timeout_at_ms; /**< First-byte or idle limit; 0 before it is sent. */
  uint64_t response_header_bytes;
  uint64_t response_body_bytes;
  int error;         /**< Why the engine thread itself aborts the call. */
  bool sent;         /**< A byte may have left. */
  bool head_emitted; /**< The sink has had the head. */
  bool has_framing;  /**< A length or chunks tell where the answer ends. */
};

/** True when every part of CALL can stand in an HTTP request. */
bool bd_engine_call_is_valid (const struct bd_engine_call *call);

/** Copies FROM, to be sent below URL; the deadline runs from NOW_MS. */
struct bd_engine_transfer *
bd_engine_transfer_create (const struct bd_engine_call *call, const char *url,
                           int64_t now_ms);

void bd_engine_transfer_destroy (struct bd_engine_transfer *transfer);

/**
 * Makes the libcurl handle, without callbacks.  Returns BD_OK or
 * BD_ERR_NOMEM.
 */
int bd_engine_transfer_prepare (struct bd_engine_transfer *transfer,
                                const struct bd_engine_settings *settings);

#endif
