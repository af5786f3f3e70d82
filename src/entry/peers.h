/**
 * @file peers.h
 * What an entry does with the other entries: membership, demands, strikes,
 * and who of a zone watches the platform's service.
 */
#ifndef BD_PEERS_H
#define BD_PEERS_H

#include "common/settings.h"
#include "dispatch/dispatch.h"
#include "configuration/exchange.h"
#include "membership/membership.h"
#include "wire/link.h"

struct bd_peers;

/** Uses what it is given for as long as it lives. */
struct bd_peers *bd_peers_create (const struct bd_settings *settings,
                                  uint64_t incarnation, struct bd_link *link,
                                  struct bd_dispatch *dispatch,
                                  struct bd_document_exchange *exchange);
void bd_peers_destroy (struct bd_peers *peers);

/** The published entries: whom to talk to, and how many share the limits. */
void bd_peers_configure (struct bd_peers *peers, int64_t now_ms,
                         const struct bd_config_snapshot *snapshot);

/** Takes in a GOSSIP message. */
void bd_peers_handle_message (struct bd_peers *peers, int64_t now_ms,
                              struct bd_chunk from,
                              const struct bd_message *message);

/** Sends what is due. */
void bd_peers_tick (struct bd_peers *peers, int64_t now_ms);

/** Tells all peers at once (a new revision, leaving). */
void bd_peers_announce (struct bd_peers *peers, int64_t now_ms);

/** This entry is leaving: told with every message from now on. */
void bd_peers_leave (struct bd_peers *peers, int64_t now_ms);

/** True when this entry is among its zone's watchers. */
bool bd_peers_is_watcher (const struct bd_peers *peers);

/** The service confirmed what is in force by a read sent at SENT_MS. */
void bd_peers_confirm (struct bd_peers *peers, int64_t sent_ms);

/** Age of the last confirmation, by the service or a peer, plus 1 ms; 0 when
    there was none. */
int64_t bd_peers_confirm_age (const struct bd_peers *peers, int64_t now_ms);

/** What the instance list says of a peer. */
void bd_peers_update_listed (struct bd_peers *peers, int64_t now_ms,
                             struct bd_chunk instance, bool leaving);

/** The members known, for the admin port. */
const struct bd_membership *bd_peers_membership (const struct bd_peers *p);

#endif
