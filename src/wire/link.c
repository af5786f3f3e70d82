#include "wire/link.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#define ENDPOINT_MAX_BYTES 96
#define NAME_MAX_BYTES 63
#define HIGH_WATER_MARK_MESSAGES 20000
#define RECONNECT_MIN_MS 100
#define RECONNECT_MAX_MS 2000
#define ROUTING_ID_MAX_BYTES 24
#define MONITOR_ENDPOINT "inproc://link-monitor"

/* A connection that this process opened.  Each one gets a new ROUTING_ID: the
   socket may still have the previous connection to the same peer, and libzmq
   aborts the process when two connections have the same routing id. */
struct peer
{
  char instance[NAME_MAX_BYTES + 1];
  char routing_id[ROUTING_ID_MAX_BYTES];
  char endpoint[ENDPOINT_MAX_BYTES];
};

struct bd_link
{
  void *context;
  void *bound_socket;
  void *connect_socket;
  void *monitor;
  struct peer **peers;
  size_t peer_count;
  uint64_t routing_id_count; /* Number of routing ids given out. */
  char bound_endpoint[ENDPOINT_MAX_BYTES];
  struct bd_buffer frame;
  zmq_msg_t from_frame;
  zmq_msg_t body_frame;
  char from_instance[NAME_MAX_BYTES + 1]; /* Copy; outlives the peer. */
  struct bd_link_counts counts;
};

static void
set_int_option (void *socket, int option, int value)
{
  zmq_setsockopt (socket, option, &value, sizeof value);
}

