#include "gateway/document.h"

#include "common/log.h"

#include <stdlib.h>

/* Interval between fetches, and how long a newer configuration is expected to
   arrive from the store before a peer is asked. */
#define FETCH_INTERVAL_MS 1000
#define STORE_WAIT_MS 400
#define FETCH_TIMEOUT_MS 2000
#define RESPONSE_MAX_BYTES ((size_t)4 * 1024 * 1024)
#define STATUS_OK 200

struct bd_documents
{
  struct bd_client *client;
  struct sockaddr_in address;
  bd_document_on_come on_received;
  void *context;
  uint64_t revision;      /* Revision of the active configuration. */
  int64_t newer_since_ms; /* When a peer was first known to have a newer one;
                             0: none has. */
  struct bd_call *call;   /* Fetch in progress, or NULL. */
  int64_t fetch_started_ms;
  int status;
  uint64_t fetched_revision;
  struct bd_buffer body;
};

struct bd_documents *
bd_documents_create (struct bd_client *client,
                     const struct sockaddr_in *internal,
                     bd_document_on_come on_come, void *context)
{
  struct bd_documents *documents = calloc (1, sizeof *documents);

  if (!documents)
    return NULL;
  documents->client = client;
  documents->address = *internal;
  documents->on_received = on_come;
  documents->context = context;
  return documents;
}

void
bd_documents_destroy (struct bd_documents *documents)
{
  if (!documents)
    return;
  bd_buffer_clear (&documents->body);
  free (documents);
}

static void
on_head (void *context, const struct bd_head *head)
{
  struct bd_documents *documents = context;
  struct bd_chunk value
      = bd_head_value (head, BD_CHUNK ("Basildock-Revision"));
  int64_t revision;

  documents->status = head->status;
  documents->fetched_revision = 0;
  if (value.data && bd_number_parse (value, &revision) == BD_OK)
    documents->fetched_revision = (uint64_t)revision;
}

static void
give_up (struct bd_documents *documents, int error)
{
  bd_log (BD_EVENT_PROTOCOL_ERROR, "source=peer code=%s",
          bd_error_answer (error)->code);
  documents->call = NULL;
  bd_buffer_clear (&documents->body);
}

static void
on_body (void *context, struct bd_chunk data)
{
  struct bd_documents *documents = context;
  int error = BD_ERR_TOO_LARGE;

  if (documents->body.length + data.length <= RESPONSE_MAX_BYTES)
    error = bd_buffer_append (&documents->body, data);
  if (error == BD_OK)
    return;
  bd_call_cancel (documents->call);
  give_up (documents, error);
}

static void
on_end (void *context)
{
  struct bd_documents *documents = context;

  documents->call = NULL;
  if (documents->status == STATUS_OK
      && documents->fetched_revision > documents->revision)
    documents->on_received (documents->context,
                            bd_buffer_chunk (&documents->body),
                            documents->fetched_revision);
  bd_buffer_clear (&documents->body);
}

static void
on_fail (void *context, const struct bd_call_failure *failure)
{
  give_up (context, failure->error);
}

static const struct bd_call_handler handler = {
  .on_head = on_head, .on_body = on_body, .on_end = on_end, .on_fail = on_fail
};

void
bd_documents_in_force (struct bd_documents *documents, uint64_t revision)
{
  documents->revision = revision;
  documents->newer_since_ms = 0;
}

void
bd_documents_newer (struct bd_documents *documents, uint32_t ip,
                    int64_t now_ms)
{
  struct bd_call_request request
      = { .address = documents->address,
          .head = BD_CHUNK ("GET /configuration HTTP/1.1\r\n"
                            "Host: peer\r\n\r\n"),
          .connect_timeout_ms = FETCH_TIMEOUT_MS,
          .idle_max_ms = 0 };

  if (documents->newer_since_ms == 0)
    documents->newer_since_ms = now_ms;
  if (documents->call || now_ms - documents->newer_since_ms < STORE_WAIT_MS
      || now_ms - documents->fetch_started_ms < FETCH_INTERVAL_MS)
    return;
  request.address.sin_addr.s_addr = ip;
  documents->fetch_started_ms = now_ms;
  documents->call
      = bd_client_call (documents->client, &request, &handler, documents);
}

void
bd_documents_tick (struct bd_documents *documents, int64_t now_ms)
{
  if (!documents->call
      || now_ms - documents->fetch_started_ms <= FETCH_TIMEOUT_MS)
    return;
  bd_call_cancel (documents->call);
  documents->call = NULL;
  bd_buffer_clear (&documents->body);
}
