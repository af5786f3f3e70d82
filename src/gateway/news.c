#include "gateway/news.h"

#include "wire/pack.h"

#include <string.h>

/* First value of each datagram, below those of placing.h.  To be incremented
   when the layout changes. */
#define FORMAT 5
#define FIELDS 12

/* Serialization. */

static void
write_loads (struct bd_pack *pack, const struct bd_news *news)
{
  bd_pack_array (pack, (uint32_t)news->load_count);
  for (size_t i = 0; i < news->load_count; i++)
    {
      const struct bd_news_load *load = &news->loads[i];

      bd_pack_array (pack, 4);
      bd_pack_uint (pack, load->target);
      bd_pack_uint (pack, load->in_flight);
      bd_pack_uint (pack, load->token_steps);
      bd_pack_uint (pack, load->avoided);
    }
}

static void
write_strikes (struct bd_pack *pack, const struct bd_news *news)
{
  bd_pack_array (pack, (uint32_t)news->strike_count);
  for (size_t i = 0; i < news->strike_count; i++)
    {
      const struct bd_strike *strike = &news->strikes[i];

      bd_pack_array (pack, 5);
      bd_pack_uint (pack, strike->fingerprint);
      bd_pack_id (pack, strike->crash);
      bd_pack_uint (pack, strike->alone);
      bd_pack_uint (pack, strike->cleared);
      bd_pack_int (pack, strike->age_ms);
    }
}

static void
write_leaving (struct bd_pack *pack, const struct bd_news *news)
{
  bd_pack_array (pack, (uint32_t)news->leaving_count);
  for (size_t i = 0; i < news->leaving_count; i++)
    {
      bd_pack_array (pack, 2);
      bd_pack_uint (pack, news->runners_leaving[i].target);
      bd_pack_int (pack, news->runners_leaving[i].born_ms);
    }
}

void
bd_news_strip (struct bd_news *news)
{
  news->name_count = 0;
  news->loads_told = false;
  news->load_count = 0;
  news->leaving_count = 0;
  news->strike_count = 0;
}

int
bd_news_write (const struct bd_news *news, struct bd_buffer *out)
{
  struct bd_pack pack = { .buffer = out };

  bd_pack_array (&pack, FIELDS);
  bd_pack_uint (&pack, FORMAT);
  bd_pack_uint (&pack, news->ip);
  bd_pack_uint (&pack, news->incarnation);
  bd_pack_uint (&pack, news->leaving);
  bd_pack_uint (&pack, news->facts.configuration);
  bd_pack_uint (&pack, news->facts.state);
  bd_pack_uint (&pack, news->facts.power);
  bd_pack_array (&pack, (uint32_t)news->name_count);
  for (size_t i = 0; i < news->name_count; i++)
    bd_pack_uint (&pack, news->names[i]);
  bd_pack_uint (&pack, news->loads_told);
  write_loads (&pack, news);
  write_strikes (&pack, news);
  write_leaving (&pack, news);
  return pack.error;
}

/* Parsing. */

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

static void
read_names (struct bd_unpack *u, struct bd_news *news)
{
  uint32_t count = bd_unpack_array (u);

  for (uint32_t i = 0; i < count && u->error == BD_OK; i++)
    {
      uint32_t ip = (uint32_t)bd_unpack_uint (u);

      if (news->name_count < BD_NEWS_NAMES_MAX)
        news->names[news->name_count++] = ip;
    }
}

static void
read_loads (struct bd_unpack *u, struct bd_news *news)
{
  uint32_t count = bd_unpack_array (u);

  for (uint32_t i = 0; i < count && u->error == BD_OK; i++)
    {
      struct bd_news_load load;

      bd_unpack_array (u);
      load.target = (uint32_t)bd_unpack_uint (u);
      load.in_flight = (uint32_t)bd_unpack_uint (u);
      load.token_steps = (uint32_t)bd_unpack_uint (u);
      load.avoided = bd_unpack_uint (u) != 0;
      if (news->load_count < BD_NEWS_LOADS_MAX)
        news->loads[news->load_count++] = load;
    }
}

static void
read_strikes (struct bd_unpack *u, struct bd_news *news)
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
      if (news->strike_count < BD_NEWS_STRIKES_MAX)
        news->strikes[news->strike_count++] = strike;
    }
}

static void
read_leaving (struct bd_unpack *u, struct bd_news *news)
{
  uint32_t count = bd_unpack_array (u);

  for (uint32_t i = 0; i < count && u->error == BD_OK; i++)
    {
      struct bd_news_leaving leaving;

      bd_unpack_array (u);
      leaving.target = (uint32_t)bd_unpack_uint (u);
      leaving.born_ms = bd_unpack_int (u);
      if (news->leaving_count < BD_NEWS_LEAVING_MAX)
        news->runners_leaving[news->leaving_count++] = leaving;
    }
}

int
bd_news_read (struct bd_chunk bytes, struct bd_news *news)
{
  struct bd_unpack u = { .rest = bytes };

  memset (news, 0, sizeof *news);
  if (bd_unpack_array (&u) < FIELDS || bd_unpack_uint (&u) != FORMAT)
    return BD_ERR_PROTOCOL;
  news->ip = (uint32_t)bd_unpack_uint (&u);
  news->incarnation = bd_unpack_uint (&u);
  news->leaving = bd_unpack_uint (&u) != 0;
  read_facts (&u, &news->facts);
  read_names (&u, news);
  news->loads_told = bd_unpack_uint (&u) != 0;
  read_loads (&u, news);
  read_strikes (&u, news);
  read_leaving (&u, news);
  return u.error;
}
