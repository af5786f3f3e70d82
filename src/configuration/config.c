#include "configuration/config.h"

#include "common/string.h"
#include "configuration/config_document.h"
#include "configuration/document_reader.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Number of deleted names per kind whose last revision is remembered. */
#define TOMBSTONES_MAX 1024

/* A document name that the manifest lists, or listed before its deletion. */
struct slot
{
  struct bd_chunk name; /* Name without prefix "contract/" or "pool/". */
  bool listed;
  uint64_t listed_revision; /* Revision given in the manifest. */
  uint32_t rejections;      /* Rejections since the manifest became active. */
  uint64_t deleted_in_revision; /* First manifest without this name. */
  uint64_t last_revision; /* Last active revision, kept after deletion. */
  uint64_t last_hash;
  struct bd_document *document; /* Active document, or NULL. */
};

/* The documents of one kind; slots are ordered by name. */
struct table
{
  enum bd_document_kind kind;
  size_t count;
  size_t capacity;
  struct slot **slots;
};

struct bd_config
{
  struct bd_document *manifest;
  struct table tables[BD_DOCUMENT_KINDS]; /* Unused for the manifest. */
  uint64_t digest;
};

static const char *const kind_prefixes[BD_DOCUMENT_KINDS]
    = { "manifest", "contract/", "pool/" };

static int
compare_version (uint64_t revision, uint64_t hash, uint64_t other_revision,
                 uint64_t other_hash)
{
  if (revision != other_revision)
    return revision < other_revision ? -1 : 1;
  return (hash > other_hash) - (hash < other_hash);
}

static uint64_t
document_digest (enum bd_document_kind kind, struct bd_chunk name,
                 uint64_t revision, uint64_t hash)
{
  uint64_t parts[4] = { (uint64_t)kind, bd_chunk_hash (name), revision, hash };
  struct bd_chunk c = { .data = (const char *)parts, .length = sizeof parts };

  return bd_chunk_hash (c);
}

/* Returns the position of NAME, or where to insert it. */
static size_t
table_position (const struct table *table, struct bd_chunk name, bool *found)
{
  size_t low = 0;
  size_t high = table->count;

  *found = false;
  while (low < high)
    {
      size_t middle = low + (high - low) / 2;
      int order = bd_chunk_compare (table->slots[middle]->name, name);

      if (order == 0)
        *found = true;
      if (order >= 0)
        high = middle;
      else
        low = middle + 1;
    }
  return low;
}

static struct slot *
table_find (const struct table *table, struct bd_chunk name)
{
  bool found;
  size_t i = table_position (table, name, &found);

  return found ? table->slots[i] : NULL;
}

static int
table_reserve (struct table *table, size_t count)
{
  struct slot **slots;

  if (count <= table->capacity)
    return BD_OK;
  slots = realloc (table->slots, count * sizeof (struct slot *));
  if (!slots)
    return BD_ERR_NOMEM;
  table->slots = slots;
  table->capacity = count;
  return BD_OK;
}

static void
slot_destroy (struct slot *slot)
{
  bd_document_release (slot->document);
  free ((char *)slot->name.data);
  free (slot);
}

static struct slot *
slot_create (struct bd_chunk name)
{
  struct slot *s = calloc (1, sizeof *s);

  if (!s)
    return NULL;
  s->name.data = bd_chunk_copy (name);
  s->name.length = name.length;
  if (s->name.data)
    return s;
  free (s);
  return NULL;
}

/* Adds a slot for each item that has none.  Changes no active document, so
   that the manifest is applied as a whole or not at all. */
static int
table_add_items (struct table *table, const struct bd_manifest_item *items,
                 size_t count)
{
  if (table_reserve (table, table->count + count) != BD_OK)
    return BD_ERR_NOMEM;
  for (size_t i = 0; i < count; i++)
    {
      bool found;
      size_t at = table_position (table, items[i].name, &found);
      struct slot *slot;

      if (found)
        continue;
      slot = slot_create (items[i].name);
      if (!slot)
        return BD_ERR_NOMEM;
      memmove (table->slots + at + 1, table->slots + at,
               (table->count - at) * sizeof (struct slot *));
      table->slots[at] = slot;
      table->count++;
    }
  return BD_OK;
}

