/**
 * @file request.h
 * Translates a caller's HTTP request into a dispatcher request.
 */
#ifndef BD_REQUEST_H
#define BD_REQUEST_H

#include "idempotency/token.h"
#include "entry/call.h"
#include "entry/config_view.h"

#define BD_HEADER_CLASS "X-Basildock-Class"
#define BD_HEADER_KEY "Idempotency-Key"

/** Parts of the HTTP request; the call copies them. */
struct bd_http_input
{
  struct bd_chunk method;
  struct bd_chunk path; /**< Path with the query. */
  struct bd_chunk authorization;
  struct bd_chunk class_name;
  struct bd_chunk key_text;
  struct bd_chunk content_type;
  struct bd_chunk service; /**< Service name; empty for a model. */
};

/**
 * Returns the contract whose credential is in the Authorization header, or
 * NULL.
 */
const struct bd_contract *
bd_request_find_contract (const struct bd_config_snapshot *snapshot,
                          struct bd_chunk authorization);

/**
 * Fills in the dispatcher request of CALL from INPUT and the call's body: the
 * workspace by credential, the class by contract, the pool, the idempotency
 * key.  Returns BD_OK or the error for the caller; BD_ERR_KEY_REQUIRED only if
 * the request is valid otherwise.
 */
int bd_request_fill (struct bd_http_call *call,
                     const struct bd_http_input *input,
                     struct bd_config_view *view,
                     const struct bd_token_keys *keys);

#endif
