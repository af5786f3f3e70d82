#include "entry/http.h"
#include "common/log.h"
#include "entry/reply.h"
#include "entry/request.h"
#include "http/socket.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Threads beyond the limit on streams, which reject the requests above it. */
#define REJECT_THREADS 16
#define HEADER_MAX_BYTES 1024
#define PATH_MAX_BYTES 2048
/* Limits on callers: bytes of a request head, time to receive it, and the
   longest pause between body bytes and between requests. */
#define HEAD_MAX_BYTES ((size_t)16 * 1024)
#define HEAD_TIMEOUT_MS 10000
#define IDLE_TIMEOUT_MS 60000
#define SERVICES_PATH "/v1/services/"

struct bd_http
{
  struct bd_http_shared *shared;
  struct bd_worker_pool *workers;
};

/* True for "." and "..", also with percent-encoded dots. */
static bool
is_dot_segment (struct bd_chunk segment)
{
  size_t dots = 0;
  size_t i = 0;

  while (i < segment.length)
    {
      const char *at = segment.data + i;

      if (*at == '.')
        i++;
      else if (segment.length - i >= 3 && memcmp (at, "%2", 2) == 0
               && (at[2] == 'e' || at[2] == 'E'))
        i += 3;
      else
        return false;
      dots++;
    }
  return dots == 1 || dots == 2;
}

/* Paths with dot segments are rejected: an engine might resolve them to
   another path than the one that was checked here. */
static bool
has_dot_segments (struct bd_chunk path)
{
  size_t start = 0;

  for (size_t i = 0; i <= path.length; i++)
    if (i == path.length || path.data[i] == '/')
      {
        if (is_dot_segment ((struct bd_chunk){ path.data + start, i - start }))
          return true;
        start = i + 1;
      }
  return false;
}

static bool
starts_with (struct bd_chunk text, struct bd_chunk start)
{
  return text.length >= start.length
         && memcmp (text.data, start.data, start.length) == 0;
}

static struct bd_chunk
path_without_query (struct bd_chunk target)
{
  return bd_chunk_split_off (&target, '?');
}

static int
read_input (struct bd_caller_request *request, struct bd_http_input *input)
{
  struct bd_chunk rest = bd_caller_request_target (request);

  memset (input, 0, sizeof *input);
  input->method = bd_caller_request_method (request);
  input->authorization = bd_caller_request_header (request, "Authorization");
  input->class_name = bd_caller_request_header (request, BD_HEADER_CLASS);
  input->key_text = bd_caller_request_header (request, BD_HEADER_KEY);
  input->content_type = bd_caller_request_header (request, "Content-Type");
  if (has_dot_segments (path_without_query (rest)))
    return BD_ERR_INVALID;
  if (starts_with (rest, BD_CHUNK (SERVICES_PATH)))
    {
      size_t skipped = sizeof SERVICES_PATH - 1;

      rest.data += skipped;
      rest.length -= skipped;
      input->service = rest;
      input->service.length = 0;
      while (rest.length > 0 && *rest.data != '/' && *rest.data != '?')
        {
          input->service.length++;
          rest.data++;
          rest.length--;
        }
      if (input->service.length == 0)
        return BD_ERR_NOT_FOUND;
      if (rest.length == 0)
        rest = BD_CHUNK ("/");
    }
  if (rest.length >= PATH_MAX_BYTES)
    return BD_ERR_TOO_LARGE;
  input->path = rest;
  if (input->authorization.length > HEADER_MAX_BYTES
      || input->class_name.length > HEADER_MAX_BYTES
      || input->key_text.length > HEADER_MAX_BYTES
      || input->content_type.length > HEADER_MAX_BYTES)
    return BD_ERR_TOO_LARGE;
  return BD_OK;
}

static int
copy_body (struct bd_caller_request *request, struct bd_http_call *call)
{
  return bd_buffer_append (&call->body, bd_caller_request_body (request));
}

/* Asks the control thread to issue an idempotency key.  Returns BD_OK with
   the key's text in the call's body, or an error. */
