#include "gateway/standby.h"

#include <stdlib.h>

/* The most prefix locations queued for a standby coordinator, and the most
   datagrams to each at a time. */
#define STANDBYS_MAX 2
#define PREFIXES_QUEUED_MAX 512
#define PREFIX_DATAGRAMS_MAX 6

/* Instance that may coordinate next, and the prefix locations that it has not
   been sent yet. */
struct standby
{
  uint32_t ip;  /* Network byte order; 0: none. */
  bool copying; /* All known locations are being sent, from CURSOR on. */
  size_t cursor;
  struct bd_prefix_entry queued[PREFIXES_QUEUED_MAX];
  size_t queued_count;
};

struct bd_standbys
{
  const struct bd_prefix_map *prefixes;
  struct standby all[STANDBYS_MAX];
};

struct bd_standbys *
bd_standbys_create (const struct bd_prefix_map *prefixes)
{
  struct bd_standbys *standbys = calloc (1, sizeof *standbys);

  if (standbys)
    standbys->prefixes = prefixes;
  return standbys;
}

void
bd_standbys_destroy (struct bd_standbys *standbys)
{
  free (standbys);
}

static void
set_standby (struct standby *standby, uint32_t ip)
{
  if (standby->ip == ip)
    return;
  standby->ip = ip;
  standby->copying = ip != 0;
  standby->cursor = 0;
  standby->queued_count = 0;
}

void
bd_standbys_set (struct bd_standbys *standbys, uint32_t next, uint32_t joining)
{
  set_standby (&standbys->all[0], next);
  set_standby (&standbys->all[1], joining != next ? joining : 0);
}

void
bd_standbys_queue_prefix (struct bd_standbys *standbys,
                          const struct bd_prefix_entry *prefix)
{
  for (size_t i = 0; i < STANDBYS_MAX; i++)
    {
      struct standby *standby = &standbys->all[i];

      if (standby->ip != 0 && standby->queued_count < PREFIXES_QUEUED_MAX)
        standby->queued[standby->queued_count++] = *prefix;
    }
}

/* Fills in the next prefix locations for STANDBY.  Returns their number. */
static size_t
fill_prefixes (const struct bd_standbys *standbys, struct standby *standby,
               int64_t now_ms,
               struct bd_prefix_entry prefixes[BD_COORDINATION_PREFIXES_MAX])
{
  size_t count = 0;

  if (standby->copying)
    {
      count = bd_prefix_map_iterate (standbys->prefixes, &standby->cursor,
                                     now_ms, prefixes,
                                     BD_COORDINATION_PREFIXES_MAX);
      standby->copying = count > 0;
    }
  if (count == 0)
    while (count < BD_COORDINATION_PREFIXES_MAX && standby->queued_count > 0)
      prefixes[count++] = standby->queued[--standby->queued_count];
  for (size_t i = 0; i < count; i++)
    prefixes[i].sent_ms = now_ms - prefixes[i].sent_ms;
  return count;
}

static void
send_prefixes (const struct bd_standbys *standbys, struct standby *standby,
               struct bd_mesh *mesh, int64_t now_ms, bool complete)
{
  struct bd_coordination_message message
      = { .kind = BD_COORDINATION_PREFIXES };

  for (int i = 0; i < PREFIX_DATAGRAMS_MAX && standby->ip != 0; i++)
    {
      bool copying = standby->copying;

      message.prefixes.count
          = fill_prefixes (standbys, standby, now_ms, message.prefixes.items);
      /* The copy is complete with its last location, and stays so because
         later ones are queued. */
      message.prefixes.complete = !standby->copying && complete;
      if (message.prefixes.count == 0 && !copying)
        return;
      bd_mesh_send (mesh, standby->ip, &message);
    }
}

void
bd_standbys_send (struct bd_standbys *standbys, struct bd_mesh *mesh,
                  int64_t now_ms, bool complete)
{
  for (size_t i = 0; i < STANDBYS_MAX; i++)
    send_prefixes (standbys, &standbys->all[i], mesh, now_ms, complete);
}
