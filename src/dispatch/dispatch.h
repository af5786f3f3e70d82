/**
 * @file dispatch.h
 * The request state machine of an entry (front end): reserves slots at
 * runners, accepts a grant, retries failed attempts and delivers the answer to
 * the caller.  Performs no input or output: events are passed in with the
 * current time, and side effects go through callbacks.
 */
#ifndef BD_DISPATCH_H
#define BD_DISPATCH_H

#include "common/event.h"
#include "configuration/config.h"
#include "idempotency/idempotency.h"
#include "limits/limiter.h"
#include "placement/placement.h"
#include "retry/suspect.h"
#include "wire/message.h"

/** A caller's request.  bd_dispatch_submit () copies all texts. */
struct bd_dispatch_request
{
  struct bd_id request;
  uint32_t flags; /**< enum bd_message_flag. */
  struct bd_chunk workspace;
  struct bd_chunk class_name;
  struct bd_chunk pool;
  uint8_t tier;
  int32_t deadline_ms;        /**< Time from now to the end of the answer. */
  int32_t first_token_ms;     /**< Target time to the first token. */
  int32_t min_share_permille; /**< Least share of a runner's grants. */
  int32_t max_tokens;
  uint64_t prefix_hash;
  uint64_t fingerprint; /**< Hash of the request's content. */
  struct bd_chunk method;
  struct bd_chunk path;
  struct bd_chunk content_type;
  struct bd_chunk body;
  /* The following are set for requests with an idempotency key only. */
  struct bd_chunk key_text;
  struct bd_id key;
  enum bd_key_origin key_origin;
  struct bd_chunk key_owner; /**< Instance that an issued key names. */
  uint64_t key_incarnation;  /**< Incarnation that an issued key names. */
  int64_t key_wall_ms; /**< Creation time of an issued or time-ordered key. */
  int64_t key_expires_ms; /**< Expiry of an issued key, wall clock. */
  int64_t retry_window_ms;
};

enum bd_delivery_kind
{
  BD_DELIVERY_HEAD, /**< Sets status and content_type. */
  BD_DELIVERY_DATA, /**< Sets data, in order. */
  BD_DELIVERY_END,  /**< The answer is complete; last delivery. */
  BD_DELIVERY_FAIL  /**< Sets error, ran, retry_after_ms; last delivery. */
};

/** Part of an answer, or a failure, for a caller. */
struct bd_delivery
{
  enum bd_delivery_kind kind;
  int status;
  struct bd_chunk content_type;
  struct bd_chunk data;
  uint32_t tokens;
  bool replay; /**< The answer is a recorded one. */
  int error;
  enum bd_ran ran;
  int64_t retry_after_ms;
};

/** Events for the count callback, which adds them to the metrics. */
enum bd_dispatch_count
{
  BD_DISPATCH_RETRY,             /**< A failed attempt is retried. */
  BD_DISPATCH_RESUME,            /**< A stream is resumed by a new attempt. */
  BD_DISPATCH_EXTRA_RESERVATION, /**< A further reservation was sent. */
  BD_DISPATCH_DECLINE            /**< A reservation or grant was declined. */
};

/** Callbacks for side effects; embed as the first member. */
struct bd_dispatch_callbacks
{
  /** Returns BD_OK, or an error when the message was not sent. */
  int (*send) (struct bd_dispatch_callbacks *callbacks, struct bd_chunk runner,
               const struct bd_message *message);
  void (*deliver) (struct bd_dispatch_callbacks *callbacks,
                   struct bd_id request, const struct bd_delivery *delivery);
  /** Logs EVENT. */
  void (*log_event) (struct bd_dispatch_callbacks *callbacks,
                     enum bd_event event, struct bd_id request,
                     uint32_t attempt, const char *detail);
  /** Adds one to the metric of WHAT. */
  void (*count) (struct bd_dispatch_callbacks *callbacks,
                 enum bd_dispatch_count what);
  /** Opens a connection to the runner INSTANCE at ADDRESS. */
  void (*connect) (struct bd_dispatch_callbacks *callbacks,
                   struct bd_chunk instance, struct bd_chunk address);
  /** Closes the connection to the runner INSTANCE. */
  void (*disconnect) (struct bd_dispatch_callbacks *callbacks,
                      struct bd_chunk instance);
};

