#include "balance/routing.h"

#include "common/hash_table.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* Levels of route priority within one workspace priority. */
#define PRIORITIES_PER_WORKSPACE 3
#define BITS_PER_BYTE 8.0
#define TOKENS_PER_K 1000.0

struct key
{
  struct bd_hash_table_node node;
  struct bd_chunk text;
  const struct bd_workspace *workspace;
};

struct workspace
{
  struct bd_workspace public;
  struct workspace *next;
};

struct bd_routing
{
  uint32_t references;
  uint64_t version;
  struct bd_route *routes;
  size_t route_count;
  struct bd_service *services;
  size_t service_count;
  struct workspace *workspaces;
  bool needs_credentials;
  struct bd_hash_table keys;
};

struct bd_routing *
bd_routing_create (uint64_t version)
{
  struct bd_routing *routing = calloc (1, sizeof *routing);

  if (!routing)
    return NULL;
  routing->references = 1;
  routing->version = version;
  return routing;
}

struct bd_routing *
bd_routing_ref (struct bd_routing *routing)
{
  routing->references++;
  return routing;
}

static void
free_chunk (struct bd_chunk chunk)
{
  free ((char *)chunk.data);
}

static void
free_route (struct bd_route *route)
{
  free_chunk (route->name);
  free_chunk (route->host);
  free_chunk (route->prefix);
  for (size_t i = 0; i < route->split_count; i++)
    free_chunk (route->splits[i].service);
  free (route->splits);
}

static void
free_keys (struct bd_routing *routing)
{
  for (size_t i = 0; i < routing->keys.bucket_count; i++)
    {
      struct bd_hash_table_node *node = routing->keys.buckets[i];

      while (node)
        {
          struct key *key = (struct key *)node;

          node = node->next;
          free_chunk (key->text);
          free (key);
        }
    }
  bd_hash_table_clear (&routing->keys);
}

void
bd_routing_unref (struct bd_routing *routing)
{
  if (!routing || --routing->references > 0)
    return;
  for (size_t i = 0; i < routing->route_count; i++)
    free_route (&routing->routes[i]);
  free (routing->routes);
  for (size_t i = 0; i < routing->service_count; i++)
    free_chunk (routing->services[i].name);
  free (routing->services);
  free_keys (routing);
  while (routing->workspaces)
    {
      struct workspace *workspace = routing->workspaces;

      routing->workspaces = workspace->next;
      free_chunk (workspace->public.name);
      free (workspace);
    }
  free (routing);
}

uint64_t
bd_routing_version (const struct bd_routing *routing)
{
  return routing->version;
}

static int
copy_chunk (struct bd_chunk from, struct bd_chunk *to)
{
  to->data = bd_chunk_copy (from);
  to->length = to->data ? from.length : 0;
  return to->data ? BD_OK : BD_ERR_NOMEM;
}

static int
copy_splits (const struct bd_route *from, struct bd_route *to)
{
  to->split_count = 0;
  to->splits = calloc (from->split_count, sizeof *to->splits);
  if (!to->splits)
    return BD_ERR_NOMEM;
  for (size_t i = 0; i < from->split_count; i++)
    {
      to->splits[i].weight = from->splits[i].weight;
      if (copy_chunk (from->splits[i].service, &to->splits[i].service)
          != BD_OK)
        return BD_ERR_NOMEM;
      to->split_count++;
    }
  return BD_OK;
}

/* Returns a zeroed new element of SIZE bytes at the end of the array, or
   NULL. */
static void *
grow (void **array, size_t count, size_t size)
{
  char *more = realloc (*array, (count + 1) * size);

  if (!more)
    return NULL;
  *array = more;
  return memset (more + count * size, 0, size);
}

int
bd_routing_add_route (struct bd_routing *routing, const struct bd_route *from)
{
  void *routes = routing->routes;
  struct bd_route *route = grow (&routes, routing->route_count, sizeof *route);

  if (!route)
    return BD_ERR_NOMEM;
  routing->routes = routes;
  *route = *from;
  route->name = route->host = route->prefix = (struct bd_chunk){ NULL, 0 };
  route->splits = NULL;
  route->split_count = 0;
  routing->route_count++;
  if (copy_chunk (from->name, &route->name) != BD_OK
      || copy_chunk (from->host, &route->host) != BD_OK
      || copy_chunk (from->prefix, &route->prefix) != BD_OK)
    return BD_ERR_NOMEM;
  return copy_splits (from, route);
}

int
bd_routing_add_service (struct bd_routing *routing,
                        const struct bd_service *from)
{
  void *services = routing->services;
  struct bd_service *service
      = grow (&services, routing->service_count, sizeof *service);

  if (!service)
    return BD_ERR_NOMEM;
  routing->services = services;
  *service = *from;
  routing->service_count++;
  return copy_chunk (from->name, &service->name);
}

static int
add_key (struct bd_routing *routing, const struct bd_workspace *workspace,
         struct bd_chunk text)
{
  struct key *key = calloc (1, sizeof *key);

