/* Simulation in virtual time of daemons that exchange documents over a lossy
   network. */
#include "common/string.h"
#include "configuration/config.h"
#include "naive_config.h"

#include <string.h>

#define DAEMONS 10
#define NAMES 6
#define FLEETS 300
#define STEP_MS 10
#define RUN_STEPS 3000
#define SETTLE_STEPS 2000
#define DELAY_MAX_STEPS 50
#define LOSS_PERCENT 20
#define DUPLICATE_PERCENT 10
#define VERSIONS_MAX 400

enum kind
{
  LIST_ITEM, /* Name, revision and hash of a document of the sender. */
  WANT,      /* Requests a document. */
  DOCUMENT
};

struct message
{
  enum kind kind;
  int from;
  int to;
  char *name;
  guint64 revision;
  guint64 hash;
  char *json;
};

struct daemon
{
  struct bd_config *config;
  int side;                        /* Side of a network partition. */
  guint64 last_seen[NAMES + 1][2]; /* Last active: revision and hash. */
  bool had_document[NAMES + 1];
};

/* Content of the configuration service after one change. */
struct version
{
  struct naive_document *documents[NAMES + 1]; /* The manifest is last. */
};

struct fleet
{
  GRand *rand;
  struct daemon daemons[DAEMONS];
  GPtrArray *inbox[DELAY_MAX_STEPS + 1]; /* By step of arrival. */
  int step;
  GPtrArray *documents; /* All that were ever published. */
  struct version versions[VERSIONS_MAX];
  int last_version; /* Latest published version. */
  int served_version;
  bool down;
  bool split;
  int watchers[2];
};

static char *const names[NAMES + 1]
    = { "contract/w0", "contract/w1", "contract/w2", "contract/w3",
        "pool/p0",     "pool/p1",     "manifest" };

static bool
with_probability (struct fleet *f, int percent)
{
  return g_rand_int_range (f->rand, 0, 100) < percent;
}

static void
message_free (gpointer data)
{
  struct message *m = data;

  g_free (m->name);
  g_free (m->json);
  g_free (m);
}

static void
send_message (struct fleet *f, enum kind kind, int from, int to,
              struct bd_chunk name, guint64 revision, guint64 hash,
              struct bd_chunk json)
{
  if (f->split && f->daemons[from].side != f->daemons[to].side)
    return;
  for (int copies = with_probability (f, DUPLICATE_PERCENT) ? 2 : 1;
       copies > 0; copies--)
    {
      int at = (f->step + g_rand_int_range (f->rand, 1, DELAY_MAX_STEPS))
               % (DELAY_MAX_STEPS + 1);
      struct message *m;

      if (with_probability (f, LOSS_PERCENT))
        continue;
      m = g_new0 (struct message, 1);
      m->kind = kind;
      m->from = from;
      m->to = to;
      m->name = g_strndup (name.data, name.length);
      m->revision = revision;
      m->hash = hash;
      m->json = g_strndup (json.data, json.length);
      g_ptr_array_add (f->inbox[at], m);
    }
}

/* While a daemon runs, no document returns to an older revision, whatever is
   submitted. */
static void
check_no_rollback (struct daemon *d)
{
  for (int i = 0; i <= NAMES; i++)
    {
      struct bd_chunk text
          = bd_config_document (d->config, bd_chunk_of (names[i]));
      guint64 hash = bd_chunk_hash (text);
      guint64 revision = 0;
      const char *field;

      if (text.length == 0)
        {
          d->had_document[i] = false;
          continue;
        }
      field = strstr (text.data, "\"revision\":");
      revision = g_ascii_strtoull (field + 11, NULL, 10);
      g_assert_cmpuint (revision, >=, d->last_seen[i][0]);
      if (d->had_document[i] && revision == d->last_seen[i][0])
        g_assert_cmpuint (hash, >=, d->last_seen[i][1]);
      g_assert_null (strstr (text.data, "\"tier\":9"));
      d->last_seen[i][0] = revision;
      d->last_seen[i][1] = hash;
      d->had_document[i] = true;
    }
}

static void
daemon_offer (struct daemon *d, const char *name, const char *json)
{
  char reason[300];

  bd_config_submit (d->config, bd_chunk_of (name), bd_chunk_of (json), reason,
                    sizeof reason);
  check_no_rollback (d);
}

struct list_context
{
  struct fleet *fleet;
  int from;
  int to;
};