static void
toggle_in_digest (struct bd_config *config, enum bd_document_kind kind,
                  struct bd_chunk name, const struct bd_document *document)
{
  if (document)
    config->digest
        ^= document_digest (kind, name, document->revision, document->hash);
}

static void
slot_activate (struct bd_config *config, enum bd_document_kind kind,
               struct slot *slot, struct bd_document *document)
{
  toggle_in_digest (config, kind, slot->name, slot->document);
  toggle_in_digest (config, kind, slot->name, document);
  bd_document_release (slot->document);
  slot->document = document;
  if (!document)
    return;
  slot->last_revision = document->revision;
  slot->last_hash = document->hash;
}

/* Removes slots that are not listed and have no last revision.  Returns the
   number of remaining slots that are not listed. */
static size_t
table_compact (struct table *table)
{
  size_t kept = 0;
  size_t deleted = 0;

  for (size_t i = 0; i < table->count; i++)
    {
      struct slot *slot = table->slots[i];

      if (!slot->listed && slot->last_revision == 0)
        {
          slot_destroy (slot);
          continue;
        }
      deleted += slot->listed ? 0 : 1;
      table->slots[kept++] = slot;
    }
  table->count = kept;
  return deleted;
}

static void
drop_oldest_tombstone (struct table *table)
{
  struct slot *oldest = NULL;

  for (size_t i = 0; i < table->count; i++)
    {
      struct slot *slot = table->slots[i];

      if (!slot->listed && slot->last_revision > 0
          && (!oldest
              || slot->deleted_in_revision < oldest->deleted_in_revision))
        oldest = slot;
    }
  if (oldest)
    oldest->last_revision = 0;
}

/* Limits the deleted names that are remembered to TOMBSTONES_MAX. */
static void
prune_tombstones (struct table *table)
{
  size_t deleted = table_compact (table);

  if (deleted <= TOMBSTONES_MAX)
    return;
  for (; deleted > TOMBSTONES_MAX; deleted--)
    drop_oldest_tombstone (table);
  table_compact (table);
}

/* Marks the slots of ITEMS as listed and deletes the documents of all others.
   ITEMS has the order of the slots. */
static void
apply_listed (struct bd_config *config, struct table *table,
              uint64_t manifest_revision, const struct bd_manifest_item *items,
              size_t count)
{
  size_t next = 0;

  for (size_t i = 0; i < table->count; i++)
    {
      struct slot *slot = table->slots[i];
      bool listed
          = next < count && bd_chunk_equal (slot->name, items[next].name);

      if (listed)
        {
          slot->listed_revision = items[next++].revision;
          slot->rejections = 0;
        }
      else if (slot->listed)
        {
          slot->deleted_in_revision = manifest_revision;
          slot_activate (config, table->kind, slot, NULL);
        }
      slot->listed = listed;
    }
  prune_tombstones (table);
}

static int
apply_manifest (struct bd_config *config, struct bd_document *document)
{
  const struct bd_manifest *m = document->content.manifest;
  struct table *contracts = &config->tables[BD_DOCUMENT_CONTRACT];
  struct table *pools = &config->tables[BD_DOCUMENT_POOL];

  if (table_add_items (contracts, m->contracts, m->contract_count) != BD_OK
      || table_add_items (pools, m->pools, m->pool_count) != BD_OK)
    return BD_ERR_NOMEM;
  apply_listed (config, contracts, m->revision, m->contracts,
                m->contract_count);
  apply_listed (config, pools, m->revision, m->pools, m->pool_count);
  toggle_in_digest (config, BD_DOCUMENT_MANIFEST, (struct bd_chunk){ 0 },
                    config->manifest);
  toggle_in_digest (config, BD_DOCUMENT_MANIFEST, (struct bd_chunk){ 0 },
                    document);
  bd_document_release (config->manifest);
  config->manifest = document;
  return BD_OK;
}

/*
 * Whether a document with REVISION and HASH may become active.  After a
 * deletion, a document must not be older than the last active one, unless
 * the manifest itself lists a lower revision.
 */
static bool
slot_accepts (const struct slot *slot, uint64_t revision, uint64_t hash)
{
  int order
      = compare_version (revision, hash, slot->last_revision, slot->last_hash);

  if (slot->document)
    return order > 0;
  return order >= 0 || revision >= slot->listed_revision;
}

