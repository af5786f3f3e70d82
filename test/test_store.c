/* The adapter's reader of the store, against a scripted store. */
#include "store.h"

#include "common/clock.h"
#include "http/socket.h"
#include "headers.h"
#include "support_port.h"

#include <glib.h>
#include <string.h>

#define LIMIT_MS 15000
#define CALLS_MAX 32

/* A store that answers each call with the next of its scripted answers, and
   keeps the others waiting. */
struct world
{
  struct bd_gateway *gateway;
  struct bd_cutline_store *store;
  struct bd_server *server;
  struct bd_exchange *waiting;
  GPtrArray *calls; /* Targets, in order. */
  GQueue *answers;  /* "STATUS BODY" */
  uv_timer_t limit;
  bool late;
};

static void
answer (struct world *world)
{
  char *next;

  if (!world->waiting || g_queue_is_empty (world->answers))
    return;
  next = g_queue_pop_head (world->answers);
  {
    struct bd_exchange *exchange = world->waiting;

    world->waiting = NULL;
    bd_exchange_reply (exchange, (int)strtol (next, NULL, 10), BD_CHUNK (""),
                       bd_chunk_of (next + 4));
  }
  g_free (next);
}

static void
on_request (void *context, struct bd_exchange *exchange)
{
  struct world *world = context;
  struct bd_chunk target = bd_exchange_head (exchange)->target;

  g_ptr_array_add (world->calls, g_strndup (target.data, target.length));
  world->waiting = exchange;
  answer (world);
}

static void
on_abort (void *context, struct bd_exchange *exchange)
{
  struct world *world = context;

  if (world->waiting == exchange)
    world->waiting = NULL;
}

static const struct bd_server_handler server_handler
    = { .on_request = on_request, .on_abort = on_abort };

static void
on_tick (void *context, int64_t now_ms)
{
  struct world *world = context;

  if (world->store)
    bd_cutline_store_tick (world->store, now_ms);
}

static void
on_document (void *context, struct bd_chunk document, uint64_t revision)
{
  (void)context;
  (void)document;
  (void)revision;
}

static void
on_nothing (void *context)
{
  (void)context;
}

static const struct bd_gateway_handler gateway_handler
    = { .on_tick = on_tick,
        .on_document = on_document,
        .on_resume = on_nothing,
        .on_reload = on_nothing };

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
on_limit (uv_timer_t *timer)
{
  ((struct world *)timer->data)->late = true;
}

static void
open_world (struct world *world)
{
  struct bd_gateway_options options
      = { .dialect = &bd_cutline_dialect,
          .instance = BD_CHUNK ("e"),
          .zone = BD_CHUNK ("z"),
          .callers = free_address (),
          .readiness = free_address (),
          .internal = free_address (),
          .readiness_path = BD_CHUNK ("/ready"),
          .grace_ms = 8000,
          .retry = { .ratio = 0.2, .slack = 10, .window_ms = 10000 } };
  struct sockaddr_in address = free_address ();

  memset (world, 0, sizeof *world);
  world->calls = g_ptr_array_new_with_free_func (g_free);
  world->answers = g_queue_new ();
  g_assert_cmpint (
      bd_gateway_create (&options, &gateway_handler, world, &world->gateway),
      ==, BD_OK);
  g_assert_cmpint (bd_server_create (bd_gateway_loop (world->gateway),
                                     &address, &server_handler, world,
                                     &world->server),
                   ==, BD_OK);
  world->store = bd_cutline_store_create (world->gateway, &address);
  uv_timer_init (bd_gateway_loop (world->gateway), &world->limit);
  world->limit.data = world;
  uv_timer_start (&world->limit, on_limit, LIMIT_MS, 0);
}

static void
add_answer (struct world *world, const char *text)
{
  g_queue_push_tail (world->answers, g_strdup (text));
  answer (world);
}

/* Runs until CALLS calls have come. */
static void
await_calls (struct world *world, guint calls)
{
  while (world->calls->len < calls)
    {
      g_assert_false (world->late);
      uv_run (bd_gateway_loop (world->gateway), UV_RUN_ONCE);
    }
}

static bool
usable (struct world *world, const char *id)
{
  struct bd_target *target = bd_targets_find (
      bd_gateway_targets (world->gateway), bd_chunk_of (id));

  return target && bd_target_usable (target);
}

/* An item of the store with VALUE, in the form of its pages. */
static char *
item (const char *key, int revision, const char *value)
{
  char *text = g_base64_encode ((const guchar *)value, strlen (value));
  char *all = g_strdup_printf ("{\"key\":\"%s\",\"value\":\"%s\","
                               "\"revision\":%d,\"created\":1,\"lease\":0}",
                               key, text, revision);

  g_free (text);
  return all;
}

static char *
runner (const char *id, int revision, const char *state)
{
  char *key = g_strdup_printf ("servers/%s", id);
  char *value = g_strdup_printf (
      "{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\","
      "\"slots\":4,\"state\":\"%s\",\"sequence\":%d}",
      state, revision);
  char *text = item (key, revision, value);

  g_free (key);
  g_free (value);
  return text;
}

