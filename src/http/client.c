#include "http/client.h"

#include "common/clock.h"
#include "common/random.h"
#include "common/hash_table.h"
#include "http/socket.h"

#include <stdlib.h>
#include <string.h>

/* Largest head of a response. */
#define HEAD_MAX_BYTES ((size_t)32 * 1024)
/* Most bytes of responses to earlier requests that one call skips. */
#define SKIPPED_MAX_BYTES ((size_t)1024 * 1024)
/* Number of bytes that a skipped head is counted as. */
#define SKIPPED_HEAD_BYTES ((size_t)4096)
/* How often idle connections are checked for expiry. */
#define SWEEP_MS 500
/* For servers that don't send how long they keep idle connections open. */
#define KEEP_ALIVE_DEFAULT_MS 4000
#define KEEP_ALIVE_MAX_MS 30000
/* An idle connection is closed this long before its server would close it. */
#define KEEP_ALIVE_MARGIN_MS 700

struct endpoint
{
  struct bd_hash_table_node node;
  uint64_t key;
  struct connection *idle; /* Most recently used first. */
  size_t connection_count;
};

/* A connection to a server, idle or with a call. */
struct connection
{
  struct bd_client *client;
  struct endpoint *endpoint;
  struct bd_socket *socket;
  struct bd_http_reader *reader;
  struct bd_call *call;    /* NULL: idle. */
  struct connection *next; /* In the idle list. */
  int64_t idle_since_ms;
  int64_t keep_alive_ms; /* How long the server keeps it open when idle. */
  bool connected;
  bool used;          /* Has carried a call before. */
  bool parsing;       /* Set while the reader runs; defers the free. */
  bool response_done; /* The call's response is complete. */
  bool closed;        /* Is freed once the reader returns. */
};

struct bd_call
{
  struct connection *conn;
  const struct bd_call_handler *handler;
  void *context;
  uv_timer_t timer;
  struct bd_buffer request_bytes; /* Request that is not yet written. */
  char *echo_name;
  char *echo_value;
  bool sent;
  bool reused;
  bool answered;
  bool keep_alive;
  bool skipping;  /* The current response is for an earlier request. */
  size_t skipped; /* Bytes, with an estimate for heads. */
  bool no_body;
  bool connect_only;
};

struct bd_client
{
  uv_loop_t *loop;
  uv_timer_t sweep_timer;
  struct bd_hash_table endpoints;
  uint64_t connects;
};

static uint64_t
address_key (const struct sockaddr_in *address)
{
  return (uint64_t)address->sin_addr.s_addr << 16 | address->sin_port;
}

static struct endpoint *
find_endpoint (const struct bd_client *client, uint64_t key)
{
  struct bd_hash_table_node *node
      = bd_hash_table_first (&client->endpoints, bd_random_mix (key));

  while (node && ((struct endpoint *)node)->key != key)
    node = bd_hash_table_next (node);
  return (struct endpoint *)node;
}

static struct endpoint *
get_endpoint (struct bd_client *client, uint64_t key)
{
  struct endpoint *endpoint = find_endpoint (client, key);

  if (endpoint)
    return endpoint;
  endpoint = calloc (1, sizeof *endpoint);
  if (!endpoint)
    return NULL;
  endpoint->key = key;
  if (bd_hash_table_insert (&client->endpoints, &endpoint->node,
                            bd_random_mix (key))
      != BD_OK)
    {
      free (endpoint);
      return NULL;
    }
  return endpoint;
}

static void
remove_idle (struct connection *conn)
{
  struct connection **at = &conn->endpoint->idle;

  while (*at && *at != conn)
    at = &(*at)->next;
  if (*at)
    *at = conn->next;
  conn->next = NULL;
}

static void
free_connection (struct connection *conn)
{
  bd_http_reader_destroy (conn->reader);
  free (conn);
}

static void
close_connection (struct connection *conn)
{
  if (conn->closed)
    return;
  conn->closed = true;
  if (!conn->call)
    remove_idle (conn);
  conn->endpoint->connection_count--;
  if (conn->endpoint->connection_count == 0)
    {
      bd_hash_table_remove (&conn->client->endpoints, &conn->endpoint->node);
      free (conn->endpoint);
    }
  bd_socket_close (conn->socket);
  if (!conn->parsing)
    free_connection (conn);
}