static void
send_list_item (void *context, struct bd_chunk name, uint64_t revision,
                uint64_t hash)
{
  struct list_context *t = context;

  send_message (t->fleet, LIST_ITEM, t->from, t->to, name, revision, hash,
                BD_CHUNK (""));
}

static void
receive (struct fleet *f, const struct message *m)
{
  struct daemon *d = &f->daemons[m->to];
  struct bd_chunk name = bd_chunk_of (m->name);
  struct bd_chunk text;

  if (m->kind == DOCUMENT)
    daemon_offer (d, m->name, m->json);
  else if (m->kind == LIST_ITEM)
    {
      if (bd_config_would_accept (d->config, name, m->revision, m->hash))
        send_message (f, WANT, m->to, m->from, name, 0, 0, BD_CHUNK (""));
    }
  else
    {
      text = bd_config_document (d->config, name);
      if (text.length > 0)
        send_message (f, DOCUMENT, m->to, m->from, name, 0, 0, text);
    }
}

static int
name_index (struct bd_chunk name)
{
  for (int i = 0; i <= NAMES; i++)
    if (bd_chunk_equal (name, bd_chunk_of (names[i])))
      return i;
  g_assert_not_reached ();
}

struct read_context
{
  struct fleet *fleet;
  bool wanted[NAMES + 1];
};

static void
add_wanted (void *context, struct bd_chunk name)
{
  ((struct read_context *)context)->wanted[name_index (name)] = true;
}

static void
read_service (struct fleet *f, struct daemon *d)
{
  struct version *v = &f->versions[f->served_version];
  struct read_context reading = { .fleet = f };

  if (f->down)
    return;
  daemon_offer (d, "manifest", v->documents[NAMES]->json);
  bd_config_visit_outdated (d->config, add_wanted, &reading);
  for (int i = 0; i < NAMES; i++)
    if (reading.wanted[i] && v->documents[i])
      daemon_offer (d, names[i], v->documents[i]->json);
}

static struct naive_document *
make_document (struct fleet *f, int i, guint64 revision)
{
  int variant = g_rand_int_range (f->rand, 0, 3);
  const char *rest = strchr (names[i], '/') + 1;
  struct naive_document *d = g_str_has_prefix (names[i], "contract/")
                                 ? naive_contract (rest, revision, variant,
                                                   with_probability (f, 10))
                                 : naive_pool (rest, revision, variant, 3);

  g_ptr_array_add (f->documents, d);
  return d;
}

/* Changes, deletes or restores one document, or publishes another text under
   its revision. */
static void
publish (struct fleet *f)
{
  struct version *v = &f->versions[f->last_version + 1];
  int i = g_rand_int_range (f->rand, 0, NAMES);
  guint64 revision = (guint64)f->last_version + 2;
  GHashTable *named = g_hash_table_new (g_str_hash, g_str_equal);

  if (f->last_version + 1 == VERSIONS_MAX)
    return;
  if (f->last_version >= 0)
    *v = f->versions[f->last_version];
  if (v->documents[i] && with_probability (f, 15))
    v->documents[i] = NULL;
  else if (v->documents[i] && with_probability (f, 15))
    v->documents[i] = make_document (f, i, v->documents[i]->revision);
  else
    v->documents[i] = make_document (f, i, revision);
  for (int k = 0; k < NAMES; k++)
    if (v->documents[k])
      g_hash_table_insert (named, names[k],
                           GINT_TO_POINTER (v->documents[k]->revision));
  v->documents[NAMES] = naive_manifest (revision, 0, named);
  g_ptr_array_add (f->documents, v->documents[NAMES]);
  f->last_version++;
}

/* Starts or ends a random fault. */
static void
inject_fault (struct fleet *f)
{
  int index = g_rand_int_range (f->rand, 0, DAEMONS);
  struct daemon *d = &f->daemons[index];

  switch (g_rand_int_range (f->rand, 0, 5))
    {
    case 0:
      f->served_version = g_rand_int_range (f->rand, 0, f->last_version + 1);
      break;
    case 1:
      f->down = !f->down;
      break;
    case 2:
      f->split = !f->split;
      for (int i = 0; i < DAEMONS; i++)
        f->daemons[i].side = g_rand_int_range (f->rand, 0, 2);
      break;
    case 3:
      bd_config_destroy (d->config);
      memset (d, 0, sizeof *d);
      d->config = bd_config_create ();
      break;
    default:
      f->watchers[index % 2] = index;
    }
}

