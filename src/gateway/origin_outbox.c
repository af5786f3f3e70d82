#include "gateway/origin_outbox.h"

#include "common/clock.h"
#include "gateway/outbox.h"
#include "gateway/rank.h"

#include <stdlib.h>

/* Instances that are told of a stream: enough that some of them know it after
   several have ended at once. */
#define RECEIVERS 3
/* Shards whose receivers are cached, and for how long. */
#define SHARDS_MAX 8
#define RANK_VALID_MS 100

struct shard_receivers
{
  uint64_t key;
  int64_t ranked_ms; /* 0: free. */
  uint32_t ips[RECEIVERS];
  size_t count;
};

struct bd_origin_outbox
{
  uint32_t ip;
  struct bd_stream_origins *origins;
  struct bd_mesh *mesh;
  struct bd_outbox *notices;
  struct shard_receivers shards[SHARDS_MAX];
};

struct bd_origin_outbox *
bd_origin_outbox_create (uv_loop_t *loop, uint32_t ip,
                         struct bd_stream_origins *origins)
{
  struct bd_origin_outbox *outbox = calloc (1, sizeof *outbox);

  if (!outbox)
    return NULL;
  outbox->ip = ip;
  outbox->origins = origins;
  outbox->notices = bd_outbox_create (loop, BD_COORDINATION_ORIGINS);
  if (outbox->notices)
    return outbox;
  free (outbox);
  return NULL;
}

void
bd_origin_outbox_set_mesh (struct bd_origin_outbox *outbox,
                           struct bd_mesh *mesh)
{
  outbox->mesh = mesh;
  bd_outbox_set_mesh (outbox->notices, mesh);
}

/* Returns the receivers for the shard of KEY, ranked anew if that is due. */
static const struct shard_receivers *
receivers_of (struct bd_origin_outbox *outbox, uint64_t key, int64_t now_ms)
{
  struct shard_receivers *shard = &outbox->shards[0];

  for (size_t i = 0; i < SHARDS_MAX; i++)
    {
      if (outbox->shards[i].ranked_ms != 0 && outbox->shards[i].key == key)
        {
          shard = &outbox->shards[i];
          break;
        }
      if (outbox->shards[i].ranked_ms < shard->ranked_ms)
        shard = &outbox->shards[i];
    }
  if (shard->ranked_ms == 0 || shard->key != key
      || now_ms - shard->ranked_ms >= RANK_VALID_MS)
    {
      shard->key = key;
      shard->ranked_ms = now_ms;
      /* An instance that joins will be asked as soon as it has. */
      shard->count = bd_mesh_rank (outbox->mesh, key, now_ms, true, shard->ips,
                                   RECEIVERS);
    }
  return shard;
}

void
bd_origin_outbox_tell (struct bd_origin_outbox *outbox, uint64_t shard_key,
                       const struct bd_origin_notice *notice)
{
  int64_t now = bd_clock_boot_ms ();
  const struct shard_receivers *shard;

  bd_origin_notice_apply (outbox->origins, notice, now);
  if (!outbox->mesh)
    return;
  shard = receivers_of (outbox, shard_key, now);
  for (size_t i = 0; i < shard->count; i++)
    if (shard->ips[i] != outbox->ip)
      bd_outbox_add_origin (outbox->notices, shard->ips[i], notice);
}
