#include "gateway/mesh.h"

#include "common/clock.h"
#include "common/log.h"
#include "gateway/strike_queue.h"
#include "gateway/rank.h"
#include "gateway/beacon_contents.h"
#include "gateway/peer_table.h"

#include <stdlib.h>
#include <string.h>

/* Interval between rounds, and between two datagrams to the same peer. */
#define ROUND_INTERVAL_MS 500
/* Peers that get a datagram in one round; further ones wait their turn. */
#define FANOUT 32
/* Silence after which a peer counts as lost: the longer of both.
   SILENCE_ROUNDS matters when peers get their datagrams in turn. */
#define SILENCE_MIN_MS 3000
#define SILENCE_ROUNDS 4
/* After this fraction of the silence above a peer may have missed gossip;
   after REMOVE_SILENCES times the silence the peer is removed. */
#define MISSED_DIVISOR 2
#define REMOVE_SILENCES 5
/* Interval at which seeds and peers not seen yet are contacted: at startup and
   later. */
#define INTRO_FAST_MS 100
#define INTRO_INTERVAL_MS 1000
#define STARTUP_MS 3000
/* How long an instance that stood still counts as joining. */
#define REJOIN_MS 3000
/* Peer addresses per datagram; they rotate, so all are known in seconds. */
#define ADDRESSES_PER_ROUND BD_BEACON_ADDRESSES_WITH_LIMITS
/* Loads are sent in one of this many rounds: they only matter while there is
   no common coordinator. */
#define ROUNDS_PER_LOADS 4
/* Most further datagrams in a round or to a new peer, with strikes alone: all
   requests that were waiting at a crashed runner are suspected. */
#define EXTRA_DATAGRAMS_MAX 4

struct bd_mesh
{
  struct bd_mesh_options options;
  const struct bd_mesh_handler *handler;
  void *context;
  uv_udp_t socket;
  uint64_t incarnation;
  uint32_t *seeds;
  struct bd_peer_table table;
  uint32_t instance_count;
  size_t next_peer; /* First peer of the next round. */
  struct bd_peer_status status;
  int64_t last_round_ms;
  int64_t last_intro_ms;
  int64_t started_ms;      /* Time of the first tick; 0: none yet. */
  int64_t last_tick_ms;    /* 0: none yet. */
  int64_t rejoin_until_ms; /* The instance stood still shortly before. */
  uint32_t round;
  struct bd_strike_queue strikes;
  size_t strike_cursor; /* Next known strike to send again. */
  size_t part_cursor;   /* Next part whose crashes are sent again. */
  char receive_buffer[BD_BEACON_MAX_BYTES * 2];
};

/* Returns how long a peer may be silent before it counts as lost. */
static int64_t
silence_ms (const struct bd_mesh *mesh)
{
  int64_t rounds = (int64_t)(mesh->table.count / FANOUT) + 1;
  int64_t ms = rounds * ROUND_INTERVAL_MS * SILENCE_ROUNDS;

  return ms > SILENCE_MIN_MS ? ms : SILENCE_MIN_MS;
}

static bool
is_live (const struct bd_mesh *mesh, const struct bd_peer *peer,
         int64_t now_ms)
{
  return peer->seen && now_ms - peer->last_seen_ms <= silence_ms (mesh);
}

static void
update_liveness (struct bd_mesh *mesh, int64_t now_ms)
{
  uint32_t count = 1;
  int64_t oldest_ms = now_ms;

  for (size_t i = 0; i < mesh->table.count; i++)
    {
      struct bd_peer *peer = mesh->table.peers[i];
      bool live = is_live (mesh, peer, now_ms);

      count += live;
      if (live && peer->last_seen_ms < oldest_ms)
        oldest_ms = peer->last_seen_ms;
      if (peer->was_live && !live && mesh->handler->on_peer_lost)
        mesh->handler->on_peer_lost (mesh->context, peer->ip, !peer->left);
      peer->was_live = live;
    }
  bd_stats_set (mesh->options.stats, BD_GAUGE_PEERS, count - 1);
  bd_stats_set (mesh->options.stats, BD_GAUGE_PEER_AGE_MS, now_ms - oldest_ms);
  if (count == mesh->instance_count)
    return;
  mesh->instance_count = count;
  bd_log (BD_EVENT_RETRIES_SHARED, "members=%u", count);
  mesh->handler->on_instance_count (mesh->context, count);
}

