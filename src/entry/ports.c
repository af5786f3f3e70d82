/* The callbacks of the dispatcher and the document exchange. */

#include "common/log.h"
#include "common/map.h"
#include "entry/control.h"

#include <stddef.h>

static struct bd_entry *
entry_of_exchange_port (struct bd_document_exchange_port *port)
{
  return (struct bd_entry *)((char *)port
                             - offsetof (struct bd_entry, exchange_port));
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
  (void)port;
  bd_log_request (event, request, attempt, detail);
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
exchange_fetch (struct bd_document_exchange_port *port, struct bd_chunk peer,
                struct bd_chunk name)
{
  struct bd_entry *e = entry_of_exchange_port (port);
  struct bd_message m = { .type = BD_MESSAGE_CONFIG_GET, .name = name };

  if (peer.length > 0)
    bd_link_send (e->link, peer, &m);
  else
    bd_watch_fetch (e->watch, name);
}

static void
exchange_note (struct bd_document_exchange_port *port, enum bd_event event,
               struct bd_chunk name, const char *detail)
{
  (void)port;
  bd_log_document (event, name, detail);
}

static void
exchange_changed (struct bd_document_exchange_port *port)
{
  entry_of_exchange_port (port)->config_changed = true;
}

void
bd_control_set_ports (struct bd_entry *e)
{
  e->dispatch_port = (struct bd_dispatch_port){
    .send = port_send,
    .deliver = port_deliver,
    .note = port_note,
    .count = port_count,
    .connect = port_connect,
    .disconnect = port_disconnect,
  };
  e->exchange_port = (struct bd_document_exchange_port){
    .fetch = exchange_fetch,
    .note = exchange_note,
    .changed = exchange_changed,
  };
}
