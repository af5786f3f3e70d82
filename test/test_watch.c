/* Tests the watcher against a simulated configuration service, which runs as
   a separate process (standin_platform). */
#include "common/clock.h"
#include "common/mailbox.h"
#include "common/string.h"
#include "configuration/config.h"
#include "naive_config.h"
#include "platform/backoff.h"
#include "platform/watch.h"

#include <curl/curl.h>
#include <glib/gstdio.h>
#include <jansson.h>
#include <signal.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#define EVENT_TIMEOUT_MS 30000
#define RETRY_MAX_MS 400
#define QUERY_INTERVAL_MS 50

struct fixture
{
  char *dir;
  GPid pid;
  int port;
  char url[64];
};

struct watcher
{
  struct bd_watch_sink sink;
  struct bd_watch *watch;
  struct bd_config *config; /* Used by the watcher's thread only. */
  guint64 revision;
  struct bd_mailbox
      *events; /* Strings: "up", "down", "NAME" or "NAME=REVISION". */
  atomic_int unread_events; /* Events not yet read. */
};

static void
write_file (struct fixture *f, const char *name, const char *text)
{
  char *path = g_strdup_printf ("%s/%s.json", f->dir, name);
  char *parent = g_path_get_dirname (path);

  g_mkdir_with_parents (parent, 0700);
  g_assert_true (g_file_set_contents (path, text, -1, NULL));
  g_free (parent);
  g_free (path);
}

static void
write_manifest (struct fixture *f, guint64 revision)
{
  GHashTable *names = g_hash_table_new (g_str_hash, g_str_equal);
  struct naive_document *d = naive_manifest (revision, 0, names);

  write_file (f, "manifest", d->json);
  naive_document_free (d);
}

/* The simulated service must end when the test aborts. */
static void
die_with_parent (gpointer data)
{
  (void)data;
  prctl (PR_SET_PDEATHSIG, SIGKILL);
}

static void
start_standin (struct fixture *f)
{
  char program[] = BUILD_DIR "/standin_platform";
  char port[8];
  char *argv[] = { program, "--port", port, "--dir", f->dir, NULL };
  GIOChannel *out;
  char *line = NULL;
  int fd;

  g_snprintf (port, sizeof port, "%d", f->port);
  g_assert_true (g_spawn_async_with_pipes (
      NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD, die_with_parent, NULL,
      &f->pid, NULL, &fd, NULL, NULL));
  out = g_io_channel_unix_new (fd);
  g_assert_cmpint (g_io_channel_read_line (out, &line, NULL, NULL, NULL), ==,
                   G_IO_STATUS_NORMAL);
  f->port = (int)g_ascii_strtoll (line + strlen ("port "), NULL, 10);
  g_free (line);
  g_assert_cmpint (g_io_channel_read_line (out, &line, NULL, NULL, NULL), ==,
                   G_IO_STATUS_NORMAL);
  g_free (line);
  g_io_channel_shutdown (out, FALSE, NULL);
  g_io_channel_unref (out);
  g_snprintf (f->url, sizeof f->url, "http://127.0.0.1:%d", f->port);
}

static void
stop_standin (struct fixture *f)
{
  kill (f->pid, SIGKILL);
  waitpid (f->pid, NULL, 0);
  g_spawn_close_pid (f->pid);
}

static size_t
append_body (char *data, size_t size, size_t count, void *body)
{
  g_string_append_len (body, data, (gssize)(size * count));
  return size * count;
}

/* Calls the control interface of the simulated service.  The caller frees the
   response. */
static char *
call_standin (struct fixture *f, const char *path, bool post)
{
  CURL *easy = curl_easy_init ();
  GString *body = g_string_new (NULL);
  char *url = g_strdup_printf ("%s%s", f->url, path);

  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, append_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, body);
  if (post)
    curl_easy_setopt (easy, CURLOPT_POSTFIELDS, "");
  g_assert_cmpint (curl_easy_perform (easy), ==, CURLE_OK);
  curl_easy_cleanup (easy);
  g_free (url);
  return g_string_free (body, FALSE);
}

static void
set_mode (struct fixture *f, const char *mode)
{
  char *path = g_strdup_printf ("/standin/fault?mode=%s", mode);

  g_free (call_standin (f, path, true));
  g_free (path);
}