  if (!key)
    return BD_ERR_NOMEM;
  key->workspace = workspace;
  if (copy_chunk (text, &key->text) != BD_OK
      || bd_hash_table_insert (&routing->keys, &key->node,
                               bd_chunk_hash (text))
             != BD_OK)
    {
      free_chunk (key->text);
      free (key);
      return BD_ERR_NOMEM;
    }
  return BD_OK;
}

int
bd_routing_add_workspace (struct bd_routing *routing,
                          const struct bd_workspace *from,
                          const struct bd_chunk *keys, size_t key_count)
{
  struct workspace *workspace = calloc (1, sizeof *workspace);
  int error;

  if (!workspace)
    return BD_ERR_NOMEM;
  workspace->public = *from;
  error = copy_chunk (from->name, &workspace->public.name);
  workspace->next = routing->workspaces;
  routing->workspaces = workspace;
  for (size_t i = 0; i < key_count && error == BD_OK; i++)
    error = add_key (routing, &workspace->public, keys[i]);
  return error;
}

/* Compares host names without case.  A port does not select the route. */
static bool
host_matches (struct bd_chunk host, struct bd_chunk wanted)
{
  const char *colon = memchr (host.data, ':', host.length);

  if (colon)
    host.length = (size_t)(colon - host.data);
  return host.length == wanted.length
         && strncasecmp (host.data, wanted.data, host.length) == 0;
}

const struct bd_route *
bd_routing_find (const struct bd_routing *routing, struct bd_chunk host,
                 struct bd_chunk path)
{
  const struct bd_route *best = NULL;

  for (size_t i = 0; i < routing->route_count; i++)
    {
      const struct bd_route *route = &routing->routes[i];

      if (route->prefix.length <= path.length
          && (!best || route->prefix.length > best->prefix.length)
          && memcmp (route->prefix.data, path.data, route->prefix.length) == 0
          && host_matches (host, route->host))
        best = route;
    }
  return best;
}

struct bd_chunk
bd_route_service (const struct bd_route *route, uint64_t hash)
{
  uint64_t total = 0;
  uint64_t point;

  for (size_t i = 0; i < route->split_count; i++)
    total += route->splits[i].weight;
  if (route->split_count == 0 || total == 0)
    return (struct bd_chunk){ "", 0 };
  point = hash % total;
  for (size_t i = 0; i < route->split_count; i++)
    {
      if (point < route->splits[i].weight)
        return route->splits[i].service;
      point -= route->splits[i].weight;
    }
  return route->splits[0].service;
}

uint32_t
bd_fetch_us_per_k (double bytes_per_token, double link_mbps)
{
  /* 1 Mbit/s is 1 bit/us. */
  double us = link_mbps > 0.0
                  ? bytes_per_token * BITS_PER_BYTE * TOKENS_PER_K / link_mbps
                  : 0.0;

  if (us <= 0.0 || us > UINT32_MAX)
    return 0;
  return us < 1.0 ? 1 : (uint32_t)us;
}

const struct bd_service *
bd_routing_service_at (const struct bd_routing *routing, size_t i)
{
  return i < routing->service_count ? &routing->services[i] : NULL;
}

const struct bd_service *
bd_routing_service (const struct bd_routing *routing, struct bd_chunk name)
{
  for (size_t i = 0; i < routing->service_count; i++)
    if (bd_chunk_equal (routing->services[i].name, name))
      return &routing->services[i];
  return NULL;
}

void
bd_routing_require_credentials (struct bd_routing *routing)
{
  routing->needs_credentials = true;
}

bool
bd_routing_needs_credentials (const struct bd_routing *routing)
{
  return routing->needs_credentials;
}

const struct bd_workspace *
bd_routing_workspace (const struct bd_routing *routing, struct bd_chunk key)
{
  struct bd_hash_table_node *node
      = bd_hash_table_first (&routing->keys, bd_chunk_hash (key));

  while (node && !bd_chunk_equal (((struct key *)node)->text, key))
    node = bd_hash_table_next (node);
  return node ? ((struct key *)node)->workspace : NULL;
}

int
bd_routing_lowest_priority (const struct bd_routing *routing)
{
  int lowest = 0;

  for (size_t i = 0; i < routing->route_count; i++)
    {
      const struct workspace *workspace = routing->workspaces;
      const struct bd_route *route = &routing->routes[i];
      int priority = bd_request_priority (NULL, route);

      if (priority > lowest)
        lowest = priority;
      for (; workspace; workspace = workspace->next)
        {
          priority = bd_request_priority (&workspace->public, route);
          if (priority > lowest)
            lowest = priority;
        }
    }
  return lowest;
}

int
bd_request_priority (const struct bd_workspace *workspace,
                     const struct bd_route *route)
{
  int within = route->priority;
  int priority;

  if (!workspace || workspace->priority < 0)
    priority = within;
  else
    {
      if (within > PRIORITIES_PER_WORKSPACE - 1)
        within = PRIORITIES_PER_WORKSPACE - 1;
      priority = workspace->priority * PRIORITIES_PER_WORKSPACE + within;
    }
  if (priority < 0)
    return 0;
  return priority > BD_PRIORITY_LOWEST ? BD_PRIORITY_LOWEST : priority;
}
