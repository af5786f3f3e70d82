#include "gateway/mesh.h"

#include "common/clock.h"
#include "common/log.h"
#include "gateway/outgoing.h"
#include "gateway/rank.h"
#include "gateway/telling.h"
#include "wire/pack.h"

#include <stdlib.h>
#include <string.h>

/* Interval between two datagrams to the same peer, and of rounds. */
#define SEND_EVERY_MS 500
/* Peers that get a datagram in one round; with more peers, rounds take them in
   turn. */
#define PEERS_PER_TURN 32
/* A peer that is silent for longer than this counts as lost; the time is
   extended when peers get their datagrams in turn. */
#define SILENCE_LEAST_MS 3000
#define SILENCE_TURNS 4
/* After the time to loss divided by this, a peer may have missed gossip. */
#define MISSED_PART 2
/* A peer that is silent for this many times the time to loss is removed. */
#define FORGET_SILENCES 5
/* Interval at which seeds and peers are contacted that have not sent anything,
   in the first time of a process, and later. */
#define GREET_FAST_MS 100
#define GREET_EVERY_MS 1000
#define MEETING_MS 3000
/* Peer addresses in a datagram of a round; others each time, so that all peers
   learn of each other within seconds. */
#define NAMED_EACH_TURN 4
/* Loads are sent in one of this many rounds: they only matter while there is
   no common coordinator. */
#define LOADS_EACH_TURNS 4
/* Most further datagrams in a round, with strikes alone: all requests that
   were waiting at a crashed runner are suspected. */
#define STRIKES_MORE_MAX 4

struct peer
{
  uint32_t ip;
  uint64_t incarnation;
  bool heard; /* A message came from the peer itself; false: its address is
                 only known from others. */
  int64_t heard_ms; /* Time of the last message; 0: never. */
  bool counted;     /* Live at the last count. */
  bool left;        /* The peer announced its shutdown. */
  struct bd_peer_facts facts;
  size_t load_count;
  struct bd_news_load loads[BD_NEWS_LOADS_MAX];
};

struct bd_mesh
{
  struct bd_mesh_options options;
  const struct bd_mesh_handler *handler;
  void *context;
  uv_udp_t socket;
  uint64_t incarnation;
  uint32_t *seeds;
  struct peer **all;
  size_t count;
  uint32_t members;
  size_t next_peer; /* First peer of the next round. */
  struct bd_peer_facts own;
  int64_t sent_ms;
  int64_t greeted_ms;
  int64_t born_ms; /* Time of the first tick; 0: none yet. */
  uint32_t turn;
  struct bd_outgoing strikes;
  size_t known_at; /* Position of the next known strike to send again. */
  char received[BD_NEWS_MAX_BYTES * 2];
};

/* Returns how long a peer may be silent before it counts as lost. */
static int64_t
silence_ms (const struct bd_mesh *mesh)
{
  int64_t turns = (int64_t)(mesh->count / PEERS_PER_TURN) + 1;
  int64_t ms = turns * SEND_EVERY_MS * SILENCE_TURNS;

  return ms > SILENCE_LEAST_MS ? ms : SILENCE_LEAST_MS;
}

static bool
is_live (const struct bd_mesh *mesh, const struct peer *peer, int64_t now_ms)
{
  return peer->heard && now_ms - peer->heard_ms <= silence_ms (mesh);
}

static struct peer *
find (struct bd_mesh *mesh, uint32_t ip)
{
  for (size_t i = 0; i < mesh->count; i++)
    if (mesh->all[i]->ip == ip)
      return mesh->all[i];
  return NULL;
}

static struct peer *
need (struct bd_mesh *mesh, uint32_t ip)
{
  struct peer *peer = find (mesh, ip);
  struct peer **all;

  if (peer || ip == mesh->options.ip || mesh->count == BD_MESH_PEERS_MAX)
    return peer;
  all = realloc (mesh->all, (mesh->count + 1) * sizeof (struct peer *));
  if (!all)
    return NULL;
  mesh->all = all;
  peer = calloc (1, sizeof *peer);
  if (!peer)
    return NULL;
  peer->ip = ip;
  mesh->all[mesh->count++] = peer;
  return peer;
}

