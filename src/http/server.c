#include "http/server_internal.h"

#include "common/clock.h"
#include "common/log.h"

#include <http_parser.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define LISTEN_BACKLOG 1024
/* How often connections are checked for timeouts. */
#define SWEEP_INTERVAL_MS 250
/* A connection keeps a body buffer of up to this capacity for its next
   request; a larger one is freed. */
#define BODY_RETAINED_BYTES ((size_t)32 * 1024)

static const struct bd_caller_limits default_limits
    = { .head_max_bytes = (size_t)16 * 1024,
        .body_max_bytes = (size_t)4 * 1024 * 1024,
        .head_timeout_ms = 3000,
        .idle_timeout_ms = 15000 };

static void
free_exchange (struct bd_exchange *exchange)
{
  struct bd_server *server = exchange->server;

  if (exchange->previous)
    exchange->previous->next = exchange->next;
  else
    server->exchanges = exchange->next;
  if (exchange->next)
    exchange->next->previous = exchange->previous;
  server->connections--;
  bd_intake_remove (&server->intake, &exchange->intake);
  bd_http_reader_destroy (exchange->reader);
  bd_buffer_clear (&exchange->body);
  free (exchange);
}

void
bd_exchange_close (struct bd_exchange *exchange, bool graceful)
{
  if (exchange->closed)
    return;
  exchange->closed = true;
  if (exchange->phase != PHASE_READING)
    exchange->server->active--;
  if (graceful)
    bd_socket_finish (exchange->socket);
  else
    bd_socket_close (exchange->socket);
  exchange->socket = NULL;
  if (!exchange->parsing)
    free_exchange (exchange);
}

static void
abort_exchange (struct bd_exchange *exchange)
{
  if (exchange->phase != PHASE_READING)
    exchange->server->handler->on_abort (exchange->server->context, exchange);
  bd_exchange_close (exchange, false);
}

int
bd_exchange_write (struct bd_exchange *exchange, struct bd_buffer *out)
{
  int error = BD_ERR_NOMEM;

  if (!out->incomplete && !exchange->broken)
    error = bd_socket_write (exchange->socket, bd_buffer_chunk (out));
  exchange->broken = error != BD_OK;
  bd_buffer_clear (out);
  return error;
}

/* Answers an incomplete request with ERROR and closes the connection. */
static void
reject (struct bd_exchange *exchange, int error)
{
  const struct bd_answer *answer = bd_error_answer (error);
  const struct bd_server *server = exchange->server;
  struct bd_buffer fields = { 0 };
  struct bd_buffer body = { 0 };
  struct bd_buffer out = { 0 };

  bd_log (BD_EVENT_CALLER_REFUSED, "status=%d code=%s bytes=%zu",
          answer->status, answer->code, exchange->body.length);
  if (server->handler->on_refuse)
    server->handler->on_refuse (server->context, exchange, error, &fields,
                                &body);
  bd_buffer_printf (
      &out,
      "HTTP/1.1 %d %s\r\nConnection: close\r\n"
      "Content-Length: %zu\r\n%.*s\r\n",
      answer->status, http_status_str ((enum http_status)answer->status),
      body.length, (int)fields.length, fields.data ? fields.data : "");
  bd_buffer_append (&out, bd_buffer_chunk (&body));
  exchange->broken |= fields.incomplete || body.incomplete;
  bd_buffer_clear (&fields);
  bd_buffer_clear (&body);
  bd_exchange_close (exchange, bd_exchange_write (exchange, &out) == BD_OK);
}

static int
on_head (void *context, const struct bd_head *head)
{
  struct bd_exchange *exchange = context;
  struct bd_chunk expect = bd_head_value (head, BD_CHUNK ("Expect"));

  exchange->head = head;
  exchange->head_done = true;
  if (bd_field_named (head->method, BD_CHUNK ("CONNECT")))
    return BD_ERR_INVALID;
  if (head->body_length > (int64_t)exchange->server->limits.body_max_bytes)
    return BD_ERR_TOO_LARGE;
  if (bd_field_named (expect, BD_CHUNK ("100-continue")))
    return bd_socket_write (exchange->socket,
                            BD_CHUNK ("HTTP/1.1 100 Continue\r\n\r\n"));
  return BD_OK;
}

static int
on_body (void *context, struct bd_chunk data)
{
  struct bd_exchange *exchange = context;

  if (exchange->body.length + data.length
      > exchange->server->limits.body_max_bytes)
    return BD_ERR_TOO_LARGE;
  return bd_buffer_append (&exchange->body, data);
}

static int
on_request_end (void *context)
{
  struct bd_exchange *exchange = context;

  exchange->phase = PHASE_ANSWERING;
  exchange->server->active++;
  exchange->server->handler->on_request (exchange->server->context, exchange);
  return BD_OK;
}

static const struct bd_http_handler reader_handler
    = { .on_head = on_head, .on_body = on_body, .on_end = on_request_end };

