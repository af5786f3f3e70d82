/* The client of the platform's store, against a scripted store. */
#include "store.h"

#include "common/clock.h"
#include "http/socket.h"
#include "headers.h"
#include "support_port.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>

#define TEST_TIMEOUT_MS 15000
#define CALLS_MAX 32
/* A call without an answer is replaced within this time. */
#define SILENCE_MAX_MS 3000
/* An outage in which entries may expire. */
#define OUTAGE_MS 1500

/* A store that answers each call with its next scripted response.  A call
   without one stays pending until a response is added. */
struct fixture
{
  struct bd_gateway *gateway;
  struct bd_cutline_store *store;
  struct bd_server *server;
  struct bd_exchange *pending;
  GPtrArray *calls;  /* Request targets, in order of arrival. */
  GQueue *responses; /* "STATUS BODY" */
  char fields[64];   /* Header fields of the responses. */
  uv_timer_t timeout;
  bool timed_out;
};

static void
send_response (struct fixture *fixture)
{
  char *next;

  if (!fixture->pending || g_queue_is_empty (fixture->responses))
    return;
  next = g_queue_pop_head (fixture->responses);
  {
    struct bd_exchange *exchange = fixture->pending;

    fixture->pending = NULL;
    bd_exchange_reply (exchange, (int)strtol (next, NULL, 10),
                       bd_chunk_of (fixture->fields), bd_chunk_of (next + 4));
  }
  g_free (next);
}

static void
on_request (void *context, struct bd_exchange *exchange)
{
  struct fixture *fixture = context;
  struct bd_chunk target = bd_exchange_head (exchange)->target;

  g_ptr_array_add (fixture->calls, g_strndup (target.data, target.length));
  fixture->pending = exchange;
  send_response (fixture);
}

static void
on_abort (void *context, struct bd_exchange *exchange)
{
  struct fixture *fixture = context;

  if (fixture->pending == exchange)
    fixture->pending = NULL;
}

static const struct bd_server_handler server_handler
    = { .on_request = on_request, .on_abort = on_abort };

static void
on_tick (void *context, int64_t now_ms)
{
  struct fixture *fixture = context;

  if (fixture->store)
    bd_cutline_store_tick (fixture->store, now_ms);
}

static void
on_document (void *context, struct bd_chunk document, uint64_t revision)
{
  (void)context;
  (void)document;
  (void)revision;
}

static void
ignore_callback (void *context)
{
  (void)context;
}

static const struct bd_gateway_handler gateway_handler
    = { .on_tick = on_tick,
        .on_peer_configuration = on_document,
        .on_resume = ignore_callback,
        .on_reload = ignore_callback };

static struct sockaddr_in
free_address (void)
{
  char text[SUPPORT_ADDRESS_BYTES];
  struct sockaddr_in address;

  support_free_address (text);
  bd_address_parse (bd_chunk_of (text), &address);
  return address;
}

static void
on_timeout (uv_timer_t *timer)
{
  ((struct fixture *)timer->data)->timed_out = true;
}

static void
open_fixture (struct fixture *fixture)
{
  struct bd_gateway_options options
      = { .dialect = &bd_cutline_dialect,
          .instance = BD_CHUNK ("e"),
          .zone = BD_CHUNK ("z"),
          .caller_address = free_address (),
          .readiness_address = free_address (),
          .internal_address = free_address (),
          .readiness_path = BD_CHUNK ("/ready"),
          .grace_ms = 8000,
          .retry = { .ratio = 0.2, .slack = 10, .window_ms = 10000 } };
  struct sockaddr_in address = free_address ();

  memset (fixture, 0, sizeof *fixture);
  fixture->calls = g_ptr_array_new_with_free_func (g_free);
  fixture->responses = g_queue_new ();
  g_assert_cmpint (bd_gateway_create (&options, &gateway_handler, fixture,
                                      &fixture->gateway),
                   ==, BD_OK);
  g_assert_cmpint (bd_server_create (bd_gateway_loop (fixture->gateway),
                                     &address, &server_handler, fixture,
                                     &fixture->server),
                   ==, BD_OK);
  fixture->store
      = bd_cutline_store_create (fixture->gateway, &address, SILENCE_MAX_MS);
  uv_timer_init (bd_gateway_loop (fixture->gateway), &fixture->timeout);
  fixture->timeout.data = fixture;
  uv_timer_start (&fixture->timeout, on_timeout, TEST_TIMEOUT_MS, 0);
}

