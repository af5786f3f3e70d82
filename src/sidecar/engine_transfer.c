/*
 * No request is ever sent twice.  libcurl repeats a request by itself when a
 * reused connection turns out to be dead, when a 417 answers "Expect:
 * 100-continue", on a redirect, on an authentication round, and on a refused
 * HTTP/2 stream.  Each transfer therefore has a connection of its own that is
 * closed afterwards (a connect on loopback takes some tens of microseconds),
 * Expect is off, redirects and credentials are not set, and HTTP is 1.1.
 * CURLOPT_PREREQFUNCTION runs after the connect and before the first byte: a
 * transfer that failed before it ran was provably not sent.
 */
#include "sidecar/engine_transfer.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define METHOD_MAX_BYTES 16
#define HEADER_VALUE_MAX_BYTES 1024

static int
add_header (struct bd_engine_transfer *transfer, const char *format,
            const char *value)
{
  char line[HEADER_VALUE_MAX_BYTES + 64];
  struct curl_slist *list;

  snprintf (line, sizeof line, format, value);
  list = curl_slist_append (transfer->headers, line);
  if (!list)
    return BD_ERR_NOMEM;
  transfer->headers = list;
  return BD_OK;
}

static int
add_headers (struct bd_engine_transfer *transfer)
{
  char text[BD_ID_HEX_LENGTH + 1];
  int rc = add_header (transfer, "%s:", "Expect");

  bd_id_format (transfer->request, text);
  if (rc == BD_OK)
    rc = add_header (transfer, "X-Request-Id: %s", text);
  if (rc == BD_OK)
    rc = add_header (transfer, "Connection: %s", "close");
  snprintf (text, sizeof text, "%u", transfer->tier);
  if (rc == BD_OK)
    rc = add_header (transfer, "X-Priority: %s", text);
  if (rc == BD_OK && transfer->idempotency_key[0] != '\0')
    rc = add_header (transfer, "Idempotency-Key: %s",
                     transfer->idempotency_key);
  if (rc == BD_OK)
    rc = add_header (transfer,
                     transfer->content_type[0] != '\0' ? "Content-Type: %s"
                                                       : "Content-Type:%s",
                     transfer->content_type);
  snprintf (text, sizeof text, "%" PRIu64, transfer->fencing);
  if (rc == BD_OK && transfer->fencing != 0)
    rc = add_header (transfer, "X-Fencing: %s", text);
  return rc;
}

static void
set_body (struct bd_engine_transfer *transfer)
{
  CURL *easy_handle = transfer->easy_handle;
  bool expects_body = strcmp (transfer->method, "POST") == 0
                      || strcmp (transfer->method, "PUT") == 0
                      || strcmp (transfer->method, "PATCH") == 0;

  if (strcmp (transfer->method, "HEAD") == 0)
    {
      curl_easy_setopt (easy_handle, CURLOPT_NOBODY, 1L);
      return;
    }
  if (transfer->body.length > 0 || expects_body)
    {
      curl_easy_setopt (easy_handle, CURLOPT_POSTFIELDSIZE_LARGE,
                        (curl_off_t)transfer->body.length);
      curl_easy_setopt (easy_handle, CURLOPT_POSTFIELDS,
                        transfer->body.data ? transfer->body.data : "");
    }
  curl_easy_setopt (easy_handle, CURLOPT_CUSTOMREQUEST, transfer->method);
}

static void
set_connection (CURL *easy_handle, const struct bd_engine_settings *settings)
{
  curl_easy_setopt (easy_handle, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt (easy_handle, CURLOPT_FORBID_REUSE, 1L);
  curl_easy_setopt (easy_handle, CURLOPT_HTTP_VERSION,
                    (long)CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (easy_handle, CURLOPT_FOLLOWLOCATION, 0L);
  curl_easy_setopt (easy_handle, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt (easy_handle, CURLOPT_PROXY, "");
  curl_easy_setopt (easy_handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy_handle, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt (easy_handle, CURLOPT_CONNECTTIMEOUT_MS,
                    (long)settings->connect_timeout_ms);
}

int
bd_engine_transfer_prepare (struct bd_engine_transfer *transfer,
                            const struct bd_engine_settings *settings)
{
  CURL *easy_handle = curl_easy_init ();
  int rc;

  if (!easy_handle)
    return BD_ERR_NOMEM;
  transfer->easy_handle = easy_handle;
  rc = add_headers (transfer);
  if (rc != BD_OK)
    return rc;
  if (curl_easy_setopt (easy_handle, CURLOPT_URL, transfer->url) != CURLE_OK)
    return BD_ERR_NOMEM;
  curl_easy_setopt (easy_handle, CURLOPT_HTTPHEADER, transfer->headers);
  set_connection (easy_handle, settings);
  set_body (transfer);
  return BD_OK;
}

/* True when every byte is valid in a header value or, without ALLOW_SPACE,
   in a path. */
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
bd_engine_call_is_valid (const struct bd_engine_call *call)
{
  if (!is_method (call->method))
    return false;
  if (call->path.length == 0 || call->path.data[0] != '/'
      || !is_printable (call->path, false)
      || memchr (call->path.data, '#', call->path.length))
    return false;
  return call->content_type.length <= HEADER_VALUE_MAX_BYTES
         && call->idempotency_key.length <= HEADER_VALUE_MAX_BYTES
         && is_printable (call->content_type, true)
         && is_printable (call->idempotency_key, true);
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

struct bd_engine_transfer *
bd_engine_transfer_create (const struct bd_engine_call *call, const char *url,
                           int64_t now_ms)
{
  struct bd_engine_transfer *transfer = calloc (1, sizeof *transfer);

  if (!transfer)
    return NULL;
  transfer->request = call->request;
  transfer->attempt = call->attempt;
  transfer->tier = call->tier;
  transfer->fencing = call->fencing;
  transfer->deadline_ms = now_ms + call->deadline_left_ms;
  transfer->method = bd_chunk_copy (call->method);
  transfer->url = join_url (url, call->path);
  transfer->content_type = bd_chunk_copy (call->content_type);
  transfer->idempotency_key = bd_chunk_copy (call->idempotency_key);
  if (!transfer->method || !transfer->url || !transfer->content_type
      || !transfer->idempotency_key
      || bd_buffer_append (&transfer->body, call->body) != BD_OK)
    {
      bd_engine_transfer_destroy (transfer);
      return NULL;
    }
  return transfer;
}

void
bd_engine_transfer_destroy (struct bd_engine_transfer *transfer)
{
  if (transfer->easy_handle)
    curl_easy_cleanup (transfer->easy_handle);
  curl_slist_free_all (transfer->headers);
  bd_buffer_clear (&transfer->body);
  free (transfer->method);
  free (transfer->url);
  free (transfer->content_type);
  free (transfer->idempotency_key);
  free (transfer);
}
