#include "common/admin.h"
#include "common/log.h"
#include "support_capture.h"
#include "support_port.h"

#include <curl/curl.h>
#include <glib.h>
#include <stdatomic.h>
#include <string.h>

#define ID_A "0123456789abcdef0123456789abcdef"
#define ID_B "0123456789abcdef0123456789abcdee"

static char address[SUPPORT_ADDRESS_BYTES];
static atomic_bool ready;

static bool
is_ready (struct bd_admin_source *source)
{
  (void)source;
  return ready;
}

static int
write_status (struct bd_admin_source *source, struct bd_buffer *json)
{
  (void)source;
  return bd_buffer_printf (json, "{\"role\":\"entry\"}");
}

static int
write_runners (struct bd_admin_source *source, struct bd_buffer *json)
{
  (void)source;
  return bd_buffer_printf (json, "{\"runners\":[]}");
}

static int
fail_contracts (struct bd_admin_source *source, struct bd_buffer *json)
{
  (void)source;
  (void)json;
  return BD_ERR_NOT_READY;
}

static size_t
append_body (char *data, size_t size, size_t count, void *context)
{
  bd_buffer_append (context, (struct bd_chunk){ data, size * count });
  return size * count;
}

/* Sends a request and returns the status; BODY gets the header fields and the
   body. */
static long
request (const char *method, const char *path, struct bd_buffer *body)
{
  CURL *curl = curl_easy_init ();
  char *url = g_strconcat ("http://", address, path, NULL);
  long status = 0;

  bd_buffer_reset (body);
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, method);
  curl_easy_setopt (curl, CURLOPT_HEADER, 1L);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, append_body);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, body);
  g_assert_cmpint (curl_easy_perform (curl), ==, CURLE_OK);
  curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_cleanup (curl);
  g_free (url);
  return status;
}

static const struct
{
  const char *method;
  const char *path;
  long status;
  const char *shown;
  const char *hidden;
} cases[] = {
  { "GET", "/healthz", 200, "ok", NULL },
  { "GET", "/readyz", 503, "not ready", NULL },
  { "GET", "/metrics", 200, "basildock_requests_total 3\n", NULL },
  { "GET", "/metrics.json", 200, "\"requests\":3", NULL },
  { "GET", "/status", 200, "{\"role\":\"entry\"}", NULL },
  { "GET", "/runners", 200, "{\"runners\":[]}", NULL },
  { "GET", "/contracts", 503, "not_ready", NULL },
  { "GET", "/events", 200, "request=" ID_B, NULL },
  { "GET", "/events", 200, "cut=?(", NULL },
  { "GET", "/trace?request=" ID_A, 200, "tokens=1", "tokens=2" },
  { "GET", "/trace?request=" ID_A, 200, "\"lines\"", "tokens=3" },
  { "GET", "/trace?request=" ID_A, 200, "\"lines\"", "tokens=4" },
  { "GET", "/trace?request=ffffffffffffffffffffffffffffffff", 200,
    "{\"lines\":[]}", NULL },
  { "GET", "/trace?request=zz", 400, "invalid_request", NULL },
  { "GET", "/trace?request=" ID_A "0", 400, "invalid_request", NULL },
  { "GET", "/trace", 400, "invalid_request", NULL },
  { "GET", "/", 404, "not_found", NULL },
  { "GET", "/status/../../etc/passwd", 404, "not_found", NULL },
  { "POST", "/status", 405, "Allow: GET", NULL },
  { "DELETE", "/contracts", 405, "Allow: GET", NULL },
};

static void
test_paths (void)
{
  struct bd_admin_source source
      = { is_ready, write_status, write_runners, fail_contracts };
  struct bd_metrics *metrics = bd_metrics_create ();
  struct bd_buffer body = { 0 };
  struct capture capture;
  struct bd_admin *admin;
  int error;

  support_free_address (address);
  bd_metrics_count (metrics, BD_COUNTER_REQUESTS, 3);
  capture_begin (&capture, 2);
  bd_log (BD_EVENT_REQUEST_DONE, "request=%s tokens=1", ID_A);
  bd_log (BD_EVENT_REQUEST_DONE, "request=%s tokens=2", ID_B);
  bd_log (BD_EVENT_REQUEST_DONE, "request=%s0 tokens=3", ID_A);
  bd_log (BD_EVENT_REQUEST_DONE, "xrequest=%s tokens=4", ID_A);
  bd_log (BD_EVENT_REQUEST_DONE, "cut=\xc3\x28");
  g_free (capture_end (&capture));
  admin = bd_admin_create (address, metrics, &source, &error);
  g_assert_nonnull (admin);
  g_assert_null (bd_admin_create (address, metrics, &source, &error));
  g_assert_cmpint (error, ==, BD_ERR_IO);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_test_message ("%s %s", cases[i].method, cases[i].path);
      g_assert_cmpint (request (cases[i].method, cases[i].path, &body), ==,
                       cases[i].status);
      g_assert_nonnull (strstr (body.data, cases[i].shown));
      g_assert_true (!cases[i].hidden || !strstr (body.data, cases[i].hidden));
    }
  ready = true;
  g_assert_cmpint (request ("GET", "/readyz", &body), ==, 200);
  bd_buffer_clear (&body);
  bd_admin_destroy (admin);
  bd_metrics_destroy (metrics);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/admin/paths", test_paths);
  return g_test_run ();
}