static void
publish (struct fixture *f, guint64 revision)
{
  write_manifest (f, revision);
  g_free (call_standin (f, "/standin/reload", true));
}

static json_int_t
calls_to (struct fixture *f, const char *path)
{
  char *text = call_standin (f, "/standin/calls", false);
  json_t *calls = json_loads (text, 0, NULL);
  json_int_t n = json_integer_value (json_object_get (calls, path));

  json_decref (calls);
  g_free (text);
  return n;
}

/* A mailbox instead of a GLib queue: ThreadSanitizer does not see GLib's
   locks. */
struct event
{
  struct bd_mail mail;
  char text[64];
};

static void
push_event (struct watcher *w, const char *text)
{
  struct event *event = g_new0 (struct event, 1);

  g_strlcpy (event->text, text, sizeof event->text);
  atomic_fetch_add (&w->unread_events, 1);
  bd_mailbox_post (w->events, &event->mail);
}

static void
on_document (struct bd_watch_sink *sink, struct bd_chunk name,
             struct bd_chunk json)
{
  struct watcher *w = (struct watcher *)sink;
  char reason[300];
  char *event = g_strndup (name.data, name.length);

  bd_config_submit (w->config, name, json, reason, sizeof reason);
  g_assert_cmpuint (bd_config_revision (w->config), >=, w->revision);
  w->revision = bd_config_revision (w->config);
  if (strcmp (event, "manifest") == 0)
    {
      g_free (event);
      event = g_strdup_printf ("manifest=%" G_GUINT64_FORMAT, w->revision);
    }
  push_event (w, event);
  g_free (event);
}

static void
on_reachable (struct bd_watch_sink *sink, bool up)
{
  push_event ((struct watcher *)sink, up ? "up" : "down");
}

static struct watcher *
watcher_create (struct fixture *f, guint64 seed)
{
  struct watcher *w = g_new0 (struct watcher, 1);
  struct bd_watch_settings settings = { .url = f->url,
                                        .seed = seed,
                                        .wait_s = 1,
                                        .answer_timeout_ms = 500,
                                        .retry_min_ms = 10,
                                        .retry_max_ms = RETRY_MAX_MS };

  w->sink.document = on_document;
  w->sink.reachable = on_reachable;
  w->config = bd_config_create ();
  w->events = bd_mailbox_create ();
  w->watch = bd_watch_create_with_settings (&settings, &w->sink);
  g_assert_nonnull (w->watch);
  return w;
}

static void
watcher_destroy (struct watcher *w)
{
  struct bd_mail *mail;

  bd_watch_destroy (w->watch);
  bd_config_destroy (w->config);
  while ((mail = bd_mailbox_take (w->events)))
    g_free (mail);
  bd_mailbox_destroy (w->events);
  g_free (w);
}

/* Waits for the event WANTED and drops all others before it. */
static void
expect (struct watcher *w, const char *wanted)
{
  for (bool found = false; !found;)
    {
      struct event *event
          = (struct event *)bd_mailbox_wait (w->events, EVENT_TIMEOUT_MS);

      if (!event)
        g_error ("no event %s", wanted);
      atomic_fetch_sub (&w->unread_events, 1);
      found = strcmp (event->text, wanted) == 0;
      g_free (event);
    }
}

static void
set_up (struct fixture *f, gconstpointer data)
{
  char *big = g_strnfill (1048577, ' ');

  (void)data;
  f->dir = g_dir_make_tmp ("watch-XXXXXX", NULL);
  write_file (f, "instances", "{\"index\":1,\"instances\":[]}");
  write_file (f, "contract/w", "{}");
  write_file (f, "contract/big", big);
  g_free (big);
  write_manifest (f, 5);
  start_standin (f);
}

static void
tear_down (struct fixture *f, gconstpointer data)
{
  static const char *const files[]
      = { "manifest.json", "instances.json", "contract/w.json",
          "contract/big.json", "contract" };

  (void)data;
  stop_standin (f);
  for (size_t i = 0; i < G_N_ELEMENTS (files); i++)
    {
      char *path = g_build_filename (f->dir, files[i], NULL);

      g_remove (path);
      g_free (path);
    }
  g_rmdir (f->dir);
  g_free (f->dir);
}

/* Each fault of the service causes the expected event, and the revision never
   decreases. */