static int
issue_key (struct bd_http *http, struct bd_http_call *call)
{
  struct bd_delivery_mail *mail;
  int rc;

  bd_http_call_post (call, http->shared->control_mailbox, BD_CALL_ISSUE_KEY);
  do
    mail = bd_http_call_wait (call, -1);
  while (!mail);
  rc = mail->delivery.kind == BD_DELIVERY_FAIL ? mail->delivery.error : BD_OK;
  bd_buffer_reset (&call->body);
  if (rc == BD_OK)
    rc = bd_buffer_append (&call->body, mail->delivery.data);
  free (mail);
  return rc;
}

/* Answers a request that needs an idempotency key and has none: it did not
   run, and the answer carries an issued key to retry with. */
static void
reply_key_required (struct bd_http *http, struct bd_caller_request *request,
                    struct bd_http_call *call)
{
  int rc = issue_key (http, call);

  bd_reply_error (request, call->id_text, BD_ERR_KEY_REQUIRED, BD_RAN_NO, 0,
                  rc == BD_OK ? call->body.data : NULL);
  bd_http_call_post (call, http->shared->control_mailbox, BD_CALL_RELEASED);
}

/* Whether a request that is rejected before dispatch has run.  With an
   idempotency key this is unknown: another entry may have run it. */
static enum bd_ran
ran_of_rejected (struct bd_caller_request *request, int error)
{
  enum bd_ran ran = bd_error_answer (error)->ran;
  bool keyed = bd_caller_request_header (request, BD_HEADER_KEY).length > 0;

  return keyed && ran == BD_RAN_NO ? BD_RAN_UNKNOWN : ran;
}

static void
reject (struct bd_http *http, struct bd_caller_request *request,
        struct bd_http_call *call, int error)
{
  bd_metrics_refused (http->shared->metrics, error);
  bd_log (BD_EVENT_REQUEST_REFUSED, "request=%s code=%s", call->id_text,
          bd_error_answer (error)->code);
  bd_reply_error (request, call->id_text, error,
                  ran_of_rejected (request, error), 0, NULL);
  bd_http_call_destroy (call);
}

static void
serve_request (struct bd_http *http, struct bd_caller_request *request,
               struct bd_http_call *call)
{
  struct bd_http_shared *shared = http->shared;
  struct bd_http_input input;
  int rc = read_input (request, &input);

  if (rc == BD_OK)
    rc = copy_body (request, call);
  if (rc == BD_OK)
    rc = bd_request_fill (call, &input, shared->view, shared->keys);
  if (rc == BD_ERR_KEY_REQUIRED)
    reply_key_required (http, request, call);
  else if (rc != BD_OK)
    reject (http, request, call, rc);
  else
    {
      call->metrics = bd_metrics_class (
          shared->metrics, call->request.workspace, call->request.class_name);
      bd_class_metrics_count (call->metrics, BD_CLASS_COUNTER_REQUESTS, 1);
      bd_http_call_post (call, shared->control_mailbox, BD_CALL_SUBMIT);
      bd_http_call_post (call, shared->control_mailbox,
                         bd_reply_serve (request, call, shared->metrics));
    }
}

/* Reads {"model": NAME} or {"service": NAME}, the target of the new key,
   and replaces the call's body by that of a minimal request for it. */
static int
read_key_target (struct bd_http_call *call,
                 char service[BD_NAME_MAX_BYTES + 1])
{
  json_t *root = json_loadb (call->body.data ? call->body.data : "",
                             call->body.length, 0, NULL);
  const char *name = json_string_value (json_object_get (root, "service"));
  const char *model = json_string_value (json_object_get (root, "model"));
  json_t *minimal
      = json_pack ("{s:s, s:s}", "model", model ? model : "", "prompt", "");
  char *text = minimal ? json_dumps (minimal, JSON_COMPACT) : NULL;
  int rc = BD_ERR_INVALID;

  service[0] = '\0';
  if (name && strlen (name) <= BD_NAME_MAX_BYTES)
    snprintf (service, BD_NAME_MAX_BYTES + 1, "%s", name);
  bd_buffer_reset (&call->body);
  if (text && json_is_object (root))
    rc = bd_buffer_append (&call->body, bd_chunk_of (text));
  free (text);
  json_decref (minimal);
  json_decref (root);
  return rc;
}

/* POST /v1/idempotency-keys */
static void
serve_key_request (struct bd_http *http, struct bd_caller_request *request,
                   struct bd_http_call *call)
{
  struct bd_http_input input;
  struct bd_buffer json = { 0 };
  char service[BD_NAME_MAX_BYTES + 1];
  int rc = read_input (request, &input);

