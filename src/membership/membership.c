#include "membership/membership.h"

#include "common/string.h"
#include "membership/rotation.h"

#include <stdlib.h>
#include <string.h>

#define TEXT_BUFFER_BYTES 64
/* Number of passes without a message before a peer is suspected. */
#define SUSPICION_PASSES 3
/* The moving average of the interval between calls of
   bd_membership_pick_targets () gives the newest one a weight of 1/8. */
#define INTERVAL_WEIGHT_SHIFT 3

struct peer
{
  struct bd_member member;
  char instance[TEXT_BUFFER_BYTES];
  char address[TEXT_BUFFER_BYTES];
  char zone[TEXT_BUFFER_BYTES];
  uint64_t name_hash;
  uint64_t message_incarnation; /* Highest in own messages; 0: none. */
  int64_t gone_at_ms;
  bool listed_leaving;    /* State in the instance list, as last read. */
  bool announced_leaving; /* Messages do not return it to LIVE. */
  bool same_zone;
  uint8_t skipped_passes; /* Passes that skipped the peer since it is GONE. */
  uint64_t last_pick;     /* PICK_COUNT when it was last picked. */
};

enum
{
  PASS_ZONE = 0,
  PASS_OTHER = 1,
  PASS_COUNT = 2
};

struct bd_membership
{
  struct bd_membership_settings settings;
  struct peer self;    /* Copies of the settings' strings. */
  struct peer **peers; /* Ordered by instance. */
  size_t count;
  struct bd_rotation passes[PASS_COUNT];
  int64_t now_ms;       /* Time of the latest call. */
  int64_t last_pick_ms; /* Last call of bd_membership_pick_targets (). */
  int64_t interval_ms;  /* Mean interval between these calls; 0: unknown. */
  uint64_t pick_count;  /* Calls of bd_membership_pick_targets (). */
  size_t max_targets;   /* MAX of the last of these calls. */
  int64_t last_tick_ms; /* Time of the last bd_membership_tick (). */
  bool self_leaving;
};

static bool
text_valid (struct bd_chunk text)
{
  return text.length > 0 && text.length < TEXT_BUFFER_BYTES;
}

static bool
member_valid (const struct bd_membership *m, const struct bd_member *member)
{
  return text_valid (member->instance) && text_valid (member->address)
         && text_valid (member->zone)
         && !bd_chunk_equal (member->instance, m->self.member.instance);
}

static struct bd_chunk
copy_text (char target[TEXT_BUFFER_BYTES], struct bd_chunk text)
{
  struct bd_chunk c = { .data = target, .length = text.length };

  if (text.length > 0)
    memcpy (target, text.data, text.length);
  return c;
}

/* Copies address and zone, which may change with the incarnation. */
static void
set_location (struct peer *p, const struct bd_member *member)
{
  p->member.address = copy_text (p->address, member->address);
  p->member.zone = copy_text (p->zone, member->zone);
}

static struct peer *
peer_create (const struct bd_member *member)
{
  struct peer *p = calloc (1, sizeof *p);

  if (!p)
    return NULL;
  p->member.instance = copy_text (p->instance, member->instance);
  p->name_hash = bd_chunk_hash (member->instance);
  set_location (p, member);
  return p;
}

static size_t
find_position (const struct bd_membership *m, struct bd_chunk instance,
               bool *found)
{
  size_t low = 0;
  size_t high = m->count;

  *found = false;
  while (low < high)
    {
      size_t middle = low + (high - low) / 2;
      int order
          = bd_chunk_compare (m->peers[middle]->member.instance, instance);

      if (order == 0)
        *found = true;
      if (order >= 0)
        high = middle;
      else
        low = middle + 1;
    }
  return low;
}

static struct peer *
find_peer (const struct bd_membership *m, struct bd_chunk instance)
{
  bool found;
  size_t i = find_position (m, instance, &found);

  return found ? m->peers[i] : NULL;
}

static struct bd_rotation *
pass_for (struct bd_membership *m, const struct peer *p)
{
  return &m->passes[p->same_zone ? PASS_ZONE : PASS_OTHER];
}

static void
add_to_pass (struct bd_membership *m, struct peer *p)
{
  p->same_zone = bd_chunk_equal (p->member.zone, m->self.member.zone);
  bd_rotation_add (pass_for (m, p), p);
}

static void
remove_peer (struct bd_membership *m, struct peer *p)
{
  bool found;
  size_t at = find_position (m, p->member.instance, &found);

  bd_rotation_remove (pass_for (m, p), p);
  m->count--;
  memmove (m->peers + at, m->peers + at + 1,
           (m->count - at) * sizeof (struct peer *));
  free (p);
}

