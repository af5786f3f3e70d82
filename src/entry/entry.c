#include "entry/entry.h"
#include "common/clock.h"
#include "common/incarnation.h"
#include "common/log.h"
#include "common/map.h"
#include "common/state.h"
#include "core/describe.h"
#include "core/exchange.h"
#include "core/fleet.h"
#include "entry/http.h"
#include "entry/peers.h"
#include "entry/status.h"
#include "platform/watch.h"
#include "wire/link.h"

#include <jansson.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <urcu.h>

#define TICK_MS 20
#define MESSAGES_PER_TURN 256
#define REASON_BYTES 300
/* The least time between two heartbeats to the same runner. */
#define HEARTBEAT_MIN_MS 500
/* After the readiness check fails, callers are still served for this long. */
#define LEAVING_GRACE_MS 1000
/* Without news of the configuration for this long the service is asked. */
#define REFRESH_MS 30000
#define KEY_LIFE_MS ((int64_t)24 * 3600 * 1000)

/* A document from the platform's service, on its way to the control
   thread. */
struct document_mail
{
  struct bd_mail mail;
  struct bd_chunk name;
  struct bd_chunk json;
  int64_t sent_ms; /* Of a confirmation, whose JSON is empty. */
};

struct bd_entry
{
  struct bd_dispatch_port dispatch_port; /* Must stay the first member. */
  struct bd_exchange_port exchange_port;
  struct bd_watch_sink watch_sink;
  const struct bd_settings *settings;
  uint64_t incarnation;
  struct bd_link *link;
  struct bd_dispatch *dispatch;
  struct bd_exchange *exchange;
  struct bd_watch *watch;
  struct bd_view *view;
  struct bd_peers *peers;
  struct bd_metrics *metrics;
  struct bd_state *state;
  struct bd_admin *admin;
  struct bd_http *http;
  struct bd_http_shared shared;
  struct bd_token_keys keys;
  struct bd_mailbox *control;   /* From HTTP threads. */
  struct bd_mailbox *documents; /* From the watcher. */
  struct bd_map *calls;         /* By request. */
  size_t heartbeat_next;
  int64_t heartbeat_ms;
  int64_t refresh_ms;
  uint64_t service_manifest; /* Hash of what the service gave last. */
  bool watching;
  bool changed;
};

static struct bd_entry *
of_exchange (struct bd_exchange_port *port)
{
  return (struct bd_entry *)((char *)port
                             - offsetof (struct bd_entry, exchange_port));
}

static struct bd_entry *
of_watch (struct bd_watch_sink *sink)
{
  return (struct bd_entry *)((char *)sink
                             - offsetof (struct bd_entry, watch_sink));
}

static int
port_send (struct bd_dispatch_port *port, struct bd_chunk runner,
           const struct bd_message *message)
{
  struct bd_entry *e = (struct bd_entry *)port;

  return bd_link_send (e->link, runner, message);
}

static void
port_deliver (struct bd_dispatch_port *port, struct bd_id request,
              const struct bd_delivery *delivery)
{
  struct bd_entry *e = (struct bd_entry *)port;
  struct bd_http_call *call = bd_map_get (e->calls, request, 0);

  if (call)
    bd_http_call_deliver (call, delivery);
}

static void
port_note (struct bd_dispatch_port *port, enum bd_event event,
           struct bd_id request, uint32_t attempt, const char *detail)
{
  char text[BD_ID_HEX_LENGTH + 1];

  (void)port;
  if (!bd_log_shows (event))
    return;
  bd_id_format (request, text);
  bd_log (event, "request=%s attempt=%u%s%s", text, attempt,
          detail[0] ? " detail=" : "", detail);
}

static void
port_count (struct bd_dispatch_port *port, enum bd_dispatch_count what)
{
  struct bd_entry *e = (struct bd_entry *)port;

  if (what == BD_DISPATCH_RETRY || what == BD_DISPATCH_RESUME)
    bd_metrics_count (e->metrics, BD_COUNTER_RETRIES, 1);
}

