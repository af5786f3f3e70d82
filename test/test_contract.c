#include "common/string.h"
#include "configuration/contract.h"

#include <glib.h>
#include <string.h>

#define HASH_A                                                                \
  "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
#define HASH_B                                                                \
  "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

static const char valid_contract[]
    = "{\"workspace\":\"gebeya\",\"revision\":3,\"default_class\":\"plan\","
      "\"retry_window_s\":600,\"credentials\":[\"" HASH_A "\",\"" HASH_B "\"],"
      "\"limits\":{\"requests_per_s\":50,\"tokens_per_s\":20000,"
      "\"concurrency\":100},\"classes\":{\"plan\":{\"tier\":0,"
      "\"first_token_ms\":1300,\"token_gap_ms\":30,\"deadline_ms\":60000,"
      "\"idempotent\":true,\"pool\":\"cutplan\",\"min_share_permille\":600,"
      "\"max_output_tokens\":512},\"send\":{\"tier\":3,\"first_token_ms\":1,"
      "\"token_gap_ms\":1,\"deadline_ms\":1,\"idempotent\":false,"
      "\"max_output_tokens\":1,\"min_share_permille\":400}}}";

/* VALID_CONTRACT with FIND replaced by TEXT must be rejected with REASON. */
static const struct
{
  const char *find;
  const char *text;
  const char *reason;
} rejected[] = {
  { "\"workspace\":\"gebeya\",", "",
    "workspace : field workspace: is missing" },
  { "\"gebeya\"", "\"geb eya\"",
    "workspace geb eya: field workspace: is not a name of 1 to 63 letters, "
    "digits, '.', '_' or '-'" },
  { "\"gebeya\"", "\"..\"",
    "workspace ..: field workspace: is not a name of 1 to 63 letters, "
    "digits, '.', '_' or '-'" },
  { "\"gebeya\"", "\"a\\nb\"",
    "workspace a?b: field workspace: is not a name of 1 to 63 letters, "
    "digits, '.', '_' or '-'" },
  { "\"revision\":3", "\"revision\":0",
    "workspace gebeya: field revision: 0 is not in 1..9223372036854775807" },
  { "\"revision\":3", "\"revision\":3.0",
    "workspace gebeya: field revision: is not an integer" },
  { "\"revision\":3", "\"revision\":\"3\"",
    "workspace gebeya: field revision: is not an integer" },
  { "\"plan\",", "\"plam\",",
    "workspace gebeya: field default_class: is not a class of the contract" },
  { "window_s\":600", "window_s\":86401",
    "workspace gebeya: field retry_window_s: 86401 is not in 1..86400" },
  { "window_s\":600", "window_s\":0",
    "workspace gebeya: field retry_window_s: 0 is not in 1..86400" },
  { HASH_B, HASH_A,
    "workspace gebeya: field credentials[1]: repeats credentials[0]" },
  { HASH_B, "0123",
    "workspace gebeya: field credentials[1]: is not a SHA-256 hash in "
    "lower-case hex" },
  { "\"0123456789abcdef", "\"0123456789ABCDEF",
    "workspace gebeya: field credentials[1]: is not a SHA-256 hash in "
    "lower-case hex" },
  { "\"concurrency\":100", "\"concurrency\":0",
    "workspace gebeya: field limits.concurrency: 0 is not in 1..1000000" },
  { ",\"concurrency\":100", "",
    "workspace gebeya: field limits.concurrency: is missing" },
  { "\"tokens_per_s\"", "\"tokens_a_s\"",
    "workspace gebeya: field limits.tokens_per_s: is missing" },
  { "\"limits\":{", "\"limits\":{\"burst\":1,",
    "workspace gebeya: field limits.burst: is unknown" },
  { "\"revision\"", "\"x\":1,\"revision\"",
    "workspace gebeya: field x: is unknown" },
  { "\"revision\"", "\"a\\u0007\\u00e9\":1,\"revision\"",
    "workspace gebeya: field a???: is unknown" },
  { "\"tier\":0", "\"tier\":4",
    "workspace gebeya: field classes.plan.tier: 4 is not in 0..3" },
  { "\"tier\":0", "\"tier\":-1",
    "workspace gebeya: field classes.plan.tier: -1 is not in 0..3" },
  { "\"tier\":0,", "",
    "workspace gebeya: field classes.plan.tier: is missing" },
  { "\"idempotent\":true", "\"idempotent\":1",
    "workspace gebeya: field classes.plan.idempotent: is not true or false" },
  { "\"idempotent\":false,", "",
    "workspace gebeya: field classes.send.idempotent: is missing" },
  { "\"pool\":\"cutplan\"", "\"pool\":\"a/b\"",
    "workspace gebeya: field classes.plan.pool: is not a name of 0 to 63 "
    "letters, digits, '.', '_' or '-'" },
  { "\"pool\":\"cutplan\"", "\"pool\":null",
    "workspace gebeya: field classes.plan.pool: is not a string" },
  { "\"first_token_ms\":1300", "\"first_token_ms\":60001",
    "workspace gebeya: field classes.plan.deadline_ms: 60000 is below "
    "first_token_ms 60001" },
  { "\"min_share_permille\":400", "\"min_share_permille\":401",
    "workspace gebeya: field classes.send.min_share_permille: brings the sum "
    "over classes to 1001, above 1000" },
  { "\"send\":{", "\"se nd\":{",
    "workspace gebeya: field classes.se nd: is not a name of 1 to 63 "
    "letters, digits, '.', '_' or '-'" },
  { "\"send\":{", "\"send\":[],\"other\":{",
    "workspace gebeya: field classes.send: is not an object" },
  { "\"tier\":3", "\"tier\":3,\"tier\":3",
    "workspace : field (line 1, column 495): duplicate object key near "
    "'\"tier\"'" },
  { "}}}", "}}",
    "workspace : field (line 1, column 608): '}' expected near end of file" },
  { "}}}", "}}} 1",
    "workspace : field (line 1, column 611): end of file expected near '1'" },
  { "3", "NaN",
    "workspace : field (line 1, column 36): invalid token near 'NaN'" },
};

