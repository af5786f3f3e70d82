#include "sidecar/sidecar.h"
#include "common/clock.h"
#include "common/incarnation.h"
#include "common/log.h"
#include "common/mailbox.h"
#include "common/state.h"
#include "core/describe.h"
#include "core/exchange.h"
#include "core/home.h"
#include "core/runner.h"
#include "sidecar/mail.h"
#include "wire/link.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define TICK_MS 20
#define ENTRIES_MAX 512
#define NAME_BYTES 64
/* An entry that says nothing for this long is forgotten. */
#define ENTRY_SILENT_MS 60000
#define PROBE_MS 500
#define PROBE_PATH "/v1/models"
#define PROBE_LIMIT_MS 2000
#define RECORDS_MAX 100000
#define CLOCK_SKEW_MS 500
#define ANSWER_MAX_BYTES ((uint64_t)4 * 1024 * 1024)
#define LOW_TIER_SHARE_PERMILLE 50
#define MESSAGES_PER_TURN 256
#define REASON_BYTES 300

/* An entry that was heard. */
struct entry
{
  char name[NAME_BYTES];
  int64_t heard_ms;
};

struct bd_sidecar
{
  struct bd_runner_port runner_port; /* Must stay the first member. */
  struct bd_exchange_port exchange_port;
  const struct bd_settings *settings;
  uint64_t incarnation;
  struct bd_link *link;
  struct bd_runner *runner;
  struct bd_exchange *exchange;
  struct bd_engine *engine;
  struct bd_engine_post engine_post;
  struct bd_mailbox *events;
  struct bd_config_snapshot *snapshot; /* In force. */
  uint64_t roster;                     /* Of the own pool; 0: none yet. */
  struct bd_metrics *metrics;
  struct bd_state *state;
  struct bd_admin *admin;
  struct entry entries[ENTRIES_MAX];
  size_t entry_count;
  int64_t probe_ms;
  bool probing;
  bool reported_up;
};

static struct bd_sidecar *
of_exchange (struct bd_exchange_port *port)
{
  return (struct bd_sidecar *)((char *)port
                               - offsetof (struct bd_sidecar, exchange_port));
}

static void
port_send (struct bd_runner_port *port, struct bd_chunk entry,
           const struct bd_message *message)
{
  struct bd_sidecar *s = (struct bd_sidecar *)port;

  bd_link_send (s->link, entry, message);
}

static void
port_start (struct bd_runner_port *port, const struct bd_runner_call *call)
{
  struct bd_sidecar *s = (struct bd_sidecar *)port;
  struct bd_engine_call c = { .request = call->request,
                              .attempt = call->attempt,
                              .method = call->method,
                              .path = call->path,
                              .content_type = call->content_type,
                              .body = call->body,
                              .key = call->key_text,
                              .tier = call->tier,
                              .fencing = s->incarnation,
                              .deadline_left_ms = call->budget_ms };
  int rc = bd_engine_start (s->engine, &c);

  if (rc != BD_OK)
    bd_runner_failed (s->runner, bd_clock_ms (), call->request, call->attempt,
                      rc, false);
}

static void
port_cancel (struct bd_runner_port *port, struct bd_id request,
             uint32_t attempt)
{
  struct bd_sidecar *s = (struct bd_sidecar *)port;

  bd_engine_cancel (s->engine, request, attempt);
}

static void
port_bill (struct bd_runner_port *port, const struct bd_bill *bill)
{
  char request[BD_ID_HEX_LENGTH + 1];
  char key[BD_ID_HEX_LENGTH + 1];

  bd_metrics_count (((struct bd_sidecar *)port)->metrics, BD_COUNTER_BILLED,
                    1);
  bd_id_format (bill->request, request);
  bd_id_format (bill->key, key);
  bd_log (BD_EVENT_BILLING_LINE,
          "request=%s attempt=%u key=%s workspace=%.*s class=%.*s tokens=%u "
          "status=%d",
          request, bill->attempt, key, (int)bill->workspace.length,
          bill->workspace.data, (int)bill->class_name.length,
          bill->class_name.data, bill->tokens, bill->status);
}

