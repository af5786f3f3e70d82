/* Compares the documentation with the tables of the code: events, settings,
   errors, metrics and messages.  Parses the examples of the pages. */
#include "common/event.h"
#include "common/metrics.h"
#include "common/settings.h"
#include "configuration/contract.h"
#include "configuration/manifest.h"
#include "wire/message.h"

#include <glib.h>
#include <string.h>

static char *
read_page (const char *name)
{
  char *path = g_build_filename (SOURCE_DIR, name, NULL);
  char *text;

  g_assert_true (g_file_get_contents (path, &text, NULL, NULL));
  g_free (path);
  return text;
}

static void
assert_contains (const char *page, const char *text, const char *expected)
{
  if (!strstr (text, expected))
    g_error ("%s lacks: %s", page, expected);
}

/* Returns the number of lines of TEXT that match PATTERN. */
static guint
count_lines (const char *text, const char *pattern)
{
  GRegex *regex = g_regex_new (pattern, G_REGEX_MULTILINE, 0, NULL);
  GMatchInfo *info;
  guint count = 0;

  g_assert_nonnull (regex);
  for (g_regex_match (regex, text, 0, &info); g_match_info_matches (info);
       g_match_info_next (info, NULL))
    count++;
  g_match_info_free (info);
  g_regex_unref (regex);
  return count;
}

static const char *
severity_name (enum bd_severity severity)
{
  static const char *const names[]
      = { "", "", "", "error", "warning", "notice", "info", "debug" };

  return names[severity];
}

struct event
{
  const char *name;
  const char *text;
  int number;
  enum bd_severity severity;
};

