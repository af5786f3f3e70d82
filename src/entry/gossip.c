#include "entry/gossip.h"

#include <string.h>

#define DEMAND_FIELDS 5
#define STRIKE_FIELDS 5
#define MEMBER_FIELDS 5

static void
pack_demand (struct bd_pack *pack, const struct bd_limiter_demand *d)
{
  bd_pack_array (pack, DEMAND_FIELDS);
  bd_pack_uint (pack, d->workspace);
  bd_pack_uint (pack, d->requests_per_s);
  bd_pack_uint (pack, d->tokens_per_s);
  bd_pack_uint (pack, d->running);
  bd_pack_uint (pack, d->share_permyriad);
}

static void
pack_strike (struct bd_pack *pack, const struct bd_strike *s)
{
  bd_pack_array (pack, STRIKE_FIELDS);
  bd_pack_uint (pack, s->fingerprint);
  bd_pack_id (pack, s->crash);
  bd_pack_uint (pack, s->alone);
  bd_pack_uint (pack, s->cleared);
  bd_pack_int (pack, s->age_ms);
}

static void
pack_member (struct bd_pack *pack, const struct bd_member *m)
{
  bd_pack_array (pack, MEMBER_FIELDS);
  bd_pack_bin (pack, m->instance);
  bd_pack_bin (pack, m->address);
  bd_pack_bin (pack, m->zone);
  bd_pack_uint (pack, m->incarnation);
  bd_pack_uint (pack, m->state);
}

int
bd_gossip_encode (const struct bd_gossip_body *body, struct bd_buffer *buffer)
{
  struct bd_pack pack = { .buffer = buffer };

  bd_pack_array (&pack, 3);
  bd_pack_array (&pack, (uint32_t)body->demand_count);
  for (size_t i = 0; i < body->demand_count; i++)
    pack_demand (&pack, &body->demands[i]);
  bd_pack_array (&pack, (uint32_t)body->strike_count);
  for (size_t i = 0; i < body->strike_count; i++)
    pack_strike (&pack, &body->strikes[i]);
  bd_pack_array (&pack, (uint32_t)body->member_count);
  for (size_t i = 0; i < body->member_count; i++)
    pack_member (&pack, &body->members[i]);
  return pack.error;
}

/* Reads the header of a list of at most MAX records. */
static size_t
unpack_list (struct bd_unpack *u, size_t max)
{
  uint32_t count = bd_unpack_array (u);

  if (count > max)
    u->error = BD_ERR_PROTOCOL;
  return u->error == BD_OK ? count : 0;
}

/* Reads the header of a record with at least FIELDS fields.  Returns the
   number of fields that a later version has added at the end, for
   end_record () to skip. */
static uint32_t
begin_record (struct bd_unpack *u, uint32_t fields)
{
  uint32_t count = bd_unpack_array (u);

  if (count < fields)
    u->error = BD_ERR_PROTOCOL;
  return u->error == BD_OK ? count - fields : 0;
}

static void
end_record (struct bd_unpack *u, uint32_t extra)
{
  while (extra > 0 && u->error == BD_OK)
    {
      bd_unpack_skip (u);
      extra--;
    }
}

static void
unpack_demand (struct bd_unpack *u, struct bd_limiter_demand *d)
{
  uint32_t extra = begin_record (u, DEMAND_FIELDS);

  d->workspace = bd_unpack_uint (u);
  d->requests_per_s = (uint32_t)bd_unpack_uint (u);
  d->tokens_per_s = (uint32_t)bd_unpack_uint (u);
  d->running = (uint32_t)bd_unpack_uint (u);
  d->share_permyriad = (uint32_t)bd_unpack_uint (u);
  end_record (u, extra);
}

static void
unpack_strike (struct bd_unpack *u, struct bd_strike *s)
{
  uint32_t extra = begin_record (u, STRIKE_FIELDS);

  s->fingerprint = bd_unpack_uint (u);
  s->crash = bd_unpack_id (u);
  s->alone = bd_unpack_uint (u) != 0;
  s->cleared = bd_unpack_uint (u) != 0;
  s->age_ms = bd_unpack_int (u);
  end_record (u, extra);
}

static void
unpack_member (struct bd_unpack *u, struct bd_member *m)
{
  uint32_t extra = begin_record (u, MEMBER_FIELDS);
  uint64_t state;

  m->instance = bd_unpack_bin (u);
  m->address = bd_unpack_bin (u);
  m->zone = bd_unpack_bin (u);
  m->incarnation = bd_unpack_uint (u);
  state = bd_unpack_uint (u);
  if (state > BD_MEMBER_GONE)
    u->error = BD_ERR_PROTOCOL;
  else
    m->state = (enum bd_member_state)state;
  end_record (u, extra);
}

int
bd_gossip_decode (struct bd_chunk bytes, struct bd_gossip_body *body)
{
  struct bd_unpack u = { .rest = bytes };
  uint32_t extra;

  memset (body, 0, sizeof *body);
  extra = begin_record (&u, 3);
  body->demand_count = unpack_list (&u, BD_GOSSIP_DEMANDS_MAX);
  for (size_t i = 0; i < body->demand_count; i++)
    unpack_demand (&u, &body->demands[i]);
  body->strike_count = unpack_list (&u, BD_GOSSIP_STRIKES_MAX);
  for (size_t i = 0; i < body->strike_count; i++)
    unpack_strike (&u, &body->strikes[i]);
  body->member_count = unpack_list (&u, BD_GOSSIP_MEMBERS_MAX);
  for (size_t i = 0; i < body->member_count; i++)
    unpack_member (&u, &body->members[i]);
  end_record (&u, extra);
  return u.error;
}
