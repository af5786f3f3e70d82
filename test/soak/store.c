/* Stand-in for the platform's key-value store, with the calls that gateways
   use: range reads and long-poll watches. */
#include "soak.h"

#include <jansson.h>
#include <sodium.h>
#include <string.h>

#define SLOW_MS 700
#define VALUE_BYTES 65536

/* One revision of an item. */
struct version
{
  char *key;
  char *value; /* In base64; NULL: deleted. */
  uint64_t revision;
};

struct watcher
{
  struct bd_exchange *exchange;
  uint64_t after;
  int64_t until_ms;
};

struct soak_store
{
  struct soak *soak;
  struct bd_server *server;
  struct soak_proxy *proxy;
  uv_timer_t timer;
  enum soak_store_mode mode;
  int64_t last_change_ms; /* Time of the last change of the mode. */
  uint64_t revision;
  uint64_t compacted_revision; /* Older watches get 410. */
  uint32_t era;                /* Number of returns from an older copy. */
  GHashTable *copy_items; /* The copy, as the members above; NULL: none. */
  uint64_t copy_revision;
  guint copy_history;
  GHashTable *items; /* Key to struct version. */
  GPtrArray *history;
  GPtrArray *watchers;
  GPtrArray *delayed; /* Requests held back by the SLOW and SILENT modes. */
};

static json_t *
version_to_json (const struct version *version)
{
  if (!version->value)
    return json_pack ("{s:s,s:I,s:b}", "key", version->key, "revision",
                      (json_int_t)version->revision, "deleted", 1);
  return json_pack ("{s:s,s:s,s:I,s:I,s:i}", "key", version->key, "value",
                    version->value, "revision", (json_int_t)version->revision,
                    "created", (json_int_t)1, "lease", 0);
}

static void
reply (const struct soak_store *store, struct bd_exchange *exchange,
       int status, json_t *body)
{
  char *text = body ? json_dumps (body, JSON_COMPACT) : NULL;
  char *fields = g_strdup_printf (
      "Content-Type: application/json\r\nStore-Era: %u\r\n", store->era);

  bd_exchange_reply (exchange, status, bd_chunk_of (fields),
                     bd_chunk_of (text ? text : "{}"));
  free (text);
  g_free (fields);
  json_decref (body);
}

static void
reply_range (struct soak_store *store, struct bd_exchange *exchange)
{
  json_t *items = json_array ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, store->items);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    json_array_append_new (items, version_to_json (value));
  reply (store, exchange, 200,
         json_pack ("{s:o,s:b,s:I}", "items", items, "hasMore", 0,
                    "storeRevision", (json_int_t)store->revision));
}

/* Answers a watch that has events, is too old or has timed out; returns
   whether it did. */
static bool
answer_watch (struct soak_store *store, const struct watcher *watcher)
{
  json_t *events;

  if (watcher->after < store->compacted_revision
      || watcher->after > store->revision)
    {
      reply (store, watcher->exchange, 410, NULL);
      return true;
    }
  if (watcher->after >= store->revision
      && soak_now_ms (store->soak) < watcher->until_ms)
    return false;
  events = json_array ();
  for (guint i = 0; i < store->history->len; i++)
    {
      const struct version *version = store->history->pdata[i];

      if (version->revision > watcher->after)
        json_array_append_new (events, version_to_json (version));
    }
  reply (store, watcher->exchange, 200,
         json_pack ("{s:o,s:I}", "events", events, "storeRevision",
                    (json_int_t)store->revision));
  return true;
}

static void
answer_due_watches (struct soak_store *store)
{
  if (store->mode != SOAK_STORE_UP && store->mode != SOAK_STORE_SLOW)
    return;
  for (guint i = 0; i < store->watchers->len;)
    {
      struct watcher *watcher = store->watchers->pdata[i];

      if (answer_watch (store, watcher))
        {
          g_ptr_array_remove_index_fast (store->watchers, i);
          g_free (watcher);
        }
      else
        i++;
    }
}

static uint64_t
query_number (const char *target, const char *name)
{
  const char *at = strstr (target, name);

  return at ? g_ascii_strtoull (at + strlen (name), NULL, 10) : 0;
}

static void
serve (struct soak_store *store, struct bd_exchange *exchange)
{
  struct bd_chunk chunk = bd_exchange_head (exchange)->target;
  char *target = g_strndup (chunk.data, chunk.length);

  if (strstr (target, "/v1/kv-range"))
    reply_range (store, exchange);
  else
    {
      struct watcher *watcher = g_new0 (struct watcher, 1);

      watcher->exchange = exchange;
      watcher->after = query_number (target, "after=");
      watcher->until_ms = soak_now_ms (store->soak)
                          + (int64_t)query_number (target, "waitMs=");
      g_ptr_array_add (store->watchers, watcher);
      answer_due_watches (store);
    }
  g_free (target);
}

static void
on_request (void *context, struct bd_exchange *exchange)
{
  struct soak_store *store = context;
  struct watcher *waiting;

  switch (store->mode)
    {
    case SOAK_STORE_BUSY:
      reply (store, exchange, 503, NULL);
      break;
    case SOAK_STORE_RESET:
      bd_exchange_abort (exchange);
      break;
    case SOAK_STORE_SILENT:
    case SOAK_STORE_SLOW:
      waiting = g_new0 (struct watcher, 1);
      waiting->exchange = exchange;
      waiting->until_ms = store->mode == SOAK_STORE_SLOW
                              ? soak_now_ms (store->soak) + SLOW_MS
                              : INT64_MAX;
      g_ptr_array_add (store->delayed, waiting);
      break;
    case SOAK_STORE_UP:
      serve (store, exchange);
      break;
    }
}

