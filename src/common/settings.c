#include "common/settings.h"

#include "common/log.h"
#include "common/setting_table.h"
#include "common/string.h"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SECRET_FILE_MAX_BYTES 256
#define VARIABLE_PREFIX "BASILDOCK_"
/* A variable of basildockctl, which the daemon ignores. */
#define CTL_VARIABLE "BASILDOCK_ADMIN"
#define FILE_SUFFIX "_FILE"
#define VARIABLE_MAX_BYTES 64
/* --help, --version, --check-settings and the end marker. */
#define EXTRA_ARGUMENTS 4
/* Only the first parse error is reported; the parser overwrites the last
   element when there are more. */
#define PARSE_ERRORS_MAX 20

extern char **environ;

/* Logs why a setting is rejected, in one line.  VALUE is NULL when it is a
   secret or missing. */
static int
reject (const char *setting, const char *value, const char *reason,
        const char *accepted)
{
  char name[128];
  char shown[256];
  char range[256];

  bd_log_quote (bd_chunk_of (setting), name, sizeof name);
  bd_log_quote (bd_chunk_of (accepted), range, sizeof range);
  if (value)
    bd_log (BD_EVENT_SETTING_BAD,
            "setting=%s value=%s reason=\"%s\" accepted=%s", name,
            bd_log_quote (bd_chunk_of (value), shown, sizeof shown), reason,
            range);
  else
    bd_log (BD_EVENT_SETTING_BAD, "setting=%s reason=\"%s\" accepted=%s", name,
            reason, range);
  return BD_ERR_SETTING;
}

static int
reject_setting (const struct bd_setting *setting, const char *name,
                const char *value, const char *reason)
{
  return reject (name, setting->info.flag ? value : NULL, reason,
                 setting->info.range);
}

static void
file_variable (const struct bd_setting *setting, char name[VARIABLE_MAX_BYTES])
{
  snprintf (name, VARIABLE_MAX_BYTES, "%s" FILE_SUFFIX,
            setting->info.variable);
}

/* Reads the first line of FILE. */
static bool
read_secret_file (const char *file, char *text, size_t size)
{
  FILE *stream = fopen (file, "r");
  size_t length;

  if (!stream)
    return false;
  length = fread (text, 1, size - 1, stream);
  fclose (stream);
  text[length] = '\0';
  text[strcspn (text, "\r\n")] = '\0';
  return true;
}

static int
read_secret (const struct bd_setting *setting, struct bd_settings *settings)
{
  char name[VARIABLE_MAX_BYTES];
  char secret[SECRET_FILE_MAX_BYTES];
  const char *value = getenv (setting->info.variable);
  const char *file;

  file_variable (setting, name);
  file = getenv (name);
  if (value && file)
    return reject (name, NULL, "given twice", "either a value or a file");
  if (file && !read_secret_file (file, secret, sizeof secret))
    return reject (name, file, "unreadable", "a readable file");
  if (file)
    value = secret;
  if (value && !setting->parse (setting, value, settings))
    return reject_setting (setting, file ? name : setting->info.variable, NULL,
                           "malformed");
  return BD_OK;
}

/* Uses FLAG_VALUE, else the environment variable, else the default value. */
static int
read_setting (const struct bd_setting *setting, const char *flag_value,
              struct bd_settings *settings)
{
  char name[VARIABLE_MAX_BYTES + 2];
  const char *value = flag_value;

  if (!setting->info.flag)
    return read_secret (setting, settings);
  snprintf (name, sizeof name, "--%s", setting->info.flag);
  if (!value)
    {
      value = getenv (setting->info.variable);
      if (value)
        snprintf (name, sizeof name, "%s", setting->info.variable);
    }
  if (!value && setting->info.default_value[0] != '\0')
    value = setting->info.default_value;
  if (value && !setting->parse (setting, value, settings))
    return reject_setting (setting, name, value, "not accepted");
  if (!value && setting->required == BD_SETTING_REQUIRED)
    return reject_setting (setting, name, NULL, "missing");
  return BD_OK;
}

static const char *
get_text (const struct bd_setting *setting, const struct bd_settings *settings)
{
  const char *text;

  memcpy (&text, (const char *)settings + setting->offset, sizeof text);
  return text;
}

/* Checks that the settings which the role requires are given, and that the
   CURVE keys are given together. */
