/**
 * @file share.h
 * An entry's share of something that all entries divide among themselves by
 * gossip, without shared state.
 *
 * A floor of BD_SHARE_FLOOR is split equally and does not move.  The rest
 * follows demand: an entry gives up what it holds beyond its part by halves,
 * and claims of what is free in proportion to what each still lacks, at most
 * an equal part at a time.  A claim is told as if it were held.  It is taken
 * once every peer in touch was heard BD_SHARE_MESSAGE_DELAY_MS after it was
 * told: by then the peer knows of it, and has told its own claims.  What turns
 * out to be claimed twice is taken by nobody.
 *
 * Partition: an entry that is out of touch with peers for BD_SHARE_LEASE_MS
 * comes down, with those still in touch, to as many equal parts as they are.
 * Only after BD_SHARE_PEER_EXPIRE_MS does it count a silent peer with an equal
 * part in place of the last share told.  So both sides of a partition together
 * never hold more than before, for as long as both know of all the entries.
 */
#ifndef BD_SHARE_H
#define BD_SHARE_H

#include "common/table.h"

#include <stdbool.h>
#include <stdint.h>

#define BD_SHARE_FLOOR 0.1
/** Least time between two claims, and between two reductions. */
#define BD_SHARE_CHANGE_INTERVAL_MS 1000
/** Longer than a message takes. */
#define BD_SHARE_MESSAGE_DELAY_MS 500
/** After a silence this long a peer may have missed what was told. */
#define BD_SHARE_SILENT_MS 4000
/** What is held or wanted is told again after this time. */
#define BD_SHARE_REFRESH_MS 2000
/** Nothing is claimed until this long after a start or a peer's return. */
#define BD_SHARE_START_MS 3000
#define BD_SHARE_LEASE_MS 8000
#define BD_SHARE_PEER_EXPIRE_MS 12000
/** Most by which the sum of all shares exceeds 1; see limiter.h. */
#define BD_SHARE_EXCESS 0.02
/** Most peers that are remembered. */
#define BD_SHARE_PEERS_MAX 1024

struct bd_share_peer;

/** The entries that divide.  Zero is a valid start. */
struct bd_share_group
{
  struct bd_table by_name;
  struct bd_share_peer **peers; /**< NULL: a free place. */
  size_t peer_capacity;
  size_t peer_count;
  uint64_t generation;
  uint32_t entry_count; /**< This one included; 0: not known yet. */
  bool started;
  int64_t changed_ms; /**< When this entry started or a peer came back. */
};

void bd_share_group_clear (struct bd_share_group *group);

/** Notes when this entry began to listen; later calls do nothing. */
void bd_share_group_start (struct bd_share_group *group, int64_t now_ms);

/** Notes a message of peer NAME.  Returns its place, or -1: no room. */
int bd_share_group_record_message (struct bd_share_group *group,
                                   int64_t now_ms, uint64_t name);

/** Forgets peers that were silent for BD_SHARE_PEER_EXPIRE_MS. */
void bd_share_group_tick (struct bd_share_group *group, int64_t now_ms);

struct bd_share_record;

/** One thing divided.  Zero is a valid start, with SINCE_MS set. */
struct bd_share
{
  double held;     /**< Beyond the floor. */
  double claim;    /**< Told as held, but not taken yet. */
  bool claim_sent; /**< The claim was told. */
  double demand;   /**< A part of the whole. */
  int64_t claim_sent_ms;
  int64_t created_ms;
  int64_t raised_ms;
  int64_t lowered_ms;
  struct bd_share_record *records; /**< By the peer's place. */
  size_t record_capacity;
};

void bd_share_clear (struct bd_share *share);

/** Takes in what the peer at PLACE holds beyond the floor, and wants. */
void bd_share_record_peer (struct bd_share *share,
                           const struct bd_share_group *group, int slot,
                           int64_t now_ms, double held, double demand);

/** Held and claimed beyond the floor: what the peers are told. */
double bd_share_in_use (const struct bd_share *share);

/** That was told, in a message to all peers. */
void bd_share_mark_claim_sent (struct bd_share *share, int64_t now_ms);

/**
 * Moves the share; call it a few times per BD_SHARE_CHANGE_INTERVAL_MS. DEMAND
 * is a part of the whole.
 */
void bd_share_update (struct bd_share *share,
                      const struct bd_share_group *group, int64_t now_ms,
                      double demand);

/** One entry's part of the floor. */
double bd_share_floor (const struct bd_share_group *group);

/** The share in force, floor included. */
double bd_share_value (const struct bd_share *share,
                       const struct bd_share_group *group);

#endif
