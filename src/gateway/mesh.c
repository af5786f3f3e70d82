#include "gateway/mesh.h"

#include "common/clock.h"
#include "common/log.h"
#include "core/random.h"
#include "wire/pack.h"

#include <stdlib.h>
#include <string.h>

/* First value of each datagram, below those of placing.h; raised when the
   layout changes. */
#define FORMAT 3
/* Time between two datagrams to the same peer. */
#define SEND_EVERY_MS 500
/* Peers that get a datagram in one turn; with more, turns take them in order.
 */
#define PEERS_PER_TURN 32
/* A peer that was not heard for this long counts as gone; longer when peers
   get their datagrams in turns. */
#define SILENCE_LEAST_MS 3000
#define SILENCE_TURNS 4
/* Peers that were silent for so many times that are forgotten. */
#define FORGET_SILENCES 5
/* How often seeds and peers are tried that were not heard: in the first time
   of a process, and later. */
#define GREET_FAST_MS 100
#define GREET_EVERY_MS 1000
#define MEETING_MS 3000
/* Most peers named in a datagram. */
#define NAMED_MAX 40
/* Most runners whose load is in a datagram. */
#define LOADS_MAX 50
/* Strikes kept for sending, and how often each is sent: datagrams get lost. */
#define STRIKES_MAX 6
#define STRIKE_SENDS 5
/* The bounds above keep a datagram below this, and so in one packet. */
#define DATAGRAM_MAX_BYTES 1400
/* An instance is strong with at least this part of the most power. */
#define STRONG_PART 2
/* Loads are rounded down to this many tokens. */
#define TOKENS_PER_STEP 256

struct load
{
  uint32_t target; /* Low half of the runner's hash. */
  uint32_t in_flight;
  uint32_t token_steps;
  bool avoided;
};

/* A strike to be sent to peers. */
struct news
{
  struct bd_strike strike;
  int64_t taken_ms; /* Its age was right then. */
  uint32_t sends_left;
};

struct peer
{
  uint32_t ip;
  uint64_t incarnation;
  bool heard;       /* Not only named by others. */
  int64_t heard_ms; /* 0: never. */
  bool counted;     /* Among the members. */
  bool left;        /* It said that its process ends. */
  struct bd_peer_facts facts;
  size_t load_count;
  struct load loads[LOADS_MAX];
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
  size_t next_peer; /* Where the next turn begins. */
  struct bd_peer_facts own;
  int64_t sent_ms;
  int64_t greeted_ms;
  int64_t born_ms; /* Of the first tick; 0: none yet. */
  struct news news[STRIKES_MAX];
  size_t news_count;
  char received[DATAGRAM_MAX_BYTES * 2];
};

/* How long a live peer may be silent. */
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

  for (size_t i = 0; i < mesh->count; i++)
    {
      struct peer *peer = mesh->all[i];
      bool live = is_live (mesh, peer, now_ms);

      members += live;
      if (peer->counted && !live && mesh->handler->on_gone)
        mesh->handler->on_gone (mesh->context, peer->ip, !peer->left);
      peer->counted = live;
    }
  bd_stats_set (mesh->options.stats, BD_GAUGE_PEERS, members - 1);
  if (members == mesh->members)
    return;
  mesh->members = members;
  bd_log (BD_EVENT_RETRIES_SHARED, "members=%u", members);
  mesh->handler->on_members (mesh->context, members);
}

/* Loads. */

