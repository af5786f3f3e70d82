#include "entry/entry.h"
#include "common/clock.h"
#include "common/incarnation.h"
#include "common/log.h"
#include "common/map.h"
#include "configuration/config_json.h"
#include "entry/control.h"
#include "entry/status.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <urcu.h>

#define TICK_INTERVAL_MS 20
/* After the readiness check starts to fail, new requests are still served
   for this long. */
#define LEAVING_GRACE_MS 1000
/* Time to send the final answers after the drain timeout. */
#define FINAL_ANSWERS_MS 500
/* An entry that is no watcher reads the manifest this often. */
#define REFRESH_INTERVAL_MS 30000

/* The first key seals new tokens; the others only open older ones.  Without
   the setting a random key is generated, which is valid at this entry only. */
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
parse_policy (const char *name)
{
  if (strcmp (name, "random") == 0)
    return BD_POLICY_RANDOM;
  if (strcmp (name, "better-of-two") == 0)
    return BD_POLICY_TWO_CHOICES;
  return BD_POLICY_LATE_BINDING;
}

static struct bd_dispatch *
create_dispatch (struct bd_entry *e)
{
  struct bd_dispatch_settings d = {
    .instance = bd_chunk_of (e->settings->instance),
    .zone = bd_chunk_of (e->settings->zone),
    .policy = parse_policy (e->settings->policy),
    .subset_size = (uint32_t)e->settings->subset_size,
    .seed = e->incarnation,
  };

  return bd_dispatch_create (&d, &e->dispatch_callbacks);
}