/* Sums the peers' loads at each runner. */
static void
sum_loads (struct bd_mesh *mesh, int64_t now_ms)
{
  bd_beacon_reset_loads (mesh->options.targets);
  for (size_t p = 0; p < mesh->table.count; p++)
    if (is_live (mesh, mesh->table.peers[p], now_ms))
      bd_beacon_apply_loads (mesh->options.targets,
                             mesh->table.peers[p]->loads,
                             mesh->table.peers[p]->load_count);
}

/* Adds up to MAX addresses of live peers, starting at another each round. */
static void
add_addresses (const struct bd_mesh *mesh, struct bd_beacon *beacon,
               size_t max, int64_t now_ms)
{
  for (size_t i = 0; i < mesh->table.count && beacon->address_count < max; i++)
    {
      size_t at = ((size_t)mesh->round * ADDRESSES_PER_ROUND + i)
                  % mesh->table.count;

      if (is_live (mesh, mesh->table.peers[at], now_ms))
        beacon->addresses[beacon->address_count++] = mesh->table.peers[at]->ip;
    }
}

static void
init_beacon (const struct bd_mesh *mesh, struct bd_beacon *beacon)
{
  memset (beacon, 0, sizeof *beacon);
  beacon->ip = mesh->options.ip;
  beacon->incarnation = mesh->incarnation;
  beacon->status = mesh->status;
}

/* Builds the beacon of this instance; FULL is for peers that may know little.
   Returns the number of new strikes in it. */
static size_t
build_beacon (struct bd_mesh *mesh, struct bd_beacon *beacon, bool full,
              int64_t now_ms)
{
  init_beacon (mesh, beacon);
  add_addresses (mesh, beacon,
                 full ? BD_BEACON_ADDRESSES_MAX : ADDRESSES_PER_ROUND, now_ms);
  if (full || mesh->round % ROUNDS_PER_LOADS == 0)
    bd_beacon_add_loads (mesh->options.targets, beacon, now_ms);
  bd_beacon_add_leaving (mesh->options.targets, beacon, now_ms);
  if (!full)
    bd_beacon_add_limits (mesh->options.targets, beacon, mesh->round, now_ms);
  return bd_beacon_add_strikes (beacon, &mesh->strikes, mesh->options.suspects,
                                &mesh->strike_cursor, now_ms);
}

static void
send_to (struct bd_mesh *mesh, uint32_t ip, struct bd_chunk out)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (mesh->options.port) };
  uv_buf_t buffer = uv_buf_init ((char *)out.data, (unsigned)out.length);

  address.sin_addr.s_addr = ip;
  /* Datagrams can get lost anyway; the next one repeats the content. */
  if (uv_udp_try_send (&mesh->socket, &buffer, 1,
                       (const struct sockaddr *)&address)
      < 0)
    return;
  bd_stats_count (mesh->options.stats, BD_STAT_PEER_SENT, 1);
  bd_stats_count (mesh->options.stats, BD_STAT_PEER_SENT_BYTES, out.length);
}

/* Serializes BEACON.  Returns false if that fails or the result is too large.
   The caller clears OUT in either case. */
static bool
write_beacon (const struct bd_beacon *beacon, struct bd_buffer *out)
{
  if (bd_beacon_write (beacon, out) == BD_OK
      && out->length <= BD_BEACON_MAX_BYTES)
    return true;
  bd_log (BD_EVENT_PROTOCOL_ERROR, "source=self bytes=%zu", out->length);
  return false;
}