static void
port_note (struct bd_runner_port *port, enum bd_event event,
           struct bd_id request, uint32_t attempt, const char *detail)
{
  struct bd_metrics *metrics = ((struct bd_sidecar *)port)->metrics;
  char text[BD_ID_HEX_LENGTH + 1];

  if (event == BD_EVENT_REQUEST_SHED)
    bd_metrics_count (metrics, BD_COUNTER_SHED, 1);
  else if (event == BD_EVENT_REQUEST_EXPIRED)
    bd_metrics_count (metrics, BD_COUNTER_EXPIRED, 1);
  if (!bd_log_shows (event))
    return;
  bd_id_format (request, text);
  bd_log (event, "request=%s attempt=%u%s%s", text, attempt,
          detail[0] ? " " : "", detail);
}

static void
port_waited (struct bd_runner_port *port, struct bd_chunk workspace,
             struct bd_chunk class_name, int64_t wait_ms)
{
  struct bd_sidecar *s = (struct bd_sidecar *)port;

  bd_class_metrics_add (bd_metrics_class (s->metrics, workspace, class_name),
                        BD_DURATION_QUEUE_WAIT, wait_ms * 1000);
}

static void
exchange_fetch (struct bd_exchange_port *port, struct bd_chunk peer,
                struct bd_chunk name)
{
  struct bd_message m = { .type = BD_MESSAGE_CONFIG_GET, .name = name };

  if (peer.length > 0)
    bd_link_send (of_exchange (port)->link, peer, &m);
}

static void
exchange_note (struct bd_exchange_port *port, enum bd_event event,
               struct bd_chunk name, const char *detail)
{
  char reason[REASON_BYTES];

  (void)port;
  if (detail[0])
    bd_log (event, "document=%.*s reason=%s", (int)name.length, name.data,
            bd_log_quote (bd_chunk_of (detail), reason, sizeof reason));
  else
    bd_log (event, "document=%.*s", (int)name.length, name.data);
}

static void
fill_heartbeat (struct bd_sidecar *s, struct bd_message *m)
{
  struct bd_config *config = bd_exchange_config (s->exchange);

  m->type = BD_MESSAGE_HEARTBEAT;
  m->revision = bd_config_revision (config);
  m->digest = bd_config_digest (config);
  m->sent_ms = bd_clock_ms ();
  bd_runner_fill (s->runner, m);
}

/* Tells every entry that was heard lately. */
static void
announce (struct bd_sidecar *s)
{
  struct bd_message m = { 0 };

  fill_heartbeat (s, &m);
  for (size_t i = 0; i < s->entry_count; i++)
    bd_link_send (s->link, bd_chunk_of (s->entries[i].name), &m);
}

static const struct bd_pool *
own_pool (const struct bd_sidecar *s)
{
  return s->snapshot ? bd_config_find_pool (s->snapshot,
                                            bd_chunk_of (s->settings->pool))
                     : NULL;
}

static bool
port_is_home (struct bd_runner_port *port, struct bd_id key)
{
  struct bd_sidecar *s = (struct bd_sidecar *)port;
  const struct bd_pool *pool = own_pool (s);

  return pool && bd_home_is (pool, key, bd_chunk_of (s->settings->instance));
}

static void
exchange_changed (struct bd_exchange_port *port)
{
  struct bd_sidecar *s = of_exchange (port);
  const struct bd_pool *pool;
  uint64_t roster;

  if (s->snapshot)
    bd_config_snapshot_release (s->snapshot);
  s->snapshot = bd_config_snapshot (bd_exchange_config (s->exchange));
  pool = own_pool (s);
  roster = pool ? bd_home_roster (pool) : 0;
  if (roster != s->roster)
    bd_runner_home_since (s->runner, bd_clock_wall_ms ());
  s->roster = roster;
  announce (s);
}

static void
set_ports (struct bd_sidecar *s)
{
  s->runner_port = (struct bd_runner_port){
    .send = port_send,
    .start = port_start,
    .cancel = port_cancel,
    .bill = port_bill,
    .note = port_note,
    .is_home = port_is_home,
    .waited = port_waited,
  };
  s->exchange_port = (struct bd_exchange_port){
    .fetch = exchange_fetch,
    .note = exchange_note,
    .changed = exchange_changed,
  };
}

