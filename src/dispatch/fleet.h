/**
 * @file fleet.h
 * The pools and runners that an entry knows, and their state.
 */
#ifndef BD_FLEET_H
#define BD_FLEET_H

#include "dispatch/dispatch.h"

/** Heartbeats that an entry sends to runners in a second, at most. */
#define BD_FLEET_HEARTBEATS_PER_S 20

/** A runner of the published configuration. */
struct bd_fleet_runner
{
  char *instance;
  char *address;
  char *zone;
  struct bd_fleet_pool *pool;
  enum bd_runner_state state;
  uint64_t incarnation;  /**< 0: not heard of yet. */
  bool reported_leaving; /**< By the instance list, until it starts anew. */
  struct bd_load load;
  int64_t last_message_ms;
  int64_t peer_clock_ms; /**< Its clock when it last sent a heartbeat. */
  int64_t last_used_ms;
  bool in_subset;
  bool connected;             /**< The port was asked to connect. */
  size_t connected_index;     /**< Place among the connected ones. */
  uint32_t job_count;         /**< Requests that refer to it. */
  uint32_t open_reservations; /**< Reservations that are open there. */
  bool published;             /**< Still published. */
};

/** A model or service. */
struct bd_fleet_pool
{
  char *name;
  enum bd_pool_kind kind;
  struct bd_placement *placement;
  struct bd_fleet_runner **runners; /**< All that are published. */
  size_t runner_count;
  struct bd_fleet_runner **subset; /**< By placement index. */
  size_t subset_count;
  bool published; /**< Still published. */
};

struct bd_fleet;

struct bd_fleet *bd_fleet_create (const struct bd_dispatch_settings *settings,
                                  struct bd_dispatch_port *port);
void bd_fleet_destroy (struct bd_fleet *fleet);

/** Puts the published pools in place; runners that stay keep their state. */
int bd_fleet_configure (struct bd_fleet *fleet,
                        const struct bd_config_snapshot *snapshot);

struct bd_fleet_pool *bd_fleet_pool (const struct bd_fleet *fleet,
                                     struct bd_chunk name);
struct bd_fleet_runner *bd_fleet_runner (const struct bd_fleet *fleet,
                                         struct bd_chunk instance);

/** Makes sure that a runner outside the subset is connected to. */
void bd_fleet_connect (struct bd_fleet *fleet, int64_t now_ms,
                       struct bd_fleet_runner *runner);

/** The home of a caller's own key: the same at every entry. */
struct bd_fleet_runner *bd_fleet_home (const struct bd_fleet_pool *pool,
                                       struct bd_id key);

/**
 * Takes in load, state and incarnation from a message.  Returns false when
 * the message is of an older incarnation than the one known.
 */
bool bd_fleet_update (struct bd_fleet *fleet, int64_t now_ms,
                      struct bd_fleet_runner *runner,
                      const struct bd_message *message);

void bd_fleet_set_state (struct bd_fleet_runner *runner,
                         enum bd_runner_state state);

/** Marks silent runners as down, lets go of unused extra connections. */
void bd_fleet_tick (struct bd_fleet *fleet, int64_t now_ms,
                    void (*on_down) (void *context,
                                     struct bd_fleet_runner *runner),
                    void *context);

/** The runners that are connected to. */
size_t bd_fleet_connected_count (const struct bd_fleet *fleet);
struct bd_fleet_runner *bd_fleet_connected (const struct bd_fleet *fleet,
                                            size_t index);

#endif
