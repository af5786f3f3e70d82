#include "http/socket.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>

/* How long bd_socket_finish () waits for the peer to read more, or to close,
   and how often at most. */
#define LINGER_MS 1000
#define LINGERS_MAX 60
#define ADDRESS_TEXT_BYTES 32

struct bd_socket
{
  uv_tcp_t tcp;
  uv_connect_t connect;
  uv_shutdown_t shutdown;
  /* Resumes reading after a turn; later limits bd_socket_finish (). */
  uv_timer_t timer;
  const struct bd_socket_handler *handler; /* NULL once closed. */
  void *context;
  struct bd_tls_session *session; /* NULL: without TLS. */
  size_t pending;
  size_t unsent; /* Bytes not sent yet when bd_socket_finish () last looked. */
  uint32_t lingers; /* Times that it may wait. */
  bool sending;     /* Finished, and not all data is sent yet. */
  bool paused;      /* By bd_socket_pause (). */
  int open_handles;
};

struct pending_write
{
  uv_write_t request;
  struct bd_socket *socket;
  size_t length;
  char data[];
};

/* All sockets share the read buffers: there is one event loop, in one thread.
 */
static char read_buffer[BD_SOCKET_READ_BYTES];
static char decrypted_buffer[BD_SOCKET_READ_BYTES];
static size_t sending_count;

static void
on_handle_closed (uv_handle_t *handle)
{
  struct bd_socket *socket = handle->data;

  if (--socket->open_handles > 0)
    return;
  bd_tls_session_destroy (socket->session);
  free (socket);
}

static void
end_sending (struct bd_socket *socket)
{
  sending_count -= socket->sending;
  socket->sending = false;
}

static void
close_handles (struct bd_socket *socket)
{
  if (uv_is_closing ((uv_handle_t *)&socket->tcp))
    return;
  socket->handler = NULL;
  end_sending (socket);
  uv_close ((uv_handle_t *)&socket->tcp, on_handle_closed);
  uv_close ((uv_handle_t *)&socket->timer, on_handle_closed);
}

struct bd_socket *
bd_socket_create (uv_loop_t *loop, const struct bd_socket_handler *handler,
                  void *context)
{
  struct bd_socket *socket = calloc (1, sizeof *socket);

  if (!socket)
    return NULL;
  uv_tcp_init (loop, &socket->tcp);
  uv_timer_init (loop, &socket->timer);
  socket->tcp.data = socket;
  socket->timer.data = socket;
  socket->open_handles = 2;
  socket->handler = handler;
  socket->context = context;
  return socket;
}

static void
end_connection (struct bd_socket *socket, int error)
{
  const struct bd_socket_handler *handler = socket->handler;

  bd_socket_pause (socket);
  if (!handler)
    {
      close_handles (socket);
      return;
    }
  handler->on_end (socket->context, error);
}

static void
on_allocate (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  (void)handle;
  (void)suggested;
  *buffer = uv_buf_init (read_buffer, BD_SOCKET_READ_BYTES);
}

/* Returns true when the connection was reset: libuv may report a reset that
   follows data as a normal end. */
static bool
was_reset (const struct bd_socket *socket)
{
  int error = 0;
  socklen_t length = sizeof error;
  uv_os_fd_t fd;

  if (uv_fileno ((const uv_handle_t *)&socket->tcp, &fd) != 0)
    return true;
  return getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &length) != 0
         || error != 0;
}

static int write_bytes (struct bd_socket *socket, struct bd_chunk data);
static void on_read (uv_stream_t *stream, ssize_t length,
                     const uv_buf_t *buffer);

/* Writes the session's pending encrypted bytes to the connection. */
static int
flush_session (struct bd_socket *socket)
{
  struct bd_chunk out = bd_tls_pending (socket->session);
  int error = out.length > 0 ? write_bytes (socket, out) : BD_OK;

  bd_tls_discard_pending (socket->session);
  return error;
}

/* Decrypts DATA and passes the plaintext to on_data, which may close the
   socket. */
static void
read_session (struct bd_socket *socket, struct bd_chunk data)
{
  size_t length;
  int error = bd_tls_feed (socket->session, data);

  while (error == BD_OK && socket->handler)
    {
      error = bd_tls_read (socket->session, decrypted_buffer,
                           BD_SOCKET_READ_BYTES, &length);
      if (error == BD_OK)
        socket->handler->on_data (
            socket->context, (struct bd_chunk){ decrypted_buffer, length });
    }
  if (!socket->handler)
    return;
  if (flush_session (socket) != BD_OK || error == BD_ERR_IO
      || error == BD_ERR_NOMEM)
    end_connection (socket, BD_ERR_IO);
  else if (error == BD_ERR_CANCELLED)
    end_connection (socket, BD_OK);
}

