#include "common/string.h"
#include "configuration/config.h"
#include "naive_config.h"

#include <pthread.h>
#include <string.h>

#define WORKSPACES 4
#define POOLS 2
#define DOCUMENTS 40
#define HISTORIES 3000
#define SUBMISSIONS 60

static int
submit (struct bd_config *config, const struct naive_document *d)
{
  char reason[300];

  return bd_config_submit (config, bd_chunk_of (d->name),
                           bd_chunk_of (d->json), reason, sizeof reason);
}

static int
submit_and_free (struct bd_config *config, struct naive_document *d)
{
  int rc = submit (config, d);

  naive_document_free (d);
  return rc;
}

static GHashTable *
new_name_table (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

/* Makes a manifest from pairs of a name and a revision, ended by NULL. */
static struct naive_document *
make_manifest (guint64 revision, const char *name, ...)
{
  GHashTable *names = new_name_table ();
  va_list args;

  va_start (args, name);
  for (; name; name = va_arg (args, const char *))
    g_hash_table_insert (names, g_strdup (name),
                         GINT_TO_POINTER (va_arg (args, int)));
  va_end (args);
  return naive_manifest (revision, 0, names);
}

static char *
document_name (int i)
{
  if (i < WORKSPACES)
    return g_strdup_printf ("contract/w%d", i);
  return g_strdup_printf ("pool/p%d", i - WORKSPACES);
}

static struct naive_document *
random_document (GRand *rand)
{
  int kind = g_rand_int_range (rand, 0, 10);
  int variant = g_rand_int_range (rand, 0, 2);
  char name[8];
  GHashTable *names;

  if (kind < 5)
    {
      g_snprintf (name, sizeof name, "w%d",
                  g_rand_int_range (rand, 0, WORKSPACES));
      return naive_contract (name, (guint64)g_rand_int_range (rand, 1, 6),
                             variant, kind == 0);
    }
  if (kind < 7)
    {
      g_snprintf (name, sizeof name, "p%d", g_rand_int_range (rand, 0, POOLS));
      return naive_pool (name, (guint64)g_rand_int_range (rand, 1, 6), variant,
                         2);
    }
  names = new_name_table ();
  for (int i = 0; i < WORKSPACES + POOLS; i++)
    if (g_rand_int_range (rand, 0, 4) > 0)
      g_hash_table_insert (names, document_name (i),
                           GINT_TO_POINTER (g_rand_int_range (rand, 1, 6)));
  return naive_manifest ((guint64)g_rand_int_range (rand, 1, 12), variant,
                         names);
}

static GPtrArray *
random_documents (GRand *rand)
{
  GPtrArray *documents = g_ptr_array_new_with_free_func (naive_document_free);

  for (int i = 0; i < DOCUMENTS; i++)
    g_ptr_array_add (documents, random_document (rand));
  return documents;
}

static void
add_name (void *context, struct bd_chunk name)
{
  char *key = g_strndup (name.data, name.length);

  g_assert_true (g_hash_table_add (context, key));
}

/* Compares all queries with the naive implementation.  Returns the state as
   text. */
static char *
compare_with_naive (struct bd_config *config, struct naive_config *naive)
{
  GHashTable *missing = new_name_table ();
  struct bd_config_snapshot *view = bd_config_snapshot (config);
  const struct naive_document *m = naive_config_get (naive, "manifest");
  GString *state = g_string_new (m ? m->json : "");
  size_t contracts = 0;

  g_assert_cmpuint (bd_config_revision (config), ==, m ? m->revision : 0);
  bd_config_visit_outdated (config, add_name, missing);
  for (int i = 0; i < WORKSPACES + POOLS; i++)
    {
      char *name = document_name (i);
      const struct naive_document *d = naive_config_get (naive, name);
      struct bd_chunk text = bd_config_document (config, bd_chunk_of (name));
      struct bd_chunk rest = bd_chunk_of (strchr (name, '/') + 1);

      g_assert_true (bd_chunk_equal (text, bd_chunk_of (d ? d->json : "")));
      g_assert_cmpint (g_hash_table_contains (missing, name), ==,
                       naive_config_outdated (naive, name));
      if (i < WORKSPACES)
        {
          const struct bd_contract *c = bd_config_find_contract (view, rest);

          g_assert_cmpuint (c ? c->revision : 0, ==, d ? d->revision : 0);
          g_assert_true (bd_config_find_credential (view, rest) == c);
          contracts += c ? 1 : 0;
        }
      else
        {
          const struct bd_pool *p = bd_config_find_pool (view, rest);

          g_assert_cmpuint (p ? p->revision : 0, ==, d ? d->revision : 0);
        }
      g_string_append_printf (state, "|%s", d ? d->json : "");
      g_free (name);
    }
  g_assert_cmpuint (view->contract_count, ==, contracts);
  bd_config_snapshot_release (view);
  g_hash_table_destroy (missing);
  return g_string_free (state, FALSE);
}

/* Equal states must have equal digests.  The test compares the digests of
   different states at its end. */
static void
check_digest (GHashTable *digests, char *state, guint64 digest)
{
  guint64 *known = g_hash_table_lookup (digests, state);

  if (known)
    g_assert_cmpuint (*known, ==, digest);
  else
    g_hash_table_insert (digests, g_strdup (state),
                         g_memdup2 (&digest, sizeof digest));
  g_free (state);
}

static void
test_differential (void)
{
  GRand *rand = g_rand_new_with_seed (21);
  GHashTable *digests
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  GHashTable *distinct;
  GHashTableIter i;
  gpointer digest;

  for (int h = 0; h < HISTORIES; h++)
    {
      GPtrArray *documents = random_documents (rand);
      struct bd_config *config = bd_config_create ();
      struct naive_config *naive = naive_config_create ();

      for (int o = 0; o < SUBMISSIONS; o++)
        {
          const struct naive_document *d
              = documents->pdata[g_rand_int_range (rand, 0, DOCUMENTS)];
          struct bd_chunk name = bd_chunk_of (d->name);
          bool wants
              = bd_config_would_accept (config, name, d->revision,
                                        bd_chunk_hash (bd_chunk_of (d->json)));
          int rc = naive_config_submit (naive, d);

          if (!d->bad)
            g_assert_cmpint (wants, ==, rc == BD_OK);
          g_assert_cmpint (submit (config, d), ==, rc);
          check_digest (digests, compare_with_naive (config, naive),
                        bd_config_digest (config));
        }
      naive_config_destroy (naive);
      bd_config_destroy (config);
      g_ptr_array_free (documents, TRUE);
    }
  distinct = g_hash_table_new (g_int64_hash, g_int64_equal);
  g_hash_table_iter_init (&i, digests);
  while (g_hash_table_iter_next (&i, NULL, &digest))
    g_assert_true (g_hash_table_add (distinct, digest));
  g_assert_cmpuint (g_hash_table_size (distinct), >, HISTORIES);
  g_hash_table_destroy (distinct);
  g_hash_table_destroy (digests);
  g_rand_free (rand);
}

/* The same documents, submitted twice in any order, give the same state. */
static void
test_any_order (void)
{
  GRand *rand = g_rand_new_with_seed (22);

  for (int h = 0; h < 500; h++)
    {
      GPtrArray *documents = random_documents (rand);
      guint64 digest = 0;

      for (int order = 0; order < 5; order++)
        {
          struct bd_config *config = bd_config_create ();

          for (guint i = documents->len - 1; i > 0; i--)
            {
              guint j = (guint)g_rand_int_range (rand, 0, (gint32)i + 1);
              gpointer swap = documents->pdata[i];

              documents->pdata[i] = documents->pdata[j];
              documents->pdata[j] = swap;
            }
          for (guint i = 0; i < 2 * documents->len; i++)
            submit (config, documents->pdata[i % documents->len]);
          if (order > 0)
            g_assert_cmpuint (bd_config_digest (config), ==, digest);
          digest = bd_config_digest (config);
          bd_config_destroy (config);
        }
      g_ptr_array_free (documents, TRUE);
    }
  g_rand_free (rand);
}

/* Documents that must be rejected, with the expected reason. */
static const struct
{
  const char *name;
  const char *json;
  int rc;
  const char *reason;
} rejected[] = {
  { "manifest", "{\"revision\":3,\"contracts\":{},\"pools\":{}}",
    BD_ERR_CONTRACT, "manifest : field entries: is missing" },
  { "manifest",
    "{\"revision\":3,\"contracts\":{\"a/b\":1},\"pools\":{},\"entries\":[]}",
    BD_ERR_CONTRACT, "manifest : field contracts.a/b: is not a valid name" },
  { "manifest",
    "{\"revision\":3,\"contracts\":{},\"pools\":{\"p\":0},\"entries\":[]}",
    BD_ERR_CONTRACT,
    "manifest : field pools.p: is not a revision of 1 or more" },
  { "manifest",
    "{\"revision\":3,\"contracts\":{},\"pools\":{},\"entries\":[{\"instance\":"
    "\"e\",\"address\":\"127.0.0.1:1\",\"zone\":\"z\",\"checks_fencing\":"
    "true}]}",
    BD_ERR_CONTRACT,
    "manifest : field entries[0].checks_fencing: is unknown" },
  { "contract/w", "{\"workspace\":\"other\"}", BD_ERR_CONTRACT,
    "workspace other: field revision: is missing" },
  { "contract/none", "{}", BD_ERR_NOT_FOUND, "" },
  { "contracts/w", "{}", BD_ERR_NOT_FOUND, "" },
  { "pool/", "{}", BD_ERR_NOT_FOUND, "" },
  { "pool/p",
    "{\"pool\":\"p\",\"revision\":1,\"kind\":\"batch\",\"runners\":[]}",
    BD_ERR_CONTRACT, "pool p: field kind: is not \"model\" or \"service\"" },
  { "pool/p",
    "{\"pool\":\"q\",\"revision\":1,\"kind\":\"model\",\"runners\":[]}",
    BD_ERR_CONTRACT, "pool q: field pool: is not p" },
  { "pool/p",
    "{\"pool\":\"p\",\"revision\":1,\"kind\":\"model\",\"runners\":[{"
    "\"instance\":\"r\",\"address\":\"127.0.0.1:1\",\"zone\":\"z\"},{"
    "\"instance\":\"r\",\"address\":\"127.0.0.1:2\",\"zone\":\"z\"}]}",
    BD_ERR_CONTRACT, "pool p: field runners: instance r is listed twice" },
};

static const struct
{
  const char *address;
  bool valid;
} addresses[] = {
  { "127.0.0.1:7101", true },
  { "[::1]:65535", true },
  { "127.0.0.1:0", false },
  { "127.0.0.1:65536", false },
  { "127.0.0.1:", false },
  { "127.0.0.1", false },
  { "localhost:80", false },
  { "::1:80", false },
  { "[::1:80", false },
  { "127.0.0.1:+80", false },
  { "127.0.0.1:000080", false },
  { "", false },
  { ":80", false },
  { "[]:80", false },
  { "[1111:2222:3333:4444:5555:6666:7777:8888:9999:aaaa:bbbb]:80", false },
};

static void
test_refused (void)
{
  struct bd_config *config = bd_config_create ();

  g_assert_cmpint (submit_and_free (config, make_manifest (2, "contract/w", 1,
                                                           "pool/p", 1, NULL)),
                   ==, BD_OK);
  for (size_t i = 0; i < G_N_ELEMENTS (rejected); i++)
    {
      char reason[300];
      int rc = bd_config_submit (config, bd_chunk_of (rejected[i].name),
                                 bd_chunk_of (rejected[i].json), reason,
                                 sizeof reason);

      g_assert_cmpint (rc, ==, rejected[i].rc);
      g_assert_cmpstr (reason, ==, rejected[i].reason);
    }
  for (size_t i = 0; i < G_N_ELEMENTS (addresses); i++)
    {
      struct naive_document d = { .name = "pool/p" };

      d.json = g_strdup_printf (
          "{\"pool\":\"p\",\"revision\":%zu,\"kind\":\"service\",\"runners\":"
          "[{\"instance\":\"r\",\"address\":\"%s\",\"zone\":\"z\"}]}",
          i + 1, addresses[i].address);
      g_assert_cmpint (submit (config, &d), ==,
                       addresses[i].valid ? BD_OK : BD_ERR_CONTRACT);
      g_free (d.json);
    }
  bd_config_destroy (config);
}

/* A document that is deleted and listed again must not return to an earlier
   revision than before. */
static void
test_deleted_and_named_again (void)
{
  struct bd_config *config = bd_config_create ();

  submit_and_free (config, make_manifest (1, "contract/w", 4, NULL));
  g_assert_cmpint (submit_and_free (config, naive_contract ("w", 4, 0, false)),
                   ==, BD_OK);
  submit_and_free (config, make_manifest (2, NULL));
  g_assert_cmpint (submit_and_free (config, naive_contract ("w", 5, 0, false)),
                   ==, BD_ERR_NOT_FOUND);
  submit_and_free (config, make_manifest (3, "contract/w", 6, NULL));
  g_assert_cmpint (submit_and_free (config, naive_contract ("w", 3, 0, false)),
                   ==, BD_ERR_STALE);
  g_assert_cmpint (submit_and_free (config, naive_contract ("w", 4, 0, false)),
                   ==, BD_OK);
  g_assert_cmpint (submit_and_free (config, naive_contract ("w", 6, 0, false)),
                   ==, BD_OK);
  bd_config_destroy (config);
}

static struct naive_document *
make_large_manifest (guint64 revision, int count)
{
  GHashTable *names = new_name_table ();

  for (int i = 0; i < count; i++)
    g_hash_table_insert (names,
                         g_strdup_printf ("contract/w%d-%d", (int)revision, i),
                         GINT_TO_POINTER (2));
  return naive_manifest (revision, 0, names);
}

/* The number of remembered deleted names is bounded; the latest are kept. */
static void
test_tombstones_are_bounded (void)
{
  struct bd_config *config = bd_config_create ();

  for (guint64 r = 1; r <= 4; r++)
    {
      g_assert_cmpint (submit_and_free (config, make_large_manifest (r, 600)),
                       ==, BD_OK);
      for (int i = 0; i < 600; i++)
        {
          char *w = g_strdup_printf ("w%d-%d", (int)r, i);

          g_assert_cmpint (
              submit_and_free (config, naive_contract (w, 2, 0, false)), ==,
              BD_OK);
          g_free (w);
        }
    }
  submit_and_free (config,
                   make_manifest (5, "contract/w1-0", 9, "contract/w3-0", 9,
                                  "contract/w4-0", 9, NULL));
  g_assert_cmpint (
      submit_and_free (config, naive_contract ("w1-0", 1, 0, false)), ==,
      BD_OK);
  g_assert_cmpint (
      submit_and_free (config, naive_contract ("w3-0", 1, 0, false)), ==,
      BD_ERR_STALE);
  g_assert_cmpint (
      submit_and_free (config, naive_contract ("w4-0", 1, 0, false)), ==,
      BD_ERR_STALE);
  bd_config_destroy (config);
}

static void
test_credentials (void)
{
  struct bd_config *config = bd_config_create ();
  struct bd_config_snapshot *view;
  struct naive_document *b = naive_contract ("b", 1, 0, false);

  /* The contract "b" contains the credential of "a" as well. */
  g_free (b->json);
  b->json = g_strdup_printf (
      "{\"workspace\":\"b\",\"revision\":1,\"default_class\":\"x\","
      "\"retry_window_s\":1,\"credentials\":[\"%s\",\"%s\"],\"limits\":{"
      "\"requests_per_s\":1,\"tokens_per_s\":1,\"concurrency\":1},\"classes\":"
      "{\"x\":{\"tier\":0,\"first_token_ms\":1,\"token_gap_ms\":1,"
      "\"deadline_ms\":1,\"idempotent\":true,\"max_output_tokens\":1}}}",
      "ca978112ca1bbdcafac231b39a23dc4da786eff8147c4e72b9807785afee48bb",
      "3e23e8160039594a33894f6564e1b1348bbd7a0088d42c4acb73eeaed59c009d");
  submit_and_free (config,
                   make_manifest (1, "contract/a", 1, "contract/b", 1, NULL));
  g_assert_cmpint (submit_and_free (config, naive_contract ("a", 1, 0, false)),
                   ==, BD_OK);
  view = bd_config_snapshot (config);
  g_assert_nonnull (bd_config_find_credential (view, BD_CHUNK ("a")));
  g_assert_null (bd_config_find_credential (view, BD_CHUNK ("b")));
  g_assert_null (bd_config_find_credential (view, BD_CHUNK ("")));
  bd_config_snapshot_release (view);
  g_assert_cmpint (submit_and_free (config, b), ==, BD_OK);
  view = bd_config_snapshot (config);
  g_assert_null (bd_config_find_credential (view, BD_CHUNK ("a")));
  g_assert_true (bd_config_find_credential (view, BD_CHUNK ("b"))
                 == view->contracts[1]);
  bd_config_snapshot_release (view);
  bd_config_destroy (config);
}

/*
 * Passes one snapshot at a time to the reader.  Uses POSIX locks because
 * ThreadSanitizer does not see those of GLib.
 */
struct snapshot_slot
{
  pthread_mutex_t lock;
  pthread_cond_t changed;
  struct bd_config_snapshot *view;
  bool done;
};

static struct bd_config_snapshot *
take_snapshot (struct snapshot_slot *h)
{
  struct bd_config_snapshot *view;

  pthread_mutex_lock (&h->lock);
  while (!h->view && !h->done)
    pthread_cond_wait (&h->changed, &h->lock);
  view = h->view;
  h->view = NULL;
  pthread_cond_signal (&h->changed);
  pthread_mutex_unlock (&h->lock);
  return view;
}

static void
pass_snapshot (struct snapshot_slot *h, struct bd_config_snapshot *view)
{
  pthread_mutex_lock (&h->lock);
  while (h->view)
    pthread_cond_wait (&h->changed, &h->lock);
  h->view = view;
  h->done = !view;
  pthread_cond_signal (&h->changed);
  pthread_mutex_unlock (&h->lock);
}

static void *
read_snapshots (void *slot)
{
  struct bd_config_snapshot *view;
  guint64 last = 0;

  while ((view = take_snapshot (slot)))
    {
      const struct bd_contract *c
          = bd_config_find_credential (view, BD_CHUNK ("w"));

      g_assert_cmpuint (c->revision, >, last);
      g_assert_cmpuint (view->pools[0]->runner_count, ==, c->revision);
      last = c->revision;
      bd_config_snapshot_release (view);
    }
  return NULL;
}

/* A reader on another thread can use a snapshot after the owner has replaced
   the documents. */
static void
test_snapshots_outlive (void)
{
  struct bd_config *config = bd_config_create ();
  struct snapshot_slot h = { .lock = PTHREAD_MUTEX_INITIALIZER,
                             .changed = PTHREAD_COND_INITIALIZER };
  pthread_t reader;

  g_assert_cmpint (pthread_create (&reader, NULL, read_snapshots, &h), ==, 0);
  submit_and_free (config,
                   make_manifest (1, "contract/w", 1, "pool/p", 1, NULL));
  for (int r = 1; r <= 200; r++)
    {
      submit_and_free (config, naive_contract ("w", (guint64)r, 0, false));
      submit_and_free (config, naive_pool ("p", (guint64)r, 0, r));
      pass_snapshot (&h, bd_config_snapshot (config));
    }
  bd_config_destroy (config);
  pass_snapshot (&h, NULL);
  pthread_join (reader, NULL);
}

/* The planned size: 260 contracts and four pools of 3000 runners. */
static void
test_planned_size (void)
{
  struct bd_config *config = bd_config_create ();
  GHashTable *names = new_name_table ();
  struct bd_config_snapshot *view;

  for (int i = 0; i < 264; i++)
    g_hash_table_insert (names,
                         i < 260 ? g_strdup_printf ("contract/w%d", i)
                                 : g_strdup_printf ("pool/p%d", i - 260),
                         GINT_TO_POINTER (1));
  submit_and_free (config, naive_manifest (1, 0, names));
  for (int i = 0; i < 264; i++)
    {
      char *name = g_strdup_printf (i < 260 ? "w%d" : "p%d", i % 260);

      g_assert_cmpint (
          submit_and_free (config, i < 260 ? naive_contract (name, 1, 0, false)
                                           : naive_pool (name, 1, 0, 3000)),
          ==, BD_OK);
      g_free (name);
    }
  view = bd_config_snapshot (config);
  g_assert_cmpuint (view->contract_count, ==, 260);
  g_assert_cmpuint (view->pool_count, ==, 4);
  for (size_t i = 1; i < 3000; i++)
    g_assert_cmpint (bd_chunk_compare (view->pools[3]->runners[i - 1].instance,
                                       view->pools[3]->runners[i].instance),
                     <, 0);
  bd_config_snapshot_release (view);
  bd_config_destroy (config);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/config/differential", test_differential);
  g_test_add_func ("/config/any-order", test_any_order);
  g_test_add_func ("/config/rejected", test_refused);
  g_test_add_func ("/config/deleted-and-listed-again",
                   test_deleted_and_named_again);
  g_test_add_func ("/config/many-deleted", test_tombstones_are_bounded);
  g_test_add_func ("/config/credentials", test_credentials);
  g_test_add_func ("/config/snapshots-outlive", test_snapshots_outlive);
  g_test_add_func ("/config/size", test_planned_size);
  return g_test_run ();
}