/* Sends BEACON to the next DUE peers. */
static void
send_to_due (struct bd_mesh *mesh, const struct bd_beacon *beacon, size_t due)
{
  struct bd_buffer out = { 0 };

  if (write_beacon (beacon, &out))
    for (size_t i = 0; i < due; i++)
      send_to (
          mesh,
          mesh->table.peers[(mesh->next_peer + i) % mesh->table.count]->ip,
          bd_buffer_chunk (&out));
  bd_buffer_clear (&out);
}

/* Returns the number of peers that are sent the same datagram. */
static size_t
fanout (const struct bd_mesh *mesh)
{
  return mesh->table.count < FANOUT ? mesh->table.count : FANOUT;
}

/* Sends the new strikes from index FROM on before the next round, because this
   process may not live until then. */
static void
send_new_strikes (struct bd_mesh *mesh, size_t from, int64_t now_ms)
{
  struct bd_beacon beacon;

  if (from == mesh->strikes.count || mesh->table.count == 0)
    return;
  init_beacon (mesh, &beacon);
  bd_strike_queue_add_to (&mesh->strikes, from, &beacon, now_ms,
                          BD_BEACON_STRIKES_MAX);
  send_to_due (mesh, &beacon, fanout (mesh));
}

/* Sends what is new about parts of prompts and, once a round, some of what is
   known, because a peer may have been unreachable when it was new. */
static void
send_parts (struct bd_mesh *mesh, bool round, int64_t now_ms)
{
  struct bd_beacon beacon;

  if (mesh->table.count == 0)
    return;
  init_beacon (mesh, &beacon);
  bd_beacon_add_parts (&beacon, mesh->options.breakers,
                       round ? &mesh->part_cursor : NULL, now_ms);
  if (beacon.part_count > 0)
    send_to_due (mesh, &beacon, fanout (mesh));
}

void
bd_mesh_tell_crashes (struct bd_mesh *mesh, int64_t now_ms)
{
  size_t sent = mesh->strikes.count;

  bd_strike_queue_collect (&mesh->strikes, mesh->options.suspects, now_ms);
  send_parts (mesh, false, now_ms);
  send_new_strikes (mesh, sent, now_ms);
}

/* Sends a round of gossip, to all peers if LEAVING.  Returns the number of new
   strikes that were sent. */
static size_t
send_round (struct bd_mesh *mesh, bool leaving, int64_t now_ms)
{
  struct bd_beacon beacon;
  size_t due = leaving ? mesh->table.count : fanout (mesh);
  size_t sent = build_beacon (mesh, &beacon, false, now_ms);

  if (leaving)
    beacon.status.state = BD_PEER_UNABLE;
  beacon.leaving = leaving;
  send_to_due (mesh, &beacon, due);
  for (int i = 0; i < EXTRA_DATAGRAMS_MAX && sent < mesh->strikes.count; i++)
    {
      bd_beacon_strip (&beacon);
      sent = bd_strike_queue_add_to (&mesh->strikes, sent, &beacon, now_ms,
                                     BD_BEACON_STRIKES_MAX);
      send_to_due (mesh, &beacon, due);
    }
  if (mesh->table.count > 0)
    mesh->next_peer = (mesh->next_peer + due) % mesh->table.count;
  mesh->round++;
  return sent;
}

static void
send_beacon (struct bd_mesh *mesh, uint32_t ip, const struct bd_beacon *beacon)
{
  struct bd_buffer out = { 0 };

  if (write_beacon (beacon, &out))
    send_to (mesh, ip, bd_buffer_chunk (&out));
  bd_buffer_clear (&out);
}