static void
on_turn (uv_timer_t *timer)
{
  struct bd_socket *socket = timer->data;

  if (socket->handler && !socket->paused)
    uv_read_start ((uv_stream_t *)&socket->tcp, on_allocate, on_read);
}

/* Lets other connections have their turn before more is read from this one,
   which may send faster than its data can be processed. */
static void
yield_turn (struct bd_socket *socket)
{
  uv_read_stop ((uv_stream_t *)&socket->tcp);
  uv_timer_start (&socket->timer, on_turn, 0, 0);
}

static void
on_read (uv_stream_t *stream, ssize_t length, const uv_buf_t *buffer)
{
  struct bd_socket *socket = stream->data;
  struct bd_chunk data = { buffer->base, length > 0 ? (size_t)length : 0 };

  if (length < 0)
    end_connection (
        socket, length == UV_EOF && !was_reset (socket) ? BD_OK : BD_ERR_IO);
  else if (length > 0 && socket->handler && socket->session)
    read_session (socket, data);
  else if (length > 0 && socket->handler)
    socket->handler->on_data (socket->context, data);
  if (data.length == BD_SOCKET_READ_BYTES && socket->handler)
    yield_turn (socket);
}

/* Sets the socket options.  A failure leaves the system's default, with which
   a dead connection is only detected later. */
static void
set_options (struct bd_socket *socket)
{
  int user_timeout_ms = BD_SOCKET_USER_TIMEOUT_MS;
  int interval = BD_SOCKET_PROBE_INTERVAL_S;
  int probes = BD_SOCKET_PROBES;
  uv_os_fd_t fd;

  uv_tcp_nodelay (&socket->tcp, 1);
  uv_tcp_keepalive (&socket->tcp, 1, BD_SOCKET_PROBE_INTERVAL_S);
  if (uv_fileno ((uv_handle_t *)&socket->tcp, &fd) != 0)
    return;
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms,
              sizeof user_timeout_ms);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof interval);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
}

int
bd_socket_accept (struct bd_socket *socket, uv_stream_t *listener,
                  struct bd_tls *tls)
{
  if (tls)
    {
      socket->session = bd_tls_accept (tls);
      if (!socket->session)
        return BD_ERR_NOMEM;
    }
  if (uv_accept (listener, (uv_stream_t *)&socket->tcp) != 0)
    return BD_ERR_IO;
  set_options (socket);
  bd_socket_resume (socket);
  return BD_OK;
}

static void
on_connected (uv_connect_t *request, int status)
{
  struct bd_socket *socket = request->handle->data;

  if (!socket->handler)
    return;
  if (status != 0)
    {
      end_connection (socket, BD_ERR_IO);
      return;
    }
  set_options (socket);
  bd_socket_resume (socket);
  socket->handler->on_connect (socket->context);
}

int
bd_socket_connect (struct bd_socket *socket, const struct sockaddr_in *address)
{
  if (uv_tcp_connect (&socket->connect, &socket->tcp,
                      (const struct sockaddr *)address, on_connected)
      != 0)
    return BD_ERR_IO;
  return BD_OK;
}

static void
on_written (uv_write_t *request, int status)
{
  struct pending_write *pending_write = (struct pending_write *)request;
  struct bd_socket *socket = pending_write->socket;

  socket->pending -= pending_write->length;
  free (pending_write);
  if (!socket->handler)
    return;
  if (status != 0)
    end_connection (socket, BD_ERR_IO);
  else if (socket->pending == 0 && socket->handler->on_drain)
    socket->handler->on_drain (socket->context);
}

