#include <glib.h>
#include <glib/gstdio.h>
#include <jansson.h>
#include <stdbool.h>
#include <string.h>

/* Ids of two requests.  Cases give them the same or different keys, or none.
 */
#define A "0000000000000000000000000000000a"
#define B "0000000000000000000000000000000b"

#define RECEIPT(id, key, outcome, ran, more)                                  \
  "{\"request\":\"" id "\",\"key\":\"" key "\",\"class\":\"high\","           \
  "\"outcome\":\"" outcome "\",\"ran\":\"" ran "\",\"tokens\":7" more "}\n"
#define WHOLE(id, key) RECEIPT (id, key, "whole", "", "")
#define REFUSED(id, key, ran) RECEIPT (id, key, "refused", ran, "")
#define RUN(id)                                                               \
  "{\"event\":\"start\",\"request\":\"" id "\",\"tokens\":0}\n"               \
  "{\"event\":\"end\",\"request\":\"" id "\",\"tokens\":7}\n"
#define CRASH(id)                                                             \
  "{\"event\":\"start\",\"request\":\"" id "\",\"tokens\":0}\n"               \
  "{\"event\":\"crash\",\"request\":\"" id "\",\"tokens\":3}\n"
#define EVENT(number, id, more)                                               \
  "2026-01-01T00:00:00.000Z x basildockd[1]: BD" number " NAME text"          \
  " request=" id " attempt=1" more "\n"
#define BILL(id) EVENT ("2009", id, " key=0 tokens=7 status=200")

struct check
{
  const char *name;
  const char *receipts;
  const char *runs;
  const char *events;
  const char *field; /* Count of the output that VALUE is compared with. */
  int value;
  bool violation;
};

static const struct check checks[] = {
  { "clean", WHOLE (A, "") REFUSED (B, "", "no"), RUN (A), BILL (A),
    "violations", 0, false },
  { "delivered", WHOLE (A, ""), RUN (A), BILL (A), "tokens_delivered", 7,
    false },
  { "computed-with-crash", WHOLE (A, ""), CRASH (A) RUN (A), BILL (A),
    "tokens_computed", 10, false },
  { "bill-lost", WHOLE (A, ""), RUN (A), "", "whole_not_billed", 1, false },
  { "bill-of-duplicate",
    WHOLE (A, "k") RECEIPT (B, "k", "whole", "", ",\"replay\":true"), RUN (A),
    BILL (B), "whole_not_billed", 0, false },
  { "billed-not-whole", REFUSED (A, "", "unknown"), RUN (A), BILL (A),
    "billed_not_whole", 1, true },
  { "billed-twice", WHOLE (A, ""), RUN (A), BILL (A) BILL (A), "billed_twice",
    1, true },
  { "key-billed-twice",
    WHOLE (A, "k") RECEIPT (B, "k", "whole", "", ",\"replay\":true"), RUN (A),
    BILL (A) BILL (B), "billed_twice", 1, true },
  { "key-ran-twice", WHOLE (A, "k") WHOLE (B, "k"), RUN (A) RUN (B), "",
    "keys_run_twice", 1, true },
  { "key-ran-for-lost-request", WHOLE (A, "k"),
    RUN (A) "{\"event\":\"start\",\"request\":\"" B "\",\"key\":\"k\"}\n", "",
    "keys_run_twice", 1, true },
  { "keys-differ", WHOLE (A, "k") WHOLE (B, "l"), RUN (A) RUN (B), "",
    "keys_run_twice", 0, false },
  { "refused-but-ran", REFUSED (A, "", "no"), CRASH (A), "", "false_refusals",
    1, true },
  { "refused-unknown-ran", REFUSED (A, "", "unknown"), CRASH (A), "",
    "false_refusals", 0, false },
  { "refused-but-key-ran", WHOLE (A, "k") REFUSED (B, "k", "no"), RUN (A), "",
    "false_key_refusals", 1, true },
  { "wrong-text", RECEIPT (A, "", "wrong", "", ""), RUN (A), "", "wrong", 1,
    true },
  { "shed-lowest", WHOLE (A, ""), RUN (A),
    EVENT ("2005", A, " tier=0") EVENT ("2005", B, " tier=2")
        EVENT ("2004", B, " tier=2 for_tier=0"),
    "tier_violations", 0, false },
  { "shed-over-lower", WHOLE (A, ""), RUN (A),
    EVENT ("2005", A, " tier=0") EVENT ("2005", B, " tier=2")
        EVENT ("2004", A, " tier=0 for_tier=0") EVENT ("2006", B, ""),
    "tier_violations", 1, true },
  { "shed-lower-withdrawn", WHOLE (A, ""), RUN (A),
    EVENT ("2005", A, " tier=0") EVENT ("2005", B, " tier=2")
        EVENT ("2004", A, " tier=0 for_tier=0"),
    "tier_violations", 0, false },
  { "shed-after-lower-left", WHOLE (A, ""), RUN (A),
    EVENT ("2005", A, " tier=0") EVENT ("2005", B, " tier=2")
        EVENT ("2006", B, "") EVENT ("2004", A, " tier=0 for_tier=0"),
    "tier_violations", 0, false },
  { "shed-for-lower", WHOLE (A, ""), RUN (A),
    EVENT ("2004", A, " tier=0 for_tier=1"), "tier_violations", 1, true },
  { "refused-over-lower", REFUSED (A, "", "no"), "",
    EVENT ("2005", B, " tier=2") EVENT ("2002", A, " detail=overloaded")
        EVENT ("2006", B, ""),
    "tier_violations", 1, true },
  { "refused-not-overloaded", REFUSED (A, "", "no"), "",
    EVENT ("2005", B, " tier=2") EVENT ("2002", A, " detail=key_ended"),
    "tier_violations", 0, false },
  { "retries", WHOLE (A, ""), RUN (A), EVENT ("2003", A, "") BILL (A),
    "retries", 1, false },
};