static void
count_members (struct bd_mesh *mesh, int64_t now_ms)
{
  uint32_t members = 1;
  int64_t oldest_ms = now_ms;

  for (size_t i = 0; i < mesh->count; i++)
    {
      struct peer *peer = mesh->all[i];
      bool live = is_live (mesh, peer, now_ms);

      members += live;
      if (live && peer->heard_ms < oldest_ms)
        oldest_ms = peer->heard_ms;
      if (peer->counted && !live && mesh->handler->on_gone)
        mesh->handler->on_gone (mesh->context, peer->ip, !peer->left);
      peer->counted = live;
    }
  bd_stats_set (mesh->options.stats, BD_GAUGE_PEERS, members - 1);
  bd_stats_set (mesh->options.stats, BD_GAUGE_PEER_AGE_MS, now_ms - oldest_ms);
  if (members == mesh->members)
    return;
  mesh->members = members;
  bd_log (BD_EVENT_RETRIES_SHARED, "members=%u", members);
  mesh->handler->on_members (mesh->context, members);
}

/* Loads. */

/* Sums the peers' loads at each runner. */
static void
sum_loads (struct bd_mesh *mesh, int64_t now_ms)
{
  bd_forget_loads (mesh->options.targets);
  for (size_t p = 0; p < mesh->count; p++)
    if (is_live (mesh, mesh->all[p], now_ms))
      bd_add_loads (mesh->options.targets, mesh->all[p]->loads,
                    mesh->all[p]->load_count);
}

/* Datagrams. */

/* Adds addresses of live peers until there are MOST; others each round. */
static void
tell_names (const struct bd_mesh *mesh, struct bd_news *news, size_t most,
            int64_t now_ms)
{
  for (size_t i = 0; i < mesh->count && news->name_count < most; i++)
    {
      size_t at = ((size_t)mesh->turn * NAMED_EACH_TURN + i) % mesh->count;

      if (is_live (mesh, mesh->all[at], now_ms))
        news->names[news->name_count++] = mesh->all[at]->ip;
    }
}

/* Adds new strikes, and in turn those of requests that are refused, because a
   peer may have been unreachable when they were new.  Returns the number of
   new strikes. */
static size_t
tell_strikes (struct bd_mesh *mesh, struct bd_news *news, int64_t now_ms)
{
  size_t most = BD_NEWS_STRIKES_BESIDE_LOADS;
  size_t fresh
      = bd_outgoing_tell (&mesh->strikes, 0, news, now_ms,
                          news->loads_told ? most : BD_NEWS_STRIKES_MAX);

  if (news->strike_count < most)
    news->strike_count += bd_suspects_known (
        mesh->options.suspects, now_ms, true, &mesh->known_at,
        &news->strikes[news->strike_count], most - news->strike_count);
  return fresh;
}

static void
identify (const struct bd_mesh *mesh, struct bd_news *news)
{
  memset (news, 0, sizeof *news);
  news->ip = mesh->options.ip;
  news->incarnation = mesh->incarnation;
  news->facts = mesh->own;
}

/* Builds the gossip of this instance; FULL is for peers that may know little.
   Returns the number of new strikes in it. */
static size_t
gather (struct bd_mesh *mesh, struct bd_news *news, bool full, int64_t now_ms)
{
  identify (mesh, news);
  tell_names (mesh, news, full ? BD_NEWS_NAMES_MAX : NAMED_EACH_TURN, now_ms);
  if (full || mesh->turn % LOADS_EACH_TURNS == 0)
    bd_tell_loads (mesh->options.targets, news, now_ms);
  bd_tell_leaving (mesh->options.targets, news, now_ms);
  return tell_strikes (mesh, news, now_ms);
}