static struct bd_runner *
make_runner (struct bd_sidecar *s)
{
  const struct bd_settings *settings = s->settings;
  struct bd_runner_settings r = {
    .incarnation = s->incarnation,
    .slots = (uint32_t)settings->slots,
    .fifo = strcmp (settings->policy, "late-binding") != 0,
    .queue = { .max_items = (uint32_t)settings->queue_items,
               .max_bytes = (uint64_t)settings->queue_bytes,
               .low_tier_share_permille = LOW_TIER_SHARE_PERMILLE },
    .custody = { .incarnation = s->incarnation,
                 .started_wall_ms = bd_clock_wall_ms (),
                 .clock_skew_ms = CLOCK_SKEW_MS,
                 .confirm_window_ms = settings->confirm_window_ms,
                 .max_records = RECORDS_MAX,
                 .max_answer_bytes = (uint64_t)settings->answer_bytes },
    .answer_max_bytes = ANSWER_MAX_BYTES,
  };

  return bd_runner_create (&r, &s->runner_port);
}

static struct bd_engine *
make_engine (struct bd_sidecar *s)
{
  struct bd_engine_settings e = {
    .url = s->settings->engine_url,
    .connect_timeout_ms = s->settings->connect_timeout_ms,
    .first_byte_timeout_ms = s->settings->first_byte_timeout_ms,
    .idle_timeout_ms = s->settings->idle_timeout_ms,
    .answer_max_bytes = ANSWER_MAX_BYTES,
  };

  bd_engine_post_init (&s->engine_post, s->events);
  return bd_engine_create (&e, &s->engine_post.sink);
}

static bool
open_admin (struct bd_sidecar *s, int *error)
{
  if (!s->settings->admin_address[0])
    return true;
  s->admin = bd_admin_create (s->settings->admin_address, s->metrics,
                              bd_state_source (s->state), error);
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
  s->reported_up = true;
  set_ports (s);
  /* Binding the address comes before anything that reaches the engine: of
     two sidecars on one instance only one gets further. */
  s->link = bd_link_create (&link, error);
  if (s->link)
    {
      *error = BD_ERR_NOMEM;
      s->events = bd_mailbox_create ();
      s->metrics = bd_metrics_create ();
      s->state = bd_state_create ();
      s->exchange = bd_exchange_create (&s->exchange_port);
      s->runner = make_runner (s);
      if (s->events)
        s->engine = make_engine (s);
    }
  if (s->engine && s->exchange && s->runner && s->metrics && s->state
      && open_admin (s, error))
    return s;
  bd_sidecar_destroy (s);
  return NULL;
}

void
bd_sidecar_destroy (struct bd_sidecar *sidecar)
{
  struct bd_engine_mail *mail;

  if (!sidecar)
    return;
  bd_admin_destroy (sidecar->admin);
  bd_engine_destroy (sidecar->engine);
  while (sidecar->events && (mail = bd_engine_mail_take (sidecar->events)))
    free (mail);
  bd_mailbox_destroy (sidecar->events);
  bd_runner_destroy (sidecar->runner);
  if (sidecar->snapshot)
    bd_config_snapshot_release (sidecar->snapshot);
  bd_exchange_destroy (sidecar->exchange);
  bd_state_destroy (sidecar->state);
  bd_metrics_destroy (sidecar->metrics);
  bd_link_destroy (sidecar->link);
  free (sidecar);
}

static void
hear_entry (struct bd_sidecar *s, int64_t now_ms, struct bd_chunk name)
{
  struct entry *entry;

  for (size_t i = 0; i < s->entry_count; i++)
    if (bd_chunk_equal (bd_chunk_of (s->entries[i].name), name))
      {
        s->entries[i].heard_ms = now_ms;
        return;
      }
  if (name.length == 0 || name.length >= NAME_BYTES
      || s->entry_count == ENTRIES_MAX)
    return;
  entry = &s->entries[s->entry_count++];
  memcpy (entry->name, name.data, name.length);
  entry->name[name.length] = '\0';
  entry->heard_ms = now_ms;
}

