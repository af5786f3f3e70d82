#include "sidecar/sidecar.h"
#include "common/clock.h"
#include "common/incarnation.h"
#include "common/log.h"
#include "sidecar/control.h"

#include <stdlib.h>
#include <string.h>

#define TICK_INTERVAL_MS 20
/* An entry without a heartbeat for this long is removed. */
#define ENTRY_TIMEOUT_MS 60000
#define PROBE_INTERVAL_MS 500
#define PROBE_PATH "/v1/models"
#define PROBE_TIMEOUT_MS 2000
#define IDEMPOTENCY_RECORDS_MAX 100000
#define CLOCK_SKEW_MS 500
#define ANSWER_MAX_BYTES ((uint64_t)4 * 1024 * 1024)
#define LOW_TIER_SHARE_PERMILLE 50
#define MESSAGES_PER_ITERATION_MAX 256

static struct bd_runner *
create_runner (struct bd_sidecar *s)
{
  const struct bd_settings *settings = s->settings;
  struct bd_runner_settings r = {
    .incarnation = s->incarnation,
    .slots = (uint32_t)settings->slots,
    .fifo = strcmp (settings->policy, "late-binding") != 0,
    .queue = { .max_items = (uint32_t)settings->queue_items,
               .max_bytes = (uint64_t)settings->queue_bytes,
               .low_tier_share_permille = LOW_TIER_SHARE_PERMILLE },
    .idempotency_settings
    = { .incarnation = s->incarnation,
        .started_wall_ms = bd_clock_wall_ms (),
        .clock_skew_ms = CLOCK_SKEW_MS,
        .confirm_window_ms = settings->confirm_window_ms,
        .max_records = IDEMPOTENCY_RECORDS_MAX,
        .max_answer_bytes = (uint64_t)settings->answer_bytes },
    .answer_max_bytes = ANSWER_MAX_BYTES,
  };

  return bd_runner_create (&r, &s->runner_callbacks);
}

static struct bd_engine *
create_engine (struct bd_sidecar *s)
{
  struct bd_engine_settings e = {
    .url = s->settings->engine_url,
    .connect_timeout_ms = s->settings->connect_timeout_ms,
    .first_byte_timeout_ms = s->settings->first_byte_timeout_ms,
    .idle_timeout_ms = s->settings->idle_timeout_ms,
    .answer_max_bytes = ANSWER_MAX_BYTES,
  };

  bd_engine_mailbox_sink_init (&s->engine_sink, s->engine_events);
  return bd_engine_create (&e, &s->engine_sink.base);
}

static bool
create_admin (struct bd_sidecar *s, int *error)
{
  if (!s->settings->admin_address[0])
    return true;
  s->admin = bd_admin_create (s->settings->admin_address, s->metrics,
                              bd_admin_state_source (s->state), error);
  return s->admin != NULL;
}

struct bd_sidecar *
bd_sidecar_create (const struct bd_settings *settings, int *error)
{
  struct bd_link_settings link = { .instance = settings->instance,
                                   .address = settings->peer_address,
                                   .curve_public = settings->curve_public,
                                   .curve_secret = settings->curve_secret };
  struct bd_sidecar *s = calloc (1, sizeof *s);

  *error = BD_ERR_NOMEM;
  if (!s)
    return NULL;
  s->settings = settings;
  s->incarnation = bd_incarnation_now ();
  s->reported_engine_up = true;
  bd_sidecar_set_callbacks (s);
  /* The address is bound before anything connects to the engine: of two
     sidecars of one instance, only one gets past this point. */
  s->link = bd_link_create (&link, error);
  if (s->link)
    {
      *error = BD_ERR_NOMEM;
      s->engine_events = bd_mailbox_create ();
      s->metrics = bd_metrics_create ();
      s->state = bd_admin_state_create ();
      s->exchange = bd_document_exchange_create (&s->exchange_callbacks);
      s->runner = create_runner (s);
      if (s->engine_events)
        s->engine = create_engine (s);
    }
  if (s->engine && s->exchange && s->runner && s->metrics && s->state
      && create_admin (s, error))
    return s;
  bd_sidecar_destroy (s);
  return NULL;
}

void
bd_sidecar_destroy (struct bd_sidecar *sidecar)
{
  struct bd_engine_event_mail *mail;

  if (!sidecar)
    return;
  bd_admin_destroy (sidecar->admin);
  bd_engine_destroy (sidecar->engine);
  while (sidecar->engine_events
         && (mail = bd_engine_event_take (sidecar->engine_events)))
    free (mail);
  bd_mailbox_destroy (sidecar->engine_events);
  bd_runner_destroy (sidecar->runner);
  if (sidecar->snapshot)
    bd_config_snapshot_release (sidecar->snapshot);
  bd_document_exchange_destroy (sidecar->exchange);
  bd_admin_state_destroy (sidecar->state);
  bd_metrics_destroy (sidecar->metrics);
  bd_link_destroy (sidecar->link);
  free (sidecar);
}