static void
send_to (struct bd_mesh *mesh, uint32_t ip, struct bd_chunk out)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (mesh->options.port) };
  uv_buf_t buffer = uv_buf_init ((char *)out.data, (unsigned)out.length);

  address.sin_addr.s_addr = ip;
  /* A datagram can get lost anyway; the next one repeats its content. */
  if (uv_udp_try_send (&mesh->socket, &buffer, 1,
                       (const struct sockaddr *)&address)
      < 0)
    return;
  bd_stats_count (mesh->options.stats, BD_STAT_PEER_SENT, 1);
  bd_stats_count (mesh->options.stats, BD_STAT_PEER_SENT_BYTES, out.length);
}

/* Serializes NEWS.  Returns false when that fails or the result is too large.
   The caller clears OUT in either case. */
static bool
write_news (const struct bd_news *news, struct bd_buffer *out)
{
  if (bd_news_write (news, out) == BD_OK && out->length <= BD_NEWS_MAX_BYTES)
    return true;
  bd_log (BD_EVENT_PROTOCOL_ERROR, "source=self bytes=%zu", out->length);
  return false;
}

/* Sends NEWS to the next DUE peers. */
static void
send_to_next (struct bd_mesh *mesh, const struct bd_news *news, size_t due)
{
  struct bd_buffer out = { 0 };

  if (write_news (news, &out))
    for (size_t i = 0; i < due; i++)
      send_to (mesh, mesh->all[(mesh->next_peer + i) % mesh->count]->ip,
               bd_buffer_chunk (&out));
  bd_buffer_clear (&out);
}

/* Sends the new strikes from index FROM on before the next round, because this
   process may not live until then. */
static void
tell_at_once (struct bd_mesh *mesh, size_t from, int64_t now_ms)
{
  struct bd_news news;

  if (from == mesh->strikes.count || mesh->count == 0)
    return;
  identify (mesh, &news);
  bd_outgoing_tell (&mesh->strikes, from, &news, now_ms, BD_NEWS_STRIKES_MAX);
  send_to_next (mesh, &news,
                mesh->count < PEERS_PER_TURN ? mesh->count : PEERS_PER_TURN);
}

/* Sends a round of gossip, to all peers if LEAVING.  Returns the number of new
   strikes that were sent. */
static size_t
send_to_all (struct bd_mesh *mesh, bool leaving, int64_t now_ms)
{
  struct bd_news news;
  size_t due
      = mesh->count < PEERS_PER_TURN || leaving ? mesh->count : PEERS_PER_TURN;
  size_t told = gather (mesh, &news, false, now_ms);

  if (leaving)
    news.facts.state = BD_PEER_UNABLE;
  news.leaving = leaving;
  send_to_next (mesh, &news, due);
  for (int i = 0; i < STRIKES_MORE_MAX && told < mesh->strikes.count; i++)
    {
      bd_news_strip (&news);
      told = bd_outgoing_tell (&mesh->strikes, told, &news, now_ms,
                               BD_NEWS_STRIKES_MAX);
      send_to_next (mesh, &news, due);
    }
  if (mesh->count > 0)
    mesh->next_peer = (mesh->next_peer + due) % mesh->count;
  mesh->turn++;
  return told;
}

/* Introduces this instance to seeds that are not known as peers, and to peers
   that have not sent anything. */
static void
greet (struct bd_mesh *mesh, int64_t now_ms)
{
  struct bd_buffer out = { 0 };
  struct bd_news news;
  size_t greeted = 0;

  gather (mesh, &news, true, now_ms);
  if (write_news (&news, &out))
    {
      for (size_t i = 0; i < mesh->options.seed_count; i++)
        if (mesh->seeds[i] != mesh->options.ip && !find (mesh, mesh->seeds[i]))
          send_to (mesh, mesh->seeds[i], bd_buffer_chunk (&out));
      for (size_t i = 0; i < mesh->count && greeted < PEERS_PER_TURN; i++)
        if (!mesh->all[i]->heard)
          {
            send_to (mesh, mesh->all[i]->ip, bd_buffer_chunk (&out));
            greeted++;
          }
    }
  bd_buffer_clear (&out);
}

