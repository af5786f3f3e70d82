#include "common/settings.h"
#include "support_capture.h"

#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>

#define BOTH                                                                  \
  "--instance i-1 --zone z1 --peer-address 127.0.0.1:7001 --platform-url "    \
  "http://127.0.0.1:7000 "
#define ENTRY "--role entry --http-address 127.0.0.1:7002 " BOTH
#define SIDECAR "--role sidecar --engine-url http://127.0.0.1:1 --pool m " BOTH
#define Z85 "rq:rM>}U?@Lns47E1%kR.o@n%FcmmsL/@{H8]yf7"
#define HEX "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"

/* One run: flags, up to two variables, what is expected. */
struct run
{
  const char *flags;
  const char *variables[2];
  int rc;
  const char *setting; /* Named in the refusal. */
  const char *shown;   /* Must stand in the refusal. */
  const char *hidden;  /* Must not. */
};

static void
set_variable (const char *pair, bool set)
{
  char **parts;

  if (!pair)
    return;
  parts = g_strsplit (pair, "=", 2);
  if (set)
    g_setenv (parts[0], parts[1], TRUE);
  else
    g_unsetenv (parts[0]);
  g_strfreev (parts);
}

static int
read_settings (const struct run *run, struct bd_settings *settings, char **out,
               char **err)
{
  char *line = g_strconcat ("basildockd ", run->flags, NULL);
  char **argv;
  int argc;
  struct capture captures[2];
  int rc;

  g_assert_true (g_shell_parse_argv (line, &argc, &argv, NULL));
  for (int i = 0; i < 2; i++)
    set_variable (run->variables[i], true);
  capture_begin (&captures[0], 1);
  capture_begin (&captures[1], 2);
  rc = bd_settings_read (argc, argv, settings);
  *err = capture_end (&captures[1]);
  *out = capture_end (&captures[0]);
  for (int i = 0; i < 2; i++)
    set_variable (run->variables[i], false);
  g_strfreev (argv);
  g_free (line);
  return rc;
}