static void
on_timer_closed (uv_handle_t *handle)
{
  struct bd_call *call = handle->data;

  free (call);
}

static void
free_call (struct bd_call *call)
{
  bd_buffer_clear (&call->request_bytes);
  free (call->echo_name);
  free (call->echo_value);
  uv_close ((uv_handle_t *)&call->timer, on_timer_closed);
}

static void
fail_call (struct bd_call *call, int error)
{
  struct bd_call_failure failure = { .error = error,
                                     .sent = call->sent,
                                     .reused = call->reused,
                                     .answered = call->answered };
  struct connection *conn = call->conn;

  call->handler->on_fail (call->context, &failure);
  close_connection (conn);
  free_call (call);
}

static bool
echo_matches (const struct bd_call *call, const struct bd_head *head)
{
  struct bd_chunk value;

  if (!call->echo_name)
    return true;
  value = bd_head_value (head, bd_chunk_of (call->echo_name));
  return value.data && bd_chunk_equal (value, bd_chunk_of (call->echo_value));
}

static int
count_skipped (struct bd_call *call, size_t length)
{
  call->skipped += length;
  return call->skipped > SKIPPED_MAX_BYTES ? BD_ERR_PROTOCOL : BD_OK;
}

static int
on_head (void *context, const struct bd_head *head)
{
  struct connection *conn = context;
  struct bd_call *call = conn->call;

  if (!call)
    return BD_ERR_PROTOCOL;
  call->keep_alive = head->keep_alive;
  call->skipping = !echo_matches (call, head);
  if (call->skipping)
    return head->keep_alive ? count_skipped (call, SKIPPED_HEAD_BYTES)
                            : BD_ERR_PROTOCOL;
  conn->keep_alive_ms
      = bd_head_keep_alive_ms (head, KEEP_ALIVE_DEFAULT_MS, KEEP_ALIVE_MAX_MS);
  call->answered = true;
  call->handler->on_head (call->context, head);
  return conn->closed ? BD_ERR_CANCELLED : BD_OK;
}

static int
on_body (void *context, struct bd_chunk data)
{
  struct connection *conn = context;

  if (conn->call->skipping)
    return count_skipped (conn->call, data.length);
  conn->call->handler->on_body (conn->call->context, data);
  return conn->closed ? BD_ERR_CANCELLED : BD_OK;
}

static int
on_response_end (void *context)
{
  struct connection *conn = context;

  conn->response_done = true;
  return BD_OK;
}

static const struct bd_http_handler reader_handler
    = { .on_head = on_head, .on_body = on_body, .on_end = on_response_end };

/* Returns the connection to the pool, where it is read from whatever the call
   did. */
static void
add_idle (struct connection *conn)
{
  bd_socket_resume (conn->socket);
  conn->response_done = false;
  conn->call = NULL;
  conn->next = conn->endpoint->idle;
  conn->endpoint->idle = conn;
  conn->idle_since_ms = bd_clock_boot_ms ();
}

/* Returns the connection to the pool, or closes it, then ends the call. */
static void
finish_call (struct connection *conn)
{
  struct bd_call *call = conn->call;
  bool reusable = call->keep_alive && bd_socket_pending (conn->socket) == 0
                  && conn->keep_alive_ms > KEEP_ALIVE_MARGIN_MS;

  conn->used = true;
  add_idle (conn);
  if (!reusable || bd_http_reader_next (conn->reader) != BD_OK
      || !bd_http_reader_idle (conn->reader))
    close_connection (conn);
  call->conn = NULL;
  call->handler->on_end (call->context);
  free_call (call);
}