static void
port_connect (struct bd_dispatch_port *port, struct bd_chunk instance,
              struct bd_chunk address)
{
  struct bd_entry *e = (struct bd_entry *)port;

  bd_link_connect (e->link, instance, address);
}

static void
port_disconnect (struct bd_dispatch_port *port, struct bd_chunk instance)
{
  struct bd_entry *e = (struct bd_entry *)port;

  bd_link_disconnect (e->link, instance);
}

static void
exchange_fetch (struct bd_exchange_port *port, struct bd_chunk peer,
                struct bd_chunk name)
{
  struct bd_entry *e = of_exchange (port);
  struct bd_message m = { .type = BD_MESSAGE_CONFIG_GET, .name = name };

  if (peer.length > 0)
    bd_link_send (e->link, peer, &m);
  else
    bd_watch_fetch (e->watch, name);
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
exchange_changed (struct bd_exchange_port *port)
{
  of_exchange (port)->changed = true;
}

static void
post_document (struct bd_entry *e, struct bd_chunk name, struct bd_chunk json,
               int64_t sent_ms)
{
  struct document_mail *mail
      = malloc (sizeof *mail + name.length + json.length);
  char *bytes;

  if (!mail)
    return;
  bytes = (char *)(mail + 1);
  memcpy (bytes, name.data, name.length);
  if (json.length > 0)
    memcpy (bytes + name.length, json.data, json.length);
  mail->name = (struct bd_chunk){ bytes, name.length };
  mail->json = (struct bd_chunk){ bytes + name.length, json.length };
  mail->sent_ms = sent_ms;
  bd_mailbox_post (e->documents, &mail->mail);
}

static void
watch_document (struct bd_watch_sink *sink, struct bd_chunk name,
                struct bd_chunk json)
{
  post_document (of_watch (sink), name, json, 0);
}

static void
watch_confirmed (struct bd_watch_sink *sink, struct bd_chunk name,
                 int64_t sent_ms)
{
  if (bd_chunk_equal (name, BD_CHUNK ("manifest")))
    post_document (of_watch (sink), name, (struct bd_chunk){ NULL, 0 },
                   sent_ms);
}

static void
watch_reachable (struct bd_watch_sink *sink, bool up)
{
  bd_log (up ? BD_EVENT_PLATFORM_UP : BD_EVENT_PLATFORM_DOWN, "url=%s",
          of_watch (sink)->settings->platform_url);
}

static void
set_ports (struct bd_entry *e)
{
  e->dispatch_port = (struct bd_dispatch_port){
    .send = port_send,
    .deliver = port_deliver,
    .note = port_note,
    .count = port_count,
    .connect = port_connect,
    .disconnect = port_disconnect,
  };
  e->exchange_port = (struct bd_exchange_port){
    .fetch = exchange_fetch,
    .note = exchange_note,
    .changed = exchange_changed,
  };
  e->watch_sink = (struct bd_watch_sink){
    .document = watch_document,
    .reachable = watch_reachable,
    .confirmed = watch_confirmed,
  };
}

/* The first key seals, the others still open.  Without a setting a key is
   drawn, which is good at this entry only. */
static int
set_token_keys (struct bd_entry *e)
{
  const char *hex = e->settings->token_key;
  size_t length = 0;

  e->keys.count = 1;
  if (!hex || !hex[0])
    {
      randombytes_buf (e->keys.keys[0], BD_TOKEN_KEY_BYTES);
      return BD_OK;
    }
  if (sodium_hex2bin ((unsigned char *)e->keys.keys, sizeof e->keys.keys, hex,
                      strlen (hex), ",", &length, NULL)
          != 0
      || length == 0 || length % BD_TOKEN_KEY_BYTES != 0)
    return BD_ERR_SETTING;
  e->keys.count = length / BD_TOKEN_KEY_BYTES;
  return BD_OK;
}

static enum bd_placement_policy
policy_of (const char *name)
{
  if (strcmp (name, "random") == 0)
    return BD_POLICY_RANDOM;
  if (strcmp (name, "better-of-two") == 0)
    return BD_POLICY_BETTER_OF_TWO;
  return BD_POLICY_LATE_BINDING;
}

static struct bd_dispatch *
make_dispatch (struct bd_entry *e)
{
  struct bd_dispatch_settings d = {
    .instance = bd_chunk_of (e->settings->instance),
    .zone = bd_chunk_of (e->settings->zone),
    .policy = policy_of (e->settings->policy),
    .subset_size = (uint32_t)e->settings->subset_size,
    .seed = e->incarnation,
  };

  return bd_dispatch_create (&d, &e->dispatch_port);
}

static bool
make_parts (struct bd_entry *e)
{
  e->control = bd_mailbox_create ();
  e->documents = bd_mailbox_create ();
  e->calls = bd_map_create ();
  e->view = bd_view_create ();
  e->exchange = bd_exchange_create (&e->exchange_port);
  e->dispatch = make_dispatch (e);
  e->metrics = bd_metrics_create ();
  e->state = bd_state_create ();
  if (!e->control || !e->documents || !e->calls || !e->view || !e->exchange
      || !e->dispatch || !e->metrics || !e->state)
    return false;
  e->peers = bd_peers_create (e->settings, e->incarnation, e->link,
                              e->dispatch, e->exchange);
  if (!e->peers)
    return false;
  e->watch = bd_watch_create (e->settings->platform_url, e->incarnation,
                              &e->watch_sink);
  e->shared.settings = e->settings;
  e->shared.view = e->view;
  e->shared.control = e->control;
  e->shared.keys = &e->keys;
  e->shared.metrics = e->metrics;
  return e->watch != NULL;
}

struct bd_entry *
bd_entry_create (const struct bd_settings *settings, int *error)
{
  struct bd_link_settings link = { .instance = settings->instance,
                                   .address = settings->peer_address,
                                   .curve_public = settings->curve_public,
                                   .curve_secret = settings->curve_secret };
  struct bd_entry *e = calloc (1, sizeof *e);

  *error = BD_ERR_NOMEM;
  if (!e)
    return NULL;
  rcu_register_thread ();
  e->settings = settings;
  e->incarnation = bd_incarnation_now ();
  set_ports (e);
  e->link = bd_link_create (&link, error);
  if (e->link && make_parts (e))
    {
      *error = set_token_keys (e);
      if (*error == BD_OK)
        {
          *error = BD_ERR_IO;
          e->http = bd_http_create (&e->shared);
        }
      if (e->http && settings->admin_address[0])
        e->admin = bd_admin_create (settings->admin_address, e->metrics,
                                    bd_state_source (e->state), error);
    }
  if (e->http && settings->admin_address[0] && !e->admin)
    {
      bd_entry_destroy (e);
      return NULL;
    }
  if (e->http)
    return e;
  bd_entry_destroy (e);
  return NULL;
}

void
bd_entry_destroy (struct bd_entry *entry)
{
  struct bd_mail *mail;
  struct bd_http_call *call;
  size_t cursor = 0;

  if (!entry)
    return;
  bd_admin_destroy (entry->admin);
  bd_http_destroy (entry->http);
  bd_watch_destroy (entry->watch);
  while (entry->control && (mail = bd_mailbox_take (entry->control)))
    {
      struct bd_http_call_mail *last = (struct bd_http_call_mail *)mail;

      if (last->step > BD_CALL_ISSUE)
        {
          bd_map_remove (entry->calls, last->call->request.request, 0);
          bd_http_call_destroy (last->call);
        }
    }
  while (entry->documents && (mail = bd_mailbox_take (entry->documents)))
    free (mail);
  while (entry->calls && (call = bd_map_next (entry->calls, &cursor)))
    bd_http_call_destroy (call);
  bd_mailbox_destroy (entry->control);
  bd_mailbox_destroy (entry->documents);
  bd_map_destroy (entry->calls);
  bd_peers_destroy (entry->peers);
  bd_state_destroy (entry->state);
  bd_metrics_destroy (entry->metrics);
  bd_dispatch_destroy (entry->dispatch);
  bd_exchange_destroy (entry->exchange);
  bd_view_destroy (entry->view);
  bd_link_destroy (entry->link);
  rcu_unregister_thread ();
  free (entry);
}

static void
issue_key (struct bd_entry *e, int64_t wall_ms, struct bd_http_call *call)
{
  struct bd_delivery reply
      = { .kind = BD_DELIVERY_FAIL, .error = BD_ERR_NO_RUNNER };
  struct bd_token token = {
    .workspace = bd_chunk_hash (call->request.workspace),
    .class_id = bd_chunk_hash (call->request.class_name),
    .made_wall_ms = wall_ms,
    .expires_wall_ms = wall_ms + KEY_LIFE_MS,
    .id = bd_id_random (),
  };
  struct bd_buffer text = { 0 };
  struct bd_chunk custodian;

  if (bd_dispatch_custodian (e->dispatch, call->request.pool, &custodian,
                             &token.incarnation)
      && custodian.length <= BD_CUSTODY_NAME_BYTES)
    {
      memcpy (token.custodian, custodian.data, custodian.length);
      if (bd_token_seal (e->keys.keys[0], &token, &text) == BD_OK)
        {
          reply.kind = BD_DELIVERY_DATA;
          reply.data = bd_buffer_chunk (&text);
        }
    }
  bd_http_call_deliver (call, &reply);
  bd_buffer_clear (&text);
}

static void
submit_call (struct bd_entry *e, int64_t now_ms, struct bd_http_call *call)
{
  struct bd_delivery failure
      = { .kind = BD_DELIVERY_FAIL, .error = BD_ERR_NOMEM };

  if (bd_map_put (e->calls, call->request.request, 0, call) != BD_OK)
    {
      bd_http_call_deliver (call, &failure);
      return;
    }
  bd_dispatch_submit (e->dispatch, now_ms, &call->request);
}

static void
end_call (struct bd_entry *e, struct bd_http_call *call)
{
  bd_map_remove (e->calls, call->request.request, 0);
  bd_http_call_destroy (call);
}

static void
take_call (struct bd_entry *e, int64_t now_ms, struct bd_http_call_mail *mail)
{
  struct bd_http_call *call = mail->call;

  switch (mail->step)
    {
    case BD_CALL_SUBMIT:
      submit_call (e, now_ms, call);
      break;
    case BD_CALL_ISSUE:
      issue_key (e, bd_clock_wall_ms (), call);
      break;
    case BD_CALL_DELIVERED:
      bd_log (BD_EVENT_REQUEST_DONE, "request=%s time_us=%lld", call->id_text,
              (long long)(bd_clock_us () - call->arrived_us));
      bd_dispatch_delivered (e->dispatch, now_ms, call->request.request);
      end_call (e, call);
      break;
    case BD_CALL_CANCELLED:
      bd_dispatch_cancel (e->dispatch, now_ms, call->request.request);
      end_call (e, call);
      break;
    case BD_CALL_RELEASED:
      end_call (e, call);
      break;
    }
}

static void
read_calls (struct bd_entry *e)
{
  struct bd_mail *mail;

  while ((mail = bd_mailbox_take (e->control)))
    take_call (e, bd_clock_ms (), (struct bd_http_call_mail *)mail);
}

/* The list lags, so it only takes runners and peers out. */
static void
take_instances (struct bd_entry *e, int64_t now_ms, struct bd_chunk json)
{
  json_t *root = json_loadb (json.data ? json.data : "", json.length, 0, NULL);
  json_t *list = json_object_get (root, "instances");
  json_t *item;
  size_t i;

  json_array_foreach (list, i, item)
  {
    const char *state = json_string_value (json_object_get (item, "state"));
    struct bd_chunk instance
        = bd_chunk_of (json_string_value (json_object_get (item, "instance")));

    if (!state || instance.length == 0)
      continue;
    bd_peers_listed (e->peers, now_ms, instance,
                     strcmp (state, "leaving") == 0);
    if (strcmp (state, "leaving") == 0)
      bd_dispatch_leaving (e->dispatch, instance);
  }
  json_decref (root);
}

static void
count_missing (void *context, struct bd_chunk name)
{
  (void)name;
  ++*(size_t *)context;
}

/* What is in force is confirmed when the service gives the same manifest and
   every document that it names has come. */
static void
take_confirmation (struct bd_entry *e, int64_t sent_ms)
{
  struct bd_config *config = bd_exchange_config (e->exchange);
  struct bd_chunk manifest
      = bd_config_document (config, BD_CHUNK ("manifest"));
  size_t missing = 0;

  bd_config_missing (config, count_missing, &missing);
  if (missing == 0 && bd_chunk_hash (manifest) == e->service_manifest)
    bd_peers_confirm (e->peers, sent_ms);
}

static void
take_document (struct bd_entry *e, int64_t now_ms, struct bd_chunk name,
               struct bd_chunk json)
{
  struct bd_chunk service = { NULL, 0 };

