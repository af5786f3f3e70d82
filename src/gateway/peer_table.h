/**
 * @file peer_table.h
 * Table of the other instances that are known, by address.
 */
#ifndef BD_PEER_TABLE_H
#define BD_PEER_TABLE_H

#include "gateway/beacon.h"

/** Another instance. */
struct bd_peer
{
  uint32_t ip;
  uint64_t incarnation;
  bool seen;            /**< A message came from the peer itself. */
  int64_t last_seen_ms; /**< Time of the last message; 0: never. */
  bool was_live;        /**< Live at the last count. */
  bool left;            /**< The peer announced its shutdown. */
  struct bd_peer_status status;
  size_t load_count;
  struct bd_beacon_load loads[BD_BEACON_LOADS_MAX];
};

/** Owns the peers.  Valid when zero-initialized, but for the address. */
struct bd_peer_table
{
  uint32_t own_ip; /**< Address of this instance, which is no peer. */
  size_t count;
  struct bd_peer **peers;
};

/** Returns the peer at IP, or NULL. */
struct bd_peer *bd_peer_table_find (const struct bd_peer_table *table,
                                    uint32_t ip);

/**
 * Returns the peer at IP, which is added if it is unknown; NULL if there is no
 * room for it, or IP is this instance's own.
 */
struct bd_peer *bd_peer_table_get (struct bd_peer_table *table, uint32_t ip);

/**
 * Removes the peers that have been silent for REMOVE_MS at NOW_MS.  A peer
 * that was never heard of counts as silent for just over SILENCE_MS at the
 * first call.
 */
void bd_peer_table_remove_silent (struct bd_peer_table *table, int64_t now_ms,
                                  int64_t silence_ms, int64_t remove_ms);

#endif
