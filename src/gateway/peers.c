#include "gateway/peers.h"

#include "common/clock.h"
#include "common/log.h"
#include "core/random.h"
#include "wire/pack.h"

#include <stdlib.h>
#include <string.h>

/* First value of each datagram; raised when the layout changes. */
#define FORMAT 2
/* Time between two datagrams to the same peer. */
#define SEND_EVERY_MS 500
/* A peer that was not heard for this long counts as gone. */
#define SILENCE_MS 3000
/* How often seeds are tried that are not known as peers. */
#define SEED_EVERY_MS 1000
/* Most peers named in a datagram. */
#define NAMED_MAX 40
/* Most runners whose load is told in a datagram. */
#define LOADS_MAX 100
#define STRIKES_MAX 8
#define DATAGRAM_MAX_BYTES 1400
/* Loads are told in steps of this many tokens. */
#define TOKENS_PER_STEP 256

struct load
{
  uint32_t target; /* Low half of the runner's hash. */
  uint32_t in_flight;
  uint32_t token_steps;
  bool avoided;
};

struct peer
{
  uint32_t ip;
  uint64_t incarnation;
  int64_t heard_ms; /* 0: only named by others so far. */
  uint64_t configuration;
  size_t load_count;
  struct load loads[LOADS_MAX];
};

struct bd_peers
{
  struct bd_peers_options options;
  const struct bd_peers_handler *handler;
  void *context;
  uv_udp_t socket;
  uint64_t incarnation;
  uint32_t *seeds;
  struct peer **all;
  size_t count;
  uint32_t members;
  struct bd_peer_revisions held;
  int64_t sent_ms;
  int64_t seeded_ms;
  struct bd_strike strikes[STRIKES_MAX];
  size_t strike_count;
  char received[DATAGRAM_MAX_BYTES * 2];
};

static struct peer *
find (struct bd_peers *peers, uint32_t ip)
{
  for (size_t i = 0; i < peers->count; i++)
    if (peers->all[i]->ip == ip)
      return peers->all[i];
  return NULL;
}

static struct peer *
need (struct bd_peers *peers, uint32_t ip)
{
  struct peer *peer = find (peers, ip);
  struct peer **all;

  if (peer || ip == peers->options.ip || peers->count == BD_PEERS_MAX)
    return peer;
  all = realloc (peers->all, (peers->count + 1) * sizeof (struct peer *));
  if (!all)
    return NULL;
  peers->all = all;
  peer = calloc (1, sizeof *peer);
  if (!peer)
    return NULL;
  peer->ip = ip;
  peers->all[peers->count++] = peer;
  return peer;
}

static void
count_members (struct bd_peers *peers, int64_t now_ms)
{
  uint32_t members = 1;

  for (size_t i = 0; i < peers->count; i++)
    if (peers->all[i]->heard_ms != 0
        && now_ms - peers->all[i]->heard_ms <= SILENCE_MS)
      members++;
  bd_stats_set (peers->options.stats, BD_GAUGE_PEERS, members - 1);
  if (members == peers->members)
    return;
  peers->members = members;
  bd_log (BD_EVENT_RETRIES_SHARED, "members=%u", members);
  peers->handler->on_members (peers->context, members);
}

/* Loads. */