static void
add_response (struct fixture *fixture, const char *text)
{
  g_queue_push_tail (fixture->responses, g_strdup (text));
  send_response (fixture);
}

/* Sets the value of Store-Era in the next responses; NULL: no such field. */
static void
set_era (struct fixture *fixture, const char *value)
{
  fixture->fields[0] = '\0';
  if (value)
    g_snprintf (fixture->fields, sizeof fixture->fields, "Store-Era: %s\r\n",
                value);
}

/* Runs the event loop until the store has received CALLS calls. */
static void
await_calls (struct fixture *fixture, guint calls)
{
  while (fixture->calls->len < calls)
    {
      g_assert_false (fixture->timed_out);
      uv_run (bd_gateway_loop (fixture->gateway), UV_RUN_ONCE);
    }
}

static bool
is_usable (struct fixture *fixture, const char *id)
{
  struct bd_target *target = bd_targets_find (
      bd_gateway_targets (fixture->gateway), bd_chunk_of (id));

  return target && bd_target_usable (target);
}

/* Returns a new JSON item with VALUE, as the store's pages have it. */
static char *
format_item (const char *key, int revision, const char *value)
{
  char *text = g_base64_encode ((const guchar *)value, strlen (value));
  char *all = g_strdup_printf ("{\"key\":\"%s\",\"value\":\"%s\","
                               "\"revision\":%d,\"created\":1,\"lease\":0}",
                               key, text, revision);

  g_free (text);
  return all;
}

static char *
runner_item (const char *id, int revision, const char *state)
{
  char *key = g_strdup_printf ("servers/%s", id);
  char *value = g_strdup_printf (
      "{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\","
      "\"slots\":4,\"state\":\"%s\",\"version\":\"v1\",\"sequence\":%d}",
      state, revision);
  char *text = format_item (key, revision, value);

  g_free (key);
  g_free (value);
  return text;
}

static char *
configuration_item (int version, int revision)
{
  char *value = g_strdup_printf ("{\"version\":%d,\"routes\":[]}", version);
  char *text = format_item ("op/config", revision, value);

  g_free (value);
  return text;
}

/* Adds a response that lists FIRST_ITEM and SECOND_ITEM (may be NULL) in the
   member MEMBER_NAME, "items" for a page or "events" for a watch; frees the
   items. */
static void
add_item_response (struct fixture *fixture, const char *member_name,
                   const char *more_member, int revision, char *first_item,
                   char *second_item)
{
  char *text = g_strdup_printf (
      "200 {\"%s\":[%s%s%s],%s\"storeRevision\":%d}", member_name,
      first_item ? first_item : "", second_item ? "," : "",
      second_item ? second_item : "", more_member, revision);

  add_response (fixture, text);
  g_free (text);
  g_free (first_item);
  g_free (second_item);
}

/* Returns the value of the metric basildock_NAME. */
static int64_t
metric (struct fixture *fixture, const char *name)
{
  char *line = g_strdup_printf ("\nbasildock_%s ", name);
  struct bd_buffer text = { 0 };
  const char *at;
  int64_t value;

  bd_stats_write (bd_gateway_stats (fixture->gateway), &text);
  at = strstr (text.data, line);
  g_assert_nonnull (at);
  value = g_ascii_strtoll (at + strlen (line), NULL, 10);
  bd_buffer_clear (&text);
  g_free (line);
  return value;
}

static int64_t
routing_version (struct fixture *fixture)
{
  return metric (fixture, "routing_version");
}

/* Opens the fixture and lists two pages; the watch then starts at the first
   page's revision. */
static void
start_watch (struct fixture *fixture)
{
  open_fixture (fixture);
  add_item_response (fixture, "items", "\"hasMore\":true,", 20,
                     configuration_item (3, 11),
                     runner_item ("a", 12, "ready"));
  add_item_response (fixture, "items", "\"hasMore\":false,", 25,
                     runner_item ("b", 13, "ready"), NULL);
  await_calls (fixture, 3);
}