/* Whether to evict A rather than B, which may be NULL: members in state GONE
   first, and of these the one that is GONE for longest. */
static bool
evicted_before (const struct peer *a, const struct peer *b)
{
  if (!b || b->member.state != BD_MEMBER_GONE)
    return !b || a->member.state == BD_MEMBER_GONE;
  return a->member.state == BD_MEMBER_GONE && a->gone_at_ms < b->gone_at_ms;
}

/* Evicts one member when the table is full: a GONE one or, to add a peer that
   sent a message itself (OWN_MESSAGE), a JOINING one.  Returns false when
   there is none. */
static bool
evict_if_full (struct bd_membership *m, bool own_message)
{
  struct peer *victim = NULL;

  if (m->count < m->settings.max_members)
    return true;
  for (size_t i = 0; i < m->count; i++)
    {
      struct peer *p = m->peers[i];
      bool evictable
          = p->member.state == BD_MEMBER_GONE
            || (own_message && p->member.state == BD_MEMBER_JOINING);

      if (evictable && evicted_before (p, victim))
        victim = p;
    }
  if (!victim)
    return false;
  remove_peer (m, victim);
  return true;
}

static int
add_peer (struct bd_membership *m, const struct bd_member *member,
          bool own_message, struct peer **added)
{
  struct peer *p;
  bool found;
  size_t at;

  if (!evict_if_full (m, own_message))
    return BD_ERR_FULL;
  p = peer_create (member);
  if (!p)
    return BD_ERR_NOMEM;
  at = find_position (m, member->instance, &found);
  memmove (m->peers + at + 1, m->peers + at,
           (m->count - at) * sizeof (struct peer *));
  m->peers[at] = p;
  m->count++;
  add_to_pass (m, p);
  *added = p;
  return BD_OK;
}

static void
set_joining (struct peer *p, int64_t now_ms, uint64_t incarnation)
{
  p->member.state = BD_MEMBER_JOINING;
  p->member.incarnation = incarnation;
  p->member.last_message_ms = now_ms;
  p->announced_leaving = false;
}

/* Updates address and zone; a new zone may move P to the other pass. */
static void
update_location (struct bd_membership *m, struct peer *p,
                 const struct bd_member *member)
{
  if (bd_chunk_equal (p->member.address, member->address)
      && bd_chunk_equal (p->member.zone, member->zone))
    return;
  bd_rotation_remove (pass_for (m, p), p);
  set_location (p, member);
  add_to_pass (m, p);
}

int
bd_membership_add_reported (struct bd_membership *membership, int64_t now_ms,
                            const struct bd_member *member)
{
  struct peer *p;
  int rc;

  membership->now_ms = now_ms;
  if (!member_valid (membership, member))
    return BD_ERR_INVALID;
  p = find_peer (membership, member->instance);
  if (!p)
    {
      if (member->state == BD_MEMBER_GONE)
        return BD_OK;
      rc = add_peer (membership, member, false, &p);
      if (rc == BD_OK)
        set_joining (p, now_ms, member->incarnation);
      return rc;
    }
  if (p->member.state != BD_MEMBER_GONE
      || member->incarnation <= p->member.incarnation)
    return BD_OK;
  update_location (membership, p, member);
  set_joining (p, now_ms, member->incarnation);
  return BD_OK;
}

int
bd_membership_record_message (struct bd_membership *membership, int64_t now_ms,
                              const struct bd_member *member)
{
  struct peer *p;
  int rc;

  membership->now_ms = now_ms;
  if (!member_valid (membership, member) || member->incarnation == 0)
    return BD_ERR_INVALID;
  p = find_peer (membership, member->instance);
  if (!p)
    {
      rc = add_peer (membership, member, true, &p);
      if (rc != BD_OK)
        return rc;
    }
  if (member->incarnation < p->message_incarnation)
    return BD_ERR_STALE;
  if (member->incarnation > p->message_incarnation)
    {
      p->message_incarnation = member->incarnation;
      /* An entry in the instance list was about the former incarnation. */
      p->announced_leaving = false;
    }
  update_location (membership, p, member);
  if (member->state == BD_MEMBER_LEAVING)
    p->announced_leaving = true;
  p->member.incarnation = member->incarnation;
  p->member.last_message_ms = now_ms;
  p->member.state = p->announced_leaving ? BD_MEMBER_LEAVING : BD_MEMBER_LIVE;
  return BD_OK;
}

void
bd_membership_mark_leaving (struct bd_membership *membership, int64_t now_ms,
                            struct bd_chunk instance)
{
  struct peer *p = find_peer (membership, instance);

  membership->now_ms = now_ms;
  if (bd_chunk_equal (instance, membership->self.member.instance))
    membership->self_leaving = true;
  if (!p || p->member.state == BD_MEMBER_GONE)
    return;
  p->announced_leaving = true;
  p->member.state = BD_MEMBER_LEAVING;
}