/* Sends a full beacon to unknown seeds and to peers not seen yet. */
static void
introduce (struct bd_mesh *mesh, int64_t now_ms)
{
  struct bd_beacon beacon;
  size_t introduced = 0;

  build_beacon (mesh, &beacon, true, now_ms);
  for (size_t i = 0; i < mesh->options.seed_count; i++)
    if (mesh->seeds[i] != mesh->options.ip
        && !bd_peer_table_find (&mesh->table, mesh->seeds[i]))
      send_beacon (mesh, mesh->seeds[i], &beacon);
  for (size_t i = 0; i < mesh->table.count && introduced < FANOUT; i++)
    if (!mesh->table.peers[i]->seen)
      {
        send_beacon (mesh, mesh->table.peers[i]->ip, &beacon);
        introduced++;
      }
}

/* Sends a full beacon at once to a peer that is new here or missed some. */
static void
reply_with_beacon (struct bd_mesh *mesh, uint32_t ip, int64_t now_ms)
{
  struct bd_beacon beacon;
  size_t from = 0;

  build_beacon (mesh, &beacon, true, now_ms);
  send_beacon (mesh, ip, &beacon);
  bd_beacon_strip (&beacon);
  for (int i = 0; i < EXTRA_DATAGRAMS_MAX; i++)
    {
      beacon.strike_count
          = bd_suspects_list_all (mesh->options.suspects, now_ms, &from,
                                  beacon.strikes, BD_BEACON_STRIKES_MAX);
      if (beacon.strike_count > 0)
        send_beacon (mesh, ip, &beacon);
    }
  from = 0;
  bd_beacon_strip (&beacon);
  for (int i = 0; i < EXTRA_DATAGRAMS_MAX && (i == 0 || from != 0); i++)
    {
      beacon.part_count
          = bd_part_breakers_list (mesh->options.breakers, now_ms, &from,
                                   beacon.parts, BD_BEACON_PARTS_MAX);
      if (beacon.part_count > 0)
        send_beacon (mesh, ip, &beacon);
    }
}

/* Updates PEER, which sent BEACON; a new incarnation shows a restart. */
static void
update_peer (struct bd_mesh *mesh, struct bd_peer *peer,
             const struct bd_beacon *beacon, int64_t now_ms)
{
  bool restarted = peer->seen && peer->incarnation != beacon->incarnation;
  bool is_new = !peer->seen || restarted;
  bool missed
      = peer->seen
        && now_ms - peer->last_seen_ms > silence_ms (mesh) / MISSED_DIVISOR;

  if (is_new)
    bd_log (BD_EVENT_MEMBER_LIVE, "ip=%08x incarnation=%llu", ntohl (peer->ip),
            (unsigned long long)beacon->incarnation);
  if (restarted && mesh->handler->on_peer_lost)
    mesh->handler->on_peer_lost (mesh->context, peer->ip, false);
  peer->seen = true;
  peer->left = beacon->leaving;
  peer->incarnation = beacon->incarnation;
  peer->last_seen_ms
      = beacon->leaving ? now_ms - silence_ms (mesh) - 1 : now_ms;
  if ((is_new || missed) && !beacon->leaving)
    reply_with_beacon (mesh, peer->ip, now_ms);
}

static void
apply_beacon (struct bd_mesh *mesh, struct bd_peer *peer,
              const struct bd_beacon *beacon, int64_t now_ms)
{
  update_peer (mesh, peer, beacon, now_ms);
  peer->status = beacon->status;
  for (size_t i = 0; i < beacon->address_count; i++)
    bd_peer_table_get (&mesh->table, beacon->addresses[i]);
  if (beacon->has_loads)
    {
      peer->load_count = beacon->load_count;
      memcpy (peer->loads, beacon->loads, sizeof peer->loads);
    }
  bd_beacon_apply_strikes (mesh->options.suspects, beacon, now_ms);
  bd_beacon_apply_parts (mesh->options.breakers, beacon, now_ms);
  bd_beacon_apply_leaving (mesh->options.targets, beacon, now_ms);
  bd_beacon_apply_limits (mesh->options.targets, beacon, now_ms);
  if (beacon->status.version > mesh->status.version && !beacon->leaving)
    mesh->handler->on_newer_configuration (mesh->context, peer->ip,
                                           beacon->status.version);
}

