#include "entry/http.h"
#include "common/log.h"
#include "entry/reply.h"
#include "entry/request.h"

#include <civetweb.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <urcu.h>

/* Threads beyond the bound on calls, to refuse what is too many. */
#define SPARE_THREADS 16
#define READ_BYTES 16384
#define HEADER_MAX_BYTES 1024
#define PATH_MAX_BYTES 2048
#define REQUEST_TIMEOUT_MS "60000"
#define KEEP_ALIVE_MS "2000"
#define SERVICES "/v1/services/"

struct bd_http
{
  struct bd_http_shared *shared;
  struct mg_context *server;
};

static void *
init_thread (const struct mg_context *context, int type)
{
  (void)context;
  (void)type;
  rcu_register_thread ();
  return NULL;
}

static void
exit_thread (const struct mg_context *context, int type, void *pointer)
{
  (void)context;
  (void)type;
  (void)pointer;
  rcu_unregister_thread ();
}

static struct bd_chunk
header (struct mg_connection *conn, const char *name)
{
  return bd_chunk_of (mg_get_header (conn, name));
}

/* Reads the body up to the bound. */
static int
read_body (struct mg_connection *conn, struct bd_http_call *call, size_t bound)
{
  const struct mg_request_info *info = mg_get_request_info (conn);
  char bytes[READ_BYTES];
  int got;

  if (info->content_length > (long long)bound)
    return BD_ERR_TOO_LARGE;
  while ((got = mg_read (conn, bytes, sizeof bytes)) > 0)
    {
      if (call->body.length + (size_t)got > bound)
        return BD_ERR_TOO_LARGE;
      if (bd_buffer_append (&call->body,
                            (struct bd_chunk){ bytes, (size_t)got })
          != BD_OK)
        return BD_ERR_NOMEM;
    }
  if (info->content_length > 0
      && call->body.length != (size_t)info->content_length)
    return BD_ERR_INVALID;
  return BD_OK;
}

static int
read_input (struct mg_connection *conn, struct bd_http_input *input,
            char path[PATH_MAX_BYTES])
{
  const struct mg_request_info *info = mg_get_request_info (conn);
  bool service = strncmp (info->local_uri, SERVICES, sizeof SERVICES - 1) == 0;
  const char *rest = info->local_uri;

  memset (input, 0, sizeof *input);
  input->method = bd_chunk_of (info->request_method);
  input->authorization = header (conn, "Authorization");
  input->class_name = header (conn, BD_HEADER_CLASS);
  input->key_text = header (conn, BD_HEADER_KEY);
  input->content_type = header (conn, "Content-Type");
  if (service)
    {
      const char *name = info->local_uri + sizeof SERVICES - 1;

      rest = strchr (name, '/');
      input->service.data = name;
      input->service.length = rest ? (size_t)(rest - name) : strlen (name);
      if (input->service.length == 0)
        return BD_ERR_NOT_FOUND;
      rest = rest ? rest : "/";
    }
  if (snprintf (path, PATH_MAX_BYTES, "%s%s%s", rest,
                info->query_string ? "?" : "",
                info->query_string ? info->query_string : "")
      >= PATH_MAX_BYTES)
    return BD_ERR_TOO_LARGE;
  input->path = bd_chunk_of (path);
  if (input->authorization.length > HEADER_MAX_BYTES
      || input->class_name.length > HEADER_MAX_BYTES
      || input->key_text.length > HEADER_MAX_BYTES
      || input->content_type.length > HEADER_MAX_BYTES)
    return BD_ERR_TOO_LARGE;
  return BD_OK;
}

/* Has the control thread issue a key.  Returns BD_OK with the key's text in
   the call's body, or an error. */