/* Goes on to the next response, or ends the call, by the reader's state. */
static void
process_result (struct connection *conn, int error)
{
  struct bd_call *call;

  while (error == BD_OK && !conn->closed && conn->response_done && conn->call
         && conn->call->skipping)
    {
      conn->response_done = false;
      if (conn->call->no_body)
        bd_http_reader_no_body (conn->reader);
      error = bd_http_reader_next (conn->reader);
    }
  if (!conn->closed && conn->call && conn->call->answered
      && conn->call->handler->on_read)
    conn->call->handler->on_read (conn->call->context);
  conn->parsing = false;
  call = conn->call;
  if (conn->closed)
    free_connection (conn);
  else if (!call)
    close_connection (conn); /* Data that belongs to no call. */
  else if (error != BD_OK)
    fail_call (call, error);
  else if (conn->response_done)
    finish_call (conn);
}

static void
on_data (void *context, struct bd_chunk data)
{
  struct connection *conn = context;

  if (!conn->call)
    {
      close_connection (conn);
      return;
    }
  conn->parsing = true;
  process_result (conn, bd_http_reader_feed (conn->reader, data));
}

/* Ends the response that ended with its connection.  A server that goes away
   while the request is being sent may have broken off; the reset that would
   show it can come after the end. */
static int
finish_response (struct connection *conn)
{
  int error;

  if (bd_socket_undelivered (conn->socket) > 0)
    return BD_ERR_INCOMPLETE;
  error = bd_http_reader_finish (conn->reader);
  return error == BD_OK && !conn->response_done && !conn->closed
             ? BD_ERR_INCOMPLETE
             : error;
}

static void
on_end (void *context, int error)
{
  struct connection *conn = context;

  if (!conn->call)
    {
      close_connection (conn);
      return;
    }
  conn->call->keep_alive = false;
  if (conn->connected && error == BD_OK)
    {
      conn->parsing = true;
      error = finish_response (conn);
    }
  process_result (conn, error);
}

static void
send_request (struct bd_call *call)
{
  int error = bd_socket_write (call->conn->socket,
                               bd_buffer_chunk (&call->request_bytes));

  /* The kernel accepted no byte: the connection had ended before. */
  call->sent = error == BD_OK;
  bd_buffer_clear (&call->request_bytes);
  if (error != BD_OK)
    uv_timer_start (&call->timer, call->timer.timer_cb, 0, 0);
}

static void
on_connect (void *context)
{
  struct connection *conn = context;

  conn->connected = true;
  if (!conn->call)
    return;
  uv_timer_stop (&conn->call->timer);
  if (conn->call->connect_only)
    {
      struct bd_call *call = conn->call;

      add_idle (conn);
      call->conn = NULL;
      call->handler->on_end (call->context);
      free_call (call);
      return;
    }
  send_request (conn->call);
}

static const struct bd_socket_handler socket_handler
    = { .on_connect = on_connect, .on_data = on_data, .on_end = on_end };

/* Fails a call whose connection timed out, or whose write failed at once. */
static void
on_timer (uv_timer_t *timer)
{
  struct bd_call *call = timer->data;

  fail_call (call, call->conn->connected ? BD_ERR_IO : BD_ERR_TIMEOUT);
}

static struct connection *
open_connection (struct bd_client *client, const struct sockaddr_in *address)
{
  struct connection *conn = calloc (1, sizeof *conn);

  if (!conn)
    return NULL;
  conn->client = client;
  conn->keep_alive_ms = KEEP_ALIVE_DEFAULT_MS;
  conn->reader = bd_http_reader_create (BD_HTTP_RESPONSES, HEAD_MAX_BYTES,
                                        &reader_handler, conn);
  conn->socket = bd_socket_create (client->loop, &socket_handler, conn);
  conn->endpoint = get_endpoint (client, address_key (address));
  if (!conn->reader || !conn->socket || !conn->endpoint
      || bd_socket_connect (conn->socket, address) != BD_OK)
    {
      if (conn->socket)
        bd_socket_close (conn->socket);
      free_connection (conn);
      return NULL;
    }
  conn->endpoint->connection_count++;
  client->connects++;
  return conn;
}

/* Takes the most recently used idle connection, or NULL if it has expired. */
static struct connection *
take_idle (struct bd_client *client, const struct bd_call_request *request)
{
  struct endpoint *endpoint
      = find_endpoint (client, address_key (&request->address));
  struct connection *conn = endpoint ? endpoint->idle : NULL;
  int64_t age;

  if (!conn)
    return NULL;
  age = bd_clock_boot_ms () - conn->idle_since_ms;
  if (age >= conn->keep_alive_ms - KEEP_ALIVE_MARGIN_MS
      || age >= request->idle_max_ms)
    return NULL;
  endpoint->idle = conn->next;
  conn->next = NULL;
  return conn;
}