static int
write_bytes (struct bd_socket *socket, struct bd_chunk data)
{
  uv_stream_t *stream = (uv_stream_t *)&socket->tcp;
  struct pending_write *pending_write;
  uv_buf_t buffer;

  if (socket->pending == 0)
    {
      int n;

      buffer = uv_buf_init ((char *)data.data, (unsigned)data.length);
      n = uv_try_write (stream, &buffer, 1);
      if (n < 0 && n != UV_EAGAIN)
        return BD_ERR_IO;
      if (n > 0)
        {
          data.data += n;
          data.length -= (size_t)n;
        }
      if (data.length == 0)
        return BD_OK;
    }
  pending_write = malloc (sizeof *pending_write + data.length);
  if (!pending_write)
    return BD_ERR_NOMEM;
  pending_write->socket = socket;
  pending_write->length = data.length;
  memcpy (pending_write->data, data.data, data.length);
  buffer = uv_buf_init (pending_write->data, (unsigned)data.length);
  if (uv_write (&pending_write->request, stream, &buffer, 1, on_written) != 0)
    {
      free (pending_write);
      return BD_ERR_IO;
    }
  socket->pending += data.length;
  return BD_OK;
}

int
bd_socket_write (struct bd_socket *socket, struct bd_chunk data)
{
  int error;

  if (!socket->session)
    return write_bytes (socket, data);
  error = bd_tls_write (socket->session, data);
  return error == BD_OK ? flush_session (socket) : error;
}

size_t
bd_socket_pending (const struct bd_socket *socket)
{
  return socket->pending;
}

size_t
bd_socket_undelivered (const struct bd_socket *socket)
{
  uv_os_fd_t fd;
  int queued = 0;

  if (uv_fileno ((const uv_handle_t *)&socket->tcp, &fd) != 0
      || ioctl (fd, SIOCOUTQ, &queued) != 0 || queued < 0)
    queued = 0;
  return socket->pending + (size_t)queued;
}

void
bd_socket_pause (struct bd_socket *socket)
{
  socket->paused = true;
  uv_read_stop ((uv_stream_t *)&socket->tcp);
}

void
bd_socket_resume (struct bd_socket *socket)
{
  socket->paused = false;
  uv_read_start ((uv_stream_t *)&socket->tcp, on_allocate, on_read);
}

void
bd_socket_close (struct bd_socket *socket)
{
  close_handles (socket);
}

static size_t
unsent_bytes (const struct bd_socket *socket)
{
  return uv_stream_get_write_queue_size ((const uv_stream_t *)&socket->tcp);
}

/* A peer that has read some of the data since the last look gets the rest. */
static void
on_linger (uv_timer_t *timer)
{
  struct bd_socket *socket = timer->data;
  size_t unsent = unsent_bytes (socket);

  if (unsent >= socket->unsent || --socket->lingers == 0)
    {
      close_handles (socket);
      return;
    }
  socket->unsent = unsent;
  uv_timer_start (timer, on_linger, LINGER_MS, 0);
}

static void
on_shutdown (uv_shutdown_t *request, int status)
{
  struct bd_socket *socket = request->handle->data;

  end_sending (socket);
  if (status != 0)
    close_handles (socket);
}

void
bd_socket_finish (struct bd_socket *socket)
{
  socket->handler = NULL;
  if (uv_is_active ((uv_handle_t *)&socket->timer))
    uv_read_start ((uv_stream_t *)&socket->tcp, on_allocate, on_read);
  if (socket->session)
    {
      bd_tls_finish (socket->session);
      flush_session (socket);
    }
  socket->unsent = unsent_bytes (socket);
  socket->lingers = LINGERS_MAX;
  socket->sending = true;
  sending_count++;
  uv_timer_start (&socket->timer, on_linger, LINGER_MS, 0);
  if (uv_shutdown (&socket->shutdown, (uv_stream_t *)&socket->tcp, on_shutdown)
      != 0)
    close_handles (socket);
}

size_t
bd_sockets_sending (void)
{
  return sending_count;
}

int
bd_address_parse (struct bd_chunk text, struct sockaddr_in *address)
{
  const char *colon = memchr (text.data, ':', text.length);
  char host[ADDRESS_TEXT_BYTES];
  size_t host_length;
  int port = 0;

  if (!colon)
    return BD_ERR_INVALID;
  host_length = (size_t)(colon - text.data);
  if (host_length >= sizeof host || text.length - host_length - 1 > 5
      || text.length - host_length - 1 == 0)
    return BD_ERR_INVALID;
  for (const char *at = colon + 1; at < text.data + text.length; at++)
    {
      if (*at < '0' || *at > '9')
        return BD_ERR_INVALID;
      port = port * 10 + (*at - '0');
    }
  memcpy (host, text.data, host_length);
  host[host_length] = '\0';
  if (port == 0 || port > UINT16_MAX || uv_ip4_addr (host, port, address) != 0)
    return BD_ERR_INVALID;
  return BD_OK;
}