static const char program[] = BUILD_DIR "/bench_check";

static char *
write_file (const char *folder, const char *name, const char *text)
{
  char *path = g_build_filename (folder, name, NULL);

  g_assert_true (g_file_set_contents (path, text, -1, NULL));
  return path;
}

static void
test_check (gconstpointer data)
{
  const struct check *c = data;
  char *folder = g_dir_make_tmp ("bench-check-XXXXXX", NULL);
  char *scenario = write_file (
      folder, "scenario", "{\"classes\":[{\"name\":\"high\",\"tier\":0}]}");
  char *receipts = write_file (folder, "receipts", c->receipts);
  char *runs = write_file (folder, "runs", c->runs);
  char *events = write_file (folder, "events", c->events);
  const char *argv[]
      = { program,    "--scenario", scenario, "--receipts", receipts,
          "--engine", runs,         "--log",  events,       NULL };
  char *out = NULL;
  int status = 0;
  json_t *json;

  g_assert_true (g_spawn_sync (NULL, (char **)argv, NULL,
                               G_SPAWN_STDERR_TO_DEV_NULL, NULL, NULL, &out,
                               NULL, &status, NULL));
  json = json_loads (out, 0, NULL);
  g_assert_nonnull (json);
  g_assert_cmpint (json_integer_value (json_object_get (json, c->field)), ==,
                   c->value);
  g_assert_cmpint (json_integer_value (json_object_get (json, "violations")),
                   ==, c->violation ? 1 : 0);
  g_assert_cmpint (status != 0, ==, c->violation);
  json_decref (json);
  g_remove (scenario);
  g_remove (receipts);
  g_remove (runs);
  g_remove (events);
  g_rmdir (folder);
  g_free (scenario);
  g_free (receipts);
  g_free (runs);
  g_free (events);
  g_free (folder);
  g_free (out);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (checks); i++)
    {
      char *name = g_strconcat ("/bench-check/", checks[i].name, NULL);

      g_test_add_data_func (name, &checks[i], test_check);
      g_free (name);
    }
  return g_test_run ();
}
