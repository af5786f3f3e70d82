/**
 * @file beacon.h
 * Gossip datagram of an instance: its state, addresses of other instances, its
 * load at each runner, requests and parts of prompts that crashed runners,
 * runners that announced their shutdown, and rate limits of runners.
 */
#ifndef BD_BEACON_H
#define BD_BEACON_H

#include "common/string.h"
#include "gateway/limit_notice.h"
#include "retry/part_breaker.h"
#include "retry/suspect.h"

/** Most peer addresses in a datagram. */
#define BD_BEACON_ADDRESSES_MAX 40
/** Most runners' loads in a datagram. */
#define BD_BEACON_LOADS_MAX 50
/** Most strikes in a datagram, and in one that contains loads. */
#define BD_BEACON_STRIKES_MAX 24
#define BD_BEACON_STRIKES_WITH_LOADS 6
/** Most notices about parts of prompts; they are sent in datagrams of their
    own. */
#define BD_BEACON_PARTS_MAX 24
/** Most leaving runners in a datagram. */
#define BD_BEACON_LEAVING_MAX 6
/** Most rate limits of runners in a datagram, and most addresses beside them.
 */
#define BD_BEACON_LIMITS_MAX 6
#define BD_BEACON_ADDRESSES_WITH_LIMITS 4
/**
 * With the limits above a datagram stays below this size and so fits into one
 * packet.  One with more than BD_BEACON_STRIKES_WITH_LOADS strikes must not
 * contain loads, one with more than BD_BEACON_ADDRESSES_WITH_LIMITS addresses
 * no rate limits.
 */
#define BD_BEACON_MAX_BYTES 1400
/** Unit of loads, in tokens; loads are rounded down. */
#define BD_BEACON_TOKENS_PER_UNIT 256

/** How well an instance can coordinate, in ascending order. */
enum bd_peer_state
{
  BD_PEER_UNABLE = 0, /**< Not ready, or stopping. */
  BD_PEER_STALE, /**< Cut off from the store: its list of runners may be out of
                    date. */
  BD_PEER_JOINING, /**< Ready for a short time only; others know more. */
  BD_PEER_FRESH
};

/** State of an instance. */
struct bd_peer_status
{
  /** Version of the instance's configuration, which the operator gave it. */
  uint64_t version;
  /** Store revision of that configuration; peers of older versions of this
      program compare it. */
  uint64_t revision;
  enum bd_peer_state state;
  uint32_t cpu_millicores; /**< Processor share in thousandths of a core. */
};

/** Load of an instance at a runner. */
struct bd_beacon_load
{
  uint32_t target; /**< Low 32 bits of the runner's hash. */
  uint32_t in_flight;
  uint32_t token_units; /**< Queued prompt tokens in units of
                           BD_BEACON_TOKENS_PER_UNIT. */
  bool ejected;         /**< The instance has ejected the runner. */
};

/** A runner that announced its shutdown in a response. */
struct bd_beacon_leaving_runner
{
  uint32_t target; /**< Low 32 bits of the runner's hash. */
  /** Latest start of a process that the announcement may come from. */
  int64_t started_max_ms;
};

struct bd_beacon
{
  uint32_t ip; /**< Address of the sender, network byte order. */
  uint64_t incarnation;
  bool leaving; /**< The sender's process shuts down. */
  struct bd_peer_status status;
  size_t address_count;
  uint32_t addresses[BD_BEACON_ADDRESSES_MAX]; /**< Addresses of live peers,
                                                  network byte order. */
  bool has_loads; /**< False: no loads in this datagram; earlier ones stay
                     valid. */
  size_t load_count;
  struct bd_beacon_load loads[BD_BEACON_LOADS_MAX];
  size_t strike_count;
  struct bd_strike strikes[BD_BEACON_STRIKES_MAX];
  size_t leaving_count;
  struct bd_beacon_leaving_runner leaving_runners[BD_BEACON_LEAVING_MAX];
  size_t limit_count;
  struct bd_limit_notice limits[BD_BEACON_LIMITS_MAX];
  size_t part_count;
  struct bd_part_notice parts[BD_BEACON_PARTS_MAX];
};

/** Removes all but the sender and its state. */
void bd_beacon_strip (struct bd_beacon *beacon);

/** Appends BEACON to OUT.  Returns BD_OK or BD_ERR_NOMEM. */
int bd_beacon_write (const struct bd_beacon *beacon, struct bd_buffer *out);

/**
 * Parses a datagram and drops what exceeds the limits.  Returns BD_OK or
 * BD_ERR_PROTOCOL.
 */
int bd_beacon_read (struct bd_chunk bytes, struct bd_beacon *beacon);

#endif