static int
check_dependencies (const struct bd_settings *settings)
{
  enum bd_setting_roles role = settings->role == BD_ROLE_ENTRY
                                   ? BD_SETTING_ENTRY
                                   : BD_SETTING_SIDECAR;
  char name[VARIABLE_MAX_BYTES + 2];

  for (size_t i = 0; i < BD_SETTING_COUNT; i++)
    {
      if (bd_setting_table[i].required != role
          || get_text (&bd_setting_table[i], settings)[0])
        continue;
      snprintf (name, sizeof name, "--%s", bd_setting_table[i].info.flag);
      return reject_setting (&bd_setting_table[i], name, NULL, "missing");
    }
  if (!settings->curve_secret[0] != !settings->curve_public[0])
    return reject (settings->curve_secret[0] ? "BASILDOCK_CURVE_PUBLIC"
                                             : "BASILDOCK_CURVE_SECRET",
                   NULL, "missing", "both CURVE keys or neither");
  return BD_OK;
}

static bool
is_known_variable (const char *name, size_t length)
{
  char file[VARIABLE_MAX_BYTES];

  if (strlen (CTL_VARIABLE) == length
      && strncmp (name, CTL_VARIABLE, length) == 0)
    return true;
  for (size_t i = 0; i < BD_SETTING_COUNT; i++)
    {
      if (strlen (bd_setting_table[i].info.variable) == length
          && strncmp (name, bd_setting_table[i].info.variable, length) == 0)
        return true;
      file_variable (&bd_setting_table[i], file);
      if (!bd_setting_table[i].info.flag && strlen (file) == length
          && strncmp (name, file, length) == 0)
        return true;
    }
  return false;
}

static int
check_environment (void)
{
  for (char **e = environ; *e; e++)
    {
      size_t length = strcspn (*e, "=");
      char name[VARIABLE_MAX_BYTES];

      if (strncmp (*e, VARIABLE_PREFIX, strlen (VARIABLE_PREFIX)) != 0
          || is_known_variable (*e, length))
        continue;
      snprintf (name, sizeof name, "%.*s", (int)length, *e);
      return reject (name, NULL, "unknown", "a variable named by --help");
    }
  return BD_OK;
}

/* Returns the setting of ARGUMENT, or of the flag that TEXT begins with. */
static const struct bd_setting *
find_setting (void **arguments, const void *argument, const char *text)
{
  size_t length = text ? strcspn (text, "=") : 0;

  for (size_t i = 0; i < BD_SETTING_COUNT; i++)
    {
      const char *flag = bd_setting_table[i].info.flag;

      if (!flag)
        continue;
      if (arguments[i] == argument)
        return &bd_setting_table[i];
      if (length == strlen (flag) + 2 && strncmp (text, "--", 2) == 0
          && strncmp (text + 2, flag, length - 2) == 0)
        return &bd_setting_table[i];
    }
  return NULL;
}

/* Returns the flag with an empty value, since the parser's error doesn't name
   it. */
static const char *
find_empty (int argc, char **argv)
{
  for (int i = 1; i < argc; i++)
    {
      size_t length = strlen (argv[i]);

      if (length > 0 && argv[i][length - 1] == '=')
        return argv[i];
      if (length == 0)
        return argv[i - 1];
    }
  return "command line";
}

/* Logs the parser's first error, without the text after a "=": it may be a
   secret. */
static int
reject_parse_error (int argc, char **argv, void **arguments,
                    struct arg_end *end)
{
  const char *text = end->argval[0];
  const struct bd_setting *row;
  char name[VARIABLE_MAX_BYTES + 2];

  if (!text || text[0] == '\0')
    text = find_empty (argc, argv);
  row = find_setting (arguments, end->parent[0], text);
  if (row)
    {
      snprintf (name, sizeof name, "--%s", row->info.flag);
      return reject_setting (row, name, NULL,
                             end->error[0] == ARG_EMISSARG ? "value missing"
                                                           : "given twice");
    }
  snprintf (name, sizeof name, "%.*s", (int)strcspn (text, "="), text);
  return reject (name, NULL, "unknown", "the flags named by --help");
}

/* The parsed command line: an argument for each row of the table, then the
   other flags and the end marker. */
struct command_line
{
  void *arguments[BD_SETTING_COUNT + EXTRA_ARGUMENTS];
  struct arg_lit *help;
  struct arg_lit *version;
  struct arg_lit *check;
  struct arg_end *end;
};