static void
handle_beacon (struct bd_mesh *mesh, struct bd_chunk bytes, uint32_t from)
{
  struct bd_beacon beacon;
  struct bd_peer *peer = NULL;
  bool rejected = bd_beacon_read (bytes, &beacon) != BD_OK || beacon.ip != from
                  || beacon.ip == mesh->options.ip;

  bd_stats_count (mesh->options.stats,
                  rejected ? BD_STAT_PEER_REFUSED : BD_STAT_PEER_RECEIVED, 1);
  if (!rejected)
    peer = bd_peer_table_get (&mesh->table, beacon.ip);
  if (peer)
    apply_beacon (mesh, peer, &beacon, bd_clock_boot_ms ());
}

static void
handle_message (struct bd_mesh *mesh, struct bd_chunk bytes, uint32_t ip)
{
  struct bd_coordination_message message;
  bool rejected = bd_coordination_read (bytes, &message) != BD_OK;

  bd_stats_count (mesh->options.stats,
                  rejected ? BD_STAT_PEER_REFUSED : BD_STAT_PEER_RECEIVED, 1);
  if (!rejected && mesh->handler->on_message)
    mesh->handler->on_message (mesh->context, ip, &message);
}

static void
on_allocate (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  struct bd_mesh *mesh = handle->data;

  (void)suggested;
  *buffer = uv_buf_init (mesh->receive_buffer, sizeof mesh->receive_buffer);
}

static void
on_receive (uv_udp_t *socket, ssize_t length, const uv_buf_t *buffer,
            const struct sockaddr *from, unsigned flags)
{
  struct bd_mesh *mesh = socket->data;
  struct bd_chunk bytes = { buffer->base, length > 0 ? (size_t)length : 0 };
  uint32_t ip;

  (void)flags;
  if (length <= 0 || !from)
    return;
  ip = ((const struct sockaddr_in *)from)->sin_addr.s_addr;
  if (bd_coordination_is_message (bytes))
    handle_message (mesh, bytes, ip);
  else
    handle_beacon (mesh, bytes, ip);
}

int
bd_mesh_create (const struct bd_mesh_options *options,
                const struct bd_mesh_handler *handler, void *context,
                struct bd_mesh **out)
{
  struct bd_mesh *mesh = calloc (1, sizeof *mesh);
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (options->port) };

  if (!mesh)
    return BD_ERR_NOMEM;
  mesh->options = *options;
  mesh->table.own_ip = options->ip;
  mesh->handler = handler;
  mesh->context = context;
  mesh->incarnation = bd_id_random ().low;
  mesh->seeds = calloc (options->seed_count + 1, sizeof (uint32_t));
  if (!mesh->seeds)
    {
      free (mesh);
      return BD_ERR_NOMEM;
    }
  memcpy (mesh->seeds, options->seeds,
          options->seed_count * sizeof (uint32_t));
  address.sin_addr.s_addr = options->ip;
  uv_udp_init (options->loop, &mesh->socket);
  mesh->socket.data = mesh;
  if (uv_udp_bind (&mesh->socket, (const struct sockaddr *)&address, 0) != 0
      || uv_udp_recv_start (&mesh->socket, on_allocate, on_receive) != 0)
    {
      free (mesh->seeds);
      free (mesh);
      return BD_ERR_IO;
    }
  *out = mesh;
  return BD_OK;
}

void
bd_mesh_set_status (struct bd_mesh *mesh, const struct bd_peer_status *status)
{
  enum bd_peer_state before = mesh->status.state;

  mesh->status = *status;
  if (mesh->status.state == BD_PEER_FRESH
      && mesh->last_tick_ms < mesh->rejoin_until_ms)
    mesh->status.state = BD_PEER_JOINING;
  /* Peers rely on the state, so a change is sent at the next tick. */
  if (mesh->status.state != before)
    mesh->last_round_ms = 0;
}