static void
test_list_and_watch (void)
{
  struct fixture fixture;

  start_watch (&fixture);
  g_assert_true (is_usable (&fixture, "a"));
  g_assert_true (is_usable (&fixture, "b"));
  g_assert_cmpint (routing_version (&fixture), ==, 3);
  g_assert_nonnull (strstr (fixture.calls->pdata[1], "after=servers/a"));
  g_assert_nonnull (strstr (fixture.calls->pdata[2], "after=20"));
  add_item_response (&fixture, "events", "", 30,
                     runner_item ("a", 28, "draining"),
                     g_strdup ("{\"key\":\"servers/b\",\"revision\":29,"
                               "\"deleted\":true}"));
  await_calls (&fixture, 4);
  g_assert_false (is_usable (&fixture, "a"));
  g_assert_false (is_usable (&fixture, "b"));
  g_assert_nonnull (strstr (fixture.calls->pdata[3], "after=30"));
}

/* A configuration older than the active one is ignored, even if the store
   sends it as a new event. */
static void
test_no_version_rollback (void)
{
  struct fixture fixture;

  start_watch (&fixture);
  add_item_response (&fixture, "events", "", 31, configuration_item (9, 31),
                     NULL);
  await_calls (&fixture, 4);
  g_assert_cmpint (routing_version (&fixture), ==, 9);
  add_item_response (&fixture, "events", "", 32, configuration_item (3, 11),
                     NULL);
  await_calls (&fixture, 5);
  g_assert_cmpint (routing_version (&fixture), ==, 9);
}

/* The store comes back from an older copy: its revisions start lower again,
   and the configuration in force is missing.  That one stays in force; the one
   that the operator writes next is taken, though its revision is lower. */
static void
test_older_copy_configuration (void)
{
  struct fixture fixture;

  start_watch (&fixture);
  add_item_response (&fixture, "events", "", 31, configuration_item (9, 31),
                     NULL);
  await_calls (&fixture, 4);
  g_assert_cmpint (routing_version (&fixture), ==, 9);
  add_response (&fixture, "410 {}");
  add_item_response (&fixture, "items", "\"hasMore\":false,", 22,
                     configuration_item (3, 11),
                     runner_item ("a", 12, "ready"));
  await_calls (&fixture, 6);
  g_assert_cmpint (routing_version (&fixture), ==, 9);
  add_item_response (&fixture, "events", "", 23, configuration_item (7, 23),
                     NULL);
  await_calls (&fixture, 7);
  g_assert_cmpint (routing_version (&fixture), ==, 9);
  add_item_response (&fixture, "events", "", 24, configuration_item (12, 24),
                     NULL);
  await_calls (&fixture, 8);
  g_assert_cmpint (routing_version (&fixture), ==, 12);
}

/* Opens the fixture with a store of era 1 that has runners a to d, of which a
   then drains and b leaves, and which then comes back in era 2 from an older
   copy, with all four ready.  The watch from before shows the new era. */
static void
return_from_copy (struct fixture *fixture)
{
  open_fixture (fixture);
  set_era (fixture, "1");
  add_item_response (fixture, "items", "\"hasMore\":true,", 20,
                     runner_item ("a", 12, "ready"),
                     runner_item ("b", 13, "ready"));
  add_item_response (fixture, "items", "\"hasMore\":false,", 20,
                     runner_item ("c", 14, "ready"),
                     runner_item ("d", 15, "ready"));
  await_calls (fixture, 3);
  add_item_response (fixture, "events", "", 40,
                     runner_item ("a", 38, "draining"),
                     g_strdup ("{\"key\":\"servers/b\",\"revision\":39,"
                               "\"deleted\":true}"));
  await_calls (fixture, 4);
  set_era (fixture, "2");
  add_item_response (fixture, "events", "", 41, NULL, NULL);
  await_calls (fixture, 5);
  g_assert_nonnull (strstr (fixture->calls->pdata[4], "range"));
  add_item_response (fixture, "items", "\"hasMore\":true,", 22,
                     runner_item ("a", 12, "ready"),
                     runner_item ("b", 13, "ready"));
  add_item_response (fixture, "items", "\"hasMore\":false,", 22,
                     runner_item ("c", 14, "ready"),
                     runner_item ("d", 15, "ready"));
  await_calls (fixture, 7);
}

/* Runners that left in the former era stay unused, and what is written in the
   new era counts, though its revisions are lower. */