static void
note_bytes (struct bd_exchange *exchange)
{
  size_t bytes = bd_http_reader_ahead_capacity (exchange->reader);

  exchange->intake.answering = exchange->phase != PHASE_READING;
  exchange->intake.active_ms = exchange->last_activity_ms;
  if (!exchange->intake.answering)
    bytes += exchange->body.capacity
             + bd_http_reader_head_capacity (exchange->reader);
  bd_intake_set_bytes (&exchange->server->intake, &exchange->intake, bytes);
}

/* Cuts connections until the callers hold no more than the server has for
   them.  An unfinished request is refused; an answered one is cut only for
   what its caller sent after it. */
static void
keep_bounds (struct bd_server *server)
{
  size_t least
      = 2 * (server->limits.head_max_bytes + server->limits.body_max_bytes);
  struct bd_intake_entry *entry;

  server->intake.bytes_max = server->intake_max_bytes;
  if (server->intake_max_bytes > 0 && server->intake_max_bytes < least)
    server->intake.bytes_max = least;
  while ((entry = bd_intake_victim (&server->intake)))
    {
      struct bd_exchange *exchange
          = (struct bd_exchange *)((char *)entry
                                   - offsetof (struct bd_exchange, intake));

      if (exchange->phase == PHASE_READING && exchange->arrived_ms != 0)
        reject (exchange, BD_ERR_OVERLOADED);
      else
        {
          bd_log (BD_EVENT_CALLER_REFUSED, "status=0 code=%s bytes=%zu",
                  bd_error_answer (BD_ERR_OVERLOADED)->code, entry->bytes);
          abort_exchange (exchange);
        }
    }
}

void
bd_exchange_process (struct bd_exchange *exchange, int error)
{
  while (error == BD_OK && exchange->next_requested && !exchange->closed)
    {
      exchange->next_requested = false;
      exchange->arrived_ms = 0;
      exchange->head_done = false;
      exchange->head = NULL;
      if (exchange->body.capacity > BODY_RETAINED_BYTES)
        bd_buffer_clear (&exchange->body);
      bd_buffer_reset (&exchange->body);
      error = bd_http_reader_next (exchange->reader);
      if (exchange->arrived_ms == 0 && !bd_http_reader_idle (exchange->reader))
        exchange->arrived_ms = bd_clock_boot_ms ();
    }
  exchange->parsing = false;
  if (exchange->closed)
    free_exchange (exchange);
  else if (error != BD_OK && exchange->phase == PHASE_READING)
    reject (exchange, error == BD_ERR_TOO_LARGE && !exchange->head_done
                          ? BD_ERR_HEAD_TOO_LARGE
                          : error);
  else if (error != BD_OK)
    abort_exchange (exchange);
  else
    note_bytes (exchange);
}

static void
on_data (void *context, struct bd_chunk data)
{
  struct bd_exchange *exchange = context;
  struct bd_server *server = exchange->server;
  int64_t now = bd_clock_boot_ms ();

  exchange->last_activity_ms = now;
  if (exchange->phase == PHASE_READING && exchange->arrived_ms == 0)
    exchange->arrived_ms = now;
  exchange->parsing = true;
  bd_exchange_process (exchange, bd_http_reader_feed (exchange->reader, data));
  keep_bounds (server);
}

static void
on_end (void *context, int error)
{
  (void)error;
  abort_exchange (context);
}

static void
on_drain (void *context)
{
  struct bd_exchange *exchange = context;
  const struct bd_server_handler *handler = exchange->server->handler;

  if (exchange->phase != PHASE_READING && handler->on_drain)
    handler->on_drain (exchange->server->context, exchange);
}

static const struct bd_socket_handler socket_handler
    = { .on_data = on_data, .on_end = on_end, .on_drain = on_drain };

/* Accepts the connection that LISTENER has ready.  Returns BD_OK, BD_ERR_IO or
   BD_ERR_NOMEM; the connection then stays ready. */
static int
accept_connection (struct bd_server *server, uv_stream_t *listener)
{
  struct bd_exchange *exchange = calloc (1, sizeof *exchange);
  int error = BD_ERR_NOMEM;

  if (!exchange)
    return BD_ERR_NOMEM;
  exchange->server = server;
  exchange->last_activity_ms = bd_clock_boot_ms ();
  exchange->reader
      = bd_http_reader_create (BD_HTTP_REQUESTS, server->limits.head_max_bytes,
                               &reader_handler, exchange);
  exchange->socket
      = bd_socket_create (listener->loop, &socket_handler, exchange);
  server->connections++;
  exchange->intake.active_ms = exchange->last_activity_ms;
  bd_intake_add (&server->intake, &exchange->intake);
  exchange->next = server->exchanges;
  if (exchange->next)
    exchange->next->previous = exchange;
  server->exchanges = exchange;
  if (exchange->reader && exchange->socket)
    error = bd_socket_accept (exchange->socket, listener, server->tls);
  if (error == BD_OK)
    {
      keep_bounds (server);
      return BD_OK;
    }
  if (exchange->socket)
    bd_socket_close (exchange->socket);
  free_exchange (exchange);
  return error;
}