static int
issue_key (struct bd_http *http, struct bd_http_call *call)
{
  struct bd_delivery_mail *mail;
  int rc;

  bd_http_call_post (call, http->shared->control, BD_CALL_ISSUE);
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

/* A request without a key did not run; it is told a key to come back with. */
static void
demand_key (struct bd_http *http, struct mg_connection *conn,
            struct bd_http_call *call)
{
  int rc = issue_key (http, call);

  bd_reply_error (conn, call->id_text, BD_ERR_KEY_REQUIRED, BD_RAN_NO, 0,
                  rc == BD_OK ? call->body.data : NULL);
  bd_http_call_post (call, http->shared->control, BD_CALL_RELEASED);
}

/* What is said of the run when a request is refused before it was placed.  Of
   a key nothing is known here: another entry may have run it. */
static enum bd_ran
ran_of_refused (struct mg_connection *conn, int error)
{
  enum bd_ran ran = bd_error_answer (error)->ran;
  bool keyed = header (conn, BD_HEADER_KEY).length > 0;

  return keyed && ran == BD_RAN_NO ? BD_RAN_UNKNOWN : ran;
}

static void
refuse (struct bd_http *http, struct mg_connection *conn,
        struct bd_http_call *call, int error)
{
  bd_metrics_refused (http->shared->metrics, error);
  bd_log (BD_EVENT_REQUEST_REFUSED, "request=%s code=%s", call->id_text,
          bd_error_answer (error)->code);
  bd_reply_error (conn, call->id_text, error, ran_of_refused (conn, error), 0,
                  NULL);
  bd_http_call_destroy (call);
}

static void
serve_request (struct bd_http *http, struct mg_connection *conn,
               struct bd_http_call *call)
{
  struct bd_http_shared *shared = http->shared;
  struct bd_http_input input;
  char path[PATH_MAX_BYTES];
  int rc = read_input (conn, &input, path);

  if (rc == BD_OK)
    rc = read_body (conn, call, (size_t)shared->settings->body_bytes);
  if (rc == BD_OK)
    rc = bd_request_fill (call, &input, shared->view, shared->keys);
  if (rc == BD_ERR_KEY_REQUIRED)
    demand_key (http, conn, call);
  else if (rc != BD_OK)
    refuse (http, conn, call, rc);
  else
    {
      call->metrics = bd_metrics_class (
          shared->metrics, call->request.workspace, call->request.class_name);
      bd_class_metrics_count (call->metrics, BD_CLASS_COUNTER_REQUESTS, 1);
      bd_http_call_post (call, shared->control, BD_CALL_SUBMIT);
      bd_http_call_post (call, shared->control,
                         bd_reply_serve (conn, call, shared->metrics));
    }
}

/* Reads {"model": NAME} or {"service": NAME}: what the key is for.  The body
   becomes that of the least request for it. */
static int
read_key_target (struct bd_http_call *call,
                 char service[BD_NAME_MAX_BYTES + 1])
{
  json_t *root = json_loadb (call->body.data ? call->body.data : "",
                             call->body.length, 0, NULL);
  const char *name = json_string_value (json_object_get (root, "service"));
  const char *model = json_string_value (json_object_get (root, "model"));
  json_t *least
      = json_pack ("{s:s, s:s}", "model", model ? model : "", "prompt", "");
  char *text = least ? json_dumps (least, JSON_COMPACT) : NULL;
  int rc = BD_ERR_INVALID;

  service[0] = '\0';
  if (name && strlen (name) <= BD_NAME_MAX_BYTES)
    snprintf (service, BD_NAME_MAX_BYTES + 1, "%s", name);
  bd_buffer_reset (&call->body);
  if (text && json_is_object (root))
    rc = bd_buffer_append (&call->body, bd_chunk_of (text));
  free (text);
  json_decref (least);
  json_decref (root);
  return rc;
}

/* POST /v1/idempotency-keys */
static void
serve_key (struct bd_http *http, struct mg_connection *conn,
           struct bd_http_call *call)
{
  struct bd_http_input input;
  struct bd_buffer json = { 0 };
  char path[PATH_MAX_BYTES];
  char service[BD_NAME_MAX_BYTES + 1];
  int rc = read_input (conn, &input, path);

  if (rc == BD_OK)
    rc = read_body (conn, call, (size_t)http->shared->settings->body_bytes);
  if (rc == BD_OK)
    rc = read_key_target (call, service);
  if (rc == BD_OK)
    {
      input.service = bd_chunk_of (service);
      input.key_text.length = 0;
      rc = bd_request_fill (call, &input, http->shared->view,
                            http->shared->keys);
    }
  /* A class whose requests may run again needs no key, but may have one. */
  if (rc != BD_OK && rc != BD_ERR_KEY_REQUIRED)
    {
      refuse (http, conn, call, rc);
      return;
    }
  rc = issue_key (http, call);
  if (rc == BD_OK)
    {
      bd_buffer_printf (&json, "{\"idempotency_key\":\"%s\"}",
                        call->body.data);
      bd_reply_json (conn, call->id_text, bd_buffer_chunk (&json));
      bd_buffer_clear (&json);
    }
  else
    bd_reply_error (conn, call->id_text, rc, BD_RAN_NO, 0, NULL);
  bd_http_call_post (call, http->shared->control, BD_CALL_RELEASED);
}

static void
serve_models (struct bd_http *http, struct mg_connection *conn,
              struct bd_http_call *call)
{
  const struct bd_config_snapshot *snapshot
      = bd_view_enter (http->shared->view);
  bool known
      = snapshot
        && bd_request_contract (snapshot, header (conn, "Authorization"));
  json_t *list = json_array ();
  json_t *root;
  char *text;

  for (size_t i = 0; known && i < snapshot->pool_count; i++)
    if (snapshot->pools[i]->kind == BD_POOL_MODEL)
      json_array_append_new (
          list,
          json_pack ("{s:s#, s:s}", "id", snapshot->pools[i]->name.data,
                     (int)snapshot->pools[i]->name.length, "object", "model"));
  bd_view_leave ();
  if (!known)
    {
      json_decref (list);
      refuse (http, conn, call, BD_ERR_UNAUTHORIZED);
      return;
    }
  root = json_pack ("{s:s, s:o}", "object", "list", "data", list);
  text = json_dumps (root, JSON_COMPACT);
  bd_reply_json (conn, call->id_text, bd_chunk_of (text));
  free (text);
  json_decref (root);
  bd_http_call_destroy (call);
}

static void
route (struct bd_http *http, struct mg_connection *conn,
       struct bd_http_call *call)
{
  const struct mg_request_info *info = mg_get_request_info (conn);
  const char *path = info->local_uri;
  bool post = strcmp (info->request_method, "POST") == 0;
  bool get = strcmp (info->request_method, "GET") == 0;

  if (strncmp (path, SERVICES, sizeof SERVICES - 1) == 0
      || (post
          && (strcmp (path, "/v1/chat/completions") == 0
              || strcmp (path, "/v1/completions") == 0)))
    serve_request (http, conn, call);
  else if (post && strcmp (path, "/v1/idempotency-keys") == 0)
    serve_key (http, conn, call);
  else if (get && strcmp (path, "/v1/models") == 0)
    serve_models (http, conn, call);
  else
    refuse (http, conn, call, BD_ERR_NOT_FOUND);
}

/* Health: the process answers; readiness: it may get new callers. */
static bool
serve_health (struct bd_http *http, struct mg_connection *conn)
{
  const char *path = mg_get_request_info (conn)->local_uri;
  bool ready;

  if (strcmp (path, "/healthz") == 0)
    {
      mg_send_http_ok (conn, "text/plain", 3);
      mg_write (conn, "ok\n", 3);
      return true;
    }
  if (strcmp (path, "/readyz") != 0)
    return false;
  ready = bd_view_enter (http->shared->view) != NULL
          && !atomic_load (&http->shared->leaving);
  bd_view_leave ();
  if (ready)
    {
      mg_send_http_ok (conn, "text/plain", 6);
      mg_write (conn, "ready\n", 6);
    }
  else
    bd_reply_error (conn, "", BD_ERR_NOT_READY, BD_RAN_NO, 0, NULL);
  return true;
}

static int
handle (struct mg_connection *conn, void *data)
{
  struct bd_http *http = data;
  struct bd_http_shared *shared = http->shared;
  struct bd_http_call *call;
  int active;

  if (serve_health (http, conn))
    return 200;
  active = atomic_fetch_add (&shared->active, 1);
  bd_metrics_count (shared->metrics, BD_COUNTER_REQUESTS, 1);
  call = bd_http_call_create ();
  if (!call)
    bd_reply_error (conn, "", BD_ERR_NOMEM, BD_RAN_NO, 0, NULL);
  else if (atomic_load (&shared->refusing))
    refuse (http, conn, call, BD_ERR_LEAVING);
  else if (active >= shared->settings->max_streams)
    refuse (http, conn, call, BD_ERR_FULL);
  else
    route (http, conn, call);
  atomic_fetch_sub (&shared->active, 1);
  return 200;
}

struct bd_http *
bd_http_create (struct bd_http_shared *shared)
{
  const struct bd_settings *s = shared->settings;
  bool tls = s->tls_certificate && s->tls_certificate[0];
  struct bd_http *http = calloc (1, sizeof *http);
  char threads[16];
  char address[96];
  const char *options[] = {
    "listening_ports",
    address,
    "num_threads",
    threads,
    "tcp_nodelay",
    "1",
    "enable_keep_alive",
    "yes",
    "keep_alive_timeout_ms",
    KEEP_ALIVE_MS,
    "request_timeout_ms",
    REQUEST_TIMEOUT_MS,
    "max_request_size",
    "16384",
    tls ? "ssl_certificate" : NULL,
    s->tls_certificate,
    NULL,
  };
  struct mg_callbacks callbacks
      = { .init_thread = init_thread, .exit_thread = exit_thread };

  if (!http)
    return NULL;
  http->shared = shared;
  snprintf (threads, sizeof threads, "%d", s->max_streams + SPARE_THREADS);
  snprintf (address, sizeof address, "%s%s", s->http_address, tls ? "s" : "");
  mg_init_library (tls ? MG_FEATURES_TLS : 0);
  http->server = mg_start (&callbacks, http, options);
  if (!http->server)
    {
      free (http);
      return NULL;
    }
  mg_set_request_handler (http->server, "/", handle, http);
  return http;
}

void
bd_http_destroy (struct bd_http *http)
{
  if (!http)
    return;
  mg_stop (http->server);
  mg_exit_library ();
  free (http);
}