/* Sums what peers have in flight at each runner. */
static void
sum_loads (struct bd_mesh *mesh, int64_t now_ms)
{
  size_t count;
  struct bd_target *const *all
      = bd_targets_all (mesh->options.targets, &count);

  for (size_t i = 0; i < count; i++)
    {
      all[i]->peers_in_flight = 0;
      all[i]->peers_prefill_tokens = 0;
      all[i]->peers_avoiding = 0;
    }
  for (size_t p = 0; p < mesh->count; p++)
    {
      const struct peer *peer = mesh->all[p];

      if (!is_live (mesh, peer, now_ms))
        continue;
      for (size_t l = 0; l < peer->load_count; l++)
        for (size_t i = 0; i < count; i++)
          if ((uint32_t)all[i]->hash == peer->loads[l].target)
            {
              all[i]->peers_in_flight += peer->loads[l].in_flight;
              all[i]->peers_avoiding += peer->loads[l].avoided;
              all[i]->peers_prefill_tokens
                  += (uint64_t)peer->loads[l].token_steps * TOKENS_PER_STEP;
            }
    }
}

static bool
is_avoided (const struct bd_target *target, int64_t now_ms)
{
  return now_ms < target->record.avoid_until_ms;
}

static void
pack_loads (const struct bd_mesh *mesh, struct bd_pack *pack, int64_t now_ms)
{
  size_t count;
  size_t busy = 0;
  struct bd_target *const *all
      = bd_targets_all (mesh->options.targets, &count);

  for (size_t i = 0; i < count && busy < LOADS_MAX; i++)
    busy += all[i]->in_flight > 0 || is_avoided (all[i], now_ms);
  bd_pack_array (pack, (uint32_t)busy);
  for (size_t i = 0; i < count && busy > 0; i++)
    {
      if (all[i]->in_flight == 0 && !is_avoided (all[i], now_ms))
        continue;
      bd_pack_array (pack, 4);
      bd_pack_uint (pack, (uint32_t)all[i]->hash);
      bd_pack_uint (pack, all[i]->in_flight);
      bd_pack_uint (pack, all[i]->prefill_tokens / TOKENS_PER_STEP);
      bd_pack_uint (pack, is_avoided (all[i], now_ms));
      busy--;
    }
}

static void
read_loads (struct peer *peer, struct bd_unpack *u)
{
  uint32_t count = bd_unpack_array (u);

  peer->load_count = 0;
  for (uint32_t i = 0; i < count && u->error == BD_OK; i++)
    {
      struct load load;

      bd_unpack_array (u);
      load.target = (uint32_t)bd_unpack_uint (u);
      load.in_flight = (uint32_t)bd_unpack_uint (u);
      load.token_steps = (uint32_t)bd_unpack_uint (u);
      load.avoided = bd_unpack_uint (u) != 0;
      if (u->error == BD_OK && peer->load_count < LOADS_MAX)
        peer->loads[peer->load_count++] = load;
    }
}

/* Strikes. */

/* Takes in new strikes, in place of the oldest when there is no room. */
static void
collect_news (struct bd_mesh *mesh, int64_t now_ms)
{
  struct bd_strike fresh[STRIKES_MAX];
  size_t count
      = bd_suspects_news (mesh->options.suspects, now_ms, fresh, STRIKES_MAX);
  size_t over = mesh->news_count + count > STRIKES_MAX
                    ? mesh->news_count + count - STRIKES_MAX
                    : 0;

  mesh->news_count -= over;
  memmove (mesh->news, mesh->news + over,
           mesh->news_count * sizeof mesh->news[0]);
  for (size_t i = 0; i < count; i++)
    mesh->news[mesh->news_count++]
        = (struct news){ fresh[i], now_ms, STRIKE_SENDS };
}

/* The news were sent once, to somebody. */
static void
age_news (struct bd_mesh *mesh)
{
  size_t kept = 0;

  for (size_t i = 0; i < mesh->news_count; i++)
    if (--mesh->news[i].sends_left > 0)
      mesh->news[kept++] = mesh->news[i];
  mesh->news_count = kept;
}

static void
pack_strikes (const struct bd_mesh *mesh, struct bd_pack *pack, int64_t now_ms)
{
  bd_pack_array (pack, (uint32_t)mesh->news_count);
  for (size_t i = 0; i < mesh->news_count; i++)
    {
      const struct news *news = &mesh->news[i];

      bd_pack_array (pack, 5);
      bd_pack_uint (pack, news->strike.fingerprint);
      bd_pack_id (pack, news->strike.crash);
      bd_pack_uint (pack, news->strike.alone);
      bd_pack_uint (pack, news->strike.cleared);
      bd_pack_int (pack, news->strike.age_ms + (now_ms - news->taken_ms));
    }
}