static void
record_entry (struct bd_sidecar *s, int64_t now_ms, struct bd_chunk name)
{
  struct known_entry *entry;

  for (size_t i = 0; i < s->known_entry_count; i++)
    if (bd_chunk_equal (bd_chunk_of (s->known_entries[i].name), name))
      {
        s->known_entries[i].last_message_ms = now_ms;
        return;
      }
  if (name.length == 0 || name.length >= BD_SIDECAR_NAME_BYTES
      || s->known_entry_count == BD_SIDECAR_ENTRIES_MAX)
    return;
  entry = &s->known_entries[s->known_entry_count++];
  memcpy (entry->name, name.data, name.length);
  entry->name[name.length] = '\0';
  entry->last_message_ms = now_ms;
}

static void
remove_silent_entries (struct bd_sidecar *s, int64_t now_ms)
{
  size_t i = 0;

  while (i < s->known_entry_count)
    if (now_ms - s->known_entries[i].last_message_ms > ENTRY_TIMEOUT_MS)
      s->known_entries[i] = s->known_entries[--s->known_entry_count];
    else
      i++;
}

/* Applies an entry's confirmation.  Its age is counted back from this
   process's own clock, which the entry echoes.  The time obtained is never
   later than the real one, so neither a delayed message nor a pause can make
   the confirmation look fresh. */
static void
handle_confirmation (struct bd_sidecar *s, const struct bd_message *m)
{
  struct bd_config *config = bd_document_exchange_config (s->exchange);

  if (m->echo_ms == 0 || m->confirm_age_ms <= 0
      || m->revision != bd_config_revision (config)
      || m->digest != bd_config_digest (config))
    return;
  bd_runner_confirm_configuration (s->runner,
                                   m->echo_ms - (m->confirm_age_ms - 1));
}

static void
handle_heartbeat (struct bd_sidecar *s, int64_t now_ms, struct bd_chunk from,
                  const struct bd_message *m)
{
  struct bd_message reply = { .flags = BD_FLAG_REPLY };

  record_entry (s, now_ms, from);
  bd_document_exchange_handle_revision (s->exchange, now_ms, from, m->revision,
                                        m->digest);
  handle_confirmation (s, m);
  if (m->flags & BD_FLAG_REPLY)
    return;
  bd_sidecar_fill_heartbeat (s, &reply);
  bd_link_send (s->link, from, &reply);
}

static void
send_document (struct bd_sidecar *s, struct bd_chunk to, struct bd_chunk name)
{
  struct bd_message m = {
    .type = BD_MESSAGE_CONFIG,
    .name = name,
    .body
    = bd_config_document (bd_document_exchange_config (s->exchange), name),
  };

  if (m.body.length > 0)
    bd_link_send (s->link, to, &m);
}

static void
handle_message (struct bd_sidecar *s, int64_t now_ms, struct bd_chunk from,
                const struct bd_message *m)
{
  switch (m->type)
    {
    case BD_MESSAGE_HEARTBEAT:
      handle_heartbeat (s, now_ms, from, m);
      break;
    case BD_MESSAGE_CONFIG_GET:
      send_document (s, from, m->name);
      break;
    case BD_MESSAGE_CONFIG:
      bd_document_exchange_handle_document (s->exchange, now_ms, from, m->name,
                                            m->body);
      break;
    default:
      bd_runner_handle_message (s->runner, now_ms, bd_clock_wall_ms (), from,
                                m);
    }
}

static void
read_messages (struct bd_sidecar *s)
{
  struct bd_chunk from;
  struct bd_message m;

  for (int i = 0; i < MESSAGES_PER_ITERATION_MAX; i++)
    {
      int rc = bd_link_receive (s->link, &from, &m);

      if (rc == BD_ERR_TIMEOUT)
        return;
      if (rc == BD_OK)
        handle_message (s, bd_clock_ms (), from, &m);
      else
        bd_log (BD_EVENT_PROTOCOL_ERROR, "error=%s",
                bd_error_answer (rc)->code);
    }
}

static bool
is_probe (const struct bd_engine_event *e)
{
  return bd_id_equal (e->request, (struct bd_id){ 0, 0 });
}

static void
handle_probe_event (struct bd_sidecar *s, int64_t now_ms,
                    const struct bd_engine_event *e)
{
  if (e->kind == BD_ENGINE_END)
    bd_runner_set_engine (s->runner, now_ms, true);
  if (e->kind == BD_ENGINE_END || e->kind == BD_ENGINE_FAILED)
    s->probe_in_flight = false;
}

