#include "common/settings.h"
#include "support_capture.h"

#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>

#define COMMON_FLAGS                                                          \
  "--instance i-1 --zone z1 --peer-address 127.0.0.1:7001 --platform-url "    \
  "http://127.0.0.1:7000 "
#define ENTRY_FLAGS "--role entry --http-address 127.0.0.1:7002 " COMMON_FLAGS
#define SIDECAR_FLAGS                                                         \
  "--role sidecar --engine-url http://127.0.0.1:1 --pool m " COMMON_FLAGS
#define Z85 "rq:rM>}U?@Lns47E1%kR.o@n%FcmmsL/@{H8]yf7"
#define TOKEN "BASILDOCK_TOKEN_KEY"
#define CURVE "BASILDOCK_CURVE_"
#define HEX "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"

/* The flags and up to two environment variables of one call. */
struct run
{
  const char *flags;
  const char *variables[2];
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

/* Checks that the settings are rejected with one line, which names SETTING and
   contains SHOWN, but not HIDDEN. */
static void
assert_rejected (const struct run *run, const char *setting, const char *shown,
                 const char *hidden)
{
  struct bd_settings settings;
  char *named = g_strdup_printf ("setting=\"%s\"", setting);
  char *out, *err;

  g_test_message ("%s", run->flags);
  g_assert_cmpint (read_settings (run, &settings, &out, &err), ==,
                   BD_ERR_SETTING);
  g_test_message ("%s", err);
  g_assert_cmpstr (out, ==, "");
  g_assert_nonnull (strstr (err, " BD1005 SETTING_BAD "));
  g_assert_nonnull (strstr (err, named));
  g_assert_nonnull (strstr (err, shown));
  g_assert_true (!hidden || !strstr (err, hidden));
  g_assert_true (strchr (err, '\n') == err + strlen (err) - 1);
  bd_settings_release (&settings);
  g_free (named);
  g_free (out);
  g_free (err);
}

/* Added to the flags of a valid entry: a bad flag, whose first word is the
   setting's name, and the texts that the log line contains and must not
   contain. */
static const char *const bad_flags[][3] = {
  { "--slots 0", "1 to 4096", NULL },
  { "--slots 4097", "value=\"4097\"", NULL },
  { "--slots ' 8'", "1 to 4096", NULL },
  { "--slots 8x", "1 to 4096", NULL },
  { "--slots -1", "1 to 4096", NULL },
  { "--slots ''", "1 to 4096", NULL },
  { "--slots=", "value missing", NULL },
  { "--queue-bytes 99999999999999999999", "65536 to 17179869184", NULL },
  { "--log-level 8", "3 to 7", NULL },
  { "--policy best", "late-binding", NULL },
  { "--admin-address 127.0.0.1", "IP:PORT", NULL },
  { "--admin-address 127.0.0.1:0", "IP:PORT", NULL },
  { "--admin-address 127.0.0.1:65536", "IP:PORT", NULL },
  { "--admin-address localhost:80", "IP:PORT", NULL },
  { "--seeds 127.0.0.1:1,", "at most 64", NULL },
  { "--tls-certificate /nonexistent", "readable file", NULL },
  { "--engine-url ftp://h", "http://", NULL },
  { "--zone z2", "given twice", NULL },
  { "--slot-count 3", "unknown", NULL },
  { "--token-key=" HEX, "unknown", HEX },
  { "stray", "unknown", NULL },
};

/* Command line, the setting that is rejected, text of the log line. */
static const char *const bad_command_lines[][3] = {
  { "", "--role", "missing" },
  { "--role", "--role", "value missing" },
  { "--role both", "--role", "entry or sidecar" },
  { "--role entry " COMMON_FLAGS, "--http-address", "missing" },
  { "--role sidecar --pool m " COMMON_FLAGS, "--engine-url", "missing" },
  { "--role sidecar --engine-url http://h:1 " COMMON_FLAGS, "--pool",
    "missing" },
  { "--role entry --instance i --zone z", "--peer-address", "missing" },
  { "--role entry --instance 'a b'", "--instance", "letters" },
  { "--role entry --instance ''", "--instance", "letters" },
  { ENTRY_FLAGS "--version=3", "command line", "unknown" },
};

/* Environment variables of a valid entry: the setting that is rejected, and
   the texts that the log line contains and must not contain. */
static const struct
{
  const char *pairs[2];
  const char *setting;
  const char *shown;
  const char *hidden;
} bad_variables[] = {
  { { "BASILDOCK_SLTOS=3", NULL }, "BASILDOCK_SLTOS", "unknown", NULL },
  { { "BASILDOCK_SLOTS=no", NULL }, "BASILDOCK_SLOTS", "1 to 4096", NULL },
  { { "BASILDOCK_SLOTS_FILE=/x", NULL },
    "BASILDOCK_SLOTS_FILE",
    "unknown",
    NULL },
  { { TOKEN "=sesame", NULL }, TOKEN, "64 hex digits", "sesame" },
  { { TOKEN "=" HEX ",", NULL }, TOKEN, "1 to 3 keys", HEX },
  { { TOKEN "=" HEX "," HEX "," HEX "," HEX, NULL }, TOKEN, "1 to 3", HEX },
  { { TOKEN "=" HEX ";" HEX, NULL }, TOKEN, "1 to 3", HEX },
  { { TOKEN "_FILE=/nonexistent", NULL }, TOKEN "_FILE", "unreadable", NULL },
  { { TOKEN "=" HEX, TOKEN "_FILE=/x" }, TOKEN "_FILE", "twice", HEX },
  { { CURVE "SECRET=" Z85, NULL }, CURVE "PUBLIC", "both CURVE keys", Z85 },
  { { CURVE "PUBLIC=" Z85, NULL }, CURVE "SECRET", "both CURVE keys", NULL },
};

static void
test_rejected (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (bad_flags); i++)
    {
      struct run run = { .flags = NULL };
      char *flags = g_strconcat (ENTRY_FLAGS, bad_flags[i][0], NULL);
      char *setting
          = g_strndup (bad_flags[i][0], strcspn (bad_flags[i][0], " ="));

      run.flags = flags;
      assert_rejected (&run, setting, bad_flags[i][1], bad_flags[i][2]);
      g_free (flags);
      g_free (setting);
    }
  for (size_t i = 0; i < G_N_ELEMENTS (bad_command_lines); i++)
    assert_rejected (&(struct run){ bad_command_lines[i][0], { NULL } },
                     bad_command_lines[i][1], bad_command_lines[i][2], NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (bad_variables); i++)
    assert_rejected (&(struct run){ ENTRY_FLAGS,
                                    { bad_variables[i].pairs[0],
                                      bad_variables[i].pairs[1] } },
                     bad_variables[i].setting, bad_variables[i].shown,
                     bad_variables[i].hidden);
}