static bool
init_command_line (struct command_line *line)
{
  size_t n = BD_SETTING_COUNT;

  for (size_t i = 0; i < BD_SETTING_COUNT; i++)
    line->arguments[i]
        = bd_setting_table[i].info.flag
              ? (void *)arg_str0 (NULL, bd_setting_table[i].info.flag, "VALUE",
                                  bd_setting_table[i].info.help)
              : (void *)arg_rem (NULL, NULL);
  line->arguments[n++] = line->help
      = arg_lit0 (NULL, "help", "shows this help and ends");
  line->arguments[n++] = line->version
      = arg_lit0 (NULL, "version", "shows the version and ends");
  line->arguments[n++] = line->check
      = arg_lit0 (NULL, "check-settings", "checks the settings and ends");
  line->arguments[n++] = line->end = arg_end (PARSE_ERRORS_MAX);
  return arg_nullcheck (line->arguments) == 0;
}

static void
print_help (void)
{
  puts ("usage: basildockd --role entry|sidecar [--SETTING VALUE]...\n"
        "Routes language-model traffic.  Each flag may be given by the "
        "variable\nnamed in brackets; the flag wins.\n");
  for (size_t i = 0; i < BD_SETTING_COUNT; i++)
    {
      const struct bd_setting *s = &bd_setting_table[i];

      if (s->info.flag)
        printf ("  --%s VALUE [%s]\n", s->info.flag, s->info.variable);
      else
        printf ("  [%s or %s" FILE_SUFFIX "]\n", s->info.variable,
                s->info.variable);
      printf ("      %s\n      accepted: %s%s%s\n", s->info.help,
              s->info.range, s->info.default_value[0] ? "; default: " : "",
              s->info.default_value);
    }
  puts ("  --help\n      shows this help and ends\n"
        "  --version\n      shows the version and ends\n"
        "  --check-settings\n      checks the settings and ends");
}

static int
read_all (const struct command_line *line, struct bd_settings *settings)
{
  int rc = check_environment ();

  for (size_t i = 0; rc == BD_OK && i < BD_SETTING_COUNT; i++)
    {
      const struct arg_str *argument = line->arguments[i];
      bool given = bd_setting_table[i].info.flag && argument->count > 0;

      rc = read_setting (&bd_setting_table[i],
                         given ? argument->sval[0] : NULL, settings);
    }
  return rc == BD_OK ? check_dependencies (settings) : rc;
}

static int
run_command_line (int argc, char **argv, struct command_line *line,
                  struct bd_settings *settings)
{
  int errors = arg_parse (argc, argv, line->arguments);
  int rc;

  if (line->help->count > 0)
    {
      print_help ();
      return 1;
    }
  if (line->version->count > 0)
    {
      puts ("basildockd " BD_VERSION);
      return 1;
    }
  if (errors > 0)
    return reject_parse_error (argc, argv, line->arguments, line->end);
  rc = read_all (line, settings);
  if (rc != BD_OK || line->check->count == 0)
    return rc;
  puts ("settings are valid");
  return 1;
}

static void
set_text (const struct bd_setting *setting, const char *text,
          struct bd_settings *settings)
{
  memcpy ((char *)settings + setting->offset, &text, sizeof text);
}

static bool
init_settings (struct bd_settings *settings)
{
  memset (settings, 0, sizeof *settings);
  settings->owned = calloc (1, sizeof (struct bd_owned_texts));
  if (!settings->owned)
    return false;
  for (size_t i = 0; i < BD_SETTING_COUNT; i++)
    if (bd_setting_table[i].is_text)
      set_text (&bd_setting_table[i], "", settings);
  return true;
}

int
bd_settings_read (int argc, char **argv, struct bd_settings *settings)
{
  struct command_line line;
  int rc = BD_ERR_NOMEM;

  if (argc < 1 || !init_settings (settings))
    return BD_ERR_SETTING;
  if (init_command_line (&line))
    rc = run_command_line (argc, argv, &line, settings);
  arg_freetable (line.arguments, BD_SETTING_COUNT + EXTRA_ARGUMENTS);
  return rc;
}

void
bd_settings_release (struct bd_settings *settings)
{
  struct bd_owned_texts *owned = settings->owned;

  for (size_t i = 0; owned && i < BD_SETTING_COUNT; i++)
    free (owned->text[i]);
  free (owned);
  memset (settings, 0, sizeof *settings);
}

bool
bd_setting_info (size_t index, struct bd_setting_info *info)
{
  if (index >= BD_SETTING_COUNT)
    return false;
  *info = bd_setting_table[index].info;
  return true;
}
