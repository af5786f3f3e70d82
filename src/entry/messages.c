/* Messages between this entry and other processes. */

#include "common/clock.h"
#include "common/log.h"
#include "dispatch/fleet.h"
#include "entry/control.h"

#define MESSAGES_PER_ITERATION_MAX 256
/* Shortest time between two heartbeats to the same runner. */
#define HEARTBEAT_MIN_INTERVAL_MS 500

static void
fill_heartbeat (struct bd_entry *e, struct bd_message *m)
{
  struct bd_config *config = bd_document_exchange_config (e->exchange);

  m->type = BD_MESSAGE_HEARTBEAT;
  m->incarnation = e->incarnation;
  m->revision = bd_config_revision (config);
  m->digest = bd_config_digest (config);
  m->confirm_age_ms = bd_peers_confirmation_age_ms (e->peers, bd_clock_ms ());
}

static void
send_heartbeat (struct bd_entry *e, size_t index)
{
  struct bd_message m = { 0 };
  struct bd_runner_view view;

  bd_dispatch_runner (e->dispatch, index, &view);
  fill_heartbeat (e, &m);
  m.echo_ms = view.peer_clock_ms;
  bd_link_send (e->link, view.instance, &m);
}

void
bd_control_send_all_heartbeats (struct bd_entry *e)
{
  for (size_t i = 0; i < bd_dispatch_runner_count (e->dispatch); i++)
    send_heartbeat (e, i);
}

/* Sends one heartbeat to the next runner, at a bounded rate. */
void
bd_control_send_heartbeats (struct bd_entry *e, int64_t now_ms)
{
  size_t runners = bd_dispatch_runner_count (e->dispatch);
  int64_t interval_ms = 1000 / BD_FLEET_HEARTBEATS_PER_S;

  if (runners == 0)
    return;
  if (interval_ms < HEARTBEAT_MIN_INTERVAL_MS / (int64_t)runners)
    interval_ms = HEARTBEAT_MIN_INTERVAL_MS / (int64_t)runners;
  if (now_ms - e->last_heartbeat_ms < interval_ms)
    return;
  e->last_heartbeat_ms = now_ms;
  send_heartbeat (e, e->next_heartbeat_index++ % runners);
}

static void
send_document (struct bd_entry *e, struct bd_chunk to, struct bd_chunk name)
{
  struct bd_message m = {
    .type = BD_MESSAGE_CONFIG,
    .name = name,
    .body
    = bd_config_document (bd_document_exchange_config (e->exchange), name),
  };

  if (m.body.length > 0)
    bd_link_send (e->link, to, &m);
}

/* Answers heartbeats without slots, which come from an entry that knows
   this one as a seed only and asks for the revision. */
static void
handle_heartbeat (struct bd_entry *e, int64_t now_ms, struct bd_chunk from,
                  const struct bd_message *m)
{
  struct bd_message reply = { .flags = BD_FLAG_REPLY };

  bd_document_exchange_handle_revision (e->exchange, now_ms, from, m->revision,
                                        m->digest);
  if (m->flags & BD_FLAG_REPLY || m->slots > 0)
    return;
  fill_heartbeat (e, &reply);
  bd_link_send (e->link, from, &reply);
}

static void
handle_message (struct bd_entry *e, int64_t now_ms, struct bd_chunk from,
                const struct bd_message *m)
{
  switch (m->type)
    {
    case BD_MESSAGE_CONFIG_GET:
      send_document (e, from, m->name);
      return;
    case BD_MESSAGE_CONFIG:
      bd_document_exchange_handle_document (e->exchange, now_ms, from, m->name,
                                            m->body);
      return;
    case BD_MESSAGE_GOSSIP:
      bd_peers_handle_message (e->peers, now_ms, from, m);
      return;
    case BD_MESSAGE_HEARTBEAT:
      handle_heartbeat (e, now_ms, from, m);
      break;
    default:
      break;
    }
  bd_dispatch_handle_message (e->dispatch, now_ms, from, m);
}

void
bd_control_read_messages (struct bd_entry *e)
{
  struct bd_chunk from;
  struct bd_message m;

  for (int i = 0; i < MESSAGES_PER_ITERATION_MAX; i++)
    {
      int rc = bd_link_receive (e->link, &from, &m);

      if (rc == BD_ERR_TIMEOUT)
        return;
      if (rc == BD_OK)
        handle_message (e, bd_clock_ms (), from, &m);
      else
        bd_log (BD_EVENT_PROTOCOL_ERROR, "error=%s",
                bd_error_answer (rc)->code);
    }
}

void
bd_control_read_link_changes (struct bd_entry *e, int64_t now_ms)
{
  struct bd_chunk instance;
  enum bd_link_change change;

  while (bd_link_change (e->link, &instance, &change))
    {
      struct bd_message m = { 0 };

      bd_log (BD_EVENT_RUNNER_STATE, "runner=%.*s connection=%s",
              (int)instance.length, instance.data,
              change == BD_LINK_UP ? "up" : "lost");
      bd_dispatch_set_connected (e->dispatch, now_ms, instance,
                                 change == BD_LINK_UP);
      if (change != BD_LINK_UP)
        continue;
      fill_heartbeat (e, &m);
      bd_link_send (e->link, instance, &m);
    }
}
