/**
 * @file membership.h
 * Which peers are there: heartbeats, suspicion, removal, incarnations.
 *
 * A peer is believed only about itself: what others say adds a member to
 * talk to or takes one away, but never proves that it lives.  Peers in the
 * own zone and the rest are reached in two round-robin passes, and silence
 * is judged by the time that a pass takes, so that a larger fleet is not
 * suspected for talking to each member less often.
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
  int64_t suspect_after_ms; /**< Least silence before SUSPECT. */
  int64_t gone_after_ms;    /**< Least silence before GONE. */
  uint32_t max_members;
  uint64_t seed; /**< Of the order in which peers are reached. */
};

/** How many times longer a gone member is remembered. */
#define BD_MEMBERSHIP_FORGET_FACTOR 10

/** Every how many passes a gone member is tried again. */
#define BD_MEMBERSHIP_PROBE_PASSES 8

struct bd_membership;

struct bd_membership *
bd_membership_create (const struct bd_membership_settings *settings);
void bd_membership_destroy (struct bd_membership *membership);

/**
 * A peer was named by a third party (manifest, gossip).  It never revives a
 * member that is gone with the same incarnation, and never changes one that
 * is heard.  Returns BD_OK, BD_ERR_INVALID for a name, address or zone that
 * is empty or too long or for this instance itself, or BD_ERR_FULL.
 */
int bd_membership_named (struct bd_membership *membership, int64_t now_ms,
                         const struct bd_member *member);

/**
 * A message came from the peer itself; its state is what it says of itself.
 * Returns BD_OK, BD_ERR_STALE when a higher incarnation of the instance was
 * heard before, BD_ERR_INVALID, or BD_ERR_FULL when there is no room and all
 * others are heard.
 */
int bd_membership_heard (struct bd_membership *membership, int64_t now_ms,
                         const struct bd_member *member);

/**
 * The peer said, or the instance list says, that it leaves.  It holds for the
 * present incarnation.  For this instance itself, it ends its candidacy in
 * bd_membership_ranked ().
 */
void bd_membership_leaving (struct bd_membership *membership, int64_t now_ms,
                            struct bd_chunk instance);

/**
 * What the instance list says of INSTANCE, each time that it is read.  Only
 * a change counts, since the list lags: the word about an earlier
 * incarnation does not hold for the present one, and it can be taken back.
 */
void bd_membership_listed (struct bd_membership *membership, int64_t now_ms,
                           struct bd_chunk instance, bool leaving);

/**
 * Moves silent members to SUSPECT, after twice that time (and not before
 * gone_after_ms) to GONE, and forgets those that are gone
 * for BD_MEMBERSHIP_FORGET_FACTOR times the limit.  A call that comes later
 * than suspect_after_ms after the former follows a pause of this process,
 * which is not counted as silence of the others.
 */
void bd_membership_tick (struct bd_membership *membership, int64_t now_ms);

/** Members known, gone ones included; ordered by instance. */
size_t bd_membership_count (const struct bd_membership *membership);
const struct bd_member *
bd_membership_at (const struct bd_membership *membership, size_t index);
const struct bd_member *
bd_membership_find (const struct bd_membership *membership,
                    struct bd_chunk instance);

/**
 * Silence in milliseconds after which a member of this zone (or of another)
 * is suspected: the setting, or a few passes if that is longer.
 */
int64_t bd_membership_suspect_limit_ms (const struct bd_membership *membership,
                                        bool same_zone);

/**
 * Chooses up to MAX peers to talk to now: half of them in this zone.  Each
 * pass reaches every member once in a random order; leaving members are left
 * out, gone ones are tried every BD_MEMBERSHIP_PROBE_PASSES passes.  The
 * pointers hold until the next call that takes a time.
 */
size_t bd_membership_targets (struct bd_membership *membership,
                              const struct bd_member **targets, size_t max);

/**
 * True when this instance is among the first COUNT of its zone's live
 * members by rendezvous hashing on SUBJECT (used to elect watchers).  Members
 * are named and not heard yet count for the time of suspicion, so that a
 * fleet that starts at once does not elect everybody.
 */
bool bd_membership_ranked (const struct bd_membership *membership,
                           struct bd_chunk subject, size_t count);

#endif