void
bd_mesh_send (struct bd_mesh *mesh, uint32_t ip,
              const struct bd_coordination_message *message)
{
  struct bd_buffer out = { 0 };

  if (bd_coordination_write (message, &out) == BD_OK)
    send_to (mesh, ip, bd_buffer_chunk (&out));
  else
    bd_log (BD_EVENT_PROTOCOL_ERROR, "source=self kind=%d", message->kind);
  bd_buffer_clear (&out);
}

size_t
bd_mesh_rank (const struct bd_mesh *mesh, uint64_t key, int64_t now_ms,
              bool include_joining, uint32_t *ips, size_t max)
{
  struct bd_rank_entry all[BD_MESH_PEERS_MAX + 1];
  size_t count = 0;

  all[count++] = (struct bd_rank_entry){ mesh->options.ip, mesh->status };
  for (size_t i = 0; i < mesh->table.count; i++)
    if (is_live (mesh, mesh->table.peers[i], now_ms))
      all[count++] = (struct bd_rank_entry){ mesh->table.peers[i]->ip,
                                             mesh->table.peers[i]->status };
  for (size_t i = 0; i < count && include_joining; i++)
    if (all[i].status.state == BD_PEER_JOINING)
      all[i].status.state = BD_PEER_FRESH;
  return bd_rank (all, count, key, ips, max);
}

static void
remove_silent (struct bd_mesh *mesh, int64_t now_ms)
{
  bd_peer_table_remove_silent (&mesh->table, now_ms, silence_ms (mesh),
                               silence_ms (mesh) * REMOVE_SILENCES);
  mesh->next_peer
      = mesh->table.count > 0 ? mesh->next_peer % mesh->table.count : 0;
}

/* An instance that stood still for so long that peers took it for lost has
   missed what they told others meanwhile.  It joins anew, so that it is not
   asked for placements before it has heard of them. */
static void
note_standstill (struct bd_mesh *mesh, int64_t now_ms)
{
  int64_t last_ms = mesh->last_tick_ms;
  struct bd_peer_status status = mesh->status;

  mesh->last_tick_ms = now_ms;
  if (last_ms == 0 || now_ms - last_ms <= silence_ms (mesh))
    return;
  mesh->rejoin_until_ms = now_ms + REJOIN_MS;
  bd_mesh_set_status (mesh, &status);
}

void
bd_mesh_tick (struct bd_mesh *mesh, int64_t now_ms)
{
  size_t sent;

  note_standstill (mesh, now_ms);
  if (mesh->started_ms == 0)
    mesh->started_ms = now_ms;
  if (now_ms - mesh->last_intro_ms >= (now_ms - mesh->started_ms < STARTUP_MS
                                           ? INTRO_FAST_MS
                                           : INTRO_INTERVAL_MS))
    {
      mesh->last_intro_ms = now_ms;
      introduce (mesh, now_ms);
      update_liveness (mesh, now_ms);
    }
  if (now_ms - mesh->last_round_ms < ROUND_INTERVAL_MS)
    {
      bd_mesh_tell_crashes (mesh, now_ms);
      return;
    }
  mesh->last_round_ms = now_ms;
  bd_strike_queue_collect (&mesh->strikes, mesh->options.suspects, now_ms);
  send_parts (mesh, true, now_ms);
  sent = send_round (mesh, false, now_ms);
  if (mesh->instance_count > 1)
    bd_strike_queue_mark_sent (&mesh->strikes, sent);
  remove_silent (mesh, now_ms);
  update_liveness (mesh, now_ms);
  sum_loads (mesh, now_ms);
}

void
bd_mesh_leave (struct bd_mesh *mesh)
{
  send_round (mesh, true, bd_clock_boot_ms ());
}