static const struct run bad_runs[] = {
  { "", { 0 }, BD_ERR_SETTING, "--role", "missing", NULL },
  { "--role", { 0 }, BD_ERR_SETTING, "--role", "value missing", NULL },
  { "--role both", { 0 }, BD_ERR_SETTING, "--role", "entry or sidecar", NULL },
  { "--role entry --role entry",
    { 0 },
    BD_ERR_SETTING,
    "--role",
    "twice",
    NULL },
  { "--role entry " BOTH,
    { 0 },
    BD_ERR_SETTING,
    "--http-address",
    "missing",
    NULL },
  { "--role sidecar --pool m " BOTH,
    { 0 },
    BD_ERR_SETTING,
    "--engine-url",
    "missing",
    NULL },
  { "--role sidecar --engine-url http://h:1 " BOTH,
    { 0 },
    BD_ERR_SETTING,
    "--pool",
    "missing",
    NULL },
  { "--role entry --instance i --zone z",
    { 0 },
    BD_ERR_SETTING,
    "--peer-address",
    "missing",
    NULL },
  { ENTRY "--slots 0", { 0 }, BD_ERR_SETTING, "--slots", "1 to 4096", NULL },
  { ENTRY "--slots 4097",
    { 0 },
    BD_ERR_SETTING,
    "--slots",
    "value=\"4097\"",
    NULL },
  { ENTRY "--slots ' 8'",
    { 0 },
    BD_ERR_SETTING,
    "--slots",
    "1 to 4096",
    NULL },
  { ENTRY "--slots 8x", { 0 }, BD_ERR_SETTING, "--slots", "1 to 4096", NULL },
  { ENTRY "--slots -1", { 0 }, BD_ERR_SETTING, "--slots", "1 to 4096", NULL },
  { ENTRY "--slots ''", { 0 }, BD_ERR_SETTING, "--slots", "1 to 4096", NULL },
  { ENTRY "--slots=",
    { 0 },
    BD_ERR_SETTING,
    "--slots",
    "value missing",
    NULL },
  { ENTRY "--version=3",
    { 0 },
    BD_ERR_SETTING,
    "command line",
    "unknown",
    NULL },
  { ENTRY "--queue-bytes 99999999999999999999",
    { 0 },
    BD_ERR_SETTING,
    "--queue-bytes",
    "65536 to 17179869184",
    NULL },
  { ENTRY "--log-level 8",
    { 0 },
    BD_ERR_SETTING,
    "--log-level",
    "3 to 7",
    NULL },
  { ENTRY "--policy best",
    { 0 },
    BD_ERR_SETTING,
    "--policy",
    "late-binding",
    NULL },
  { ENTRY "--admin-address 127.0.0.1",
    { 0 },
    BD_ERR_SETTING,
    "--admin-address",
    "IP:PORT",
    NULL },
  { ENTRY "--admin-address 127.0.0.1:0",
    { 0 },
    BD_ERR_SETTING,
    "--admin-address",
    "IP:PORT",
    NULL },
  { ENTRY "--admin-address 127.0.0.1:65536",
    { 0 },
    BD_ERR_SETTING,
    "--admin-address",
    "IP:PORT",
    NULL },
  { ENTRY "--admin-address localhost:80",
    { 0 },
    BD_ERR_SETTING,
    "--admin-address",
    "IP:PORT",
    NULL },
  { ENTRY "--seeds 127.0.0.1:1,",
    { 0 },
    BD_ERR_SETTING,
    "--seeds",
    "at most 64",
    NULL },
  { ENTRY "--tls-certificate /nonexistent",
    { 0 },
    BD_ERR_SETTING,
    "--tls-certificate",
    "readable file",
    NULL },
  { "--role entry --instance 'a b'",
    { 0 },
    BD_ERR_SETTING,
    "--instance",
    "letters",
    NULL },
  { "--role entry --instance ''",
    { 0 },
    BD_ERR_SETTING,
    "--instance",
    "letters",
    NULL },
  { SIDECAR "--engine-url ftp://h",
    { 0 },
    BD_ERR_SETTING,
    "--engine-url",
    "twice",
    NULL },
  { "--role entry --instance i --zone z --peer-address 127.0.0.1:1 "
    "--platform-url ftp://h",
    { 0 },
    BD_ERR_SETTING,
    "--platform-url",
    "http://",
    NULL },
  { ENTRY "--slot-count 3",
    { 0 },
    BD_ERR_SETTING,
    "--slot-count",
    "unknown",
    NULL },
  { ENTRY "--token-key=" HEX,
    { 0 },
    BD_ERR_SETTING,
    "--token-key",
    "unknown",
    HEX },
  { ENTRY "stray", { 0 }, BD_ERR_SETTING, "stray", "unknown", NULL },
  { ENTRY,
    { "BASILDOCK_SLTOS=3" },
    BD_ERR_SETTING,
    "BASILDOCK_SLTOS",
    "unknown",
    NULL },
  { ENTRY,
    { "BASILDOCK_SLOTS=none" },
    BD_ERR_SETTING,
    "BASILDOCK_SLOTS",
    "1 to 4096",
    NULL },
  { ENTRY,
    { "BASILDOCK_TOKEN_KEY=sesame" },
    BD_ERR_SETTING,
    "BASILDOCK_TOKEN_KEY",
    "64 hex digits",
    "sesame" },
  { ENTRY,
    { "BASILDOCK_TOKEN_KEY_FILE=/nonexistent" },
    BD_ERR_SETTING,
    "BASILDOCK_TOKEN_KEY_FILE",
    "unreadable",
    NULL },
  { ENTRY,
    { "BASILDOCK_TOKEN_KEY=" HEX, "BASILDOCK_TOKEN_KEY_FILE=/x" },
    BD_ERR_SETTING,
    "BASILDOCK_TOKEN_KEY_FILE",
    "twice",
    HEX },
  { ENTRY,
    { "BASILDOCK_CURVE_SECRET=" Z85 },
    BD_ERR_SETTING,
    "BASILDOCK_CURVE_PUBLIC",
    "both CURVE keys",
    Z85 },
  { ENTRY,
    { "BASILDOCK_CURVE_PUBLIC=" Z85 },
    BD_ERR_SETTING,
    "BASILDOCK_CURVE_SECRET",
    "both CURVE keys",
    NULL },
  { ENTRY,
    { "BASILDOCK_SLOTS_FILE=/x" },
    BD_ERR_SETTING,
    "BASILDOCK_SLOTS_FILE",
    "unknown",
    NULL },
};

static void
test_refused (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (bad_runs); i++)
    {
      const struct run *run = &bad_runs[i];
      struct bd_settings settings;
      char *out, *err;
      char *named = g_strdup_printf ("setting=\"%s\"", run->setting);

      g_test_message ("%s", run->flags);
      g_assert_cmpint (read_settings (run, &settings, &out, &err), ==,
                       run->rc);
      g_assert_cmpstr (out, ==, "");
      g_assert_nonnull (strstr (err, " BD1005 SETTING_BAD "));
      g_test_message ("%s", err);
      g_assert_nonnull (strstr (err, named));
      g_assert_nonnull (strstr (err, run->shown));
      g_assert_true (!run->hidden || !strstr (err, run->hidden));
      g_assert_true (strchr (err, '\n') == err + strlen (err) - 1);
      bd_settings_release (&settings);
      g_free (named);
      g_free (out);
      g_free (err);
    }
}

