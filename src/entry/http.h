/**
 * @file http.h
 * The callers' HTTP side of an entry: what its paths do.
 */
#ifndef BD_HTTP_H
#define BD_HTTP_H

#include "common/metrics.h"
#include "common/settings.h"
#include "custody/token.h"
#include "entry/call.h"
#include "entry/view.h"

struct bd_http;

/** What the HTTP threads share with the control thread. */
struct bd_http_shared
{
  const struct bd_settings *settings;
  struct bd_config_view *view;
  struct bd_mailbox *control_mailbox; /**< Takes struct bd_http_call_mail. */
  const struct bd_token_keys *keys;
  struct bd_metrics *metrics;
  atomic_bool leaving;     /**< Fails the readiness check. */
  atomic_bool refusing;    /**< New calls are refused. */
  atomic_int active_calls; /**< Calls in progress. */
};

/** Starts to listen.  Returns NULL, with *ERROR, when it cannot. */
struct bd_http *bd_http_create (struct bd_http_shared *shared, int *error);

/** Stops to listen, after the calls in progress have ended. */
void bd_http_destroy (struct bd_http *http);

#endif