static void
test_faults (struct fixture *f, gconstpointer data)
{
  static const struct
  {
    const char *mode;
    const char *sees; /* Expected event; NULL: none. */
  } faults[] = {
    { "down", "down" },       { "hang", "down" }, { "slow", "manifest" },
    { "back", "manifest=5" }, { "stale", NULL },  { "down", "down" },
  };
  struct watcher *w = watcher_create (f, 1);
  guint64 revision = 5;

  (void)data;
  bd_watch_enable_queries (w->watch, true);
  expect (w, "up");
  expect (w, "manifest=5");
  for (size_t i = 0; i < G_N_ELEMENTS (faults); i++)
    {
      char *event = g_strdup_printf ("manifest=%d", (int)++revision);

      set_mode (f, faults[i].mode);
      publish (f, revision);
      if (strcmp (faults[i].mode, "back") == 0)
        {
          /* The older manifest arrives and changes nothing. */
          g_free (event);
          event = g_strdup_printf ("manifest=%d", (int)revision - 1);
          expect (w, event);
          /* The lower index is accepted, so it arrives only once. */
          g_free (call_standin (f, "/v1/kv/none?wait=3s", false));
          g_assert_cmpint (atomic_load (&w->unread_events), <=, 1);
          g_free (event);
          event = g_strdup_printf ("manifest=%d", (int)revision);
        }
      else if (strcmp (faults[i].mode, "slow") == 0)
        expect (w, event);
      else if (faults[i].sees)
        expect (w, faults[i].sees);
      set_mode (f, "up");
      if (faults[i].sees && strcmp (faults[i].sees, "down") == 0)
        expect (w, "up");
      if (strcmp (faults[i].mode, "slow") != 0)
        expect (w, event);
      g_free (event);
    }
  /* After all faults, a change still arrives. */
  publish (f, 90);
  expect (w, "manifest=90");
  watcher_destroy (w);
}

/* The service is killed and restarted, once with older files: its indexes
   start again, which must not hide a change. */
static void
test_restarted_service (struct fixture *f, gconstpointer data)
{
  struct watcher *w = watcher_create (f, 2);

  (void)data;
  bd_watch_enable_queries (w->watch, true);
  expect (w, "manifest=5");
  stop_standin (f);
  expect (w, "down");
  /* The restarted service counts from the start and gives index 3 again. */
  write_manifest (f, 8);
  start_standin (f);
  expect (w, "up");
  expect (w, "manifest=8");
  publish (f, 9);
  expect (w, "manifest=9");
  stop_standin (f);
  expect (w, "down");
  write_manifest (f, 6);
  start_standin (f);
  expect (w, "manifest=9");
  publish (f, 10);
  expect (w, "manifest=10");
  watcher_destroy (w);
}

/* Waits until the service has counted a call to PATH, which it may do after it
   has answered later ones on other connections. */
static void
check_called_once (struct fixture *f, const char *path)
{
  while (calls_to (f, path) == 0)
    ;
  g_assert_cmpint (calls_to (f, path), ==, 1);
}

static void
test_fetch (struct fixture *f, gconstpointer data)
{
  struct watcher *w = watcher_create (f, 3);

  (void)data;
  /* Twenty fetches of one name are one request; invalid names send none. */
  set_mode (f, "slow");
  for (int i = 0; i < 20; i++)
    bd_watch_fetch (w->watch, BD_CHUNK ("contract/w"));
  bd_watch_fetch (w->watch, BD_CHUNK ("contract/w?index=9"));
  bd_watch_fetch (w->watch, BD_CHUNK (""));
  expect (w, "contract/w");
  g_assert_cmpint (calls_to (f, "/v1/kv/contract/w"), ==, 1);
  /* A request stays queued during an outage. */
  set_mode (f, "down");
  bd_watch_fetch (w->watch, BD_CHUNK ("contract/w"));
  expect (w, "down");
  set_mode (f, "up");
  expect (w, "up");
  expect (w, "contract/w");
  /* A document that is too large is given up and does not block others. */
  bd_watch_fetch (w->watch, BD_CHUNK ("contract/big"));
  bd_watch_fetch (w->watch, BD_CHUNK ("contract/none"));
  bd_watch_fetch (w->watch, BD_CHUNK ("instances"));
  expect (w, "instances");
  bd_watch_fetch (w->watch, BD_CHUNK ("manifest"));
  expect (w, "manifest=5");
  check_called_once (f, "/v1/kv/contract/none");
  check_called_once (f, "/v1/kv/contract/big");
  check_called_once (f, "/v1/instances");
  g_assert_cmpint (atomic_load (&w->unread_events), ==, 0);
  watcher_destroy (w);
}