static void
read_strikes (struct bd_mesh *mesh, struct bd_unpack *u, int64_t now_ms)
{
  uint32_t count = bd_unpack_array (u);

  for (uint32_t i = 0; i < count && u->error == BD_OK; i++)
    {
      struct bd_strike strike;

      bd_unpack_array (u);
      strike.fingerprint = bd_unpack_uint (u);
      strike.crash = bd_unpack_id (u);
      strike.alone = bd_unpack_uint (u) != 0;
      strike.cleared = bd_unpack_uint (u) != 0;
      strike.age_ms = bd_unpack_int (u);
      if (u->error == BD_OK)
        bd_suspects_strike (mesh->options.suspects, now_ms, &strike);
    }
}

/* Datagrams. */

static void
pack_names (const struct bd_mesh *mesh, struct bd_pack *pack, int64_t now_ms)
{
  uint32_t named = 0;
  size_t at = mesh->next_peer;

  for (size_t i = 0; i < mesh->count && named < NAMED_MAX; i++)
    named += is_live (mesh, mesh->all[i], now_ms);
  bd_pack_array (pack, named);
  /* Others each turn, so that everybody is named in time. */
  for (; named > 0; at++)
    {
      const struct peer *peer = mesh->all[at % mesh->count];

      if (!is_live (mesh, peer, now_ms))
        continue;
      bd_pack_uint (pack, peer->ip);
      named--;
    }
}

static void
read_names (struct bd_mesh *mesh, struct bd_unpack *u)
{
  uint32_t count = bd_unpack_array (u);

  for (uint32_t i = 0; i < count && u->error == BD_OK; i++)
    {
      uint32_t ip = (uint32_t)bd_unpack_uint (u);

      if (u->error == BD_OK)
        need (mesh, ip);
    }
}

static int
compose (struct bd_mesh *mesh, struct bd_buffer *out, bool leaving,
         int64_t now_ms)
{
  struct bd_pack pack = { .buffer = out };

  bd_pack_array (&pack, 10);
  bd_pack_uint (&pack, FORMAT);
  bd_pack_uint (&pack, mesh->options.ip);
  bd_pack_uint (&pack, mesh->incarnation);
  bd_pack_uint (&pack, leaving);
  bd_pack_uint (&pack, mesh->own.configuration);
  bd_pack_uint (&pack, leaving ? BD_PEER_UNABLE : mesh->own.state);
  bd_pack_uint (&pack, mesh->own.power);
  pack_names (mesh, &pack, now_ms);
  pack_loads (mesh, &pack, now_ms);
  pack_strikes (mesh, &pack, now_ms);
  return pack.error;
}

static void
send_to (struct bd_mesh *mesh, uint32_t ip, struct bd_chunk out)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (mesh->options.port) };
  uv_buf_t buffer = uv_buf_init ((char *)out.data, (unsigned)out.length);

  address.sin_addr.s_addr = ip;
  /* A datagram may be lost on its way too; the next one says the same. */
  if (uv_udp_try_send (&mesh->socket, &buffer, 1,
                       (const struct sockaddr *)&address)
      >= 0)
    bd_stats_count (mesh->options.stats, BD_STAT_PEER_SENT, 1);
}

/* Composes this instance's datagram.  Returns false when it is not fit to be
   sent; OUT is the caller's to clear. */
static bool
compose_news (struct bd_mesh *mesh, struct bd_buffer *out, bool leaving,
              int64_t now_ms)
{
  if (compose (mesh, out, leaving, now_ms) == BD_OK
      && out->length <= DATAGRAM_MAX_BYTES)
    return true;
  bd_log (BD_EVENT_PROTOCOL_ERROR, "source=self bytes=%zu", out->length);
  return false;
}