static void
test_older_copy_runners (void)
{
  struct fixture fixture;

  return_from_copy (&fixture);
  g_assert_cmpint (metric (&fixture, "store_era"), ==, 2);
  g_assert_nonnull (strstr (fixture.calls->pdata[6], "after=22"));
  g_assert_false (is_usable (&fixture, "a"));
  g_assert_false (is_usable (&fixture, "b"));
  g_assert_true (is_usable (&fixture, "c"));
  g_assert_true (is_usable (&fixture, "d"));
  add_item_response (&fixture, "events", "", 24,
                     runner_item ("c", 23, "draining"),
                     runner_item ("b", 24, "ready"));
  await_calls (&fixture, 8);
  g_assert_false (is_usable (&fixture, "a"));
  g_assert_true (is_usable (&fixture, "b"));
  g_assert_false (is_usable (&fixture, "c"));
}

/* A response whose era is missing, falls or is no number changes nothing, and
   the same call is made again. */
static void
test_faulty_era (void)
{
  static const char *const eras[]
      = { NULL, "1", "-3", "x", "", "2.5", "99999999999999999999" };
  struct fixture fixture;

  return_from_copy (&fixture);
  for (guint i = 0; i < G_N_ELEMENTS (eras); i++)
    {
      set_era (&fixture, eras[i]);
      add_item_response (&fixture, "events", "", 30 + (int)i,
                         runner_item ("c", 30, "draining"),
                         runner_item ("d", 30, "draining"));
      await_calls (&fixture, 8 + i);
      g_assert_true (is_usable (&fixture, "c"));
      g_assert_true (is_usable (&fixture, "d"));
      g_assert_nonnull (strstr (fixture.calls->pdata[7 + i], "after=22"));
    }
}

/* The era rises again between two pages of the list: it is read from the
   start, and what is known stays in use. */
static void
test_era_between_pages (void)
{
  struct fixture fixture;

  return_from_copy (&fixture);
  add_response (&fixture, "410 {}");
  await_calls (&fixture, 8);
  add_item_response (&fixture, "items", "\"hasMore\":true,", 23,
                     runner_item ("c", 14, "ready"), NULL);
  await_calls (&fixture, 9);
  set_era (&fixture, "3");
  add_item_response (&fixture, "items", "\"hasMore\":false,", 18, NULL, NULL);
  await_calls (&fixture, 10);
  g_assert_null (strstr (fixture.calls->pdata[9], "after="));
  g_assert_true (is_usable (&fixture, "d"));
  add_item_response (&fixture, "items", "\"hasMore\":false,", 18,
                     runner_item ("c", 14, "ready"), NULL);
  await_calls (&fixture, 11);
  g_assert_true (is_usable (&fixture, "c"));
  g_assert_true (is_usable (&fixture, "d")); /* It may write again. */
  g_assert_false (is_usable (&fixture, "a"));
}

/* Runners of an evacuated zone get no requests, also those that register
   later, until the evacuation is taken back or a complete list lacks it. */
static void
test_evacuation (void)
{
  struct fixture fixture;

  start_watch (&fixture);
  add_item_response (&fixture, "events", "", 40,
                     format_item ("op/evacuate/z", 39, "{}"),
                     runner_item ("c", 40, "ready"));
  await_calls (&fixture, 4);
  g_assert_false (is_usable (&fixture, "a"));
  g_assert_false (is_usable (&fixture, "c"));
  add_item_response (&fixture, "events", "", 41,
                     g_strdup ("{\"key\":\"op/evacuate/z\",\"revision\":41,"
                               "\"deleted\":true}"),
                     NULL);
  await_calls (&fixture, 5);
  g_assert_true (is_usable (&fixture, "a"));
  g_assert_true (is_usable (&fixture, "c"));
  add_item_response (&fixture, "events", "", 42,
                     format_item ("op/evacuate/z", 42, "{}"), NULL);
  await_calls (&fixture, 6);
  g_assert_false (is_usable (&fixture, "a"));
  add_response (&fixture, "410 {}");
  await_calls (&fixture, 7);
  add_item_response (&fixture, "items", "\"hasMore\":false,", 50,
                     runner_item ("a", 12, "ready"), NULL);
  await_calls (&fixture, 8);
  bd_targets_tick (bd_gateway_targets (fixture.gateway), bd_clock_boot_ms ());
  g_assert_true (is_usable (&fixture, "a"));
}

