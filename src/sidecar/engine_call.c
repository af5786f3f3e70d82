/*
 * Why a call is never sent twice: libcurl repeats a request by itself when a
 * reused connection turns out to be dead, when a 417 answers
 * "Expect: 100-continue", on a redirect, on an authentication round, and on
 * a refused HTTP/2 stream.  Each call therefore has a fresh connection that
 * is not kept (a connect on loopback costs some tens of microseconds),
 * Expect is off, redirects and credentials are not set, and HTTP is 1.1.
 * CURLOPT_PREREQFUNCTION runs after the connect and before the first byte:
 * a call that failed without passing it was provably not sent.
 */
#include "sidecar/engine_call.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define METHOD_MAX_BYTES 16
#define HEADER_VALUE_MAX_BYTES 1024

static int
add_header (struct bd_call *call, const char *format, const char *value)
{
  char line[HEADER_VALUE_MAX_BYTES + 64];
  struct curl_slist *list;

  snprintf (line, sizeof line, format, value);
  list = curl_slist_append (call->headers, line);
  if (!list)
    return BD_ERR_NOMEM;
  call->headers = list;
  return BD_OK;
}

static int
add_headers (struct bd_call *call)
{
  char text[BD_ID_HEX_LENGTH + 1];
  int rc = add_header (call, "%s:", "Expect");

  bd_id_format (call->request, text);
  if (rc == BD_OK)
    rc = add_header (call, "X-Request-Id: %s", text);
  if (rc == BD_OK)
    rc = add_header (call, "Connection: %s", "close");
  snprintf (text, sizeof text, "%u", call->tier);
  if (rc == BD_OK)
    rc = add_header (call, "X-Priority: %s", text);
  if (rc == BD_OK && call->key[0] != '\0')
    rc = add_header (call, "Idempotency-Key: %s", call->key);
  if (rc == BD_OK)
    rc = add_header (call,
                     call->content_type[0] != '\0' ? "Content-Type: %s"
                                                   : "Content-Type:%s",
                     call->content_type);
  snprintf (text, sizeof text, "%" PRIu64, call->fencing);
  if (rc == BD_OK && call->fencing != 0)
    rc = add_header (call, "X-Fencing: %s", text);
  return rc;
}

static void
set_body (struct bd_call *call)
{
  CURL *easy = call->easy;
  bool expects_body = strcmp (call->method, "POST") == 0
                      || strcmp (call->method, "PUT") == 0
                      || strcmp (call->method, "PATCH") == 0;

  if (strcmp (call->method, "HEAD") == 0)
    {
      curl_easy_setopt (easy, CURLOPT_NOBODY, 1L);
      return;
    }
  if (call->body.length > 0 || expects_body)
    {
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE_LARGE,
                        (curl_off_t)call->body.length);
      curl_easy_setopt (easy, CURLOPT_POSTFIELDS,
                        call->body.data ? call->body.data : "");
    }
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, call->method);
}

static void
set_connection (CURL *easy, const struct bd_engine_settings *settings)
{
  curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt (easy, CURLOPT_FORBID_REUSE, 1L);
  curl_easy_setopt (easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (easy, CURLOPT_FOLLOWLOCATION, 0L);
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS,
                    (long)settings->connect_timeout_ms);
}

int
bd_call_prepare (struct bd_call *call,
                 const struct bd_engine_settings *settings)
{
  CURL *easy = curl_easy_init ();
  int rc;

  if (!easy)
    return BD_ERR_NOMEM;
  call->easy = easy;
  rc = add_headers (call);
  if (rc != BD_OK)
    return rc;
  if (curl_easy_setopt (easy, CURLOPT_URL, call->url) != CURLE_OK)
    return BD_ERR_NOMEM;
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, call->headers);
  set_connection (easy, settings);
  set_body (call);
  return BD_OK;
}

/* True when every byte may stand in a header value (and a path, without
   spaces).  */
static bool
is_printable (struct bd_chunk text, bool allow_space)
{
  for (size_t i = 0; i < text.length; i++)
    {
      unsigned char c = (unsigned char)text.data[i];

      if (c < ' ' || c == 127 || (c == ' ' && !allow_space))
        return false;
    }
  return true;
}

static bool
is_method (struct bd_chunk method)
{
  if (method.length == 0 || method.length > METHOD_MAX_BYTES)
    return false;
  for (size_t i = 0; i < method.length; i++)
    if (method.data[i] < 'A' || method.data[i] > 'Z')
      return false;
  return true;
}

bool
bd_call_is_valid (const struct bd_engine_call *call)
{
  if (!is_method (call->method))
    return false;
  if (call->path.length == 0 || call->path.data[0] != '/'
      || !is_printable (call->path, false)
      || memchr (call->path.data, '#', call->path.length))
    return false;
  return call->content_type.length <= HEADER_VALUE_MAX_BYTES
         && call->key.length <= HEADER_VALUE_MAX_BYTES
         && is_printable (call->content_type, true)
         && is_printable (call->key, true);
}

static char *
join_url (const char *base, struct bd_chunk path)
{
  struct bd_buffer url = { 0 };
  struct bd_chunk start = bd_chunk_of (base);

  while (start.length > 0 && start.data[start.length - 1] == '/')
    start.length--;
  if (bd_buffer_append (&url, start) != BD_OK
      || bd_buffer_append (&url, path) != BD_OK)
    bd_buffer_clear (&url);
  return url.data;
}

struct bd_call *
bd_call_create (const struct bd_engine_call *from, const char *url,
                int64_t now_ms)
{
  struct bd_call *call = calloc (1, sizeof *call);

  if (!call)
    return NULL;
  call->request = from->request;
  call->attempt = from->attempt;
  call->tier = from->tier;
  call->fencing = from->fencing;
  call->deadline_ms = now_ms + from->deadline_left_ms;
  call->method = bd_chunk_copy (from->method);
  call->url = join_url (url, from->path);
  call->content_type = bd_chunk_copy (from->content_type);
  call->key = bd_chunk_copy (from->key);
  if (!call->method || !call->url || !call->content_type || !call->key
      || bd_buffer_append (&call->body, from->body) != BD_OK)
    {
      bd_call_destroy (call);
      return NULL;
    }
  return call;
}

void
bd_call_destroy (struct bd_call *call)
{
  if (call->easy)
    curl_easy_cleanup (call->easy);
  curl_slist_free_all (call->headers);
  bd_buffer_clear (&call->body);
  free (call->method);
  free (call->url);
  free (call->content_type);
  free (call->key);
  free (call);
}