static void
send_to_all (struct bd_mesh *mesh, bool leaving, int64_t now_ms)
{
  struct bd_buffer out = { 0 };
  size_t due
      = mesh->count < PEERS_PER_TURN || leaving ? mesh->count : PEERS_PER_TURN;

  if (mesh->count > 0 && compose_news (mesh, &out, leaving, now_ms))
    {
      for (size_t i = 0; i < due; i++)
        send_to (mesh, mesh->all[(mesh->next_peer + i) % mesh->count]->ip,
                 bd_buffer_chunk (&out));
      mesh->next_peer = (mesh->next_peer + due) % mesh->count;
    }
  bd_buffer_clear (&out);
}

/* Sends to seeds that are not known as peers, and to peers that have only
   been named by others. */
static void
greet (struct bd_mesh *mesh, int64_t now_ms)
{
  struct bd_buffer out = { 0 };
  size_t greeted = 0;

  if (compose_news (mesh, &out, false, now_ms))
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

/* Answers a peer that is new here, so that it need not wait for its turn. */
static void
greet_back (struct bd_mesh *mesh, uint32_t ip, int64_t now_ms)
{
  struct bd_buffer out = { 0 };

  if (compose_news (mesh, &out, false, now_ms))
    send_to (mesh, ip, bd_buffer_chunk (&out));
  bd_buffer_clear (&out);
}

static void
read_facts (struct bd_unpack *u, struct bd_peer_facts *facts)
{
  uint64_t state;

  facts->configuration = bd_unpack_uint (u);
  state = bd_unpack_uint (u);
  facts->state
      = state <= BD_PEER_FRESH ? (enum bd_peer_state)state : BD_PEER_UNABLE;
  facts->power = (uint32_t)bd_unpack_uint (u);
}

/* A datagram came from PEER, of this life of its process. */
static void
note_life (struct bd_mesh *mesh, struct peer *peer, uint64_t incarnation,
           bool leaving, int64_t now_ms)
{
  bool restarted = peer->heard && peer->incarnation != incarnation;
  bool met = !peer->heard || restarted;

  if (met)
    bd_log (BD_EVENT_MEMBER_LIVE, "ip=%08x incarnation=%llu", ntohl (peer->ip),
            (unsigned long long)incarnation);
  if (restarted && mesh->handler->on_gone)
    mesh->handler->on_gone (mesh->context, peer->ip, false);
  peer->heard = true;
  peer->left = leaving;
  peer->incarnation = incarnation;
  peer->heard_ms = leaving ? now_ms - silence_ms (mesh) - 1 : now_ms;
  if (met && !leaving)
    greet_back (mesh, peer->ip, now_ms);
}

static void
take_in (struct bd_mesh *mesh, struct bd_chunk bytes, uint32_t from)
{
  struct bd_unpack u = { .rest = bytes };
  int64_t now_ms = bd_clock_boot_ms ();
  struct peer *peer;
  uint32_t ip;
  uint64_t incarnation;
  bool leaving;

  if (bd_unpack_array (&u) < 10 || bd_unpack_uint (&u) != FORMAT)
    u.error = BD_ERR_PROTOCOL;
  ip = (uint32_t)bd_unpack_uint (&u);
  incarnation = bd_unpack_uint (&u);
  leaving = bd_unpack_uint (&u) != 0;
  if (u.error != BD_OK || ip != from || ip == mesh->options.ip)
    {
      bd_stats_count (mesh->options.stats, BD_STAT_PEER_REFUSED, 1);
      return;
    }
  peer = need (mesh, ip);
  if (!peer)
    return;
  note_life (mesh, peer, incarnation, leaving, now_ms);
  read_facts (&u, &peer->facts);
  read_names (mesh, &u);
  read_loads (peer, &u);
  read_strikes (mesh, &u, now_ms);
  bd_stats_count (
      mesh->options.stats,
      u.error == BD_OK ? BD_STAT_PEER_RECEIVED : BD_STAT_PEER_REFUSED, 1);
  if (peer->facts.configuration > mesh->own.configuration && !leaving)
    mesh->handler->on_newer (mesh->context, ip, peer->facts.configuration);
}

/* Whether the datagram is one of placing.h. */
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
  /* Peers rely on the state: they are told at the next tick. */
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

/* Ranking. */

struct candidate
{
  uint32_t ip;
  struct bd_peer_facts facts;
  uint64_t weight;
};

/* The better one comes first. */
static bool
goes_before (const struct candidate *a, const struct candidate *b,
             uint32_t strong)
{
  bool a_strong = a->facts.power >= strong;
  bool b_strong = b->facts.power >= strong;

  if (a->facts.state != b->facts.state)
    return a->facts.state > b->facts.state;
  if (a_strong != b_strong)
    return a_strong;
  return a->weight > b->weight;
}

/* Puts CANDIDATE in its place among the COUNT of at most MAX best. */
static size_t
rank_candidate (struct candidate *best, size_t count, size_t max,
                const struct candidate *candidate, uint32_t strong)
{
  size_t at = count;

  if (candidate->facts.state == BD_PEER_UNABLE)
    return count;
  while (at > 0 && goes_before (candidate, &best[at - 1], strong))
    {
      if (at < max)
        best[at] = best[at - 1];
      at--;
    }
  if (at < max)
    best[at] = *candidate;
  return count < max ? count + 1 : max;
}

static uint32_t
most_power (const struct bd_mesh *mesh, int64_t now_ms)
{
  uint32_t most = mesh->own.power;

  for (size_t i = 0; i < mesh->count; i++)
    if (is_live (mesh, mesh->all[i], now_ms)
        && mesh->all[i]->facts.power > most)
      most = mesh->all[i]->facts.power;
  return most;
}

static struct candidate
candidate_of (uint32_t ip, const struct bd_peer_facts *facts, uint64_t key,
              bool coming)
{
  struct candidate candidate
      = { ip, *facts, bd_random_mix (key ^ bd_random_mix (ip)) };

  if (coming && candidate.facts.state == BD_PEER_JOINING)
    candidate.facts.state = BD_PEER_FRESH;
  return candidate;
}

size_t
bd_mesh_rank (const struct bd_mesh *mesh, uint64_t key, int64_t now_ms,
              bool coming, uint32_t *ips, size_t max)
{
  struct candidate best[BD_MESH_RANKED_MAX];
  uint32_t strong = most_power (mesh, now_ms) / STRONG_PART;
  struct candidate candidate
      = candidate_of (mesh->options.ip, &mesh->own, key, coming);
  size_t count = 0;

  if (max > BD_MESH_RANKED_MAX)
    max = BD_MESH_RANKED_MAX;
  count = rank_candidate (best, count, max, &candidate, strong);
  for (size_t i = 0; i < mesh->count; i++)
    {
      const struct peer *peer = mesh->all[i];

      if (!is_live (mesh, peer, now_ms))
        continue;
      candidate = candidate_of (peer->ip, &peer->facts, key, coming);
      count = rank_candidate (best, count, max, &candidate, strong);
    }
  for (size_t i = 0; i < count; i++)
    ips[i] = best[i].ip;
  return count;
}

/* Forgets peers that have been silent for several times the limit. */
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
  if (now_ms - mesh->sent_ms < SEND_EVERY_MS)
    return;
  mesh->sent_ms = now_ms;
  collect_news (mesh, now_ms);
  send_to_all (mesh, false, now_ms);
  if (mesh->members > 1)
    age_news (mesh);
  forget_silent (mesh, now_ms);
  count_members (mesh, now_ms);
  sum_loads (mesh, now_ms);
}

void
bd_mesh_leave (struct bd_mesh *mesh)
{
  send_to_all (mesh, true, bd_clock_boot_ms ());
}
