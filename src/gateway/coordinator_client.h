/**
 * @file coordinator_client.h
 * Asks the coordinator of a service which runner a request goes to, and
 * reports to it what becomes of the request.
 *
 * The coordinator is the highest ranked instance that is not skipped; an
 * instance is skipped for a while after queries to it have timed out.  A
 * request whose query times out is placed by the instance that asked.
 */
#ifndef BD_COORDINATOR_CLIENT_H
#define BD_COORDINATOR_CLIENT_H

#include "gateway/coordinator.h"

#include <uv.h>

/** Time until a query times out, in milliseconds. */
#define BD_QUERY_TIMEOUT_MS 40

struct bd_coordinator_client;

struct bd_coordinator_client_options
{
  uv_loop_t *loop;
  uint32_t ip; /**< Address of this instance, network byte order. */
  struct bd_coordinator *coordinator; /**< Coordinator of this instance, which
                                         decides when it ranks first. */
  struct bd_stats *stats;
};

/**
 * Called once for each query that was sent; REPLY is NULL when the query
 * timed out.
 */
typedef void (*bd_coordinator_client_on_reply) (
    void *context, const struct bd_coordination_reply *reply);

/**
 * Registration of a request with its coordinator.  Valid when
 * zero-initialized.
 */
struct bd_coordinator_registration
{
  /**
   * Address of the coordinator that has the request in its ledger or was
   * asked, network byte order; 0: none.
   */
  uint32_t coordinator_ip;
  uint32_t request_number; /**< Number of the request, unique at this instance;
                              0: none yet. */
  uint64_t shard_key; /**< Key of the shard that the request belongs to. */
  bool reply_pending; /**< A query was sent and has neither been answered nor
                         timed out. */
};

/**
 * Called when the instance at IP becomes the coordinator for the shard of KEY.
 */
typedef void (*bd_coordinator_client_on_change) (void *context, uint64_t key,
                                                 uint32_t ip);

enum bd_coordinator_client_result
{
  /** A query was sent; on_reply is called later. */
  BD_COORDINATOR_CLIENT_PENDING = 0,
  BD_COORDINATOR_CLIENT_DECIDED,    /**< REPLY was filled in at once. */
  BD_COORDINATOR_CLIENT_UNAVAILABLE /**< No coordinator can be asked. */
};

struct bd_coordinator_client *bd_coordinator_client_create (
    const struct bd_coordinator_client_options *options);

/**
 * Sets the mesh that messages are sent through; until then no coordinator is
 * asked.
 */
void bd_coordinator_client_set_mesh (struct bd_coordinator_client *client,
                                     struct bd_mesh *mesh);

/** Sets the function that is called when a shard gets another coordinator. */
void bd_coordinator_client_watch (struct bd_coordinator_client *client,
                                  bd_coordinator_client_on_change on_change,
                                  void *context);

/** Asks the coordinator for a runner; sets QUERY->request_number. */
enum bd_coordinator_client_result bd_coordinator_client_query (
    struct bd_coordinator_client *client, struct bd_coordination_query *query,
    struct bd_coordinator_registration *registration,
    struct bd_coordination_reply *reply,
    bd_coordinator_client_on_reply on_reply, void *context);

/**
 * Finds out here, without the coordinator of the shard, what is known of the
 * origin of the stream that the caller of QUERY continues.
 */
struct bd_found_origin
bd_coordinator_client_find_origin (struct bd_coordinator_client *client,
                                   const struct bd_coordination_query *query);

/**
 * Cancels the query of a request that ends while its query is pending;
 * on_reply is not called.
 */
void bd_coordinator_client_cancel (
    struct bd_coordinator_client *client,
    struct bd_coordinator_registration *registration);

/**
 * Tells the coordinator of a request that this instance placed itself, because
 * no usable reply came.
 */
void
bd_coordinator_client_notify (struct bd_coordinator_client *client,
                              struct bd_coordinator_registration *registration,
                              struct bd_coordination_notice *notice);

/**
 * Registers the request with the instance at IP instead of its present
 * coordinator.  The notice is sent by the next bd_coordinator_client_flush (),
 * which several calls can share.
 */
void bd_coordinator_client_reregister (
    struct bd_coordinator_client *client,
    struct bd_coordinator_registration *registration, uint32_t ip,
    struct bd_coordination_notice *notice);
void bd_coordinator_client_flush (struct bd_coordinator_client *client);

/** Reports that the prompt of the request has been read. */
void bd_coordinator_client_prefill_done (
    struct bd_coordinator_client *client,
    const struct bd_coordinator_registration *registration);

/**
 * Reports the end of an attempt.  OUTCOME is NULL when the attempt reached no
 * runner.
 */
void bd_coordinator_client_attempt_ended (
    struct bd_coordinator_client *client,
    struct bd_coordinator_registration *registration,
    const struct bd_attempt_outcome *outcome);

/**
 * Tells the coordinator at IP what this instance knows of the rate limit of
 * TARGET.
 */
void bd_coordinator_client_tell_limit (struct bd_coordinator_client *client,
                                       uint32_t ip,
                                       const struct bd_target *target);

/** Handles a message from the instance at IP. */
void
bd_coordinator_client_handle (struct bd_coordinator_client *client,
                              uint32_t ip,
                              const struct bd_coordination_message *message);

#endif