void
bd_membership_set_listed_leaving (struct bd_membership *membership,
                                  int64_t now_ms, struct bd_chunk instance,
                                  bool leaving)
{
  struct peer *p = find_peer (membership, instance);

  membership->now_ms = now_ms;
  if (!p || p->listed_leaving == leaving)
    return;
  p->listed_leaving = leaving;
  if (leaving)
    bd_membership_mark_leaving (membership, now_ms, instance);
  else if (p->member.state == BD_MEMBER_LEAVING)
    {
      /* The peer's next message shows whether it is live or leaving. */
      p->announced_leaving = false;
      p->member.state = BD_MEMBER_SUSPECT;
    }
}

int64_t
bd_membership_suspect_limit_ms (const struct bd_membership *membership,
                                bool same_zone)
{
  const struct bd_rotation *pass
      = &membership->passes[same_zone ? PASS_ZONE : PASS_OTHER];
  const struct bd_rotation *other_pass
      = &membership->passes[same_zone ? PASS_OTHER : PASS_ZONE];
  int64_t min_limit = membership->settings.suspect_after_ms;
  /* An odd MAX is split between the passes in turn, so count two calls. */
  size_t targets_in_two_calls
      = membership->max_targets * (other_pass->count > 0 ? 1 : 2);
  size_t calls;
  int64_t limit;

  if (targets_in_two_calls == 0)
    return min_limit;
  calls = (2 * pass->count + targets_in_two_calls - 1) / targets_in_two_calls;
  limit = SUSPICION_PASSES * (int64_t)calls * membership->interval_ms;
  return limit > min_limit ? limit : min_limit;
}

static int64_t
gone_limit_ms (const struct bd_membership *m, const struct peer *p)
{
  int64_t suspect_limit_ms = bd_membership_suspect_limit_ms (m, p->same_zone);

  return 2 * suspect_limit_ms > m->settings.gone_after_ms
             ? 2 * suspect_limit_ms
             : m->settings.gone_after_ms;
}

static void
tick_peer (struct bd_membership *m, struct peer *p)
{
  int64_t silence_ms = m->now_ms - p->member.last_message_ms;

  if (p->member.state == BD_MEMBER_GONE)
    return;
  if (silence_ms > gone_limit_ms (m, p))
    {
      p->member.state = BD_MEMBER_GONE;
      p->gone_at_ms = m->now_ms;
    }
  else if (p->member.state == BD_MEMBER_LIVE
           && silence_ms > bd_membership_suspect_limit_ms (m, p->same_zone))
    p->member.state = BD_MEMBER_SUSPECT;
}

void
bd_membership_tick (struct bd_membership *membership, int64_t now_ms)
{
  int64_t forget_after_ms
      = BD_MEMBERSHIP_FORGET_FACTOR * membership->settings.gone_after_ms;

  int64_t pause_ms = now_ms - membership->last_tick_ms;

  if (membership->last_tick_ms == 0
      || pause_ms <= membership->settings.suspect_after_ms)
    pause_ms = 0;
  membership->now_ms = now_ms;
  membership->last_tick_ms = now_ms;
  for (size_t i = membership->count; i > 0; i--)
    {
      struct peer *p = membership->peers[i - 1];

      if (pause_ms > 0 && p->member.last_message_ms < now_ms - pause_ms)
        p->member.last_message_ms += pause_ms;
      tick_peer (membership, p);
      if (p->member.state == BD_MEMBER_GONE
          && now_ms - p->gone_at_ms > forget_after_ms)
        remove_peer (membership, p);
    }
}

static bool
peer_due (struct peer *p)
{
  if (p->member.state == BD_MEMBER_LEAVING)
    return false;
  if (p->member.state != BD_MEMBER_GONE)
    return true;
  p->skipped_passes++;
  if (p->skipped_passes < BD_MEMBERSHIP_PROBE_PASSES)
    return false;
  p->skipped_passes = 0;
  return true;
}

/* Picks up to MAX peers of PASS, each at most once per call of
   bd_membership_pick_targets (). */
static size_t
pick_from_pass (struct bd_membership *m, struct bd_rotation *pass,
                const struct bd_member **targets, size_t max)
{
  size_t n = 0;

  for (size_t visited = 0; visited < pass->count && n < max; visited++)
    {
      struct peer *p = bd_rotation_next (pass);

      if (p->last_pick == m->pick_count || !peer_due (p))
        continue;
      p->last_pick = m->pick_count;
      targets[n++] = &p->member;
    }
  return n;
}