/* Sums what peers have in flight at each runner. */
static void
sum_loads (struct bd_peers *peers, int64_t now_ms)
{
  size_t count;
  struct bd_target *const *all
      = bd_targets_all (peers->options.targets, &count);

  for (size_t i = 0; i < count; i++)
    {
      all[i]->peers_in_flight = 0;
      all[i]->peers_prefill_tokens = 0;
      all[i]->peers_avoiding = 0;
    }
  for (size_t p = 0; p < peers->count; p++)
    {
      const struct peer *peer = peers->all[p];

      if (peer->heard_ms == 0 || now_ms - peer->heard_ms > SILENCE_MS)
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
pack_loads (const struct bd_peers *peers, struct bd_pack *pack, int64_t now_ms)
{
  size_t count;
  size_t busy = 0;
  struct bd_target *const *all
      = bd_targets_all (peers->options.targets, &count);

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

static void
pack_strikes (const struct bd_peers *peers, struct bd_pack *pack)
{
  bd_pack_array (pack, (uint32_t)peers->strike_count);
  for (size_t i = 0; i < peers->strike_count; i++)
    {
      const struct bd_strike *strike = &peers->strikes[i];

      bd_pack_array (pack, 5);
      bd_pack_uint (pack, strike->fingerprint);
      bd_pack_id (pack, strike->crash);
      bd_pack_uint (pack, strike->alone);
      bd_pack_uint (pack, strike->cleared);
      bd_pack_int (pack, strike->age_ms);
    }
}

static void
read_strikes (struct bd_peers *peers, struct bd_unpack *u, int64_t now_ms)
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
        bd_suspects_strike (peers->options.suspects, now_ms, &strike);
    }
}

/* Datagrams. */

static void
pack_names (const struct bd_peers *peers, struct bd_pack *pack, int64_t now_ms)
{
  uint32_t named = 0;

  for (size_t i = 0; i < peers->count && named < NAMED_MAX; i++)
    named += now_ms - peers->all[i]->heard_ms <= SILENCE_MS;
  bd_pack_array (pack, named);
  for (size_t i = 0; i < peers->count && named > 0; i++)
    if (now_ms - peers->all[i]->heard_ms <= SILENCE_MS)
      {
        bd_pack_uint (pack, peers->all[i]->ip);
        named--;
      }
}

static void
read_names (struct bd_peers *peers, struct bd_unpack *u)
{
  uint32_t count = bd_unpack_array (u);

  for (uint32_t i = 0; i < count && u->error == BD_OK; i++)
    {
      uint32_t ip = (uint32_t)bd_unpack_uint (u);

      if (u->error == BD_OK)
        need (peers, ip);
    }
}

static int
compose (struct bd_peers *peers, struct bd_buffer *out, bool leaving,
         int64_t now_ms)
{
  struct bd_pack pack = { .buffer = out };

  bd_pack_array (&pack, 8);
  bd_pack_uint (&pack, FORMAT);
  bd_pack_uint (&pack, peers->options.ip);
  bd_pack_uint (&pack, peers->incarnation);
  bd_pack_uint (&pack, leaving);
  bd_pack_uint (&pack, peers->held.configuration);
  pack_names (peers, &pack, now_ms);
  pack_loads (peers, &pack, now_ms);
  pack_strikes (peers, &pack);
  return pack.error;
}

static void
send_to (struct bd_peers *peers, uint32_t ip, const struct bd_buffer *out)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (peers->options.port) };
  uv_buf_t buffer = uv_buf_init (out->data, (unsigned)out->length);

  address.sin_addr.s_addr = ip;
  /* A datagram may be lost on its way too; the next one says the same. */
  if (uv_udp_try_send (&peers->socket, &buffer, 1,
                       (const struct sockaddr *)&address)
      >= 0)
    bd_stats_count (peers->options.stats, BD_STAT_PEER_SENT, 1);
}

static void
send_to_all (struct bd_peers *peers, bool leaving, int64_t now_ms)
{
  bool seeds_due = now_ms - peers->seeded_ms >= SEED_EVERY_MS;
  struct bd_buffer out = { 0 };

  if (compose (peers, &out, leaving, now_ms) == BD_OK
      && out.length <= DATAGRAM_MAX_BYTES)
    {
      for (size_t i = 0; i < peers->count; i++)
        send_to (peers, peers->all[i]->ip, &out);
      for (size_t i = 0; seeds_due && i < peers->options.seed_count; i++)
        if (peers->seeds[i] != peers->options.ip
            && !find (peers, peers->seeds[i]))
          send_to (peers, peers->seeds[i], &out);
    }
  if (seeds_due)
    peers->seeded_ms = now_ms;
  bd_buffer_clear (&out);
}