static void
send_news (struct bd_mesh *mesh, uint32_t ip, const struct bd_news *news)
{
  struct bd_buffer out = { 0 };

  if (write_news (news, &out))
    send_to (mesh, ip, bd_buffer_chunk (&out));
  bd_buffer_clear (&out);
}

/* Sends full gossip to a peer that is new here or has missed gossip, so that
   it need not wait for its turn. */
static void
greet_back (struct bd_mesh *mesh, uint32_t ip, int64_t now_ms)
{
  struct bd_news news;
  size_t from = 0;

  gather (mesh, &news, true, now_ms);
  send_news (mesh, ip, &news);
  bd_news_strip (&news);
  news.strike_count
      = bd_suspects_known (mesh->options.suspects, now_ms, false, &from,
                           news.strikes, BD_NEWS_STRIKES_MAX);
  if (news.strike_count > 0)
    send_news (mesh, ip, &news);
}

/* Updates the liveness of PEER, which sent NEWS; a new incarnation means that
   its process was restarted. */
static void
note_life (struct bd_mesh *mesh, struct peer *peer, const struct bd_news *news,
           int64_t now_ms)
{
  bool restarted = peer->heard && peer->incarnation != news->incarnation;
  bool met = !peer->heard || restarted;
  bool missed = peer->heard
                && now_ms - peer->heard_ms > silence_ms (mesh) / MISSED_PART;

  if (met)
    bd_log (BD_EVENT_MEMBER_LIVE, "ip=%08x incarnation=%llu", ntohl (peer->ip),
            (unsigned long long)news->incarnation);
  if (restarted && mesh->handler->on_gone)
    mesh->handler->on_gone (mesh->context, peer->ip, false);
  peer->heard = true;
  peer->left = news->leaving;
  peer->incarnation = news->incarnation;
  peer->heard_ms = news->leaving ? now_ms - silence_ms (mesh) - 1 : now_ms;
  if ((met || missed) && !news->leaving)
    greet_back (mesh, peer->ip, now_ms);
}

static void
take_news (struct bd_mesh *mesh, struct peer *peer, const struct bd_news *news,
           int64_t now_ms)
{
  note_life (mesh, peer, news, now_ms);
  peer->facts = news->facts;
  for (size_t i = 0; i < news->name_count; i++)
    need (mesh, news->names[i]);
  if (news->loads_told)
    {
      peer->load_count = news->load_count;
      memcpy (peer->loads, news->loads, sizeof peer->loads);
    }
  bd_take_strikes (mesh->options.suspects, news, now_ms);
  bd_take_leaving (mesh->options.targets, news, now_ms);
  if (news->facts.configuration > mesh->own.configuration && !news->leaving)
    mesh->handler->on_newer (mesh->context, peer->ip,
                             news->facts.configuration);
}

static void
take_in (struct bd_mesh *mesh, struct bd_chunk bytes, uint32_t from)
{
  struct bd_news news;
  struct peer *peer = NULL;
  bool refused = bd_news_read (bytes, &news) != BD_OK || news.ip != from
                 || news.ip == mesh->options.ip;

  bd_stats_count (mesh->options.stats,
                  refused ? BD_STAT_PEER_REFUSED : BD_STAT_PEER_RECEIVED, 1);
  if (!refused)
    peer = need (mesh, news.ip);
  if (peer)
    take_news (mesh, peer, &news, bd_clock_boot_ms ());
}

/* Returns whether the datagram is a message about placements. */
static bool
is_message (struct bd_chunk bytes)
{
  struct bd_unpack u = { .rest = bytes };

  bd_unpack_array (&u);
  return bd_unpack_uint (&u) >= BD_PLACING_FORMAT && u.error == BD_OK;
}

static void
take_message (struct bd_mesh *mesh, struct bd_chunk bytes, uint32_t ip)
{
  struct bd_placing_message message;
  bool refused = bd_placing_read (bytes, &message) != BD_OK;

  bd_stats_count (mesh->options.stats,
                  refused ? BD_STAT_PEER_REFUSED : BD_STAT_PEER_RECEIVED, 1);
  if (!refused && mesh->handler->on_message)
    mesh->handler->on_message (mesh->context, ip, &message);
}