static const struct event events[] = {
#define EVENT(number, name, severity, text)                                   \
  { #name, (text), (number), BD_SEVERITY_##severity },
  BD_EVENT_TABLE (EVENT)
#undef EVENT
};

static void
test_events (void)
{
  char *page = read_page ("docs/EVENTS.md");

  for (size_t i = 0; i < G_N_ELEMENTS (events); i++)
    {
      char *row = g_strdup_printf (
          "\n| %d | %s | %s | %s | ", events[i].number, events[i].name,
          severity_name (events[i].severity), events[i].text);

      assert_contains ("docs/EVENTS.md", page, row);
      g_free (row);
    }
  g_assert_cmpuint (count_lines (page, "^\\| \\d+ \\|"), ==,
                    G_N_ELEMENTS (events));
  g_free (page);
}

static char *
format_setting_row (const struct bd_setting_info *s)
{
  const char *default_value = s->default_value[0] ? s->default_value : "none";

  if (s->flag)
    return g_strdup_printf ("\n| `--%s` | `%s` | %s | %s | ", s->flag,
                            s->variable, s->range, default_value);
  return g_strdup_printf ("\n| | `%s` or `%s_FILE` | %s | %s | ", s->variable,
                          s->variable, s->range, default_value);
}

/* Escapes the hyphens of TEXT as in a manual page. */
static char *
escape_hyphens (const char *text)
{
  char **parts = g_strsplit (text, "-", -1);
  char *joined = g_strjoinv ("\\-", parts);

  g_strfreev (parts);
  return joined;
}

static void
test_settings (void)
{
  char *page = read_page ("docs/OPERATORS.md");
  char *manual = read_page ("man/basildockd.8");
  struct bd_setting_info info;
  size_t count = 0;

  for (; bd_setting_info (count, &info); count++)
    {
      char *row = format_setting_row (&info);
      char *range = escape_hyphens (info.range);
      char *flag = info.flag ? escape_hyphens (info.flag) : g_strdup ("");
      char *option = g_strconcat (info.flag ? "\\-\\-" : "", flag, NULL);

      assert_contains ("docs/OPERATORS.md", page, row);
      assert_contains ("man/basildockd.8", manual, option);
      assert_contains ("man/basildockd.8", manual, info.variable);
      assert_contains ("man/basildockd.8", manual, range);
      g_free (row);
      g_free (range);
      g_free (flag);
      g_free (option);
    }
  g_assert_cmpuint (count_lines (page, "^\\| (`--[a-z-]+`)? ?\\| `BASILDOCK"),
                    ==, count);
  g_free (page);
  g_free (manual);
}

/* The manual page must have every option and command of basildockctl --help.
 */
static void
test_tool_manual (void)
{
  char *manual = read_page ("man/basildockctl.1");
  char *argv[] = { (char *)BUILD_DIR "/basildockctl", (char *)"--help", NULL };
  GRegex *regex
      = g_regex_new ("^  (--[a-z]+|[a-z]+)", G_REGEX_MULTILINE, 0, NULL);
  GMatchInfo *info;
  char *help;
  guint count = 0;

  g_assert_true (
      g_spawn_sync (NULL, argv, NULL, 0, NULL, NULL, &help, NULL, NULL, NULL));
  for (g_regex_match (regex, help, 0, &info); g_match_info_matches (info);
       g_match_info_next (info, NULL))
    {
      char *name = g_match_info_fetch (info, 1);
      char *escaped = escape_hyphens (name);

      assert_contains ("man/basildockctl.1", manual, escaped);
      count++;
      g_free (escaped);
      g_free (name);
    }
  g_assert_cmpuint (count, >=, 15);
  g_match_info_free (info);
  g_regex_unref (regex);
  g_free (help);
  g_free (manual);
}

static void
test_errors (void)
{
  char *page = read_page ("docs/CALLERS.md");
  guint count = 0;

  for (int code = -1; code > BD_ERR_LIMIT; code--)
    {
      const struct bd_answer *answer = bd_error_answer (code);
      char *retry_after = answer->retry_after_s > 0
                              ? g_strdup_printf ("%d s", answer->retry_after_s)
                              : g_strdup ("none");
      char *row = g_strdup_printf ("\n| `%s` | %d | %s | %s | ", answer->code,
                                   answer->status, bd_ran_name (answer->ran),
                                   retry_after);

      assert_contains ("docs/CALLERS.md", page, row);
      count++;
      g_free (row);
      g_free (retry_after);
    }
  g_assert_cmpuint (count_lines (page, "^\\| `[a-z_]+` \\| \\d{3} \\|"), ==,
                    count);
  g_free (page);
}

static void
test_metrics (void)
{
  static const char *const names[] = {
#define TOTAL(id, name, help) "`basildock_" name "_total`",
#define CLASS_TOTAL(id, name, help) "`basildock_class_" name "_total`",
#define SECONDS(id, name, help) "`basildock_" name "_seconds`",
    BD_COUNTER_TABLE (TOTAL) BD_CLASS_COUNTER_TABLE (CLASS_TOTAL)
        BD_DURATION_TABLE (SECONDS)
  };
  char *page = read_page ("docs/OPERATORS.md");

  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    assert_contains ("docs/OPERATORS.md", page, names[i]);
  g_free (page);
}

static void
test_message_types (void)
{
  static const struct
  {
    const char *name;
    const char *sender;
    int number;
    bool control;
  } types[] = {
#define TYPE(number, name, sender, control)                                   \
  { #name, (sender), (number), (control) != 0 },
    BD_MESSAGE_TABLE (TYPE)
#undef TYPE
  };
  char *page = read_page ("docs/PROTOCOL.md");

  for (size_t i = 0; i < G_N_ELEMENTS (types); i++)
    {
      char *row = g_strdup_printf ("\n| %d | %s | %s | %s | ", types[i].number,
                                   types[i].name, types[i].sender,
                                   types[i].control ? "control" : "work");

      assert_contains ("docs/PROTOCOL.md", page, row);
      g_free (row);
    }
  g_assert_cmpuint (
      count_lines (page, "^\\| \\d+ \\| [A-Z_]+ \\| (both|entry|s)"), ==,
      G_N_ELEMENTS (types));
  g_free (page);
}

/* Checks that docs/PROTOCOL.md has each row of a table in SOURCE.  PATTERN
   matches a row of the source; PAGE_PATTERN builds the page's row from its
   groups. */
static void
check_table_rows (const char *source, const char *pattern,
                  const char *page_pattern)
{
  char *page = read_page ("docs/PROTOCOL.md");
  char *code = read_page (source);
  GRegex *regex = g_regex_new (pattern, G_REGEX_MULTILINE, 0, NULL);
  GMatchInfo *info;
  guint count = 0;

  for (g_regex_match (regex, code, 0, &info); g_match_info_matches (info);
       g_match_info_next (info, NULL))
    {
      char *row = g_match_info_expand_references (info, page_pattern, NULL);

      assert_contains ("docs/PROTOCOL.md", page, row);
      count++;
      g_free (row);
    }
  g_assert_cmpuint (count, >, 8);
  g_match_info_free (info);
  g_regex_unref (regex);
  g_free (code);
  g_free (page);
}

static void
test_message_fields (void)
{
  check_table_rows ("src/wire/message.c",
                    "^  FIELD \\((\\d+), ([A-Z0-9]+), (\\w+)\\)",
                    "\n| \\1 | \\3 | \\2 | ");
  check_table_rows ("src/wire/message.h", "^  BD_FLAG_([A-Z_]+) = (\\d+)",
                    "\n| \\2 | \\1 | ");
}

/* Parses an example document as the daemons do and counts it in COUNTS by
   kind: contract, pool, manifest. */
static void
parse_example (const char *json, guint counts[3])
{
  struct bd_chunk document = { json, strlen (json) };
  struct bd_contract *contract = NULL;
  struct bd_manifest *manifest = NULL;
  struct bd_pool *pool = NULL;
  char reason[256] = "";
  int rc = BD_OK;

  if (strstr (json, "\"credentials\"") && ++counts[0])
    rc = bd_contract_parse (document, &contract, reason, sizeof reason);
  else if (strstr (json, "\"runners\"") && ++counts[1])
    rc = bd_pool_parse (document, &pool, reason, sizeof reason);
  else if (strstr (json, "\"contracts\"") && ++counts[2])
    rc = bd_manifest_parse (document, &manifest, reason, sizeof reason);
  g_assert_cmpstr (reason, ==, "");
  g_assert_cmpint (rc, ==, BD_OK);
  bd_contract_destroy (contract);
  bd_manifest_destroy (manifest);
  bd_pool_destroy (pool);
}

static void
test_examples (void)
{
  char *page = read_page ("docs/OPERATORS.md");
  char **blocks = g_strsplit (page, "```", -1);
  guint counts[3] = { 0, 0, 0 };

  for (char **b = blocks; *b; b++)
    if (g_str_has_prefix (*b, "json\n"))
      parse_example (*b + strlen ("json\n"), counts);
  for (size_t i = 0; i < G_N_ELEMENTS (counts); i++)
    g_assert_cmpuint (counts[i], >=, 1);
  g_strfreev (blocks);
  g_free (page);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/docs/events", test_events);
  g_test_add_func ("/docs/settings", test_settings);
  g_test_add_func ("/docs/tool-manual", test_tool_manual);
  g_test_add_func ("/docs/errors", test_errors);
  g_test_add_func ("/docs/metrics", test_metrics);
  g_test_add_func ("/docs/message-types", test_message_types);
  g_test_add_func ("/docs/message-fields", test_message_fields);
  g_test_add_func ("/docs/examples", test_examples);
  return g_test_run ();
}