  if (rc == BD_OK)
    rc = copy_body (request, call);
  if (rc == BD_OK)
    rc = read_key_target (call, service);
  if (rc == BD_OK)
    {
      input.service = bd_chunk_of (service);
      input.key_text.length = 0;
      rc = bd_request_fill (call, &input, http->shared->view,
                            http->shared->keys);
    }
  /* An idempotent class needs no key, but may have one. */
  if (rc != BD_OK && rc != BD_ERR_KEY_REQUIRED)
    {
      reject (http, request, call, rc);
      return;
    }
  rc = issue_key (http, call);
  if (rc == BD_OK)
    {
      bd_buffer_printf (&json, "{\"idempotency_key\":\"%s\"}",
                        call->body.data);
      bd_reply_json (request, call->id_text, bd_buffer_chunk (&json));
      bd_buffer_clear (&json);
    }
  else
    bd_reply_error (request, call->id_text, rc, BD_RAN_NO, 0, NULL);
  bd_http_call_post (call, http->shared->control_mailbox, BD_CALL_RELEASED);
}

static void
serve_models (struct bd_http *http, struct bd_caller_request *request,
              struct bd_http_call *call)
{
  const struct bd_config_snapshot *snapshot
      = bd_config_view_read_lock (http->shared->view);
  bool authorized
      = snapshot
        && bd_request_find_contract (
            snapshot, bd_caller_request_header (request, "Authorization"));
  json_t *list = json_array ();
  json_t *root;
  char *text;

  for (size_t i = 0; authorized && i < snapshot->pool_count; i++)
    if (snapshot->pools[i]->kind == BD_POOL_MODEL)
      json_array_append_new (
          list,
          json_pack ("{s:s#, s:s}", "id", snapshot->pools[i]->name.data,
                     (int)snapshot->pools[i]->name.length, "object", "model"));
  bd_config_view_read_unlock ();
  if (!authorized)
    {
      json_decref (list);
      reject (http, request, call, BD_ERR_UNAUTHORIZED);
      return;
    }
  root = json_pack ("{s:s, s:o}", "object", "list", "data", list);
  text = json_dumps (root, JSON_COMPACT);
  bd_reply_json (request, call->id_text, bd_chunk_of (text));
  free (text);
  json_decref (root);
  bd_http_call_destroy (call);
}

static void
route (struct bd_http *http, struct bd_caller_request *request,
       struct bd_http_call *call)
{
  struct bd_chunk path
      = path_without_query (bd_caller_request_target (request));
  bool post
      = bd_chunk_equal (bd_caller_request_method (request), BD_CHUNK ("POST"));
  bool get
      = bd_chunk_equal (bd_caller_request_method (request), BD_CHUNK ("GET"));

  if (starts_with (path, BD_CHUNK (SERVICES_PATH))
      || (post
          && (bd_chunk_equal (path, BD_CHUNK ("/v1/chat/completions"))
              || bd_chunk_equal (path, BD_CHUNK ("/v1/completions")))))
    serve_request (http, request, call);
  else if (post && bd_chunk_equal (path, BD_CHUNK ("/v1/idempotency-keys")))
    serve_key_request (http, request, call);
  else if (get && bd_chunk_equal (path, BD_CHUNK ("/v1/models")))
    serve_models (http, request, call);
  else
    reject (http, request, call, BD_ERR_NOT_FOUND);
}

static void
answer_text (struct bd_exchange *exchange, struct bd_chunk text)
{
  bd_exchange_reply (exchange, 200, BD_CHUNK ("Content-Type: text/plain\r\n"),
                     text);
}

static void
answer_not_ready (struct bd_exchange *exchange)
{
  struct bd_buffer fields = { 0 };
  struct bd_buffer body = { 0 };

  bd_reply_write_error ("", BD_ERR_NOT_READY, BD_RAN_NO, 0, NULL, &fields,
                        &body);
  bd_exchange_reply (exchange, bd_error_answer (BD_ERR_NOT_READY)->status,
                     bd_buffer_chunk (&fields), bd_buffer_chunk (&body));
  bd_buffer_clear (&fields);
  bd_buffer_clear (&body);
}

