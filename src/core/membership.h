/**
 * @file membership.h
 * Which peers are there: heartbeats, suspicion, removal, incarnations.
 */
#ifndef BD_MEMBERSHIP_H
#define BD_MEMBERSHIP_H

#include "basildock.h"

enum bd_member_state
{
  BD_MEMBER_JOINING = 0, /**< Named by somebody, not heard itself yet. */
  BD_MEMBER_LIVE,
  BD_MEMBER_SUSPECT,
  BD_MEMBER_LEAVING,
  BD_MEMBER_GONE
};

struct bd_member
{
  struct bd_chunk instance;
  struct bd_chunk address; /**< "IP:PORT" for peers. */
  struct bd_chunk zone;
  uint64_t incarnation; /**< 0: not known. */
  enum bd_member_state state;
  int64_t heard_ms;
};

struct bd_membership_settings
{
  struct bd_chunk instance;
  struct bd_chunk address;
  struct bd_chunk zone;
  uint64_t incarnation;
  int64_t suspect_after_ms;
  int64_t gone_after_ms;
  uint32_t max_members;
  uint64_t seed;
};

struct bd_membership;

struct bd_membership *
bd_membership_create (const struct bd_membership_settings *settings);
void bd_membership_destroy (struct bd_membership *membership);

/**
 * A peer was named by a third party (instance list, gossip).  It never
 * revives a member that is gone with the same incarnation.
 */
int bd_membership_named (struct bd_membership *membership, int64_t now_ms,
                         const struct bd_member *member);

/**
 * A message came from the peer itself.  Returns BD_OK, or BD_ERR_STALE when
 * a higher incarnation of the instance is known.
 */
int bd_membership_heard (struct bd_membership *membership, int64_t now_ms,
                         const struct bd_member *member);

/** The peer said, or the instance list says, that it leaves. */
void bd_membership_leaving (struct bd_membership *membership, int64_t now_ms,
                            struct bd_chunk instance);

/** Moves silent members to SUSPECT and GONE and forgets old ones. */
void bd_membership_tick (struct bd_membership *membership, int64_t now_ms);

size_t bd_membership_count (const struct bd_membership *membership);
const struct bd_member *
bd_membership_at (const struct bd_membership *membership, size_t index);
const struct bd_member *
bd_membership_find (const struct bd_membership *membership,
                    struct bd_chunk instance);

/** Chooses up to MAX live peers to talk to now, by bounded rounds. */
size_t bd_membership_targets (struct bd_membership *membership,
                              const struct bd_member **targets, size_t max);

/**
 * True when this instance is among the first COUNT of its zone's live
 * members by rendezvous hashing on SUBJECT (used to elect watchers).
 */
bool bd_membership_ranked (const struct bd_membership *membership,
                           struct bd_chunk subject, size_t count);

#endif
