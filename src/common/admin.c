#include "common/admin.h"

#include "common/log.h"

#include <civetweb.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define THREADS "4"
#define REQUEST_TIMEOUT_MS "10000"
#define JSON_TYPE "application/json"
#define TEXT_TYPE "text/plain; charset=utf-8"
#define METRICS_TYPE "text/plain; version=0.0.4"
#define REQUEST_KEY "request="

struct bd_admin
{
  struct mg_context *context;
  const struct bd_metrics *metrics;
  struct bd_admin_source *source;
};

static int
reply (struct mg_connection *connection, int status, const char *type,
       struct bd_chunk body)
{
  mg_printf (connection,
             "HTTP/1.1 %d %s\r\n"
             "Content-Type: %s\r\n"
             "Content-Length: %zu\r\n"
             "%s"
             "Cache-Control: no-store\r\n"
             "Connection: close\r\n\r\n",
             status, mg_get_response_code_text (connection, status), type,
             body.length, status == 405 ? "Allow: GET\r\n" : "");
  mg_write (connection, body.data, body.length);
  return status;
}

static int
reply_text (struct mg_connection *connection, int status, const char *text)
{
  return reply (connection, status, TEXT_TYPE, bd_chunk_of (text));
}

static int
reply_error (struct mg_connection *connection, int error)
{
  const struct bd_answer *answer = bd_error_answer (error);
  struct bd_buffer b = { 0 };
  int status = answer->status;

  if (bd_buffer_printf (&b, "{\"error\":{\"code\":\"%s\",\"message\":\"%s\"}}",
                        answer->code, answer->text)
      == BD_OK)
    reply (connection, status, JSON_TYPE, bd_buffer_chunk (&b));
  bd_buffer_clear (&b);
  return status;
}

/* Replies with the content of B when WRITE_RESULT is BD_OK, else with the
   answer for that error.  Clears B. */
static int
reply_buffer (struct mg_connection *connection, const char *type,
              struct bd_buffer *b, int write_result)
{
  int status;

  if (write_result == BD_OK)
    status = reply (connection, 200, type, bd_buffer_chunk (b));
  else
    status = reply_error (connection, write_result);
  bd_buffer_clear (b);
  return status;
}

static json_t *
json_of_line (struct bd_chunk line)
{
  json_t *string = json_stringn (line.data, line.length);
  char copy[BD_LOG_RECENT_LINE_BYTES];

  if (string || line.length > sizeof copy)
    return string;
  /* The line is not UTF-8: it may have been truncated within a character. */
  for (size_t i = 0; i < line.length; i++)
    copy[i] = (char)((unsigned char)line.data[i] < 0x80 ? line.data[i] : '?');
  return json_stringn (copy, line.length);
}

/* Collects the log lines of one request, or all lines when REQUEST is
   empty. */
struct line_search
{
  struct bd_chunk request;
  json_t *lines;
};

/* Returns true when LINE has the field "request=REQUEST" between spaces. */
static bool
has_request (struct bd_chunk line, struct bd_chunk request)
{
  size_t key_length = strlen (REQUEST_KEY);
  size_t word_length = key_length + request.length;

  for (size_t i = 1; i + word_length <= line.length; i++)
    {
      size_t end = i + word_length;

      if (line.data[i - 1] == ' '
          && memcmp (line.data + i, REQUEST_KEY, key_length) == 0
          && memcmp (line.data + i + key_length, request.data, request.length)
                 == 0
          && (end == line.length || line.data[end] == ' '))
        return true;
    }
  return false;
}

static void
add_matching_line (void *context, struct bd_chunk line)
{
  struct line_search *search = context;

  if (search->request.length == 0 || has_request (line, search->request))
    json_array_append_new (search->lines, json_of_line (line));
}

static int
write_log_lines (struct bd_chunk request, struct bd_buffer *b)
{
  struct line_search search = { request, json_array () };
  json_t *root = json_pack ("{s:o}", "lines", search.lines);
  char *text;
  int rc = BD_ERR_NOMEM;

  bd_log_visit (add_matching_line, &search);
  text = root ? json_dumps (root, JSON_COMPACT) : NULL;
  if (text)
    rc = bd_buffer_append (b, bd_chunk_of (text));
  free (text);
  json_decref (root);
  return rc;
}

