#include "naive_config.h"

#include "common/string.h"

#include <string.h>

struct naive_config
{
  const struct naive_document *manifest;
  GHashTable *active;      /* Name to active document. */
  GHashTable *last_active; /* Name to last document that was active. */
  GHashTable *rejections;  /* Name to count since the last manifest. */
};

struct naive_config *
naive_config_create (void)
{
  struct naive_config *n = g_new0 (struct naive_config, 1);

  n->active = g_hash_table_new (g_str_hash, g_str_equal);
  n->last_active = g_hash_table_new (g_str_hash, g_str_equal);
  n->rejections = g_hash_table_new (g_str_hash, g_str_equal);
  return n;
}

void
naive_config_destroy (struct naive_config *config)
{
  g_hash_table_destroy (config->active);
  g_hash_table_destroy (config->last_active);
  g_hash_table_destroy (config->rejections);
  g_free (config);
}

int
naive_document_compare (const struct naive_document *a,
                        const struct naive_document *b)
{
  guint64 x = bd_chunk_hash (bd_chunk_of (a->json));
  guint64 y = bd_chunk_hash (bd_chunk_of (b->json));

  if (a->revision != b->revision)
    return a->revision < b->revision ? -1 : 1;
  return (x > y) - (x < y);
}

static guint64
listed_revision (struct naive_config *config, const char *name)
{
  gpointer revision = NULL;

  if (config->manifest)
    revision = g_hash_table_lookup (config->manifest->names, name);
  return GPOINTER_TO_SIZE (revision);
}

static gboolean
not_listed (gpointer name, gpointer document, gpointer config)
{
  (void)document;
  return listed_revision (config, name) == 0;
}

int
naive_config_submit (struct naive_config *config,
                     const struct naive_document *document)
{
  const struct naive_document *old = naive_config_get (config, document->name);
  gpointer count = g_hash_table_lookup (config->rejections, document->name);

  if (!document->names && listed_revision (config, document->name) == 0)
    return BD_ERR_NOT_FOUND;
  if (document->bad)
    {
      g_hash_table_insert (config->rejections, document->name,
                           GINT_TO_POINTER (GPOINTER_TO_INT (count) + 1));
      return BD_ERR_CONTRACT;
    }
  if (old && naive_document_compare (document, old) <= 0)
    return BD_ERR_STALE;
  if (document->names)
    {
      config->manifest = document;
      g_hash_table_remove_all (config->rejections);
      g_hash_table_foreach_remove (config->active, not_listed, config);
      return BD_OK;
    }
  old = g_hash_table_lookup (config->last_active, document->name);
  if (!naive_config_get (config, document->name) && old
      && naive_document_compare (document, old) < 0
      && document->revision < listed_revision (config, document->name))
    return BD_ERR_STALE;
  g_hash_table_insert (config->active, document->name, (gpointer)document);
  g_hash_table_insert (config->last_active, document->name,
                       (gpointer)document);
  return BD_OK;
}

const struct naive_document *
naive_config_get (struct naive_config *config, const char *name)
{
  if (strcmp (name, "manifest") == 0)
    return config->manifest;
  return g_hash_table_lookup (config->active, name);
}

bool
naive_config_outdated (struct naive_config *config, const char *name)
{
  const struct naive_document *held = naive_config_get (config, name);
  gpointer count = g_hash_table_lookup (config->rejections, name);

  return (held ? held->revision : 0) < listed_revision (config, name)
         && GPOINTER_TO_INT (count) < 3;
}

static struct naive_document *
document_new (char *name, guint64 revision, char *json)
{
  struct naive_document *d = g_new0 (struct naive_document, 1);

  d->name = name;
  d->revision = revision;
  d->json = json;
  return d;
}

struct naive_document *
naive_contract (const char *workspace, guint64 revision, int variant, bool bad)
{
  char *hash
      = g_compute_checksum_for_string (G_CHECKSUM_SHA256, workspace, -1);
  char *json = g_strdup_printf (
      "{\"workspace\":\"%s\",\"revision\":%" G_GUINT64_FORMAT
      ",\"default_class\":\"plan\",\"retry_window_s\":600,\"credentials\":"
      "[\"%s\"],\"limits\":{\"requests_per_s\":50,\"tokens_per_s\":20000,"
      "\"concurrency\":100},\"classes\":{\"plan\":{\"tier\":%d,"
      "\"first_token_ms\":1300,\"token_gap_ms\":30,\"deadline_ms\":60000,"
      "\"idempotent\":true,\"max_output_tokens\":512}}}%*s",
      workspace, revision, hash, bad ? 9 : 0, variant, "");
  struct naive_document *d = document_new (
      g_strdup_printf ("contract/%s", workspace), revision, json);

  d->bad = bad;
  g_free (hash);
  return d;
}

struct naive_document *
naive_pool (const char *pool, guint64 revision, int variant, int runners)
{
  GString *s = g_string_new (NULL);

  g_string_printf (s,
                   "{\"pool\":\"%s\",\"revision\":%" G_GUINT64_FORMAT
                   ",\"kind\":\"model\",\"runners\":[",
                   pool, revision);
  for (int i = 0; i < runners; i++)
    g_string_append_printf (s,
                            "%s{\"instance\":\"r-%d\",\"address\":"
                            "\"10.0.%d.%d:7101\",\"zone\":\"bole\"}",
                            i > 0 ? "," : "", i, i / 250 % 250, i % 250);
  g_string_append_printf (s, "]}%*s", variant, "");
  return document_new (g_strdup_printf ("pool/%s", pool), revision,
                       g_string_free (s, FALSE));
}

static void
append_names (GString *s, GHashTable *names, const char *prefix)
{
  GHashTableIter i;
  gpointer name;
  gpointer revision;
  const char *comma = "";

  g_hash_table_iter_init (&i, names);
  while (g_hash_table_iter_next (&i, &name, &revision))
    if (g_str_has_prefix (name, prefix))
      {
        g_string_append_printf (s, "%s\"%s\":%d", comma,
                                (char *)name + strlen (prefix),
                                GPOINTER_TO_INT (revision));
        comma = ",";
      }
}

struct naive_document *
naive_manifest (guint64 revision, int variant, GHashTable *names)
{
  GString *s = g_string_new (NULL);
  struct naive_document *d;

  g_string_printf (s, "{\"revision\":%" G_GUINT64_FORMAT ",\"contracts\":{",
                   revision);
  append_names (s, names, "contract/");
  g_string_append (s, "},\"pools\":{");
  append_names (s, names, "pool/");
  g_string_append_printf (s, "},\"entries\":[]}%*s", variant, "");
  d = document_new (g_strdup ("manifest"), revision, g_string_free (s, FALSE));
  d->names = names;
  return d;
}

void
naive_document_free (gpointer document)
{
  struct naive_document *d = document;

  g_clear_pointer (&d->names, g_hash_table_destroy);
  g_free (d->name);
  g_free (d->json);
  g_free (d);
}
