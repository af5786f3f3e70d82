#include "entry/peers.h"
#include "common/clock.h"
#include "common/map.h"
#include "entry/gossip.h"

#include <stdlib.h>
#include <string.h>

#define GOSSIP_INTERVAL_MS 250
/* Every peer gets a message from this entry at least this often. */
#define PEER_INTERVAL_MS 1500
#define SUSPECT_AFTER_MS 4000
#define REMOVE_AFTER_MS 15000
#define MEMBERS_MAX 1024
#define TARGETS_PER_TICK_MAX 64
/* Members examined to find the live ones that a message reports. */
#define MEMBERS_SCANNED_MAX 16
#define WATCHERS_PER_ZONE 2
#define SEED_MAX_BYTES 63

struct bd_peers
{
  const struct bd_settings *settings;
  uint64_t incarnation;
  struct bd_link *link;
  struct bd_dispatch *dispatch;
  struct bd_document_exchange *exchange;
  struct bd_membership *membership;
  struct bd_buffer body;
  struct bd_gossip_body outgoing;
  size_t next_member_index;
  int64_t last_gossip_ms;
  int64_t last_confirmed_ms; /* 0 before the first confirmation. */
  /* Clock in a peer's last message, by hash of its name. */
  struct bd_map *peer_clocks;
  bool leaving;
};

/* Connects to the seeds under their addresses, as long as their instance
   names are unknown. */
static void
connect_seeds (struct bd_peers *p)
{
  const char *at = p->settings->seeds;

  while (at && *at)
    {
      size_t length = strcspn (at, ",");
      struct bd_chunk seed = { at, length };

      if (length > 0 && length <= SEED_MAX_BYTES
          && !bd_chunk_equal (seed, bd_chunk_of (p->settings->peer_address)))
        bd_link_connect (p->link, seed, seed);
      at += length + (at[length] == ',');
    }
}

struct bd_peers *
bd_peers_create (const struct bd_settings *settings, uint64_t incarnation,
                 struct bd_link *link, struct bd_dispatch *dispatch,
                 struct bd_document_exchange *exchange)
{
  struct bd_membership_settings m = {
    .instance = bd_chunk_of (settings->instance),
    .address = bd_chunk_of (settings->peer_address),
    .zone = bd_chunk_of (settings->zone),
    .incarnation = incarnation,
    .suspect_after_ms = SUSPECT_AFTER_MS,
    .gone_after_ms = REMOVE_AFTER_MS,
    .max_members = MEMBERS_MAX,
    .seed = incarnation,
  };
  struct bd_peers *p = calloc (1, sizeof *p);

  if (!p)
    return NULL;
  p->settings = settings;
  p->incarnation = incarnation;
  p->link = link;
  p->dispatch = dispatch;
  p->exchange = exchange;
  p->membership = bd_membership_create (&m);
  p->peer_clocks = bd_map_create ();
  if (!p->membership || !p->peer_clocks)
    {
      bd_peers_destroy (p);
      return NULL;
    }
  connect_seeds (p);
  return p;
}

void
bd_peers_destroy (struct bd_peers *peers)
{
  size_t cursor = 0;
  void *clock;

  if (!peers)
    return;
  while (peers->peer_clocks
         && (clock = bd_map_next (peers->peer_clocks, &cursor)))
    free (clock);
  bd_map_destroy (peers->peer_clocks);
  bd_membership_destroy (peers->membership);
  bd_buffer_clear (&peers->body);
  free (peers);
}

static bool
is_self (const struct bd_peers *p, struct bd_chunk instance)
{
  return bd_chunk_equal (instance, bd_chunk_of (p->settings->instance));
}

static void
add_peer (struct bd_peers *p, int64_t now_ms, const struct bd_member *member)
{
  if (is_self (p, member->instance))
    return;
  if (bd_membership_add_reported (p->membership, now_ms, member) == BD_OK)
    bd_link_connect (p->link, member->instance, member->address);
}

void
bd_peers_configure (struct bd_peers *peers, int64_t now_ms,
                    const struct bd_config_snapshot *snapshot)
{
  size_t entries = snapshot->entry_count;
  size_t known = bd_membership_count (peers->membership);

  for (size_t i = 0; i < entries; i++)
    {
      const struct bd_instance_record *e = &snapshot->entries[i];
      struct bd_member member = { .instance = e->instance,
                                  .address = e->address,
                                  .zone = e->zone };

      add_peer (peers, now_ms, &member);
    }
  bd_limiter_set_entry_count (bd_dispatch_limiter (peers->dispatch), now_ms,
                              (uint32_t)(entries > 0 ? entries : known + 1));
}