static int
parse (const char *text, size_t length, struct bd_contract **contract,
       char reason[300])
{
  struct bd_chunk c = { .data = text, .length = length };

  reason[0] = '\0';
  return bd_contract_parse (c, contract, reason, 300);
}

static char *
replace (const char *text, const char *find, const char *with)
{
  const char *at = strstr (text, find);

  g_assert_nonnull (at);
  return g_strdup_printf ("%.*s%s%s", (int)(at - text), text, with,
                          at + strlen (find));
}

static void
test_refused (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (rejected); i++)
    {
      struct bd_contract *c = NULL;
      char *text
          = replace (valid_contract, rejected[i].find, rejected[i].text);
      char reason[300];

      g_assert_cmpint (parse (text, strlen (text), &c, reason), ==,
                       BD_ERR_CONTRACT);
      g_assert_cmpstr (reason, ==, rejected[i].reason);
      g_assert_null (c);
      g_free (text);
    }
}

static void
test_accepted (void)
{
  struct bd_contract *c = NULL;
  char reason[300];
  const struct bd_class *send;

  g_assert_cmpint (parse (valid_contract, strlen (valid_contract), &c, reason),
                   ==, BD_OK);
  g_assert_cmpstr (reason, ==, "");
  g_assert_true (bd_chunk_equal (c->workspace, BD_CHUNK ("gebeya")));
  g_assert_cmpuint (c->revision, ==, 3);
  g_assert_cmpint (c->retry_window_s, ==, 600);
  g_assert_cmpuint (c->credential_count, ==, 2);
  g_assert_cmpstr (c->credentials[1], ==, HASH_B);
  g_assert_cmpint (c->limits.requests_per_s, ==, 50);
  g_assert_cmpint (c->limits.tokens_per_s, ==, 20000);
  g_assert_cmpint (c->limits.concurrency, ==, 100);
  g_assert_cmpuint (c->class_count, ==, 2);
  g_assert_true (bd_contract_find_class (c, BD_CHUNK ("")) == &c->classes[0]);
  g_assert_null (bd_contract_find_class (c, BD_CHUNK ("plans")));
  g_assert_true (bd_chunk_equal (c->classes[0].pool, BD_CHUNK ("cutplan")));
  send = bd_contract_find_class (c, BD_CHUNK ("send"));
  g_assert_cmpint (send->tier, ==, 3);
  g_assert_false (send->idempotent);
  g_assert_cmpuint (send->pool.length, ==, 0);
  g_assert_cmpint (send->min_share_permille, ==, 400);
  bd_contract_destroy (c);
}