static void
forget_exchange (GPtrArray *list, const struct bd_exchange *exchange)
{
  for (guint i = 0; i < list->len; i++)
    if (((struct watcher *)list->pdata[i])->exchange == exchange)
      {
        g_free (g_ptr_array_remove_index_fast (list, i));
        return;
      }
}

static void
on_abort (void *context, struct bd_exchange *exchange)
{
  struct soak_store *store = context;

  forget_exchange (store->watchers, exchange);
  forget_exchange (store->delayed, exchange);
}

static const struct bd_server_handler handler
    = { .on_request = on_request, .on_abort = on_abort };

static void
on_timer (uv_timer_t *timer)
{
  struct soak_store *store = timer->data;

  for (guint i = 0; i < store->delayed->len;)
    {
      struct watcher *waiting = store->delayed->pdata[i];

      if (soak_now_ms (store->soak) < waiting->until_ms)
        {
          i++;
          continue;
        }
      g_ptr_array_remove_index_fast (store->delayed, i);
      serve (store, waiting->exchange);
      g_free (waiting);
    }
  answer_due_watches (store);
}

void
soak_store_write (struct soak_store *store, const char *key, const char *value)
{
  struct version *version = g_new0 (struct version, 1);

  version->key = g_strdup (key);
  version->revision = ++store->revision;
  if (value)
    {
      version->value = g_malloc (VALUE_BYTES);
      sodium_bin2base64 (version->value, VALUE_BYTES,
                         (const unsigned char *)value, strlen (value),
                         sodium_base64_VARIANT_ORIGINAL);
      g_hash_table_replace (store->items, version->key, version);
    }
  else
    g_hash_table_remove (store->items, key);
  g_ptr_array_add (store->history, version);
  answer_due_watches (store);
}

void
soak_store_compact (struct soak_store *store)
{
  store->compacted_revision = store->revision;
  answer_due_watches (store);
}

/* Returns a table of the same items. */
static GHashTable *
share_items (GHashTable *items)
{
  GHashTable *shared = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, items);
  while (g_hash_table_iter_next (&iter, &key, &value))
    g_hash_table_insert (shared, key, value);
  return shared;
}

void
soak_store_copy (struct soak_store *store)
{
  if (store->copy_items)
    g_hash_table_destroy (store->copy_items);
  store->copy_items = share_items (store->items);
  store->copy_revision = store->revision;
  store->copy_history = store->history->len;
}

/* Frees what was written since the copy, which nothing refers to any more. */
static void
drop_lost_history (struct soak_store *store)
{
  for (guint i = store->copy_history; i < store->history->len; i++)
    {
      struct version *version = store->history->pdata[i];

      g_free (version->key);
      g_free (version->value);
      g_free (version);
    }
  g_ptr_array_set_size (store->history, (gint)store->copy_history);
}

void
soak_store_return (struct soak_store *store)
{
  if (!store->copy_items)
    return;
  g_hash_table_destroy (store->items);
  store->items = share_items (store->copy_items);
  store->revision = store->copy_revision;
  if (store->compacted_revision > store->revision)
    store->compacted_revision = store->revision;
  drop_lost_history (store);
  store->era++;
  soak_proxy_reset (store->proxy);
}

GPtrArray *
soak_store_keys (const struct soak_store *store)
{
  GPtrArray *keys = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, store->items);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    g_ptr_array_add (keys, key);
  return keys;
}

void
soak_store_set (struct soak_store *store, enum soak_store_mode mode)
{
  store->mode = mode;
  store->last_change_ms = soak_now_ms (store->soak);
  if (mode == SOAK_STORE_RESET)
    soak_proxy_reset (store->proxy);
  if (mode == SOAK_STORE_UP)
    answer_due_watches (store);
}

int64_t
soak_store_stable_ms (const struct soak_store *store)
{
  int64_t proxy_ms = soak_proxy_stable_ms (store->proxy);
  int64_t mode_ms = soak_now_ms (store->soak) - store->last_change_ms;

  if (store->mode != SOAK_STORE_UP)
    return 0;
  return mode_ms < proxy_ms ? mode_ms : proxy_ms;
}

struct soak_proxy *
soak_store_proxy (struct soak_store *store)
{
  return store->proxy;
}

struct soak_store *
soak_store_create (struct soak *soak)
{
  struct soak_store *store = g_new0 (struct soak_store, 1);
  struct sockaddr_in address
      = soak_address (soak, SOAK_STORE_HOST, SOAK_STORE_PORT + 1);

  store->soak = soak;
  store->revision = 1;
  store->items = g_hash_table_new (g_str_hash, g_str_equal);
  store->history = g_ptr_array_new ();
  store->watchers = g_ptr_array_new ();
  store->delayed = g_ptr_array_new ();
  if (bd_server_create (&soak->loop, &address, &handler, store, &store->server)
      != BD_OK)
    g_error ("the store cannot listen");
  store->proxy = soak_proxy_create (soak, SOAK_STORE_HOST, SOAK_STORE_PORT);
  uv_timer_init (&soak->loop, &store->timer);
  store->timer.data = store;
  uv_timer_start (&store->timer, on_timer, 20, 20);
  return store;
}
