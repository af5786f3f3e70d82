#include "support_platform.h"

#include "http/server.h"
#include "http/socket.h"

#include <glib.h>
#include <string.h>

static struct platform
{
  uv_loop_t loop;
  char store[SUPPORT_ADDRESS_BYTES];
  char runner[SUPPORT_ADDRESS_BYTES];
  char *items; /* The store's items, as a JSON array. */
} platform;

static char *
format_item (const char *key, const char *value, int revision)
{
  char *text = g_base64_encode ((const guchar *)value, strlen (value));
  char *item
      = g_strdup_printf ("{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%d}",
                         key, text, revision);

  g_free (text);
  return item;
}

static void
format_items (const char *limits)
{
  char *configuration = g_strdup_printf (
      "{\"version\":1,\"routes\":[{\"name\":\"all\",\"host\":\"h\","
      "\"prefix\":\"/\",\"type\":\"non_idempotent\",\"service\":\"s\","
      "\"public\":true,\"timeoutMs\":600000}],"
      "\"services\":[{\"name\":\"s\",\"maxConns\":10000}],\"tenants\":[],"
      "\"limits\":%s}",
      limits);
  char *runner = g_strdup_printf (
      "{\"service\":\"s\",\"address\":\"%s\",\"zone\":\"z\",\"slots\":10000,"
      "\"version\":\"1\",\"state\":\"ready\",\"born\":1}",
      platform.runner);
  char *first = format_item ("op/config", configuration, 1);
  char *second = format_item ("servers/r", runner, 2);

  platform.items = g_strdup_printf ("[%s,%s]", first, second);
  g_free (configuration);
  g_free (runner);
  g_free (first);
  g_free (second);
}

static void
ignore_abort (void *context, struct bd_exchange *exchange)
{
  (void)context;
  (void)exchange;
}

/* Answers a watch at once, without events. */
static void
on_store_request (void *context, struct bd_exchange *exchange)
{
  struct bd_chunk target = bd_exchange_head (exchange)->target;
  bool range = memmem (target.data, target.length, "kv-range", 8) != NULL;
  char *text = g_strdup_printf (
      "{\"%s\":%s,\"hasMore\":false,\"storeRevision\":2}",
      range ? "items" : "events", range ? platform.items : "[]");

  (void)context;
  bd_exchange_reply (exchange, 200, BD_CHUNK (""), bd_chunk_of (text));
  g_free (text);
}

static void
on_runner_request (void *context, struct bd_exchange *exchange)
{
  const struct bd_head *head = bd_exchange_head (exchange);
  struct bd_chunk id
      = bd_head_value (head, BD_CHUNK ("X-Basildock-Attempt-Id"));
  char *fields;

  (void)context;
  if (bd_chunk_equal (head->target, BD_CHUNK (SUPPORT_PLATFORM_SILENT_PATH)))
    return;
  fields = g_strdup_printf ("X-Basildock-Attempt-Id: %.*s\r\n"
                            "X-Basildock-Response-Signature: s\r\n",
                            (int)id.length, id.data ? id.data : "");
  bd_exchange_reply (exchange, 200, bd_chunk_of (fields), BD_CHUNK ("ok"));
  g_free (fields);
}

static const struct bd_server_handler store_handler
    = { .on_request = on_store_request, .on_abort = ignore_abort };
static const struct bd_server_handler runner_handler
    = { .on_request = on_runner_request, .on_abort = ignore_abort };

static void
listen_at (char text[SUPPORT_ADDRESS_BYTES],
           const struct bd_server_handler *handler)
{
  struct sockaddr_in address;
  struct bd_server *server;

  support_free_address (text);
  g_assert_cmpint (bd_address_parse (bd_chunk_of (text), &address), ==, BD_OK);
  g_assert_cmpint (
      bd_server_create (&platform.loop, &address, handler, NULL, &server), ==,
      BD_OK);
}

static gpointer
run_platform (gpointer data)
{
  (void)data;
  uv_run (&platform.loop, UV_RUN_DEFAULT);
  return NULL;
}

void
support_platform_start (const char *limits)
{
  uv_loop_init (&platform.loop);
  listen_at (platform.store, &store_handler);
  listen_at (platform.runner, &runner_handler);
  format_items (limits);
  g_thread_unref (g_thread_new ("platform", run_platform, NULL));
}

const char *
support_platform_store (void)
{
  return platform.store;
}
