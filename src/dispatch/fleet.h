/**
 * @file fleet.h
 * Pools and runners known to an entry: state, load and connections.
 */
#ifndef BD_FLEET_H
#define BD_FLEET_H

#include "dispatch/dispatch.h"

/** Most heartbeats that an entry sends to all runners in a second. */
#define BD_FLEET_HEARTBEATS_PER_S 20

/** A runner of the active configuration. */
struct bd_fleet_runner
{
  char *instance;
  char *address;
  char *zone;
  struct bd_fleet_pool *pool;
  enum bd_runner_state state;
  uint64_t incarnation;  /**< 0 before the first message. */
  bool reported_leaving; /**< By the instance list; reset by a restart. */
  struct bd_load_report load;
  int64_t last_message_ms;
  int64_t peer_clock_ms; /**< Runner's clock in its last heartbeat. */
  int64_t last_used_ms;
  bool in_subset;
  bool connected;             /**< The connect callback was called. */
  size_t connected_index;     /**< Index in bd_fleet.connected. */
  uint32_t job_count;         /**< References held by jobs. */
  uint32_t open_reservations; /**< Reservations not answered yet. */
  bool published;             /**< In the active configuration. */
};

/** Runners of one model or service. */
struct bd_fleet_pool
{
  char *name;
  enum bd_pool_kind kind;
  struct bd_placement *placement;
  struct bd_fleet_runner **runners; /**< All published runners. */
  size_t runner_count;
  struct bd_fleet_runner **subset; /**< Indexed as in PLACEMENT. */
  size_t subset_count;
  bool published; /**< In the active configuration. */
};

struct bd_fleet;

struct bd_fleet *bd_fleet_create (const struct bd_dispatch_settings *settings,
                                  struct bd_dispatch_callbacks *callbacks);
void bd_fleet_destroy (struct bd_fleet *fleet);

/** Applies the published pools; runners that stay keep their state. */
int bd_fleet_configure (struct bd_fleet *fleet,
                        const struct bd_config_snapshot *snapshot);

struct bd_fleet_pool *bd_fleet_pool (const struct bd_fleet *fleet,
                                     struct bd_chunk name);
struct bd_fleet_runner *bd_fleet_runner (const struct bd_fleet *fleet,
                                         struct bd_chunk instance);

/** Connects to RUNNER if needed and restarts its idle time. */
void bd_fleet_connect (struct bd_fleet *fleet, int64_t now_ms,
                       struct bd_fleet_runner *runner);

/** Returns the home runner of a caller's own key, the same at every entry. */
struct bd_fleet_runner *bd_fleet_home_runner (const struct bd_fleet_pool *pool,
                                              struct bd_id key);

/**
 * Updates load, state and incarnation from a message.  Returns false for a
 * message of an older incarnation than the known one.
 */
bool bd_fleet_update (struct bd_fleet *fleet, int64_t now_ms,
                      struct bd_fleet_runner *runner,
                      const struct bd_message *message);

void bd_fleet_set_state (struct bd_fleet_runner *runner,
                         enum bd_runner_state state);

/** Marks silent runners as down, closes idle connections outside subsets. */
void bd_fleet_tick (struct bd_fleet *fleet, int64_t now_ms,
                    void (*on_down) (void *context,
                                     struct bd_fleet_runner *runner),
                    void *context);

/** Number of connected runners; bd_fleet_connected () returns one of them. */
size_t bd_fleet_connected_count (const struct bd_fleet *fleet);
struct bd_fleet_runner *bd_fleet_connected (const struct bd_fleet *fleet,
                                            size_t index);

#endif
