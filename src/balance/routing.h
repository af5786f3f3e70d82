/**
 * @file routing.h
 * Routes, services and workspaces of one version of the configuration.
 *
 * A routing is built once and then only read; requests in flight keep theirs
 * while a newer one takes its place.
 */
#ifndef BD_ROUTING_H
#define BD_ROUTING_H

#include "balance/priority.h"
#include "common/string.h"

enum bd_repeat
{
  BD_REPEAT_SAFE = 0, /**< Idempotent. */
  BD_REPEAT_NEVER,    /**< At most one run of each attempt. */
  BD_REPEAT_STREAM    /**< A stream; idempotent only when resumable. */
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
  enum bd_repeat repeat;
  bool resumable;
  bool is_public;       /**< Needs no credential. */
  int64_t timeout_ms;   /**< For the whole answer. */
  int64_t objective_ms; /**< For the answer, or its first event. */
  int64_t gap_ms;       /**< Longest pause of a stream that is on time. */
  int priority;
  uint32_t attempts_max; /**< Runners that one request may reach. */
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
  uint32_t connections_max; /**< Of all callers, for each runner. */
  bool engine;              /**< Its runners serve a language model. */
  /** How long a runner needs to fetch a thousand tokens of a prompt's part
      from another, in microseconds; 0: it cannot. */
  uint32_t fetch_us;
};

struct bd_routing;

/** Returns an empty routing with one reference, or NULL. */
struct bd_routing *bd_routing_create (uint64_t version);
struct bd_routing *bd_routing_ref (struct bd_routing *routing);
void bd_routing_unref (struct bd_routing *routing);

uint64_t bd_routing_version (const struct bd_routing *routing);

/** These copy FROM and what it points to.  They return BD_OK or BD_ERR_NOMEM.
 */
int bd_routing_add_route (struct bd_routing *routing,
                          const struct bd_route *from);
int bd_routing_add_service (struct bd_routing *routing,
                            const struct bd_service *from);
int bd_routing_add_workspace (struct bd_routing *routing,
                              const struct bd_workspace *from,
                              const struct bd_chunk *keys, size_t key_count);

/** The route of HOST with the longest prefix of PATH, or NULL. */
const struct bd_route *bd_routing_find (const struct bd_routing *routing,
                                        struct bd_chunk host,
                                        struct bd_chunk path);

/** The service that gets the share of ROUTE in which HASH falls. */
struct bd_chunk bd_route_service (const struct bd_route *route, uint64_t hash);

const struct bd_service *bd_routing_service (const struct bd_routing *routing,
                                             struct bd_chunk name);

/** Whether requests need a credential at all. */
bool bd_routing_has_workspaces (const struct bd_routing *routing);

/** The workspace that holds KEY, or NULL. */
const struct bd_workspace *
bd_routing_workspace (const struct bd_routing *routing, struct bd_chunk key);

/** The least urgent priority that bd_request_priority () may give. */
int bd_routing_least_priority (const struct bd_routing *routing);

/**
 * The urgency of a request, 0 to BD_PRIORITY_LEAST: by WORKSPACE (may be
 * NULL) first, by ROUTE within it.
 */
int bd_request_priority (const struct bd_workspace *workspace,
                         const struct bd_route *route);

#endif
