#include "gateway/beacon.h"

#include "wire/pack.h"

#include <string.h>

/* First value of each datagram, below those of coordination.h.  To be
   incremented when the layout changes. */
#define FORMAT 5
#define FIELDS 16 /* One less without notices about parts of prompts. */
/* Instances of older versions send neither rate limits nor the version of
   their configuration nor notices about parts of prompts, nor when the runners
   of these were last heard. */
#define FIELDS_MIN 12

/* Serialization. */

static void
write_loads (struct bd_pack *pack, const struct bd_beacon *beacon)
{
  bd_pack_array (pack, (uint32_t)beacon->load_count);
  for (size_t i = 0; i < beacon->load_count; i++)
    {
      const struct bd_beacon_load *load = &beacon->loads[i];

      bd_pack_array (pack, 4);
      bd_pack_uint (pack, load->target);
      bd_pack_uint (pack, load->in_flight);
      bd_pack_uint (pack, load->token_units);
      bd_pack_uint (pack, load->ejected);
    }
}

static void
write_strikes (struct bd_pack *pack, const struct bd_beacon *beacon)
{
  bd_pack_array (pack, (uint32_t)beacon->strike_count);
  for (size_t i = 0; i < beacon->strike_count; i++)
    {
      const struct bd_strike *strike = &beacon->strikes[i];

      bd_pack_array (pack, 5);
      bd_pack_uint (pack, strike->fingerprint);
      bd_pack_id (pack, strike->crash);
      bd_pack_uint (pack, strike->alone);
      bd_pack_uint (pack, strike->cleared);
      bd_pack_int (pack, strike->age_ms);
    }
}

static void
write_leaving (struct bd_pack *pack, const struct bd_beacon *beacon)
{
  bd_pack_array (pack, (uint32_t)beacon->leaving_count);
  for (size_t i = 0; i < beacon->leaving_count; i++)
    {
      bd_pack_array (pack, 2);
      bd_pack_uint (pack, beacon->leaving_runners[i].target);
      bd_pack_int (pack, beacon->leaving_runners[i].started_max_ms);
    }
}

static void
write_limits (struct bd_pack *pack, const struct bd_beacon *beacon)
{
  bd_pack_array (pack, (uint32_t)beacon->limit_count);
  for (size_t i = 0; i < beacon->limit_count; i++)
    bd_limit_notice_write (pack, &beacon->limits[i]);
}

static void
write_parts (struct bd_pack *pack, const struct bd_beacon *beacon)
{
  bd_pack_array (pack, (uint32_t)beacon->part_count);
  for (size_t i = 0; i < beacon->part_count; i++)
    {
      const struct bd_part_notice *notice = &beacon->parts[i];

      bd_pack_array (pack, 6);
      bd_pack_uint (pack, notice->part);
      bd_pack_uint (pack, notice->harmless);
      bd_pack_id (pack, notice->crash);
      bd_pack_uint (pack, notice->other);
      bd_pack_int (pack, notice->sent_age_ms);
      bd_pack_int (pack, notice->age_ms);
    }
}

/* When the runners of the notices were last heard, in their order. */
static void
write_heard (struct bd_pack *pack, const struct bd_beacon *beacon)
{
  bd_pack_array (pack, (uint32_t)beacon->part_count);
  for (size_t i = 0; i < beacon->part_count; i++)
    bd_pack_int (pack, beacon->parts[i].heard_age_ms);
}

void
bd_beacon_strip (struct bd_beacon *beacon)
{
  beacon->address_count = 0;
  beacon->has_loads = false;
  beacon->load_count = 0;
  beacon->leaving_count = 0;
  beacon->strike_count = 0;
  beacon->limit_count = 0;
  beacon->part_count = 0;
}

int
bd_beacon_write (const struct bd_beacon *beacon, struct bd_buffer *out)
{
  struct bd_pack pack = { .buffer = out };

  bd_pack_array (&pack, beacon->part_count > 0 ? FIELDS : FIELDS - 1);
  bd_pack_uint (&pack, FORMAT);
  bd_pack_uint (&pack, beacon->ip);
  bd_pack_uint (&pack, beacon->incarnation);
  bd_pack_uint (&pack, beacon->leaving);
  bd_pack_uint (&pack, beacon->status.revision);
  bd_pack_uint (&pack, beacon->status.state);
  bd_pack_uint (&pack, beacon->status.cpu_millicores);
  bd_pack_array (&pack, (uint32_t)beacon->address_count);
  for (size_t i = 0; i < beacon->address_count; i++)
    bd_pack_uint (&pack, beacon->addresses[i]);
  bd_pack_uint (&pack, beacon->has_loads);
  write_loads (&pack, beacon);
  write_strikes (&pack, beacon);
  write_leaving (&pack, beacon);
  write_limits (&pack, beacon);
  bd_pack_uint (&pack, beacon->status.version);
  write_parts (&pack, beacon);
  if (beacon->part_count > 0)
    write_heard (&pack, beacon);
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
read_addresses (struct bd_unpack *u, struct bd_beacon *beacon)
{
  uint32_t count = bd_unpack_array (u);

  for (uint32_t i = 0; i < count && u->error == BD_OK; i++)
    {
      uint32_t ip = (uint32_t)bd_unpack_uint (u);

      if (beacon->address_count < BD_BEACON_ADDRESSES_MAX)
        beacon->addresses[beacon->address_count++] = ip;
    }
}

static void
read_loads (struct bd_unpack *u, struct bd_beacon *beacon)
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
      if (beacon->load_count < BD_BEACON_LOADS_MAX)
        beacon->loads[beacon->load_count++] = load;
    }
}

