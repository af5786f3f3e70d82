#include "gateway/origin_outbox.h"

#include "common/clock.h"
#include "gateway/rank.h"

#include <stdlib.h>
#include <string.h>

/* Notices are collected for this long before they are sent.  Each is sent this
   many times, because datagrams get lost. */
#define SEND_INTERVAL_MS 20
#define SENDS 2
/* Instances that are told of a stream: enough that some of them know it after
   several have ended at once. */
#define RECEIVERS 3
/* Most instances that notices are collected for at a time. */
#define QUEUES_MAX 16
/* Shards whose receivers are cached, and for how long. */
#define SHARDS_MAX 8
#define RANK_VALID_MS 100

struct queue
{
  uint32_t ip; /* Network byte order; 0: free. */
  size_t count;
  struct bd_origin_notice notices[BD_COORDINATION_ORIGINS_MAX];
  uint8_t sends_left[BD_COORDINATION_ORIGINS_MAX];
};

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
  uv_timer_t timer;
  bool scheduled;
  struct queue queues[QUEUES_MAX];
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
  uv_timer_init (loop, &outbox->timer);
  outbox->timer.data = outbox;
  return outbox;
}

void
bd_origin_outbox_set_mesh (struct bd_origin_outbox *outbox,
                           struct bd_mesh *mesh)
{
  outbox->mesh = mesh;
}

/* Sends the notices of QUEUE and keeps those that are to be sent again. */
static void
send_queue (struct bd_origin_outbox *outbox, struct queue *queue)
{
  struct bd_coordination_message message = { .kind = BD_COORDINATION_ORIGINS };
  size_t kept = 0;

  message.origins.count = queue->count;
  memcpy (message.origins.items, queue->notices,
          queue->count * sizeof queue->notices[0]);
  bd_mesh_send (outbox->mesh, queue->ip, &message);
  for (size_t i = 0; i < queue->count; i++)
    if (--queue->sends_left[i] > 0)
      {
        queue->notices[kept] = queue->notices[i];
        queue->sends_left[kept++] = queue->sends_left[i];
      }
  queue->count = kept;
  if (kept == 0)
    queue->ip = 0;
}

static void
on_timer (uv_timer_t *timer)
{
  struct bd_origin_outbox *outbox = timer->data;

  outbox->scheduled = false;
  for (size_t i = 0; i < QUEUES_MAX; i++)
    {
      if (outbox->queues[i].ip != 0)
        send_queue (outbox, &outbox->queues[i]);
      outbox->scheduled |= outbox->queues[i].ip != 0;
    }
  if (outbox->scheduled)
    uv_timer_start (timer, on_timer, SEND_INTERVAL_MS, 0);
}

static struct queue *
find_or_add_queue (struct bd_origin_outbox *outbox, uint32_t ip)
{
  struct queue *queue = NULL;

  for (size_t i = 0; i < QUEUES_MAX; i++)
    {
      if (outbox->queues[i].ip == ip)
        return &outbox->queues[i];
      if (outbox->queues[i].ip == 0)
        queue = &outbox->queues[i];
    }
  if (!queue)
    {
      queue = &outbox->queues[0];
      send_queue (outbox, queue);
    }
  queue->ip = ip;
  queue->count = 0;
  return queue;
}

static void
add (struct bd_origin_outbox *outbox, uint32_t ip,
     const struct bd_origin_notice *notice)
{
  struct queue *queue = find_or_add_queue (outbox, ip);

  if (queue->count == BD_COORDINATION_ORIGINS_MAX)
    send_queue (outbox, queue);
  if (queue->count == BD_COORDINATION_ORIGINS_MAX)
    queue->count = 0; /* Each notice has been sent at least once. */
  queue->ip = ip;
  queue->notices[queue->count] = *notice;
  queue->sends_left[queue->count++] = SENDS;
  if (!outbox->scheduled)
    uv_timer_start (&outbox->timer, on_timer, SEND_INTERVAL_MS, 0);
  outbox->scheduled = true;
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
      add (outbox, shard->ips[i], notice);
}