static void
run_one_step (struct fleet *f)
{
  GPtrArray *now = f->inbox[f->step % (DELAY_MAX_STEPS + 1)];

  for (guint i = 0; i < now->len; i++)
    receive (f, now->pdata[i]);
  g_ptr_array_set_size (now, 0);
  for (int i = 0; i < DAEMONS; i++)
    if (with_probability (f, 5))
      {
        struct list_context t = { .fleet = f, .from = i };

        t.to = (i + g_rand_int_range (f->rand, 1, DAEMONS)) % DAEMONS;
        bd_config_visit_active (f->daemons[i].config, send_list_item, &t);
      }
  for (int i = 0; i < 2; i++)
    if (with_probability (f, 10))
      read_service (f, &f->daemons[f->watchers[i]]);
  f->step++;
}

/*
 * True when all daemons have the last manifest and the same text of each
 * document.  A document that was deleted, and whose last revision is invalid,
 * may be absent where the deletion was seen and old where it was not; see
 * config.h.
 */
static bool
converged (struct fleet *f)
{
  struct version *v = &f->versions[f->last_version];

  for (int i = 0; i < DAEMONS; i++)
    {
      struct bd_config *config = f->daemons[i].config;

      if (bd_config_revision (config) != v->documents[NAMES]->revision)
        return false;
      for (int k = 0; k <= NAMES; k++)
        {
          struct bd_chunk name = bd_chunk_of (names[k]);
          struct bd_chunk first
              = bd_config_document (f->daemons[0].config, name);

          if ((!v->documents[k] || !v->documents[k]->bad)
              && !bd_chunk_equal (bd_config_document (config, name), first))
            return false;
        }
    }
  return true;
}

/* Returns the number of steps until all daemons agree. */
static int
wait_for_convergence (struct fleet *f)
{
  struct version *v = &f->versions[f->last_version];
  int start = f->step;

  f->down = false;
  f->split = false;
  f->served_version = f->last_version;
  f->watchers[1] = f->watchers[0];
  while (!converged (f) && f->step < start + SETTLE_STEPS)
    run_one_step (f);
  g_assert_true (converged (f));
  for (int i = 0; i < NAMES; i++)
    {
      struct bd_chunk text
          = bd_config_document (f->daemons[0].config, bd_chunk_of (names[i]));

      if (!v->documents[i])
        g_assert_cmpuint (text.length, ==, 0);
      else if (!v->documents[i]->bad)
        g_assert_cmpuint (f->daemons[0].last_seen[i][0], ==,
                          v->documents[i]->revision);
    }
  return f->step - start;
}

static int
run_fleet (guint32 seed)
{
  struct fleet *f = g_new0 (struct fleet, 1);
  int steps;

  f->rand = g_rand_new_with_seed (seed);
  f->documents = g_ptr_array_new_with_free_func (naive_document_free);
  f->last_version = -1;
  for (int i = 0; i <= DELAY_MAX_STEPS; i++)
    f->inbox[i] = g_ptr_array_new_with_free_func (message_free);
  for (int i = 0; i < DAEMONS; i++)
    f->daemons[i].config = bd_config_create ();
  f->watchers[1] = 1;
  publish (f);
  while (f->step < RUN_STEPS)
    {
      if (with_probability (f, 5))
        publish (f);
      if (with_probability (f, 3))
        f->served_version = f->last_version;
      if (with_probability (f, 2))
        inject_fault (f);
      run_one_step (f);
    }
  steps = wait_for_convergence (f);
  for (int i = 0; i <= DELAY_MAX_STEPS; i++)
    g_ptr_array_free (f->inbox[i], TRUE);
  for (int i = 0; i < DAEMONS; i++)
    bd_config_destroy (f->daemons[i].config);
  g_ptr_array_free (f->documents, TRUE);
  g_rand_free (f->rand);
  g_free (f);
  return steps;
}

static void
test_fleets (void)
{
  int longest = 0;

  for (guint32 seed = 1; seed <= FLEETS; seed++)
    {
      int steps = run_fleet (seed);

      longest = MAX (longest, steps);
    }
  g_test_message ("%d fleets, longest time to converge %d ms", FLEETS,
                  longest * STEP_MS);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/convergence/fleets", test_fleets);
  return g_test_run ();
}