static void
measure_interval (struct bd_membership *m)
{
  int64_t interval_ms = m->now_ms - m->last_pick_ms;

  /* Limits the effect that a pause of this process has on the average. */
  if (interval_ms > m->settings.suspect_after_ms)
    interval_ms = m->settings.suspect_after_ms;

  if (m->pick_count > 1 && m->interval_ms == 0)
    m->interval_ms = interval_ms;
  else if (m->pick_count > 1)
    m->interval_ms
        += (interval_ms - m->interval_ms) / (1 << INTERVAL_WEIGHT_SHIFT);
  m->last_pick_ms = m->now_ms;
}

size_t
bd_membership_pick_targets (struct bd_membership *membership,
                            const struct bd_member **targets, size_t max)
{
  struct bd_rotation *zone_pass = &membership->passes[PASS_ZONE];
  struct bd_rotation *other_pass = &membership->passes[PASS_OTHER];
  size_t zone_max = max;
  size_t n;

  membership->pick_count++;
  membership->max_targets = max;
  measure_interval (membership);
  /* With an odd MAX, the two passes get the extra target in turn. */
  if (other_pass->count > 0 && zone_pass->count > 0)
    zone_max = (max + membership->pick_count % 2) / 2;
  n = pick_from_pass (membership, zone_pass, targets, zone_max);
  n += pick_from_pass (membership, other_pass, targets + n, max - n);
  /* This zone gets the targets that the other pass did not use. */
  return n + pick_from_pass (membership, zone_pass, targets + n, max - n);
}

size_t
bd_membership_count (const struct bd_membership *membership)
{
  return membership->count;
}

const struct bd_member *
bd_membership_at (const struct bd_membership *membership, size_t index)
{
  return &membership->peers[index]->member;
}

const struct bd_member *
bd_membership_find (const struct bd_membership *membership,
                    struct bd_chunk instance)
{
  const struct peer *p = find_peer (membership, instance);

  return p ? &p->member : NULL;
}

/* Whether P counts in the election: a peer of this zone that is live, or
   was reported within the suspicion timeout. */
static bool
is_candidate (const struct bd_membership *m, const struct peer *p)
{
  int64_t silence_ms = m->now_ms - p->member.last_message_ms;

  if (!p->same_zone)
    return false;
  if (p->member.state == BD_MEMBER_JOINING)
    return silence_ms <= bd_membership_suspect_limit_ms (m, true);
  return p->member.state == BD_MEMBER_LIVE;
}

bool
bd_membership_is_elected (const struct bd_membership *membership,
                          struct bd_chunk subject, size_t count)
{
  uint64_t salt = bd_chunk_hash (subject);
  uint64_t own_rank = bd_rotation_mix (salt ^ membership->self.name_hash);
  size_t ahead = 0;

  if (membership->self_leaving)
    return false;
  for (size_t i = 0; i < membership->count; i++)
    {
      const struct peer *p = membership->peers[i];

      if (is_candidate (membership, p)
          && bd_rotation_mix (salt ^ p->name_hash) > own_rank)
        ahead++;
    }
  return ahead < count;
}

struct bd_membership *
bd_membership_create (const struct bd_membership_settings *settings)
{
  struct bd_membership *m = calloc (1, sizeof *m);
  struct bd_member self = { .instance = settings->instance,
                            .address = settings->address,
                            .zone = settings->zone };
  size_t capacity = settings->max_members > 0 ? settings->max_members : 1;

  if (!m)
    return NULL;
  if (!text_valid (self.instance) || !text_valid (self.zone)
      || self.address.length >= TEXT_BUFFER_BYTES)
    {
      free (m);
      return NULL;
    }
  m->settings = *settings;
  m->settings.max_members = (uint32_t)capacity;
  m->self.member.instance = copy_text (m->self.instance, self.instance);
  m->self.name_hash = bd_chunk_hash (self.instance);
  set_location (&m->self, &self);
  m->settings.instance = m->self.member.instance;
  m->settings.address = m->self.member.address;
  m->settings.zone = m->self.member.zone;
  m->peers = calloc (capacity, sizeof (struct peer *));
  if (m->peers
      && bd_rotation_init (&m->passes[PASS_ZONE], capacity, settings->seed)
             == BD_OK
      && bd_rotation_init (&m->passes[PASS_OTHER], capacity, ~settings->seed)
             == BD_OK)
    return m;
  bd_membership_destroy (m);
  return NULL;
}

void
bd_membership_destroy (struct bd_membership *membership)
{
  if (!membership)
    return;
  for (size_t i = 0; membership->peers && i < membership->count; i++)
    free (membership->peers[i]);
  free (membership->peers);
  for (int i = 0; i < PASS_COUNT; i++)
    bd_rotation_clear (&membership->passes[i]);
  free (membership);
}
