#include "configuration/manifest.h"

#include "common/string.h"
#include "configuration/document_reader.h"

#include <stdlib.h>
#include <string.h>

#define COUNT_OF(array) (sizeof (array) / sizeof (array)[0])

#define RUNNER(name, kind, optional, min, max)                                \
  {                                                                           \
#name, kind, optional, min, max,                                          \
        offsetof(struct bd_instance_record, name)                             \
  }
static const struct bd_field runner_fields[] = {
  RUNNER (instance, BD_FIELD_NAME, false, 1, BD_NAME_MAX_BYTES),
  RUNNER (address, BD_FIELD_ADDRESS, false, 0, 0),
  RUNNER (zone, BD_FIELD_NAME, false, 1, BD_NAME_MAX_BYTES),
  RUNNER (checks_fencing, BD_FIELD_BOOL, true, 0, 0),
};
/* Entries have no engine, so the last field does not apply to them. */
#define ENTRY_FIELD_COUNT (COUNT_OF (runner_fields) - 1)

struct pool_head
{
  struct bd_chunk pool;
  uint64_t revision;
  struct bd_chunk kind;
  const json_t *runners;
};

#define POOL(name, kind, min, max)                                            \
  {                                                                           \
#name, kind, false, min, max, offsetof(struct pool_head, name)            \
  }
static const struct bd_field pool_fields[] = {
  POOL (pool, BD_FIELD_NAME, 1, BD_NAME_MAX_BYTES),
  POOL (revision, BD_FIELD_UINT64, 1, INT64_MAX),
  POOL (kind, BD_FIELD_NAME, 1, BD_NAME_MAX_BYTES),
  POOL (runners, BD_FIELD_ARRAY, 0, BD_RUNNERS_MAX),
};

struct manifest_head
{
  uint64_t revision;
  const json_t *contracts;
  const json_t *pools;
  const json_t *entries;
};

#define MANIFEST(name, kind, min, max)                                        \
  {                                                                           \
#name, kind, false, min, max, offsetof(struct manifest_head, name)        \
  }
static const struct bd_field manifest_fields[] = {
  MANIFEST (revision, BD_FIELD_UINT64, 1, INT64_MAX),
  MANIFEST (contracts, BD_FIELD_OBJECT, 0, BD_CONTRACTS_MAX),
  MANIFEST (pools, BD_FIELD_OBJECT, 0, BD_POOLS_MAX),
  MANIFEST (entries, BD_FIELD_ARRAY, 0, BD_ENTRIES_MAX),
};

static int
compare_instances (const void *a, const void *b)
{
  const struct bd_instance_record *x = a;
  const struct bd_instance_record *y = b;

  return bd_chunk_compare (x->instance, y->instance);
}

static int
compare_names (const void *a, const void *b)
{
  const struct bd_manifest_item *x = a;
  const struct bd_manifest_item *y = b;

  return bd_chunk_compare (x->name, y->name);
}

/* Reads an array of runners or entries and sorts it by instance.  The names
   point into the JSON tree. */
static int
read_instances (struct bd_reader *reader, const char *group,
                const json_t *array, size_t field_count,
                struct bd_instance_record **instances, size_t *count)
{
  size_t n = json_array_size (array);
  struct bd_instance_record *r;

  r = calloc (n > 0 ? n : 1, sizeof *r);
  if (!r)
    return BD_ERR_NOMEM;
  *instances = r;
  *count = n;
  reader->group = group;
  for (size_t i = 0; i < n; i++)
    {
      int rc;

      reader->index = i;
      rc = bd_reader_read (reader, json_array_get (array, i), runner_fields,
                           field_count, &r[i]);
      if (rc != BD_OK)
        return rc;
    }
  reader->group = NULL;
  reader->index = BD_READER_NO_INDEX;
  qsort (r, n, sizeof *r, compare_instances);
  for (size_t i = 1; i < n; i++)
    if (bd_chunk_equal (r[i - 1].instance, r[i].instance))
      return bd_reader_fail (reader, group, "instance %.*s is listed twice",
                             (int)r[i].instance.length, r[i].instance.data);
  return BD_OK;
}

static size_t
instance_name_bytes (const struct bd_instance_record *instances, size_t count)
{
  size_t bytes = 0;

  for (size_t i = 0; i < count; i++)
    bytes += instances[i].instance.length + instances[i].address.length
             + instances[i].zone.length;
  return bytes;
}

static void
copy_instance_names (struct bd_arena *arena,
                     struct bd_instance_record *instances, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      bd_arena_copy (arena, &instances[i].instance);
      bd_arena_copy (arena, &instances[i].address);
      bd_arena_copy (arena, &instances[i].zone);
    }
}

/* Copies the names to storage owned by the pool.  The pool's name comes first,
   because bd_pool_destroy () frees the storage through the name. */
static int
copy_pool_names (struct bd_pool *pool)
{
  struct bd_arena arena = { 0 };

  arena.data
      = malloc (pool->name.length
                + instance_name_bytes (pool->runners, pool->runner_count));
  if (!arena.data)
    {
      pool->name = (struct bd_chunk){ 0 };
      return BD_ERR_NOMEM;
    }
  bd_arena_copy (&arena, &pool->name);
  copy_instance_names (&arena, pool->runners, pool->runner_count);
  return BD_OK;
}

