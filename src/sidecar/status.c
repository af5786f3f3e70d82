/* The status of a sidecar, as JSON for operators. */

#include "configuration/config_json.h"
#include "sidecar/control.h"

#include <inttypes.h>
#include <jansson.h>

static int
write_status (struct bd_sidecar *s, struct bd_buffer *json)
{
  struct bd_config *config = bd_document_exchange_config (s->exchange);
  const struct bd_link_counts *c = bd_link_counts (s->link);
  struct bd_load_report load;

  bd_runner_load (s->runner, &load);
  return bd_config_json_append (
      json_pack (
          "{s:s, s:s, s:s, s:o, s:s, s:I, s:o, s:s, s:b, s:b, s:I, s:I, s:I, "
          "s:I, s:I, s:I, s:I}",
          "role", "sidecar", "instance", s->settings->instance, "zone",
          s->settings->zone, "incarnation",
          json_sprintf ("%016" PRIx64, s->incarnation), "version", BD_VERSION,
          "revision", (json_int_t)bd_config_revision (config), "digest",
          json_sprintf ("%016" PRIx64, bd_config_digest (config)), "pool",
          s->settings->pool, "engine_up", bd_runner_engine_up (s->runner),
          "leaving", bd_runner_is_leaving (s->runner), "queued",
          (json_int_t)load.queued, "running", (json_int_t)load.running,
          "slots", (json_int_t)load.slots, "token_time_us",
          (json_int_t)load.token_time_us, "entries",
          (json_int_t)s->known_entry_count, "control_sent_bytes",
          (json_int_t)c->sent_bytes[1], "control_received_bytes",
          (json_int_t)c->received_bytes[1]),
      json);
}

int
bd_sidecar_write_state (void *context, enum bd_admin_state_kind kind,
                        struct bd_buffer *json)
{
  struct bd_sidecar *s = context;

  switch (kind)
    {
    case BD_ADMIN_STATE_STATUS:
      return write_status (s, json);
    case BD_ADMIN_STATE_CONTRACTS:
      return bd_config_json_contracts (
          bd_document_exchange_config (s->exchange), json);
    case BD_ADMIN_STATE_RUNNERS:
      break;
    }
  return BD_ERR_NOT_FOUND;
}
