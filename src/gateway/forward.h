/**
 * @file forward.h
 * Forwards requests: finds the route, checks the credential, sends the request
 * to a runner, returns the response, and retries when a runner fails.
 */
#ifndef BD_FORWARD_H
#define BD_FORWARD_H

#include "balance/retry_quota.h"
#include "balance/routing.h"
#include "retry/suspect.h"
#include "gateway/coordinator_client.h"
#include "gateway/origin_outbox.h"
#include "http/client.h"
#include "gateway/dialect.h"
#include "gateway/mesh.h"
#include "http/server.h"
#include "gateway/stats.h"

/** Modules and settings that the forwarder uses; all must outlive it. */
struct bd_forwarder_options
{
  uv_loop_t *loop;
  const struct bd_dialect *dialect;
  struct bd_client *client;
  struct bd_targets *targets;
  struct bd_selector *selector;
  struct bd_retry_quota *retries;
  struct bd_suspects *suspects;
  struct bd_part_breakers *breakers;
  struct bd_stats *stats;
  struct bd_coordinator_client *coordinator_client;
  struct bd_stream_origins *origins;
  struct bd_origin_outbox *origin_outbox;
  struct bd_chunk zone;      /**< Availability zone of this instance. */
  size_t buffered_max_bytes; /**< Limit for the bytes of all incomplete
                                responses together. */
};

struct bd_forwarder;

struct bd_forwarder *
bd_forwarder_create (const struct bd_forwarder_options *options);

/** For bd_server_create (), whose context is the forwarder. */
extern const struct bd_server_handler bd_forwarder_handler;

/** Sets the peers that are told of crashes of runners. */
void bd_forwarder_set_mesh (struct bd_forwarder *forwarder,
                            struct bd_mesh *mesh);

/** Sets the routing of new requests.  Keeps a reference to ROUTING. */
void bd_forwarder_set_routing (struct bd_forwarder *forwarder,
                               struct bd_routing *routing);

/** Sets the number of instances that share the runners' connection limits. */
void bd_forwarder_set_instance_count (struct bd_forwarder *forwarder,
                                      uint32_t count);

/**
 * Prepares for the end of the process, which comes at EXIT_MS at the latest.
 * Requests that arrive after ACCEPT_UNTIL_MS are refused, except those whose
 * time limit ends before EXIT_MS.
 */
void bd_forwarder_stop (struct bd_forwarder *forwarder,
                        int64_t accept_until_ms, int64_t exit_ms);

/**
 * Ends requests past their deadline, which timers miss while the machine is
 * suspended, and tracks runners that may have crashed.
 */
void bd_forwarder_tick (struct bd_forwarder *forwarder, int64_t now_ms);

/** Returns when the last request arrived. */
int64_t bd_forwarder_last_request_ms (const struct bd_forwarder *forwarder);

#endif