/* Waits until the service has counted CALLS more queries. */
static void
wait_for_calls (struct fixture *f, json_int_t calls)
{
  json_int_t start = calls_to (f, "/v1/kv/manifest");

  while (calls_to (f, "/v1/kv/manifest") < start + calls)
    ;
}

/* Limits the rate of requests of 20 idle watchers, and of one watcher at a
   service that returns queries at once or fails. */
static void
test_call_budget (struct fixture *f, gconstpointer data)
{
  static const struct
  {
    const char *mode;
    int watchers;
    int queries; /* In flight; a failing service gets one probe. */
    int call_ms; /* Minimum time between requests of one query. */
  } rows[] = {
    { "up", 20, 2, 1000 },
    { "eager", 1, 2, QUERY_INTERVAL_MS },
    { "down", 1, 1, RETRY_MAX_MS / 2 },
  };

  (void)data;
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      struct watcher *all[20];
      int64_t start = bd_clock_ms ();
      guint64 calls = 0;
      double elapsed_ms;

      set_mode (f, rows[i].mode);
      for (int k = 0; k < rows[i].watchers; k++)
        {
          all[k] = watcher_create (f, (guint64)k + 1);
          bd_watch_enable_queries (all[k]->watch, true);
          expect (all[k], strcmp (rows[i].mode, "down") == 0 ? "down" : "up");
        }
      /* Wait 3 s: the service has no value of this name, so the query
         blocks. */
      if (strcmp (rows[i].mode, "up") == 0)
        g_free (call_standin (f, "/v1/kv/none?wait=3s", false));
      else
        wait_for_calls (f, 10);
      for (int k = 0; k < rows[i].watchers; k++)
        calls += bd_watch_calls (all[k]->watch);
      elapsed_ms = (double)(bd_clock_ms () - start);
      g_test_message ("%s: %d watchers, %.1f calls/s each", rows[i].mode,
                      rows[i].watchers,
                      (double)calls * 1000 / elapsed_ms / rows[i].watchers);
      g_assert_cmpuint (calls, >=, 2 * (guint64)rows[i].watchers);
      /* 8 more for requests before the delay has grown to its maximum. */
      g_assert_cmpfloat (
          (double)calls, <=,
          rows[i].watchers
              * (rows[i].queries * elapsed_ms / rows[i].call_ms + 8));
      for (int k = 0; k < rows[i].watchers; k++)
        watcher_destroy (all[k]);
    }
}

/* Each delay is between half and all of a bound that doubles up to the
   maximum. */
static void
test_backoff (void)
{
  struct bd_backoff b;
  int bound = 100;
  GHashTable *first = g_hash_table_new (g_direct_hash, g_direct_equal);

  bd_backoff_init (&b, 100, 5000, 7);
  for (int i = 0; i < 1000; i++)
    {
      int delay = bd_backoff_next (&b);

      g_assert_cmpint (delay, >=, bound / 2);
      g_assert_cmpint (delay, <=, bound);
      bound = MIN (2 * bound, 5000);
    }
  for (guint64 seed = 0; seed < 100; seed++)
    {
      bd_backoff_init (&b, 100, 5000, seed);
      g_hash_table_add (first, GINT_TO_POINTER (bd_backoff_next (&b)));
    }
  g_assert_cmpuint (g_hash_table_size (first), >, 20);
  bd_backoff_reset (&b);
  g_assert_cmpint (bd_backoff_next (&b), <=, 100);
  g_hash_table_destroy (first);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  g_test_add_func ("/watch/backoff", test_backoff);
  g_test_add ("/watch/faults", struct fixture, NULL, set_up, test_faults,
              tear_down);
  g_test_add ("/watch/restarted-service", struct fixture, NULL, set_up,
              test_restarted_service, tear_down);
  g_test_add ("/watch/fetch", struct fixture, NULL, set_up, test_fetch,
              tear_down);
  g_test_add ("/watch/call-budget", struct fixture, NULL, set_up,
              test_call_budget, tear_down);
  return g_test_run ();
}