/* A malformed entry makes its own runner unusable; the other runners stay. */
static void
test_malformed_entries (void)
{
  struct fixture fixture;

  start_watch (&fixture);
  add_item_response (&fixture, "events", "", 40,
                     format_item ("servers/a", 33, "\377\001"),
                     runner_item ("c", 34, "ready"));
  await_calls (&fixture, 4);
  g_assert_false (is_usable (&fixture, "a"));
  g_assert_true (is_usable (&fixture, "c"));
  add_item_response (&fixture, "events", "", 41,
                     g_strdup ("{\"key\":\"servers/c\",\"revision\":41,"
                               "\"value\":\"***\"}"),
                     NULL);
  await_calls (&fixture, 5);
  g_assert_false (is_usable (&fixture, "c"));
  g_assert_cmpint (metric (&fixture, "entries_refused_total"), ==, 2);
}

/* Status 410: the store has discarded the events since the last watch.  All
   keys are listed again; runners that are not listed become unusable. */
static void
test_history_gone (void)
{
  struct fixture fixture;

  start_watch (&fixture);
  add_response (&fixture, "410 {}");
  await_calls (&fixture, 4);
  g_assert_nonnull (strstr (fixture.calls->pdata[3], "range"));
  add_item_response (&fixture, "items", "\"hasMore\":false,", 60,
                     runner_item ("b", 13, "ready"), NULL);
  await_calls (&fixture, 5);
  g_assert_false (is_usable (&fixture, "a"));
  g_assert_true (is_usable (&fixture, "b"));
}

/* Lists again, up to a first page in RESPONSE, which must not be taken for the
   end of the list: all runners stay, and the call NEXT_CALL follows. */
static void
check_incomplete_list (const char *response, const char *next_call)
{
  struct fixture fixture;

  start_watch (&fixture);
  add_response (&fixture, "410 {}");
  await_calls (&fixture, 4);
  add_response (&fixture, response);
  await_calls (&fixture, 5);
  g_assert_true (is_usable (&fixture, "a"));
  g_assert_true (is_usable (&fixture, "b"));
  g_assert_cmpstr (fixture.calls->pdata[4], ==, next_call);
}

/* A page without items is not an empty list. */
static void
test_list_without_items (void)
{
  check_incomplete_list ("200 {\"hasMore\":false,\"storeRevision\":60}",
                         "/v1/kv-range?prefix=");
}

/* A page that says that more follow, but has no last key to go on from. */
static void
test_list_without_last_key (void)
{
  check_incomplete_list (
      "200 {\"items\":[],\"hasMore\":true,\"storeRevision\":60}",
      "/v1/kv-range?prefix=");
}

/* Any key of other writers may be the last one of a page. */
static void
test_last_key_is_escaped (void)
{
  check_incomplete_list (
      "200 {\"items\":[{\"key\":\"notes/a b&prefix=\\u00e9?%1\",\"value\":"
      "\"\",\"revision\":5}],\"hasMore\":true,\"storeRevision\":60}",
      "/v1/kv-range?prefix=&after=notes/a%20b%26prefix%3D%C3%A9%3F%251");
}

/* A watch without events tells nothing: the same one follows. */
static void
test_watch_without_events (void)
{
  struct fixture fixture;

  start_watch (&fixture);
  add_response (&fixture, "200 {\"storeRevision\":60}");
  await_calls (&fixture, 4);
  g_assert_nonnull (strstr (fixture.calls->pdata[3], "after=20"));
}

/* More has changed than a response may hold: everything is listed again. */
static void
test_watch_too_large (void)
{
  struct fixture fixture;
  char *text = g_strdup_printf ("200 %*s", 9 * 1024 * 1024, "");

  start_watch (&fixture);
  add_response (&fixture, text);
  g_free (text);
  await_calls (&fixture, 4);
  g_assert_cmpstr (fixture.calls->pdata[3], ==, "/v1/kv-range?prefix=");
  g_assert_true (is_usable (&fixture, "a"));
}

/* Runners and configuration stay during a store outage.  A runner whose entry
   expired in the outage stays usable, since it may register again. */
static void
test_outage (void)
{
  struct fixture fixture;

  start_watch (&fixture);
  add_response (&fixture, "503 {}");
  add_response (&fixture, "200 not json");
  add_item_response (&fixture, "events", "", 70,
                     g_strdup ("{\"key\":\"servers/a\",\"revision\":50,"
                               "\"deleted\":true}"),
                     NULL);
  await_calls (&fixture, 6);
  g_assert_true (is_usable (&fixture, "a"));
  add_item_response (&fixture, "events", "", 71,
                     runner_item ("a", 71, "ready"), NULL);
  await_calls (&fixture, 7);
  g_assert_true (is_usable (&fixture, "a"));
  g_assert_cmpint (routing_version (&fixture), ==, 3);
}