/* Splits a document name into kind and short name.  Returns
   BD_DOCUMENT_KINDS for an invalid name. */
static enum bd_document_kind
split_name (struct bd_chunk name, struct bd_chunk *short_name)
{
  if (bd_chunk_equal (name, bd_chunk_of (kind_prefixes[BD_DOCUMENT_MANIFEST])))
    return BD_DOCUMENT_MANIFEST;
  for (int k = BD_DOCUMENT_CONTRACT; k < BD_DOCUMENT_KINDS; k++)
    {
      size_t n = strlen (kind_prefixes[k]);

      if (name.length <= n || memcmp (name.data, kind_prefixes[k], n) != 0)
        continue;
      short_name->data = name.data + n;
      short_name->length = name.length - n;
      return (enum bd_document_kind)k;
    }
  return BD_DOCUMENT_KINDS;
}

static int
submit_manifest (struct bd_config *config, struct bd_chunk json, char *reason,
                 size_t reason_size)
{
  struct bd_document *d;
  int rc = bd_document_create (BD_DOCUMENT_MANIFEST, (struct bd_chunk){ 0 },
                               json, reason, reason_size, &d);

  if (rc != BD_OK)
    return rc;
  if (config->manifest
      && compare_version (d->revision, d->hash, config->manifest->revision,
                          config->manifest->hash)
             <= 0)
    rc = BD_ERR_STALE;
  else
    rc = apply_manifest (config, d);
  if (rc != BD_OK)
    bd_document_release (d);
  return rc;
}

static int
submit_listed (struct bd_config *config, enum bd_document_kind kind,
               struct bd_chunk name, struct bd_chunk json, char *reason,
               size_t reason_size)
{
  struct slot *slot = table_find (&config->tables[kind], name);
  struct bd_document *d;
  int rc;

  if (!slot || !slot->listed)
    return BD_ERR_NOT_FOUND;
  /* Receiving the same text again is the common case; skip parsing. */
  if (slot->document && bd_chunk_equal (slot->document->text, json))
    return BD_ERR_STALE;
  rc = bd_document_create (kind, name, json, reason, reason_size, &d);
  if (rc == BD_ERR_CONTRACT && slot->rejections < BD_CONFIG_REJECTIONS_MAX)
    slot->rejections++;
  if (rc != BD_OK)
    return rc;
  if (!slot_accepts (slot, d->revision, d->hash))
    {
      bd_document_release (d);
      return BD_ERR_STALE;
    }
  slot_activate (config, kind, slot, d);
  return BD_OK;
}

int
bd_config_submit (struct bd_config *config, struct bd_chunk name,
                  struct bd_chunk json, char *reason, size_t reason_size)
{
  struct bd_chunk short_name = { 0 };
  enum bd_document_kind kind = split_name (name, &short_name);

  if (reason_size > 0)
    reason[0] = '\0';
  if (kind == BD_DOCUMENT_KINDS)
    return BD_ERR_NOT_FOUND;
  if (kind != BD_DOCUMENT_MANIFEST)
    return submit_listed (config, kind, short_name, json, reason, reason_size);
  if (config->manifest && bd_chunk_equal (config->manifest->text, json))
    return BD_ERR_STALE;
  return submit_manifest (config, json, reason, reason_size);
}

struct bd_config *
bd_config_create (void)
{
  struct bd_config *config = calloc (1, sizeof *config);

  if (!config)
    return NULL;
  for (int k = 0; k < BD_DOCUMENT_KINDS; k++)
    config->tables[k].kind = (enum bd_document_kind)k;
  return config;
}

void
bd_config_destroy (struct bd_config *config)
{
  if (!config)
    return;
  bd_document_release (config->manifest);
  for (int k = 0; k < BD_DOCUMENT_KINDS; k++)
    {
      struct table *table = &config->tables[k];

      for (size_t i = 0; i < table->count; i++)
        slot_destroy (table->slots[i]);
      free (table->slots);
    }
  free (config);
}

uint64_t
bd_config_revision (const struct bd_config *config)
{
  return config->manifest ? config->manifest->revision : 0;
}

uint64_t
bd_config_digest (const struct bd_config *config)
{
  return config->digest;
}

