/**
 * @file gateway.h
 * Gateway instance: event loop, listeners, forwarding, peers, shutdown.
 *
 * The adapter of a platform creates one, supplies it with routing and runners,
 * and runs it.
 */
#ifndef BD_GATEWAY_H
#define BD_GATEWAY_H

#include "balance/retry_quota.h"
#include "balance/routing.h"
#include "balance/target.h"
#include "http/client.h"
#include "gateway/dialect.h"
#include "gateway/machine.h"
#include "http/server.h"
#include "gateway/stats.h"

#include <uv.h>

#define BD_GATEWAY_SEEDS_MAX 16

struct bd_gateway_options
{
  const struct bd_dialect *dialect;
  struct bd_chunk instance; /**< Name in logs. */
  struct bd_chunk zone;
  struct sockaddr_in caller_address; /**< Address for callers. */
  /** Address for the load balancer's readiness check. */
  struct sockaddr_in readiness_address;
  struct sockaddr_in internal_address; /**< Address for peers (UDP), and for
                                          configuration and metrics (TCP). */
  struct bd_chunk readiness_path;
  uint32_t seeds[BD_GATEWAY_SEEDS_MAX];
  size_t seed_count;
  /** Milliseconds from SIGTERM until the process is killed. */
  int64_t grace_ms;
  uint32_t cpu_millicores; /**< Processor share in thousandths of a core. */
  struct bd_retry_limits retry;
  struct bd_machine machine;
};

struct bd_gateway;

/** Callbacks of the adapter. */
struct bd_gateway_handler
{
  /** Called several times a second. */
  void (*on_tick) (void *context, int64_t now_ms);
  /** Called when the configuration of REVISION came from a peer. */
  void (*on_peer_configuration) (void *context, struct bd_chunk document,
                                 uint64_t revision);
  /**
   * Called after the machine was suspended, when information may be out of
   * date.
   */
  void (*on_resume) (void *context);
  /** Called on SIGHUP. */
  void (*on_reload) (void *context);
};

/** Returns BD_OK, BD_ERR_NOMEM or BD_ERR_IO. */
int bd_gateway_create (const struct bd_gateway_options *options,
                       const struct bd_gateway_handler *handler, void *context,
                       struct bd_gateway **out);

uv_loop_t *bd_gateway_loop (struct bd_gateway *gateway);
struct bd_client *bd_gateway_client (struct bd_gateway *gateway);
struct bd_targets *bd_gateway_targets (struct bd_gateway *gateway);
struct bd_stats *bd_gateway_stats (struct bd_gateway *gateway);

/**
 * Makes ROUTING active unless one of the same or a higher version is.  The
 * operator's version decides and not the store's REVISION, which starts lower
 * again when the store loses writes.  DOCUMENT, the text that it was read
 * from, is passed on to peers.  Returns BD_OK or BD_ERR_STALE.
 */
int bd_gateway_set_routing (struct bd_gateway *gateway,
                            struct bd_routing *routing,
                            const struct bd_caller_limits *limits,
                            struct bd_chunk document, uint64_t revision);

/**
 * Tells that the list of runners is known, which the instance needs to become
 * ready.
 */
void bd_gateway_set_runners_known (struct bd_gateway *gateway);

/** Changes the limits of the retry budget. */
void bd_gateway_set_retry_limits (struct bd_gateway *gateway,
                                  const struct bd_retry_limits *limits);

/** Runs the event loop until the instance has stopped. */
void bd_gateway_run (struct bd_gateway *gateway);

#endif