static int
reply_trace (struct mg_connection *connection, const char *query)
{
  struct bd_buffer b = { 0 };
  char request[BD_ID_HEX_LENGTH + 1];
  struct bd_id id;
  int rc;

  if (!query
      || mg_get_var (query, strlen (query), "request", request, sizeof request)
             < 0
      || bd_id_parse (bd_chunk_of (request), &id) != BD_OK)
    return reply_error (connection, BD_ERR_INVALID);
  bd_id_format (id, request);
  rc = write_log_lines (bd_chunk_of (request), &b);
  return reply_buffer (connection, JSON_TYPE, &b, rc);
}

/* Replies with the JSON object that WRITE gets from SOURCE. */
static int
reply_state (struct mg_connection *connection, struct bd_admin_source *source,
             int (*write) (struct bd_admin_source *, struct bd_buffer *))
{
  struct bd_buffer b = { 0 };

  return reply_buffer (connection, JSON_TYPE, &b, write (source, &b));
}

static int
handle_get (struct mg_connection *connection, struct bd_admin *admin,
            const char *path, const char *query)
{
  struct bd_admin_source *source = admin->source;
  struct bd_buffer b = { 0 };

  if (strcmp (path, "/healthz") == 0)
    return reply_text (connection, 200, "ok\n");
  if (strcmp (path, "/readyz") == 0)
    return source->ready (source)
               ? reply_text (connection, 200, "ready\n")
               : reply_text (connection, 503, "not ready\n");
  if (strcmp (path, "/metrics") == 0)
    return reply_buffer (connection, METRICS_TYPE, &b,
                         bd_metrics_write_text (admin->metrics, &b));
  if (strcmp (path, "/metrics.json") == 0)
    return reply_buffer (connection, JSON_TYPE, &b,
                         bd_metrics_write_json (admin->metrics, &b));
  if (strcmp (path, "/status") == 0)
    return reply_state (connection, source, source->status);
  if (strcmp (path, "/runners") == 0)
    return reply_state (connection, source, source->runners);
  if (strcmp (path, "/contracts") == 0)
    return reply_state (connection, source, source->contracts);
  if (strcmp (path, "/events") == 0)
    return reply_buffer (connection, JSON_TYPE, &b,
                         write_log_lines (BD_CHUNK (""), &b));
  if (strcmp (path, "/trace") == 0)
    return reply_trace (connection, query);
  return reply_error (connection, BD_ERR_NOT_FOUND);
}

/* A begin_request callback rather than a request handler, because it is in
   place before the port is open. */
static int
begin_request (struct mg_connection *connection)
{
  const struct mg_request_info *info = mg_get_request_info (connection);
  struct bd_admin *admin = mg_get_user_data (mg_get_context (connection));

  if (strcmp (info->request_method, "GET") != 0)
    return reply_text (connection, 405, "this port only answers GET\n");
  return handle_get (connection, admin, info->local_uri, info->query_string);
}

struct bd_admin *
bd_admin_create (const char *address, const struct bd_metrics *metrics,
                 struct bd_admin_source *source, int *error)
{
  const char *options[] = { "listening_ports",
                            address,
                            "num_threads",
                            THREADS,
                            "request_timeout_ms",
                            REQUEST_TIMEOUT_MS,
                            "enable_keep_alive",
                            "no",
                            NULL };
  struct mg_callbacks callbacks = { .begin_request = begin_request };
  struct bd_admin *admin = calloc (1, sizeof *admin);

  *error = BD_ERR_NOMEM;
  if (!admin)
    return NULL;
  admin->metrics = metrics;
  admin->source = source;
  mg_init_library (0);
  admin->context = mg_start (&callbacks, admin, options);
  if (!admin->context)
    {
      *error = BD_ERR_IO;
      mg_exit_library ();
      free (admin);
      return NULL;
    }
  *error = BD_OK;
  return admin;
}

void
bd_admin_destroy (struct bd_admin *admin)
{
  if (!admin)
    return;
  mg_stop (admin->context);
  mg_exit_library ();
  free (admin);
}