static int
copy_request (struct bd_call *call, const struct bd_call_request *request)
{
  if (request->echo.name.length > 0)
    {
      call->echo_name = bd_chunk_copy (request->echo.name);
      call->echo_value = bd_chunk_copy (request->echo.value);
      if (!call->echo_name || !call->echo_value)
        return BD_ERR_NOMEM;
    }
  bd_buffer_append (&call->request_bytes, request->head);
  return bd_buffer_append (&call->request_bytes, request->body);
}

struct bd_call *
bd_client_call (struct bd_client *client,
                const struct bd_call_request *request,
                const struct bd_call_handler *handler, void *context)
{
  struct bd_call *call = calloc (1, sizeof *call);
  struct connection *conn;

  if (!call)
    return NULL;
  conn = request->connect_only ? NULL : take_idle (client, request);
  if (!conn)
    conn = open_connection (client, &request->address);
  if (!conn)
    {
      free (call);
      return NULL;
    }
  uv_timer_init (client->loop, &call->timer);
  call->timer.data = call;
  call->timer.timer_cb = on_timer;
  call->conn = conn;
  call->handler = handler;
  call->context = context;
  call->reused = conn->used;
  call->no_body = request->no_body;
  call->connect_only = request->connect_only;
  conn->call = call;
  if (request->no_body)
    bd_http_reader_no_body (conn->reader);
  if (copy_request (call, request) != BD_OK)
    {
      bd_call_cancel (call);
      return NULL;
    }
  if (conn->connected)
    send_request (call);
  else
    uv_timer_start (&call->timer, on_timer,
                    (uint64_t)request->connect_timeout_ms, 0);
  return call;
}

void
bd_call_cancel (struct bd_call *call)
{
  close_connection (call->conn);
  free_call (call);
}

bool
bd_call_sent (const struct bd_call *call)
{
  return call->sent;
}

void
bd_call_pause (struct bd_call *call)
{
  bd_socket_pause (call->conn->socket);
}

void
bd_call_resume (struct bd_call *call)
{
  bd_socket_resume (call->conn->socket);
}

size_t
bd_client_connection_count (const struct bd_client *client,
                            const struct sockaddr_in *address)
{
  struct endpoint *endpoint = find_endpoint (client, address_key (address));

  return endpoint ? endpoint->connection_count : 0;
}

uint64_t
bd_client_connects (const struct bd_client *client)
{
  return client->connects;
}

/* Closes all idle connections, or only those that have expired. */
static void
close_idle_connections (struct bd_client *client, bool all)
{
  int64_t now = bd_clock_boot_ms ();

  for (size_t i = 0; i < client->endpoints.bucket_count; i++)
    {
      struct bd_hash_table_node *node = client->endpoints.buckets[i];

      while (node)
        {
          struct endpoint *endpoint = (struct endpoint *)node;
          struct connection *conn = endpoint->idle;
          struct bd_hash_table_node *next = node->next;

          while (conn)
            {
              struct connection *after = conn->next;

              if (all
                  || now - conn->idle_since_ms
                         >= conn->keep_alive_ms - KEEP_ALIVE_MARGIN_MS)
                close_connection (conn);
              conn = after;
            }
          node = next;
        }
    }
}

static void
on_sweep (uv_timer_t *timer)
{
  close_idle_connections (timer->data, false);
}

void
bd_client_drop_idle (struct bd_client *client)
{
  close_idle_connections (client, true);
}

struct bd_client *
bd_client_create (uv_loop_t *loop)
{
  struct bd_client *client = calloc (1, sizeof *client);

  if (!client)
    return NULL;
  client->loop = loop;
  uv_timer_init (loop, &client->sweep_timer);
  client->sweep_timer.data = client;
  uv_timer_start (&client->sweep_timer, on_sweep, SWEEP_MS, SWEEP_MS);
  return client;
}