static void
forget_entries (struct bd_sidecar *s, int64_t now_ms)
{
  size_t i = 0;

  while (i < s->entry_count)
    if (now_ms - s->entries[i].heard_ms > ENTRY_SILENT_MS)
      s->entries[i] = s->entries[--s->entry_count];
    else
      i++;
}

/* The entry's confirmation is as old as it says, or younger, counted from
   this process's own clock which it echoes: a message that lay around, or a
   pause, cannot make it look fresh. */
static void
take_confirmation (struct bd_sidecar *s, const struct bd_message *m)
{
  struct bd_config *config = bd_exchange_config (s->exchange);

  if (m->echo_ms == 0 || m->confirm_age_ms <= 0
      || m->revision != bd_config_revision (config)
      || m->digest != bd_config_digest (config))
    return;
  bd_runner_confirm (s->runner, m->echo_ms - (m->confirm_age_ms - 1));
}

static void
take_heartbeat (struct bd_sidecar *s, int64_t now_ms, struct bd_chunk from,
                const struct bd_message *m)
{
  struct bd_message reply = { .flags = BD_FLAG_REPLY };

  hear_entry (s, now_ms, from);
  bd_exchange_heard (s->exchange, now_ms, from, m->revision, m->digest);
  take_confirmation (s, m);
  if (m->flags & BD_FLAG_REPLY)
    return;
  fill_heartbeat (s, &reply);
  bd_link_send (s->link, from, &reply);
}

static void
send_document (struct bd_sidecar *s, struct bd_chunk to, struct bd_chunk name)
{
  struct bd_message m = {
    .type = BD_MESSAGE_CONFIG,
    .name = name,
    .body = bd_config_document (bd_exchange_config (s->exchange), name),
  };

  if (m.body.length > 0)
    bd_link_send (s->link, to, &m);
}

static void
take_message (struct bd_sidecar *s, int64_t now_ms, struct bd_chunk from,
              const struct bd_message *m)
{
  switch (m->type)
    {
    case BD_MESSAGE_HEARTBEAT:
      take_heartbeat (s, now_ms, from, m);
      break;
    case BD_MESSAGE_CONFIG_GET:
      send_document (s, from, m->name);
      break;
    case BD_MESSAGE_CONFIG:
      bd_exchange_document (s->exchange, now_ms, from, m->name, m->body);
      break;
    default:
      bd_runner_message (s->runner, now_ms, bd_clock_wall_ms (), from, m);
    }
}