static struct bd_id
clock_key (struct bd_chunk peer)
{
  return (struct bd_id){ bd_chunk_hash (peer), 0 };
}

static void
record_peer_clock (struct bd_peers *p, struct bd_chunk peer, int64_t sent_ms)
{
  int64_t *clock = bd_map_get (p->peer_clocks, clock_key (peer), 0);

  if (!clock)
    {
      clock = malloc (sizeof *clock);
      if (!clock
          || bd_map_put (p->peer_clocks, clock_key (peer), 0, clock) != BD_OK)
        {
          free (clock);
          return;
        }
    }
  *clock = sent_ms;
}

void
bd_peers_record_confirmation (struct bd_peers *peers, int64_t sent_ms)
{
  if (sent_ms > peers->last_confirmed_ms)
    peers->last_confirmed_ms = sent_ms;
}

int64_t
bd_peers_confirmation_age_ms (const struct bd_peers *peers, int64_t now_ms)
{
  return peers->last_confirmed_ms > 0 ? now_ms - peers->last_confirmed_ms + 1
                                      : 0;
}

/* Applies a peer's confirmation.  Its age is counted from this process's own
   clock, which the peer echoes. */
static void
handle_confirmation (struct bd_peers *p, const struct bd_message *m)
{
  struct bd_config *config = bd_document_exchange_config (p->exchange);

  if (m->echo_ms != 0 && m->confirm_age_ms > 0
      && m->revision == bd_config_revision (config)
      && m->digest == bd_config_digest (config))
    bd_peers_record_confirmation (p, m->echo_ms - (m->confirm_age_ms - 1));
}

static void
handle_strikes (struct bd_peers *p, int64_t now_ms,
                const struct bd_gossip_body *body)
{
  struct bd_suspects *suspects = bd_dispatch_suspects (p->dispatch);

  for (size_t i = 0; i < body->strike_count; i++)
    bd_suspects_record (suspects, now_ms, &body->strikes[i]);
}

void
bd_peers_handle_message (struct bd_peers *peers, int64_t now_ms,
                         struct bd_chunk from,
                         const struct bd_message *message)
{
  struct bd_member sender = { .instance = from,
                              .address = message->address,
                              .zone = message->zone,
                              .incarnation = message->incarnation,
                              .state = BD_MEMBER_LIVE };
  struct bd_gossip_body body;

  if (is_self (peers, from)
      || bd_gossip_decode (message->body, &body) != BD_OK)
    return;
  if (message->flags & BD_FLAG_LEAVING)
    sender.state = BD_MEMBER_LEAVING;
  if (bd_membership_record_message (peers->membership, now_ms, &sender)
      != BD_OK)
    return;
  bd_link_connect (peers->link, from, message->address);
  bd_document_exchange_handle_revision (peers->exchange, now_ms, from,
                                        message->revision, message->digest);
  record_peer_clock (peers, from, message->sent_ms);
  handle_confirmation (peers, message);
  bd_limiter_record_peer (bd_dispatch_limiter (peers->dispatch), now_ms,
                          bd_chunk_hash (from), body.demands,
                          body.demand_count);
  handle_strikes (peers, now_ms, &body);
  for (size_t i = 0; i < body.member_count; i++)
    add_peer (peers, now_ms, &body.members[i]);
}

/* Reports some of the live members, in turn. */
static void
add_known_members (struct bd_peers *p, struct bd_gossip_body *body)
{
  size_t count = bd_membership_count (p->membership);

  for (size_t i = 0; i < count && i < MEMBERS_SCANNED_MAX
                     && body->member_count < BD_GOSSIP_MEMBERS_MAX / 4;
       i++)
    {
      const struct bd_member *m
          = bd_membership_at (p->membership, p->next_member_index++ % count);

      if (m->state == BD_MEMBER_LIVE)
        body->members[body->member_count++] = *m;
    }
}

