#include "gateway/outbox.h"

#include <stdlib.h>

/* Items are collected for this long before they are sent, this many times. */
#define SEND_INTERVAL_MS 20
#define SENDS 2
/* Most instances that items are collected for at a time. */
#define QUEUES_MAX 32

/* Items for one instance. */
struct queue
{
  uint32_t ip; /* Network byte order; 0: free. */
  struct bd_coordination_message message;
  uint8_t sends_left[BD_COORDINATION_REPORTS_MAX];
};

struct bd_outbox
{
  enum bd_coordination_kind kind;
  struct bd_mesh *mesh;
  uv_timer_t timer;
  bool scheduled;
  struct queue queues[QUEUES_MAX];
};

struct bd_outbox *
bd_outbox_create (uv_loop_t *loop, enum bd_coordination_kind kind)
{
  struct bd_outbox *outbox = calloc (1, sizeof *outbox);

  if (!outbox)
    return NULL;
  outbox->kind = kind;
  for (size_t i = 0; i < QUEUES_MAX; i++)
    outbox->queues[i].message.kind = kind;
  uv_timer_init (loop, &outbox->timer);
  outbox->timer.data = outbox;
  return outbox;
}

void
bd_outbox_set_mesh (struct bd_outbox *outbox, struct bd_mesh *mesh)
{
  outbox->mesh = mesh;
}

static size_t *
count_of (struct queue *queue)
{
  return queue->message.kind == BD_COORDINATION_REPORTS
             ? &queue->message.reports.count
             : &queue->message.origins.count;
}

static bool
is_full (struct queue *queue)
{
  return *count_of (queue)
         == (queue->message.kind == BD_COORDINATION_REPORTS
                 ? BD_COORDINATION_REPORTS_MAX
                 : BD_COORDINATION_ORIGINS_MAX);
}

static void
move_item (struct bd_coordination_message *message, size_t to, size_t from)
{
  if (message->kind == BD_COORDINATION_REPORTS)
    message->reports.items[to] = message->reports.items[from];
  else
    message->origins.items[to] = message->origins.items[from];
}

/* Sends the items of QUEUE and keeps those that are to be sent again. */
static void
send_queue (struct bd_outbox *outbox, struct queue *queue)
{
  size_t count = *count_of (queue);
  size_t kept = 0;

  bd_mesh_send (outbox->mesh, queue->ip, &queue->message);
  for (size_t i = 0; i < count; i++)
    if (--queue->sends_left[i] > 0)
      {
        move_item (&queue->message, kept, i);
        queue->sends_left[kept++] = queue->sends_left[i];
      }
  *count_of (queue) = kept;
  if (kept == 0)
    queue->ip = 0;
}

static void
on_timer (uv_timer_t *timer)
{
  struct bd_outbox *outbox = timer->data;

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
find_or_add_queue (struct bd_outbox *outbox, uint32_t ip)
{
  struct queue *unused = NULL;

  for (size_t i = 0; i < QUEUES_MAX; i++)
    {
      if (outbox->queues[i].ip == ip)
        return &outbox->queues[i];
      if (outbox->queues[i].ip == 0)
        unused = &outbox->queues[i];
    }
  if (!unused)
    {
      unused = &outbox->queues[0];
      send_queue (outbox, unused);
    }
  unused->ip = ip;
  *count_of (unused) = 0;
  return unused;
}

/* Returns the queue for the instance at IP, with room for an item that is to
   be filled in at *AT. */
static struct queue *
add_item (struct bd_outbox *outbox, uint32_t ip, size_t *at)
{
  struct queue *queue = find_or_add_queue (outbox, ip);

  if (is_full (queue))
    send_queue (outbox, queue);
  if (is_full (queue))
    *count_of (queue) = 0; /* Each item has been sent at least once. */
  queue->ip = ip;
  *at = (*count_of (queue))++;
  queue->sends_left[*at] = SENDS;
  if (!outbox->scheduled)
    uv_timer_start (&outbox->timer, on_timer, SEND_INTERVAL_MS, 0);
  outbox->scheduled = true;
  return queue;
}

void
bd_outbox_add_report (struct bd_outbox *outbox, uint32_t ip,
                      const struct bd_coordination_report *report)
{
  size_t at;
  struct queue *queue = add_item (outbox, ip, &at);

  queue->message.reports.items[at] = *report;
}

void
bd_outbox_add_origin (struct bd_outbox *outbox, uint32_t ip,
                      const struct bd_origin_notice *notice)
{
  size_t at;
  struct queue *queue = add_item (outbox, ip, &at);

  queue->message.origins.items[at] = *notice;
}
