#include "entry/status.h"
#include "configuration/config_json.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>

static const char *const runner_state_names[]
    = { "unknown", "live", "leaving", "down" };
static const char *const member_state_names[]
    = { "joining", "live", "suspect", "leaving", "gone" };

static json_t *
json_from_chunk (struct bd_chunk chunk)
{
  return json_stringn (chunk.length > 0 ? chunk.data : "", chunk.length);
}

/* 64-bit numbers are written as text, since JSON readers round them. */
static json_t *
json_from_u64 (uint64_t value)
{
  return json_sprintf ("%016" PRIx64, value);
}

static json_t *
describe_members (const struct bd_membership *membership)
{
  json_t *list = json_array ();

  for (size_t i = 0; i < bd_membership_count (membership); i++)
    {
      const struct bd_member *m = bd_membership_at (membership, i);

      json_array_append_new (
          list, json_pack ("{s:o, s:o, s:o, s:s}", "instance",
                           json_from_chunk (m->instance), "address",
                           json_from_chunk (m->address), "zone",
                           json_from_chunk (m->zone), "state",
                           member_state_names[m->state]));
    }
  return list;
}

static json_t *
describe_traffic (const struct bd_link_counts *c)
{
  return json_pack ("{s:I, s:I, s:I, s:I}", "control_sent",
                    (json_int_t)c->sent[1], "control_sent_bytes",
                    (json_int_t)c->sent_bytes[1], "control_received",
                    (json_int_t)c->received[1], "control_received_bytes",
                    (json_int_t)c->received_bytes[1]);
}

int
bd_status_write (const struct bd_status_input *input, struct bd_buffer *json)
{
  json_t *root = json_pack (
      "{s:s, s:s, s:s, s:o, s:s, s:I, s:o, s:b, s:b, s:I, s:I, s:I, s:o, "
      "s:o}",
      "role", "entry", "instance", input->settings->instance, "zone",
      input->settings->zone, "incarnation", json_from_u64 (input->incarnation),
      "version", BD_VERSION, "revision",
      (json_int_t)bd_config_revision (input->config), "digest",
      json_from_u64 (bd_config_digest (input->config)), "watching",
      input->watching, "leaving", input->leaving, "open_requests",
      (json_int_t)bd_dispatch_open_count (input->dispatch), "runners",
      (json_int_t)bd_dispatch_runner_count (input->dispatch), "platform_calls",
      (json_int_t)input->platform_calls, "traffic",
      describe_traffic (input->counts), "peers",
      describe_members (input->membership));

  return bd_config_json_append (root, json);
}

static json_t *
describe_runner (const struct bd_runner_view *v, int64_t now_ms)
{
  return json_pack (
      "{s:o, s:o, s:o, s:o, s:s, s:I, s:I, s:I, s:I, s:I}", "instance",
      json_from_chunk (v->instance), "address", json_from_chunk (v->address),
      "zone", json_from_chunk (v->zone), "pool", json_from_chunk (v->pool),
      "state", runner_state_names[v->state], "queued",
      (json_int_t)v->load.queued, "running", (json_int_t)v->load.running,
      "slots", (json_int_t)v->load.slots, "token_time_us",
      (json_int_t)v->load.token_time_us, "heard_ms_ago",
      (json_int_t)(v->last_message_ms > 0 ? now_ms - v->last_message_ms : -1));
}

int
bd_status_runners (const struct bd_status_input *input, int64_t now_ms,
                   struct bd_buffer *json)
{
  json_t *list = json_array ();

  for (size_t i = 0; i < bd_dispatch_runner_count (input->dispatch); i++)
    {
      struct bd_runner_view view;

      bd_dispatch_runner (input->dispatch, i, &view);
      json_array_append_new (list, describe_runner (&view, now_ms));
    }
  return bd_config_json_append (json_pack ("{s:o}", "runners", list), json);
}