static void
read_messages (struct bd_sidecar *s)
{
  struct bd_chunk from;
  struct bd_message m;

  for (int i = 0; i < MESSAGES_PER_TURN; i++)
    {
      int rc = bd_link_receive (s->link, &from, &m);

      if (rc == BD_ERR_TIMEOUT)
        return;
      if (rc == BD_OK)
        take_message (s, bd_clock_ms (), from, &m);
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
take_probe (struct bd_sidecar *s, int64_t now_ms,
            const struct bd_engine_event *e)
{
  if (e->kind == BD_ENGINE_END)
    bd_runner_set_engine (s->runner, now_ms, true);
  if (e->kind == BD_ENGINE_END || e->kind == BD_ENGINE_FAILED)
    s->probing = false;
}

static void
take_event (struct bd_sidecar *s, int64_t now_ms,
            const struct bd_engine_event *e)
{
  switch (e->kind)
    {
    case BD_ENGINE_STARTED:
      break;
    case BD_ENGINE_HEAD:
      bd_runner_head (s->runner, now_ms, e->request, e->attempt, e->status,
                      e->content_type);
      break;
    case BD_ENGINE_DATA:
      bd_runner_data (s->runner, now_ms, e->request, e->attempt, e->data);
      break;
    case BD_ENGINE_END:
      bd_runner_end (s->runner, now_ms, e->request, e->attempt);
      break;
    case BD_ENGINE_FAILED:
      bd_runner_failed (s->runner, now_ms, e->request, e->attempt, e->error,
                        e->sent);
      break;
    }
}

static void
read_events (struct bd_sidecar *s)
{
  struct bd_engine_mail *mail;

  while ((mail = bd_engine_mail_take (s->events)))
    {
      if (is_probe (&mail->event))
        take_probe (s, bd_clock_ms (), &mail->event);
      else
        take_event (s, bd_clock_ms (), &mail->event);
      free (mail);
    }
}

/* Asks an engine that failed whether it answers again. */
static void
probe_engine (struct bd_sidecar *s, int64_t now_ms)
{
  struct bd_engine_call call = { .method = BD_CHUNK ("GET"),
                                 .path = BD_CHUNK (PROBE_PATH),
                                 .deadline_left_ms = PROBE_LIMIT_MS };

  if (bd_runner_engine_up (s->runner) || s->probing
      || now_ms - s->probe_ms < PROBE_MS)
    return;
  s->probe_ms = now_ms;
  s->probing = bd_engine_start (s->engine, &call) == BD_OK;
}

static void
report_engine (struct bd_sidecar *s)
{
  bool up = bd_runner_engine_up (s->runner);

  if (up == s->reported_up)
    return;
  s->reported_up = up;
  bd_log (up ? BD_EVENT_ENGINE_UP : BD_EVENT_ENGINE_DOWN, "url=%s",
          s->settings->engine_url);
  announce (s);
}

static int
write_status (struct bd_sidecar *s, struct bd_buffer *json)
{
  struct bd_config *config = bd_exchange_config (s->exchange);
  const struct bd_link_counts *c = bd_link_counts (s->link);
  struct bd_load load;

  bd_runner_load (s->runner, &load);
  return bd_describe_json (
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
          (json_int_t)s->entry_count, "control_sent_bytes",
          (json_int_t)c->sent_bytes[1], "control_received_bytes",
          (json_int_t)c->received_bytes[1]),
      json);
}

static int
write_state (void *context, enum bd_state_kind kind, struct bd_buffer *json)
{
  struct bd_sidecar *s = context;

  switch (kind)
    {
    case BD_STATE_STATUS:
      return write_status (s, json);
    case BD_STATE_CONTRACTS:
      return bd_describe_contracts (bd_exchange_config (s->exchange), json);
    case BD_STATE_RUNNERS:
      break;
    }
  return BD_ERR_NOT_FOUND;
}

static void
tick (struct bd_sidecar *s, int64_t now_ms)
{
  bd_state_serve (s->state, write_state, s);
  bd_runner_tick (s->runner, now_ms, bd_clock_wall_ms ());
  bd_exchange_tick (s->exchange, now_ms);
  probe_engine (s, now_ms);
  report_engine (s);
  forget_entries (s, now_ms);
}

static void
start_leaving (struct bd_sidecar *s, int64_t now_ms)
{
  bd_log (BD_EVENT_DAEMON_LEAVING, "drain_timeout_s=%d",
          s->settings->drain_timeout_s);
  bd_state_set_ready (s->state, false);
  bd_runner_leave (s->runner, now_ms);
  announce (s);
}

static bool
may_stop (const struct bd_sidecar *s, int64_t now_ms, int64_t leaving_ms)
{
  int64_t limit_ms = (int64_t)s->settings->drain_timeout_s * 1000;

  if (!bd_runner_is_leaving (s->runner))
    return false;
  return bd_runner_idle (s->runner)
         || (limit_ms > 0 && now_ms - leaving_ms >= limit_ms);
}

int
bd_sidecar_run (struct bd_sidecar *sidecar, const volatile int *stop)
{
  int64_t tick_ms = 0;
  int64_t leaving_ms = 0;

  bd_state_set_ready (sidecar->state, true);
  bd_log (BD_EVENT_DAEMON_READY, "role=sidecar incarnation=%llu",
          (unsigned long long)sidecar->incarnation);
  for (;;)
    {
      int64_t now_ms;

      bd_link_wait (sidecar->link, bd_mailbox_fd (sidecar->events), TICK_MS);
      read_messages (sidecar);
      read_events (sidecar);
      now_ms = bd_clock_ms ();
      if (*stop && !bd_runner_is_leaving (sidecar->runner))
        {
          leaving_ms = now_ms;
          start_leaving (sidecar, now_ms);
        }
      if (now_ms - tick_ms >= TICK_MS)
        {
          tick_ms = now_ms;
          tick (sidecar, now_ms);
        }
      if (may_stop (sidecar, now_ms, leaving_ms))
        return BD_OK;
    }
}