static void
handle_event (struct bd_sidecar *s, int64_t now_ms,
              const struct bd_engine_event *e)
{
  switch (e->kind)
    {
    case BD_ENGINE_STARTED:
      break;
    case BD_ENGINE_HEAD:
      bd_runner_engine_head (s->runner, now_ms, e->request, e->attempt,
                             e->status, e->content_type);
      break;
    case BD_ENGINE_DATA:
      bd_runner_engine_data (s->runner, now_ms, e->request, e->attempt,
                             e->data);
      break;
    case BD_ENGINE_END:
      bd_runner_engine_end (s->runner, now_ms, e->request, e->attempt);
      break;
    case BD_ENGINE_FAILED:
      bd_runner_engine_failed (s->runner, now_ms, e->request, e->attempt,
                               e->error, e->sent);
      break;
    }
}

static void
read_events (struct bd_sidecar *s)
{
  struct bd_engine_event_mail *mail;

  while ((mail = bd_engine_event_take (s->engine_events)))
    {
      if (is_probe (&mail->event))
        handle_probe_event (s, bd_clock_ms (), &mail->event);
      else
        handle_event (s, bd_clock_ms (), &mail->event);
      free (mail);
    }
}

/* Probes an engine that has failed, to see whether it answers again. */
static void
probe_engine (struct bd_sidecar *s, int64_t now_ms)
{
  struct bd_engine_call call = { .method = BD_CHUNK ("GET"),
                                 .path = BD_CHUNK (PROBE_PATH),
                                 .deadline_left_ms = PROBE_TIMEOUT_MS };

  if (bd_runner_engine_up (s->runner) || s->probe_in_flight
      || now_ms - s->last_probe_ms < PROBE_INTERVAL_MS)
    return;
  s->last_probe_ms = now_ms;
  s->probe_in_flight = bd_engine_start (s->engine, &call) == BD_OK;
}

static void
report_engine_state (struct bd_sidecar *s)
{
  bool up = bd_runner_engine_up (s->runner);

  if (up == s->reported_engine_up)
    return;
  s->reported_engine_up = up;
  bd_log (up ? BD_EVENT_ENGINE_UP : BD_EVENT_ENGINE_DOWN, "url=%s",
          s->settings->engine_url);
  bd_sidecar_send_heartbeats (s);
}

static void
tick (struct bd_sidecar *s, int64_t now_ms)
{
  bd_admin_state_serve (s->state, bd_sidecar_write_state, s);
  bd_runner_tick (s->runner, now_ms, bd_clock_wall_ms ());
  bd_document_exchange_tick (s->exchange, now_ms);
  probe_engine (s, now_ms);
  report_engine_state (s);
  remove_silent_entries (s, now_ms);
}

static void
start_leaving (struct bd_sidecar *s, int64_t now_ms)
{
  bd_log (BD_EVENT_DAEMON_LEAVING, "drain_timeout_s=%d",
          s->settings->drain_timeout_s);
  bd_admin_state_set_ready (s->state, false);
  bd_runner_start_leaving (s->runner, now_ms);
  bd_sidecar_send_heartbeats (s);
}

static bool
may_stop (const struct bd_sidecar *s, int64_t now_ms, int64_t leaving_since_ms)
{
  int64_t limit_ms = (int64_t)s->settings->drain_timeout_s * 1000;

  if (!bd_runner_is_leaving (s->runner))
    return false;
  return bd_runner_idle (s->runner)
         || (limit_ms > 0 && now_ms - leaving_since_ms >= limit_ms);
}

int
bd_sidecar_run (struct bd_sidecar *sidecar, const volatile int *stop)
{
  int64_t last_tick_ms = 0;
  int64_t leaving_since_ms = 0;

  bd_admin_state_set_ready (sidecar->state, true);
  bd_log (BD_EVENT_DAEMON_READY, "role=sidecar incarnation=%llu",
          (unsigned long long)sidecar->incarnation);
  for (;;)
    {
      int64_t now_ms;

      bd_link_wait (sidecar->link, bd_mailbox_fd (sidecar->engine_events),
                    TICK_INTERVAL_MS);
      read_messages (sidecar);
      read_events (sidecar);
      now_ms = bd_clock_ms ();
      if (*stop && !bd_runner_is_leaving (sidecar->runner))
        {
          leaving_since_ms = now_ms;
          start_leaving (sidecar, now_ms);
        }
      if (now_ms - last_tick_ms >= TICK_INTERVAL_MS)
        {
          last_tick_ms = now_ms;
          tick (sidecar, now_ms);
        }
      if (may_stop (sidecar, now_ms, leaving_since_ms))
        return BD_OK;
    }
}