static int
read_pool (struct bd_reader *reader, const json_t *root, struct bd_pool *pool)
{
  struct pool_head head = { .revision = 0 };
  int rc;

  reader->subject = bd_json_string (json_object_get (root, "pool"));
  rc = bd_reader_read (reader, root, pool_fields, COUNT_OF (pool_fields),
                       &head);
  if (rc != BD_OK)
    return rc;
  pool->revision = head.revision;
  if (bd_chunk_equal (head.kind, BD_CHUNK ("service")))
    pool->kind = BD_POOL_SERVICE;
  else if (!bd_chunk_equal (head.kind, BD_CHUNK ("model")))
    return bd_reader_fail (reader, "kind", "is not \"model\" or \"service\"");
  rc = read_instances (reader, "runners", head.runners,
                       COUNT_OF (runner_fields), &pool->runners,
                       &pool->runner_count);
  if (rc != BD_OK)
    return rc;
  pool->name = head.pool;
  return copy_pool_names (pool);
}

int
bd_pool_parse (struct bd_chunk json, struct bd_pool **pool, char *reason,
               size_t reason_size)
{
  struct bd_reader reader = { .kind = "pool",
                              .index = BD_READER_NO_INDEX,
                              .reason = reason,
                              .reason_size = reason_size };
  struct bd_pool *p;
  json_t *root = NULL;
  int rc = bd_reader_load (&reader, json, BD_DOCUMENT_MAX_BYTES, &root);

  if (rc != BD_OK)
    return rc;
  p = calloc (1, sizeof *p);
  rc = p ? read_pool (&reader, root, p) : BD_ERR_NOMEM;
  json_decref (root);
  if (rc != BD_OK)
    {
      bd_pool_destroy (p);
      return rc;
    }
  *pool = p;
  return BD_OK;
}

void
bd_pool_destroy (struct bd_pool *pool)
{
  if (!pool)
    return;
  free ((char *)pool->name.data);
  free (pool->runners);
  free (pool);
}

/* Reads an object that maps names to revisions, and sorts it by name. */
static int
read_listed_documents (struct bd_reader *reader, const char *group,
                       const json_t *object, struct bd_manifest_item **items,
                       size_t *count)
{
  size_t n = json_object_size (object);
  struct bd_manifest_item *list = calloc (n > 0 ? n : 1, sizeof *list);
  const char *key;
  json_t *value;
  size_t i = 0;

  if (!list)
    return BD_ERR_NOMEM;
  *items = list;
  *count = n;
  reader->group = group;
  json_object_foreach ((json_t *)object, key, value)
  {
    list[i].name = bd_chunk_of (key);
    reader->item = list[i].name;
    if (!bd_name_valid (list[i].name, 1, BD_NAME_MAX_BYTES))
      return bd_reader_fail (reader, "", "is not a valid name");
    if (!json_is_integer (value) || json_integer_value (value) < 1)
      return bd_reader_fail (reader, "", "is not a revision of 1 or more");
    list[i].revision = (uint64_t)json_integer_value (value);
    i++;
  }
  reader->group = NULL;
  reader->item = (struct bd_chunk){ 0 };
  qsort (list, n, sizeof *list, compare_names);
  return BD_OK;
}

static int
copy_manifest_names (struct bd_manifest *m)
{
  struct bd_arena arena = { 0 };
  size_t bytes = instance_name_bytes (m->entries, m->entry_count);

  for (size_t i = 0; i < m->contract_count; i++)
    bytes += m->contracts[i].name.length;
  for (size_t i = 0; i < m->pool_count; i++)
    bytes += m->pools[i].name.length;
  arena.data = malloc (bytes > 0 ? bytes : 1);
  if (!arena.data)
    return BD_ERR_NOMEM;
  m->name_storage = arena.data;
  for (size_t i = 0; i < m->contract_count; i++)
    bd_arena_copy (&arena, &m->contracts[i].name);
  for (size_t i = 0; i < m->pool_count; i++)
    bd_arena_copy (&arena, &m->pools[i].name);
  copy_instance_names (&arena, m->entries, m->entry_count);
  return BD_OK;
}

static int
read_manifest (struct bd_reader *reader, const json_t *root,
               struct bd_manifest *m)
{
  struct manifest_head head = { .revision = 0 };
  int rc = bd_reader_read (reader, root, manifest_fields,
                           COUNT_OF (manifest_fields), &head);

  if (rc != BD_OK)
    return rc;
  m->revision = head.revision;
  rc = read_listed_documents (reader, "contracts", head.contracts,
                              &m->contracts, &m->contract_count);
  if (rc != BD_OK)
    return rc;
  rc = read_listed_documents (reader, "pools", head.pools, &m->pools,
                              &m->pool_count);
  if (rc != BD_OK)
    return rc;
  rc = read_instances (reader, "entries", head.entries, ENTRY_FIELD_COUNT,
                       &m->entries, &m->entry_count);
  return rc != BD_OK ? rc : copy_manifest_names (m);
}

int
bd_manifest_parse (struct bd_chunk json, struct bd_manifest **manifest,
                   char *reason, size_t reason_size)
{
  struct bd_reader reader = { .kind = "manifest",
                              .index = BD_READER_NO_INDEX,
                              .reason = reason,
                              .reason_size = reason_size };
  struct bd_manifest *m;
  json_t *root = NULL;
  int rc = bd_reader_load (&reader, json, BD_DOCUMENT_MAX_BYTES, &root);

  if (rc != BD_OK)
    return rc;
  m = calloc (1, sizeof *m);
  rc = m ? read_manifest (&reader, root, m) : BD_ERR_NOMEM;
  json_decref (root);
  if (rc != BD_OK)
    {
      bd_manifest_destroy (m);
      return rc;
    }
  *manifest = m;
  return BD_OK;
}

void
bd_manifest_destroy (struct bd_manifest *manifest)
{
  if (!manifest)
    return;
  free (manifest->contracts);
  free (manifest->pools);
  free (manifest->entries);
  free (manifest->name_storage);
  free (manifest);
}
