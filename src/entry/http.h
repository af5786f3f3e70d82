/**
 * @file http.h
 * The HTTP API that an entry offers to callers.
 */
#ifndef BD_HTTP_H
#define BD_HTTP_H

#include "common/metrics.h"
#include "common/settings.h"
#include "idempotency/token.h"
#include "entry/call.h"
#include "entry/config_view.h"

struct bd_http;

/** State shared by the HTTP threads and the control thread. */
struct bd_http_shared
{
  const struct bd_settings *settings;
  struct bd_config_view *view;
  /** Receives struct bd_http_call_mail. */
  struct bd_mailbox *control_mailbox;
  const struct bd_token_keys *keys;
  struct bd_metrics *metrics;
  atomic_bool leaving;     /**< Makes the readiness check fail. */
  atomic_bool refusing;    /**< Makes new requests fail. */
  atomic_int active_calls; /**< Requests at worker threads. */
};

/** Starts to listen.  On failure, returns NULL and sets *ERROR to BD_ERR_IO,
    BD_ERR_NOMEM, BD_ERR_INVALID (address) or BD_ERR_SETTING (certificate). */
struct bd_http *bd_http_create (struct bd_http_shared *shared, int *error);

/** Waits for the requests in progress, then closes all connections. */
void bd_http_destroy (struct bd_http *http);

#endif
