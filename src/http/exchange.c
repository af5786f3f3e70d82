#include "http/server_internal.h"

#include "common/clock.h"
#include "http/chunk.h"

#include <http_parser.h>

const struct bd_head *
bd_exchange_head (const struct bd_exchange *exchange)
{
  return exchange->head;
}

struct bd_chunk
bd_exchange_body (const struct bd_exchange *exchange)
{
  return bd_buffer_chunk (&exchange->body);
}

int64_t
bd_exchange_arrived_ms (const struct bd_exchange *exchange)
{
  return exchange->arrived_ms;
}

void
bd_exchange_set_owner (struct bd_exchange *exchange, void *owner)
{
  exchange->owner = owner;
}

void *
bd_exchange_owner (const struct bd_exchange *exchange)
{
  return exchange->owner;
}

/* Ends an exchange whose answer is complete: closes the connection, or goes on
   to its next request. */
static void
complete_exchange (struct bd_exchange *exchange)
{
  bool keep_alive = exchange->head->keep_alive && !exchange->server->draining;

  exchange->owner = NULL;
  if (!keep_alive)
    {
      bd_exchange_close (exchange, true);
      return;
    }
  exchange->server->active--;
  exchange->phase = PHASE_READING;
  exchange->last_activity_ms = bd_clock_boot_ms ();
  exchange->next_requested = true;
  if (!exchange->parsing)
    {
      exchange->parsing = true;
      bd_exchange_process (exchange, BD_OK);
    }
}

static const char *
connection_field (const struct bd_exchange *exchange)
{
  if (exchange->head->keep_alive && !exchange->server->draining)
    return "";
  return "Connection: close\r\n";
}

static int
write_head (struct bd_exchange *exchange, struct bd_buffer *out, int status,
            struct bd_chunk fields)
{
  return bd_buffer_printf (out, "HTTP/1.1 %d %s\r\n%.*s%s", status,
                           http_status_str ((enum http_status)status),
                           (int)fields.length, fields.data,
                           connection_field (exchange));
}

void
bd_exchange_reply (struct bd_exchange *exchange, int status,
                   struct bd_chunk fields, struct bd_chunk body)
{
  bool no_body = status == 204 || status == 304
                 || bd_field_named (exchange->head->method, BD_CHUNK ("HEAD"));
  struct bd_buffer out = { 0 };

  write_head (exchange, &out, status, fields);
  if (status != 204)
    bd_buffer_printf (&out, "Content-Length: %zu\r\n", body.length);
  bd_buffer_append (&out, BD_CHUNK ("\r\n"));
  if (!no_body)
    bd_buffer_append (&out, body);
  if (bd_exchange_write (exchange, &out) != BD_OK)
    bd_exchange_close (exchange, false);
  else
    complete_exchange (exchange);
}

void
bd_exchange_reply_buffers (struct bd_exchange *exchange, int status,
                           struct bd_buffer *fields, struct bd_buffer *body)
{
  exchange->broken |= fields->incomplete || body->incomplete;
  bd_exchange_reply (exchange, status, bd_buffer_chunk (fields),
                     bd_buffer_chunk (body));
  bd_buffer_clear (fields);
  bd_buffer_clear (body);
}

void
bd_exchange_begin (struct bd_exchange *exchange, int status,
                   struct bd_chunk fields)
{
  struct bd_buffer out = { 0 };

  exchange->phase = PHASE_STREAMING;
  write_head (exchange, &out, status, fields);
  bd_buffer_append (&out, BD_CHUNK ("Transfer-Encoding: chunked\r\n\r\n"));
  bd_exchange_write (exchange, &out);
}

void
bd_exchange_send_chunks (struct bd_exchange *exchange,
                         struct bd_buffer *chunks)
{
  if (chunks->length > 0)
    bd_exchange_write (exchange, chunks);
}

void
bd_exchange_send (struct bd_exchange *exchange, struct bd_chunk data)
{
  struct bd_buffer out = { 0 };

  if (bd_http_chunk_append (&out, data) != BD_OK)
    out.incomplete = true;
  if (data.length > 0)
    bd_exchange_write (exchange, &out);
}

size_t
bd_exchange_pending (const struct bd_exchange *exchange)
{
  return bd_socket_pending (exchange->socket);
}

void
bd_exchange_end (struct bd_exchange *exchange)
{
  struct bd_buffer out = { 0 };

  bd_buffer_append (&out, BD_CHUNK ("0\r\n\r\n"));
  if (bd_exchange_write (exchange, &out) != BD_OK)
    bd_exchange_close (exchange, false);
  else
    complete_exchange (exchange);
}

void
bd_exchange_abort (struct bd_exchange *exchange)
{
  bd_exchange_close (exchange, false);
}