static struct bd_chunk
full_name (enum bd_document_kind kind, const struct slot *slot,
           char text[BD_DOCUMENT_NAME_BYTES])
{
  struct bd_chunk c = { .data = text };
  int n
      = snprintf (text, BD_DOCUMENT_NAME_BYTES, "%s%.*s", kind_prefixes[kind],
                  (int)slot->name.length, slot->name.data);

  c.length = (size_t)n;
  return c;
}

static bool
slot_outdated (const struct slot *slot)
{
  if (!slot->listed || slot->rejections >= BD_CONFIG_REJECTIONS_MAX)
    return false;
  return !slot->document || slot->document->revision < slot->listed_revision;
}

void
bd_config_visit_outdated (const struct bd_config *config,
                          void (*visit) (void *context, struct bd_chunk name),
                          void *context)
{
  char text[BD_DOCUMENT_NAME_BYTES];

  for (int k = BD_DOCUMENT_CONTRACT; k < BD_DOCUMENT_KINDS; k++)
    for (size_t i = 0; i < config->tables[k].count; i++)
      {
        const struct slot *slot = config->tables[k].slots[i];

        if (slot_outdated (slot))
          visit (context, full_name ((enum bd_document_kind)k, slot, text));
      }
}

void
bd_config_visit_active (const struct bd_config *config,
                        void (*visit) (void *context, struct bd_chunk name,
                                       uint64_t revision, uint64_t hash),
                        void *context)
{
  char text[BD_DOCUMENT_NAME_BYTES];

  if (config->manifest)
    visit (context, bd_chunk_of (kind_prefixes[BD_DOCUMENT_MANIFEST]),
           config->manifest->revision, config->manifest->hash);
  for (int k = BD_DOCUMENT_CONTRACT; k < BD_DOCUMENT_KINDS; k++)
    for (size_t i = 0; i < config->tables[k].count; i++)
      {
        const struct slot *slot = config->tables[k].slots[i];

        if (slot->document)
          visit (context, full_name ((enum bd_document_kind)k, slot, text),
                 slot->document->revision, slot->document->hash);
      }
}

bool
bd_config_would_accept (const struct bd_config *config, struct bd_chunk name,
                        uint64_t revision, uint64_t hash)
{
  struct bd_chunk short_name = { 0 };
  enum bd_document_kind kind = split_name (name, &short_name);
  const struct slot *slot;

  if (kind == BD_DOCUMENT_KINDS)
    return false;
  if (kind == BD_DOCUMENT_MANIFEST)
    return !config->manifest
           || compare_version (revision, hash, config->manifest->revision,
                               config->manifest->hash)
                  > 0;
  slot = table_find (&config->tables[kind], short_name);
  return slot && slot->listed && slot_accepts (slot, revision, hash);
}

struct bd_chunk
bd_config_document (const struct bd_config *config, struct bd_chunk name)
{
  struct bd_chunk none = { 0 };
  struct bd_chunk short_name = { 0 };
  enum bd_document_kind kind = split_name (name, &short_name);
  const struct slot *slot;

  if (kind == BD_DOCUMENT_KINDS)
    return none;
  if (kind == BD_DOCUMENT_MANIFEST)
    return config->manifest ? config->manifest->text : none;
  slot = table_find (&config->tables[kind], short_name);
  return slot && slot->document ? slot->document->text : none;
}

/* Collects the active documents of one kind and acquires a reference to each
   of them. */
static size_t
collect_active (const struct table *table, struct bd_document **documents)
{
  size_t n = 0;

  for (size_t i = 0; i < table->count; i++)
    if (table->slots[i]->document)
      documents[n++] = bd_document_acquire (table->slots[i]->document);
  return n;
}

struct bd_config_snapshot *
bd_config_snapshot (const struct bd_config *config)
{
  const struct table *contracts = &config->tables[BD_DOCUMENT_CONTRACT];
  const struct table *pools = &config->tables[BD_DOCUMENT_POOL];
  size_t max_count = 1 + contracts->count + pools->count;
  struct bd_document **documents
      = calloc (max_count, sizeof (struct bd_document *));
  size_t n = 0;

  if (!documents)
    return NULL;
  if (config->manifest)
    documents[n++] = bd_document_acquire (config->manifest);
  n += collect_active (contracts, documents + n);
  n += collect_active (pools, documents + n);
  return bd_snapshot_create (documents, n);
}