static void
test_ends_well (void)
{
  static const struct run runs[] = {
    { "--help",
      { 0 },
      1,
      "--queue-items VALUE [BASILDOCK_QUEUE_ITEMS]",
      0,
      0 },
    { "--version", { 0 }, 1, "basildockd " BD_VERSION, 0, 0 },
    { ENTRY "--check-settings", { 0 }, 1, "settings are valid", 0, 0 },
    { SIDECAR "--check-settings",
      { "BASILDOCK_ADMIN=127.0.0.1:1" },
      1,
      "settings are valid",
      0,
      0 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (runs); i++)
    {
      struct bd_settings settings;
      char *out, *err;

      g_assert_cmpint (read_settings (&runs[i], &settings, &out, &err), ==, 1);
      g_assert_nonnull (strstr (out, runs[i].setting));
      g_assert_cmpstr (err, ==, "");
      bd_settings_release (&settings);
      g_free (out);
      g_free (err);
    }
}

static void
test_standard_values (void)
{
  struct run run = { .flags = ENTRY };
  struct bd_settings s;
  char *out, *err;

  g_assert_cmpint (read_settings (&run, &s, &out, &err), ==, BD_OK);
  g_assert_cmpint (s.role, ==, BD_ROLE_ENTRY);
  g_assert_cmpstr (s.instance, ==, "i-1");
  g_assert_cmpstr (s.policy, ==, "late-binding");
  g_assert_cmpstr (s.admin_address, ==, "");
  g_assert_cmpstr (s.token_key, ==, "");
  g_assert_cmpint (s.slots, ==, 8);
  g_assert_cmpint (s.queue_items, ==, 1000);
  g_assert_cmpint (s.queue_bytes, ==, 64 << 20);
  g_assert_cmpint (s.answer_bytes, ==, 64 << 20);
  g_assert_cmpint (s.connect_timeout_ms, ==, 1000);
  g_assert_cmpint (s.first_byte_timeout_ms, ==, 30000);
  g_assert_cmpint (s.idle_timeout_ms, ==, 10000);
  g_assert_cmpint (s.max_streams, ==, 512);
  g_assert_cmpint (s.body_bytes, ==, 1 << 20);
  g_assert_cmpint (s.subset_size, ==, 120);
  g_assert_cmpint (s.drain_timeout_s, ==, 0);
  g_assert_cmpint (s.log_level, ==, 6);
  bd_settings_release (&s);
  g_free (out);
  g_free (err);
}

static void
test_flag_wins_over_variable (void)
{
  struct run run = { .flags = SIDECAR "--slots 3",
                     .variables = { "BASILDOCK_SLOTS=5",
                                    "BASILDOCK_QUEUE_BYTES=17179869184" } };
  struct bd_settings s;
  char *out, *err;

  g_assert_cmpint (read_settings (&run, &s, &out, &err), ==, BD_OK);
  g_assert_cmpint (s.role, ==, BD_ROLE_SIDECAR);
  g_assert_cmpint (s.slots, ==, 3);
  g_assert_cmpint (s.queue_bytes, ==, INT64_C (17179869184));
  bd_settings_release (&s);
  g_free (out);
  g_free (err);
}

static void
test_secret_from_file (void)
{
  char *file = NULL;
  int fd = g_file_open_tmp (NULL, &file, NULL);
  struct run run = { .flags = ENTRY };
  char *variable = g_strconcat ("BASILDOCK_TOKEN_KEY_FILE=", file, NULL);
  struct bd_settings s;
  char *out, *err;

  g_assert_cmpint (fd, >=, 0);
  g_assert_true (g_file_set_contents (file, HEX "," HEX "\n", -1, NULL));
  run.variables[0] = variable;
  g_assert_cmpint (read_settings (&run, &s, &out, &err), ==, BD_OK);
  g_assert_cmpstr (s.token_key, ==, HEX "," HEX);
  bd_settings_release (&s);
  g_unlink (file);
  g_close (fd, NULL);
  g_free (file);
  g_free (variable);
  g_free (out);
  g_free (err);
}

/* The variable follows from the flag, and every row is filled. */
static void
test_table (void)
{
  struct bd_setting_info info;
  size_t count = 0;

  for (; bd_setting_info (count, &info); count++)
    {
      char *name;

      g_assert_nonnull (info.variable);
      g_assert_cmpstr (info.help, !=, "");
      g_assert_cmpstr (info.range, !=, "");
      if (!info.flag)
        continue;
      name = g_strconcat ("BASILDOCK_", info.flag, NULL);
      for (char *c = name; *c; c++)
        *c = (char)(*c == '-' ? '_' : g_ascii_toupper (*c));
      g_assert_cmpstr (name, ==, info.variable);
      g_free (name);
    }
  g_assert_cmpuint (count, >, 20);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/settings/refused", test_refused);
  g_test_add_func ("/settings/ends-well", test_ends_well);
  g_test_add_func ("/settings/standard-values", test_standard_values);
  g_test_add_func ("/settings/flag-wins", test_flag_wins_over_variable);
  g_test_add_func ("/settings/secret-from-file", test_secret_from_file);
  g_test_add_func ("/settings/table", test_table);
  return g_test_run ();
}
