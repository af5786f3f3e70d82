#include "configuration/config_document.h"

#include "common/string.h"

#include <stdio.h>
#include <stdlib.h>

static int
parse_content (struct bd_document *d, struct bd_chunk json,
               struct bd_chunk *name, char *reason, size_t reason_size)
{
  int rc;

  switch (d->kind)
    {
    case BD_DOCUMENT_MANIFEST:
      rc = bd_manifest_parse (json, &d->content.manifest, reason, reason_size);
      if (rc == BD_OK)
        d->revision = d->content.manifest->revision;
      return rc;
    case BD_DOCUMENT_CONTRACT:
      rc = bd_contract_parse (json, &d->content.contract, reason, reason_size);
      if (rc != BD_OK)
        return rc;
      d->revision = d->content.contract->revision;
      *name = d->content.contract->workspace;
      return BD_OK;
    case BD_DOCUMENT_POOL:
      rc = bd_pool_parse (json, &d->content.pool, reason, reason_size);
      if (rc != BD_OK)
        return rc;
      d->revision = d->content.pool->revision;
      *name = d->content.pool->name;
      return BD_OK;
    case BD_DOCUMENT_KINDS:
      break;
    }
  return BD_ERR_INTERNAL;
}

static void
document_destroy (struct bd_document *d)
{
  if (d->kind == BD_DOCUMENT_MANIFEST)
    bd_manifest_destroy (d->content.manifest);
  else if (d->kind == BD_DOCUMENT_CONTRACT)
    bd_contract_destroy (d->content.contract);
  else
    bd_pool_destroy (d->content.pool);
  free ((char *)d->text.data);
  free (d);
}

int
bd_document_create (enum bd_document_kind kind, struct bd_chunk name,
                    struct bd_chunk json, char *reason, size_t reason_size,
                    struct bd_document **document)
{
  struct bd_document *d = calloc (1, sizeof *d);
  struct bd_chunk found = name;
  int rc;

  if (!d)
    return BD_ERR_NOMEM;
  atomic_init (&d->references, 1);
  d->kind = kind;
  rc = parse_content (d, json, &found, reason, reason_size);
  if (rc == BD_OK && !bd_chunk_equal (found, name))
    {
      rc = BD_ERR_CONTRACT;
      snprintf (reason, reason_size, "%s %.*s: field %s: is not %.*s",
                kind == BD_DOCUMENT_POOL ? "pool" : "workspace",
                (int)found.length, found.data,
                kind == BD_DOCUMENT_POOL ? "pool" : "workspace",
                (int)name.length, name.data);
    }
  if (rc == BD_OK)
    {
      d->hash = bd_chunk_hash (json);
      d->text.data = bd_chunk_copy (json);
      d->text.length = json.length;
      rc = d->text.data ? BD_OK : BD_ERR_NOMEM;
    }
  if (rc != BD_OK)
    {
      document_destroy (d);
      return rc;
    }
  *document = d;
  return BD_OK;
}

struct bd_document *
bd_document_acquire (struct bd_document *document)
{
  atomic_fetch_add_explicit (&document->references, 1, memory_order_relaxed);
  return document;
}

void
bd_document_release (struct bd_document *document)
{
  if (!document)
    return;
  if (atomic_fetch_sub_explicit (&document->references, 1,
                                 memory_order_acq_rel)
      == 1)
    document_destroy (document);
}
