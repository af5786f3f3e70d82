#include "ctl/ctl.h"

#include <curl/curl.h>
#include <stdio.h>
#include <string.h>

#define CONNECT_TIMEOUT_MS 2000L
#define REQUEST_TIMEOUT_MS 10000L
#define STATUS_OK 200
#define STATUS_NOT_FOUND 404
#define RESPONSE_MAX_BYTES ((size_t)64 << 20)

enum bd_ctl_exit
bd_ctl_worst_exit (enum bd_ctl_exit a, enum bd_ctl_exit b)
{
  return a > b ? a : b;
}

static size_t
append_body (char *data, size_t size, size_t count, void *context)
{
  struct bd_buffer *body = context;
  size_t length = size * count;

  if (body->length + length > RESPONSE_MAX_BYTES
      || bd_buffer_append (body, (struct bd_chunk){ data, length }) != BD_OK)
    return 0;
  return length;
}

static enum bd_ctl_exit
report_error (const char *address, const char *path, const char *reason,
              enum bd_ctl_exit code)
{
  fprintf (stderr, "basildockctl: %s%s: %s\n", address, path, reason);
  return code;
}

static CURLcode
http_get (const char *address, const char *path, struct bd_buffer *body,
          long *status)
{
  CURL *curl = curl_easy_init ();
  struct bd_buffer url = { 0 };
  CURLcode code = CURLE_OUT_OF_MEMORY;

  if (curl && bd_buffer_printf (&url, "http://%s%s", address, path) == BD_OK)
    {
      curl_easy_setopt (curl, CURLOPT_URL, url.data);
      curl_easy_setopt (curl, CURLOPT_PROXY, "");
      curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
      curl_easy_setopt (curl, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
      curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, REQUEST_TIMEOUT_MS);
      curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, append_body);
      curl_easy_setopt (curl, CURLOPT_WRITEDATA, body);
      code = curl_easy_perform (curl);
      curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, status);
    }
  bd_buffer_clear (&url);
  curl_easy_cleanup (curl);
  return code;
}

enum bd_ctl_exit
bd_ctl_fetch (const char *address, const char *path, bool optional,
              json_t **root)
{
  struct bd_buffer body = { 0 };
  enum bd_ctl_exit rc = BD_CTL_OK;
  char reason[64];
  long status = 0;
  CURLcode code = http_get (address, path, &body, &status);

  *root = NULL;
  if (code != CURLE_OK)
    rc = report_error (address, path, curl_easy_strerror (code),
                       BD_CTL_UNREACHABLE);
  else if (optional && status == STATUS_NOT_FOUND)
    rc = BD_CTL_OK;
  else if (status != STATUS_OK)
    {
      snprintf (reason, sizeof reason, "answered with status %ld", status);
      rc = report_error (address, path, reason, BD_CTL_FAILED);
    }
  else
    {
      *root = json_loadb (body.data ? body.data : "", body.length, 0, NULL);
      if (!*root)
        rc = report_error (address, path, "the answer is not JSON",
                           BD_CTL_FAILED);
    }
  bd_buffer_clear (&body);
  return rc;
}