static void
test_informational_flags (void)
{
  static const struct run runs[] = {
    { "--help", { NULL } },
    { "--version", { NULL } },
    { ENTRY_FLAGS "--check-settings", { NULL } },
    { SIDECAR_FLAGS "--check-settings", { "BASILDOCK_ADMIN=127.0.0.1:1" } },
  };
  static const char *const shown[]
      = { "--queue-items VALUE [BASILDOCK_QUEUE_ITEMS]",
          "basildockd " BD_VERSION, "settings are valid",
          "settings are valid" };

  for (size_t i = 0; i < G_N_ELEMENTS (runs); i++)
    {
      struct bd_settings settings;
      char *out, *err;

      g_assert_cmpint (read_settings (&runs[i], &settings, &out, &err), ==, 1);
      g_assert_nonnull (strstr (out, shown[i]));
      g_assert_cmpstr (err, ==, "");
      bd_settings_release (&settings);
      g_free (out);
      g_free (err);
    }
}

static void
test_default_values (void)
{
  struct run run = { .flags = ENTRY_FLAGS };
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
  struct run run = { .flags = SIDECAR_FLAGS "--slots 3",
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
  struct run run = { .flags = ENTRY_FLAGS };
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

/* Each setting has a range and a help text, and its variable is named after
   its flag. */
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
  g_test_add_func ("/settings/rejected", test_rejected);
  g_test_add_func ("/settings/informational-flags", test_informational_flags);
  g_test_add_func ("/settings/default-values", test_default_values);
  g_test_add_func ("/settings/flag-wins", test_flag_wins_over_variable);
  g_test_add_func ("/settings/secret-from-file", test_secret_from_file);
  g_test_add_func ("/settings/table", test_table);
  return g_test_run ();
}
