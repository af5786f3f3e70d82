/**
 * @file share.h
 * An entry's share of a limit that all entries divide among themselves by
 * gossip, without shared state.
 *
 * A floor of BD_SHARE_FLOOR is split equally and does not move.  The rest
 * follows demand.  An entry that holds more than its demand entitles it to
 * gives up half of the surplus at a time.  One that holds less claims part of
 * the free share, in proportion to what each entry lacks and at most an equal
 * part at a time.  Peers are sent a claim as if it were held.  The entry takes
 * it once a message came from every reachable peer BD_SHARE_MESSAGE_DELAY_MS
 * after the claim was sent: by then the peer knows of the claim, and has sent
 * its own.  What turns out to be claimed twice is taken by nobody.
 *
 * During a partition, an entry that has no message from some peers for
 * BD_SHARE_LEASE_MS reduces its share, and so do the peers that it reaches,
 * until they hold together at most one equal part for each of them.  Only
 * after BD_SHARE_PEER_EXPIRE_MS does it count a silent peer with an equal part
 * in place of the last share received.  So both sides of a partition together
 * never hold more than before, as long as both know of all the entries.
 */
#ifndef BD_SHARE_H
#define BD_SHARE_H

#include "common/hash_table.h"

#include <stdbool.h>
#include <stdint.h>

#define BD_SHARE_FLOOR 0.1
/** Shortest time between two claims, and between two reductions. */
#define BD_SHARE_CHANGE_INTERVAL_MS 1000
/** Time after which a message is taken to have arrived. */
#define BD_SHARE_MESSAGE_DELAY_MS 500
/** After a silence of this length a peer may have missed messages. */
#define BD_SHARE_SILENT_MS 4000
/** A share or demand is sent again after this time. */
#define BD_SHARE_REFRESH_MS 2000
/** No claim is made for this time after a start or a peer's return. */
#define BD_SHARE_START_MS 3000
#define BD_SHARE_LEASE_MS 8000
#define BD_SHARE_PEER_EXPIRE_MS 12000
/** Most by which the sum of all shares exceeds 1; see limiter.h. */
#define BD_SHARE_EXCESS 0.02
/** Most peers that are remembered. */
#define BD_SHARE_PEERS_MAX 1024

struct bd_share_peer;

/** The entries that share a limit.  Valid when zero-initialized. */
struct bd_share_group
{
  struct bd_hash_table by_name;
  struct bd_share_peer **peers; /**< NULL: a free slot. */
  size_t peer_capacity;
  size_t peer_count;
  uint64_t generation;
  /** Number of entries, this one included; 0: unknown. */
  uint32_t entry_count;
  bool started;
  /** Time at which this entry started or a peer came back. */
  int64_t changed_ms;
};

void bd_share_group_clear (struct bd_share_group *group);

/**
 * Sets the time at which this entry began to receive messages.  Later calls do
 * nothing.
 */
void bd_share_group_start (struct bd_share_group *group, int64_t now_ms);

/**
 * Records a message of the peer NAME.  Returns its slot, or -1 when there is
 * no room.
 */
int bd_share_group_record_message (struct bd_share_group *group,
                                   int64_t now_ms, uint64_t name);

/** Removes peers that were silent for BD_SHARE_PEER_EXPIRE_MS. */
void bd_share_group_tick (struct bd_share_group *group, int64_t now_ms);

struct bd_share_record;

/** Share of one limit.  Valid when zero-initialized, with CREATED_MS set. */
struct bd_share
{
  double held;     /**< Share beyond the floor. */
  double claim;    /**< Sent to the peers as held, but not taken yet. */
  bool claim_sent; /**< The claim was sent. */
  double demand;   /**< Relative to the limit. */
  int64_t claim_sent_ms;
  int64_t created_ms;
  int64_t raised_ms;
  int64_t lowered_ms;
  struct bd_share_record *records; /**< Indexed by the peer's slot. */
  size_t record_capacity;
};

void bd_share_clear (struct bd_share *share);

/** Records the share beyond the floor and the demand of the peer in SLOT. */
void bd_share_record_peer (struct bd_share *share,
                           const struct bd_share_group *group, int slot,
                           int64_t now_ms, double held, double demand);

/**
 * Returns the sum of the held and the claimed share beyond the floor, which is
 * sent to peers.
 */
double bd_share_in_use (const struct bd_share *share);

/** Records that bd_share_in_use () was sent in a message to all peers. */
void bd_share_mark_claim_sent (struct bd_share *share, int64_t now_ms);

/**
 * Updates the share.  Call it a few times per BD_SHARE_CHANGE_INTERVAL_MS.
 * DEMAND is relative to the limit.
 */
void bd_share_update (struct bd_share *share,
                      const struct bd_share_group *group, int64_t now_ms,
                      double demand);

/** Returns one entry's part of the floor. */
double bd_share_floor (const struct bd_share_group *group);

/** Returns the active share, floor included. */
double bd_share_value (const struct bd_share *share,
                       const struct bd_share_group *group);

#endif
