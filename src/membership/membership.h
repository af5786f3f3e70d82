/**
 * @file membership.h
 * Group membership: heartbeats, failure suspicion, removal, incarnations.
 *
 * Only a peer's own messages prove that it is alive.  Reports of third
 * parties add a member to contact or mark one as leaving, but do not make it
 * live.  Targets are picked in two round-robin passes, one over the peers of
 * this zone and one over the others.  The suspicion timeout grows with the
 * duration of a pass, because members of a larger fleet exchange heartbeats
 * less often.
 */
#ifndef BD_MEMBERSHIP_H
#define BD_MEMBERSHIP_H

#include "basildock.h"

enum bd_member_state
{
  BD_MEMBER_JOINING = 0, /**< Reported by others, no own message yet. */
  BD_MEMBER_LIVE,        /**< Its last message is recent. */
  BD_MEMBER_SUSPECT,     /**< Silent longer than the suspicion timeout. */
  BD_MEMBER_LEAVING,     /**< Shutting down, takes no new work. */
  BD_MEMBER_GONE         /**< Silent longer than the removal timeout. */
};

struct bd_member
{
  struct bd_chunk instance;
  struct bd_chunk address; /**< "IP:PORT" for peers. */
  struct bd_chunk zone;
  uint64_t incarnation; /**< 0: not known. */
  enum bd_member_state state;
  /** Time of the last message or, while JOINING, of the first report. */
  int64_t last_message_ms;
};

struct bd_membership_settings
{
  struct bd_chunk instance;
  struct bd_chunk address;
  struct bd_chunk zone;
  uint64_t incarnation;
  int64_t suspect_after_ms; /**< Minimum silence before SUSPECT. */
  int64_t gone_after_ms;    /**< Minimum silence before GONE. */
  uint32_t max_members;
  uint64_t seed; /**< Seeds the order in which targets are picked. */
};

/** A member in state GONE is forgotten after this many removal timeouts. */
#define BD_MEMBERSHIP_FORGET_FACTOR 10

/** A member in state GONE is contacted in one of this many passes. */
#define BD_MEMBERSHIP_PROBE_PASSES 8

struct bd_membership;

struct bd_membership *
bd_membership_create (const struct bd_membership_settings *settings);
void bd_membership_destroy (struct bd_membership *membership);

/**
 * Records a peer reported by a third party (manifest, gossip).  A report
 * returns a member from GONE to JOINING only with a higher incarnation, and
 * never changes a member in another state.  Returns BD_OK, BD_ERR_INVALID for
 * a name, address or zone that is empty or too long or for this instance
 * itself, BD_ERR_FULL, or BD_ERR_NOMEM.
 */
int bd_membership_add_reported (struct bd_membership *membership,
                                int64_t now_ms,
                                const struct bd_member *member);

/**
 * Records a message received from the peer itself.  MEMBER holds the state
 * that the peer reports about itself.  Returns BD_OK, BD_ERR_STALE when a
 * message of a higher incarnation of the instance came earlier,
 * BD_ERR_INVALID, BD_ERR_NOMEM, or BD_ERR_FULL when the table is full and
 * holds no member that is JOINING or GONE.
 */
int bd_membership_record_message (struct bd_membership *membership,
                                  int64_t now_ms,
                                  const struct bd_member *member);

/**
 * Marks INSTANCE as leaving, as announced by the peer or shown in the instance
 * list.  It holds until a message of a higher incarnation arrives.  When
 * INSTANCE is this instance, bd_membership_is_elected () returns false from
 * then on.
 */
void bd_membership_mark_leaving (struct bd_membership *membership,
                                 int64_t now_ms, struct bd_chunk instance);

/**
 * Records whether the instance list shows INSTANCE as leaving; called each
 * time that the list is read.  Only a change has an effect: the list lags
 * behind, so its entry may be about an earlier incarnation, and an entry can
 * be withdrawn.
 */
void bd_membership_set_listed_leaving (struct bd_membership *membership,
                                       int64_t now_ms,
                                       struct bd_chunk instance, bool leaving);

/**
 * Moves silent members to SUSPECT, after twice the suspicion timeout (and not
 * before gone_after_ms) to GONE, and forgets members that have been GONE for
 * BD_MEMBERSHIP_FORGET_FACTOR times gone_after_ms.  When more than
 * suspect_after_ms have passed since the previous call, this process was
 * paused, and the pause does not count as silence of the peers.
 */
void bd_membership_tick (struct bd_membership *membership, int64_t now_ms);

/** Number of known members, including those in state GONE. */
size_t bd_membership_count (const struct bd_membership *membership);

/** Returns the member at INDEX; members are ordered by instance. */
const struct bd_member *
bd_membership_at (const struct bd_membership *membership, size_t index);

/** Returns the member called INSTANCE, or NULL. */
const struct bd_member *
bd_membership_find (const struct bd_membership *membership,
                    struct bd_chunk instance);

/**
 * Suspicion timeout in milliseconds for members of this zone or of other
 * zones: suspect_after_ms, or the duration of a few passes if that is longer.
 */
int64_t bd_membership_suspect_limit_ms (const struct bd_membership *membership,
                                        bool same_zone);

/**
 * Picks up to MAX peers to send a heartbeat to, half of them in this zone.
 * Each pass covers every member once in random order.  Members in state
 * LEAVING are skipped; those in state GONE are picked every
 * BD_MEMBERSHIP_PROBE_PASSES passes.  The pointers are valid until the next
 * call that takes NOW_MS.
 */
size_t bd_membership_pick_targets (struct bd_membership *membership,
                                   const struct bd_member **targets,
                                   size_t max);

/**
 * True when this instance is among the first COUNT of its zone's live
 * members by rendezvous hashing on SUBJECT (used to elect watchers).  JOINING
 * members count during the suspicion timeout, so that not every instance of
 * a fleet that starts at the same time elects itself.
 */
bool bd_membership_is_elected (const struct bd_membership *membership,
                               struct bd_chunk subject, size_t count);

#endif
