/**
 * @file routing.h
 * Routes, services and workspaces of one version of the configuration.
 *
 * A routing is immutable once built.  Requests in flight keep a reference to
 * theirs after a newer one has replaced it.
 */
#ifndef BD_ROUTING_H
#define BD_ROUTING_H

#include "balance/priority.h"
#include "common/string.h"

enum bd_retry_class
{
  BD_RETRY_IDEMPOTENT = 0, /**< May be repeated. */
  BD_RETRY_NEVER,          /**< At most one run of each attempt. */
  BD_RETRY_STREAM /**< A stream: idempotent only when it is resumable. */
};

struct bd_split
{
  struct bd_chunk service;
  uint32_t weight;
};

struct bd_route
{
  struct bd_chunk name;
  struct bd_chunk host;
  struct bd_chunk prefix;
  enum bd_retry_class retry_class;
  bool resumable;
  bool is_public;       /**< Accessible without a credential. */
  int64_t timeout_ms;   /**< Time limit of the whole response. */
  int64_t objective_ms; /**< Latency objective of the whole response, or of its
                           first event. */
  /** Longest gap between events of a stream that is on time. */
  int64_t gap_max_ms;
  int priority;
  uint32_t attempts_max; /**< Most runners that one request may be sent to. */
  size_t split_count;
  struct bd_split *splits;
};

struct bd_workspace
{
  struct bd_chunk name;
  int priority; /**< -1: none. */
};

struct bd_service
{
  struct bd_chunk name;
  /** Most connections to each runner, of all callers together; 0: no limit. */
  uint32_t connections_max;
  bool is_engine; /**< Its runners serve a language model. */
  /**
   * Time in which a runner fetches 1000 tokens of a prompt prefix from
   * another, in microseconds; 0: it cannot fetch.
   */
  uint32_t fetch_us_per_k;
  /** Thousandths of a request per second that a runner takes while it warms
     up, of all callers together; 0: any number. */
  uint32_t cold_rate;
};

struct bd_routing;

/** Returns an empty routing with one reference, or NULL. */
struct bd_routing *bd_routing_create (uint64_t version);
struct bd_routing *bd_routing_ref (struct bd_routing *routing);
void bd_routing_unref (struct bd_routing *routing);

uint64_t bd_routing_version (const struct bd_routing *routing);

/** These make deep copies of FROM.  They return BD_OK or BD_ERR_NOMEM. */
int bd_routing_add_route (struct bd_routing *routing,
                          const struct bd_route *from);
int bd_routing_add_service (struct bd_routing *routing,
                            const struct bd_service *from);
int bd_routing_add_workspace (struct bd_routing *routing,
                              const struct bd_workspace *from,
                              const struct bd_chunk *keys, size_t key_count);

/** Returns the route of HOST with the longest prefix of PATH, or NULL. */
const struct bd_route *bd_routing_find (const struct bd_routing *routing,
                                        struct bd_chunk host,
                                        struct bd_chunk path);

/**
 * Selects a service of ROUTE by HASH, in proportion to the weights of its
 * splits.
 */
struct bd_chunk bd_route_service (const struct bd_route *route, uint64_t hash);

/**
 * Returns the microseconds in which a runner fetches 1,000 tokens of a prompt
 * from another, of BYTES_PER_TOKEN each, over a link of LINK_MBPS megabits a
 * second; 0: it cannot, or the numbers make no sense.
 */
uint32_t bd_fetch_us_per_k (double bytes_per_token, double link_mbps);

/** Returns the service number I, or NULL if there are not so many. */
const struct bd_service *
bd_routing_service_at (const struct bd_routing *routing, size_t i);

const struct bd_service *bd_routing_service (const struct bd_routing *routing,
                                             struct bd_chunk name);

/**
 * Sets that requests for routes that are not public need the credential of a
 * workspace, however many workspaces there are: none, after the last one was
 * taken away.
 */
void bd_routing_require_credentials (struct bd_routing *routing);

bool bd_routing_needs_credentials (const struct bd_routing *routing);

/** Returns the workspace of the credential KEY, or NULL. */
const struct bd_workspace *
bd_routing_workspace (const struct bd_routing *routing, struct bd_chunk key);

/** Lowest priority that bd_request_priority () may return. */
int bd_routing_lowest_priority (const struct bd_routing *routing);

/**
 * Priority of a request, 0 to BD_PRIORITY_LOWEST: first by WORKSPACE (may be
 * NULL), within it by ROUTE.
 */
int bd_request_priority (const struct bd_workspace *workspace,
                         const struct bd_route *route);

#endif