static void
take_in (struct bd_peers *peers, struct bd_chunk bytes, uint32_t from)
{
  struct bd_unpack u = { .rest = bytes };
  int64_t now_ms = bd_clock_boot_ms ();
  struct peer *peer;
  uint32_t ip;
  uint64_t incarnation;
  bool leaving;

  if (bd_unpack_array (&u) < 8 || bd_unpack_uint (&u) != FORMAT)
    u.error = BD_ERR_PROTOCOL;
  ip = (uint32_t)bd_unpack_uint (&u);
  incarnation = bd_unpack_uint (&u);
  leaving = bd_unpack_uint (&u) != 0;
  if (u.error != BD_OK || ip != from || ip == peers->options.ip)
    {
      bd_stats_count (peers->options.stats, BD_STAT_PEER_REFUSED, 1);
      return;
    }
  peer = need (peers, ip);
  if (!peer)
    return;
  if (peer->heard_ms == 0 || peer->incarnation != incarnation)
    bd_log (BD_EVENT_MEMBER_LIVE, "ip=%08x incarnation=%llu", ntohl (ip),
            (unsigned long long)incarnation);
  peer->incarnation = incarnation;
  peer->heard_ms = leaving ? now_ms - SILENCE_MS - 1 : now_ms;
  peer->configuration = bd_unpack_uint (&u);
  read_names (peers, &u);
  read_loads (peer, &u);
  read_strikes (peers, &u, now_ms);
  bd_stats_count (
      peers->options.stats,
      u.error == BD_OK ? BD_STAT_PEER_RECEIVED : BD_STAT_PEER_REFUSED, 1);
  if (peer->configuration > peers->held.configuration && !leaving)
    peers->handler->on_newer (peers->context, ip, peer->configuration);
}

static void
on_allocate (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  struct bd_peers *peers = handle->data;

  (void)suggested;
  *buffer = uv_buf_init (peers->received, sizeof peers->received);
}

static void
on_receive (uv_udp_t *socket, ssize_t length, const uv_buf_t *buffer,
            const struct sockaddr *from, unsigned flags)
{
  (void)flags;
  if (length > 0 && from)
    take_in (socket->data, (struct bd_chunk){ buffer->base, (size_t)length },
             ((const struct sockaddr_in *)from)->sin_addr.s_addr);
}

int
bd_peers_create (const struct bd_peers_options *options,
                 const struct bd_peers_handler *handler, void *context,
                 struct bd_peers **out)
{
  struct bd_peers *peers = calloc (1, sizeof *peers);
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (options->port) };

  if (!peers)
    return BD_ERR_NOMEM;
  peers->options = *options;
  peers->handler = handler;
  peers->context = context;
  peers->incarnation = bd_id_random ().low;
  peers->seeds = calloc (options->seed_count + 1, sizeof (uint32_t));
  if (!peers->seeds)
    {
      free (peers);
      return BD_ERR_NOMEM;
    }
  memcpy (peers->seeds, options->seeds,
          options->seed_count * sizeof (uint32_t));
  address.sin_addr.s_addr = options->ip;
  uv_udp_init (options->loop, &peers->socket);
  peers->socket.data = peers;
  if (uv_udp_bind (&peers->socket, (const struct sockaddr *)&address, 0) != 0
      || uv_udp_recv_start (&peers->socket, on_allocate, on_receive) != 0)
    {
      free (peers->seeds);
      free (peers);
      return BD_ERR_IO;
    }
  *out = peers;
  return BD_OK;
}

void
bd_peers_hold (struct bd_peers *peers,
               const struct bd_peer_revisions *revisions)
{
  peers->held = *revisions;
}

/* Forgets peers that have been silent for several times the limit. */
static void
forget_silent (struct bd_peers *peers, int64_t now_ms)
{
  size_t kept = 0;

  for (size_t i = 0; i < peers->count; i++)
    {
      struct peer *peer = peers->all[i];

      if (peer->heard_ms == 0)
        peer->heard_ms = now_ms - SILENCE_MS - 1;
      if (now_ms - peer->heard_ms > (int64_t)SILENCE_MS * 5)
        {
          bd_log (BD_EVENT_MEMBER_GONE, "ip=%08x silent_ms=%lld",
                  ntohl (peer->ip), (long long)(now_ms - peer->heard_ms));
          free (peer);
        }
      else
        peers->all[kept++] = peer;
    }
  peers->count = kept;
}

void
bd_peers_tick (struct bd_peers *peers, int64_t now_ms)
{
  if (now_ms - peers->sent_ms < SEND_EVERY_MS)
    return;
  peers->sent_ms = now_ms;
  peers->strike_count = bd_suspects_news (peers->options.suspects, now_ms,
                                          peers->strikes, STRIKES_MAX);
  send_to_all (peers, false, now_ms);
  forget_silent (peers, now_ms);
  count_members (peers, now_ms);
  sum_loads (peers, now_ms);
}

void
bd_peers_leave (struct bd_peers *peers)
{
  send_to_all (peers, true, bd_clock_boot_ms ());
}