static void
on_connection (uv_stream_t *listener, int status)
{
  struct bd_server *server = listener->data;
  int error;

  if (status != 0)
    {
      bd_log (BD_EVENT_ACCEPT_FAILED, "reason=%s", uv_err_name (status));
      return;
    }
  error = accept_connection (server, listener);
  /* The event loop reports no further connection before this one is
     accepted. */
  server->accept_waits = error == BD_ERR_NOMEM;
  if (server->accept_waits)
    bd_log (BD_EVENT_ACCEPT_FAILED, "reason=%s",
            bd_error_answer (error)->code);
}

/* Returns true when the time limit for a head, body or idle connection has
   passed. */
static bool
is_timed_out (const struct bd_exchange *exchange, int64_t now)
{
  const struct bd_caller_limits *limits = &exchange->server->limits;

  if (exchange->phase != PHASE_READING)
    return false;
  if (exchange->arrived_ms != 0 && !exchange->head_done)
    return now - exchange->arrived_ms > limits->head_timeout_ms;
  return now - exchange->last_activity_ms > limits->idle_timeout_ms;
}

static void
on_sweep (uv_timer_t *timer)
{
  struct bd_server *server = timer->data;
  int64_t now = bd_clock_boot_ms ();
  struct bd_exchange *next;

  if (server->accept_waits)
    on_connection ((uv_stream_t *)&server->listener, 0);
  for (struct bd_exchange *exchange = server->exchanges; exchange;
       exchange = next)
    {
      next = exchange->next;
      bd_http_reader_set_head_max (exchange->reader,
                                   server->limits.head_max_bytes);
      if (!is_timed_out (exchange, now))
        continue;
      if (exchange->arrived_ms != 0)
        reject (exchange, BD_ERR_SLOW_CALLER);
      else
        bd_exchange_close (exchange, false);
    }
}

int
bd_server_create (uv_loop_t *loop, const struct sockaddr_in *address,
                  const struct bd_server_handler *handler, void *context,
                  struct bd_server **out)
{
  struct bd_server *server = calloc (1, sizeof *server);

  if (!server)
    return BD_ERR_NOMEM;
  server->handler = handler;
  server->context = context;
  server->limits = default_limits;
  uv_tcp_init (loop, &server->listener);
  uv_timer_init (loop, &server->sweep_timer);
  server->listener.data = server;
  server->sweep_timer.data = server;
  if (uv_tcp_bind (&server->listener, (const struct sockaddr *)address, 0) != 0
      || uv_listen ((uv_stream_t *)&server->listener, LISTEN_BACKLOG,
                    on_connection)
             != 0)
    {
      bd_server_destroy (server);
      return BD_ERR_IO;
    }
  uv_timer_start (&server->sweep_timer, on_sweep, SWEEP_INTERVAL_MS,
                  SWEEP_INTERVAL_MS);
  *out = server;
  return BD_OK;
}

static void
on_handle_closed (uv_handle_t *handle)
{
  struct bd_server *server = handle->data;

  if (--server->open_handles == 0)
    free (server);
}

void
bd_server_destroy (struct bd_server *server)
{
  struct bd_exchange *next;

  if (!server)
    return;
  for (struct bd_exchange *exchange = server->exchanges; exchange;
       exchange = next)
    {
      next = exchange->next;
      bd_exchange_close (exchange, false);
    }
  server->open_handles = 2;
  uv_close ((uv_handle_t *)&server->listener, on_handle_closed);
  uv_close ((uv_handle_t *)&server->sweep_timer, on_handle_closed);
}

void
bd_server_set_limits (struct bd_server *server,
                      const struct bd_caller_limits *limits)
{
  server->limits = *limits;
}

void
bd_server_set_intake (struct bd_server *server, size_t bytes_max,
                      size_t connections_max)
{
  server->intake_max_bytes = bytes_max;
  server->intake.count_max = connections_max;
}

void
bd_server_set_tls (struct bd_server *server, struct bd_tls *tls)
{
  server->tls = tls;
}

void
bd_server_drain (struct bd_server *server)
{
  server->draining = true;
}

void
bd_server_close_idle (struct bd_server *server)
{
  struct bd_exchange *next;

  for (struct bd_exchange *exchange = server->exchanges; exchange;
       exchange = next)
    {
      next = exchange->next;
      if (exchange->phase == PHASE_READING && exchange->arrived_ms == 0)
        bd_exchange_close (exchange, bd_exchange_pending (exchange) > 0);
    }
}

size_t
bd_server_active (const struct bd_server *server)
{
  return server->active;
}

size_t
bd_server_connections (const struct bd_server *server)
{
  return server->connections;
}
