#include "configuration/config_document.h"

#include "common/string.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

/* Marks a credential that several contracts contain. */
#define AMBIGUOUS_CONTRACT (UINT32_MAX - 1)

/* A slot of the open-addressing hash table of credentials. */
struct credential_slot
{
  const char *hex;   /* NULL: free. */
  uint32_t contract; /* Index of the contract, or AMBIGUOUS_CONTRACT. */
};

struct snapshot
{
  struct bd_config_snapshot view; /* Public part; must be the first member. */
  struct bd_document **documents;
  size_t document_count;
  struct credential_slot *credentials;
  size_t credential_mask;
};

static uint64_t
hash_credential (const char *hex)
{
  struct bd_chunk c = { .data = hex, .length = BD_CREDENTIAL_HEX_LENGTH };

  return bd_chunk_hash (c);
}

/* Returns the slot of HEX, or the free slot where to insert it. */
static struct credential_slot *
find_credential_slot (const struct snapshot *s, const char *hex)
{
  size_t i = hash_credential (hex) & s->credential_mask;

  while (
      s->credentials[i].hex
      && sodium_memcmp (s->credentials[i].hex, hex, BD_CREDENTIAL_HEX_LENGTH)
             != 0)
    i = (i + 1) & s->credential_mask;
  return &s->credentials[i];
}

static int
index_credentials (struct snapshot *s)
{
  size_t count = 0;
  size_t size = 2;

  for (size_t i = 0; i < s->view.contract_count; i++)
    count += s->view.contracts[i]->credential_count;
  while (size < 2 * count)
    size *= 2;
  s->credentials = calloc (size, sizeof *s->credentials);
  if (!s->credentials)
    return BD_ERR_NOMEM;
  s->credential_mask = size - 1;
  for (size_t i = 0; i < s->view.contract_count; i++)
    for (size_t j = 0; j < s->view.contracts[i]->credential_count; j++)
      {
        const char *hex = s->view.contracts[i]->credentials[j];
        struct credential_slot *slot = find_credential_slot (s, hex);

        slot->contract = slot->hex ? AMBIGUOUS_CONTRACT : (uint32_t)i;
        slot->hex = hex;
      }
  return BD_OK;
}

static void
view_add (struct bd_config_snapshot *view, const struct bd_document *d)
{
  if (d->kind == BD_DOCUMENT_CONTRACT)
    view->contracts[view->contract_count++] = d->content.contract;
  else if (d->kind == BD_DOCUMENT_POOL)
    view->pools[view->pool_count++] = d->content.pool;
  else
    {
      view->manifest_revision = d->content.manifest->revision;
      view->entry_count = d->content.manifest->entry_count;
      view->entries = d->content.manifest->entries;
    }
}

static void
snapshot_destroy (struct snapshot *s)
{
  for (size_t i = 0; i < s->document_count; i++)
    bd_document_release (s->documents[i]);
  free (s->documents);
  free ((void *)s->view.contracts);
  free ((void *)s->view.pools);
  free (s->credentials);
  free (s);
}

struct bd_config_snapshot *
bd_snapshot_create (struct bd_document **documents, size_t count)
{
  struct snapshot *s = calloc (1, sizeof *s);

  if (!s)
    {
      for (size_t i = 0; i < count; i++)
        bd_document_release (documents[i]);
      free (documents);
      return NULL;
    }
  s->documents = documents;
  s->document_count = count;
  s->view.contracts = calloc (count + 1, sizeof (struct bd_contract *));
  s->view.pools = calloc (count + 1, sizeof (struct bd_pool *));
  if (!s->view.contracts || !s->view.pools)
    {
      snapshot_destroy (s);
      return NULL;
    }
  for (size_t i = 0; i < count; i++)
    view_add (&s->view, documents[i]);
  if (index_credentials (s) == BD_OK)
    return &s->view;
  snapshot_destroy (s);
  return NULL;
}

void
bd_config_snapshot_release (struct bd_config_snapshot *snapshot)
{
  if (snapshot)
    snapshot_destroy ((struct snapshot *)snapshot);
}

const struct bd_contract *
bd_config_find_contract (const struct bd_config_snapshot *snapshot,
                         struct bd_chunk workspace)
{
  size_t low = 0;
  size_t high = snapshot->contract_count;

  while (low < high)
    {
      size_t middle = low + (high - low) / 2;
      const struct bd_contract *c = snapshot->contracts[middle];
      int order = bd_chunk_compare (c->workspace, workspace);

      if (order == 0)
        return c;
      if (order > 0)
        high = middle;
      else
        low = middle + 1;
    }
  return NULL;
}

const struct bd_contract *
bd_config_find_credential (const struct bd_config_snapshot *snapshot,
                           struct bd_chunk secret)
{
  const struct snapshot *s = (const struct snapshot *)snapshot;
  unsigned char hash[crypto_hash_sha256_BYTES];
  char hex[BD_CREDENTIAL_HEX_LENGTH + 1];
  const struct credential_slot *slot;

  if (secret.length == 0)
    return NULL;
  crypto_hash_sha256 (hash, (const unsigned char *)secret.data, secret.length);
  sodium_bin2hex (hex, sizeof hex, hash, sizeof hash);
  slot = find_credential_slot (s, hex);
  if (!slot->hex || slot->contract == AMBIGUOUS_CONTRACT)
    return NULL;
  return snapshot->contracts[slot->contract];
}

const struct bd_pool *
bd_config_find_pool (const struct bd_config_snapshot *snapshot,
                     struct bd_chunk name)
{
  size_t low = 0;
  size_t high = snapshot->pool_count;

  while (low < high)
    {
      size_t middle = low + (high - low) / 2;
      const struct bd_pool *p = snapshot->pools[middle];
      int order = bd_chunk_compare (p->name, name);

      if (order == 0)
        return p;
      if (order > 0)
        high = middle;
      else
        low = middle + 1;
    }
  return NULL;
}
