#include "gateway/beacon.h"

#include "wire/pack.h"

#include <string.h>

/* First value of each datagram, below those of coordination.h.  To be
   incremented when the layout changes. */
#define FORMAT 5
#define FIELDS 12

/* Serialization. */

static void
write_loads (struct bd_pack *pack, const struct bd_beacon *gossip)
{
  bd_pack_array (pack, (uint32_t)gossip->load_count);
  for (size_t i = 0; i < gossip->load_count; i++)
    {
      const struct bd_beacon_load *load = &gossip->loads[i];

      bd_pack_array (pack, 4);
      bd_pack_uint (pack, load->target);
      bd_pack_uint (pack, load->in_flight);
      bd_pack_uint (pack, load->token_units);
      bd_pack_uint (pack, load->ejected);
    }
}

static void
write_strikes (struct bd_pack *pack, const struct bd_beacon *gossip)
{
  bd_pack_array (pack, (uint32_t)gossip->strike_count);
  for (size_t i = 0; i < gossip->strike_count; i++)
    {
      const struct bd_strike *strike = &gossip->strikes[i];

      bd_pack_array (pack, 5);
      bd_pack_uint (pack, strike->fingerprint);
      bd_pack_id (pack, strike->crash);
      bd_pack_uint (pack, strike->alone);
      bd_pack_uint (pack, strike->cleared);
      bd_pack_int (pack, strike->age_ms);
    }
}

static void
write_leaving (struct bd_pack *pack, const struct bd_beacon *gossip)
{
  bd_pack_array (pack, (uint32_t)gossip->leaving_count);
  for (size_t i = 0; i < gossip->leaving_count; i++)
    {
      bd_pack_array (pack, 2);
      bd_pack_uint (pack, gossip->leaving_runners[i].target);
      bd_pack_int (pack, gossip->leaving_runners[i].started_ms);
    }
}

void
bd_beacon_strip (struct bd_beacon *gossip)
{
  gossip->address_count = 0;
  gossip->has_loads = false;
  gossip->load_count = 0;
  gossip->leaving_count = 0;
  gossip->strike_count = 0;
}

int
bd_beacon_write (const struct bd_beacon *gossip, struct bd_buffer *out)
{
  struct bd_pack pack = { .buffer = out };

  bd_pack_array (&pack, FIELDS);
  bd_pack_uint (&pack, FORMAT);
  bd_pack_uint (&pack, gossip->ip);
  bd_pack_uint (&pack, gossip->incarnation);
  bd_pack_uint (&pack, gossip->leaving);
  bd_pack_uint (&pack, gossip->status.revision);
  bd_pack_uint (&pack, gossip->status.state);
  bd_pack_uint (&pack, gossip->status.cpu_millicores);
  bd_pack_array (&pack, (uint32_t)gossip->address_count);
  for (size_t i = 0; i < gossip->address_count; i++)
    bd_pack_uint (&pack, gossip->addresses[i]);
  bd_pack_uint (&pack, gossip->has_loads);
  write_loads (&pack, gossip);
  write_strikes (&pack, gossip);
  write_leaving (&pack, gossip);
  return pack.error;
}

/* Parsing. */

static void
read_status (struct bd_unpack *u, struct bd_peer_status *status)
{
  uint64_t state;

  status->revision = bd_unpack_uint (u);
  state = bd_unpack_uint (u);
  status->state
      = state <= BD_PEER_FRESH ? (enum bd_peer_state)state : BD_PEER_UNABLE;
  status->cpu_millicores = (uint32_t)bd_unpack_uint (u);
}

static void
read_addresses (struct bd_unpack *u, struct bd_beacon *gossip)
{
  uint32_t count = bd_unpack_array (u);

  for (uint32_t i = 0; i < count && u->error == BD_OK; i++)
    {
      uint32_t ip = (uint32_t)bd_unpack_uint (u);

      if (gossip->address_count < BD_BEACON_ADDRESSES_MAX)
        gossip->addresses[gossip->address_count++] = ip;
    }
}

static void
read_loads (struct bd_unpack *u, struct bd_beacon *gossip)
{
  uint32_t count = bd_unpack_array (u);

  for (uint32_t i = 0; i < count && u->error == BD_OK; i++)
    {
      struct bd_beacon_load load;

      bd_unpack_array (u);
      load.target = (uint32_t)bd_unpack_uint (u);
      load.in_flight = (uint32_t)bd_unpack_uint (u);
      load.token_units = (uint32_t)bd_unpack_uint (u);
      load.ejected = bd_unpack_uint (u) != 0;
      if (gossip->load_count < BD_BEACON_LOADS_MAX)
        gossip->loads[gossip->load_count++] = load;
    }
}

static void
read_strikes (struct bd_unpack *u, struct bd_beacon *gossip)
{
  uint32_t count = bd_unpack_array (u);

  for (uint32_t i = 0; i < count && u->error == BD_OK; i++)
    {
      struct bd_strike strike = { 0 };

      bd_unpack_array (u);
      strike.fingerprint = bd_unpack_uint (u);
      strike.crash = bd_unpack_id (u);
      strike.alone = bd_unpack_uint (u) != 0;
      strike.cleared = bd_unpack_uint (u) != 0;
      strike.age_ms = bd_unpack_int (u);
      if (gossip->strike_count < BD_BEACON_STRIKES_MAX)
        gossip->strikes[gossip->strike_count++] = strike;
    }
}

static void
read_leaving (struct bd_unpack *u, struct bd_beacon *gossip)
{
  uint32_t count = bd_unpack_array (u);

  for (uint32_t i = 0; i < count && u->error == BD_OK; i++)
    {
      struct bd_beacon_leaving_runner leaving;

      bd_unpack_array (u);
      leaving.target = (uint32_t)bd_unpack_uint (u);
      leaving.started_ms = bd_unpack_int (u);
      if (gossip->leaving_count < BD_BEACON_LEAVING_MAX)
        gossip->leaving_runners[gossip->leaving_count++] = leaving;
    }
}

int
bd_beacon_read (struct bd_chunk bytes, struct bd_beacon *gossip)
{
  struct bd_unpack u = { .rest = bytes };

  memset (gossip, 0, sizeof *gossip);
  if (bd_unpack_array (&u) < FIELDS || bd_unpack_uint (&u) != FORMAT)
    return BD_ERR_PROTOCOL;
  gossip->ip = (uint32_t)bd_unpack_uint (&u);
  gossip->incarnation = bd_unpack_uint (&u);
  gossip->leaving = bd_unpack_uint (&u) != 0;
  read_status (&u, &gossip->status);
  read_addresses (&u, gossip);
  gossip->has_loads = bd_unpack_uint (&u) != 0;
  read_loads (&u, gossip);
  read_strikes (&u, gossip);
  read_leaving (&u, gossip);
  return u.error;
}