static void *
open_router (struct bd_link *link, const struct bd_link_settings *settings,
             bool server)
{
  void *socket = zmq_socket (link->context, ZMQ_ROUTER);
  bool curve = settings->curve_secret && settings->curve_secret[0];

  if (!socket)
    return NULL;
  zmq_setsockopt (socket, ZMQ_ROUTING_ID, settings->instance,
                  strlen (settings->instance));
  set_int_option (socket, ZMQ_LINGER, 0);
  set_int_option (socket, ZMQ_ROUTER_MANDATORY, 1);
  set_int_option (socket, ZMQ_ROUTER_HANDOVER, 1);
  set_int_option (socket, ZMQ_SNDHWM, HIGH_WATER_MARK_MESSAGES);
  set_int_option (socket, ZMQ_RCVHWM, HIGH_WATER_MARK_MESSAGES);
  set_int_option (socket, ZMQ_RECONNECT_IVL, RECONNECT_MIN_MS);
  set_int_option (socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
  zmq_setsockopt (socket, ZMQ_MAXMSGSIZE,
                  &(int64_t){ (int64_t)BD_MESSAGE_MAX_BYTES },
                  sizeof (int64_t));
  if (curve)
    {
      set_int_option (socket, ZMQ_CURVE_SERVER, server);
      if (!server)
        zmq_setsockopt (socket, ZMQ_CURVE_SERVERKEY, settings->curve_public,
                        strlen (settings->curve_public));
      zmq_setsockopt (socket, ZMQ_CURVE_PUBLICKEY, settings->curve_public,
                      strlen (settings->curve_public));
      zmq_setsockopt (socket, ZMQ_CURVE_SECRETKEY, settings->curve_secret,
                      strlen (settings->curve_secret));
    }
  return socket;
}

static bool
open_monitor (struct bd_link *link)
{
  if (zmq_socket_monitor (link->connect_socket, MONITOR_ENDPOINT,
                          ZMQ_EVENT_CONNECTED | ZMQ_EVENT_DISCONNECTED)
      != 0)
    return false;
  link->monitor = zmq_socket (link->context, ZMQ_PAIR);
  if (!link->monitor)
    return false;
  set_int_option (link->monitor, ZMQ_LINGER, 0);
  return zmq_connect (link->monitor, MONITOR_ENDPOINT) == 0;
}

struct bd_link *
bd_link_create (const struct bd_link_settings *settings, int *error)
{
  struct bd_link *link = calloc (1, sizeof *link);
  char endpoint[ENDPOINT_MAX_BYTES];
  size_t size = sizeof link->bound_endpoint;

  *error = BD_ERR_NOMEM;
  if (!link)
    return NULL;
  zmq_msg_init (&link->from_frame);
  zmq_msg_init (&link->body_frame);
  link->context = zmq_ctx_new ();
  link->bound_socket = open_router (link, settings, true);
  link->connect_socket = open_router (link, settings, false);
  snprintf (endpoint, sizeof endpoint, "tcp://%s", settings->address);
  *error = BD_ERR_IO;
  if (!link->bound_socket || !link->connect_socket
      || zmq_bind (link->bound_socket, endpoint) != 0 || !open_monitor (link))
    {
      bd_link_destroy (link);
      return NULL;
    }
  zmq_getsockopt (link->bound_socket, ZMQ_LAST_ENDPOINT, link->bound_endpoint,
                  &size);
  *error = BD_OK;
  return link;
}

const char *
bd_link_address (const struct bd_link *link)
{
  return link->bound_endpoint + sizeof "tcp://" - 1;
}

void
bd_link_destroy (struct bd_link *link)
{
  if (!link)
    return;
  zmq_msg_close (&link->from_frame);
  zmq_msg_close (&link->body_frame);
  if (link->monitor)
    zmq_close (link->monitor);
  if (link->connect_socket)
    zmq_close (link->connect_socket);
  if (link->bound_socket)
    zmq_close (link->bound_socket);
  zmq_ctx_term (link->context);
  for (size_t i = 0; i < link->peer_count; i++)
    free (link->peers[i]);
  free (link->peers);
  bd_buffer_clear (&link->frame);
  free (link);
}

static size_t
find_peer (const struct bd_link *link, struct bd_chunk instance)
{
  size_t i = 0;

  while (i < link->peer_count
         && !bd_chunk_equal (bd_chunk_of (link->peers[i]->instance), instance))
    i++;
  return i;
}

static struct peer *
add_peer (struct bd_link *link, struct bd_chunk instance,
          struct bd_chunk address)
{
  struct peer *peer = calloc (1, sizeof *peer);
  struct peer **peers
      = realloc (link->peers, (link->peer_count + 1) * sizeof (struct peer *));

  if (peers)
    link->peers = peers;
  if (!peer || !peers)
    {
      free (peer);
      return NULL;
    }
  memcpy (peer->instance, instance.data, instance.length);
  snprintf (peer->routing_id, sizeof peer->routing_id, "c%llu",
            (unsigned long long)++link->routing_id_count);
  snprintf (peer->endpoint, sizeof peer->endpoint, "tcp://%.*s",
            (int)address.length, address.data);
  link->peers[link->peer_count++] = peer;
  return peer;
}

int
bd_link_connect (struct bd_link *link, struct bd_chunk instance,
                 struct bd_chunk address)
{
  struct peer *peer;

  if (instance.length == 0 || instance.length > NAME_MAX_BYTES
      || address.length + sizeof "tcp://" > ENDPOINT_MAX_BYTES)
    return BD_ERR_INVALID;
  if (find_peer (link, instance) < link->peer_count)
    return BD_OK;
  peer = add_peer (link, instance, address);
  if (!peer)
    return BD_ERR_NOMEM;
  zmq_setsockopt (link->connect_socket, ZMQ_CONNECT_ROUTING_ID,
                  peer->routing_id, strlen (peer->routing_id));
  if (zmq_connect (link->connect_socket, peer->endpoint) == 0)
    return BD_OK;
  free (peer);
  link->peer_count--;
  return BD_ERR_IO;
}

void
bd_link_disconnect (struct bd_link *link, struct bd_chunk instance)
{
  size_t i = find_peer (link, instance);

  if (i == link->peer_count)
    return;
  zmq_disconnect (link->connect_socket, link->peers[i]->endpoint);
  free (link->peers[i]);
  link->peers[i] = link->peers[--link->peer_count];
}

static int
send_frames (void *socket, struct bd_chunk to, struct bd_chunk frame)
{
  if (zmq_send (socket, to.data, to.length, ZMQ_SNDMORE | ZMQ_DONTWAIT) < 0)
    return zmq_errno () == EHOSTUNREACH ? BD_ERR_NOT_FOUND : BD_ERR_FULL;
  if (zmq_send (socket, frame.data, frame.length, ZMQ_DONTWAIT) < 0)
    return BD_ERR_FULL;
  return BD_OK;
}

/* Sends to a peer over a connection that this process opened. */
static int
send_to_connected (struct bd_link *link, struct bd_chunk instance,
                   struct bd_chunk frame)
{
  size_t i = find_peer (link, instance);

  if (i == link->peer_count)
    return BD_ERR_NOT_FOUND;
  return send_frames (link->connect_socket,
                      bd_chunk_of (link->peers[i]->routing_id), frame);
}

int
bd_link_send (struct bd_link *link, struct bd_chunk instance,
              const struct bd_message *message)
{
  bool control = bd_message_is_control (message->type);
  struct bd_chunk frame;
  int rc;

  bd_buffer_reset (&link->frame);
  rc = bd_message_encode (message, &link->frame);
  if (rc != BD_OK)
    return rc;
  frame = bd_buffer_chunk (&link->frame);
  rc = send_to_connected (link, instance, frame);
  if (rc == BD_ERR_NOT_FOUND)
    rc = send_frames (link->bound_socket, instance, frame);
  if (rc != BD_OK)
    return rc;
  link->counts.sent[control]++;
  link->counts.sent_bytes[control] += frame.length;
  return BD_OK;
}

void
bd_link_wait (struct bd_link *link, int extra_fd, int timeout_ms)
{
  zmq_pollitem_t items[] = {
    { .socket = link->bound_socket, .events = ZMQ_POLLIN },
    { .socket = link->connect_socket, .events = ZMQ_POLLIN },
    { .socket = link->monitor, .events = ZMQ_POLLIN },
    { .fd = extra_fd, .events = ZMQ_POLLIN },
  };

  zmq_poll (items, extra_fd >= 0 ? 4 : 3, timeout_ms);
}

/* Receives a message of two frames: the routing id and the body.  A message
   with more frames is dropped as a whole. */
static int
receive_frames (struct bd_link *link, void *socket)
{
  zmq_msg_t rest;
  int more;

  if (zmq_msg_recv (&link->from_frame, socket, ZMQ_DONTWAIT) < 0)
    return BD_ERR_TIMEOUT;
  if (!zmq_msg_more (&link->from_frame))
    return BD_ERR_PROTOCOL;
  if (zmq_msg_recv (&link->body_frame, socket, ZMQ_DONTWAIT) < 0)
    return BD_ERR_PROTOCOL;
  more = zmq_msg_more (&link->body_frame);
  if (!more)
    return BD_OK;
  zmq_msg_init (&rest);
  while (more && zmq_msg_recv (&rest, socket, ZMQ_DONTWAIT) >= 0)
    more = zmq_msg_more (&rest);
  zmq_msg_close (&rest);
  return BD_ERR_PROTOCOL;
}

/* Finds the instance of the routing id in LINK->from_frame. */
static bool
find_routing_id (struct bd_link *link, struct bd_chunk *from)
{
  struct bd_chunk routing_id
      = { zmq_msg_data (&link->from_frame), zmq_msg_size (&link->from_frame) };

  for (size_t i = 0; i < link->peer_count; i++)
    if (bd_chunk_equal (bd_chunk_of (link->peers[i]->routing_id), routing_id))
      {
        memcpy (link->from_instance, link->peers[i]->instance,
                sizeof link->from_instance);
        *from = bd_chunk_of (link->from_instance);
        return true;
      }
  return false;
}

/* Receives the next message from a peer that this process is connected to.
   Messages of connections closed in the meantime are dropped. */
static int
receive_from_connected (struct bd_link *link, struct bd_chunk *from)
{
  int rc;

  do
    rc = receive_frames (link, link->connect_socket);
  while (rc == BD_OK && !find_routing_id (link, from));
  return rc;
}

int
bd_link_receive (struct bd_link *link, struct bd_chunk *from,
                 struct bd_message *message)
{
  int rc = receive_frames (link, link->bound_socket);
  struct bd_chunk frame;
  bool control;

  if (rc == BD_OK)
    {
      from->data = zmq_msg_data (&link->from_frame);
      from->length = zmq_msg_size (&link->from_frame);
    }
  else if (rc == BD_ERR_TIMEOUT)
    rc = receive_from_connected (link, from);
  if (rc != BD_OK)
    return rc;
  frame.data = zmq_msg_data (&link->body_frame);
  frame.length = zmq_msg_size (&link->body_frame);
  rc = bd_message_decode (frame, message);
  if (rc != BD_OK)
    return rc;
  control = bd_message_is_control (message->type);
  link->counts.received[control]++;
  link->counts.received_bytes[control] += frame.length;
  return BD_OK;
}

static bool
find_endpoint (const struct bd_link *link, struct bd_chunk endpoint,
               struct bd_chunk *instance)
{
  for (size_t i = 0; i < link->peer_count; i++)
    if (bd_chunk_equal (bd_chunk_of (link->peers[i]->endpoint), endpoint))
      {
        *instance = bd_chunk_of (link->peers[i]->instance);
        return true;
      }
  return false;
}

bool
bd_link_change (struct bd_link *link, struct bd_chunk *instance,
                enum bd_link_change *change)
{
  /* A monitor message has two frames: the event number (16 bits) with a value
     of 32 bits, and the endpoint. */
  unsigned char event[6];
  char endpoint[ENDPOINT_MAX_BYTES];
  uint16_t number;
  int length;

  for (;;)
    {
      if (zmq_recv (link->monitor, event, sizeof event, ZMQ_DONTWAIT)
          != sizeof event)
        return false;
      length
          = zmq_recv (link->monitor, endpoint, sizeof endpoint, ZMQ_DONTWAIT);
      if (length < 0 || length > (int)sizeof endpoint)
        continue;
      if (!find_endpoint (link, (struct bd_chunk){ endpoint, (size_t)length },
                          instance))
        continue;
      memcpy (&number, event, sizeof number);
      *change = number == ZMQ_EVENT_CONNECTED ? BD_LINK_UP : BD_LINK_LOST;
      return true;
    }
}

const struct bd_link_counts *
bd_link_counts (const struct bd_link *link)
{
  return &link->counts;
}