static void
read_strikes (struct bd_unpack *u, struct bd_beacon *beacon)
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
      if (beacon->strike_count < BD_BEACON_STRIKES_MAX)
        beacon->strikes[beacon->strike_count++] = strike;
    }
}

static void
read_leaving (struct bd_unpack *u, struct bd_beacon *beacon)
{
  uint32_t count = bd_unpack_array (u);

  for (uint32_t i = 0; i < count && u->error == BD_OK; i++)
    {
      struct bd_beacon_leaving_runner leaving;

      bd_unpack_array (u);
      leaving.target = (uint32_t)bd_unpack_uint (u);
      leaving.started_max_ms = bd_unpack_int (u);
      if (beacon->leaving_count < BD_BEACON_LEAVING_MAX)
        beacon->leaving_runners[beacon->leaving_count++] = leaving;
    }
}

static void
read_limits (struct bd_unpack *u, struct bd_beacon *beacon)
{
  uint32_t count = bd_unpack_array (u);

  for (uint32_t i = 0; i < count && u->error == BD_OK; i++)
    {
      struct bd_limit_notice notice;

      bd_limit_notice_read (u, &notice);
      if (beacon->limit_count < BD_BEACON_LIMITS_MAX)
        beacon->limits[beacon->limit_count++] = notice;
    }
}

static void
read_parts (struct bd_unpack *u, struct bd_beacon *beacon)
{
  uint32_t count = bd_unpack_array (u);

  for (uint32_t i = 0; i < count && u->error == BD_OK; i++)
    {
      struct bd_part_notice notice = { 0 };

      bd_unpack_array (u);
      notice.part = bd_unpack_uint (u);
      notice.harmless = bd_unpack_uint (u) != 0;
      notice.crash = bd_unpack_id (u);
      notice.other = bd_unpack_uint (u);
      notice.sent_age_ms = bd_unpack_int (u);
      notice.age_ms = bd_unpack_int (u);
      notice.heard_age_ms = notice.age_ms;
      if (beacon->part_count < BD_BEACON_PARTS_MAX)
        beacon->parts[beacon->part_count++] = notice;
    }
}

static void
read_heard (struct bd_unpack *u, struct bd_beacon *beacon)
{
  uint32_t count = bd_unpack_array (u);

  for (uint32_t i = 0; i < count && u->error == BD_OK; i++)
    {
      int64_t age_ms = bd_unpack_int (u);

      if (i < beacon->part_count)
        beacon->parts[i].heard_age_ms = age_ms;
    }
}

int
bd_beacon_read (struct bd_chunk bytes, struct bd_beacon *beacon)
{
  struct bd_unpack u = { .rest = bytes };
  uint32_t fields = bd_unpack_array (&u);

  memset (beacon, 0, sizeof *beacon);
  if (fields < FIELDS_MIN || bd_unpack_uint (&u) != FORMAT)
    return BD_ERR_PROTOCOL;
  beacon->ip = (uint32_t)bd_unpack_uint (&u);
  beacon->incarnation = bd_unpack_uint (&u);
  beacon->leaving = bd_unpack_uint (&u) != 0;
  read_status (&u, &beacon->status);
  read_addresses (&u, beacon);
  beacon->has_loads = bd_unpack_uint (&u) != 0;
  read_loads (&u, beacon);
  read_strikes (&u, beacon);
  read_leaving (&u, beacon);
  if (fields > FIELDS_MIN)
    read_limits (&u, beacon);
  if (fields > FIELDS_MIN + 1)
    beacon->status.version = bd_unpack_uint (&u);
  if (fields > FIELDS_MIN + 2)
    read_parts (&u, beacon);
  if (fields > FIELDS_MIN + 3)
    read_heard (&u, beacon);
  return u.error;
}