static void
on_allocate (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  struct bd_mesh *mesh = handle->data;

  (void)suggested;
  *buffer = uv_buf_init (mesh->received, sizeof mesh->received);
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
  if (is_message (bytes))
    take_message (mesh, bytes, ip);
  else
    take_in (mesh, bytes, ip);
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
bd_mesh_tell (struct bd_mesh *mesh, const struct bd_peer_facts *facts)
{
  /* Peers rely on the state, so a change is sent at the next tick. */
  if (facts->state != mesh->own.state)
    mesh->sent_ms = 0;
  mesh->own = *facts;
}

void
bd_mesh_send (struct bd_mesh *mesh, uint32_t ip,
              const struct bd_placing_message *message)
{
  struct bd_buffer out = { 0 };

  if (bd_placing_write (message, &out) == BD_OK)
    send_to (mesh, ip, bd_buffer_chunk (&out));
  else
    bd_log (BD_EVENT_PROTOCOL_ERROR, "source=self kind=%d", message->kind);
  bd_buffer_clear (&out);
}

size_t
bd_mesh_rank (const struct bd_mesh *mesh, uint64_t key, int64_t now_ms,
              bool coming, uint32_t *ips, size_t max)
{
  struct bd_ranked all[BD_MESH_PEERS_MAX + 1];
  size_t count = 0;

  all[count++] = (struct bd_ranked){ mesh->options.ip, mesh->own };
  for (size_t i = 0; i < mesh->count; i++)
    if (is_live (mesh, mesh->all[i], now_ms))
      all[count++]
          = (struct bd_ranked){ mesh->all[i]->ip, mesh->all[i]->facts };
  for (size_t i = 0; i < count && coming; i++)
    if (all[i].facts.state == BD_PEER_JOINING)
      all[i].facts.state = BD_PEER_FRESH;
  return bd_rank (all, count, key, ips, max);
}

/* Removes peers that have been silent for several times the time to loss. */
static void
forget_silent (struct bd_mesh *mesh, int64_t now_ms)
{
  size_t kept = 0;

  for (size_t i = 0; i < mesh->count; i++)
    {
      struct peer *peer = mesh->all[i];

      if (peer->heard_ms == 0)
        peer->heard_ms = now_ms - silence_ms (mesh) - 1;
      if (now_ms - peer->heard_ms > silence_ms (mesh) * FORGET_SILENCES)
        {
          bd_log (BD_EVENT_MEMBER_GONE, "ip=%08x silent_ms=%lld",
                  ntohl (peer->ip), (long long)(now_ms - peer->heard_ms));
          free (peer);
        }
      else
        mesh->all[kept++] = peer;
    }
  mesh->count = kept;
  mesh->next_peer = kept > 0 ? mesh->next_peer % kept : 0;
}

void
bd_mesh_tick (struct bd_mesh *mesh, int64_t now_ms)
{
  size_t told;

  if (mesh->born_ms == 0)
    mesh->born_ms = now_ms;
  if (now_ms - mesh->greeted_ms >= (now_ms - mesh->born_ms < MEETING_MS
                                        ? GREET_FAST_MS
                                        : GREET_EVERY_MS))
    {
      mesh->greeted_ms = now_ms;
      greet (mesh, now_ms);
      count_members (mesh, now_ms);
    }
  told = mesh->strikes.count;
  bd_outgoing_collect (&mesh->strikes, mesh->options.suspects, now_ms);
  if (now_ms - mesh->sent_ms < SEND_EVERY_MS)
    {
      tell_at_once (mesh, told, now_ms);
      return;
    }
  mesh->sent_ms = now_ms;
  told = send_to_all (mesh, false, now_ms);
  if (mesh->members > 1)
    bd_outgoing_sent (&mesh->strikes, told);
  forget_silent (mesh, now_ms);
  count_members (mesh, now_ms);
  sum_loads (mesh, now_ms);
}

void
bd_mesh_leave (struct bd_mesh *mesh)
{
  send_to_all (mesh, true, bd_clock_boot_ms ());
}
