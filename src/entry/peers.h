/**
 * @file peers.h
 * Gossip between entries: membership, demands on shared limits, strikes,
 * and the election of the entries of a zone that watch the configuration
 * service.  A strike is one engine or runner crash counted against a request's
 * fingerprint.
 */
#ifndef BD_PEERS_H
#define BD_PEERS_H

#include "common/settings.h"
#include "dispatch/dispatch.h"
#include "configuration/document_exchange.h"
#include "membership/membership.h"
#include "wire/link.h"

struct bd_peers;

/** All arguments must outlive the peers.  Returns NULL without memory. */
struct bd_peers *bd_peers_create (const struct bd_settings *settings,
                                  uint64_t incarnation, struct bd_link *link,
                                  struct bd_dispatch *dispatch,
                                  struct bd_document_exchange *exchange);
void bd_peers_destroy (struct bd_peers *peers);

/**
 * Connects to the entries of SNAPSHOT, and sets the number of entries that
 * share the limits.
 */
void bd_peers_configure (struct bd_peers *peers, int64_t now_ms,
                         const struct bd_config_snapshot *snapshot);

/** Processes a GOSSIP message. */
void bd_peers_handle_message (struct bd_peers *peers, int64_t now_ms,
                              struct bd_chunk from,
                              const struct bd_message *message);

/** Sends the gossip that is due. */
void bd_peers_tick (struct bd_peers *peers, int64_t now_ms);

/** Sends gossip to all peers at once (for a new revision, or on leaving). */
void bd_peers_announce (struct bd_peers *peers, int64_t now_ms);

/** Marks this entry as leaving in every message from now on. */
void bd_peers_leave (struct bd_peers *peers, int64_t now_ms);

/** True when this entry is one of its zone's elected watchers. */
bool bd_peers_is_watcher (const struct bd_peers *peers);

/** Records that a read sent at SENT_MS confirmed the active configuration. */
void bd_peers_record_confirmation (struct bd_peers *peers, int64_t sent_ms);

/**
 * Returns the age of the last confirmation, by the configuration service or a
 * peer, plus 1 ms; 0 when there was none.
 */
int64_t bd_peers_confirmation_age_ms (const struct bd_peers *peers,
                                      int64_t now_ms);

/** Applies the state of a peer in the service's instance list. */
void bd_peers_update_listed (struct bd_peers *peers, int64_t now_ms,
                             struct bd_chunk instance, bool leaving);

/** Returns the known members, for the admin port. */
const struct bd_membership *bd_peers_membership (const struct bd_peers *p);

#endif