/* Closes the connection of the call that the store holds. */
static void
cut_call (struct fixture *fixture)
{
  struct bd_exchange *exchange = fixture->pending;

  fixture->pending = NULL;
  bd_exchange_abort (exchange);
}

/* Guards against a runner that leaves and gets requests until it exits: a
   watch that was cut counted as an outage of the store, so the removal of the
   entry counted as one that had expired by it, anew with each further cut. */
static void
test_cut_watches (void)
{
  struct fixture fixture;

  start_watch (&fixture);
  cut_call (&fixture);
  await_calls (&fixture, 4);
  add_item_response (&fixture, "events", "", 70,
                     g_strdup ("{\"key\":\"servers/a\",\"revision\":50,"
                               "\"deleted\":true}"),
                     NULL);
  await_calls (&fixture, 5);
  g_assert_false (is_usable (&fixture, "a"));
  g_assert_true (is_usable (&fixture, "b"));
}

/* A store that is away for a while, and the entries of all runners gone as it
   returns: they are used on until they are back. */
static void
test_long_outage (void)
{
  struct fixture fixture;
  guint calls = 3;
  int64_t started_ms = bd_clock_boot_ms ();

  start_watch (&fixture);
  while (bd_clock_boot_ms () - started_ms < OUTAGE_MS)
    {
      cut_call (&fixture);
      await_calls (&fixture, ++calls);
    }
  g_assert_true (is_usable (&fixture, "a"));
  add_item_response (&fixture, "events", "", 70,
                     g_strdup ("{\"key\":\"servers/a\",\"revision\":50,"
                               "\"deleted\":true}"),
                     NULL);
  await_calls (&fixture, ++calls);
  g_assert_true (is_usable (&fixture, "a"));
  add_item_response (&fixture, "events", "", 71,
                     runner_item ("a", 71, "ready"), NULL);
  await_calls (&fixture, ++calls);
  g_assert_true (is_usable (&fixture, "a"));
}

/* Waits for the next call, which must come within SILENCE_MAX_MS. */
static void
check_call_in_time (struct fixture *fixture, guint calls)
{
  int64_t started_ms = bd_clock_boot_ms ();
  int64_t elapsed_ms;

  await_calls (fixture, calls);
  elapsed_ms = bd_clock_boot_ms () - started_ms;
  if (elapsed_ms <= SILENCE_MAX_MS)
    return;
  g_test_message ("call %u came after %" PRId64 " ms", calls, elapsed_ms);
  g_test_fail ();
}

/* Guards against changes that are read too late because a call that the store
   will never answer is waited for: a watch under which the store falls silent,
   then a call that is sent while it is silent. */
static void
test_silent_store (void)
{
  struct fixture fixture;

  start_watch (&fixture);
  check_call_in_time (&fixture, 4);
  check_call_in_time (&fixture, 5);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/store/list-and-watch", test_list_and_watch);
  g_test_add_func ("/store/no-version-rollback", test_no_version_rollback);
  g_test_add_func ("/store/malformed-entries", test_malformed_entries);
  g_test_add_func ("/store/history-gone", test_history_gone);
  g_test_add_func ("/store/outage", test_outage);
  g_test_add_func ("/store/cut-watches", test_cut_watches);
  g_test_add_func ("/store/long-outage", test_long_outage);
  g_test_add_func ("/store/list-without-items", test_list_without_items);
  g_test_add_func ("/store/list-without-last-key", test_list_without_last_key);
  g_test_add_func ("/store/last-key-is-escaped", test_last_key_is_escaped);
  g_test_add_func ("/store/watch-without-events", test_watch_without_events);
  g_test_add_func ("/store/watch-too-large", test_watch_too_large);
  g_test_add_func ("/store/older-copy-configuration",
                   test_older_copy_configuration);
  g_test_add_func ("/store/evacuation", test_evacuation);
  g_test_add_func ("/store/older-copy-runners", test_older_copy_runners);
  g_test_add_func ("/store/faulty-era", test_faulty_era);
  g_test_add_func ("/store/era-between-pages", test_era_between_pages);
  g_test_add_func ("/store/silent-store", test_silent_store);
  return g_test_run ();
}
