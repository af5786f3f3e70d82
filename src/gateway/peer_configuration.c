#include "gateway/peer_configuration.h"

#include "common/log.h"

#include <stdlib.h>

/* Interval between fetches, and how long a newer configuration is expected to
   arrive from the store before a peer is asked. */
#define FETCH_INTERVAL_MS 1000
#define STORE_WAIT_MS 400
#define FETCH_TIMEOUT_MS 2000
/* Without a response's head in this time, the next peer is asked; the time
   doubles each time, since all peers may be slow. */
#define HEAD_TIMEOUT_FIRST_MS 500
#define RESPONSE_MAX_BYTES ((size_t)4 * 1024 * 1024)
#define STATUS_OK 200

struct bd_peer_configuration
{
  struct bd_client *client;
  struct sockaddr_in address;
  bd_peer_configuration_on_received on_received;
  void *context;
  uint64_t version;       /* Version of the active configuration. */
  int64_t newer_since_ms; /* When a peer was first known to have a newer one;
                             0: none has. */
  struct bd_call *call;   /* Fetch in progress, or NULL. */
  int64_t fetch_started_ms;
  int64_t head_timeout_ms;
  int status; /* HTTP status of the response; 0: none yet. */
  uint64_t fetched_version;
  uint64_t fetched_revision;
  struct bd_buffer body;
};

struct bd_peer_configuration *
bd_peer_configuration_create (struct bd_client *client,
                              const struct sockaddr_in *address,
                              bd_peer_configuration_on_received on_received,
                              void *context)
{
  struct bd_peer_configuration *configuration
      = calloc (1, sizeof *configuration);

  if (!configuration)
    return NULL;
  configuration->client = client;
  configuration->address = *address;
  configuration->on_received = on_received;
  configuration->context = context;
  configuration->head_timeout_ms = HEAD_TIMEOUT_FIRST_MS;
  return configuration;
}

void
bd_peer_configuration_destroy (struct bd_peer_configuration *configuration)
{
  if (!configuration)
    return;
  bd_buffer_clear (&configuration->body);
  free (configuration);
}

/* Returns the number in the field NAME; 0: none. */
static uint64_t
field_number (const struct bd_head *head, struct bd_chunk name)
{
  struct bd_chunk value = bd_head_value (head, name);
  int64_t number;

  return value.data && bd_number_parse (value, &number) == BD_OK
             ? (uint64_t)number
             : 0;
}

static void
on_head (void *context, const struct bd_head *head)
{
  struct bd_peer_configuration *configuration = context;

  configuration->status = head->status;
  configuration->fetched_version
      = field_number (head, BD_CHUNK ("Basildock-Version"));
  configuration->fetched_revision
      = field_number (head, BD_CHUNK ("Basildock-Revision"));
}

static void
fail_fetch (struct bd_peer_configuration *configuration, int error)
{
  bd_log (BD_EVENT_PROTOCOL_ERROR, "source=peer code=%s",
          bd_error_answer (error)->code);
  configuration->call = NULL;
  bd_buffer_clear (&configuration->body);
}

static void
on_body (void *context, struct bd_chunk data)
{
  struct bd_peer_configuration *configuration = context;
  int error = BD_ERR_TOO_LARGE;

  if (configuration->body.length + data.length <= RESPONSE_MAX_BYTES)
    error = bd_buffer_append (&configuration->body, data);
  if (error == BD_OK)
    return;
  bd_call_cancel (configuration->call);
  fail_fetch (configuration, error);
}

static void
on_end (void *context)
{
  struct bd_peer_configuration *configuration = context;

  configuration->call = NULL;
  if (configuration->status == STATUS_OK
      && configuration->fetched_version > configuration->version)
    configuration->on_received (configuration->context,
                                bd_buffer_chunk (&configuration->body),
                                configuration->fetched_revision);
  bd_buffer_clear (&configuration->body);
}

static void
on_fail (void *context, const struct bd_call_failure *failure)
{
  fail_fetch (context, failure->error);
}

static const struct bd_call_handler handler = {
  .on_head = on_head, .on_body = on_body, .on_end = on_end, .on_fail = on_fail
};

void
bd_peer_configuration_set_active (struct bd_peer_configuration *configuration,
                                  uint64_t version)
{
  configuration->version = version;
  configuration->newer_since_ms = 0;
  configuration->head_timeout_ms = HEAD_TIMEOUT_FIRST_MS;
}

static void
cancel_fetch (struct bd_peer_configuration *configuration)
{
  bd_call_cancel (configuration->call);
  configuration->call = NULL;
  bd_buffer_clear (&configuration->body);
}

static bool
may_fetch (const struct bd_peer_configuration *configuration, int64_t now_ms)
{
  int64_t elapsed_ms = now_ms - configuration->fetch_started_ms;

  if (now_ms - configuration->newer_since_ms < STORE_WAIT_MS)
    return false;
  if (configuration->call)
    return configuration->status == 0
           && elapsed_ms >= configuration->head_timeout_ms;
  return elapsed_ms >= FETCH_INTERVAL_MS;
}

void
bd_peer_configuration_announced (struct bd_peer_configuration *configuration,
                                 uint32_t ip, int64_t now_ms)
{
  struct bd_call_request request
      = { .address = configuration->address,
          .head = BD_CHUNK ("GET /configuration HTTP/1.1\r\n"
                            "Host: peer\r\n\r\n"),
          .connect_timeout_ms = FETCH_TIMEOUT_MS,
          .idle_max_ms = 0 };

  if (configuration->newer_since_ms == 0)
    configuration->newer_since_ms = now_ms;
  if (!may_fetch (configuration, now_ms))
    return;
  if (configuration->call)
    {
      cancel_fetch (configuration);
      configuration->head_timeout_ms *= 2;
    }
  configuration->status = 0;
  request.address.sin_addr.s_addr = ip;
  configuration->fetch_started_ms = now_ms;
  configuration->call = bd_client_call (configuration->client, &request,
                                        &handler, configuration);
}

void
bd_peer_configuration_tick (struct bd_peer_configuration *configuration,
                            int64_t now_ms)
{
  if (configuration->call
      && now_ms - configuration->fetch_started_ms > FETCH_TIMEOUT_MS)
    cancel_fetch (configuration);
}