static char *
configuration (int version, int revision)
{
  char *value = g_strdup_printf ("{\"version\":%d,\"routes\":[]}", version);
  char *text = item ("op/config", revision, value);

  g_free (value);
  return text;
}

/* Answers with a page, or the events, ONE and TWO (may be NULL); frees
   them. */
static void
add_items (struct world *world, const char *list, const char *more,
           int revision, char *one, char *two)
{
  char *text = g_strdup_printf ("200 {\"%s\":[%s%s%s],%s\"storeRevision\":%d}",
                                list, one ? one : "", two ? "," : "",
                                two ? two : "", more, revision);

  add_answer (world, text);
  g_free (text);
  g_free (one);
  g_free (two);
}

static int64_t
version_of (struct world *world)
{
  struct bd_buffer text = { 0 };
  const char *at;
  int64_t version;

  bd_stats_write (bd_gateway_stats (world->gateway), &text);
  at = strstr (text.data, "\nbasildock_routing_version ");
  g_assert_nonnull (at);
  version = g_ascii_strtoll (at + strlen ("\nbasildock_routing_version "),
                             NULL, 10);
  bd_buffer_clear (&text);
  return version;
}

/* Reads two pages, then watches from the first page's revision on. */
static void
begin (struct world *world)
{
  open_world (world);
  add_items (world, "items", "\"hasMore\":true,", 20, configuration (3, 11),
             runner ("a", 12, "ready"));
  add_items (world, "items", "\"hasMore\":false,", 25,
             runner ("b", 13, "ready"), NULL);
  await_calls (world, 3);
}

static void
test_list_and_watch (void)
{
  struct world world;

  begin (&world);
  g_assert_true (usable (&world, "a"));
  g_assert_true (usable (&world, "b"));
  g_assert_cmpint (version_of (&world), ==, 3);
  g_assert_nonnull (strstr (world.calls->pdata[1], "after=servers/a"));
  g_assert_nonnull (strstr (world.calls->pdata[2], "after=20"));
  add_items (&world, "events", "", 30, runner ("a", 28, "draining"),
             g_strdup ("{\"key\":\"servers/b\",\"revision\":29,"
                       "\"deleted\":true}"));
  await_calls (&world, 4);
  g_assert_false (usable (&world, "a"));
  g_assert_false (usable (&world, "b"));
  g_assert_nonnull (strstr (world.calls->pdata[3], "after=30"));
}

/* The configuration never goes back, whatever the store says. */
static void
test_never_back (void)
{
  struct world world;

  begin (&world);
  add_items (&world, "events", "", 31, configuration (9, 31), NULL);
  await_calls (&world, 4);
  g_assert_cmpint (version_of (&world), ==, 9);
  add_items (&world, "events", "", 32, configuration (3, 11), NULL);
  await_calls (&world, 5);
  g_assert_cmpint (version_of (&world), ==, 9);
}

/* Entries of another writer name no runner and harm no other. */
static void
test_bad_entries (void)
{
  struct world world;

  begin (&world);
  add_items (&world, "events", "", 40, item ("servers/a", 33, "\377\001"),
             runner ("c", 34, "ready"));
  await_calls (&world, 4);
  g_assert_false (usable (&world, "a"));
  g_assert_true (usable (&world, "c"));
  add_items (&world, "events", "", 41,
             g_strdup ("{\"key\":\"servers/c\",\"revision\":41,"
                       "\"value\":\"***\"}"),
             NULL);
  await_calls (&world, 5);
  g_assert_false (usable (&world, "c"));
}

/* Forgotten history: all is read again, and what is missing is gone. */
static void
test_history_gone (void)
{
  struct world world;

  begin (&world);
  add_answer (&world, "410 {}");
  await_calls (&world, 4);
  g_assert_nonnull (strstr (world.calls->pdata[3], "range"));
  add_items (&world, "items", "\"hasMore\":false,", 60,
             runner ("b", 13, "ready"), NULL);
  await_calls (&world, 5);
  g_assert_false (usable (&world, "a"));
  g_assert_true (usable (&world, "b"));
}

/* An outage: what was known stays, and entries that expired in it may come
   back. */
static void
test_outage (void)
{
  struct world world;

  begin (&world);
  add_answer (&world, "503 {}");
  add_answer (&world, "200 not json");
  add_items (&world, "events", "", 70,
             g_strdup ("{\"key\":\"servers/a\",\"revision\":50,"
                       "\"deleted\":true}"),
             NULL);
  await_calls (&world, 6);
  g_assert_true (usable (&world, "a"));
  add_items (&world, "events", "", 71, runner ("a", 71, "ready"), NULL);
  await_calls (&world, 7);
  g_assert_true (usable (&world, "a"));
  g_assert_cmpint (version_of (&world), ==, 3);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/store/list-and-watch", test_list_and_watch);
  g_test_add_func ("/store/never-back", test_never_back);
  g_test_add_func ("/store/bad-entries", test_bad_entries);
  g_test_add_func ("/store/history-gone", test_history_gone);
  g_test_add_func ("/store/outage", test_outage);
  return g_test_run ();
}