struct bd_dispatch_settings
{
  struct bd_chunk instance;
  struct bd_chunk zone;
  enum bd_placement_policy policy;
  uint32_t subset_size;
  uint64_t seed;
};

struct bd_dispatch;

struct bd_dispatch *
bd_dispatch_create (const struct bd_dispatch_settings *settings,
                    struct bd_dispatch_callbacks *callbacks);
void bd_dispatch_destroy (struct bd_dispatch *dispatch);

/**
 * Applies a configuration: pools, runners and rate limits.  Returns BD_OK, or
 * BD_ERR_NOMEM when only a part could be applied.
 */
int bd_dispatch_configure (struct bd_dispatch *dispatch, int64_t now_ms,
                           const struct bd_config_snapshot *snapshot);

/**
 * Accepts a request.  The deliver callback gets its deliveries up to END or
 * FAIL, which may come before this function returns.
 */
void bd_dispatch_submit (struct bd_dispatch *dispatch, int64_t now_ms,
                         const struct bd_dispatch_request *request);

/** Confirms that the complete answer was sent to the caller. */
void bd_dispatch_confirm_delivery (struct bd_dispatch *dispatch,
                                   int64_t now_ms, struct bd_id request);

/** Aborts a request: delivers FAIL with ERROR unless END was delivered. */
void bd_dispatch_abort (struct bd_dispatch *dispatch, int64_t now_ms,
                        struct bd_id request, int error);

/** Aborts a request whose caller disconnected, with BD_ERR_CANCELLED. */
void bd_dispatch_cancel (struct bd_dispatch *dispatch, int64_t now_ms,
                         struct bd_id request);

/** Handles a message from a runner's sidecar. */
void bd_dispatch_handle_message (struct bd_dispatch *dispatch, int64_t now_ms,
                                 struct bd_chunk runner,
                                 const struct bd_message *message);

/** Handles a connection to a runner that was opened (UP) or lost. */
void bd_dispatch_set_connected (struct bd_dispatch *dispatch, int64_t now_ms,
                                struct bd_chunk runner, bool up);

/**
 * Applies the state of a runner in the instance list.  A LEAVING runner gets
 * no new work until the list says otherwise or the runner restarts.
 */
void bd_dispatch_set_leaving (struct bd_dispatch *dispatch,
                              struct bd_chunk runner, bool leaving);

/** Handles timeouts of requests and runners. */
void bd_dispatch_tick (struct bd_dispatch *dispatch, int64_t now_ms);

/** Returns the number of requests without END or FAIL. */
size_t bd_dispatch_open_count (const struct bd_dispatch *dispatch);

/** Picks the runner that a key issued now names; false without any. */
bool bd_dispatch_key_owner (struct bd_dispatch *dispatch, struct bd_chunk pool,
                            struct bd_chunk *instance, uint64_t *incarnation);

struct bd_limiter *bd_dispatch_limiter (struct bd_dispatch *dispatch);
struct bd_suspects *bd_dispatch_suspects (struct bd_dispatch *dispatch);

/** State of a runner as known to this entry. */
struct bd_runner_view
{
  struct bd_chunk instance;
  struct bd_chunk address;
  struct bd_chunk zone;
  struct bd_chunk pool;
  enum bd_runner_state state;
  uint64_t incarnation;
  struct bd_load_report load;
  int64_t last_message_ms; /**< Local time of the runner's last message. */
  int64_t peer_clock_ms;   /**< Runner's clock in its last heartbeat. */
};

/** Returns the number of runners that this entry is connected to. */
size_t bd_dispatch_runner_count (const struct bd_dispatch *dispatch);

/**
 * Describes the connected runner at INDEX; VIEW is valid until the next call
 * that changes the dispatch.
 */
void bd_dispatch_runner (const struct bd_dispatch *dispatch, size_t index,
                         struct bd_runner_view *view);

#endif