/* Limits on counts, size and nesting depth. */
static void
test_bounds (void)
{
  GString *many = g_string_new ("\"credentials\":[");
  struct bd_contract *c = NULL;
  char reason[300];
  char *text;

  for (int i = 0; i <= BD_CREDENTIALS_MAX; i++)
    g_string_append_printf (many, "%s\"%064d\"", i > 0 ? "," : "", i);
  g_string_append (many, "],\"limits\"");
  text = replace (valid_contract,
                  "\"credentials\":[\"" HASH_A "\",\"" HASH_B "\"],\"limits\"",
                  many->str);
  g_assert_cmpint (parse (text, strlen (text), &c, reason), ==,
                   BD_ERR_CONTRACT);
  g_assert_cmpstr (reason, ==,
                   "workspace gebeya: field credentials: has 17 elements, "
                   "not 0..16");
  g_free (text);
  g_string_free (many, TRUE);
  text = g_strnfill (65537, ' ');
  g_assert_cmpint (parse (text, 65537, &c, reason), ==, BD_ERR_CONTRACT);
  g_assert_cmpstr (reason, ==,
                   "workspace : field (document): has 65537 bytes, more than "
                   "65536");
  memset (text, '[', 65536);
  g_assert_cmpint (parse (text, 65536, &c, reason), ==, BD_ERR_CONTRACT);
  g_assert_nonnull (strstr (reason, "maximum parsing depth"));
  g_assert_cmpint (parse (text, 0, &c, reason), ==, BD_ERR_CONTRACT);
  g_assert_cmpint (parse ("[]", 2, &c, reason), ==, BD_ERR_CONTRACT);
  g_assert_cmpint (bd_contract_parse (BD_CHUNK ("{}"), &c, NULL, 0), ==,
                   BD_ERR_CONTRACT);
  g_free (text);
}

/* A contract with random bytes changed is either parsed to values in range or
   rejected with one printable line. */
static void
test_mutations (void)
{
  GRand *rand = g_rand_new_with_seed (11);
  int accepted = 0;

  for (int i = 0; i < 20000; i++)
    {
      char *text = g_strdup (valid_contract);
      struct bd_contract *c = NULL;
      char reason[300];

      for (int n = g_rand_int_range (rand, 1, 4); n > 0; n--)
        text[g_rand_int_range (rand, 0, (gint32)strlen (valid_contract))]
            = (char)g_rand_int_range (rand, 1, 256);
      if (parse (text, strlen (valid_contract), &c, reason) == BD_OK)
        {
          accepted++;
          for (size_t k = 0; k < c->class_count; k++)
            g_assert_true (c->classes[k].tier < BD_TIER_COUNT
                           && c->classes[k].deadline_ms > 0
                           && c->classes[k].min_share_permille <= 1000);
          g_assert_cmpuint (c->default_class, <, c->class_count);
        }
      else
        {
          g_assert_cmpuint (strlen (reason), >, 0);
          for (const char *r = reason; *r; r++)
            g_assert_true (*r >= ' ' && *r <= '~');
        }
      bd_contract_destroy (c);
      g_free (text);
    }
  g_assert_cmpint (accepted, >, 0);
  g_rand_free (rand);
}

static void
test_example (void)
{
  struct bd_contract *c = NULL;
  char reason[300];
  char *text = NULL;
  gsize length = 0;

  g_assert_true (g_file_get_contents (
      SOURCE_DIR "/docs/examples/contract/gebeya.json", &text, &length, NULL));
  g_assert_cmpint (parse (text, length, &c, reason), ==, BD_OK);
  bd_contract_destroy (c);
  g_free (text);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/contract/rejected", test_refused);
  g_test_add_func ("/contract/accepted", test_accepted);
  g_test_add_func ("/contract/bounds", test_bounds);
  g_test_add_func ("/contract/mutations", test_mutations);
  g_test_add_func ("/contract/example", test_example);
  return g_test_run ();
}