static void
fill_message (struct bd_peers *p, struct bd_message *m)
{
  struct bd_config *config = bd_document_exchange_config (p->exchange);

  bd_buffer_reset (&p->body);
  bd_gossip_encode (&p->outgoing, &p->body);
  *m = (struct bd_message){
    .type = BD_MESSAGE_GOSSIP,
    .flags = p->leaving ? BD_FLAG_LEAVING : 0,
    .incarnation = p->incarnation,
    .address = bd_chunk_of (p->settings->peer_address),
    .zone = bd_chunk_of (p->settings->zone),
    .revision = bd_config_revision (config),
    .digest = bd_config_digest (config),
    .body = bd_buffer_chunk (&p->body),
    .sent_ms = bd_clock_ms (),
    .confirm_age_ms = bd_peers_confirmation_age_ms (p, bd_clock_ms ()),
  };
}

static void
send_to (struct bd_peers *p, struct bd_chunk peer, struct bd_message *m)
{
  const int64_t *clock = bd_map_get (p->peer_clocks, clock_key (peer), 0);

  m->echo_ms = clock ? *clock : 0;
  bd_link_send (p->link, peer, m);
}

static void
send_to_all (struct bd_peers *p, struct bd_message *m)
{
  for (size_t i = 0; i < bd_membership_count (p->membership); i++)
    {
      const struct bd_member *member = bd_membership_at (p->membership, i);

      if (!is_self (p, member->instance) && member->state != BD_MEMBER_GONE)
        send_to (p, member->instance, m);
    }
}

/* Sends to as many peers as it takes to reach each of them within
   PEER_INTERVAL_MS. */
static void
send_to_next_peers (struct bd_peers *p, struct bd_message *m)
{
  const struct bd_member *targets[TARGETS_PER_TICK_MAX];
  size_t count = bd_membership_count (p->membership);
  size_t target_count
      = (count * GOSSIP_INTERVAL_MS + PEER_INTERVAL_MS - 1) / PEER_INTERVAL_MS;

  if (target_count > TARGETS_PER_TICK_MAX)
    target_count = TARGETS_PER_TICK_MAX;
  target_count
      = bd_membership_pick_targets (p->membership, targets, target_count);
  for (size_t i = 0; i < target_count; i++)
    send_to (p, targets[i]->instance, m);
}

static void
collect_gossip (struct bd_peers *p, int64_t now_ms)
{
  struct bd_gossip_body *outgoing = &p->outgoing;

  outgoing->member_count = 0;
  outgoing->demand_count
      = bd_limiter_collect_demands (bd_dispatch_limiter (p->dispatch), now_ms,
                                    outgoing->demands, BD_GOSSIP_DEMANDS_MAX);
  outgoing->strike_count
      = bd_suspects_next_gossip (bd_dispatch_suspects (p->dispatch), now_ms,
                                 outgoing->strikes, BD_GOSSIP_STRIKES_MAX);
  add_known_members (p, outgoing);
}

void
bd_peers_announce (struct bd_peers *peers, int64_t now_ms)
{
  struct bd_message m;

  collect_gossip (peers, now_ms);
  fill_message (peers, &m);
  send_to_all (peers, &m);
}

void
bd_peers_tick (struct bd_peers *peers, int64_t now_ms)
{
  struct bd_message m;

  if (now_ms - peers->last_gossip_ms < GOSSIP_INTERVAL_MS)
    return;
  peers->last_gossip_ms = now_ms;
  bd_membership_tick (peers->membership, now_ms);
  collect_gossip (peers, now_ms);
  fill_message (peers, &m);
  if (peers->outgoing.demand_count + peers->outgoing.strike_count > 0)
    send_to_all (peers, &m);
  else
    send_to_next_peers (peers, &m);
}

void
bd_peers_leave (struct bd_peers *peers, int64_t now_ms)
{
  peers->leaving = true;
  bd_membership_mark_leaving (peers->membership, now_ms,
                              bd_chunk_of (peers->settings->instance));
  bd_peers_announce (peers, now_ms);
}

void
bd_peers_update_listed (struct bd_peers *peers, int64_t now_ms,
                        struct bd_chunk instance, bool leaving)
{
  bd_membership_set_listed_leaving (peers->membership, now_ms, instance,
                                    leaving);
}

bool
bd_peers_is_watcher (const struct bd_peers *peers)
{
  return bd_membership_is_elected (peers->membership, BD_CHUNK ("platform"),
                                   WATCHERS_PER_ZONE);
}

const struct bd_membership *
bd_peers_membership (const struct bd_peers *p)
{
  return p->membership;
}