  if (bd_chunk_equal (name, BD_CHUNK ("manifest")))
    e->service_manifest = bd_chunk_hash (json);
  bd_exchange_document (e->exchange, now_ms, service, name, json);
}

static void
read_documents (struct bd_entry *e, int64_t now_ms)
{
  struct bd_mail *mail;

  while ((mail = bd_mailbox_take (e->documents)))
    {
      struct document_mail *document = (struct document_mail *)mail;

      if (document->sent_ms != 0)
        take_confirmation (e, document->sent_ms);
      else if (bd_chunk_equal (document->name, BD_CHUNK ("instances")))
        take_instances (e, now_ms, document->json);
      else
        take_document (e, now_ms, document->name, document->json);
      free (document);
    }
}

static void
fill_heartbeat (struct bd_entry *e, struct bd_message *m)
{
  struct bd_config *config = bd_exchange_config (e->exchange);

  m->type = BD_MESSAGE_HEARTBEAT;
  m->incarnation = e->incarnation;
  m->revision = bd_config_revision (config);
  m->digest = bd_config_digest (config);
  m->confirm_age_ms = bd_peers_confirm_age (e->peers, bd_clock_ms ());
}

static void
heartbeat_runner (struct bd_entry *e, size_t index)
{
  struct bd_message m = { 0 };
  struct bd_runner_view view;

  bd_dispatch_runner (e->dispatch, index, &view);
  fill_heartbeat (e, &m);
  m.echo_ms = view.peer_clock_ms;
  bd_link_send (e->link, view.instance, &m);
}

static void
heartbeat_all (struct bd_entry *e)
{
  for (size_t i = 0; i < bd_dispatch_runner_count (e->dispatch); i++)
    heartbeat_runner (e, i);
}

/* Sends heartbeats at a bounded rate, to one runner after the other. */
static void
send_heartbeats (struct bd_entry *e, int64_t now_ms)
{
  size_t runners = bd_dispatch_runner_count (e->dispatch);
  int64_t step_ms = 1000 / BD_FLEET_HEARTBEATS_PER_S;

  if (runners == 0)
    return;
  if (step_ms < HEARTBEAT_MIN_MS / (int64_t)runners)
    step_ms = HEARTBEAT_MIN_MS / (int64_t)runners;
  if (now_ms - e->heartbeat_ms < step_ms)
    return;
  e->heartbeat_ms = now_ms;
  heartbeat_runner (e, e->heartbeat_next++ % runners);
}

/* Puts what is newly in force where it is used, and tells the runners. */
static void
publish (struct bd_entry *e, int64_t now_ms)
{
  struct bd_config *config = bd_exchange_config (e->exchange);
  struct bd_config_snapshot *snapshot = bd_config_snapshot (config);

  e->changed = false;
  if (!snapshot)
    return;
  bd_dispatch_configure (e->dispatch, now_ms, snapshot);
  bd_peers_configure (e->peers, now_ms, snapshot);
  bd_view_publish (e->view, snapshot);
  bd_state_set_ready (e->state, true);
  heartbeat_all (e);
  bd_peers_announce (e->peers, now_ms);
}

static void
send_document (struct bd_entry *e, struct bd_chunk to, struct bd_chunk name)
{
  struct bd_message m = {
    .type = BD_MESSAGE_CONFIG,
    .name = name,
    .body = bd_config_document (bd_exchange_config (e->exchange), name),
  };

  if (m.body.length > 0)
    bd_link_send (e->link, to, &m);
}

/* Another entry that knows this one as a seed only asks for the revision. */
static void
take_heartbeat (struct bd_entry *e, int64_t now_ms, struct bd_chunk from,
                const struct bd_message *m)
{
  struct bd_message reply = { .flags = BD_FLAG_REPLY };

  bd_exchange_heard (e->exchange, now_ms, from, m->revision, m->digest);
  if (m->flags & BD_FLAG_REPLY || m->slots > 0)
    return;
  fill_heartbeat (e, &reply);
  bd_link_send (e->link, from, &reply);
}

static void
take_message (struct bd_entry *e, int64_t now_ms, struct bd_chunk from,
              const struct bd_message *m)
{
  switch (m->type)
    {
    case BD_MESSAGE_CONFIG_GET:
      send_document (e, from, m->name);
      return;
    case BD_MESSAGE_CONFIG:
      bd_exchange_document (e->exchange, now_ms, from, m->name, m->body);
      return;
    case BD_MESSAGE_GOSSIP:
      bd_peers_message (e->peers, now_ms, from, m);
      return;
    case BD_MESSAGE_HEARTBEAT:
      take_heartbeat (e, now_ms, from, m);
      break;
    default:
      break;
    }
  bd_dispatch_message (e->dispatch, now_ms, from, m);
}

static void
read_messages (struct bd_entry *e)
{
  struct bd_chunk from;
  struct bd_message m;

  for (int i = 0; i < MESSAGES_PER_TURN; i++)
    {
      int rc = bd_link_receive (e->link, &from, &m);

      if (rc == BD_ERR_TIMEOUT)
        return;
      if (rc == BD_OK)
        take_message (e, bd_clock_ms (), from, &m);
      else
        bd_log (BD_EVENT_PROTOCOL_ERROR, "error=%s",
                bd_error_answer (rc)->code);
    }
}

static void
read_changes (struct bd_entry *e, int64_t now_ms)
{
  struct bd_chunk instance;
  enum bd_link_change change;

  while (bd_link_change (e->link, &instance, &change))
    {
      struct bd_message m = { 0 };

      bd_log (BD_EVENT_RUNNER_STATE, "runner=%.*s connection=%s",
              (int)instance.length, instance.data,
              change == BD_LINK_UP ? "up" : "lost");
      bd_dispatch_connection (e->dispatch, now_ms, instance,
                              change == BD_LINK_UP);
      if (change != BD_LINK_UP)
        continue;
      fill_heartbeat (e, &m);
      bd_link_send (e->link, instance, &m);
    }
}

/* Gives up on callers who do not read what they are sent. */
static void
drop_slow_calls (struct bd_entry *e, int64_t now_ms)
{
  struct bd_http_call *call;
  size_t cursor = 0;

  while ((call = bd_map_next (e->calls, &cursor)))
    if (atomic_exchange (&call->slow, false))
      bd_dispatch_cancel (e->dispatch, now_ms, call->request.request);
}

/* Only some entries of a zone hold queries at the service; the others learn
   from them. */
static void
choose_watcher (struct bd_entry *e, int64_t now_ms)
{
  bool watcher = bd_peers_watcher (e->peers);

  if (watcher != e->watching)
    {
      e->watching = watcher;
      bd_watch_hold (e->watch, watcher);
    }
  if (!watcher && now_ms - e->refresh_ms >= REFRESH_MS)
    {
      e->refresh_ms = now_ms;
      bd_watch_fetch (e->watch, BD_CHUNK ("manifest"));
    }
}

static int
write_state (void *context, enum bd_state_kind kind, struct bd_buffer *json)
{
  struct bd_entry *e = context;
  struct bd_status_input input = {
    .settings = e->settings,
    .incarnation = e->incarnation,
    .config = bd_exchange_config (e->exchange),
    .dispatch = e->dispatch,
    .membership = bd_peers_membership (e->peers),
    .counts = bd_link_counts (e->link),
    .platform_calls = bd_watch_calls (e->watch),
    .watching = e->watching,
    .leaving = atomic_load (&e->shared.leaving),
  };

  switch (kind)
    {
    case BD_STATE_STATUS:
      return bd_status_write (&input, json);
    case BD_STATE_RUNNERS:
      return bd_status_runners (&input, bd_clock_ms (), json);
    case BD_STATE_CONTRACTS:
      return bd_describe_contracts (input.config, json);
    }
  return BD_ERR_NOT_FOUND;
}

static void
tick (struct bd_entry *e, int64_t now_ms)
{
  bd_dispatch_tick (e->dispatch, now_ms);
  bd_exchange_tick (e->exchange, now_ms);
  bd_peers_tick (e->peers, now_ms);
  bd_state_serve (e->state, write_state, e);
  choose_watcher (e, now_ms);
  send_heartbeats (e, now_ms);
  drop_slow_calls (e, now_ms);
}

/* Steps of leaving: the readiness check fails, then new calls are refused.
   True when the process may end. */
static bool
leave (struct bd_entry *e, int64_t now_ms, int64_t leaving_ms)
{
  int64_t limit_ms = (int64_t)e->settings->drain_timeout_s * 1000;
  int64_t gone_ms = now_ms - leaving_ms;

  atomic_store (&e->shared.leaving, true);
  if (gone_ms < LEAVING_GRACE_MS)
    return false;
  atomic_store (&e->shared.refusing, true);
  if (atomic_load (&e->shared.active) == 0 && bd_map_count (e->calls) == 0)
    return true;
  return limit_ms > 0 && gone_ms >= limit_ms;
}

int
bd_entry_run (struct bd_entry *entry, const volatile int *stop)
{
  int64_t tick_ms = 0;
  int64_t leaving_ms = 0;

  bd_watch_fetch (entry->watch, BD_CHUNK ("manifest"));
  bd_log (BD_EVENT_DAEMON_READY, "role=entry incarnation=%llu",
          (unsigned long long)entry->incarnation);
  for (;;)
    {
      int64_t now_ms;

      bd_link_wait (entry->link, bd_mailbox_fd (entry->control), TICK_MS);
      read_messages (entry);
      read_calls (entry);
      now_ms = bd_clock_ms ();
      read_changes (entry, now_ms);
      read_documents (entry, now_ms);
      if (entry->changed)
        publish (entry, now_ms);
      if (now_ms - tick_ms >= TICK_MS)
        {
          tick_ms = now_ms;
          tick (entry, now_ms);
        }
      if (!*stop)
        continue;
      if (leaving_ms == 0)
        {
          leaving_ms = now_ms;
          bd_log (BD_EVENT_DAEMON_LEAVING, "drain_timeout_s=%d",
                  entry->settings->drain_timeout_s);
          bd_state_set_ready (entry->state, false);
          bd_peers_leave (entry->peers, now_ms);
        }
      if (leave (entry, now_ms, leaving_ms))
        return BD_OK;
    }
}