static bool
create_components (struct bd_entry *e)
{
  e->control_mailbox = bd_mailbox_create ();
  e->document_mailbox = bd_mailbox_create ();
  e->calls = bd_map_create ();
  e->view = bd_config_view_create ();
  e->exchange = bd_document_exchange_create (&e->exchange_callbacks);
  e->dispatch = create_dispatch (e);
  e->metrics = bd_metrics_create ();
  e->state = bd_admin_state_create ();
  if (!e->control_mailbox || !e->document_mailbox || !e->calls || !e->view
      || !e->exchange || !e->dispatch || !e->metrics || !e->state)
    return false;
  e->peers = bd_peers_create (e->settings, e->incarnation, e->link,
                              e->dispatch, e->exchange);
  if (!e->peers)
    return false;
  e->watch = bd_watch_create (e->settings->platform_url, e->incarnation,
                              &e->watch_sink);
  e->shared.settings = e->settings;
  e->shared.view = e->view;
  e->shared.control_mailbox = e->control_mailbox;
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
  bd_control_set_callbacks (e);
  bd_control_set_watch_sink (e);
  e->link = bd_link_create (&link, error);
  if (e->link)
    *error = BD_ERR_NOMEM;
  if (e->link && create_components (e))
    {
      *error = set_token_keys (e);
      if (*error == BD_OK)
        e->http = bd_http_create (&e->shared, error);
      if (e->http && settings->admin_address[0])
        e->admin = bd_admin_create (settings->admin_address, e->metrics,
                                    bd_admin_state_source (e->state), error);
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
  if (!entry)
    return;
  bd_admin_destroy (entry->admin);
  bd_http_destroy (entry->http);
  bd_watch_destroy (entry->watch);
  if (entry->control_mailbox && entry->calls)
    bd_control_free_calls (entry);
  if (entry->document_mailbox)
    bd_control_free_documents (entry);
  bd_mailbox_destroy (entry->control_mailbox);
  bd_mailbox_destroy (entry->document_mailbox);
  bd_map_destroy (entry->calls);
  bd_peers_destroy (entry->peers);
  bd_admin_state_destroy (entry->state);
  bd_metrics_destroy (entry->metrics);
  bd_dispatch_destroy (entry->dispatch);
  bd_document_exchange_destroy (entry->exchange);
  bd_config_view_destroy (entry->view);
  bd_link_destroy (entry->link);
  rcu_unregister_thread ();
  free (entry);
}

/* Only the elected watchers of a zone hold queries at the configuration
   service; the other entries get changes from them by gossip. */
static void
update_watch_role (struct bd_entry *e, int64_t now_ms)
{
  bool watcher = bd_peers_is_watcher (e->peers);

  if (watcher != e->watching)
    {
      e->watching = watcher;
      bd_watch_enable_queries (e->watch, watcher);
    }
  if (!watcher && now_ms - e->last_refresh_ms >= REFRESH_INTERVAL_MS)
    {
      e->last_refresh_ms = now_ms;
      bd_watch_fetch (e->watch, BD_CHUNK ("manifest"));
    }
}

static int
write_state (void *context, enum bd_admin_state_kind kind,
             struct bd_buffer *json)
{
  struct bd_entry *e = context;
  struct bd_status_input input = {
    .settings = e->settings,
    .incarnation = e->incarnation,
    .config = bd_document_exchange_config (e->exchange),
    .dispatch = e->dispatch,
    .membership = bd_peers_membership (e->peers),
    .counts = bd_link_counts (e->link),
    .platform_calls = bd_watch_calls (e->watch),
    .watching = e->watching,
    .leaving = atomic_load (&e->shared.leaving),
  };

  switch (kind)
    {
    case BD_ADMIN_STATE_STATUS:
      return bd_status_write (&input, json);
    case BD_ADMIN_STATE_RUNNERS:
      return bd_status_runners (&input, bd_clock_ms (), json);
    case BD_ADMIN_STATE_CONTRACTS:
      return bd_config_json_contracts (input.config, json);
    }
  return BD_ERR_NOT_FOUND;
}

static void
tick (struct bd_entry *e, int64_t now_ms)
{
  bd_dispatch_tick (e->dispatch, now_ms);
  bd_document_exchange_tick (e->exchange, now_ms);
  bd_peers_tick (e->peers, now_ms);
  bd_admin_state_serve (e->state, write_state, e);
  update_watch_role (e, now_ms);
  bd_control_send_heartbeats (e, now_ms);
  bd_control_cancel_slow_calls (e, now_ms);
}

/* Fails every open call, after the drain timeout. */
static void
fail_open_calls (struct bd_entry *e, int64_t now_ms)
{
  struct bd_http_call *call;
  size_t cursor = 0;

  while ((call = bd_map_next (e->calls, &cursor)))
    bd_dispatch_abort (e->dispatch, now_ms, call->request.request,
                       BD_ERR_LEAVING);
}

/* Runs the steps of a planned stop by the time since its start: the
   readiness check fails, then new requests are refused, then, after the
   drain timeout if one is set, open calls fail.  Returns true when the
   process may exit. */
static bool
advance_shutdown (struct bd_entry *e, int64_t now_ms, int64_t leaving_since_ms)
{
  int64_t limit_ms = (int64_t)e->settings->drain_timeout_s * 1000;
  int64_t elapsed_ms = now_ms - leaving_since_ms;

  atomic_store (&e->shared.leaving, true);
  if (elapsed_ms < LEAVING_GRACE_MS)
    return false;
  atomic_store (&e->shared.refusing, true);
  if (atomic_load (&e->shared.active_calls) == 0
      && bd_map_count (e->calls) == 0)
    return true;
  if (limit_ms == 0 || elapsed_ms < limit_ms)
    return false;
  fail_open_calls (e, now_ms);
  return elapsed_ms >= limit_ms + FINAL_ANSWERS_MS;
}

int
bd_entry_run (struct bd_entry *entry, const volatile int *stop)
{
  int64_t last_tick_ms = 0;
  int64_t leaving_since_ms = 0;

  bd_watch_fetch (entry->watch, BD_CHUNK ("manifest"));
  bd_log (BD_EVENT_DAEMON_READY, "role=entry incarnation=%llu",
          (unsigned long long)entry->incarnation);
  for (;;)
    {
      int64_t now_ms;

      bd_link_wait (entry->link, bd_mailbox_fd (entry->control_mailbox),
                    TICK_INTERVAL_MS);
      bd_control_read_messages (entry);
      bd_control_read_calls (entry);
      now_ms = bd_clock_ms ();
      bd_control_read_link_changes (entry, now_ms);
      bd_control_read_documents (entry, now_ms);
      if (entry->config_changed)
        bd_control_publish (entry, now_ms);
      if (now_ms - last_tick_ms >= TICK_INTERVAL_MS)
        {
          last_tick_ms = now_ms;
          tick (entry, now_ms);
        }
      if (!*stop)
        continue;
      if (leaving_since_ms == 0)
        {
          leaving_since_ms = now_ms;
          bd_log (BD_EVENT_DAEMON_LEAVING, "drain_timeout_s=%d",
                  entry->settings->drain_timeout_s);
          bd_admin_state_set_ready (entry->state, false);
          bd_peers_leave (entry->peers, now_ms);
        }
      if (advance_shutdown (entry, now_ms, leaving_since_ms))
        return BD_OK;
    }
}
