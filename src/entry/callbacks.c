/* The callbacks of the dispatcher and the document exchange. */

#include "common/log.h"
#include "common/map.h"
#include "entry/control.h"

#include <stddef.h>

static struct bd_entry *
entry_of_exchange_callbacks (struct bd_document_exchange_callbacks *callbacks)
{
  return (struct bd_entry *)((char *)callbacks
                             - offsetof (struct bd_entry, exchange_callbacks));
}

static int
send_to_runner (struct bd_dispatch_callbacks *callbacks,
                struct bd_chunk runner, const struct bd_message *message)
{
  struct bd_entry *e = (struct bd_entry *)callbacks;

  return bd_link_send (e->link, runner, message);
}

static void
deliver_to_call (struct bd_dispatch_callbacks *callbacks, struct bd_id request,
                 const struct bd_delivery *delivery)
{
  struct bd_entry *e = (struct bd_entry *)callbacks;
  struct bd_http_call *call = bd_map_get (e->calls, request, 0);

  if (call)
    bd_http_call_deliver (call, delivery);
}

static void
log_request_event (struct bd_dispatch_callbacks *callbacks,
                   enum bd_event event, struct bd_id request, uint32_t attempt,
                   const char *detail)
{
  (void)callbacks;
  bd_log_request (event, request, attempt, detail);
}

static void
count_dispatch_event (struct bd_dispatch_callbacks *callbacks,
                      enum bd_dispatch_count what)
{
  struct bd_entry *e = (struct bd_entry *)callbacks;

  if (what == BD_DISPATCH_RETRY || what == BD_DISPATCH_RESUME)
    bd_metrics_count (e->metrics, BD_COUNTER_RETRIES, 1);
}

static void
connect_runner (struct bd_dispatch_callbacks *callbacks,
                struct bd_chunk instance, struct bd_chunk address)
{
  struct bd_entry *e = (struct bd_entry *)callbacks;

  bd_link_connect (e->link, instance, address);
}

static void
disconnect_runner (struct bd_dispatch_callbacks *callbacks,
                   struct bd_chunk instance)
{
  struct bd_entry *e = (struct bd_entry *)callbacks;

  bd_link_disconnect (e->link, instance);
}

static void
fetch_document (struct bd_document_exchange_callbacks *callbacks,
                struct bd_chunk peer, struct bd_chunk name)
{
  struct bd_entry *e = entry_of_exchange_callbacks (callbacks);
  struct bd_message m = { .type = BD_MESSAGE_CONFIG_GET, .name = name };

  if (peer.length > 0)
    bd_link_send (e->link, peer, &m);
  else
    bd_watch_fetch (e->watch, name);
}

static void
log_document_event (struct bd_document_exchange_callbacks *callbacks,
                    enum bd_event event, struct bd_chunk name,
                    const char *detail)
{
  (void)callbacks;
  bd_log_document (event, name, detail);
}

static void
set_config_changed (struct bd_document_exchange_callbacks *callbacks)
{
  entry_of_exchange_callbacks (callbacks)->config_changed = true;
}

void
bd_control_set_callbacks (struct bd_entry *e)
{
  e->dispatch_callbacks = (struct bd_dispatch_callbacks){
    .send = send_to_runner,
    .deliver = deliver_to_call,
    .log_event = log_request_event,
    .count = count_dispatch_event,
    .connect = connect_runner,
    .disconnect = disconnect_runner,
  };
  e->exchange_callbacks = (struct bd_document_exchange_callbacks){
    .fetch = fetch_document,
    .log_event = log_document_event,
    .changed = set_config_changed,
  };
}
