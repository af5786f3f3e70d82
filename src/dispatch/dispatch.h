/**
 * @file dispatch.h
 * The decisions of an entry: which runners are asked for a request, which
 * grant is taken, what is tried again and what the caller is told.  No input
 * or output: calls and messages come in with the time, actions go out
 * through a port.
 */
#ifndef BD_DISPATCH_H
#define BD_DISPATCH_H

#include "common/event.h"
#include "configuration/config.h"
#include "custody/custody.h"
#include "limits/limiter.h"
#include "placement/placement.h"
#include "retry/suspect.h"
#include "wire/message.h"

/** A caller's request.  The dispatch copies what it keeps. */
struct bd_dispatch_request
{
  struct bd_id request;
  uint32_t flags; /**< enum bd_message_flag. */
  struct bd_chunk workspace;
  struct bd_chunk class_name;
  struct bd_chunk pool;
  uint8_t tier;
  int32_t deadline_ms;    /**< From now to the end of the answer. */
  int32_t first_token_ms; /**< Target. */
  int32_t min_share_permille;
  int32_t max_tokens;
  uint64_t prefix_hash;
  uint64_t fingerprint;
  struct bd_chunk method;
  struct bd_chunk path;
  struct bd_chunk content_type;
  struct bd_chunk body;
  /* Set when a key was given. */
  struct bd_chunk key_text;
  struct bd_id key;
  enum bd_key_origin key_origin;
  struct bd_chunk key_custodian; /**< Issued: the instance named. */
  uint64_t key_incarnation;
  int64_t key_wall_ms;
  int64_t key_expires_ms;
  int64_t retry_window_ms;
};

enum bd_delivery_kind
{
  BD_DELIVERY_HEAD, /**< status, content_type */
  BD_DELIVERY_DATA, /**< data, in order */
  BD_DELIVERY_END,  /**< The answer is whole; nothing follows. */
  BD_DELIVERY_FAIL  /**< error, ran, retry_after_ms; nothing follows. */
};

/** What a caller is given. */
struct bd_delivery
{
  enum bd_delivery_kind kind;
  int status;
  struct bd_chunk content_type;
  struct bd_chunk data;
  uint32_t tokens;
  bool replay;
  int error;
  enum bd_ran ran;
  int64_t retry_after_ms;
};

/** What is counted; the port adds it to its metrics. */
enum bd_dispatch_count
{
  BD_DISPATCH_RETRY,
  BD_DISPATCH_RESUME,
  BD_DISPATCH_WIDEN,
  BD_DISPATCH_DECLINE
};

/** Where actions go; embed as the first member. */
struct bd_dispatch_port
{
  /** Returns BD_OK, or an error when the message was not sent. */
  int (*send) (struct bd_dispatch_port *port, struct bd_chunk runner,
               const struct bd_message *message);
  void (*deliver) (struct bd_dispatch_port *port, struct bd_id request,
                   const struct bd_delivery *delivery);
  void (*note) (struct bd_dispatch_port *port, enum bd_event event,
                struct bd_id request, uint32_t attempt, const char *detail);
  void (*count) (struct bd_dispatch_port *port, enum bd_dispatch_count what);
  /** The runner is to be connected to at ADDRESS, or to be let go. */
  void (*connect) (struct bd_dispatch_port *port, struct bd_chunk instance,
                   struct bd_chunk address);
  void (*disconnect) (struct bd_dispatch_port *port, struct bd_chunk instance);
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
                    struct bd_dispatch_port *port);
void bd_dispatch_destroy (struct bd_dispatch *dispatch);

/** Puts a configuration in force: pools, runners, limits. */
void bd_dispatch_configure (struct bd_dispatch *dispatch, int64_t now_ms,
                            const struct bd_config_snapshot *snapshot);

/**
 * Takes a request.  Its caller is given deliveries until END or FAIL, which
 * may come before this returns.
 */
void bd_dispatch_submit (struct bd_dispatch *dispatch, int64_t now_ms,
                         const struct bd_dispatch_request *request);

/** The caller has the whole answer. */
void bd_dispatch_delivered (struct bd_dispatch *dispatch, int64_t now_ms,
                            struct bd_id request);

/** Ends a request; FAIL with ERROR is delivered unless the end came before. */
void bd_dispatch_give_up (struct bd_dispatch *dispatch, int64_t now_ms,
                          struct bd_id request, int error);

/** The caller went away; FAIL is delivered unless the end came before. */
void bd_dispatch_cancel (struct bd_dispatch *dispatch, int64_t now_ms,
                         struct bd_id request);

/** Takes in a message of a runner's sidecar. */
void bd_dispatch_message (struct bd_dispatch *dispatch, int64_t now_ms,
                          struct bd_chunk runner,
                          const struct bd_message *message);

/** The connection to a runner was opened or lost. */
void bd_dispatch_connection (struct bd_dispatch *dispatch, int64_t now_ms,
                             struct bd_chunk runner, bool up);

/**
 * What the instance list says of a runner.  One that is LEAVING gets no new
 * work until the list says otherwise or it starts anew.
 */
void bd_dispatch_listed (struct bd_dispatch *dispatch, struct bd_chunk runner,
                         bool leaving);

void bd_dispatch_tick (struct bd_dispatch *dispatch, int64_t now_ms);

/** Requests that have no END or FAIL yet. */
size_t bd_dispatch_open (const struct bd_dispatch *dispatch);

/** The runner an issued key would name now; false when there is none. */
bool bd_dispatch_custodian (struct bd_dispatch *dispatch, struct bd_chunk pool,
                            struct bd_chunk *instance, uint64_t *incarnation);

struct bd_limiter *bd_dispatch_limiter (struct bd_dispatch *dispatch);
struct bd_suspects *bd_dispatch_suspects (struct bd_dispatch *dispatch);

/** One runner as this entry sees it. */
struct bd_runner_view
{
  struct bd_chunk instance;
  struct bd_chunk address;
  struct bd_chunk zone;
  struct bd_chunk pool;
  enum bd_runner_state state;
  uint64_t incarnation;
  struct bd_load load;
  int64_t heard_ms;
  int64_t peer_clock_ms; /**< Its clock when it last sent a heartbeat. */
};

/** Number of runners that this entry is connected to. */
size_t bd_dispatch_runner_count (const struct bd_dispatch *dispatch);

/** The connected runner at INDEX; valid until the next call that acts. */
void bd_dispatch_runner (const struct bd_dispatch *dispatch, size_t index,
                         struct bd_runner_view *view);

#endif