/* Answers the health check (the process responds) and the readiness check
   (new callers may be sent here) without a worker thread. */
static bool
answer_health (void *context, struct bd_exchange *exchange)
{
  struct bd_http *http = context;
  struct bd_chunk path
      = path_without_query (bd_exchange_head (exchange)->target);
  bool ready;

  if (bd_chunk_equal (path, BD_CHUNK ("/healthz")))
    {
      answer_text (exchange, BD_CHUNK ("ok\n"));
      return true;
    }
  if (!bd_chunk_equal (path, BD_CHUNK ("/readyz")))
    return false;
  ready = bd_config_view_read_lock (http->shared->view) != NULL
          && !atomic_load (&http->shared->leaving);
  bd_config_view_read_unlock ();
  if (ready)
    answer_text (exchange, BD_CHUNK ("ready\n"));
  else
    answer_not_ready (exchange);
  return true;
}

static void
serve_call (void *context, struct bd_caller_request *request)
{
  struct bd_http *http = context;
  struct bd_http_shared *shared = http->shared;
  struct bd_http_call *call;
  int active = atomic_fetch_add (&shared->active_calls, 1);

  bd_metrics_count (shared->metrics, BD_COUNTER_REQUESTS, 1);
  call = bd_http_call_create ();
  if (!call)
    bd_reply_error (request, "", BD_ERR_NOMEM, BD_RAN_NO, 0, NULL);
  else if (atomic_load (&shared->refusing))
    reject (http, request, call, BD_ERR_LEAVING);
  else if (active >= shared->settings->max_streams)
    reject (http, request, call, BD_ERR_FULL);
  else
    route (http, request, call);
  atomic_fetch_sub (&shared->active_calls, 1);
}

/* Answers a request that is rejected before it is completely received.  It
   was not dispatched here; with an idempotency key, whether it has run is
   unknown. */
static void
write_rejection (void *context, const struct bd_exchange *exchange, int error,
                 struct bd_buffer *fields, struct bd_buffer *body)
{
  struct bd_http *http = context;
  const struct bd_head *head = bd_exchange_head (exchange);
  enum bd_ran ran = bd_error_answer (error)->ran;
  char id_text[BD_ID_HEX_LENGTH + 1];

  if (ran == BD_RAN_NO && head
      && bd_head_count (head, BD_CHUNK (BD_HEADER_KEY)) > 0)
    ran = BD_RAN_UNKNOWN;
  bd_metrics_count (http->shared->metrics, BD_COUNTER_REQUESTS, 1);
  bd_metrics_refused (http->shared->metrics, error);
  bd_id_format (bd_id_random (), id_text);
  bd_log (BD_EVENT_REQUEST_REFUSED, "request=%s code=%s", id_text,
          bd_error_answer (error)->code);
  bd_reply_write_error (id_text, error, ran, 0, NULL, fields, body);
}

struct bd_http *
bd_http_create (struct bd_http_shared *shared, int *error)
{
  const struct bd_settings *s = shared->settings;
  struct bd_http *http = calloc (1, sizeof *http);
  struct bd_worker_pool_options options
      = { .certificate = s->tls_certificate && s->tls_certificate[0]
                             ? s->tls_certificate
                             : NULL,
          .limits = { .head_max_bytes = HEAD_MAX_BYTES,
                      .body_max_bytes = (size_t)s->body_bytes,
                      .head_timeout_ms = HEAD_TIMEOUT_MS,
                      .idle_timeout_ms = IDLE_TIMEOUT_MS },
          .threads = (size_t)s->max_streams + REJECT_THREADS,
          .leaving = &shared->leaving,
          .context = http,
          .serve = serve_call,
          .try_answer = answer_health,
          .write_rejection = write_rejection };

  *error = BD_ERR_NOMEM;
  if (!http)
    return NULL;
  http->shared = shared;
  *error = bd_address_parse (bd_chunk_of (s->http_address), &options.address);
  if (*error == BD_OK)
    http->workers = bd_worker_pool_create (&options, error);
  if (http->workers)
    return http;
  free (http);
  return NULL;
}

void
bd_http_destroy (struct bd_http *http)
{
  if (!http)
    return;
  bd_worker_pool_destroy (http->workers);
  free (http);
}
