/* The callbacks of the runner and the document exchange. */

#include "common/clock.h"
#include "common/log.h"
#include "configuration/home_runner.h"
#include "sidecar/control.h"

#include <stddef.h>

static struct bd_sidecar *
sidecar_of_exchange_callbacks (
    struct bd_document_exchange_callbacks *callbacks)
{
  return (
      struct bd_sidecar *)((char *)callbacks
                           - offsetof (struct bd_sidecar, exchange_callbacks));
}

static void
send_to_entry (struct bd_runner_callbacks *callbacks, struct bd_chunk entry,
               const struct bd_message *message)
{
  struct bd_sidecar *s = (struct bd_sidecar *)callbacks;

  bd_link_send (s->link, entry, message);
}

static void
start_engine_call (struct bd_runner_callbacks *callbacks,
                   const struct bd_runner_call *call)
{
  struct bd_sidecar *s = (struct bd_sidecar *)callbacks;
  struct bd_engine_call c = { .request = call->request,
                              .attempt = call->attempt,
                              .method = call->method,
                              .path = call->path,
                              .content_type = call->content_type,
                              .body = call->body,
                              .idempotency_key = call->key_text,
                              .tier = call->tier,
                              .fencing = s->incarnation,
                              .deadline_left_ms = call->budget_ms };
  int rc = bd_engine_start (s->engine, &c);

  if (rc != BD_OK)
    bd_runner_engine_failed (s->runner, bd_clock_ms (), call->request,
                             call->attempt, rc, false);
}

static void
cancel_engine_call (struct bd_runner_callbacks *callbacks,
                    struct bd_id request, uint32_t attempt)
{
  struct bd_sidecar *s = (struct bd_sidecar *)callbacks;

  bd_engine_cancel (s->engine, request, attempt);
}

static void
log_usage_record (struct bd_runner_callbacks *callbacks,
                  const struct bd_billing_record *bill)
{
  char request[BD_ID_HEX_LENGTH + 1];
  char key[BD_ID_HEX_LENGTH + 1];

  bd_metrics_count (((struct bd_sidecar *)callbacks)->metrics,
                    BD_COUNTER_BILLED, 1);
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
log_request_event (struct bd_runner_callbacks *callbacks, enum bd_event event,
                   struct bd_id request, uint32_t attempt, const char *detail)
{
  struct bd_metrics *metrics = ((struct bd_sidecar *)callbacks)->metrics;

  if (event == BD_EVENT_REQUEST_SHED)
    bd_metrics_count (metrics, BD_COUNTER_SHED, 1);
  else if (event == BD_EVENT_REQUEST_EXPIRED)
    bd_metrics_count (metrics, BD_COUNTER_EXPIRED, 1);
  bd_log_request (event, request, attempt, detail);
}

static void
record_queue_wait (struct bd_runner_callbacks *callbacks,
                   struct bd_chunk workspace, struct bd_chunk class_name,
                   int64_t wait_ms)
{
  struct bd_sidecar *s = (struct bd_sidecar *)callbacks;

  bd_class_metrics_add (bd_metrics_class (s->metrics, workspace, class_name),
                        BD_DURATION_QUEUE_WAIT, wait_ms * 1000);
}

static void
fetch_document (struct bd_document_exchange_callbacks *callbacks,
                struct bd_chunk peer, struct bd_chunk name)
{
  struct bd_message m = { .type = BD_MESSAGE_CONFIG_GET, .name = name };

  if (peer.length > 0)
    bd_link_send (sidecar_of_exchange_callbacks (callbacks)->link, peer, &m);
}

static void
log_document_event (struct bd_document_exchange_callbacks *callbacks,
                    enum bd_event event, struct bd_chunk name,
                    const char *detail)
{
  (void)callbacks;
  bd_log_document (event, name, detail);
}

void
bd_sidecar_fill_heartbeat (struct bd_sidecar *s, struct bd_message *m)
{
  struct bd_config *config = bd_document_exchange_config (s->exchange);

  m->type = BD_MESSAGE_HEARTBEAT;
  m->revision = bd_config_revision (config);
  m->digest = bd_config_digest (config);
  m->sent_ms = bd_clock_ms ();
  bd_runner_fill_load (s->runner, m);
}

void
bd_sidecar_send_heartbeats (struct bd_sidecar *s)
{
  struct bd_message m = { 0 };

  bd_sidecar_fill_heartbeat (s, &m);
  for (size_t i = 0; i < s->known_entry_count; i++)
    bd_link_send (s->link, bd_chunk_of (s->known_entries[i].name), &m);
}

static const struct bd_pool *
find_own_pool (const struct bd_sidecar *s)
{
  return s->snapshot ? bd_config_find_pool (s->snapshot,
                                            bd_chunk_of (s->settings->pool))
                     : NULL;
}

static bool
is_home_runner (struct bd_runner_callbacks *callbacks, struct bd_id key)
{
  struct bd_sidecar *s = (struct bd_sidecar *)callbacks;
  const struct bd_pool *pool = find_own_pool (s);

  return pool
         && bd_home_runner_is (pool, key, bd_chunk_of (s->settings->instance));
}

static void
apply_config (struct bd_document_exchange_callbacks *callbacks)
{
  struct bd_sidecar *s = sidecar_of_exchange_callbacks (callbacks);
  const struct bd_pool *pool;
  uint64_t pool_list_hash;

  if (s->snapshot)
    bd_config_snapshot_release (s->snapshot);
  s->snapshot = bd_config_snapshot (bd_document_exchange_config (s->exchange));
  pool = find_own_pool (s);
  pool_list_hash = pool ? bd_home_runner_list_hash (pool) : 0;
  if (pool_list_hash != s->pool_list_hash)
    bd_runner_set_home_since (s->runner, bd_clock_wall_ms ());
  s->pool_list_hash = pool_list_hash;
  bd_sidecar_send_heartbeats (s);
}

void
bd_sidecar_set_callbacks (struct bd_sidecar *s)
{
  s->runner_callbacks = (struct bd_runner_callbacks){
    .send = send_to_entry,
    .start = start_engine_call,
    .cancel = cancel_engine_call,
    .write_billing_record = log_usage_record,
    .log_event = log_request_event,
    .is_home_runner = is_home_runner,
    .record_wait = record_queue_wait,
  };
  s->exchange_callbacks = (struct bd_document_exchange_callbacks){
    .fetch = fetch_document,
    .log_event = log_document_event,
    .changed = apply_config,
  };
}
