/**
 * @file request.h
 * From a caller's HTTP request to what the dispatch needs to know of it.
 */
#ifndef BD_REQUEST_H
#define BD_REQUEST_H

#include "custody/token.h"
#include "entry/call.h"
#include "entry/view.h"

#define BD_HEADER_CLASS "X-Basildock-Class"
#define BD_HEADER_KEY "Idempotency-Key"

/** What is read from the HTTP request; the call copies it. */
struct bd_http_input
{
  struct bd_chunk method;
  struct bd_chunk path; /**< With the query. */
  struct bd_chunk authorization;
  struct bd_chunk class_name;
  struct bd_chunk key_text;
  struct bd_chunk content_type;
  struct bd_chunk service; /**< Set for a plain service. */
};

/** The contract whose credential an Authorization header holds, or NULL. */
const struct bd_contract *
bd_request_find_contract (const struct bd_config_snapshot *snapshot,
                          struct bd_chunk authorization);

/**
 * Fills in CALL's request from INPUT and the call's body: credential to
 * workspace, class by contract, model, key.  Returns BD_OK or the error that
 * the caller gets; BD_ERR_KEY_REQUIRED after everything else was found good.
 */
int bd_request_fill (struct bd_http_call *call,
                     const struct bd_http_input *input,
                     struct bd_config_view *view,
                     const struct bd_token_keys *keys);

#endif
